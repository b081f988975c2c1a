/** @file test_region_choice.c  Choice among engines of this daemon's region and of others. */
#include "fleet/engine_selection.h"
#include "fleet/engine_spread.h"
#include "tests/unit/unit_tests.h"

#define OWN 30
#define ENGINES 90
#define SLOTS 8
#define DRAWS 100

static const hs_engine_speed speed = {.tokens_per_ms = 40, .run_ms = 800};

/** Engines of one zone, of another zone and of other regions, with 0 to 2 runs above the load. */
static void fill(hs_engine_candidate *engines, double own, double other, double age_ms) {
    for (int index = 0; index < ENGINES; index++)
        engines[index] =
            (hs_engine_candidate){.slots = SLOTS,
                                  .running = (index < OWN ? own : other) + index % 3,
                                  .distance = index < OWN / 2 ? HS_DISTANCE_SAME_ZONE
                                              : index < OWN   ? HS_DISTANCE_OTHER_ZONE
                                                              : HS_DISTANCE_OTHER_REGION,
                                  .is_connected = index % 4 == 0,
                                  .load_report_age_ms = index < OWN ? age_ms : 3 * age_ms};
}

/** Returns the percentage of the choices that leave the region. */
static int leaving_percent(const hs_engine_candidate *engines) {
    int leaving = 0;
    for (int draw = 0; draw < DRAWS; draw++) {
        hs_engine_tie_break tie_break = {.draw = (draw + 0.5) / DRAWS, .first = (size_t)draw % 90};
        int index = hs_engine_spread_pick(engines, ENGINES, &tie_break, &speed);
        leaving += hs_engine_choice_is_far(&engines[index]);
    }
    return leaving;
}

/** Cached prompts and idle connections must not cause traffic between regions. */
static void requests_stay_while_their_region_has_free_slots(void) {
    hs_engine_candidate engines[ENGINES];
    for (int age_ms = 0; age_ms <= 300; age_ms += 100) {
        fill(engines, 4, 0, age_ms);
        for (int index = 0; index < OWN; index++) {
            engines[index].uncached_tokens = 8000;
            engines[index].is_connected = false;
        }
        CU_ASSERT_EQUAL(leaving_percent(engines), 0);
        CU_ASSERT(hs_engine_choice_pick_for_batch(engines, ENGINES, 40, &speed) < OWN);
    }
}

/** Waves reach all regions at once: an exchange of requests gains nothing. */
static void requests_stay_while_all_regions_are_equally_full(void) {
    hs_engine_candidate engines[ENGINES];
    for (int age_ms = 0; age_ms <= 300; age_ms += 100)
        for (int load = 2; load <= 14; load += 4) {
            fill(engines, load, load, age_ms);
            CU_ASSERT_EQUAL(leaving_percent(engines), 0);
        }
}

static void requests_leave_a_full_region_for_a_free_one(void) {
    hs_engine_candidate engines[ENGINES];
    fill(engines, 10, 1, 0);
    CU_ASSERT_EQUAL(leaving_percent(engines), 100);
    CU_ASSERT(hs_engine_choice_pick_for_batch(engines, ENGINES, 0, &speed) >= OWN);
    fill(engines, 9, 3, 150);
    CU_ASSERT(leaving_percent(engines) > 20);
    for (int index = 0; index < OWN; index++)
        engines[index].suspected = true;
    CU_ASSERT_EQUAL(leaving_percent(engines), 100);
}

/** A wait below the network delay is shorter than the way to another region. */
static void a_wait_is_weighed_against_the_network_delay(void) {
    hs_engine_candidate engines[] = {
        {.slots = SLOTS, .queued_tokens = 900},
        {.slots = SLOTS, .distance = HS_DISTANCE_OTHER_REGION, .is_connected = true}};
    CU_ASSERT_EQUAL(hs_engine_choice_pick(engines, 2, 1, &speed), 0);
    engines[0].queued_tokens = 1100;
    CU_ASSERT_EQUAL(hs_engine_choice_pick(engines, 2, 1, &speed), 1);
    engines[1].is_connected = false;
    CU_ASSERT_EQUAL(hs_engine_choice_pick(engines, 2, 1, &speed), 0);
    engines[0].queued_tokens = 2100;
    CU_ASSERT_EQUAL(hs_engine_choice_pick(engines, 2, 1, &speed), 1);
}

/** One engine of the whole fleet would draw the requests of a shared prefix to its region. */
static void a_shared_prefix_prefers_an_engine_of_the_region(void) {
    hs_fleet_engines *table = hs_fleet_engines_new("z");
    hs_fleet_engine engines[ENGINES] = {0};
    hs_engine_candidate candidates[ENGINES];
    g_autoptr(GPtrArray) found = g_ptr_array_new();
    for (int index = 0; index < ENGINES; index++) {
        engines[index].hash = (uint64_t)index;
        g_ptr_array_add(found, &engines[index]);
    }
    for (uint64_t prefix = 1; prefix <= 20; prefix++) {
        hs_request_size size = {.parts = {{.id = prefix, .tokens = 900}, {.id = 7, .tokens = 100}},
                                .part_count = 2,
                                .prompt_tokens = 1000};
        hs_engine_query query = {.service = "svc", .size = &size};
        int credited = 0;
        fill(candidates, 0, 0, 0);
        for (int index = 0; index < ENGINES; index++)
            candidates[index].uncached_tokens = 1000;
        hs_engine_selection_credit_shared_prefix(table, found, &query, candidates);
        for (int index = 0; index < OWN; index++)
            credited += candidates[index].uncached_tokens < 1000;
        CU_ASSERT_EQUAL(credited, 1);
    }
    hs_fleet_engines_free(table);
}

const test_case region_choice_tests[] = {
    {"requests_stay_while_their_region_has_free_slots",
     requests_stay_while_their_region_has_free_slots},
    {"requests_stay_while_all_regions_are_equally_full",
     requests_stay_while_all_regions_are_equally_full},
    {"requests_leave_a_full_region_for_a_free_one", requests_leave_a_full_region_for_a_free_one},
    {"a_wait_is_weighed_against_the_network_delay", a_wait_is_weighed_against_the_network_delay},
    {"a_shared_prefix_prefers_an_engine_of_the_region",
     a_shared_prefix_prefers_an_engine_of_the_region},
    {NULL, NULL}};
