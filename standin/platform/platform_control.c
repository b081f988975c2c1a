/** @file platform_control.c  Control of the faults of the platform stand-in. */
#include "standin/platform/platform.h"

static void set_append_fault(platform_append_fault *fault, const json_t *value) {
    if (value == NULL)
        return;
    const json_t *first_byte = json_object_get(value, "first_byte");
    g_free(fault->stream_prefix);
    fault->count = (uint32_t)json_integer_value(json_object_get(value, "count"));
    fault->first_byte =
        first_byte != NULL ? (int)json_integer_value(first_byte) : PLATFORM_ANY_RECORD;
    fault->stream_prefix = g_strdup(json_string_value(json_object_get(value, "stream_prefix")));
}

static void set_number(uint32_t *number, const json_t *value) {
    if (json_is_integer(value))
        *number = (uint32_t)json_integer_value(value);
}

/** Sets the faults named in the body and leaves the others as they are. */
static int handle_put_faults(const struct _u_request *request, struct _u_response *response,
                             void *user_data) {
    platform *self = user_data;
    json_t *body = ulfius_get_json_body_request(request, NULL);
    if (!json_is_object(body)) {
        ulfius_set_string_body_response(response, 400, "bad JSON");
        json_decref(body);
        return U_CALLBACK_COMPLETE;
    }
    g_mutex_lock(&self->lock);
    platform_faults *faults = &self->faults;
    if (json_object_get(body, "down") != NULL)
        faults->down = json_is_true(json_object_get(body, "down"));
    if (json_object_get(body, "refuse") != NULL)
        faults->refuse = json_is_true(json_object_get(body, "refuse"));
    set_number(&faults->slow_ms, json_object_get(body, "slow_ms"));
    set_number(&faults->list_lag_ms, json_object_get(body, "list_lag_ms"));
    set_append_fault(&faults->lose_response, json_object_get(body, "lose_answer"));
    set_append_fault(&faults->duplicate, json_object_get(body, "duplicate"));
    g_cond_broadcast(&self->appended);
    g_mutex_unlock(&self->lock);
    json_decref(body);
    return hs_http_reply_json(response, 200, json_object());
}

/** Returns the faults and their remaining counts, so that a test can wait for a fault. */
static int handle_get_faults(const struct _u_request *request, struct _u_response *response,
                             void *user_data) {
    (void)request;
    platform *self = user_data;
    g_mutex_lock(&self->lock);
    json_t *body =
        json_pack("{s:b,s:b,s:i,s:i,s:i,s:I,s:I}", "down", self->faults.down, "refuse",
                  self->faults.refuse, "slow_ms", (int)self->faults.slow_ms, "lose_answer_left",
                  (int)self->faults.lose_response.count, "duplicate_left",
                  (int)self->faults.duplicate.count, "append_count", (json_int_t)self->append_count,
                  "failed_calls", (json_int_t)self->failed_calls);
    g_mutex_unlock(&self->lock);
    return hs_http_reply_json(response, 200, body);
}

void platform_add_control_routes(platform *self, hs_http_server *server) {
    hs_http_server_route(server, "PUT", "/control/faults", handle_put_faults, self);
    hs_http_server_route(server, "GET", "/control/faults", handle_get_faults, self);
}
