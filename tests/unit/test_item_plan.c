/** @file test_item_plan.c  Which batch items start, and what they are expected to need. */
#include "jobs/item_choice.h"
#include "jobs/item_estimate.h"
#include "jobs/job_capacity.h"
#include "jobs/start_throttle.h"
#include "tests/unit/unit_tests.h"

/** A daemon starts its part of the free slots among a third of all daemons, whole slots only. */
static void items_start_where_slots_are_free(void) {
    hs_service_room room = {.slots = 100, .online = 10, .batch = 50};
    CU_ASSERT_EQUAL(hs_job_room(&room, 10, 24), 12);
    CU_ASSERT_EQUAL(hs_job_room(&room, 60, 24), 2);
    CU_ASSERT_EQUAL(hs_job_room(&room, 1, 24), 40);
    CU_ASSERT_EQUAL(hs_job_room(&room, 300, 24), 1); /* 24 owners, not a hundred starters. */
    CU_ASSERT_EQUAL(hs_job_room(&room, 300, 10), 4);
    room.batch = 89;
    CU_ASSERT_EQUAL(hs_job_room(&room, 10, 24), 1);
    room.batch = 89.5; /* Not a whole slot. */
    CU_ASSERT_EQUAL(hs_job_room(&room, 10, 24), 0);
    room.batch = 200;
    CU_ASSERT_EQUAL(hs_job_room(&room, 10, 24), 0);
}

/** What fits is taken whole; what cannot end in time anyway is left out first. */
static void all_items_are_chosen_where_all_fit(void) {
    hs_choice_item items[] = {{.left_ms = 5000, .remaining_ms = 4000},
                              {.left_ms = 8000, .remaining_ms = 4000},
                              {.left_ms = 9000, .remaining_ms = 9500}};
    CU_ASSERT_EQUAL(hs_item_choice_make(items, 3, 1.0), 8000);
    CU_ASSERT_FALSE(items[0].is_left_out);
    CU_ASSERT_FALSE(items[1].is_left_out);
    CU_ASSERT_TRUE(items[2].is_left_out);
    CU_ASSERT_EQUAL(hs_item_choice_make(items, 0, 1.0), 0);
}

/** Under overload the longest is left out, so that the most items end in time. */
static void the_longest_item_is_left_out_under_overload(void) {
    hs_choice_item items[] = {{.left_ms = 10000, .remaining_ms = 9000},
                              {.left_ms = 10000, .remaining_ms = 4000},
                              {.left_ms = 11000, .remaining_ms = 5000}};
    CU_ASSERT_EQUAL(hs_item_choice_make(items, 3, 1.0), 9000);
    CU_ASSERT_TRUE(items[0].is_left_out);
    CU_ASSERT_FALSE(items[1].is_left_out);
    CU_ASSERT_FALSE(items[2].is_left_out);
    CU_ASSERT_EQUAL(hs_item_choice_make(items, 3, 2.0), 18000); /* Two slots have room for all. */
    CU_ASSERT_FALSE(items[0].is_left_out);
}

/** On any queue no chosen item would end late one after the other at the slots' common speed. */
static void chosen_items_end_in_time_on_any_queue(void) {
    GRand *chance = g_rand_new_with_seed(5);
    for (int queue = 0; queue < 300; queue++) {
        hs_choice_item items[40];
        int64_t left_ms = 0;
        for (int index = 0; index < 40; index++) {
            left_ms += g_rand_int_range(chance, 0, 900);
            items[index] = (hs_choice_item){
                .left_ms = left_ms, .remaining_ms = (uint64_t)g_rand_int_range(chance, 100, 9000)};
        }
        double slots = g_rand_double_range(chance, 1, 9);
        uint64_t told_ms = hs_item_choice_make(items, 40, slots);
        uint64_t work_ms = 0;
        for (int index = 0; index < 40; index++) {
            work_ms += items[index].is_left_out ? 0 : items[index].remaining_ms;
            CU_ASSERT(items[index].is_left_out ||
                      (double)work_ms / slots <= (double)items[index].left_ms + 1);
        }
        CU_ASSERT_EQUAL(work_ms, told_ms);
    }
    g_rand_free(chance);
}

/** Nothing is expected before an item has ended; then time follows size and what is made. */
static void estimates_follow_what_was_observed(void) {
    hs_item_pace pace = {0};
    CU_ASSERT_EQUAL(hs_item_pace_remaining_ms(&pace, 1000, 0), 0);
    hs_item_pace_note(&pace, 1000, 200, 200, 4000); /* 0.2 events a token, 20 ms an event. */
    CU_ASSERT_EQUAL(hs_item_pace_remaining_ms(&pace, 1000, 0), 4000);
    CU_ASSERT_EQUAL(hs_item_pace_remaining_ms(&pace, 2000, 100), 6000);
    CU_ASSERT_EQUAL(hs_item_pace_remaining_ms(&pace, 1000, 500), 200); /* Longer than expected. */
    hs_item_pace_note(&pace, 0, 0, 0, 0);
    CU_ASSERT_EQUAL(hs_item_pace_remaining_ms(&pace, 1000, 0), 4000);
}

/** A pass in which all @p count starts, if any, come to nothing or go out. */
static uint32_t pass(hs_start_pace *pace, uint32_t room, double spare, bool goes_out) {
    uint32_t count = hs_start_pace_begin(pace, room, spare);
    for (uint32_t index = 0; index < count; index++)
        hs_start_pace_note(pace, goes_out);
    return count;
}

/** Where nothing is sent back all of the room is tried, as ever. */
static void all_room_is_tried_where_starts_go_out(void) {
    hs_start_pace pace = {0};
    for (uint32_t room = 0; room < 50; room++)
        CU_ASSERT_EQUAL(pass(&pace, room, room * 3.0, true), room);
}

/** Room that was taken meanwhile: a tenth of the tries of before, and all again within a second. */
static void starts_that_are_sent_back_become_fewer(void) {
    hs_start_pace pace = {0};
    uint32_t tries = 0;
    for (int turn = 0; turn < 24; turn++)
        tries += pass(&pace, 10, 90, false);
    CU_ASSERT_TRUE(tries <= 24); /* Of 240. */
    CU_ASSERT_TRUE(tries >= 4);  /* Beliefs may be wrong for long: it goes on trying. */
    uint32_t turns = 0;
    while (pass(&pace, 10, 90, true) < 10)
        turns++;
    CU_ASSERT_TRUE(turns <= 10);
}

/** A trough begins: words tell of much more room, and it is tried at once. */
static void more_room_is_tried_at_once(void) {
    hs_start_pace pace = {0};
    for (int turn = 0; turn < 24; turn++)
        pass(&pace, 2, 20, false);
    CU_ASSERT_EQUAL(pass(&pace, 30, 300, true), 30);
    CU_ASSERT_EQUAL(pass(&pace, 30, 300, true), 30);
}

const test_case item_plan_tests[] = {
    {"items_start_where_slots_are_free", items_start_where_slots_are_free},
    {"all_items_are_chosen_where_all_fit", all_items_are_chosen_where_all_fit},
    {"the_longest_item_is_left_out_under_overload", the_longest_item_is_left_out_under_overload},
    {"chosen_items_end_in_time_on_any_queue", chosen_items_end_in_time_on_any_queue},
    {"estimates_follow_what_was_observed", estimates_follow_what_was_observed},
    {"all_room_is_tried_where_starts_go_out", all_room_is_tried_where_starts_go_out},
    {"starts_that_are_sent_back_become_fewer", starts_that_are_sent_back_become_fewer},
    {"more_room_is_tried_at_once", more_room_is_tried_at_once},
    {NULL, NULL}};
