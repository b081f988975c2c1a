/** @file platform_log.c  Append-only log of the platform stand-in, and faults of calls. */
#include "standin/platform/platform.h"

#include <inttypes.h>
#include <string.h>

#define MAX_BATCH_BYTES (64U << 20)
#define DEFAULT_READ_BYTES (4U << 20)
#define MAX_WAIT_MS 30000U

void platform_stop(platform *self) {
    g_mutex_lock(&self->lock);
    self->stopping = true;
    g_cond_broadcast(&self->appended);
    g_mutex_unlock(&self->lock);
}

static void free_stream(gpointer stream) {
    g_ptr_array_free(stream, TRUE);
}

platform *platform_new(uint32_t list_lag_ms, uint32_t weight_loads_per_minute) {
    platform *self = g_new0(platform, 1);
    g_mutex_init(&self->lock);
    g_cond_init(&self->appended);
    self->streams = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_stream);
    self->machines =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, (GDestroyNotify)json_decref);
    self->faults.list_lag_ms = list_lag_ms;
    self->weight_loads_per_minute = weight_loads_per_minute;
    self->weight_tokens = weight_loads_per_minute;
    self->weight_refilled_us = g_get_monotonic_time();
    return self;
}

static ssize_t fail_stream(void *user_data, uint64_t offset, char *buffer, size_t size) {
    (void)user_data;
    (void)offset;
    (void)buffer;
    (void)size;
    return U_STREAM_ERROR;
}

int standin_break_connection(struct _u_response *response) {
    ulfius_set_stream_response(response, 200, fail_stream, NULL, U_STREAM_SIZE_UNKNOWN, 64, NULL);
    return U_CALLBACK_COMPLETE;
}

bool platform_apply_fault(platform *self, struct _u_response *response) {
    g_mutex_lock(&self->lock);
    bool down = self->faults.down;
    bool refuse = self->faults.refuse;
    uint32_t slow_ms = self->faults.slow_ms;
    self->failed_calls += down || refuse;
    g_mutex_unlock(&self->lock);
    if (slow_ms > 0)
        g_usleep((gulong)slow_ms * 1000);
    if (down)
        standin_break_connection(response);
    else if (refuse)
        ulfius_set_string_body_response(response, 503, "refused");
    return down || refuse;
}

static GPtrArray *find_or_add_stream(platform *self, const char *name) {
    GPtrArray *stream = g_hash_table_lookup(self->streams, name);
    if (stream != NULL)
        return stream;
    stream = g_ptr_array_new_with_free_func((GDestroyNotify)g_bytes_unref);
    g_hash_table_insert(self->streams, g_strdup(name), stream);
    return stream;
}

/** Splits the body into records. Returns NULL if a frame is truncated. */
static GPtrArray *parse_frames(const uint8_t *body, size_t length) {
    GPtrArray *records = g_ptr_array_new_with_free_func((GDestroyNotify)g_bytes_unref);
    size_t position = 0;
    while (position < length) {
        uint32_t wire_length;
        if (length - position < sizeof wire_length)
            goto truncated;
        memcpy(&wire_length, body + position, sizeof wire_length);
        position += sizeof wire_length;
        uint32_t record_length = GUINT32_FROM_BE(wire_length);
        if (length - position < record_length)
            goto truncated;
        g_ptr_array_add(records, g_bytes_new(body + position, record_length));
        position += record_length;
    }
    return records;
truncated:
    g_ptr_array_free(records, TRUE);
    return NULL;
}

/** Returns true and counts @p fault down if the append matches. The caller holds the lock. */
static bool consume_append_fault(platform_append_fault *fault, const char *stream,
                                 GPtrArray *records) {
    if (fault->count == 0 || records->len == 0)
        return false;
    if (fault->stream_prefix != NULL && !g_str_has_prefix(stream, fault->stream_prefix))
        return false;
    bool matches = fault->first_byte == PLATFORM_ANY_RECORD;
    for (guint index = 0; index < records->len && !matches; index++) {
        gsize size = 0;
        const uint8_t *bytes = g_bytes_get_data(records->pdata[index], &size);
        matches = size > 0 && bytes[0] == fault->first_byte;
    }
    if (matches)
        fault->count--;
    return matches;
}

static int handle_append(const struct _u_request *request, struct _u_response *response,
                         void *user_data) {
    platform *self = user_data;
    if (platform_apply_fault(self, response))
        return U_CALLBACK_COMPLETE;
    const char *name = hs_http_parameter(request, "stream");
    GPtrArray *records = parse_frames(request->binary_body, request->binary_body_length);
    if (records == NULL) {
        ulfius_set_string_body_response(response, 400, "cut frame");
        return U_CALLBACK_COMPLETE;
    }
    g_mutex_lock(&self->lock);
    GPtrArray *stream = find_or_add_stream(self, name);
    uint64_t first_offset = stream->len;
    bool lose_response = consume_append_fault(&self->faults.lose_response, name, records);
    int copies = consume_append_fault(&self->faults.duplicate, name, records) ? 2 : 1;
    for (int copy = 0; copy < copies; copy++)
        for (guint index = 0; index < records->len; index++)
            g_ptr_array_add(stream, g_bytes_ref(records->pdata[index]));
    uint64_t next_offset = stream->len;
    self->append_count++;
    g_cond_broadcast(&self->appended);
    g_mutex_unlock(&self->lock);
    g_ptr_array_free(records, TRUE);
    if (lose_response)
        return standin_break_connection(response);
    return hs_http_reply_json(response, 200,
                              json_pack("{s:I,s:I}", "first_offset", (json_int_t)first_offset,
                                        "next_offset", (json_int_t)next_offset));
}

/** Encodes records from @p offset on, at least one and then at most about @p max_bytes. */
static GByteArray *encode_records(GPtrArray *stream, uint64_t offset, uint64_t max_bytes) {
    GByteArray *body = g_byte_array_new();
    for (uint64_t position = offset; position < stream->len; position++) {
        gsize size = 0;
        const uint8_t *bytes = g_bytes_get_data(stream->pdata[position], &size);
        if (body->len > 0 && body->len + size > max_bytes)
            break;
        guint64 wire_offset = GUINT64_TO_BE(position);
        guint32 wire_length = GUINT32_TO_BE((guint32)size);
        g_byte_array_append(body, (const guint8 *)&wire_offset, sizeof wire_offset);
        g_byte_array_append(body, (const guint8 *)&wire_length, sizeof wire_length);
        g_byte_array_append(body, bytes, (guint)size);
    }
    return body;
}

static int handle_read(const struct _u_request *request, struct _u_response *response,
                       void *user_data) {
    platform *self = user_data;
    if (platform_apply_fault(self, response))
        return U_CALLBACK_COMPLETE;
    const char *name = hs_http_parameter(request, "stream");
    uint64_t offset = hs_http_parameter_number(request, "offset", 0);
    uint64_t wait_ms = MIN(hs_http_parameter_number(request, "wait_ms", 0), MAX_WAIT_MS);
    uint64_t max_bytes = hs_http_parameter_number(request, "max_bytes", DEFAULT_READ_BYTES);
    gint64 deadline_us = g_get_monotonic_time() + (gint64)wait_ms * 1000;
    g_mutex_lock(&self->lock);
    GPtrArray *stream = find_or_add_stream(self, name);
    while (stream->len <= offset && wait_ms > 0 && !self->faults.down && !self->stopping)
        if (!g_cond_wait_until(&self->appended, &self->lock, deadline_us))
            break;
    bool down = self->faults.down;
    GByteArray *body = encode_records(stream, offset, max_bytes);
    g_mutex_unlock(&self->lock);
    if (down)
        standin_break_connection(response);
    else
        ulfius_set_binary_body_response(response, 200, (const char *)body->data, body->len);
    g_byte_array_free(body, TRUE);
    return U_CALLBACK_COMPLETE;
}

static int handle_end(const struct _u_request *request, struct _u_response *response,
                      void *user_data) {
    platform *self = user_data;
    if (platform_apply_fault(self, response))
        return U_CALLBACK_COMPLETE;
    g_mutex_lock(&self->lock);
    uint64_t end_offset = find_or_add_stream(self, hs_http_parameter(request, "stream"))->len;
    g_mutex_unlock(&self->lock);
    return hs_http_reply_json(response, 200,
                              json_pack("{s:I}", "end_offset", (json_int_t)end_offset));
}

void platform_add_routes(platform *self, hs_http_server *server) {
    hs_http_server_route(server, "POST", "/log/v1/streams/:stream/records", handle_append, self);
    hs_http_server_route(server, "GET", "/log/v1/streams/:stream/records", handle_read, self);
    hs_http_server_route(server, "GET", "/log/v1/streams/:stream", handle_end, self);
    platform_add_machine_routes(self, server);
    platform_add_control_routes(self, server);
}
