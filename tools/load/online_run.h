/**
 * @file online_run.h
 * Open-loop online load: requests are sent at scheduled times regardless of earlier responses, and
 * latency counts from the scheduled time.
 */
#ifndef TOOLS_LOAD_ONLINE_RUN_H
#define TOOLS_LOAD_ONLINE_RUN_H

#include <stdint.h>

typedef struct {
    const char *callers; /**< Comma-separated URLs, used in turn. */
    const char *model;
    double rate_per_s;
    double busy_s; /**< Load time in each cycle; 0: no pauses. */
    double idle_s; /**< Pause after each busy_s. */
    double seconds;
    int tokens; /**< Per response. */
    uint32_t seed;
} online_run_options;

/**
 * Runs the load and prints name=value lines. Blocks until all requests have ended.
 * @return number of requests without a complete response.
 */
int online_run(const online_run_options *options);

#endif
