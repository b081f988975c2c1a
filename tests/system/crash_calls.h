/** @file crash_calls.h  Calls and bounds of the suites with requests that crash engines. */
#ifndef TESTS_SYSTEM_CRASH_CALLS_H
#define TESTS_SYSTEM_CRASH_CALLS_H

#include "tests/support/crash_fleet.h"
#include "tools/surface/fleet_bench.h"

/** Crashes by one request's content after which the content is quarantined. */
#define MIN_QUARANTINE_CRASHES 3
/** Bound for the quarantine to reach all daemons, from the last of these crashes. */
#define MAX_QUARANTINE_DELAY_MS 3000
/** Interval between repeats of a request; shorter than the restart of an engine. */
#define ARRIVAL_INTERVAL_MS 100

/** Returns the engines of the running suite; owned by the suite. */
crash_fleet *get_crash_fleet(void);

/** Begins a suite as begin_crashes does, with engines by @p settings. */
int begin_crashes_with_settings(const crash_fleet_settings *settings);

/** Sends a request; the caller frees the answer with bench_answer_clear. */
bench_answer send_crash_request(int daemon, const char *target, const char *id, const char *body);

/** Sends a request once, and returns whether the daemon refused it as quarantined. */
bool is_request_quarantined(int daemon, const char *target, const char *id, const char *body);

/** Waits for @p count crashes beyond the earlier count @p before; false after @p limit_ms. */
bool wait_for_crashes(uint32_t before, uint32_t count, uint64_t limit_ms);

/** Kills all daemons, restarts them, and waits until all are ready. */
void kill_and_restart_all_daemons(void);

#endif
