/** @file service_outlook.c  State of a service as a whole; see fleet_engines.h. */
#include "fleet/fleet_engine.h"

#include "base/clock.h"
#include "fleet/engine_selection.h"

#include <math.h>
#include <string.h>

/** Time for which a computed pressure is cached. */
#define PRESSURE_CACHE_MS 25
/** Maximum number of pairs of a service and its allowed regions that are remembered. */
#define MAX_RESTRICTED_SERVICES 256

static void update_absence(hs_engine_absence *absence, bool is_present, uint64_t now_ms) {
    if (is_present && absence->since_ms != 0) {
        absence->last_ms = now_ms - absence->since_ms;
        absence->since_ms = 0;
    } else if (!is_present && absence->since_ms == 0) {
        absence->since_ms = now_ms;
    }
}

hs_engine_absence hs_fleet_engines_note_presence(hs_fleet_engines *engines, const char *service,
                                                 bool is_present, uint64_t now_ms) {
    hs_engine_absence *absence = g_hash_table_lookup(engines->absences, service);
    if (absence == NULL && is_present)
        return (hs_engine_absence){0};
    if (absence == NULL) {
        absence = g_new0(hs_engine_absence, 1);
        g_hash_table_insert(engines->absences, g_strdup(service), absence);
    }
    update_absence(absence, is_present, now_ms);
    return *absence;
}

/** Returns the service as restricted to regions; NULL: the policy is not restricted. */
static hs_restricted_service *restricted_service_of(hs_fleet_engines *engines, const char *service,
                                                    const hs_region_policy *regions) {
    if (!hs_region_policy_is_restricted(regions))
        return NULL;
    char *group = hs_region_policy_group(regions, service);
    hs_restricted_service *known = g_hash_table_lookup(engines->restricted_services, group);
    if (known != NULL) {
        g_free(group);
        return known;
    }
    /* Each configuration may name other regions, so that old groups have to be dropped. */
    if (g_hash_table_size(engines->restricted_services) >= MAX_RESTRICTED_SERVICES)
        g_hash_table_remove_all(engines->restricted_services);
    known = g_new0(hs_restricted_service, 1);
    g_hash_table_insert(engines->restricted_services, group, known);
    return known;
}

/** Time in ms until the next probe of an engine that this daemon suspects; 0: not suspected. */
static uint64_t next_probe_ms(const hs_fleet_engine *engine, uint64_t now_ms) {
    return engine->suspected_until_ms > now_ms ? engine->suspected_until_ms - now_ms : 0;
}

static void add_healthy(hs_fleet_engines *engines, hs_service_outlook *outlook,
                        const hs_fleet_engine *engine, uint64_t now_ms) {
    double online = engine->online + hs_fleet_engine_others_online(engine, now_ms);
    outlook->healthy++;
    outlook->slots += hs_engine_warmup_slots(engines, engine, now_ms);
    outlook->running += online + engine->batch + hs_fleet_engine_others_batch(engine, now_ms);
    outlook->waiting += fmax(online - engine->entry.slots, 0);
}

/** Load of other daemons by the arbiter's last report, plus this daemon's current load. */
static hs_pressure_sample sample_of(hs_fleet_engines *engines, const hs_fleet_engine *engine,
                                    uint64_t now_ms) {
    return (hs_pressure_sample){
        .slots = hs_engine_warmup_slots(engines, engine, now_ms),
        .online = engine->online + engine->reported_online,
        .batch = engine->batch + engine->reported_batch,
        .pace = hs_fleet_engine_pace(engines, engine, now_ms),
        .age_ms = hs_fleet_engine_report_age_ms(engine, now_ms),
    };
}

static bool is_eligible(const hs_fleet_engine *engine, const char *service,
                        const hs_region_policy *regions) {
    return strcmp(engine->entry.service, service) == 0 && !engine->entry.draining &&
           !engine->has_address_mismatch &&
           hs_region_policy_allows_zone(regions, engine->entry.zone);
}

static hs_service_pressure compute_pressure(hs_fleet_engines *engines, const char *service,
                                            const hs_region_policy *regions, uint64_t now_ms) {
    g_autoptr(GArray) samples = g_array_new(FALSE, FALSE, sizeof(hs_pressure_sample));
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, engines->by_id);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const hs_fleet_engine *engine = value;
        if (!is_eligible(engine, service, regions) ||
            hs_fleet_engine_is_suspected(engine, now_ms) ||
            hs_fleet_engine_zone_use(engines, engine, now_ms) == HS_ZONE_CLOSED)
            continue;
        hs_pressure_sample sample = sample_of(engines, engine, now_ms);
        if (sample.age_ms > HS_MAX_PRESSURE_REPORT_AGE_MS &&
            hs_engine_warmup_is_cold(engines, engine, now_ms))
            continue; /* It would count as the mean engine. */
        g_array_append_val(samples, sample);
    }
    double run_ms = hs_engine_speed_online_run_ms(hs_fleet_engines_speed(engines, service));
    return hs_service_pressure_make((const hs_pressure_sample *)(void *)samples->data, samples->len,
                                    run_ms);
}

/** Returns the cached pressure of a service, added if missing. */
static hs_cached_pressure *cached_pressure_of(hs_fleet_engines *engines, const char *service,
                                              const hs_region_policy *regions) {
    hs_restricted_service *restricted = restricted_service_of(engines, service, regions);
    if (restricted != NULL)
        return &restricted->pressure;
    hs_cached_pressure *cached = g_hash_table_lookup(engines->pressures, service);
    if (cached == NULL) {
        cached = g_new0(hs_cached_pressure, 1);
        g_hash_table_insert(engines->pressures, g_strdup(service), cached);
    }
    return cached;
}

/** Returns the cached pressure, recomputed if outdated. The caller holds the lock. */
static hs_service_pressure pressure_of(hs_fleet_engines *engines, const char *service,
                                       const hs_region_policy *regions, uint64_t now_ms) {
    hs_cached_pressure *cached = cached_pressure_of(engines, service, regions);
    if (cached->computed_ms == 0 || now_ms >= cached->computed_ms + PRESSURE_CACHE_MS) {
        cached->pressure = compute_pressure(engines, service, regions, now_ms);
        hs_service_pressure_project(&cached->pressure, &cached->trend, now_ms);
        cached->computed_ms = now_ms;
    }
    return cached->pressure;
}

hs_service_pressure hs_fleet_engines_pressure(hs_fleet_engines *engines, const char *service) {
    return hs_fleet_engines_pressure_in(engines, service, &(hs_region_policy){0});
}

hs_service_pressure hs_fleet_engines_pressure_in(hs_fleet_engines *engines, const char *service,
                                                 const hs_region_policy *regions) {
    g_mutex_lock(&engines->lock);
    hs_service_pressure pressure = pressure_of(engines, service, regions, hs_clock_monotonic_ms());
    g_mutex_unlock(&engines->lock);
    return pressure;
}

char *hs_fleet_engines_describe_pressures(hs_fleet_engines *engines) {
    GString *text = g_string_new(NULL);
    GHashTableIter iterator;
    gpointer service = NULL;
    gpointer value = NULL;
    g_mutex_lock(&engines->lock);
    g_hash_table_iter_init(&iterator, engines->pressures);
    while (g_hash_table_iter_next(&iterator, &service, &value)) {
        const hs_service_pressure *pressure = &((const hs_cached_pressure *)value)->pressure;
        const char *name = service;
        g_string_append_printf(text,
                               "heathsail_service_engines_heard{service=\"%s\"} %u\n"
                               "heathsail_service_free_share{service=\"%s\"} %.3f\n"
                               "heathsail_service_wait_ms{service=\"%s\"} %.0f\n"
                               "heathsail_service_short{service=\"%s\"} %d\n",
                               name, pressure->reported, name, pressure->free_share, name,
                               pressure->wait_ms, name, pressure->is_short);
    }
    g_mutex_unlock(&engines->lock);
    return g_string_free(text, FALSE);
}

uint64_t hs_fleet_engines_min_first_byte_ms(hs_fleet_engines *engines, const char *service) {
    g_mutex_lock(&engines->lock);
    uint64_t first_byte_ms = (uint64_t)hs_fleet_engines_speed(engines, service)->first_byte_ms;
    g_mutex_unlock(&engines->lock);
    return first_byte_ms;
}

void hs_fleet_engines_set_slot_observer(hs_fleet_engines *engines, hs_engine_slot_observer observer,
                                        void *user_data) {
    g_mutex_lock(&engines->lock);
    engines->slot_observer = observer;
    engines->slot_observer_data = user_data;
    g_mutex_unlock(&engines->lock);
}

void hs_fleet_engines_notify_free_slot(hs_fleet_engines *engines, const char *service) {
    if (engines->slot_observer != NULL)
        engines->slot_observer(service, engines->slot_observer_data);
}

static void add_engine(hs_fleet_engines *engines, hs_service_outlook *outlook,
                       const hs_fleet_engine *engine, uint64_t now_ms) {
    uint64_t probe_ms = next_probe_ms(engine, now_ms);
    uint64_t age_ms = now_ms - engine->listed_ms;
    bool is_first = outlook->engines++ == 0;
    outlook->next_probe_in_ms = is_first ? probe_ms : MIN(outlook->next_probe_in_ms, probe_ms);
    outlook->listed_age_ms = is_first ? age_ms : MIN(outlook->listed_age_ms, age_ms);
    if (!hs_fleet_engine_is_suspected(engine, now_ms))
        add_healthy(engines, outlook, engine, now_ms);
}

/** Counts an engine that is closed to all requests, since its zone is evacuated. */
static void add_evacuated(hs_service_outlook *outlook, const hs_fleet_engines *engines,
                          const hs_fleet_engine *engine, uint64_t now_ms) {
    uint64_t known_ms = hs_evacuation_known_ms(engines->evacuation, engine->entry.zone, now_ms);
    bool is_first = outlook->evacuated++ == 0;
    outlook->evacuated_ms = is_first ? known_ms : MIN(outlook->evacuated_ms, known_ms);
    outlook->evacuate_limit_ms = hs_evacuation_limit_ms(engines->evacuation);
}

/** Records whether an allowed engine of the service is present, and returns the absence. */
static hs_engine_absence note_presence_in(hs_fleet_engines *engines, const char *service,
                                          const hs_region_policy *regions, bool is_present,
                                          uint64_t now_ms) {
    hs_restricted_service *restricted = restricted_service_of(engines, service, regions);
    if (restricted == NULL)
        return hs_fleet_engines_note_presence(engines, service, is_present, now_ms);
    update_absence(&restricted->absence, is_present, now_ms);
    return restricted->absence;
}

bool hs_fleet_engines_has_healthy(hs_fleet_engines *engines, const char *service,
                                  const hs_region_policy *regions) {
    g_mutex_lock(&engines->lock);
    uint64_t now_ms = hs_clock_monotonic_ms();
    hs_fleet_engines_sum_peers(engines, now_ms);
    bool is_found = hs_engine_selection_has_healthy(engines, service, regions, 0, now_ms);
    g_mutex_unlock(&engines->lock);
    return is_found;
}

hs_service_outlook hs_fleet_engines_outlook(hs_fleet_engines *engines, const char *service) {
    return hs_fleet_engines_outlook_in(engines, service, &(hs_region_policy){0});
}

hs_service_outlook hs_fleet_engines_outlook_in(hs_fleet_engines *engines, const char *service,
                                               const hs_region_policy *regions) {
    return hs_fleet_engines_outlook_of(engines, service, regions, 0);
}

hs_service_outlook hs_fleet_engines_outlook_of(hs_fleet_engines *engines, const char *service,
                                               const hs_region_policy *regions, uint64_t software) {
    hs_service_outlook outlook = {0};
    GHashTableIter iterator;
    gpointer value = NULL;
    g_mutex_lock(&engines->lock);
    uint64_t now_ms = hs_clock_monotonic_ms(); /* Read under the lock: no report is newer. */
    hs_fleet_engines_sum_peers(engines, now_ms);
    outlook.is_known = engines->is_list_known;
    g_hash_table_iter_init(&iterator, engines->by_id);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const hs_fleet_engine *engine = value;
        if (!hs_fleet_engine_has_software(engine, software))
            continue;
        bool is_closed = hs_fleet_engine_zone_use(engines, engine, now_ms) == HS_ZONE_CLOSED;
        if (is_eligible(engine, service, regions) && is_closed)
            add_evacuated(&outlook, engines, engine, now_ms);
        else if (is_eligible(engine, service, regions))
            add_engine(engines, &outlook, engine, now_ms);
    }
    const hs_engine_speed *speed = hs_fleet_engines_speed(engines, service);
    outlook.run_ms = hs_engine_speed_online_run_ms(speed);
    outlook.min_first_byte_ms = (uint64_t)speed->first_byte_ms;
    outlook.pressure = pressure_of(engines, service, regions, now_ms);
    hs_engine_absence absence = {0}; /* Observed for the service as a whole only. */
    if (software == 0)
        absence = note_presence_in(engines, service, regions, outlook.engines > 0, now_ms);
    outlook.absent_ms = absence.since_ms != 0 ? now_ms - absence.since_ms : 0;
    outlook.last_absence_ms = absence.last_ms;
    g_mutex_unlock(&engines->lock);
    return outlook;
}

double hs_fleet_engines_note_tenant_request(hs_fleet_engines *engines, const char *service,
                                            const char *tenant) {
    g_mutex_lock(&engines->lock);
    double usual_ms = hs_engine_speed_online_run_ms(hs_fleet_engines_speed(engines, service));
    double share = hs_tenant_runs_note_request(engines->tenant_runs, tenant, service, usual_ms);
    g_mutex_unlock(&engines->lock);
    return share;
}

uint64_t hs_fleet_engines_tenant_requested_ms(hs_fleet_engines *engines, const char *tenant) {
    g_mutex_lock(&engines->lock);
    uint64_t requested_ms = hs_tenant_runs_requested_ms(engines->tenant_runs, tenant);
    g_mutex_unlock(&engines->lock);
    return requested_ms;
}
