/**
 * @file online_attempts.c
 * Sends a request to engines until one responds: builds the attempts, classifies failures and
 * decides whether to retry; see online_request_state.h.
 */
#include "online/online_request_state.h"

#include "base/clock.h"
#include "base/log.h"
#include "base/peer_watch.h"
#include "fleet/engine_choice.h"
#include "http/http_fields.h"
#include "tenants/tenant_index.h"

#define RESUME_PAUSE_MS 50
/** A held request of a stopping process is looked at again after this time. */
#define STOP_PAUSE_MS 100
#define SILENCE_TARGET_FACTOR 3
/**
 * On a reused connection a repeatable request waits for the response head for the target latency
 * divided by this; the rest of the target is left for a second attempt.
 */
#define REUSED_SILENCE_DIVISOR 2

const char *hs_online_version_name(const hs_attempt *attempt) {
    return *attempt->reasons.version != '\0' ? attempt->reasons.version : "-";
}

bool hs_online_may_repeat(const hs_online_request *request) {
    return request->route->kind == HS_ROUTE_IDEMPOTENT ||
           (request->route->kind == HS_ROUTE_STREAMING && request->route->resumable);
}

static uint64_t waited_ms(const hs_online_request *request) {
    return hs_clock_monotonic_ms() - request->inbound->received_ms;
}

static bool may_still_send(const void *request) {
    return hs_online_may_send(request);
}

static hs_attempt_parameters make_parameters(const hs_online_request *request) {
    const hs_inbound *inbound = request->inbound;
    hs_attempt_parameters parameters = {
        .query = {.service = request->service,
                  .tenant = request->tenant,
                  .size = request->terms.size.prompt_tokens > 0 ? &request->terms.size : NULL,
                  .work = HS_WORK_ONLINE,
                  .excluded = request->excluded,
                  .memory_tokens = request->memory_tokens,
                  .max_connections = request->max_connections,
                  .regions = request->regions,
                  .warmup = request->warmup,
                  .software = request->software},
        .contents = request->contents,
        .request = {.method = inbound->method,
                    .target = inbound->target,
                    .fields = inbound->fields,
                    .request_id = request->terms.request_id,
                    .tenant = request->tenant,
                    .body_length = inbound->body->len},
        .body = inbound->body->data,
        .wait = hs_online_wait(request),
        .may_send = may_still_send,
        .user_data = request,
        .refuse_if_late = request->run == HS_RUN_NOT_EXECUTED,
    };
    parameters.query.has_wait_limit = request->run == HS_RUN_NOT_EXECUTED;
    parameters.query.max_start_wait_ms = hs_engine_choice_start_limit_ms(
        request->route->target_latency_ms, request->age_ms + waited_ms(request),
        request->is_less_urgent);
    if (request->admission.verdict != HS_ADMISSION_OPEN)
        parameters.query.max_start_wait_ms =
            MIN(parameters.query.max_start_wait_ms, request->admission.begin_ms);
    if (request->events.has_last_id) {
        parameters.request.resumes = true;
        parameters.request.last_event = request->events.last_id;
    }
    parameters.needs_new_connection = request->lost_connection;
    parameters.may_continue =
        request->route->kind == HS_ROUTE_STREAMING && request->route->resumable;
    parameters.runs_once = !hs_online_may_repeat(request);
    parameters.may_repeat =
        hs_online_may_repeat(request) && request->runs + 1 < request->route->max_attempts;
    if (parameters.may_repeat) {
        parameters.head_timeout_ms = MAX(HS_ONLINE_MIN_SILENCE_MS,
                                         SILENCE_TARGET_FACTOR * request->route->target_latency_ms);
        parameters.reused_head_timeout_ms =
            request->route->target_latency_ms / REUSED_SILENCE_DIVISOR;
    }
    return parameters;
}

static void exclude_engine(hs_online_request *request, hs_attempt_end end) {
    g_ptr_array_add(request->excluded, g_strdup(request->attempt.engine_id));
    if (end == HS_ATTEMPT_OTHER_WEIGHTS)
        g_ptr_array_add(request->unsuited, g_strdup(request->attempt.engine_id));
}

/** Whether all engines of the service answered that they have other weights. */
static bool has_no_suited_engine(const hs_online_request *request) {
    return request->unsuited->len > 0 &&
           !hs_fleet_engines_has_other(request->online->engines, request->service,
                                       request->unsuited);
}

/**
 * Classifies a failed attempt. An engine counts as silent only after a long wait: a short timeout
 * of the caller or the route, or the stop of this process, is no evidence against the engine.
 */
static hs_attempt_end classify_failure(const hs_online_request *request) {
    hs_attempt_end end = hs_attempt_classify_failure(&request->attempt);
    bool is_ended_by_stop = request->attempt.step == HS_STEP_CALLER_GONE &&
                            hs_drain_has_expired(request->online->drain);
    if (request->attempt.step == HS_STEP_LOST || is_ended_by_stop)
        return HS_ATTEMPT_DROPPED;
    bool waited_long = waited_ms(request) >= HS_ONLINE_MIN_SILENCE_MS;
    if (end == HS_ATTEMPT_SILENT || end == HS_ATTEMPT_DROPPED)
        return waited_long ? HS_ATTEMPT_SILENT : HS_ATTEMPT_DROPPED;
    return end;
}

static void log_failed_attempt(const hs_online_request *request, hs_attempt_end end) {
    const hs_attempt *attempt = &request->attempt;
    hs_log_info(
        "attempt_failed",
        "request=%s content=%016" G_GINT64_MODIFIER
        "x engine=%s version=%s send=%u step=%s status=%u run=%s end=%s believed_running=%.1f "
        "failure_rate=%.3f suspected=%d sent_ago_ms=%" G_GUINT64_FORMAT,
        request->request_id, (guint64)request->contents.hashes[0], attempt->engine_id,
        hs_online_version_name(attempt), request->sends, hs_step_name(attempt->step),
        attempt->status, hs_run_state_name(attempt->run), hs_attempt_end_name(end),
        attempt->reasons.running, attempt->reasons.failure_rate, attempt->reasons.suspected,
        (guint64)(attempt->sent_ms > 0 ? hs_clock_monotonic_ms() - attempt->sent_ms : 0));
}

hs_next_action hs_online_after_failure(hs_online_request *request, hs_attempt_end end,
                                       hs_end_reason *reason) {
    hs_attempt *attempt = &request->attempt;
    bool caller_gone = attempt->step == HS_STEP_CALLER_GONE;
    log_failed_attempt(request, end);
    request->run = MAX(request->run, attempt->run);
    request->runs += attempt->run != HS_RUN_NOT_EXECUTED;
    if (attempt->step == HS_STEP_LOST) /* The engine may be healthy and hold the prompt's cache. */
        request->lost_connection = true;
    else
        exclude_engine(request, end);
    hs_attempt_finish(attempt, end);
    if (caller_gone && !hs_drain_has_expired(request->online->drain)) {
        *reason = HS_END_CALLER_GONE;
        return HS_NEXT_END;
    }
    if (hs_online_is_ended_by_stop(request, reason))
        return HS_NEXT_END;
    if (hs_clock_monotonic_ms() >= request->deadline) {
        *reason = request->run == HS_RUN_NOT_EXECUTED ? HS_END_LATE_NOT_RUN : HS_END_LATE;
        return HS_NEXT_END;
    }
    if (attempt->run == HS_RUN_NOT_EXECUTED)
        return HS_NEXT_RETRY;
    *reason = HS_END_BROKEN;
    return hs_online_may_repeat(request) && request->runs < request->route->max_attempts
               ? HS_NEXT_RETRY
               : HS_NEXT_END;
}

/** Waits for a slot if one is expected in time; otherwise sets the end reason. */
static hs_next_action handle_no_engine(hs_online_request *request, hs_end_reason *reason) {
    bool has_run = request->run != HS_RUN_NOT_EXECUTED;
    if (hs_online_is_software_gone(request)) {
        *reason = has_run ? HS_END_BROKEN : hs_online_refuse_software(request);
        return HS_NEXT_END;
    }
    if (has_no_suited_engine(request)) {
        request->retry_after_ms = HS_WEIGHTS_RETRY_MS;
        *reason = has_run ? HS_END_BROKEN : HS_END_OTHER_WEIGHTS;
        return HS_NEXT_END;
    }
    hs_refusal_choice choice = hs_online_choose_refusal(request);
    if (choice.verdict == HS_REFUSAL_HOLD && (!has_run || hs_online_may_repeat(request))) {
        hs_queue_priority priority = hs_online_queue_priority(request);
        uint64_t pause_ms =
            has_run ? MIN(RESUME_PAUSE_MS, hs_clock_left_ms(request->deadline)) : choice.pause_ms;
        if (hs_online_is_stopping(request))
            pause_ms = MIN(pause_ms, STOP_PAUSE_MS);
        request->woken += hs_held_requests_wait(request->online->held, request->held, &priority,
                                                request->inbound->descriptor, pause_ms);
        g_ptr_array_set_size(request->excluded, 0);
        for (guint index = 0; index < request->unsuited->len; index++)
            g_ptr_array_add(request->excluded, g_strdup(request->unsuited->pdata[index]));
        return HS_NEXT_RETRY; /* The retry loop checks first whether the caller has left. */
    }
    request->retry_after_ms = choice.expected_ms;
    if (has_run)
        *reason = hs_clock_left_ms(request->deadline) == 0 ? HS_END_LATE : HS_END_BROKEN;
    else
        *reason = hs_online_refusal_reason(request, choice.verdict);
    return HS_NEXT_END;
}

/**
 * Requests a trial run, unless this daemon suspects all engines. They may all be restarting after
 * the crashes that caused the quarantine, and a trial run that no engine begins shows nothing.
 */
static hs_trial_verdict request_trial(const hs_online_request *request, hs_crash_watch *watch,
                                      uint64_t content) {
    return hs_fleet_engines_has_healthy(request->online->engines, request->service,
                                        &request->regions)
               ? hs_crash_watch_request_trial(watch, &request->contents, content, false)
               : HS_TRIAL_NO_ENGINE;
}

/**
 * Reports whether the request must not be sent since its content is quarantined, and sets the end
 * reason. A quarantined request may get a trial run.
 */
static bool is_quarantined(hs_online_request *request, hs_end_reason *reason) {
    hs_crash_watch *watch = hs_fleet_engines_crash_watch(request->online->engines);
    hs_crash_quarantine quarantine;
    if (watch == NULL || !hs_crash_watch_is_quarantined(watch, &request->contents, &quarantine))
        return false;
    bool is_unsent = request->is_on_trial && request->run == HS_RUN_NOT_EXECUTED;
    hs_trial_verdict verdict =
        is_unsent ? HS_TRIAL_GRANTED : request_trial(request, watch, quarantine.content);
    request->is_on_trial = verdict == HS_TRIAL_GRANTED;
    if (request->is_on_trial && !is_unsent)
        request->trial_content = quarantine.content;
    if (request->is_on_trial)
        return false;
    uint64_t now_ms = hs_clock_monotonic_ms();
    request->retry_after_ms = quarantine.until_ms > now_ms ? quarantine.until_ms - now_ms : 0;
    *reason = request->run == HS_RUN_NOT_EXECUTED ? HS_END_QUARANTINED : HS_END_BROKEN;
    hs_log_info("request_held_back",
                "request=%s content=%016" G_GINT64_MODIFIER "x held_content=%016" G_GINT64_MODIFIER
                "x engines_lost=%u explained=%u trial=%s hold_left_ms=%" G_GUINT64_FORMAT
                " run=%s sends=%u",
                request->request_id, (guint64)request->contents.hashes[0],
                (guint64)quarantine.content, quarantine.engines, quarantine.explained,
                hs_trial_verdict_name(verdict), (guint64)request->retry_after_ms,
                hs_run_state_name(request->run), request->sends);
    return true;
}

bool hs_online_has_recent_keys(const hs_online *online) {
    uint64_t as_of_ms = online->max_key_age_ms > 0 ? hs_config_source_as_of_ms(online->config) : 0;
    return online->max_key_age_ms == 0 ||
           (as_of_ms != 0 && hs_clock_monotonic_ms() <= as_of_ms + online->max_key_age_ms);
}

/** Whether the key of a request that has not run yet may have been revoked while it waited. */
static bool is_key_unsure(const hs_online_request *request, hs_end_reason *reason) {
    bool is_unsure = request->tenant != NULL && request->run == HS_RUN_NOT_EXECUTED &&
                     !hs_online_has_recent_keys(request->online);
    if (is_unsure)
        *reason = HS_END_KEYS_STALE;
    return is_unsure;
}

bool hs_online_is_still_authorized(hs_online_request *request, hs_end_reason *reason) {
    hs_fleet_config *config = hs_config_source_get(request->online->config);
    if (config == NULL || config->version == request->checked_version) {
        hs_fleet_config_unref(config);
        return true;
    }
    const hs_fleet_tenant *tenant = NULL;
    hs_access access =
        hs_tenant_access_decide(config,
                                &(hs_access_request){.key = request->terms.api_key,
                                                     .has_many_keys = request->terms.has_many_keys,
                                                     .is_public = request->route->is_public},
                                &tenant);
    if (access == HS_ACCESS_GRANTED) {
        request->checked_version = config->version;
        g_free(request->tenant);
        request->tenant = tenant != NULL ? g_strdup(tenant->name) : NULL;
        request->is_tenant_changed = true;
    } else {
        *reason = request->run == HS_RUN_NOT_EXECUTED ? HS_END_KEY_UNKNOWN : HS_END_BROKEN;
        hs_log_info("request_no_longer_allowed",
                    "request=%s tenant=%s version=%" G_GUINT64_FORMAT " before=%" G_GUINT64_FORMAT
                    " run=%s sends=%u",
                    request->request_id, request->tenant != NULL ? request->tenant : "-",
                    (guint64)config->version, (guint64)request->checked_version,
                    hs_run_state_name(request->run), request->sends);
    }
    hs_fleet_config_unref(config);
    return access == HS_ACCESS_GRANTED;
}

bool hs_online_find_answer(hs_online_request *request, hs_end_reason *reason) {
    hs_next_action action = HS_NEXT_RETRY;
    if (hs_online_is_over_share(request, reason))
        return false;
    while (action == HS_NEXT_RETRY) {
        if (hs_online_is_ended_by_stop(request, reason))
            return false;
        if (!hs_online_is_still_authorized(request, reason) || is_key_unsure(request, reason) ||
            !hs_online_has_allowed_region(request, reason) || is_quarantined(request, reason))
            return false;
        if (hs_peer_has_disconnected(request->inbound->descriptor)) {
            *reason = HS_END_CALLER_GONE;
            return false;
        }
        hs_online_admit(request);
        if (!request->admission.may_try) {
            action = handle_no_engine(request, reason);
            continue;
        }
        hs_attempt_parameters parameters = make_parameters(request);
        bool has_head = hs_attempt_start(request->online->engines, &parameters, &request->attempt);
        if (request->attempt.lease_estimate.will_miss_deadline) {
            hs_online_refuse_unsent(request, reason);
            return false;
        }
        if (request->attempt.lease == NULL) {
            if (hs_online_is_ended_by_stop(request, reason))
                return false;
            action = handle_no_engine(request, reason);
            continue;
        }
        request->sends++;
        if (request->open_run == NULL && request->attempt.run != HS_RUN_NOT_EXECUTED)
            request->open_run = hs_run_lengths_begin(
                request->online->run_lengths, request->route->name, request->attempt.sent_ms);
        if (has_head && !request->attempt.answer.not_executed) {
            hs_online_set_held(request, false, true);
            return true;
        }
        hs_attempt_end end = classify_failure(request);
        if (has_head) {
            hs_attempt_discard_refusal(&request->attempt, &parameters.wait);
            end = request->attempt.refusal;
        }
        action = hs_online_after_failure(request, end, reason);
    }
    return false;
}
