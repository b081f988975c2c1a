/**
 * @file end_faults.c
 * Faults of the store that begin right after an end of a job was acknowledged, with other faults at
 * the same time.
 */
#include "base/clock.h"
#include "platform/names.h"
#include "tests/soak/faults.h"
#include "tests/soak/soak.h"
#include "tools/surface/fleet_bench.h"

/** Time of a fault, and from the acknowledgement to its start. */
#define MIN_END_FAULT_MS 3000
#define MAX_END_FAULT_MS 8000
#define MAX_AFTER_END_MS 500
#define MIN_ROUND_MS 5000
/** How long a round waits for an end, and how often it looks. */
#define MAX_END_WAIT_MS 4000
#define END_POLL_MS 2
/** Time for which callers collect jobs to end at once, while engines refuse their items. */
#define COLLECTING_MS 1000
/** Engines refuse items until some time of the fault. */
#define MIN_FULL_MS 3000
/** Engines accept items again for at least this part of the fault. */
#define ACCEPTING_MS 400
#define MAX_OVERLAPPING 2
#define MAX_OVERLAPPING_GAP_MS 1500
#define MAX_ROUND_GAP_MS 1500
#define MAX_SILENT_READS_MS 1500
/** Cases of fail_store_somehow in which the store fails for all daemons. */
#define ALL_STORE_FAULTS 6
/** Reads are silent before the ends in one of so many rounds. */
#define ROUNDS_PER_SILENT_READS 3
#define MIN_LATE_MS 300
#define MAX_LATE_MS 1500

/** Faults that overlap with that of the store, in one more thread each. */
typedef struct {
    fault_injector injector;
    GThread *thread;
} overlapping_faults;

static void rebalance(const fault_injector *injector) {
    (void)injector;
    soak_log("fault store rebalance");
    log_store_rebalance(bench.store);
}

static gpointer run_overlapping_faults(gpointer data) {
    static void (*const faults[])(const fault_injector *) = {soak_kill_daemons,
                                                             soak_stop_daemon,
                                                             soak_pause_daemon,
                                                             soak_silence_open_store_links,
                                                             soak_silence_open_store_links,
                                                             soak_rebalance_while_cut,
                                                             soak_kill_owners_in_turn,
                                                             rebalance,
                                                             rebalance};
    const fault_injector *injector = data;
    while (hs_clock_monotonic_ms() < injector->until_ms) {
        soak_wait_random(injector, 0, MAX_OVERLAPPING_GAP_MS);
        g_atomic_int_inc(&record.fault_count);
        faults[g_rand_int_range(injector->rng, 0, G_N_ELEMENTS(faults))](injector);
    }
    return NULL;
}

static void fail_store(const fault_injector *injector, log_store_mode mode) {
    static const char *const calls[] = {NULL, CALL_READ, CALL_READ};
    int call = g_rand_int_range(injector->rng, 0, G_N_ELEMENTS(calls));
    if (!soak_acquire_target(FAULT_STORE, 0))
        return;
    soak_log("fault store after end mode=%d call=%s", mode,
             calls[call] != NULL ? calls[call] : "all");
    log_store_set_mode(bench.store, mode, calls[call], G_MAXUINT32);
    soak_wait_for_end(injector);
    log_store_set_mode(bench.store, LOG_STORE_HEALTHY, NULL, 0);
    soak_log("fault store after end ended");
    soak_release_target(FAULT_STORE, 0);
}

/**
 * Silences reads shortly before the collected jobs end, and all calls right after an end was
 * acknowledged. The rest of the round is as for other faults.
 */
static bool silence_reads_before_ends(const fault_injector *injector) {
    if (!soak_acquire_target(FAULT_STORE, 0))
        return false;
    soak_log("fault store silent reads before ends");
    log_store_set_mode(bench.store, LOG_STORE_UNRESPONSIVE, CALL_READ, G_MAXUINT32);
    soak_wait_random(injector, 0, MAX_SILENT_READS_MS);
    return true;
}

static void silence_store(const fault_injector *injector) {
    soak_log("fault store after end silent");
    log_store_set_mode(bench.store, LOG_STORE_UNRESPONSIVE, NULL, G_MAXUINT32);
    soak_wait_for_end(injector);
    log_store_set_mode(bench.store, LOG_STORE_HEALTHY, NULL, 0);
    soak_log("fault store after end ended");
    soak_release_target(FAULT_STORE, 0);
}

static void delay_store(const fault_injector *injector) {
    uint32_t delay_ms = (uint32_t)g_rand_int_range(injector->rng, MIN_LATE_MS, MAX_LATE_MS + 1);
    if (!soak_acquire_target(FAULT_STORE_DELAY, 0))
        return;
    soak_log("fault store after end delay ms=%u", delay_ms);
    log_store_set_delay(bench.store, delay_ms);
    soak_wait_for_end(injector);
    log_store_set_delay(bench.store, 0);
    soak_log("fault store after end ended");
    soak_release_target(FAULT_STORE_DELAY, 0);
}

/** Fails the store for all daemons, or its links for some, until the end of the series. */
static void fail_store_somehow(const fault_injector *injector) {
    int fault = g_rand_int_range(injector->rng, 0, ALL_STORE_FAULTS + STORE_LINK_KINDS);
    switch (fault) {
    case 0:
        fail_store(injector, LOG_STORE_UNRESPONSIVE);
        break;
    case 1:
        fail_store(injector, LOG_STORE_REFUSES);
        break;
    case 2:
        fail_store(injector, LOG_STORE_LOSES_ANSWER);
        break;
    case 3:
    case 4:
    case 5:
        delay_store(injector);
        break;
    default:
        soak_degrade_store_links(injector, (store_link_fault)(fault - ALL_STORE_FAULTS));
        break;
    }
}

static bool wait_for_acknowledged_end(void) {
    gint before = g_atomic_int_get(&record.end_acknowledgements);
    uint64_t until_ms = hs_clock_monotonic_ms() + MAX_END_WAIT_MS;
    while (g_atomic_int_get(&record.end_acknowledgements) == before) {
        if (hs_clock_monotonic_ms() > until_ms)
            return false;
        hs_clock_sleep_ms(END_POLL_MS);
    }
    return true;
}

static void set_engines_full(bool *is_full, bool is_filling) {
    for (int index = 0; index < BENCH_ENGINES; index++) {
        if (is_filling)
            is_full[index] = soak_acquire_target(FAULT_ENGINE, index);
        if (!is_full[index])
            continue;
        token_engine_set_mode(bench.engines[index],
                              is_filling ? TOKEN_ENGINE_FULL : TOKEN_ENGINE_HEALTHY);
        if (!is_filling)
            soak_release_target(FAULT_ENGINE, index);
    }
    soak_log(is_filling ? "fault engines full" : "fault engines full ended");
}

/** Engines that are full before the ends accept items again at a random time of the fault. */
typedef struct {
    fault_injector injector;
    bool is_full[BENCH_ENGINES];
} full_engines;

static gpointer empty_engines(gpointer data) {
    full_engines *engines = data;
    soak_wait_random(&engines->injector, MIN_FULL_MS, MAX_END_FAULT_MS);
    set_engines_full(engines->is_full, false);
    return NULL;
}

static void run_round(const fault_injector *series) {
    GRand *rng = series->rng;
    overlapping_faults overlapping[MAX_OVERLAPPING];
    full_engines engines = {.injector = {.rng = g_rand_new_with_seed(g_rand_int(rng))}};
    bool is_alone = g_rand_boolean(rng);
    int count = is_alone ? 0 : g_rand_int_range(rng, 1, MAX_OVERLAPPING + 1);
    bool fills = g_rand_boolean(rng);
    uint64_t fault_ms = (uint64_t)g_rand_int_range(rng, MIN_END_FAULT_MS, MAX_END_FAULT_MS + 1);
    if (fills)
        set_engines_full(engines.is_full, true);
    g_atomic_int_set(&record.is_collecting_jobs, 1);
    hs_clock_sleep_ms(COLLECTING_MS);
    bool is_silent =
        g_rand_int_range(rng, 0, ROUNDS_PER_SILENT_READS) == 0 && silence_reads_before_ends(series);
    g_atomic_int_set(&record.is_collecting_jobs, 0);
    if (wait_for_acknowledged_end())
        soak_wait_random(series, 0, MAX_AFTER_END_MS);
    uint64_t until_ms = MIN(hs_clock_monotonic_ms() + fault_ms, series->until_ms);
    for (int index = 0; index < count; index++) {
        overlapping[index].injector =
            (fault_injector){g_rand_new_with_seed(g_rand_int(rng)), until_ms};
        overlapping[index].thread =
            g_thread_new("overlapping", run_overlapping_faults, &overlapping[index].injector);
    }
    engines.injector.until_ms = until_ms - ACCEPTING_MS;
    GThread *emptying = fills ? g_thread_new("engines", empty_engines, &engines) : NULL;
    fault_injector injector = {rng, until_ms};
    if (is_silent)
        silence_store(&injector);
    else
        fail_store_somehow(&injector);
    for (int index = 0; index < count; index++) {
        g_thread_join(overlapping[index].thread);
        g_rand_free(overlapping[index].injector.rng);
    }
    if (emptying != NULL)
        g_thread_join(emptying);
    g_rand_free(engines.injector.rng);
}

void soak_run_end_series(const fault_injector *injector) {
    while (hs_clock_monotonic_ms() + MIN_ROUND_MS < injector->until_ms) {
        g_atomic_int_inc(&record.fault_count);
        soak_begin_fault();
        run_round(injector);
        soak_end_fault();
        soak_wait_random(injector, 0, MAX_ROUND_GAP_MS);
    }
    soak_wait_for_end(injector);
}
