/** @file fleet_calls.h  Calls to the fleet surface that several suites make. */
#ifndef TESTS_SYSTEM_FLEET_CALLS_H
#define TESTS_SYSTEM_FLEET_CALLS_H

#include "tools/surface/event_trace.h"
#include "tools/surface/fleet_bench.h"

/** Longest that a small job may need in ms, changes of its owner included. */
#define JOB_LIMIT_MS 15000

/** A small request. Free the answer with bench_answer_clear. */
bench_answer post_request(int daemon, const char *target, const char *id);

/** A daemon's metrics as text. Free with g_free. */
char *metrics_of(int daemon);

/** One metric of a daemon, by its line up to the figure; -1: it is not told. */
int metric_of(int daemon, const char *name);

/** Runs that the engines work on now. */
uint32_t open_engine_runs(void);

/** Wait until the engines work on none; false after @p limit_ms. */
bool engine_runs_end_within(unsigned limit_ms);

/** Submit a job of @p count items; the status. */
uint32_t submit_job(int daemon, const char *id, int count);

/** Check that a trace found no fault, and free it. */
void check_trace(event_trace *trace);

/**
 * Check a page of results: all items once, completed, and each text
 * put together from runs that were asked to go on where they do.
 */
void check_job_results(const char *page, int count);

#endif
