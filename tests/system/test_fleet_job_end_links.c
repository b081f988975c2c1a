/**
 * @file test_fleet_job_end_links.c
 * System tests of jobs that end while some daemons lose the store, or partitions change owners.
 */
#include "base/clock.h"
#include "tests/support/store_proxies.h"
#include "tests/system/fleet_calls.h"
#include "tests/system/job_end_calls.h"
#include "tests/system/system_tests.h"

#include <signal.h>

#define JOBS 6
#define ITEMS 4
/** Jobs that end one after another, from before a daemon loses its partitions until after that. */
#define SPREAD_JOBS 12
#define SPREAD_INTERVAL_MS 350
/** Shorter than a read that waits for records. */
#define SILENCE_INTERVAL_MS 200

int begin_job_end_links(void) {
    bench_prepare();
    store_proxies_start();
    return bench_start();
}

int end_job_end_links(void) {
    for (int daemon = 0; daemon < BENCH_DEFAULT_DAEMONS; daemon++)
        bench_signal_daemon(daemon, SIGKILL);
    store_proxies_stop();
    return bench_tear_down();
}

/** Returns the daemons other than @p excluded in turn. */
static int get_other_daemon(int excluded, int turn) {
    return (excluded + 1 + turn % (BENCH_DEFAULT_DAEMONS - 1)) % BENCH_DEFAULT_DAEMONS;
}

/** Checks that an open job completes and that no item of the ended jobs runs after the fault. */
static void check_after_fault(const job_group *ended, const char *open_id) {
    g_autofree char *page = bench_wait_job(0, open_id, ITEMS, JOB_LIMIT_MS);
    CU_ASSERT_PTR_NOT_NULL(page);
    if (page != NULL)
        check_job_results(page, ITEMS);
    CU_ASSERT_EQUAL(count_runs(ended), 0);
}

/** Silences a daemon's connections to the store time and again: none of its long reads returns. */
static void silence_connections_for(int daemon, proxy_silence silence, uint64_t duration_ms) {
    uint64_t until_ms = hs_clock_monotonic_ms() + duration_ms;
    while (hs_clock_monotonic_ms() < until_ms) {
        fault_proxy_silence_open_connections(store_proxies[daemon], silence);
        hs_clock_sleep_ms(SILENCE_INTERVAL_MS);
    }
}

/** Guards against owners that wait for an end on connections to the store that are lost. */
static void ends_hold_when_open_connections_to_the_store_go_silent(void) {
    static const proxy_silence silences[] = {PROXY_ACKNOWLEDGES_DATA, PROXY_DROPS_ALL_PACKETS};
    static const char *const prefixes[BENCH_DEFAULT_DAEMONS] = {"mute-a", "mute-b", "mute-c"};
    for (int mute = 0; mute < BENCH_DEFAULT_DAEMONS; mute++) {
        const job_group group = {prefixes[mute], JOBS, ITEMS};
        g_autofree char *open_id = g_strdup_printf("open-%s", prefixes[mute]);
        CU_ASSERT_TRUE(wait_for_settled_owners());
        submit_refused_jobs(&group);
        CU_ASSERT_EQUAL(submit_job(0, open_id, ITEMS), 202);
        fault_proxy_silence_open_connections(store_proxies[mute], silences[mute % 2]);
        for (int job = 0; job < JOBS; job++)
            CU_ASSERT_TRUE(end_job_of(&group, job, get_other_daemon(mute, job)));
        silence_connections_for(mute, silences[mute % 2], CANCEL_MS);
        bench_set_engine_modes(TOKEN_ENGINE_HEALTHY);
        silence_connections_for(mute, silences[mute % 2], FAULT_MS - CANCEL_MS);
        CU_ASSERT_EQUAL(count_runs(&group), 0);
        check_after_fault(&group, open_id);
    }
}

/**
 * The store refuses one daemon after the other. Guards against items that it starts although its
 * partitions have other owners, and against other owners that start without the ends.
 */
static void ends_hold_when_the_store_refuses_one_daemon(void) {
    static const char *const prefixes[BENCH_DEFAULT_DAEMONS] = {"refused-a", "refused-b",
                                                                "refused-c"};
    for (int refused = 0; refused < BENCH_DEFAULT_DAEMONS; refused++) {
        const job_group group = {prefixes[refused], SPREAD_JOBS, ITEMS};
        g_autofree char *open_id = g_strdup_printf("open-%s", prefixes[refused]);
        CU_ASSERT_TRUE(wait_for_settled_owners());
        submit_refused_jobs(&group);
        CU_ASSERT_EQUAL(submit_job(0, open_id, ITEMS), 202);
        fault_proxy_set_mode(store_proxies[refused], PROXY_RESETS);
        for (int job = 0; job < SPREAD_JOBS; job++) {
            CU_ASSERT_TRUE(end_job_of(&group, job, get_other_daemon(refused, job)));
            hs_clock_sleep_ms((uint64_t)refused * SPREAD_INTERVAL_MS);
        }
        CU_ASSERT_EQUAL(count_late_runs(&group), 0);
        fault_proxy_set_mode(store_proxies[refused], PROXY_FORWARDS);
        check_after_fault(&group, open_id);
    }
}

/** Guards against an end that is reported to the owner of before. */
static void ends_hold_beside_changes_of_owners(void) {
    const job_group group = {"moved", SPREAD_JOBS, ITEMS};
    CU_ASSERT_TRUE(wait_for_settled_owners());
    submit_refused_jobs(&group);
    CU_ASSERT_EQUAL(submit_job(0, "open-moved", ITEMS), 202);
    for (int job = 0; job < SPREAD_JOBS; job++) {
        bool is_acknowledged = false;
        if (job % 2 == 0)
            log_store_rebalance(bench.store);
        for (int attempt = 0; attempt < 2 * BENCH_DEFAULT_DAEMONS && !is_acknowledged; attempt++)
            is_acknowledged = end_job_of(&group, job, (job + attempt) % BENCH_DEFAULT_DAEMONS);
        CU_ASSERT_TRUE(is_acknowledged);
        hs_clock_sleep_ms(SPREAD_INTERVAL_MS);
    }
    silence_store();
    CU_ASSERT_EQUAL(count_late_runs(&group), 0);
    heal_store();
    check_after_fault(&group, "open-moved");
}

const test_case fleet_job_end_link_system_tests[] = {
    {"ends_hold_when_open_connections_to_the_store_go_silent",
     ends_hold_when_open_connections_to_the_store_go_silent},
    {"ends_hold_when_the_store_refuses_one_daemon", ends_hold_when_the_store_refuses_one_daemon},
    {"ends_hold_beside_changes_of_owners", ends_hold_beside_changes_of_owners},
    {NULL, NULL},
};
