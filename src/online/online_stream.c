/**
 * @file online_stream.c
 * A stream passed on event by event, over several engines where its route allows; see
 * online_request.h.
 */
#include "online/online_request_state.h"

#include "base/clock.h"
#include "base/log.h"
#include "http/http_fields.h"

#include <string.h>

#define STATUS_OK 200

static void finish_stream(hs_online_request *request, hs_attempt_end end, hs_end_reason reason) {
    request->stream_ended = true;
    request->run = HS_RUN_DID;
    hs_attempt_finish(&request->attempt, end);
    hs_online_request_end(request, reason);
    hs_online_count(request->online, reason, request->first_byte_ms);
}

/** The stream broke: go on at another engine where the route allows it. */
static bool resume_stream(hs_online_request *request, hs_attempt_end end) {
    hs_end_reason reason = HS_END_STREAM_BROKEN;
    if (hs_online_after_failure(request, end, &reason) != HS_NEXT_TRY ||
        !hs_online_may_repeat(request) || !hs_event_stream_can_go_on(&request->events) ||
        !hs_online_find_answer(request, &reason)) {
        hs_online_request_end(request, reason == HS_END_BROKEN ? HS_END_STREAM_BROKEN : reason);
        hs_online_count(request->online, HS_END_STREAM_BROKEN, request->first_byte_ms);
        request->stream_ended = true;
        return false;
    }
    hs_log_info("stream_resumed", "request=%s engine=%s after_event=%" G_GUINT64_FORMAT,
                request->request_id, request->attempt.engine_id, (guint64)request->events.last_id);
    g_mutex_lock(&request->online->counters.lock);
    request->online->counters.resumed++;
    g_mutex_unlock(&request->online->counters.lock);
    hs_event_stream_begin_run(&request->events);
    return true;
}

/** Whether the stream must end since its key was taken away. It may run once: nothing is promised.
 */
static bool is_revoked(hs_online_request *request) {
    hs_end_reason reason = HS_END_STREAM_BROKEN;
    return request->online->keys_hold_ms > 0 && !hs_online_is_still_allowed(request, &reason);
}

/** One step of the engine's stream: its whole events go into ready. False: the stream is over. */
static bool pump_stream(hs_online_request *request) {
    hs_attempt *attempt = &request->attempt;
    hs_wait wait = {.deadline = request->deadline, .watched = request->inbound->descriptor};
    uint64_t now_ms = hs_clock_monotonic_ms();
    if (request->route->resumable && request->runs + 1 < request->route->max_attempts)
        wait.deadline = MIN(wait.deadline, now_ms + MAX(HS_ONLINE_SILENCE_LEAST_MS,
                                                        2 * request->route->gap_target_ms));
    if (!hs_online_is_success(attempt->status))
        attempt->step = HS_STEP_INVALID;
    else
        attempt->step = hs_client_connection_read_body(attempt->connection, &wait);
    GByteArray *body = hs_client_connection_body(attempt->connection);
    if (body->len > 0) {
        hs_online_note_first_byte(request);
        hs_engine_lease_heard(attempt->lease);
    }
    if (!hs_event_stream_take(&request->events, body, request->ready, NULL)) {
        hs_attempt_note_misplaced(attempt, request->request_id, request->events.last_id,
                                  request->events.refused_id);
        attempt->step = HS_STEP_INVALID;
    }
    hs_engine_lease_note_events(attempt->lease, request->events.run_events);
    if (attempt->step == HS_STEP_PROGRESS && is_revoked(request)) {
        attempt->step = HS_STEP_CUT;
        finish_stream(request, HS_ATTEMPT_DROPPED, HS_END_STREAM_BROKEN);
        return false;
    }
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
    hs_online_request *request = data;
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

bool hs_online_is_stream(const hs_online_request *request) {
    const GArray *fields = hs_client_connection_fields(request->attempt.connection);
    const char *type = hs_http_fields_find(fields, "Content-Type");
    return request->route->kind == HS_ROUTE_STREAMING && request->attempt.status == STATUS_OK &&
           request->attempt.answer.has_signature && type != NULL &&
           g_ascii_strncasecmp(type, "text/event-stream", 17) == 0;
}

void hs_online_serve_stream(hs_online_request *request) {
    GArray *fields =
        hs_online_passed_fields(hs_client_connection_fields(request->attempt.connection));
    hs_inbound_reply_stream(request->inbound, STATUS_OK, fields, read_events, request,
                            hs_online_request_free);
    hs_http_fields_free(fields);
}
