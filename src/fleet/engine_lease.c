/** @file engine_lease.c  Leases of engines, and idle connections; see fleet_engines.h. */
#include "fleet/fleet_engine.h"

#include "base/clock.h"
#include "base/hash.h"
#include "base/log.h"

#include <math.h>
#include <string.h>

#define MAX_IDLE_PER_ENGINE 16
#define DEFAULT_KEEP_ALIVE_MS 4000 /* If the engine announces no keep-alive time. */
#define KEEP_ALIVE_SHARE 0.7       /* Of the announced time: the engine must not close first. */
#define MIN_SUSPICION_MS 400
#define MAX_SUSPICION_MS 5000
#define FULL_BACKOFF_MS 40
/** Time after the last request in which an engine counts as used: counts of failures decay
 * meanwhile. */
#define USE_KEPT_MS 60000
#define BROKEN_BEFORE_SUSPICION 3
#define SPEED_SMOOTHING 0.1
/** Growth of the shortest time to a first byte with each sample, so that old samples expire. */
#define FIRST_BYTE_GROWTH 1.01
#define MIN_RATE_SAMPLE_TOKENS 1000
/** Length of a prompt from which the arbiter is notified at once that the engine has read it. */
#define MIN_NOTIFIED_PROMPT_TOKENS 2000
/**
 * Short enough for another engine to answer within the shortest latency objective, half a second,
 * if this one is unreachable. A hundred times a round trip.
 */
#define CONNECT_TIMEOUT_MS 300
/** Samples needed before the time to an answer's head is estimated. */
#define MIN_HEAD_SAMPLES 10
/** Mean deviations added to the mean time to a head, as in TCP's retransmission timeout. */
#define HEAD_DEVIATIONS 4
/** Allowed time for reading a prompt, as a multiple of the usual time. */
#define PROMPT_READ_FACTOR 2
/** Upper bound of a run's mean time of an event, as a multiple of the service's mean. */
#define MAX_EVENT_TIME_FACTOR 4
/** Other timeouts end sooner than this. */
#define MAX_HEAD_LIMIT_MS 60000

const char *hs_engine_lease_id(const hs_engine_lease *lease) {
    return lease->engine->entry.id;
}

hs_engine_reasons hs_engine_lease_reasons(const hs_engine_lease *lease) {
    return lease->reasons;
}

const char *hs_attempt_end_name(hs_attempt_end end) {
    static const char *const names[] = {
        [HS_ATTEMPT_SERVED] = "served",
        [HS_ATTEMPT_FAILED] = "failed",
        [HS_ATTEMPT_REFUSED] = "refused",
        [HS_ATTEMPT_WRONG_ENGINE] = "wrong_engine",
        [HS_ATTEMPT_OTHER_WEIGHTS] = "other_weights",
        [HS_ATTEMPT_UNREACHABLE] = "unreachable",
        [HS_ATTEMPT_BROKEN] = "broken",
        [HS_ATTEMPT_SILENT] = "silent",
        [HS_ATTEMPT_DROPPED] = "dropped",
    };
    return names[end];
}

static void update_average(double *value, double sample) {
    *value += (sample - *value) * SPEED_SMOOTHING;
}

/** Whether the engine is expected to keep the connection open, since it was used recently. */
static bool is_within_keep_alive(const hs_idle_connection *idle, uint64_t now_ms) {
    uint64_t announced_ms = hs_client_connection_keep_alive_ms(idle->connection);
    uint64_t limit_ms = announced_ms > 0 ? (uint64_t)((double)announced_ms * KEEP_ALIVE_SHARE)
                                         : DEFAULT_KEEP_ALIVE_MS;
    return now_ms < idle->idle_since_ms + limit_ms;
}

static bool is_connection_usable(const hs_idle_connection *idle, uint64_t now_ms) {
    return is_within_keep_alive(idle, now_ms) &&
           hs_client_connection_is_idle_and_open(idle->connection);
}

/**
 * Frees an idle connection that is not usable. If the engine closed it early, the engine may have
 * restarted. The caller holds the lock.
 */
static void discard_idle(const hs_fleet_engines *engines, hs_fleet_engine *engine,
                         hs_idle_connection *idle, uint64_t now_ms) {
    if (is_within_keep_alive(idle, now_ms) &&
        hs_client_connection_is_closed_by_peer(idle->connection)) {
        engine->connection_lost_ms = now_ms;
        hs_engine_warmup_note_lost(engines, engine, HS_COLD_CLOSED, now_ms);
    }
    hs_idle_connection_free(idle);
}

static bool has_carried(const hs_carried_requests *carried, uint64_t request_hash) {
    bool is_found = false;
    for (uint32_t index = 0; index < carried->count && !is_found; index++)
        is_found = carried->hashes[index] == request_hash;
    return is_found;
}

/** Whether the engine keeps an idle connection open, so that it has not restarted since. */
static bool has_open_idle(const hs_fleet_engine *engine, uint64_t now_ms) {
    bool is_found = false;
    for (const GList *link = engine->idle.head; link != NULL && !is_found; link = link->next)
        is_found = is_connection_usable(link->data, now_ms);
    return is_found;
}

/**
 * Returns the most recently used idle connection that is usable, or NULL, and closes unusable ones
 * on the way. Skips, but keeps, connections that carried the request before or were idle for too
 * long.
 */
static hs_client_connection *take_idle(hs_engine_lease *lease, const hs_connection_needs *needs) {
    hs_client_connection *connection = NULL;
    uint64_t now_ms = hs_clock_monotonic_ms();
    g_mutex_lock(&lease->engines->lock);
    GQueue *queue = &lease->engine->idle;
    GList *link = queue->tail;
    while (connection == NULL && link != NULL) {
        GList *before = link->prev;
        hs_idle_connection *idle = link->data;
        bool is_recent = now_ms - idle->idle_since_ms < needs->max_idle_ms;
        bool is_ambiguous =
            needs->runs_once && hs_client_connection_had_unnamed_answer(idle->connection);
        if (!is_recent || has_carried(&idle->carried, lease->request_hash)) {
            link = before;
            continue;
        }
        if (is_ambiguous) {
            hs_idle_connection_free(idle);
        } else if (is_connection_usable(idle, now_ms)) {
            connection = idle->connection;
            lease->carried = idle->carried;
            g_free(idle);
        } else {
            discard_idle(lease->engines, lease->engine, idle, now_ms);
        }
        g_queue_delete_link(queue, link);
        link = before;
    }
    g_mutex_unlock(&lease->engines->lock);
    return connection;
}

hs_client_connection *hs_engine_lease_connect(hs_engine_lease *lease,
                                              const hs_connection_needs *needs, const hs_wait *wait,
                                              hs_step *step) {
    const char *request_id = needs->request_id;
    lease->request_hash = request_id != NULL ? hs_hash_bytes(request_id, strlen(request_id)) : 0;
    hs_client_connection *connection = take_idle(lease, needs);
    *step = HS_STEP_PROGRESS;
    if (connection != NULL)
        return connection;
    hs_wait connecting = *wait;
    connecting.deadline = MIN(wait->deadline, hs_clock_monotonic_ms() + CONNECT_TIMEOUT_MS);
    g_mutex_lock(&lease->engines->lock);
    lease->engines->connects++;
    uint32_t address = lease->engine->entry.address;
    uint16_t port = lease->engine->entry.port;
    g_mutex_unlock(&lease->engines->lock);
    connection = hs_client_connection_open(address, port, &connecting, step);
    if (connection != NULL)
        hs_client_connection_set_timeouts(connection, HS_CONNECTION_ENGINE);
    return connection;
}

void hs_engine_lease_drop_idle(hs_engine_lease *lease) {
    g_mutex_lock(&lease->engines->lock);
    g_queue_clear_full(&lease->engine->idle, hs_idle_connection_free);
    g_mutex_unlock(&lease->engines->lock);
}

uint32_t hs_engine_lease_head_limit_ms(hs_engine_lease *lease, uint64_t prompt_tokens) {
    g_mutex_lock(&lease->engines->lock);
    const hs_engine_speed *speed =
        hs_fleet_engines_speed(lease->engines, lease->engine->entry.service);
    bool is_known =
        speed->heads >= MIN_HEAD_SAMPLES && 2 * lease->reasons.running <= lease->reasons.slots;
    double pace = hs_fleet_engine_pace(lease->engines, lease->engine, hs_clock_monotonic_ms());
    double limit_ms = speed->head_ms + HEAD_DEVIATIONS * speed->head_deviation_ms;
    if (speed->tokens_per_ms > 0)
        limit_ms += PROMPT_READ_FACTOR * (double)prompt_tokens / speed->tokens_per_ms;
    limit_ms *= fmax(pace, 1); /* A faster pace does not shorten the limit. */
    g_mutex_unlock(&lease->engines->lock);
    return is_known ? (uint32_t)fmax(fmin(limit_ms, MAX_HEAD_LIMIT_MS), 1) : 0;
}

void hs_engine_lease_note_head(hs_engine_lease *lease) {
    uint64_t now_ms = hs_clock_monotonic_ms();
    g_mutex_lock(&lease->engines->lock);
    hs_engine_speed *speed = hs_fleet_engines_speed(lease->engines, lease->engine->entry.service);
    double took_ms = (double)(now_ms - lease->acquired_ms);
    if (speed->heads == 0)
        speed->head_ms = took_ms;
    update_average(&speed->head_deviation_ms, fabs(took_ms - speed->head_ms));
    update_average(&speed->head_ms, took_ms);
    speed->heads++;
    g_mutex_unlock(&lease->engines->lock);
}

/** Ends the lease's probe, if any; the next request may probe. The caller holds the lock. */
static void end_probe(hs_engine_lease *lease) {
    if (lease->is_probe)
        lease->engine->is_probing = false;
    lease->is_probe = false;
}

void hs_engine_lease_note_received(hs_engine_lease *lease) {
    g_mutex_lock(&lease->engines->lock);
    lease->engine->last_received_ms = hs_clock_monotonic_ms();
    lease->engine->is_unreachable = false;
    hs_fleet_engine_note_zone_answer(lease->engine, lease->engine->last_received_ms);
    if (lease->is_probe)
        lease->engine->suspected_until_ms = 0;
    end_probe(lease);
    g_mutex_unlock(&lease->engines->lock);
}

static void note_first_byte(hs_engine_speed *speed, double took_ms) {
    double shortest_ms = speed->first_byte_ms * FIRST_BYTE_GROWTH;
    speed->first_byte_ms = speed->first_byte_ms > 0 ? fmin(shortest_ms, took_ms) : took_ms;
}

/** Removes the lease's prompt from the engine's queued tokens. The caller holds the lock. */
static void remove_unread_tokens(hs_engine_lease *lease) {
    lease->engine->queued_tokens -= MIN(lease->engine->queued_tokens, lease->unread_tokens);
    lease->unread_tokens = 0;
}

void hs_engine_lease_note_first_token(hs_engine_lease *lease) {
    uint64_t now_ms = hs_clock_monotonic_ms();
    g_mutex_lock(&lease->engines->lock);
    lease->engine->last_received_ms = now_ms;
    hs_fleet_engine_note_zone_answer(lease->engine, now_ms);
    lease->first_token_ms = now_ms;
    if (lease->work == HS_WORK_ONLINE)
        note_first_byte(hs_fleet_engines_speed(lease->engines, lease->engine->entry.service),
                        (double)(now_ms - lease->acquired_ms));
    if (lease->had_empty_queue && lease->unread_tokens >= MIN_RATE_SAMPLE_TOKENS) {
        double took_ms = fmax((double)(now_ms - lease->acquired_ms), 1.0);
        update_average(
            &hs_fleet_engines_speed(lease->engines, lease->engine->entry.service)->tokens_per_ms,
            lease->unread_tokens / took_ms);
    }
    bool is_notified = lease->unread_tokens >= MIN_NOTIFIED_PROMPT_TOKENS;
    remove_unread_tokens(lease);
    hs_engine_use use = {0};
    if (is_notified)
        use = hs_fleet_engine_use(lease->engines, lease->engine);
    g_mutex_unlock(&lease->engines->lock);
    if (is_notified)
        hs_fleet_engines_notify_use(lease->engines, &use, false);
}

void hs_engine_lease_note_events(hs_engine_lease *lease, uint64_t events) {
    if (events == 0 || (lease->first_event_ms != 0 && events <= lease->last_events))
        return;
    lease->last_event_ms = hs_clock_monotonic_ms();
    lease->last_events = events;
    if (lease->first_event_ms != 0)
        return;
    lease->first_event_ms = lease->last_event_ms;
    lease->first_events = events;
}

/**
 * Adds the run's events to the engine's and the service's mean time of an event. The time is
 * bounded, since a caller that reads slowly delays the stream. The caller holds the lock.
 */
static void count_events(const hs_engine_lease *lease, uint64_t now_ms) {
    uint64_t events = lease->last_events - lease->first_events;
    if (events == 0)
        return;
    hs_engine_speed *speed = hs_fleet_engines_speed(lease->engines, lease->engine->entry.service);
    double took_ms = (double)(lease->last_event_ms - lease->first_event_ms);
    if (speed->event_ms > 0)
        took_ms = fmin(took_ms, MAX_EVENT_TIME_FACTOR * speed->event_ms * (double)events);
    else
        speed->event_ms = took_ms / (double)events;
    update_average(&speed->event_ms, took_ms / (double)events);
    lease->engine->run_events += events;
    lease->engine->run_ms += (uint64_t)took_ms;
    hs_engine_pace_note_events(&lease->engine->pace, events, (uint64_t)took_ms, now_ms);
}

void hs_engine_lease_note_load(hs_engine_lease *lease, const hs_engine_load *load) {
    if (!load->present)
        return;
    g_mutex_lock(&lease->engines->lock);
    lease->engines->slowdowns_rejected += load->is_slowdown_rejected;
    lease->engine->load = *load;
    lease->engine->load_ms = hs_clock_monotonic_ms();
    lease->engine->load_own_requests = (double)lease->engine->online + lease->engine->batch;
    hs_engine_pace_note_slowdown(&lease->engine->pace, load->slowdown_percent, 0,
                                 lease->engine->load_ms);
    g_mutex_unlock(&lease->engines->lock);
}

static void mark_suspected(hs_fleet_engine *engine, uint64_t now_ms, const char *cause) {
    bool is_new = now_ms >= engine->suspected_until_ms;
    uint32_t doublings = MIN(engine->failures, 8);
    uint64_t duration_ms = MIN((uint64_t)MIN_SUSPICION_MS << doublings, MAX_SUSPICION_MS);
    engine->failures++;
    engine->suspected_until_ms = now_ms + duration_ms;
    if (is_new)
        hs_log_warning("engine_suspected", "engine=%s cause=%s failures=%u for_ms=%u",
                       engine->entry.id, cause, engine->failures, (unsigned)duration_ms);
}

void hs_engine_lease_note_resume_mismatch(hs_engine_lease *lease) {
    g_mutex_lock(&lease->engines->lock);
    lease->engines->resume_mismatches++;
    g_mutex_unlock(&lease->engines->lock);
}

/** Whether an open idle connection leads to the start that the entry names. */
static bool has_idle_to_known_start(const hs_fleet_engine *engine) {
    bool is_found = false;
    for (const GList *link = engine->idle.head; link != NULL && !is_found; link = link->next) {
        const hs_idle_connection *idle = link->data;
        is_found = hs_client_connection_is_peer_known(idle->connection) &&
                   hs_client_connection_is_idle_and_open(idle->connection);
    }
    return is_found;
}

hs_engine_start hs_engine_lease_start(hs_engine_lease *lease,
                                      const hs_client_connection *connection) {
    g_mutex_lock(&lease->engines->lock);
    const hs_fleet_engine *engine = lease->engine;
    uint64_t written_after_ms = engine->listed_ms - MIN(engine->listed_ms, HS_ENTRY_DELAY_MS);
    bool is_known = hs_client_connection_is_peer_known(connection) ||
                    hs_client_connection_opened_ms(connection) <= written_after_ms ||
                    has_idle_to_known_start(engine);
    hs_engine_start start = {.is_certain = !engine->has_restarted &&
                                           (engine->entry.started_at_ms == 0 || is_known),
                             .is_doubted = engine->has_restarted || engine->is_start_unknown ||
                                           engine->connection_lost_ms >= MAX(written_after_ms, 1),
                             .started_at_ms = engine->entry.started_at_ms};
    g_mutex_unlock(&lease->engines->lock);
    return start;
}

void hs_engine_lease_note_unknown_start(hs_engine_lease *lease) {
    g_mutex_lock(&lease->engines->lock);
    lease->engine->is_start_unknown = true;
    lease->engine->connection_lost_ms = hs_clock_monotonic_ms();
    g_mutex_unlock(&lease->engines->lock);
}

void hs_engine_lease_note_invalid_answer(hs_engine_lease *lease) {
    g_mutex_lock(&lease->engines->lock);
    lease->engines->invalid_answers++;
    g_mutex_unlock(&lease->engines->lock);
}

/** Counts a request that ended and, if @p failed, its failure. */
static void note_end(hs_fleet_engine *engine, bool failed, uint64_t now_ms) {
    engine->decayed_ended =
        hs_fleet_engine_decayed_count(engine, engine->decayed_ended, now_ms) + 1;
    engine->decayed_failed =
        hs_fleet_engine_decayed_count(engine, engine->decayed_failed, now_ms) + (failed ? 1 : 0);
    engine->decayed_at_ms = now_ms;
}

/** Whether an attempt's end counts as a failure in the use sent to the engine's arbiter. */
static bool is_failure(hs_attempt_end end) {
    return end == HS_ATTEMPT_FAILED || end == HS_ATTEMPT_UNREACHABLE || end == HS_ATTEMPT_SILENT ||
           end == HS_ATTEMPT_BROKEN;
}

/** Records the time of a served run. The caller holds the lock. */
static void note_run(const hs_engine_lease *lease, double took_ms) {
    hs_engine_speed *speed = hs_fleet_engines_speed(lease->engines, lease->engine->entry.service);
    update_average(&speed->run_ms, took_ms);
    if (lease->work != HS_WORK_ONLINE)
        return;
    if (speed->online_run_ms == 0)
        speed->online_run_ms = took_ms;
    update_average(&speed->online_run_ms, took_ms);
    if (lease->tenant != NULL)
        hs_tenant_runs_note_run(lease->engines->tenant_runs, lease->tenant,
                                lease->engine->entry.service, took_ms);
}

/** Updates the engine's health by an attempt's end. The caller holds the lock. */
static void apply_attempt_end(hs_engine_lease *lease, hs_attempt_end end, uint64_t now_ms) {
    hs_fleet_engine *engine = lease->engine;
    engine->served_count += end == HS_ATTEMPT_SERVED;
    engine->failed_count += is_failure(end);
    if (end == HS_ATTEMPT_UNREACHABLE || end == HS_ATTEMPT_BROKEN)
        engine->connection_lost_ms = now_ms;
    switch (end) {
    case HS_ATTEMPT_SERVED:
        engine->failures = 0;
        engine->suspected_until_ms = 0;
        engine->is_unreachable = false;
        note_end(engine, false, now_ms);
        note_run(lease, (double)(now_ms - lease->acquired_ms));
        break;
    case HS_ATTEMPT_FAILED:
        note_end(engine, true, now_ms);
        break;
    case HS_ATTEMPT_REFUSED:
        engine->full_until_ms = now_ms + FULL_BACKOFF_MS;
        break;
    case HS_ATTEMPT_WRONG_ENGINE:
        engine->has_address_mismatch = true;
        break;
    case HS_ATTEMPT_UNREACHABLE:
        lease->engines->failed_connects++;
        engine->is_unreachable = true;
        mark_suspected(engine, now_ms, "unreachable");
        hs_engine_warmup_note_lost(lease->engines, engine, HS_COLD_UNREACHABLE, now_ms);
        hs_fleet_engine_note_zone_failure(engine, now_ms);
        break;
    case HS_ATTEMPT_SILENT:
        note_end(engine, true, now_ms);
        mark_suspected(engine, now_ms, "silent");
        hs_fleet_engine_note_zone_failure(engine, now_ms);
        break;
    case HS_ATTEMPT_BROKEN:
        note_end(engine, true, now_ms);
        if (!has_open_idle(engine, now_ms))
            hs_engine_warmup_note_lost(lease->engines, engine, HS_COLD_CLOSED, now_ms);
        if (++engine->failures >= BROKEN_BEFORE_SUSPICION)
            mark_suspected(engine, now_ms, "broken");
        break;
    case HS_ATTEMPT_OTHER_WEIGHTS:
    case HS_ATTEMPT_DROPPED:
        break;
    }
}

/**
 * Records the request as carried by its connection. Returns false if the connection has reached its
 * limit and is to be closed.
 */
static bool note_carried(hs_engine_lease *lease) {
    if (lease->request_hash == 0)
        return true;
    lease->carried.hashes[lease->carried.count++] = lease->request_hash;
    return lease->carried.count < HS_MAX_CARRIED_REQUESTS;
}

/** This daemon's connections to the engine if one more were kept idle. */
static double connections_with_one_more(const hs_fleet_engine *engine) {
    return (double)engine->online + engine->batch + engine->idle.length + 1;
}

/**
 * Closes the least recently used idle connections until one more may be kept; false if none may.
 * Recently used ones carried fewer of the requests that are attempted again on the engine.
 */
static bool evict_idle(hs_engine_lease *lease) {
    hs_fleet_engine *engine = lease->engine;
    while (!g_queue_is_empty(&engine->idle) &&
           (engine->idle.length >= MAX_IDLE_PER_ENGINE ||
            connections_with_one_more(engine) > lease->connection_share))
        hs_idle_connection_free(g_queue_pop_head(&engine->idle));
    return connections_with_one_more(engine) <= lease->connection_share;
}

static bool keep_connection(hs_engine_lease *lease, hs_client_connection *connection,
                            uint64_t now_ms) {
    hs_fleet_engine *engine = lease->engine;
    if (connection == NULL || !hs_client_connection_is_reusable(connection) || !engine->listed ||
        engine->entry.draining || !evict_idle(lease))
        return false;
    hs_client_connection_drop_body(connection);
    hs_idle_connection *idle = g_new(hs_idle_connection, 1);
    *idle = (hs_idle_connection){
        .connection = connection, .idle_since_ms = now_ms, .carried = lease->carried};
    g_queue_push_tail(&engine->idle, idle);
    return true;
}

bool hs_engine_lease_may_send(hs_engine_lease *lease) {
    const hs_fleet_engines *engines = lease->engines;
    if (!hs_fleet_engines_has_evacuations(lease->engines))
        return true;
    g_mutex_lock(&lease->engines->lock);
    uint64_t now_ms = hs_clock_monotonic_ms();
    hs_zone_use use = hs_fleet_engine_zone_use(engines, lease->engine, now_ms);
    bool is_usable = use == HS_ZONE_OPEN || (use == HS_ZONE_LAST_RESORT && lease->is_last_resort);
    bool may_send = is_usable && hs_evacuation_is_current(engines->evacuation, now_ms);
    g_mutex_unlock(&lease->engines->lock);
    return may_send;
}

/** Whether the engine is shutting down: a run that is cut then indicates no crash. */
static bool is_leaving(const hs_fleet_engine *engine) {
    return engine->entry.draining || (!engine->listed && !engine->has_restarted);
}

/** Describes a run that ended now. Returns false if the engine is expected to end runs. */
static bool make_cut_run(hs_engine_lease *lease, const hs_request_contents *contents,
                         hs_cut_run *run) {
    const hs_fleet_engine *engine = lease->engine;
    *run = (hs_cut_run){.contents = *contents, .cut_ms = hs_clock_monotonic_ms()};
    if (lease->first_token_ms != 0)
        run->ran_ms = (uint32_t)(run->cut_ms - lease->first_token_ms);
    g_mutex_lock(&lease->engines->lock);
    bool is_expected = is_leaving(engine) || hs_fleet_engine_zone_use(lease->engines, engine,
                                                                      run->cut_ms) != HS_ZONE_OPEN;
    run->engine = engine->hash;
    run->address = engine->entry.address;
    run->port = engine->entry.port;
    g_strlcpy(run->engine_id, engine->entry.id, sizeof run->engine_id);
    g_mutex_unlock(&lease->engines->lock);
    return !is_expected;
}

void hs_engine_lease_note_run_end(hs_engine_lease *lease, const hs_request_contents *contents,
                                  hs_attempt_end end, bool is_ended_by_close) {
    hs_crash_watch *watch = lease->engines->crash_watch;
    if (watch == NULL)
        return;
    hs_request_contents whole = {.count = 1, .hashes = {contents->hashes[0]}};
    hs_cut_run run;
    if (end == HS_ATTEMPT_FAILED) /* A refusal to answer shows nothing about the prompt's parts. */
        hs_crash_watch_note_survived(watch, &whole);
    else if (end == HS_ATTEMPT_SERVED && !is_ended_by_close)
        hs_crash_watch_note_survived(watch, contents);
    else if (end == HS_ATTEMPT_SERVED && make_cut_run(lease, contents, &run))
        hs_crash_watch_note_ended(watch, &run);
    else if (end == HS_ATTEMPT_BROKEN && make_cut_run(lease, contents, &run))
        hs_crash_watch_note_cut(watch, &run);
}

void hs_engine_lease_release(hs_engine_lease *lease, hs_client_connection *connection,
                             hs_attempt_end end) {
    uint64_t now_ms = hs_clock_monotonic_ms();
    hs_fleet_engine *engine = lease->engine;
    g_mutex_lock(&lease->engines->lock);
    g_autofree char *service = g_strdup(engine->entry.service);
    remove_unread_tokens(lease);
    count_events(lease, now_ms);
    engine->memory_tokens_used -= MIN(engine->memory_tokens_used, lease->memory_tokens);
    if (lease->work == HS_WORK_ONLINE)
        engine->online--;
    else
        engine->batch--;
    g_ptr_array_remove(engine->batch_leases, lease);
    end_probe(lease);
    hs_engine_warmup_end(lease, now_ms);
    apply_attempt_end(lease, end, now_ms);
    bool is_refused = end == HS_ATTEMPT_UNREACHABLE && !is_leaving(engine);
    uint64_t engine_hash = engine->hash;
    bool is_kept = note_carried(lease) && keep_connection(lease, connection, now_ms);
    engine->last_release_ms = now_ms;
    hs_engine_use use = hs_fleet_engine_use(lease->engines, engine);
    hs_fleet_engine_unref(engine);
    g_mutex_unlock(&lease->engines->lock);
    if (!is_kept)
        hs_client_connection_close(connection);
    if (is_refused && lease->engines->crash_watch != NULL)
        hs_crash_watch_note_refused(lease->engines->crash_watch, engine_hash);
    hs_fleet_engines_notify_use(lease->engines, &use, false);
    if (end == HS_ATTEMPT_SERVED)
        hs_fleet_engines_notify_free_slot(lease->engines, service);
    g_free(lease->tenant);
    g_free(lease);
}

static void prune_engine(const hs_fleet_engines *engines, hs_fleet_engine *engine,
                         uint64_t now_ms) {
    guint count = g_queue_get_length(&engine->idle);
    for (guint index = 0; index < count; index++) {
        hs_idle_connection *idle = g_queue_pop_head(&engine->idle);
        if (is_connection_usable(idle, now_ms)) {
            g_queue_push_tail(&engine->idle, idle);
            continue;
        }
        discard_idle(engines, engine, idle, now_ms);
    }
}

/** Whether nothing is left of this daemon's use of the engine that periodic work looks at. */
static bool is_use_over(const hs_fleet_engine *engine, uint64_t now_ms) {
    return engine->online + engine->batch == 0 && g_queue_is_empty((GQueue *)&engine->idle) &&
           now_ms >= engine->suspected_until_ms && now_ms > engine->last_release_ms + USE_KEPT_MS;
}

void hs_fleet_engines_prune(hs_fleet_engines *engines) {
    uint64_t now_ms = hs_clock_monotonic_ms();
    GHashTableIter iterator;
    gpointer value = NULL;
    g_mutex_lock(&engines->lock);
    hs_fleet_engines_sum_peers(engines, now_ms);
    hs_fleet_engines_remove_unlisted(engines, now_ms);
    hs_engine_warmup_prune(engines, now_ms);
    g_hash_table_iter_init(&iterator, engines->used);
    while (g_hash_table_iter_next(&iterator, &value, NULL)) {
        prune_engine(engines, value, now_ms);
        if (is_use_over(value, now_ms))
            g_hash_table_iter_remove(&iterator);
    }
    g_mutex_unlock(&engines->lock);
}
