/** @file test_refusals.c  Invalid input is refused completely, with a specific 4xx code. */
#include "tests/system/system_tests.h"

#include <string.h>

/** Checks that a POST is refused with @p status and @p code, and with executed "no". */
static void check_post_refused(const char *path, const char *tenant, const char *body,
                               client_headers headers, long status, const char *code) {
    json_t *answer = NULL;
    long got = client_call("POST", test_fleet.caller_urls[0], path, tenant, body, headers, &answer);
    const json_t *error = json_object_get(answer, "error");
    CU_ASSERT_EQUAL(got, status);
    CU_ASSERT_EQUAL(g_strcmp0(json_string_value(json_object_get(error, "code")), code), 0);
    CU_ASSERT_EQUAL(g_strcmp0(json_string_value(json_object_get(error, "executed")), "no"), 0);
    json_decref(answer);
}

static void bad_completions_are_refused(void) {
    const char *path = "/v1/completions";
    const char *good = "{\"model\":\"drafting-7b\",\"prompt\":\"bad-input\"}";
    check_post_refused(path, NULL, good, NULL, 401, "no_tenant");
    check_post_refused(path, TEST_TENANT, "{broken", NULL, 400, "bad_json");
    check_post_refused(path, TEST_TENANT, "{\"model\":\"drafting-7b\"}", NULL, 400, "bad_request");
    check_post_refused(path, TEST_TENANT,
                       "{\"model\":\"drafting-7b\",\"prompt\":\"bad-input\",\"max_tokens\":-1}",
                       NULL, 400, "bad_request");
    check_post_refused(
        path, TEST_TENANT,
        "{\"model\":\"drafting-7b\",\"prompt\":\"bad-input\",\"max_tokens\":99999999}", NULL, 400,
        "bad_request");
    check_post_refused(path, TEST_TENANT, "{\"model\":\"no-such\",\"prompt\":\"bad-input\"}", NULL,
                       404, "model_not_found");
    const char *const bad_timeout[] = {"Heathsail-Timeout-Ms", "soon", NULL};
    check_post_refused(path, TEST_TENANT, good, bad_timeout, 400, "bad_timeout");
    g_autofree char *padding = g_strnfill(30000, 'x');
    g_autofree char *large =
        g_strdup_printf("{\"model\":\"drafting-7b\",\"prompt\":\"bad-input %s\"}", padding);
    check_post_refused(path, TEST_TENANT, large, NULL, 413, "body_too_large");
    CU_ASSERT_EQUAL(count_engine_runs("bad-input", NULL), 0);
}

static void large_head_is_refused(void) {
    g_autofree char *padding = g_strnfill(6000, 'h');
    const char *const headers[] = {"X-Padding", padding, NULL};
    check_post_refused("/v1/completions", TEST_TENANT,
                       "{\"model\":\"drafting-7b\",\"prompt\":\"head\"}", headers, 431,
                       "headers_too_large");
    CU_ASSERT_EQUAL(count_engine_runs("head", NULL), 0);
}

static void unknown_tenant_is_refused_with_listed_tenants_only(void) {
    const char *limits = "/admin/v1/limits/default";
    CU_ASSERT_EQUAL(client_call("PUT", test_fleet.admin_urls[0], limits, NULL,
                                "{\"listed_tenants_only\":true}", NULL, NULL),
                    200);
    check_post_refused("/v1/completions", TEST_TENANT,
                       "{\"model\":\"drafting-7b\",\"prompt\":\"t\"}", NULL, 401, "unknown_tenant");
    CU_ASSERT_EQUAL(client_call("DELETE", test_fleet.admin_urls[0], limits, NULL, NULL, NULL, NULL),
                    200);
}

static void tenant_over_its_limit_gets_a_retry_time(void) {
    const char *limit = "/admin/v1/limits/" TEST_TENANT;
    CU_ASSERT_EQUAL(client_call("PUT", test_fleet.admin_urls[0], limit, NULL,
                                "{\"requests_per_second\":2}", NULL, NULL),
                    200);
    int refused = 0;
    for (int request = 0; request < 30; request++) {
        hs_http_answer answer;
        client_exchange("POST", test_fleet.caller_urls[0], "/v1/completions", TEST_TENANT,
                        "{\"model\":\"drafting-7b\",\"max_tokens\":1,\"prompt\":\"limited\"}", NULL,
                        &answer);
        CU_ASSERT(answer.status == 200 || answer.status == 429);
        CU_ASSERT(answer.status == 200 || answer.retry_after_s >= 1);
        refused += answer.status == 429;
        hs_http_answer_clear(&answer);
    }
    CU_ASSERT(refused > 0);
    CU_ASSERT_EQUAL(client_call("DELETE", test_fleet.admin_urls[0], limit, NULL, NULL, NULL, NULL),
                    200);
}

static long upload(const char *lines) {
    g_autofree char *file_id = NULL;
    return client_upload(test_fleet.caller_urls[0], TEST_TENANT, lines, &file_id);
}

static void bad_files_are_refused(void) {
    g_autofree char *good = test_lines("file", 1, 3, 0);
    g_autofree char *twice = g_strconcat(good, good, NULL);
    g_autofree char *padding = g_strnfill(5000, 'x');
    g_autofree char *long_line = g_strdup_printf("{\"custom_id\":\"%s\"}\n", padding);
    CU_ASSERT_EQUAL(upload(twice), 400);
    CU_ASSERT_EQUAL(upload("{broken\n"), 400);
    CU_ASSERT_EQUAL(upload(long_line), 400);
    CU_ASSERT_EQUAL(upload("{\"custom_id\":\"a\",\"method\":\"POST\",\"url\":\"/v1/else\","
                           "\"body\":{}}\n"),
                    400);
    CU_ASSERT_EQUAL(upload(good), 200);
}

/** Posts a raw multipart body; returns the status, 0 without an answer. */
static long post_multipart(const char *content_type, const char *body) {
    g_autofree char *url = g_strconcat(test_fleet.caller_urls[0], "/v1/files", NULL);
    const char *headers[] = {"Authorization", "Bearer " TEST_TENANT, NULL};
    hs_http_request request = {.method = "POST",
                               .url = url,
                               .content_type = content_type,
                               .body = body,
                               .body_length = strlen(body),
                               .timeout_s = 10,
                               .header_list = headers};
    hs_http_answer answer;
    long status = hs_http_exchange(&request, &answer) ? answer.status : 0;
    hs_http_answer_clear(&answer);
    return status;
}

static void broken_multipart_is_refused(void) {
    CU_ASSERT_EQUAL(post_multipart("multipart/form-data", "nothing"), 400);
    CU_ASSERT_EQUAL(post_multipart("multipart/form-data; boundary=b", "--b\r\nnonsense"), 400);
    g_autofree char *lines = test_lines("cut", 2, 3, 0);
    g_autofree char *cut = g_strdup_printf(
        "--b\r\nContent-Disposition: form-data; name=\"purpose\"\r\n\r\nbatch\r\n--b\r\n"
        "Content-Disposition: form-data; name=\"file\"; filename=\"f\"\r\n\r\n%s",
        lines);
    CU_ASSERT_EQUAL(post_multipart("multipart/form-data; boundary=b", cut), 400);
}

static void bad_batches_are_refused(void) {
    const char *path = "/v1/batches";
    g_autofree char *lines = test_lines("batches", 2, 3, 0);
    g_autofree char *file_id = NULL;
    client_upload(test_fleet.caller_urls[0], TEST_TENANT, lines, &file_id);
    g_autofree char *mismatch = g_strdup_printf(
        "{\"input_file_id\":\"%s\",\"endpoint\":\"/v1/chat/completions\"}", file_id);
    g_autofree char *window = g_strdup_printf(
        "{\"input_file_id\":\"%s\",\"endpoint\":\"/v1/completions\",\"completion_window\":\"x\"}",
        file_id);
    check_post_refused(path, TEST_TENANT, "[]", NULL, 400, "bad_json");
    check_post_refused(path, TEST_TENANT, "{\"endpoint\":\"/v1/completions\"}", NULL, 400,
                       "bad_request");
    check_post_refused(path, TEST_TENANT,
                       "{\"input_file_id\":\"file_0000_x\",\"endpoint\":\"/v1/completions\"}", NULL,
                       404, "file_not_found");
    check_post_refused(path, "somebody", mismatch, NULL, 404, "file_not_found");
    check_post_refused(path, TEST_TENANT, mismatch, NULL, 400, "endpoint_mismatch");
    check_post_refused(path, TEST_TENANT, window, NULL, 400, "bad_request");
    json_t *list = NULL;
    client_call("GET", test_fleet.caller_urls[0], path, TEST_TENANT, NULL, NULL, &list);
    CU_ASSERT_EQUAL(json_array_size(json_object_get(list, "data")), 0);
    json_decref(list);
}

static void bad_configuration_is_refused(void) {
    const char *url = test_fleet.admin_urls[0];
    CU_ASSERT_EQUAL(client_call("PUT", url, "/admin/v1/engine-groups/x", NULL, "{}", NULL, NULL),
                    400);
    CU_ASSERT_EQUAL(client_call("PUT", url, "/admin/v1/cellars/x", NULL, "{}", NULL, NULL), 404);
    CU_ASSERT_EQUAL(client_call("PUT", url, "/admin/v1/limits/a%20b", NULL, "{}", NULL, NULL), 400);
    CU_ASSERT_EQUAL(client_call("DELETE", url, "/admin/v1/limits/none", NULL, NULL, NULL, NULL),
                    404);
}

static void stale_etag_gets_412(void) {
    const char *path = "/admin/v1/limits/raced";
    hs_http_answer answer;
    client_exchange("PUT", test_fleet.admin_urls[0], path, NULL, "{\"max_in_flight\":5}", NULL,
                    &answer);
    CU_ASSERT_PTR_NOT_NULL_FATAL(answer.etag);
    const char *const stale[] = {"If-Match", "\"0\"", NULL};
    const char *const current[] = {"If-Match", answer.etag, NULL};
    CU_ASSERT_EQUAL(client_call("PUT", test_fleet.admin_urls[1], path, NULL,
                                "{\"max_in_flight\":6}", stale, NULL),
                    412);
    CU_ASSERT_EQUAL(client_call("PUT", test_fleet.admin_urls[0], path, NULL,
                                "{\"max_in_flight\":7}", current, NULL),
                    200);
    CU_ASSERT_EQUAL(client_call("PUT", test_fleet.admin_urls[0], path, NULL,
                                "{\"max_in_flight\":8}", current, NULL),
                    412);
    hs_http_answer_clear(&answer);
}

const test_case refusal_tests[] = {
    {"bad_completions_are_refused", bad_completions_are_refused},
    {"large_head_is_refused", large_head_is_refused},
    {"unknown_tenant_is_refused_with_listed_tenants_only",
     unknown_tenant_is_refused_with_listed_tenants_only},
    {"tenant_over_its_limit_gets_a_retry_time", tenant_over_its_limit_gets_a_retry_time},
    {"bad_files_are_refused", bad_files_are_refused},
    {"broken_multipart_is_refused", broken_multipart_is_refused},
    {"bad_batches_are_refused", bad_batches_are_refused},
    {"bad_configuration_is_refused", bad_configuration_is_refused},
    {"stale_etag_gets_412", stale_etag_gets_412},
    {NULL, NULL}};
