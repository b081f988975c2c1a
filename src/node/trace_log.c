/** @file trace_log.c  See trace_log.h. */
#include "node/trace_log.h"

#include <glib.h>

struct hs_trace_log {
    unsigned capacity;
    GMutex lock;
    GHashTable *traces; /**< request id -> GString */
    GQueue order;       /**< request ids, oldest first; borrowed from the table's keys */
};

static void free_text(gpointer data) {
    g_string_free(data, TRUE);
}

hs_trace_log *hs_trace_log_new(unsigned capacity) {
    hs_trace_log *log = g_new0(hs_trace_log, 1);
    log->capacity = capacity;
    log->traces = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_text);
    g_queue_init(&log->order);
    g_mutex_init(&log->lock);
    return log;
}

void hs_trace_log_free(hs_trace_log *log) {
    g_queue_clear(&log->order);
    g_hash_table_destroy(log->traces);
    g_mutex_clear(&log->lock);
    g_free(log);
}

void hs_trace_log_add(hs_trace_log *log, const char *request_id, const char *line) {
    g_mutex_lock(&log->lock);
    GString *text = g_hash_table_lookup(log->traces, request_id);
    if (text == NULL) {
        char *key = g_strdup(request_id);
        text = g_string_new(NULL);
        g_hash_table_insert(log->traces, key, text);
        g_queue_push_tail(&log->order, key);
    }
    g_string_append_printf(text, "%s\n", line);
    if (log->order.length > log->capacity)
        g_hash_table_remove(log->traces, g_queue_pop_head(&log->order));
    g_mutex_unlock(&log->lock);
}

char *hs_trace_log_find(hs_trace_log *log, const char *request_id) {
    g_mutex_lock(&log->lock);
    const GString *text = g_hash_table_lookup(log->traces, request_id);
    char *copy = text != NULL ? g_strdup(text->str) : NULL;
    g_mutex_unlock(&log->lock);
    return copy;
}
