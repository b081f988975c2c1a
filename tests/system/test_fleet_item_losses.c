/**
 * @file test_fleet_item_losses.c
 * System tests of job items whose engines crash for other reasons: a quarantined item gets a trial
 * run, so that it completes instead of waiting for the end of its quarantine.
 */
#include "base/clock.h"
#include "tests/system/crash_calls.h"
#include "tests/system/fleet_calls.h"
#include "tests/system/item_loss_calls.h"
#include "tests/system/system_tests.h"

#include <CUnit/CUnit.h>
#include <signal.h>
#include <stdio.h>

/** Length of the engines' streams: longer than five times from the start of a run to a crash in its
 * middle. */
#define STREAM_EVENTS 130
#define STREAM_EVENT_MS 50
/** Items of a job; the engines of the first item crash. */
#define ITEMS 3
/** Time in ms within which a quarantine is written to the store. */
#define STORE_WRITE_MS 1500
/** Time in ms for which an item that crashes its engines is observed; it spans several trials. */
#define CRASH_OBSERVATION_MS 45000
/** Shortest time in ms between two sends of such an item once all daemons know of three crashes,
 * and the sends in the observed time by which it is not given up. */
#define MIN_SEND_INTERVAL_MS 5000
#define MIN_LATE_SENDS 3

static void check_completes(const char *id) {
    check_job_completes(id, ITEMS);
}

/** Submits a job and crashes the engines of its first item @p times times. */
static void crash_engines_of_item(const char *id, uint32_t after_ms, uint32_t times) {
    g_autofree char *item = g_strdup_printf("%s-0", id);
    CU_ASSERT_TRUE(crash_fleet_wait_all_up(get_crash_fleet()));
    uint32_t before = crash_fleet_get_crash_count(get_crash_fleet());
    crash_fleet_crash_during_requests(get_crash_fleet(), item, after_ms, times);
    submit_distinct_bodies(id, ITEMS, item);
    CU_ASSERT_TRUE(wait_for_crashes(before, times, FINISH_MS * 2));
}

static void an_item_that_lost_two_engines_completes(void) {
    crash_engines_of_item("two", MIDDLE_CRASH_MS, 2);
    check_completes("two");
}

static void an_item_that_lost_three_engines_completes(void) {
    crash_engines_of_item("three", MIDDLE_CRASH_MS, 3);
    check_completes("three");
}

static void an_item_whose_engines_crash_at_its_start_completes(void) {
    crash_engines_of_item("early", EARLY_CRASH_MS, 3);
    check_completes("early");
}

static void an_item_that_lost_five_engines_completes(void) {
    crash_engines_of_item("five", MIDDLE_CRASH_MS, 5);
    check_completes("five");
}

static void a_quarantined_item_completes_after_a_kill_of_all_daemons(void) {
    crash_engines_of_item("killed", MIDDLE_CRASH_MS, 3);
    hs_clock_sleep_ms(STORE_WRITE_MS);
    kill_and_restart_all_daemons();
    check_completes("killed");
}

/** All daemons are restarted, so the owner of the item is among them. */
static void a_quarantined_item_completes_after_a_rolling_restart(void) {
    crash_engines_of_item("turned", MIDDLE_CRASH_MS, 3);
    for (int index = 0; index < BENCH_DEFAULT_DAEMONS; index++) {
        bench_signal_daemon(index, SIGTERM);
        bench_start_daemon(index, false);
        CU_ASSERT_TRUE(bench_wait_ready(index));
    }
    check_completes("turned");
}

/**
 * Guards against an item that is given up since it lost engines, and against one that does crash
 * its engines and is sent to one after the other, also over a kill of all daemons. The other items
 * of its job are completed.
 */
static void an_item_that_crashes_engines_is_sent_at_intervals(void) {
    static const char id[] = "crasher";
    CU_ASSERT_TRUE(crash_fleet_wait_all_up(get_crash_fleet()));
    uint32_t before = crash_fleet_get_crash_count(get_crash_fleet());
    submit_distinct_bodies(id, ITEMS, CRASH_FLEET_FATAL_PREFIX "-crasher");
    CU_ASSERT_TRUE(wait_for_crashes(before, MIN_QUARANTINE_CRASHES, FINISH_MS));
    uint64_t known_ms =
        crash_fleet_find_crash_ms(get_crash_fleet(), "crasher-0", MIN_QUARANTINE_CRASHES);
    hs_clock_sleep_ms(CRASH_OBSERVATION_MS / 3);
    kill_and_restart_all_daemons();
    hs_clock_sleep_ms(CRASH_OBSERVATION_MS * 2 / 3);
    uint32_t late =
        check_send_interval("crasher-0", known_ms + MAX_QUARANTINE_DELAY_MS, MIN_SEND_INTERVAL_MS);
    fprintf(stderr, "crasher: %u engines crashed, %u late sends\n",
            crash_fleet_get_crash_count(get_crash_fleet()) - before, late);
    CU_ASSERT(known_ms > 0);
    CU_ASSERT(late >= MIN_LATE_SENDS);
    CU_ASSERT(late <= CRASH_OBSERVATION_MS / MIN_SEND_INTERVAL_MS);
    g_autofree char *page = bench_wait_job(0, id, ITEMS - 1, JOB_LIMIT_MS);
    CU_ASSERT_PTR_NOT_NULL(page);
}

int begin_item_losses(void) {
    bench.settings = (bench_settings){
        .item_pace = {.events = STREAM_EVENTS, .event_ms = STREAM_EVENT_MS}, .retention_s = 120};
    return begin_crashes_with_settings(
        &(crash_fleet_settings){.pace = {.events = STREAM_EVENTS, .event_ms = STREAM_EVENT_MS}});
}

int end_item_losses(void) {
    int ended = end_crashes_same_ids();
    bench.settings = (bench_settings){0};
    return ended;
}

const test_case fleet_item_loss_system_tests[] = {
    {"an_item_that_lost_two_engines_completes", an_item_that_lost_two_engines_completes},
    {"an_item_that_lost_three_engines_completes", an_item_that_lost_three_engines_completes},
    {"an_item_whose_engines_crash_at_its_start_completes",
     an_item_whose_engines_crash_at_its_start_completes},
    {"an_item_that_lost_five_engines_completes", an_item_that_lost_five_engines_completes},
    {"a_quarantined_item_completes_after_a_kill_of_all_daemons",
     a_quarantined_item_completes_after_a_kill_of_all_daemons},
    {"a_quarantined_item_completes_after_a_rolling_restart",
     a_quarantined_item_completes_after_a_rolling_restart},
    {"an_item_that_crashes_engines_is_sent_at_intervals",
     an_item_that_crashes_engines_is_sent_at_intervals},
    {NULL, NULL},
};
