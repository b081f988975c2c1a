/** @file process_faults.c  Kills, stops, pauses and reloads of daemons. */
#include "base/clock.h"
#include "tests/soak/checks.h"
#include "tests/soak/faults.h"
#include "tests/soak/soak.h"
#include "tools/surface/fleet_bench.h"

#include <signal.h>

#define MAX_KILLS 3
#define MIN_DAEMON_DOWN_MS 100
#define MAX_DAEMON_DOWN_MS 2500
#define MAX_KILL_GAP_MS 2500
/** About half of the pauses exceed the 3 s after which the store's group drops a silent member. */
#define MIN_DAEMON_PAUSE_MS 500
#define MAX_DAEMON_PAUSE_MS 6000
#define MAX_STOPS 3
/** Time from one stop of a group to the next: they overlap, or may come one after the other. */
#define MAX_OVERLAPPING_STOP_GAP_MS 500
#define MAX_STOP_GAP_MS 7000
/** Time from one signal to a stopping daemon to the next. */
#define MAX_SIGNAL_GAP_MS 1500
#define MAX_BEFORE_STOPS_MS 3000
#define MAX_RELOADS 4
#define MAX_RELOAD_GAP_MS 200

void soak_start_daemon(const fault_injector *injector, int daemon) {
    if (bench.previous_program != NULL) {
        bench.runs_previous_program[daemon] = g_rand_boolean(injector->rng);
        soak_log("starts daemon=%d past=%d", daemon, bench.runs_previous_program[daemon]);
    }
    if (!bench_start_daemon(daemon, false))
        soak_report_violation("daemon %d failed to start", daemon);
}

void soak_kill_daemon(const fault_injector *injector, int daemon) {
    if (!soak_acquire_target(FAULT_PROCESS, daemon))
        return;
    soak_log("fault kill daemon=%d", daemon);
    bench_signal_daemon(daemon, SIGKILL);
    soak_wait_random(injector, MIN_DAEMON_DOWN_MS, MAX_DAEMON_DOWN_MS);
    soak_start_daemon(injector, daemon);
    soak_release_target(FAULT_PROCESS, daemon);
}

void soak_kill_daemons(const fault_injector *injector) {
    int rounds = g_rand_int_range(injector->rng, 1, MAX_KILLS + 1);
    for (int round = 0; round < rounds; round++) {
        soak_kill_daemon(injector, soak_pick_daemon(injector));
        soak_wait_random(injector, 0, MAX_KILL_GAP_MS);
    }
}

/** A stop of one daemon, with further signals after random times. */
typedef struct {
    fault_injector injector;
    int daemon;
    int before_ms; /**< Time until the stop begins. */
    bool has_reload;
    bool has_second_signal;
    GThread *thread; /**< NULL: runs in the caller's thread. */
} daemon_stop;

static void stop_daemon(const daemon_stop *options) {
    int daemon = options->daemon;
    soak_stop stop = {.daemon = daemon, .acquiring_ms = hs_clock_monotonic_ms()};
    if (!soak_acquire_target(FAULT_PROCESS, daemon))
        return;
    soak_log("fault stop daemon=%d reload=%d twice=%d", daemon, options->has_reload,
             options->has_second_signal);
    stop.signal_ms = hs_clock_monotonic_ms();
    bench_begin_stop(daemon);
    if (options->has_reload) {
        soak_wait_random(&options->injector, 0, MAX_SIGNAL_GAP_MS);
        bench_signal_daemon(daemon, SIGHUP);
    }
    if (options->has_second_signal) {
        soak_wait_random(&options->injector, 0, MAX_SIGNAL_GAP_MS);
        bench_begin_stop(daemon);
    }
    int status = bench_wait_end(daemon);
    stop.exit_ms = hs_clock_monotonic_ms();
    soak_record_stop(&stop);
    soak_check_stop(daemon, status, stop.exit_ms - stop.signal_ms);
    soak_wait_random(&options->injector, 0, MIN_DAEMON_DOWN_MS);
    soak_start_daemon(&options->injector, daemon);
    soak_release_target(FAULT_PROCESS, daemon);
}

void soak_stop_daemon(const fault_injector *injector) {
    daemon_stop options = {.injector = *injector, .daemon = soak_pick_daemon(injector)};
    stop_daemon(&options);
}

static gpointer run_stop(gpointer data) {
    daemon_stop *options = data;
    soak_wait_random(&options->injector, options->before_ms, options->before_ms);
    stop_daemon(options);
    g_rand_free(options->injector.rng);
    return NULL;
}

void soak_stop_daemons(const fault_injector *injector) {
    daemon_stop stops[MAX_STOPS];
    int count = MIN(g_rand_int_range(injector->rng, 1, MAX_STOPS + 1), bench_daemon_count());
    int first = soak_pick_daemon(injector);
    int max_gap_ms = g_rand_boolean(injector->rng) ? MAX_OVERLAPPING_STOP_GAP_MS : MAX_STOP_GAP_MS;
    int before_ms = 0;
    for (int index = 0; index < count; index++) {
        stops[index] = (daemon_stop){
            .injector = {g_rand_new_with_seed(g_rand_int(injector->rng)), injector->until_ms},
            .daemon = (first + index) % bench_daemon_count(),
            .before_ms = before_ms,
            .has_reload = g_rand_boolean(injector->rng),
            .has_second_signal = g_rand_boolean(injector->rng)};
        before_ms += g_rand_int_range(injector->rng, 0, max_gap_ms + 1);
    }
    for (int index = 0; index < count; index++)
        stops[index].thread = g_thread_new("stop", run_stop, &stops[index]);
    for (int index = 0; index < count; index++)
        g_thread_join(stops[index].thread);
}

void soak_run_stop_series(const fault_injector *injector) {
    soak_wait_random(injector, 0, MAX_BEFORE_STOPS_MS);
    g_atomic_int_inc(&record.fault_count);
    soak_begin_fault();
    soak_stop_daemons(injector);
    soak_end_fault();
    soak_wait_for_end(injector);
}

void soak_pause_daemon(const fault_injector *injector) {
    int daemon = soak_pick_daemon(injector);
    if (!soak_acquire_target(FAULT_PROCESS, daemon))
        return;
    soak_log("fault pause daemon=%d", daemon);
    soak_acquire_target(FAULT_PAUSE, daemon);
    bench_signal_daemon(daemon, SIGSTOP);
    soak_wait_random(injector, MIN_DAEMON_PAUSE_MS, MAX_DAEMON_PAUSE_MS);
    bench_signal_daemon(daemon, SIGCONT);
    soak_release_target(FAULT_PAUSE, daemon);
    soak_log("fault pause ended daemon=%d", daemon);
    soak_release_target(FAULT_PROCESS, daemon);
}

void soak_reload_daemon(const fault_injector *injector) {
    int daemon = soak_pick_daemon(injector);
    int times = g_rand_int_range(injector->rng, 1, MAX_RELOADS + 1);
    if (!soak_acquire_target(FAULT_PROCESS, daemon))
        return;
    soak_log("fault reload daemon=%d times=%d", daemon, times);
    for (int step = 0; step < times; step++) {
        bench_signal_daemon(daemon, SIGHUP);
        soak_wait_random(injector, 0, MAX_RELOAD_GAP_MS);
    }
    soak_release_target(FAULT_PROCESS, daemon);
}
