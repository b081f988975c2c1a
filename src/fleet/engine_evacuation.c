/** @file engine_evacuation.c  See engine_evacuation.h. */
#include "fleet/engine_evacuation.h"

#include "base/clock.h"
#include "base/log.h"
#include "fleet/fleet_engine.h"

#include <string.h>

/** Engines of a zone, and this daemon's requests there. */
typedef struct {
    uint32_t engines;
    uint32_t running;
} zone_count;

static zone_count count_zone(const hs_fleet_engines *engines, const char *zone) {
    zone_count count = {0};
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, engines->by_id);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const hs_fleet_engine *engine = value;
        if (strcmp(engine->entry.zone, zone) != 0)
            continue;
        count.engines++;
        count.running += engine->online + engine->batch;
    }
    return count;
}

/** Logs a change of a zone; no engines: the zone is unknown here. The caller holds the lock. */
static void log_change(const hs_fleet_engines *engines, const hs_evacuation_record *record,
                       const char *source) {
    zone_count count = count_zone(engines, record->zone);
    g_autofree char *zone = g_strescape(record->zone, NULL);
    hs_log_info(record->is_evacuated ? "zone_evacuation_learned" : "zone_evacuation_withdrawn",
                "zone=\"%s\" source=%s offset=%" G_GUINT64_FORMAT
                " engines=%u running=%u limit_ms=%u",
                zone, source, (guint64)record->offset, count.engines, count.running,
                hs_evacuation_limit_ms(engines->evacuation));
}

void hs_fleet_engines_set_evacuate_ms(hs_fleet_engines *engines, uint32_t evacuate_ms) {
    g_mutex_lock(&engines->lock);
    hs_evacuation_set_limit_ms(engines->evacuation, evacuate_ms);
    if (evacuate_ms > 0)
        g_atomic_int_set(&engines->has_evacuations, 1);
    g_mutex_unlock(&engines->lock);
}

/**
 * Applies a change to the engines of its zone, which count as cold after the evacuation, and logs
 * it. The caller holds the lock.
 */
static void apply_change(hs_fleet_engines *engines, const hs_evacuation_record *record,
                         const char *source) {
    log_change(engines, record, source);
    g_atomic_int_set(&engines->has_evacuations, 1);
    if (!record->is_evacuated)
        hs_engine_warmup_note_evacuated(engines, record->zone, hs_clock_monotonic_ms());
}

static void apply_set(hs_fleet_engines *engines, const hs_evacuation_set *set,
                      hs_evacuation_source source, uint64_t sent_ms, const char *name) {
    g_autoptr(GArray) changes = g_array_new(FALSE, FALSE, sizeof(hs_evacuation_record));
    g_mutex_lock(&engines->lock);
    hs_evacuation_apply_set(engines->evacuation, set, source, sent_ms, hs_clock_monotonic_ms(),
                            changes);
    for (guint index = 0; index < changes->len; index++)
        apply_change(engines, &g_array_index(changes, hs_evacuation_record, index), name);
    g_mutex_unlock(&engines->lock);
}

void hs_fleet_engines_put_evacuations(hs_fleet_engines *engines, const hs_evacuation_set *set,
                                      uint64_t sent_ms) {
    apply_set(engines, set, HS_EVACUATION_FROM_STORE, sent_ms, "store");
}

void hs_fleet_engines_put_peer_evacuations(hs_fleet_engines *engines, const char *peer,
                                           const hs_evacuation_set *set) {
    apply_set(engines, set, HS_EVACUATION_FROM_PEER, 0, peer);
}

void hs_fleet_engines_put_evacuation_record(hs_fleet_engines *engines, const char *zone,
                                            bool is_evacuated, uint64_t offset) {
    hs_evacuation_record record = {
        .zone = (char *)zone, .offset = offset, .is_evacuated = is_evacuated};
    if (zone == NULL && !hs_fleet_engines_has_evacuations(engines))
        return;
    g_mutex_lock(&engines->lock);
    if (hs_evacuation_apply_record(engines->evacuation, zone, is_evacuated, offset,
                                   hs_clock_monotonic_ms()))
        apply_change(engines, &record, "store");
    g_mutex_unlock(&engines->lock);
}

bool hs_fleet_engines_begin_evacuation_read(hs_fleet_engines *engines) {
    if (!hs_fleet_engines_has_evacuations(engines))
        return false;
    uint64_t now_ms = hs_clock_monotonic_ms();
    g_mutex_lock(&engines->lock);
    bool is_due = hs_evacuation_is_read_due(engines->evacuation, now_ms);
    if (is_due) /* The read is sent after the end of the suspension. */
        hs_evacuation_note_running(engines->evacuation, now_ms);
    g_mutex_unlock(&engines->lock);
    return is_due;
}

bool hs_fleet_engines_is_evacuation_beyond(hs_fleet_engines *engines, uint64_t end,
                                           uint64_t sent_ms) {
    if (!hs_fleet_engines_has_evacuations(engines))
        return false;
    g_mutex_lock(&engines->lock);
    bool is_beyond = hs_evacuation_is_beyond(engines->evacuation, end, sent_ms);
    g_mutex_unlock(&engines->lock);
    return is_beyond;
}

void hs_fleet_engines_end_evacuation_read(hs_fleet_engines *engines, uint64_t sent_ms,
                                          bool is_answered) {
    if (!hs_fleet_engines_has_evacuations(engines))
        return;
    g_mutex_lock(&engines->lock);
    hs_evacuation_note_read(engines->evacuation, sent_ms, is_answered, hs_clock_monotonic_ms());
    g_mutex_unlock(&engines->lock);
}

/** Logs the zones that this daemon has left. The caller holds the lock. */
static void log_drained_zones(hs_fleet_engines *engines, uint64_t now_ms) {
    hs_evacuation_set set;
    hs_evacuation_set_init(&set, 0);
    hs_evacuation_list(engines->evacuation, &set);
    for (guint index = 0; index < set.records->len; index++) {
        const char *name = g_array_index(set.records, hs_evacuation_record, index).zone;
        zone_count count = count_zone(engines, name);
        if (count.running > 0 || !hs_evacuation_note_drained(engines->evacuation, name, now_ms))
            continue;
        g_autofree char *zone = g_strescape(name, NULL);
        hs_log_info("zone_evacuation_complete", "zone=\"%s\" engines=%u took_ms=%" G_GUINT64_FORMAT,
                    zone, count.engines,
                    (guint64)hs_evacuation_known_ms(engines->evacuation, name, now_ms));
    }
    hs_evacuation_set_clear(&set);
}

uint32_t hs_fleet_engines_tick_evacuations(hs_fleet_engines *engines, uint64_t now_ms) {
    if (!hs_fleet_engines_has_evacuations(engines))
        return 0;
    g_mutex_lock(&engines->lock);
    hs_evacuation_note_running(engines->evacuation, now_ms);
    if (hs_evacuation_has_zones(engines->evacuation))
        log_drained_zones(engines, now_ms);
    uint32_t recipients = hs_evacuation_take_recipients(engines->evacuation, now_ms);
    g_mutex_unlock(&engines->lock);
    return recipients;
}

bool hs_fleet_engines_may_check(uint64_t engine_hash, void *user_data) {
    hs_fleet_engines *engines = user_data;
    if (!hs_fleet_engines_has_evacuations(engines))
        return true;
    g_mutex_lock(&engines->lock);
    const hs_fleet_engine *engine = hs_fleet_engines_find(engines, engine_hash);
    bool may_check =
        engine == NULL ||
        hs_fleet_engine_zone_use(engines, engine, hs_clock_monotonic_ms()) == HS_ZONE_OPEN;
    g_mutex_unlock(&engines->lock);
    return may_check;
}

void hs_fleet_engines_list_evacuations(hs_fleet_engines *engines, hs_evacuation_set *set) {
    g_mutex_lock(&engines->lock);
    hs_evacuation_list(engines->evacuation, set);
    g_mutex_unlock(&engines->lock);
    for (guint index = set->records->len; index > 0; index--)
        if (!g_array_index(set->records, hs_evacuation_record, index - 1).is_evacuated)
            g_array_remove_index(set->records, index - 1);
}

bool hs_fleet_engines_has_newer_evacuations(hs_fleet_engines *engines,
                                            const hs_evacuation_set *set) {
    g_mutex_lock(&engines->lock);
    bool is_newer = hs_evacuation_is_newer(engines->evacuation, set);
    g_mutex_unlock(&engines->lock);
    return is_newer;
}

char *hs_fleet_engines_describe_evacuations(hs_fleet_engines *engines) {
    GString *text = g_string_new(NULL);
    uint64_t now_ms = hs_clock_monotonic_ms();
    hs_evacuation_set set;
    hs_evacuation_set_init(&set, 0);
    g_mutex_lock(&engines->lock);
    hs_evacuation_list(engines->evacuation, &set);
    for (guint index = 0; index < set.records->len; index++) {
        const hs_evacuation_record *record =
            &g_array_index(set.records, hs_evacuation_record, index);
        g_autofree char *zone = g_strescape(record->zone, NULL);
        uint64_t known_ms = hs_evacuation_known_ms(engines->evacuation, record->zone, now_ms);
        g_string_append_printf(text,
                               "heathsail_zone_evacuated{zone=\"%s\"} %d\n"
                               "heathsail_zone_evacuated_known_seconds{zone=\"%s\"} %.3f\n",
                               zone, record->is_evacuated, zone, (double)known_ms / 1000.0);
    }
    g_mutex_unlock(&engines->lock);
    hs_evacuation_set_clear(&set);
    return g_string_free(text, FALSE);
}

hs_zone_use hs_fleet_engine_zone_use(const hs_fleet_engines *engines, const hs_fleet_engine *engine,
                                     uint64_t now_ms) {
    if (!hs_evacuation_has_history(engines->evacuation))
        return HS_ZONE_OPEN;
    return hs_evacuation_zone_use(engines->evacuation, engine->entry.zone, now_ms);
}

uint64_t hs_fleet_engine_evacuated_until_ms(const hs_fleet_engines *engines,
                                            const hs_fleet_engine *engine) {
    return hs_evacuation_until_ms(engines->evacuation, engine->entry.zone);
}

double hs_fleet_engines_evacuated_online(const hs_fleet_engines *engines, const char *service,
                                         uint64_t now_ms) {
    double online = 0;
    GHashTableIter iterator;
    gpointer value = NULL;
    if (!hs_evacuation_has_zones(engines->evacuation))
        return 0;
    g_hash_table_iter_init(&iterator, engines->by_id);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const hs_fleet_engine *engine = value;
        if (strcmp(engine->entry.service, service) == 0 &&
            hs_fleet_engine_zone_use(engines, engine, now_ms) != HS_ZONE_OPEN &&
            !hs_fleet_engine_is_suspected(engine, now_ms))
            online += engine->online + hs_fleet_engine_others_online(engine, now_ms);
    }
    return online;
}
