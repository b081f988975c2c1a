/**
 * @file sim_desk.h
 * The two deployments of the brief, and the ways of yielding that are compared.
 */
#ifndef TOOLS_LOAD_SIM_DESK_H
#define TOOLS_LOAD_SIM_DESK_H

#include "scheduling/pacing.h"

#include <stdbool.h>
#include <stdint.h>

/** A deployment and its load. Times in milliseconds. */
typedef struct {
    const char *name;
    int engines;
    int zones;
    int edges;              /**< Daemons that callers use, spread over the zones. */
    double zone_delay_ms;   /**< One way between two zones. */
    double local_delay_ms;  /**< One way within a zone. */
    double caller_delay_ms; /**< One way between caller and daemon. */
    double busy_mean_ms;    /**< Counters are busy, then idle, for such times on average. */
    double idle_mean_ms;
    double busy_rate_per_s; /**< Online requests a second while busy. */
    double idle_rate_per_s;
    int prefixes; /**< Shared beginnings of prompts. */
    int prompt_min, prompt_max;
    int answer_min, answer_max;
    int batch_prompt, batch_answer; /**< Tokens of a batch item. */
} sim_desk;

extern const sim_desk sim_desks[];
extern const int sim_desk_count;

/** Who decides about batch, and on what knowledge. */
typedef enum {
    SIM_ONLINE_ALONE, /**< The floor of the tail. */
    SIM_BATCH_ALONE,  /**< The ceiling of throughput. */
    SIM_NO_YIELDING,  /**< Batch fills the engine and has the same priority. */
    SIM_FIXED_CAP,    /**< A constant number of items, lower priority. */
    SIM_LAGGING,      /**< Way A: each edge on its own, from reports a second old. */
    SIM_HOME,         /**< Way B: all traffic passes the engine's home daemon. */
    SIM_CHOSEN,       /**< Way C: one scheduler an engine, told by datagram. */
    SIM_ORACLE,       /**< Sees every arrival and every engine at once. */
    SIM_WAYS
} sim_way;

extern const char *const sim_way_names[SIM_WAYS];

typedef struct {
    const sim_desk *desk;
    sim_way way;
    hs_pacing_settings pacing;
    int fixed_cap;
    bool keep_tokens; /**< A preempted item goes on where it stopped. */
    double seconds;
    uint32_t seed;
} sim_options;

/** Figures of one run. */
typedef struct {
    uint64_t online_requests;
    double first_token_p50_ms, first_token_p95_ms, first_token_p99_ms;
    double gap_p50_ms, gap_p95_ms, gap_p99_ms;
    double batch_items_per_s;
    double batch_tokens_per_s; /**< Tokens of completed items only. */
    uint64_t preemptions;
    double control_bytes_per_s; /**< Of notices, acknowledgements and polls. */
} sim_result;

/** Run one way in virtual time; the same options give the same result. */
sim_result sim_run(const sim_options *options);

#endif
