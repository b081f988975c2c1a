/** @file caller_connections.c  See caller_connections.h. */
#include "http/caller_connections.h"

#include "base/clock.h"

#include <glib.h>
#include <sys/socket.h>

/** Share of the limit from which idle connections are ended; the rest is for callers that connect
 * meanwhile. */
#define EVICTION_START_SHARE 0.875
/** Share of the limit down to which idle connections are ended. */
#define EVICTION_TARGET_SHARE 0.75
/** Idle time before a connection may be ended. A new one waits for its first request. */
#define MIN_IDLE_MS 500

struct hs_caller_connection {
    int descriptor;
    bool busy;                 /**< A request is being received or answered. */
    bool is_receive_shut_down; /**< The receiving side is shut down. */
    uint32_t request_count;    /**< Requests that have started. */
    uint64_t idle_since_ms;
    hs_connection_kind kind;
    uint64_t opened_ms;
};

struct hs_caller_connections {
    uint32_t max_open;
    gint kind; /**< hs_connection_kind of new connections. */
    GMutex lock;
    GHashTable *all; /**< of hs_caller_connection*, as a set. */
};

hs_caller_connections *hs_caller_connections_new(uint32_t max_open) {
    hs_caller_connections *connections = g_new0(hs_caller_connections, 1);
    connections->max_open = max_open;
    g_mutex_init(&connections->lock);
    connections->all = g_hash_table_new_full(NULL, NULL, g_free, NULL);
    return connections;
}

void hs_caller_connections_free(hs_caller_connections *connections) {
    g_hash_table_destroy(connections->all);
    g_mutex_clear(&connections->lock);
    g_free(connections);
}

void hs_caller_connections_set_kind(hs_caller_connections *connections, hs_connection_kind kind) {
    g_atomic_int_set(&connections->kind, (gint)kind);
}

hs_caller_connection *hs_caller_connections_add(hs_caller_connections *connections,
                                                int descriptor) {
    hs_caller_connection *connection = g_new0(hs_caller_connection, 1);
    connection->descriptor = descriptor;
    connection->opened_ms = hs_clock_monotonic_ms();
    connection->idle_since_ms = connection->opened_ms;
    connection->kind = (hs_connection_kind)g_atomic_int_get(&connections->kind);
    hs_connection_set_timeouts(descriptor, connection->kind);
    g_mutex_lock(&connections->lock);
    g_hash_table_add(connections->all, connection);
    g_mutex_unlock(&connections->lock);
    return connection;
}

/** Logs and counts a connection that the kernel timed out. The HTTP library does not report it. */
static void report_timeout(const hs_caller_connection *connection) {
    if (hs_connection_has_timed_out(connection->descriptor))
        hs_connection_note_loss(connection->kind, hs_clock_monotonic_ms() - connection->opened_ms,
                                "kernel");
}

void hs_caller_connections_remove(hs_caller_connections *connections,
                                  hs_caller_connection *connection) {
    report_timeout(connection);
    g_mutex_lock(&connections->lock);
    g_hash_table_remove(connections->all, connection);
    g_mutex_unlock(&connections->lock);
}

uint32_t hs_caller_connections_set_busy(hs_caller_connections *connections,
                                        hs_caller_connection *connection, bool busy) {
    if (connection == NULL)
        return 0;
    g_mutex_lock(&connections->lock);
    connection->busy = busy;
    connection->request_count += busy;
    connection->idle_since_ms = hs_clock_monotonic_ms();
    uint32_t request_count = connection->request_count;
    g_mutex_unlock(&connections->lock);
    return request_count;
}

int hs_caller_connections_get_descriptor(hs_caller_connections *connections,
                                         const hs_caller_connection *connection) {
    if (connection == NULL)
        return -1;
    g_mutex_lock(&connections->lock);
    int descriptor = connection->is_receive_shut_down ? -1 : connection->descriptor;
    g_mutex_unlock(&connections->lock);
    return descriptor;
}

static void end_receiving(hs_caller_connection *connection) {
    connection->is_receive_shut_down = true;
    shutdown(connection->descriptor, SHUT_RD);
}

/**
 * Returns the connections idle since @p idle_since_max_ms or earlier. Free with g_ptr_array_free.
 * The calling thread holds the lock.
 */
static GPtrArray *list_idle(hs_caller_connections *connections, uint64_t idle_since_max_ms) {
    GPtrArray *idle = g_ptr_array_new();
    GHashTableIter iterator;
    gpointer key = NULL;
    g_hash_table_iter_init(&iterator, connections->all);
    while (g_hash_table_iter_next(&iterator, &key, NULL)) {
        const hs_caller_connection *connection = key;
        if (!connection->busy && !connection->is_receive_shut_down &&
            connection->idle_since_ms <= idle_since_max_ms)
            g_ptr_array_add(idle, key);
    }
    return idle;
}

void hs_caller_connections_end_idle(hs_caller_connections *connections) {
    g_mutex_lock(&connections->lock);
    GPtrArray *idle = list_idle(connections, G_MAXUINT64);
    for (guint index = 0; index < idle->len; index++)
        end_receiving(idle->pdata[index]);
    g_ptr_array_free(idle, TRUE);
    g_mutex_unlock(&connections->lock);
}

static gint compare_idle(gconstpointer one, gconstpointer other) {
    const hs_caller_connection *first = *(hs_caller_connection *const *)one;
    const hs_caller_connection *second = *(hs_caller_connection *const *)other;
    return (first->idle_since_ms > second->idle_since_ms) -
           (first->idle_since_ms < second->idle_since_ms);
}

uint32_t hs_caller_connections_evict_idle(hs_caller_connections *connections) {
    uint32_t ended = 0;
    uint64_t now_ms = hs_clock_monotonic_ms();
    g_mutex_lock(&connections->lock);
    uint32_t count = g_hash_table_size(connections->all);
    if (connections->max_open > 0 && count >= connections->max_open * EVICTION_START_SHARE) {
        uint32_t excess = count - (uint32_t)(connections->max_open * EVICTION_TARGET_SHARE);
        GPtrArray *idle = list_idle(connections, now_ms - MIN(now_ms, MIN_IDLE_MS));
        g_ptr_array_sort(idle, compare_idle);
        for (; ended < MIN(excess, idle->len); ended++)
            end_receiving(idle->pdata[ended]);
        g_ptr_array_free(idle, TRUE);
    }
    g_mutex_unlock(&connections->lock);
    return ended;
}

uint32_t hs_caller_connections_count(hs_caller_connections *connections) {
    g_mutex_lock(&connections->lock);
    uint32_t count = g_hash_table_size(connections->all);
    g_mutex_unlock(&connections->lock);
    return count;
}
