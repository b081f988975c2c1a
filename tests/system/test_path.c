/** @file test_path.c  End-to-end paths of online requests, jobs and files. */
#include "standin/engine/answer.h"
#include "tests/system/system_tests.h"

#include <signal.h>
#include <string.h>

#define JOB_TIMEOUT_MS 30000

static void plain_answer_is_complete(void) {
    json_t *body = NULL;
    long status = client_call("POST", test_fleet.caller_urls[0], "/v1/completions", TEST_TENANT,
                              "{\"model\":\"drafting-7b\",\"max_tokens\":9,\"prompt\":\"plain\"}",
                              NULL, &body);
    g_autofree char *expected = answer_text("plain", 9);
    const json_t *choice = json_array_get(json_object_get(body, "choices"), 0);
    CU_ASSERT_EQUAL(status, 200);
    CU_ASSERT_EQUAL(g_strcmp0(json_string_value(json_object_get(choice, "text")), expected), 0);
    json_decref(body);
}

static void streamed_answer_is_complete_on_every_daemon(void) {
    g_autofree char *expected = answer_text("streamed", 11);
    for (int daemon = 0; daemon < 3; daemon++) {
        client_stream stream;
        client_stream_run(test_fleet.caller_urls[daemon], "/v1/chat/completions", TEST_TENANT,
                          "{\"model\":\"drafting-7b\",\"max_tokens\":11,\"stream\":true,"
                          "\"messages\":[{\"role\":\"user\",\"content\":\"streamed\"}]}",
                          NULL, 0, &stream);
        CU_ASSERT_EQUAL(stream.status, 200);
        CU_ASSERT_TRUE(stream.done_seen);
        CU_ASSERT_STRING_EQUAL(stream.text->str, expected);
        client_stream_clear(&stream);
    }
}

static void models_route_by_label(void) {
    json_t *body = NULL;
    client_call("POST", test_fleet.caller_urls[1], "/v1/completions", TEST_TENANT,
                "{\"model\":\"order-3b\",\"max_tokens\":2,\"prompt\":\"labelled-request\"}", NULL,
                &body);
    json_decref(body);
    json_t *record = NULL;
    client_call("GET", test_fleet.engine_urls[3], "/control/record", NULL, NULL, NULL, &record);
    char *text = json_dumps(record, 0);
    CU_ASSERT_PTR_NOT_NULL(strstr(text, "labelled-request"));
    free(text);
    json_decref(record);
}

static void batch_completes_every_item_once(void) {
    g_autofree char *lines = test_lines("whole", 60, 5, 0);
    g_autofree char *job_id = submit_lines(lines, 0, 1, NULL);
    CU_ASSERT_PTR_NOT_NULL_FATAL(job_id);
    json_t *job = client_wait_batch(test_fleet.caller_urls[2], TEST_TENANT, job_id, JOB_TIMEOUT_MS);
    CU_ASSERT_PTR_NOT_NULL(job);
    json_decref(job);
    json_t *results = read_results(job_id, 2);
    CU_ASSERT_EQUAL(json_array_size(results), 60);
    g_autoptr(GHashTable) seen = g_hash_table_new(g_str_hash, g_str_equal);
    size_t index;
    json_t *line;
    json_array_foreach(results, index, line) {
        const char *custom_id = json_string_value(json_object_get(line, "custom_id"));
        g_autofree char *expected = answer_text(custom_id, 5);
        const json_t *body = json_object_get(json_object_get(line, "response"), "body");
        const json_t *choice = json_array_get(json_object_get(body, "choices"), 0);
        CU_ASSERT_TRUE(g_hash_table_add(seen, (gpointer)custom_id));
        CU_ASSERT_EQUAL(g_strcmp0(json_string_value(json_object_get(choice, "text")), expected), 0);
    }
    json_decref(results);
}

static void resubmitted_job_has_the_same_id(void) {
    g_autofree char *lines = test_lines("resent", 10, 3, 0);
    g_autofree char *first = submit_lines(lines, 0, 0, NULL);
    g_autofree char *second = submit_lines(lines, 1, 2, NULL);
    CU_ASSERT_PTR_NOT_NULL_FATAL(first);
    CU_ASSERT_PTR_NOT_NULL_FATAL(second);
    CU_ASSERT_EQUAL(g_strcmp0(first, second), 0);
    g_autofree char *keyed = submit_lines(lines, 0, 0, "key-1");
    g_autofree char *keyed_again = submit_lines(lines, 2, 1, "key-1");
    CU_ASSERT_PTR_NOT_NULL(keyed);
    CU_ASSERT_EQUAL(g_strcmp0(keyed, keyed_again), 0);
    CU_ASSERT_NOT_EQUAL(g_strcmp0(first, keyed), 0);
}

static void run_once_items_run_once(void) {
    g_autofree char *lines = test_lines("once", 12, 3, 1);
    g_autofree char *job_id = submit_lines(lines, 0, 0, NULL);
    CU_ASSERT_PTR_NOT_NULL_FATAL(job_id);
    json_t *job = client_wait_batch(test_fleet.caller_urls[1], TEST_TENANT, job_id, JOB_TIMEOUT_MS);
    CU_ASSERT_EQUAL(
        json_integer_value(json_object_get(json_object_get(job, "request_counts"), "completed")),
        12);
    json_decref(job);
    CU_ASSERT_EQUAL(count_engine_runs("once-", NULL), 12);
}

static bool is_nothing_running(void *user_data) {
    const char *prefix = user_data;
    return count_engine_runs(prefix, "running") + count_engine_runs(prefix, "waiting") == 0;
}

static void cancelled_job_stops(void) {
    g_autofree char *lines = test_lines("cancelled", 400, 200, 0);
    g_autofree char *job_id = submit_lines(lines, 0, 0, NULL);
    CU_ASSERT_PTR_NOT_NULL_FATAL(job_id);
    g_autofree char *path = g_strdup_printf("/v1/batches/%s/cancel", job_id);
    json_t *job = NULL;
    CU_ASSERT_EQUAL(
        client_call("POST", test_fleet.caller_urls[1], path, TEST_TENANT, "{}", NULL, &job), 200);
    CU_ASSERT_EQUAL(g_strcmp0(json_string_value(json_object_get(job, "status")), "cancelled"), 0);
    json_int_t counted =
        json_integer_value(json_object_get(json_object_get(job, "request_counts"), "completed"));
    json_decref(job);
    CU_ASSERT_TRUE(wait_until(is_nothing_running, (gpointer) "cancelled-", 10000));
    job = client_wait_batch(test_fleet.caller_urls[2], TEST_TENANT, job_id, JOB_TIMEOUT_MS);
    CU_ASSERT_EQUAL(
        json_integer_value(json_object_get(json_object_get(job, "request_counts"), "completed")),
        counted);
    json_decref(job);
}

static bool is_some_item_running(void *prefix) {
    return count_engine_runs(prefix, "running") > 0;
}

/** Sends streams that keep the engines busy, so that batch items are preempted. */
static gpointer occupy_engines(gpointer data) {
    const char *prompt = data;
    for (int request = 0; request < 6; request++) {
        g_autofree char *body = g_strdup_printf(
            "{\"model\":\"drafting-7b\",\"max_tokens\":40,\"stream\":true,\"prompt\":\"%s-%d\"}",
            prompt, request);
        client_stream stream;
        client_stream_run(test_fleet.caller_urls[request % 3], "/v1/completions", TEST_TENANT, body,
                          NULL, 0, &stream);
        CU_ASSERT_TRUE(stream.done_seen);
        client_stream_clear(&stream);
    }
    return NULL;
}

static void preempted_items_complete_without_gaps(void) {
    static const char *const prompts[] = {"occupy-a", "occupy-b", "occupy-c", "occupy-d"};
    GThread *threads[G_N_ELEMENTS(prompts)];
    g_autofree char *lines = test_lines("aside", 40, 150, 0);
    g_autofree char *job_id = submit_lines(lines, 0, 0, NULL);
    CU_ASSERT_PTR_NOT_NULL_FATAL(job_id);
    CU_ASSERT_TRUE(wait_until(is_some_item_running, (gpointer) "aside-", 10000));
    for (size_t index = 0; index < G_N_ELEMENTS(prompts); index++)
        threads[index] = g_thread_new("occupy", occupy_engines, (gpointer)prompts[index]);
    for (size_t index = 0; index < G_N_ELEMENTS(prompts); index++)
        g_thread_join(threads[index]);
    json_t *job = client_wait_batch(test_fleet.caller_urls[2], TEST_TENANT, job_id, JOB_TIMEOUT_MS);
    CU_ASSERT_PTR_NOT_NULL(job);
    json_decref(job);
    json_t *results = read_results(job_id, 1);
    CU_ASSERT_EQUAL(json_array_size(results), 40);
    size_t index;
    json_t *line;
    json_array_foreach(results, index, line) {
        g_autofree char *expected =
            answer_text(json_string_value(json_object_get(line, "custom_id")), 150);
        const json_t *body = json_object_get(json_object_get(line, "response"), "body");
        const json_t *choice = json_array_get(json_object_get(body, "choices"), 0);
        CU_ASSERT_EQUAL(g_strcmp0(json_string_value(json_object_get(choice, "text")), expected), 0);
    }
    json_decref(results);
}

/** Stops the first engine that runs items of the prefix. @return the engine's index, or -1. */
static int stop_busy_engine(const char *prefix) {
    for (int engine = 0; engine < 3; engine++) {
        json_t *record = NULL;
        client_call("GET", test_fleet.engine_urls[engine], "/control/record", NULL, NULL, NULL,
                    &record);
        char *text = json_dumps(record, JSON_COMPACT);
        bool busy = strstr(text, prefix) != NULL && strstr(text, "\"running\"") != NULL;
        free(text);
        json_decref(record);
        if (busy && fleet_signal(&test_fleet.engine_pids[engine], SIGSTOP) == 0)
            return engine;
    }
    return -1;
}

static void stalled_engine_does_not_block_a_job(void) {
    g_autofree char *lines = test_lines("held", 60, 100, 0);
    g_autofree char *job_id = submit_lines(lines, 0, 0, NULL);
    CU_ASSERT_PTR_NOT_NULL_FATAL(job_id);
    CU_ASSERT_TRUE(wait_until(is_some_item_running, (gpointer) "held-", 10000));
    int stopped = stop_busy_engine("held-");
    CU_ASSERT(stopped >= 0);
    json_t *job = client_wait_batch(test_fleet.caller_urls[2], TEST_TENANT, job_id, JOB_TIMEOUT_MS);
    CU_ASSERT_EQUAL(
        json_integer_value(json_object_get(json_object_get(job, "request_counts"), "completed")),
        60);
    json_decref(job);
    if (stopped >= 0)
        fleet_signal(&test_fleet.engine_pids[stopped], SIGCONT);
}

static void jobs_are_listed_to_their_tenant_only(void) {
    json_t *mine = NULL;
    json_t *others = NULL;
    client_call("GET", test_fleet.caller_urls[1], "/v1/batches?limit=2", TEST_TENANT, NULL, NULL,
                &mine);
    client_call("GET", test_fleet.caller_urls[1], "/v1/batches", "somebody", NULL, NULL, &others);
    CU_ASSERT_EQUAL(json_array_size(json_object_get(mine, "data")), 2);
    CU_ASSERT_TRUE(json_is_true(json_object_get(mine, "has_more")));
    CU_ASSERT_EQUAL(json_array_size(json_object_get(others, "data")), 0);
    json_decref(mine);
    json_decref(others);
}

static void uploaded_file_reads_back(void) {
    g_autofree char *lines = test_lines("readback", 7, 3, 0);
    g_autofree char *file_id = NULL;
    CU_ASSERT_EQUAL(client_upload(test_fleet.caller_urls[0], TEST_TENANT, lines, &file_id), 200);
    g_autofree char *path = g_strdup_printf("/v1/files/%s/content", file_id);
    hs_http_answer answer;
    CU_ASSERT_TRUE(
        client_exchange("GET", test_fleet.caller_urls[2], path, TEST_TENANT, NULL, NULL, &answer));
    CU_ASSERT_PTR_NOT_NULL(answer.body);
    CU_ASSERT_TRUE(g_str_has_prefix(answer.body, lines));
    hs_http_answer_clear(&answer);
    CU_ASSERT_EQUAL(
        client_call("GET", test_fleet.caller_urls[2], path, "somebody", NULL, NULL, NULL), 404);
}

static void metrics_are_prometheus_text(void) {
    hs_http_answer answer;
    CU_ASSERT_TRUE(
        client_exchange("GET", test_fleet.admin_urls[0], "/metrics", NULL, NULL, NULL, &answer));
    CU_ASSERT_PTR_NOT_NULL(strstr(answer.body, "# TYPE heathsail_online_requests_total counter"));
    CU_ASSERT_PTR_NOT_NULL(
        strstr(answer.body, "heathsail_first_token_seconds_bucket{le=\"+Inf\"}"));
    hs_http_answer_clear(&answer);
}

static void engine_choice_is_explained(void) {
    hs_http_answer answer;
    json_t *body = NULL;
    json_t *trace = NULL;
    CU_ASSERT_TRUE(client_exchange(
        "POST", test_fleet.caller_urls[0], "/v1/completions", TEST_TENANT,
        "{\"model\":\"drafting-7b\",\"max_tokens\":1,\"prompt\":\"x\"}", NULL, &answer));
    body = json_loads(answer.body, 0, NULL);
    hs_http_answer_clear(&answer);
    g_autofree char *path =
        g_strdup_printf("/admin/v1/explain/%s", json_string_value(json_object_get(body, "id")));
    CU_ASSERT_EQUAL(client_call("GET", test_fleet.admin_urls[0], path, NULL, NULL, NULL, &trace),
                    200);
    const char *line = json_string_value(json_array_get(json_object_get(trace, "attempts"), 0));
    CU_ASSERT_PTR_NOT_NULL_FATAL(line);
    CU_ASSERT_TRUE(line != NULL && strstr(line, "reason=") != NULL);
    json_decref(body);
    json_decref(trace);
}

const test_case path_tests[] = {
    {"plain_answer_is_complete", plain_answer_is_complete},
    {"streamed_answer_is_complete_on_every_daemon", streamed_answer_is_complete_on_every_daemon},
    {"models_route_by_label", models_route_by_label},
    {"batch_completes_every_item_once", batch_completes_every_item_once},
    {"resubmitted_job_has_the_same_id", resubmitted_job_has_the_same_id},
    {"run_once_items_run_once", run_once_items_run_once},
    {"cancelled_job_stops", cancelled_job_stops},
    {"preempted_items_complete_without_gaps", preempted_items_complete_without_gaps},
    {"stalled_engine_does_not_block_a_job", stalled_engine_does_not_block_a_job},
    {"jobs_are_listed_to_their_tenant_only", jobs_are_listed_to_their_tenant_only},
    {"uploaded_file_reads_back", uploaded_file_reads_back},
    {"metrics_are_prometheus_text", metrics_are_prometheus_text},
    {"engine_choice_is_explained", engine_choice_is_explained},
    {NULL, NULL}};
