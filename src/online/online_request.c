/** @file online_request.c  A request's attempts and its answer; see online_request.h. */
#include "online/online_request.h"

#include "base/clock.h"
#include "base/log.h"
#include "http/http_fields.h"
#include "online/event_stream.h"

#include <string.h>

#define ANSWER_LIMIT_BYTES (16U * 1024 * 1024)
#define FULL_PAUSE_MS 15
#define RESUME_PAUSE_MS 50
/** A refusal comes within this part of the time in which an answer is wanted. */
#define REFUSAL_PARTS 4
#define RETRY_AFTER_MS 150
#define SILENCE_LEAST_MS 1000
#define SILENCE_TARGETS 3
#define STATUS_OK 200
#define STATUS_FAILURE 500

/** One request from its taking to its answer's end. */
typedef struct {
    hs_online *online;
    hs_inbound *inbound;
    hs_fleet_config *config;
    const hs_fleet_route *route;
    const char *service;
    hs_caller_terms terms;
    char *request_id;
    uint64_t memory_tokens;
    uint32_t max_connections;
    hs_deadline deadline;
    uint64_t first_byte_ms; /**< Time from taking it to the first body byte; 0: none yet. */
    hs_run_state run;
    uint32_t runs; /**< Engines at which it may have run. */
    uint32_t sends;
    GPtrArray *excluded; /**< of char*: engines that refused or failed. */
    hs_attempt attempt;
    hs_event_stream events;
    GByteArray *ready; /**< Bytes for the caller not yet handed on. */
    bool stream_ended;
    bool counted;
} online_request;

static bool may_repeat(const online_request *request) {
    return request->route->kind == HS_ROUTE_IDEMPOTENT ||
           (request->route->kind == HS_ROUTE_STREAMING && request->route->resumable);
}

static void log_end(online_request *request, hs_end_reason reason) {
    uint64_t now_ms = hs_clock_monotonic_ms();
    const hs_attempt *attempt = &request->attempt;
    hs_log_info(
        "request_ended",
        "request=%s route=%s service=%s config=%" G_GUINT64_FORMAT
        " engine=%s reason=%s run=%s sends=%u runs=%u events=%" G_GUINT64_FORMAT
        " first_byte_ms=%" G_GUINT64_FORMAT " total_ms=%" G_GUINT64_FORMAT
        " left_ms=%" G_GINT64_FORMAT " engines=%u believed_running=%.1f slots=%u"
        " uncached_tokens=%.0f failure_rate=%.3f suspected=%d listed_age_ms=%" G_GUINT64_FORMAT,
        request->request_id, request->route->name, request->service,
        (guint64)request->config->version, *attempt->engine_id != '\0' ? attempt->engine_id : "-",
        hs_end_reason_name(reason), hs_run_state_name(request->run), request->sends, request->runs,
        (guint64)request->events.event_count, (guint64)request->first_byte_ms,
        (guint64)(now_ms - request->inbound->received_ms),
        (gint64)request->deadline - (gint64)now_ms, attempt->reasons.candidates,
        attempt->reasons.running, attempt->reasons.slots, attempt->reasons.uncached_tokens,
        attempt->reasons.failure_rate, attempt->reasons.suspected,
        (guint64)attempt->reasons.listed_age_ms);
}

/** Note the end once: log and counters. */
static void note_end(online_request *request, hs_end_reason reason) {
    if (request->counted)
        return;
    request->counted = true;
    log_end(request, reason);
}

static void free_request(gpointer data) {
    online_request *request = data;
    if (!request->counted) { /* The library dropped the answer: the caller's connection ended. */
        note_end(request, HS_END_CALLER_GONE);
        hs_online_count(request->online, HS_END_CALLER_GONE, request->first_byte_ms);
    }
    hs_attempt_finish(&request->attempt, HS_ATTEMPT_DROPPED);
    hs_fleet_config_unref(request->config);
    g_ptr_array_free(request->excluded, TRUE);
    g_byte_array_free(request->ready, TRUE);
    g_free(request->request_id);
    g_free(request);
}

/** End with an answer of our own, or by closing. */
static void end_own(online_request *request, hs_end_reason reason) {
    note_end(request, reason);
    if (hs_end_reason_status(reason) == 0) {
        hs_online_count(request->online, reason, 0);
        hs_inbound_drop(request->inbound);
    } else {
        hs_online_refuse(request->online, request->inbound, reason, RETRY_AFTER_MS);
    }
}

static hs_attempt_order make_order(const online_request *request) {
    const hs_inbound *inbound = request->inbound;
    hs_attempt_order order = {
        .query = {.service = request->service,
                  .size = request->terms.size.prompt_tokens > 0 ? &request->terms.size : NULL,
                  .work = HS_WORK_ONLINE,
                  .excluded = request->excluded,
                  .memory_tokens = request->memory_tokens,
                  .max_connections = request->max_connections},
        .request = {.method = inbound->method,
                    .target = inbound->target,
                    .fields = inbound->fields,
                    .request_id = request->terms.request_id,
                    .body_length = inbound->body->len},
        .body = inbound->body->data,
        .wait = {.deadline = request->deadline, .watched = inbound->descriptor},
    };
    if (request->events.has_last_id) {
        order.request.resumes = true;
        order.request.last_event = request->events.last_id;
    }
    if (may_repeat(request) && request->runs + 1 < request->route->max_attempts)
        order.silence_ms =
            MAX(SILENCE_LEAST_MS, SILENCE_TARGETS * request->route->target_latency_ms);
    return order;
}

static void exclude(online_request *request) {
    g_ptr_array_add(request->excluded, g_strdup(request->attempt.engine_id));
}

static uint64_t waited_ms(const online_request *request) {
    return hs_clock_monotonic_ms() - request->inbound->received_ms;
}

/**
 * How a failed attempt reflects on its engine: it is silent only where the wait was long, whoever
 * ended it; a short time-out of the caller or the route says nothing.
 */
static hs_attempt_end judge_failure(const online_request *request) {
    hs_attempt_end end = hs_attempt_failure(&request->attempt);
    bool waited_long = waited_ms(request) >= SILENCE_LEAST_MS;
    if (end == HS_ATTEMPT_SILENT || end == HS_ATTEMPT_DROPPED)
        return waited_long ? HS_ATTEMPT_SILENT : HS_ATTEMPT_DROPPED;
    return end;
}

static void log_attempt(const online_request *request, hs_attempt_end end) {
    const hs_attempt *attempt = &request->attempt;
    hs_log_info(
        "attempt_failed",
        "request=%s engine=%s send=%u step=%s status=%u run=%s end=%s believed_running=%.1f "
        "failure_rate=%.3f suspected=%d",
        request->request_id, attempt->engine_id, request->sends, hs_step_name(attempt->step),
        attempt->status, hs_run_state_name(attempt->run), hs_attempt_end_name(end),
        attempt->reasons.running, attempt->reasons.failure_rate, attempt->reasons.suspected);
}

/** What to do after a failed attempt. */
typedef enum { NEXT_TRY, NEXT_END } next_move;

/** After an attempt without a usable answer. @p reason is set for NEXT_END. */
static next_move after_failure(online_request *request, hs_attempt_end end, hs_end_reason *reason) {
    hs_attempt *attempt = &request->attempt;
    bool caller_gone = attempt->step == HS_STEP_CALLER_GONE;
    log_attempt(request, end);
    request->run = MAX(request->run, attempt->run);
    request->runs += attempt->run != HS_RUN_DID_NOT;
    exclude(request);
    hs_attempt_finish(attempt, end);
    if (caller_gone) {
        *reason = HS_END_CALLER_GONE;
        return NEXT_END;
    }
    if (hs_clock_monotonic_ms() >= request->deadline) {
        *reason = request->run == HS_RUN_DID_NOT ? HS_END_LATE_NOT_RUN : HS_END_LATE;
        return NEXT_END;
    }
    if (attempt->run == HS_RUN_DID_NOT)
        return NEXT_TRY;
    *reason = HS_END_BROKEN;
    return may_repeat(request) && request->runs < request->route->max_attempts ? NEXT_TRY
                                                                               : NEXT_END;
}

/**
 * No engine is left to try: wait a little for one, or end. A request that has run somewhere and may
 * run again is worth more patience than one that can be refused.
 */
static next_move after_no_engine(online_request *request, hs_end_reason *reason) {
    bool has_run = request->run != HS_RUN_DID_NOT;
    uint64_t pause_ms = has_run ? RESUME_PAUSE_MS : FULL_PAUSE_MS;
    uint64_t until_ms = request->deadline;
    if (!has_run)
        until_ms = MIN(until_ms, request->inbound->received_ms +
                                     request->route->target_latency_ms / REFUSAL_PARTS);
    bool may_wait = hs_clock_monotonic_ms() + pause_ms < until_ms;
    if (may_wait && (!has_run || may_repeat(request))) {
        hs_clock_sleep_ms(pause_ms);
        g_ptr_array_set_size(request->excluded, 0);
        return NEXT_TRY;
    }
    if (has_run)
        *reason = HS_END_BROKEN;
    else
        *reason = request->excluded->len > 0 ? HS_END_FULL : HS_END_NO_ENGINE;
    return NEXT_END;
}

/** Try engines until one answers with a head; false with @p reason when none will. */
static bool find_answer(online_request *request, hs_end_reason *reason) {
    next_move move = NEXT_TRY;
    while (move == NEXT_TRY) {
        hs_attempt_order order = make_order(request);
        bool has_head = hs_attempt_start(request->online->engines, &order, &request->attempt);
        if (request->attempt.lease == NULL) {
            move = after_no_engine(request, reason);
            continue;
        }
        request->sends++;
        if (has_head && !request->attempt.answer.not_executed)
            return true;
        hs_attempt_end end = judge_failure(request);
        if (has_head) {
            hs_client_connection_read_all(request->attempt.connection, ANSWER_LIMIT_BYTES,
                                          &order.wait);
            end =
                request->attempt.answer.wrong_engine ? HS_ATTEMPT_WRONG_ENGINE : HS_ATTEMPT_REFUSED;
        }
        move = after_failure(request, end, reason);
    }
    return false;
}

static GArray *passed_fields(const GArray *fields) {
    GArray *passed = hs_http_fields_new();
    for (guint index = 0; index < fields->len; index++) {
        const hs_http_field *field = &g_array_index(fields, hs_http_field, index);
        if (g_ascii_strcasecmp(field->name, "Content-Length") != 0 &&
            !hs_http_fields_is_hop_by_hop(fields, field->name))
            hs_http_fields_add(passed, field->name, field->value);
    }
    return passed;
}

static void note_first_byte(online_request *request) {
    if (request->first_byte_ms != 0)
        return;
    request->first_byte_ms = MAX(hs_clock_monotonic_ms() - request->inbound->received_ms, 1);
    hs_engine_lease_first_token(request->attempt.lease);
}

/** Statuses by which an engine's answer would promise what the engine did not. */
static bool is_promise(uint32_t status) {
    return status == 429 || status == 503 || status == 408 || status == 421;
}

static bool is_success(uint32_t status) {
    return status >= 200 && status < 300;
}

/** Pass on a whole answer that was read; the request ends. */
static void pass_whole_answer(online_request *request) {
    hs_attempt *attempt = &request->attempt;
    bool succeeded = is_success(attempt->status);
    if (is_promise(attempt->status) || (succeeded && !attempt->answer.has_signature)) {
        request->run = HS_RUN_DID;
        hs_attempt_finish(attempt, HS_ATTEMPT_BROKEN);
        end_own(request, HS_END_BROKEN);
        return;
    }
    const GByteArray *body = hs_client_connection_body(attempt->connection);
    GArray *fields = passed_fields(hs_client_connection_fields(attempt->connection));
    hs_inbound_reply(request->inbound, attempt->status, fields, body->data, body->len);
    hs_http_fields_free(fields);
    hs_end_reason reason = succeeded ? HS_END_SERVED : HS_END_ENGINE_STATUS;
    bool failed = attempt->status >= STATUS_FAILURE;
    request->run = HS_RUN_DID;
    hs_attempt_finish(attempt, failed ? HS_ATTEMPT_FAILED : HS_ATTEMPT_SERVED);
    note_end(request, reason);
    hs_online_count(request->online, reason, request->first_byte_ms);
}

/** Read the whole answer; on failure try again where that is allowed. True when ended. */
static bool serve_whole(online_request *request) {
    hs_wait wait = {.deadline = request->deadline, .watched = request->inbound->descriptor};
    hs_attempt *attempt = &request->attempt;
    attempt->step = hs_client_connection_read_all(attempt->connection, ANSWER_LIMIT_BYTES, &wait);
    if (attempt->step == HS_STEP_COMPLETE) {
        note_first_byte(request);
        bool again = attempt->status >= STATUS_FAILURE && may_repeat(request) &&
                     request->runs + 1 < request->route->max_attempts;
        if (!again) {
            pass_whole_answer(request);
            return true;
        }
    }
    hs_end_reason reason = HS_END_BROKEN;
    hs_attempt_end end =
        attempt->step == HS_STEP_COMPLETE ? HS_ATTEMPT_FAILED : hs_attempt_failure(attempt);
    if (after_failure(request, end, &reason) == NEXT_TRY)
        return false;
    end_own(request, reason);
    return true;
}

static void finish_stream(online_request *request, hs_attempt_end end, hs_end_reason reason) {
    request->stream_ended = true;
    request->run = HS_RUN_DID;
    hs_attempt_finish(&request->attempt, end);
    note_end(request, reason);
    hs_online_count(request->online, reason, request->first_byte_ms);
}

/** The stream broke: go on at another engine where the route allows it. */
static bool resume_stream(online_request *request, hs_attempt_end end) {
    hs_end_reason reason = HS_END_STREAM_BROKEN;
    if (after_failure(request, end, &reason) != NEXT_TRY || !may_repeat(request) ||
        !find_answer(request, &reason)) {
        note_end(request, reason == HS_END_BROKEN ? HS_END_STREAM_BROKEN : reason);
        hs_online_count(request->online, HS_END_STREAM_BROKEN, request->first_byte_ms);
        request->stream_ended = true;
        return false;
    }
    hs_log_info("stream_resumed", "request=%s engine=%s after_event=%" G_GUINT64_FORMAT,
                request->request_id, request->attempt.engine_id, (guint64)request->events.last_id);
    g_mutex_lock(&request->online->counters.lock);
    request->online->counters.resumed++;
    g_mutex_unlock(&request->online->counters.lock);
    return true;
}

/** One step of the engine's stream: its whole events go into ready. False: the stream is over. */
static bool pump_stream(online_request *request) {
    hs_attempt *attempt = &request->attempt;
    hs_wait wait = {.deadline = request->deadline, .watched = request->inbound->descriptor};
    uint64_t now_ms = hs_clock_monotonic_ms();
    if (request->route->resumable && request->runs + 1 < request->route->max_attempts)
        wait.deadline =
            MIN(wait.deadline, now_ms + MAX(SILENCE_LEAST_MS, 2 * request->route->gap_target_ms));
    if (!is_success(attempt->status))
        attempt->step = HS_STEP_INVALID;
    else
        attempt->step = hs_client_connection_read_body(attempt->connection, &wait);
    GByteArray *body = hs_client_connection_body(attempt->connection);
    if (body->len > 0) {
        note_first_byte(request);
        hs_engine_lease_heard(attempt->lease);
    }
    if (!hs_event_stream_take(&request->events, body, request->ready, NULL))
        attempt->step = HS_STEP_INVALID;
    if (attempt->step == HS_STEP_PROGRESS)
        return true;
    if (attempt->step == HS_STEP_COMPLETE && body->len == 0) {
        finish_stream(request, HS_ATTEMPT_SERVED, HS_END_SERVED);
        return false;
    }
    if (attempt->step == HS_STEP_COMPLETE) /* It stopped within an event. */
        attempt->step = HS_STEP_CUT;
    if (attempt->step == HS_STEP_CALLER_GONE) {
        finish_stream(request, HS_ATTEMPT_DROPPED, HS_END_CALLER_GONE);
        return false;
    }
    if (hs_clock_monotonic_ms() >= request->deadline) {
        finish_stream(request, HS_ATTEMPT_DROPPED, HS_END_STREAM_LATE);
        return false;
    }
    return resume_stream(request, hs_attempt_failure(attempt));
}

/** Reader of the caller's answer: blocks until there is something to pass on. */
static ssize_t read_events(void *data, char *buffer, size_t size) {
    online_request *request = data;
    while (request->ready->len == 0 && !request->stream_ended)
        pump_stream(request);
    if (request->ready->len == 0) {
        bool whole = request->attempt.lease == NULL && request->attempt.step == HS_STEP_COMPLETE;
        return whole ? HS_READER_END : HS_READER_ABORT;
    }
    size_t length = MIN(size, request->ready->len);
    memcpy(buffer, request->ready->data, length);
    g_byte_array_remove_range(request->ready, 0, (guint)length);
    return (ssize_t)length;
}

static bool is_event_stream(const online_request *request) {
    const GArray *fields = hs_client_connection_fields(request->attempt.connection);
    const char *type = hs_http_fields_find(fields, "Content-Type");
    return request->route->kind == HS_ROUTE_STREAMING && request->attempt.status == STATUS_OK &&
           request->attempt.answer.has_signature && type != NULL &&
           g_ascii_strncasecmp(type, "text/event-stream", 17) == 0;
}

/** Pass the stream on; the request then lives until the answer's end. */
static void serve_stream(online_request *request) {
    GArray *fields = passed_fields(hs_client_connection_fields(request->attempt.connection));
    hs_inbound_reply_stream(request->inbound, STATUS_OK, fields, read_events, request,
                            free_request);
    hs_http_fields_free(fields);
}

static online_request *take_request(hs_online *online, hs_inbound *inbound,
                                    const hs_caller_terms *terms, hs_fleet_config *config,
                                    const hs_fleet_route *route) {
    online_request *request = g_new0(online_request, 1);
    request->online = online;
    request->inbound = inbound;
    request->config = config;
    request->route = route;
    request->service = hs_online_pick_share(online, route);
    request->terms = *terms;
    request->request_id = g_strdup(terms->request_id != NULL ? terms->request_id : "-");
    const hs_fleet_service *service = hs_fleet_config_find_service(config, request->service);
    request->memory_tokens = service != NULL ? service->memory_tokens : 0;
    request->max_connections = service != NULL ? service->max_connections : 0;
    uint64_t limit_ms = route->timeout_ms;
    if (terms->timeout_ms > 0)
        limit_ms = MIN(limit_ms, terms->timeout_ms);
    request->deadline = inbound->received_ms + limit_ms;
    request->excluded = g_ptr_array_new_with_free_func(g_free);
    request->ready = g_byte_array_new();
    if (terms->has_last_event) {
        request->events.has_last_id = true;
        request->events.last_id = terms->last_event;
        request->events.expects_next = true;
    }
    return request;
}

void hs_online_serve(hs_online *online, hs_inbound *inbound, const hs_caller_terms *terms,
                     hs_fleet_config *config, const hs_fleet_route *route) {
    online_request *request = take_request(online, inbound, terms, config, route);
    hs_end_reason reason = HS_END_BROKEN;
    bool ended = false;
    while (!ended) {
        if (!find_answer(request, &reason)) {
            end_own(request, reason);
            break;
        }
        if (is_event_stream(request)) {
            serve_stream(request);
            return;
        }
        ended = serve_whole(request);
    }
    free_request(request);
}
