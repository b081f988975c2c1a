/**
 * @file limit_model.h
 * A model of tenants' limits over many daemons, to compare ways of keeping them: requests by
 * chance at daemons by chance, loads in squares, one tenant at many times its usual, and daemons
 * that are killed, cut off or started. One process, no network; seeded, so that a run repeats.
 */
#ifndef TOOLS_LIMITS_LIMIT_MODEL_H
#define TOOLS_LIMITS_LIMIT_MODEL_H

#include <stdbool.h>
#include <stdint.h>

typedef enum {
    LIMIT_WAY_SHARES, /**< Each daemon has its equal share, and what it hears others leave unused.
                       */
    LIMIT_WAY_LEASES, /**< A home hands out allowances for a while, which lapse. */
    LIMIT_WAY_ASK,    /**< Each request asks the home (src/tenants/limit_book). */
    LIMIT_WAY_COUNT,
} limit_way;

/** What happens; times in ms of the run. */
typedef struct {
    uint64_t at_ms;
    uint64_t for_ms;
    enum {
        LIMIT_KILL,
        LIMIT_CUT
    } kind;       /**< A daemon that is cut off reaches engines, no daemon. */
    double share; /**< Of the daemons. */
} limit_fault;

typedef struct {
    limit_way way;
    uint32_t daemons;
    uint32_t tenants;
    double requests_per_s; /**< Of all tenants together, in the mean. */
    double limit_share;    /**< A tenant's limit over its mean. */
    bool is_square;        /**< 0.391 times the mean for 3.6 s, then 1.91 times for 2.4 s. */
    uint32_t hot_tenant; /**< By size, 0 the largest; sends hot_share times its mean from 8 s on. */
    double hot_share;    /**< 1: no tenant does. */
    uint64_t hot_ms;     /**< For how long. */
    uint64_t length_ms;
    const limit_fault *faults;
    uint32_t fault_count;
    uint32_t seed;
} limit_case;

typedef struct {
    double worst_window;  /**< Most passed in any 5 s over what is allowed there, over tenants. */
    double refused_share; /**< Of requests within their tenant's limit, refused. */
    uint64_t requests;
    double datagrams_per_s; /**< Sent and received, of a daemon in the mean. */
} limit_outcome;

limit_outcome limit_model_run(const limit_case *what);

const char *limit_way_name(limit_way way);

#endif
