/**
 * @file test_membership_deaths.c
 * Time until all live daemons know of deaths at one moment, in virtual time, with the intervals of
 * the fleet surface. Messages between live daemons arrive at once.
 */
#include "membership/member_record.h"
#include "membership/membership.h"
#include "tests/unit/unit_tests.h"

#ifndef DEATHS_FLEET
#define DEATHS_FLEET 240
#endif
#define TICK_MS 80
#define PROBE_INTERVAL_MS 300
/** Records per probe, as in membership_service.c. */
#define MAX_GOSSIP_RECORDS 60
/** Time within which no answer to a caller may name a dead daemon. */
#define KNOWN_LIMIT_MS 2000
#define LIMIT_MS 20000

static const hs_membership_settings settings = {.probe_timeout_ms = PROBE_INTERVAL_MS / 2,
                                                .suspect_ms = PROBE_INTERVAL_MS * 2,
                                                .forget_ms = 60000};

typedef struct {
    hs_membership *daemons[DEATHS_FLEET];
    uint64_t next_probe_ms[DEATHS_FLEET];
    bool is_dead[DEATHS_FLEET];
    uint64_t records_sent;
} fleet;

static void send_gossip(fleet *all, uint32_t from, uint32_t to, uint64_t now_ms) {
    g_autoptr(GPtrArray) members = g_ptr_array_new();
    hs_membership_collect_gossip(all->daemons[from], hs_membership_self(all->daemons[to])->id,
                                 MAX_GOSSIP_RECORDS, members);
    for (guint index = 0; index < members->len; index++) {
        Hs__MemberRecord *record = hs_member_record_new(members->pdata[index]);
        hs_membership_apply_record(all->daemons[to], record, HS_RECORD_FROM_GOSSIP, now_ms);
        hs_member_record_free(record);
    }
    all->records_sent += members->len;
}

/** Sends the records that @p to lacks from @p from. */
static void send_missing(fleet *all, uint32_t from, uint32_t to, uint64_t now_ms) {
    g_autoptr(GArray) known = g_array_new(FALSE, FALSE, sizeof(uint32_t));
    g_autoptr(GPtrArray) missing = g_ptr_array_new();
    hs_membership_list_hashes(all->daemons[to], known);
    hs_membership_list_missing(all->daemons[from], (const uint32_t *)(void *)known->data,
                               known->len, missing);
    for (guint index = 0; index < missing->len; index++) {
        Hs__MemberRecord *record = hs_member_record_new(missing->pdata[index]);
        hs_membership_apply_record(all->daemons[to], record, HS_RECORD_FROM_COMPARISON, now_ms);
        hs_member_record_free(record);
    }
    all->records_sent += missing->len;
}

/** Sends a probe; returns whether it is answered. The member's address is its number. */
static bool exchange(fleet *all, uint32_t from, uint32_t to, uint64_t now_ms) {
    if (all->is_dead[to])
        return false;
    send_gossip(all, from, to, now_ms);
    send_gossip(all, to, from, now_ms);
    return true;
}

static void send_order(fleet *all, uint32_t from, const hs_probe_order *order, uint64_t now_ms) {
    bool is_indirect = *order->target_id != '\0';
    bool is_answered = exchange(all, from, order->address, now_ms);
    if (is_answered && is_indirect) {
        const hs_member *target = hs_membership_find(all->daemons[from], order->target_id);
        is_answered = target != NULL && exchange(all, order->address, target->address, now_ms);
    }
    bool has_backlog = hs_membership_has_backlog(all->daemons[from], MAX_GOSSIP_RECORDS);
    if (is_answered && !is_indirect && has_backlog)
        send_missing(all, order->address, from, now_ms);
    if (is_answered)
        hs_membership_acknowledge(all->daemons[from], order->sequence,
                                  is_indirect ? order->target_id : order->receiver_id);
}

static void tick(fleet *all, uint64_t now_ms) {
    for (uint32_t number = 0; number < DEATHS_FLEET; number++) {
        if (all->is_dead[number])
            continue;
        g_autoptr(GArray) orders = g_array_new(FALSE, FALSE, sizeof(hs_probe_order));
        hs_membership_check_probes(all->daemons[number], now_ms, orders);
        if (now_ms >= all->next_probe_ms[number]) {
            all->next_probe_ms[number] = now_ms + PROBE_INTERVAL_MS;
            hs_membership_probe_next(all->daemons[number], now_ms, orders);
        }
        for (guint index = 0; index < orders->len; index++)
            send_order(all, number, &g_array_index(orders, hs_probe_order, index), now_ms);
    }
}

/** Creates a fleet whose members all know each other and have spread their records. */
static fleet *create_fleet(void) {
    fleet *all = g_new0(fleet, 1);
    for (uint32_t number = 0; number < DEATHS_FLEET; number++) {
        g_autofree char *id = g_strdup_printf("daemon-%u", number);
        hs_member self = {
            .id = id, .zone = (char *)"z", .incarnation = 1, .address = number, .peer_port = 1};
        all->daemons[number] = hs_membership_new(&self, &settings, number + 1);
        all->next_probe_ms[number] = 1000 + number % PROBE_INTERVAL_MS;
    }
    for (uint32_t from = 0; from < DEATHS_FLEET; from++) {
        Hs__MemberRecord *record = hs_member_record_new(hs_membership_self(all->daemons[from]));
        record->address = from;
        for (uint32_t to = 0; to < DEATHS_FLEET; to++)
            if (to != from) {
                hs_membership_apply_record(all->daemons[to], record, HS_RECORD_FROM_COMPARISON, 1);
                ((hs_member *)hs_membership_find(all->daemons[to], record->id))->address = from;
            }
        hs_member_record_free(record);
    }
    return all;
}

static void free_fleet(fleet *all) {
    for (uint32_t number = 0; number < DEATHS_FLEET; number++)
        hs_membership_free(all->daemons[number]);
    g_free(all);
}

static bool is_settled(const fleet *all, uint32_t live) {
    for (uint32_t number = 0; number < DEATHS_FLEET; number++) {
        const hs_membership *membership = all->daemons[number];
        g_autoptr(GPtrArray) members = g_ptr_array_new();
        uint32_t alive = 0;
        if (all->is_dead[number])
            continue;
        hs_membership_list(membership, members);
        for (guint index = 0; index < members->len; index++)
            alive += hs_member_is_alive(members->pdata[index]);
        if (alive != live)
            return false;
    }
    return true;
}

/** Returns the time in ms until each live daemon holds exactly the live ones for alive. */
static uint64_t measure_deaths(uint32_t deaths) {
    fleet *all = create_fleet();
    uint64_t now_ms = 1000;
    for (; now_ms < 5000; now_ms += TICK_MS)
        tick(all, now_ms);
    CU_ASSERT_TRUE(is_settled(all, DEATHS_FLEET));
    uint64_t died_ms = now_ms;
    all->records_sent = 0;
    for (uint32_t count = 0; count < deaths; count++)
        all->is_dead[(uint64_t)count * DEATHS_FLEET / deaths] = true;
    do {
        tick(all, now_ms);
        now_ms += TICK_MS;
    } while (!is_settled(all, DEATHS_FLEET - deaths) && now_ms < died_ms + LIMIT_MS);
    uint64_t took_ms = now_ms - died_ms;
    g_test_message("%u deaths of %u: %u ms, %u records a daemon", deaths, DEATHS_FLEET,
                   (unsigned)took_ms, (unsigned)(all->records_sent / (DEATHS_FLEET - deaths)));
    free_fleet(all);
    return took_ms;
}

/** Guards against callers that are sent to daemons which died more than two seconds ago. */
static void one_death_is_known_in_time(void) {
    CU_ASSERT(measure_deaths(1) <= KNOWN_LIMIT_MS);
}

static void a_few_deaths_are_known_in_time(void) {
    CU_ASSERT(measure_deaths(DEATHS_FLEET / 33) <= KNOWN_LIMIT_MS);
}

static void the_loss_of_half_is_known_in_time(void) {
    CU_ASSERT(measure_deaths(DEATHS_FLEET * 55 / 100) <= KNOWN_LIMIT_MS);
}

const test_case membership_death_tests[] = {
    {"one_death_is_known_in_time", one_death_is_known_in_time},
    {"a_few_deaths_are_known_in_time", a_few_deaths_are_known_in_time},
    {"the_loss_of_half_is_known_in_time", the_loss_of_half_is_known_in_time},
    {NULL, NULL}};
