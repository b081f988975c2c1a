/** @file test_fleet_slow_store.c  System tests of jobs while the store answers late. */
#include "base/clock.h"
#include "platform/names.h"
#include "tests/system/fleet_calls.h"
#include "tests/system/system_tests.h"

#include <jansson.h>
#include <signal.h>
#include <stdio.h>

#define JOBS 5
#define ITEMS 5
/** Time in ms for the engines to refuse each item once, so that its body has been read. */
#define REFUSALS_MS 1000
/** Delays in ms of the store's answers. */
#define SLOW_MS 800
#define VERY_SLOW_MS 1200
/** Time in ms for which the store has been slow when the engines accept items. */
#define SLOW_BEFORE_MS 3000
/** Time in ms after which callers of a read without a wait give up. */
#define CALLER_LIMIT_MS 1500
/** Limit in ms for all items to start, and for each job's results. */
#define RESULTS_LIMIT_MS 10000
/** Limit in ms for the store to assign all partitions. */
#define ASSIGNMENT_LIMIT_MS 10000
#define POLL_MS 50
/** Time in ms for which the store's reads are counted. */
#define COUNT_MS 4000
#define OWNED_METRIC "heathsail_job_partitions_owned "

static int count_owned_partitions(void) {
    int owned = 0;
    for (int daemon = 0; daemon < BENCH_DEFAULT_DAEMONS; daemon++)
        owned += get_daemon_metric(daemon, OWNED_METRIC);
    return owned;
}

static bool wait_for_assignment(void) {
    uint64_t until_ms = hs_clock_monotonic_ms() + ASSIGNMENT_LIMIT_MS;
    while (count_owned_partitions() != BENCH_PARTITIONS && hs_clock_monotonic_ms() < until_ms)
        hs_clock_sleep_ms(POLL_MS);
    return count_owned_partitions() == BENCH_PARTITIONS;
}

/** Submits the jobs "PREFIX-n", whose items are refused by all engines. */
static void submit_refused_jobs(const char *prefix) {
    bench_set_engine_modes(TOKEN_ENGINE_FULL);
    for (int job = 0; job < JOBS; job++) {
        g_autofree char *id = g_strdup_printf("%s-%d", prefix, job);
        CU_ASSERT_EQUAL(submit_job(job % BENCH_DEFAULT_DAEMONS, id, ITEMS), 202);
    }
    hs_clock_sleep_ms(REFUSALS_MS);
}

/** Reads a job's results once; returns their count. The read must succeed before callers give up.
 */
static int read_results_in_time(int daemon, const char *id) {
    g_autofree char *target = g_strdup_printf(PATH_JOBS "%s?after=0", id);
    uint64_t started_ms = hs_clock_monotonic_ms();
    bench_answer answer =
        bench_send(&(bench_call){.daemon = daemon, .method = "GET", .target = target});
    uint64_t took_ms = hs_clock_monotonic_ms() - started_ms;
    if (answer.status != 200 || took_ms >= CALLER_LIMIT_MS)
        fprintf(stderr, "%s at daemon %d: status %u after %u ms\n", id, daemon, answer.status,
                (unsigned)took_ms);
    CU_ASSERT_EQUAL(answer.status, 200);
    CU_ASSERT(took_ms < CALLER_LIMIT_MS);
    json_t *root = answer.status == 200 ? json_loads(answer.body, 0, NULL) : NULL;
    int count = (int)json_array_size(json_object_get(root, "results"));
    json_decref(root);
    bench_answer_clear(&answer);
    return count;
}

/** Reads a job at all daemons in turn until all results are listed. */
static bool wait_for_results(const char *id, uint64_t until_ms) {
    int counts[BENCH_DEFAULT_DAEMONS] = {0};
    bool has_all = false;
    while (!has_all && hs_clock_monotonic_ms() < until_ms) {
        has_all = true;
        for (int daemon = 0; daemon < BENCH_DEFAULT_DAEMONS; daemon++) {
            if (counts[daemon] < ITEMS)
                counts[daemon] = read_results_in_time(daemon, id);
            has_all = has_all && counts[daemon] == ITEMS;
        }
    }
    return has_all;
}

static uint32_t count_started(const char *prefix) {
    uint32_t started = 0;
    for (int job = 0; job < JOBS; job++)
        for (int item = 0; item < ITEMS; item++) {
            g_autofree char *id = g_strdup_printf("%s-%d-%d", prefix, job, item);
            started += bench_run_count(id) > 0;
        }
    return started;
}

static bool wait_for_starts(const char *prefix) {
    uint64_t until_ms = hs_clock_monotonic_ms() + RESULTS_LIMIT_MS;
    while (count_started(prefix) < JOBS * ITEMS && hs_clock_monotonic_ms() < until_ms)
        hs_clock_sleep_ms(POLL_MS);
    return count_started(prefix) == JOBS * ITEMS;
}

/** Guards against reads that give up before the store answers: folds stand still, starts are held.
 */
static void jobs_complete_and_can_be_read_while_the_store_is_slow(void) {
    CU_ASSERT_TRUE(wait_for_assignment());
    submit_refused_jobs("slow");
    log_store_set_delay(bench.store, SLOW_MS);
    hs_clock_sleep_ms(SLOW_BEFORE_MS);
    bench_set_engine_modes(TOKEN_ENGINE_HEALTHY);
    CU_ASSERT_TRUE(wait_for_starts("slow"));
    uint64_t until_ms = hs_clock_monotonic_ms() + JOBS * RESULTS_LIMIT_MS;
    for (int job = 0; job < JOBS; job++) {
        g_autofree char *id = g_strdup_printf("slow-%d", job);
        CU_ASSERT_TRUE(wait_for_results(id, until_ms));
    }
    CU_ASSERT_EQUAL(count_owned_partitions(), BENCH_PARTITIONS);
    log_store_set_delay(bench.store, 0);
}

/** Guards against a hold that lasts as long as the store's slowness. */
static void items_start_while_the_store_is_very_slow(void) {
    submit_refused_jobs("very-slow");
    log_store_set_delay(bench.store, VERY_SLOW_MS);
    hs_clock_sleep_ms(SLOW_BEFORE_MS);
    bench_set_engine_modes(TOKEN_ENGINE_HEALTHY);
    CU_ASSERT_TRUE(wait_for_starts("very-slow"));
    CU_ASSERT_EQUAL(count_owned_partitions(), BENCH_PARTITIONS);
    log_store_set_delay(bench.store, 0);
}

/** Guards against joins that give up before the store answers, so that partitions have no owner. */
static void a_lost_owners_partitions_are_taken_while_the_store_is_very_slow(void) {
    int lost = BENCH_DEFAULT_DAEMONS - 1;
    CU_ASSERT_TRUE(wait_for_assignment());
    log_store_set_delay(bench.store, VERY_SLOW_MS);
    bench_signal_daemon(lost, SIGKILL);
    uint64_t until_ms = hs_clock_monotonic_ms() + 2 * ASSIGNMENT_LIMIT_MS;
    int owned = 0;
    while (owned != BENCH_PARTITIONS && hs_clock_monotonic_ms() < until_ms) {
        owned = 0;
        for (int daemon = 0; daemon < lost; daemon++)
            owned += get_daemon_metric(daemon, OWNED_METRIC);
        hs_clock_sleep_ms(POLL_MS);
    }
    CU_ASSERT_EQUAL(owned, BENCH_PARTITIONS);
    log_store_set_delay(bench.store, 0);
    CU_ASSERT_TRUE(bench_start_daemon(lost, false));
    CU_ASSERT_TRUE(wait_for_assignment());
}

/** Guards against repeated reads that load a slow store more than one without a delay. */
static void a_slow_store_gets_no_more_reads_than_a_fast_one(void) {
    hs_clock_sleep_ms(SLOW_BEFORE_MS);
    uint32_t before = log_store_call_count(bench.store, CALL_READ);
    hs_clock_sleep_ms(COUNT_MS);
    uint32_t fast = log_store_call_count(bench.store, CALL_READ) - before;
    log_store_set_delay(bench.store, SLOW_MS);
    before = log_store_call_count(bench.store, CALL_READ);
    hs_clock_sleep_ms(COUNT_MS);
    uint32_t slow = log_store_call_count(bench.store, CALL_READ) - before;
    log_store_set_delay(bench.store, 0);
    fprintf(stderr, "reads in %d ms: %u, while the store is slow: %u\n", COUNT_MS, fast, slow);
    CU_ASSERT(slow <= fast);
}

const test_case fleet_slow_store_system_tests[] = {
    {"jobs_complete_and_can_be_read_while_the_store_is_slow",
     jobs_complete_and_can_be_read_while_the_store_is_slow},
    {"items_start_while_the_store_is_very_slow", items_start_while_the_store_is_very_slow},
    {"a_lost_owners_partitions_are_taken_while_the_store_is_very_slow",
     a_lost_owners_partitions_are_taken_while_the_store_is_very_slow},
    {"a_slow_store_gets_no_more_reads_than_a_fast_one",
     a_slow_store_gets_no_more_reads_than_a_fast_one},
    {NULL, NULL},
};
