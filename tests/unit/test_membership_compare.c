/** @file test_membership_compare.c  Comparison of accounts, and what hundreds of daemons cost. */
#include "membership/member_record.h"
#include "membership/membership.h"
#include "tests/unit/unit_tests.h"

#define FLEET 360
#define SEEDS 3
/** Rounds of probes in which a new daemon compares each time; see membership_service.c. */
#define JOINING_ROUNDS 5
#define ROUNDS 12
/** Most accounts with a probe, as in membership_service.c. */
#define GOSSIP_MOST 60
/**
 * Accounts that one daemon may be sent until it knows all others, as a multiple of their number:
 * 3.2 were counted here, and 7.6 where each answer held all accounts and was passed on as news.
 */
#define COST_MOST 4

static const hs_membership_settings settings = {
    .probe_timeout_ms = 150, .suspect_ms = 1000, .forget_ms = 60000};

/** A fleet in one process: a message is a call. */
typedef struct {
    hs_membership *daemons[FLEET];
    GHashTable *by_id; /**< id -> hs_membership*; ids are the members' own. */
    uint64_t told;     /**< Accounts sent so far. */
} fleet;

static hs_membership *new_daemon(int index) {
    g_autofree char *id = g_strdup_printf("daemon-%d", index);
    hs_member self = {
        .id = id, .zone = (char *)"z", .incarnation = 1, .address = 1, .peer_port = 1};
    return hs_membership_new(&self, &settings, (uint32_t)index + 1);
}

static void open_fleet(fleet *all) {
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

static void close_fleet(fleet *all) {
    g_hash_table_destroy(all->by_id);
    for (int index = 0; index < FLEET; index++)
        hs_membership_free(all->daemons[index]);
}

static void tell(fleet *all, hs_membership *to, const GPtrArray *members, hs_account_source source,
                 uint64_t now_ms) {
    for (guint index = 0; index < members->len; index++) {
        Hs__MemberRecord *record = hs_member_record_new(members->pdata[index]);
        hs_membership_learn(to, record, source, now_ms);
        hs_member_record_free(record);
    }
    all->told += members->len;
}

static void tell_news(fleet *all, hs_membership *from, hs_membership *to, uint64_t now_ms) {
    g_autoptr(GPtrArray) members = g_ptr_array_new();
    hs_membership_gossip(from, hs_membership_self(to)->id, GOSSIP_MOST, members);
    tell(all, to, members, HS_ACCOUNT_NEWS, now_ms);
}

/** @p to asks @p from for what it lacks. */
static void compare(fleet *all, hs_membership *from, hs_membership *to, uint64_t now_ms) {
    g_autoptr(GArray) known = g_array_new(FALSE, FALSE, sizeof(uint32_t));
    g_autoptr(GPtrArray) missing = g_ptr_array_new();
    hs_membership_known(to, known);
    hs_membership_missing(from, (const uint32_t *)(void *)known->data, known->len, missing);
    tell(all, to, missing, HS_ACCOUNT_ANSWER, now_ms);
}

static void probe_once(fleet *all, hs_membership *daemon, bool compares, uint64_t now_ms) {
    g_autoptr(GArray) orders = g_array_new(FALSE, FALSE, sizeof(hs_probe_order));
    hs_membership_probe_next(daemon, now_ms, orders);
    for (guint index = 0; index < orders->len; index++) {
        const hs_probe_order *order = &g_array_index(orders, hs_probe_order, index);
        hs_membership *target = g_hash_table_lookup(all->by_id, order->receiver_id);
        tell_news(all, daemon, target, now_ms);
        tell_news(all, target, daemon, now_ms);
        hs_membership_acknowledge(daemon, order->sequence, order->receiver_id);
        if (compares)
            compare(all, target, daemon, now_ms);
    }
}

static int count_complete(const fleet *all) {
    int complete = 0;
    for (int index = 0; index < FLEET; index++)
        complete += hs_membership_live_count(all->daemons[index]) == FLEET;
    return complete;
}

static void hundreds_that_start_together_know_each_other_at_a_bounded_cost(void) {
    fleet all = {0};
    open_fleet(&all);
    for (int round = 0; round < ROUNDS; round++)
        for (int index = 0; index < FLEET; index++)
            probe_once(&all, all.daemons[index], round < JOINING_ROUNDS, (uint64_t)round * 300);
    CU_ASSERT_EQUAL(count_complete(&all), FLEET);
    CU_ASSERT_TRUE(all.told < (uint64_t)FLEET * FLEET * COST_MOST);
    close_fleet(&all);
}

static void equal_accounts_are_not_sent_and_changed_ones_are(void) {
    hs_membership *first = new_daemon(0);
    hs_membership *second = new_daemon(1);
    fleet all = {0};
    compare(&all, first, second, 0);
    compare(&all, second, first, 0);
    all.told = 0;
    compare(&all, first, second, 1);
    CU_ASSERT_EQUAL(all.told, 0);
    hs_membership_leave(first);
    compare(&all, first, second, 2);
    CU_ASSERT_EQUAL(all.told, 1);
    CU_ASSERT_EQUAL(hs_membership_find(second, "daemon-0")->state, HS_MEMBER_LEAVING);
    hs_membership_free(first);
    hs_membership_free(second);
}

/** What was asked for is known to the one that told it: passing it on would be in vain. */
static void answers_are_not_passed_on(void) {
    hs_membership *first = new_daemon(0);
    hs_membership *second = new_daemon(1);
    fleet all = {0};
    compare(&all, first, second, 0);
    g_autoptr(GPtrArray) news = g_ptr_array_new();
    hs_membership_gossip(second, "daemon-2", GOSSIP_MOST, news);
    CU_ASSERT_EQUAL(news->len, 1); /* Its own account. */
    hs_membership_free(first);
    hs_membership_free(second);
}

const test_case membership_compare_tests[] = {
    {"hundreds_that_start_together_know_each_other_at_a_bounded_cost",
     hundreds_that_start_together_know_each_other_at_a_bounded_cost},
    {"equal_accounts_are_not_sent_and_changed_ones_are",
     equal_accounts_are_not_sent_and_changed_ones_are},
    {"answers_are_not_passed_on", answers_are_not_passed_on},
    {NULL, NULL}};
