/**
 * @file fleet.h
 * Data types of the fleet surface: the configuration, engine entries, request sizes and engine
 * load. The codecs in platform/ convert them from and to the wire formats. Only the reference count
 * of hs_fleet_config is thread-safe; the other types have no synchronisation.
 */
#ifndef HEATHSAIL_FLEET_H
#define HEATHSAIL_FLEET_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** How requests of a route are executed and whether an execution may be repeated. */
typedef enum {
    HS_ROUTE_NON_IDEMPOTENT,
    HS_ROUTE_IDEMPOTENT,
    HS_ROUTE_STREAMING,
    HS_ROUTE_BATCH,
} hs_route_kind;

/** The share of a route's traffic that a service gets. */
typedef struct {
    char *service;
    double weight; /**< At least 0; relative to the sum over the route's shares. */
} hs_route_share;

/** A routing rule for requests to a host under a path prefix. */
typedef struct {
    char *name;
    char *host;
    char *path_prefix;
    hs_route_kind kind;
    GArray *shares; /**< Of hs_route_share; at least one. */
    uint32_t timeout_ms;
    uint32_t target_latency_ms;
    uint32_t max_attempts;
    uint32_t priority;             /**< 0 is the highest rank. */
    bool resumable;                /**< A stream can be resumed after its connection broke. */
    uint32_t gap_target_ms;        /**< Target time between events of a stream; 0: none. */
    uint32_t completion_target_ms; /**< Batch: time from submission until results are due. */
    uint64_t retention_ms;         /**< Batch: time from submission until items may be dropped. */
    uint64_t max_queued_tokens;    /**< Batch: limit of the tokens in a tenant's unfinished items,
                                          or in all callers' if there are no tenants; 0: no limit. */
    bool is_public;                /**< Callers need no key. */
    uint64_t sole_since_ms;        /**< Monotonic time at which the only service became the one of
                                          all the route's requests; 0: before the first version. */
    GPtrArray
        *allowed_regions; /**< Of char*: where requests may be served and stored; NULL: all. */
} hs_fleet_route;

/** A group of interchangeable engines. */
typedef struct {
    char *name;
    char *health_path;
    uint32_t max_connections; /**< Limit per engine over all daemons; 0: unknown. */
    uint64_t memory_tokens;  /**< Capacity of an engine's key-value cache; 0: not a model engine. */
    bool supports_migration; /**< The state of a run can be moved to another engine. */
    uint32_t warmup_ms;      /**< Time for which a started engine is cold; 0: engines start warm. */
    double warmup_per_s;     /**< Requests per second that a cold engine can handle; 0: no limit. */
} hs_fleet_service;

/** A customer. Callers authenticate as the tenant by one of the tenant's keys. */
typedef struct {
    char *name;
    GPtrArray *keys; /**< Of char*; empty: no caller can authenticate as this tenant. */
    bool has_priority;
    uint32_t priority; /**< If has_priority: replaces the route's; 0 is the highest rank. */
    double rate_per_s; /**< Limit of online requests over all daemons; 0: no limit. */
    double burst;      /**< Requests above the rate that are admitted at once. */
    GPtrArray *allowed_regions; /**< As of a route; if both are limited, both apply. */
} hs_fleet_tenant;

/** Limits on requests and connections of callers. */
typedef struct {
    uint64_t max_header_bytes;
    uint64_t max_body_bytes;
    uint64_t header_timeout_ms;
    uint64_t idle_timeout_ms;
} hs_fleet_limits;

/** One version of the configuration. Reference-counted; immutable once published. */
typedef struct {
    gint references;
    uint64_t version;
    uint64_t offset;     /**< Offset of the configuration record in the store. */
    GPtrArray *routes;   /**< Of hs_fleet_route*. */
    GPtrArray *services; /**< Of hs_fleet_service*. */
    bool needs_keys;     /**< Routes that are not public require a tenant's key. */
    GPtrArray *tenants;  /**< Of hs_fleet_tenant*. */
    GHashTable
        *tenant_by_key; /**< Key -> hs_fleet_tenant*, borrowed; see tenants/tenant_index.h. */
    uint32_t highest_tenant_priority; /**< Lowest number among the tenants' priorities; UINT32_MAX:
                                   no tenant has a priority. */
    bool has_unranked_callers; /**< Some callers' requests use the priority of their route. */
    hs_fleet_limits limits;
} hs_fleet_config;

/** Returns an empty configuration with one reference. */
hs_fleet_config *hs_fleet_config_new(void);

/** Adds a reference. Returns @p config. */
hs_fleet_config *hs_fleet_config_ref(hs_fleet_config *config);

/** Drops a reference and frees the configuration with the last one. @p config may be NULL. */
void hs_fleet_config_unref(hs_fleet_config *config);

/** The entry that an engine publishes about itself in the store. */
typedef struct {
    char *id;
    char *service;
    char *zone;
    char *version;    /**< Of the engine's software; NULL: unknown. */
    uint32_t address; /**< IPv4 number in host order. */
    uint16_t port;
    uint32_t slots;
    bool draining;
    uint32_t warmup_left_ms;
    uint64_t started_at_ms; /**< Wall-clock start time, which distinguishes two starts under one id;
                           0: not reported, each start then has a new id. */
} hs_engine_entry;

/** Frees the strings of @p entry and zeroes the struct. */
void hs_engine_entry_clear(hs_engine_entry *entry);

/** A part of a prompt that several requests may share. */
typedef struct {
    uint64_t id;
    uint32_t tokens;
} hs_prompt_part;

#define HS_MAX_PROMPT_PARTS 64

/** The size that a request declares. */
typedef struct {
    hs_prompt_part parts[HS_MAX_PROMPT_PARTS];
    uint32_t part_count;
    bool has_more_parts;    /**< The prompt has parts beyond HS_MAX_PROMPT_PARTS. */
    uint32_t prompt_tokens; /**< 0: not declared. */
    uint32_t output_tokens; /**< Upper bound. */
} hs_request_size;

/** The load that an engine reports in a response. */
typedef struct {
    bool present;
    uint32_t running;
    uint32_t waiting;
    uint32_t slots;
    uint32_t slowdown_percent; /**< Current execution time relative to normal, which is 100; 0: not
                                    reported. */
    bool is_slowdown_rejected; /**< The reported value was invalid: slowdown_percent is 0. */
} hs_engine_load;

/**
 * Range of valid slowdown reports; values outside are rejected. A machine that is no longer shared
 * gains a few times its pace; at a hundredth of it every request is late, which failures show.
 */
#define HS_MIN_SLOWDOWN_PERCENT 10
#define HS_MAX_SLOWDOWN_PERCENT 10000

/** A point in time of hs_clock_monotonic_ms, in ms, at which a wait ends. */
typedef uint64_t hs_deadline;

#endif
