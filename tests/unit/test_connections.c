/** @file test_connections.c  Connection limits of listeners, and eviction of idle connections. */
#include "base/clock.h"
#include "http/caller_connections.h"
#include "http/connection_plan.h"
#include "http/listener.h"
#include "tests/support/raw_caller.h"
#include "tests/support/scripted_peer.h"
#include "tests/unit/unit_tests.h"

#include <glib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define MAX_OPEN 8
/** Longer than the idle time after which a connection may be ended. */
#define IDLE_MS 520
#define EVENT "event"
#define CUT_STREAMS 500
#define LIMIT_MS 4000

/** The limits of all listeners use at most three quarters of the descriptors. */
static void planned_connections_fit_the_descriptor_limit(void) {
    static const uint32_t limits[] = {256, 300, 1024, 4096, 20000, 1048576};
    for (size_t index = 0; index < G_N_ELEMENTS(limits); index++) {
        for (uint32_t per_request = 2; per_request <= 4; per_request++) {
            hs_connection_plan plan = hs_connection_plan_make(limits[index], per_request);
            uint32_t used = per_request * plan.front + plan.peers + 3 * plan.other;
            CU_ASSERT(used <= limits[index] - limits[index] / 4);
            CU_ASSERT(plan.front >= 8 && plan.peers >= 8 && plan.other >= 8);
        }
    }
}

static bool is_ended(int descriptor) {
    char byte = 0;
    return recv(descriptor, &byte, 1, MSG_DONTWAIT) == 0;
}

/** Near the limit the longest idle connections are ended, but none with a request. */
static void longest_idle_connections_are_evicted(void) {
    int sockets[MAX_OPEN][2];
    hs_caller_connection *all[MAX_OPEN];
    hs_caller_connections *connections = hs_caller_connections_new(MAX_OPEN);
    for (int index = 0; index < MAX_OPEN; index++) {
        CU_ASSERT_EQUAL(socketpair(AF_UNIX, SOCK_STREAM, 0, sockets[index]), 0);
        if (index == MAX_OPEN - 1)
            CU_ASSERT_EQUAL(hs_caller_connections_evict_idle(connections), 0);
        all[index] = hs_caller_connections_add(connections, sockets[index][0]);
        hs_clock_sleep_ms(2);
    }
    CU_ASSERT_EQUAL(hs_caller_connections_evict_idle(connections),
                    0); /* None is idle for long enough. */
    hs_clock_sleep_ms(IDLE_MS);
    hs_caller_connections_set_busy(connections, all[0], true);
    CU_ASSERT_EQUAL(hs_caller_connections_evict_idle(connections), 2);
    for (int index = 0; index < MAX_OPEN; index++) {
        bool ended = index == 1 || index == 2;
        CU_ASSERT_EQUAL(is_ended(sockets[index][0]), ended);
        CU_ASSERT_EQUAL(hs_caller_connections_get_descriptor(connections, all[index]),
                        ended ? -1 : sockets[index][0]);
        hs_caller_connections_remove(connections, all[index]);
        close(sockets[index][0]);
        close(sockets[index][1]);
    }
    CU_ASSERT_EQUAL(hs_caller_connections_count(connections), 0);
    hs_caller_connections_free(connections);
}

static ssize_t read_event_then_abort(void *data, char *buffer, size_t size) {
    gint *events = data;
    if (g_atomic_int_add(events, 1) > 0)
        return HS_READER_ABORT;
    g_assert(size > strlen(EVENT));
    return (ssize_t)g_strlcpy(buffer, EVENT, size);
}

static void serve_cut_stream(hs_inbound *inbound, void *user_data) {
    (void)user_data;
    hs_inbound_reply_stream(inbound, 200, NULL, read_event_then_abort, g_new0(gint, 1), g_free);
}

/** Ends idle connections over and over, as a stop does. */
typedef struct {
    hs_caller_connections *connections;
    gint is_ending;
} idle_ender;

static gpointer end_idle_connections(gpointer data) {
    idle_ender *ender = data;
    while (g_atomic_int_get(&ender->is_ending) == 0) {
        hs_caller_connections_end_idle(ender->connections);
        hs_clock_sleep_ms(1);
    }
    return NULL;
}

/** Sends a request to HTTP/1.0; returns whether its cut answer ended like a whole one. */
static bool looks_cut_stream_whole(uint16_t port) {
    raw_caller *caller = raw_caller_open(port);
    CU_ASSERT_PTR_NOT_NULL_FATAL(caller);
    raw_caller_send(caller, "GET /a HTTP/1.0\r\nHost: a\r\n\r\n");
    bool is_closed = raw_caller_read_to_end(caller, LIMIT_MS) == RAW_CLOSED;
    bool has_event = strstr(raw_caller_text(caller), EVENT) != NULL;
    raw_caller_close(caller);
    return is_closed && has_event;
}

/** Guards against a cut stream that ends in order as its connection counted as idle. */
static void a_cut_unframed_stream_is_reset_on_a_connection_that_is_ended(void) {
    scripted_peer *peer = scripted_peer_start();
    uint16_t port = scripted_peer_port(peer);
    scripted_peer_stop(peer); /* Its port is free from now on. */
    hs_listener_limits limits = {0};
    hs_listener *listener =
        hs_listener_start("127.0.0.1", port, &limits, serve_cut_stream, NULL, NULL);
    CU_ASSERT_PTR_NOT_NULL_FATAL(listener);
    idle_ender ender = {.connections = hs_listener_connections(listener)};
    GThread *thread = g_thread_new("ender", end_idle_connections, &ender);
    int whole = 0;
    for (int index = 0; index < CUT_STREAMS; index++)
        whole += looks_cut_stream_whole(port);
    g_atomic_int_set(&ender.is_ending, 1);
    g_thread_join(thread);
    CU_ASSERT_EQUAL(whole, 0);
    hs_listener_stop(listener);
}

const test_case connection_tests[] = {
    {"planned_connections_fit_the_descriptor_limit", planned_connections_fit_the_descriptor_limit},
    {"longest_idle_connections_are_evicted", longest_idle_connections_are_evicted},
    {"a_cut_unframed_stream_is_reset_on_a_connection_that_is_ended",
     a_cut_unframed_stream_is_reset_on_a_connection_that_is_ended},
    {NULL, NULL}};
