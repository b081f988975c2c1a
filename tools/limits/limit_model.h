/**
 * @file limit_model.h
 * Simulates tenants' rate limits over many daemons to compare strategies of enforcing them, with
 * load waves, one tenant above its mean load, and daemons that are killed or disconnected. Runs are
 * reproducible by seed.
 */
#ifndef TOOLS_LIMITS_LIMIT_MODEL_H
#define TOOLS_LIMITS_LIMIT_MODEL_H

#include <stdbool.h>
#include <stdint.h>

typedef enum {
    LIMIT_STRATEGY_EQUAL_SHARES, /**< Each daemon has an equal share and what others report as
                                    unused. */
    LIMIT_STRATEGY_LEASES,       /**< The limit owner grants allowances that expire. */
    LIMIT_STRATEGY_OWNER, /**< The limit owner decides each request (src/tenants/limit_book). */
    LIMIT_STRATEGY_COUNT,
} limit_strategy;

/** A fault; times in ms from the start of the run. */
typedef struct {
    uint64_t at_ms;
    uint64_t for_ms;
    enum {
        LIMIT_FAULT_KILL,
        LIMIT_FAULT_DISCONNECT /**< The daemon reaches engines but no other daemon. */
    } kind;
    double share; /**< Probability (0 to 1) of each daemon to be affected. */
} limit_fault;

typedef struct {
    limit_strategy way;
    uint32_t daemons;
    uint32_t tenants;
    double requests_per_s; /**< Mean of all tenants together. */
    double limit_factor;   /**< A tenant's limit divided by its mean load. */
    bool has_load_wave;  /**< Cycles of 0.391 times the mean for 3.6 s and 1.91 times for 2.4 s. */
    uint32_t hot_tenant; /**< Index by size, 0 the largest; its load is multiplied by
                            hot_load_factor from 8 s on. */
    double hot_load_factor; /**< 1: no hot tenant. */
    uint64_t hot_duration_ms;
    uint64_t run_length_ms;
    const limit_fault *faults;
    uint32_t fault_count;
    uint32_t seed;
} limit_scenario;

typedef struct {
    /** Largest ratio of passed to allowed requests in any 5 s, over all tenants. */
    double max_window_ratio;
    double refused_share; /**< Refused share of the requests within their tenant's limit. */
    uint64_t requests;
    double datagrams_per_s; /**< Sent and received, mean per daemon. */
} limit_outcome;

limit_outcome limit_model_run(const limit_scenario *scenario);

/** Returns the name for output; static. */
const char *limit_strategy_name(limit_strategy way);

#endif
