/** @file event_stream.c  See event_stream.h. */
#include "online/event_stream.h"

#include <string.h>

/** Length of the first event including its final blank line; 0: the event is incomplete. */
static size_t first_event_length(const guint8 *bytes, size_t length) {
    bool line_is_empty = true;
    for (size_t index = 0; index < length; index++) {
        if (bytes[index] == '\n') {
            if (line_is_empty && index > 0)
                return index + 1;
            line_is_empty = true;
        } else if (bytes[index] != '\r') {
            line_is_empty = false;
        }
    }
    return 0;
}

typedef struct {
    bool has_id;
    uint64_t id;
    bool has_data;
    GString *data;
} event_fields;

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
        g_autofree char *digits = g_strndup(value, value_length);
        event->has_id = true;
        event->id = g_ascii_strtoull(digits, NULL, 10);
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

/** Reports whether the event follows the last one; records an event that is out of order. */
static bool accept_event(hs_event_stream *stream, const event_fields *event) {
    bool is_comment = !event->has_id && !event->has_data;
    if (is_comment || (!event->has_id && !stream->has_last_id))
        return true; /* Without ids the order cannot be checked. */
    if (stream->has_last_id && event->id != stream->last_id + 1) {
        stream->out_of_order = true;
        stream->rejected_id = event->id;
        return false;
    }
    stream->has_last_id = true;
    stream->last_id = event->id;
    return true;
}

bool hs_event_stream_can_resume(const hs_event_stream *stream) {
    return stream->has_last_id || stream->event_count == 0;
}

void hs_event_stream_begin_run(hs_event_stream *stream) {
    stream->out_of_order = false;
    stream->rejected_id = 0;
    stream->run_events = 0;
}

bool hs_event_stream_take(hs_event_stream *stream, GByteArray *input, GByteArray *events,
                          GPtrArray *texts) {
    size_t consumed = 0;
    while (!stream->out_of_order) {
        const guint8 *start = input->data + consumed;
        size_t length = first_event_length(start, input->len - consumed);
        if (length == 0)
            break;
        event_fields event = {.data = g_string_new(NULL)};
        parse_event((const char *)start, length, &event);
        bool accepted = accept_event(stream, &event);
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
        consumed += length;
    }
    if (consumed > 0)
        g_byte_array_remove_range(input, 0, (guint)consumed);
    return !stream->out_of_order;
}
