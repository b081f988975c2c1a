/** @file faults.c  Faults from outside the daemons; see soak.h. */
#include "tests/soak/soak.h"

#include "base/clock.h"
#include "platform/names.h"
#include "tests/support/fault_proxy.h"
#include "tools/surface/fleet_bench.h"

#include <signal.h>
#include <stdio.h>

#define FAULT_LEAST_MS 200
#define FAULT_MOST_MS 3000
#define REST_MOST_MS 1200
#define CUTS_MOST 8
#define CUT_PAUSE_MOST_MS 300
#define CUT_MS 30

static fault_proxy *store_proxy;
static fault_proxy *engine_proxies[BENCH_ENGINES];

void soak_start_proxies(void) {
    store_proxy = fault_proxy_start(log_store_port(bench.store));
    bench.store_port = fault_proxy_port(store_proxy);
    for (int index = 0; index < BENCH_ENGINES; index++) {
        engine_proxies[index] = fault_proxy_start(token_engine_port(bench.engines[index]));
        token_engine_show_port(bench.engines[index], fault_proxy_port(engine_proxies[index]));
    }
}

void soak_stop_proxies(void) {
    fault_proxy_stop(store_proxy);
    for (int index = 0; index < BENCH_ENGINES; index++)
        fault_proxy_stop(engine_proxies[index]);
}

static void hold(GRand *chance) {
    hs_clock_sleep_ms((uint64_t)g_rand_int_range(chance, FAULT_LEAST_MS, FAULT_MOST_MS));
}

static void restart(int daemon) {
    if (!bench_start_daemon(daemon, false) || !bench_wait_ready(daemon))
        soak_violation("daemon %d is not ready after a start", daemon);
}

static void kill_daemons(GRand *chance) {
    int count = g_rand_int_range(chance, 1, BENCH_DAEMONS + 1);
    int first = g_rand_int_range(chance, 0, BENCH_DAEMONS);
    printf("fault kill count=%d first=%d\n", count, first);
    for (int step = 0; step < count; step++)
        bench_signal((first + step) % BENCH_DAEMONS, SIGKILL);
    hold(chance);
    for (int step = 0; step < count; step++)
        restart((first + step) % BENCH_DAEMONS);
}

static void stop_daemon(GRand *chance) {
    int daemon = g_rand_int_range(chance, 0, BENCH_DAEMONS);
    printf("fault stop daemon=%d\n", daemon);
    if (bench_signal(daemon, SIGTERM) != 0)
        soak_violation("daemon %d did not end in order", daemon);
    restart(daemon);
}

static void pause_daemon(GRand *chance) {
    int daemon = g_rand_int_range(chance, 0, BENCH_DAEMONS);
    printf("fault pause daemon=%d\n", daemon);
    bench_signal(daemon, SIGSTOP);
    hold(chance);
    bench_signal(daemon, SIGCONT);
}

static void harm_store(GRand *chance) {
    static const log_store_mode modes[] = {LOG_STORE_REFUSES, LOG_STORE_THROTTLES, LOG_STORE_SILENT,
                                           LOG_STORE_LOSES_ANSWER, LOG_STORE_DROPS};
    static const char *const calls[] = {NULL, CALL_APPEND, CALL_READ, CALL_JOIN};
    int mode = g_rand_int_range(chance, 0, G_N_ELEMENTS(modes));
    int call = g_rand_int_range(chance, 0, G_N_ELEMENTS(calls));
    printf("fault store mode=%d call=%s\n", mode, calls[call] != NULL ? calls[call] : "all");
    log_store_set_mode(bench.store, modes[mode], calls[call], G_MAXUINT32);
    hold(chance);
    log_store_set_mode(bench.store, LOG_STORE_SOUND, NULL, 0);
}

static void surprise_store(GRand *chance) {
    static const char *const topics[] = {TOPIC_ENGINES, TOPIC_CONFIG};
    int topic = g_rand_int_range(chance, 0, G_N_ELEMENTS(topics) + 1);
    printf("fault store %s\n", topic < (int)G_N_ELEMENTS(topics) ? topics[topic] : "rebalance");
    if (topic < (int)G_N_ELEMENTS(topics))
        log_store_forget(bench.store, topics[topic]);
    else
        log_store_rebalance(bench.store);
}

static void harm_link(GRand *chance) {
    int which = g_rand_int_range(chance, 0, BENCH_ENGINES + 1);
    proxy_mode mode = (proxy_mode)g_rand_int_range(chance, PROXY_DELAYS, PROXY_HOLDS_ANSWERS + 1);
    fault_proxy *proxy = which < BENCH_ENGINES ? engine_proxies[which] : store_proxy;
    printf("fault link to=%s%d mode=%d\n", which < BENCH_ENGINES ? "engine" : "store", which, mode);
    fault_proxy_set(proxy, mode);
    hold(chance);
    fault_proxy_set(proxy, PROXY_PASSES);
}

static void harm_engine(GRand *chance) {
    static const token_engine_mode modes[] = {TOKEN_ENGINE_FULL, TOKEN_ENGINE_FAILS,
                                              TOKEN_ENGINE_SLOW, TOKEN_ENGINE_BREAKS};
    int which = g_rand_int_range(chance, 0, BENCH_ENGINES + 1); /* The last: all of them. */
    int mode = g_rand_int_range(chance, 0, G_N_ELEMENTS(modes));
    printf("fault engine=%d mode=%d\n", which, mode);
    for (int index = 0; index < BENCH_ENGINES; index++)
        if (which == index || which == BENCH_ENGINES)
            token_engine_set_mode(bench.engines[index], modes[mode]);
    hold(chance);
    bench_set_engines(TOKEN_ENGINE_SOUND);
}

/** Links break while engines have requests whose answers have not begun. */
static void cut_slow_engines(GRand *chance) {
    int times = g_rand_int_range(chance, 1, CUTS_MOST + 1);
    printf("fault cut_slow_engines times=%d\n", times);
    bench_set_engines(TOKEN_ENGINE_SLOW);
    for (int step = 0; step < times; step++) {
        fault_proxy *proxy = engine_proxies[step % BENCH_ENGINES];
        hs_clock_sleep_ms((uint64_t)g_rand_int_range(chance, 1, CUT_PAUSE_MOST_MS));
        fault_proxy_set(proxy, PROXY_RESETS);
        hs_clock_sleep_ms(CUT_MS);
        fault_proxy_set(proxy, PROXY_PASSES);
    }
    bench_set_engines(TOKEN_ENGINE_SOUND);
}

static void drain_engine(GRand *chance) {
    int which = g_rand_int_range(chance, 0, BENCH_ENGINES);
    printf("fault drain engine=%d\n", which);
    token_engine_announce(bench.engines[which], bench.store, true);
    hold(chance);
    token_engine_announce(bench.engines[which], bench.store, false);
}

void soak_run_fault(GRand *chance) {
    static void (*const faults[])(GRand *) = {
        kill_daemons, stop_daemon, pause_daemon, harm_store,   surprise_store,
        harm_link,    harm_link,   harm_engine,  drain_engine, cut_slow_engines};
    faults[g_rand_int_range(chance, 0, G_N_ELEMENTS(faults))](chance);
    hs_clock_sleep_ms((uint64_t)g_rand_int_range(chance, 0, REST_MOST_MS));
}
