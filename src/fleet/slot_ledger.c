/** @file slot_ledger.c  Uses of engines by daemon, and preemption; see slot_ledger.h. */
#include "fleet/slot_ledger.h"

#include "base/hash.h"
#include "base/log.h"
#include "fleet/arbiter_term.h"
#include "fleet/engine_health.h"
#include "fleet/engine_pace.h"
#include "fleet/engine_words.h"

#include <string.h>

/** Time after which a daemon's report expires; several reports are sent in this time. */
#define REPORT_VALID_MS 2000
/**
 * Time for which a use is current: its daemon reports a change at once, and an unchanged use again
 * at intervals, of which one report may be lost.
 */
#define USE_CURRENT_MS (2 * HS_USE_REPORT_INTERVAL_MS)
/** Time for which an item to preempt is not counted, unless the daemon reports its end before. */
#define PREEMPTION_VALID_MS 60

/** Bound of the results that one report adds to an engine's health. */
#define MAX_RESULTS 32
/** Time after its time down for which the health of an unused engine is kept. */
#define HEALTH_RETENTION_MS 10000
/** Time after the last report on an engine for which the engine is still listed, as idle. */
#define IDLE_RETENTION_MS 10000
/** Time after the latest observed run for which an engine's pace is kept. */
#define PACE_RETENTION_MS 40000
/** Longer mean intervals between events are ignored as implausible. */
#define MAX_EVENT_MS 10000
/**
 * Added to the preemption rank of an item that was just started. Preempting an older item costs
 * more: its prompt and output so far have to be processed again.
 */
#define STARTED_RANK_BONUS_MS 1500

/** Latest report of one daemon on an engine. */
typedef struct {
    char *daemon;
    uint64_t incarnation;
    hs_engine_use reported;
    uint32_t preempted; /**< Batch items to preempt whose end was not reported yet. */
    uint64_t preempted_until_ms;
    uint64_t reported_at_ms; /**< 0: no report yet. */
} daemon_use;

/** Uses of one engine by all daemons, and the state derived from their reports. */
typedef struct {
    uint64_t hash;
    GPtrArray *uses; /**< of daemon_use* */
    hs_engine_health health;
    hs_engine_pace pace;
    uint64_t reported_at_ms; /**< Time of the latest report of any daemon. */
    hs_arbiter_term term;
} engine_uses;

struct hs_slot_ledger {
    GHashTable *engines; /**< hash -> engine_uses* */
    hs_arbiter_rounds rounds;
};

static void free_use(gpointer data) {
    daemon_use *use = data;
    g_free(use->daemon);
    g_free(use);
}

static void free_engine(gpointer data) {
    engine_uses *engine = data;
    g_ptr_array_free(engine->uses, TRUE);
    g_free(engine);
}

hs_slot_ledger *hs_slot_ledger_new(void) {
    hs_slot_ledger *ledger = g_new0(hs_slot_ledger, 1);
    ledger->engines = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, free_engine);
    return ledger;
}

void hs_slot_ledger_free(hs_slot_ledger *ledger) {
    if (ledger == NULL)
        return;
    g_hash_table_destroy(ledger->engines);
    g_free(ledger);
}

static engine_uses *find_or_add_engine(hs_slot_ledger *ledger, uint64_t hash) {
    engine_uses *engine = g_hash_table_lookup(ledger->engines, &hash);
    if (engine != NULL)
        return engine;
    engine = g_new0(engine_uses, 1);
    engine->hash = hash;
    engine->uses = g_ptr_array_new_with_free_func(free_use);
    g_hash_table_insert(ledger->engines, &engine->hash, engine);
    return engine;
}

static daemon_use *find_or_add_use(engine_uses *engine, const char *daemon) {
    for (guint index = 0; index < engine->uses->len; index++) {
        daemon_use *use = engine->uses->pdata[index];
        if (g_str_equal(use->daemon, daemon))
            return use;
    }
    daemon_use *use = g_new0(daemon_use, 1);
    use->daemon = g_strdup(daemon);
    g_ptr_array_add(engine->uses, use);
    return use;
}

/** Counts the batch items that are not being preempted. */
static uint32_t count_remaining_items(const daemon_use *use, uint64_t now_ms) {
    uint32_t preempted =
        now_ms < use->preempted_until_ms ? MIN(use->preempted, use->reported.batch) : 0;
    return use->reported.batch - preempted;
}

static void expire_uses(engine_uses *engine, uint64_t now_ms) {
    for (guint index = engine->uses->len; index > 0; index--) {
        const daemon_use *use = engine->uses->pdata[index - 1];
        if (now_ms > use->reported_at_ms + REPORT_VALID_MS)
            g_ptr_array_remove_index_fast(engine->uses, index - 1);
    }
}

/** Requests that a daemon started since its previous report. */
typedef struct {
    bool any;
    bool batch;
} started_requests;

/**
 * Returns the increase of a counter, up to MAX_RESULTS; 0 if the counter decreased, as it restarts
 * if the daemon removes the engine from its table and adds it again.
 */
static uint32_t count_since(uint32_t before, uint32_t now) {
    return now > before ? MIN(now - before, MAX_RESULTS) : 0;
}

/**
 * Records the results of a daemon's requests since its previous report. The daemon's first report,
 * also after a restart or an expired report, only sets the baseline.
 */
static void note_results(engine_uses *engine, const daemon_use *use, const hs_use_report *report,
                         uint64_t now_ms) {
    if (use->reported_at_ms == 0 || use->incarnation != report->incarnation)
        return;
    hs_health_state before = engine->health.state;
    hs_engine_health_note(&engine->health, hs_hash_bytes(use->daemon, strlen(use->daemon)),
                          count_since(use->reported.served, report->use.served),
                          count_since(use->reported.failed, report->use.failed), now_ms);
    if (engine->health.state != before)
        hs_log_info("engine_health",
                    "engine_hash=%" G_GINT64_MODIFIER "x state=%s before=%s failure_rate=%.2f "
                    "daemon=%s downs=%u",
                    engine->hash, hs_health_state_name(engine->health.state),
                    hs_health_state_name(before), engine->health.failure_rate, use->daemon,
                    engine->health.down_count);
}

/**
 * Records the events of a daemon's runs since its previous report, and the engine's own slowdown
 * figure. Decreasing counters and a daemon's first report only set the baseline.
 */
static void note_pace(engine_uses *engine, const daemon_use *use, const hs_use_report *report,
                      uint64_t now_ms) {
    hs_engine_pace_note_slowdown(&engine->pace, report->use.slowdown_percent,
                                 report->use.slowdown_age_ms, now_ms);
    if (use->reported_at_ms == 0 || use->incarnation != report->incarnation ||
        report->use.run_events <= use->reported.run_events ||
        report->use.run_ms < use->reported.run_ms)
        return;
    uint64_t events = report->use.run_events - use->reported.run_events;
    uint64_t took_ms = report->use.run_ms - use->reported.run_ms;
    if (took_ms / events < MAX_EVENT_MS)
        hs_engine_pace_note_events(&engine->pace, events, took_ms, now_ms);
}

/** Adds the engine's pace, as observed by all daemons, to @p load. */
static void add_pace(const engine_uses *engine, uint64_t now_ms, hs_engine_load_report *load) {
    load->event_us = hs_engine_pace_observed_event_us(&engine->pace, now_ms);
    if (engine->pace.slowdown_percent == 0)
        return;
    load->slowdown_percent = engine->pace.slowdown_percent;
    load->slowdown_age_ms = (uint32_t)MIN(now_ms - engine->pace.reported_at_ms, UINT32_MAX);
}

static started_requests store_report(daemon_use *use, const hs_use_report *report,
                                     uint64_t now_ms) {
    const hs_engine_use *before = &use->reported;
    const hs_engine_use *now = &report->use;
    started_requests started = {.any = now->online + now->batch > before->online + before->batch,
                                .batch = now->batch > before->batch};
    uint32_t left = before->batch > now->batch ? before->batch - now->batch : 0;
    use->preempted -= MIN(use->preempted, left);
    use->incarnation = report->incarnation;
    use->reported = report->use;
    use->reported_at_ms = now_ms;
    return started;
}

static bool is_outdated(const daemon_use *use, const hs_use_report *report) {
    if (use->incarnation != report->incarnation)
        return report->incarnation < use->incarnation;
    return report->use.sequence <= use->reported.sequence;
}

static hs_engine_load_report sum_uses(const engine_uses *engine, uint64_t now_ms) {
    hs_engine_load_report load = {.engine_hash = engine->hash};
    for (guint index = 0; index < engine->uses->len; index++) {
        const daemon_use *use = engine->uses->pdata[index];
        load.online += use->reported.online;
        load.batch += count_remaining_items(use, now_ms);
        load.queued_tokens += use->reported.queued_tokens;
    }
    return load;
}

static bool is_idle_use(const hs_engine_use *use) {
    return use->online == 0 && use->batch == 0 && use->queued_tokens == 0;
}

/**
 * Age of the sum of the uses: the time since its oldest use was current, at least that of the term,
 * at most HS_ENGINE_REPORT_VALID_MS, which is never valid. Idle uses, which daemons stop reporting,
 * have no age.
 */
static uint32_t get_sum_age_ms(const hs_slot_ledger *ledger, const engine_uses *engine,
                               uint64_t now_ms) {
    uint64_t min_age_ms = hs_arbiter_term_min_age_ms(&engine->term, &ledger->rounds, now_ms);
    uint64_t current_until_ms = now_ms;
    for (guint index = 0; index < engine->uses->len; index++) {
        const daemon_use *use = engine->uses->pdata[index];
        if (!is_idle_use(&use->reported))
            current_until_ms = MIN(current_until_ms, use->reported_at_ms + USE_CURRENT_MS);
    }
    uint64_t age_ms = MAX(now_ms - current_until_ms, min_age_ms);
    return (uint32_t)MIN(age_ms, HS_ENGINE_REPORT_VALID_MS);
}

/** Preemption rank of a daemon's items; @p started: the daemon has just started one. */
static int64_t preemption_rank(const daemon_use *use, bool started) {
    return (int64_t)use->reported.rank_ms + (started ? STARTED_RANK_BONUS_MS : 0);
}

/** Finds the daemon whose item is preempted next; NULL: no item is left to preempt. */
static daemon_use *find_next_to_preempt(const engine_uses *engine, const daemon_use *starter,
                                        uint64_t now_ms) {
    daemon_use *next = NULL;
    for (guint index = 0; index < engine->uses->len; index++) {
        daemon_use *use = engine->uses->pdata[index];
        if (count_remaining_items(use, now_ms) > 0 &&
            (next == NULL ||
             preemption_rank(use, use == starter) > preemption_rank(next, next == starter)))
            next = use;
    }
    return next;
}

/** Adds the preemption of one item of @p use to @p requests. */
static void preempt_one(daemon_use *use, uint64_t now_ms, GArray *requests) {
    if (now_ms >= use->preempted_until_ms)
        use->preempted = 0;
    use->preempted++;
    use->preempted_until_ms = now_ms + PREEMPTION_VALID_MS;
    for (guint index = 0; index < requests->len; index++) {
        hs_preemption_request *request = &g_array_index(requests, hs_preemption_request, index);
        if (g_str_equal(request->daemon, use->daemon)) {
            request->count++;
            return;
        }
    }
    hs_preemption_request request = {.count = 1};
    g_strlcpy(request.daemon, use->daemon, sizeof request.daemon);
    g_array_append_val(requests, request);
}

/**
 * Reports whether a daemon should avoid the engine. For a daemon that starts no request, the result
 * is true only while all daemons should, as that daemon keeps the report for a while and relays it.
 */
static bool is_failing_for(hs_engine_health *health, bool starts, uint64_t now_ms) {
    bool is_admitted = hs_engine_health_admit(health, starts, now_ms);
    return starts ? !is_admitted : hs_engine_health_is_avoided(health, now_ms);
}

hs_engine_load_report hs_slot_ledger_put_report(hs_slot_ledger *ledger, const hs_use_report *report,
                                                uint64_t now_ms, GArray *requests) {
    engine_uses *engine = find_or_add_engine(ledger, report->use.engine_hash);
    expire_uses(engine, now_ms);
    engine->reported_at_ms = now_ms;
    daemon_use *sender = find_or_add_use(engine, report->daemon);
    started_requests started = {0};
    if (!is_outdated(sender, report)) {
        note_results(engine, sender, report, now_ms);
        note_pace(engine, sender, report, now_ms);
        started = store_report(sender, report, now_ms);
    }
    hs_engine_load_report load = sum_uses(engine, now_ms);
    add_pace(engine, now_ms, &load);
    load.is_failing = is_failing_for(&engine->health, started.any, now_ms);
    load.age_ms = get_sum_age_ms(ledger, engine, now_ms);
    while (load.online + load.batch > report->use.slots && load.batch > 0) {
        preempt_one(find_next_to_preempt(engine, started.batch ? sender : NULL, now_ms), now_ms,
                    requests);
        load.batch--;
    }
    return load;
}

void hs_slot_ledger_list(const hs_slot_ledger *ledger, uint64_t now_ms, GArray *reports) {
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, ledger->engines);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const engine_uses *engine = value;
        uint32_t age_ms = get_sum_age_ms(ledger, engine, now_ms);
        if (age_ms >= HS_ENGINE_REPORT_VALID_MS)
            continue;
        hs_engine_load_report load = sum_uses(engine, now_ms);
        add_pace(engine, now_ms, &load);
        load.age_ms = age_ms;
        load.is_failing = hs_engine_health_is_avoided(&engine->health, now_ms);
        g_array_append_val(reports, load);
    }
}

bool hs_slot_ledger_note_round(hs_slot_ledger *ledger, uint64_t incarnation, uint64_t now_ms) {
    return hs_arbiter_rounds_note(&ledger->rounds, incarnation, now_ms);
}

void hs_slot_ledger_set_arbitrated(hs_slot_ledger *ledger, uint64_t engine_hash, bool is_arbitrated,
                                   uint64_t now_ms) {
    hs_arbiter_term_set(&find_or_add_engine(ledger, engine_hash)->term, is_arbitrated, now_ms);
}

void hs_slot_ledger_list_engines(const hs_slot_ledger *ledger, GArray *hashes) {
    GHashTableIter iterator;
    gpointer hash = NULL;
    g_hash_table_iter_init(&iterator, ledger->engines);
    while (g_hash_table_iter_next(&iterator, &hash, NULL))
        g_array_append_val(hashes, *(const uint64_t *)hash);
}

void hs_slot_ledger_expire(hs_slot_ledger *ledger, uint64_t now_ms) {
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, ledger->engines);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        engine_uses *engine = value;
        expire_uses(engine, now_ms);
        bool is_over = engine->health.state == HS_HEALTH_HEALTHY ||
                       now_ms > engine->health.down_until_ms + HEALTH_RETENTION_MS;
        bool has_pace =
            engine->pace.events > 0 && now_ms < engine->pace.seen_ms + PACE_RETENTION_MS;
        bool is_idle =
            engine->uses->len == 0 && now_ms > engine->reported_at_ms + IDLE_RETENTION_MS;
        if (is_idle && is_over && !has_pace)
            g_hash_table_iter_remove(&iterator);
    }
}
