/** @file engine_control.c  Routes for orders, load, cache events, faults and the record. */
#include "standin/engine/engine.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#define US_PER_MS 1000

static int handle_models(const struct _u_request *wire, struct _u_response *response, void *data) {
    (void)wire;
    engine *self = data;
    json_t *list = json_array();
    g_mutex_lock(&self->lock);
    for (guint index = 0; index < self->loaded_models->len; index++)
        json_array_append_new(list, json_pack("{s:s,s:s}", "id", self->loaded_models->pdata[index],
                                              "object", "model"));
    g_mutex_unlock(&self->lock);
    return hs_http_reply_json(response, 200,
                              json_pack("{s:s,s:o}", "object", "list", "data", list));
}

/** Returns the newest load sample that is at least as old as the lag. */
static int handle_load(const struct _u_request *wire, struct _u_response *response, void *data) {
    (void)wire;
    engine *self = data;
    engine_load_sample newest = {.kv_free = self->model->settings.kv_tokens};
    g_mutex_lock(&self->lock);
    gint64 visible_until_us = g_get_monotonic_time() - (gint64)self->faults.load_lag_ms * US_PER_MS;
    for (guint index = 0; index < self->load_samples->len; index++) {
        engine_load_sample *sample = &g_array_index(self->load_samples, engine_load_sample, index);
        if (sample->sampled_us <= visible_until_us)
            newest = *sample;
    }
    bool leaving = self->faults.leaving;
    g_mutex_unlock(&self->lock);
    return hs_http_reply_json(response, 200,
                              json_pack("{s:i,s:i,s:i,s:b,s:i}", "online", (int)newest.online,
                                        "batch", (int)newest.batch, "kv_free", (int)newest.kv_free,
                                        "leaving", leaving, "max_sequences",
                                        (int)self->model->settings.max_sequences));
}

static int handle_cache_events(const struct _u_request *wire, struct _u_response *response,
                               void *data) {
    engine *self = data;
    uint64_t after = hs_http_parameter_number(wire, "after", 0);
    json_t *events = json_array();
    g_mutex_lock(&self->lock);
    for (guint index = (guint)after; index < self->cache_events->len; index++) {
        if (self->faults.cache_gap_every > 0 && index % self->faults.cache_gap_every == 0)
            continue;
        char prefix[24];
        g_snprintf(prefix, sizeof prefix, "%016" PRIx64,
                   g_array_index(self->cache_events, uint64_t, index));
        json_array_append_new(events,
                              json_pack("{s:i,s:s}", "number", (int)index, "prefix", prefix));
    }
    g_mutex_unlock(&self->lock);
    return hs_http_reply_json(response, 200, json_pack("{s:o}", "events", events));
}

static void unload_model(engine *self, const char *model) {
    for (guint index = 0; index < self->loaded_models->len; index++) {
        if (strcmp(self->loaded_models->pdata[index], model) != 0)
            continue;
        g_ptr_array_remove_index(self->loaded_models, index);
        return;
    }
}

/** Executes an order unless an order with a later epoch was executed in the same scope. */
static int handle_order(const struct _u_request *wire, struct _u_response *response, void *data) {
    engine *self = data;
    json_t *body = ulfius_get_json_body_request(wire, NULL);
    const char *action = json_string_value(json_object_get(body, "action"));
    const char *model = json_string_value(json_object_get(body, "model"));
    const char *scope = json_string_value(json_object_get(body, "scope"));
    guint epoch = (guint)json_integer_value(json_object_get(body, "epoch"));
    if (action == NULL || model == NULL || scope == NULL) {
        json_decref(body);
        return hs_http_reply_json(response, 400, json_object());
    }
    g_mutex_lock(&self->lock);
    guint newest_epoch = GPOINTER_TO_UINT(g_hash_table_lookup(self->order_epochs, scope));
    bool fenced = epoch < newest_epoch;
    if (!fenced) {
        newest_epoch = epoch;
        g_hash_table_replace(self->order_epochs, g_strdup(scope), GUINT_TO_POINTER(epoch));
        unload_model(self, model);
        if (strcmp(action, "load") == 0)
            g_ptr_array_add(self->loaded_models, g_strdup(model));
    }
    g_mutex_unlock(&self->lock);
    json_decref(body);
    return hs_http_reply_json(response, fenced ? 409 : 200,
                              json_pack("{s:i}", "epoch", (int)newest_epoch));
}

static void set_number(uint32_t *number, const json_t *value) {
    if (json_is_integer(value))
        *number = (uint32_t)json_integer_value(value);
}

static int handle_faults(const struct _u_request *wire, struct _u_response *response, void *data) {
    engine *self = data;
    json_t *body = ulfius_get_json_body_request(wire, NULL);
    g_mutex_lock(&self->lock);
    engine_faults *faults = &self->faults;
    if (json_object_get(body, "refuse") != NULL)
        faults->refuse = json_is_true(json_object_get(body, "refuse"));
    if (json_object_get(body, "leaving") != NULL)
        faults->leaving = json_is_true(json_object_get(body, "leaving"));
    set_number(&faults->cut_count, json_object_get(body, "cut_count"));
    set_number(&faults->cut_after_tokens, json_object_get(body, "cut_after_tokens"));
    set_number(&faults->slow_step_ms, json_object_get(body, "slow_step_ms"));
    set_number(&faults->cache_gap_every, json_object_get(body, "cache_gap_every"));
    set_number(&faults->load_lag_ms, json_object_get(body, "load_lag_ms"));
    g_mutex_unlock(&self->lock);
    json_decref(body);
    return hs_http_reply_json(response, 200, json_object());
}

/** Returns all requests that the engine started. */
static int handle_record(const struct _u_request *wire, struct _u_response *response, void *data) {
    (void)wire;
    static const char *const state_names[] = {"waiting", "running", "done", "cancelled"};
    engine *self = data;
    json_t *list = json_array();
    g_mutex_lock(&self->lock);
    for (guint index = 0; index < self->request_list->len; index++) {
        const engine_request *request = self->request_list->pdata[index];
        json_array_append_new(
            list,
            json_pack("{s:s,s:s,s:i,s:i,s:i,s:s,s:I,s:I}", "request_id", request->request_id,
                      "prompt", request->prompt, "priority", request->sequence.priority, "tokens",
                      (int)request->sequence.produced, "starts", (int)request->start_count, "state",
                      state_names[request->sequence.state], "received_us",
                      (json_int_t)request->received_us, "ended_us", (json_int_t)request->ended_us));
    }
    json_t *body = json_pack("{s:s,s:i,s:i,s:I,s:o}", "engine", self->id, "refusals",
                             (int)self->refusals, "leaving_refusals", (int)self->leaving_refusals,
                             "now_us", (json_int_t)g_get_monotonic_time(), "requests", list);
    g_mutex_unlock(&self->lock);
    return hs_http_reply_json(response, 200, body);
}

void engine_add_control_routes(engine *self, hs_http_server *server) {
    hs_http_server_route(server, "GET", "/v1/models", handle_models, self);
    hs_http_server_route(server, "GET", "/load", handle_load, self);
    hs_http_server_route(server, "GET", "/cache-events", handle_cache_events, self);
    hs_http_server_route(server, "POST", "/orders", handle_order, self);
    hs_http_server_route(server, "PUT", "/control/faults", handle_faults, self);
    hs_http_server_route(server, "GET", "/control/record", handle_record, self);
}
