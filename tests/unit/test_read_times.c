/** @file test_read_times.c  How long reads of the store wait, from given response times. */
#include "store/read_times.h"
#include "tests/unit/unit_tests.h"

#include <stddef.h>

#define READ_LIMIT_MS 1500
#define SHORT_LIMIT_MS 600

static hs_read_times times_after(uint64_t took_ms) {
    hs_read_times times = {0};
    hs_read_times_note(&times, 5);
    hs_read_times_note(&times, took_ms);
    return times;
}

/** Guards against reads that give up although the store answered the last one as late. */
static void limits_leave_time_for_answers_as_late_as_the_last(void) {
    for (uint64_t took_ms = 1; took_ms <= 2500; took_ms++) {
        hs_read_times times = times_after(took_ms);
        CU_ASSERT(hs_read_times_limit_ms(&times, READ_LIMIT_MS, 0) > took_ms);
        CU_ASSERT(hs_read_times_limit_ms(&times, SHORT_LIMIT_MS, 0) > took_ms);
        /* Also on a silent connection, where the second attempt gets the answer. */
        uint64_t limit_ms = hs_read_times_limit_ms(&times, SHORT_LIMIT_MS, 0);
        CU_ASSERT(hs_read_times_repeat_ms(&times, true, limit_ms) + took_ms <= limit_ms);
    }
}

static void limits_grow_with_failed_attempts_and_are_bounded(void) {
    hs_read_times times = {0};
    CU_ASSERT_EQUAL(hs_read_times_limit_ms(&times, READ_LIMIT_MS, 0), READ_LIMIT_MS);
    CU_ASSERT_EQUAL(hs_read_times_limit_ms(&times, READ_LIMIT_MS, 1), 2 * READ_LIMIT_MS);
    CU_ASSERT_EQUAL(hs_read_times_limit_ms(&times, READ_LIMIT_MS, 60), HS_READ_MAX_LIMIT_MS);
    CU_ASSERT_EQUAL(hs_read_times_limit_ms(&times, 9000, 3), 9000);
    times = times_after(60000);
    CU_ASSERT_EQUAL(hs_read_times_limit_ms(&times, READ_LIMIT_MS, 0), HS_READ_MAX_LIMIT_MS);
}

/** Guards against a slow store that gets each read twice. */
static void reads_are_not_sent_again_before_a_slow_store_answers(void) {
    for (uint64_t took_ms = 1; took_ms < HS_READ_MAX_REPEAT_MS; took_ms++) {
        hs_read_times times = times_after(took_ms);
        CU_ASSERT(hs_read_times_repeat_ms(&times, false, READ_LIMIT_MS) > took_ms);
        CU_ASSERT(hs_read_times_repeat_ms(&times, true, 1200) > took_ms);
    }
}

/** Guards against silent connections that are noticed late. */
static void reads_are_sent_again_within_the_bounds(void) {
    hs_read_times times = {0};
    CU_ASSERT_EQUAL(hs_read_times_repeat_ms(&times, false, 100), HS_READ_MIN_REPEAT_MS);
    CU_ASSERT_EQUAL(hs_read_times_repeat_ms(&times, true, SHORT_LIMIT_MS), SHORT_LIMIT_MS / 2);
    CU_ASSERT_EQUAL(hs_read_times_repeat_ms(&times, true, 9000), HS_READ_MIN_REPEAT_MS);
    times = times_after(60000);
    CU_ASSERT_EQUAL(hs_read_times_repeat_ms(&times, false, 9000), HS_READ_MAX_REPEAT_MS);
    CU_ASSERT_EQUAL(hs_read_times_repeat_ms(&times, true, 9000), HS_READ_MAX_REPEAT_MS);
}

/** Guards against long limits that remain after the store is fast again. */
static void limits_return_to_the_usual_after_fast_answers(void) {
    hs_read_times times = times_after(1200);
    for (int read = 0; read < 20; read++)
        hs_read_times_note(&times, 5);
    CU_ASSERT_EQUAL(hs_read_times_limit_ms(&times, READ_LIMIT_MS, 0), READ_LIMIT_MS);
    CU_ASSERT_EQUAL(hs_read_times_repeat_ms(&times, false, READ_LIMIT_MS), HS_READ_MIN_REPEAT_MS);
}

const test_case read_times_tests[] = {
    {"limits_leave_time_for_answers_as_late_as_the_last",
     limits_leave_time_for_answers_as_late_as_the_last},
    {"limits_grow_with_failed_attempts_and_are_bounded",
     limits_grow_with_failed_attempts_and_are_bounded},
    {"reads_are_not_sent_again_before_a_slow_store_answers",
     reads_are_not_sent_again_before_a_slow_store_answers},
    {"reads_are_sent_again_within_the_bounds", reads_are_sent_again_within_the_bounds},
    {"limits_return_to_the_usual_after_fast_answers",
     limits_return_to_the_usual_after_fast_answers},
    {NULL, NULL}};
