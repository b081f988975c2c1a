/** @file link_faults.c  Fault proxies before the store and the engines, and their faults. */
#include "base/clock.h"
#include "tests/soak/faults.h"
#include "tests/soak/soak.h"
#include "tests/support/store_proxies.h"
#include "tools/surface/fleet_bench.h"

#include <signal.h>
#include <string.h>

#define MIN_LINK_FAULT_MS 300
#define MAX_LINK_FAULT_MS 6000
/** Times from the cut to the rebalance, and from the rebalance to the end of the cut. */
#define MAX_BEFORE_REBALANCE_MS 1500
#define MIN_AFTER_REBALANCE_MS 500
#define MAX_AFTER_REBALANCE_MS 5000
/** Long enough for both owners to store progress, every 1.5 s, at least once. */
#define MIN_TWO_OWNERS_MS 1600
#define MAX_TWO_OWNERS_MS 4500
/** Between the kills of two owners. */
#define MAX_OWNER_KILL_GAP_MS 1500
#define MAX_OWNER_KILLS 3
#define MAX_LINK_RESETS 8
#define MAX_LINK_RESET_GAP_MS 300
/** Proxies poll their mode every 10 ms. */
#define LINK_RESET_MS 30

#define MIN_ANSWER_DELAY_MS 300
#define MAX_ANSWER_DELAY_MS 1500
/** Time for held answers to pass. */
#define ANSWER_GAP_MS 30

#define MIN_REGION_CUT_MS 2000
#define MAX_REGION_CUT_MS 5000

static fault_proxy *engine_proxies[BENCH_ENGINES];

void soak_start_proxies(void) {
    store_proxies_start();
    for (int index = 0; index < BENCH_ENGINES; index++) {
        engine_proxies[index] = fault_proxy_start(token_engine_port(bench.engines[index]));
        token_engine_set_announced_port(bench.engines[index],
                                        fault_proxy_port(engine_proxies[index]));
    }
}

void soak_stop_proxies(void) {
    store_proxies_stop();
    for (int index = 0; index < BENCH_ENGINES; index++)
        fault_proxy_stop(engine_proxies[index]);
}

static proxy_mode pick_link_fault(const fault_injector *injector) {
    return (proxy_mode)g_rand_int_range(injector->rng, PROXY_DELAYS, PROXY_BLOCKS_ANSWERS + 1);
}

void soak_degrade_store_link(const fault_injector *injector) {
    int daemon = soak_pick_daemon(injector);
    proxy_mode mode = pick_link_fault(injector);
    if (!soak_acquire_target(FAULT_STORE_LINK, daemon))
        return;
    soak_log("fault store link daemon=%d mode=%d", daemon, mode);
    fault_proxy_set_mode(store_proxies[daemon], mode);
    soak_wait_random(injector, MIN_LINK_FAULT_MS, MAX_LINK_FAULT_MS);
    fault_proxy_set_mode(store_proxies[daemon], PROXY_FORWARDS);
    soak_log("fault store link ended daemon=%d", daemon);
    soak_release_target(FAULT_STORE_LINK, daemon);
}

/** Picks a one-way cut in half of all cases: the store gets calls, the daemon gets no answers. */
static proxy_mode pick_store_cut(const fault_injector *injector) {
    return g_rand_boolean(injector->rng) ? PROXY_BLOCKS_ANSWERS : pick_link_fault(injector);
}

/** The daemon does not learn of the rebalance until the cut ends, or is killed before. */
void soak_rebalance_while_cut(const fault_injector *injector) {
    int daemon = soak_pick_daemon(injector);
    proxy_mode mode = pick_store_cut(injector);
    bool kills = g_rand_boolean(injector->rng);
    if (!soak_acquire_target(FAULT_STORE_LINK, daemon))
        return;
    soak_log("fault rebalance while cut daemon=%d mode=%d kills=%d", daemon, mode, kills);
    fault_proxy_set_mode(store_proxies[daemon], mode);
    soak_wait_random(injector, 0, MAX_BEFORE_REBALANCE_MS);
    log_store_rebalance(bench.store);
    soak_wait_random(injector, MIN_AFTER_REBALANCE_MS, MAX_AFTER_REBALANCE_MS);
    kills = kills && soak_acquire_target(FAULT_PROCESS, daemon);
    if (kills)
        bench_signal_daemon(daemon, SIGKILL);
    fault_proxy_set_mode(store_proxies[daemon], PROXY_FORWARDS);
    soak_log("fault rebalance while cut ended daemon=%d kills=%d", daemon, kills);
    if (kills)
        soak_start_daemon(injector, daemon);
    if (kills)
        soak_release_target(FAULT_PROCESS, daemon);
    soak_release_target(FAULT_STORE_LINK, daemon);
}

/**
 * Two daemons run the items of the same partitions at once; then the daemons are killed in turn.
 * Later owners must resume items from the progress that both have stored.
 */
void soak_kill_owners_in_turn(const fault_injector *injector) {
    int daemon = soak_pick_daemon(injector);
    if (!soak_acquire_target(FAULT_STORE_LINK, daemon))
        return;
    soak_log("fault kill owners in turn daemon=%d", daemon);
    fault_proxy_set_mode(store_proxies[daemon], PROXY_BLOCKS_ANSWERS);
    log_store_rebalance(bench.store);
    soak_wait_random(injector, MIN_TWO_OWNERS_MS, MAX_TWO_OWNERS_MS);
    soak_kill_daemon(injector, daemon);
    fault_proxy_set_mode(store_proxies[daemon], PROXY_FORWARDS);
    soak_release_target(FAULT_STORE_LINK, daemon);
    for (int next = 1; next < MIN(bench_daemon_count(), MAX_OWNER_KILLS); next++) {
        soak_wait_random(injector, 0, MAX_OWNER_KILL_GAP_MS);
        soak_kill_daemon(injector, (daemon + next) % bench_daemon_count());
    }
}

static void set_store_links(const bool *is_set, proxy_mode mode) {
    for (int daemon = 0; daemon < bench_daemon_count(); daemon++)
        if (is_set[daemon])
            fault_proxy_set_mode(store_proxies[daemon], mode);
}

/** @p which: a daemon, or an engine after all daemons. */
static void silence_open_links(const fault_injector *injector, int which) {
    bool is_store = which < bench_daemon_count();
    proxy_silence silence =
        g_rand_boolean(injector->rng) ? PROXY_ACKNOWLEDGES_DATA : PROXY_DROPS_ALL_PACKETS;
    fault_target target = is_store ? FAULT_STORE_LINK : FAULT_ENGINE_LINK;
    int index = is_store ? which : which - bench_daemon_count();
    if (!soak_acquire_target(target, index))
        return;
    soak_log("fault silence open links of=%s%d silence=%d", is_store ? "daemon" : "engine", index,
             silence);
    fault_proxy_silence_open_connections(is_store ? store_proxies[index] : engine_proxies[index],
                                         silence);
    soak_wait_random(injector, MIN_LINK_FAULT_MS, MAX_LINK_FAULT_MS / 2);
    soak_release_target(target, index);
}

void soak_silence_open_store_links(const fault_injector *injector) {
    silence_open_links(injector, soak_pick_daemon(injector));
}

void soak_silence_open_links(const fault_injector *injector) {
    silence_open_links(injector,
                       g_rand_int_range(injector->rng, 0, bench_daemon_count() + BENCH_ENGINES));
}

/** Holds the answers on the links for random times until the end of the series. */
static void delay_answers(const fault_injector *injector, const bool *is_degraded) {
    while (hs_clock_monotonic_ms() < injector->until_ms) {
        set_store_links(is_degraded, PROXY_BLOCKS_ANSWERS);
        soak_wait_random(injector, MIN_ANSWER_DELAY_MS, MAX_ANSWER_DELAY_MS);
        set_store_links(is_degraded, PROXY_FORWARDS);
        hs_clock_sleep_ms(ANSWER_GAP_MS);
    }
}

void soak_degrade_store_links(const fault_injector *injector, store_link_fault kind) {
    static const proxy_mode modes[STORE_LINK_KINDS] = {PROXY_BLOCKS_ALL, PROXY_BLOCKS_ANSWERS,
                                                       PROXY_RESETS, PROXY_FORWARDS};
    bool is_degraded[BENCH_MAX_DAEMONS] = {false};
    int always = soak_pick_daemon(injector);
    int count = 0;
    for (int daemon = 0; daemon < bench_daemon_count(); daemon++) {
        bool is_picked = g_rand_boolean(injector->rng) || daemon == always;
        is_degraded[daemon] = is_picked && soak_acquire_target(FAULT_STORE_LINK, daemon);
        count += is_degraded[daemon];
    }
    soak_log("fault store links kind=%d daemons=%d first=%d", kind, count, always);
    set_store_links(is_degraded, modes[kind]);
    if (kind == STORE_LINK_LATE)
        delay_answers(injector, is_degraded);
    else
        soak_wait_for_end(injector);
    set_store_links(is_degraded, PROXY_FORWARDS);
    soak_log("fault store links ended kind=%d", kind);
    for (int daemon = 0; daemon < bench_daemon_count(); daemon++)
        if (is_degraded[daemon])
            soak_release_target(FAULT_STORE_LINK, daemon);
}

/** Whether a proxy in this mode delivers requests late. */
static bool delays_requests(proxy_mode mode) {
    return mode == PROXY_DELAYS || mode == PROXY_BLOCKS_ALL;
}

static void begin_engine_link_fault(int engine, proxy_mode mode) {
    if (delays_requests(mode))
        soak_acquire_target(FAULT_ENGINE_LINK_DELAY, engine);
    fault_proxy_set_mode(engine_proxies[engine], mode);
}

static void end_engine_link_fault(int engine, proxy_mode mode) {
    fault_proxy_set_mode(engine_proxies[engine], PROXY_FORWARDS);
    if (delays_requests(mode))
        soak_release_target(FAULT_ENGINE_LINK_DELAY, engine);
}

void soak_degrade_engine_link(const fault_injector *injector) {
    int which = g_rand_int_range(injector->rng, 0, BENCH_ENGINES);
    proxy_mode mode = pick_link_fault(injector);
    if (!soak_acquire_target(FAULT_ENGINE_LINK, which))
        return;
    soak_log("fault engine link engine=%d mode=%d", which, mode);
    begin_engine_link_fault(which, mode);
    soak_wait_random(injector, MIN_LINK_FAULT_MS, MAX_LINK_FAULT_MS / 2);
    end_engine_link_fault(which, mode);
    soak_release_target(FAULT_ENGINE_LINK, which);
}

void soak_reset_engine_links(const fault_injector *injector) {
    int which = g_rand_int_range(injector->rng, 0, BENCH_ENGINES);
    int times = g_rand_int_range(injector->rng, 1, MAX_LINK_RESETS + 1);
    if (!soak_acquire_target(FAULT_ENGINE_LINK, which))
        return;
    soak_log("fault reset engine links engine=%d times=%d", which, times);
    for (int step = 0; step < times; step++) {
        soak_wait_random(injector, 1, MAX_LINK_RESET_GAP_MS);
        fault_proxy_set_mode(engine_proxies[which], PROXY_RESETS);
        hs_clock_sleep_ms(LINK_RESET_MS);
        fault_proxy_set_mode(engine_proxies[which], PROXY_FORWARDS);
    }
    soak_release_target(FAULT_ENGINE_LINK, which);
}

void soak_reset_slow_engine_links(const fault_injector *injector) {
    int which = g_rand_int_range(injector->rng, 0, BENCH_ENGINES);
    if (!soak_acquire_target(FAULT_ENGINE, which))
        return;
    token_engine_set_mode(bench.engines[which], TOKEN_ENGINE_SLOW);
    soak_reset_engine_links(injector);
    token_engine_set_mode(bench.engines[which], TOKEN_ENGINE_HEALTHY);
    soak_release_target(FAULT_ENGINE, which);
}

static void set_region_links(const bool *is_cut, proxy_mode mode) {
    set_store_links(is_cut, mode);
    g_atomic_int_set(&record.is_region_cut, mode != PROXY_FORWARDS);
}

void soak_cut_home_region(GRand *rng) {
    static const proxy_mode modes[] = {PROXY_RESETS, PROXY_BLOCKS_ALL, PROXY_BLOCKS_ANSWERS};
    proxy_mode mode = modes[g_rand_int_range(rng, 0, G_N_ELEMENTS(modes))];
    bool has_store = g_rand_boolean(rng); /* The store is on the home region's side. */
    uint64_t cut_ms = (uint64_t)g_rand_int_range(rng, MIN_REGION_CUT_MS, MAX_REGION_CUT_MS + 1);
    bool is_cut[BENCH_MAX_DAEMONS] = {false};
    if (!soak_acquire_target(FAULT_ENGINE_LINK, SOAK_HOME_ENGINE))
        return;
    soak_begin_fault();
    soak_log("fault cut of region=%s mode=%d has_store=%d", SOAK_HOME_REGION, mode, has_store);
    for (int daemon = 0; daemon < bench_daemon_count(); daemon++) {
        bool is_home = strcmp(soak_zones[daemon], soak_zones[SOAK_HOME_ENGINE]) == 0;
        is_cut[daemon] = is_home != has_store && soak_acquire_target(FAULT_STORE_LINK, daemon);
    }
    begin_engine_link_fault(SOAK_HOME_ENGINE, mode);
    set_region_links(is_cut, mode);
    hs_clock_sleep_ms(cut_ms);
    end_engine_link_fault(SOAK_HOME_ENGINE, mode);
    set_region_links(is_cut, PROXY_FORWARDS);
    soak_log("fault cut ended of region=%s", SOAK_HOME_REGION);
    soak_end_fault();
    for (int daemon = 0; daemon < bench_daemon_count(); daemon++)
        if (is_cut[daemon])
            soak_release_target(FAULT_STORE_LINK, daemon);
    soak_release_target(FAULT_ENGINE_LINK, SOAK_HOME_ENGINE);
    record.region_cuts++;
}
