/**
 * @file fault_proxy.h
 * A TCP proxy on loopback that harms what passes through it: a link between two processes that is
 * slow, reset, silent, or cut one way. Open connections may go silent for good while new ones work.
 */
#ifndef TESTS_SUPPORT_FAULT_PROXY_H
#define TESTS_SUPPORT_FAULT_PROXY_H

#include <stdint.h>

typedef struct fault_proxy fault_proxy;

typedef enum {
    PROXY_PASSES,
    PROXY_DELAYS,       /**< Every piece of bytes waits. */
    PROXY_RESETS,       /**< Open connections are reset, new ones too. */
    PROXY_IS_SILENT,    /**< Bytes of both ways are held back until it heals. */
    PROXY_HOLDS_ANSWERS /**< Bytes from the target alone are held back: a one-way cut. */
} proxy_mode;

/** Listen on a port of loopback that the system chooses, for a target port there. */
fault_proxy *fault_proxy_start(uint16_t target_port);

/** End all connections and free. */
void fault_proxy_stop(fault_proxy *proxy);

uint16_t fault_proxy_port(const fault_proxy *proxy);

/** For all connections from now on, also open ones. */
void fault_proxy_set(fault_proxy *proxy, proxy_mode mode);

/** How far a silence reaches. */
typedef enum {
    PROXY_ACKNOWLEDGES,     /**< The kernel still takes what comes: only its reader is silent. */
    PROXY_DROPS_ALL_PACKETS /**< The kernel is silent too. */
} proxy_silence;

/**
 * Connections that are open now pass nothing any more, and no end; later ones are not touched. As
 * soon as it returns.
 */
void fault_proxy_silence_open(fault_proxy *proxy, proxy_silence silence);

#endif
