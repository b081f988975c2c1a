/** @file test_zone_outage.c  Engines of a zone that fail together, and the zone's return. */
#include "base/clock.h"
#include "base/hash.h"
#include "fleet/fleet_engines.h"
#include "fleet/zone_outage.h"
#include "tests/unit/unit_tests.h"

#include <string.h>

#define ZONES 3
#define ENGINES_PER_ZONE 30
#define REQUESTS 400

/** Guards against an outage after unrelated failures, and against one that is found too late. */
static void three_engines_without_an_answer_are_an_outage(void) {
    hs_zone_outage zone = {0};
    CU_ASSERT_FALSE(hs_zone_outage_note_failure(&zone, 1, 1000));
    CU_ASSERT_FALSE(hs_zone_outage_note_failure(&zone, 1, 1100)); /* The same engine. */
    CU_ASSERT_FALSE(hs_zone_outage_note_failure(&zone, 2, 1200));
    hs_zone_outage_note_answer(&zone, 1250);
    CU_ASSERT_FALSE(hs_zone_outage_note_failure(&zone, 3, 1300));
    CU_ASSERT_FALSE(hs_zone_outage_note_failure(&zone, 4, 1400));
    CU_ASSERT_FALSE(hs_zone_outage_note_failure(&zone, 5, 3000)); /* The others are too old. */
    CU_ASSERT_FALSE(hs_zone_outage_note_failure(&zone, 6, 3100));
    CU_ASSERT_TRUE(hs_zone_outage_note_failure(&zone, 7, 3200));
    CU_ASSERT_TRUE(hs_zone_outage_is_out(&zone, 3201));
}

/** Guards against a zone that is never tried again, or tried by many requests while it is out. */
static void outages_grow_until_an_answer(void) {
    hs_zone_outage zone = {.has_unavailable_members = true};
    uint64_t now_ms = 1000;
    uint64_t longest_ms = 0;
    CU_ASSERT_TRUE(hs_zone_outage_note_failure(&zone, 1, now_ms));
    hs_zone_outage_set_member_loss(&zone, false, now_ms);
    CU_ASSERT_FALSE(hs_zone_outage_is_out(&zone, now_ms)); /* Its daemons are back. */
    for (uint64_t engine = 2; engine < 12; engine++) {
        CU_ASSERT_TRUE(hs_zone_outage_note_failure(&zone, engine, now_ms));
        longest_ms = zone.out_until_ms - now_ms;
        now_ms = zone.out_until_ms;
        CU_ASSERT_FALSE(hs_zone_outage_is_out(&zone, now_ms));
    }
    CU_ASSERT_EQUAL(longest_ms, 4000);
    CU_ASSERT_FALSE(hs_zone_outage_note_answer(&zone, now_ms));
    CU_ASSERT_FALSE(hs_zone_outage_note_failure(&zone, 1, now_ms));
}

/** Guards against a zone that is taken as lost because daemons are killed in all zones. */
static void lost_daemons_count_only_against_a_sound_zone(void) {
    hs_zone_members sound = {.members = 20, .unavailable = 1};
    hs_zone_members lost = {.members = 19, .unavailable = 15};
    hs_zone_members struck = {.members = 20, .unavailable = 12};
    CU_ASSERT_TRUE(hs_zone_outage_is_member_loss(&lost, &sound));
    CU_ASSERT_FALSE(hs_zone_outage_is_member_loss(&lost, &struck));
    CU_ASSERT_FALSE(hs_zone_outage_is_member_loss(&sound, &sound));
    CU_ASSERT_FALSE(hs_zone_outage_is_member_loss(&(hs_zone_members){1, 1}, &sound));
}

static hs_fleet_engines *list_zones(bool observes_zones) {
    hs_fleet_engines *engines = hs_fleet_engines_new("z0");
    if (observes_zones)
        hs_fleet_engines_observe_zones(engines);
    for (int index = 0; index < ZONES * ENGINES_PER_ZONE; index++) {
        hs_engine_entry entry = {.id = g_strdup_printf("z%d-%d", index % ZONES, index / ZONES),
                                 .service = g_strdup("svc"),
                                 .zone = g_strdup_printf("z%d", index % ZONES),
                                 .address = 1,
                                 .port = 1,
                                 .slots = 8};
        hs_fleet_engines_put(engines, &entry, 1);
    }
    return engines;
}

/** Another daemon announces requests on the engines of the other zones, so that z1 is preferred. */
static void load_other_zones(hs_fleet_engines *engines) {
    g_autoptr(GArray) shares = g_array_new(FALSE, FALSE, sizeof(hs_engine_share));
    for (int index = 0; index < ZONES * ENGINES_PER_ZONE; index++) {
        g_autofree char *id = g_strdup_printf("z%d-%d", index % ZONES, index / ZONES);
        hs_engine_share share = {.engine_hash = hs_hash_bytes(id, strlen(id)),
                                 .online = index % ZONES == 1 ? 0 : 6};
        g_array_append_val(shares, share);
    }
    hs_fleet_engines_put_peer_report(engines, "other", &(hs_peer_report){.shares = shares},
                                     hs_clock_monotonic_ms());
}

/** Sends requests one after the other. Returns how many went to the engines of zone z1, which fail.
 */
static uint32_t count_sends_to_lost_zone(hs_fleet_engines *engines) {
    uint32_t sends = 0;
    load_other_zones(engines);
    for (int request = 0; request < REQUESTS; request++) {
        hs_engine_query query = {
            .service = "svc", .has_wait_limit = true, .max_start_wait_ms = 300};
        hs_engine_lease *lease = hs_fleet_engines_acquire(engines, &query);
        CU_ASSERT_PTR_NOT_NULL_FATAL(lease);
        bool is_lost = g_str_has_prefix(hs_engine_lease_id(lease), "z1");
        sends += is_lost;
        hs_engine_lease_release(lease, NULL, is_lost ? HS_ATTEMPT_UNREACHABLE : HS_ATTEMPT_DROPPED);
    }
    return sends;
}

/** Guards against one late request for each engine of a lost zone at each daemon. */
static void a_lost_zone_costs_a_few_requests(void) {
    hs_fleet_engines *engines = list_zones(true);
    CU_ASSERT(count_sends_to_lost_zone(engines) <= HS_ZONE_OUTAGE_ENGINES);
    hs_fleet_engines_free(engines);
    engines = list_zones(true);
    hs_fleet_engines_set_zone_member_loss(engines, "z1", true);
    CU_ASSERT(count_sends_to_lost_zone(engines) <= 1);
    hs_fleet_engines_free(engines);
}

/** Guards against an effect where zones are not observed. */
static void without_tolerated_zones_engines_fail_one_by_one(void) {
    hs_fleet_engines *engines = list_zones(false);
    CU_ASSERT(count_sends_to_lost_zone(engines) > HS_ZONE_OUTAGE_ENGINES);
    hs_fleet_engines_free(engines);
}

const test_case zone_outage_tests[] = {
    {"three_engines_without_an_answer_are_an_outage",
     three_engines_without_an_answer_are_an_outage},
    {"outages_grow_until_an_answer", outages_grow_until_an_answer},
    {"lost_daemons_count_only_against_a_sound_zone", lost_daemons_count_only_against_a_sound_zone},
    {"a_lost_zone_costs_a_few_requests", a_lost_zone_costs_a_few_requests},
    {"without_tolerated_zones_engines_fail_one_by_one",
     without_tolerated_zones_engines_fail_one_by_one},
    {NULL, NULL}};
