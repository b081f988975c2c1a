/** @file store_proxies.c  See store_proxies.h. */
#include "tests/support/store_proxies.h"

fault_proxy *store_proxies[BENCH_MAX_DAEMONS];

void store_proxies_start(void) {
    for (int daemon = 0; daemon < bench_daemon_count(); daemon++) {
        store_proxies[daemon] = fault_proxy_start(log_store_port(bench.store));
        bench.store_ports[daemon] = fault_proxy_port(store_proxies[daemon]);
    }
}

void store_proxies_stop(void) {
    for (int daemon = 0; daemon < bench_daemon_count(); daemon++) {
        fault_proxy_stop(store_proxies[daemon]);
        store_proxies[daemon] = NULL;
        bench.store_ports[daemon] = 0;
    }
}
