/** @file test_item_plan.c  Tests which batch items start, and the estimates of their run times. */
#include "jobs/item_choice.h"
#include "jobs/item_estimate.h"
#include "jobs/job_room.h"
#include "jobs/start_pace.h"
#include "tests/unit/unit_tests.h"

/** A daemon uses its share of the whole free slots among a third of all daemons. */
static void items_start_if_slots_are_free(void) {
    hs_service_capacity capacity = {.slots = 100, .online = 10, .batch = 50};
    CU_ASSERT_EQUAL(hs_job_capacity_now(&capacity, 10, 24), 12);
    CU_ASSERT_EQUAL(hs_job_capacity_now(&capacity, 60, 24), 2);
    CU_ASSERT_EQUAL(hs_job_capacity_now(&capacity, 1, 24), 40);
    CU_ASSERT_EQUAL(hs_job_capacity_now(&capacity, 300, 24), 1); /* Limited by 24 partitions. */
    CU_ASSERT_EQUAL(hs_job_capacity_now(&capacity, 300, 10), 4);
    capacity.batch = 89;
    CU_ASSERT_EQUAL(hs_job_capacity_now(&capacity, 10, 24), 1);
    capacity.batch = 89.5; /* Half a slot is free. */
    CU_ASSERT_EQUAL(hs_job_capacity_now(&capacity, 10, 24), 0);
    capacity.batch = 200;
    CU_ASSERT_EQUAL(hs_job_capacity_now(&capacity, 10, 24), 0);
}

/** All items that fit are selected; an item that cannot end in time at all is excluded first. */
static void items_that_can_end_in_time_are_selected(void) {
    hs_choice_item items[] = {{.left_ms = 5000, .remaining_ms = 4000},
                              {.left_ms = 8000, .remaining_ms = 4000},
                              {.left_ms = 9000, .remaining_ms = 9500}};
    CU_ASSERT_EQUAL(hs_item_choice_select(items, 3, 1.0), 8000);
    CU_ASSERT_FALSE(items[0].is_excluded);
    CU_ASSERT_FALSE(items[1].is_excluded);
    CU_ASSERT_TRUE(items[2].is_excluded);
    CU_ASSERT_EQUAL(hs_item_choice_select(items, 0, 1.0), 0);
}

/** Under overload the longest item is excluded, so that the maximum number ends in time. */
static void the_longest_item_is_excluded_under_overload(void) {
    hs_choice_item items[] = {{.left_ms = 10000, .remaining_ms = 9000},
                              {.left_ms = 10000, .remaining_ms = 4000},
                              {.left_ms = 11000, .remaining_ms = 5000}};
    CU_ASSERT_EQUAL(hs_item_choice_select(items, 3, 1.0), 9000);
    CU_ASSERT_TRUE(items[0].is_excluded);
    CU_ASSERT_FALSE(items[1].is_excluded);
    CU_ASSERT_FALSE(items[2].is_excluded);
    CU_ASSERT_EQUAL(hs_item_choice_select(items, 3, 2.0), 18000); /* All fit on two slots. */
    CU_ASSERT_FALSE(items[0].is_excluded);
}

/** On any queue all selected items end in time if run in sequence at the slots' combined speed. */
static void selected_items_end_in_time_on_any_queue(void) {
    GRand *rng = g_rand_new_with_seed(5);
    for (int queue = 0; queue < 300; queue++) {
        hs_choice_item items[40];
        int64_t left_ms = 0;
        for (int index = 0; index < 40; index++) {
            left_ms += g_rand_int_range(rng, 0, 900);
            items[index] = (hs_choice_item){
                .left_ms = left_ms, .remaining_ms = (uint64_t)g_rand_int_range(rng, 100, 9000)};
        }
        double slots = g_rand_double_range(rng, 1, 9);
        uint64_t selected_ms = hs_item_choice_select(items, 40, slots);
        uint64_t work_ms = 0;
        for (int index = 0; index < 40; index++) {
            work_ms += items[index].is_excluded ? 0 : items[index].remaining_ms;
            CU_ASSERT(items[index].is_excluded ||
                      (double)work_ms / slots <= (double)items[index].left_ms + 1);
        }
        CU_ASSERT_EQUAL(work_ms, selected_ms);
    }
    g_rand_free(rng);
}

/** Estimates are unknown until an item has completed, then follow size and progress. */
static void estimates_follow_observations(void) {
    hs_item_pace pace = {0};
    CU_ASSERT_EQUAL(hs_item_pace_remaining_ms(&pace, 1000, 0), 0);
    hs_item_pace_note(&pace, 1000, 200, 200, 4000); /* 0.2 events per token, 20 ms per event. */
    CU_ASSERT_EQUAL(hs_item_pace_remaining_ms(&pace, 1000, 0), 4000);
    CU_ASSERT_EQUAL(hs_item_pace_remaining_ms(&pace, 2000, 100), 6000);
    CU_ASSERT_EQUAL(hs_item_pace_remaining_ms(&pace, 1000, 500),
                    200); /* More events than expected. */
    hs_item_pace_note(&pace, 0, 0, 0, 0);
    CU_ASSERT_EQUAL(hs_item_pace_remaining_ms(&pace, 1000, 0), 4000);
}

/** Runs a pass in which all starts succeed or all fail. Returns their number. */
static uint32_t run_pass(hs_start_throttle *pace, uint32_t capacity, double free_slots,
                         bool has_succeeded) {
    uint32_t count = hs_start_throttle_begin_pass(pace, capacity, free_slots);
    for (uint32_t index = 0; index < count; index++)
        hs_start_throttle_record(pace, has_succeeded);
    return count;
}

/** If no start fails, all capacity is used. */
static void all_capacity_is_used_if_starts_succeed(void) {
    hs_start_throttle pace = {0};
    for (uint32_t capacity = 0; capacity < 50; capacity++)
        CU_ASSERT_EQUAL(run_pass(&pace, capacity, capacity * 3.0, true), capacity);
}

/** Failing starts drop to a tenth; after they succeed again, all capacity is used within 1 s. */
static void failed_starts_reduce_the_start_rate(void) {
    hs_start_throttle pace = {0};
    uint32_t start_count = 0;
    for (int pass_index = 0; pass_index < 24; pass_index++)
        start_count += run_pass(&pace, 10, 90, false);
    CU_ASSERT_TRUE(start_count <= 24); /* Of 240 without a throttle. */
    CU_ASSERT_TRUE(start_count >= 4);  /* Starts continue, so that recovery is detected. */
    uint32_t pass_count = 0;
    while (run_pass(&pace, 10, 90, true) < 10)
        pass_count++;
    CU_ASSERT_TRUE(pass_count <= 10);
}

/** If the estimated free slots grow a lot, all capacity is used at once. */
static void new_capacity_is_used_at_once(void) {
    hs_start_throttle pace = {0};
    for (int pass_index = 0; pass_index < 24; pass_index++)
        run_pass(&pace, 2, 20, false);
    CU_ASSERT_EQUAL(run_pass(&pace, 30, 300, true), 30);
    CU_ASSERT_EQUAL(run_pass(&pace, 30, 300, true), 30);
}

const test_case item_plan_tests[] = {
    {"items_start_if_slots_are_free", items_start_if_slots_are_free},
    {"items_that_can_end_in_time_are_selected", items_that_can_end_in_time_are_selected},
    {"the_longest_item_is_excluded_under_overload", the_longest_item_is_excluded_under_overload},
    {"selected_items_end_in_time_on_any_queue", selected_items_end_in_time_on_any_queue},
    {"estimates_follow_observations", estimates_follow_observations},
    {"all_capacity_is_used_if_starts_succeed", all_capacity_is_used_if_starts_succeed},
    {"failed_starts_reduce_the_start_rate", failed_starts_reduce_the_start_rate},
    {"new_capacity_is_used_at_once", new_capacity_is_used_at_once},
    {NULL, NULL}};
