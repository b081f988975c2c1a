/** @file test_leaving.c  Leaving engines, graceful stops, and rolling restarts under load. */
#include "base/clock.h"
#include "standin/engine/answer.h"
#include "tests/support/raw_caller.h"
#include "tests/support/stop_request.h"
#include "tests/system/system_tests.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define DAEMONS 3
#define PROPAGATION_TIMEOUT_MS 10000
#define READY_TIMEOUT_MS 10000
#define LOAD_THREADS 6
#define RESTARTS 10
#define JOB_TIMEOUT_MS 60000
#define JOB_ITEMS 150
#define KEPT_CALLERS 24
#define KEPT_WARM_UP_MS 1000
#define ANSWER_LIMIT_MS 10000
/** Setting daemon.drain_notice_ms; connections that are idle for longer may be closed unasked. */
#define DRAIN_NOTICE_MS 200

/** Sends a completion; @p is_whole: whether the answer has the complete expected text. */
static long complete_through(int daemon, const char *prompt, int tokens, bool *is_whole) {
    g_autofree char *body = g_strdup_printf(
        "{\"model\":\"drafting-7b\",\"max_tokens\":%d,\"prompt\":\"%s\"}", tokens, prompt);
    json_t *answer = NULL;
    long status = client_call("POST", test_fleet.caller_urls[daemon], "/v1/completions",
                              TEST_TENANT, body, NULL, &answer);
    const json_t *choice = json_array_get(json_object_get(answer, "choices"), 0);
    g_autofree char *expected = answer_text(prompt, (uint32_t)tokens);
    *is_whole = g_strcmp0(json_string_value(json_object_get(choice, "text")), expected) == 0;
    json_decref(answer);
    return status;
}

static bool is_engine_0_leaving_everywhere(void *user_data) {
    (void)user_data;
    for (int daemon = 0; daemon < DAEMONS; daemon++) {
        json_t *status = NULL;
        client_call("GET", test_fleet.admin_urls[daemon], "/admin/v1/status", NULL, NULL, NULL,
                    &status);
        bool is_leaving = false;
        size_t index;
        json_t *engine;
        json_array_foreach(json_object_get(status, "engines"), index, engine) {
            const char *id = json_string_value(json_object_get(engine, "id"));
            is_leaving = is_leaving || (g_strcmp0(id, "engine-0") == 0 &&
                                        json_is_true(json_object_get(engine, "leaving")));
        }
        json_decref(status);
        if (!is_leaving)
            return false;
    }
    return true;
}

static int get_leaving_refusals(void) {
    json_t *record = NULL;
    client_call("GET", test_fleet.engine_urls[0], "/control/record", NULL, NULL, NULL, &record);
    int refusals = (int)json_integer_value(json_object_get(record, "leaving_refusals"));
    json_decref(record);
    return refusals;
}

static void leaving_engine_gets_no_requests_with_a_stale_engine_list(void) {
    bool is_whole = false;
    CU_ASSERT_TRUE(fleet_set_faults(test_fleet.platform_url, "{\"list_lag_ms\":30000}"));
    CU_ASSERT_TRUE(fleet_set_faults(test_fleet.engine_urls[0], "{\"leaving\":true}"));
    CU_ASSERT_TRUE(wait_until(is_engine_0_leaving_everywhere, NULL, PROPAGATION_TIMEOUT_MS));
    int before = get_leaving_refusals();
    for (int request = 0; request < 60; request++) {
        g_autofree char *prompt = g_strdup_printf("leaving-%d", request);
        CU_ASSERT_EQUAL(complete_through(request % DAEMONS, prompt, 2, &is_whole), 200);
        CU_ASSERT_TRUE(is_whole);
    }
    CU_ASSERT_EQUAL(get_leaving_refusals(), before);
    fleet_set_faults(test_fleet.engine_urls[0], "{\"leaving\":false}");
    fleet_set_faults(test_fleet.platform_url, "{\"list_lag_ms\":50}");
}

static gpointer send_long_request(gpointer data) {
    client_stream *stream = data;
    client_stream_run(test_fleet.caller_urls[1], "/v1/completions", TEST_TENANT,
                      "{\"model\":\"drafting-7b\",\"max_tokens\":300,\"stream\":true,"
                      "\"prompt\":\"long-stream\"}",
                      NULL, 0, stream);
    return NULL;
}

static bool is_long_request_running(void *user_data) {
    (void)user_data;
    return count_engine_runs("long-stream", "running") == 1;
}

static void graceful_stop_finishes_an_open_stream(void) {
    client_stream stream;
    GThread *thread = g_thread_new("stream", send_long_request, &stream);
    CU_ASSERT_TRUE(wait_until(is_long_request_running, NULL, 5000));
    CU_ASSERT_EQUAL(fleet_signal(&test_fleet.daemon_pids[1], SIGTERM), 0);
    g_thread_join(thread);
    g_autofree char *expected = answer_text("long-stream", 300);
    CU_ASSERT_TRUE(stream.done_seen);
    CU_ASSERT_STRING_EQUAL(stream.text->str, expected);
    client_stream_clear(&stream);
    fleet_start_daemon(&test_fleet, 1, NULL);
    CU_ASSERT_TRUE(fleet_wait_ready(&test_fleet, 1, READY_TIMEOUT_MS));
}

/** Load of callers that check a daemon's readiness before each request, as client libraries do. */
typedef struct {
    gint stopping;
    gint sent;
    gint failed;
} restart_load;

static gpointer send_load(gpointer data) {
    restart_load *self = data;
    int daemon = 0;
    while (g_atomic_int_get(&self->stopping) == 0) {
        daemon = (daemon + 1) % DAEMONS;
        if (client_call("GET", test_fleet.admin_urls[daemon], "/readyz", NULL, NULL, NULL, NULL) !=
            200)
            continue;
        int number = g_atomic_int_add(&self->sent, 1);
        g_autofree char *prompt = g_strdup_printf("rolling-%d", number);
        bool is_whole = false;
        long status = complete_through(daemon, prompt, 12, &is_whole);
        if (status != 200 || !is_whole)
            g_atomic_int_inc(&self->failed);
    }
    return NULL;
}

static void rolling_restarts_under_load_fail_no_request(void) {
    restart_load self = {0, 0, 0};
    GThread *threads[LOAD_THREADS];
    for (int daemon = 0; daemon < DAEMONS; daemon++)
        CU_ASSERT_TRUE(fleet_wait_ready(&test_fleet, daemon, READY_TIMEOUT_MS));
    g_autofree char *lines = test_lines("rolled", JOB_ITEMS, 12, 5);
    g_autofree char *job_id = submit_lines(lines, 0, 0, NULL);
    CU_ASSERT_PTR_NOT_NULL_FATAL(job_id);
    for (int index = 0; index < LOAD_THREADS; index++)
        threads[index] = g_thread_new("load", send_load, &self);
    for (int restart = 0; restart < RESTARTS; restart++) {
        int daemon = restart % DAEMONS;
        CU_ASSERT_EQUAL(fleet_signal(&test_fleet.daemon_pids[daemon], SIGTERM), 0);
        fleet_start_daemon(&test_fleet, daemon, NULL);
        CU_ASSERT_TRUE(fleet_wait_ready(&test_fleet, daemon, READY_TIMEOUT_MS));
    }
    g_atomic_int_set(&self.stopping, 1);
    for (int index = 0; index < LOAD_THREADS; index++)
        g_thread_join(threads[index]);
    CU_ASSERT(self.sent > RESTARTS);
    CU_ASSERT_EQUAL(self.failed, 0);
    json_t *job = client_wait_batch(test_fleet.caller_urls[0], TEST_TENANT, job_id, JOB_TIMEOUT_MS);
    CU_ASSERT_EQUAL(
        json_integer_value(json_object_get(json_object_get(job, "request_counts"), "completed")),
        JOB_ITEMS);
    json_decref(job);
}

/** Callers that go on using their connections to daemon 1 while it stops. */
typedef struct {
    gint stopping;
    gint answered;
    gint refused;
    gint cut; /**< Sent on a connection in use, and not answered whole. */
} kept_load;

static raw_caller *open_caller(void) {
    const char *port = strrchr(test_fleet.caller_urls[1], ':') + 1;
    return raw_caller_open((uint16_t)strtoul(port, NULL, 10));
}

static stop_request send_kept(raw_caller *caller) {
    static const char body[] = "{\"model\":\"drafting-7b\",\"max_tokens\":2,\"prompt\":\"kept\"}";
    g_autofree char *text = g_strdup_printf(
        "POST /v1/completions HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer " TEST_TENANT
        "\r\nContent-Type: application/json\r\nContent-Length: %zu\r\n\r\n%s",
        strlen(body), body);
    stop_request request = {0};
    raw_caller_forget_text(caller);
    bool is_sent = raw_caller_send(caller, text);
    request.sent_ms = hs_clock_monotonic_ms();
    if (is_sent)
        stop_request_read_answer(caller, &request, ANSWER_LIMIT_MS);
    return request;
}

static gpointer send_on_kept_connection(gpointer data) {
    kept_load *self = data;
    raw_caller *caller = open_caller();
    uint64_t last_sent_ms = 0; /* On this connection; 0: none was. */
    while (caller != NULL && g_atomic_int_get(&self->stopping) == 0) {
        stop_request request = send_kept(caller);
        g_atomic_int_add(&self->answered, request.is_whole && request.status == 200);
        g_atomic_int_add(&self->refused, request.is_whole && request.status == 503);
        bool is_in_use = request.sent_ms < last_sent_ms + DRAIN_NOTICE_MS;
        g_atomic_int_add(&self->cut, is_in_use && !request.is_whole);
        last_sent_ms = request.is_whole && !request.is_closing ? request.sent_ms : 0;
        if (last_sent_ms > 0)
            continue;
        raw_caller_close(caller);
        caller = open_caller();
    }
    raw_caller_close(caller);
    return NULL;
}

static void a_stop_answers_each_request_on_a_kept_connection(void) {
    kept_load self = {0};
    GThread *threads[KEPT_CALLERS];
    for (int index = 0; index < KEPT_CALLERS; index++)
        threads[index] = g_thread_new("kept", send_on_kept_connection, &self);
    hs_clock_sleep_ms(KEPT_WARM_UP_MS);
    CU_ASSERT_EQUAL(fleet_signal(&test_fleet.daemon_pids[1], SIGTERM), 0);
    g_atomic_int_set(&self.stopping, 1);
    for (int index = 0; index < KEPT_CALLERS; index++)
        g_thread_join(threads[index]);
    printf("    answered %d, refused %d, cut %d\n", self.answered, self.refused, self.cut);
    CU_ASSERT(self.answered > KEPT_CALLERS);
    CU_ASSERT_EQUAL(self.cut, 0);
    fleet_start_daemon(&test_fleet, 1, NULL);
    CU_ASSERT_TRUE(fleet_wait_ready(&test_fleet, 1, READY_TIMEOUT_MS));
}

const test_case leaving_tests[] = {
    {"a_stop_answers_each_request_on_a_kept_connection",
     a_stop_answers_each_request_on_a_kept_connection},
    {"leaving_engine_gets_no_requests_with_a_stale_engine_list",
     leaving_engine_gets_no_requests_with_a_stale_engine_list},
    {"graceful_stop_finishes_an_open_stream", graceful_stop_finishes_an_open_stream},
    {"rolling_restarts_under_load_fail_no_request", rolling_restarts_under_load_fail_no_request},
    {NULL, NULL}};
