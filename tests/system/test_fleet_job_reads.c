/**
 * @file test_fleet_job_reads.c
 * System tests of what callers read of a job while records are gone or folds are behind.
 */
#include "base/clock.h"
#include "platform/names.h"
#include "tests/system/fleet_calls.h"
#include "tests/system/job_end_calls.h"
#include "tests/system/system_tests.h"

#include <string.h>

/** Retention of items. */
#define RETENTION_S 10
/** Items of a job whose bodies are gone. */
#define GONE_ITEMS 4
/** Time in ms for an owner to try the items, and for which its reads are counted then. */
#define TRIES_MS 1000
#define COUNTED_MS 3000
/** Reads of the bodies topic; the query names the topic first. */
#define CALL_READ_BODIES CALL_READ "?topic=" TOPIC_BODIES

/** Returns the status of a read of an item's body. */
static uint32_t read_body(int daemon, const char *job, int item) {
    g_autofree char *target = g_strdup_printf(PATH_ITEMS "%s?id=%s-%d", job, job, item);
    bench_answer answer =
        bench_send(&(bench_call){.daemon = daemon, .method = "GET", .target = target});
    uint32_t status = answer.status;
    bench_answer_clear(&answer);
    return status;
}

/** Submits a job whose bodies the store drops before an owner has read them. */
static void submit_job_without_bodies(const char *id) {
    log_store_set_mode(bench.store, LOG_STORE_REFUSES, CALL_READ_BODIES, G_MAXUINT32);
    CU_ASSERT_EQUAL(submit_job(0, id, GONE_ITEMS), 202);
    for (int daemon = 0; daemon < BENCH_DEFAULT_DAEMONS; daemon++)
        CU_ASSERT_EQUAL(read_body(daemon, id, 0), 503);
    log_store_discard_records(bench.store, TOPIC_BODIES);
    log_store_set_mode(bench.store, LOG_STORE_HEALTHY, NULL, 0);
}

/** Guards against callers that are told to come back for a body that is gone for good. */
static void a_body_that_is_gone_is_answered_410(void) {
    submit_job_without_bodies("gone");
    for (int daemon = 0; daemon < BENCH_DEFAULT_DAEMONS; daemon++)
        for (int item = 0; item < GONE_ITEMS; item++)
            CU_ASSERT_EQUAL(read_body(daemon, "gone", item), 410);
}

/** Guards against items that are tried several times a second though they can never run. */
static void items_whose_bodies_are_gone_are_not_tried_again(void) {
    CU_ASSERT_TRUE(wait_for_settled_owners()); /* A new owner tries each item once. */
    submit_job_without_bodies("untried");
    hs_clock_sleep_ms(TRIES_MS);
    uint32_t before = log_store_call_count(bench.store, CALL_READ_BODIES);
    hs_clock_sleep_ms(COUNTED_MS);
    CU_ASSERT_EQUAL(log_store_call_count(bench.store, CALL_READ_BODIES) - before, 0);
    CU_ASSERT_EQUAL(submit_job(1, "beside", 2), 202);
    g_autofree char *beside = bench_wait_job(2, "beside", 2, JOB_LIMIT_MS);
    CU_ASSERT_PTR_NOT_NULL(beside);
    g_autofree char *page = bench_wait_job(1, "untried", GONE_ITEMS, JOB_LIMIT_MS);
    CU_ASSERT_PTR_NOT_NULL_FATAL(page);
    CU_ASSERT_PTR_NOT_NULL(strstr(page, "dead_letter"));
    CU_ASSERT_PTR_NULL(strstr(page, "completed"));
}

int begin_job_reads(void) {
    bench.settings.retention_s = RETENTION_S;
    return bench_set_up();
}

int end_job_reads(void) {
    bench_tear_down();
    bench.settings.retention_s = 0;
    return 0;
}

const test_case fleet_job_read_system_tests[] = {
    {"a_body_that_is_gone_is_answered_410", a_body_that_is_gone_is_answered_410},
    {"items_whose_bodies_are_gone_are_not_tried_again",
     items_whose_bodies_are_gone_are_not_tried_again},
    {NULL, NULL},
};
