/** @file test_online.c  Online requests: disconnects, lost streams, refusals, deadlines. */
#include "standin/engine/answer.h"
#include "tests/system/system_tests.h"

#include <signal.h>
#include <string.h>

static bool is_cancelled(void *prompt) {
    return count_engine_runs(prompt, "cancelled") == 1;
}

static void caller_disconnect_cancels_the_engine_run(void) {
    client_stream stream;
    client_stream_run(test_fleet.caller_urls[0], "/v1/completions", TEST_TENANT,
                      "{\"model\":\"drafting-7b\",\"max_tokens\":2000,\"stream\":true,"
                      "\"prompt\":\"hang-up\"}",
                      NULL, 3, &stream);
    client_stream_clear(&stream);
    CU_ASSERT_TRUE(wait_until(is_cancelled, (gpointer) "hang-up", 5000));
}

static void set_all_engine_faults(const char *faults) {
    for (int index = 0; index < test_fleet.engine_count; index++)
        CU_ASSERT_TRUE(fleet_set_faults(test_fleet.engine_urls[index], faults));
}

static void interrupted_stream_is_resumed_without_gaps(void) {
    set_all_engine_faults("{\"cut_count\":1,\"cut_after_tokens\":4}");
    g_autofree char *expected = answer_text("cut-stream", 20);
    client_stream stream;
    client_stream_run(test_fleet.caller_urls[0], "/v1/completions", TEST_TENANT,
                      "{\"model\":\"drafting-7b\",\"max_tokens\":20,\"stream\":true,"
                      "\"prompt\":\"cut-stream\"}",
                      NULL, 0, &stream);
    set_all_engine_faults("{\"cut_count\":0}");
    CU_ASSERT_TRUE(stream.done_seen);
    CU_ASSERT_STRING_EQUAL(stream.text->str, expected);
    CU_ASSERT_EQUAL(count_engine_runs("cut-stream", NULL), 1);
    client_stream_clear(&stream);
}

static void unresumable_stream_ends_in_an_explicit_error(void) {
    set_all_engine_faults("{\"cut_count\":100,\"cut_after_tokens\":1}");
    client_stream stream;
    client_stream_run(test_fleet.caller_urls[0], "/v1/completions", TEST_TENANT,
                      "{\"model\":\"drafting-7b\",\"max_tokens\":50,\"stream\":true,"
                      "\"prompt\":\"hopeless\"}",
                      NULL, 0, &stream);
    set_all_engine_faults("{\"cut_count\":0}");
    CU_ASSERT_FALSE(stream.done_seen);
    CU_ASSERT_EQUAL(g_strcmp0(stream.executed, "unknown"), 0);
    CU_ASSERT_EQUAL(g_strcmp0(stream.error_code, "answer_lost"), 0);
    client_stream_clear(&stream);
}

static void refusal_by_all_engines_is_reported_as_not_executed(void) {
    set_all_engine_faults("{\"refuse\":true}");
    hs_http_answer answer;
    CU_ASSERT_TRUE(
        client_exchange("POST", test_fleet.caller_urls[0], "/v1/completions", TEST_TENANT,
                        "{\"model\":\"drafting-7b\",\"prompt\":\"refused\"}", NULL, &answer));
    set_all_engine_faults("{\"refuse\":false}");
    CU_ASSERT_EQUAL(answer.status, 503);
    CU_ASSERT(answer.retry_after_s >= 1);
    CU_ASSERT_PTR_NOT_NULL(strstr(answer.body, "\"executed\":\"no\""));
    CU_ASSERT_EQUAL(count_engine_runs("refused", NULL), 0);
    hs_http_answer_clear(&answer);
}

static int count_refusals(void) {
    int refusals = 0;
    for (int index = 0; index < test_fleet.engine_count; index++) {
        json_t *record = NULL;
        client_call("GET", test_fleet.engine_urls[index], "/control/record", NULL, NULL, NULL,
                    &record);
        refusals += (int)json_integer_value(json_object_get(record, "refusals"));
        json_decref(record);
    }
    return refusals;
}

/** Guards against retries that multiply the load on engines which refuse all requests. */
static void retries_during_an_outage_are_limited(void) {
    const int requests = 300;
    const int initial_retry_budget = 50;
    set_all_engine_faults("{\"refuse\":true}");
    int before = count_refusals();
    for (int request = 0; request < requests; request++)
        CU_ASSERT_EQUAL(client_call("POST", test_fleet.caller_urls[0], "/v1/completions",
                                    TEST_TENANT, "{\"model\":\"drafting-7b\",\"prompt\":\"storm\"}",
                                    NULL, NULL),
                        503);
    int attempts = count_refusals() - before;
    set_all_engine_faults("{\"refuse\":false}");
    CU_ASSERT(attempts <= requests + requests / 10 + initial_retry_budget);
}

static bool is_served(void *user_data) {
    (void)user_data;
    return client_call("POST", test_fleet.caller_urls[0], "/v1/completions", TEST_TENANT,
                       "{\"model\":\"drafting-7b\",\"max_tokens\":1,\"prompt\":\"served\"}", NULL,
                       NULL) == 200;
}

static void expired_deadline_is_answered_and_cancels_the_run(void) {
    CU_ASSERT_TRUE(wait_until(is_served, NULL, 5000));
    const char *const headers[] = {"Heathsail-Timeout-Ms", "150", NULL};
    json_t *answer = NULL;
    long status = client_call("POST", test_fleet.caller_urls[0], "/v1/completions", TEST_TENANT,
                              "{\"model\":\"drafting-7b\",\"max_tokens\":2000,"
                              "\"prompt\":\"deadline\"}",
                              headers, &answer);
    const json_t *error = json_object_get(answer, "error");
    CU_ASSERT_EQUAL(status, 504);
    CU_ASSERT_EQUAL(g_strcmp0(json_string_value(json_object_get(error, "executed")), "unknown"), 0);
    json_decref(answer);
    CU_ASSERT_TRUE(wait_until(is_cancelled, (gpointer) "deadline", 5000));
}

/** Sends a run-once completion with a key. @return the status; @p text: owned, may be NULL. */
static long send_run_once(int daemon, const char *prompt, const char *key, char **text) {
    const char *const headers[] = {"Heathsail-Run-Once", "true", "Idempotency-Key", key, NULL};
    g_autofree char *body =
        g_strdup_printf("{\"model\":\"drafting-7b\",\"max_tokens\":5,\"prompt\":\"%s\"}", prompt);
    json_t *answer = NULL;
    long status = client_call("POST", test_fleet.caller_urls[daemon], "/v1/completions",
                              TEST_TENANT, body, headers, &answer);
    const json_t *choice = json_array_get(json_object_get(answer, "choices"), 0);
    *text = g_strdup(json_string_value(json_object_get(choice, "text")));
    json_decref(answer);
    return status;
}

static void run_once_resent_through_another_daemon_runs_once(void) {
    g_autofree char *expected = answer_text("fee-1", 5);
    for (int daemon = 0; daemon < 3; daemon++) {
        g_autofree char *text = NULL;
        CU_ASSERT_EQUAL(send_run_once(daemon, "fee-1", "fee-key", &text), 200);
        CU_ASSERT_EQUAL(g_strcmp0(text, expected), 0);
    }
    CU_ASSERT_EQUAL(count_engine_runs("fee-1", NULL), 1);
}

static void run_once_is_not_resent_after_an_interruption(void) {
    CU_ASSERT_TRUE(wait_until(is_served, NULL, 5000));
    set_all_engine_faults("{\"cut_count\":100,\"cut_after_tokens\":1}");
    g_autofree char *text = NULL;
    long status = send_run_once(0, "fee-cut", "fee-cut-key", &text);
    set_all_engine_faults("{\"cut_count\":0}");
    CU_ASSERT_EQUAL(status, 502);
    CU_ASSERT_EQUAL(count_engine_runs("fee-cut", NULL), 1);
    g_autofree char *again = NULL;
    CU_ASSERT_EQUAL(send_run_once(1, "fee-cut", "fee-cut-key", &again), 200);
    CU_ASSERT_EQUAL(count_engine_runs("fee-cut", NULL), 1);
}

static void keyed_run_once_is_refused_while_the_platform_is_down(void) {
    CU_ASSERT_TRUE(wait_until(is_served, NULL, 5000));
    CU_ASSERT_TRUE(fleet_set_faults(test_fleet.platform_url, "{\"down\":true}"));
    g_autofree char *text = NULL;
    CU_ASSERT_EQUAL(send_run_once(0, "fee-down", "fee-down-key", &text), 503);
    CU_ASSERT_TRUE(is_served(NULL));
    CU_ASSERT_TRUE(fleet_set_faults(test_fleet.platform_url, "{\"down\":false}"));
    CU_ASSERT_EQUAL(count_engine_runs("fee-down", NULL), 0);
    g_autofree char *later = NULL;
    CU_ASSERT_EQUAL(send_run_once(1, "fee-down", "fee-down-key", &later), 200);
    CU_ASSERT_EQUAL(count_engine_runs("fee-down", NULL), 1);
}

/** A request without streaming, sent by a thread; its engine is killed meanwhile. */
typedef struct {
    long status;
    char *text;
} plain_call;

static gpointer send_plain(gpointer data) {
    plain_call *call = data;
    json_t *answer = NULL;
    call->status = client_call("POST", test_fleet.caller_urls[0], "/v1/completions", TEST_TENANT,
                               "{\"model\":\"drafting-7b\",\"max_tokens\":150,"
                               "\"prompt\":\"engine-lost\"}",
                               NULL, &answer);
    const json_t *choice = json_array_get(json_object_get(answer, "choices"), 0);
    call->text = g_strdup(json_string_value(json_object_get(choice, "text")));
    json_decref(answer);
    return NULL;
}

/** Returns the index of the engine that has sent tokens of the prompt; -1: none. */
static int find_running_engine(const char *prompt) {
    for (int engine = 0; engine < test_fleet.engine_count; engine++) {
        json_t *record = NULL;
        bool is_running = false;
        client_call("GET", test_fleet.engine_urls[engine], "/control/record", NULL, NULL, NULL,
                    &record);
        size_t index;
        json_t *entry;
        json_array_foreach(json_object_get(record, "requests"), index, entry) {
            is_running = is_running || (strcmp(json_string_value(json_object_get(entry, "prompt")),
                                               prompt) == 0 &&
                                        json_integer_value(json_object_get(entry, "tokens")) > 10);
        }
        json_decref(record);
        if (is_running)
            return engine;
    }
    return -1;
}

static bool is_running_at_an_engine(void *prompt) {
    return find_running_engine(prompt) >= 0;
}

static void plain_answer_is_complete_after_an_engine_crash(void) {
    CU_ASSERT_TRUE(wait_until(is_served, NULL, 5000));
    plain_call call = {0, NULL};
    GThread *thread = g_thread_new("plain", send_plain, &call);
    CU_ASSERT_TRUE(wait_until(is_running_at_an_engine, (gpointer) "engine-lost", 5000));
    int engine = find_running_engine("engine-lost");
    CU_ASSERT_FATAL(engine >= 0);
    fleet_signal(&test_fleet.engine_pids[engine], SIGKILL);
    g_thread_join(thread);
    g_autofree char *expected = answer_text("engine-lost", 150);
    CU_ASSERT_EQUAL(call.status, 200);
    CU_ASSERT_EQUAL(g_strcmp0(call.text, expected), 0);
    g_free(call.text);
    CU_ASSERT_TRUE(fleet_start_engine(&test_fleet, engine));
}

const test_case online_tests[] = {
    {"run_once_resent_through_another_daemon_runs_once",
     run_once_resent_through_another_daemon_runs_once},
    {"run_once_is_not_resent_after_an_interruption", run_once_is_not_resent_after_an_interruption},
    {"keyed_run_once_is_refused_while_the_platform_is_down",
     keyed_run_once_is_refused_while_the_platform_is_down},
    {"caller_disconnect_cancels_the_engine_run", caller_disconnect_cancels_the_engine_run},
    {"interrupted_stream_is_resumed_without_gaps", interrupted_stream_is_resumed_without_gaps},
    {"unresumable_stream_ends_in_an_explicit_error", unresumable_stream_ends_in_an_explicit_error},
    {"refusal_by_all_engines_is_reported_as_not_executed",
     refusal_by_all_engines_is_reported_as_not_executed},
    {"expired_deadline_is_answered_and_cancels_the_run",
     expired_deadline_is_answered_and_cancels_the_run},
    {"plain_answer_is_complete_after_an_engine_crash",
     plain_answer_is_complete_after_an_engine_crash},
    {"retries_during_an_outage_are_limited", retries_during_an_outage_are_limited},
    {NULL, NULL}};
