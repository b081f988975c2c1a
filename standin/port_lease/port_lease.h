/**
 * @file port_lease.h
 * Leases ports of 127.0.0.1 for stand-ins and for the programs that tests start.
 *
 * Two listeners can share a port if both of them permit it, and test programs on the same machine
 * could then receive each other's calls. A process therefore leases a block of ports by binding
 * the first port of the block exclusively until the process exits.
 */
#ifndef STANDIN_PORT_LEASE_PORT_LEASE_H
#define STANDIN_PORT_LEASE_PORT_LEASE_H

#include <stdint.h>

/** Maximum number of ports per call. */
#define MAX_LEASED_PORTS 49

/**
 * Leases @p count consecutive ports (1 to MAX_LEASED_PORTS) without a listener until the process
 * exits, and returns the first one. Aborts the process if no free ports are left. Thread-safe.
 */
uint16_t port_lease_take(uint16_t count);

#endif
