/**
 * @file test_fleet_item_series.c
 * System tests of job items that lose engines in a row, for reasons that have nothing to do with
 * the items. Once the engines are stable, each item runs again within seconds, however many engines
 * it has lost.
 */
#include "base/clock.h"
#include "tests/system/crash_calls.h"
#include "tests/system/item_loss_calls.h"
#include "tests/system/system_tests.h"

#include <CUnit/CUnit.h>

/** Losses of the items that lose engines. */
#define MIN_LOSSES 2
#define MAX_LOSSES 8
#define SERIES_ITEMS (MAX_LOSSES - MIN_LOSSES + 1)
/** Length of the engines' streams: longer than MAX_LOSSES times MIDDLE_CRASH_MS, with room for
 * crashes that come late on a busy machine. */
#define STREAM_EVENTS 200
#define STREAM_EVENT_MS 50
/** Items of a job in which one item loses engines. */
#define ITEMS_AMONG_OTHERS 12
/** The platform's retention-s: an item has to complete within it, in spite of its losses. */
#define RETENTION_S 60
#define POLL_MS 20

/** Plans @p losses crashes of the engines that run an item. */
static void plan_losses(const char *id, int item, uint32_t after_ms, uint32_t losses) {
    g_autofree char *name = g_strdup_printf("%s-%d", id, item);
    crash_fleet_crash_during_requests(get_crash_fleet(), name, after_ms, losses);
}

/** Waits for all planned crashes. An item that lost an engine has to be sent again for the next. */
static void wait_for_planned_crashes(void) {
    uint64_t until_ms = hs_clock_monotonic_ms() + (uint64_t)MAX_LOSSES * FINISH_MS;
    while (crash_fleet_count_planned(get_crash_fleet()) > 0 && hs_clock_monotonic_ms() < until_ms)
        hs_clock_sleep_ms(POLL_MS);
    CU_ASSERT_EQUAL(crash_fleet_count_planned(get_crash_fleet()), 0);
}

/** The first item of a job of @p count items loses as many engines as any item here. */
static void check_one_item(const char *id, int count, uint32_t after_ms) {
    CU_ASSERT_TRUE(crash_fleet_wait_all_up(get_crash_fleet()));
    plan_losses(id, 0, after_ms, MAX_LOSSES);
    submit_distinct_bodies(id, count, NULL);
    wait_for_planned_crashes();
    check_job_completes(id, count);
}

/** Each item of a job loses another number of engines, all at the same time. */
static void check_several_items(const char *id, uint32_t after_ms) {
    CU_ASSERT_TRUE(crash_fleet_wait_all_up(get_crash_fleet()));
    for (int item = 0; item < SERIES_ITEMS; item++)
        plan_losses(id, item, after_ms, MIN_LOSSES + (uint32_t)item);
    submit_distinct_bodies(id, SERIES_ITEMS, NULL);
    wait_for_planned_crashes();
    check_job_completes(id, SERIES_ITEMS);
}

/** Guards against an item that is given up after a number of engines were lost at its start. */
static void an_item_that_lost_engines_at_its_start_runs_again(void) {
    check_one_item("early", 1, EARLY_CRASH_MS);
}

/** Guards against an item that is given up after a number of engines were lost in its middle. */
static void an_item_that_lost_engines_in_its_middle_runs_again(void) {
    check_one_item("middle", 1, MIDDLE_CRASH_MS);
}

/** Guards against an item that is blamed because the items beside it were acquitted. */
static void an_item_among_others_that_lost_engines_runs_again(void) {
    check_one_item("among", ITEMS_AMONG_OTHERS, EARLY_CRASH_MS);
}

/** Guards against items that keep each other from running after losses at their start. */
static void items_that_lost_engines_at_their_start_run_again(void) {
    check_several_items("all-early", EARLY_CRASH_MS);
}

/** Guards against items that keep each other from running after losses in their middle. */
static void items_that_lost_engines_in_their_middle_run_again(void) {
    check_several_items("all-middle", MIDDLE_CRASH_MS);
}

int begin_item_series(void) {
    bench.settings =
        (bench_settings){.item_pace = {.events = STREAM_EVENTS, .event_ms = STREAM_EVENT_MS},
                         .retention_s = RETENTION_S};
    return begin_crashes_with_settings(
        &(crash_fleet_settings){.pace = {.events = STREAM_EVENTS, .event_ms = STREAM_EVENT_MS}});
}

const test_case fleet_item_series_system_tests[] = {
    {"an_item_that_lost_engines_at_its_start_runs_again",
     an_item_that_lost_engines_at_its_start_runs_again},
    {"an_item_that_lost_engines_in_its_middle_runs_again",
     an_item_that_lost_engines_in_its_middle_runs_again},
    {"an_item_among_others_that_lost_engines_runs_again",
     an_item_among_others_that_lost_engines_runs_again},
    {"items_that_lost_engines_at_their_start_run_again",
     items_that_lost_engines_at_their_start_run_again},
    {"items_that_lost_engines_in_their_middle_run_again",
     items_that_lost_engines_in_their_middle_run_again},
    {NULL, NULL},
};
