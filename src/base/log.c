/**
 * @file log.c  See log.h.
 *
 * A writer thread takes lines from a bounded ring, so that a blocked reader of standard output does
 * not block other threads. Lines that do not fit into the ring or exceed the rate limit are dropped
 * and counted, and the count is logged.
 */
#undef G_LOG_DOMAIN
#define G_LOG_DOMAIN "heathsail"

#include "base/log.h"

#include "base/clock.h"
#include "base/ring.h"

#include <stdarg.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define MAX_QUEUED_LINES 2048
#define MAX_LINES_PER_S 500
#define BATCH_PAUSE_MS 60
#define TAKE_TIMEOUT_MS 500
#define FLUSH_TIMEOUT_MS 200

static hs_ring *ring; /**< NULL: no writer thread; lines are written directly. */
static gint dropped_lines;
static gint lines_this_second;
static gint64 current_second;
static gint writer_stop_requested;
static GThread *writer;
static const char *log_instance_id = "-";
static GLogLevelFlags log_max_verbosity = G_LOG_LEVEL_INFO;

static const char *level_name(GLogLevelFlags level) {
    if (level & G_LOG_LEVEL_DEBUG)
        return "debug";
    if (level & G_LOG_LEVEL_WARNING)
        return "warning";
    if (level & (G_LOG_LEVEL_ERROR | G_LOG_LEVEL_CRITICAL))
        return "error";
    return "info";
}

static const char *field_value(const GLogField *fields, gsize field_count, const char *key) {
    for (gsize index = 0; index < field_count; index++)
        if (strcmp(fields[index].key, key) == 0)
            return fields[index].value;
    return "";
}

/**
 * Returns whether the line exceeds the rate limit of the current second; warnings and errors never
 * do. Approximate if several threads log.
 */
static bool exceeds_rate_limit(GLogLevelFlags level) {
    gint64 second = (gint64)hs_clock_monotonic_us() / G_USEC_PER_SEC;
    if (second != current_second) {
        current_second = second;
        g_atomic_int_set(&lines_this_second, 0);
    }
    return g_atomic_int_add(&lines_this_second, 1) >= MAX_LINES_PER_S &&
           (level & (G_LOG_LEVEL_WARNING | G_LOG_LEVEL_ERROR)) == 0;
}

/** Whether a character would end a line, or change how a terminal shows it. */
static bool is_control(gunichar character) {
    GUnicodeType type = g_unichar_type(character);
    return type == G_UNICODE_CONTROL || type == G_UNICODE_LINE_SEPARATOR ||
           type == G_UNICODE_PARAGRAPH_SEPARATOR;
}

/** Returns how many printable ASCII characters the text begins with: nearly all of a line. */
static size_t plain_length(const char *text) {
    size_t length = 0;
    while (g_ascii_isprint(text[length]))
        length++;
    return length;
}

/** Appends a text, with a mark in place of each control character and each byte of invalid UTF-8.
 */
static void append_clean(GString *line, const char *text) {
    while (true) {
        size_t plain = plain_length(text);
        g_string_append_len(line, text, (gssize)plain);
        text += plain;
        if (*text == '\0')
            return;
        gunichar character = g_utf8_get_char_validated(text, -1);
        bool is_valid = character != (gunichar)-1 && character != (gunichar)-2;
        size_t length = is_valid ? (size_t)(g_utf8_next_char(text) - text) : 1;
        if (is_valid && !is_control(character))
            g_string_append_len(line, text, (gssize)length);
        else
            g_string_append_c(line, '?');
        text += length;
    }
}

static char *format_line(GLogLevelFlags level, const char *event, const char *pairs) {
    GString *line = g_string_sized_new(256);
    g_string_append_printf(line, "ts_ms=%" G_GUINT64_FORMAT " level=%s instance=%s event=%s ",
                           (guint64)hs_clock_wall_ms(), level_name(level), log_instance_id, event);
    append_clean(line, pairs); /* It may hold texts of others. */
    g_string_append_c(line, '\n');
    return g_string_free(line, FALSE);
}

static GLogWriterOutput write_line(GLogLevelFlags level, const GLogField *fields, gsize field_count,
                                   gpointer user_data) {
    (void)user_data;
    if ((level & G_LOG_LEVEL_MASK) > log_max_verbosity)
        return G_LOG_WRITER_HANDLED;
    const char *event = field_value(fields, field_count, "EVENT");
    char *line = format_line(level, *event != '\0' ? event : "library",
                             field_value(fields, field_count, "MESSAGE"));
    if (ring == NULL) {
        fputs(line, stdout);
        fflush(stdout);
        g_free(line);
    } else if (exceeds_rate_limit(level) || !hs_ring_put(ring, line)) {
        g_atomic_int_inc(&dropped_lines);
        g_free(line);
    }
    return G_LOG_WRITER_HANDLED;
}

static void write_all(const char *bytes, size_t length) {
    while (length > 0) {
        ssize_t written = write(STDOUT_FILENO, bytes, length);
        if (written <= 0)
            return;
        bytes += written;
        length -= (size_t)written;
    }
}

/** Writes @p first and all queued lines in one call, and frees them. */
static void write_batch(char *first) {
    GString *batch = g_string_new(first);
    g_free(first);
    char *line = NULL;
    while ((line = hs_ring_take(ring, 0)) != NULL) {
        g_string_append(batch, line);
        g_free(line);
    }
    gint dropped = g_atomic_int_and((guint *)&dropped_lines, 0);
    if (dropped > 0) {
        g_autofree char *pairs = g_strdup_printf("lines=%d", dropped);
        g_autofree char *drop_line = format_line(G_LOG_LEVEL_WARNING, "log_lines_dropped", pairs);
        g_string_append(batch, drop_line);
    }
    write_all(batch->str, batch->len);
    g_string_free(batch, TRUE);
}

static gpointer run_writer(gpointer data) {
    (void)data;
    while (true) {
        char *line = hs_ring_take(ring, TAKE_TIMEOUT_MS);
        if (line != NULL)
            write_batch(line);
        else if (g_atomic_int_get(&writer_stop_requested) != 0)
            return NULL;
        if (line != NULL && g_atomic_int_get(&writer_stop_requested) == 0)
            hs_clock_sleep_ms(BATCH_PAUSE_MS);
    }
}

void hs_log_start_writer(void) {
    ring = hs_ring_new(MAX_QUEUED_LINES);
    writer = g_thread_new("log-writer", run_writer, NULL);
}

void hs_log_flush(void) {
    if (ring == NULL)
        return;
    g_atomic_int_set(&writer_stop_requested, 1);
    uint64_t deadline_ms = hs_clock_monotonic_ms() + FLUSH_TIMEOUT_MS;
    while (hs_ring_size(ring) > 0 && hs_clock_monotonic_ms() < deadline_ms)
        hs_clock_sleep_ms(1);
}

void hs_log_set_level(GLogLevelFlags max_verbosity) {
    log_max_verbosity = max_verbosity;
}

void hs_log_open(const char *instance_id, GLogLevelFlags max_verbosity) {
    log_instance_id = instance_id;
    log_max_verbosity = max_verbosity;
    g_log_set_writer_func(write_line, NULL, NULL);
}

void hs_log_event(GLogLevelFlags level, const char *event, const char *format, ...) {
    if (level > log_max_verbosity)
        return;
    va_list arguments;
    va_start(arguments, format);
    g_autofree char *pairs = g_strdup_vprintf(format, arguments);
    va_end(arguments);
    g_log_structured(G_LOG_DOMAIN, level, "EVENT", event, "MESSAGE", "%s", pairs);
}
