/** @file online_request.c  See online_request.h. */
#include "commands/online_request.h"

#include "base/clock.h"
#include "base/fault_point.h"
#include "base/log.h"
#include "base/peer_watch.h"
#include "commands/completion_check.h"
#include "commands/online_key.h"
#include "engine/cancel_queue.h"
#include "engine/engine_client.h"

#include <stdlib.h>
#include <string.h>

#define MAX_QUEUED_EVENTS 1024
#define RESUMES_PER_ATTEMPT 3
#define RESUME_INTERVAL_MS 50
#define REACHABILITY_TIMEOUT_MS 500
#define MAX_EXCLUDED_ENGINES 16
#define EXCHANGE_SLACK_S 2
/** Interval of the checks whether the caller has disconnected: a fifth of the time within which its
 * engine is to be free, so that the cancel has the rest. */
#define CALLER_CHECK_MS 100
#define MS_PER_S 1000.0

static void clear_request(gpointer data) {
    hs_online_request *request = data;
    json_t *event;
    while ((event = g_queue_pop_head(&request->events)) != NULL)
        json_decref(event);
    g_free(request->request_id);
    g_free(request->tenant);
    g_free(request->model);
    g_free(request->key_hash);
    json_decref(request->body);
    hs_config_view_release(request->view);
    g_mutex_clear(&request->lock);
    g_cond_clear(&request->changed);
}

void hs_online_request_release(hs_online_request *request) {
    g_atomic_rc_box_release_full(request, clear_request);
}

hs_online_request *hs_online_request_start(hs_node *node, const hs_online_request *fields) {
    hs_online_request *request = g_atomic_rc_box_new0(hs_online_request);
    *request = *fields;
    request->node = node;
    request->started_ms = hs_clock_monotonic_ms();
    g_mutex_init(&request->lock);
    g_cond_init(&request->changed);
    g_queue_init(&request->events);
    g_atomic_int_inc(&node->online_count);
    g_thread_pool_push(node->online_workers, g_atomic_rc_box_acquire(request), NULL);
    return request;
}

/* ---- Connection's thread ------------------------------------------------------------------ */

/** Waits for a change; false once nothing may be waited for any longer. */
static bool wait_for_change(hs_online_request *request) {
    uint64_t now_ms = hs_clock_monotonic_ms();
    if (now_ms >= request->deadline_ms || hs_drain_has_expired(request->node->drain) ||
        hs_peer_has_disconnected(request->caller_descriptor))
        return false;
    uint64_t until_ms = MIN(request->deadline_ms, now_ms + CALLER_CHECK_MS);
    hs_clock_wait_until(until_ms, &request->changed, &request->lock);
    return true;
}

json_t *hs_online_request_wait_for_event(hs_online_request *request, hs_online_state *state) {
    g_mutex_lock(&request->lock);
    bool may_wait = true;
    while (may_wait && g_queue_is_empty(&request->events) && request->state == HS_ONLINE_RUNNING)
        may_wait = wait_for_change(request);
    json_t *event = g_queue_pop_head(&request->events);
    *state = request->state;
    g_cond_broadcast(&request->changed);
    g_mutex_unlock(&request->lock);
    return event;
}

void hs_online_request_abandon(hs_online_request *request) {
    g_mutex_lock(&request->lock);
    request->abandoned = true;
    if (request->state == HS_ONLINE_RUNNING && request->attempt_id[0] != '\0')
        hs_engine_cancel_soon(request->engine_url, request->attempt_id);
    g_cond_broadcast(&request->changed);
    g_mutex_unlock(&request->lock);
}

/* ---- Worker thread ------------------------------------------------------------------------ */

static bool enqueue_token(uint32_t token_index, json_t *event, void *user_data) {
    hs_online_request *request = user_data;
    g_mutex_lock(&request->lock);
    while (g_queue_get_length(&request->events) >= MAX_QUEUED_EVENTS && !request->abandoned)
        g_cond_wait(&request->changed, &request->lock);
    bool awaited = !request->abandoned;
    if (awaited) {
        json_object_set_new(event, "id", json_string(request->request_id));
        g_queue_push_tail(&request->events, json_incref(event));
        request->token_count = token_index + 1;
        g_cond_broadcast(&request->changed);
    }
    g_mutex_unlock(&request->lock);
    HS_FAULT_POINT("online_mid_stream");
    if (token_index == 0)
        hs_metrics_observe_first_token(&request->node->metrics,
                                       (double)(hs_clock_monotonic_ms() - request->started_ms) /
                                           MS_PER_S);
    return awaited;
}

static void end_request(hs_online_request *request, hs_online_state state, const char *failure) {
    g_mutex_lock(&request->lock);
    request->state = state;
    g_strlcpy(request->failure, failure, sizeof request->failure);
    g_cond_broadcast(&request->changed);
    g_mutex_unlock(&request->lock);
}

static bool should_stop(hs_online_request *request) {
    g_mutex_lock(&request->lock);
    bool stop = request->abandoned || hs_clock_monotonic_ms() >= request->deadline_ms ||
                hs_drain_has_expired(request->node->drain);
    g_mutex_unlock(&request->lock);
    return stop;
}

/**
 * Sets the attempt's id and engine, so that an abandoned request can be cancelled. A request with
 * an idempotency key keeps one attempt id: another engine may run it only after a refusal.
 */
static void set_attempt(hs_online_request *request, const hs_engine_choice *choice, int number) {
    g_mutex_lock(&request->lock);
    g_snprintf(request->attempt_id, sizeof request->attempt_id, "%s-a%d", request->request_id,
               request->key_hash != NULL ? 1 : number);
    g_strlcpy(request->engine_url, choice->url, sizeof request->engine_url);
    g_mutex_unlock(&request->lock);
}

static void trace_choice(hs_online_request *request, const hs_engine_choice *choice, int number) {
    char line[256];
    g_snprintf(line, sizeof line,
               "attempt=%d engine=%s zone=%s reason=%s score=%.2f available=%u candidates=%u "
               "group=%s config_offset=%" G_GUINT64_FORMAT,
               number, choice->id, choice->zone, hs_route_reason_name(choice->reason),
               choice->score, choice->available_count, choice->candidate_count,
               request->group->name, request->view->offset);
    hs_trace_log_add(request->node->traces, request->request_id, line);
    hs_log_info("engine_chosen", "request=%s tenant=%s model=%s %s", request->request_id,
                request->tenant, request->model, line);
}

static hs_attempt_verdict get_attempt_verdict(const hs_run_result *result) {
    switch (result->end) {
    case HS_RUN_COMPLETED:
    case HS_RUN_INVALID:
    case HS_RUN_ABORTED:
    case HS_RUN_CANCELLED:
        return HS_ATTEMPT_VERDICT_COMPLETED;
    case HS_RUN_REFUSED:
        if (strcmp(result->code, "leaving") == 0)
            return HS_ATTEMPT_VERDICT_LEAVING;
        if (strcmp(result->code, "model_not_loaded") == 0)
            return HS_ATTEMPT_VERDICT_NO_MODEL;
        return HS_ATTEMPT_VERDICT_REFUSED;
    case HS_RUN_INTERRUPTED:
        return HS_ATTEMPT_VERDICT_FAILED;
    }
    return HS_ATTEMPT_VERDICT_FAILED;
}

/** Returns the body sent to the engine. Free with free. */
static char *make_attempt_body(const hs_online_request *request) {
    json_t *body = json_deep_copy(request->body);
    json_object_set_new(body, "stream", json_true());
    json_object_set_new(body, "request_id", json_string(request->attempt_id));
    json_object_set_new(body, "priority", json_integer(0));
    char *text = json_dumps(body, JSON_COMPACT);
    json_decref(body);
    return text;
}

static hs_run_result resume_if_cut(hs_online_request *request, const hs_engine_call *call,
                                   hs_run_result result) {
    for (int count = 0; count < RESUMES_PER_ATTEMPT && result.end == HS_RUN_INTERRUPTED; count++) {
        if (should_stop(request))
            break;
        if (count > 0)
            hs_clock_sleep_ms(RESUME_INTERVAL_MS);
        hs_metrics_add(&request->node->metrics, HS_COUNT_RESUMES, 1);
        hs_run_result resumed = hs_engine_resume(call, result.next_token, enqueue_token, request);
        /* If the engine does not know the request or is unreachable, the first result stands. */
        if (resumed.end != HS_RUN_REFUSED)
            result = resumed;
    }
    return result;
}

/** Bounds how long an unresponsive engine occupies the worker after the deadline. */
static uint32_t exchange_timeout_s(const hs_online_request *request) {
    return (uint32_t)(hs_clock_left_ms(request->deadline_ms) / 1000) + EXCHANGE_SLACK_S;
}

/** Sends the request to the chosen engine and reads the response, with resumes. */
static hs_run_result run_attempt(hs_online_request *request, const hs_engine_choice *choice) {
    char *body = make_attempt_body(request);
    hs_engine_call call = {.engine_url = choice->url,
                           .path = request->chat ? HS_PATH_CHAT : HS_PATH_TEXT,
                           .request_id = request->attempt_id,
                           .body = body,
                           .timeout_s = exchange_timeout_s(request)};
    hs_node_send_online_notice(request->node, choice->id);
    HS_FAULT_POINT("online_dispatch");
    hs_run_result result = hs_engine_run(&call, enqueue_token, request);
    result = resume_if_cut(request, &call, result);
    /* A cancel that was sent before the engine received the request had no effect: send another. */
    if (result.end == HS_RUN_ABORTED)
        hs_engine_cancel(choice->url, request->attempt_id);
    free(body);
    return result;
}

static bool acquire_retry(hs_online_request *request) {
    g_mutex_lock(&request->node->retry_lock);
    bool allowed = hs_retry_budget_take(&request->node->retry_budget);
    g_mutex_unlock(&request->node->retry_lock);
    if (allowed)
        hs_metrics_add(&request->node->metrics, HS_COUNT_RETRIES, 1);
    return allowed;
}

/** Discards queued tokens of a failed attempt, none of which has been sent to the caller. */
static void discard_events(hs_online_request *request) {
    json_t *event;
    g_mutex_lock(&request->lock);
    while ((event = g_queue_pop_head(&request->events)) != NULL)
        json_decref(event);
    request->token_count = 0;
    g_mutex_unlock(&request->lock);
}

/** Returns whether another attempt may start after @p result; otherwise ends the request. */
static bool continue_after(hs_online_request *request, const hs_run_result *result) {
    switch (result->end) {
    case HS_RUN_COMPLETED:
        end_request(request, HS_ONLINE_COMPLETED, "");
        return false;
    case HS_RUN_INVALID:
        end_request(request, HS_ONLINE_INVALID, "the engine found the request invalid");
        return false;
    case HS_RUN_REFUSED:
        return true;
    default:
        break;
    }
    request->may_have_reached_engine = true;
    bool seen = request->stream && request->token_count > 0;
    if (request->run_once || seen) {
        end_request(request, HS_ONLINE_MAY_HAVE_RUN,
                    seen ? "the stream was cut and could not be resumed"
                         : "the engine's answer was lost");
        return false;
    }
    discard_events(request);
    return true;
}

static void end_without_engine(hs_online_request *request, const char *reason) {
    end_request(request,
                request->may_have_reached_engine ? HS_ONLINE_MAY_HAVE_RUN : HS_ONLINE_NOT_RUN,
                reason);
}

/** Engines that earlier attempts used, and the query that excludes them. */
typedef struct {
    char ids[MAX_EXCLUDED_ENGINES][64];
    const char *pointers[MAX_EXCLUDED_ENGINES];
    hs_routing_query query;
} excluded_engines;

static void exclude_tried_engine(excluded_engines *excluded, const char *id) {
    uint32_t count = excluded->query.excluded_count;
    g_strlcpy(excluded->ids[count], id, sizeof excluded->ids[count]);
    excluded->pointers[count] = excluded->ids[count];
    excluded->query.excluded_count++;
}

/** Another attempt holds the key: relays its response instead of running this request. */
static void relay_holder_response(hs_online_request *request, const hs_online_key_holder *holder) {
    hs_engine_call call = {.engine_url = holder->engine_url,
                           .request_id = holder->attempt_id,
                           .timeout_s = exchange_timeout_s(request)};
    hs_run_result result = {.end = HS_RUN_REFUSED};
    g_mutex_lock(&request->lock);
    request->attempt_id[0] = '\0'; /* An abandoned request must not cancel the holder's attempt. */
    g_mutex_unlock(&request->lock);
    while (result.end != HS_RUN_COMPLETED && result.end != HS_RUN_CANCELLED &&
           !should_stop(request)) {
        result = hs_engine_resume(&call, result.next_token, enqueue_token, request);
        if (result.end == HS_RUN_REFUSED || result.end == HS_RUN_INTERRUPTED)
            hs_clock_sleep_ms(RESUME_INTERVAL_MS);
    }
    bool completed = result.end == HS_RUN_COMPLETED;
    end_request(request, completed ? HS_ONLINE_COMPLETED : HS_ONLINE_DUPLICATE,
                completed ? "" : "another request holds this key and its answer cannot be read");
}

/** Returns whether the idempotency key permits the attempt; otherwise ends the request. */
static bool acquire_key(hs_online_request *request, const hs_engine_choice *choice) {
    hs_online_key_holder holder;
    if (request->key_hash == NULL)
        return true;
    switch (hs_online_key_acquire(request->node, request->key_hash, request->attempt_id,
                                  choice->url, &holder)) {
    case HS_ONLINE_KEY_ACQUIRED:
        return true;
    case HS_ONLINE_KEY_HELD:
        relay_holder_response(request, &holder);
        return false;
    case HS_ONLINE_KEY_UNKNOWN:
        break;
    }
    end_request(request, HS_ONLINE_NOT_RUN, "the platform cannot hold the key now");
    return false;
}

/** Returns whether the connection still waits for the result; otherwise ends the request. */
static bool is_awaited(hs_online_request *request) {
    g_mutex_lock(&request->lock);
    bool awaited = !request->abandoned;
    g_mutex_unlock(&request->lock);
    if (!awaited)
        end_without_engine(request, "the caller disconnected before the attempt was sent");
    return awaited;
}

/**
 * Makes one attempt at the chosen engine. Returns whether another may follow. @p model_missing is
 * set if the engine refused because the model is not loaded; the next attempt then is not a retry.
 */
static bool try_engine(hs_online_request *request, const hs_engine_choice *choice,
                       bool *model_missing) {
    hs_run_result result = {.end = HS_RUN_REFUSED};
    bool reachable =
        !request->run_once || hs_engine_is_reachable(choice->url, REACHABILITY_TIMEOUT_MS);
    bool sent = reachable && acquire_key(request, choice) && is_awaited(request);
    if (sent)
        result = run_attempt(request, choice);
    hs_attempt_verdict verdict =
        reachable ? HS_ATTEMPT_VERDICT_COMPLETED : HS_ATTEMPT_VERDICT_FAILED;
    hs_engine_table_finish(request->node->engines, choice->id, request->model,
                           sent ? get_attempt_verdict(&result) : verdict, hs_clock_monotonic_ms());
    hs_node_send_online_notice(request->node, choice->id);
    if (reachable && !sent)
        return false;
    *model_missing = sent && get_attempt_verdict(&result) == HS_ATTEMPT_VERDICT_NO_MODEL;
    return continue_after(request, &result);
}

static void run_attempts(hs_online_request *request) {
    hs_node *node = request->node;
    excluded_engines excluded = {.query = {.group = request->group,
                                           .model = request->model,
                                           .prefix_hash = request->prefix_hash}};
    excluded.query.excluded_ids = excluded.pointers;
    int number = 1;
    bool is_free_attempt = true;
    while (number <= node->settings->max_attempts &&
           excluded.query.excluded_count < MAX_EXCLUDED_ENGINES) {
        hs_engine_choice choice;
        if (!is_awaited(request))
            return;
        if (should_stop(request)) {
            end_without_engine(request, hs_drain_has_expired(node->drain)
                                            ? "this daemon has stopped"
                                            : "the deadline has passed");
            return;
        }
        if (!is_free_attempt && !acquire_retry(request)) {
            end_without_engine(request, "the retry budget is spent");
            return;
        }
        if (!hs_engine_table_acquire(node->engines, &excluded.query, hs_clock_monotonic_ms(),
                                     &choice)) {
            end_without_engine(request, "no engine is available");
            return;
        }
        trace_choice(request, &choice, number);
        set_attempt(request, &choice, number);
        if (!try_engine(request, &choice, &is_free_attempt))
            return;
        exclude_tried_engine(&excluded, choice.id);
        number += !is_free_attempt;
    }
    end_without_engine(request, "every attempt failed");
}

void hs_online_request_work(gpointer data, gpointer unused) {
    (void)unused;
    hs_online_request *request = data;
    hs_node *node = request->node;
    g_mutex_lock(&node->retry_lock);
    hs_retry_budget_note_request(&node->retry_budget);
    g_mutex_unlock(&node->retry_lock);
    hs_demand_add(node->demand, request->group->name, request->model, 1);
    run_attempts(request);
    hs_log_info("online_end",
                "request=%s state=%d tokens=%u ms=%" G_GUINT64_FORMAT " failure=\"%s\"",
                request->request_id, (int)request->state, request->token_count,
                hs_clock_monotonic_ms() - request->started_ms, request->failure);
    if (request->key_hash != NULL && request->state == HS_ONLINE_NOT_RUN)
        hs_online_key_release(node, request->key_hash, request->attempt_id);
    g_atomic_int_add(&node->online_count, -1);
    hs_online_request_release(request);
}
