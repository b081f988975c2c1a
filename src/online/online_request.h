/**
 * @file online_request.h
 * Serves one online request: attempts at engines and the response to the caller.
 *
 * The status of the daemon's own responses follows from the end reason (end_reason.c): 429, 503,
 * 408 and 421 promise the caller that the request did not run. Functions are thread-safe.
 */
#ifndef HS_ONLINE_ONLINE_REQUEST_H
#define HS_ONLINE_ONLINE_REQUEST_H

#include "base/drain.h"
#include "fleet/config_source.h"
#include "fleet/engine_attempt.h"
#include "fleet/stream_origins.h"
#include "http/listener.h"
#include "online/caller_age.h"
#include "online/fair_levels.h"
#include "online/held_requests.h"
#include "online/read_ahead.h"
#include "online/refusal_choice.h"
#include "online/run_lengths.h"
#include "platform/caller_codec.h"

/** Why a request ended. Each reason has one status and one text, see end_reason.c. */
typedef enum {
    HS_END_SERVED,        /**< The engine's whole response was forwarded. */
    HS_END_ENGINE_STATUS, /**< An error status of the engine was forwarded. */
    HS_END_NO_CONFIG,     /**< No configuration has been received yet. */
    HS_END_NO_ROUTE,
    HS_END_KEY_MISSING,   /**< The route requires a key and the request has none. */
    HS_END_KEY_UNKNOWN,   /**< The key belongs to no tenant. */
    HS_END_KEY_MALFORMED, /**< More than one key, or a key of invalid characters or length. */
    HS_END_KEYS_STALE,    /**< The list of valid keys is older than max_key_age_ms. */
    HS_END_OVER_LIMIT,    /**< Over the tenant's rate limit. */
    HS_END_OVER_SHARE,    /**< Over the tenant's fair share of a service short of slots. */
    HS_END_TOO_LARGE,     /**< The request body is too large. */
    HS_END_NO_MEMORY,     /**< The daemon is short of memory. */
    HS_END_NO_ENGINE,     /**< The service has no usable engine. */
    HS_END_EVACUATED,     /**< All engines of the service are in evacuated zones. */
    /** Route and tenant allow no region in common, or none that the settings name. */
    HS_END_NO_ALLOWED_REGION,
    /** The service has no usable engine in an allowed region. */
    HS_END_NO_ENGINE_IN_REGION,
    HS_END_FULL,            /**< All engines are full. */
    HS_END_UNREACHABLE,     /**< No connection to any engine succeeded. */
    HS_END_VERSION_GONE,    /**< No engine has the software version that began the stream. */
    HS_END_VERSION_UNKNOWN, /**< It is not known which software version began the stream. */
    HS_END_OTHER_WEIGHTS,   /**< No engine has the weights that the request names. */
    HS_END_QUARANTINED,     /**< Requests of this content crashed engines. */
    HS_END_BROKEN,          /**< Response cut or invalid; the request may have run. */
    HS_END_LATE,            /**< The deadline passed; the request may have run. */
    HS_END_LATE_NOT_RUN,    /**< The deadline passed; the request did not run. */
    HS_END_CALLER_GONE,     /**< The caller closed its connection. */
    HS_END_STREAM_BROKEN,   /**< A started stream was cut and could not be resumed. */
    HS_END_STREAM_LATE,     /**< The deadline passed during the stream. */
    HS_END_READER_SLOW,     /**< Memory was critical and this caller read slowest. */
    HS_END_STOPPING,        /**< The process stops before the request could end; not run. */
    HS_END_STOPPED,         /**< The process stopped before the answer; it may have run. */
    HS_END_STREAM_STOPPED,  /**< The process stopped during the stream. */
    HS_END_REASON_COUNT,
} hs_end_reason;

/** Returns the name of a reason in logs and metrics. */
const char *hs_end_reason_name(hs_end_reason reason);

/** Returns the HTTP status of the daemon's own response; 0: the connection is closed instead. */
uint32_t hs_end_reason_status(hs_end_reason reason);

/** Counters of ended requests, for metrics. Shared by threads, protected by the lock. */
typedef struct {
    GMutex lock;
    uint64_t ended[HS_END_REASON_COUNT];
    uint64_t refused[HS_REFUSAL_VERDICT_COUNT]; /**< Requests not held for a slot. */
    uint64_t attempts;
    uint64_t resumed;
    uint64_t first_byte_buckets[16]; /**< Bucket i: up to 2^i ms; the last: all above. */
} hs_online_counters;

/** Context of all online requests. The pointers are borrowed. */
typedef struct {
    hs_config_source *config;
    hs_fleet_engines *engines;
    hs_online_counters counters;
    hs_caller_ages *ages;
    hs_run_lengths *run_lengths; /**< NULL: unknown. */
    hs_held_requests *held;
    hs_read_ahead *read_ahead; /**< NULL: nothing is read ahead. */
    hs_fair_shares *fair_shares;
    hs_stream_origins *origins; /**< NULL: streams taken up by callers are not looked up. */
    /** Max age of the list of valid keys; 0: no limit. With a limit, streams of a key that is
     * removed are ended. */
    uint64_t max_key_age_ms;
    hs_drain *drain;    /**< NULL: the process is never stopped in order. */
    gint split_counter; /**< Distributes requests over the shares of a split route. */
} hs_online;

/** Returns whether the list of valid keys is recent enough; see hs_online. */
bool hs_online_has_recent_keys(const hs_online *online);

/** Route and tenant of a request, borrowed from @c config, to which this holds a reference. */
typedef struct {
    hs_fleet_config *config;
    const hs_fleet_route *route;
    const hs_fleet_tenant *tenant; /**< NULL: no tenant. */
    double used_slots; /**< Engine slots recently requested by the tenant; 0: unknown. */
} hs_online_access;

/** Serves a request to which access was granted. Takes over the reference to the configuration. */
void hs_online_serve(hs_online *online, hs_inbound *inbound, const hs_caller_terms *terms,
                     const hs_online_access *access);

/**
 * Responds with the daemon's own status and text for @p reason and counts the end. Responses with
 * status 429 or 503 tell the caller to retry after @p retry_after_ms.
 */
void hs_online_refuse(hs_online *online, hs_inbound *inbound, hs_end_reason reason,
                      uint64_t retry_after_ms);

/** Counts an ended request and its time to the first byte (0: no byte). */
void hs_online_count_end(hs_online *online, hs_end_reason reason, uint64_t first_byte_ms);

/** Counts a request that was not held for a slot. */
void hs_online_count_refusal(hs_online *online, hs_refusal_verdict verdict);

/** Returns the service for the next request of @p route, by the weights of the shares. Borrowed. */
const char *hs_online_pick_service(hs_online *online, const hs_fleet_route *route);

#endif
