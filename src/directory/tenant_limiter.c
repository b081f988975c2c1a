/** @file tenant_limiter.c  See tenant_limiter.h. */
#include "directory/tenant_limiter.h"

#include "base/clock.h"
#include "base/hash.h"
#include "base/log.h"
#include "base/wake_watch.h"
#include "directory/daemon_directory.h"
#include "directory/peer_questions.h"
#include "tenants/tenant_use.h"

#include <string.h>

/** A home that was silent for all tries is not waited for again for so long, in ms: half of the
 * time in which its end is noticed. */
#define SILENT_FOR_MS 300
/** Buckets are looked through for full ones this often, in ms. */
#define EXPIRE_MS 2000
/**
 * Daemons that were proposed and have not answered yet count for so long after the start, in ms:
 * until then others are found one after the other, and each would take the few it knows for all.
 */
#define SETTLING_MS 10000
/**
 * So long after the start, in ms, one that the store lists is taken to live before it answered:
 * daemons that start together know the same home at once. Without it a limited tenant is refused
 * nearly all for a second after all daemons were lost.
 */
#define LISTED_LIVE_MS 3000
/** Daemons whose starts differ by no more than this, in ms, started together: the clocks of their
 * machines are compared. */
#define TOGETHER_MS 3000
/** Taken for the number of daemons until the store or others told of them: as many as the largest
 * deployment of some tens of engines has. */
#define ASSUMED_DAEMONS 64
/** Name of this daemon in its account of use; the others have their ids. */
#define SELF ""
/** Tenants that metrics name: those that ask for most. */
#define SHARES_NAMED 10

struct hs_tenant_limiter {
    hs_membership_service *membership;
    double tolerance;
    uint64_t started_ms;
    hs_peer_questions *questions; /**< Answers: hs_limit_verdict. */
    gint knows_others;            /**< The store's list of daemons was read. */
    GMutex lock;                  /**< Guards what follows. */
    hs_limit_book *book;
    hs_tenant_uses *uses; /**< What this daemon did, and others told it as the home. */
    uint64_t view;        /**< Hash of the daemons that were reached at the last look. */
    uint64_t ticked_ms;
    uint64_t expired_ms;
    char silent_home[64];
    uint64_t silent_until_ms;
    bool is_filled; /**< Its buckets were filled, since all started together. */
    hs_tenant_limiter_counters counters;
};

/** The home of a tenant, and this daemon's place. */
typedef struct {
    char id[64];
    uint32_t address;
    uint16_t port;
    hs_limit_reachability reach; /**< Of this daemon. */
    uint64_t view;
    uint32_t answering; /**< Other daemons that answer, */
    uint32_t older;     /**< and that started clearly before this one. */
} home_view;

hs_tenant_limiter *hs_tenant_limiter_new(hs_membership_service *membership, double tolerance) {
    hs_tenant_limiter *limiter = g_new0(hs_tenant_limiter, 1);
    limiter->membership = membership;
    limiter->tolerance = tolerance;
    limiter->started_ms = hs_clock_monotonic_ms();
    limiter->ticked_ms = limiter->started_ms;
    limiter->book = hs_limit_book_new(limiter->started_ms);
    limiter->uses = hs_tenant_uses_new();
    limiter->questions = hs_peer_questions_new(sizeof(hs_limit_verdict));
    g_mutex_init(&limiter->lock);
    return limiter;
}

void hs_tenant_limiter_free(hs_tenant_limiter *limiter) {
    if (limiter == NULL)
        return;
    hs_limit_book_free(limiter->book);
    hs_tenant_uses_free(limiter->uses);
    hs_peer_questions_free(limiter->questions);
    g_mutex_clear(&limiter->lock);
    g_free(limiter);
}

/** What is counted of members, by how long ago this daemon started. */
typedef struct {
    bool counts_proposed;
    bool trusts_list;
} look_terms;

/** Whether a member that does not answer may live all the same, and let requests pass. */
static bool may_live(const hs_member *member, const look_terms *terms) {
    if (member->state == HS_MEMBER_PROPOSED)
        return terms->counts_proposed && !hs_daemon_is_seed(member->id);
    return member->state != HS_MEMBER_LEAVING;
}

/** Whether a member is taken to answer. */
static bool is_reached(const hs_member *member, const look_terms *terms) {
    bool is_listed = member->state == HS_MEMBER_PROPOSED && !hs_daemon_is_seed(member->id);
    return member->state == HS_MEMBER_ALIVE || (terms->trusts_list && is_listed);
}

/** Look at the members for @p tenant. */
static home_view look(hs_tenant_limiter *limiter, const char *tenant) {
    home_view view = {0};
    uint64_t best = 0;
    uint64_t age_ms = hs_clock_monotonic_ms() - limiter->started_ms;
    bool knows_list = g_atomic_int_get(&limiter->knows_others) != 0;
    look_terms terms = {.counts_proposed = age_ms < SETTLING_MS,
                        .trusts_list = knows_list && age_ms < LISTED_LIVE_MS};
    g_autoptr(GPtrArray) members = g_ptr_array_new();
    const hs_membership *membership = hs_membership_service_lock(limiter->membership);
    hs_membership_list(membership, members);
    uint64_t own_start = hs_membership_self(membership)->incarnation;
    for (guint index = 0; index < members->len; index++) {
        const hs_member *member = members->pdata[index];
        bool is_self = member == hs_membership_self(membership);
        view.reach.known += is_self || may_live(member, &terms);
        if (!is_self && !is_reached(member, &terms))
            continue;
        view.reach.reached++;
        view.answering += !is_self && member->state == HS_MEMBER_ALIVE;
        view.older += !is_self && member->state == HS_MEMBER_ALIVE &&
                      member->incarnation + TOGETHER_MS < own_start;
        view.view += hs_hash_bytes(member->id, strlen(member->id));
        uint64_t rank = hs_hash_pair(tenant, member->id);
        if (rank < best)
            continue;
        best = rank;
        view.reach.is_limit_owner = is_self;
        view.address = member->address;
        view.port = member->peer_port;
        g_strlcpy(view.id, member->id, sizeof view.id);
    }
    hs_membership_service_unlock(limiter->membership);
    if (terms.counts_proposed && !knows_list)
        view.reach.known = MAX(view.reach.known, ASSUMED_DAEMONS);
    return view;
}

static bool is_limit_owner(const char *tenant, void *user_data) {
    return look(user_data, tenant).reach.is_limit_owner;
}

static bool is_nobodys(const char *tenant, void *user_data) {
    (void)tenant;
    (void)user_data;
    return false;
}

/**
 * Before each decision: forget what may no longer be true. A process that stood still does not know
 * what other homes let pass meanwhile. The caller holds the lock.
 */
static void forget_stale(hs_tenant_limiter *limiter, uint64_t view, uint64_t now_ms) {
    if (now_ms > limiter->ticked_ms + HS_STOOD_STILL_LEAST_MS) {
        limiter->ticked_ms = now_ms;
        hs_limit_book_note_reach_change(limiter->book, is_nobodys, NULL, now_ms);
    } else if (view != limiter->view) {
        hs_limit_book_note_reach_change(limiter->book, is_limit_owner, limiter, now_ms);
    }
    limiter->view = view;
}

/**
 * Soon after the start: where most of the daemons that are known answer, and none of them is older,
 * all were lost before. The caller holds the lock.
 */
static void fill_if_all_are_new(hs_tenant_limiter *limiter, const home_view *view,
                                uint64_t now_ms) {
    bool is_new = now_ms < limiter->started_ms + LISTED_LIVE_MS &&
                  g_atomic_int_get(&limiter->knows_others) != 0;
    if (limiter->is_filled || !is_new || view->older > 0 || 2 * view->answering < view->reach.known)
        return;
    limiter->is_filled = true;
    hs_limit_book_fill(limiter->book, now_ms);
    hs_log_info("limits_begin_anew", "answering=%u known=%u age_ms=%" G_GUINT64_FORMAT,
                view->answering, view->reach.known, (guint64)(now_ms - limiter->started_ms));
}

/** Note what a daemon told of a tenant's use; answers the slots of all daemons together. */
static double note_use(hs_tenant_limiter *limiter, const hs_tenant_use_report *word) {
    uint64_t now_ms = hs_clock_monotonic_ms();
    g_mutex_lock(&limiter->lock);
    hs_tenant_uses_put_report(limiter->uses, word, now_ms);
    double slots = hs_tenant_uses_slots(limiter->uses, word->tenant, now_ms);
    g_mutex_unlock(&limiter->lock);
    return slots;
}

double hs_tenant_limiter_note_own_use(hs_tenant_limiter *limiter, const char *tenant,
                                      uint64_t used_ms) {
    hs_tenant_use_report word = {
        .tenant = tenant, .daemon = SELF, .used_ms = hs_tenant_use_encode_count(used_ms)};
    return note_use(limiter, &word);
}

/** Decide here, as the home or by this daemon's part. */
static hs_limit_verdict decide(hs_tenant_limiter *limiter, const hs_limit_request *question,
                               uint64_t view) {
    uint64_t now_ms = hs_clock_monotonic_ms();
    g_mutex_lock(&limiter->lock);
    forget_stale(limiter, view, now_ms);
    hs_limit_verdict verdict = hs_limit_book_check(limiter->book, question, now_ms);
    g_mutex_unlock(&limiter->lock);
    return verdict;
}

/** A question on its way to a tenant's home. */
typedef struct {
    hs_tenant_limiter *limiter;
    const home_view *home;
    const hs_limit_request *question;
    uint64_t used_ms; /**< Of slots, by this daemon's requests. */
} home_question;

static void send_ask(uint64_t sequence, void *user_data) {
    const home_question *asked = user_data;
    const hs_limit_request *question = asked->question;
    Hs__TenantAsk ask = HS__TENANT_ASK__INIT;
    ask.sequence = sequence;
    ask.tenant = (char *)question->tenant;
    ask.rate_per_s = question->limit.rate_per_s;
    ask.capacity = question->limit.capacity;
    ask.config_version = question->version;
    ask.used_ms = hs_tenant_use_encode_count(asked->used_ms);
    Hs__PeerMessage message = HS__PEER_MESSAGE__INIT;
    message.kind_case = HS__PEER_MESSAGE__KIND_TENANT_ASK;
    message.tenant_ask = &ask;
    hs_membership_service_send(asked->limiter->membership, asked->home->address, asked->home->port,
                               &message);
}

static bool is_silent(hs_tenant_limiter *limiter, const char *home) {
    g_mutex_lock(&limiter->lock);
    bool silent = hs_clock_monotonic_ms() < limiter->silent_until_ms &&
                  strcmp(limiter->silent_home, home) == 0;
    g_mutex_unlock(&limiter->lock);
    return silent;
}

static void note_silence(hs_tenant_limiter *limiter, const char *home) {
    g_mutex_lock(&limiter->lock);
    limiter->silent_until_ms = hs_clock_monotonic_ms() + SILENT_FOR_MS;
    g_strlcpy(limiter->silent_home, home, sizeof limiter->silent_home);
    g_mutex_unlock(&limiter->lock);
}

/** The home answered: this daemon decides nothing of the tenant. */
static void forget(hs_tenant_limiter *limiter, const char *tenant) {
    g_mutex_lock(&limiter->lock);
    hs_limit_book_remove(limiter->book, tenant);
    g_mutex_unlock(&limiter->lock);
}

/** Ask the home; false: it did not answer. */
static bool ask_home(hs_tenant_limiter *limiter, const home_view *home,
                     const hs_limit_request *question, uint64_t used_ms,
                     hs_limit_verdict *verdict) {
    home_question asked = {
        .limiter = limiter, .home = home, .question = question, .used_ms = used_ms};
    if (is_silent(limiter, home->id))
        return false;
    bool is_told = hs_peer_questions_ask(limiter->questions, send_ask, &asked, verdict);
    if (is_told)
        forget(limiter, question->tenant);
    else
        note_silence(limiter, home->id);
    return is_told;
}

static void count(hs_tenant_limiter *limiter, bool passes, hs_limit_decider decider) {
    g_mutex_lock(&limiter->lock);
    limiter->counters.passed += passes;
    limiter->counters.refused += !passes;
    limiter->counters.by_part += decider == HS_LIMIT_BY_PART;
    g_mutex_unlock(&limiter->lock);
}

hs_limit_verdict hs_tenant_limiter_ask(hs_tenant_limiter *limiter, const hs_limited_tenant *tenant,
                                       hs_limit_decider *decider) {
    home_view home = look(limiter, tenant->name);
    hs_limit_request question = {
        .tenant = tenant->name,
        .limit = {.rate_per_s = tenant->rate_per_s, .capacity = tenant->burst + limiter->tolerance},
        .version = tenant->version,
        .reach = home.reach};
    hs_limit_verdict verdict = {0};
    double own_slots = hs_tenant_limiter_note_own_use(limiter, tenant->name, tenant->used_ms);
    if (home.reach.is_limit_owner) {
        *decider = HS_LIMIT_BY_SELF;
        verdict = decide(limiter, &question, home.view);
    } else if (ask_home(limiter, &home, &question, tenant->used_ms, &verdict)) {
        *decider = HS_LIMIT_BY_HOME;
    } else {
        *decider = HS_LIMIT_BY_PART;
        verdict = decide(limiter, &question, home.view);
    }
    if (verdict.used_slots == 0)
        verdict.used_slots = own_slots;
    count(limiter, verdict.passes, *decider);
    return verdict;
}

static void answer_ask(hs_tenant_limiter *limiter, const Hs__PeerMessage *asked,
                       const struct sockaddr_in *from) {
    const Hs__TenantAsk *ask = asked->tenant_ask;
    hs_tenant_use_report word = {.tenant = ask->tenant,
                                 .daemon = asked->sender_id,
                                 .incarnation = asked->sender_incarnation,
                                 .used_ms = ask->used_ms};
    home_view own = look(limiter, ask->tenant);
    hs_limit_request question = {
        .tenant = ask->tenant,
        .limit = {.rate_per_s = ask->rate_per_s, .capacity = ask->capacity},
        .version = ask->config_version,
        .reach = own.reach};
    hs_limit_verdict verdict = decide(limiter, &question, own.view);
    Hs__TenantVerdict body = HS__TENANT_VERDICT__INIT;
    body.sequence = ask->sequence;
    body.passes = verdict.passes;
    body.return_ms = (uint32_t)verdict.return_ms;
    body.part = verdict.part;
    body.used_slots_permille = hs_tenant_use_encode_slots(note_use(limiter, &word));
    Hs__PeerMessage message = HS__PEER_MESSAGE__INIT;
    message.kind_case = HS__PEER_MESSAGE__KIND_TENANT_VERDICT;
    message.tenant_verdict = &body;
    hs_membership_service_reply(limiter->membership, from, &message);
}

static void take_verdict(hs_tenant_limiter *limiter, const Hs__TenantVerdict *told) {
    hs_limit_verdict verdict = {.passes = told->passes,
                                .return_ms = told->return_ms,
                                .part = told->part,
                                .used_slots =
                                    hs_tenant_use_decode_slots(told->used_slots_permille)};
    hs_peer_questions_answer(limiter->questions, told->sequence, &verdict);
}

bool hs_tenant_limiter_handle(hs_tenant_limiter *limiter, const Hs__PeerMessage *message,
                              const struct sockaddr_in *from) {
    switch (message->kind_case) {
    case HS__PEER_MESSAGE__KIND_TENANT_ASK:
        answer_ask(limiter, message, from);
        return true;
    case HS__PEER_MESSAGE__KIND_TENANT_VERDICT:
        take_verdict(limiter, message->tenant_verdict);
        return true;
    default:
        return false;
    }
}

void hs_tenant_limiter_note_known(hs_tenant_limiter *limiter) {
    g_atomic_int_set(&limiter->knows_others, 1);
}

void hs_tenant_limiter_tick(hs_tenant_limiter *limiter) {
    uint64_t now_ms = hs_clock_monotonic_ms();
    home_view view = look(limiter, "");
    g_mutex_lock(&limiter->lock);
    forget_stale(limiter, view.view, now_ms);
    fill_if_all_are_new(limiter, &view, now_ms);
    limiter->ticked_ms = now_ms;
    if (now_ms >= limiter->expired_ms + EXPIRE_MS) {
        limiter->expired_ms = now_ms;
        hs_limit_book_expire(limiter->book, now_ms);
        hs_tenant_uses_expire(limiter->uses, now_ms);
    }
    g_mutex_unlock(&limiter->lock);
}

hs_tenant_limiter_counters hs_tenant_limiter_count(hs_tenant_limiter *limiter) {
    g_mutex_lock(&limiter->lock);
    hs_tenant_limiter_counters counters = limiter->counters;
    counters.tenants = hs_limit_book_size(limiter->book);
    g_mutex_unlock(&limiter->lock);
    return counters;
}

char *hs_tenant_limiter_describe_shares(hs_tenant_limiter *limiter) {
    hs_tenant_slot_use shares[SHARES_NAMED];
    double rest = 0;
    GString *text = g_string_new(NULL);
    g_mutex_lock(&limiter->lock);
    size_t count =
        hs_tenant_uses_top(limiter->uses, shares, SHARES_NAMED, &rest, hs_clock_monotonic_ms());
    for (size_t index = 0; index < count; index++)
        g_string_append_printf(text, "heathsail_tenant_used_slots{tenant=\"%s\"} %.2f\n",
                               shares[index].tenant, shares[index].slots);
    g_mutex_unlock(&limiter->lock);
    g_string_append_printf(text, "heathsail_tenant_used_slots_others %.2f\n", rest);
    return g_string_free(text, FALSE);
}

const char *hs_limit_decider_name(hs_limit_decider decider) {
    static const char *const names[] = {
        [HS_LIMIT_BY_SELF] = "self", [HS_LIMIT_BY_HOME] = "home", [HS_LIMIT_BY_PART] = "own_part"};
    return names[decider];
}
