/**
 * @file log.c  Key=value lines through GLib's structured logging; see log.h.
 *
 * Lines go into a bounded ring and a thread of their own writes them, so that a reader of standard
 * output that stops holds nobody up. What does not fit, or is over the budget of a second, is
 * counted, and the count is logged.
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

#define RING_LINES 2048
#define LINES_PER_S 500
#define BATCH_PAUSE_MS 60
#define TAKE_WAIT_MS 500
#define FLUSH_LIMIT_MS 200

static hs_ring *ring; /**< NULL: no writer; lines are written at once. */
static gint dropped_lines;
static gint lines_this_second;
static gint64 budget_second;
static gint writer_stops;
static GThread *writer;
static const char *log_instance_id = "-";
static GLogLevelFlags log_most_verbose = G_LOG_LEVEL_INFO;

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

/** Whether the line is over this second's budget. Approximate between threads. */
static bool is_over_budget(GLogLevelFlags level) {
    gint64 second = (gint64)hs_clock_monotonic_us() / G_USEC_PER_SEC;
    if (second != budget_second) {
        budget_second = second;
        g_atomic_int_set(&lines_this_second, 0);
    }
    return g_atomic_int_add(&lines_this_second, 1) >= LINES_PER_S &&
           (level & (G_LOG_LEVEL_WARNING | G_LOG_LEVEL_ERROR)) == 0;
}

static char *format_line(GLogLevelFlags level, const char *event, const char *pairs) {
    return g_strdup_printf("ts_ms=%" G_GUINT64_FORMAT " level=%s instance=%s event=%s %s\n",
                           (guint64)hs_clock_wall_ms(), level_name(level), log_instance_id, event,
                           pairs);
}

static GLogWriterOutput write_line(GLogLevelFlags level, const GLogField *fields, gsize field_count,
                                   gpointer user_data) {
    (void)user_data;
    if ((level & G_LOG_LEVEL_MASK) > log_most_verbose)
        return G_LOG_WRITER_HANDLED;
    const char *event = field_value(fields, field_count, "EVENT");
    char *line = format_line(level, *event != '\0' ? event : "library",
                             field_value(fields, field_count, "MESSAGE"));
    if (ring == NULL) {
        fputs(line, stdout);
        fflush(stdout);
        g_free(line);
    } else if (is_over_budget(level) || !hs_ring_put(ring, line)) {
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

/** Write @p first and all lines that wait behind it, in one call. */
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
        g_autofree char *told = format_line(G_LOG_LEVEL_WARNING, "log_lines_dropped", pairs);
        g_string_append(batch, told);
    }
    write_all(batch->str, batch->len);
    g_string_free(batch, TRUE);
}

static gpointer run_writer(gpointer data) {
    (void)data;
    while (true) {
        char *line = hs_ring_take(ring, TAKE_WAIT_MS);
        if (line != NULL)
            write_batch(line);
        else if (g_atomic_int_get(&writer_stops) != 0)
            return NULL;
        if (line != NULL && g_atomic_int_get(&writer_stops) == 0)
            hs_clock_sleep_ms(BATCH_PAUSE_MS);
    }
}

void hs_log_start_writer(void) {
    ring = hs_ring_new(RING_LINES);
    writer = g_thread_new("log-writer", run_writer, NULL);
}

void hs_log_flush(void) {
    if (ring == NULL)
        return;
    g_atomic_int_set(&writer_stops, 1);
    uint64_t limit_ms = hs_clock_monotonic_ms() + FLUSH_LIMIT_MS;
    while (hs_ring_size(ring) > 0 && hs_clock_monotonic_ms() < limit_ms)
        hs_clock_sleep_ms(1);
}

void hs_log_set_level(GLogLevelFlags most_verbose) {
    log_most_verbose = most_verbose;
}

void hs_log_open(const char *instance_id, GLogLevelFlags most_verbose) {
    log_instance_id = instance_id;
    log_most_verbose = most_verbose;
    g_log_set_writer_func(write_line, NULL, NULL);
}

void hs_log_event(GLogLevelFlags level, const char *event, const char *format, ...) {
    if (level > log_most_verbose)
        return;
    va_list arguments;
    va_start(arguments, format);
    g_autofree char *pairs = g_strdup_vprintf(format, arguments);
    va_end(arguments);
    g_log_structured(G_LOG_DOMAIN, level, "EVENT", event, "MESSAGE", "%s", pairs);
}
