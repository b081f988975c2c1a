/** @file faults.c  Injects random faults in series, with fault-free periods between them. */
#include "tests/soak/faults.h"

#include "base/clock.h"
#include "tests/soak/soak.h"
#include "tools/surface/fleet_bench.h"

#define FAULT_TARGET_KINDS (FAULT_CONFIG + 1)
#define MAX_FAULT_GAP_MS 700
/** Length of a series of faults, and of the period after it in which daemons recover. */
#define SERIES_MS 16000
#define FAULT_FREE_MS 9000

/** A time for which a fault held a target. Monotonic times. */
typedef struct {
    fault_target target;
    int index;
    uint64_t from_ms;
    uint64_t to_ms; /**< UINT64_MAX: still held. */
} target_hold;

static struct {
    GMutex lock;
    bool in_use[FAULT_TARGET_KINDS][BENCH_MAX_DAEMONS];
    GArray *holds; /**< of target_hold, in order of their start; NULL: none. */
} targets;

/** Periods without a fault. Times are wall times in ms. */
static struct {
    GMutex lock;
    int active;       /**< Number of active faults. */
    uint64_t from_ms; /**< Start of the current period, if no fault is active. */
    GArray *past;     /**< of uint64_t[2]: start and end of earlier periods. */
} fault_free;

bool soak_acquire_target(fault_target target, int index) {
    g_mutex_lock(&targets.lock);
    bool was_free = !targets.in_use[target][index];
    targets.in_use[target][index] = true;
    target_hold hold = {target, index, hs_clock_monotonic_ms(), UINT64_MAX};
    if (targets.holds == NULL)
        targets.holds = g_array_new(FALSE, FALSE, sizeof(target_hold));
    if (was_free)
        g_array_append_val(targets.holds, hold);
    g_mutex_unlock(&targets.lock);
    return was_free;
}

void soak_release_target(fault_target target, int index) {
    g_mutex_lock(&targets.lock);
    targets.in_use[target][index] = false;
    for (guint number = 0; number < targets.holds->len; number++) {
        target_hold *hold = &g_array_index(targets.holds, target_hold, number);
        if (hold->target == target && hold->index == index && hold->to_ms == UINT64_MAX)
            hold->to_ms = hs_clock_monotonic_ms();
    }
    g_mutex_unlock(&targets.lock);
}

bool soak_was_target_free(fault_target target, int index, uint64_t from_ms, uint64_t to_ms) {
    bool was_free = true;
    g_mutex_lock(&targets.lock);
    for (guint number = 0; targets.holds != NULL && number < targets.holds->len; number++) {
        const target_hold *hold = &g_array_index(targets.holds, target_hold, number);
        if (hold->target == target && hold->index == index)
            was_free = was_free && (hold->to_ms < from_ms || to_ms < hold->from_ms);
    }
    g_mutex_unlock(&targets.lock);
    return was_free;
}

void soak_wait_random(const fault_injector *injector, int min_ms, int max_ms) {
    uint64_t now_ms = hs_clock_monotonic_ms();
    uint64_t wait_ms = (uint64_t)g_rand_int_range(injector->rng, min_ms, max_ms + 1);
    if (now_ms < injector->until_ms)
        hs_clock_sleep_ms(MIN(wait_ms, injector->until_ms - now_ms));
}

void soak_wait_for_end(const fault_injector *injector) {
    uint64_t now_ms = hs_clock_monotonic_ms();
    if (now_ms < injector->until_ms)
        hs_clock_sleep_ms(injector->until_ms - now_ms);
}

int soak_pick_daemon(const fault_injector *injector) {
    return g_rand_int_range(injector->rng, 0, bench_daemon_count());
}

void soak_begin_fault(void) {
    g_mutex_lock(&fault_free.lock);
    if (fault_free.past == NULL)
        fault_free.past = g_array_new(FALSE, FALSE, 2 * sizeof(uint64_t));
    uint64_t span[2] = {fault_free.from_ms, hs_clock_wall_ms()};
    if (fault_free.active++ == 0)
        g_array_append_val(fault_free.past, span);
    g_mutex_unlock(&fault_free.lock);
}

void soak_end_fault(void) {
    g_mutex_lock(&fault_free.lock);
    if (--fault_free.active == 0)
        fault_free.from_ms = hs_clock_wall_ms();
    g_mutex_unlock(&fault_free.lock);
}

bool soak_was_fault_free(uint64_t from_ms, uint64_t to_ms) {
    g_mutex_lock(&fault_free.lock);
    bool was_free_of_faults = fault_free.active == 0 && fault_free.from_ms <= from_ms;
    for (guint index = 0;
         fault_free.past != NULL && index < fault_free.past->len && !was_free_of_faults; index++) {
        const uint64_t *span = (const uint64_t *)(void *)fault_free.past->data + (gsize)2 * index;
        was_free_of_faults = span[0] <= from_ms && to_ms <= span[1];
    }
    g_mutex_unlock(&fault_free.lock);
    return was_free_of_faults;
}

static void run_series(const fault_injector *injector) {
    static void (*const faults[])(const fault_injector *) = {
        soak_kill_daemons,         soak_kill_daemons,
        soak_stop_daemons,         soak_stop_daemons,
        soak_pause_daemon,         soak_degrade_store_link,
        soak_degrade_store_link,   soak_rebalance_while_cut,
        soak_rebalance_while_cut,  soak_kill_owners_in_turn,
        soak_kill_owners_in_turn,  soak_kill_owners_in_turn,
        soak_kill_owners_in_turn,  soak_degrade_engine_link,
        soak_silence_open_links,   soak_reset_engine_links,
        soak_fail_store_calls,     soak_delay_store,
        soak_trigger_store_change, soak_fail_engine,
        soak_drain_engine,         soak_reset_slow_engine_links,
        soak_change_config,        soak_reload_daemon,
    };
    while (hs_clock_monotonic_ms() < injector->until_ms) {
        g_atomic_int_inc(&record.fault_count);
        soak_begin_fault();
        faults[g_rand_int_range(injector->rng, 0, G_N_ELEMENTS(faults))](injector);
        soak_end_fault();
        soak_wait_random(injector, 0, MAX_FAULT_GAP_MS);
    }
}

/** Runs series until @p until_ms, with fault-free periods between them. */
static void run_all_series(GRand *rng, uint64_t until_ms, void (*run)(const fault_injector *)) {
    uint64_t now_ms = hs_clock_monotonic_ms();
    while (now_ms < until_ms) {
        fault_injector injector = {.rng = rng, .until_ms = MIN(until_ms, now_ms + SERIES_MS)};
        run(&injector);
        now_ms = hs_clock_monotonic_ms();
        if (now_ms < until_ms)
            hs_clock_sleep_ms(MIN((uint64_t)FAULT_FREE_MS, until_ms - now_ms));
        now_ms = hs_clock_monotonic_ms();
    }
}

void soak_run_faults(GRand *rng, uint64_t until_ms) {
    run_all_series(rng, until_ms, run_series);
}

void soak_run_end_faults(GRand *rng, uint64_t until_ms) {
    run_all_series(rng, until_ms, soak_run_end_series);
}

void soak_run_stops(GRand *rng, uint64_t until_ms) {
    run_all_series(rng, until_ms, soak_run_stop_series);
}

void soak_clear_faults(void) {
    if (targets.holds != NULL)
        g_array_unref(targets.holds);
    targets.holds = NULL;
    if (fault_free.past != NULL)
        g_array_unref(fault_free.past);
    fault_free.past = NULL;
    fault_free.from_ms = 0;
}
