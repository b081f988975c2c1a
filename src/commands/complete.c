/**
 * @file complete.c
 * POST /v1/chat/completions and /v1/completions: checks and admits the request and writes the
 * response, plain or streamed. online_request.c runs the attempts.
 */
#include "base/clock.h"
#include "base/hash.h"
#include "base/json_reader.h"
#include "base/log.h"
#include "commands/command_routes.h"
#include "commands/completion_check.h"
#include "commands/online_key.h"
#include "commands/online_request.h"
#include "engine/whole_answer.h"
#include "http/auth.h"
#include "http/error_body.h"
#include "http/refusal.h"

#include <stdlib.h>
#include <string.h>

#define STREAM_BLOCK_BYTES 4096
#define RETRY_AFTER_S 1
#define MS_PER_S 1000
#define HTTP_GATEWAY_TIMEOUT 504
#define HTTP_BAD_GATEWAY 502
#define HTTP_TOO_MANY_REQUESTS 429
#define DONE_EVENT "data: [DONE]\n\n"

/** Reads the deadline header, or takes the default. Returns false if the header is invalid. */
static bool read_timeout(const hs_node *node, const struct _u_request *request,
                         int64_t *timeout_ms) {
    const char *header = u_map_get_case(request->map_header, "Heathsail-Timeout-Ms");
    *timeout_ms = node->settings->default_timeout_ms;
    if (header == NULL)
        return true;
    return g_ascii_string_to_signed(header, 10, 1, node->settings->max_timeout_ms, timeout_ms,
                                    NULL);
}

static bool is_run_once(const struct _u_request *request) {
    const char *header = u_map_get_case(request->map_header, "Heathsail-Run-Once");
    return header != NULL && g_ascii_strcasecmp(header, "true") == 0;
}

/** Fills @p fields from the request. If the request is invalid, answers and returns false. */
static bool read_request(hs_node *node, const struct _u_request *request, bool chat,
                         hs_online_request *fields, struct _u_response *response) {
    hs_error error = {0};
    const char *tenant = hs_http_tenant(request);
    int64_t timeout_ms = 0;
    if (tenant == NULL) {
        hs_refuse_invalid(response, 401, "no_tenant", "Authorization: Bearer must name a tenant");
        return false;
    }
    if ((int64_t)request->binary_body_length > node->settings->max_body_bytes) {
        hs_refuse_invalid(response, 413, "body_too_large", "the body is over the limit");
        return false;
    }
    if (!read_timeout(node, request, &timeout_ms)) {
        hs_refuse_invalid(response, 400, "bad_timeout", "Heathsail-Timeout-Ms is out of range");
        return false;
    }
    fields->body = hs_json_parse(request->binary_body, request->binary_body_length, NULL);
    if (fields->body == NULL) {
        hs_refuse_invalid(response, 400, "bad_json", "the body is not JSON");
        return false;
    }
    if (hs_completion_check(fields->body, chat, node->settings->max_tokens, &error) != 0) {
        hs_refuse_invalid(response, 400, "bad_request", error.message);
        return false;
    }
    fields->tenant = g_strdup(tenant);
    fields->model = g_strdup(json_string_value(json_object_get(fields->body, "model")));
    fields->chat = chat;
    fields->stream = json_is_true(json_object_get(fields->body, "stream"));
    fields->run_once = is_run_once(request);
    const char *key = u_map_get_case(request->map_header, "Idempotency-Key");
    if (fields->run_once && key != NULL)
        fields->key_hash = hs_online_key_hash(tenant, key);
    fields->prefix_hash = hs_completion_prefix_hash(fields->body, chat);
    fields->deadline_ms = hs_clock_monotonic_ms() + (uint64_t)timeout_ms;
    return true;
}

/** Checks tenant, route and tenant limit. If the request is refused, answers and returns false. */
static bool admit(hs_node *node, hs_online_request *fields, struct _u_response *response) {
    fields->view = hs_config_store_acquire_view(node->config);
    if (!hs_config_view_is_known_tenant(fields->view, fields->tenant)) {
        hs_refuse_invalid(response, 401, "unknown_tenant", "this tenant is not listed");
        return false;
    }
    fields->group = hs_config_view_route(fields->view, fields->model, fields->tenant);
    if (fields->group == NULL) {
        hs_refuse_invalid(response, 404, "model_not_found", "no routing rule for this model");
        return false;
    }
    uint32_t wait_ms =
        hs_tenant_limits_enter(node->limits, fields->view, fields->tenant,
                               hs_node_live_daemon_count(node), hs_clock_monotonic_ms());
    if (wait_ms == 0)
        return true;
    hs_http_reply_error(response,
                        &(hs_error_body){.status = HTTP_TOO_MANY_REQUESTS,
                                         .type = "rate_limit_error",
                                         .code = "tenant_limit",
                                         .message = "the tenant is over its limit",
                                         .retry_after_s = (wait_ms + MS_PER_S - 1) / MS_PER_S});
    return false;
}

static void free_fields(hs_online_request *fields) {
    g_free(fields->request_id);
    g_free(fields->tenant);
    g_free(fields->model);
    g_free(fields->key_hash);
    json_decref(fields->body);
    hs_config_view_release(fields->view);
}

/** Returns the error body of a request that is not waited for any longer. */
static hs_error_body make_unfinished_body(const hs_online_request *request) {
    if (hs_drain_has_expired(request->node->drain))
        return (hs_error_body){.status = HTTP_BAD_GATEWAY,
                               .type = "outcome_unknown",
                               .code = "stopped",
                               .message = "this daemon stopped",
                               .may_have_run = true};
    return (hs_error_body){.status = HTTP_GATEWAY_TIMEOUT,
                           .type = "outcome_unknown",
                           .code = "deadline",
                           .message = "the deadline has passed",
                           .may_have_run = true,
                           .retry_after_s = RETRY_AFTER_S};
}

/** Returns the error body of a request that did not complete; refers to @p request's texts. */
static hs_error_body make_error_body(const hs_online_request *request, hs_online_state state) {
    switch (state) {
    case HS_ONLINE_INVALID:
        return (hs_error_body){.status = 400,
                               .type = "invalid_request_error",
                               .code = "bad_request",
                               .message = request->failure};
    case HS_ONLINE_NOT_RUN:
        return (hs_error_body){.status = 503,
                               .type = "unavailable",
                               .code = "no_engine",
                               .message = request->failure,
                               .retry_after_s = RETRY_AFTER_S};
    case HS_ONLINE_DUPLICATE:
        return (hs_error_body){.status = 409,
                               .type = "outcome_unknown",
                               .code = "duplicate_request",
                               .message = request->failure,
                               .may_have_run = true};
    case HS_ONLINE_RUNNING:
        return make_unfinished_body(request);
    default:
        return (hs_error_body){.status = HTTP_BAD_GATEWAY,
                               .type = "outcome_unknown",
                               .code = "answer_lost",
                               .message = request->failure,
                               .may_have_run = true};
    }
}

static void count_outcome(hs_node *node, hs_online_state state) {
    static const hs_counter counters[] = {[HS_ONLINE_RUNNING] = HS_COUNT_ONLINE_UNKNOWN,
                                          [HS_ONLINE_COMPLETED] = HS_COUNT_ONLINE_ANSWERED,
                                          [HS_ONLINE_INVALID] = HS_COUNT_ONLINE_INVALID,
                                          [HS_ONLINE_NOT_RUN] = HS_COUNT_ONLINE_REFUSED,
                                          [HS_ONLINE_MAY_HAVE_RUN] = HS_COUNT_ONLINE_UNKNOWN,
                                          [HS_ONLINE_DUPLICATE] = HS_COUNT_ONLINE_INVALID};
    hs_metrics_add(&node->metrics, counters[state], 1);
}

/** Counts the outcome and drops the caller's reference; abandons a request that still runs. */
static void close_request(hs_online_request *request, hs_online_state state) {
    hs_node *node = request->node;
    if (state == HS_ONLINE_RUNNING)
        hs_online_request_abandon(request);
    count_outcome(node, state);
    hs_tenant_limits_leave(node->limits, request->tenant);
    hs_online_request_release(request);
    g_atomic_int_add(&node->call_count, -1);
}

/* ---- Plain -------------------------------------------------------------------------------- */

static void respond_plain(hs_online_request *request, struct _u_response *response) {
    hs_response_builder answer;
    hs_online_state state = HS_ONLINE_RUNNING;
    hs_response_builder_init(&answer, request->chat);
    json_t *event;
    while ((event = hs_online_request_wait_for_event(request, &state)) != NULL) {
        hs_response_builder_add_event(&answer, event);
        json_decref(event);
    }
    if (state == HS_ONLINE_COMPLETED) {
        hs_http_reply_json(response, 200,
                           hs_response_builder_make_body(&answer, request->request_id,
                                                         request->model,
                                                         hs_clock_wall_ms() / MS_PER_S));
    } else {
        hs_error_body error = make_error_body(request, state);
        hs_http_reply_error(response, &error);
    }
    hs_response_builder_clear(&answer);
    close_request(request, state);
}

/* ---- Streamed ----------------------------------------------------------------------------- */

/** State of a response stream; used by the connection's thread only. */
typedef struct {
    hs_online_request *request;
    GString *pending;
    hs_online_state state;
    bool ended;  /**< No event follows the pending bytes. */
    bool failed; /**< The response is incomplete: the transfer is aborted. */
} response_stream;

static void append_event(GString *pending, json_t *event) {
    char *text = json_dumps(event, JSON_COMPACT);
    g_string_append_printf(pending, "data: %s\n\n", text);
    free(text);
    json_decref(event);
}

/** Waits for the next event and appends the event, or the stream's end, to the pending bytes. */
static void fill_pending(response_stream *stream) {
    json_t *event = hs_online_request_wait_for_event(stream->request, &stream->state);
    if (event != NULL) {
        append_event(stream->pending, event);
        return;
    }
    stream->ended = true;
    if (stream->state == HS_ONLINE_COMPLETED) {
        g_string_append(stream->pending, DONE_EVENT);
        return;
    }
    stream->failed = true;
    hs_error_body error = make_error_body(stream->request, stream->state);
    g_autofree char *text = hs_error_body_text(&error);
    g_string_append_printf(stream->pending, "data: %s\n\n", text);
}

static ssize_t write_stream(void *user_data, uint64_t offset, char *buffer, size_t size) {
    (void)offset;
    response_stream *stream = user_data;
    if (stream->pending->len == 0 && stream->ended)
        return stream->failed ? U_STREAM_ERROR : U_STREAM_END;
    if (stream->pending->len == 0)
        fill_pending(stream);
    size_t count = MIN(size, stream->pending->len);
    memcpy(buffer, stream->pending->str, count);
    g_string_erase(stream->pending, 0, (gssize)count);
    return (ssize_t)count;
}

/** Called when the response has been sent or the caller has disconnected. */
static void free_stream(void *user_data) {
    response_stream *stream = user_data;
    close_request(stream->request, stream->ended ? stream->state : HS_ONLINE_RUNNING);
    g_string_free(stream->pending, TRUE);
    g_free(stream);
}

/** Sends headers only after the first event, so that an earlier failure has its own HTTP status. */
static void respond_streamed(hs_online_request *request, struct _u_response *response) {
    hs_online_state state = HS_ONLINE_RUNNING;
    json_t *event = hs_online_request_wait_for_event(request, &state);
    if (event == NULL && state != HS_ONLINE_COMPLETED) {
        hs_error_body error = make_error_body(request, state);
        hs_http_reply_error(response, &error);
        close_request(request, state);
        return;
    }
    response_stream *stream = g_new0(response_stream, 1);
    stream->request = request;
    stream->pending = g_string_new(NULL);
    if (event != NULL)
        append_event(stream->pending, event);
    u_map_put(response->map_header, "Content-Type", "text/event-stream");
    u_map_put(response->map_header, "Cache-Control", "no-store");
    ulfius_set_stream_response(response, 200, write_stream, free_stream, U_STREAM_SIZE_UNKNOWN,
                               STREAM_BLOCK_BYTES, stream);
}

static int handle_completion(hs_node *node, const struct _u_request *request,
                             struct _u_response *response, bool chat) {
    hs_metrics_add(&node->metrics, HS_COUNT_ONLINE_REQUESTS, 1);
    if (!hs_node_is_accepting_requests(node))
        return hs_refuse_unavailable(response, "not_ready", "this daemon takes no requests now",
                                     RETRY_AFTER_S);
    if (hs_http_caller_has_left()) {
        hs_log_info("caller_gone", "path=%s run=did_not", request->url_path);
        hs_metrics_add(&node->metrics, HS_COUNT_ONLINE_REFUSED, 1);
        return hs_refuse_unavailable(response, "caller_gone", "the caller has left", RETRY_AFTER_S);
    }
    hs_online_request fields = {.caller_descriptor = hs_http_caller_descriptor()};
    if (!read_request(node, request, chat, &fields, response) || !admit(node, &fields, response)) {
        hs_metrics_add(&node->metrics, HS_COUNT_ONLINE_INVALID, 1);
        free_fields(&fields);
        return U_CALLBACK_COMPLETE;
    }
    g_atomic_int_inc(&node->call_count);
    fields.request_id = hs_id_random("req");
    u_map_put(response->map_header, "X-Request-Id", fields.request_id);
    hs_online_request *started = hs_online_request_start(node, &fields);
    if (started->stream)
        respond_streamed(started, response);
    else
        respond_plain(started, response);
    return U_CALLBACK_COMPLETE;
}

int hs_command_chat(const struct _u_request *request, struct _u_response *response, void *node) {
    return handle_completion(node, request, response, true);
}

int hs_command_text(const struct _u_request *request, struct _u_response *response, void *node) {
    return handle_completion(node, request, response, false);
}
