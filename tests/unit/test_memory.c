/**
 * @file test_memory.c
 * Memory that is kept for others: marks of the budget, the slowest reader, and the counters under
 * threads.
 */
#include "base/memory_budget.h"
#include "directory/machine_load.h"
#include "tests/unit/unit_tests.h"

#include <glib.h>

#define MB (1024ULL * 1024)
#define BUDGET (40 * MB)
#define THREADS 8
#define ROUNDS 20000
#define PIECE 1000

static void marks_stand_at_three_quarters_and_nine_tenths(void) {
    CU_ASSERT_EQUAL(hs_memory_mark_at(BUDGET, 0), HS_MEMORY_AMPLE);
    CU_ASSERT_EQUAL(hs_memory_mark_at(BUDGET, 30 * MB - 100), HS_MEMORY_AMPLE);
    CU_ASSERT_EQUAL(hs_memory_mark_at(BUDGET, 30 * MB), HS_MEMORY_SHORT);
    CU_ASSERT_EQUAL(hs_memory_mark_at(BUDGET, 36 * MB - 100), HS_MEMORY_SHORT);
    CU_ASSERT_EQUAL(hs_memory_mark_at(BUDGET, 36 * MB), HS_MEMORY_CRITICAL);
    CU_ASSERT_EQUAL(hs_memory_mark_at(BUDGET, 50 * MB), HS_MEMORY_CRITICAL);
}

static void without_a_budget_nothing_is_refused(void) {
    CU_ASSERT_EQUAL(hs_memory_budget_of_machine(0), 0);
    CU_ASSERT_EQUAL(hs_memory_mark_at(0, UINT64_MAX / 2), HS_MEMORY_AMPLE);
    CU_ASSERT_TRUE(hs_memory_may_take(0, UINT64_MAX / 2, 1, HS_MEMORY_OF_NEW_WORK));
    CU_ASSERT_EQUAL(hs_memory_taken_percent_at(0, 100 * MB), 0);
    CU_ASSERT_EQUAL(hs_memory_budget_get(), 0);
    CU_ASSERT_TRUE(hs_memory_try_charge(HS_MEMORY_BODIES, UINT64_MAX / 2, HS_MEMORY_OF_NEW_WORK));
    CU_ASSERT_EQUAL(hs_memory_mark_now(), HS_MEMORY_AMPLE);
    hs_memory_release(HS_MEMORY_BODIES, UINT64_MAX / 2);
}

static void the_program_keeps_a_share_of_its_machine(void) {
    CU_ASSERT_EQUAL(hs_memory_budget_of_machine(120), 48 * MB);
    CU_ASSERT_EQUAL(hs_memory_budget_of_machine(512), 244 * MB);
    CU_ASSERT_EQUAL(hs_memory_budget_of_machine(10), MB);
    for (uint32_t memory_mb = 30; memory_mb < 70000; memory_mb *= 2)
        CU_ASSERT(hs_memory_budget_of_machine(memory_mb) < memory_mb * MB / 2);
}

static void new_work_leaves_the_rest_to_what_is_open(void) {
    CU_ASSERT_TRUE(hs_memory_may_take(BUDGET, 29 * MB, MB, HS_MEMORY_OF_NEW_WORK));
    CU_ASSERT_FALSE(hs_memory_may_take(BUDGET, 29 * MB, MB + 1, HS_MEMORY_OF_NEW_WORK));
    CU_ASSERT_TRUE(hs_memory_may_take(BUDGET, 39 * MB, MB, HS_MEMORY_OF_OPEN_WORK));
    CU_ASSERT_FALSE(hs_memory_may_take(BUDGET, 39 * MB, MB + 1, HS_MEMORY_OF_OPEN_WORK));
    CU_ASSERT_FALSE(hs_memory_may_take(BUDGET, 50 * MB, 0, HS_MEMORY_OF_OPEN_WORK));
    CU_ASSERT_FALSE(hs_memory_may_take(BUDGET, MB, UINT64_MAX, HS_MEMORY_OF_OPEN_WORK));
}

static void blocks_are_what_growing_arrays_hold(void) {
    CU_ASSERT_EQUAL(hs_memory_block_bytes(0), 0);
    CU_ASSERT_EQUAL(hs_memory_block_bytes(1), 1);
    CU_ASSERT_EQUAL(hs_memory_block_bytes(16384), 16384);
    CU_ASSERT_EQUAL(hs_memory_block_bytes(16385), 32768);
}

/** Who would need the longest for what is held for it, not who holds the most. */
static void the_slowest_reader_is_slow_for_what_it_holds(void) {
    const hs_memory_reader readers[] = {
        {.held_bytes = 0, .taken_bytes = 0, .open_ms = 60000},
        {.held_bytes = MB, .taken_bytes = 10 * MB, .open_ms = 10000},
        {.held_bytes = 200000, .taken_bytes = 10000, .open_ms = 10000},
        {.held_bytes = 100000, .taken_bytes = 10000, .open_ms = 10000},
    };
    CU_ASSERT_EQUAL(hs_memory_slowest_reader(readers, 4), 2);
    CU_ASSERT_EQUAL(hs_memory_slowest_reader(readers, 2), 1);
    CU_ASSERT_EQUAL(hs_memory_slowest_reader(readers, 1), 1);
    CU_ASSERT_EQUAL(hs_memory_slowest_reader(readers, 0), 0);
}

/** Charges that got through, against what the budget may hold at any time. */
typedef struct {
    gint refused;
    gint over;
} outcome;

static gpointer charge_and_release(gpointer data) {
    outcome *seen = data;
    for (int round = 0; round < ROUNDS; round++) {
        if (!hs_memory_try_charge(HS_MEMORY_STREAMS, PIECE, HS_MEMORY_OF_OPEN_WORK)) {
            g_atomic_int_inc(&seen->refused);
            continue;
        }
        if (hs_memory_charged_in_all() > (THREADS - 2) * PIECE)
            g_atomic_int_inc(&seen->over);
        hs_memory_release(HS_MEMORY_STREAMS, PIECE);
    }
    return NULL;
}

static void threads_never_charge_more_than_the_budget(void) {
    GThread *threads[THREADS];
    outcome seen = {0};
    hs_memory_budget_set((THREADS - 2) * PIECE);
    for (int index = 0; index < THREADS; index++)
        threads[index] = g_thread_new("charge", charge_and_release, &seen);
    for (int index = 0; index < THREADS; index++)
        g_thread_join(threads[index]);
    CU_ASSERT_EQUAL(seen.over, 0);
    CU_ASSERT_EQUAL(hs_memory_charged_in_all(), 0);
    CU_ASSERT_EQUAL(hs_memory_charged(HS_MEMORY_STREAMS), 0);
    hs_memory_budget_set(0);
}

static void kinds_share_one_budget(void) {
    hs_memory_budget_set(BUDGET);
    CU_ASSERT_TRUE(hs_memory_try_charge(HS_MEMORY_BODIES, 20 * MB, HS_MEMORY_OF_NEW_WORK));
    CU_ASSERT_FALSE(hs_memory_try_charge(HS_MEMORY_BODIES, 20 * MB, HS_MEMORY_OF_NEW_WORK));
    CU_ASSERT_TRUE(hs_memory_try_charge(HS_MEMORY_STREAMS, 15 * MB, HS_MEMORY_OF_OPEN_WORK));
    CU_ASSERT_EQUAL(hs_memory_mark_now(), HS_MEMORY_SHORT);
    CU_ASSERT_EQUAL(hs_memory_taken_percent(), 100);
    hs_memory_charge(HS_MEMORY_ANSWERS, 10 * MB);
    CU_ASSERT_EQUAL(hs_memory_mark_now(), HS_MEMORY_CRITICAL);
    CU_ASSERT_FALSE(hs_memory_try_charge(HS_MEMORY_STREAMS, 1, HS_MEMORY_OF_OPEN_WORK));
    hs_memory_release(HS_MEMORY_ANSWERS, 10 * MB);
    hs_memory_release(HS_MEMORY_STREAMS, 15 * MB);
    CU_ASSERT_EQUAL(hs_memory_charged_in_all(), 20 * MB);
    CU_ASSERT_EQUAL(hs_memory_taken_percent(), 66);
    hs_memory_release(HS_MEMORY_BODIES, 20 * MB);
    hs_memory_budget_set(0);
}

/** Callers are told to use other machines, in the load's own steps and pace. */
static void a_machine_short_of_memory_tells_itself_taken(void) {
    hs_machine_load load = {0};
    CU_ASSERT_EQUAL(hs_machine_load_taken_percent(&load, 1000), 0);
    load.memory_percent = 100;
    CU_ASSERT_EQUAL(hs_machine_load_taken_percent(&load, 2000), 100);
    load.memory_percent = 0;
    CU_ASSERT_EQUAL(hs_machine_load_taken_percent(&load, 2500), 100);
    CU_ASSERT_EQUAL(hs_machine_load_taken_percent(&load, 5000), 0);
}

const test_case memory_tests[] = {
    {"marks stand at three quarters and nine tenths",
     marks_stand_at_three_quarters_and_nine_tenths},
    {"without a budget nothing is refused", without_a_budget_nothing_is_refused},
    {"the program keeps a share of its machine", the_program_keeps_a_share_of_its_machine},
    {"new work leaves the rest to what is open", new_work_leaves_the_rest_to_what_is_open},
    {"blocks are what growing arrays hold", blocks_are_what_growing_arrays_hold},
    {"the slowest reader is slow for what it holds", the_slowest_reader_is_slow_for_what_it_holds},
    {"threads never charge more than the budget", threads_never_charge_more_than_the_budget},
    {"kinds share one budget", kinds_share_one_budget},
    {"a machine short of memory tells itself taken", a_machine_short_of_memory_tells_itself_taken},
    {NULL, NULL}};
