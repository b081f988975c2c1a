/**
 * @file complete.c
 * POST /v1/chat/completions and /v1/completions: checks, admission, and the answer, plain or
 * streamed. The attempts themselves are in online_request.c.
 */
#include "base/clock.h"
#include "base/hash.h"
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

#define STREAM_BLOCK_SIZE 4096
#define RETRY_AFTER_S 1
#define MS_PER_S 1000
#define HTTP_GATEWAY_TIMEOUT 504
#define HTTP_BAD_GATEWAY 502
#define HTTP_TOO_MANY 429
#define DONE_EVENT "data: [DONE]\n\n"

/** Deadline header, or the default; false when it is malformed. */
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

/** Fill @p fields from the request; answers and returns false when it must be refused. */
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
    fields->body = json_loadb(request->binary_body, request->binary_body_length, 0, NULL);
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

/** Tenant, route and limits; answers and returns false when the request is refused. */
static bool admit(hs_node *node, hs_online_request *fields, struct _u_response *response) {
    fields->view = hs_config_store_view(node->config);
    if (!hs_config_view_knows_tenant(fields->view, fields->tenant)) {
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
                        &(hs_error_body){.status = HTTP_TOO_MANY,
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

/** The error of a request that did not come whole. */
static hs_error_body error_of(const hs_online_request *request, hs_online_state state) {
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
        return (hs_error_body){.status = HTTP_GATEWAY_TIMEOUT,
                               .type = "outcome_unknown",
                               .code = "deadline",
                               .message = "the deadline has passed",
                               .may_have_run = true,
                               .retry_after_s = RETRY_AFTER_S};
    default:
        return (hs_error_body){.status = HTTP_BAD_GATEWAY,
                               .type = "outcome_unknown",
                               .code = "answer_lost",
                               .message = request->failure,
                               .may_have_run = true};
    }
}

static void count_end(hs_node *node, hs_online_state state) {
    static const hs_counter counters[] = {[HS_ONLINE_RUNNING] = HS_COUNT_ONLINE_UNKNOWN,
                                          [HS_ONLINE_WHOLE] = HS_COUNT_ONLINE_ANSWERED,
                                          [HS_ONLINE_INVALID] = HS_COUNT_ONLINE_INVALID,
                                          [HS_ONLINE_NOT_RUN] = HS_COUNT_ONLINE_REFUSED,
                                          [HS_ONLINE_MAY_HAVE_RUN] = HS_COUNT_ONLINE_UNKNOWN,
                                          [HS_ONLINE_DUPLICATE] = HS_COUNT_ONLINE_INVALID};
    hs_metrics_add(&node->metrics, counters[state], 1);
}

/** The request is over for its caller. */
static void close_request(hs_online_request *request, hs_online_state state) {
    hs_node *node = request->node;
    if (state == HS_ONLINE_RUNNING)
        hs_online_request_abandon(request);
    count_end(node, state);
    hs_tenant_limits_leave(node->limits, request->tenant);
    hs_online_request_release(request);
    g_atomic_int_add(&node->call_count, -1);
}

/* ---- Plain -------------------------------------------------------------------------------- */

static void answer_plain(hs_online_request *request, struct _u_response *response) {
    hs_response_builder answer;
    hs_online_state state = HS_ONLINE_RUNNING;
    hs_response_builder_init(&answer, request->chat);
    json_t *event;
    while ((event = hs_online_request_next(request, &state)) != NULL) {
        hs_response_builder_add_event(&answer, event);
        json_decref(event);
    }
    if (state == HS_ONLINE_WHOLE) {
        hs_http_reply_json(response, 200,
                           hs_response_builder_make_body(&answer, request->request_id,
                                                         request->model,
                                                         hs_clock_wall_ms() / MS_PER_S));
    } else {
        hs_error_body error = error_of(request, state);
        hs_http_reply_error(response, &error);
    }
    hs_response_builder_clear(&answer);
    close_request(request, state);
}

/* ---- Streamed ----------------------------------------------------------------------------- */

/** A stream being written to its caller; of the connection's thread alone. */
typedef struct {
    hs_online_request *request;
    GString *pending;
    hs_online_state state;
    bool ended;  /**< The last bytes are pending. */
    bool broken; /**< The answer is not whole: the transfer ends as a broken one. */
} caller_stream;

static void append_event(GString *pending, json_t *event) {
    char *text = json_dumps(event, JSON_COMPACT);
    g_string_append_printf(pending, "data: %s\n\n", text);
    free(text);
    json_decref(event);
}

/** Wait for the next event, or write the end. */
static void fill_pending(caller_stream *stream) {
    json_t *event = hs_online_request_next(stream->request, &stream->state);
    if (event != NULL) {
        append_event(stream->pending, event);
        return;
    }
    stream->ended = true;
    if (stream->state == HS_ONLINE_WHOLE) {
        g_string_append(stream->pending, DONE_EVENT);
        return;
    }
    stream->broken = true;
    hs_error_body error = error_of(stream->request, stream->state);
    g_autofree char *text = hs_error_body_text(&error);
    g_string_append_printf(stream->pending, "data: %s\n\n", text);
}

static ssize_t write_stream(void *user_data, uint64_t offset, char *buffer, size_t size) {
    (void)offset;
    caller_stream *stream = user_data;
    if (stream->pending->len == 0 && stream->ended)
        return stream->broken ? U_STREAM_ERROR : U_STREAM_END;
    if (stream->pending->len == 0)
        fill_pending(stream);
    size_t count = MIN(size, stream->pending->len);
    memcpy(buffer, stream->pending->str, count);
    g_string_erase(stream->pending, 0, (gssize)count);
    return (ssize_t)count;
}

/** The connection is over, by its end or because the caller hung up. */
static void free_stream(void *user_data) {
    caller_stream *stream = user_data;
    close_request(stream->request, stream->ended ? stream->state : HS_ONLINE_RUNNING);
    g_string_free(stream->pending, TRUE);
    g_free(stream);
}

/** Wait for the first event, so that a failure before it gets a status of its own. */
static void answer_streamed(hs_online_request *request, struct _u_response *response) {
    hs_online_state state = HS_ONLINE_RUNNING;
    json_t *event = hs_online_request_next(request, &state);
    if (event == NULL && state != HS_ONLINE_WHOLE) {
        hs_error_body error = error_of(request, state);
        hs_http_reply_error(response, &error);
        close_request(request, state);
        return;
    }
    caller_stream *stream = g_new0(caller_stream, 1);
    stream->request = request;
    stream->pending = g_string_new(NULL);
    if (event != NULL)
        append_event(stream->pending, event);
    u_map_put(response->map_header, "Content-Type", "text/event-stream");
    u_map_put(response->map_header, "Cache-Control", "no-store");
    ulfius_set_stream_response(response, 200, write_stream, free_stream, U_STREAM_SIZE_UNKNOWN,
                               STREAM_BLOCK_SIZE, stream);
}

static int complete(hs_node *node, const struct _u_request *request, struct _u_response *response,
                    bool chat) {
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
        answer_streamed(started, response);
    else
        answer_plain(started, response);
    return U_CALLBACK_COMPLETE;
}

int hs_command_chat(const struct _u_request *request, struct _u_response *response, void *node) {
    return complete(node, request, response, true);
}

int hs_command_text(const struct _u_request *request, struct _u_response *response, void *node) {
    return complete(node, request, response, false);
}
