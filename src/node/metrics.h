/**
 * @file metrics.h
 * Counters and the latency histogram of one daemon, in the Prometheus text format. Thread-safe.
 */
#ifndef HS_NODE_METRICS_H
#define HS_NODE_METRICS_H

#include <glib.h>
#include <stdint.h>

typedef enum {
    HS_COUNT_ONLINE_REQUESTS,
    HS_COUNT_ONLINE_ANSWERED,
    HS_COUNT_ONLINE_REFUSED,
    HS_COUNT_ONLINE_UNKNOWN,
    HS_COUNT_ONLINE_INVALID,
    HS_COUNT_RETRIES,
    HS_COUNT_RESUMES,
    HS_COUNT_FILES_ACCEPTED,
    HS_COUNT_JOBS_ACCEPTED,
    HS_COUNT_JOBS_CANCELLED,
    HS_COUNT_CONFIG_CHANGES,
    HS_COUNT_KINDS,
} hs_counter;

typedef struct {
    GMutex lock;
    uint64_t counters[HS_COUNT_KINDS];
    uint64_t first_token_buckets[16];
    uint64_t first_token_count;
    double first_token_sum_s;
} hs_metrics;

void hs_metrics_init(hs_metrics *metrics);
void hs_metrics_add(hs_metrics *metrics, hs_counter counter, uint64_t amount);

/** Records the time to the first token of an online request. */
void hs_metrics_observe_first_token(hs_metrics *metrics, double seconds);

/** Appends all metrics to @p text. */
void hs_metrics_print(hs_metrics *metrics, GString *text);

/** Appends one gauge to @p text. */
void hs_metrics_print_gauge(GString *text, const char *name, const char *help, double value);

#endif
