/** @file record.c  The shared record of observations and violations. */
#include "tests/soak/soak.h"

#include "base/clock.h"

#include <stdio.h>
#include <string.h>

#define MS_PER_S 1000.0

soak_record record;

static GHashTable *new_set(void) {
    return g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
}

void soak_record_init(void) {
    memset(&record, 0, sizeof record);
    g_mutex_init(&record.lock);
    record.run_once_ids = new_set();
    record.refused_ids = new_set();
    record.accepted_jobs = new_set();
    record.deleted_jobs = new_set();
    record.results =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, (GDestroyNotify)g_ptr_array_unref);
    record.crash_contents = new_set();
    record.started_ms = hs_clock_monotonic_ms();
    record.violations = g_ptr_array_new_with_free_func(g_free);
    record.config_version = 1;
}

void soak_record_clear(void) {
    soak_clear_operations();
    soak_clear_stops();
    soak_clear_faults();
    g_hash_table_destroy(record.run_once_ids);
    g_hash_table_destroy(record.refused_ids);
    g_hash_table_destroy(record.accepted_jobs);
    g_hash_table_destroy(record.deleted_jobs);
    g_hash_table_destroy(record.results);
    g_hash_table_destroy(record.crash_contents);
    g_ptr_array_free(record.violations, TRUE);
    g_mutex_clear(&record.lock);
}

void soak_log(const char *format, ...) {
    va_list arguments;
    va_start(arguments, format);
    g_autofree char *text = g_strdup_vprintf(format, arguments);
    va_end(arguments);
    printf("%.3f %s\n", (double)hs_clock_wall_ms() / MS_PER_S, text);
}

void soak_report_violation(const char *format, ...) {
    va_list arguments;
    va_start(arguments, format);
    char *text = g_strdup_vprintf(format, arguments);
    va_end(arguments);
    if (!record.is_quiet)
        soak_log("VIOLATION %s", text);
    g_mutex_lock(&record.lock);
    g_ptr_array_add(record.violations, text);
    g_mutex_unlock(&record.lock);
}

static bool is_known_red(const char *name) {
    g_autofree char *text = NULL;
    if (record.known_red_path == NULL ||
        !g_file_get_contents(record.known_red_path, &text, NULL, NULL))
        return false;
    g_auto(GStrv) lines = g_strsplit(text, "\n", -1);
    bool is_listed = false;
    for (char **line = lines; *line != NULL && !is_listed; line++) {
        g_auto(GStrv) fields = g_strsplit(*line, ",", 2);
        is_listed = g_strcmp0(fields[0], name) == 0;
    }
    return is_listed;
}

void soak_report_known_red(const char *name, const char *format, ...) {
    va_list arguments;
    va_start(arguments, format);
    g_autofree char *text = g_strdup_vprintf(format, arguments);
    va_end(arguments);
    if (!is_known_red(name)) {
        soak_report_violation("%s: %s", name, text);
        return;
    }
    if (!record.is_quiet)
        soak_log("KNOWN-RED %s: %s", name, text);
    record.known_red++;
}

void soak_add_id(GHashTable *set, const char *id) {
    g_mutex_lock(&record.lock);
    g_hash_table_add(set, g_strdup(id));
    g_mutex_unlock(&record.lock);
}
