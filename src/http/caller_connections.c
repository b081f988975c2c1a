/** @file caller_connections.c  See caller_connections.h. */
#include "http/caller_connections.h"

#include "base/clock.h"

#include <glib.h>
#include <sys/socket.h>

/** Room is made from this share of the limit on: an eighth is left for what comes meanwhile. */
#define FULL_SHARE 0.875
/** Down to this share of it, so that room is not made for each caller anew. Chosen, not measured.
 */
#define ROOM_SHARE 0.75
/** A connection idle for less, in ms, may only wait for its first request's way. */
#define IDLE_LEAST_MS 500

struct hs_caller_connection {
    int descriptor;
    bool busy;       /**< A request was begun on it and is not answered to its end. */
    bool half_ended; /**< Receiving was ended on this side. */
    uint64_t idle_since_ms;
    hs_connection_kind kind;
    uint64_t opened_ms;
};

struct hs_caller_connections {
    uint32_t most;
    gint kind; /**< hs_connection_kind of those who call. */
    GMutex lock;
    GHashTable *all; /**< of hs_caller_connection*, as a set. */
};

hs_caller_connections *hs_caller_connections_new(uint32_t most) {
    hs_caller_connections *connections = g_new0(hs_caller_connections, 1);
    connections->most = most;
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
    hs_connection_guard(descriptor, connection->kind);
    g_mutex_lock(&connections->lock);
    g_hash_table_add(connections->all, connection);
    g_mutex_unlock(&connections->lock);
    return connection;
}

/** Where the kernel gave a connection up for its silence, say so; the library does not tell. */
static void note_silence(const hs_caller_connection *connection) {
    if (hs_connection_has_timed_out(connection->descriptor))
        hs_connection_note_loss(connection->kind, hs_clock_monotonic_ms() - connection->opened_ms,
                                "kernel");
}

void hs_caller_connections_remove(hs_caller_connections *connections,
                                  hs_caller_connection *connection) {
    note_silence(connection);
    g_mutex_lock(&connections->lock);
    g_hash_table_remove(connections->all, connection);
    g_mutex_unlock(&connections->lock);
}

void hs_caller_connections_set_busy(hs_caller_connections *connections,
                                    hs_caller_connection *connection, bool busy) {
    if (connection == NULL)
        return;
    g_mutex_lock(&connections->lock);
    connection->busy = busy;
    connection->idle_since_ms = hs_clock_monotonic_ms();
    g_mutex_unlock(&connections->lock);
}

int hs_caller_connections_watched(hs_caller_connections *connections,
                                  const hs_caller_connection *connection) {
    if (connection == NULL)
        return -1;
    g_mutex_lock(&connections->lock);
    int descriptor = connection->half_ended ? -1 : connection->descriptor;
    g_mutex_unlock(&connections->lock);
    return descriptor;
}

static void end_receiving(hs_caller_connection *connection) {
    connection->half_ended = true;
    shutdown(connection->descriptor, SHUT_RD);
}

/** Connections idle since before @p until_ms. Free with g_ptr_array_free. The caller holds the
 * lock. */
static GPtrArray *list_idle(hs_caller_connections *connections, uint64_t until_ms) {
    GPtrArray *idle = g_ptr_array_new();
    GHashTableIter iterator;
    gpointer key = NULL;
    g_hash_table_iter_init(&iterator, connections->all);
    while (g_hash_table_iter_next(&iterator, &key, NULL)) {
        const hs_caller_connection *connection = key;
        if (!connection->busy && !connection->half_ended && connection->idle_since_ms <= until_ms)
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

uint32_t hs_caller_connections_make_room(hs_caller_connections *connections) {
    uint32_t ended = 0;
    uint64_t now_ms = hs_clock_monotonic_ms();
    g_mutex_lock(&connections->lock);
    uint32_t count = g_hash_table_size(connections->all);
    if (connections->most > 0 && count >= connections->most * FULL_SHARE) {
        uint32_t wanted = count - (uint32_t)(connections->most * ROOM_SHARE);
        GPtrArray *idle = list_idle(connections, now_ms - MIN(now_ms, IDLE_LEAST_MS));
        g_ptr_array_sort(idle, compare_idle);
        for (; ended < MIN(wanted, idle->len); ended++)
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
