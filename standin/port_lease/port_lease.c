/** @file port_lease.c  See port_lease.h. */
#include "standin/port_lease/port_lease.h"

#include <arpa/inet.h>
#include <glib.h>
#include <stdbool.h>
#include <sys/socket.h>
#include <unistd.h>

/** Range of all blocks: above what services use, below the kernel's own choices (from 32768). */
#define RANGE_FIRST 20000
#define RANGE_LAST 31999
/** Ports of one block: its first one is the lease, the others are handed out. */
#define BLOCK_PORTS (PORT_LEASE_MOST + 1)
#define BLOCK_COUNT ((RANGE_LAST - RANGE_FIRST + 1) / BLOCK_PORTS)

/** The block in use; its earlier ports were handed out. */
static struct {
    GMutex lock;
    uint16_t next;
    uint16_t end; /**< One past its last port; 0: no block is held. */
} block;

/** A socket that listens on @p port, or -1. @p shares: beside connections that linger there. */
static int listen_on(uint16_t port, bool shares) {
    int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int enabled = shares;
    struct sockaddr_in local = {
        .sin_family = AF_INET, .sin_port = htons(port), .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
    if (bind(descriptor, (struct sockaddr *)&local, sizeof local) == 0 &&
        listen(descriptor, 1) == 0)
        return descriptor;
    close(descriptor);
    return -1;
}

/** Programs of a test that was killed may still listen in a block whose lease is gone. */
static bool are_free(uint16_t first, uint16_t count) {
    bool free_so_far = true;
    for (uint16_t port = first; port < first + count && free_so_far; port++) {
        int descriptor = listen_on(port, true);
        free_so_far = descriptor >= 0;
        if (free_so_far)
            close(descriptor);
    }
    return free_so_far;
}

/** Lease the next free block, beginning at one that the process's number chooses. */
static void take_block(void) {
    static uint32_t tried;
    while (tried < BLOCK_COUNT) {
        uint32_t number = ((uint32_t)getpid() + tried++) % BLOCK_COUNT;
        uint16_t first = (uint16_t)(RANGE_FIRST + number * BLOCK_PORTS);
        if (listen_on(first, false) < 0) /* Else the socket is the lease; it stays open. */
            continue;
        block.next = first + 1;
        block.end = first + BLOCK_PORTS;
        return;
    }
    g_error("no ports are left for tests in %d to %d", RANGE_FIRST, RANGE_LAST);
}

uint16_t port_lease_take(uint16_t count) {
    g_assert(count >= 1 && count <= PORT_LEASE_MOST);
    g_mutex_lock(&block.lock);
    while (true) {
        if (block.end == 0 || block.next + count > block.end) {
            take_block();
        } else if (are_free(block.next, count)) {
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
