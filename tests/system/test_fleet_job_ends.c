/** @file test_fleet_job_ends.c  System tests of jobs that end while the store is away or slow. */
#include "base/clock.h"
#include "platform/names.h"
#include "tests/system/fleet_calls.h"
#include "tests/system/job_end_calls.h"
#include "tests/system/system_tests.h"

#include <signal.h>
#include <stdio.h>

#define JOBS 5
#define ITEMS 5
/** Delay in ms of the store's answers. */
#define STORE_DELAY_MS 800
/** Time in ms for which a daemon is stopped: no other daemon can report an end to it. */
#define STOPPED_MS 2000
/** Items that the engines run at the same time: one of each of these jobs. */
#define RUNNING_JOBS 6
/** The platform's ack-ms: the time within which a call gets an answer. */
#define ACK_MS 4000
/** The platform's finish-s in ms: the time for jobs to complete after traffic. */
#define FINISH_MS 18000
/** Time in ms after which no owner has a recent fold. */
#define HOLD_MS 3500
#define HELD_METRIC "heathsail_job_partitions_held "

/** Guards against owners that learn of an end only by reading it back from the store. */
static void items_of_ended_jobs_do_not_start_while_the_store_is_silent(void) {
    const job_group group = {"silent", JOBS, ITEMS};
    CU_ASSERT_TRUE(wait_for_settled_owners());
    submit_refused_jobs(&group);
    silence_reads();
    end_jobs(&group, 0, BENCH_DEFAULT_DAEMONS);
    silence_store();
    CU_ASSERT_EQUAL(count_late_runs(&group), 0);
    heal_store();
}

/** Guards against reads that give up before the store answers, so that owners never see an end. */
static void items_of_ended_jobs_do_not_start_while_the_store_is_slow(void) {
    const job_group group = {"slow", JOBS, ITEMS};
    submit_refused_jobs(&group);
    log_store_set_delay(bench.store, STORE_DELAY_MS);
    hs_clock_sleep_ms(HELD_READS_MS);
    end_jobs(&group, 0, BENCH_DEFAULT_DAEMONS);
    CU_ASSERT_EQUAL(count_late_runs(&group), 0);
    log_store_set_delay(bench.store, 0);
}

/** Guards against owners that start items from an old fold after they were suspended. */
static void an_owner_starts_no_item_before_it_reads_the_ends_it_missed(void) {
    const job_group group = {"stopped", JOBS, ITEMS};
    int stopped = BENCH_DEFAULT_DAEMONS - 1;
    submit_refused_jobs(&group);
    bench_signal_daemon(stopped, SIGSTOP);
    end_jobs(&group, 0, stopped);
    silence_store();
    hs_clock_sleep_ms(STOPPED_MS);
    bench_signal_daemon(stopped, SIGCONT);
    CU_ASSERT_EQUAL(count_late_runs(&group), 0);
    heal_store();
}

/** Guards against an end that only the daemon that acknowledged it knows. */
static void an_end_holds_after_the_daemon_that_acknowledged_it_is_killed(void) {
    const job_group group = {"killed", JOBS, ITEMS};
    int killed = BENCH_DEFAULT_DAEMONS - 1;
    CU_ASSERT_TRUE(wait_for_settled_owners());
    submit_refused_jobs(&group);
    silence_reads();
    end_jobs(&group, killed, 1);
    silence_store();
    bench_signal_daemon(killed, SIGKILL);
    CU_ASSERT_EQUAL(count_late_runs(&group), 0);
    heal_store();
    hs_clock_sleep_ms(FAULT_MS); /* Lets the partitions of the killed daemon have other owners. */
    CU_ASSERT_EQUAL(count_runs(&group), 0);
    CU_ASSERT_TRUE(bench_start_daemon(killed, false));
    CU_ASSERT_TRUE(bench_wait_ready(killed));
}

/** Each daemon takes the ends in turn. Guards against running items that go on at their owner. */
static void running_items_of_ended_jobs_stop_while_the_store_is_silent(void) {
    static const char *const prefixes[BENCH_DEFAULT_DAEMONS] = {"runs-a", "runs-b", "runs-c"};
    for (int daemon = 0; daemon < BENCH_DEFAULT_DAEMONS; daemon++) {
        const job_group group = {prefixes[daemon], RUNNING_JOBS, 1};
        CU_ASSERT_TRUE(wait_for_settled_owners());
        bench_set_engine_modes(TOKEN_ENGINE_ENDLESS);
        submit_jobs(&group);
        CU_ASSERT_TRUE(move_open_runs(RUNNING_JOBS));
        silence_reads();
        CU_ASSERT_EQUAL(count_open_engine_runs(), RUNNING_JOBS);
        end_jobs(&group, daemon, 1);
        silence_store();
        CU_ASSERT_TRUE(wait_for_engine_runs_to_end(STOP_MS));
        heal_store();
    }
    bench_set_engine_modes(TOKEN_ENGINE_HEALTHY);
}

/** Guards against ends that are answered late, or as stored, and that cannot be repeated. */
static void an_end_that_is_not_stored_is_answered_in_time_and_can_be_repeated(void) {
    const job_group group = {"unstored", BENCH_DEFAULT_DAEMONS, 1};
    CU_ASSERT_TRUE(wait_for_settled_owners());
    submit_refused_jobs(&group);
    log_store_set_mode(bench.store, LOG_STORE_UNRESPONSIVE, CALL_APPEND, G_MAXUINT32);
    for (int job = 0; job < BENCH_DEFAULT_DAEMONS; job++) {
        g_autofree char *id = g_strdup_printf("%s-%d", group.prefix, job);
        uint64_t start_ms = hs_clock_monotonic_ms();
        uint32_t status = end_job((job + 1) % BENCH_DEFAULT_DAEMONS, id);
        uint64_t took_ms = hs_clock_monotonic_ms() - start_ms;
        fprintf(stderr, "%s: status %u after %u ms\n", id, status, (unsigned)took_ms);
        CU_ASSERT_TRUE(status == 503 || status == 504);
        CU_ASSERT(took_ms <= ACK_MS);
    }
    heal_store();
    for (int job = 0; job < BENCH_DEFAULT_DAEMONS; job++)
        CU_ASSERT_TRUE(end_job_of(&group, job, (job + 1) % BENCH_DEFAULT_DAEMONS));
    CU_ASSERT_EQUAL(count_late_runs(&group), 0);
}

static int count_held_partitions(void) {
    int held = 0;
    for (int daemon = 0; daemon < BENCH_DEFAULT_DAEMONS; daemon++)
        held += get_daemon_metric(daemon, HELD_METRIC);
    return held;
}

/** Checks that all items of the jobs complete before @p finish_ms. */
static void check_jobs_complete(const job_group *group, uint64_t finish_ms) {
    for (int job = 0; job < group->jobs; job++) {
        g_autofree char *id = g_strdup_printf("%s-%d", group->prefix, job);
        uint64_t now_ms = hs_clock_monotonic_ms();
        g_autofree char *page = bench_wait_job(
            0, id, group->items, finish_ms > now_ms ? (unsigned)(finish_ms - now_ms) : 1);
        CU_ASSERT_PTR_NOT_NULL(page);
        if (page != NULL)
            check_job_results(page, group->items);
    }
}

/** Guards against jobs that stand still while the store is away, although all ends are reported. */
static void items_of_open_jobs_start_while_the_store_is_away(void) {
    const job_group group = {"away", JOBS, ITEMS};
    CU_ASSERT_TRUE(wait_for_settled_owners());
    submit_refused_jobs(&group);
    silence_store();
    hs_clock_sleep_ms(HOLD_MS);
    CU_ASSERT_EQUAL(count_held_partitions(), 0);
    bench_set_engine_modes(TOKEN_ENGINE_HEALTHY);
    hs_clock_sleep_ms(FAULT_MS - HOLD_MS);
    CU_ASSERT(count_runs(&group) > 0);
    uint64_t finish_ms = hs_clock_monotonic_ms() + FINISH_MS;
    heal_store();
    check_jobs_complete(&group, finish_ms);
}

/** Guards against starts that stay held once the store is back. */
static void items_of_open_jobs_complete_after_an_absence_of_the_store(void) {
    const job_group group = {"open", JOBS, ITEMS};
    CU_ASSERT_TRUE(wait_for_settled_owners());
    submit_refused_jobs(&group);
    silence_store();
    uint64_t finish_ms = hs_clock_monotonic_ms() + FINISH_MS;
    for (int daemon = 0; daemon < BENCH_DEFAULT_DAEMONS; daemon++)
        bench_signal_daemon(daemon, SIGSTOP);
    hs_clock_sleep_ms(STOPPED_MS);
    for (int daemon = 0; daemon < BENCH_DEFAULT_DAEMONS; daemon++)
        bench_signal_daemon(daemon, SIGCONT);
    hs_clock_sleep_ms(HOLD_MS - STOPPED_MS);
    CU_ASSERT(count_held_partitions() > 0);
    bench_set_engine_modes(TOKEN_ENGINE_HEALTHY);
    hs_clock_sleep_ms(FAULT_MS - HOLD_MS);
    CU_ASSERT_EQUAL(count_runs(&group), 0);
    heal_store();
    check_jobs_complete(&group, finish_ms);
    fprintf(stderr, "open jobs completed %d ms before the limit\n",
            (int)((int64_t)finish_ms - (int64_t)hs_clock_monotonic_ms()));
    CU_ASSERT_EQUAL(count_held_partitions(), 0);
}

/** Guards against owners that are still waiting for lost answers when the store is back. */
static void items_of_jobs_that_end_as_the_store_returns_do_not_start(void) {
    const job_group group = {"back", JOBS, ITEMS};
    CU_ASSERT_TRUE(wait_for_settled_owners());
    submit_refused_jobs(&group);
    silence_store();
    hs_clock_sleep_ms(FAULT_MS);
    heal_store();
    end_jobs(&group, 0, BENCH_DEFAULT_DAEMONS);
    CU_ASSERT_EQUAL(count_late_runs(&group), 0);
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
    {"items_of_open_jobs_start_while_the_store_is_away",
     items_of_open_jobs_start_while_the_store_is_away},
    {"items_of_open_jobs_complete_after_an_absence_of_the_store",
     items_of_open_jobs_complete_after_an_absence_of_the_store},
    {"an_end_holds_after_the_daemon_that_acknowledged_it_is_killed",
     an_end_holds_after_the_daemon_that_acknowledged_it_is_killed},
    {NULL, NULL},
};

const test_case fleet_job_end_stop_system_tests[] = {
    {"running_items_of_ended_jobs_stop_while_the_store_is_silent",
     running_items_of_ended_jobs_stop_while_the_store_is_silent},
    {"an_end_that_is_not_stored_is_answered_in_time_and_can_be_repeated",
     an_end_that_is_not_stored_is_answered_in_time_and_can_be_repeated},
    {NULL, NULL},
};
