/**
 * @file engine_warmup.c
 * Permits for requests to cold engines: which engines are cold, requests to their arbiters, and the
 * permits that leases hold; see fleet_engines.h.
 *
 * This daemon has at most one request for a permit per engine under way, so that an answer needs
 * no number to be matched with it.
 */
#include "fleet/fleet_engine.h"

#include "base/clock.h"
#include "base/log.h"
#include "fleet/engine_words.h"

#include <math.h>
#include <string.h>

/**
 * Time in ms after which an unanswered request for a permit may be repeated. An answer that is
 * later than the round trip of two slow messages would count from the time of the next request.
 */
#define UNANSWERED_MS 700

static const hs_warmup_limit no_limit;

const hs_warmup_limit *hs_engine_warmup_limit(const hs_fleet_engines *engines,
                                              const char *service) {
    if (g_hash_table_size(engines->warmup_limits) == 0)
        return &no_limit;
    const hs_warmup_limit *limit = g_hash_table_lookup(engines->warmup_limits, service);
    return limit != NULL ? limit : &no_limit;
}

void hs_engine_warmup_set_limit(hs_fleet_engines *engines, const char *service,
                                const hs_warmup_limit *limit) {
    hs_warmup_limit *known = g_hash_table_lookup(engines->warmup_limits, service);
    if (known == NULL && !hs_warmup_limit_is_set(limit))
        return;
    if (known == NULL) {
        known = g_new0(hs_warmup_limit, 1);
        g_hash_table_insert(engines->warmup_limits, g_strdup(service), known);
        g_atomic_int_set(&engines->has_warmup_limits, 1);
    }
    if (known->warmup_ms != limit->warmup_ms || known->per_s != limit->per_s)
        hs_log_info("warmup_limit", "service=%s warmup_ms=%u per_s=%.2f", service, limit->warmup_ms,
                    limit->per_s);
    *known = *limit;
}

bool hs_fleet_engines_has_warmup_limits(hs_fleet_engines *engines) {
    return g_atomic_int_get(&engines->has_warmup_limits) != 0;
}

static bool has_limit(const GPtrArray *services) {
    bool is_found = false;
    for (guint index = 0; index < services->len && !is_found; index++) {
        hs_warmup_limit limit = hs_warmup_limit_of(services->pdata[index]);
        is_found = hs_warmup_limit_is_set(&limit);
    }
    return is_found;
}

void hs_fleet_engines_set_warmup_limits(hs_fleet_engines *engines, const GPtrArray *services) {
    if (!hs_fleet_engines_has_warmup_limits(engines) && !has_limit(services))
        return;
    g_mutex_lock(&engines->lock);
    for (guint index = 0; index < services->len; index++) {
        const hs_fleet_service *service = services->pdata[index];
        hs_warmup_limit limit = hs_warmup_limit_of(service);
        hs_engine_warmup_set_limit(engines, service->name, &limit);
    }
    g_mutex_unlock(&engines->lock);
}

bool hs_engine_warmup_is_cold(const hs_fleet_engines *engines, const hs_fleet_engine *engine,
                              uint64_t now_ms) {
    return hs_warmup_state_is_cold(&engine->warmup.state,
                                   hs_engine_warmup_limit(engines, engine->entry.service), now_ms);
}

void hs_engine_warmup_log(const hs_fleet_engines *engines, hs_fleet_engine *engine,
                          uint64_t now_ms) {
    bool is_cold = hs_engine_warmup_is_cold(engines, engine, now_ms);
    if (is_cold == engine->warmup.is_logged_cold)
        return;
    engine->warmup.is_logged_cold = is_cold;
    hs_log_info(is_cold ? "engine_cold" : "engine_warm",
                "engine=%s service=%s zone=%s reason=%s left_ms=%" G_GUINT64_FORMAT,
                engine->entry.id, engine->entry.service, engine->entry.zone,
                hs_cold_reason_name(hs_warmup_state_reason(&engine->warmup.state, now_ms)),
                (guint64)hs_warmup_state_left_ms(&engine->warmup.state, now_ms));
}

void hs_engine_warmup_note_entry(const hs_fleet_engines *engines, hs_fleet_engine *engine) {
    hs_warmup_state_note_entry(&engine->warmup.state, engine->entry.warmup_left_ms,
                               engine->listed_ms);
    hs_engine_warmup_log(engines, engine, engine->listed_ms);
}

void hs_engine_lease_note_warmup(hs_engine_lease *lease, uint32_t warmup_ms) {
    uint64_t now_ms = hs_clock_monotonic_ms();
    g_mutex_lock(&lease->engines->lock);
    hs_warmup_state_note_answer(&lease->engine->warmup.state, warmup_ms, now_ms);
    hs_engine_warmup_log(lease->engines, lease->engine, now_ms);
    g_mutex_unlock(&lease->engines->lock);
}

void hs_engine_warmup_note_evacuated(hs_fleet_engines *engines, const char *zone, uint64_t now_ms) {
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, engines->by_id);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        hs_fleet_engine *engine = value;
        const hs_warmup_limit *limit = hs_engine_warmup_limit(engines, engine->entry.service);
        if (strcmp(engine->entry.zone, zone) != 0 || !hs_warmup_limit_is_set(limit))
            continue;
        hs_warmup_state_note_evacuated(&engine->warmup.state, now_ms, now_ms + limit->warmup_ms);
        hs_engine_warmup_log(engines, engine, now_ms);
    }
}

void hs_engine_warmup_note_lost(const hs_fleet_engines *engines, hs_fleet_engine *engine,
                                hs_cold_reason reason, uint64_t now_ms) {
    const hs_warmup_limit *limit = hs_engine_warmup_limit(engines, engine->entry.service);
    if (!hs_warmup_limit_is_set(limit))
        return;
    hs_warmup_state_note_lost(&engine->warmup.state, reason, now_ms, now_ms + limit->warmup_ms);
    hs_engine_warmup_log(engines, engine, now_ms);
}

static bool has_permit(const hs_engine_warmup *warmup, uint64_t now_ms) {
    return now_ms < warmup->permit_until_ms;
}

/** Whether the next request for a permit has to wait for an answer or the retry time. */
static bool must_wait(hs_fleet_engines *engines, hs_engine_warmup *warmup, uint64_t now_ms) {
    if (warmup->requested_ms != 0 && now_ms >= warmup->requested_ms + UNANSWERED_MS) {
        warmup->requested_ms = 0;
        engines->permits.unanswered++;
    }
    return warmup->requested_ms != 0 || now_ms < warmup->denied_until_ms;
}

/** Whether batch items leave the service's cold engines to online requests. */
static bool is_short(const hs_fleet_engines *engines, const char *service) {
    const hs_cached_pressure *cached = g_hash_table_lookup(engines->pressures, service);
    return cached != NULL && cached->pressure.is_short;
}

void hs_engine_warmup_drop_unpermitted(hs_fleet_engines *engines, GPtrArray *found,
                                       const hs_engine_query *query, uint64_t now_ms) {
    if (!hs_warmup_limit_is_set(hs_engine_warmup_limit(engines, query->service)))
        return;
    bool is_refused = query->work == HS_WORK_BATCH && is_short(engines, query->service);
    for (guint index = found->len; index > 0; index--) {
        hs_fleet_engine *engine = found->pdata[index - 1];
        if (!hs_engine_warmup_is_cold(engines, engine, now_ms))
            continue;
        bool needs_request = !has_permit(&engine->warmup, now_ms);
        bool cannot_request = query->excludes_cold || must_wait(engines, &engine->warmup, now_ms);
        if (is_refused || (needs_request && cannot_request))
            g_ptr_array_remove_index(found, index - 1);
    }
}

static void take_permit(hs_engine_lease *lease, uint64_t now_ms) {
    hs_engine_warmup *warmup = &lease->engine->warmup;
    if (!has_permit(warmup, now_ms))
        return;
    lease->permit_until_ms = warmup->permit_until_ms;
    warmup->permit_until_ms = 0;
}

void hs_engine_warmup_begin(hs_engine_lease *lease, hs_engine_use *use, uint64_t now_ms) {
    if (!hs_engine_warmup_is_cold(lease->engines, lease->engine, now_ms))
        return;
    take_permit(lease, now_ms);
    if (lease->permit_until_ms != 0)
        return;
    lease->engine->warmup.requested_ms = now_ms;
    lease->engine->warmup.is_awaited = true;
    lease->has_requested_permit = true;
    use->wants_permit = true;
}

bool hs_engine_warmup_note_verdict(hs_fleet_engines *engines, hs_fleet_engine *engine,
                                   const hs_engine_load_report *report, uint64_t now_ms) {
    hs_engine_warmup *warmup = &engine->warmup;
    if (report->permit == HS_PERMIT_DENIED && report->permit_retry_ms == 0) {
        if (!hs_engine_warmup_is_cold(engines, engine, now_ms))
            hs_warmup_state_note_denial(&warmup->state, now_ms);
        hs_engine_warmup_log(engines, engine, now_ms);
        return false;
    }
    if (report->permit == HS_PERMIT_NONE || warmup->requested_ms == 0)
        return false;
    uint64_t valid_until_ms = warmup->requested_ms + report->permit_valid_ms;
    warmup->requested_ms = 0;
    if (report->permit == HS_PERMIT_DENIED) {
        warmup->denied_until_ms = now_ms + report->permit_retry_ms;
        engines->permits.denied++;
        return false;
    }
    engines->permits.granted++;
    if (now_ms >= valid_until_ms) {
        engines->permits.expired++;
        return false;
    }
    warmup->permit_until_ms = valid_until_ms;
    return !warmup->is_awaited;
}

void hs_engine_warmup_wait(hs_engine_lease *lease, uint32_t limit_ms) {
    hs_fleet_engines *engines = lease->engines;
    hs_engine_warmup *warmup = &lease->engine->warmup;
    hs_pause pause = hs_clock_pause_begin(limit_ms);
    bool is_waiting = lease->has_requested_permit && engines->use_observer != NULL;
    while (is_waiting && warmup->requested_ms == lease->acquired_ms)
        is_waiting = hs_clock_pause_wait(&pause, &engines->reports_changed, &engines->lock);
    if (!lease->has_requested_permit)
        return;
    warmup->is_awaited = false;
    if (lease->permit_until_ms == 0)
        take_permit(lease, hs_clock_monotonic_ms());
}

bool hs_engine_warmup_is_permitted(const hs_engine_lease *lease, uint64_t now_ms) {
    return now_ms < lease->permit_until_ms ||
           !hs_engine_warmup_is_cold(lease->engines, lease->engine, now_ms);
}

bool hs_engine_lease_use_permit(hs_engine_lease *lease) {
    if (!hs_fleet_engines_has_warmup_limits(lease->engines))
        return true;
    uint64_t now_ms = hs_clock_monotonic_ms();
    g_mutex_lock(&lease->engines->lock);
    bool is_permitted = hs_engine_warmup_is_permitted(lease, now_ms);
    if (lease->permit_until_ms != 0) {
        lease->engines->permits.used += is_permitted;
        lease->engines->permits.expired += !is_permitted;
    }
    lease->permit_until_ms = 0;
    g_mutex_unlock(&lease->engines->lock);
    return is_permitted;
}

void hs_engine_warmup_end(hs_engine_lease *lease, uint64_t now_ms) {
    hs_engine_warmup *warmup = &lease->engine->warmup;
    if (now_ms < lease->permit_until_ms && !has_permit(warmup, now_ms))
        warmup->permit_until_ms = lease->permit_until_ms;
    else if (lease->permit_until_ms != 0)
        lease->engines->permits.expired++;
    lease->permit_until_ms = 0;
    if (lease->has_requested_permit)
        warmup->is_awaited = false;
}

uint32_t hs_engine_warmup_slots(hs_fleet_engines *engines, const hs_fleet_engine *engine,
                                uint64_t now_ms) {
    if (!hs_engine_warmup_is_cold(engines, engine, now_ms))
        return engine->entry.slots;
    const hs_engine_speed *speed = hs_fleet_engines_speed(engines, engine->entry.service);
    return hs_warmup_limit_slots(hs_engine_warmup_limit(engines, engine->entry.service),
                                 engine->entry.slots, hs_engine_speed_online_run_ms(speed));
}

uint32_t hs_engine_warmup_room(hs_fleet_engines *engines, const hs_fleet_engine *engine,
                               double running, uint64_t now_ms) {
    uint32_t slots = hs_engine_warmup_slots(engines, engine, now_ms);
    return slots == engine->entry.slots ? slots : MAX(slots, (uint32_t)ceil(running));
}

void hs_engine_warmup_apply_cost(const hs_fleet_engines *engines, const hs_fleet_engine *engine,
                                 hs_engine_candidate *candidate, uint64_t now_ms) {
    if (!hs_warmup_limit_is_set(hs_engine_warmup_limit(engines, engine->entry.service)))
        return;
    candidate->warmup_ms = 0;
    candidate->needs_permit = hs_engine_warmup_is_cold(engines, engine, now_ms);
    if (!candidate->needs_permit)
        return;
    candidate->load_report_age_ms = 0;
    bool is_reported = hs_fleet_engine_report_age_ms(engine, now_ms) < HS_ENGINE_REPORT_RECENT_MS ||
                       now_ms < engine->full_until_ms;
    if (!is_reported)
        candidate->running = fmin(candidate->running, (double)engine->online + engine->batch);
}

hs_engine_coldness hs_fleet_engines_coldness(hs_fleet_engines *engines, uint64_t engine_hash) {
    hs_engine_coldness coldness = {0};
    if (!hs_fleet_engines_has_warmup_limits(engines))
        return coldness;
    uint64_t now_ms = hs_clock_monotonic_ms();
    g_mutex_lock(&engines->lock);
    const hs_fleet_engine *engine = hs_fleet_engines_find(engines, engine_hash);
    if (engine != NULL) {
        const hs_warmup_limit *limit = hs_engine_warmup_limit(engines, engine->entry.service);
        coldness.per_s = hs_warmup_limit_is_set(limit) ? limit->per_s : 0;
        coldness.is_cold = hs_warmup_state_is_cold(&engine->warmup.state, limit, now_ms);
    }
    g_mutex_unlock(&engines->lock);
    return coldness;
}

void hs_engine_warmup_prune(hs_fleet_engines *engines, uint64_t now_ms) {
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, engines->by_id);
    while (g_hash_table_iter_next(&iterator, NULL, &value))
        hs_engine_warmup_log(engines, value, now_ms);
}

static uint32_t count_cold(hs_fleet_engines *engines, const char *service, uint64_t now_ms) {
    uint32_t count = 0;
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, engines->by_id);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const hs_fleet_engine *engine = value;
        count += strcmp(engine->entry.service, service) == 0 &&
                 hs_engine_warmup_is_cold(engines, engine, now_ms);
    }
    return count;
}

char *hs_fleet_engines_describe_warmup(hs_fleet_engines *engines) {
    GString *text = g_string_new(NULL);
    uint64_t now_ms = hs_clock_monotonic_ms();
    GHashTableIter iterator;
    gpointer service = NULL;
    g_mutex_lock(&engines->lock);
    g_hash_table_iter_init(&iterator, engines->warmup_limits);
    while (g_hash_table_iter_next(&iterator, &service, NULL))
        g_string_append_printf(text, "heathsail_engines_cold{service=\"%s\"} %u\n",
                               (const char *)service, count_cold(engines, service, now_ms));
    const hs_permit_counters *permits = &engines->permits;
    if (text->len > 0)
        g_string_append_printf(
            text,
            "heathsail_warmup_permits{outcome=\"granted\"} %" G_GUINT64_FORMAT "\n"
            "heathsail_warmup_permits{outcome=\"denied\"} %" G_GUINT64_FORMAT "\n"
            "heathsail_warmup_permits{outcome=\"unanswered\"} %" G_GUINT64_FORMAT "\n"
            "heathsail_warmup_permits{outcome=\"used\"} %" G_GUINT64_FORMAT "\n"
            "heathsail_warmup_permits{outcome=\"expired\"} %" G_GUINT64_FORMAT "\n",
            (guint64)permits->granted, (guint64)permits->denied, (guint64)permits->unanswered,
            (guint64)permits->used, (guint64)permits->expired);
    g_mutex_unlock(&engines->lock);
    return g_string_free(text, FALSE);
}
