/** @file tenant_limiter.c  See tenant_limiter.h. */
#include "directory/tenant_limiter.h"

#include "base/clock.h"
#include "base/hash.h"
#include "base/log.h"
#include "base/stall_detector.h"
#include "directory/daemon_directory.h"
#include "directory/peer_questions.h"
#include "tenants/tenant_use.h"

#include <string.h>

/** Time for which no queries are sent to a limit owner that did not respond: half of the time in
 * which its end is detected. */
#define UNRESPONSIVE_MS 300
/** Interval at which unused buckets are removed. */
#define EXPIRE_INTERVAL_MS 2000
/**
 * Time after the start in which proposed members that have not responded yet are counted as known.
 * Daemons are discovered one by one; without this, a starting daemon would take the few that it
 * knows for the whole fleet and admit too many requests.
 */
#define SETTLING_MS 10000
/**
 * Time after the start in which daemons that the store lists are assumed to be alive before they
 * respond, so that daemons that start together agree on the limit owners at once. Without this,
 * most requests of limited tenants would be refused shortly after a restart of all daemons.
 */
#define LISTED_ALIVE_MS 3000
/** Daemons whose start times differ by up to this started together; includes clock skew. */
#define MAX_START_DIFFERENCE_MS 3000
/** Minimum number of daemons assumed until the store's list of daemons was read: as many as the
 * largest deployment of some tens of engines has. */
#define ASSUMED_DAEMONS 64
/** Name of this daemon in the records of use; the other daemons are named by their ids. */
#define OWN_USE ""
/** Maximum number of tenants listed in metrics. */
#define MAX_LISTED_TENANTS 10

struct hs_tenant_limiter {
    hs_membership_service *membership;
    double tolerance;
    uint64_t started_ms;
    hs_peer_queries *queries; /**< With answers of type hs_limit_verdict. */
    gint is_member_list_read; /**< Atomic. The store's list of daemons was read. */
    GMutex lock;              /**< Guards the members below. */
    hs_limit_book *book;
    hs_tenant_uses *uses;  /**< Of this daemon's requests, and as reported to it as limit owner. */
    uint64_t reached_hash; /**< Hash of the reachable daemons as of the last check. */
    uint64_t last_tick_ms;
    uint64_t last_expiry_ms;
    char unresponsive_owner[64];
    uint64_t unresponsive_until_ms;
    bool is_filled; /**< Buckets were filled after a restart of all daemons. */
    hs_tenant_limiter_counters counters;
};

/** Limit owner of a tenant, and what this daemon knows of the others. */
typedef struct {
    char id[64];
    uint32_t address;
    uint16_t port;
    hs_limit_reachability reach;
    uint64_t reached_hash;    /**< Hash of the reachable daemons. */
    uint32_t alive;           /**< Other daemons that are alive. */
    uint32_t started_earlier; /**< Those of them that started before this one. */
} owner_lookup;

hs_tenant_limiter *hs_tenant_limiter_new(hs_membership_service *membership, double tolerance) {
    hs_tenant_limiter *limiter = g_new0(hs_tenant_limiter, 1);
    limiter->membership = membership;
    limiter->tolerance = tolerance;
    limiter->started_ms = hs_clock_monotonic_ms();
    limiter->last_tick_ms = limiter->started_ms;
    limiter->book = hs_limit_book_new(limiter->started_ms);
    limiter->uses = hs_tenant_uses_new();
    limiter->queries = hs_peer_queries_new(sizeof(hs_limit_verdict));
    g_mutex_init(&limiter->lock);
    return limiter;
}

void hs_tenant_limiter_free(hs_tenant_limiter *limiter) {
    if (limiter == NULL)
        return;
    hs_limit_book_free(limiter->book);
    hs_tenant_uses_free(limiter->uses);
    hs_peer_queries_free(limiter->queries);
    g_mutex_clear(&limiter->lock);
    g_free(limiter);
}

/** Assumptions on members that have not responded, by the time since this daemon's start. */
typedef struct {
    bool counts_proposed;
    bool assumes_listed_alive;
} lookup_assumptions;

/** Reports whether a member may be alive and admit requests without responding. */
static bool may_be_alive(const hs_member *member, const lookup_assumptions *assumptions) {
    if (member->state == HS_MEMBER_PROPOSED)
        return assumptions->counts_proposed && !hs_daemon_is_seed(member->id);
    return member->state != HS_MEMBER_LEAVING;
}

/** Reports whether a member responds or is assumed to respond. */
static bool is_reached(const hs_member *member, const lookup_assumptions *assumptions) {
    bool is_listed = member->state == HS_MEMBER_PROPOSED && !hs_daemon_is_seed(member->id);
    return hs_member_is_alive(member) || (assumptions->assumes_listed_alive && is_listed);
}

/** Looks up the limit owner of @p tenant among the members. */
static owner_lookup look_up_owner(hs_tenant_limiter *limiter, const char *tenant) {
    owner_lookup lookup = {0};
    uint64_t best = 0;
    uint64_t age_ms = hs_clock_monotonic_ms() - limiter->started_ms;
    bool is_list_read = g_atomic_int_get(&limiter->is_member_list_read) != 0;
    lookup_assumptions assumptions = {.counts_proposed = age_ms < SETTLING_MS,
                                      .assumes_listed_alive =
                                          is_list_read && age_ms < LISTED_ALIVE_MS};
    g_autoptr(GPtrArray) members = g_ptr_array_new();
    const hs_membership *membership = hs_membership_service_lock(limiter->membership);
    hs_membership_list(membership, members);
    uint64_t own_start = hs_membership_self(membership)->incarnation;
    for (guint index = 0; index < members->len; index++) {
        const hs_member *member = members->pdata[index];
        bool is_self = member == hs_membership_self(membership);
        lookup.reach.known += is_self || may_be_alive(member, &assumptions);
        if (!is_self && !is_reached(member, &assumptions))
            continue;
        lookup.reach.reached++;
        lookup.alive += !is_self && hs_member_is_alive(member);
        lookup.started_earlier += !is_self && hs_member_is_alive(member) &&
                                  member->incarnation + MAX_START_DIFFERENCE_MS < own_start;
        lookup.reached_hash += hs_hash_bytes(member->id, strlen(member->id));
        uint64_t rank = hs_hash_pair(tenant, member->id);
        if (rank < best)
            continue;
        best = rank;
        lookup.reach.is_limit_owner = is_self;
        lookup.address = member->address;
        lookup.port = member->peer_port;
        g_strlcpy(lookup.id, member->id, sizeof lookup.id);
    }
    hs_membership_service_unlock(limiter->membership);
    if (assumptions.counts_proposed && !is_list_read)
        lookup.reach.known = MAX(lookup.reach.known, ASSUMED_DAEMONS);
    return lookup;
}

static bool is_owned_here(const char *tenant, void *user_data) {
    return look_up_owner(user_data, tenant).reach.is_limit_owner;
}

static bool is_never_owned(const char *tenant, void *user_data) {
    (void)tenant;
    (void)user_data;
    return false;
}

/**
 * Discards buckets that may be stale; called before each decision. A process that was suspended
 * does not know what other limit owners admitted meanwhile. The caller holds the lock.
 */
static void discard_stale_buckets(hs_tenant_limiter *limiter, uint64_t reached_hash,
                                  uint64_t now_ms) {
    if (now_ms > limiter->last_tick_ms + HS_MIN_STALL_MS) {
        limiter->last_tick_ms = now_ms;
        hs_limit_book_note_reach_change(limiter->book, is_never_owned, NULL, now_ms);
    } else if (reached_hash != limiter->reached_hash) {
        hs_limit_book_note_reach_change(limiter->book, is_owned_here, limiter, now_ms);
    }
    limiter->reached_hash = reached_hash;
}

/**
 * Fills the buckets once if all daemons were restarted: soon after the start, most of the known
 * daemons are alive and none started earlier. The caller holds the lock.
 */
static void fill_after_full_restart(hs_tenant_limiter *limiter, const owner_lookup *lookup,
                                    uint64_t now_ms) {
    bool is_new = now_ms < limiter->started_ms + LISTED_ALIVE_MS &&
                  g_atomic_int_get(&limiter->is_member_list_read) != 0;
    if (limiter->is_filled || !is_new || lookup->started_earlier > 0 ||
        2 * lookup->alive < lookup->reach.known)
        return;
    limiter->is_filled = true;
    hs_limit_book_fill(limiter->book, now_ms);
    hs_log_info("limits_begin_anew", "answering=%u known=%u age_ms=%" G_GUINT64_FORMAT,
                lookup->alive, lookup->reach.known, (guint64)(now_ms - limiter->started_ms));
}

/** Stores a daemon's report of a tenant's use. Returns the tenant's slots at all daemons. */
static double put_use(hs_tenant_limiter *limiter, const hs_tenant_use_report *report) {
    uint64_t now_ms = hs_clock_monotonic_ms();
    g_mutex_lock(&limiter->lock);
    hs_tenant_uses_put_report(limiter->uses, report, now_ms);
    double slots = hs_tenant_uses_slots(limiter->uses, report->tenant, now_ms);
    g_mutex_unlock(&limiter->lock);
    return slots;
}

double hs_tenant_limiter_note_own_use(hs_tenant_limiter *limiter, const char *tenant,
                                      uint64_t used_ms) {
    hs_tenant_use_report report = {
        .tenant = tenant, .daemon = OWN_USE, .used_ms = hs_tenant_use_encode_count(used_ms)};
    return put_use(limiter, &report);
}

/** Decides at this daemon, as limit owner or by its allowance. */
static hs_limit_verdict check_limit(hs_tenant_limiter *limiter, const hs_limit_request *request,
                                    uint64_t reached_hash) {
    uint64_t now_ms = hs_clock_monotonic_ms();
    g_mutex_lock(&limiter->lock);
    discard_stale_buckets(limiter, reached_hash, now_ms);
    hs_limit_verdict verdict = hs_limit_book_check(limiter->book, request, now_ms);
    g_mutex_unlock(&limiter->lock);
    return verdict;
}

/** Query to a tenant's limit owner. */
typedef struct {
    hs_tenant_limiter *limiter;
    const owner_lookup *owner;
    const hs_limit_request *request;
    uint64_t used_ms; /**< Slot time of this daemon's requests. */
} owner_query;

static void send_query(uint64_t sequence, void *user_data) {
    const owner_query *query = user_data;
    const hs_limit_request *request = query->request;
    Hs__TenantAsk body = HS__TENANT_ASK__INIT;
    body.sequence = sequence;
    body.tenant = (char *)request->tenant;
    body.rate_per_s = request->limit.rate_per_s;
    body.capacity = request->limit.capacity;
    body.config_version = request->version;
    body.used_ms = hs_tenant_use_encode_count(query->used_ms);
    Hs__PeerMessage message = HS__PEER_MESSAGE__INIT;
    message.kind_case = HS__PEER_MESSAGE__KIND_TENANT_ASK;
    message.tenant_ask = &body;
    hs_membership_service_send(query->limiter->membership, query->owner->address,
                               query->owner->port, &message);
}

static bool is_unresponsive(hs_tenant_limiter *limiter, const char *owner) {
    g_mutex_lock(&limiter->lock);
    bool unresponsive = hs_clock_monotonic_ms() < limiter->unresponsive_until_ms &&
                        strcmp(limiter->unresponsive_owner, owner) == 0;
    g_mutex_unlock(&limiter->lock);
    return unresponsive;
}

static void note_no_response(hs_tenant_limiter *limiter, const char *owner) {
    g_mutex_lock(&limiter->lock);
    limiter->unresponsive_until_ms = hs_clock_monotonic_ms() + UNRESPONSIVE_MS;
    g_strlcpy(limiter->unresponsive_owner, owner, sizeof limiter->unresponsive_owner);
    g_mutex_unlock(&limiter->lock);
}

/** Removes the tenant's bucket at this daemon, as the limit owner responded. */
static void remove_bucket(hs_tenant_limiter *limiter, const char *tenant) {
    g_mutex_lock(&limiter->lock);
    hs_limit_book_remove(limiter->book, tenant);
    g_mutex_unlock(&limiter->lock);
}

/** Sends a query to the limit owner. Returns false if no response arrives. */
static bool query_owner(hs_tenant_limiter *limiter, const owner_lookup *owner,
                        const hs_limit_request *request, uint64_t used_ms,
                        hs_limit_verdict *verdict) {
    owner_query query = {
        .limiter = limiter, .owner = owner, .request = request, .used_ms = used_ms};
    if (is_unresponsive(limiter, owner->id))
        return false;
    bool is_answered = hs_peer_queries_run(limiter->queries, send_query, &query, verdict);
    if (is_answered)
        remove_bucket(limiter, request->tenant);
    else
        note_no_response(limiter, owner->id);
    return is_answered;
}

static void count_decision(hs_tenant_limiter *limiter, bool is_admitted, hs_limit_decider decider) {
    g_mutex_lock(&limiter->lock);
    limiter->counters.admitted += is_admitted;
    limiter->counters.refused += !is_admitted;
    limiter->counters.by_allowance += decider == HS_LIMIT_BY_ALLOWANCE;
    g_mutex_unlock(&limiter->lock);
}

hs_limit_verdict hs_tenant_limiter_check(hs_tenant_limiter *limiter,
                                         const hs_limited_tenant *tenant,
                                         hs_limit_decider *decider) {
    owner_lookup owner = look_up_owner(limiter, tenant->name);
    hs_limit_request request = {
        .tenant = tenant->name,
        .limit = {.rate_per_s = tenant->rate_per_s, .capacity = tenant->burst + limiter->tolerance},
        .version = tenant->version,
        .reach = owner.reach};
    hs_limit_verdict verdict = {0};
    double own_slots = hs_tenant_limiter_note_own_use(limiter, tenant->name, tenant->used_ms);
    if (owner.reach.is_limit_owner) {
        *decider = HS_LIMIT_BY_SELF;
        verdict = check_limit(limiter, &request, owner.reached_hash);
    } else if (query_owner(limiter, &owner, &request, tenant->used_ms, &verdict)) {
        *decider = HS_LIMIT_BY_OWNER;
    } else {
        *decider = HS_LIMIT_BY_ALLOWANCE;
        verdict = check_limit(limiter, &request, owner.reached_hash);
    }
    if (verdict.used_slots == 0)
        verdict.used_slots = own_slots;
    count_decision(limiter, verdict.passes, *decider);
    return verdict;
}

static void handle_query(hs_tenant_limiter *limiter, const Hs__PeerMessage *message,
                         const struct sockaddr_in *from) {
    const Hs__TenantAsk *query = message->tenant_ask;
    hs_tenant_use_report report = {.tenant = query->tenant,
                                   .daemon = message->sender_id,
                                   .incarnation = message->sender_incarnation,
                                   .used_ms = query->used_ms};
    owner_lookup own = look_up_owner(limiter, query->tenant);
    hs_limit_request request = {
        .tenant = query->tenant,
        .limit = {.rate_per_s = query->rate_per_s, .capacity = query->capacity},
        .version = query->config_version,
        .reach = own.reach};
    hs_limit_verdict verdict = check_limit(limiter, &request, own.reached_hash);
    Hs__TenantVerdict reply = HS__TENANT_VERDICT__INIT;
    reply.sequence = query->sequence;
    reply.passes = verdict.passes;
    reply.return_ms = (uint32_t)verdict.retry_after_ms;
    reply.part = verdict.allowance;
    reply.used_slots_permille = hs_tenant_use_encode_slots(put_use(limiter, &report));
    Hs__PeerMessage answer = HS__PEER_MESSAGE__INIT;
    answer.kind_case = HS__PEER_MESSAGE__KIND_TENANT_VERDICT;
    answer.tenant_verdict = &reply;
    hs_membership_service_reply(limiter->membership, from, &answer);
}

static void handle_verdict(hs_tenant_limiter *limiter, const Hs__TenantVerdict *body) {
    hs_limit_verdict verdict = {.passes = body->passes,
                                .retry_after_ms = body->return_ms,
                                .allowance = body->part,
                                .used_slots =
                                    hs_tenant_use_decode_slots(body->used_slots_permille)};
    hs_peer_queries_complete(limiter->queries, body->sequence, &verdict);
}

bool hs_tenant_limiter_handle(hs_tenant_limiter *limiter, const Hs__PeerMessage *message,
                              const struct sockaddr_in *from) {
    switch (message->kind_case) {
    case HS__PEER_MESSAGE__KIND_TENANT_ASK:
        handle_query(limiter, message, from);
        return true;
    case HS__PEER_MESSAGE__KIND_TENANT_VERDICT:
        handle_verdict(limiter, message->tenant_verdict);
        return true;
    default:
        return false;
    }
}

void hs_tenant_limiter_note_members_listed(hs_tenant_limiter *limiter) {
    g_atomic_int_set(&limiter->is_member_list_read, 1);
}

void hs_tenant_limiter_tick(hs_tenant_limiter *limiter) {
    uint64_t now_ms = hs_clock_monotonic_ms();
    owner_lookup lookup = look_up_owner(limiter, "");
    g_mutex_lock(&limiter->lock);
    discard_stale_buckets(limiter, lookup.reached_hash, now_ms);
    fill_after_full_restart(limiter, &lookup, now_ms);
    limiter->last_tick_ms = now_ms;
    if (now_ms >= limiter->last_expiry_ms + EXPIRE_INTERVAL_MS) {
        limiter->last_expiry_ms = now_ms;
        hs_limit_book_expire(limiter->book, now_ms);
        hs_tenant_uses_expire(limiter->uses, now_ms);
    }
    g_mutex_unlock(&limiter->lock);
}

hs_tenant_limiter_counters hs_tenant_limiter_get_counters(hs_tenant_limiter *limiter) {
    g_mutex_lock(&limiter->lock);
    hs_tenant_limiter_counters counters = limiter->counters;
    counters.tenants = hs_limit_book_size(limiter->book);
    g_mutex_unlock(&limiter->lock);
    return counters;
}

char *hs_tenant_limiter_describe_slot_use(hs_tenant_limiter *limiter) {
    hs_tenant_slot_use shares[MAX_LISTED_TENANTS];
    double rest = 0;
    GString *text = g_string_new(NULL);
    g_mutex_lock(&limiter->lock);
    size_t count = hs_tenant_uses_top(limiter->uses, shares, MAX_LISTED_TENANTS, &rest,
                                      hs_clock_monotonic_ms());
    for (size_t index = 0; index < count; index++)
        g_string_append_printf(text, "heathsail_tenant_used_slots{tenant=\"%s\"} %.2f\n",
                               shares[index].tenant, shares[index].slots);
    g_mutex_unlock(&limiter->lock);
    g_string_append_printf(text, "heathsail_tenant_used_slots_others %.2f\n", rest);
    return g_string_free(text, FALSE);
}

const char *hs_limit_decider_name(hs_limit_decider decider) {
    static const char *const names[] = {[HS_LIMIT_BY_SELF] = "self",
                                        [HS_LIMIT_BY_OWNER] = "home",
                                        [HS_LIMIT_BY_ALLOWANCE] = "own_part"};
    return names[decider];
}
