/** @file test_batch_losses.c  System tests of batch items whose engines crash (OpenAI surface). */
#include "tests/system/system_tests.h"

#include <CUnit/CUnit.h>
#include <signal.h>
#include <stdio.h>

/** Slow engines, so that an item runs for half a minute. */
#define SLOW_STEPS "{\"slow_step_ms\":50}"
#define ITEM_TOKENS 600
#define DRAFTING_ENGINES 3
/** Prefix of the prompts, and items of the batch: several at each engine. */
#define BATCH "group"
#define ITEMS 9
/** Limit in ms for an item to run, and to run again after a loss; far shorter than a run. */
#define RUN_TIMEOUT_MS 10000

/** Returns the engine at which the prompt runs, or -1. */
static int find_running(const char *prompt) {
    int found = -1;
    for (int engine = 0; engine < DRAFTING_ENGINES && found < 0; engine++)
        if (count_runs_at(engine, prompt, "running") > 0)
            found = engine;
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

/**
 * Guards against an item that waits until the other items of its grant have ended, since two of its
 * engines crashed. One daemon schedules all engines.
 */
static void an_item_that_lost_two_engines_runs_again_beside_others(void) {
    static char lost[] = BATCH "-0";
    fleet_signal(&test_fleet.daemon_pids[1], SIGTERM);
    fleet_signal(&test_fleet.daemon_pids[2], SIGTERM);
    for (int engine = 0; engine < DRAFTING_ENGINES; engine++)
        CU_ASSERT_TRUE(fleet_set_faults(test_fleet.engine_urls[engine], SLOW_STEPS));
    g_autofree char *lines = test_lines(BATCH, ITEMS, ITEM_TOKENS, 0);
    g_autofree char *job = submit_lines(lines, 0, 0, NULL);
    CU_ASSERT_PTR_NOT_NULL(job);
    int first = crash_engine_of(lost);
    int second = crash_engine_of(lost);
    int untouched = 0;
    while (untouched == first || untouched == second)
        untouched++;
    fprintf(stderr, "lost engines %d and %d, %d items at the other one\n", first, second,
            count_runs_at(untouched, BATCH, "running"));
    CU_ASSERT(first != second);
    CU_ASSERT_TRUE(wait_until(is_running, lost, RUN_TIMEOUT_MS));
    CU_ASSERT(count_runs_at(untouched, BATCH, "running") > 0);
}

const test_case batch_loss_tests[] = {
    {"an_item_that_lost_two_engines_runs_again_beside_others",
     an_item_that_lost_two_engines_runs_again_beside_others},
    {NULL, NULL},
};
