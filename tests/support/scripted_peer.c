/** @file scripted_peer.c  See scripted_peer.h. Each connection has a thread. */
#include "tests/support/scripted_peer.h"

#include "tests/support/loopback_listener.h"

#include <glib.h>
#include <poll.h>
#include <stdbool.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define BUFFER_SIZE 65536
#define POLL_MS 20

struct scripted_peer {
    int listener;
    uint16_t port;
    GMutex lock;
    GBytes *bytes; /**< This and the next two: the script, under the lock. */
    peer_ending ending;
    size_t read_limit;
    gint request_count;
    gint stopping;
    gint open_connections;
    GThread *thread;
};

/** One accepted connection. */
typedef struct {
    scripted_peer *peer;
    int descriptor;
} peer_connection;

static bool wait_for_events(scripted_peer *peer, int descriptor, short events) {
    while (g_atomic_int_get(&peer->stopping) == 0) {
        struct pollfd polled = {.fd = descriptor, .events = events};
        if (poll(&polled, 1, POLL_MS) > 0)
            return true;
    }
    return false;
}

static bool wait_readable(scripted_peer *peer, int descriptor) {
    return wait_for_events(peer, descriptor, POLLIN);
}

/** Reads a head, or @p limit bytes if not 0; returns false if the connection ends before. */
static bool read_request(scripted_peer *peer, int descriptor, size_t limit) {
    char buffer[BUFFER_SIZE];
    size_t length = 0;
    while (length < sizeof buffer - 1 && wait_readable(peer, descriptor)) {
        ssize_t got = recv(descriptor, buffer + length, sizeof buffer - 1 - length, 0);
        if (got <= 0)
            return false;
        length += (size_t)got;
        buffer[length] = '\0';
        if (limit > 0 ? length >= limit : strstr(buffer, "\r\n\r\n") != NULL) {
            g_atomic_int_inc(&peer->request_count);
            return true;
        }
    }
    return false;
}

static void set_reset_on_close(int descriptor) {
    struct linger at_once = {.l_onoff = 1, .l_linger = 0};
    setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
}

static size_t get_read_limit(scripted_peer *peer) {
    g_mutex_lock(&peer->lock);
    size_t read_limit = peer->read_limit;
    g_mutex_unlock(&peer->lock);
    return read_limit;
}

/** Sends the answer of the present script; returns what follows it. */
static peer_ending answer(scripted_peer *peer, int descriptor) {
    g_mutex_lock(&peer->lock);
    g_autoptr(GBytes) bytes = g_bytes_ref(peer->bytes);
    peer_ending ending = peer->ending;
    g_mutex_unlock(&peer->lock);
    size_t length = 0;
    const void *data = g_bytes_get_data(bytes, &length);
    if (length > 0)
        send(descriptor, data, length, MSG_NOSIGNAL);
    return ending;
}

static gpointer serve(gpointer data) {
    peer_connection *connection = data;
    scripted_peer *peer = connection->peer;
    bool keeps_open = true;
    while (keeps_open) {
        keeps_open = read_request(peer, connection->descriptor, get_read_limit(peer));
        if (!keeps_open)
            break;
        peer_ending ending = answer(peer, connection->descriptor);
        keeps_open = ending == PEER_KEEPS_OPEN;
        if (ending == PEER_GOES_SILENT)
            wait_for_events(peer, connection->descriptor, POLLRDHUP);
        if (ending == PEER_RESETS)
            set_reset_on_close(connection->descriptor);
    }
    close(connection->descriptor);
    g_atomic_int_add(&peer->open_connections, -1);
    g_free(connection);
    return NULL;
}

static gpointer accept_all(gpointer data) {
    scripted_peer *peer = data;
    while (wait_readable(peer, peer->listener)) {
        int descriptor = accept(peer->listener, NULL, NULL);
        if (descriptor < 0)
            continue;
        peer_connection *connection = g_new0(peer_connection, 1);
        connection->peer = peer;
        connection->descriptor = descriptor;
        g_atomic_int_inc(&peer->open_connections);
        g_thread_unref(g_thread_new("peer", serve, connection));
    }
    return NULL;
}

scripted_peer *scripted_peer_start(void) {
    scripted_peer *peer = g_new0(scripted_peer, 1);
    g_mutex_init(&peer->lock);
    peer->bytes = g_bytes_new(NULL, 0);
    peer->listener = loopback_listener_open(64, &peer->port);
    peer->thread = g_thread_new("peer-accept", accept_all, peer);
    return peer;
}

void scripted_peer_stop(scripted_peer *peer) {
    g_atomic_int_set(&peer->stopping, 1);
    g_thread_join(peer->thread);
    while (g_atomic_int_get(&peer->open_connections) > 0)
        g_usleep(1000);
    close(peer->listener);
    g_bytes_unref(peer->bytes);
    g_mutex_clear(&peer->lock);
    g_free(peer);
}

uint16_t scripted_peer_port(const scripted_peer *peer) {
    return peer->port;
}

void scripted_peer_set(scripted_peer *peer, const peer_script *script) {
    GBytes *bytes = g_bytes_new(script->bytes, script->length);
    g_mutex_lock(&peer->lock);
    GBytes *former = peer->bytes;
    peer->bytes = bytes;
    peer->ending = script->ending;
    peer->read_limit = script->read_limit;
    g_mutex_unlock(&peer->lock);
    g_bytes_unref(former);
}

uint32_t scripted_peer_request_count(scripted_peer *peer) {
    return (uint32_t)g_atomic_int_get(&peer->request_count);
}
