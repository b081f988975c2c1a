/**
 * @file online_stream.c
 * A stream passed on event by event, over several engines where its route allows; see
 * online_request.h.
 */
#include "online/online_request_state.h"

#include "base/clock.h"
#include "base/log.h"
#include "base/memory_budget.h"
#include "http/http_fields.h"

#include <string.h>

#define STATUS_OK 200
/** Read ahead of one stream at most, in bytes: an hour of text. */
#define AHEAD_MOST_BYTES (1024U * 1024)
/** One step of reading ahead, in bytes, */
#define AHEAD_STEP_BYTES 16384
/** and steps of a stream before the next one's turn. */
#define AHEAD_STEPS 16

/** No more comes of the stream. */
static void finish_run(hs_online_request *request, hs_attempt_end end) {
    request->stream_ended = true;
    request->run = HS_RUN_EXECUTED;
    hs_attempt_finish(&request->attempt, end);
}

static void finish_stream(hs_online_request *request, hs_attempt_end end, hs_end_reason reason) {
    finish_run(request, end);
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

/** Wait for one step of the engine's stream: its whole events go into ready. */
static void take_step(hs_online_request *request) {
    hs_attempt *attempt = &request->attempt;
    hs_wait wait = {.deadline = request->deadline, .watched = request->inbound->descriptor};
    uint64_t now_ms = hs_clock_monotonic_ms();
    if (request->route->resumable && request->runs + 1 < request->route->max_attempts)
        wait.deadline = MIN(wait.deadline, now_ms + MAX(HS_ONLINE_SILENCE_LEAST_MS,
                                                        2 * request->route->gap_target_ms));
    if (!hs_online_is_success(attempt->status))
        attempt->step = HS_STEP_INVALID;
    else if (request->hold.broke != HS_STEP_PROGRESS)
        attempt->step = request->hold.broke;
    else
        attempt->step = hs_client_connection_read_body(attempt->connection, &wait);
    request->hold.broke = HS_STEP_PROGRESS;
    GByteArray *body = hs_client_connection_body(attempt->connection);
    if (body->len > 0) {
        hs_online_note_first_byte(request);
        hs_engine_lease_note_received(attempt->lease);
    }
    if (!hs_event_stream_take(&request->events, body, request->ready, NULL)) {
        hs_attempt_note_resume_mismatch(attempt, request->request_id, request->events.last_id,
                                        request->events.refused_id);
        attempt->step = HS_STEP_INVALID;
    }
    hs_engine_lease_note_events(attempt->lease, request->events.run_events);
}

/** One step of the engine's stream, and what follows from it. False: the stream is over. */
static bool pump_stream(hs_online_request *request) {
    hs_attempt *attempt = &request->attempt;
    take_step(request);
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
    return resume_stream(request, hs_attempt_classify_failure(attempt));
}

/** Give back what a stream holds. */
static void drop_ready(hs_online_request *request) {
    if (request->hold.charged == 0)
        return;
    g_byte_array_free(request->ready, TRUE);
    request->ready = g_byte_array_new();
    hs_memory_release(HS_MEMORY_STREAMS, request->hold.charged);
    request->hold.charged = 0;
}

/** Room for one more step of a stream; false where its bound or the budget is reached. */
static bool charge_step(hs_online_request *request) {
    const GByteArray *body = hs_client_connection_body(request->attempt.connection);
    hs_stream_hold *hold = &request->hold;
    uint64_t held = hs_memory_block_bytes(request->ready->len + body->len + AHEAD_STEP_BYTES);
    if (held <= hold->charged)
        return true;
    if (held > AHEAD_MOST_BYTES ||
        !hs_memory_try_charge(HS_MEMORY_STREAMS, held - hold->charged, HS_MEMORY_OF_OPEN_WORK))
        return false;
    hold->charged = held;
    return true;
}

/** One step of reading ahead; false: no more for now. */
static bool read_step(hs_online_request *request) {
    hs_attempt *attempt = &request->attempt;
    GByteArray *body = hs_client_connection_body(attempt->connection);
    guint ready_before = request->ready->len;
    guint body_before = body->len;
    hs_step step = hs_client_connection_take_ready(attempt->connection);
    if (body->len > body_before)
        hs_engine_lease_note_received(attempt->lease);
    /* Where the order broke, the same call of the library's thread says so again. */
    bool is_sound = hs_event_stream_take(&request->events, body, request->ready, NULL);
    hs_engine_lease_note_events(attempt->lease, request->events.run_events);
    if (is_sound && step == HS_STEP_COMPLETE && body->len == 0) {
        attempt->step = step;
        finish_run(request, HS_ATTEMPT_SERVED); /* Served when its caller has it. */
        return false;
    }
    if (!is_sound || step != HS_STEP_PROGRESS)
        request->hold.broke = is_sound ? step : HS_STEP_INVALID;
    return request->hold.broke == HS_STEP_PROGRESS &&
           (request->ready->len > ready_before || body->len > body_before);
}

/** What a step did not need of its charge is given back. */
static void settle_charge(hs_online_request *request) {
    hs_stream_hold *hold = &request->hold;
    const hs_attempt *attempt = &request->attempt;
    uint64_t held = hs_memory_block_bytes(request->ready->len);
    if (attempt->lease != NULL)
        held += hs_memory_block_bytes(hs_client_connection_body(attempt->connection)->len);
    if (held >= hold->charged)
        return;
    hs_memory_release(HS_MEMORY_STREAMS, hold->charged - held);
    hold->charged = held;
}

void hs_online_stream_read_on(hs_online_request *request) {
    if (request->stream_ended || request->attempt.lease == NULL ||
        request->hold.broke != HS_STEP_PROGRESS || hs_clock_monotonic_ms() >= request->deadline)
        return;
    int steps = 0;
    while (steps < AHEAD_STEPS && charge_step(request) && read_step(request))
        steps++;
    settle_charge(request);
}

bool hs_online_stream_drop(hs_online_request *request) {
    const hs_stream_hold *hold = &request->hold;
    if (!hs_inbound_cut(request->inbound))
        return false;
    hs_log_warning("stream_dropped",
                   "request=%s reason=%s held_bytes=%u charged_bytes=%" G_GUINT64_FORMAT
                   " taken_bytes=%" G_GUINT64_FORMAT " open_ms=%" G_GUINT64_FORMAT
                   " memory_charged=%" G_GUINT64_FORMAT " memory_budget=%" G_GUINT64_FORMAT,
                   request->request_id, hs_end_reason_name(HS_END_READER_SLOW), request->ready->len,
                   (guint64)hold->charged, (guint64)hold->handed_bytes,
                   (guint64)(hs_clock_monotonic_ms() - hold->began_ms),
                   (guint64)hs_memory_charged_in_all(), (guint64)hs_memory_budget_get());
    drop_ready(request);
    request->attempt.step = HS_STEP_CUT;
    if (!request->counted)
        finish_stream(request, HS_ATTEMPT_DROPPED, HS_END_READER_SLOW);
    return true;
}

void hs_online_stream_release(hs_online_request *request) {
    if (!request->hold.is_listed)
        return;
    hs_read_ahead_remove(request->online->read_ahead, request);
    drop_ready(request);
    g_mutex_clear(&request->hold.lock);
}

/** Bytes that were read ahead are handed on as long as their caller's key holds. */
static void check_held(hs_online_request *request) {
    if (request->hold.charged == 0 || request->ready->len == 0 || !is_revoked(request))
        return;
    drop_ready(request);
    request->attempt.step = HS_STEP_CUT;
    if (!request->counted)
        finish_stream(request, HS_ATTEMPT_DROPPED, HS_END_STREAM_BROKEN);
}

/** Pass bytes of the answer on to the caller: blocks until there are some, or it ended. */
static ssize_t pass_events(hs_online_request *request, char *buffer, size_t size) {
    while (request->ready->len == 0 && !request->stream_ended)
        pump_stream(request);
    if (request->ready->len == 0) {
        bool whole = request->attempt.lease == NULL && request->attempt.step == HS_STEP_COMPLETE;
        if (whole && !request->counted)
            finish_stream(request, HS_ATTEMPT_SERVED, HS_END_SERVED);
        return whole ? HS_READER_END : HS_READER_ABORT;
    }
    size_t length = MIN(size, request->ready->len);
    memcpy(buffer, request->ready->data, length);
    g_byte_array_remove_range(request->ready, 0, (guint)length);
    return (ssize_t)length;
}

static ssize_t read_events(void *data, char *buffer, size_t size) {
    return pass_events(data, buffer, size);
}

/** The same for a stream that is read ahead while its caller takes nothing. */
static ssize_t read_events_held(void *data, char *buffer, size_t size) {
    hs_online_request *request = data;
    hs_stream_hold *hold = &request->hold;
    g_mutex_lock(&hold->lock);
    hold->handed_ms = 0;
    check_held(request);
    ssize_t passed = pass_events(request, buffer, size);
    if (passed > 0) {
        hold->handed_ms = hs_clock_monotonic_ms();
        hold->handed_bytes += (uint64_t)passed;
    }
    if (request->ready->len == 0)
        drop_ready(request);
    g_mutex_unlock(&hold->lock);
    return passed;
}

static void list_stream(hs_online_request *request) {
    g_mutex_init(&request->hold.lock);
    request->hold.is_listed = true;
    request->hold.began_ms = hs_clock_monotonic_ms();
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
        hs_online_passed_fields(hs_client_connection_fields(request->attempt.connection));
    bool may_read_ahead = request->online->read_ahead != NULL;
    if (may_read_ahead)
        list_stream(request);
    hs_inbound_reply_stream(request->inbound, STATUS_OK, fields,
                            may_read_ahead ? read_events_held : read_events, request,
                            hs_online_request_free);
    hs_http_fields_free(fields);
}
