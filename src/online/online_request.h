/**
 * @file online_request.h
 * One online request: route, attempts at engines, and the answer to its caller.
 *
 * The status sent to the caller is chosen in one place, from why the request ended and what is
 * known of its run: 429, 503, 408 and 421 promise that it did not run.
 */
#ifndef HS_ONLINE_ONLINE_REQUEST_H
#define HS_ONLINE_ONLINE_REQUEST_H

#include "fleet/config_source.h"
#include "fleet/engine_attempt.h"
#include "http/listener.h"
#include "online/caller_age.h"
#include "online/fair_levels.h"
#include "online/held_requests.h"
#include "online/read_ahead.h"
#include "online/refusal_choice.h"
#include "platform/caller_codec.h"

/** Why a request ended; each has one status and one text, see the table in end_reason.c. */
typedef enum {
    HS_END_SERVED,        /**< The engine's whole answer was passed on. */
    HS_END_ENGINE_STATUS, /**< The engine's own failure was passed on. */
    HS_END_NO_CONFIG,     /**< No configuration is known yet. */
    HS_END_NO_ROUTE,      /**< No route matches. */
    HS_END_KEY_MISSING,   /**< The route takes a key, and none was given. */
    HS_END_KEY_UNKNOWN,   /**< No tenant has the key. */
    HS_END_KEY_MALFORMED, /**< More than one key, or one that cannot be a key. */
    HS_END_KEYS_UNSURE,   /**< Which keys are in force has not been heard for too long. */
    HS_END_OVER_LIMIT,    /**< Beyond its tenant's limit. */
    HS_END_OVER_SHARE,    /**< Beyond its tenant's share of a service that is short of places. */
    HS_END_TOO_LARGE,     /**< The body is over the limit. */
    HS_END_NO_MEMORY,     /**< This daemon keeps too much for others. */
    HS_END_NO_ENGINE,     /**< The service has no engine that may be sent to. */
    HS_END_FULL,          /**< Every engine refused. */
    HS_END_UNREACHABLE,   /**< No engine could be connected to. */
    HS_END_HELD_BACK,     /**< Engines crashed under requests of its content. */
    HS_END_BROKEN,        /**< An engine's answer broke; it may have run. */
    HS_END_LATE,          /**< The deadline passed; it may have run. */
    HS_END_LATE_NOT_RUN,  /**< The deadline passed before it ran. */
    HS_END_CALLER_GONE,   /**< The caller left. */
    HS_END_STREAM_BROKEN, /**< The stream broke after it had begun, and could not go on. */
    HS_END_STREAM_LATE,   /**< The deadline passed within the stream. */
    HS_END_READER_SLOW,   /**< Memory was critical, and its caller read slowest. */
    HS_END_REASON_COUNT,
} hs_end_reason;

/** Name of a reason, for logs and metrics. */
const char *hs_end_reason_name(hs_end_reason reason);

/** Status of an own answer; 0: the connection is closed. */
uint32_t hs_end_reason_status(hs_end_reason reason);

/** Counters of ended requests by reason, and times in ms, for metrics. Shared by threads. */
typedef struct {
    GMutex lock;
    uint64_t ended[HS_END_REASON_COUNT];
    uint64_t refused[HS_REFUSAL_VERDICT_COUNT]; /**< Requests that were not held, by verdict. */
    uint64_t attempts;
    uint64_t resumed;
    uint64_t first_byte_buckets[16]; /**< Powers of two from 1 ms; the last holds the rest. */
} hs_online_counters;

/** What online requests work with. All borrowed. */
typedef struct {
    hs_config_source *config;
    hs_fleet_engines *engines;
    hs_online_counters counters;
    hs_caller_ages *ages;
    hs_held_requests *held;
    hs_read_ahead *read_ahead; /**< NULL: no memory budget, nothing is read ahead. */
    hs_fair_shares *levels;
    uint64_t keys_hold_ms; /**< How long keys hold without the store's word; 0: for good. Where they
                                do not, streams of a key that was taken away end. */
    gint split_turn;       /**< Spreads requests over the shares of a split route. */
} hs_online;

/** Where a request goes and whose it is. Borrowed from @c config but for that reference. */
typedef struct {
    hs_fleet_config *config;
    const hs_fleet_route *route;
    const hs_fleet_tenant *tenant; /**< NULL: nobody's. */
    double used_slots; /**< Engines' slots that the tenant asks for of late; 0: not known. */
} hs_online_access;

/** Serve a request to which access was granted; takes the reference of its configuration. */
void hs_online_serve(hs_online *online, hs_inbound *inbound, const hs_caller_terms *terms,
                     const hs_online_access *access);

/** Answer with our own status for @p reason, and count it. */
void hs_online_refuse(hs_online *online, hs_inbound *inbound, hs_end_reason reason,
                      uint64_t retry_after_ms);

/** Count an end and a time to the first byte (0: none). */
void hs_online_count(hs_online *online, hs_end_reason reason, uint64_t first_byte_ms);

/** Count a request that was not held, by why. */
void hs_online_count_refusal(hs_online *online, hs_refusal_verdict verdict);

/** Service that takes the next request of @p route, by the weights of its shares. Borrowed. */
const char *hs_online_pick_share(hs_online *online, const hs_fleet_route *route);

#endif
