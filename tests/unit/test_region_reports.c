/** @file test_region_reports.c  Messages between daemons of two regions, over real sockets. */
#include "base/hash.h"
#include "directory/peer_distances.h"
#include "directory/region_reports.h"
#include "fleet/fleet_engine.h"
#include "tests/unit/unit_tests.h"

#include <arpa/inet.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define LARGE_FLEET 60
#define LOOPBACK 0x7f000001U

/** Daemon "m0" of region "a", which ranks first as the sender; another daemon of the region and one
 * of region "b" are bare sockets. */
typedef struct {
    hs_topology *topology;
    hs_peer_socket *socket;
    hs_peer_distances *distances;
    hs_membership_service *membership;
    hs_fleet_engines *engines;
    int near;
    int far;
} daemons;

static int add_member(hs_membership_service *service, const char *id, const char *region) {
    struct sockaddr_in local = {.sin_family = AF_INET, .sin_addr.s_addr = htonl(LOOPBACK)};
    socklen_t length = sizeof local;
    int descriptor = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    CU_ASSERT_EQUAL_FATAL(bind(descriptor, (struct sockaddr *)&local, length), 0);
    CU_ASSERT_EQUAL_FATAL(getsockname(descriptor, (struct sockaddr *)&local, &length), 0);
    Hs__MemberRecord record = HS__MEMBER_RECORD__INIT;
    record.id = (char *)id;
    record.incarnation = 1;
    record.address = LOOPBACK;
    record.peer_port = ntohs(local.sin_port);
    record.zone = (char *)region;
    record.region = (char *)region;
    hs_membership_apply_record(hs_membership_service_lock(service), &record, HS_RECORD_FROM_GOSSIP,
                               1);
    hs_membership_service_unlock(service);
    return descriptor;
}

static void put_engine(hs_fleet_engines *engines, const char *id, const char *zone) {
    hs_engine_entry entry = {
        .id = g_strdup(id), .service = g_strdup("svc"), .zone = g_strdup(zone), .slots = 8};
    hs_fleet_engines_put(engines, &entry, 1);
    hs_engine_load_report report = {.engine_hash = hs_hash_bytes(id, strlen(id)), .online = 5};
    hs_fleet_engines_put_relayed_report(engines, &report);
}

static hs_distance find_distance(uint32_t address, uint16_t port, void *user_data) {
    return hs_peer_distances_find(user_data, address, port);
}

static daemons make_daemons(void) {
    hs_error error = {0};
    hs_member self = {
        .id = (char *)"m0", .zone = (char *)"a", .region = (char *)"a", .incarnation = 1};
    hs_membership_service_settings settings = {.probe_interval_ms = 100};
    daemons made = {.topology = hs_topology_new("a:a,b:b"),
                    .socket = hs_peer_socket_new("127.0.0.1", 0, &error)};
    CU_ASSERT_PTR_NOT_NULL_FATAL(made.socket);
    made.distances = hs_peer_distances_new(made.topology);
    hs_peer_socket_set_distance_lookup(made.socket, find_distance, made.distances);
    made.membership = hs_membership_service_new(&self, &settings, made.socket);
    made.engines = hs_fleet_engines_new("a");
    hs_fleet_engines_set_topology(made.engines, made.topology);
    hs_fleet_engines_set_peers(made.engines, LARGE_FLEET, 0);
    put_engine(made.engines, "e-own", "a");
    put_engine(made.engines, "e-other", "b");
    made.near = add_member(made.membership, "m1", "a");
    made.far = add_member(made.membership, "m2", "b");
    hs_peer_distances_update(made.distances, hs_membership_service_lock(made.membership));
    hs_membership_service_unlock(made.membership);
    return made;
}

static void free_daemons(daemons *made) {
    close(made->near);
    close(made->far);
    hs_fleet_engines_free(made->engines);
    hs_membership_service_free(made->membership);
    hs_peer_socket_free(made->socket);
    hs_peer_distances_free(made->distances);
    hs_topology_free(made->topology);
}

/** Receives a message; returns the number of relayed reports and the first one's engine. */
static size_t receive_reports(int descriptor, uint64_t *engine_hash) {
    uint8_t buffer[2048];
    ssize_t length = recv(descriptor, buffer, sizeof buffer, 0);
    if (length <= 0)
        return 0;
    Hs__PeerMessage *message = hs__peer_message__unpack(NULL, (size_t)length, buffer);
    CU_ASSERT_EQUAL_FATAL(message->kind_case, HS__PEER_MESSAGE__KIND_ENGINE_TOTALS);
    size_t count = message->engine_totals->n_passed_on;
    *engine_hash = count > 0 ? message->engine_totals->passed_on[0]->engine_hash : 0;
    hs__peer_message__free_unpacked(message, NULL);
    return count;
}

/** Without the reports, a region would not know that another one has free engines. */
static void a_region_s_reports_reach_the_daemons_of_another(void) {
    daemons made = make_daemons();
    uint64_t engine_hash = 0;
    hs_region_reports_send(made.engines, made.membership);
    CU_ASSERT_EQUAL(receive_reports(made.far, &engine_hash), 1);
    CU_ASSERT_EQUAL(engine_hash, hs_hash_bytes("e-own", 5));
    CU_ASSERT_EQUAL(receive_reports(made.near, &engine_hash), 0);
    Hs__EngineTotal total = HS__ENGINE_TOTAL__INIT;
    total.engine_hash = 77;
    Hs__EngineTotal *list[] = {&total};
    Hs__EngineTotals reports = HS__ENGINE_TOTALS__INIT;
    reports.n_passed_on = 1;
    reports.passed_on = list;
    Hs__PeerMessage message = HS__PEER_MESSAGE__INIT;
    message.sender_id = (char *)"m2";
    message.kind_case = HS__PEER_MESSAGE__KIND_ENGINE_TOTALS;
    message.engine_totals = &reports;
    hs_region_reports_relay(made.membership, &message);
    CU_ASSERT_EQUAL(receive_reports(made.near, &engine_hash), 1);
    CU_ASSERT_EQUAL(engine_hash, 77);
    CU_ASSERT_EQUAL(receive_reports(made.far, &engine_hash), 0);
    message.sender_id = (char *)"m1";
    hs_region_reports_relay(made.membership, &message);
    CU_ASSERT_EQUAL(receive_reports(made.near, &engine_hash), 0);
    free_daemons(&made);
}

static void sent_bytes_are_counted_by_kind_and_way(void) {
    daemons made = make_daemons();
    Hs__ProbeAck ack = HS__PROBE_ACK__INIT;
    ack.sequence = 3;
    Hs__PeerMessage message = HS__PEER_MESSAGE__INIT;
    message.kind_case = HS__PEER_MESSAGE__KIND_PROBE_ACK;
    message.probe_ack = &ack;
    uint32_t address = 0;
    uint16_t port = 0;
    CU_ASSERT(hs_membership_service_find_address(made.membership, "m2", &address, &port));
    hs_membership_service_send(made.membership, address, port, &message);
    hs_membership_service_send(made.membership, LOOPBACK, 9, &message);
    g_autofree char *text = hs_peer_socket_describe(made.socket);
    g_autofree char *expected = g_strdup_printf(
        "heathsail_peer_bytes_total{kind=\"probe_ack\",way=\"other_zone\"} %zu\n"
        "heathsail_peer_bytes_total{kind=\"probe_ack\",way=\"other_region\"} %zu\n",
        hs__peer_message__get_packed_size(&message), hs__peer_message__get_packed_size(&message));
    CU_ASSERT_STRING_EQUAL(text, expected);
    free_daemons(&made);
}

const test_case region_report_tests[] = {
    {"a_region_s_reports_reach_the_daemons_of_another",
     a_region_s_reports_reach_the_daemons_of_another},
    {"sent_bytes_are_counted_by_kind_and_way", sent_bytes_are_counted_by_kind_and_way},
    {NULL, NULL}};
