/** @file link_faults.c  Proxies before the store and the engines, and their faults; see faults.h.
 */
#include "base/clock.h"
#include "tests/soak/faults.h"
#include "tests/soak/soak.h"
#include "tests/support/fault_proxy.h"
#include "tools/surface/fleet_bench.h"

#include <signal.h>

#define LINK_LEAST_MS 300
#define LINK_MOST_MS 6000
/** Before the store deals partitions anew, and from then until the daemon is killed or heals. */
#define BEFORE_DEAL_MOST_MS 1500
#define AFTER_DEAL_LEAST_MS 500
#define AFTER_DEAL_MOST_MS 5000
/** So that both owners store progress, each 1.5 s, more than once. */
#define TWO_OWNERS_LEAST_MS 1600
#define TWO_OWNERS_MOST_MS 4500
/** Between the deaths of owners. */
#define CHASE_MOST_MS 1500
#define CHASED_MOST 3
#define CUTS_MOST 8
#define CUT_PAUSE_MOST_MS 300
/** The proxies look at their mode each 10 ms. */
#define CUT_MS 30

static fault_proxy *store_proxies[BENCH_DAEMONS_MOST];
static fault_proxy *engine_proxies[BENCH_ENGINES];

void soak_start_proxies(void) {
    for (int daemon = 0; daemon < bench_daemons(); daemon++) {
        store_proxies[daemon] = fault_proxy_start(log_store_port(bench.store));
        bench.store_ports[daemon] = fault_proxy_port(store_proxies[daemon]);
    }
    for (int index = 0; index < BENCH_ENGINES; index++) {
        engine_proxies[index] = fault_proxy_start(token_engine_port(bench.engines[index]));
        token_engine_show_port(bench.engines[index], fault_proxy_port(engine_proxies[index]));
    }
}

void soak_stop_proxies(void) {
    for (int daemon = 0; daemon < bench_daemons(); daemon++)
        fault_proxy_stop(store_proxies[daemon]);
    for (int index = 0; index < BENCH_ENGINES; index++)
        fault_proxy_stop(engine_proxies[index]);
}

static proxy_mode any_mode(const fault_lane *lane) {
    return (proxy_mode)g_rand_int_range(lane->chance, PROXY_DELAYS, PROXY_BLOCKS_ANSWERS + 1);
}

void soak_harm_store_link(const fault_lane *lane) {
    int daemon = soak_any_daemon(lane);
    proxy_mode mode = any_mode(lane);
    if (!soak_take(FAULT_STORE_LINK, daemon))
        return;
    soak_say("fault store link daemon=%d mode=%d", daemon, mode);
    fault_proxy_set_mode(store_proxies[daemon], mode);
    soak_hold(lane, LINK_LEAST_MS, LINK_MOST_MS);
    fault_proxy_set_mode(store_proxies[daemon], PROXY_FORWARDS);
    soak_say("fault store link ended daemon=%d", daemon);
    soak_give_back(FAULT_STORE_LINK, daemon);
}

/** Half of the time a cut of one way alone: what the daemon says is done, but it hears nothing. */
static proxy_mode any_cut(const fault_lane *lane) {
    return g_rand_boolean(lane->chance) ? PROXY_BLOCKS_ANSWERS : any_mode(lane);
}

/** One daemon does not hear that its partitions go to others; at last it heals, or is killed. */
void soak_deal_while_cut(const fault_lane *lane) {
    int daemon = soak_any_daemon(lane);
    proxy_mode mode = any_cut(lane);
    bool kills = g_rand_boolean(lane->chance);
    if (!soak_take(FAULT_STORE_LINK, daemon))
        return;
    soak_say("fault deal while cut daemon=%d mode=%d kills=%d", daemon, mode, kills);
    fault_proxy_set_mode(store_proxies[daemon], mode);
    soak_hold(lane, 0, BEFORE_DEAL_MOST_MS);
    log_store_rebalance(bench.store);
    soak_hold(lane, AFTER_DEAL_LEAST_MS, AFTER_DEAL_MOST_MS);
    kills = kills && soak_take(FAULT_PROCESS, daemon);
    if (kills)
        bench_signal(daemon, SIGKILL);
    fault_proxy_set_mode(store_proxies[daemon], PROXY_FORWARDS);
    soak_say("fault deal while cut ended daemon=%d kills=%d", daemon, kills);
    if (kills)
        soak_start_daemon(lane, daemon);
    if (kills)
        soak_give_back(FAULT_PROCESS, daemon);
    soak_give_back(FAULT_STORE_LINK, daemon);
}

/**
 * Two owners at work at one time, then one dies, and soon the others one after the other: what goes
 * on has been put together from what both stored.
 */
void soak_chase_owners(const fault_lane *lane) {
    int daemon = soak_any_daemon(lane);
    if (!soak_take(FAULT_STORE_LINK, daemon))
        return;
    soak_say("fault chase owners daemon=%d", daemon);
    fault_proxy_set_mode(store_proxies[daemon], PROXY_BLOCKS_ANSWERS);
    log_store_rebalance(bench.store);
    soak_hold(lane, TWO_OWNERS_LEAST_MS, TWO_OWNERS_MOST_MS);
    soak_kill_daemon(lane, daemon);
    fault_proxy_set_mode(store_proxies[daemon], PROXY_FORWARDS);
    soak_give_back(FAULT_STORE_LINK, daemon);
    for (int next = 1; next < MIN(bench_daemons(), CHASED_MOST); next++) {
        soak_hold(lane, 0, CHASE_MOST_MS);
        soak_kill_daemon(lane, (daemon + next) % bench_daemons());
    }
}

/** What is open at the moment goes silent for good; new connections work. */
void soak_silence_links(const fault_lane *lane) {
    int which = g_rand_int_range(lane->chance, 0, bench_daemons() + BENCH_ENGINES);
    bool is_store = which < bench_daemons();
    proxy_silence silence =
        g_rand_boolean(lane->chance) ? PROXY_ACKNOWLEDGES_DATA : PROXY_DROPS_ALL_PACKETS;
    fault_target target = is_store ? FAULT_STORE_LINK : FAULT_ENGINE_LINK;
    int index = is_store ? which : which - bench_daemons();
    if (!soak_take(target, index))
        return;
    soak_say("fault silence open links of=%s%d silence=%d", is_store ? "daemon" : "engine", index,
             silence);
    fault_proxy_silence_open_connections(is_store ? store_proxies[index] : engine_proxies[index],
                                         silence);
    soak_hold(lane, LINK_LEAST_MS, LINK_MOST_MS / 2);
    soak_give_back(target, index);
}

void soak_harm_engine_link(const fault_lane *lane) {
    int which = g_rand_int_range(lane->chance, 0, BENCH_ENGINES);
    proxy_mode mode = any_mode(lane);
    if (!soak_take(FAULT_ENGINE_LINK, which))
        return;
    soak_say("fault engine link engine=%d mode=%d", which, mode);
    fault_proxy_set_mode(engine_proxies[which], mode);
    soak_hold(lane, LINK_LEAST_MS, LINK_MOST_MS / 2);
    fault_proxy_set_mode(engine_proxies[which], PROXY_FORWARDS);
    soak_give_back(FAULT_ENGINE_LINK, which);
}

void soak_cut_engine_links(const fault_lane *lane) {
    int which = g_rand_int_range(lane->chance, 0, BENCH_ENGINES);
    int times = g_rand_int_range(lane->chance, 1, CUTS_MOST + 1);
    if (!soak_take(FAULT_ENGINE_LINK, which))
        return;
    soak_say("fault cut engine links engine=%d times=%d", which, times);
    for (int step = 0; step < times; step++) {
        soak_hold(lane, 1, CUT_PAUSE_MOST_MS);
        fault_proxy_set_mode(engine_proxies[which], PROXY_RESETS);
        hs_clock_sleep_ms(CUT_MS);
        fault_proxy_set_mode(engine_proxies[which], PROXY_FORWARDS);
    }
    soak_give_back(FAULT_ENGINE_LINK, which);
}

/** Links break while engines have requests whose answers have not begun. */
void soak_cut_slow_engines(const fault_lane *lane) {
    int which = g_rand_int_range(lane->chance, 0, BENCH_ENGINES);
    if (!soak_take(FAULT_ENGINE, which))
        return;
    token_engine_set_mode(bench.engines[which], TOKEN_ENGINE_SLOW);
    soak_cut_engine_links(lane);
    token_engine_set_mode(bench.engines[which], TOKEN_ENGINE_SOUND);
    soak_give_back(FAULT_ENGINE, which);
}
