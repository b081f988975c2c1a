/** @file test_stop_admission.c  Which requests are still sent while the process stops. */
#include "base/clock.h"
#include "base/drain.h"
#include "online/stop_admission.h"
#include "tests/unit/unit_tests.h"

#define LEFT_MS 2000
#define LONG_MS 60000

static bool may_send(bool is_accepting, uint32_t count, double longer_share) {
    return hs_stop_admission_may_send(
        &(hs_stop_admission_view){.left_ms = LEFT_MS,
                                  .request_left_ms = LONG_MS,
                                  .is_accepting = is_accepting,
                                  .runs = {.count = count, .longer_share = longer_share}});
}

static void requests_that_may_outlive_the_stop_are_not_sent(void) {
    CU_ASSERT_FALSE(may_send(false, 100, 0.01));
    CU_ASSERT_FALSE(may_send(false, 0, 0));
    CU_ASSERT_TRUE(may_send(false, 1, 0));
    CU_ASSERT_TRUE(may_send(false, 100, 0));
}

static void requests_that_probably_end_are_sent_while_callers_do_not_know(void) {
    CU_ASSERT_TRUE(may_send(true, 0, 0));
    CU_ASSERT_TRUE(may_send(true, 100, 0.4));
    CU_ASSERT_FALSE(may_send(true, 100, 0.6));
}

static void a_few_short_requests_do_not_tell_of_long_ones(void) {
    CU_ASSERT_EQUAL(hs_stop_admission_late_limit_ms(LEFT_MS, 100), LEFT_MS);
    CU_ASSERT_EQUAL(hs_stop_admission_late_limit_ms(LEFT_MS, 10), LEFT_MS / 4);
}

static void a_request_with_a_deadline_before_the_end_is_sent(void) {
    hs_stop_admission_view view = {.left_ms = LEFT_MS, .request_left_ms = LEFT_MS};
    CU_ASSERT_TRUE(hs_stop_admission_may_send(&view));
}

static void nothing_is_sent_at_the_end(void) {
    CU_ASSERT_FALSE(hs_stop_admission_may_send(&(hs_stop_admission_view){.is_accepting = true}));
}

/** Records a run that took @p length_ms, or a ms more. */
static void note_run(hs_run_lengths *lengths, const char *route, uint64_t length_ms) {
    hs_run_lengths_end(hs_run_lengths_begin(lengths, route, hs_clock_monotonic_ms() - length_ms),
                       true);
}

static void lengths_are_kept_by_route(void) {
    hs_run_lengths *lengths = hs_run_lengths_new();
    for (int run = 0; run < 3; run++)
        note_run(lengths, "short", 100);
    note_run(lengths, "short", 3600);
    CU_ASSERT_EQUAL(hs_run_lengths_compare(lengths, "long", 1).count, 0);
    CU_ASSERT_EQUAL(hs_run_lengths_compare(lengths, "short", 4000).count, 4);
    CU_ASSERT_EQUAL(hs_run_lengths_compare(lengths, "short", 4000).longer_share, 0);
    CU_ASSERT_EQUAL(hs_run_lengths_compare(lengths, "short", 3600).longer_share, 0.25);
    CU_ASSERT_EQUAL(hs_run_lengths_compare(lengths, "short", 200).longer_share, 0.25);
    CU_ASSERT_EQUAL(hs_run_lengths_compare(lengths, "short", 0).longer_share, 1);
    hs_run_lengths_free(lengths);
}

static void lengths_out_of_range_are_counted(void) {
    hs_run_lengths *lengths = hs_run_lengths_new();
    note_run(lengths, "route", 0);
    note_run(lengths, "route", UINT64_MAX / 2);
    CU_ASSERT_EQUAL(hs_run_lengths_compare(lengths, "route", 1000).longer_share, 0.5);
    hs_run_lengths_free(lengths);
}

static void runs_that_are_still_open_count_as_longer(void) {
    hs_run_lengths *lengths = hs_run_lengths_new();
    for (int run = 0; run < 9; run++)
        note_run(lengths, "route", 200);
    uint64_t started_ms = hs_clock_monotonic_ms() - LEFT_MS - 1;
    hs_open_run *run = hs_run_lengths_begin(lengths, "route", started_ms);
    CU_ASSERT_EQUAL(hs_run_lengths_compare(lengths, "route", LEFT_MS).longer_share, 0.1);
    CU_ASSERT_EQUAL(hs_run_lengths_compare(lengths, "route", 10 * LEFT_MS).longer_share, 0);
    hs_run_lengths_end(run, true);
    CU_ASSERT_EQUAL(hs_run_lengths_compare(lengths, "route", LEFT_MS).longer_share, 0.1);
    hs_run_lengths_end(hs_run_lengths_begin(NULL, "route", started_ms), true);
    hs_run_lengths_free(lengths);
}

/** Guards against long requests that are sent late in a stop as callers left the ones before. */
static void runs_that_were_broken_off_count_as_longer(void) {
    hs_run_lengths *lengths = hs_run_lengths_new();
    for (int run = 0; run < 9; run++)
        note_run(lengths, "route", 200);
    uint64_t started_ms = hs_clock_monotonic_ms() - LEFT_MS - 1;
    hs_run_lengths_end(hs_run_lengths_begin(lengths, "route", started_ms), false);
    CU_ASSERT_EQUAL(hs_run_lengths_compare(lengths, "route", LEFT_MS).count, 10);
    CU_ASSERT_EQUAL(hs_run_lengths_compare(lengths, "route", LEFT_MS).longer_share, 0.1);
    CU_ASSERT_EQUAL(hs_run_lengths_compare(lengths, "route", 10 * LEFT_MS).count, 9);
    CU_ASSERT_EQUAL(hs_run_lengths_compare(lengths, "route", 10 * LEFT_MS).longer_share, 0);
    hs_run_lengths_free(lengths);
}

static gpointer expire(gpointer data) {
    hs_clock_sleep_ms(20);
    hs_drain_expire(data);
    return NULL;
}

static void the_end_of_a_stop_ends_waits(void) {
    hs_drain *drain = hs_drain_new();
    hs_drain_times times;
    CU_ASSERT_FALSE(hs_drain_get(drain, &times));
    hs_drain_begin(drain, &(hs_drain_times){.started_ms = 1, .deadline_ms = 2});
    hs_drain_begin(drain, &(hs_drain_times){.started_ms = 5, .deadline_ms = 6});
    CU_ASSERT_TRUE(hs_drain_get(drain, &times));
    CU_ASSERT_EQUAL(times.deadline_ms, 2);
    CU_ASSERT_FALSE(hs_drain_has_expired(drain));
    GThread *thread = g_thread_new("expire", expire, drain);
    CU_ASSERT_TRUE(hs_interrupt_wait(hs_drain_interrupt(drain), 10000));
    CU_ASSERT_TRUE(hs_drain_has_expired(drain));
    g_thread_join(thread);
    hs_drain_free(drain);
}

static void a_stop_moves_later_deadlines_to_its_own(void) {
    hs_drain *drain = hs_drain_new();
    CU_ASSERT_EQUAL(hs_drain_limit(NULL, 9), 9);
    CU_ASSERT_EQUAL(hs_drain_limit(drain, 9), 9);
    hs_drain_begin(drain, &(hs_drain_times){.started_ms = 1, .deadline_ms = 5});
    CU_ASSERT_EQUAL(hs_drain_limit(drain, 9), 5);
    CU_ASSERT_EQUAL(hs_drain_limit(drain, 4), 4);
    hs_drain_free(drain);
}

const test_case stop_admission_tests[] = {
    {"a_stop_moves_later_deadlines_to_its_own", a_stop_moves_later_deadlines_to_its_own},
    {"requests_that_may_outlive_the_stop_are_not_sent",
     requests_that_may_outlive_the_stop_are_not_sent},
    {"requests_that_probably_end_are_sent_while_callers_do_not_know",
     requests_that_probably_end_are_sent_while_callers_do_not_know},
    {"a_few_short_requests_do_not_tell_of_long_ones",
     a_few_short_requests_do_not_tell_of_long_ones},
    {"a_request_with_a_deadline_before_the_end_is_sent",
     a_request_with_a_deadline_before_the_end_is_sent},
    {"nothing_is_sent_at_the_end", nothing_is_sent_at_the_end},
    {"lengths_are_kept_by_route", lengths_are_kept_by_route},
    {"lengths_out_of_range_are_counted", lengths_out_of_range_are_counted},
    {"runs_that_are_still_open_count_as_longer", runs_that_are_still_open_count_as_longer},
    {"runs_that_were_broken_off_count_as_longer", runs_that_were_broken_off_count_as_longer},
    {"the_end_of_a_stop_ends_waits", the_end_of_a_stop_ends_waits},
    {NULL, NULL}};
