/** @file test_scheduling.c  Tests of batch pacing, online request counts and engine records. */
#include "scheduling/batch_item.h"
#include "scheduling/engine_slot.h"
#include "tests/unit/unit_tests.h"

static const hs_pacing_settings pacing = {
    .max_batch = 32, .max_beside_online = 2, .max_start_beside_online = 1, .idle_hold_ms = 20};

static void batch_is_full_only_on_an_idle_engine(void) {
    hs_pacing_view view = {0};
    CU_ASSERT_EQUAL(hs_pacing_compute_limits(&pacing, &view, 5).running, 32);
    CU_ASSERT_EQUAL(hs_pacing_compute_limits(&pacing, &view, 5).start, 32);
    view.online = 1;
    CU_ASSERT_EQUAL(hs_pacing_compute_limits(&pacing, &view, 5).running, 2);
    CU_ASSERT_EQUAL(hs_pacing_compute_limits(&pacing, &view, 5).start, 1);
    view = (hs_pacing_view){.online = 0, .online_ended_ms = 100};
    CU_ASSERT_EQUAL(hs_pacing_compute_limits(&pacing, &view, 119).running, 2);
    CU_ASSERT_EQUAL(hs_pacing_compute_limits(&pacing, &view, 120).running, 32);
}

static void item_starts_keep_the_minimum_interval(void) {
    hs_pacing_settings slow = pacing;
    CU_ASSERT_EQUAL(hs_pacing_allowed_start_count(&slow, 100, 100), UINT32_MAX);
    slow.start_interval_ms = 10;
    CU_ASSERT_EQUAL(hs_pacing_allowed_start_count(&slow, 100, 109), 0);
    CU_ASSERT_EQUAL(hs_pacing_allowed_start_count(&slow, 100, 110), 1);
}

static void late_notices_are_dropped_and_lost_ones_replaced(void) {
    hs_online_load load;
    hs_online_load_init(&load);
    CU_ASSERT_TRUE(hs_online_load_apply_notice(&load, "edge", 1, 2, 3, 10));
    CU_ASSERT_FALSE(hs_online_load_apply_notice(&load, "edge", 1, 1, 9, 11));
    CU_ASSERT_EQUAL(load.total, 3);
    CU_ASSERT_TRUE(hs_online_load_apply_notice(&load, "edge", 1, 7, 1, 12));
    CU_ASSERT_TRUE(hs_online_load_apply_notice(&load, "other", 1, 1, 4, 13));
    CU_ASSERT_EQUAL(load.total, 5);
    CU_ASSERT_TRUE(hs_online_load_apply_notice(&load, "edge", 2, 1, 0, 14));
    CU_ASSERT_TRUE(hs_online_load_apply_notice(&load, "other", 1, 2, 0, 15));
    CU_ASSERT_EQUAL(load.total, 0);
    CU_ASSERT_EQUAL(load.ended_ms, 15);
    hs_online_load_clear(&load);
}

static bool is_other_edge(const char *edge_id, void *user_data) {
    (void)user_data;
    return edge_id[0] == 'o';
}

static void dead_and_silent_edges_are_not_counted(void) {
    hs_online_load load;
    hs_online_load_init(&load);
    hs_online_load_apply_notice(&load, "edge", 1, 1, 3, 10);
    hs_online_load_apply_notice(&load, "other", 1, 1, 2, 10);
    hs_online_load_prune(&load, is_other_edge, NULL, 20, 100);
    CU_ASSERT_EQUAL(load.total, 2);
    hs_online_load_prune(&load, is_other_edge, NULL, 200, 100);
    CU_ASSERT_EQUAL(load.total, 0);
    hs_online_load_clear(&load);
}

static void only_assigned_engines_have_free_slots(void) {
    hs_batch_engine *engine = hs_batch_engine_new("e", "http://127.0.0.1:1");
    CU_ASSERT_EQUAL(hs_batch_engine_free_slot_count(engine, &pacing, 1), 0);
    engine->assigned = true;
    CU_ASSERT_EQUAL(hs_batch_engine_free_slot_count(engine, &pacing, 1), 32);
    for (int count = 0; count < 5; count++)
        g_ptr_array_add(engine->running, engine);
    hs_online_load_apply_notice(&engine->load, "edge", 1, 1, 1, 1);
    CU_ASSERT_EQUAL(hs_batch_engine_free_slot_count(engine, &pacing, 1), 0);
    CU_ASSERT_EQUAL(hs_batch_engine_excess_count(engine, &pacing, 1), 3);
    engine->leaving = true;
    hs_online_load_apply_notice(&engine->load, "edge", 1, 2, 0, 1);
    CU_ASSERT_EQUAL(hs_batch_engine_free_slot_count(engine, &pacing, 500), 0);
    hs_batch_engine_free(engine);
}

static void backoff_of_a_failing_engine_doubles(void) {
    hs_batch_engine *engine = hs_batch_engine_new("e", "http://127.0.0.1:1");
    engine->assigned = true;
    hs_batch_engine_note_failure(engine, 1000);
    hs_batch_engine_note_failure(engine, 1001);
    CU_ASSERT_EQUAL(hs_batch_engine_free_slot_count(engine, &pacing, 1249), 0);
    CU_ASSERT_EQUAL(hs_batch_engine_free_slot_count(engine, &pacing, 1250), 32);
    hs_batch_engine_note_failure(engine, 1300);
    CU_ASSERT_EQUAL(hs_batch_engine_free_slot_count(engine, &pacing, 1799), 0);
    hs_batch_engine_note_success(engine);
    hs_batch_engine_note_failure(engine, 2000);
    CU_ASSERT_EQUAL(hs_batch_engine_free_slot_count(engine, &pacing, 2250), 32);
    hs_batch_engine_free(engine);
}

/** Guards against items that start although their owner has not confirmed the grant for long. */
static void items_of_an_unconfirmed_grant_do_not_start(void) {
    Hs__Grant message = HS__GRANT__INIT;
    message.start_within_ms = 100;
    hs_held_grant *grant = hs_held_grant_new(&message, "owner", 1, 1000);
    CU_ASSERT_TRUE(hs_held_grant_may_start(grant, 1099));
    CU_ASSERT_FALSE(hs_held_grant_may_start(grant, 1100));
    hs_held_grant_confirm(grant, 1200);
    hs_held_grant_confirm(grant, 1150); /* An older confirmation that arrives late. */
    CU_ASSERT_TRUE(hs_held_grant_may_start(grant, 1199));
    CU_ASSERT_FALSE(hs_held_grant_may_start(grant, 1200));
    hs_held_grant_release(grant);
}

/** Guards against held items beside an owner of an older build, which confirms nothing. */
static void items_of_an_older_owner_start_without_confirmations(void) {
    Hs__Grant message = HS__GRANT__INIT;
    hs_held_grant *grant = hs_held_grant_new(&message, "owner", 1, 0);
    CU_ASSERT_TRUE(hs_held_grant_may_start(grant, UINT64_MAX - 1));
    hs_held_grant_release(grant);
}

const test_case scheduling_tests[] = {
    {"items_of_an_unconfirmed_grant_do_not_start", items_of_an_unconfirmed_grant_do_not_start},
    {"items_of_an_older_owner_start_without_confirmations",
     items_of_an_older_owner_start_without_confirmations},
    {"backoff_of_a_failing_engine_doubles", backoff_of_a_failing_engine_doubles},
    {"batch_is_full_only_on_an_idle_engine", batch_is_full_only_on_an_idle_engine},
    {"item_starts_keep_the_minimum_interval", item_starts_keep_the_minimum_interval},
    {"late_notices_are_dropped_and_lost_ones_replaced",
     late_notices_are_dropped_and_lost_ones_replaced},
    {"dead_and_silent_edges_are_not_counted", dead_and_silent_edges_are_not_counted},
    {"only_assigned_engines_have_free_slots", only_assigned_engines_have_free_slots},
    {NULL, NULL}};
