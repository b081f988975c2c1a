/**
 * @file port_lease.h
 * Ports of 127.0.0.1 for stand-ins and for the programs that tests start.
 *
 * Listeners share a port silently where all of them allow it, so that two test programs on one
 * machine would answer each other's calls. A process therefore leases blocks of ports: it holds the
 * first port of a block exclusively for as long as it lives.
 */
#ifndef STANDIN_PORT_LEASE_PORT_LEASE_H
#define STANDIN_PORT_LEASE_PORT_LEASE_H

#include <stdint.h>

/** Most ports that one call may take. */
#define PORT_LEASE_MOST 49

/**
 * Take @p count consecutive ports (1 to PORT_LEASE_MOST) that no other process leases and nobody
 * listens on. They belong to this process until it ends. The first of them; ends the process where
 * none are left. Safe to call from any thread.
 */
uint16_t port_lease_take(uint16_t count);

#endif
