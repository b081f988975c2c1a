/** @file platform_machines.c  Machine list and weight store of the platform stand-in. */
#include "standin/platform/platform.h"

#define US_PER_MS 1000
#define US_PER_MINUTE (60.0 * 1e6)

/** One version of the machine list. */
typedef struct {
    gint64 since_us;
    json_t *machines;
} platform_machine_version;

static void record_version(platform *self) {
    json_t *machines = json_array();
    GHashTableIter iterator;
    gpointer machine;
    g_hash_table_iter_init(&iterator, self->machines);
    while (g_hash_table_iter_next(&iterator, NULL, &machine))
        json_array_append(machines, machine);
    platform_machine_version version = {.since_us = g_get_monotonic_time(), .machines = machines};
    if (self->machine_history == NULL)
        self->machine_history = g_array_new(FALSE, FALSE, sizeof version);
    g_array_append_val(self->machine_history, version);
}

static int handle_put_machine(const struct _u_request *request, struct _u_response *response,
                              void *user_data) {
    platform *self = user_data;
    json_t *machine = ulfius_get_json_body_request(request, NULL);
    if (machine == NULL) {
        ulfius_set_string_body_response(response, 400, "bad JSON");
        return U_CALLBACK_COMPLETE;
    }
    const char *id = hs_http_parameter(request, "id");
    json_object_set_new(machine, "id", json_string(id));
    g_mutex_lock(&self->lock);
    g_hash_table_replace(self->machines, g_strdup(id), machine);
    record_version(self);
    g_mutex_unlock(&self->lock);
    return hs_http_reply_json(response, 200, json_object());
}

static int handle_delete_machine(const struct _u_request *request, struct _u_response *response,
                                 void *user_data) {
    platform *self = user_data;
    g_mutex_lock(&self->lock);
    g_hash_table_remove(self->machines, hs_http_parameter(request, "id"));
    record_version(self);
    g_mutex_unlock(&self->lock);
    return hs_http_reply_json(response, 200, json_object());
}

static int handle_list(const struct _u_request *request, struct _u_response *response,
                       void *user_data) {
    platform *self = user_data;
    if (platform_apply_fault(self, response))
        return U_CALLBACK_COMPLETE;
    json_t *listed = NULL;
    guint version_number = 0;
    const char *known_etag = u_map_get_case(request->map_header, "If-None-Match");
    g_mutex_lock(&self->lock);
    gint64 visible_until_us = g_get_monotonic_time() - (gint64)self->faults.list_lag_ms * US_PER_MS;
    guint count = self->machine_history != NULL ? self->machine_history->len : 0;
    for (guint index = 0; index < count; index++) {
        platform_machine_version *version =
            &g_array_index(self->machine_history, platform_machine_version, index);
        if (version->since_us > visible_until_us)
            continue;
        version_number = index + 1;
    }
    version_number = MAX(version_number, self->listed_version);
    self->listed_version = version_number;
    if (version_number > 0 && self->machine_history != NULL)
        listed = g_array_index(self->machine_history, platform_machine_version, version_number - 1)
                     .machines;
    g_autofree char *etag = g_strdup_printf("\"%u\"", version_number);
    u_map_put(response->map_header, "ETag", etag);
    if (g_strcmp0(known_etag, etag) == 0) {
        g_mutex_unlock(&self->lock);
        ulfius_set_empty_body_response(response, 304);
        return U_CALLBACK_COMPLETE;
    }
    json_t *body = json_object();
    json_object_set_new(body, "machines", listed != NULL ? json_deep_copy(listed) : json_array());
    g_mutex_unlock(&self->lock);
    return hs_http_reply_json(response, 200, body);
}

/** Allows a load of weights if the token bucket holds a token. */
static int handle_weights(const struct _u_request *request, struct _u_response *response,
                          void *user_data) {
    platform *self = user_data;
    if (platform_apply_fault(self, response))
        return U_CALLBACK_COMPLETE;
    g_mutex_lock(&self->lock);
    gint64 now = g_get_monotonic_time();
    double limit = self->weight_loads_per_minute;
    self->weight_tokens += (double)(now - self->weight_refilled_us) / US_PER_MINUTE * limit;
    self->weight_tokens = MIN(self->weight_tokens, limit);
    self->weight_refilled_us = now;
    bool allowed = self->weight_tokens >= 1.0;
    if (allowed)
        self->weight_tokens -= 1.0;
    g_mutex_unlock(&self->lock);
    if (allowed)
        return hs_http_reply_json(response, 200,
                                  json_pack("{s:s}", "model", hs_http_parameter(request, "model")));
    u_map_put(response->map_header, "Retry-After", "1");
    return hs_http_reply_json(response, 429, json_object());
}

void platform_add_machine_routes(platform *self, hs_http_server *server) {
    hs_http_server_route(server, "GET", "/machines/v1/list", handle_list, self);
    hs_http_server_route(server, "GET", "/weights/v1/:model", handle_weights, self);
    hs_http_server_route(server, "PUT", "/control/machines/:id", handle_put_machine, self);
    hs_http_server_route(server, "DELETE", "/control/machines/:id", handle_delete_machine, self);
}
