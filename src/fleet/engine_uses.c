/**
 * @file engine_uses.c
 * This daemon's uses of engines, which are sent to the engines' arbiters, the arbiters' load
 * reports, and preemption of batch items; see fleet_engines.h.
 */
#include "fleet/fleet_engine.h"

#include "base/clock.h"
#include "fleet/engine_words.h"

#include <math.h>

/** Time to read the prompts queued by others from which a request prefers another engine: some
 * fifth of the time in which first tokens are wanted. */
#define MAX_QUEUED_READ_MS 80.0
/** Time for which an engine's use is still sent after its last request, in case of message loss. */
#define RECENT_USE_MS 1500

/** Current preemption rank. The rank falls as the item runs, since both the time left and the time
 * needed shrink. */
static int32_t current_rank(const hs_engine_lease *lease, uint64_t now_ms) {
    int64_t rank_ms = lease->rank_ms - 2 * (int64_t)(now_ms - lease->acquired_ms);
    return (int32_t)MAX(rank_ms, 0);
}

static int32_t highest_rank(const hs_fleet_engine *engine) {
    int32_t highest = 0;
    uint64_t now_ms = hs_clock_monotonic_ms();
    for (guint index = 0; index < engine->batch_leases->len; index++)
        highest = MAX(highest, current_rank(engine->batch_leases->pdata[index], now_ms));
    return highest;
}

/**
 * Age of the last slowdown that the engine sent to this daemon; 0: none. Slowdowns from the
 * arbiter's reports are not sent back, since transit time is not included and they would appear
 * younger each time.
 */
static uint32_t slowdown_age_ms(const hs_fleet_engine *engine) {
    if (engine->load.slowdown_percent == 0)
        return 0;
    return (uint32_t)MIN(hs_clock_monotonic_ms() - engine->load_ms, UINT32_MAX);
}

hs_engine_use hs_fleet_engine_use(hs_fleet_engines *engines, const hs_fleet_engine *engine) {
    return (hs_engine_use){.engine_hash = engine->hash,
                           .sequence = ++engines->use_sequence,
                           .slots = engine->entry.slots,
                           .online = engine->online,
                           .batch = engine->batch,
                           .rank_ms = highest_rank(engine),
                           .served = engine->served_count,
                           .failed = engine->failed_count,
                           .queued_tokens = (uint32_t)engine->queued_tokens,
                           .run_events = engine->run_events,
                           .run_ms = engine->run_ms,
                           .slowdown_percent = engine->load.slowdown_percent,
                           .slowdown_age_ms = slowdown_age_ms(engine)};
}

void hs_fleet_engines_set_use_observer(hs_fleet_engines *engines, hs_engine_use_observer observer,
                                       void *user_data) {
    g_mutex_lock(&engines->lock);
    engines->use_observer = observer;
    engines->use_observer_data = user_data;
    g_mutex_unlock(&engines->lock);
}

void hs_fleet_engines_notify_use(hs_fleet_engines *engines, const hs_engine_use *use,
                                 bool started) {
    if (engines->use_observer != NULL)
        engines->use_observer(use, started, engines->use_observer_data);
}

GArray *hs_fleet_engines_own_uses(hs_fleet_engines *engines) {
    GArray *uses = g_array_new(FALSE, FALSE, sizeof(hs_engine_use));
    uint64_t now_ms = hs_clock_monotonic_ms();
    GHashTableIter iterator;
    gpointer value = NULL;
    g_mutex_lock(&engines->lock);
    g_hash_table_iter_init(&iterator, engines->used);
    while (g_hash_table_iter_next(&iterator, &value, NULL)) {
        const hs_fleet_engine *engine = value;
        bool is_used =
            engine->online + engine->batch > 0 ||
            (engine->last_release_ms != 0 && now_ms < engine->last_release_ms + RECENT_USE_MS);
        if (!is_used)
            continue;
        hs_engine_use use = hs_fleet_engine_use(engines, engine);
        g_array_append_val(uses, use);
    }
    g_mutex_unlock(&engines->lock);
    return uses;
}

/** Own online requests in flight that a report made at @p reported_at_ms may include. */
static uint32_t online_before(const hs_fleet_engine *engine, uint64_t reported_at_ms) {
    uint32_t later = 0;
    for (uint32_t index = 0; index < HS_MAX_RECENT_STARTS; index++)
        later += engine->recent_starts_ms[index] > reported_at_ms;
    return engine->online - MIN(later, engine->online);
}

/** Stores a report. The load of others is the total less this daemon's part (@p own_online). */
static void apply_report(hs_fleet_engine *engine, const hs_engine_load_report *report,
                         uint64_t reported_at_ms, uint32_t own_online) {
    engine->reported_online = report->online > own_online ? report->online - own_online : 0;
    engine->reported_batch = report->batch > engine->batch ? report->batch - engine->batch : 0;
    engine->reported_queued =
        fmax((double)report->queued_tokens - (double)engine->queued_tokens, 0);
    engine->reported_at_ms = reported_at_ms;
    engine->last_report = *report;
    engine->is_report_partial = false;
    engine->last_report.permit = HS_PERMIT_NONE; /* Not relayed. */
    engine->last_report.permit_valid_ms = 0;
    engine->last_report.permit_retry_ms = 0;
    engine->reported_failing_at_ms = report->is_failing ? reported_at_ms : 0;
}

/**
 * Applies the report's event time and slowdown. @p transit_ms: time since the arbiter sent them,
 * which adds to the slowdown's own age.
 */
static void apply_pace(hs_fleet_engine *engine, const hs_engine_load_report *report,
                       uint64_t transit_ms, uint64_t now_ms) {
    hs_engine_pace_set_reported_event_us(&engine->pace, report->event_us, now_ms);
    hs_engine_pace_note_slowdown(&engine->pace, report->slowdown_percent,
                                 report->slowdown_age_ms + transit_ms, now_ms);
}

/** Whether the response's sum is too old, or too incomplete, to replace the estimate. */
static bool is_partial(const hs_engine_load_report *report) {
    return report->age_ms >= HS_ENGINE_REPORT_RECENT_MS;
}

/** Stores a sum that may lack the uses of some daemons if it is above the present estimate. */
static void apply_partial_report(hs_fleet_engine *engine, const hs_engine_load_report *report,
                                 uint64_t now_ms) {
    double known = (double)engine->online + engine->batch +
                   hs_fleet_engine_others_online(engine, now_ms) +
                   hs_fleet_engine_others_batch(engine, now_ms);
    if ((double)report->online + report->batch <= known)
        return;
    apply_report(engine, report, now_ms, engine->online);
    engine->is_report_partial = true;
}

/** Applies the load of an arbiter's response, as far as it is complete and new. */
static void apply_response(hs_fleet_engine *engine, const hs_engine_load_report *report,
                           uint64_t now_ms) {
    uint64_t reported_at_ms = now_ms - MIN(now_ms, report->age_ms);
    bool is_newer = report->age_ms == 0 || reported_at_ms > engine->reported_at_ms;
    if (report->age_ms < HS_ENGINE_REPORT_VALID_MS && is_newer)
        apply_report(engine, report, reported_at_ms, engine->online);
    if (is_partial(report))
        apply_partial_report(engine, report, now_ms);
    engine->reported_failing_at_ms = report->is_failing ? now_ms : 0;
}

/** Whether an online request finds a free slot, by the report or, if it is partial, by estimate. */
static bool has_free_slot(const hs_fleet_engine *engine, const hs_engine_load_report *report,
                          uint64_t now_ms) {
    if (report->is_failing)
        return false;
    if (!is_partial(report))
        return report->online < engine->entry.slots;
    return engine->online + hs_fleet_engine_others_online(engine, now_ms) < engine->entry.slots;
}

void hs_fleet_engines_put_report(hs_fleet_engines *engines, const hs_engine_load_report *report) {
    g_autofree char *free_service = NULL; /* Service with a free slot by this report. */
    g_mutex_lock(&engines->lock);
    hs_fleet_engine *engine = hs_fleet_engines_find(engines, report->engine_hash);
    if (engine != NULL) {
        uint64_t now_ms = hs_clock_monotonic_ms();
        apply_response(engine, report, now_ms);
        engine->response_count++;
        engines->reports.received++;
        apply_pace(engine, report, 0, now_ms);
        bool has_permit = hs_engine_warmup_note_verdict(engines, engine, report, now_ms);
        bool is_cold = hs_engine_warmup_is_cold(engines, engine, now_ms);
        g_cond_broadcast(&engines->reports_changed);
        if (has_free_slot(engine, report, now_ms) && (has_permit || !is_cold))
            free_service = g_strdup(engine->entry.service);
    }
    g_mutex_unlock(&engines->lock);
    if (free_service != NULL)
        hs_fleet_engines_notify_free_slot(engines, free_service);
}

void hs_fleet_engines_put_relayed_report(hs_fleet_engines *engines,
                                         const hs_engine_load_report *report) {
    g_autofree char *free_service = NULL; /* Service with a free slot by this report. */
    uint64_t now_ms = hs_clock_monotonic_ms();
    uint64_t reported_at_ms = now_ms - MIN(now_ms, report->age_ms);
    g_mutex_lock(&engines->lock);
    hs_fleet_engine *engine = hs_fleet_engines_find(engines, report->engine_hash);
    bool is_newer = engine != NULL && reported_at_ms > engine->reported_at_ms;
    if (is_newer) {
        apply_report(engine, report, reported_at_ms, online_before(engine, reported_at_ms));
        apply_pace(engine, report, report->age_ms, now_ms);
        engines->reports.accepted++;
        engines->relayed_at_ms = now_ms;
        if (report->online < engine->entry.slots && !report->is_failing &&
            !hs_engine_warmup_is_cold(engines, engine, now_ms))
            free_service = g_strdup(engine->entry.service);
    } else if (engine != NULL) {
        engines->reports.stale++;
    }
    g_mutex_unlock(&engines->lock);
    if (free_service != NULL)
        hs_fleet_engines_notify_free_slot(engines, free_service);
}

bool hs_fleet_engines_is_relaying_reports(hs_fleet_engines *engines) {
    return g_atomic_int_get(&engines->is_large_fleet) != 0;
}

void hs_fleet_engines_hold_reports(hs_fleet_engines *engines) {
    GHashTableIter iterator;
    gpointer value = NULL;
    g_mutex_lock(&engines->lock);
    g_hash_table_iter_init(&iterator, engines->by_id);
    while (g_hash_table_iter_next(&iterator, NULL, &value))
        ((hs_fleet_engine *)value)->is_report_partial = true;
    g_mutex_unlock(&engines->lock);
}

GArray *hs_fleet_engines_list_reports(hs_fleet_engines *engines) {
    GArray *reports = g_array_new(FALSE, FALSE, sizeof(hs_engine_load_report));
    uint64_t now_ms = hs_clock_monotonic_ms();
    GHashTableIter iterator;
    gpointer value = NULL;
    g_mutex_lock(&engines->lock);
    g_hash_table_iter_init(&iterator, engines->by_id);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const hs_fleet_engine *engine = value;
        uint64_t age_ms = hs_fleet_engine_report_age_ms(engine, now_ms);
        if (age_ms == UINT64_MAX || engine->is_report_partial)
            continue;
        hs_engine_load_report report = engine->last_report;
        report.age_ms = (uint32_t)age_ms;
        g_array_append_val(reports, report);
    }
    g_mutex_unlock(&engines->lock);
    return reports;
}

void hs_fleet_engines_count_relayed_reports(hs_fleet_engines *engines, size_t reports,
                                            size_t bytes) {
    g_mutex_lock(&engines->lock);
    engines->reports.relayed += reports;
    engines->reports.relayed_bytes += bytes;
    g_mutex_unlock(&engines->lock);
}

/** Item of the highest rank that is not preempted yet; the newest of equal ones; may be NULL. */
static hs_engine_lease *next_to_preempt(const hs_fleet_engine *engine) {
    hs_engine_lease *next = NULL;
    uint64_t now_ms = hs_clock_monotonic_ms();
    for (guint index = 0; index < engine->batch_leases->len; index++) {
        hs_engine_lease *lease = engine->batch_leases->pdata[index];
        if (lease->preemption_flag != NULL &&
            hs_interrupt_get(lease->preemption_flag) == HS_INTERRUPT_NONE &&
            (next == NULL || current_rank(lease, now_ms) >= current_rank(next, now_ms)))
            next = lease;
    }
    return next;
}

uint32_t hs_fleet_engine_preempt(hs_fleet_engine *engine, uint32_t wanted) {
    uint32_t preempted = 0;
    while (preempted < wanted) {
        hs_engine_lease *lease = next_to_preempt(engine);
        if (lease == NULL || !hs_interrupt_raise(lease->preemption_flag, HS_INTERRUPT_PREEMPT))
            break;
        preempted++;
    }
    return preempted;
}

uint32_t hs_fleet_engines_preempt_items(hs_fleet_engines *engines, uint64_t engine_hash,
                                        uint32_t count) {
    g_mutex_lock(&engines->lock);
    hs_fleet_engine *engine = hs_fleet_engines_find(engines, engine_hash);
    uint32_t preempted = engine != NULL ? hs_fleet_engine_preempt(engine, count) : 0;
    g_cond_broadcast(&engines->reports_changed);
    g_mutex_unlock(&engines->lock);
    return preempted;
}

static bool is_preempted(const hs_engine_lease *lease) {
    return lease->preemption_flag != NULL &&
           hs_interrupt_get(lease->preemption_flag) != HS_INTERRUPT_NONE;
}

/**
 * Waits for the arbiter's response, or until the lease's item is preempted; false: neither happened
 * in time. The caller holds the lock.
 */
static bool wait_for_report(hs_engine_lease *lease, uint32_t limit_ms) {
    hs_fleet_engines *engines = lease->engines;
    hs_pause pause = hs_clock_pause_begin(limit_ms);
    bool is_waiting = engines->use_observer != NULL;
    while (is_waiting && lease->engine->response_count == lease->responses_before &&
           !is_preempted(lease))
        is_waiting = hs_clock_pause_wait(&pause, &engines->reports_changed, &engines->lock);
    return is_waiting;
}

/** Whether an online request would wait for a slot or for prompts queued before its own. */
static bool would_wait(const hs_engine_lease *lease, uint64_t now_ms) {
    const hs_fleet_engine *engine = lease->engine;
    double online = engine->online + hs_fleet_engine_others_online(engine, now_ms);
    hs_engine_speed speed = hs_fleet_engine_speed(lease->engines, engine, now_ms);
    double queued = hs_fleet_engine_others_queued(engine, now_ms) + (double)engine->queued_tokens -
                    lease->unread_tokens;
    return online > engine->entry.slots || queued > speed.tokens_per_ms * MAX_QUEUED_READ_MS;
}

hs_lease_estimate hs_engine_lease_estimate(hs_engine_lease *lease, const hs_engine_query *query,
                                           uint64_t left_ms) {
    hs_lease_estimate estimate = {0};
    uint64_t now_ms = hs_clock_monotonic_ms();
    g_mutex_lock(&lease->engines->lock);
    const hs_fleet_engine *engine = lease->engine;
    hs_engine_speed speed = hs_fleet_engine_speed(lease->engines, engine, now_ms);
    estimate.pace = hs_fleet_engine_pace(lease->engines, engine, now_ms);
    estimate.online = engine->online + hs_fleet_engine_others_online(engine, now_ms);
    estimate.queued_tokens = hs_fleet_engine_others_queued(engine, now_ms) +
                             (double)engine->queued_tokens - lease->unread_tokens;
    estimate.slots = engine->entry.slots;
    estimate.min_first_byte_ms = speed.first_byte_ms;
    estimate.wait_ms = hs_engine_choice_wait_ms(estimate.online, estimate.slots,
                                                fmax(estimate.queued_tokens, 0), &speed);
    estimate.can_start_in_time =
        !query->has_wait_limit ||
        hs_engine_choice_can_start_in_time(estimate.wait_ms, &speed, query->max_start_wait_ms);
    estimate.will_miss_deadline =
        hs_engine_choice_will_miss_deadline(estimate.wait_ms, &speed, left_ms);
    g_mutex_unlock(&lease->engines->lock);
    return estimate;
}

hs_lease_confirmation hs_engine_lease_confirm(hs_engine_lease *lease, uint32_t limit_ms) {
    hs_lease_confirmation confirmation = HS_LEASE_UNCONFIRMED;
    uint64_t now_ms = hs_clock_monotonic_ms();
    g_mutex_lock(&lease->engines->lock);
    const hs_fleet_engine *engine = lease->engine;
    hs_engine_warmup_wait(lease, limit_ms);
    bool is_denied = lease->has_requested_permit && lease->permit_until_ms == 0;
    if (!is_denied && wait_for_report(lease, limit_ms))
        confirmation = HS_LEASE_CONFIRMED;
    if (confirmation == HS_LEASE_CONFIRMED && engine->reported_failing_at_ms != 0)
        confirmation = HS_LEASE_ENGINE_FAILING;
    else if (is_preempted(lease) || (confirmation == HS_LEASE_CONFIRMED &&
                                     lease->work == HS_WORK_ONLINE && would_wait(lease, now_ms)))
        confirmation = HS_LEASE_OVERLOADED;
    if (is_denied || !hs_engine_warmup_is_permitted(lease, hs_clock_monotonic_ms()))
        confirmation = HS_LEASE_NOT_PERMITTED;
    g_mutex_unlock(&lease->engines->lock);
    return confirmation;
}
