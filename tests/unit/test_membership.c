/** @file test_membership.c  Tests of the membership state machine, and of gossip sent over UDP. */
#include "membership/membership_service.h"
#include "tests/unit/unit_tests.h"

#include <arpa/inet.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

static const hs_membership_settings settings = {
    .probe_timeout_ms = 10, .suspect_ms = 100, .forget_ms = 1000};

static hs_membership *new_membership(void) {
    hs_member self = {.id = (char *)"self", .zone = (char *)"z", .incarnation = 5};
    return hs_membership_new(&self, &settings, 1);
}

static bool apply_record(hs_membership *membership, const char *id, uint64_t incarnation,
                         uint32_t version, Hs__MemberState state, uint64_t now_ms) {
    Hs__MemberRecord record = HS__MEMBER_RECORD__INIT;
    record.id = (char *)id;
    record.incarnation = incarnation;
    record.version = version;
    record.state = state;
    record.address = 1;
    record.peer_port = 1;
    record.zone = (char *)"z";
    return hs_membership_apply_record(membership, &record, HS_RECORD_FROM_GOSSIP, now_ms);
}

static hs_member_state state_of(const hs_membership *membership, const char *id) {
    return hs_membership_find(membership, id)->state;
}

static void platform_list_only_proposes_members(void) {
    hs_membership *membership = new_membership();
    hs_membership_propose(membership, "b", 1, 1, 0);
    CU_ASSERT_EQUAL(hs_membership_live_count(membership), 1);
    apply_record(membership, "b", 1, 1, HS__MEMBER_STATE__MEMBER_ALIVE, 1);
    CU_ASSERT_EQUAL(hs_membership_live_count(membership), 2);
    apply_record(membership, "b", 1, 2, HS__MEMBER_STATE__MEMBER_LEAVING, 2);
    hs_membership_propose(membership, "b", 1, 1, 3);
    CU_ASSERT_EQUAL(state_of(membership, "b"), HS_MEMBER_LEAVING);
    hs_membership_free(membership);
}

/** Guards against a daemon that nobody believes again, as its incarnation began anew at 0. */
static void odd_records_of_this_daemon_do_not_lower_its_incarnation(void) {
    hs_membership *membership = new_membership();
    const hs_member *self = hs_membership_self(membership);
    apply_record(membership, "self", UINT64_MAX, 1, HS__MEMBER_STATE__MEMBER_DEAD, 1);
    CU_ASSERT(self->incarnation >= 5);
    apply_record(membership, "self", 5, UINT32_MAX, HS__MEMBER_STATE__MEMBER_SUSPECT, 2);
    CU_ASSERT(self->version >= 1);
    hs_membership_free(membership);
}

/** Guards against a port out of range that a cast turns into that of another process. */
static void records_with_a_port_out_of_range_are_ignored(void) {
    hs_membership *membership = new_membership();
    Hs__MemberRecord record = HS__MEMBER_RECORD__INIT;
    record.id = (char *)"b";
    record.zone = (char *)"z";
    record.incarnation = 1;
    record.address = 1;
    record.peer_port = 65616;
    hs_membership_apply_record(membership, &record, HS_RECORD_FROM_GOSSIP, 1);
    CU_ASSERT_PTR_NULL(hs_membership_find(membership, "b"));
    record.peer_port = 80;
    record.admin_port = 65616;
    hs_membership_apply_record(membership, &record, HS_RECORD_FROM_GOSSIP, 1);
    CU_ASSERT_PTR_NULL(hs_membership_find(membership, "b"));
    hs_membership_free(membership);
}

static void leaving_is_final_within_an_incarnation(void) {
    hs_membership *membership = new_membership();
    apply_record(membership, "b", 1, 5, HS__MEMBER_STATE__MEMBER_LEAVING, 1);
    apply_record(membership, "b", 1, 9, HS__MEMBER_STATE__MEMBER_ALIVE, 2);
    CU_ASSERT_EQUAL(state_of(membership, "b"), HS_MEMBER_LEAVING);
    apply_record(membership, "b", 2, 1, HS__MEMBER_STATE__MEMBER_ALIVE, 3);
    CU_ASSERT_EQUAL(state_of(membership, "b"), HS_MEMBER_ALIVE);
    hs_membership_free(membership);
}

static void newer_own_record_supersedes_suspicion(void) {
    hs_membership *membership = new_membership();
    apply_record(membership, "b", 1, 3, HS__MEMBER_STATE__MEMBER_ALIVE, 1);
    apply_record(membership, "b", 1, 3, HS__MEMBER_STATE__MEMBER_SUSPECT, 2);
    CU_ASSERT_EQUAL(state_of(membership, "b"), HS_MEMBER_SUSPECT);
    apply_record(membership, "b", 1, 3, HS__MEMBER_STATE__MEMBER_ALIVE, 3);
    CU_ASSERT_EQUAL(state_of(membership, "b"), HS_MEMBER_SUSPECT);
    apply_record(membership, "b", 1, 4, HS__MEMBER_STATE__MEMBER_ALIVE, 4);
    CU_ASSERT_EQUAL(state_of(membership, "b"), HS_MEMBER_ALIVE);
    hs_membership_free(membership);
}

static void unresponsive_member_is_suspected_then_dead(void) {
    hs_membership *membership = new_membership();
    g_autoptr(GArray) orders = g_array_new(FALSE, FALSE, sizeof(hs_probe_order));
    apply_record(membership, "b", 1, 1, HS__MEMBER_STATE__MEMBER_ALIVE, 0);
    apply_record(membership, "c", 1, 1, HS__MEMBER_STATE__MEMBER_ALIVE, 0);
    hs_membership_probe_next(membership, 0, orders);
    CU_ASSERT_EQUAL_FATAL(orders->len, 1);
    hs_membership_check_probes(membership, 11, orders);
    CU_ASSERT_EQUAL(orders->len, 2);
    CU_ASSERT_STRING_NOT_EQUAL(g_array_index(orders, hs_probe_order, 1).target_id, "");
    const char *target = g_array_index(orders, hs_probe_order, 1).target_id;
    g_autofree char *suspect_id = g_strdup(target);
    hs_membership_check_probes(membership, 21, orders);
    CU_ASSERT_EQUAL(state_of(membership, suspect_id), HS_MEMBER_SUSPECT);
    CU_ASSERT_EQUAL(hs_membership_live_count(membership), 3);
    hs_membership_probe_next(membership, 122, orders);
    CU_ASSERT_EQUAL(state_of(membership, suspect_id), HS_MEMBER_DEAD);
    CU_ASSERT_EQUAL(hs_membership_live_count(membership), 2);
    hs_membership_free(membership);
}

static void acknowledged_probe_causes_no_suspicion(void) {
    hs_membership *membership = new_membership();
    g_autoptr(GArray) orders = g_array_new(FALSE, FALSE, sizeof(hs_probe_order));
    apply_record(membership, "b", 1, 1, HS__MEMBER_STATE__MEMBER_ALIVE, 0);
    hs_membership_probe_next(membership, 0, orders);
    hs_membership_acknowledge(membership, g_array_index(orders, hs_probe_order, 0).sequence, "b");
    hs_membership_check_probes(membership, 50, orders);
    CU_ASSERT_EQUAL(state_of(membership, "b"), HS_MEMBER_ALIVE);
    hs_membership_free(membership);
}

static void refutes_suspicion_and_rejoins_after_death(void) {
    hs_membership *membership = new_membership();
    uint32_t version = hs_membership_self(membership)->version;
    apply_record(membership, "self", 5, version, HS__MEMBER_STATE__MEMBER_SUSPECT, 1);
    CU_ASSERT(hs_membership_self(membership)->version > version);
    CU_ASSERT_EQUAL(hs_membership_self(membership)->incarnation, 5);
    apply_record(membership, "self", 5, version, HS__MEMBER_STATE__MEMBER_DEAD, 2);
    CU_ASSERT_EQUAL(hs_membership_self(membership)->incarnation, 6);
    CU_ASSERT_EQUAL(hs_membership_rejoin_count(membership), 1);
    hs_membership_free(membership);
}

/** Returns whether gossip to @p receiver_id includes the record of @p id. */
static bool gossip_includes(hs_membership *membership, const char *receiver_id, const char *id) {
    g_autoptr(GPtrArray) records = g_ptr_array_new();
    hs_membership_collect_gossip(membership, receiver_id, 12, records);
    for (guint index = 0; index < records->len; index++)
        if (strcmp(((hs_member *)records->pdata[index])->id, id) == 0)
            return true;
    return false;
}

static void dead_member_always_receives_its_record(void) {
    hs_membership *membership = new_membership();
    apply_record(membership, "b", 1, 1, HS__MEMBER_STATE__MEMBER_DEAD, 0);
    apply_record(membership, "b", 1, 1, HS__MEMBER_STATE__MEMBER_ALIVE, 0);
    apply_record(membership, "b", 1, 1, HS__MEMBER_STATE__MEMBER_DEAD, 0);
    for (int message = 0; message < 100; message++)
        gossip_includes(membership, "c", "b");
    CU_ASSERT_FALSE(gossip_includes(membership, "c", "b"));
    CU_ASSERT_TRUE(gossip_includes(membership, "b", "b"));
    hs_membership_free(membership);
}

static void configuration_offset_alone_is_not_relayed(void) {
    hs_membership *membership = new_membership();
    Hs__MemberRecord record = HS__MEMBER_RECORD__INIT;
    record.id = (char *)"b";
    record.incarnation = 1;
    record.version = 1;
    record.zone = (char *)"z";
    hs_membership_apply_record(membership, &record, HS_RECORD_FROM_GOSSIP, 0);
    for (int message = 0; message < 100; message++)
        gossip_includes(membership, "c", "b");
    record.version = 2;
    record.config_offset = 7;
    hs_membership_apply_record(membership, &record, HS_RECORD_FROM_GOSSIP, 1);
    CU_ASSERT_EQUAL(hs_membership_find(membership, "b")->config_offset, 7);
    CU_ASSERT_FALSE(gossip_includes(membership, "c", "b"));
    record.version = 3;
    record.state = HS__MEMBER_STATE__MEMBER_LEAVING;
    hs_membership_apply_record(membership, &record, HS_RECORD_FROM_GOSSIP, 2);
    CU_ASSERT_TRUE(gossip_includes(membership, "c", "b"));
    hs_membership_free(membership);
}

static void rank_prefers_the_zone_and_skips_dead_members(void) {
    hs_membership *membership = new_membership();
    Hs__MemberRecord record = HS__MEMBER_RECORD__INIT;
    record.id = (char *)"far";
    record.incarnation = 1;
    record.zone = (char *)"y";
    hs_membership_apply_record(membership, &record, HS_RECORD_FROM_GOSSIP, 0);
    CU_ASSERT_STRING_EQUAL(hs_membership_rank_first(membership, "engine-1", "y")->id, "far");
    CU_ASSERT_STRING_EQUAL(hs_membership_rank_first(membership, "engine-1", "z")->id, "self");
    record.state = HS__MEMBER_STATE__MEMBER_DEAD;
    hs_membership_apply_record(membership, &record, HS_RECORD_FROM_GOSSIP, 1);
    CU_ASSERT_STRING_EQUAL(hs_membership_rank_first(membership, "engine-1", "y")->id, "self");
    hs_membership_free(membership);
}

static void owner_is_the_claimant_with_the_highest_epoch(void) {
    hs_membership *membership = new_membership();
    uint32_t epoch = 0;
    CU_ASSERT_PTR_NULL(hs_membership_find_owner(membership, 3, &epoch));
    Hs__OwnedPartition owned = HS__OWNED_PARTITION__INIT;
    owned.partition = 3;
    owned.epoch = 4;
    Hs__OwnedPartition *list[] = {&owned};
    Hs__MemberRecord record = HS__MEMBER_RECORD__INIT;
    record.id = (char *)"b";
    record.incarnation = 1;
    record.zone = (char *)"z";
    record.n_owned = 1;
    record.owned = list;
    hs_membership_apply_record(membership, &record, HS_RECORD_FROM_GOSSIP, 0);
    record.id = (char *)"c";
    owned.epoch = 5;
    hs_membership_apply_record(membership, &record, HS_RECORD_FROM_GOSSIP, 0);
    CU_ASSERT_STRING_EQUAL(hs_membership_find_owner(membership, 3, &epoch)->id, "c");
    CU_ASSERT_EQUAL(epoch, 5);
    hs_membership_free(membership);
}

/** Opens a UDP socket on a free loopback port with a receive timeout. */
static int open_receiver(struct sockaddr_in *address) {
    int descriptor = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    struct timeval wait = {.tv_usec = 200 * 1000};
    *address =
        (struct sockaddr_in){.sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    socklen_t length = sizeof *address;
    CU_ASSERT_EQUAL(setsockopt(descriptor, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof wait), 0);
    CU_ASSERT_EQUAL(bind(descriptor, (struct sockaddr *)address, length), 0);
    CU_ASSERT_EQUAL(getsockname(descriptor, (struct sockaddr *)address, &length), 0);
    return descriptor;
}

/** Counts the records of dead members in all datagrams received until the timeout. */
static size_t count_dead_records(int descriptor) {
    uint8_t buffer[4096];
    ssize_t length = 0;
    size_t dead = 0;
    while ((length = recv(descriptor, buffer, sizeof buffer, 0)) > 0) {
        Hs__PeerMessage *message = hs__peer_message__unpack(NULL, (size_t)length, buffer);
        CU_ASSERT_PTR_NOT_NULL(message);
        if (message == NULL)
            break;
        bool is_probe = message->kind_case == HS__PEER_MESSAGE__KIND_PROBE;
        size_t count = is_probe ? message->probe->n_gossip : message->member_list->n_records;
        Hs__MemberRecord **records =
            is_probe ? message->probe->gossip : message->member_list->records;
        for (size_t index = 0; index < count; index++)
            dead += records[index]->state == HS__MEMBER_STATE__MEMBER_DEAD;
        hs__peer_message__free_unpacked(message, NULL);
    }
    return dead;
}

/**
 * Guards against delayed announcement of many concurrent failures, and against records that are
 * sent without end.
 */
static void many_dead_members_are_announced_with_one_probe(void) {
    struct sockaddr_in address;
    int descriptor = open_receiver(&address);
    hs_peer_socket *socket = hs_peer_socket_new("127.0.0.1", 0, NULL);
    hs_member self = {.id = (char *)"self", .zone = (char *)"z", .incarnation = 5};
    hs_membership_service_settings service_settings = {.probe_interval_ms = 10,
                                                       .membership = settings};
    hs_membership_service *service = hs_membership_service_new(&self, &service_settings, socket);
    hs_membership *membership = hs_membership_service_lock(service);
    for (int index = 0; index < 50; index++) {
        g_autofree char *id = g_strdup_printf("dead-%d", index);
        apply_record(membership, id, 1, 1, HS__MEMBER_STATE__MEMBER_ALIVE, 1);
        apply_record(membership, id, 1, 1, HS__MEMBER_STATE__MEMBER_DEAD, 1);
    }
    hs_membership_propose(membership, "b", INADDR_LOOPBACK, ntohs(address.sin_port), 1);
    hs_membership_service_unlock(service);
    hs_membership_service_tick(service, 1000);
    CU_ASSERT_EQUAL(count_dead_records(descriptor), 50);
    for (uint64_t round = 1; round < 60; round++)
        hs_membership_service_tick(service, 1000 + round * 15);
    count_dead_records(descriptor);
    hs_membership_service_tick(service, 2000);
    CU_ASSERT_EQUAL(count_dead_records(descriptor), 0);
    hs_membership_service_free(service);
    hs_peer_socket_free(socket);
    close(descriptor);
}

const test_case membership_tests[] = {
    {"many_dead_members_are_announced_with_one_probe",
     many_dead_members_are_announced_with_one_probe},
    {"platform_list_only_proposes_members", platform_list_only_proposes_members},
    {"odd_records_of_this_daemon_do_not_lower_its_incarnation",
     odd_records_of_this_daemon_do_not_lower_its_incarnation},
    {"records_with_a_port_out_of_range_are_ignored", records_with_a_port_out_of_range_are_ignored},
    {"leaving_is_final_within_an_incarnation", leaving_is_final_within_an_incarnation},
    {"newer_own_record_supersedes_suspicion", newer_own_record_supersedes_suspicion},
    {"unresponsive_member_is_suspected_then_dead", unresponsive_member_is_suspected_then_dead},
    {"acknowledged_probe_causes_no_suspicion", acknowledged_probe_causes_no_suspicion},
    {"refutes_suspicion_and_rejoins_after_death", refutes_suspicion_and_rejoins_after_death},
    {"dead_member_always_receives_its_record", dead_member_always_receives_its_record},
    {"configuration_offset_alone_is_not_relayed", configuration_offset_alone_is_not_relayed},
    {"rank_prefers_the_zone_and_skips_dead_members", rank_prefers_the_zone_and_skips_dead_members},
    {"owner_is_the_claimant_with_the_highest_epoch", owner_is_the_claimant_with_the_highest_epoch},
    {NULL, NULL}};
