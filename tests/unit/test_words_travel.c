/** @file test_words_travel.c  An arbiter's response to another daemon over a socket. */
#include "base/clock.h"
#include "base/endpoint.h"
#include "base/hash.h"
#include "directory/slot_arbiter.h"
#include "fleet/arbiter_term.h"
#include "fleet/engine_words.h"
#include "fleet/fleet_engine.h"
#include "tests/unit/unit_tests.h"

#include <string.h>
#include <unistd.h>

#define ENGINES 40
#define LARGE_FLEET 60
#define SMALL_FLEET 10
/** Fits an Ethernet frame, with space for the sender's id. */
#define MAX_DATAGRAM_BYTES 1400

/** A daemon that arbitrates all engines, since it knows no other daemon. */
typedef struct {
    hs_peer_socket *socket;
    hs_membership_service *membership;
    hs_fleet_engines *engines;
    hs_slot_arbiter *arbiter;
} member;

static member make_member(const char *id, uint32_t peers) {
    hs_error error = {0};
    hs_member self = {.id = (char *)id, .zone = (char *)"z", .incarnation = 1, .peer_port = 1};
    hs_membership_service_settings settings = {.probe_interval_ms = 100};
    member made = {.socket = hs_peer_socket_new("127.0.0.1", 0, &error)};
    CU_ASSERT_PTR_NOT_NULL_FATAL(made.socket);
    made.membership = hs_membership_service_new(&self, &settings, made.socket);
    made.engines = hs_fleet_engines_new("z");
    for (int index = 0; index < ENGINES; index++) {
        hs_engine_entry entry = {.id = g_strdup_printf("e%d", index),
                                 .service = g_strdup("svc"),
                                 .zone = g_strdup("z"),
                                 .slots = 8};
        hs_fleet_engines_put(made.engines, &entry, 1);
    }
    hs_fleet_engines_set_peers(made.engines, peers, 0);
    made.arbiter = hs_slot_arbiter_new(made.engines, made.membership);
    return made;
}

static void free_member(member *made) {
    hs_slot_arbiter_free(made->arbiter);
    hs_fleet_engines_free(made->engines);
    hs_membership_service_free(made->membership);
    hs_peer_socket_free(made->socket);
}

static uint64_t hash_of(int index) {
    g_autofree char *id = g_strdup_printf("e%d", index);
    return hs_hash_bytes(id, strlen(id));
}

/** Daemon "other" sends its use of an engine. */
static void send_use(const member *arbiter, int index, uint32_t online, bool wants_totals,
                     const struct sockaddr_in *from) {
    static uint64_t sequence = 0;
    Hs__EngineUse use = HS__ENGINE_USE__INIT;
    use.engine_hash = hash_of(index);
    use.slots = 8;
    use.online = online;
    Hs__EngineUse *list[] = {&use};
    Hs__EngineUses uses = HS__ENGINE_USES__INIT;
    uses.sequence = ++sequence;
    uses.wants_totals = wants_totals;
    uses.n_uses = 1;
    uses.uses = list;
    Hs__PeerMessage message = HS__PEER_MESSAGE__INIT;
    message.sender_id = (char *)"other";
    message.sender_incarnation = 1;
    message.kind_case = HS__PEER_MESSAGE__KIND_ENGINE_USES;
    message.engine_uses = &uses;
    hs_slot_arbiter_handle(arbiter->arbiter, &message, from);
}

/** Reports uses of all engines in rounds until the arbiter can know the uses of all daemons. */
static void settle(const member *arbiter) {
    struct sockaddr_in nobody = {0};
    for (int round = 0; round <= HS_ARBITER_COMPLETE_MS / HS_USE_REPORT_INTERVAL_MS; round++) {
        for (int index = 0; index < ENGINES; index++)
            send_use(arbiter, index, 5, false, &nobody);
        hs_slot_arbiter_refresh(arbiter->arbiter);
        hs_clock_sleep_ms(HS_USE_REPORT_INTERVAL_MS);
    }
}

/** Sends uses of all engines, requests a response on the first, and reads it. */
static Hs__PeerMessage *request_response(const member *arbiter, ssize_t *length) {
    struct sockaddr_in own = {.sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    socklen_t own_length = sizeof own;
    struct timeval timeout = {.tv_sec = 2};
    uint8_t buffer[4096];
    int descriptor = socket(AF_INET, SOCK_DGRAM, 0);
    CU_ASSERT_EQUAL_FATAL(bind(descriptor, (struct sockaddr *)&own, own_length), 0);
    getsockname(descriptor, (struct sockaddr *)&own, &own_length);
    setsockopt(descriptor, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
    for (int index = ENGINES - 1; index >= 0; index--)
        send_use(arbiter, index, 5, index == 0, &own);
    *length = recv(descriptor, buffer, sizeof buffer, 0);
    close(descriptor);
    CU_ASSERT_FATAL(*length > 0);
    return hs__peer_message__unpack(NULL, (size_t)*length, buffer);
}

/** A response relays the maximum number of reports, and the receiver uses them. */
static void a_response_relays_reports_on_other_engines(void) {
    member arbiter = make_member("a", LARGE_FLEET);
    member receiver = make_member("b", LARGE_FLEET);
    ssize_t length = 0;
    settle(&arbiter);
    Hs__PeerMessage *response = request_response(&arbiter, &length);
    CU_ASSERT_PTR_NOT_NULL_FATAL(response);
    if (response == NULL)
        return;
    const Hs__EngineTotals *totals = response->engine_totals;
    CU_ASSERT_EQUAL(totals->n_totals, 1);
    CU_ASSERT_EQUAL_FATAL(totals->n_passed_on, HS_MAX_RELAYED_REPORTS);
    CU_ASSERT(length < MAX_DATAGRAM_BYTES);
    hs_slot_arbiter_handle(receiver.arbiter, response, NULL);
    uint32_t used = 0;
    uint64_t now_ms = hs_clock_monotonic_ms();
    for (int index = 0; index < ENGINES; index++) {
        const hs_fleet_engine *engine = hs_fleet_engines_find(receiver.engines, hash_of(index));
        used += hs_fleet_engine_others_online(engine, now_ms) == 5;
        CU_ASSERT_EQUAL(engine->response_count, index == 0); /* Relayed ones are no responses. */
    }
    CU_ASSERT_EQUAL(used, HS_MAX_RELAYED_REPORTS + 1);
    hs__peer_message__free_unpacked(response, NULL);
    free_member(&receiver);
    free_member(&arbiter);
}

/** Asserts that neither the arbiter's answer nor its own reports count as the uses of all daemons.
 */
static void check_partial_response(const member *arbiter) {
    ssize_t length = 0;
    Hs__PeerMessage *response = request_response(arbiter, &length);
    CU_ASSERT_PTR_NOT_NULL_FATAL(response);
    if (response == NULL)
        return;
    CU_ASSERT_EQUAL(response->engine_totals->totals[0]->online, 5);
    CU_ASSERT_EQUAL(response->engine_totals->totals[0]->age_ms, HS_ENGINE_REPORT_VALID_MS);
    CU_ASSERT_EQUAL(response->engine_totals->n_passed_on, 0);
    hs__peer_message__free_unpacked(response, NULL);
}

/** Uses may be missing at an arbiter that has just begun, or was suspended meanwhile. */
static void an_arbiter_that_begins_relays_no_reports(void) {
    member arbiter = make_member("a", LARGE_FLEET);
    check_partial_response(&arbiter);
    settle(&arbiter);
    hs_clock_sleep_ms(HS_ARBITER_SETTLE_MS + HS_USE_REPORT_INTERVAL_MS);
    check_partial_response(&arbiter);
    free_member(&arbiter);
}

/** In a small fleet daemons announce their loads to each other instead. */
static void a_small_fleet_relays_no_reports(void) {
    member arbiter = make_member("a", SMALL_FLEET);
    ssize_t length = 0;
    Hs__PeerMessage *response = request_response(&arbiter, &length);
    CU_ASSERT_PTR_NOT_NULL_FATAL(response);
    if (response == NULL)
        return;
    CU_ASSERT_EQUAL(response->engine_totals->n_passed_on, 0);
    CU_ASSERT_EQUAL(response->engine_totals->totals[0]->age_ms, 0);
    CU_ASSERT_EQUAL(arbiter.engines->reports.accepted, 0);
    hs__peer_message__free_unpacked(response, NULL);
    free_member(&arbiter);
}

const test_case relayed_report_tests[] = {
    {"a_response_relays_reports_on_other_engines", a_response_relays_reports_on_other_engines},
    {"an_arbiter_that_begins_relays_no_reports", an_arbiter_that_begins_relays_no_reports},
    {"a_small_fleet_relays_no_reports", a_small_fleet_relays_no_reports},
    {NULL, NULL}};
