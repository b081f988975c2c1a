/** @file test_connections.c  Connection limits of listeners, and eviction of idle connections. */
#include "base/clock.h"
#include "http/caller_connections.h"
#include "http/connection_plan.h"
#include "tests/unit/unit_tests.h"

#include <glib.h>
#include <sys/socket.h>
#include <unistd.h>

#define MAX_OPEN 8
/** Longer than the idle time after which a connection may be ended. */
#define IDLE_MS 520

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

const test_case connection_tests[] = {
    {"planned_connections_fit_the_descriptor_limit", planned_connections_fit_the_descriptor_limit},
    {"longest_idle_connections_are_evicted", longest_idle_connections_are_evicted},
    {NULL, NULL}};
