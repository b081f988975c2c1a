/** @file slot_ledger.c  Uses of engines by daemon, and who steps aside; see slot_ledger.h. */
#include "fleet/slot_ledger.h"

#include "base/hash.h"
#include "base/log.h"
#include "fleet/engine_health.h"
#include "fleet/engine_pace.h"

#include <string.h>

/** A daemon's word counts for this long; it is repeated several times meanwhile. */
#define USE_VALID_MS 2000
/** Items that were asked to leave count as gone for this long, unless the daemon says so before. */
#define LEAVING_VALID_MS 60

/** More ends at once than this say no more of an engine's health. */
#define ENDS_MOST 32
/** An engine that nobody uses any more stays known as failing for this long after its time down. */
#define HEALTH_KEPT_MS 10000
/** An engine is told as idle for this long after its last use, in ms; later nothing is told of it.
 */
#define IDLE_KEPT_MS 10000
/** Its pace is kept for this long after its last run, in ms. */
#define PACE_KEPT_MS 40000
/** Events that took longer than this, in ms, are ignored: no caller waits for such a stream. */
#define EVENT_MOST_MS 10000
/**
 * An item that was just started stays only where another can wait this much longer: a cut costs the
 * reading of the prompt and of what was made.
 */
#define STARTED_FIRST_MS 1500

/** One daemon's last word on an engine. */
typedef struct {
    char *daemon;
    uint64_t incarnation;
    hs_engine_use told;
    uint32_t leaving; /**< Of the batch items: asked to leave, not yet said to be gone. */
    uint64_t leaving_until_ms;
    uint64_t told_ms; /**< 0: it has told nothing yet. */
} daemon_use;

/** One engine's uses. */
typedef struct {
    uint64_t hash;
    GPtrArray *uses; /**< of daemon_use* */
    hs_engine_health health;
    hs_engine_pace pace;
    uint64_t told_ms; /**< When a daemon told of it last. */
} engine_uses;

struct hs_slot_ledger {
    GHashTable *engines; /**< hash -> engine_uses* */
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

static engine_uses *engine_of(hs_slot_ledger *ledger, uint64_t hash) {
    engine_uses *engine = g_hash_table_lookup(ledger->engines, &hash);
    if (engine != NULL)
        return engine;
    engine = g_new0(engine_uses, 1);
    engine->hash = hash;
    engine->uses = g_ptr_array_new_with_free_func(free_use);
    g_hash_table_insert(ledger->engines, &engine->hash, engine);
    return engine;
}

static daemon_use *use_of(engine_uses *engine, const char *daemon) {
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

/** Batch items that stay. */
static uint32_t staying(const daemon_use *use, uint64_t now_ms) {
    uint32_t leaving = now_ms < use->leaving_until_ms ? MIN(use->leaving, use->told.batch) : 0;
    return use->told.batch - leaving;
}

static void expire_uses(engine_uses *engine, uint64_t now_ms) {
    for (guint index = engine->uses->len; index > 0; index--) {
        const daemon_use *use = engine->uses->pdata[index - 1];
        if (now_ms > use->told_ms + USE_VALID_MS)
            g_ptr_array_remove_index_fast(engine->uses, index - 1);
    }
}

/** What a daemon started by a word. */
typedef struct {
    bool any;
    bool batch;
} started_work;

/**
 * Ends between two counts. A count that falls began anew: the daemon had dropped the engine from
 * its table and met it again.
 */
static uint32_t ends_since(uint32_t before, uint32_t now) {
    return now > before ? MIN(now - before, ENDS_MOST) : 0;
}

/**
 * Take how a daemon's requests ended since its last word. Its first word, or its first after a
 * restart or a long silence, only says where its counts stand.
 */
static void note_ends(engine_uses *engine, const daemon_use *use, const hs_slot_word *word,
                      uint64_t now_ms) {
    if (use->told_ms == 0 || use->incarnation != word->incarnation)
        return;
    hs_health_state before = engine->health.state;
    hs_engine_health_note(&engine->health, hs_hash_bytes(use->daemon, strlen(use->daemon)),
                          ends_since(use->told.served, word->use.served),
                          ends_since(use->told.failed, word->use.failed), now_ms);
    if (engine->health.state != before)
        hs_log_info("engine_health",
                    "engine_hash=%" G_GINT64_MODIFIER "x state=%s before=%s failure_rate=%.2f "
                    "daemon=%s downs=%u",
                    engine->hash, hs_health_state_name(engine->health.state),
                    hs_health_state_name(before), engine->health.failure_rate, use->daemon,
                    engine->health.down_count);
}

/**
 * Take what a daemon's runs there made since its last word, and what the engine said of itself.
 * Counts that fall began anew; those of a daemon's first word only say where they stand.
 */
static void note_pace(engine_uses *engine, const daemon_use *use, const hs_slot_word *word,
                      uint64_t now_ms) {
    hs_engine_pace_note_slowdown(&engine->pace, word->use.slowdown_percent,
                                 word->use.slowdown_age_ms, now_ms);
    if (use->told_ms == 0 || use->incarnation != word->incarnation ||
        word->use.run_events <= use->told.run_events || word->use.run_ms < use->told.run_ms)
        return;
    uint64_t events = word->use.run_events - use->told.run_events;
    uint64_t took_ms = word->use.run_ms - use->told.run_ms;
    if (took_ms / events < EVENT_MOST_MS)
        hs_engine_pace_note_events(&engine->pace, events, took_ms, now_ms);
}

/** What the engine's pace is by all daemons' words. */
static void add_pace(const engine_uses *engine, uint64_t now_ms, hs_engine_load_report *total) {
    total->event_us = hs_engine_pace_observed_event_us(&engine->pace, now_ms);
    if (engine->pace.slowdown_percent == 0)
        return;
    total->slowdown_percent = engine->pace.slowdown_percent;
    total->slowdown_age_ms = (uint32_t)MIN(now_ms - engine->pace.told_ms, UINT32_MAX);
}

/** Take the word. */
static started_work note(daemon_use *use, const hs_slot_word *word, uint64_t now_ms) {
    const hs_engine_use *before = &use->told;
    const hs_engine_use *now = &word->use;
    started_work started = {.any = now->online + now->batch > before->online + before->batch,
                            .batch = now->batch > before->batch};
    uint32_t left = before->batch > now->batch ? before->batch - now->batch : 0;
    use->leaving -= MIN(use->leaving, left);
    use->incarnation = word->incarnation;
    use->told = word->use;
    use->told_ms = now_ms;
    return started;
}

static bool is_old(const daemon_use *use, const hs_slot_word *word) {
    if (use->incarnation != word->incarnation)
        return word->incarnation < use->incarnation;
    return word->use.sequence <= use->told.sequence;
}

static hs_engine_load_report sum(const engine_uses *engine, uint64_t now_ms) {
    hs_engine_load_report total = {.engine_hash = engine->hash};
    for (guint index = 0; index < engine->uses->len; index++) {
        const daemon_use *use = engine->uses->pdata[index];
        total.online += use->told.online;
        total.batch += staying(use, now_ms);
        total.queued_tokens += use->told.queued_tokens;
    }
    return total;
}

/** How readily a daemon's item leaves; @p started: the daemon has just started one there. */
static int64_t readiness(const daemon_use *use, bool started) {
    return (int64_t)use->told.rank_ms + (started ? STARTED_FIRST_MS : 0);
}

/** The daemon whose item leaves next; NULL: none has an item that stays. */
static daemon_use *next_to_leave(const engine_uses *engine, const daemon_use *starter,
                                 uint64_t now_ms) {
    daemon_use *next = NULL;
    for (guint index = 0; index < engine->uses->len; index++) {
        daemon_use *use = engine->uses->pdata[index];
        if (staying(use, now_ms) > 0 &&
            (next == NULL || readiness(use, use == starter) > readiness(next, next == starter)))
            next = use;
    }
    return next;
}

/** Ask one item of @p use to leave. */
static void ask_one(daemon_use *use, uint64_t now_ms, GArray *asks) {
    if (now_ms >= use->leaving_until_ms)
        use->leaving = 0;
    use->leaving++;
    use->leaving_until_ms = now_ms + LEAVING_VALID_MS;
    for (guint index = 0; index < asks->len; index++) {
        hs_slot_ask *ask = &g_array_index(asks, hs_slot_ask, index);
        if (g_str_equal(ask->daemon, use->daemon)) {
            ask->count++;
            return;
        }
    }
    hs_slot_ask ask = {.count = 1};
    g_strlcpy(ask.daemon, use->daemon, sizeof ask.daemon);
    g_array_append_val(asks, ask);
}

/**
 * What a daemon hears of an engine's health. Whoever starts nothing may hear that it fails only
 * while nobody may go there: the word is believed for a while, and passed on.
 */
static bool is_failing_for(hs_engine_health *health, bool starts, uint64_t now_ms) {
    bool is_admitted = hs_engine_health_admit(health, starts, now_ms);
    return starts ? !is_admitted : hs_engine_health_is_avoided(health, now_ms);
}

hs_engine_load_report hs_slot_ledger_take(hs_slot_ledger *ledger, const hs_slot_word *word,
                                          uint64_t now_ms, GArray *asks) {
    engine_uses *engine = engine_of(ledger, word->use.engine_hash);
    expire_uses(engine, now_ms);
    engine->told_ms = now_ms;
    daemon_use *sender = use_of(engine, word->daemon);
    started_work started = {0};
    if (!is_old(sender, word)) {
        note_ends(engine, sender, word, now_ms);
        note_pace(engine, sender, word, now_ms);
        started = note(sender, word, now_ms);
    }
    hs_engine_load_report total = sum(engine, now_ms);
    add_pace(engine, now_ms, &total);
    total.is_failing = is_failing_for(&engine->health, started.any, now_ms);
    while (total.online + total.batch > word->use.slots && total.batch > 0) {
        ask_one(next_to_leave(engine, started.batch ? sender : NULL, now_ms), now_ms, asks);
        total.batch--;
    }
    return total;
}

void hs_slot_ledger_list(const hs_slot_ledger *ledger, uint64_t now_ms, GArray *totals) {
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, ledger->engines);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const engine_uses *engine = value;
        hs_engine_load_report total = sum(engine, now_ms);
        add_pace(engine, now_ms, &total);
        total.is_failing = hs_engine_health_is_avoided(&engine->health, now_ms);
        g_array_append_val(totals, total);
    }
}

void hs_slot_ledger_expire(hs_slot_ledger *ledger, uint64_t now_ms) {
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, ledger->engines);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        engine_uses *engine = value;
        expire_uses(engine, now_ms);
        bool is_over = engine->health.state == HS_HEALTH_HEALTHY ||
                       now_ms > engine->health.down_until_ms + HEALTH_KEPT_MS;
        bool has_pace = engine->pace.events > 0 && now_ms < engine->pace.seen_ms + PACE_KEPT_MS;
        bool is_idle = engine->uses->len == 0 && now_ms > engine->told_ms + IDLE_KEPT_MS;
        if (is_idle && is_over && !has_pace)
            g_hash_table_iter_remove(&iterator);
    }
}
