/** @file port_lease.c  See port_lease.h. */
#include "standin/port_lease/port_lease.h"

#include <arpa/inet.h>
#include <glib.h>
#include <stdbool.h>
#include <sys/socket.h>
#include <unistd.h>

/** Range of the blocks: above the ports of common services, below the ephemeral ports. */
#define MIN_LEASE_PORT 20000
#define MAX_LEASE_PORT 31999
/** The first port of a block is the lease; the others are for callers. */
#define BLOCK_PORTS (MAX_LEASED_PORTS + 1)
#define BLOCK_COUNT ((MAX_LEASE_PORT - MIN_LEASE_PORT + 1) / BLOCK_PORTS)

/** The current block; its ports below @c next are in use. */
static struct {
    GMutex lock;
    uint16_t next;
    uint16_t end; /**< One past the last port; 0: no block is leased. */
} block;

/** Returns a listening socket or -1. @p reuse_address ignores sockets in TIME_WAIT. */
static int listen_on(uint16_t port, bool reuse_address) {
    int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int enabled = reuse_address;
    struct sockaddr_in local = {
        .sin_family = AF_INET, .sin_port = htons(port), .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
    if (bind(descriptor, (struct sockaddr *)&local, sizeof local) == 0 &&
        listen(descriptor, 1) == 0)
        return descriptor;
    close(descriptor);
    return -1;
}

/** Checks for listeners of processes that outlived the lease of the block. */
static bool are_ports_free(uint16_t first, uint16_t count) {
    bool all_free = true;
    for (uint16_t port = first; port < first + count && all_free; port++) {
        int descriptor = listen_on(port, true);
        all_free = descriptor >= 0;
        if (all_free)
            close(descriptor);
    }
    return all_free;
}

/** Leases the next free block, starting at an index derived from the process id. */
static void lease_block(void) {
    static uint32_t attempt_count;
    while (attempt_count < BLOCK_COUNT) {
        uint32_t number = ((uint32_t)getpid() + attempt_count++) % BLOCK_COUNT;
        uint16_t first = (uint16_t)(MIN_LEASE_PORT + number * BLOCK_PORTS);
        if (listen_on(first, false) < 0) /* Otherwise the socket stays open as the lease. */
            continue;
        block.next = first + 1;
        block.end = first + BLOCK_PORTS;
        return;
    }
    g_error("no free block of ports between %d and %d", MIN_LEASE_PORT, MAX_LEASE_PORT);
}

uint16_t port_lease_take(uint16_t count) {
    g_assert(count >= 1 && count <= MAX_LEASED_PORTS);
    g_mutex_lock(&block.lock);
    while (true) {
        if (block.end == 0 || block.next + count > block.end) {
            lease_block();
        } else if (are_ports_free(block.next, count)) {
            break;
        } else {
            block.next++;
        }
    }
    uint16_t first = block.next;
    block.next += count;
    g_mutex_unlock(&block.lock);
    return first;
}
