/** @file record.c  What callers saw; see soak.h. */
#include "tests/soak/soak.h"

#include "base/clock.h"

#include <stdio.h>
#include <string.h>

#define MS_PER_S 1000.0

soak_record record;

static GHashTable *new_set(void) {
    return g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
}

void soak_open_record(void) {
    memset(&record, 0, sizeof record);
    g_mutex_init(&record.lock);
    record.once = new_set();
    record.refused = new_set();
    record.jobs = new_set();
    record.ended = new_set();
    record.results =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, (GDestroyNotify)g_ptr_array_unref);
    record.fatal = new_set();
    record.began_ms = hs_clock_monotonic_ms();
    record.violations = g_ptr_array_new_with_free_func(g_free);
    record.config_version = 1;
}

void soak_close_record(void) {
    g_hash_table_destroy(record.once);
    g_hash_table_destroy(record.refused);
    g_hash_table_destroy(record.jobs);
    g_hash_table_destroy(record.ended);
    g_hash_table_destroy(record.results);
    g_hash_table_destroy(record.fatal);
    g_ptr_array_free(record.violations, TRUE);
    g_mutex_clear(&record.lock);
}

void soak_say(const char *format, ...) {
    va_list arguments;
    va_start(arguments, format);
    g_autofree char *text = g_strdup_vprintf(format, arguments);
    va_end(arguments);
    printf("%.3f %s\n", (double)hs_clock_wall_ms() / MS_PER_S, text);
}

void soak_violation(const char *format, ...) {
    va_list arguments;
    va_start(arguments, format);
    char *text = g_strdup_vprintf(format, arguments);
    va_end(arguments);
    if (!record.is_quiet)
        soak_say("VIOLATION %s", text);
    g_mutex_lock(&record.lock);
    g_ptr_array_add(record.violations, text);
    g_mutex_unlock(&record.lock);
}

void soak_remember(GHashTable *set, const char *id) {
    g_mutex_lock(&record.lock);
    g_hash_table_add(set, g_strdup(id));
    g_mutex_unlock(&record.lock);
}
