/** @file test_fleet_job_ends.c  System tests of jobs that end while the store is away or slow. */
#include "base/clock.h"
#include "platform/names.h"
#include "tests/system/fleet_calls.h"
#include "tests/system/system_tests.h"

#include <signal.h>

#define JOBS 5
#define ITEMS 5
/** Time in ms after an acknowledged end from which no item of the job may start. */
#define CANCEL_MS 3000
/** Time in ms after the ends for which the fault lasts. */
#define FAULT_MS 6000
/** Time in ms for the engines to refuse each item once, so that its body has been read. */
#define REFUSALS_MS 1000
/** Time in ms for reads that the store holds to return. */
#define HELD_READS_MS 1500
/** Delay in ms of the store's answers. */
#define STORE_DELAY_MS 800
/** Time in ms for which a daemon is stopped: no other daemon can report an end to it. */
#define STOPPED_MS 2000

static uint32_t end_job(int daemon, const char *id) {
    g_autofree char *target = g_strdup_printf(PATH_JOBS "%s", id);
    bench_answer answer =
        bench_send(&(bench_call){.daemon = daemon, .method = "DELETE", .target = target});
    uint32_t status = answer.status;
    bench_answer_clear(&answer);
    return status;
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

/**
 * Ends the jobs "PREFIX-n" at the first @p daemons daemons; an end without an acknowledgement is
 * repeated.
 */
static void end_jobs(const char *prefix, int daemons) {
    for (int job = 0; job < JOBS; job++) {
        g_autofree char *id = g_strdup_printf("%s-%d", prefix, job);
        bool is_acknowledged = false;
        for (int attempt = 0; attempt < 2 * daemons && !is_acknowledged; attempt++)
            is_acknowledged = end_job((job + attempt) % daemons, id) == 200;
        CU_ASSERT_TRUE(is_acknowledged);
    }
}

static uint32_t count_runs(const char *prefix) {
    uint32_t count = 0;
    for (int job = 0; job < JOBS; job++)
        for (int item = 0; item < ITEMS; item++) {
            g_autofree char *id = g_strdup_printf("%s-%d-%d", prefix, job, item);
            count += bench_run_count(id);
        }
    return count;
}

/** Lets engines accept items from CANCEL_MS after the ends on, and returns how many runs start. */
static uint32_t count_late_runs(const char *prefix) {
    hs_clock_sleep_ms(CANCEL_MS);
    bench_set_engine_modes(TOKEN_ENGINE_HEALTHY);
    hs_clock_sleep_ms(FAULT_MS - CANCEL_MS);
    return count_runs(prefix);
}

/** Guards against owners that learn of an end only by reading it back from the store. */
static void items_of_ended_jobs_do_not_start_while_the_store_is_silent(void) {
    submit_refused_jobs("silent");
    log_store_set_mode(bench.store, LOG_STORE_UNRESPONSIVE, CALL_READ, G_MAXUINT32);
    hs_clock_sleep_ms(HELD_READS_MS);
    end_jobs("silent", BENCH_DEFAULT_DAEMONS);
    log_store_set_mode(bench.store, LOG_STORE_UNRESPONSIVE, NULL, G_MAXUINT32);
    CU_ASSERT_EQUAL(count_late_runs("silent"), 0);
    log_store_set_mode(bench.store, LOG_STORE_HEALTHY, NULL, 0);
}

/** Guards against reads that give up before the store answers, so that owners never see an end. */
static void items_of_ended_jobs_do_not_start_while_the_store_is_slow(void) {
    submit_refused_jobs("slow");
    log_store_set_delay(bench.store, STORE_DELAY_MS);
    hs_clock_sleep_ms(HELD_READS_MS);
    end_jobs("slow", BENCH_DEFAULT_DAEMONS);
    CU_ASSERT_EQUAL(count_late_runs("slow"), 0);
    log_store_set_delay(bench.store, 0);
}

/** Guards against owners that start items from an old fold after they were suspended. */
static void an_owner_starts_no_item_before_it_reads_the_ends_it_missed(void) {
    int stopped = BENCH_DEFAULT_DAEMONS - 1;
    submit_refused_jobs("stopped");
    bench_signal_daemon(stopped, SIGSTOP);
    end_jobs("stopped", stopped);
    log_store_set_mode(bench.store, LOG_STORE_UNRESPONSIVE, NULL, G_MAXUINT32);
    hs_clock_sleep_ms(STOPPED_MS);
    bench_signal_daemon(stopped, SIGCONT);
    CU_ASSERT_EQUAL(count_late_runs("stopped"), 0);
    log_store_set_mode(bench.store, LOG_STORE_HEALTHY, NULL, 0);
}

/** Guards against owners that are still waiting for lost answers when the store is back. */
static void items_of_jobs_that_end_as_the_store_returns_do_not_start(void) {
    submit_refused_jobs("back");
    log_store_set_mode(bench.store, LOG_STORE_UNRESPONSIVE, NULL, G_MAXUINT32);
    hs_clock_sleep_ms(FAULT_MS);
    log_store_set_mode(bench.store, LOG_STORE_HEALTHY, NULL, 0);
    end_jobs("back", BENCH_DEFAULT_DAEMONS);
    CU_ASSERT_EQUAL(count_late_runs("back"), 0);
}

const test_case fleet_job_end_system_tests[] = {
    {"items_of_ended_jobs_do_not_start_while_the_store_is_silent",
     items_of_ended_jobs_do_not_start_while_the_store_is_silent},
    {"items_of_ended_jobs_do_not_start_while_the_store_is_slow",
     items_of_ended_jobs_do_not_start_while_the_store_is_slow},
    {"items_of_jobs_that_end_as_the_store_returns_do_not_start",
     items_of_jobs_that_end_as_the_store_returns_do_not_start},
    {"an_owner_starts_no_item_before_it_reads_the_ends_it_missed",
     an_owner_starts_no_item_before_it_reads_the_ends_it_missed},
    {NULL, NULL},
};
