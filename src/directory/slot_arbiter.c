/** @file slot_arbiter.c  Messages on engines' slots; see slot_arbiter.h. */
#include "directory/slot_arbiter.h"

#include "base/clock.h"
#include "base/log.h"
#include "directory/warmup_arbiter.h"
#include "fleet/arbiter_term.h"
#include "fleet/engine_words.h"
#include "fleet/slot_ledger.h"

#include <string.h>

/** Maximum number of load reports in one answer, so that the answer fits an Ethernet frame. */
#define MAX_ANSWER_REPORTS 32
/** Tag and length of an encoded report. */
#define REPORT_HEADER_BYTES 2

struct hs_slot_arbiter {
    hs_fleet_engines *engines;
    hs_membership_service *membership;
    GMutex lock; /**< Guards the ledger. */
    hs_slot_ledger *ledger;
    hs_warmup_arbiter *warmup;
};

/** Receiver of messages. */
typedef struct {
    char id[64];
    uint32_t address;
    uint16_t port;
    bool is_self;
} peer;

char *hs_slot_arbiter_key(uint64_t engine_hash) {
    return g_strdup_printf("engine-%" G_GINT64_MODIFIER "x", engine_hash);
}

/**
 * Finds the arbiter of an engine; the port is 0 if there is none. While this daemon doesn't list
 * the engine, the engine's region is unknown and the order over all members applies.
 */
static peer find_arbiter(hs_slot_arbiter *arbiter, uint64_t engine_hash) {
    g_autofree char *key = hs_slot_arbiter_key(engine_hash);
    const char *region = hs_fleet_engines_region(arbiter->engines, engine_hash);
    peer found = {0};
    const hs_membership *membership = hs_membership_service_lock(arbiter->membership);
    const hs_member *member = hs_membership_rank_in_region(membership, key, region);
    if (member != NULL) {
        found = (peer){.address = member->address,
                       .port = member->peer_port,
                       .is_self = member == hs_membership_self(membership)};
        g_strlcpy(found.id, member->id, sizeof found.id);
    }
    hs_membership_service_unlock(arbiter->membership);
    return found;
}

static void send_to(hs_slot_arbiter *arbiter, const peer *to, Hs__PeerMessage *message) {
    hs_membership_service_send(arbiter->membership, to->address, to->port, message);
}

static bool is_self(hs_slot_arbiter *arbiter, const char *daemon) {
    const hs_membership *membership = hs_membership_service_lock(arbiter->membership);
    bool is_own_id = strcmp(hs_membership_self(membership)->id, daemon) == 0;
    hs_membership_service_unlock(arbiter->membership);
    return is_own_id;
}

/** Sends preemption requests for an engine to the daemons; this daemon's own apply at once. */
static void send_preemptions(hs_slot_arbiter *arbiter, uint64_t engine_hash,
                             const GArray *requests) {
    for (guint index = 0; index < requests->len; index++) {
        const hs_preemption_request *request =
            &g_array_index(requests, hs_preemption_request, index);
        hs_log_debug("step_aside_asked", "engine_hash=%" G_GINT64_MODIFIER "x daemon=%s count=%u",
                     engine_hash, request->daemon, request->count);
        peer to = {0};
        g_strlcpy(to.id, request->daemon, sizeof to.id);
        if (!hs_membership_service_find_address(arbiter->membership, request->daemon, &to.address,
                                                &to.port))
            continue;
        Hs__StepAside body = HS__STEP_ASIDE__INIT;
        body.engine_hash = engine_hash;
        body.count = request->count;
        Hs__PeerMessage message = HS__PEER_MESSAGE__INIT;
        message.kind_case = HS__PEER_MESSAGE__KIND_STEP_ASIDE;
        message.step_aside = &body;
        if (is_self(arbiter, request->daemon))
            hs_fleet_engines_preempt_items(arbiter->engines, engine_hash, request->count);
        else
            send_to(arbiter, &to, &message);
    }
}

/**
 * Notes that this daemon runs, so that it lists no engine after a suspension or an assumed death
 * until all daemons can have reported again. Nothing is noted where no reports are relayed.
 */
static void note_round(hs_slot_arbiter *arbiter) {
    if (!hs_fleet_engines_is_relaying_reports(arbiter->engines))
        return;
    uint64_t incarnation = hs_membership_service_incarnation(arbiter->membership);
    g_mutex_lock(&arbiter->lock);
    bool restarts =
        hs_slot_ledger_note_round(arbiter->ledger, incarnation, hs_clock_monotonic_ms());
    g_mutex_unlock(&arbiter->lock);
    if (!restarts)
        return;
    hs_fleet_engines_hold_reports(arbiter->engines);
    hs_log_info("arbiter_restarted", "incarnation=%" G_GUINT64_FORMAT " settle_ms=%d",
                (guint64)incarnation, HS_ARBITER_COMPLETE_MS);
}

/** Determines anew which engines of the ledger this daemon arbitrates. */
static void update_terms(hs_slot_arbiter *arbiter) {
    g_autoptr(GArray) hashes = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    if (!hs_fleet_engines_is_relaying_reports(arbiter->engines))
        return;
    g_mutex_lock(&arbiter->lock);
    hs_slot_ledger_list_engines(arbiter->ledger, hashes);
    g_mutex_unlock(&arbiter->lock);
    for (guint index = 0; index < hashes->len; index++) {
        uint64_t hash = g_array_index(hashes, uint64_t, index);
        bool is_arbitrated = find_arbiter(arbiter, hash).is_self;
        g_mutex_lock(&arbiter->lock);
        hs_slot_ledger_set_arbitrated(arbiter->ledger, hash, is_arbitrated,
                                      hs_clock_monotonic_ms());
        g_mutex_unlock(&arbiter->lock);
    }
}

/**
 * Stores a daemon's report of its use and sends the resulting preemption requests. Returns the load
 * with the age of its uses, and with age 0 where no reports are relayed.
 */
static hs_engine_load_report put_report(hs_slot_arbiter *arbiter, const hs_use_report *report) {
    g_autoptr(GArray) requests = g_array_new(FALSE, FALSE, sizeof(hs_preemption_request));
    bool is_relaying = hs_fleet_engines_is_relaying_reports(arbiter->engines);
    bool is_arbitrated = is_relaying && find_arbiter(arbiter, report->use.engine_hash).is_self;
    g_mutex_lock(&arbiter->lock);
    uint64_t now_ms = hs_clock_monotonic_ms();
    if (is_relaying)
        hs_slot_ledger_set_arbitrated(arbiter->ledger, report->use.engine_hash, is_arbitrated,
                                      now_ms);
    hs_engine_load_report load =
        hs_slot_ledger_put_report(arbiter->ledger, report, now_ms, requests);
    g_mutex_unlock(&arbiter->lock);
    if (!is_relaying)
        load.age_ms = 0;
    send_preemptions(arbiter, report->use.engine_hash, requests);
    hs_warmup_arbiter_decide(arbiter->warmup, &report->use, &load);
    return load;
}

static hs_use_report decode_use(const Hs__PeerMessage *message, const Hs__EngineUse *use) {
    return (hs_use_report){.daemon = message->sender_id,
                           .incarnation = message->sender_incarnation,
                           .use = {.engine_hash = use->engine_hash,
                                   .sequence = message->engine_uses->sequence,
                                   .slots = use->slots,
                                   .online = use->online,
                                   .batch = use->batch,
                                   .rank_ms = use->rank_ms,
                                   .served = use->served,
                                   .failed = use->failed,
                                   .queued_tokens = use->queued_tokens,
                                   .run_events = use->run_events,
                                   .run_ms = use->run_ms,
                                   .slowdown_percent = use->slowdown_percent,
                                   .slowdown_age_ms = use->slowdown_age_ms,
                                   .wants_permit = use->wants_permit}};
}

static void encode_report(const hs_engine_load_report *load, Hs__EngineTotal *encoded) {
    hs__engine_total__init(encoded);
    encoded->engine_hash = load->engine_hash;
    encoded->online = load->online;
    encoded->batch = load->batch;
    encoded->queued_tokens = load->queued_tokens;
    encoded->is_failing = load->is_failing;
    encoded->event_us = load->event_us;
    encoded->slowdown_percent = load->slowdown_percent;
    encoded->slowdown_age_ms = load->slowdown_age_ms;
    encoded->age_ms = load->age_ms;
    encoded->permit = (Hs__Permit)load->permit;
    encoded->permit_valid_ms = load->permit_valid_ms;
    encoded->permit_retry_ms = load->permit_retry_ms;
}

void hs_slot_arbiter_encode_report(const hs_engine_load_report *load, Hs__EngineTotal *encoded) {
    encode_report(load, encoded);
}

static hs_engine_load_report decode_report(const Hs__EngineTotal *encoded) {
    return (hs_engine_load_report){.engine_hash = encoded->engine_hash,
                                   .online = encoded->online,
                                   .batch = encoded->batch,
                                   .queued_tokens = encoded->queued_tokens,
                                   .is_failing = encoded->is_failing,
                                   .event_us = encoded->event_us,
                                   .slowdown_percent = encoded->slowdown_percent,
                                   .slowdown_age_ms = encoded->slowdown_age_ms,
                                   .age_ms = encoded->age_ms,
                                   .permit = (hs_permit)encoded->permit,
                                   .permit_valid_ms = encoded->permit_valid_ms,
                                   .permit_retry_ms = encoded->permit_retry_ms};
}

/** Copies this daemon's reports as an arbiter to its own table of engines. */
static void store_own_reports(hs_slot_arbiter *arbiter) {
    g_autoptr(GArray) own = g_array_new(FALSE, FALSE, sizeof(hs_engine_load_report));
    g_mutex_lock(&arbiter->lock);
    hs_slot_ledger_list(arbiter->ledger, hs_clock_monotonic_ms(), own);
    g_mutex_unlock(&arbiter->lock);
    for (guint index = 0; index < own->len; index++)
        hs_fleet_engines_put_relayed_report(arbiter->engines,
                                            &g_array_index(own, hs_engine_load_report, index));
}

static bool has_report(const Hs__EngineTotals *body, uint64_t engine_hash) {
    for (size_t index = 0; index < body->n_totals; index++)
        if (body->totals[index]->engine_hash == engine_hash)
            return true;
    return false;
}

/** Lists the reports missing in @p body as relay candidates; the index replaces the hash. */
static GArray *list_relay_candidates(const GArray *known, const Hs__EngineTotals *body) {
    GArray *candidates = g_array_new(FALSE, FALSE, sizeof(hs_relay_candidate));
    for (guint index = 0; index < known->len; index++) {
        const hs_engine_load_report *load = &g_array_index(known, hs_engine_load_report, index);
        hs_relay_candidate report = {.engine_hash = index, .age_ms = load->age_ms};
        if (!has_report(body, load->engine_hash))
            g_array_append_val(candidates, report);
    }
    return candidates;
}

/**
 * In a large fleet, adds the most recent reports to an answer, as far as the datagram's size
 * allows. Returns the reports, or NULL if none are relayed. Free them and @p body's list with
 * g_free.
 */
static Hs__EngineTotal *add_relayed_reports(hs_slot_arbiter *arbiter, Hs__EngineTotals *body) {
    if (!hs_fleet_engines_is_relaying_reports(arbiter->engines))
        return NULL;
    store_own_reports(arbiter);
    g_autoptr(GArray) known = hs_fleet_engines_list_reports(arbiter->engines);
    g_autoptr(GArray) candidates = list_relay_candidates(known, body);
    size_t capacity = body->n_totals < MAX_ANSWER_REPORTS ? MAX_ANSWER_REPORTS - body->n_totals : 0;
    size_t count = hs_engine_reports_pick((hs_relay_candidate *)candidates->data, candidates->len);
    size_t bytes = 0;
    body->n_passed_on = MIN(count, capacity);
    Hs__EngineTotal *encoded = g_new(Hs__EngineTotal, body->n_passed_on + 1);
    body->passed_on = g_new(Hs__EngineTotal *, body->n_passed_on + 1);
    for (size_t index = 0; index < body->n_passed_on; index++) {
        const hs_relay_candidate *report = &g_array_index(candidates, hs_relay_candidate, index);
        encode_report(&g_array_index(known, hs_engine_load_report, report->engine_hash),
                      &encoded[index]);
        body->passed_on[index] = &encoded[index];
        bytes += hs__engine_total__get_packed_size(&encoded[index]) + REPORT_HEADER_BYTES;
    }
    hs_fleet_engines_count_relayed_reports(arbiter->engines, body->n_passed_on, bytes);
    return encoded;
}

static void handle_uses(hs_slot_arbiter *arbiter, const Hs__PeerMessage *message,
                        const struct sockaddr_in *from) {
    const Hs__EngineUses *uses = message->engine_uses;
    note_round(arbiter);
    g_autofree Hs__EngineTotal *totals = g_new(Hs__EngineTotal, uses->n_uses + 1);
    g_autofree Hs__EngineTotal **list = g_new(Hs__EngineTotal *, uses->n_uses + 1);
    for (size_t index = 0; index < uses->n_uses; index++) {
        hs_use_report report = decode_use(message, uses->uses[index]);
        hs_engine_load_report load = put_report(arbiter, &report);
        encode_report(&load, &totals[index]);
        list[index] = &totals[index];
    }
    if (!uses->wants_totals)
        return;
    Hs__EngineTotals body = HS__ENGINE_TOTALS__INIT;
    body.n_totals = uses->n_uses;
    body.totals = list;
    Hs__EngineTotal *relayed = add_relayed_reports(arbiter, &body);
    Hs__PeerMessage answer = HS__PEER_MESSAGE__INIT;
    answer.kind_case = HS__PEER_MESSAGE__KIND_ENGINE_TOTALS;
    answer.engine_totals = &body;
    peer to = {.address = g_ntohl(from->sin_addr.s_addr), .port = g_ntohs(from->sin_port)};
    send_to(arbiter, &to, &answer);
    g_free(body.passed_on);
    g_free(relayed);
}

static void handle_totals(hs_slot_arbiter *arbiter, const Hs__EngineTotals *body) {
    for (size_t index = 0; index < body->n_totals; index++) {
        hs_engine_load_report load = decode_report(body->totals[index]);
        hs_fleet_engines_put_report(arbiter->engines, &load);
    }
    for (size_t index = 0; index < body->n_passed_on; index++) {
        hs_engine_load_report load = decode_report(body->passed_on[index]);
        hs_fleet_engines_put_relayed_report(arbiter->engines, &load);
    }
}

bool hs_slot_arbiter_handle(hs_slot_arbiter *arbiter, const Hs__PeerMessage *message,
                            const struct sockaddr_in *from) {
    switch (message->kind_case) {
    case HS__PEER_MESSAGE__KIND_ENGINE_USES:
        handle_uses(arbiter, message, from);
        return true;
    case HS__PEER_MESSAGE__KIND_ENGINE_TOTALS:
        handle_totals(arbiter, message->engine_totals);
        return true;
    case HS__PEER_MESSAGE__KIND_STEP_ASIDE:
        hs_fleet_engines_preempt_items(arbiter->engines, message->step_aside->engine_hash,
                                       message->step_aside->count);
        return true;
    default:
        return false;
    }
}

/** Stores this daemon's own use of an engine that it arbitrates. */
static void put_own_use(hs_slot_arbiter *arbiter, const peer *self, const hs_engine_use *own) {
    hs_use_report report = {.daemon = self->id,
                            .incarnation = hs_membership_service_incarnation(arbiter->membership),
                            .use = *own};
    hs_engine_load_report load = put_report(arbiter, &report);
    hs_fleet_engines_put_report(arbiter->engines, &load);
}

/** Sends @p uses, all of engines that @p to arbitrates. */
static void send_uses(hs_slot_arbiter *arbiter, const peer *to, const hs_engine_use *uses,
                      size_t count, bool wants_totals) {
    g_autofree Hs__EngineUse *encoded = g_new(Hs__EngineUse, count);
    g_autofree Hs__EngineUse **list = g_new(Hs__EngineUse *, count);
    for (size_t index = 0; index < count; index++) {
        hs__engine_use__init(&encoded[index]);
        encoded[index].engine_hash = uses[index].engine_hash;
        encoded[index].slots = uses[index].slots;
        encoded[index].online = uses[index].online;
        encoded[index].batch = uses[index].batch;
        encoded[index].rank_ms = uses[index].rank_ms;
        encoded[index].served = uses[index].served;
        encoded[index].failed = uses[index].failed;
        encoded[index].queued_tokens = uses[index].queued_tokens;
        encoded[index].run_events = uses[index].run_events;
        encoded[index].run_ms = uses[index].run_ms;
        encoded[index].slowdown_percent = uses[index].slowdown_percent;
        encoded[index].slowdown_age_ms = uses[index].slowdown_age_ms;
        encoded[index].wants_permit = uses[index].wants_permit;
        list[index] = &encoded[index];
    }
    Hs__EngineUses body = HS__ENGINE_USES__INIT;
    body.sequence = uses[count - 1].sequence;
    body.wants_totals = wants_totals;
    body.n_uses = count;
    body.uses = list;
    Hs__PeerMessage message = HS__PEER_MESSAGE__INIT;
    message.kind_case = HS__PEER_MESSAGE__KIND_ENGINE_USES;
    message.engine_uses = &body;
    send_to(arbiter, to, &message);
}

/** Reports a changed use of an engine to the engine's arbiter; an observer of the table. */
static void report_use(const hs_engine_use *use, bool started, void *user_data) {
    hs_slot_arbiter *arbiter = user_data;
    peer to = find_arbiter(arbiter, use->engine_hash);
    if (to.is_self)
        put_own_use(arbiter, &to, use);
    else if (to.port != 0)
        send_uses(arbiter, &to, use, 1, started);
}

/** A use and the arbiter to which it is reported. */
typedef struct {
    peer to;
    hs_engine_use use;
} addressed_use;

static gint by_receiver(gconstpointer first, gconstpointer second) {
    return strcmp(((const addressed_use *)first)->to.id, ((const addressed_use *)second)->to.id);
}

void hs_slot_arbiter_refresh(hs_slot_arbiter *arbiter) {
    hs_warmup_arbiter_tick(arbiter->warmup);
    g_autoptr(GArray) uses = hs_fleet_engines_own_uses(arbiter->engines);
    g_autoptr(GArray) addressed = g_array_new(FALSE, FALSE, sizeof(addressed_use));
    note_round(arbiter);
    update_terms(arbiter);
    for (guint index = 0; index < uses->len; index++) {
        addressed_use entry = {.use = g_array_index(uses, hs_engine_use, index)};
        entry.to = find_arbiter(arbiter, entry.use.engine_hash);
        g_array_append_val(addressed, entry);
    }
    g_array_sort(addressed, by_receiver);
    g_autoptr(GArray) group = g_array_new(FALSE, FALSE, sizeof(hs_engine_use));
    for (guint index = 0; index < addressed->len; index++) {
        const addressed_use *entry = &g_array_index(addressed, addressed_use, index);
        bool is_last = index + 1 == addressed->len ||
                       by_receiver(entry, &g_array_index(addressed, addressed_use, index + 1)) != 0;
        if (entry->to.is_self) {
            put_own_use(arbiter, &entry->to, &entry->use);
            continue;
        }
        g_array_append_val(group, entry->use);
        if (is_last && entry->to.port != 0)
            send_uses(arbiter, &entry->to, (const hs_engine_use *)group->data, group->len, true);
        if (is_last)
            g_array_set_size(group, 0);
    }
    g_mutex_lock(&arbiter->lock);
    hs_slot_ledger_expire(arbiter->ledger, hs_clock_monotonic_ms());
    g_mutex_unlock(&arbiter->lock);
}

static bool is_own_engine(uint64_t engine_hash, void *user_data) {
    return find_arbiter(user_data, engine_hash).is_self;
}

hs_slot_arbiter *hs_slot_arbiter_new(hs_fleet_engines *engines, hs_membership_service *membership) {
    hs_slot_arbiter *arbiter = g_new0(hs_slot_arbiter, 1);
    arbiter->engines = engines;
    arbiter->membership = membership;
    arbiter->ledger = hs_slot_ledger_new();
    arbiter->warmup = hs_warmup_arbiter_new(engines, membership, is_own_engine, arbiter);
    g_mutex_init(&arbiter->lock);
    hs_fleet_engines_set_use_observer(engines, report_use, arbiter);
    return arbiter;
}

void hs_slot_arbiter_free(hs_slot_arbiter *arbiter) {
    if (arbiter == NULL)
        return;
    hs_fleet_engines_set_use_observer(arbiter->engines, NULL, NULL);
    hs_slot_ledger_free(arbiter->ledger);
    hs_warmup_arbiter_free(arbiter->warmup);
    g_mutex_clear(&arbiter->lock);
    g_free(arbiter);
}
