/** @file crash_ledger.c  See crash_ledger.h. */
#include "fleet/crash_ledger.h"

#include "base/compare.h"
#include "base/hash.h"

#include <stdlib.h>

/**
 * Time in ms after a completed run during which losses of its content are not counted. Longer than
 * the interval between requests of a frequent content, and short if engines change so that the
 * content crashes them.
 */
#define ACQUITTAL_MS 30000
/** Length of a first quarantine in ms. Each further engine that is lost doubles it: a content that
 * is requested all the time costs an engine every two minutes at first, and one an hour in the end.
 */
#define INITIAL_QUARANTINE_MS 120000
/** Maximum length of a quarantine in ms: a content that always returns costs an engine an hour. */
#define MAX_QUARANTINE_MS 3600000
/** Time in ms for which a content is remembered after its last loss, acquittal or quarantine: as
 * long as a caller that repeats it now and then may pause. */
#define RETENTION_MS 600000
/** A content explains another's losses if it was lost with at least this many more engines. */
#define EXPLAINING_MARGIN_ENGINES 2
/**
 * Weight of a loss: half if another content that was lost with the same engine had been found to be
 * the cause before, else full. Of two causes that run together, the second is thus still found, by
 * one or two losses of its own, but a content that ran with three other causes is not quarantined.
 */
#define FULL_WEIGHT 2U
#define HALF_WEIGHT 1U
/** The weight of HS_MIN_CRASHES_TO_QUARANTINE losses, one of them with half weight. */
#define MIN_QUARANTINE_WEIGHT (HS_MIN_CRASHES_TO_QUARANTINE * FULL_WEIGHT - HALF_WEIGHT)
/** Contents that became suspects within this time in ms are taken to have been lost with the same
 * engine, so that neither was found before the other. */
#define SIMULTANEOUS_MS 500
/** Maximum number of suspects in a row, each sharing an engine with the next, that are found to
 * belong together. Bounds the time of an evaluation. */
#define MAX_TRIAL_ENGINE_PASSES 16
/** Number of slots for recent acquittals (64 kB). The newer of two contents replaces the other in a
 * slot that they share. */
#define ACQUITTAL_SLOTS 4096

typedef struct {
    hs_crash_evidence evidence;
    hs_crash_quarantine quarantine; /**< As of the last evaluation. */
    uint64_t last_loss_ms;
    uint64_t trial_engine; /**< See hs_crash_ledger_trial_engine; 0: not evaluated as a suspect. */
} content_record;

typedef struct {
    uint64_t content;
    uint64_t survived_ms; /**< 0: the slot is free. */
} acquittal;

struct hs_crash_ledger {
    GHashTable *by_content; /**< content -> content_record* */
    acquittal acquittals[ACQUITTAL_SLOTS];
};

hs_crash_ledger *hs_crash_ledger_new(void) {
    hs_crash_ledger *ledger = g_new0(hs_crash_ledger, 1);
    ledger->by_content = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    return ledger;
}

void hs_crash_ledger_free(hs_crash_ledger *ledger) {
    g_hash_table_destroy(ledger->by_content);
    g_free(ledger);
}

static content_record *find_record(const hs_crash_ledger *ledger, uint64_t content) {
    return g_hash_table_lookup(ledger->by_content, &content);
}

static acquittal *find_acquittal_slot(hs_crash_ledger *ledger, uint64_t content) {
    return &ledger->acquittals[content % ACQUITTAL_SLOTS];
}

/** Returns whether a loss is not counted, as a run completed shortly before or later. */
static bool is_acquitted_loss(const content_record *record, uint64_t lost_ms) {
    return record->evidence.is_acquitted && lost_ms <= record->evidence.acquitted_ms + ACQUITTAL_MS;
}

static uint32_t lost_engine_count(const content_record *record) {
    return record->evidence.engine_count;
}

static void remove_acquitted_losses(content_record *record) {
    uint32_t remaining = 0;
    for (uint32_t index = 0; index < record->evidence.engine_count; index++)
        if (!is_acquitted_loss(record, record->evidence.engines[index].lost_ms))
            record->evidence.engines[remaining++] = record->evidence.engines[index];
    record->evidence.engine_count = remaining;
}

static uint64_t compute_expiry_ms(const content_record *record) {
    uint64_t until_ms = MAX(record->last_loss_ms, record->quarantine.until_ms);
    if (record->evidence.is_acquitted)
        until_ms = MAX(until_ms, record->evidence.acquitted_ms);
    return until_ms + RETENTION_MS;
}

/** If the ledger is full, removes the content lost with the fewest engines, and of several the
 * oldest. */
static void evict_if_full(hs_crash_ledger *ledger) {
    if (g_hash_table_size(ledger->by_content) < HS_MAX_CRASH_CONTENTS)
        return;
    const content_record *victim = NULL;
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, ledger->by_content);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const content_record *record = value;
        if (victim == NULL || lost_engine_count(record) < lost_engine_count(victim) ||
            (lost_engine_count(record) == lost_engine_count(victim) &&
             record->last_loss_ms < victim->last_loss_ms))
            victim = record;
    }
    g_hash_table_remove(ledger->by_content, &victim->evidence.content);
}

static content_record *get_or_create_record(hs_crash_ledger *ledger, uint64_t content) {
    content_record *record = find_record(ledger, content);
    if (record != NULL)
        return record;
    evict_if_full(ledger);
    record = g_new0(content_record, 1);
    record->evidence.content = content;
    record->quarantine.content = content;
    const acquittal *slot = find_acquittal_slot(ledger, content);
    if (slot->survived_ms != 0 && slot->content == content) {
        record->evidence.is_acquitted = true;
        record->evidence.acquitted_ms = slot->survived_ms;
    }
    g_hash_table_insert(ledger->by_content, &record->evidence.content, record);
    return record;
}

static hs_crash_engine *find_engine(const content_record *record, uint64_t engine) {
    hs_crash_evidence *evidence = (hs_crash_evidence *)&record->evidence;
    for (uint32_t index = 0; index < evidence->engine_count; index++)
        if (evidence->engines[index].engine == engine)
            return &evidence->engines[index];
    return NULL;
}

static bool has_engine(const content_record *record, uint64_t engine) {
    return find_engine(record, engine) != NULL;
}

static hs_crash_engine *find_oldest_engine(hs_crash_evidence *evidence) {
    hs_crash_engine *oldest = &evidence->engines[0];
    for (uint32_t index = 1; index < evidence->engine_count; index++)
        if (evidence->engines[index].lost_ms < oldest->lost_ms)
            oldest = &evidence->engines[index];
    return oldest;
}

/** Adds a loss. A full record keeps the newest losses; returns whether this one is among them. */
static bool add_engine(content_record *record, const hs_crash_loss *loss) {
    hs_crash_evidence *evidence = &record->evidence;
    bool is_full = evidence->engine_count == HS_MAX_CRASH_ENGINES;
    hs_crash_engine *slot =
        is_full ? find_oldest_engine(evidence) : &evidence->engines[evidence->engine_count];
    if (is_full && loss->lost_ms <= slot->lost_ms)
        return false;
    evidence->engine_count += !is_full;
    *slot =
        (hs_crash_engine){.engine = loss->engine, .lost_ms = loss->lost_ms, .ran_ms = loss->ran_ms};
    record->last_loss_ms = MAX(record->last_loss_ms, loss->lost_ms);
    return true;
}

hs_loss_result hs_crash_ledger_add_loss(hs_crash_ledger *ledger, const hs_crash_loss *loss,
                                        uint64_t now_ms) {
    if (now_ms > loss->lost_ms + RETENTION_MS + MAX_QUARANTINE_MS)
        return HS_LOSS_IGNORED;
    content_record *record = get_or_create_record(ledger, loss->content);
    if (is_acquitted_loss(record, loss->lost_ms)) {
        record->last_loss_ms = MAX(record->last_loss_ms, loss->lost_ms);
        return HS_LOSS_ACQUITTED;
    }
    hs_crash_engine *existing = find_engine(record, loss->engine);
    if (existing != NULL) { /* Not every daemon knows the duration. */
        existing->ran_ms = MAX(existing->ran_ms, loss->ran_ms);
        return HS_LOSS_IGNORED;
    }
    return add_engine(record, loss) ? HS_LOSS_RECORDED : HS_LOSS_IGNORED;
}

bool hs_crash_ledger_acquit(hs_crash_ledger *ledger, uint64_t content, uint64_t survived_ms) {
    acquittal *slot = find_acquittal_slot(ledger, content);
    if (slot->content != content || slot->survived_ms < survived_ms)
        *slot = (acquittal){.content = content, .survived_ms = MAX(survived_ms, 1)};
    content_record *record = find_record(ledger, content);
    if (record == NULL)
        return false;
    hs_crash_evidence *evidence = &record->evidence;
    if (evidence->is_acquitted && survived_ms <= evidence->acquitted_ms)
        return false;
    uint32_t before = evidence->engine_count;
    evidence->is_acquitted = true;
    evidence->acquitted_ms = survived_ms;
    remove_acquitted_losses(record);
    return evidence->engine_count < before;
}

/** Returns, by engine, the largest number of engines that any content lost there was lost with. */
static GHashTable *compute_max_engines(const hs_crash_ledger *ledger) {
    GHashTable *max_engines = g_hash_table_new(g_int64_hash, g_int64_equal);
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, ledger->by_content);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        content_record *record = value;
        for (uint32_t index = 0; index < record->evidence.engine_count; index++) {
            uint64_t *engine = &record->evidence.engines[index].engine;
            guint existing = GPOINTER_TO_UINT(g_hash_table_lookup(max_engines, engine));
            g_hash_table_insert(max_engines, engine,
                                GUINT_TO_POINTER(MAX(existing, lost_engine_count(record))));
        }
    }
    return max_engines;
}

static uint64_t compute_quarantine_ms(uint32_t weight) {
    uint32_t doublings = MIN((weight - MIN_QUARANTINE_WEIGHT) / FULL_WEIGHT, 8U);
    return MIN((uint64_t)INITIAL_QUARANTINE_MS << doublings, MAX_QUARANTINE_MS);
}

uint64_t hs_crash_evidence_suspect_since_ms(const hs_crash_evidence *evidence) {
    uint64_t times[HS_MAX_CRASH_ENGINES];
    if (evidence->engine_count < HS_MIN_CRASHES_TO_QUARANTINE)
        return 0;
    for (uint32_t index = 0; index < evidence->engine_count; index++)
        times[index] = evidence->engines[index].lost_ms;
    qsort(times, evidence->engine_count, sizeof *times, hs_compare_uint64);
    return times[HS_MIN_CRASHES_TO_QUARANTINE - 1];
}

const hs_crash_engine *hs_crash_evidence_last_loss(const hs_crash_evidence *evidence) {
    const hs_crash_engine *last = NULL;
    for (uint32_t index = 0; index < evidence->engine_count; index++)
        if (last == NULL || evidence->engines[index].lost_ms > last->lost_ms)
            last = &evidence->engines[index];
    return last;
}

bool hs_crash_evidence_has_long_run(const hs_crash_evidence *evidence) {
    bool has_long_run = false;
    for (uint32_t index = 0; index < evidence->engine_count && !has_long_run; index++)
        has_long_run = evidence->engines[index].ran_ms >= HS_CRASH_LONG_RUN_MS;
    return has_long_run;
}

/** A content with at least HS_MIN_CRASHES_TO_QUARANTINE losses. */
typedef struct {
    content_record *record;
    uint64_t since_ms; /**< See hs_crash_evidence_suspect_since_ms. */
} suspect_content;

/** Orders suspects by the time at which they became suspects, then by content, so that all daemons
 * have the same order. */
static gint compare_suspects(gconstpointer left, gconstpointer right) {
    const suspect_content *first = left;
    const suspect_content *second = right;
    if (first->since_ms != second->since_ms)
        return hs_compare_uint64(&first->since_ms, &second->since_ms);
    return hs_compare_uint64(&first->record->evidence.content, &second->record->evidence.content);
}

/** Contents that explain the losses of others, by engine. */
typedef struct {
    GHashTable *max_engines; /**< See compute_max_engines. */
    GHashTable *blamed; /**< Engine -> first suspect found to be the cause: suspect_content*. */
} engine_causes;

static uint32_t compute_loss_weight(const engine_causes *causes, const suspect_content *suspect,
                                    const uint64_t *engine) {
    guint max_engines = GPOINTER_TO_UINT(g_hash_table_lookup(causes->max_engines, engine));
    const suspect_content *other = g_hash_table_lookup(causes->blamed, engine);
    if (max_engines >= lost_engine_count(suspect->record) + EXPLAINING_MARGIN_ENGINES)
        return 0;
    bool was_blamed_before = other != NULL && other->since_ms + SIMULTANEOUS_MS < suspect->since_ms;
    return was_blamed_before ? HALF_WEIGHT : FULL_WEIGHT;
}

/** Evaluates one suspect. If it is found to be a cause, marks its engines, which lowers the weight
 * of other contents' losses there. */
static hs_crash_quarantine evaluate(const engine_causes *causes, suspect_content *suspect,
                                    uint64_t now_ms) {
    hs_crash_evidence *evidence = &suspect->record->evidence;
    hs_crash_quarantine quarantine = {.content = evidence->content,
                                      .engines = evidence->engine_count};
    uint32_t total_weight = 0;
    for (uint32_t index = 0; index < evidence->engine_count; index++) {
        uint32_t weight = compute_loss_weight(causes, suspect, &evidence->engines[index].engine);
        quarantine.explained += weight < FULL_WEIGHT;
        total_weight += weight;
    }
    if (total_weight < MIN_QUARANTINE_WEIGHT)
        return quarantine;
    quarantine.until_ms = suspect->record->last_loss_ms + compute_quarantine_ms(total_weight);
    quarantine.is_quarantined = quarantine.until_ms > now_ms;
    for (uint32_t index = 0; index < evidence->engine_count; index++)
        if (!g_hash_table_contains(causes->blamed, &evidence->engines[index].engine))
            g_hash_table_insert(causes->blamed, &evidence->engines[index].engine, suspect);
    return quarantine;
}

/** Returns all suspects in order (of suspect_content) and ends the quarantine of other contents. */
static GArray *collect_suspects(hs_crash_ledger *ledger, GArray *changes) {
    GArray *suspects = g_array_new(FALSE, FALSE, sizeof(suspect_content));
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, ledger->by_content);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        content_record *record = value;
        if (lost_engine_count(record) >= HS_MIN_CRASHES_TO_QUARANTINE) {
            suspect_content found = {.record = record,
                                     .since_ms =
                                         hs_crash_evidence_suspect_since_ms(&record->evidence)};
            g_array_append_val(suspects, found);
            continue;
        }
        bool was_quarantined = record->quarantine.is_quarantined;
        record->quarantine = (hs_crash_quarantine){.content = record->evidence.content,
                                                   .engines = lost_engine_count(record)};
        if (was_quarantined)
            g_array_append_val(changes, record->quarantine);
    }
    g_array_sort(suspects, compare_suspects);
    return suspects;
}

static uint64_t find_lowest_engine(const hs_crash_evidence *evidence) {
    uint64_t lowest = UINT64_MAX;
    for (uint32_t index = 0; index < evidence->engine_count; index++)
        lowest = MIN(lowest, evidence->engines[index].engine);
    return lowest;
}

/** Lowers a suspect's trial engine to the lowest known for any of its engines, and records it for
 * all of them. Returns whether anything changed. */
static bool lower_trial_engine(GHashTable *lowest_by_engine, content_record *record) {
    hs_crash_evidence *evidence = &record->evidence;
    uint64_t lowest = record->trial_engine;
    for (uint32_t index = 0; index < evidence->engine_count; index++) {
        const uint64_t *known =
            g_hash_table_lookup(lowest_by_engine, &evidence->engines[index].engine);
        lowest = known != NULL ? MIN(lowest, *known) : lowest;
    }
    bool has_changed = lowest != record->trial_engine;
    record->trial_engine = lowest;
    for (uint32_t index = 0; index < evidence->engine_count; index++) {
        uint64_t *engine = &evidence->engines[index].engine;
        const uint64_t *known = g_hash_table_lookup(lowest_by_engine, engine);
        if (known != NULL && *known <= lowest)
            continue;
        g_hash_table_insert(lowest_by_engine, engine, &record->trial_engine);
        has_changed = true;
    }
    return has_changed;
}

/** Sets the trial engines of all suspects (of suspect_content). */
static void set_trial_engines(GArray *suspects) {
    g_autoptr(GHashTable) lowest_by_engine = g_hash_table_new(g_int64_hash, g_int64_equal);
    bool has_changed = true;
    for (guint index = 0; index < suspects->len; index++) {
        content_record *record = g_array_index(suspects, suspect_content, index).record;
        record->trial_engine = find_lowest_engine(&record->evidence);
    }
    for (int pass = 0; has_changed && pass < MAX_TRIAL_ENGINE_PASSES; pass++) {
        has_changed = false;
        for (guint index = 0; index < suspects->len; index++)
            has_changed |= lower_trial_engine(
                lowest_by_engine, g_array_index(suspects, suspect_content, index).record);
    }
}

uint64_t hs_crash_ledger_trial_engine(const hs_crash_ledger *ledger, uint64_t content) {
    const content_record *record = find_record(ledger, content);
    if (record == NULL)
        return 0;
    return record->trial_engine != 0 ? record->trial_engine : find_lowest_engine(&record->evidence);
}

static void remove_expired(hs_crash_ledger *ledger, uint64_t now_ms) {
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, ledger->by_content);
    while (g_hash_table_iter_next(&iterator, NULL, &value))
        if (now_ms > compute_expiry_ms(value))
            g_hash_table_iter_remove(&iterator);
}

uint32_t hs_crash_ledger_evaluate(hs_crash_ledger *ledger, uint64_t now_ms, GArray *changes) {
    uint32_t quarantined_count = 0;
    g_autoptr(GArray) suspects = collect_suspects(ledger, changes);
    set_trial_engines(suspects);
    g_autoptr(GHashTable) max_engines = compute_max_engines(ledger);
    g_autoptr(GHashTable) blamed = g_hash_table_new(g_int64_hash, g_int64_equal);
    engine_causes causes = {.max_engines = max_engines, .blamed = blamed};
    for (guint index = 0; index < suspects->len; index++) {
        suspect_content *suspect = &g_array_index(suspects, suspect_content, index);
        bool was_quarantined = suspect->record->quarantine.is_quarantined;
        suspect->record->quarantine = evaluate(&causes, suspect, now_ms);
        if (suspect->record->quarantine.is_quarantined != was_quarantined)
            g_array_append_val(changes, suspect->record->quarantine);
        quarantined_count += suspect->record->quarantine.is_quarantined;
    }
    remove_expired(ledger, now_ms);
    return quarantined_count;
}

bool hs_crash_ledger_is_quarantined(const hs_crash_ledger *ledger, uint64_t content,
                                    uint64_t now_ms, hs_crash_quarantine *quarantine) {
    const content_record *record = find_record(ledger, content);
    if (record == NULL || !record->quarantine.is_quarantined ||
        record->quarantine.until_ms <= now_ms)
        return false;
    *quarantine = record->quarantine;
    return true;
}

static uint32_t count_shared_engines(const content_record *record, const content_record *other) {
    uint32_t shared = 0;
    for (uint32_t index = 0; index < record->evidence.engine_count; index++)
        shared += has_engine(other, record->evidence.engines[index].engine);
    return shared;
}

bool hs_crash_ledger_has_alternative_cause(const hs_crash_ledger *ledger, uint64_t content) {
    const content_record *record = find_record(ledger, content);
    GHashTableIter iterator;
    gpointer value = NULL;
    bool is_found = false;
    g_hash_table_iter_init(&iterator, ledger->by_content);
    while (record != NULL && !is_found && g_hash_table_iter_next(&iterator, NULL, &value))
        is_found = value != record && lost_engine_count(value) >= HS_MIN_SHARED_CRASHES &&
                   count_shared_engines(record, value) >= HS_MIN_SHARED_CRASHES;
    return is_found;
}

bool hs_crash_ledger_is_last_loss_shared(const hs_crash_ledger *ledger, uint64_t content) {
    const content_record *record = find_record(ledger, content);
    const hs_crash_engine *last =
        record != NULL ? hs_crash_evidence_last_loss(&record->evidence) : NULL;
    bool is_shared = false;
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, ledger->by_content);
    while (last != NULL && !is_shared && g_hash_table_iter_next(&iterator, NULL, &value))
        is_shared = value != record && lost_engine_count(value) >= HS_MIN_CRASHES_TO_QUARANTINE &&
                    has_engine(value, last->engine);
    return is_shared;
}

void hs_crash_ledger_list_quarantined(const hs_crash_ledger *ledger, uint64_t now_ms,
                                      GArray *quarantines) {
    GHashTableIter iterator;
    gpointer value = NULL;
    hs_crash_quarantine quarantine;
    g_hash_table_iter_init(&iterator, ledger->by_content);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const content_record *record = value;
        if (hs_crash_ledger_is_quarantined(ledger, record->evidence.content, now_ms, &quarantine))
            g_array_append_val(quarantines, quarantine);
    }
}

uint64_t hs_crash_ledger_digest(const hs_crash_ledger *ledger) {
    uint64_t digest = 0;
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, ledger->by_content);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const hs_crash_evidence *evidence = &((const content_record *)value)->evidence;
        /* Of a full record, daemons may keep different losses: they notice them in any order. */
        bool is_full = evidence->engine_count == HS_MAX_CRASH_ENGINES;
        for (uint32_t index = 0; evidence->engine_count > 1 && index < evidence->engine_count;
             index++) {
            uint64_t engine = is_full ? index : evidence->engines[index].engine;
            uint64_t pair[2] = {evidence->content, engine};
            digest += hs_hash_bytes(pair, sizeof pair); /* The sum does not depend on the order. */
        }
    }
    return digest;
}

void hs_crash_ledger_list(const hs_crash_ledger *ledger, uint32_t min_engines, GArray *evidence) {
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, ledger->by_content);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const content_record *record = value;
        if (lost_engine_count(record) >= min_engines)
            g_array_append_val(evidence, record->evidence);
    }
}

bool hs_crash_ledger_find(const hs_crash_ledger *ledger, uint64_t content,
                          hs_crash_evidence *evidence) {
    const content_record *record = find_record(ledger, content);
    if (record != NULL)
        *evidence = record->evidence;
    return record != NULL;
}

uint32_t hs_crash_ledger_size(const hs_crash_ledger *ledger) {
    return g_hash_table_size(ledger->by_content);
}
