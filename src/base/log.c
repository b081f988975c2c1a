/** @file log.c  Key=value lines through GLib's structured logging; see log.h. */
#undef G_LOG_DOMAIN
#define G_LOG_DOMAIN "heathsail"

#include "base/log.h"

#include "base/clock.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

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

static GLogWriterOutput write_line(GLogLevelFlags level, const GLogField *fields, gsize field_count,
                                   gpointer user_data) {
    (void)user_data;
    if ((level & G_LOG_LEVEL_MASK) > log_most_verbose)
        return G_LOG_WRITER_HANDLED;
    const char *event = field_value(fields, field_count, "EVENT");
    fprintf(stdout, "ts_ms=%" G_GUINT64_FORMAT " level=%s instance=%s event=%s %s\n",
            (guint64)hs_clock_wall_ms(), level_name(level), log_instance_id,
            *event != '\0' ? event : "library", field_value(fields, field_count, "MESSAGE"));
    return G_LOG_WRITER_HANDLED;
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
