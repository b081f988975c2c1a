/** @file test_scheduling.c  Pacing, the count of online requests, engine slots. */
#include "scheduling/engine_slot.h"
#include "tests/unit/unit_tests.h"

static const hs_pacing_settings pacing = {
    .max_batch = 32, .beside_online = 2, .start_beside = 1, .idle_hold_ms = 20};

static void batch_is_full_only_on_an_idle_engine(void) {
    hs_pacing_view view = {0};
    CU_ASSERT_EQUAL(hs_pacing_limits_of(&pacing, &view, 5).running, 32);
    CU_ASSERT_EQUAL(hs_pacing_limits_of(&pacing, &view, 5).start, 32);
    view.online = 1;
    CU_ASSERT_EQUAL(hs_pacing_limits_of(&pacing, &view, 5).running, 2);
    CU_ASSERT_EQUAL(hs_pacing_limits_of(&pacing, &view, 5).start, 1);
    view = (hs_pacing_view){.online = 0, .online_ended_ms = 100};
    CU_ASSERT_EQUAL(hs_pacing_limits_of(&pacing, &view, 119).running, 2);
    CU_ASSERT_EQUAL(hs_pacing_limits_of(&pacing, &view, 120).running, 32);
}

static void items_start_one_after_the_other(void) {
    hs_pacing_settings slow = pacing;
    CU_ASSERT_EQUAL(hs_pacing_starts(&slow, 100, 100), UINT32_MAX);
    slow.start_interval_ms = 10;
    CU_ASSERT_EQUAL(hs_pacing_starts(&slow, 100, 109), 0);
    CU_ASSERT_EQUAL(hs_pacing_starts(&slow, 100, 110), 1);
}

static void late_notice_is_dropped_and_a_lost_one_heals(void) {
    hs_online_load load;
    hs_online_load_init(&load);
    CU_ASSERT_TRUE(hs_online_load_notice(&load, "edge", 1, 2, 3, 10));
    CU_ASSERT_FALSE(hs_online_load_notice(&load, "edge", 1, 1, 9, 11));
    CU_ASSERT_EQUAL(load.total, 3);
    CU_ASSERT_TRUE(hs_online_load_notice(&load, "edge", 1, 7, 1, 12));
    CU_ASSERT_TRUE(hs_online_load_notice(&load, "other", 1, 1, 4, 13));
    CU_ASSERT_EQUAL(load.total, 5);
    CU_ASSERT_TRUE(hs_online_load_notice(&load, "edge", 2, 1, 0, 14));
    CU_ASSERT_TRUE(hs_online_load_notice(&load, "other", 1, 2, 0, 15));
    CU_ASSERT_EQUAL(load.total, 0);
    CU_ASSERT_EQUAL(load.ended_ms, 15);
    hs_online_load_clear(&load);
}

static bool only_other_lives(const char *edge_id, void *user_data) {
    (void)user_data;
    return edge_id[0] == 'o';
}

static void dead_edge_stops_counting(void) {
    hs_online_load load;
    hs_online_load_init(&load);
    hs_online_load_notice(&load, "edge", 1, 1, 3, 10);
    hs_online_load_notice(&load, "other", 1, 1, 2, 10);
    hs_online_load_prune(&load, only_other_lives, NULL, 20, 100);
    CU_ASSERT_EQUAL(load.total, 2);
    hs_online_load_prune(&load, only_other_lives, NULL, 200, 100);
    CU_ASSERT_EQUAL(load.total, 0);
    hs_online_load_clear(&load);
}

static void slot_has_room_only_where_it_is_scheduled(void) {
    hs_engine_slot *slot = hs_engine_slot_new("e", "http://127.0.0.1:1");
    CU_ASSERT_EQUAL(hs_engine_slot_room(slot, &pacing, 1), 0);
    slot->assigned = true;
    CU_ASSERT_EQUAL(hs_engine_slot_room(slot, &pacing, 1), 32);
    for (int count = 0; count < 5; count++)
        g_ptr_array_add(slot->running, slot);
    hs_online_load_notice(&slot->load, "edge", 1, 1, 1, 1);
    CU_ASSERT_EQUAL(hs_engine_slot_room(slot, &pacing, 1), 0);
    CU_ASSERT_EQUAL(hs_engine_slot_excess(slot, &pacing, 1), 3);
    slot->leaving = true;
    hs_online_load_notice(&slot->load, "edge", 1, 2, 0, 1);
    CU_ASSERT_EQUAL(hs_engine_slot_room(slot, &pacing, 500), 0);
    hs_engine_slot_free(slot);
}

static void failing_engine_is_left_alone_for_growing_times(void) {
    hs_engine_slot *slot = hs_engine_slot_new("e", "http://127.0.0.1:1");
    slot->assigned = true;
    hs_engine_slot_note_failure(slot, 1000);
    hs_engine_slot_note_failure(slot, 1001);
    CU_ASSERT_EQUAL(hs_engine_slot_room(slot, &pacing, 1249), 0);
    CU_ASSERT_EQUAL(hs_engine_slot_room(slot, &pacing, 1250), 32);
    hs_engine_slot_note_failure(slot, 1300);
    CU_ASSERT_EQUAL(hs_engine_slot_room(slot, &pacing, 1799), 0);
    hs_engine_slot_note_success(slot);
    hs_engine_slot_note_failure(slot, 2000);
    CU_ASSERT_EQUAL(hs_engine_slot_room(slot, &pacing, 2250), 32);
    hs_engine_slot_free(slot);
}

const test_case scheduling_tests[] = {
    {"failing_engine_is_left_alone_for_growing_times",
     failing_engine_is_left_alone_for_growing_times},
    {"batch_is_full_only_on_an_idle_engine", batch_is_full_only_on_an_idle_engine},
    {"items_start_one_after_the_other", items_start_one_after_the_other},
    {"late_notice_is_dropped_and_a_lost_one_heals", late_notice_is_dropped_and_a_lost_one_heals},
    {"dead_edge_stops_counting", dead_edge_stops_counting},
    {"slot_has_room_only_where_it_is_scheduled", slot_has_room_only_where_it_is_scheduled},
    {NULL, NULL}};
