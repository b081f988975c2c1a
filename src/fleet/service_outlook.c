/** @file service_outlook.c  What is known of a service as a whole; see fleet_engines.h. */
#include "fleet/fleet_engine.h"

#include "base/clock.h"

#include <math.h>
#include <string.h>

hs_engine_absence hs_fleet_engines_note_presence(hs_fleet_engines *engines, const char *service,
                                                 bool is_present, uint64_t now_ms) {
    hs_engine_absence *absence = g_hash_table_lookup(engines->absences, service);
    if (absence == NULL && is_present)
        return (hs_engine_absence){0};
    if (absence == NULL) {
        absence = g_new0(hs_engine_absence, 1);
        g_hash_table_insert(engines->absences, g_strdup(service), absence);
    }
    if (is_present && absence->since_ms != 0) {
        absence->last_ms = now_ms - absence->since_ms;
        absence->since_ms = 0;
    } else if (!is_present && absence->since_ms == 0) {
        absence->since_ms = now_ms;
    }
    return *absence;
}

/** Until requests are sent to a suspected engine again without another reason. */
static uint64_t return_ms(const hs_fleet_engine *engine, uint64_t now_ms) {
    return engine->suspect_until_ms > now_ms ? engine->suspect_until_ms - now_ms : 0;
}

static void add_sound(hs_service_outlook *outlook, const hs_fleet_engine *engine, uint64_t now_ms) {
    double online = engine->online + hs_fleet_engine_others_online(engine, now_ms);
    outlook->sound++;
    outlook->slots += engine->entry.slots;
    outlook->running += online + engine->batch + hs_fleet_engine_others_batch(engine, now_ms);
    outlook->waiting += fmax(online - engine->entry.slots, 0);
}

static void add_engine(hs_service_outlook *outlook, const hs_fleet_engine *engine,
                       uint64_t now_ms) {
    uint64_t back_ms = return_ms(engine, now_ms);
    uint64_t age_ms = now_ms - engine->listed_ms;
    bool is_first = outlook->engines++ == 0;
    outlook->return_ms = is_first ? back_ms : MIN(outlook->return_ms, back_ms);
    outlook->listed_age_ms = is_first ? age_ms : MIN(outlook->listed_age_ms, age_ms);
    if (!hs_fleet_engine_is_suspected(engine, now_ms))
        add_sound(outlook, engine, now_ms);
}

hs_service_outlook hs_fleet_engines_outlook(hs_fleet_engines *engines, const char *service) {
    uint64_t now_ms = hs_clock_monotonic_ms();
    hs_service_outlook outlook = {0};
    GHashTableIter iterator;
    gpointer value = NULL;
    g_mutex_lock(&engines->lock);
    hs_fleet_engines_sum_peers(engines, now_ms);
    outlook.is_known = engines->is_list_known;
    g_hash_table_iter_init(&iterator, engines->by_id);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const hs_fleet_engine *engine = value;
        if (strcmp(engine->entry.service, service) == 0 && !engine->entry.draining &&
            !engine->misplaced)
            add_engine(&outlook, engine, now_ms);
    }
    const hs_engine_speed *speed = hs_fleet_engines_speed(engines, service);
    outlook.run_ms = hs_engine_speed_online_run_ms(speed);
    outlook.need_ms = (uint64_t)speed->first_byte_ms;
    hs_engine_absence absence =
        hs_fleet_engines_note_presence(engines, service, outlook.engines > 0, now_ms);
    outlook.absent_ms = absence.since_ms != 0 ? now_ms - absence.since_ms : 0;
    outlook.last_absence_ms = absence.last_ms;
    g_mutex_unlock(&engines->lock);
    return outlook;
}

double hs_fleet_engines_note_tenant_ask(hs_fleet_engines *engines, const char *service,
                                        const char *tenant) {
    g_mutex_lock(&engines->lock);
    double usual_ms = hs_engine_speed_online_run_ms(hs_fleet_engines_speed(engines, service));
    double part = hs_tenant_runs_note_ask(engines->tenant_runs, tenant, service, usual_ms);
    g_mutex_unlock(&engines->lock);
    return part;
}

uint64_t hs_fleet_engines_tenant_asked_ms(hs_fleet_engines *engines, const char *tenant) {
    g_mutex_lock(&engines->lock);
    uint64_t asked_ms = hs_tenant_runs_asked_ms(engines->tenant_runs, tenant);
    g_mutex_unlock(&engines->lock);
    return asked_ms;
}
