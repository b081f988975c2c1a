/**
 * @file test_membership_compare.c
 * Tests of record comparison and of the number of records sent in a large fleet.
 */
#include "membership/member_record.h"
#include "membership/membership.h"
#include "tests/unit/unit_tests.h"

#define FLEET 360
#define SEEDS 3
/** Probe rounds that include a comparison after a daemon's start; see membership_service.c. */
#define JOINING_ROUNDS 5
#define ROUNDS 12
/** Records per probe, as in membership_service.c. */
#define MAX_GOSSIP_RECORDS 60
/** Bound of the records sent per pair of daemons until all daemons know each other. */
#define MAX_RECORDS_PER_PAIR 4

static const hs_membership_settings settings = {
    .probe_timeout_ms = 150, .suspect_ms = 1000, .forget_ms = 60000};

/** A simulated fleet in one process; messages are delivered by function calls. */
typedef struct {
    hs_membership *daemons[FLEET];
    GHashTable *by_id; /**< id -> hs_membership*; the ids are owned by the members. */
    uint64_t records_sent;
} fleet;

static hs_membership *new_daemon(int index) {
    g_autofree char *id = g_strdup_printf("daemon-%d", index);
    hs_member self = {
        .id = id, .zone = (char *)"z", .incarnation = 1, .address = 1, .peer_port = 1};
    return hs_membership_new(&self, &settings, (uint32_t)index + 1);
}

static void create_fleet(fleet *all) {
    all->by_id = g_hash_table_new(g_str_hash, g_str_equal);
    for (int index = 0; index < FLEET; index++) {
        all->daemons[index] = new_daemon(index);
        g_hash_table_insert(all->by_id, hs_membership_self(all->daemons[index])->id,
                            all->daemons[index]);
        for (int seed = 0; seed < SEEDS; seed++) {
            g_autofree char *id = g_strdup_printf("daemon-%d", seed);
            hs_membership_propose(all->daemons[index], id, 1, 1, 0);
        }
    }
}

static void free_fleet(fleet *all) {
    g_hash_table_destroy(all->by_id);
    for (int index = 0; index < FLEET; index++)
        hs_membership_free(all->daemons[index]);
}

static void send_members(fleet *all, hs_membership *to, const GPtrArray *members,
                         hs_record_source source, uint64_t now_ms) {
    for (guint index = 0; index < members->len; index++) {
        Hs__MemberRecord *record = hs_member_record_new(members->pdata[index]);
        hs_membership_apply_record(to, record, source, now_ms);
        hs_member_record_free(record);
    }
    all->records_sent += members->len;
}

static void send_gossip(fleet *all, hs_membership *from, hs_membership *to, uint64_t now_ms) {
    g_autoptr(GPtrArray) members = g_ptr_array_new();
    hs_membership_collect_gossip(from, hs_membership_self(to)->id, MAX_GOSSIP_RECORDS, members);
    send_members(all, to, members, HS_RECORD_FROM_GOSSIP, now_ms);
}

/** Sends the records that @p to lacks from @p from. */
static void compare(fleet *all, hs_membership *from, hs_membership *to, uint64_t now_ms) {
    g_autoptr(GArray) known = g_array_new(FALSE, FALSE, sizeof(uint32_t));
    g_autoptr(GPtrArray) missing = g_ptr_array_new();
    hs_membership_list_hashes(to, known);
    hs_membership_list_missing(from, (const uint32_t *)(void *)known->data, known->len, missing);
    send_members(all, to, missing, HS_RECORD_FROM_COMPARISON, now_ms);
}

static void probe_once(fleet *all, hs_membership *daemon, bool with_comparison, uint64_t now_ms) {
    g_autoptr(GArray) orders = g_array_new(FALSE, FALSE, sizeof(hs_probe_order));
    hs_membership_probe_next(daemon, now_ms, orders);
    for (guint index = 0; index < orders->len; index++) {
        const hs_probe_order *order = &g_array_index(orders, hs_probe_order, index);
        hs_membership *target = g_hash_table_lookup(all->by_id, order->receiver_id);
        send_gossip(all, daemon, target, now_ms);
        send_gossip(all, target, daemon, now_ms);
        hs_membership_acknowledge(daemon, order->sequence, order->receiver_id);
        if (with_comparison)
            compare(all, target, daemon, now_ms);
    }
}

static int count_complete(const fleet *all) {
    int complete = 0;
    for (int index = 0; index < FLEET; index++)
        complete += hs_membership_live_count(all->daemons[index]) == FLEET;
    return complete;
}

static void concurrent_starts_converge_with_a_bounded_number_of_records(void) {
    fleet all = {0};
    create_fleet(&all);
    for (int round = 0; round < ROUNDS; round++)
        for (int index = 0; index < FLEET; index++)
            probe_once(&all, all.daemons[index], round < JOINING_ROUNDS, (uint64_t)round * 300);
    CU_ASSERT_EQUAL(count_complete(&all), FLEET);
    CU_ASSERT_TRUE(all.records_sent < (uint64_t)FLEET * FLEET * MAX_RECORDS_PER_PAIR);
    free_fleet(&all);
}

static void comparison_sends_changed_records_only(void) {
    hs_membership *first = new_daemon(0);
    hs_membership *second = new_daemon(1);
    fleet all = {0};
    compare(&all, first, second, 0);
    compare(&all, second, first, 0);
    all.records_sent = 0;
    compare(&all, first, second, 1);
    CU_ASSERT_EQUAL(all.records_sent, 0);
    hs_membership_leave(first);
    compare(&all, first, second, 2);
    CU_ASSERT_EQUAL(all.records_sent, 1);
    CU_ASSERT_EQUAL(hs_membership_find(second, "daemon-0")->state, HS_MEMBER_LEAVING);
    hs_membership_free(first);
    hs_membership_free(second);
}

static void records_from_comparisons_are_not_relayed(void) {
    hs_membership *first = new_daemon(0);
    hs_membership *second = new_daemon(1);
    fleet all = {0};
    compare(&all, first, second, 0);
    g_autoptr(GPtrArray) records = g_ptr_array_new();
    hs_membership_collect_gossip(second, "daemon-2", MAX_GOSSIP_RECORDS, records);
    CU_ASSERT_EQUAL(records->len, 1); /* Its own record. */
    hs_membership_free(first);
    hs_membership_free(second);
}

const test_case membership_compare_tests[] = {
    {"concurrent_starts_converge_with_a_bounded_number_of_records",
     concurrent_starts_converge_with_a_bounded_number_of_records},
    {"comparison_sends_changed_records_only", comparison_sends_changed_records_only},
    {"records_from_comparisons_are_not_relayed", records_from_comparisons_are_not_relayed},
    {NULL, NULL}};
