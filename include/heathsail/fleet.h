/**
 * @file fleet.h
 * Typed forms of what operators, engines and callers say on the fleet surface. The adapter in
 * platform/ turns wire bytes into these and back; nothing else knows how they are spelled.
 */
#ifndef HEATHSAIL_FLEET_H
#define HEATHSAIL_FLEET_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** What a route allows to happen to a request more than once. */
typedef enum {
    HS_ROUTE_NON_IDEMPOTENT,
    HS_ROUTE_IDEMPOTENT,
    HS_ROUTE_STREAMING,
    HS_ROUTE_BATCH,
} hs_route_kind;

/** One share of a route's traffic. */
typedef struct {
    char *service;
    double weight; /**< Relative to the sum over the route's shares; not below 0. */
} hs_route_share;

/** A routing rule: requests of a host under a path prefix. */
typedef struct {
    char *name;
    char *host;
    char *path_prefix;
    hs_route_kind kind;
    GArray *shares; /**< of hs_route_share; at least one. */
    uint32_t timeout_ms;
    uint32_t target_latency_ms;
    uint32_t max_attempts;
    uint32_t priority; /**< 0 is the highest rank. */
    bool resumable;
    uint32_t gap_target_ms;        /**< 0: none. */
    uint32_t completion_target_ms; /**< Batch: when results are due after the submission. */
    uint64_t retention_ms;         /**< Batch: when items may be given up after the submission. */
    uint64_t waiting_tokens_most;  /**< Batch: tokens of a tenant's unfinished items at a time, of
                                        all callers where there are no tenants; 0: no limit. */
    bool is_public;                /**< Callers need no key. */
} hs_fleet_route;

/** A group of interchangeable engines. */
typedef struct {
    char *name;
    char *health_path;
    uint32_t max_connections; /**< To one engine from all daemons; 0: no limit known. */
    uint64_t memory_tokens;   /**< An engine's memory; 0: not a model engine. */
    bool has_moves;           /**< A run's memory can be moved to another engine. */
} hs_fleet_service;

/** A customer whose callers prove by a key that they are its. */
typedef struct {
    char *name;
    GPtrArray *keys; /**< of char*; none: nobody can call as this tenant. */
    bool has_priority;
    uint32_t priority; /**< With has_priority, in place of a route's; 0 is the highest rank. */
    double rate_per_s; /**< Online requests a second over all daemons; 0: no limit. */
    double burst;      /**< Requests above the rate at one time. */
} hs_fleet_tenant;

/** What callers may send. */
typedef struct {
    uint64_t max_header_bytes;
    uint64_t max_body_bytes;
    uint64_t header_timeout_ms;
    uint64_t idle_timeout_ms;
} hs_fleet_limits;

/** One version of the configuration; immutable once made, counted by references. */
typedef struct {
    gint references;
    uint64_t version;
    uint64_t offset;     /**< Its record's place in the store. */
    GPtrArray *routes;   /**< of hs_fleet_route* */
    GPtrArray *services; /**< of hs_fleet_service* */
    bool needs_keys;     /**< It names tenants: what is not public takes one of their keys. */
    GPtrArray *tenants;  /**< of hs_fleet_tenant* */
    GHashTable
        *tenant_by_key;       /**< key -> hs_fleet_tenant*, borrowed; see tenants/tenant_index.h. */
    uint32_t tenants_highest; /**< Highest rank (lowest number) that a tenant has by itself;
                                   UINT32_MAX: none has one. */
    bool has_unranked_callers; /**< Some callers' requests have their route's rank. */
    hs_fleet_limits limits;
} hs_fleet_config;

/** Make an empty configuration with one reference. */
hs_fleet_config *hs_fleet_config_new(void);

/** Take one more reference. */
hs_fleet_config *hs_fleet_config_ref(hs_fleet_config *config);

/** Drop a reference; the last one frees. NULL is allowed. */
void hs_fleet_config_unref(hs_fleet_config *config);

/** What an engine says of itself in the store. */
typedef struct {
    char *id;
    char *service;
    char *zone;
    uint32_t address; /**< IPv4 number in host order. */
    uint16_t port;
    uint32_t slots;
    bool draining;
    uint32_t warmup_left_ms;
    uint64_t born_ms; /**< Wall time of its start, by which two starts under one id differ; 0: not
                           told, and each start has an id of its own. */
} hs_engine_entry;

/** Free the strings of @p entry. */
void hs_engine_entry_clear(hs_engine_entry *entry);

/** A part of a prompt that may be shared between requests. */
typedef struct {
    uint64_t id;
    uint32_t tokens;
} hs_prompt_part;

#define HS_PROMPT_PARTS_MAX 16

/** What a request says of its size. */
typedef struct {
    hs_prompt_part parts[HS_PROMPT_PARTS_MAX];
    uint32_t part_count;
    uint32_t prompt_tokens; /**< 0: not said. */
    uint32_t output_tokens; /**< Upper bound. */
} hs_request_size;

/** An engine's load as it came with an answer. */
typedef struct {
    bool present;
    uint32_t running;
    uint32_t waiting;
    uint32_t slots;
    uint32_t slowdown_percent; /**< How long work takes there at present, 100: as usual; 0: not
                                    told. */
    bool is_slowdown_rejected; /**< It told what no engine can mean: slowdown_percent is 0. */
} hs_engine_load;

/**
 * Bounds in percent of what an engine can mean by its slowdown. A machine that was shared and is
 * not any more gains a few times; at a hundredth of its pace every request there is late, which
 * failures tell anyway.
 */
#define HS_SLOWDOWN_LEAST_PERCENT 10
#define HS_SLOWDOWN_MOST_PERCENT 10000

/** Time from the monotonic clock, in ms, after which nobody waits any more. */
typedef uint64_t hs_deadline;

#endif
