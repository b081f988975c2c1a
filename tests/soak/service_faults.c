/** @file service_faults.c  Faults of the store and of the engines; see faults.h. */
#include "platform/names.h"
#include "tests/soak/faults.h"
#include "tests/soak/soak.h"
#include "tools/surface/fleet_bench.h"

#define FAULT_LEAST_MS 200
#define FAULT_MOST_MS 3000
/** Past the daemons' limits of calls to the store: answers come when nobody waits for them. */
#define DELAY_LEAST_MS 50
#define DELAY_MOST_MS 1500
#define CHANGES_MOST 3

void soak_harm_store(const fault_lane *lane) {
    static const log_store_mode modes[] = {LOG_STORE_REFUSES, LOG_STORE_THROTTLES, LOG_STORE_SILENT,
                                           LOG_STORE_LOSES_ANSWER, LOG_STORE_DROPS};
    static const char *const calls[] = {NULL, CALL_APPEND, CALL_READ, CALL_JOIN};
    int mode = g_rand_int_range(lane->chance, 0, G_N_ELEMENTS(modes));
    int call = g_rand_int_range(lane->chance, 0, G_N_ELEMENTS(calls));
    if (!soak_take(FAULT_STORE, 0))
        return;
    soak_say("fault store mode=%d call=%s", mode, calls[call] != NULL ? calls[call] : "all");
    log_store_set_mode(bench.store, modes[mode], calls[call], G_MAXUINT32);
    soak_hold(lane, FAULT_LEAST_MS, FAULT_MOST_MS);
    log_store_set_mode(bench.store, LOG_STORE_SOUND, NULL, 0);
    soak_give_back(FAULT_STORE, 0);
}

/** Calls are done late, many of them when their callers have given up. */
void soak_delay_store(const fault_lane *lane) {
    uint32_t delay_ms = (uint32_t)g_rand_int_range(lane->chance, DELAY_LEAST_MS, DELAY_MOST_MS + 1);
    if (!soak_take(FAULT_STORE_DELAY, 0))
        return;
    soak_say("fault store delay ms=%u", delay_ms);
    log_store_set_delay(bench.store, delay_ms);
    soak_hold(lane, FAULT_LEAST_MS, FAULT_MOST_MS);
    log_store_set_delay(bench.store, 0);
    soak_give_back(FAULT_STORE_DELAY, 0);
}

void soak_surprise_store(const fault_lane *lane) {
    static const char *const topics[] = {TOPIC_ENGINES, TOPIC_CONFIG};
    int topic = g_rand_int_range(lane->chance, 0, G_N_ELEMENTS(topics) + 1);
    soak_say("fault store %s", topic < (int)G_N_ELEMENTS(topics) ? topics[topic] : "rebalance");
    if (topic < (int)G_N_ELEMENTS(topics))
        log_store_forget(bench.store, topics[topic]);
    else
        log_store_rebalance(bench.store);
}

void soak_harm_engine(const fault_lane *lane) {
    static const token_engine_mode modes[] = {TOKEN_ENGINE_FULL, TOKEN_ENGINE_FAILS,
                                              TOKEN_ENGINE_SLOW, TOKEN_ENGINE_BREAKS};
    int which = g_rand_int_range(lane->chance, 0, BENCH_ENGINES);
    int mode = g_rand_int_range(lane->chance, 0, G_N_ELEMENTS(modes));
    if (!soak_take(FAULT_ENGINE, which))
        return;
    soak_say("fault engine=%d mode=%d", which, modes[mode]);
    token_engine_set_mode(bench.engines[which], modes[mode]);
    soak_hold(lane, FAULT_LEAST_MS, FAULT_MOST_MS);
    token_engine_set_mode(bench.engines[which], TOKEN_ENGINE_SOUND);
    soak_give_back(FAULT_ENGINE, which);
}

void soak_drain_engine(const fault_lane *lane) {
    int which = g_rand_int_range(lane->chance, 0, BENCH_ENGINES);
    if (!soak_take(FAULT_ENGINE, which))
        return;
    soak_say("fault drain engine=%d", which);
    token_engine_announce(bench.engines[which], bench.store, true);
    soak_hold(lane, FAULT_LEAST_MS, FAULT_MOST_MS);
    token_engine_announce(bench.engines[which], bench.store, false);
    soak_give_back(FAULT_ENGINE, which);
}

void soak_change_config(const fault_lane *lane) {
    int changes = g_rand_int_range(lane->chance, 1, CHANGES_MOST + 1);
    if (!soak_take(FAULT_CONFIG, 0))
        return;
    for (int step = 0; step < changes; step++) {
        record.config_version++;
        soak_say("fault config version=%d", record.config_version);
        bench_configure(record.config_version);
        soak_hold(lane, 0, FAULT_LEAST_MS);
    }
    soak_give_back(FAULT_CONFIG, 0);
}
