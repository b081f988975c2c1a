/** @file test_fleet_weights.c  System tests of requests that name the weights of an engine. */
#include "base/clock.h"
#include "http/http_fields.h"
#include "platform/names.h"
#include "tests/system/fleet_calls.h"
#include "tests/system/job_end_calls.h"
#include "tests/system/system_tests.h"

/** Requests for the weights of each engine, at each daemon. */
#define REQUESTS 4
#define ITEMS 3
/** Time in ms within which a request is refused that no engine can serve, and its timeout. */
#define REFUSAL_LIMIT_MS 1000
#define TIMEOUT_MS 4000
/** Time in ms for which items are open whose weights no engine has. */
#define UNSERVED_MS 4000

static const char *const weights[BENCH_ENGINES] = {"1", "2"};

int begin_weights(void) {
    bench.settings.weights = weights;
    return bench_set_up();
}

int end_weights(void) {
    int ended = bench_tear_down();
    bench.settings.weights = NULL;
    return ended;
}

static bench_answer post_for_weights(int daemon, const char *id, const char *version) {
    g_autofree char *field = g_strdup_printf(HEADER_EXPECTED_VERSION ": %s", version);
    const char *const fields[] = {field, NULL};
    return bench_send(&(bench_call){.daemon = daemon,
                                    .method = "POST",
                                    .target = "/plain/q",
                                    .request_id = id,
                                    .body = "hello",
                                    .fields = fields,
                                    .timeout_ms = TIMEOUT_MS});
}

/** Checks that each daemon serves a request without weights. */
static void check_plain_requests(const char *prefix) {
    for (int daemon = 0; daemon < BENCH_DEFAULT_DAEMONS; daemon++) {
        g_autofree char *id = g_strdup_printf("%s-%d", prefix, daemon);
        bench_answer answer = post_request(daemon, "/plain/q", id);
        CU_ASSERT_EQUAL(answer.status, 200);
        bench_answer_clear(&answer);
    }
}

/** Guards against engines that are taken for others at their address, and never used again. */
static void requests_for_weights_take_no_engine_from_other_work(void) {
    for (int number = 0; number < REQUESTS * BENCH_ENGINES; number++)
        for (int daemon = 0; daemon < BENCH_DEFAULT_DAEMONS; daemon++) {
            g_autofree char *id = g_strdup_printf("weights-%d-%d", daemon, number);
            bench_answer answer = post_for_weights(daemon, id, weights[number % BENCH_ENGINES]);
            CU_ASSERT_EQUAL(answer.status, 200);
            bench_answer_clear(&answer);
            CU_ASSERT_EQUAL(bench_run_count(id), 1);
        }
    check_plain_requests("after");
    for (int daemon = 0; daemon < BENCH_DEFAULT_DAEMONS; daemon++) {
        g_autofree char *id = g_strdup_printf("after-job-%d", daemon);
        CU_ASSERT_EQUAL(submit_job(daemon, id, ITEMS), 202);
        g_autofree char *page = bench_wait_job(daemon, id, ITEMS, JOB_LIMIT_MS);
        CU_ASSERT_PTR_NOT_NULL(page);
    }
}

/** Guards against a request that waits for its deadline though no engine can serve it. */
static void a_request_for_weights_that_no_engine_has_is_refused_at_once(void) {
    for (int daemon = 0; daemon < BENCH_DEFAULT_DAEMONS; daemon++) {
        g_autofree char *id = g_strdup_printf("none-%d", daemon);
        uint64_t started_ms = hs_clock_monotonic_ms();
        bench_answer answer = post_for_weights(daemon, id, "9");
        CU_ASSERT_EQUAL(answer.status, 503);
        CU_ASSERT_PTR_NOT_NULL(hs_http_fields_find(answer.fields, "Retry-After"));
        CU_ASSERT(hs_clock_monotonic_ms() - started_ms < REFUSAL_LIMIT_MS);
        CU_ASSERT_EQUAL(bench_run_count(id), 0);
        bench_answer_clear(&answer);
    }
    check_plain_requests("after-none");
}

/** Submits a job whose items name weights. */
static void submit_for_weights(const char *id, const char *version) {
    GString *body = g_string_new("{\"requests\":[");
    for (int item = 0; item < ITEMS; item++)
        g_string_append_printf(body,
                               "%s{\"id\":\"%s-%d\",\"path\":\"/jobs/run\",\"headers\":{"
                               "\"" HEADER_EXPECTED_VERSION "\":\"%s\"},"
                               "\"body\":\"aGk=\",\"tokens\":10}",
                               item > 0 ? "," : "", id, item, version);
    g_string_append(body, "]}");
    bench_answer answer = bench_send(
        &(bench_call){.method = "POST", .target = "/jobs/x", .request_id = id, .body = body->str});
    CU_ASSERT_EQUAL(answer.status, 202);
    bench_answer_clear(&answer);
    g_string_free(body, TRUE);
}

/** Guards against items that are sent to an engine with other weights again and again. */
static void items_that_name_weights_complete(void) {
    for (int engine = 0; engine < BENCH_ENGINES; engine++) {
        g_autofree char *id = g_strdup_printf("named-%d", engine);
        submit_for_weights(id, weights[engine]);
        g_autofree char *page = bench_wait_job(1, id, ITEMS, JOB_LIMIT_MS);
        CU_ASSERT_PTR_NOT_NULL(page);
    }
    check_plain_requests("after-named");
}

/** Returns how many calls of requests whose ids begin with @p prefix reached the engines. */
static uint32_t count_engine_calls(const char *prefix) {
    uint32_t count = 0;
    for (int engine = 0; engine < BENCH_ENGINES; engine++) {
        token_engine_call call;
        for (uint32_t number = 0; token_engine_find_call(bench.engines[engine], number, &call);
             number++)
            count += g_str_has_prefix(call.request_id, prefix);
    }
    return count;
}

/** Guards against items that load all engines while none has their weights. */
static void items_whose_weights_no_engine_has_are_tried_once_a_second(void) {
    CU_ASSERT_TRUE(wait_for_settled_owners());
    submit_for_weights("unserved", "9");
    hs_clock_sleep_ms(UNSERVED_MS);
    uint32_t calls = count_engine_calls("unserved-");
    CU_ASSERT(calls > 0);
    CU_ASSERT(calls <= ITEMS * BENCH_ENGINES * (UNSERVED_MS / 1000 + 1));
    check_plain_requests("after-unserved");
}

const test_case fleet_weight_system_tests[] = {
    {"requests_for_weights_take_no_engine_from_other_work",
     requests_for_weights_take_no_engine_from_other_work},
    {"a_request_for_weights_that_no_engine_has_is_refused_at_once",
     a_request_for_weights_that_no_engine_has_is_refused_at_once},
    {"items_that_name_weights_complete", items_that_name_weights_complete},
    {"items_whose_weights_no_engine_has_are_tried_once_a_second",
     items_whose_weights_no_engine_has_are_tried_once_a_second},
    {NULL, NULL},
};
