/**
 * @file online_run.h
 * Open-loop online load on real daemons: requests go out at planned times whether or not earlier
 * ones were answered, and latency counts from the planned time.
 */
#ifndef TOOLS_LOAD_ONLINE_RUN_H
#define TOOLS_LOAD_ONLINE_RUN_H

#include <stdint.h>

typedef struct {
    const char *callers; /**< Comma-separated URLs, used in turn. */
    const char *model;
    double rate_per_s;
    double busy_s; /**< Load comes for such a time, then pauses; 0: no pauses. */
    double idle_s;
    double seconds;
    int tokens;
    uint32_t seed;
} online_run_options;

/** Run and print one name=value a line. @return number of requests that did not come whole. */
int online_run(const online_run_options *options);

#endif
