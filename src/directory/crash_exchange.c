/** @file crash_exchange.c  See crash_exchange.h. */
#include "directory/crash_exchange.h"

#include "base/clock.h"
#include "base/hash.h"
#include "directory/crash_codec.h"
#include "directory/daemon_directory.h"
#include "directory/peer_questions.h"
#include "directory/trial_deciders.h"

#include <string.h>

/**
 * Maximum number of daemons that new evidence is sent to. In a larger fleet, each recipient relays
 * it to as many others chosen at random, so that a few rounds reach nearly all daemons. Digests
 * reach the rest.
 */
#define MAX_RECIPIENTS 16
/** Maximum number of contents in a report, at about 200 bytes each, so that it fits a datagram. */
#define MAX_REPORT_EVIDENCE 64
/** Maximum number of answers to digests in one window. An answer may have 13 kB, and many digests
 * differ while new evidence spreads. */
#define MAX_DIGEST_ANSWERS 4
/** Length of that window in ms: the interval of the load reports, with which digests are sent. */
#define DIGEST_ANSWER_WINDOW_MS 240
/** Maximum number of daemons queried for one trial run, while some refuse as earlier versions do.
 * The next request skips those and queries others. */
#define MAX_DECIDERS_QUERIED 8
/** Interval in ms at which the ledger is evaluated, as quarantines and records expire. */
#define REFRESH_INTERVAL_MS 1000

struct hs_crash_exchange {
    hs_peer_queries *trial_queries; /**< Answers: hs_trial_verdict. */
    hs_crash_watch *watch;
    hs_membership_service *membership;
    GMutex lock; /**< Guards deciders, answer_count and answer_window_start_ms. */
    hs_trial_deciders *deciders;
    uint32_t answer_count;
    uint64_t answer_window_start_ms;
    uint64_t next_refresh_ms; /**< Used by the ticker's thread only. */
};

/** A report to be sent, in one block of memory. */
typedef struct {
    Hs__PeerMessage message;
    Hs__CrashReport report;
    hs_crash_message evidence[MAX_REPORT_EVIDENCE];
    Hs__CrashEvidence *evidence_list[MAX_REPORT_EVIDENCE];
} outgoing_report;

/** A query to be sent to a decider. */
typedef struct {
    hs_crash_exchange *exchange;
    const hs_trial_query *query;
    hs_daemon_address to;
} outgoing_trial_query;

static void send_trial_query(uint64_t sequence, void *user_data) {
    const outgoing_trial_query *outgoing = user_data;
    Hs__TrialAsk body = HS__TRIAL_ASK__INIT;
    hs_crash_message evidence;
    hs_crash_codec_write(outgoing->query->evidence, hs_clock_monotonic_ms(), &evidence);
    body.sequence = sequence;
    body.content = outgoing->query->evidence->content;
    body.is_accepted = outgoing->query->is_accepted;
    body.evidence = &evidence.message;
    Hs__PeerMessage message = HS__PEER_MESSAGE__INIT;
    message.kind_case = HS__PEER_MESSAGE__KIND_TRIAL_ASK;
    message.trial_ask = &body;
    hs_membership_service_send(outgoing->exchange->membership, outgoing->to.address,
                               outgoing->to.port, &message);
}

/** Returns a hash of the daemon's id and incarnation. */
static uint64_t hash_incarnation(const hs_member *member) {
    uint64_t pair[2] = {hs_hash_bytes(member->id, strlen(member->id)), member->incarnation};
    return hs_hash_bytes(pair, sizeof pair);
}

typedef struct {
    bool is_self;
    uint64_t incarnation_hash;
    hs_daemon_address address;
} decider;

/** Returns whether another daemon is to be queried; see trial_deciders.h. */
static bool is_skipped(hs_crash_exchange *exchange, const hs_trial_query *query,
                       const hs_member *member) {
    g_mutex_lock(&exchange->lock);
    bool is_skipped_decider =
        query->is_accepted &&
        hs_trial_deciders_is_skipped(exchange->deciders, hash_incarnation(member),
                                     hs_clock_monotonic_ms());
    g_mutex_unlock(&exchange->lock);
    return is_skipped_decider;
}

/**
 * Returns the first daemon, in order of rank for this content, that is not skipped. The rank
 * depends on the content's trial engine, so that contents lost with the same engines have the same
 * decider, which knows all their trial runs and lets them run one at a time.
 */
static decider find_decider(hs_crash_exchange *exchange, const hs_trial_query *query) {
    g_autofree char *key =
        g_strdup_printf("trial-%" G_GINT64_MODIFIER "x", (guint64)query->trial_engine);
    const hs_membership *membership = hs_membership_service_lock(exchange->membership);
    const hs_member *self = hs_membership_self(membership);
    const hs_member *member = hs_membership_rank_next(membership, key, NULL);
    while (member != NULL && member != self && is_skipped(exchange, query, member))
        member = hs_membership_rank_next(membership, key, member);
    decider found = {.is_self = member == NULL || member == self};
    if (!found.is_self) {
        found.incarnation_hash = hash_incarnation(member);
        found.address = (hs_daemon_address){.address = member->address, .port = member->peer_port};
    }
    hs_membership_service_unlock(exchange->membership);
    return found;
}

/** Records how a daemon responded to a query for accepted work. */
static void record_verdict(hs_crash_exchange *exchange, uint64_t incarnation_hash,
                           hs_trial_verdict verdict) {
    g_mutex_lock(&exchange->lock);
    hs_trial_deciders_note_verdict(exchange->deciders, incarnation_hash, verdict,
                                   hs_clock_monotonic_ms());
    g_mutex_unlock(&exchange->lock);
}

/** Queries the decider. Without its response no trial run is granted, since it may have granted one
 * to another daemon. */
static hs_trial_verdict query_decider(const hs_trial_query *query, void *user_data) {
    hs_crash_exchange *exchange = user_data;
    hs_trial_verdict verdict = HS_TRIAL_NO_REASON;
    bool is_final = false;
    for (int attempt = 0; attempt < MAX_DECIDERS_QUERIED && !is_final; attempt++) {
        decider chosen = find_decider(exchange, query);
        if (chosen.is_self)
            return hs_crash_watch_decide_trial(exchange->watch, query, "self");
        outgoing_trial_query outgoing = {
            .exchange = exchange, .query = query, .to = chosen.address};
        if (!hs_peer_queries_run(exchange->trial_queries, send_trial_query, &outgoing, &verdict))
            verdict = HS_TRIAL_UNANSWERED;
        if (query->is_accepted)
            record_verdict(exchange, chosen.incarnation_hash, verdict);
        is_final = !query->is_accepted || !hs_trial_deciders_is_earlier_refusal(verdict);
    }
    return verdict;
}

/** Sent once: if the message is lost, the trial run counts. */
static void return_trial(const hs_trial_query *query, void *user_data) {
    hs_crash_exchange *exchange = user_data;
    decider chosen = find_decider(exchange, query);
    if (chosen.is_self) {
        hs_crash_watch_take_returned_trial(exchange->watch, query->evidence->content);
        return;
    }
    Hs__TrialReturn body = HS__TRIAL_RETURN__INIT;
    body.content = query->evidence->content;
    Hs__PeerMessage message = HS__PEER_MESSAGE__INIT;
    message.kind_case = HS__PEER_MESSAGE__KIND_TRIAL_RETURN;
    message.trial_return = &body;
    hs_membership_service_send(exchange->membership, chosen.address.address, chosen.address.port,
                               &message);
}

/** Returns the evidence sent with a query. Earlier versions send none. */
static hs_crash_evidence read_query_evidence(const Hs__TrialAsk *body) {
    if (body->evidence == NULL || body->evidence->content != body->content)
        return (hs_crash_evidence){.content = body->content};
    return hs_crash_codec_read(body->evidence, hs_clock_monotonic_ms());
}

static void answer_trial_query(hs_crash_exchange *exchange, const Hs__PeerMessage *request,
                               const struct sockaddr_in *from) {
    const Hs__TrialAsk *body = request->trial_ask;
    hs_crash_evidence evidence = read_query_evidence(body);
    hs_trial_query query = {.evidence = &evidence, .is_accepted = body->is_accepted};
    hs_trial_verdict decided =
        hs_crash_watch_decide_trial(exchange->watch, &query, request->sender_id);
    Hs__TrialVerdict verdict = HS__TRIAL_VERDICT__INIT;
    verdict.sequence = body->sequence;
    verdict.may_run = decided == HS_TRIAL_GRANTED;
    verdict.reason = decided;
    Hs__PeerMessage message = HS__PEER_MESSAGE__INIT;
    message.kind_case = HS__PEER_MESSAGE__KIND_TRIAL_VERDICT;
    message.trial_verdict = &verdict;
    hs_membership_service_reply(exchange->membership, from, &message);
}

/** Reads a verdict. A reason of a later version is read as HS_TRIAL_UNKNOWN. */
static hs_trial_verdict read_verdict(const Hs__TrialVerdict *verdict) {
    if (verdict->may_run)
        return HS_TRIAL_GRANTED;
    bool is_reason = verdict->reason > HS_TRIAL_GRANTED && verdict->reason <= HS_TRIAL_NO_DECIDER;
    if (verdict->reason == HS_TRIAL_NO_REASON || is_reason)
        return verdict->reason;
    return HS_TRIAL_UNKNOWN;
}

hs_crash_exchange *hs_crash_exchange_new(hs_crash_watch *watch, hs_membership_service *membership) {
    hs_crash_exchange *exchange = g_new0(hs_crash_exchange, 1);
    exchange->trial_queries = hs_peer_queries_new(sizeof(hs_trial_verdict));
    hs_crash_watch_set_trial_calls(watch, &(hs_trial_calls){.query_trial = query_decider,
                                                            .return_trial = return_trial,
                                                            .user_data = exchange});
    exchange->watch = watch;
    exchange->membership = membership;
    g_mutex_init(&exchange->lock);
    exchange->deciders = hs_trial_deciders_new();
    return exchange;
}

void hs_crash_exchange_free(hs_crash_exchange *exchange) {
    if (exchange == NULL)
        return;
    hs_crash_watch_set_trial_calls(exchange->watch, &(hs_trial_calls){0});
    hs_peer_queries_free(exchange->trial_queries);
    hs_trial_deciders_free(exchange->deciders);
    g_mutex_clear(&exchange->lock);
    g_free(exchange);
}

/** Creates a report of up to MAX_REPORT_EVIDENCE entries from index @p first. Free with g_free. */
static outgoing_report *write_report(const GArray *evidence, guint first) {
    outgoing_report *out = g_new(outgoing_report, 1);
    uint64_t now_ms = hs_clock_monotonic_ms();
    hs__peer_message__init(&out->message);
    hs__crash_report__init(&out->report);
    for (guint index = first; index < MIN(evidence->len, first + MAX_REPORT_EVIDENCE); index++) {
        hs_crash_message *entry = &out->evidence[index - first];
        hs_crash_codec_write(&g_array_index(evidence, hs_crash_evidence, index), now_ms, entry);
        out->evidence_list[out->report.n_evidence++] = &entry->message;
    }
    out->report.evidence = out->evidence_list;
    out->message.kind_case = HS__PEER_MESSAGE__KIND_CRASH_REPORT;
    out->message.crash_report = &out->report;
    return out;
}

static void handle_report(hs_crash_exchange *exchange, const Hs__PeerMessage *message) {
    const Hs__CrashReport *report = message->crash_report;
    hs_membership *membership = hs_membership_service_lock(exchange->membership);
    bool is_large = hs_membership_live_count(membership) > MAX_RECIPIENTS + 1;
    hs_membership_service_unlock(exchange->membership);
    hs_crash_evidence_source source = {.daemon = message->sender_id, .must_relay = is_large};
    for (size_t index = 0; index < report->n_evidence; index++) {
        hs_crash_evidence evidence =
            hs_crash_codec_read(report->evidence[index], hs_clock_monotonic_ms());
        hs_crash_watch_merge_evidence(exchange->watch, &evidence, &source);
    }
}

bool hs_crash_exchange_handle(hs_crash_exchange *exchange, const Hs__PeerMessage *message,
                              const struct sockaddr_in *from) {
    hs_trial_verdict verdict = HS_TRIAL_NO_REASON;
    switch (message->kind_case) {
    case HS__PEER_MESSAGE__KIND_CRASH_REPORT:
        handle_report(exchange, message);
        return true;
    case HS__PEER_MESSAGE__KIND_TRIAL_ASK:
        answer_trial_query(exchange, message, from);
        return true;
    case HS__PEER_MESSAGE__KIND_TRIAL_VERDICT:
        verdict = read_verdict(message->trial_verdict);
        hs_peer_queries_complete(exchange->trial_queries, message->trial_verdict->sequence,
                                 &verdict);
        return true;
    case HS__PEER_MESSAGE__KIND_TRIAL_RETURN:
        hs_crash_watch_take_returned_trial(exchange->watch, message->trial_return->content);
        return true;
    default:
        return false;
    }
}

/** Counts one more answer to a digest. Returns false if the window's maximum was reached. */
static bool can_answer(hs_crash_exchange *exchange) {
    uint64_t now_ms = hs_clock_monotonic_ms();
    g_mutex_lock(&exchange->lock);
    if (now_ms >= exchange->answer_window_start_ms + DIGEST_ANSWER_WINDOW_MS) {
        exchange->answer_window_start_ms = now_ms;
        exchange->answer_count = 0;
    }
    bool is_allowed = exchange->answer_count < MAX_DIGEST_ANSWERS;
    exchange->answer_count += is_allowed;
    g_mutex_unlock(&exchange->lock);
    return is_allowed;
}

void hs_crash_exchange_compare(hs_crash_exchange *exchange, uint64_t digest,
                               const struct sockaddr_in *from) {
    if (digest == hs_crash_watch_digest(exchange->watch) || !can_answer(exchange))
        return;
    g_autoptr(GArray) known = hs_crash_watch_list(exchange->watch, MAX_REPORT_EVIDENCE);
    if (known->len == 0)
        return;
    g_autofree outgoing_report *out = write_report(known, 0);
    hs_membership_service_reply(exchange->membership, from, &out->message);
}

void hs_crash_exchange_tick(hs_crash_exchange *exchange, uint64_t now_ms) {
    g_autoptr(GArray) updates = hs_crash_watch_take_updates(exchange->watch);
    for (guint first = 0; first < updates->len; first += MAX_REPORT_EVIDENCE) {
        g_autofree outgoing_report *out = write_report(updates, first);
        hs_membership_service_send_to_random(exchange->membership, MAX_RECIPIENTS, &out->message);
    }
    if (now_ms < exchange->next_refresh_ms)
        return;
    exchange->next_refresh_ms = now_ms + REFRESH_INTERVAL_MS;
    hs_crash_watch_refresh(exchange->watch);
}
