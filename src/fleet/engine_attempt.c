/** @file engine_attempt.c  One exchange with an engine; see engine_attempt.h. */
#include "fleet/engine_attempt.h"

#include "base/clock.h"
#include "base/log.h"

#include <string.h>

/** Wait in ms for an arbiter's word on a batch item: ten times what a datagram there and back
 * takes. */
#define BATCH_CONFIRM_LIMIT_MS 30
/** The same for an online request, which goes on without it: three times (some 3 ms, design 0006).
 */
#define ONLINE_CONFIRM_LIMIT_MS 10
/** Engines that a request asks for at most before it is sent. */
#define LOOKS_MOST 3
#define STRAY_ANSWERS_MAX 2
#define STRAY_ANSWER_BYTES (4U * 1024 * 1024)
#define STATUS_SUCCESS_FIRST 200
#define STATUS_SUCCESS_LAST 299

static uint64_t left_ms(hs_deadline deadline) {
    uint64_t now_ms = hs_clock_monotonic_ms();
    return deadline > now_ms ? deadline - now_ms : 0;
}

static hs_step send_request(const hs_attempt_order *order, hs_attempt *attempt) {
    hs_engine_request request = order->request;
    request.engine_id = attempt->engine_id;
    request.timeout_ms = left_ms(order->wait.deadline);
    if (request.timeout_ms == 0)
        return HS_STEP_DEADLINE;
    GString *head = hs_platform_write_engine_head(&request);
    hs_step step =
        hs_client_connection_send(attempt->connection, head, order->body, request.body_length,
                                  strcmp(request.method, "HEAD") == 0, &order->wait);
    g_string_free(head, TRUE);
    return step;
}

/** Whether the answer belongs to our request: its id says so, or it is a refusal without one. */
static bool is_ours(const hs_attempt_order *order, const hs_attempt *attempt) {
    const char *echoed = attempt->answer.request_id;
    bool succeeded =
        attempt->status >= STATUS_SUCCESS_FIRST && attempt->status <= STATUS_SUCCESS_LAST;
    if (echoed == NULL)
        return !succeeded;
    return order->request.request_id == NULL || strcmp(echoed, order->request.request_id) == 0;
}

/** Wait for a sign that the request arrived, where it went out on a kept connection. */
static hs_step await_sign(const hs_attempt_order *order, hs_attempt *attempt) {
    if (!hs_client_connection_is_kept(attempt->connection))
        return HS_STEP_PROGRESS;
    hs_connection_bounds bounds = hs_connection_bounds_get();
    uint32_t limit_ms =
        order->may_repeat ? bounds.repeat_unacknowledged_ms : bounds.once_unacknowledged_ms;
    return hs_client_connection_await_sign(attempt->connection, limit_ms, &order->wait);
}

/** Longest wait for the head before a kept connection counts as lost; 0: none. */
static uint32_t kept_limit_ms(const hs_attempt_order *order, const hs_attempt *attempt) {
    if (order->kept_silence_ms == 0 || !hs_client_connection_is_kept(attempt->connection))
        return 0;
    const hs_request_size *size = order->query.size;
    uint32_t usual_ms =
        hs_engine_lease_head_limit_ms(attempt->lease, size != NULL ? size->prompt_tokens : 0);
    uint32_t limit_ms = MAX(order->kept_silence_ms, usual_ms);
    bool ends_sooner = order->silence_ms == 0 || limit_ms < order->silence_ms;
    return usual_ms > 0 && ends_sooner ? limit_ms : 0;
}

/** Read the head; answers to other requests that come in its place are passed over. */
static hs_step read_head(const hs_attempt_order *order, hs_attempt *attempt) {
    hs_wait wait = order->wait;
    uint32_t kept_ms = kept_limit_ms(order, attempt);
    uint32_t silence_ms = kept_ms > 0 ? kept_ms : order->silence_ms;
    hs_step sign = await_sign(order, attempt);
    if (sign != HS_STEP_PROGRESS)
        return sign;
    if (silence_ms > 0)
        wait.deadline = MIN(wait.deadline, attempt->sent_ms + silence_ms);
    for (int strays = 0; strays <= STRAY_ANSWERS_MAX; strays++) {
        hs_step step = hs_client_connection_read_head(attempt->connection, &wait);
        if (step == HS_STEP_DEADLINE && kept_ms > 0 &&
            hs_clock_monotonic_ms() < order->wait.deadline)
            return hs_client_connection_lose(attempt->connection, "timeout");
        if (step != HS_STEP_PROGRESS && step != HS_STEP_COMPLETE)
            return step;
        attempt->status = hs_client_connection_status(attempt->connection);
        hs_platform_read_engine_answer(
            attempt->status, hs_client_connection_fields(attempt->connection), &attempt->answer);
        if (is_ours(order, attempt))
            return step;
        step = hs_client_connection_read_all(attempt->connection, STRAY_ANSWER_BYTES, &wait);
        if (step != HS_STEP_COMPLETE)
            return step;
        if (!hs_client_connection_skip_answer(attempt->connection))
            return HS_STEP_CUT;
    }
    return HS_STEP_INVALID;
}

static hs_run_state run_after(const hs_attempt *attempt, bool has_head) {
    if (has_head)
        return attempt->answer.not_executed ? HS_RUN_DID_NOT : HS_RUN_DID;
    bool sent = attempt->connection != NULL && hs_client_connection_sent_any(attempt->connection);
    return sent ? HS_RUN_MAY_HAVE : HS_RUN_DID_NOT;
}

/** Take the engine that seems best, and note why. */
static bool take_engine(hs_fleet_engines *engines, const hs_attempt_order *order,
                        hs_attempt *attempt) {
    attempt->lease = hs_fleet_engines_take(engines, &order->query);
    if (attempt->lease == NULL)
        return false;
    g_strlcpy(attempt->engine_id, hs_engine_lease_id(attempt->lease), sizeof attempt->engine_id);
    attempt->reasons = hs_engine_lease_reasons(attempt->lease);
    return true;
}

/** Arbiters' words say that all engines are full: to look at more of them only costs time. */
static bool is_none_free(const hs_engine_reasons *reasons) {
    return reasons->load_report_age_ms > 0 && !reasons->is_any_free;
}

/**
 * Take an engine and hear its arbiter. What is believed of engines is some hundred ms old: where
 * the arbiter says that the request would wait there, or that the engine fails, the next one is
 * looked at, a few times; the arbiter's words are then part of the belief. A batch item is not sent
 * where it would have to step aside, nor to an engine that fails.
 */
static bool find_engine(hs_fleet_engines *engines, const hs_attempt_order *order,
                        hs_attempt *attempt) {
    char refused_by[sizeof attempt->engine_id] = "";
    for (uint32_t look = 0; take_engine(engines, order, attempt); look++) {
        bool is_batch = order->query.work == HS_WORK_BATCH;
        hs_lease_confirmation word = hs_engine_lease_confirm(
            attempt->lease, is_batch ? BATCH_CONFIRM_LIMIT_MS : ONLINE_CONFIRM_LIMIT_MS);
        if (word != HS_LEASE_OVERLOADED && word != HS_LEASE_ENGINE_FAILING)
            return true;
        if (is_batch && word == HS_LEASE_OVERLOADED) {
            attempt->step = HS_STEP_CALLER_GONE;
            return false;
        }
        bool is_last_look = look + 1 == LOOKS_MOST || strcmp(refused_by, attempt->engine_id) == 0 ||
                            (word == HS_LEASE_OVERLOADED && is_none_free(&attempt->reasons));
        if (is_last_look && !is_batch)
            return true;
        g_strlcpy(refused_by, attempt->engine_id, sizeof refused_by);
        hs_engine_lease_release(attempt->lease, NULL, HS_ATTEMPT_DROPPED);
        attempt->lease = NULL;
        if (is_last_look)
            break;
    }
    return false;
}

/** The engine is the best that was found: where it cannot serve in time, none can. */
static bool is_worth_sending(const hs_attempt_order *order, hs_attempt *attempt) {
    if (!order->may_be_refused)
        return true;
    attempt->prospect =
        hs_engine_lease_estimate(attempt->lease, &order->query, left_ms(order->wait.deadline));
    if (!attempt->prospect.will_miss_deadline && attempt->prospect.can_start_in_time)
        return true;
    hs_engine_lease_release(attempt->lease, NULL, HS_ATTEMPT_DROPPED);
    attempt->lease = NULL;
    return false;
}

/** Longest idle time of a connection that the request may go out on. */
static uint32_t idle_most_ms(const hs_attempt_order *order) {
    uint32_t once_idle_ms = hs_connection_bounds_get().once_idle_ms;
    if (order->fresh)
        return 0;
    return order->may_repeat || once_idle_ms == 0 ? UINT32_MAX : once_idle_ms;
}

bool hs_attempt_start(hs_fleet_engines *engines, const hs_attempt_order *order,
                      hs_attempt *attempt) {
    memset(attempt, 0, sizeof *attempt);
    attempt->content = order->content;
    attempt->step = HS_STEP_CUT;
    if (!find_engine(engines, order, attempt) || !is_worth_sending(order, attempt))
        return false;
    attempt->connection =
        hs_engine_lease_connect(attempt->lease, order->request.request_id, &order->wait,
                                idle_most_ms(order), &attempt->step);
    if (attempt->connection == NULL)
        return false;
    attempt->step = send_request(order, attempt);
    attempt->sent_ms = hs_clock_monotonic_ms();
    if (attempt->step == HS_STEP_PROGRESS)
        attempt->step = read_head(order, attempt);
    bool has_head = attempt->step == HS_STEP_PROGRESS || attempt->step == HS_STEP_COMPLETE;
    attempt->run = run_after(attempt, has_head);
    if (has_head) {
        hs_engine_lease_note_head(attempt->lease);
        hs_engine_lease_note_received(attempt->lease);
        hs_engine_lease_note_load(attempt->lease, &attempt->answer.load);
    }
    return has_head;
}

void hs_attempt_finish(hs_attempt *attempt, hs_attempt_end end) {
    if (attempt->lease == NULL)
        return;
    if (attempt->step == HS_STEP_LOST) /* Idle ones to the engine are as old. */
        hs_engine_lease_drop_idle(attempt->lease);
    if (attempt->run != HS_RUN_DID_NOT)
        hs_engine_lease_note_run_end(attempt->lease, attempt->content, end);
    hs_engine_lease_release(attempt->lease, attempt->connection, end);
    attempt->lease = NULL;
    attempt->connection = NULL;
}

void hs_attempt_note_misplaced(const hs_attempt *attempt, const char *request_id,
                               uint64_t last_event, uint64_t event) {
    hs_engine_lease_note_resume_mismatch(attempt->lease);
    hs_client_connection_give_up(attempt->connection);
    hs_log_warning("run_misplaced",
                   "request=%s engine=%s last_event=%" G_GUINT64_FORMAT " event=%" G_GUINT64_FORMAT
                   " outcome=not_taken",
                   request_id, attempt->engine_id, (guint64)last_event, (guint64)event);
}

hs_attempt_end hs_attempt_failure(const hs_attempt *attempt) {
    if (attempt->step == HS_STEP_CALLER_GONE || attempt->step == HS_STEP_LOST)
        return HS_ATTEMPT_DROPPED;
    if (attempt->connection == NULL)
        return HS_ATTEMPT_UNREACHABLE;
    return attempt->step == HS_STEP_DEADLINE ? HS_ATTEMPT_SILENT : HS_ATTEMPT_BROKEN;
}

const char *hs_run_state_name(hs_run_state run) {
    static const char *const names[] = {
        [HS_RUN_DID_NOT] = "did_not", [HS_RUN_MAY_HAVE] = "may_have", [HS_RUN_DID] = "did"};
    return names[run];
}
