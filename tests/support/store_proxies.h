/**
 * @file store_proxies.h
 * Fault proxies between the store and each daemon of the bench (tools/surface/fleet_bench.h). Not
 * thread-safe, but the modes of the proxies may be changed by any thread.
 */
#ifndef TESTS_SUPPORT_STORE_PROXIES_H
#define TESTS_SUPPORT_STORE_PROXIES_H

#include "tests/support/fault_proxy.h"
#include "tools/surface/fleet_bench.h"

/** By daemon; NULL: not started. */
extern fault_proxy *store_proxies[BENCH_MAX_DAEMONS];

/** Starts a proxy for each daemon. Call between bench_prepare and bench_start. */
void store_proxies_start(void);

/** Stops the proxies; later daemons reach the store directly. */
void store_proxies_stop(void);

#endif
