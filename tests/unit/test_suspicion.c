/** @file test_suspicion.c  Requests that are still sent to engines that refuse connections. */
#include "base/clock.h"
#include "base/hash.h"
#include "fleet/fleet_engines.h"
#include "tests/unit/unit_tests.h"

#include <string.h>

#define HEALTHY_ENGINES 24
#define DEAD_ENGINES 36
/** Longer than the first suspicion of an engine. */
#define SUSPICION_WAIT_MS 450
/** Bound on the sends of one request. */
#define MAX_SENDS 100

static const hs_engine_query new_request = {
    .service = "svc", .has_wait_limit = true, .max_start_wait_ms = 20};

static void list_engine(hs_fleet_engines *engines, const char *id) {
    hs_engine_entry entry = {.id = g_strdup(id),
                             .service = g_strdup("svc"),
                             .zone = g_strdup("z"),
                             .address = 1,
                             .port = 1,
                             .slots = 8};
    hs_fleet_engines_put(engines, &entry, 1);
}

/** Healthy engines "s0".. and dead engines "d0".., all idle. */
static hs_fleet_engines *list_all(void) {
    hs_fleet_engines *engines = hs_fleet_engines_new("z");
    char id[16];
    for (int index = 0; index < HEALTHY_ENGINES + DEAD_ENGINES; index++) {
        bool is_dead = index >= HEALTHY_ENGINES;
        g_snprintf(id, sizeof id, "%c%d", is_dead ? 'd' : 's',
                   is_dead ? index - HEALTHY_ENGINES : index);
        list_engine(engines, id);
    }
    return engines;
}

/** Another daemon announces more requests on the healthy engines than they have slots. */
static void fill_healthy(hs_fleet_engines *engines) {
    g_autoptr(GArray) shares = g_array_new(FALSE, FALSE, sizeof(hs_engine_share));
    char id[16];
    for (int index = 0; index < HEALTHY_ENGINES; index++) {
        g_snprintf(id, sizeof id, "s%d", index);
        hs_engine_share share = {.engine_hash = hs_hash_bytes(id, strlen(id)), .online = 40};
        g_array_append_val(shares, share);
    }
    hs_fleet_engines_put_peer_report(engines, "other", &(hs_peer_report){.shares = shares},
                                     hs_clock_monotonic_ms());
}

static bool is_dead(const hs_engine_lease *lease) {
    return hs_engine_lease_id(lease)[0] == 'd';
}

/** Sends one request until no engine takes it. Returns how often it was sent to a dead engine. */
static uint32_t send_until_held(hs_fleet_engines *engines) {
    uint32_t sends = 0;
    hs_engine_lease *lease = hs_fleet_engines_acquire(engines, &new_request);
    for (; lease != NULL && sends < MAX_SENDS;
         lease = hs_fleet_engines_acquire(engines, &new_request)) {
        sends += is_dead(lease);
        hs_engine_lease_release(lease, NULL,
                                is_dead(lease) ? HS_ATTEMPT_UNREACHABLE : HS_ATTEMPT_DROPPED);
    }
    return sends;
}

/** After a failure a dead engine gets no request while it is suspected, even if others are full. */
static void dead_engines_get_one_request_each(void) {
    hs_fleet_engines *engines = list_all();
    fill_healthy(engines);
    CU_ASSERT_EQUAL(send_until_held(engines), DEAD_ENGINES);
    uint32_t again = 0;
    for (int request = 0; request < 30; request++)
        again += send_until_held(engines);
    CU_ASSERT_EQUAL(again, 0);
    hs_fleet_engines_free(engines);
}

/** After the suspicion one request at a time probes an engine; bytes received end the probe. */
static void one_request_at_a_time_probes_an_engine(void) {
    hs_fleet_engines *engines = list_all();
    fill_healthy(engines);
    send_until_held(engines);
    hs_clock_sleep_ms(SUSPICION_WAIT_MS);
    fill_healthy(engines);
    hs_engine_lease *probes[DEAD_ENGINES];
    for (int index = 0; index < DEAD_ENGINES; index++) {
        probes[index] = hs_fleet_engines_acquire(engines, &new_request);
        CU_ASSERT_PTR_NOT_NULL_FATAL(probes[index]);
        CU_ASSERT_TRUE(is_dead(probes[index]));
    }
    CU_ASSERT_PTR_NULL(hs_fleet_engines_acquire(engines, &new_request));
    hs_engine_lease_release(probes[0], NULL,
                            HS_ATTEMPT_DROPPED); /* No result: the next one probes. */
    probes[0] = hs_fleet_engines_acquire(engines, &new_request);
    CU_ASSERT_PTR_NOT_NULL_FATAL(probes[0]);
    CU_ASSERT_PTR_NULL(hs_fleet_engines_acquire(engines, &new_request));
    hs_engine_lease_note_received(probes[0]);
    hs_engine_lease *next = hs_fleet_engines_acquire(engines, &new_request);
    CU_ASSERT_PTR_NOT_NULL_FATAL(next);
    CU_ASSERT_STRING_EQUAL(hs_engine_lease_id(next), hs_engine_lease_id(probes[0]));
    hs_engine_lease_release(next, NULL, HS_ATTEMPT_SERVED);
    for (int index = 0; index < DEAD_ENGINES; index++)
        hs_engine_lease_release(probes[index], NULL, HS_ATTEMPT_UNREACHABLE);
    hs_fleet_engines_free(engines);
}

/** Suspected engines are chosen if all are suspected, or if the request has no wait limit. */
static void without_a_healthy_engine_suspected_ones_are_chosen(void) {
    hs_fleet_engines *engines = hs_fleet_engines_new("z");
    list_engine(engines, "d0");
    for (int sends = 0; sends < 3; sends++) {
        hs_engine_lease *lease = hs_fleet_engines_acquire(engines, &new_request);
        CU_ASSERT_PTR_NOT_NULL_FATAL(lease);
        hs_engine_lease_release(lease, NULL, HS_ATTEMPT_SILENT);
    }
    list_engine(engines, "s0");
    fill_healthy(engines);
    CU_ASSERT_PTR_NULL(hs_fleet_engines_acquire(engines, &new_request));
    const char *attempted[] = {"s0"};
    g_autoptr(GPtrArray) excluded = g_ptr_array_new();
    g_ptr_array_add(excluded, (gpointer)attempted[0]);
    hs_engine_query excluding = new_request;
    excluding.excluded = excluded; /* It was attempted and is full, but healthy. */
    CU_ASSERT_PTR_NULL(hs_fleet_engines_acquire(engines, &excluding));
    excluding.has_wait_limit = false;
    hs_engine_lease *lease = hs_fleet_engines_acquire(engines, &excluding);
    CU_ASSERT_PTR_NOT_NULL_FATAL(lease);
    hs_engine_lease_release(lease, NULL, HS_ATTEMPT_DROPPED);
    hs_fleet_engines_free(engines);
}

/** The other daemon's network path may be at fault: one request at a time probes the engine. */
static void an_engine_suspected_by_peers_is_probed_by_one_request(void) {
    hs_fleet_engines *engines = hs_fleet_engines_new("z");
    list_engine(engines, "s0");
    list_engine(engines, "d0");
    hs_engine_share shares[] = {{.engine_hash = hs_hash_bytes("s0", 2), .online = 40},
                                {.engine_hash = hs_hash_bytes("d0", 2), .suspected = true}};
    g_autoptr(GArray) announced = g_array_new(FALSE, FALSE, sizeof(hs_engine_share));
    g_array_append_vals(announced, shares, G_N_ELEMENTS(shares));
    hs_fleet_engines_put_peer_report(engines, "other", &(hs_peer_report){.shares = announced},
                                     hs_clock_monotonic_ms());
    hs_engine_lease *probe = hs_fleet_engines_acquire(engines, &new_request);
    CU_ASSERT_PTR_NOT_NULL_FATAL(probe);
    CU_ASSERT_TRUE(is_dead(probe));
    CU_ASSERT_PTR_NULL(hs_fleet_engines_acquire(engines, &new_request));
    hs_engine_lease_release(probe, NULL, HS_ATTEMPT_SERVED);
    probe = hs_fleet_engines_acquire(engines, &new_request);
    CU_ASSERT_PTR_NOT_NULL_FATAL(probe);
    hs_engine_lease_release(probe, NULL, HS_ATTEMPT_SERVED);
    hs_fleet_engines_free(engines);
}

const test_case suspicion_tests[] = {
    {"dead_engines_get_one_request_each", dead_engines_get_one_request_each},
    {"one_request_at_a_time_probes_an_engine", one_request_at_a_time_probes_an_engine},
    {"without_a_healthy_engine_suspected_ones_are_chosen",
     without_a_healthy_engine_suspected_ones_are_chosen},
    {"an_engine_suspected_by_peers_is_probed_by_one_request",
     an_engine_suspected_by_peers_is_probed_by_one_request},
    {NULL, NULL}};
