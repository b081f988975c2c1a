/** @file event_stream.c  See event_stream.h. */
#include "online/event_stream.h"

#include "base/utf8.h"

#include <string.h>

#define MAX_ID_DIGITS 18

const char *hs_event_error_name(hs_event_error error) {
    static const char *const names[] = {
        [HS_EVENT_ERROR_NONE] = "none",     [HS_EVENT_ERROR_ORDER] = "order",
        [HS_EVENT_ERROR_ID] = "id",         [HS_EVENT_ERROR_ENCODING] = "encoding",
        [HS_EVENT_ERROR_LENGTH] = "length",
    };
    return names[error];
}

/** Whether no byte but carriage returns lies between the line feed before @p end and @p end. */
static bool is_line_empty(const guint8 *bytes, size_t end) {
    while (end > 0 && bytes[end - 1] == '\r')
        end--;
    return end == 0 || bytes[end - 1] == '\n';
}

/**
 * Length of the first event including its final blank line; 0: the event is incomplete. The first
 * @p scanned bytes are known to hold no end.
 */
static size_t first_event_length(const guint8 *bytes, size_t length, size_t scanned) {
    for (size_t index = MAX(scanned, 1); index < length; index++)
        if (bytes[index] == '\n' && is_line_empty(bytes, index))
            return index + 1;
    return 0;
}

typedef struct {
    bool has_id;
    bool is_id_malformed;
    uint64_t id;
    bool has_data;
    GString *data;
} event_fields;

/** Parses a decimal number without a sign. */
static bool parse_id(const char *digits, size_t length, uint64_t *id) {
    *id = 0;
    for (size_t index = 0; index < length; index++) {
        if (!g_ascii_isdigit(digits[index]))
            return false;
        *id = *id * 10 + (uint64_t)(digits[index] - '0');
    }
    return length > 0 && length <= MAX_ID_DIGITS;
}

static void parse_line(const char *line, size_t length, event_fields *event) {
    const char *colon = memchr(line, ':', length);
    size_t name_length = colon != NULL ? (size_t)(colon - line) : length;
    const char *value = colon != NULL ? colon + 1 : line + length;
    size_t value_length = (size_t)(line + length - value);
    if (value_length > 0 && *value == ' ') {
        value++;
        value_length--;
    }
    if (name_length == 2 && memcmp(line, "id", 2) == 0) {
        event->has_id = true;
        event->is_id_malformed |= !parse_id(value, value_length, &event->id);
    } else if (name_length == 4 && memcmp(line, "data", 4) == 0) {
        if (event->has_data)
            g_string_append_c(event->data, '\n');
        event->has_data = true;
        g_string_append_len(event->data, value, (gssize)value_length);
    }
}

static void parse_event(const char *bytes, size_t length, event_fields *event) {
    const char *end = bytes + length;
    while (bytes < end) {
        const char *newline = memchr(bytes, '\n', (size_t)(end - bytes));
        const char *line_end = newline != NULL ? newline : end;
        size_t line_length = (size_t)(line_end - bytes);
        if (line_length > 0 && bytes[line_length - 1] == '\r')
            line_length--;
        if (line_length > 0)
            parse_line(bytes, line_length, event);
        bytes = line_end + 1;
    }
}

/** Accepts the event if it follows the last one. */
static hs_event_error accept_event(hs_event_stream *stream, const event_fields *event) {
    bool is_comment = !event->has_id && !event->has_data;
    if (event->is_id_malformed)
        return HS_EVENT_ERROR_ID;
    if (is_comment || (!event->has_id && !stream->has_last_id))
        return HS_EVENT_ERROR_NONE; /* Without ids the order cannot be checked. */
    if (stream->has_last_id && event->id != stream->last_id + 1) {
        stream->rejected_id = event->id;
        return HS_EVENT_ERROR_ORDER;
    }
    stream->has_last_id = true;
    stream->last_id = event->id;
    return HS_EVENT_ERROR_NONE;
}

/** Parses the event of @p length bytes and accepts or rejects it. */
static hs_event_error take_event(hs_event_stream *stream, const guint8 *bytes, size_t length,
                                 event_fields *event) {
    if (length > HS_EVENT_MAX_BYTES)
        return HS_EVENT_ERROR_LENGTH;
    if (!hs_utf8_is_valid(bytes, length))
        return HS_EVENT_ERROR_ENCODING;
    parse_event((const char *)bytes, length, event);
    return accept_event(stream, event);
}

bool hs_event_stream_can_resume(const hs_event_stream *stream) {
    return stream->has_last_id || stream->event_count == 0;
}

void hs_event_stream_begin_run(hs_event_stream *stream) {
    stream->error = HS_EVENT_ERROR_NONE;
    stream->rejected_id = 0;
    stream->run_events = 0;
    stream->scanned_bytes = 0;
}

bool hs_event_stream_take(hs_event_stream *stream, GByteArray *input, GByteArray *events,
                          GPtrArray *texts) {
    size_t consumed = 0;
    while (stream->error == HS_EVENT_ERROR_NONE) {
        const guint8 *start = input->data + consumed;
        size_t available = input->len - consumed;
        size_t length = first_event_length(start, available, stream->scanned_bytes);
        if (length == 0) {
            stream->scanned_bytes = available;
            if (available > HS_EVENT_MAX_BYTES)
                stream->error = HS_EVENT_ERROR_LENGTH;
            break;
        }
        stream->scanned_bytes = 0;
        event_fields event = {.data = g_string_new(NULL)};
        stream->error = take_event(stream, start, length, &event);
        bool accepted = stream->error == HS_EVENT_ERROR_NONE;
        if (accepted) {
            stream->event_count++;
            stream->run_events += event.has_id || event.has_data;
            if (events != NULL)
                g_byte_array_append(events, start, (guint)length);
        }
        if (accepted && texts != NULL && event.has_data)
            g_ptr_array_add(texts, event.data);
        else
            g_string_free(event.data, TRUE);
        if (accepted)
            consumed += length;
    }
    if (consumed > 0)
        g_byte_array_remove_range(input, 0, (guint)consumed);
    return stream->error == HS_EVENT_ERROR_NONE;
}
