/** @file warmup_arbiter.c  See warmup_arbiter.h. */
#include "directory/warmup_arbiter.h"

#include "base/clock.h"
#include "base/hash.h"
#include "base/log.h"
#include "directory/slot_arbiter.h"
#include "fleet/warmup_budget.h"

#include <string.h>

/**
 * Time in ms for which a member that is lost counts as known. A network partition that lasts longer
 * gives each side the whole limit.
 */
#define KNOWN_MEMBER_MS 600000
/** Time in ms for which the budget of an engine without requests for permits is kept. */
#define BUDGET_RETENTION_MS 60000
/** Retry time in ms for a daemon that asked another daemon than the engine's arbiter. */
#define WRONG_ARBITER_RETRY_MS 200

/** A member that is or was live. */
typedef struct {
    uint32_t address;
    uint16_t port;
    uint64_t live_ms; /**< When it was last live. */
    bool has_left;    /**< As planned. */
} known_member;

typedef struct {
    hs_warmup_budget budget;
    uint64_t open_ms; /**< Nothing is granted before; see hs_warmup_budget_request. */
    uint64_t asked_ms;
} engine_budget;

struct hs_warmup_arbiter {
    hs_fleet_engines *engines;
    hs_membership_service *membership;
    hs_is_own_engine is_own;
    void *user_data;
    GMutex lock;         /**< Guards the fields below. Taken before the membership's lock. */
    GHashTable *budgets; /**< engine hash (uint64_t*) -> engine_budget* */
    GHashTable *members; /**< id -> known_member* */
    hs_warmup_clock clock;
    hs_warmup_share share;
    uint32_t rejoin_count;
};

hs_warmup_arbiter *hs_warmup_arbiter_new(hs_fleet_engines *engines,
                                         hs_membership_service *membership, hs_is_own_engine is_own,
                                         void *user_data) {
    hs_warmup_arbiter *arbiter = g_new0(hs_warmup_arbiter, 1);
    arbiter->engines = engines;
    arbiter->membership = membership;
    arbiter->is_own = is_own;
    arbiter->user_data = user_data;
    arbiter->budgets = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
    arbiter->members = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    g_mutex_init(&arbiter->lock);
    return arbiter;
}

void hs_warmup_arbiter_free(hs_warmup_arbiter *arbiter) {
    if (arbiter == NULL)
        return;
    g_hash_table_destroy(arbiter->budgets);
    g_hash_table_destroy(arbiter->members);
    g_mutex_clear(&arbiter->lock);
    g_free(arbiter);
}

static engine_budget *find_or_add_budget(hs_warmup_arbiter *arbiter, uint64_t engine_hash) {
    engine_budget *entry = g_hash_table_lookup(arbiter->budgets, &engine_hash);
    if (entry != NULL)
        return entry;
    entry = g_new0(engine_budget, 1);
    g_hash_table_insert(arbiter->budgets, g_memdup2(&engine_hash, sizeof engine_hash), entry);
    return entry;
}

/**
 * Returns the time before which a member that ranks before this daemon for the engine, and that is
 * no longer live, may have granted permits that are still in use; 0: there is none.
 */
static uint64_t predecessor_until_ms(hs_warmup_arbiter *arbiter, uint64_t engine_hash) {
    g_autofree char *key = hs_slot_arbiter_key(engine_hash);
    uint64_t until_ms = 0;
    GHashTableIter iterator;
    gpointer id = NULL;
    gpointer value = NULL;
    const hs_membership *membership = hs_membership_service_lock(arbiter->membership);
    uint64_t own_weight = hs_hash_pair(key, hs_membership_self(membership)->id);
    g_hash_table_iter_init(&iterator, arbiter->members);
    while (g_hash_table_iter_next(&iterator, &id, &value)) {
        const known_member *known = value;
        const hs_member *member = hs_membership_find(membership, id);
        bool is_live = member != NULL && hs_member_is_live(member);
        if (!is_live && hs_hash_pair(key, id) > own_weight)
            until_ms = MAX(until_ms, known->live_ms + HS_WARMUP_SETTLE_MS);
    }
    hs_membership_service_unlock(arbiter->membership);
    return until_ms;
}

static void put_verdict(hs_engine_load_report *load, const hs_warmup_verdict *verdict) {
    load->permit = verdict->is_granted ? HS_PERMIT_GRANTED : HS_PERMIT_DENIED;
    load->permit_valid_ms = verdict->is_granted ? HS_WARMUP_PERMIT_VALID_MS : 0;
    load->permit_retry_ms = verdict->retry_ms;
}

void hs_warmup_arbiter_decide(hs_warmup_arbiter *arbiter, const hs_engine_use *use,
                              hs_engine_load_report *load) {
    hs_engine_coldness coldness = hs_fleet_engines_coldness(arbiter->engines, use->engine_hash);
    if (!use->wants_permit) {
        if (coldness.is_cold)
            load->permit = HS_PERMIT_DENIED;
        return;
    }
    hs_warmup_verdict verdict = {.retry_ms = WRONG_ARBITER_RETRY_MS};
    bool is_own = arbiter->is_own(use->engine_hash, arbiter->user_data);
    g_mutex_lock(&arbiter->lock);
    uint64_t now_ms = hs_clock_monotonic_ms(); /* Read under the lock: times don't go back. */
    hs_warmup_clock_note(&arbiter->clock, now_ms);
    engine_budget *entry = find_or_add_budget(arbiter, use->engine_hash);
    entry->asked_ms = now_ms;
    if (!is_own) {
        entry->open_ms = now_ms + HS_WARMUP_SETTLE_MS;
    } else if (coldness.per_s > 0) {
        entry->open_ms = MAX(entry->open_ms, arbiter->clock.open_ms);
        entry->open_ms = MAX(entry->open_ms, predecessor_until_ms(arbiter, use->engine_hash));
        verdict = hs_warmup_budget_request(&entry->budget, coldness.per_s * arbiter->share.share,
                                           entry->open_ms, now_ms);
    }
    g_mutex_unlock(&arbiter->lock);
    put_verdict(load, &verdict);
}

static known_member *find_or_add_member(hs_warmup_arbiter *arbiter, const char *id) {
    known_member *known = g_hash_table_lookup(arbiter->members, id);
    if (known != NULL)
        return known;
    known = g_new0(known_member, 1);
    g_hash_table_insert(arbiter->members, g_strdup(id), known);
    return known;
}

/** Key of an address in a set; the address and the port fit a pointer. */
static gpointer address_key(uint32_t address, uint16_t port) {
    return GSIZE_TO_POINTER(((gsize)address << 16) | port);
}

/** Counts proposed members at other addresses than those of live ones, as a seed's is. */
static uint32_t count_proposed(const GPtrArray *members, GHashTable *live_addresses) {
    uint32_t count = 0;
    for (guint index = 0; index < members->len; index++) {
        const hs_member *member = members->pdata[index];
        count +=
            member->state == HS_MEMBER_PROPOSED &&
            !g_hash_table_contains(live_addresses, address_key(member->address, member->peer_port));
    }
    return count;
}

/**
 * Counts the members and remembers the live ones. @p live_addresses: set of the live members'
 * addresses, filled here: a lost member whose address another one has is replaced by it.
 */
static hs_warmup_members note_members(hs_warmup_arbiter *arbiter, GHashTable *live_addresses,
                                      uint64_t now_ms) {
    hs_warmup_members counts = {0};
    g_autoptr(GPtrArray) members = g_ptr_array_new();
    const hs_membership *membership = hs_membership_service_lock(arbiter->membership);
    uint32_t rejoin_count = hs_membership_rejoin_count(membership);
    hs_membership_list(membership, members);
    for (guint index = 0; index < members->len; index++) {
        const hs_member *member = members->pdata[index];
        counts.live += hs_member_is_alive(member);
        if (!hs_member_is_live(member) && member->state != HS_MEMBER_LEAVING)
            continue;
        known_member *known = find_or_add_member(arbiter, member->id);
        known->has_left = member->state == HS_MEMBER_LEAVING;
        if (known->has_left)
            continue;
        known->address = member->address;
        known->port = member->peer_port;
        known->live_ms = now_ms;
        g_hash_table_add(live_addresses, address_key(member->address, member->peer_port));
    }
    counts.known = count_proposed(members, live_addresses);
    hs_membership_service_unlock(arbiter->membership);
    if (rejoin_count != arbiter->rejoin_count)
        hs_warmup_clock_restart(&arbiter->clock, now_ms);
    arbiter->rejoin_count = rejoin_count;
    return counts;
}

/** Counts the remembered members and forgets those that no longer matter. */
static uint32_t count_known(hs_warmup_arbiter *arbiter, GHashTable *live_addresses,
                            uint64_t now_ms) {
    uint32_t count = 0;
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, arbiter->members);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const known_member *known = value;
        bool is_live = known->live_ms == now_ms;
        bool is_replaced =
            !is_live &&
            g_hash_table_contains(live_addresses, address_key(known->address, known->port));
        bool counts = !known->has_left && !is_replaced && now_ms < known->live_ms + KNOWN_MEMBER_MS;
        count += counts;
        if (!counts && now_ms >= known->live_ms + HS_WARMUP_SETTLE_MS)
            g_hash_table_iter_remove(&iterator);
    }
    return count;
}

static void drop_unused_budgets(hs_warmup_arbiter *arbiter, uint64_t now_ms) {
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, arbiter->budgets);
    while (g_hash_table_iter_next(&iterator, NULL, &value))
        if (now_ms >= ((const engine_budget *)value)->asked_ms + BUDGET_RETENTION_MS)
            g_hash_table_iter_remove(&iterator);
}

double hs_warmup_arbiter_share(hs_warmup_arbiter *arbiter) {
    g_mutex_lock(&arbiter->lock);
    double share = arbiter->share.share;
    g_mutex_unlock(&arbiter->lock);
    return share;
}

void hs_warmup_arbiter_tick(hs_warmup_arbiter *arbiter) {
    if (!hs_fleet_engines_has_warmup_limits(arbiter->engines))
        return;
    g_autoptr(GHashTable) live_addresses = g_hash_table_new(NULL, NULL);
    g_mutex_lock(&arbiter->lock);
    uint64_t now_ms = hs_clock_monotonic_ms();
    hs_warmup_clock_note(&arbiter->clock, now_ms);
    hs_warmup_members members = note_members(arbiter, live_addresses, now_ms);
    members.known += count_known(arbiter, live_addresses, now_ms);
    double before = arbiter->share.share;
    double share = hs_warmup_share_update(&arbiter->share, &members, now_ms);
    drop_unused_budgets(arbiter, now_ms);
    g_mutex_unlock(&arbiter->lock);
    if (share != before)
        hs_log_debug("warmup_share", "share=%.3f before=%.3f live=%u known=%u", share, before,
                     members.live, members.known);
}
