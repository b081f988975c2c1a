/** @file online_request.c  Attempts of an online request; see online_request.h. */
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

#define QUEUE_LIMIT 1024
#define RESUMES_PER_ATTEMPT 3
#define RESUME_WAIT_MS 50
#define REACHABLE_TIMEOUT_MS 500
#define MAX_TRIED 16
#define EXCHANGE_SLACK_S 2
/**
 * Between two looks whether a caller is still there, in ms: a fifth of the time within which its
 * engine is to be free, so that the cancel has the rest.
 */
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

/* ---- The connection's side ---------------------------------------------------------------- */

/** Wait for a change; false once the deadline has passed or the caller has left. */
static bool wait_for_change(hs_online_request *request) {
    uint64_t now_ms = hs_clock_monotonic_ms();
    if (now_ms >= request->deadline_ms || hs_peer_has_disconnected(request->caller_descriptor))
        return false;
    uint64_t until_ms = MIN(request->deadline_ms, now_ms + CALLER_CHECK_MS);
    hs_clock_wait_until(until_ms, &request->changed, &request->lock);
    return true;
}

json_t *hs_online_request_next(hs_online_request *request, hs_online_state *state) {
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

/* ---- The worker's side -------------------------------------------------------------------- */

static bool take_token(uint32_t token_index, json_t *event, void *user_data) {
    hs_online_request *request = user_data;
    g_mutex_lock(&request->lock);
    while (g_queue_get_length(&request->events) >= QUEUE_LIMIT && !request->abandoned)
        g_cond_wait(&request->changed, &request->lock);
    bool wanted = !request->abandoned;
    if (wanted) {
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
    return wanted;
}

static void end_request(hs_online_request *request, hs_online_state state, const char *failure) {
    g_mutex_lock(&request->lock);
    request->state = state;
    g_strlcpy(request->failure, failure, sizeof request->failure);
    g_cond_broadcast(&request->changed);
    g_mutex_unlock(&request->lock);
}

static bool is_over(hs_online_request *request) {
    g_mutex_lock(&request->lock);
    bool over = request->abandoned || hs_clock_monotonic_ms() >= request->deadline_ms;
    g_mutex_unlock(&request->lock);
    return over;
}

/**
 * Name the attempt, so that an abandoned request can be cancelled at its engine. Under a key there
 * is one attempt for good: it may only move after an engine refused it as not run.
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

static hs_attempt_verdict verdict_of(const hs_run_result *result) {
    switch (result->end) {
    case HS_RUN_COMPLETED:
    case HS_RUN_INVALID:
    case HS_RUN_ABORTED:
    case HS_RUN_CANCELLED:
        return HS_ATTEMPT_COMPLETED;
    case HS_RUN_REFUSED:
        if (strcmp(result->code, "leaving") == 0)
            return HS_ATTEMPT_LEAVING;
        if (strcmp(result->code, "model_not_loaded") == 0)
            return HS_ATTEMPT_NO_MODEL;
        return HS_ATTEMPT_REFUSED;
    case HS_RUN_INTERRUPTED:
        return HS_ATTEMPT_FAILED;
    }
    return HS_ATTEMPT_FAILED;
}

/** The engine's request body. Owned (free). */
static char *attempt_body(const hs_online_request *request) {
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
        if (is_over(request))
            break;
        if (count > 0)
            hs_clock_sleep_ms(RESUME_WAIT_MS);
        hs_metrics_add(&request->node->metrics, HS_COUNT_RESUMES, 1);
        hs_run_result resumed = hs_engine_resume(call, result.next_token, take_token, request);
        /* An engine that does not know the request, or is gone, leaves the cut as it was. */
        if (resumed.end != HS_RUN_REFUSED)
            result = resumed;
    }
    return result;
}

/** A silent engine holds the worker little longer than the caller waits. */
static uint32_t exchange_limit_s(const hs_online_request *request) {
    uint64_t now_ms = hs_clock_monotonic_ms();
    uint64_t left_ms = request->deadline_ms > now_ms ? request->deadline_ms - now_ms : 0;
    return (uint32_t)(left_ms / 1000) + EXCHANGE_SLACK_S;
}

/** Run the request once on the chosen engine. */
static hs_run_result run_attempt(hs_online_request *request, const hs_engine_choice *choice) {
    char *body = attempt_body(request);
    hs_engine_call call = {.engine_url = choice->url,
                           .path = request->chat ? HS_PATH_CHAT : HS_PATH_TEXT,
                           .request_id = request->attempt_id,
                           .body = body,
                           .timeout_s = exchange_limit_s(request)};
    hs_node_send_online_notice(request->node, choice->id);
    HS_FAULT_POINT("online_dispatch");
    hs_run_result result = hs_engine_run(&call, take_token, request);
    result = resume_if_cut(request, &call, result);
    /* The caller is gone, and a cancel sent before the engine knew the request had no effect. */
    if (result.end == HS_RUN_ABORTED)
        hs_engine_cancel(choice->url, request->attempt_id);
    free(body);
    return result;
}

static bool may_retry(hs_online_request *request) {
    g_mutex_lock(&request->node->retry_lock);
    bool allowed = hs_retry_budget_take(&request->node->retry_budget);
    g_mutex_unlock(&request->node->retry_lock);
    if (allowed)
        hs_metrics_add(&request->node->metrics, HS_COUNT_RETRIES, 1);
    return allowed;
}

/** Forget tokens of a failed attempt that nobody has seen. */
static void drop_events(hs_online_request *request) {
    json_t *event;
    g_mutex_lock(&request->lock);
    while ((event = g_queue_pop_head(&request->events)) != NULL)
        json_decref(event);
    request->token_count = 0;
    g_mutex_unlock(&request->lock);
}

/** Whether another attempt may start after @p result; ends the request when not. */
static bool continue_after(hs_online_request *request, const hs_run_result *result) {
    switch (result->end) {
    case HS_RUN_COMPLETED:
        end_request(request, HS_ONLINE_WHOLE, "");
        return false;
    case HS_RUN_INVALID:
        end_request(request, HS_ONLINE_INVALID, "the engine found the request invalid");
        return false;
    case HS_RUN_REFUSED:
        return true;
    default:
        break;
    }
    request->byte_may_have_left = true;
    bool seen = request->stream && request->token_count > 0;
    if (request->run_once || seen) {
        end_request(request, HS_ONLINE_MAY_HAVE_RUN,
                    seen ? "the stream was cut and could not be resumed"
                         : "the engine's answer was lost");
        return false;
    }
    drop_events(request);
    return true;
}

static void end_without_engine(hs_online_request *request, const char *reason) {
    end_request(request, request->byte_may_have_left ? HS_ONLINE_MAY_HAVE_RUN : HS_ONLINE_NOT_RUN,
                reason);
}

/** Engines tried so far, and the query that leaves them out. */
typedef struct {
    char ids[MAX_TRIED][64];
    const char *pointers[MAX_TRIED];
    hs_engine_query query;
} tried_engines;

static void add_tried(tried_engines *tried, const char *id) {
    uint32_t count = tried->query.excluded_count;
    g_strlcpy(tried->ids[count], id, sizeof tried->ids[count]);
    tried->pointers[count] = tried->ids[count];
    tried->query.excluded_count++;
}

/** Another attempt holds our key: read its answer from its engine, without ever running ours. */
static void answer_from_holder(hs_online_request *request, const hs_key_holder *holder) {
    hs_engine_call call = {.engine_url = holder->engine_url,
                           .request_id = holder->attempt_id,
                           .timeout_s = exchange_limit_s(request)};
    hs_run_result result = {.end = HS_RUN_REFUSED};
    g_mutex_lock(&request->lock);
    request->attempt_id[0] = '\0'; /* Not ours to cancel. */
    g_mutex_unlock(&request->lock);
    while (result.end != HS_RUN_COMPLETED && result.end != HS_RUN_CANCELLED && !is_over(request)) {
        result = hs_engine_resume(&call, result.next_token, take_token, request);
        if (result.end == HS_RUN_REFUSED || result.end == HS_RUN_INTERRUPTED)
            hs_clock_sleep_ms(RESUME_WAIT_MS);
    }
    bool whole = result.end == HS_RUN_COMPLETED;
    end_request(request, whole ? HS_ONLINE_WHOLE : HS_ONLINE_DUPLICATE,
                whole ? "" : "another request holds this key and its answer cannot be read");
}

/** Whether the attempt may be sent; ends the request when not. */
static bool obtain_key(hs_online_request *request, const hs_engine_choice *choice) {
    hs_key_holder holder;
    if (request->key_hash == NULL)
        return true;
    switch (hs_online_key_take(request->node, request->key_hash, request->attempt_id, choice->url,
                               &holder)) {
    case HS_KEY_OURS:
        return true;
    case HS_KEY_TAKEN:
        answer_from_holder(request, &holder);
        return false;
    case HS_KEY_UNKNOWN:
        break;
    }
    end_request(request, HS_ONLINE_NOT_RUN, "the platform cannot hold the key now");
    return false;
}

/** Whether someone still waits for the answer, before it is asked for; ends the request when not.
 */
static bool is_wanted(hs_online_request *request) {
    g_mutex_lock(&request->lock);
    bool wanted = !request->abandoned;
    g_mutex_unlock(&request->lock);
    if (!wanted)
        end_without_engine(request, "nobody waits for the answer");
    return wanted;
}

/**
 * One attempt at the chosen engine. True when another may follow. @p lacked_model: the engine is
 * well but does not hold the model, so that asking another costs the fleet nothing.
 */
static bool attempt(hs_online_request *request, const hs_engine_choice *choice,
                    bool *lacked_model) {
    hs_run_result result = {.end = HS_RUN_REFUSED};
    bool reachable =
        !request->run_once || hs_engine_is_reachable(choice->url, REACHABLE_TIMEOUT_MS);
    bool sent = reachable && obtain_key(request, choice) && is_wanted(request);
    if (sent)
        result = run_attempt(request, choice);
    hs_attempt_verdict verdict = reachable ? HS_ATTEMPT_COMPLETED : HS_ATTEMPT_FAILED;
    hs_engine_table_finish(request->node->engines, choice->id, request->model,
                           sent ? verdict_of(&result) : verdict, hs_clock_monotonic_ms());
    hs_node_send_online_notice(request->node, choice->id);
    if (reachable && !sent)
        return false;
    *lacked_model = sent && verdict_of(&result) == HS_ATTEMPT_NO_MODEL;
    return continue_after(request, &result);
}

static void run_attempts(hs_online_request *request) {
    hs_node *node = request->node;
    tried_engines tried = {.query = {.group = request->group,
                                     .model = request->model,
                                     .prefix_hash = request->prefix_hash}};
    tried.query.excluded_ids = tried.pointers;
    int number = 1;
    bool free_attempt = true;
    while (number <= node->settings->max_attempts && tried.query.excluded_count < MAX_TRIED) {
        hs_engine_choice choice;
        if (!is_wanted(request))
            return;
        if (is_over(request)) {
            end_without_engine(request, "the deadline has passed");
            return;
        }
        if (!free_attempt && !may_retry(request)) {
            end_without_engine(request, "the retry budget is spent");
            return;
        }
        if (!hs_engine_table_acquire(node->engines, &tried.query, hs_clock_monotonic_ms(),
                                     &choice)) {
            end_without_engine(request, "no engine is available");
            return;
        }
        trace_choice(request, &choice, number);
        set_attempt(request, &choice, number);
        if (!attempt(request, &choice, &free_attempt))
            return;
        add_tried(&tried, choice.id);
        number += !free_attempt;
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
        hs_online_key_void(node, request->key_hash, request->attempt_id);
    g_atomic_int_add(&node->online_count, -1);
    hs_online_request_release(request);
}
