/** @file service_faults.c  Faults of the store and the engines, and configuration changes. */
#include "platform/names.h"
#include "tests/soak/faults.h"
#include "tests/soak/soak.h"
#include "tools/surface/fleet_bench.h"

#define MIN_SERVICE_FAULT_MS 200
#define MAX_SERVICE_FAULT_MS 3000
/** The longer delays exceed the daemons' timeouts: the answer comes after the call has failed. */
#define MIN_STORE_DELAY_MS 50
#define MAX_STORE_DELAY_MS 1500
#define MAX_CONFIG_CHANGES 3

void soak_fail_store_calls(const fault_injector *injector) {
    static const log_store_mode modes[] = {LOG_STORE_REFUSES, LOG_STORE_THROTTLES,
                                           LOG_STORE_UNRESPONSIVE, LOG_STORE_LOSES_ANSWER,
                                           LOG_STORE_DROPS_CALLS};
    static const char *const calls[] = {NULL, CALL_APPEND, CALL_READ, CALL_JOIN};
    int mode = g_rand_int_range(injector->rng, 0, G_N_ELEMENTS(modes));
    int call = g_rand_int_range(injector->rng, 0, G_N_ELEMENTS(calls));
    if (!soak_acquire_target(FAULT_STORE, 0))
        return;
    soak_log("fault store mode=%d call=%s", mode, calls[call] != NULL ? calls[call] : "all");
    log_store_set_mode(bench.store, modes[mode], calls[call], G_MAXUINT32);
    soak_wait_random(injector, MIN_SERVICE_FAULT_MS, MAX_SERVICE_FAULT_MS);
    log_store_set_mode(bench.store, LOG_STORE_HEALTHY, NULL, 0);
    soak_release_target(FAULT_STORE, 0);
}

void soak_delay_store(const fault_injector *injector) {
    uint32_t delay_ms =
        (uint32_t)g_rand_int_range(injector->rng, MIN_STORE_DELAY_MS, MAX_STORE_DELAY_MS + 1);
    if (!soak_acquire_target(FAULT_STORE_DELAY, 0))
        return;
    soak_log("fault store delay ms=%u", delay_ms);
    log_store_set_delay(bench.store, delay_ms);
    soak_wait_random(injector, MIN_SERVICE_FAULT_MS, MAX_SERVICE_FAULT_MS);
    log_store_set_delay(bench.store, 0);
    soak_release_target(FAULT_STORE_DELAY, 0);
}

void soak_trigger_store_change(const fault_injector *injector) {
    static const char *const topics[] = {TOPIC_ENGINES, TOPIC_CONFIG};
    int topic = g_rand_int_range(injector->rng, 0, G_N_ELEMENTS(topics) + 1);
    soak_log("fault store %s", topic < (int)G_N_ELEMENTS(topics) ? topics[topic] : "rebalance");
    if (topic < (int)G_N_ELEMENTS(topics))
        log_store_discard_records(bench.store, topics[topic]);
    else
        log_store_rebalance(bench.store);
}

void soak_fail_engine(const fault_injector *injector) {
    static const token_engine_mode modes[] = {TOKEN_ENGINE_FULL, TOKEN_ENGINE_FAILS,
                                              TOKEN_ENGINE_SLOW, TOKEN_ENGINE_BREAKS_STREAMS};
    int which = g_rand_int_range(injector->rng, 0, BENCH_ENGINES);
    int mode = g_rand_int_range(injector->rng, 0, G_N_ELEMENTS(modes));
    if (!soak_acquire_target(FAULT_ENGINE, which))
        return;
    soak_log("fault engine=%d mode=%d", which, modes[mode]);
    token_engine_set_mode(bench.engines[which], modes[mode]);
    soak_wait_random(injector, MIN_SERVICE_FAULT_MS, MAX_SERVICE_FAULT_MS);
    token_engine_set_mode(bench.engines[which], TOKEN_ENGINE_HEALTHY);
    soak_release_target(FAULT_ENGINE, which);
}

void soak_drain_engine(const fault_injector *injector) {
    int which = g_rand_int_range(injector->rng, 0, BENCH_ENGINES);
    if (!soak_acquire_target(FAULT_ENGINE, which))
        return;
    soak_log("fault drain engine=%d", which);
    token_engine_announce(bench.engines[which], bench.store, true);
    soak_wait_random(injector, MIN_SERVICE_FAULT_MS, MAX_SERVICE_FAULT_MS);
    token_engine_announce(bench.engines[which], bench.store, false);
    soak_release_target(FAULT_ENGINE, which);
}

void soak_change_config(const fault_injector *injector) {
    int changes = g_rand_int_range(injector->rng, 1, MAX_CONFIG_CHANGES + 1);
    if (!soak_acquire_target(FAULT_CONFIG, 0))
        return;
    for (int step = 0; step < changes; step++) {
        record.config_version++;
        soak_log("fault config version=%d", record.config_version);
        bench_configure(record.config_version);
        soak_wait_random(injector, 0, MIN_SERVICE_FAULT_MS);
    }
    soak_release_target(FAULT_CONFIG, 0);
}
