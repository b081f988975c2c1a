/** @file engine.c  Step thread of the stand-in engine and its HTTP routes for requests. */
#include "standin/engine/engine.h"

#include "base/hash.h"
#include "http/error_body.h"
#include "standin/engine/answer.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define STREAM_WAIT_US (50 * 1000)
#define STREAM_BLOCK_BYTES 4096
#define IDLE_WAIT_US (50 * 1000)
#define LOAD_SAMPLE_INTERVAL_US (20 * 1000)
#define MAX_LOAD_SAMPLES 256
#define BYTES_PER_TOKEN 4
#define PREFIX_BYTES 256

typedef struct {
    engine *self;
    engine_request *request;
    uint32_t next_token;
    uint32_t cut_after; /**< 0: no cut. */
    bool done_sent;
    GString *pending; /**< Bytes that are not yet written. */
} engine_stream;

/** Sets the end time of a request with the last token. */
static void record_completion(engine_sequence *sequence, void *user_data) {
    (void)user_data;
    engine_request *request = sequence->owner;
    if (sequence->state == ENGINE_SEQUENCE_DONE)
        request->ended_us = g_get_monotonic_time();
}

/** The caller holds the lock. */
static void cancel_locked(engine *self, engine_request *request) {
    engine_model_cancel(self->model, &request->sequence);
    request->ended_us = g_get_monotonic_time();
}

static void sample_load(engine *self) {
    gint64 now = g_get_monotonic_time();
    GArray *samples = self->load_samples;
    if (samples->len > 0 &&
        now - g_array_index(samples, engine_load_sample, samples->len - 1).sampled_us <
            LOAD_SAMPLE_INTERVAL_US)
        return;
    uint32_t online = engine_model_count_more_urgent(self->model, ENGINE_BATCH_PRIORITY);
    uint32_t all = self->model->running->len + self->model->waiting->len;
    engine_load_sample sample = {.sampled_us = now,
                                 .online = online,
                                 .batch = all - online,
                                 .kv_free = self->model->settings.kv_tokens -
                                            engine_model_kv_used(self->model)};
    g_array_append_val(samples, sample);
    if (samples->len > MAX_LOAD_SAMPLES)
        g_array_remove_index(samples, 0);
}

static gpointer run_steps(gpointer data) {
    engine *self = data;
    g_mutex_lock(&self->lock);
    while (!self->stopping) {
        sample_load(self);
        double duration_ms = engine_model_step_begin(self->model);
        if (duration_ms <= 0) {
            g_cond_wait_until(&self->progressed, &self->lock,
                              g_get_monotonic_time() + IDLE_WAIT_US);
            continue;
        }
        duration_ms += self->faults.slow_step_ms;
        g_mutex_unlock(&self->lock);
        g_usleep((gulong)(duration_ms * 1000));
        g_mutex_lock(&self->lock);
        engine_model_step_end(self->model, record_completion, NULL);
        g_cond_broadcast(&self->progressed);
    }
    g_mutex_unlock(&self->lock);
    return NULL;
}

engine *engine_new(const char *id, const engine_model_settings *settings) {
    engine *self = g_new0(engine, 1);
    self->id = g_strdup(id);
    g_mutex_init(&self->lock);
    g_cond_init(&self->progressed);
    self->model = engine_model_new(settings);
    self->requests = g_hash_table_new(g_str_hash, g_str_equal);
    self->request_list = g_ptr_array_new();
    self->loaded_models = g_ptr_array_new_with_free_func(g_free);
    self->load_samples = g_array_new(FALSE, FALSE, sizeof(engine_load_sample));
    self->cache_events = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    self->order_epochs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    self->faults.load_lag_ms = 1000;
    g_ptr_array_add(self->loaded_models, g_strdup(ENGINE_DEFAULT_MODEL));
    self->step_thread = g_thread_new("engine-steps", run_steps, self);
    return self;
}

static void free_request(gpointer data) {
    engine_request *request = data;
    g_free(request->request_id);
    g_free(request->prompt);
    g_free(request->model);
    g_free(request);
}

void engine_free(engine *self) {
    g_mutex_lock(&self->lock);
    self->stopping = true;
    g_cond_broadcast(&self->progressed);
    g_mutex_unlock(&self->lock);
    g_thread_join(self->step_thread);
    engine_model_free(self->model);
    g_hash_table_destroy(self->requests);
    g_ptr_array_foreach(self->request_list, (GFunc)(void (*)(void))free_request, NULL);
    g_ptr_array_free(self->request_list, TRUE);
    g_ptr_array_free(self->loaded_models, TRUE);
    g_array_free(self->load_samples, TRUE);
    g_array_free(self->cache_events, TRUE);
    g_hash_table_destroy(self->order_epochs);
    g_free(self->id);
    g_free(self);
}

static bool has_loaded_model(engine *self, const char *model) {
    for (guint index = 0; index < self->loaded_models->len; index++)
        if (strcmp(self->loaded_models->pdata[index], model) == 0)
            return true;
    return false;
}

/**
 * Returns the request with the id of the body, or starts a new one if there is none or it was
 * cancelled. The caller holds the lock.
 */
static engine_request *find_or_start_request(engine *self, const json_t *body, bool chat) {
    const char *given_id = json_string_value(json_object_get(body, "request_id"));
    g_autofree char *request_id = given_id != NULL ? g_strdup(given_id) : hs_id_random("req");
    engine_request *request = g_hash_table_lookup(self->requests, request_id);
    if (request != NULL && request->sequence.state != ENGINE_SEQUENCE_CANCELLED) {
        request->start_count++;
        return request;
    }
    const json_t *max_tokens = json_object_get(body, "max_tokens");
    request = g_new0(engine_request, 1);
    request->request_id = g_steal_pointer(&request_id);
    request->prompt = answer_prompt_text(body);
    request->model = g_strdup(json_string_value(json_object_get(body, "model")));
    request->chat = chat;
    request->start_count = 1;
    request->received_us = g_get_monotonic_time();
    request->sequence = (engine_sequence){
        .priority = (int)json_integer_value(json_object_get(body, "priority")),
        .prompt_tokens = (uint32_t)strlen(request->prompt) / BYTES_PER_TOKEN + 1,
        .max_tokens = json_is_integer(max_tokens) ? (uint32_t)json_integer_value(max_tokens)
                                                  : ANSWER_DEFAULT_TOKENS,
        .owner = request};
    size_t prefix_bytes = MIN(strlen(request->prompt), PREFIX_BYTES);
    request->sequence.prefix_hash = hs_hash_bytes(request->prompt, prefix_bytes);
    request->sequence.prefix_tokens = (uint32_t)prefix_bytes / BYTES_PER_TOKEN;
    g_array_append_val(self->cache_events, request->sequence.prefix_hash);
    g_hash_table_replace(self->requests, request->request_id, request);
    g_ptr_array_add(self->request_list, request);
    engine_model_submit(self->model, &request->sequence);
    g_cond_broadcast(&self->progressed);
    return request;
}

static bool has_ended(const engine_request *request) {
    return request->sequence.state == ENGINE_SEQUENCE_DONE ||
           request->sequence.state == ENGINE_SEQUENCE_CANCELLED;
}

/** Appends the event of a token in the chat or completion format. */
static void append_token_event(engine_stream *stream, uint32_t index) {
    const engine_request *request = stream->request;
    g_autofree char *token = answer_token(request->prompt, index);
    bool last = index + 1 == request->sequence.max_tokens;
    json_t *choice = request->chat ? json_pack("{s:i,s:{s:s},s:s?}", "index", 0, "delta", "content",
                                               token, "finish_reason", last ? "length" : NULL)
                                   : json_pack("{s:i,s:s,s:s?}", "index", 0, "text", token,
                                               "finish_reason", last ? "length" : NULL);
    json_t *event = json_pack("{s:s,s:s,s:s,s:i,s:[o]}", "id", request->request_id, "object",
                              request->chat ? "chat.completion.chunk" : "text_completion", "model",
                              request->model, "token_index", (int)index, "choices", choice);
    char *text = json_dumps(event, JSON_COMPACT);
    g_string_append_printf(stream->pending, "data: %s\n\n", text);
    free(text);
    json_decref(event);
}

/** Waits for tokens after the stream's position and encodes them. The caller holds the lock. */
static ssize_t fill_pending(engine_stream *stream) {
    engine *self = stream->self;
    engine_request *request = stream->request;
    while (request->sequence.produced <= stream->next_token && !has_ended(request) &&
           !self->stopping)
        g_cond_wait_until(&self->progressed, &self->lock, g_get_monotonic_time() + STREAM_WAIT_US);
    if (self->stopping)
        return U_STREAM_ERROR;
    while (stream->next_token < request->sequence.produced) {
        if (stream->cut_after > 0 && stream->next_token >= stream->cut_after)
            return stream->pending->len > 0 ? 0 : U_STREAM_ERROR;
        append_token_event(stream, stream->next_token++);
    }
    if (!has_ended(request))
        return 0;
    if (request->sequence.state == ENGINE_SEQUENCE_CANCELLED)
        g_string_append(stream->pending, "data: {\"cancelled\":true}\n\n");
    g_string_append(stream->pending, "data: [DONE]\n\n");
    stream->done_sent = true;
    return 0;
}

static ssize_t write_stream(void *user_data, uint64_t offset, char *buffer, size_t size) {
    (void)offset;
    engine_stream *stream = user_data;
    if (stream->pending->len == 0) {
        if (stream->done_sent)
            return U_STREAM_END;
        g_mutex_lock(&stream->self->lock);
        ssize_t failed = fill_pending(stream);
        g_mutex_unlock(&stream->self->lock);
        if (failed != 0)
            return failed;
    }
    size_t count = MIN(size, stream->pending->len);
    memcpy(buffer, stream->pending->str, count);
    g_string_erase(stream->pending, 0, (gssize)count);
    return (ssize_t)count;
}

/** Frees the stream of a closed connection. The request keeps running and can be resumed. */
static void free_stream(void *user_data) {
    engine_stream *stream = user_data;
    g_mutex_lock(&stream->self->lock);
    stream->request->reader_count--;
    g_mutex_unlock(&stream->self->lock);
    g_string_free(stream->pending, TRUE);
    g_free(stream);
}

/** Streams the request's events from @p first_token on. The caller holds the lock. */
static void reply_stream(engine *self, engine_request *request, uint32_t first_token,
                         struct _u_response *response) {
    engine_stream *stream = g_new0(engine_stream, 1);
    stream->self = self;
    stream->request = request;
    stream->next_token = first_token;
    stream->pending = g_string_new(NULL);
    if (self->faults.cut_count > 0) {
        self->faults.cut_count--;
        stream->cut_after = first_token + MAX(self->faults.cut_after_tokens, 1U);
    }
    request->reader_count++;
    u_map_put(response->map_header, "Content-Type", "text/event-stream");
    u_map_put(response->map_header, "X-Request-Id", request->request_id);
    ulfius_set_stream_response(response, 200, write_stream, free_stream, U_STREAM_SIZE_UNKNOWN,
                               STREAM_BLOCK_BYTES, stream);
}

/** Waits for the end of the request and replies with the full text. The caller holds the lock. */
static void reply_complete(engine *self, engine_request *request, struct _u_response *response) {
    while (!has_ended(request) && !self->stopping)
        g_cond_wait_until(&self->progressed, &self->lock, g_get_monotonic_time() + STREAM_WAIT_US);
    if (request->sequence.state != ENGINE_SEQUENCE_DONE) {
        hs_http_reply_error(response, &(hs_error_body){.status = 499,
                                                       .type = "cancelled",
                                                       .code = "cancelled",
                                                       .message = "the request was cancelled",
                                                       .may_have_run = true});
        return;
    }
    g_autofree char *text = answer_text(request->prompt, request->sequence.max_tokens);
    json_t *choice =
        request->chat
            ? json_pack("{s:i,s:{s:s,s:s},s:s}", "index", 0, "message", "role", "assistant",
                        "content", text, "finish_reason", "length")
            : json_pack("{s:i,s:s,s:s}", "index", 0, "text", text, "finish_reason", "length");
    json_t *body =
        json_pack("{s:s,s:s,s:s,s:[o],s:{s:i,s:i}}", "id", request->request_id, "object",
                  request->chat ? "chat.completion" : "text_completion", "model", request->model,
                  "choices", choice, "usage", "prompt_tokens", (int)request->sequence.prompt_tokens,
                  "completion_tokens", (int)request->sequence.max_tokens);
    hs_http_reply_json(response, 200, body);
}

static int reply_refusal(struct _u_response *response, unsigned int status, const char *code) {
    return hs_http_reply_error(
        response,
        &(hs_error_body){.status = status, .type = "engine_error", .code = code, .message = code});
}

static int handle_complete(engine *self, const struct _u_request *wire,
                           struct _u_response *response, bool chat) {
    json_t *body = ulfius_get_json_body_request(wire, NULL);
    const char *model = json_string_value(json_object_get(body, "model"));
    if (model == NULL) {
        json_decref(body);
        return reply_refusal(response, 400, "bad_request");
    }
    g_mutex_lock(&self->lock);
    if (self->faults.leaving) {
        self->leaving_refusals++;
        reply_refusal(response, 503, "leaving");
    } else if (self->faults.refuse) {
        self->refusals++;
        reply_refusal(response, 503, "overloaded");
    } else if (!has_loaded_model(self, model))
        reply_refusal(response, 404, "model_not_loaded");
    else {
        engine_request *request = find_or_start_request(self, body, chat);
        if (json_is_true(json_object_get(body, "stream")))
            reply_stream(self, request, 0, response);
        else
            reply_complete(self, request, response);
    }
    g_mutex_unlock(&self->lock);
    json_decref(body);
    return U_CALLBACK_COMPLETE;
}

static int handle_chat(const struct _u_request *wire, struct _u_response *response, void *data) {
    return handle_complete(data, wire, response, true);
}

static int handle_text(const struct _u_request *wire, struct _u_response *response, void *data) {
    return handle_complete(data, wire, response, false);
}

/** Calls @p action with the request named in the path under the lock, or replies 404. */
static int call_with_request(engine *self, const struct _u_request *wire,
                             struct _u_response *response,
                             void (*action)(engine *, engine_request *, const struct _u_request *,
                                            struct _u_response *)) {
    g_mutex_lock(&self->lock);
    engine_request *request = g_hash_table_lookup(self->requests, hs_http_parameter(wire, "id"));
    if (request == NULL)
        reply_refusal(response, 404, "unknown_request");
    else
        action(self, request, wire, response);
    g_mutex_unlock(&self->lock);
    return U_CALLBACK_COMPLETE;
}

static void resume_request(engine *self, engine_request *request, const struct _u_request *wire,
                           struct _u_response *response) {
    reply_stream(self, request, (uint32_t)hs_http_parameter_number(wire, "offset", 0), response);
}

/** Restarts a cancelled request after the tokens produced so far, and streams its events. */
static void continue_request(engine *self, engine_request *request, const struct _u_request *wire,
                             struct _u_response *response) {
    if (self->faults.leaving || self->faults.refuse) {
        reply_refusal(response, 503, self->faults.leaving ? "leaving" : "overloaded");
        return;
    }
    if (request->sequence.state == ENGINE_SEQUENCE_CANCELLED) {
        request->ended_us = 0;
        engine_model_submit(self->model, &request->sequence);
        g_cond_broadcast(&self->progressed);
    }
    reply_stream(self, request, (uint32_t)hs_http_parameter_number(wire, "offset", 0), response);
}

static void cancel_request(engine *self, engine_request *request, const struct _u_request *wire,
                           struct _u_response *response) {
    (void)wire;
    if (!has_ended(request))
        cancel_locked(self, request);
    g_cond_broadcast(&self->progressed);
    hs_http_reply_json(response, 200,
                       json_pack("{s:i}", "tokens", (int)request->sequence.produced));
}

/** Cancels the requests of the body {"ids": [...]}. Unknown and ended ones are skipped. */
static int handle_cancel_many(const struct _u_request *wire, struct _u_response *response,
                              void *data) {
    engine *self = data;
    json_t *body = ulfius_get_json_body_request(wire, NULL);
    int cancelled = 0;
    size_t index;
    json_t *id;
    g_mutex_lock(&self->lock);
    json_array_foreach(json_object_get(body, "ids"), index, id) {
        engine_request *request =
            json_is_string(id) ? g_hash_table_lookup(self->requests, json_string_value(id)) : NULL;
        if (request == NULL || has_ended(request))
            continue;
        cancel_locked(self, request);
        cancelled++;
    }
    g_cond_broadcast(&self->progressed);
    g_mutex_unlock(&self->lock);
    json_decref(body);
    return hs_http_reply_json(response, 200, json_pack("{s:i}", "cancelled", cancelled));
}

static const char *state_name(const engine_request *request) {
    static const char *const names[] = {"waiting", "running", "done", "cancelled"};
    return names[request->sequence.state];
}

static void describe_request(engine *self, engine_request *request, const struct _u_request *wire,
                             struct _u_response *response) {
    (void)self;
    (void)wire;
    hs_http_reply_json(response, 200,
                       json_pack("{s:s,s:i,s:i}", "state", state_name(request), "tokens",
                                 (int)request->sequence.produced, "max_tokens",
                                 (int)request->sequence.max_tokens));
}

static int handle_resume(const struct _u_request *wire, struct _u_response *response, void *data) {
    return call_with_request(data, wire, response, resume_request);
}

static int handle_continue(const struct _u_request *wire, struct _u_response *response,
                           void *data) {
    return call_with_request(data, wire, response, continue_request);
}

static int handle_cancel(const struct _u_request *wire, struct _u_response *response, void *data) {
    return call_with_request(data, wire, response, cancel_request);
}

static int handle_describe(const struct _u_request *wire, struct _u_response *response,
                           void *data) {
    return call_with_request(data, wire, response, describe_request);
}

void engine_add_routes(engine *self, hs_http_server *server) {
    hs_http_server_route(server, "POST", "/v1/chat/completions", handle_chat, self);
    hs_http_server_route(server, "POST", "/v1/completions", handle_text, self);
    hs_http_server_route(server, "GET", "/v1/requests/:id/stream", handle_resume, self);
    hs_http_server_route(server, "POST", "/v1/requests/:id/continue", handle_continue, self);
    hs_http_server_route(server, "POST", "/v1/cancellations", handle_cancel_many, self);
    hs_http_server_route(server, "POST", "/v1/requests/:id/cancel", handle_cancel, self);
    hs_http_server_route(server, "GET", "/v1/requests/:id", handle_describe, self);
    engine_add_control_routes(self, server);
}
