/**
 * @file fault_proxy.h
 * A TCP proxy on loopback that injects network faults between two processes: delay, reset, silence,
 * or a one-way cut. Open connections can be silenced permanently while new ones work. Settings may
 * be changed by any thread.
 */
#ifndef TESTS_SUPPORT_FAULT_PROXY_H
#define TESTS_SUPPORT_FAULT_PROXY_H

#include <stdbool.h>
#include <stdint.h>

typedef struct fault_proxy fault_proxy;

/** How the proxy treats its connections. */
typedef enum {
    PROXY_FORWARDS,
    PROXY_DELAYS,        /**< Each chunk is forwarded after a delay. */
    PROXY_RESETS,        /**< Open and new connections are reset. */
    PROXY_BLOCKS_ALL,    /**< Both directions wait until the mode changes. */
    PROXY_BLOCKS_ANSWERS /**< The direction from the target waits: a one-way cut. */
} proxy_mode;

/** Listens on a free loopback port and forwards connections to @p target_port on loopback. */
fault_proxy *fault_proxy_start(uint16_t target_port);

/** Ends all connections and frees the proxy. */
void fault_proxy_stop(fault_proxy *proxy);

uint16_t fault_proxy_port(const fault_proxy *proxy);

/** Sets the mode of all connections, open and new. */
void fault_proxy_set_mode(fault_proxy *proxy, proxy_mode mode);

/** Sets whether the kernel drops the packets that open new connections to the proxy. */
void fault_proxy_drop_new_connections(fault_proxy *proxy, bool is_dropping);

/** What a silenced connection does with packets. */
typedef enum {
    PROXY_ACKNOWLEDGES_DATA, /**< The kernel acknowledges them, but nothing is forwarded. */
    PROXY_DROPS_ALL_PACKETS  /**< The kernel drops them without an ACK. */
} proxy_silence;

/**
 * Silences the connections that are open now: from the return on they forward neither bytes nor the
 * end of a connection. Later connections are not affected.
 */
void fault_proxy_silence_open_connections(fault_proxy *proxy, proxy_silence silence);

#endif
