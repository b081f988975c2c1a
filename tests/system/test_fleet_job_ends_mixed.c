/**
 * @file test_fleet_job_ends_mixed.c
 * System tests of jobs that end in a large fleet, and in one with daemons of an earlier build.
 */
#include "tests/system/fleet_calls.h"
#include "tests/system/job_end_calls.h"
#include "tests/system/system_tests.h"

#define LARGE_FLEET_DAEMONS 24
#define MANY_JOBS 40
#define UPGRADE_JOBS 12
#define ITEMS 3
/** Time in ms after an acknowledged end for an old owner to read it and stop its items. */
#define READ_MS 1500

int begin_job_ends_large(void) {
    bench.settings = (bench_settings){.daemons = LARGE_FLEET_DAEMONS};
    return bench_set_up();
}

int end_job_ends_large(void) {
    int ended = bench_tear_down();
    bench.settings = (bench_settings){0};
    return ended;
}

/** Guards against owners that are not found among many daemons, and against ends in a queue. */
static void ends_hold_in_a_large_fleet_while_the_store_is_silent(void) {
    const job_group group = {"many", MANY_JOBS, ITEMS};
    CU_ASSERT_TRUE(wait_for_settled_owners());
    submit_refused_jobs(&group);
    silence_reads();
    end_jobs(&group, 0, LARGE_FLEET_DAEMONS);
    silence_store();
    CU_ASSERT_EQUAL(count_late_runs(&group), 0);
    heal_store();
}

const test_case fleet_job_ends_large_system_tests[] = {
    {"ends_hold_in_a_large_fleet_while_the_store_is_silent",
     ends_hold_in_a_large_fleet_while_the_store_is_silent},
    {NULL, NULL},
};

/** Only daemon 0 runs this build. */
int begin_upgrade_job_ends(void) {
    if (!use_previous_program(1, BENCH_DEFAULT_DAEMONS - 1))
        return -1;
    return bench_set_up();
}

int end_upgrade_job_ends(void) {
    int ended = bench_tear_down();
    stop_using_previous_program();
    return ended;
}

/** Guards against a new daemon that acknowledges no end because an old owner refuses its report. */
static void an_end_through_a_new_daemon_stops_items_of_old_owners(void) {
    const job_group waiting = {"old-waits", UPGRADE_JOBS, ITEMS};
    const job_group running = {"old-runs", UPGRADE_JOBS, 1};
    CU_ASSERT_TRUE(wait_for_settled_owners());
    submit_refused_jobs(&waiting);
    CU_ASSERT(get_daemon_metric(1, "heathsail_job_partitions_owned ") > 0);
    for (int job = 0; job < UPGRADE_JOBS; job++)
        CU_ASSERT_TRUE(end_job_of(&waiting, job, 0));
    CU_ASSERT_EQUAL(count_late_runs(&waiting), 0);
    bench_set_engine_modes(TOKEN_ENGINE_ENDLESS);
    submit_jobs(&running);
    CU_ASSERT_TRUE(move_open_runs(UPGRADE_JOBS));
    for (int job = 0; job < UPGRADE_JOBS; job++)
        CU_ASSERT_TRUE(end_job_of(&running, job, 0));
    CU_ASSERT_TRUE(wait_for_engine_runs_to_end(READ_MS));
    bench_set_engine_modes(TOKEN_ENGINE_HEALTHY);
}

const test_case fleet_upgrade_job_end_system_tests[] = {
    {"an_end_through_a_new_daemon_stops_items_of_old_owners",
     an_end_through_a_new_daemon_stops_items_of_old_owners},
    {NULL, NULL},
};
