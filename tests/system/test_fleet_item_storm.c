/**
 * @file test_fleet_item_storm.c
 * System tests of job items that run while engines crash one after the other, by no fault of the
 * items. Once the engines are stable, all items complete.
 */
#include "base/clock.h"
#include "tests/system/crash_calls.h"
#include "tests/system/item_loss_calls.h"
#include "tests/system/system_tests.h"

#include <CUnit/CUnit.h>

#define ITEMS 40
/** Crashes, each of the engine after the last one, and the interval between them in ms: an engine
 * runs for two seconds between two crashes. */
#define CRASHES 50
#define CRASH_INTERVAL_MS 600

/** Guards against items that took part in crashes by chance and are then never run again. */
static void items_complete_after_a_storm_of_crashes(void) {
    CU_ASSERT_TRUE(crash_fleet_wait_all_up(get_crash_fleet()));
    submit_distinct_bodies("storm", ITEMS, NULL);
    for (int crash = 0; crash < CRASHES; crash++) {
        crash_fleet_crash_engine(get_crash_fleet(), crash % CRASH_FLEET_ENGINES);
        hs_clock_sleep_ms(CRASH_INTERVAL_MS);
    }
    check_job_completes("storm", ITEMS);
}

const test_case fleet_item_storm_system_tests[] = {
    {"items_complete_after_a_storm_of_crashes", items_complete_after_a_storm_of_crashes},
    {NULL, NULL},
};
