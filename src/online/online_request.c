/** @file online_request.c  Creates and ends requests and serves whole responses; see
 * online_request.h. */
#include "online/online_request_state.h"

#include "base/clock.h"
#include "base/hash.h"
#include "base/log.h"
#include "base/memory_budget.h"
#include "fleet/request_content.h"
#include "http/http_fields.h"
#include "online/answer_check.h"
#include "online/retry_after.h"
#include "tenants/tenant_index.h"

#include <string.h>

#define STATUS_FAILURE 500

static void log_end(hs_online_request *request, hs_end_reason reason) {
    uint64_t now_ms = hs_clock_monotonic_ms();
    const hs_attempt *attempt = &request->attempt;
    g_autofree char *regions = hs_online_describe_regions(request);
    hs_log_info(
        "request_ended",
        "request=%s content=%016" G_GINT64_MODIFIER
        "x route=%s tenant=%s service=%s config=%" G_GUINT64_FORMAT
        " engine=%s version=%s resumes=%s reason=%s run=%s sends=%u runs=%u "
        "events=%" G_GUINT64_FORMAT " first_byte_ms=%" G_GUINT64_FORMAT
        " total_ms=%" G_GUINT64_FORMAT " left_ms=%" G_GINT64_FORMAT
        " engines=%u believed_running=%.1f slots=%u pace=%.2f"
        " uncached_tokens=%.0f failure_rate=%.3f suspected=%d listed_age_ms=%" G_GUINT64_FORMAT
        " word_age_ms=%.0f age_ms=%" G_GUINT64_FORMAT " held_ms=%" G_GUINT64_FORMAT
        " woken=%u tries=%u admission=%s wait_ms=%.0f free_share=%.3f words_age_ms=%.0f%s",
        request->request_id, (guint64)request->contents.hashes[0], request->route->name,
        request->tenant != NULL ? request->tenant : "-", request->service,
        (guint64)request->config->version, *attempt->engine_id != '\0' ? attempt->engine_id : "-",
        hs_online_version_name(attempt),
        request->terms.resumed_id != NULL ? request->terms.resumed_id : "-",
        hs_end_reason_name(reason), hs_run_state_name(request->run), request->sends, request->runs,
        (guint64)request->events.event_count, (guint64)request->first_byte_ms,
        (guint64)(now_ms - request->inbound->received_ms),
        (gint64)request->deadline - (gint64)now_ms, attempt->reasons.candidates,
        attempt->reasons.running, attempt->reasons.slots, attempt->reasons.pace,
        attempt->reasons.uncached_tokens, attempt->reasons.failure_rate, attempt->reasons.suspected,
        (guint64)attempt->reasons.listed_age_ms, attempt->reasons.load_report_age_ms,
        (guint64)request->age_ms, (guint64)request->held_ms, request->woken, request->tries,
        hs_admission_verdict_name(request->admission.verdict),
        request->admitted_by.pressure.wait_ms, request->admitted_by.pressure.free_share,
        request->admitted_by.pressure.age_ms, regions);
}

/** Logs a request that this process refuses or ends since it stops, or that its caller left. */
static void log_end_in_stop(const hs_online_request *request, hs_end_reason reason) {
    bool is_refused = reason == HS_END_STOPPING;
    bool is_unanswered = hs_end_reason_status(reason) == 0 || reason == HS_END_STOPPED;
    hs_drain_times stop;
    if (!(is_refused || is_unanswered) || !hs_drain_get(request->online->drain, &stop))
        return;
    uint64_t now_ms = hs_clock_monotonic_ms();
    hs_log_warning(is_refused ? "request_refused_in_stop" : "request_cut_in_stop",
                   "request=%s reason=%s stop_ms=%" G_GUINT64_FORMAT " left_ms=%" G_GINT64_FORMAT
                   " received_stop_ms=%" G_GINT64_FORMAT " connection=%s run=%s"
                   " events=%" G_GUINT64_FORMAT,
                   request->request_id, hs_end_reason_name(reason),
                   (guint64)(now_ms - stop.started_ms), (gint64)(stop.deadline_ms - now_ms),
                   (gint64)(request->inbound->received_ms - stop.started_ms),
                   request->inbound->is_on_kept_connection ? "kept" : "new",
                   hs_run_state_name(request->run), (guint64)request->events.event_count);
}

static void end_run(hs_online_request *request, hs_end_reason reason) {
    hs_run_lengths_end(request->open_run, reason == HS_END_SERVED);
    request->open_run = NULL;
}

void hs_online_request_record_end(hs_online_request *request, hs_end_reason reason) {
    if (request->is_end_recorded)
        return;
    request->is_end_recorded = true;
    hs_online_set_held(request, false, false);
    if (request->is_on_trial && request->run == HS_RUN_NOT_EXECUTED)
        hs_crash_watch_return_trial(hs_fleet_engines_crash_watch(request->online->engines),
                                    request->trial_content);
    end_run(request, reason);
    log_end(request, reason);
    log_end_in_stop(request, reason);
}

void hs_online_request_free(gpointer data) {
    hs_online_request *request = data;
    hs_online_stream_release(request);
    if (!request->is_end_recorded) { /* The caller's connection was closed. */
        hs_online_request_record_end(request, HS_END_CALLER_GONE);
        hs_online_count_end(request->online, HS_END_CALLER_GONE, request->first_byte_ms);
    }
    hs_attempt_finish(&request->attempt, HS_ATTEMPT_DROPPED);
    hs_fleet_config_unref(request->regions_config);
    hs_fleet_config_unref(request->config);
    g_free(request->group);
    g_ptr_array_free(request->excluded, TRUE);
    g_ptr_array_free(request->unsuited, TRUE);
    g_byte_array_free(request->ready, TRUE);
    g_free(request->request_id);
    g_free(request->tenant);
    g_free(request);
}

/** Ends the request with the daemon's own response, or closes the connection if there is none. */
static void end_with_own_response(hs_online_request *request, hs_end_reason reason) {
    hs_online_request_record_end(request, reason);
    if (hs_end_reason_status(reason) == 0) {
        hs_online_count_end(request->online, reason, 0);
        hs_inbound_drop(request->inbound);
    } else {
        uint64_t caller = hs_hash_bytes(request->request_id, strlen(request->request_id));
        hs_online_refuse(request->online, request->inbound, reason,
                         hs_retry_after_spread_ms(request->retry_after_ms, caller));
    }
}

GArray *hs_online_response_fields(const GArray *fields) {
    GArray *forwarded = hs_http_fields_new();
    for (guint index = 0; index < fields->len; index++) {
        const hs_http_field *field = &g_array_index(fields, hs_http_field, index);
        if (g_ascii_strcasecmp(field->name, "Content-Length") != 0 &&
            !hs_http_fields_is_hop_by_hop(fields, field->name))
            hs_http_fields_add(forwarded, field->name, field->value);
    }
    return forwarded;
}

void hs_online_note_first_byte(hs_online_request *request) {
    if (request->first_byte_ms != 0)
        return;
    request->first_byte_ms = MAX(hs_clock_monotonic_ms() - request->inbound->received_ms, 1);
    hs_engine_lease_note_first_token(request->attempt.lease);
}

/** Statuses that promise callers that the request did not run; not valid after a run. */
static bool is_not_run_status(uint32_t status) {
    return status == 429 || status == 503 || status == 408 || status == 421;
}

bool hs_online_is_success(uint32_t status) {
    return status >= 200 && status < 300;
}

/** Forwards the whole response that was read and ends the request. */
static void forward_whole_answer(hs_online_request *request) {
    hs_attempt *attempt = &request->attempt;
    bool succeeded = hs_online_is_success(attempt->status);
    if (is_not_run_status(attempt->status) || (succeeded && !attempt->answer.has_signature)) {
        request->run = HS_RUN_EXECUTED;
        hs_attempt_finish(attempt, HS_ATTEMPT_BROKEN);
        end_with_own_response(request, HS_END_BROKEN);
        return;
    }
    const GByteArray *body = hs_client_connection_body(attempt->connection);
    GArray *fields = hs_online_response_fields(hs_client_connection_fields(attempt->connection));
    hs_inbound_reply(request->inbound, attempt->status, fields, body->data, body->len);
    hs_http_fields_free(fields);
    hs_end_reason reason = succeeded ? HS_END_SERVED : HS_END_ENGINE_STATUS;
    bool failed = attempt->status >= STATUS_FAILURE;
    request->run = HS_RUN_EXECUTED;
    hs_attempt_finish(attempt, failed ? HS_ATTEMPT_FAILED : HS_ATTEMPT_SERVED);
    hs_online_request_record_end(request, reason);
    hs_online_count_end(request->online, reason, request->first_byte_ms);
}

/** Rejects a whole response whose bytes are not what its header says. */
static hs_step check_whole_answer(const hs_online_request *request) {
    const hs_client_connection *connection = request->attempt.connection;
    if (hs_answer_check_is_encoding_valid(hs_client_connection_fields(connection),
                                          hs_client_connection_body(request->attempt.connection)))
        return HS_STEP_COMPLETE;
    hs_attempt_note_invalid_answer(&request->attempt, request->request_id, 0, "encoding");
    return HS_STEP_INVALID;
}

/** Reads and forwards the whole response. Returns false if another attempt is to be made. */
static bool serve_whole(hs_online_request *request) {
    hs_wait wait = hs_online_wait(request);
    hs_attempt *attempt = &request->attempt;
    attempt->step = hs_client_connection_read_all(
        attempt->connection, hs_memory_bound_answer(HS_ONLINE_MAX_ANSWER_BYTES), &wait);
    if (attempt->step == HS_STEP_INVALID)
        hs_attempt_note_invalid_answer(attempt, request->request_id, 0, "length");
    if (attempt->step == HS_STEP_COMPLETE)
        attempt->step = check_whole_answer(request);
    if (attempt->step == HS_STEP_COMPLETE) {
        hs_online_note_first_byte(request);
        bool retry = attempt->status >= STATUS_FAILURE && hs_online_may_repeat(request) &&
                     request->runs + 1 < request->route->max_attempts;
        if (!retry) {
            forward_whole_answer(request);
            return true;
        }
    }
    hs_end_reason reason = HS_END_BROKEN;
    hs_attempt_end end = attempt->step == HS_STEP_COMPLETE ? HS_ATTEMPT_FAILED
                                                           : hs_attempt_classify_failure(attempt);
    if (hs_online_after_failure(request, end, &reason) == HS_NEXT_RETRY)
        return false;
    end_with_own_response(request, reason);
    return true;
}

void hs_online_use_service(hs_online_request *request, const char *service_name) {
    const hs_fleet_service *service = hs_fleet_config_find_service(request->config, service_name);
    request->service = service_name;
    request->memory_tokens = service != NULL ? service->memory_tokens : 0;
    request->max_connections = service != NULL ? service->max_connections : 0;
    request->warmup = hs_warmup_limit_of(service);
    request->is_less_urgent =
        hs_fleet_config_is_less_urgent(request->config, request->rank, service_name);
    hs_fleet_config_unref(request->regions_config);
    request->regions_config = NULL;
    hs_online_update_regions(request);
}

static hs_online_request *create_request(hs_online *online, hs_inbound *inbound,
                                         const hs_caller_terms *terms,
                                         const hs_online_access *access) {
    hs_fleet_config *config = access->config;
    const hs_fleet_route *route = access->route;
    hs_online_request *request = g_new0(hs_online_request, 1);
    request->online = online;
    request->inbound = inbound;
    request->config = config;
    request->route = route;
    request->tenant = access->tenant != NULL ? g_strdup(access->tenant->name) : NULL;
    request->used_slots = access->used_slots;
    request->checked_version = config->version;
    request->terms = *terms;
    request->request_id = g_strdup(terms->request_id != NULL ? terms->request_id : "-");
    request->stream_name =
        hs_stream_origins_name(terms->resumed_id != NULL ? terms->resumed_id : request->request_id);
    uint64_t whole =
        hs_request_content_hash(&(hs_request_content){.method = inbound->method,
                                                      .host = terms->host,
                                                      .target = inbound->target,
                                                      .body = inbound->body->data,
                                                      .body_length = inbound->body->len});
    request->contents = hs_request_contents_make(whole, &request->terms.size);
    request->rank = hs_tenant_rank(route, access->tenant);
    hs_online_use_service(request, hs_online_pick_service(online, route));
    request->age_ms = hs_caller_ages_note(online->ages, route->name, terms->timeout_ms);
    uint64_t limit_ms = route->timeout_ms;
    if (terms->timeout_ms > 0)
        limit_ms = MIN(limit_ms, terms->timeout_ms);
    request->deadline = inbound->received_ms + limit_ms;
    request->excluded = g_ptr_array_new_with_free_func(g_free);
    request->unsuited = g_ptr_array_new_with_free_func(g_free);
    request->ready = g_byte_array_new();
    if (terms->has_last_event) {
        request->events.has_last_id = true;
        request->events.last_id = terms->last_event;
    }
    return request;
}

void hs_online_serve(hs_online *online, hs_inbound *inbound, const hs_caller_terms *terms,
                     const hs_online_access *access) {
    hs_online_request *request = create_request(online, inbound, terms, access);
    hs_end_reason reason = HS_END_BROKEN;
    bool ended =
        hs_online_is_ended_by_stop(request, &reason) || !hs_online_find_origin(request, &reason);
    if (ended)
        end_with_own_response(request, reason);
    while (!ended) {
        if (!hs_online_find_answer(request, &reason)) {
            end_with_own_response(request, reason);
            break;
        }
        if (hs_online_is_stream(request)) {
            hs_online_serve_stream(request);
            return;
        }
        ended = serve_whole(request);
    }
    hs_online_request_free(request);
}
