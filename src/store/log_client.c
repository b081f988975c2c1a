/** @file log_client.c  See log_client.h. */
#include "store/log_client.h"

#include "base/http_exchange.h"
#include "base/json_reader.h"

#include <inttypes.h>
#include <jansson.h>
#include <string.h>

#define FRAME_OFFSET_SIZE 8U
#define FRAME_LENGTH_SIZE 4U
#define HTTP_OK 200
#define HTTP_SERVICE_UNAVAILABLE 503
#define MS_PER_S 1000U

void hs_log_frame_append(GByteArray *batch, const void *record, uint32_t length) {
    guint32 wire_length = GUINT32_TO_BE(length);
    g_byte_array_append(batch, (const guint8 *)&wire_length, FRAME_LENGTH_SIZE);
    g_byte_array_append(batch, record, length);
}

static int parse_number(const char *body, const char *key, uint64_t *number, hs_error *error) {
    json_t *root = hs_json_parse(body, strlen(body), NULL);
    json_t *value = json_object_get(root, key);
    bool found = json_is_integer(value);
    if (found)
        *number = (uint64_t)json_integer_value(value);
    json_decref(root);
    if (!found)
        return hs_error_set(error, HS_LAYER_PLATFORM, HS_PLATFORM_MALFORMED, "no %s in answer",
                            key);
    return 0;
}

int hs_log_append(const hs_log_client *client, const char *stream, const GByteArray *batch,
                  uint64_t *first_offset, hs_error *error) {
    g_autofree char *url =
        g_strdup_printf("%s/log/v1/streams/%s/records", client->base_url, stream);
    hs_http_request request = {.method = "POST",
                               .url = url,
                               .content_type = "application/octet-stream",
                               .body = batch->data,
                               .body_length = batch->len,
                               .timeout_s = client->timeout_s};
    hs_http_answer answer;
    if (!hs_http_exchange(&request, &answer))
        return hs_error_set(error, HS_LAYER_PLATFORM, HS_PLATFORM_UNKNOWN, "append: no answer");
    int result = 0;
    if (answer.status == HTTP_OK)
        result = parse_number(answer.body, "first_offset", first_offset, error);
    else if (answer.status == HTTP_SERVICE_UNAVAILABLE)
        result = hs_error_set(error, HS_LAYER_PLATFORM, HS_PLATFORM_REFUSED, "append refused");
    else
        result = hs_error_set(error, HS_LAYER_PLATFORM, HS_PLATFORM_UNKNOWN, "append: status %ld",
                              answer.status);
    hs_http_answer_clear(&answer);
    return result;
}

/** Splits @p slice->storage into records. Returns false if a frame is truncated. */
static bool split_frames(hs_log_slice *slice, size_t length) {
    const uint8_t *cursor = (const uint8_t *)slice->storage;
    const uint8_t *end = cursor + length;
    while (cursor < end) {
        if ((size_t)(end - cursor) < FRAME_OFFSET_SIZE + FRAME_LENGTH_SIZE)
            return false;
        uint64_t offset;
        uint32_t record_length;
        memcpy(&offset, cursor, FRAME_OFFSET_SIZE);
        memcpy(&record_length, cursor + FRAME_OFFSET_SIZE, FRAME_LENGTH_SIZE);
        cursor += FRAME_OFFSET_SIZE + FRAME_LENGTH_SIZE;
        hs_log_record record = {.offset = GUINT64_FROM_BE(offset),
                                .bytes = cursor,
                                .length = GUINT32_FROM_BE(record_length)};
        if ((size_t)(end - cursor) < record.length)
            return false;
        cursor += record.length;
        g_array_append_val(slice->records, record);
    }
    return true;
}

int hs_log_read(const hs_log_client *client, const char *stream, uint64_t offset, uint32_t wait_ms,
                uint32_t max_bytes, hs_log_slice *slice, hs_error *error) {
    memset(slice, 0, sizeof *slice);
    g_autofree char *url = g_strdup_printf("%s/log/v1/streams/%s/records?offset=%" PRIu64
                                           "&wait_ms=%" PRIu32 "&max_bytes=%" PRIu32,
                                           client->base_url, stream, offset, wait_ms, max_bytes);
    hs_http_request request = {
        .method = "GET", .url = url, .timeout_s = client->timeout_s + wait_ms / MS_PER_S};
    hs_http_answer answer;
    if (!hs_http_exchange(&request, &answer))
        return hs_error_set(error, HS_LAYER_PLATFORM, HS_PLATFORM_UNKNOWN, "read: no answer");
    if (answer.status != HTTP_OK) {
        int result = hs_error_set(error, HS_LAYER_PLATFORM, HS_PLATFORM_REFUSED, "read: status %ld",
                                  answer.status);
        hs_http_answer_clear(&answer);
        return result;
    }
    slice->records = g_array_new(FALSE, FALSE, sizeof(hs_log_record));
    slice->storage = g_steal_pointer(&answer.body);
    size_t length = answer.body_length;
    hs_http_answer_clear(&answer);
    if (split_frames(slice, length))
        return 0;
    hs_log_slice_clear(slice);
    return hs_error_set(error, HS_LAYER_PLATFORM, HS_PLATFORM_MALFORMED, "read: cut frame");
}

int hs_log_get_end_offset(const hs_log_client *client, const char *stream, uint64_t *end_offset,
                          hs_error *error) {
    g_autofree char *url = g_strdup_printf("%s/log/v1/streams/%s", client->base_url, stream);
    hs_http_request request = {.method = "GET", .url = url, .timeout_s = client->timeout_s};
    hs_http_answer answer;
    if (!hs_http_exchange(&request, &answer))
        return hs_error_set(error, HS_LAYER_PLATFORM, HS_PLATFORM_UNKNOWN, "end: no answer");
    int result = answer.status == HTTP_OK
                     ? parse_number(answer.body, "end_offset", end_offset, error)
                     : hs_error_set(error, HS_LAYER_PLATFORM, HS_PLATFORM_REFUSED,
                                    "end: status %ld", answer.status);
    hs_http_answer_clear(&answer);
    return result;
}

void hs_log_slice_clear(hs_log_slice *slice) {
    if (slice->records != NULL)
        g_array_free(slice->records, TRUE);
    g_free(slice->storage);
    memset(slice, 0, sizeof *slice);
}
