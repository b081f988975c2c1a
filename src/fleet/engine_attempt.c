/** @file engine_attempt.c  See engine_attempt.h. */
#include "fleet/engine_attempt.h"

#include "base/clock.h"
#include "base/log.h"
#include "fleet/start_check.h"

#include <string.h>

/** Longest wait for the arbiter's load report before a batch item is sent: ten round trips. */
#define BATCH_CONFIRM_TIMEOUT_MS 30
/** The same for an online request, whose first byte it delays and which is sent without the report:
 * three round trips of some 3 ms (design 0006). */
#define ONLINE_CONFIRM_TIMEOUT_MS 10
/** Engines checked with their arbiters before a request is sent. */
#define MAX_ENGINE_CHECKS 3
/** Cold engines whose arbiters are asked for a permit before a request is sent. */
#define MAX_PERMIT_REQUESTS 2
/** Engines that are tried if the software of one is unknown, or it needs a permit after all. */
#define MAX_ENGINE_TRIES 5
/** Cold engines, those included that turned cold unnoticed, after which a request is not sent. */
#define MAX_DENIALS 4
/** Responses to other requests that are skipped before the expected one. */
#define MAX_STRAY_RESPONSES 2
#define MAX_STRAY_RESPONSE_BYTES (4U * 1024 * 1024)
/** Body of a refusal that is read for the sake of the connection. */
#define MAX_REFUSAL_BYTES (64 * 1024)
#define REFUSAL_TIMEOUT_MS 250
#define MIN_SUCCESS_STATUS 200
#define MAX_SUCCESS_STATUS 299

static hs_step send_request(const hs_attempt_parameters *parameters, hs_attempt *attempt) {
    hs_engine_request request = parameters->request;
    request.engine_id = attempt->engine_id;
    request.timeout_ms = hs_clock_left_ms(parameters->wait.deadline);
    if (request.timeout_ms == 0)
        return HS_STEP_DEADLINE;
    GString *head = hs_platform_write_engine_head(&request);
    hs_step step =
        hs_client_connection_send(attempt->connection, head, parameters->body, request.body_length,
                                  strcmp(request.method, "HEAD") == 0, &parameters->wait);
    g_string_free(head, TRUE);
    return step;
}

/** A response without a request id is accepted unless its status reports success. */
static bool is_response_to_request(const hs_attempt_parameters *parameters,
                                   const hs_attempt *attempt) {
    const char *echoed = attempt->answer.request_id;
    bool succeeded = attempt->status >= MIN_SUCCESS_STATUS && attempt->status <= MAX_SUCCESS_STATUS;
    if (echoed == NULL)
        return !succeeded;
    return parameters->request.request_id == NULL ||
           strcmp(echoed, parameters->request.request_id) == 0;
}

/** On a reused connection, which may have been lost, waits for an acknowledgement. */
static hs_step await_acknowledgement(const hs_attempt_parameters *parameters, hs_attempt *attempt) {
    if (!hs_client_connection_is_reused(attempt->connection))
        return HS_STEP_PROGRESS;
    hs_connection_timeouts timeouts = hs_connection_timeouts_get();
    uint32_t limit_ms = parameters->may_repeat ? timeouts.repeat_unacknowledged_ms
                                               : timeouts.once_unacknowledged_ms;
    return hs_client_connection_check_liveness(attempt->connection, limit_ms, &parameters->wait);
}

/** Returns the longest wait for the head before a reused connection counts as lost; 0: none. */
static uint32_t reused_connection_timeout_ms(const hs_attempt_parameters *parameters,
                                             const hs_attempt *attempt) {
    if (parameters->reused_head_timeout_ms == 0 ||
        !hs_client_connection_is_reused(attempt->connection))
        return 0;
    const hs_request_size *size = parameters->query.size;
    uint32_t usual_limit_ms =
        hs_engine_lease_head_limit_ms(attempt->lease, size != NULL ? size->prompt_tokens : 0);
    uint32_t limit_ms = MAX(parameters->reused_head_timeout_ms, usual_limit_ms);
    bool ends_sooner = parameters->head_timeout_ms == 0 || limit_ms < parameters->head_timeout_ms;
    return usual_limit_ms > 0 && ends_sooner ? limit_ms : 0;
}

/** Reads the response head, skipping responses to other requests. */
static hs_step read_head(const hs_attempt_parameters *parameters, hs_attempt *attempt) {
    hs_wait wait = parameters->wait;
    uint32_t reused_timeout_ms = reused_connection_timeout_ms(parameters, attempt);
    uint32_t timeout_ms = reused_timeout_ms > 0 ? reused_timeout_ms : parameters->head_timeout_ms;
    hs_step acknowledged = await_acknowledgement(parameters, attempt);
    if (acknowledged != HS_STEP_PROGRESS)
        return acknowledged;
    if (timeout_ms > 0)
        wait.deadline = MIN(wait.deadline, attempt->sent_ms + timeout_ms);
    for (int stray_count = 0; stray_count <= MAX_STRAY_RESPONSES; stray_count++) {
        hs_step step = hs_client_connection_read_head(attempt->connection, &wait);
        if (step == HS_STEP_DEADLINE && reused_timeout_ms > 0 &&
            hs_clock_monotonic_ms() < parameters->wait.deadline)
            return hs_client_connection_mark_lost(attempt->connection, "timeout");
        if (step != HS_STEP_PROGRESS && step != HS_STEP_COMPLETE)
            return step;
        attempt->status = hs_client_connection_status(attempt->connection);
        hs_platform_read_engine_answer(
            attempt->status, hs_client_connection_fields(attempt->connection), &attempt->answer);
        if (is_response_to_request(parameters, attempt)) {
            if (attempt->answer.request_id == NULL)
                hs_client_connection_note_unnamed_answer(attempt->connection);
            return step;
        }
        step =
            hs_client_connection_discard_rest(attempt->connection, MAX_STRAY_RESPONSE_BYTES, &wait);
        if (step != HS_STEP_COMPLETE)
            return step;
        if (!hs_client_connection_skip_response(attempt->connection))
            return HS_STEP_CUT;
    }
    return HS_STEP_INVALID;
}

static hs_run_state run_state_after(const hs_attempt *attempt, bool has_head) {
    if (has_head)
        return attempt->answer.not_executed ? HS_RUN_NOT_EXECUTED : HS_RUN_EXECUTED;
    bool sent =
        attempt->connection != NULL && hs_client_connection_has_sent_bytes(attempt->connection);
    return sent ? HS_RUN_MAYBE_EXECUTED : HS_RUN_NOT_EXECUTED;
}

/** Takes a lease on the engine with the lowest estimated cost. */
static bool acquire_engine(hs_fleet_engines *engines, const hs_engine_query *query,
                           hs_attempt *attempt) {
    attempt->lease = hs_fleet_engines_acquire(engines, query);
    if (attempt->lease == NULL)
        return false;
    g_strlcpy(attempt->engine_id, hs_engine_lease_id(attempt->lease), sizeof attempt->engine_id);
    attempt->reasons = hs_engine_lease_reasons(attempt->lease);
    return true;
}

/** Whether the reports behind the choice show no free slot on any engine. */
static bool has_no_free_slot(const hs_engine_reasons *reasons) {
    return reasons->load_report_age_ms > 0 && !reasons->is_any_free;
}

/** Releases the lease and the connection, if any, of a request that was not sent. */
static void drop_lease(hs_attempt *attempt) {
    hs_engine_lease_release(attempt->lease, attempt->connection, HS_ATTEMPT_DROPPED);
    attempt->lease = NULL;
    attempt->connection = NULL;
    attempt->step = HS_STEP_CUT;
}

/**
 * Takes a lease on an engine and confirms it with the engine's arbiter, since local estimates may
 * be outdated. An engine reported as failing is rejected and another one is checked, as is, for an
 * online request, an overloaded one; after the last check an online request is sent regardless. A
 * batch item that the engine would preempt ends as interrupted. A cold engine without a permit is
 * never used. Returns false if the request is not to be sent.
 */
static bool select_engine(hs_fleet_engines *engines, const hs_attempt_parameters *parameters,
                          hs_attempt *attempt) {
    char rejected_engine_id[sizeof attempt->engine_id] = "";
    hs_engine_query query = parameters->query;
    query.prefers_known_start = parameters->may_continue;
    uint32_t denials = 0;
    for (uint32_t check = 0; acquire_engine(engines, &query, attempt); check++) {
        bool is_batch = parameters->query.work == HS_WORK_BATCH;
        hs_lease_confirmation confirmation = hs_engine_lease_confirm(
            attempt->lease, is_batch ? BATCH_CONFIRM_TIMEOUT_MS : ONLINE_CONFIRM_TIMEOUT_MS);
        if (confirmation == HS_LEASE_NOT_PERMITTED) {
            query.excludes_cold = ++denials >= MAX_PERMIT_REQUESTS;
            drop_lease(attempt);
            if (denials == MAX_DENIALS)
                break;
            continue;
        }
        if (confirmation != HS_LEASE_OVERLOADED && confirmation != HS_LEASE_ENGINE_FAILING)
            return true;
        if (is_batch && confirmation == HS_LEASE_OVERLOADED) {
            attempt->step = HS_STEP_CALLER_GONE;
            return false;
        }
        bool is_last_check =
            check + 1 == MAX_ENGINE_CHECKS + denials ||
            strcmp(rejected_engine_id, attempt->engine_id) == 0 ||
            (confirmation == HS_LEASE_OVERLOADED && has_no_free_slot(&attempt->reasons));
        if (is_last_check && !is_batch)
            return true;
        g_strlcpy(rejected_engine_id, attempt->engine_id, sizeof rejected_engine_id);
        drop_lease(attempt);
        if (is_last_check)
            break;
    }
    return false;
}

/**
 * Releases the lease and returns false if the request would start too late or miss its deadline
 * there. No other engine is checked, since the selected one has the lowest estimated cost.
 */
static bool keep_if_in_time(const hs_attempt_parameters *parameters, hs_attempt *attempt) {
    if (!parameters->refuse_if_late)
        return true;
    attempt->lease_estimate = hs_engine_lease_estimate(attempt->lease, &parameters->query,
                                                       hs_clock_left_ms(parameters->wait.deadline));
    if (!attempt->lease_estimate.will_miss_deadline && attempt->lease_estimate.can_start_in_time)
        return true;
    drop_lease(attempt);
    return false;
}

/**
 * Releases the lease and returns false if the request must not be sent any more: while it waited
 * for a confirmation or a connection, it was interrupted, its time to be sent ended, may_send
 * denies it by now, the engine's zone was evacuated, or the process was suspended.
 */
static bool keep_if_may_send(const hs_attempt_parameters *parameters, hs_attempt *attempt) {
    bool is_too_late =
        parameters->send_until_ms != 0 && hs_clock_monotonic_ms() > parameters->send_until_ms;
    bool is_interrupted = parameters->wait.interrupt != NULL &&
                          hs_interrupt_get(parameters->wait.interrupt) != HS_INTERRUPT_NONE;
    bool is_denied = parameters->may_send != NULL && !parameters->may_send(parameters->user_data);
    if (is_too_late || is_interrupted || is_denied) {
        drop_lease(attempt);
        attempt->step = is_interrupted ? HS_STEP_CALLER_GONE : HS_STEP_CUT;
        return false;
    }
    if (hs_engine_lease_may_send(attempt->lease))
        return true;
    const char *request_id = parameters->request.request_id;
    hs_log_info("request_not_sent_to_zone", "request=%s engine=%s",
                request_id != NULL ? request_id : "-", attempt->engine_id);
    drop_lease(attempt);
    return false;
}

/** Returns the idle time in ms from which a connection is not reused for the request. */
static uint32_t max_idle_ms(const hs_attempt_parameters *parameters) {
    if (parameters->needs_new_connection)
        return 0;
    return parameters->may_repeat ? UINT32_MAX
                                  : hs_connection_current_max_idle_ms(HS_CONNECTION_ENGINE);
}

/**
 * Releases the lease and returns false if the engine may have other software than its entry says
 * and another one is to be tried, or if the connection was closed as this was checked. In the last
 * try, a request that continues no run is sent there all the same, but its output can't be
 * continued.
 */
static bool keep_if_start_known(const hs_attempt_parameters *parameters, bool is_last_try,
                                hs_attempt *attempt) {
    if (!parameters->may_continue)
        return true;
    bool must_know = parameters->query.software != 0 || !is_last_try;
    hs_start_check check =
        hs_start_check_run(attempt->lease, attempt->connection, must_know, &parameters->wait);
    attempt->is_software_unknown = check == HS_START_UNKNOWN;
    if (check == HS_START_KNOWN || !must_know)
        return true;
    drop_lease(attempt);
    return false;
}

/**
 * Selects an engine and connects to it. Sets @p try_another, and releases the lease, if another
 * engine is to be selected: this one may have other software than its entry says, or needs a permit
 * by now, as an idle connection that it had closed showed that it may have restarted. Returns
 * whether the request may be sent.
 */
static bool connect_engine(hs_fleet_engines *engines, const hs_attempt_parameters *parameters,
                           bool is_last_try, hs_attempt *attempt, bool *try_another) {
    *try_another = false;
    attempt->step = HS_STEP_CUT;
    if (!select_engine(engines, parameters, attempt) || !keep_if_in_time(parameters, attempt))
        return false;
    hs_connection_needs needs = {.request_id = parameters->request.request_id,
                                 .max_idle_ms = max_idle_ms(parameters),
                                 .runs_once = parameters->runs_once};
    attempt->connection =
        hs_engine_lease_connect(attempt->lease, &needs, &parameters->wait, &attempt->step);
    if (attempt->connection == NULL)
        return false;
    if (!keep_if_start_known(parameters, is_last_try, attempt)) {
        *try_another = true;
        return false;
    }
    if (!keep_if_may_send(parameters, attempt))
        return false;
    if (hs_engine_lease_use_permit(attempt->lease))
        return true;
    drop_lease(attempt);
    *try_another = true;
    return false;
}

/**
 * Returns why an engine did not run the request. If a misdirected request names weights, only the
 * id of the engine that answered tells whether it is another one; without an id, nothing is
 * concluded about the address, as other requests will show it.
 */
static hs_attempt_end classify_refusal(const hs_attempt_parameters *parameters,
                                       const hs_attempt *attempt) {
    const hs_engine_answer *answer = &attempt->answer;
    if (!answer->misdirected)
        return HS_ATTEMPT_REFUSED;
    bool is_same_engine = answer->engine_id != NULL
                              ? strcmp(answer->engine_id, attempt->engine_id) == 0
                              : hs_platform_names_weights(parameters->request.fields);
    return is_same_engine ? HS_ATTEMPT_OTHER_WEIGHTS : HS_ATTEMPT_WRONG_ENGINE;
}

bool hs_attempt_start(hs_fleet_engines *engines, const hs_attempt_parameters *parameters,
                      hs_attempt *attempt) {
    memset(attempt, 0, sizeof *attempt);
    attempt->contents = parameters->contents;
    bool try_another = true;
    bool is_connected = false;
    for (uint32_t tries = 1; try_another && tries <= MAX_ENGINE_TRIES; tries++) {
        is_connected =
            connect_engine(engines, parameters, tries == MAX_ENGINE_TRIES, attempt, &try_another);
    }
    if (!is_connected)
        return false;
    attempt->step = send_request(parameters, attempt);
    attempt->sent_ms = hs_clock_monotonic_ms();
    if (attempt->step == HS_STEP_PROGRESS)
        attempt->step = read_head(parameters, attempt);
    bool has_head = attempt->step == HS_STEP_PROGRESS || attempt->step == HS_STEP_COMPLETE;
    attempt->run = run_state_after(attempt, has_head);
    if (has_head) {
        hs_engine_lease_note_head(attempt->lease);
        hs_engine_lease_note_received(attempt->lease);
        hs_engine_lease_note_load(attempt->lease, &attempt->answer.load);
        attempt->refusal = classify_refusal(parameters, attempt);
        if (attempt->answer.has_warmup && attempt->refusal != HS_ATTEMPT_WRONG_ENGINE)
            hs_engine_lease_note_warmup(attempt->lease, attempt->answer.warmup_ms);
    }
    return has_head;
}

void hs_attempt_discard_refusal(hs_attempt *attempt, const hs_wait *wait) {
    hs_wait limited = *wait;
    limited.deadline = MIN(wait->deadline, hs_clock_monotonic_ms() + REFUSAL_TIMEOUT_MS);
    hs_client_connection_discard_rest(attempt->connection, MAX_REFUSAL_BYTES, &limited);
}

void hs_attempt_finish(hs_attempt *attempt, hs_attempt_end end) {
    if (attempt->lease == NULL)
        return;
    if (attempt->step == HS_STEP_LOST) /* Other idle connections to the engine may be lost too. */
        hs_engine_lease_drop_idle(attempt->lease);
    if (attempt->run != HS_RUN_NOT_EXECUTED)
        hs_engine_lease_note_run_end(
            attempt->lease, &attempt->contents, end,
            attempt->connection != NULL &&
                hs_client_connection_is_ended_by_close(attempt->connection));
    hs_engine_lease_release(attempt->lease, attempt->connection, end);
    attempt->lease = NULL;
    attempt->connection = NULL;
}

void hs_attempt_note_resume_mismatch(const hs_attempt *attempt, const char *request_id,
                                     uint64_t last_event, uint64_t event) {
    hs_engine_lease_note_resume_mismatch(attempt->lease);
    hs_client_connection_mark_unusable(attempt->connection);
    hs_log_warning("run_misplaced",
                   "request=%s engine=%s last_event=%" G_GUINT64_FORMAT " event=%" G_GUINT64_FORMAT
                   " outcome=not_taken",
                   request_id, attempt->engine_id, (guint64)last_event, (guint64)event);
}

void hs_attempt_note_invalid_answer(const hs_attempt *attempt, const char *request_id,
                                    uint64_t last_event, const char *reason) {
    hs_engine_lease_note_invalid_answer(attempt->lease);
    hs_client_connection_mark_unusable(attempt->connection);
    hs_log_warning("answer_invalid",
                   "request=%s engine=%s last_event=%" G_GUINT64_FORMAT " reason=%s", request_id,
                   attempt->engine_id, (guint64)last_event, reason);
}

hs_attempt_end hs_attempt_classify_failure(const hs_attempt *attempt) {
    if (attempt->step == HS_STEP_CALLER_GONE || attempt->step == HS_STEP_LOST)
        return HS_ATTEMPT_DROPPED;
    if (attempt->connection == NULL)
        return HS_ATTEMPT_UNREACHABLE;
    return attempt->step == HS_STEP_DEADLINE ? HS_ATTEMPT_SILENT : HS_ATTEMPT_BROKEN;
}

const char *hs_run_state_name(hs_run_state run) {
    static const char *const names[] = {[HS_RUN_NOT_EXECUTED] = "did_not",
                                        [HS_RUN_MAYBE_EXECUTED] = "may_have",
                                        [HS_RUN_EXECUTED] = "did"};
    return names[run];
}
