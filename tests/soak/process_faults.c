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

void soak_stop_daemon(const fault_injector *injector) {
    int daemon = soak_pick_daemon(injector);
    if (!soak_acquire_target(FAULT_PROCESS, daemon))
        return;
    soak_log("fault stop daemon=%d", daemon);
    uint64_t started_ms = hs_clock_monotonic_ms();
    int status = bench_signal_daemon(daemon, SIGTERM);
    soak_check_stop(daemon, status, hs_clock_monotonic_ms() - started_ms);
    soak_wait_random(injector, 0, MIN_DAEMON_DOWN_MS);
    soak_start_daemon(injector, daemon);
    soak_release_target(FAULT_PROCESS, daemon);
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
