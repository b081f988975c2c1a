/** @file test_batch_losses.c  System tests of batch items whose engines crash (OpenAI surface). */
#include "base/clock.h"
#include "tests/system/system_tests.h"

#include <CUnit/CUnit.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

/** Slow engines, so that an item runs for half a minute. */
#define SLOW_STEPS "{\"slow_step_ms\":50}"
#define ITEM_TOKENS 600
#define DRAFTING_ENGINES 3
/** Items of the batch: several at each engine. */
#define ITEMS 9
/** Limit in ms for an item to run, and to run again after a loss; far shorter than a run. */
#define RUN_TIMEOUT_MS 10000

/** Returns the engine at which the prompt runs, or -1. */
static int find_running(const char *prompt) {
    int found = -1;
    for (int engine = 0; engine < DRAFTING_ENGINES && found < 0; engine++) {
        json_t *record = NULL;
        size_t index;
        json_t *request;
        client_call("GET", test_fleet.engine_urls[engine], "/control/record", NULL, NULL, NULL,
                    &record);
        json_array_foreach(json_object_get(record, "requests"), index, request) {
            const char *state = json_string_value(json_object_get(request, "state"));
            if (g_strcmp0(json_string_value(json_object_get(request, "prompt")), prompt) == 0 &&
                g_strcmp0(state, "running") == 0)
                found = engine;
        }
        json_decref(record);
    }
    return found;
}

static bool is_running(void *user_data) {
    return find_running(user_data) >= 0;
}

static void crash_engine(int engine) {
    fleet_signal(&test_fleet.engine_pids[engine], SIGKILL);
    CU_ASSERT_TRUE(fleet_start_engine(&test_fleet, engine));
    CU_ASSERT_TRUE(fleet_set_faults(test_fleet.engine_urls[engine], SLOW_STEPS));
}

/** Crashes the engine that runs the prompt; returns its index. */
static int crash_engine_of(char *prompt) {
    CU_ASSERT_TRUE(wait_until(is_running, prompt, RUN_TIMEOUT_MS));
    int engine = find_running(prompt);
    if (engine >= 0)
        crash_engine(engine);
    return engine;
}

/** Counts the items of the batch that run at an engine. */
static int count_running_at(int engine) {
    int count = 0;
    for (int item = 0; item < ITEMS; item++) {
        g_autofree char *prompt = g_strdup_printf("group-%d", item);
        count += find_running(prompt) == engine;
    }
    return count;
}

/**
 * Guards against an item that waits until the other items of its grant have ended, since two of its
 * engines crashed. One daemon schedules all engines.
 */
static void an_item_that_lost_two_engines_runs_again_beside_others(void) {
    static char lost[] = "group-0";
    fleet_signal(&test_fleet.daemon_pids[1], SIGTERM);
    fleet_signal(&test_fleet.daemon_pids[2], SIGTERM);
    for (int engine = 0; engine < DRAFTING_ENGINES; engine++)
        CU_ASSERT_TRUE(fleet_set_faults(test_fleet.engine_urls[engine], SLOW_STEPS));
    g_autofree char *lines = test_lines("group", ITEMS, ITEM_TOKENS, 0);
    g_autofree char *job = submit_lines(lines, 0, 0, NULL);
    CU_ASSERT_PTR_NOT_NULL(job);
    int first = crash_engine_of(lost);
    int second = crash_engine_of(lost);
    int untouched = 0;
    while (untouched == first || untouched == second)
        untouched++;
    fprintf(stderr, "lost engines %d and %d, %d items at the other one\n", first, second,
            count_running_at(untouched));
    CU_ASSERT(first != second);
    CU_ASSERT_TRUE(wait_until(is_running, lost, RUN_TIMEOUT_MS));
    CU_ASSERT(count_running_at(untouched) > 0);
}

const test_case batch_loss_tests[] = {
    {"an_item_that_lost_two_engines_runs_again_beside_others",
     an_item_that_lost_two_engines_runs_again_beside_others},
    {NULL, NULL},
};
