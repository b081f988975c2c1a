/** @file slot_arbiter.c  Messages about engines' slots; see slot_arbiter.h. */
#include "directory/slot_arbiter.h"

#include "base/clock.h"
#include "base/log.h"
#include "fleet/engine_words.h"
#include "fleet/slot_ledger.h"

#include <string.h>

/** Words in one answer, its own among them, of some 36 bytes each: it fits an Ethernet frame. */
#define ANSWER_WORDS_MOST 32
/** A word's tag and length in the message. */
#define WORD_HEAD_BYTES 2

struct hs_slot_arbiter {
    hs_fleet_engines *engines;
    hs_membership_service *membership;
    GMutex lock; /**< Guards the ledger. */
    hs_slot_ledger *ledger;
};

/** A daemon that messages go to. */
typedef struct {
    char id[64];
    uint32_t address;
    uint16_t port;
    bool is_self;
} peer;

/** The arbiter of an engine: first by rendezvous among live daemons. */
static peer arbiter_of(hs_slot_arbiter *arbiter, uint64_t engine_hash) {
    g_autofree char *key = g_strdup_printf("engine-%" G_GINT64_MODIFIER "x", engine_hash);
    peer found = {0};
    const hs_membership *membership = hs_membership_service_lock(arbiter->membership);
    const hs_member *member = hs_membership_rank_first(membership, key, NULL);
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

/** Pass on who must leave an engine; this daemon's own items are told at once. */
static void pass_on(hs_slot_arbiter *arbiter, uint64_t engine_hash, const GArray *asks) {
    for (guint index = 0; index < asks->len; index++) {
        const hs_slot_ask *ask = &g_array_index(asks, hs_slot_ask, index);
        hs_log_debug("step_aside_asked", "engine_hash=%" G_GINT64_MODIFIER "x daemon=%s count=%u",
                     engine_hash, ask->daemon, ask->count);
        peer to = {0};
        g_strlcpy(to.id, ask->daemon, sizeof to.id);
        if (!hs_membership_service_address(arbiter->membership, ask->daemon, &to.address, &to.port))
            continue;
        Hs__StepAside body = HS__STEP_ASIDE__INIT;
        body.engine_hash = engine_hash;
        body.count = ask->count;
        Hs__PeerMessage message = HS__PEER_MESSAGE__INIT;
        message.kind_case = HS__PEER_MESSAGE__KIND_STEP_ASIDE;
        message.step_aside = &body;
        if (is_self(arbiter, ask->daemon))
            hs_fleet_engines_preempt_items(arbiter->engines, engine_hash, ask->count);
        else
            send_to(arbiter, &to, &message);
    }
}

/** Note what one daemon has on an engine and act on it. */
static hs_engine_load_report take_word(hs_slot_arbiter *arbiter, const hs_slot_word *word) {
    g_autoptr(GArray) asks = g_array_new(FALSE, FALSE, sizeof(hs_slot_ask));
    g_mutex_lock(&arbiter->lock);
    hs_engine_load_report total =
        hs_slot_ledger_take(arbiter->ledger, word, hs_clock_monotonic_ms(), asks);
    g_mutex_unlock(&arbiter->lock);
    pass_on(arbiter, word->use.engine_hash, asks);
    return total;
}

static hs_slot_word word_from(const Hs__PeerMessage *message, const Hs__EngineUse *told) {
    return (hs_slot_word){.daemon = message->sender_id,
                          .incarnation = message->sender_incarnation,
                          .use = {.engine_hash = told->engine_hash,
                                  .sequence = message->engine_uses->sequence,
                                  .slots = told->slots,
                                  .online = told->online,
                                  .batch = told->batch,
                                  .rank_ms = told->rank_ms,
                                  .served = told->served,
                                  .failed = told->failed,
                                  .queued_tokens = told->queued_tokens,
                                  .run_events = told->run_events,
                                  .run_ms = told->run_ms,
                                  .slowdown_percent = told->slowdown_percent,
                                  .slowdown_age_ms = told->slowdown_age_ms}};
}

static void write_total(const hs_engine_load_report *total, Hs__EngineTotal *told) {
    hs__engine_total__init(told);
    told->engine_hash = total->engine_hash;
    told->online = total->online;
    told->batch = total->batch;
    told->queued_tokens = total->queued_tokens;
    told->is_failing = total->is_failing;
    told->event_us = total->event_us;
    told->slowdown_percent = total->slowdown_percent;
    told->slowdown_age_ms = total->slowdown_age_ms;
    told->age_ms = total->age_ms;
}

static hs_engine_load_report read_total(const Hs__EngineTotal *told) {
    return (hs_engine_load_report){.engine_hash = told->engine_hash,
                                   .online = told->online,
                                   .batch = told->batch,
                                   .queued_tokens = told->queued_tokens,
                                   .is_failing = told->is_failing,
                                   .event_us = told->event_us,
                                   .slowdown_percent = told->slowdown_percent,
                                   .slowdown_age_ms = told->slowdown_age_ms,
                                   .age_ms = told->age_ms};
}

/** What this daemon knows as an arbiter is what it believes as a sender. */
static void believe_own_words(hs_slot_arbiter *arbiter) {
    g_autoptr(GArray) own = g_array_new(FALSE, FALSE, sizeof(hs_engine_load_report));
    g_mutex_lock(&arbiter->lock);
    hs_slot_ledger_list(arbiter->ledger, hs_clock_monotonic_ms(), own);
    g_mutex_unlock(&arbiter->lock);
    for (guint index = 0; index < own->len; index++)
        hs_fleet_engines_put_relayed_report(arbiter->engines,
                                            &g_array_index(own, hs_engine_load_report, index));
}

static bool is_answered(const Hs__EngineTotals *body, uint64_t engine_hash) {
    for (size_t index = 0; index < body->n_totals; index++)
        if (body->totals[index]->engine_hash == engine_hash)
            return true;
    return false;
}

/** Words in the form that engine_words.h picks from; the index takes the place of the hash. */
static GArray *words_to_pick(const GArray *known, const Hs__EngineTotals *body) {
    GArray *words = g_array_new(FALSE, FALSE, sizeof(hs_relay_candidate));
    for (guint index = 0; index < known->len; index++) {
        const hs_engine_load_report *total = &g_array_index(known, hs_engine_load_report, index);
        hs_relay_candidate word = {.engine_hash = index, .age_ms = total->age_ms};
        if (!is_answered(body, total->engine_hash))
            g_array_append_val(words, word);
    }
    return words;
}

/**
 * In a large fleet add the freshest words to an answer, as far as its datagram has room; the words,
 * NULL where there are none. Free them and the list with g_free.
 */
static Hs__EngineTotal *add_words(hs_slot_arbiter *arbiter, Hs__EngineTotals *body) {
    if (!hs_fleet_engines_is_relaying_reports(arbiter->engines))
        return NULL;
    believe_own_words(arbiter);
    g_autoptr(GArray) known = hs_fleet_engines_list_reports(arbiter->engines);
    g_autoptr(GArray) words = words_to_pick(known, body);
    size_t room = body->n_totals < ANSWER_WORDS_MOST ? ANSWER_WORDS_MOST - body->n_totals : 0;
    size_t count = hs_engine_reports_pick((hs_relay_candidate *)words->data, words->len);
    size_t bytes = 0;
    body->n_passed_on = MIN(count, room);
    Hs__EngineTotal *told = g_new(Hs__EngineTotal, body->n_passed_on + 1);
    body->passed_on = g_new(Hs__EngineTotal *, body->n_passed_on + 1);
    for (size_t index = 0; index < body->n_passed_on; index++) {
        const hs_relay_candidate *word = &g_array_index(words, hs_relay_candidate, index);
        write_total(&g_array_index(known, hs_engine_load_report, word->engine_hash), &told[index]);
        body->passed_on[index] = &told[index];
        bytes += hs__engine_total__get_packed_size(&told[index]) + WORD_HEAD_BYTES;
    }
    hs_fleet_engines_count_relayed_reports(arbiter->engines, body->n_passed_on, bytes);
    return told;
}

static void take_uses(hs_slot_arbiter *arbiter, const Hs__PeerMessage *message,
                      const struct sockaddr_in *from) {
    const Hs__EngineUses *uses = message->engine_uses;
    g_autofree Hs__EngineTotal *totals = g_new(Hs__EngineTotal, uses->n_uses + 1);
    g_autofree Hs__EngineTotal **list = g_new(Hs__EngineTotal *, uses->n_uses + 1);
    for (size_t index = 0; index < uses->n_uses; index++) {
        hs_slot_word word = word_from(message, uses->uses[index]);
        hs_engine_load_report sum = take_word(arbiter, &word);
        write_total(&sum, &totals[index]);
        list[index] = &totals[index];
    }
    if (!uses->wants_totals)
        return;
    Hs__EngineTotals body = HS__ENGINE_TOTALS__INIT;
    body.n_totals = uses->n_uses;
    body.totals = list;
    Hs__EngineTotal *passed_on = add_words(arbiter, &body);
    Hs__PeerMessage answer = HS__PEER_MESSAGE__INIT;
    answer.kind_case = HS__PEER_MESSAGE__KIND_ENGINE_TOTALS;
    answer.engine_totals = &body;
    peer to = {.address = g_ntohl(from->sin_addr.s_addr), .port = g_ntohs(from->sin_port)};
    send_to(arbiter, &to, &answer);
    g_free(body.passed_on);
    g_free(passed_on);
}

static void take_totals(hs_slot_arbiter *arbiter, const Hs__EngineTotals *told) {
    for (size_t index = 0; index < told->n_totals; index++) {
        hs_engine_load_report total = read_total(told->totals[index]);
        hs_fleet_engines_put_report(arbiter->engines, &total);
    }
    for (size_t index = 0; index < told->n_passed_on; index++) {
        hs_engine_load_report total = read_total(told->passed_on[index]);
        hs_fleet_engines_put_relayed_report(arbiter->engines, &total);
    }
}

bool hs_slot_arbiter_handle(hs_slot_arbiter *arbiter, const Hs__PeerMessage *message,
                            const struct sockaddr_in *from) {
    switch (message->kind_case) {
    case HS__PEER_MESSAGE__KIND_ENGINE_USES:
        take_uses(arbiter, message, from);
        return true;
    case HS__PEER_MESSAGE__KIND_ENGINE_TOTALS:
        take_totals(arbiter, message->engine_totals);
        return true;
    case HS__PEER_MESSAGE__KIND_STEP_ASIDE:
        hs_fleet_engines_preempt_items(arbiter->engines, message->step_aside->engine_hash,
                                       message->step_aside->count);
        return true;
    default:
        return false;
    }
}

/** This daemon's own use of an engine that it arbitrates itself. */
static void take_own(hs_slot_arbiter *arbiter, const peer *self, const hs_engine_use *own) {
    hs_slot_word word = {.daemon = self->id,
                         .incarnation = hs_membership_service_incarnation(arbiter->membership),
                         .use = *own};
    hs_engine_load_report total = take_word(arbiter, &word);
    hs_fleet_engines_put_report(arbiter->engines, &total);
}

/** Send @p uses, all of engines that @p to arbitrates. */
static void send_uses(hs_slot_arbiter *arbiter, const peer *to, const hs_engine_use *uses,
                      size_t count, bool wants_totals) {
    g_autofree Hs__EngineUse *told = g_new(Hs__EngineUse, count);
    g_autofree Hs__EngineUse **list = g_new(Hs__EngineUse *, count);
    for (size_t index = 0; index < count; index++) {
        hs__engine_use__init(&told[index]);
        told[index].engine_hash = uses[index].engine_hash;
        told[index].slots = uses[index].slots;
        told[index].online = uses[index].online;
        told[index].batch = uses[index].batch;
        told[index].rank_ms = uses[index].rank_ms;
        told[index].served = uses[index].served;
        told[index].failed = uses[index].failed;
        told[index].queued_tokens = uses[index].queued_tokens;
        told[index].run_events = uses[index].run_events;
        told[index].run_ms = uses[index].run_ms;
        told[index].slowdown_percent = uses[index].slowdown_percent;
        told[index].slowdown_age_ms = uses[index].slowdown_age_ms;
        list[index] = &told[index];
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

/** What this daemon has on an engine changed: the table of engines calls this. */
static void tell(const hs_engine_use *use, bool started, void *user_data) {
    hs_slot_arbiter *arbiter = user_data;
    peer to = arbiter_of(arbiter, use->engine_hash);
    if (to.is_self)
        take_own(arbiter, &to, use);
    else if (to.port != 0)
        send_uses(arbiter, &to, use, 1, started);
}

/** A use and where it is told. */
typedef struct {
    peer to;
    hs_engine_use use;
} addressed_use;

static gint by_receiver(gconstpointer first, gconstpointer second) {
    return strcmp(((const addressed_use *)first)->to.id, ((const addressed_use *)second)->to.id);
}

void hs_slot_arbiter_refresh(hs_slot_arbiter *arbiter) {
    g_autoptr(GArray) uses = hs_fleet_engines_own_uses(arbiter->engines);
    g_autoptr(GArray) addressed = g_array_new(FALSE, FALSE, sizeof(addressed_use));
    for (guint index = 0; index < uses->len; index++) {
        addressed_use entry = {.use = g_array_index(uses, hs_engine_use, index)};
        entry.to = arbiter_of(arbiter, entry.use.engine_hash);
        g_array_append_val(addressed, entry);
    }
    g_array_sort(addressed, by_receiver);
    g_autoptr(GArray) group = g_array_new(FALSE, FALSE, sizeof(hs_engine_use));
    for (guint index = 0; index < addressed->len; index++) {
        const addressed_use *entry = &g_array_index(addressed, addressed_use, index);
        bool is_last = index + 1 == addressed->len ||
                       by_receiver(entry, &g_array_index(addressed, addressed_use, index + 1)) != 0;
        if (entry->to.is_self) {
            take_own(arbiter, &entry->to, &entry->use);
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

hs_slot_arbiter *hs_slot_arbiter_new(hs_fleet_engines *engines, hs_membership_service *membership) {
    hs_slot_arbiter *arbiter = g_new0(hs_slot_arbiter, 1);
    arbiter->engines = engines;
    arbiter->membership = membership;
    arbiter->ledger = hs_slot_ledger_new();
    g_mutex_init(&arbiter->lock);
    hs_fleet_engines_set_use_observer(engines, tell, arbiter);
    return arbiter;
}

void hs_slot_arbiter_free(hs_slot_arbiter *arbiter) {
    if (arbiter == NULL)
        return;
    hs_fleet_engines_set_use_observer(arbiter->engines, NULL, NULL);
    hs_slot_ledger_free(arbiter->ledger);
    g_mutex_clear(&arbiter->lock);
    g_free(arbiter);
}
