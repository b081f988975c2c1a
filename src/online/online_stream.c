/**
 * @file online_stream.c
 * Forwards a stream event by event and resumes it at another engine if its route allows that; see
 * online_request_state.h.
 */
#include "online/online_request_state.h"

#include "base/clock.h"
#include "base/log.h"
#include "base/memory_budget.h"
#include "http/http_fields.h"
#include "online/rejected_event.h"

#include <string.h>

#define STATUS_OK 200
/** Largest buffer of one stream. */
#define MAX_READ_AHEAD_BYTES (1024U * 1024)
/** Memory charged in advance for one step. */
#define READ_AHEAD_STEP_BYTES 16384
/** Steps of one stream before the next stream is processed. */
#define MAX_READ_AHEAD_STEPS 16

/** Ends the attempt; no further attempt follows. */
static void finish_run(hs_online_request *request, hs_attempt_end end) {
    request->stream_ended = true;
    request->run = HS_RUN_EXECUTED;
    hs_attempt_finish(&request->attempt, end);
}

static void finish_stream(hs_online_request *request, hs_attempt_end end, hs_end_reason reason) {
    finish_run(request, end);
    hs_online_request_record_end(request, reason);
    hs_online_count_end(request->online, reason, request->first_byte_ms);
}

/** Returns the reason that counts for a stream that was not resumed for @p reason. */
static hs_end_reason unresumed_reason(hs_end_reason reason) {
    switch (reason) {
    case HS_END_STOPPED:
        return HS_END_STREAM_STOPPED;
    case HS_END_LATE:
        return HS_END_STREAM_LATE;
    default:
        return HS_END_STREAM_BROKEN;
    }
}

/** Resumes a broken stream at another engine if the route allows that; otherwise ends it. */
static bool resume_stream(hs_online_request *request, hs_attempt_end end) {
    hs_end_reason reason = HS_END_STREAM_BROKEN;
    if (hs_online_after_failure(request, end, &reason) != HS_NEXT_RETRY ||
        !hs_online_may_repeat(request) || !hs_event_stream_can_resume(&request->events) ||
        request->is_origin_unknown || !hs_online_find_answer(request, &reason)) {
        hs_end_reason counted = unresumed_reason(reason);
        bool is_general = counted != HS_END_STREAM_BROKEN || reason == HS_END_BROKEN;
        hs_online_request_record_end(request, is_general ? counted : reason);
        hs_online_count_end(request->online, counted, request->first_byte_ms);
        request->attempt.step = HS_STEP_CUT; /* Not that of a refusal that was read whole. */
        request->stream_ended = true;
        return false;
    }
    hs_log_info("stream_resumed", "request=%s engine=%s version=%s after_event=%" G_GUINT64_FORMAT,
                request->request_id, request->attempt.engine_id,
                hs_online_version_name(&request->attempt), (guint64)request->events.last_id);
    g_mutex_lock(&request->online->counters.lock);
    request->online->counters.resumed++;
    g_mutex_unlock(&request->online->counters.lock);
    hs_event_stream_begin_run(&request->events);
    return true;
}

/** Reports whether the stream must end since the caller's key is no longer valid. */
static bool is_revoked(hs_online_request *request) {
    hs_end_reason reason = HS_END_STREAM_BROKEN;
    return request->online->max_key_age_ms > 0 && !hs_online_is_still_authorized(request, &reason);
}

/** Reads what the engine has sent by the end of a stop. HS_STEP_CALLER_GONE: nothing more. */
static hs_step read_last_bytes(hs_client_connection *connection) {
    guint before = hs_client_connection_body(connection)->len;
    hs_step step = hs_client_connection_read_available(connection);
    bool is_empty = hs_client_connection_body(connection)->len == before;
    return step == HS_STEP_PROGRESS && is_empty ? HS_STEP_CALLER_GONE : step;
}

/** Waits for the next bytes of the engine's stream and moves their whole events to ready. */
static void read_stream_step(hs_online_request *request) {
    hs_attempt *attempt = &request->attempt;
    hs_wait wait = hs_online_wait(request);
    uint64_t now_ms = hs_clock_monotonic_ms();
    if (request->route->resumable && request->runs + 1 < request->route->max_attempts)
        wait.deadline = MIN(wait.deadline, now_ms + MAX(HS_ONLINE_MIN_SILENCE_MS,
                                                        2 * request->route->gap_target_ms));
    if (!hs_online_is_success(attempt->status))
        attempt->step = HS_STEP_INVALID;
    else if (request->stream.end_step != HS_STEP_PROGRESS)
        attempt->step = request->stream.end_step;
    else
        attempt->step = hs_client_connection_read_body(attempt->connection, &wait);
    if (attempt->step == HS_STEP_CALLER_GONE && hs_drain_has_expired(request->online->drain))
        attempt->step = read_last_bytes(attempt->connection);
    request->stream.end_step = HS_STEP_PROGRESS;
    GByteArray *body = hs_client_connection_body(attempt->connection);
    if (body->len > 0) {
        hs_online_note_first_byte(request);
        hs_engine_lease_note_received(attempt->lease);
    }
    bool is_valid = hs_event_stream_take(&request->events, body, request->ready, NULL);
    hs_online_note_origin(request);
    if (!is_valid) {
        hs_rejected_event_note(attempt, request->request_id, &request->events);
        attempt->step = HS_STEP_INVALID;
    }
    hs_engine_lease_note_events(attempt->lease, request->events.run_events);
}

/** Reads one step of the stream and handles its outcome. Returns false if the stream ended. */
static bool advance_stream(hs_online_request *request) {
    hs_attempt *attempt = &request->attempt;
    read_stream_step(request);
    if (attempt->step == HS_STEP_PROGRESS && is_revoked(request)) {
        attempt->step = HS_STEP_CUT;
        finish_stream(request, HS_ATTEMPT_DROPPED, HS_END_STREAM_BROKEN);
        return false;
    }
    if (attempt->step == HS_STEP_PROGRESS)
        return true;
    bool is_whole = hs_client_connection_body(attempt->connection)->len == 0;
    if (attempt->step == HS_STEP_COMPLETE && is_whole) {
        finish_stream(request, HS_ATTEMPT_SERVED, HS_END_SERVED);
        return false;
    }
    if (attempt->step == HS_STEP_COMPLETE) /* The stream ended within an event. */
        attempt->step = HS_STEP_CUT;
    if (attempt->step == HS_STEP_CALLER_GONE) {
        bool is_stopped = hs_drain_has_expired(request->online->drain);
        finish_stream(request, HS_ATTEMPT_DROPPED,
                      is_stopped ? HS_END_STREAM_STOPPED : HS_END_CALLER_GONE);
        return false;
    }
    if (hs_clock_monotonic_ms() >= request->deadline) {
        finish_stream(request, HS_ATTEMPT_DROPPED, HS_END_STREAM_LATE);
        return false;
    }
    return resume_stream(request, hs_attempt_classify_failure(attempt));
}

/** Discards the buffered bytes and releases their memory charge. */
static void release_buffer(hs_online_request *request) {
    if (request->stream.charged_bytes == 0)
        return;
    g_byte_array_free(request->ready, TRUE);
    request->ready = g_byte_array_new();
    hs_memory_release(HS_MEMORY_STREAMS, request->stream.charged_bytes);
    request->stream.charged_bytes = 0;
}

/** Charges memory for one more step; false if the stream's limit or the budget is reached. */
static bool charge_step(hs_online_request *request) {
    const GByteArray *body = hs_client_connection_body(request->attempt.connection);
    hs_stream_state *stream = &request->stream;
    uint64_t held = hs_memory_block_bytes(request->ready->len + body->len + READ_AHEAD_STEP_BYTES);
    if (held <= stream->charged_bytes)
        return true;
    if (held > MAX_READ_AHEAD_BYTES ||
        !hs_memory_try_charge(HS_MEMORY_STREAMS, held - stream->charged_bytes,
                              HS_MEMORY_FOR_STARTED_WORK))
        return false;
    stream->charged_bytes = held;
    return true;
}

/** Reads the bytes that are available. Returns false if reading ahead stops for now. */
static bool read_ahead_step(hs_online_request *request) {
    hs_attempt *attempt = &request->attempt;
    GByteArray *body = hs_client_connection_body(attempt->connection);
    guint ready_before = request->ready->len;
    guint body_before = body->len;
    hs_step step = hs_client_connection_read_available(attempt->connection);
    if (body->len > body_before)
        hs_engine_lease_note_received(attempt->lease);
    /* If an event is rejected, the library thread finds the same error and reports it. */
    bool is_valid = hs_event_stream_take(&request->events, body, request->ready, NULL);
    hs_online_note_origin(request);
    hs_engine_lease_note_events(attempt->lease, request->events.run_events);
    if (is_valid && step == HS_STEP_COMPLETE && body->len == 0) {
        attempt->step = step;
        finish_run(request, HS_ATTEMPT_SERVED); /* The end is recorded after delivery. */
        return false;
    }
    if (!is_valid || step != HS_STEP_PROGRESS)
        request->stream.end_step = is_valid ? step : HS_STEP_INVALID;
    return request->stream.end_step == HS_STEP_PROGRESS &&
           (request->ready->len > ready_before || body->len > body_before);
}

/** Releases the part of the charge that the steps did not use. */
static void release_unused_charge(hs_online_request *request) {
    hs_stream_state *stream = &request->stream;
    const hs_attempt *attempt = &request->attempt;
    uint64_t held = hs_memory_block_bytes(request->ready->len);
    if (attempt->lease != NULL)
        held += hs_memory_block_bytes(hs_client_connection_body(attempt->connection)->len);
    if (held >= stream->charged_bytes)
        return;
    hs_memory_release(HS_MEMORY_STREAMS, stream->charged_bytes - held);
    stream->charged_bytes = held;
}

void hs_online_stream_read_ahead(hs_online_request *request) {
    if (request->stream_ended || request->attempt.lease == NULL ||
        request->stream.end_step != HS_STEP_PROGRESS ||
        hs_clock_monotonic_ms() >= request->deadline)
        return;
    int steps = 0;
    while (steps < MAX_READ_AHEAD_STEPS && charge_step(request) && read_ahead_step(request))
        steps++;
    release_unused_charge(request);
}

bool hs_online_stream_drop(hs_online_request *request) {
    const hs_stream_state *stream = &request->stream;
    if (!hs_inbound_reset(request->inbound))
        return false;
    hs_log_warning("stream_dropped",
                   "request=%s reason=%s held_bytes=%u charged_bytes=%" G_GUINT64_FORMAT
                   " taken_bytes=%" G_GUINT64_FORMAT " open_ms=%" G_GUINT64_FORMAT
                   " memory_charged=%" G_GUINT64_FORMAT " memory_budget=%" G_GUINT64_FORMAT,
                   request->request_id, hs_end_reason_name(HS_END_READER_SLOW), request->ready->len,
                   (guint64)stream->charged_bytes, (guint64)stream->delivered_bytes,
                   (guint64)(hs_clock_monotonic_ms() - stream->started_ms),
                   (guint64)hs_memory_total_charged(), (guint64)hs_memory_budget_get());
    release_buffer(request);
    request->attempt.step = HS_STEP_CUT;
    if (!request->is_end_recorded)
        finish_stream(request, HS_ATTEMPT_DROPPED, HS_END_READER_SLOW);
    return true;
}

void hs_online_stream_release(hs_online_request *request) {
    if (!request->stream.is_registered)
        return;
    hs_read_ahead_remove(request->online->read_ahead, request);
    release_buffer(request);
    g_mutex_clear(&request->stream.lock);
}

/** Discards bytes that were read ahead if the caller's key is no longer valid. */
static void discard_if_revoked(hs_online_request *request) {
    if (request->stream.charged_bytes == 0 || request->ready->len == 0 || !is_revoked(request))
        return;
    release_buffer(request);
    request->attempt.step = HS_STEP_CUT;
    if (!request->is_end_recorded)
        finish_stream(request, HS_ATTEMPT_DROPPED, HS_END_STREAM_BROKEN);
}

/** Copies response bytes into @p buffer; blocks until there are some or the stream has ended. */
static ssize_t deliver_events(hs_online_request *request, char *buffer, size_t size) {
    while (request->ready->len == 0 && !request->stream_ended)
        advance_stream(request);
    if (request->ready->len == 0) {
        bool whole = request->attempt.lease == NULL && request->attempt.step == HS_STEP_COMPLETE;
        if (whole && !request->is_end_recorded)
            finish_stream(request, HS_ATTEMPT_SERVED, HS_END_SERVED);
        return whole ? HS_READER_END : HS_READER_ABORT;
    }
    size_t length = MIN(size, request->ready->len);
    memcpy(buffer, request->ready->data, length);
    g_byte_array_remove_range(request->ready, 0, (guint)length);
    return (ssize_t)length;
}

static ssize_t read_events(void *data, char *buffer, size_t size) {
    return deliver_events(data, buffer, size);
}

/** Reads events of a stream that the read-ahead thread may process, under the stream's lock. */
static ssize_t read_buffered_events(void *data, char *buffer, size_t size) {
    hs_online_request *request = data;
    hs_stream_state *stream = &request->stream;
    g_mutex_lock(&stream->lock);
    stream->delivered_ms = 0;
    discard_if_revoked(request);
    ssize_t passed = deliver_events(request, buffer, size);
    if (passed > 0) {
        stream->delivered_ms = hs_clock_monotonic_ms();
        stream->delivered_bytes += (uint64_t)passed;
    }
    if (request->ready->len == 0)
        release_buffer(request);
    g_mutex_unlock(&stream->lock);
    return passed;
}

static void register_stream(hs_online_request *request) {
    g_mutex_init(&request->stream.lock);
    request->stream.is_registered = true;
    request->stream.started_ms = hs_clock_monotonic_ms();
    hs_read_ahead_add(request->online->read_ahead, request);
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
        hs_online_response_fields(hs_client_connection_fields(request->attempt.connection));
    bool may_read_ahead = request->online->read_ahead != NULL;
    if (may_read_ahead)
        register_stream(request);
    hs_inbound_reply_stream(request->inbound, STATUS_OK, fields,
                            may_read_ahead ? read_buffered_events : read_events, request,
                            hs_online_request_free);
    hs_http_fields_free(fields);
}
