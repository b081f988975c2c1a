/** @file test_suspicion.c  Engines that refuse connections: who is still sent there, and when. */
#include "base/clock.h"
#include "base/hash.h"
#include "fleet/fleet_engines.h"
#include "tests/unit/unit_tests.h"

#include <string.h>

#define SOUND 24
#define DEAD 36
/** Above the first time for which an engine is suspected. */
#define FIRST_SUSPICION_MS 450
/** A request that is still sent after so many tries is not held. */
#define MANY_SENDS 100

static const hs_engine_query new_request = {
    .service = "svc", .has_wait_limit = true, .wait_most_ms = 20};

static void list_engine(hs_fleet_engines *engines, const char *id) {
    hs_engine_entry entry = {.id = g_strdup(id),
                             .service = g_strdup("svc"),
                             .zone = g_strdup("z"),
                             .address = 1,
                             .port = 1,
                             .slots = 8};
    hs_fleet_engines_put(engines, &entry, 1);
}

/** Engines "s0".. and "d0"..; nobody has anything there. */
static hs_fleet_engines *list_all(void) {
    hs_fleet_engines *engines = hs_fleet_engines_new("z");
    char id[16];
    for (int index = 0; index < SOUND + DEAD; index++) {
        bool is_dead = index >= SOUND;
        g_snprintf(id, sizeof id, "%c%d", is_dead ? 'd' : 's', is_dead ? index - SOUND : index);
        list_engine(engines, id);
    }
    return engines;
}

/** Another daemon tells that the sound engines are crowded. */
static void crowd_sound(hs_fleet_engines *engines) {
    g_autoptr(GArray) shares = g_array_new(FALSE, FALSE, sizeof(hs_engine_share));
    char id[16];
    for (int index = 0; index < SOUND; index++) {
        g_snprintf(id, sizeof id, "s%d", index);
        hs_engine_share share = {.engine_hash = hs_hash_bytes(id, strlen(id)), .online = 40};
        g_array_append_val(shares, share);
    }
    hs_fleet_engines_put_peer(engines, "other", &(hs_peer_word){.shares = shares},
                              hs_clock_monotonic_ms());
}

static bool is_dead(const hs_engine_lease *lease) {
    return hs_engine_lease_id(lease)[0] == 'd';
}

/** Send one request until no engine takes it, as a held request does at each try; sends to dead. */
static uint32_t send_until_held(hs_fleet_engines *engines) {
    uint32_t sends = 0;
    hs_engine_lease *lease = hs_fleet_engines_take(engines, &new_request);
    for (; lease != NULL && sends < MANY_SENDS;
         lease = hs_fleet_engines_take(engines, &new_request)) {
        sends += is_dead(lease);
        hs_engine_lease_release(lease, NULL,
                                is_dead(lease) ? HS_ATTEMPT_UNREACHABLE : HS_ATTEMPT_DROPPED);
    }
    return sends;
}

/** Each dead engine is met once and then left alone until its time, however crowded others are. */
static void dead_engines_are_not_knocked_at(void) {
    hs_fleet_engines *engines = list_all();
    crowd_sound(engines);
    CU_ASSERT_EQUAL(send_until_held(engines), DEAD);
    uint32_t again = 0;
    for (int request = 0; request < 30; request++)
        again += send_until_held(engines);
    CU_ASSERT_EQUAL(again, 0);
    hs_fleet_engines_free(engines);
}

/** When the time has come one request at a time tries an engine; one that is heard is sound. */
static void one_request_tries_an_engine_again(void) {
    hs_fleet_engines *engines = list_all();
    crowd_sound(engines);
    send_until_held(engines);
    hs_clock_sleep_ms(FIRST_SUSPICION_MS);
    crowd_sound(engines);
    hs_engine_lease *trials[DEAD];
    for (int index = 0; index < DEAD; index++) {
        trials[index] = hs_fleet_engines_take(engines, &new_request);
        CU_ASSERT_PTR_NOT_NULL_FATAL(trials[index]);
        CU_ASSERT_TRUE(is_dead(trials[index]));
    }
    CU_ASSERT_PTR_NULL(hs_fleet_engines_take(engines, &new_request));
    hs_engine_lease_release(trials[0], NULL, HS_ATTEMPT_DROPPED); /* It said nothing: another. */
    trials[0] = hs_fleet_engines_take(engines, &new_request);
    CU_ASSERT_PTR_NOT_NULL_FATAL(trials[0]);
    CU_ASSERT_PTR_NULL(hs_fleet_engines_take(engines, &new_request));
    hs_engine_lease_heard(trials[0]);
    hs_engine_lease *next = hs_fleet_engines_take(engines, &new_request);
    CU_ASSERT_PTR_NOT_NULL_FATAL(next);
    CU_ASSERT_STRING_EQUAL(hs_engine_lease_id(next), hs_engine_lease_id(trials[0]));
    hs_engine_lease_release(next, NULL, HS_ATTEMPT_SERVED);
    for (int index = 0; index < DEAD; index++)
        hs_engine_lease_release(trials[index], NULL, HS_ATTEMPT_UNREACHABLE);
    hs_fleet_engines_free(engines);
}

/** Where all engines are suspected, and for a request that may have run, one is better than none.
 */
static void without_a_sound_engine_suspected_ones_are_taken(void) {
    hs_fleet_engines *engines = hs_fleet_engines_new("z");
    list_engine(engines, "d0");
    for (int sends = 0; sends < 3; sends++) {
        hs_engine_lease *lease = hs_fleet_engines_take(engines, &new_request);
        CU_ASSERT_PTR_NOT_NULL_FATAL(lease);
        hs_engine_lease_release(lease, NULL, HS_ATTEMPT_UNREACHABLE);
    }
    list_engine(engines, "s0");
    crowd_sound(engines);
    CU_ASSERT_PTR_NULL(hs_fleet_engines_take(engines, &new_request));
    const char *tried[] = {"s0"};
    g_autoptr(GPtrArray) excluded = g_ptr_array_new();
    g_ptr_array_add(excluded, (gpointer)tried[0]);
    hs_engine_query excluding = new_request;
    excluding.excluded = excluded; /* Tried and full: it is sound all the same. */
    CU_ASSERT_PTR_NULL(hs_fleet_engines_take(engines, &excluding));
    excluding.has_wait_limit = false;
    hs_engine_lease *lease = hs_fleet_engines_take(engines, &excluding);
    CU_ASSERT_PTR_NOT_NULL_FATAL(lease);
    hs_engine_lease_release(lease, NULL, HS_ATTEMPT_DROPPED);
    hs_fleet_engines_free(engines);
}

/** Another daemon's way there may be the bad one: one request at a time sees for itself. */
static void peers_suspicion_is_seen_for_oneself_by_one_at_a_time(void) {
    hs_fleet_engines *engines = hs_fleet_engines_new("z");
    list_engine(engines, "s0");
    list_engine(engines, "d0");
    hs_engine_share shares[] = {{.engine_hash = hs_hash_bytes("s0", 2), .online = 40},
                                {.engine_hash = hs_hash_bytes("d0", 2), .suspected = true}};
    g_autoptr(GArray) told = g_array_new(FALSE, FALSE, sizeof(hs_engine_share));
    g_array_append_vals(told, shares, G_N_ELEMENTS(shares));
    hs_fleet_engines_put_peer(engines, "other", &(hs_peer_word){.shares = told},
                              hs_clock_monotonic_ms());
    hs_engine_lease *trial = hs_fleet_engines_take(engines, &new_request);
    CU_ASSERT_PTR_NOT_NULL_FATAL(trial);
    CU_ASSERT_TRUE(is_dead(trial));
    CU_ASSERT_PTR_NULL(hs_fleet_engines_take(engines, &new_request));
    hs_engine_lease_release(trial, NULL, HS_ATTEMPT_SERVED);
    trial = hs_fleet_engines_take(engines, &new_request);
    CU_ASSERT_PTR_NOT_NULL_FATAL(trial);
    hs_engine_lease_release(trial, NULL, HS_ATTEMPT_SERVED);
    hs_fleet_engines_free(engines);
}

const test_case suspicion_tests[] = {
    {"dead_engines_are_not_knocked_at", dead_engines_are_not_knocked_at},
    {"one_request_tries_an_engine_again", one_request_tries_an_engine_again},
    {"without_a_sound_engine_suspected_ones_are_taken",
     without_a_sound_engine_suspected_ones_are_taken},
    {"peers_suspicion_is_seen_for_oneself_by_one_at_a_time",
     peers_suspicion_is_seen_for_oneself_by_one_at_a_time},
    {NULL, NULL}};
