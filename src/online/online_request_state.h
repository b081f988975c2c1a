/** @file online_request_state.h  State of one online request; internal to src/online. */
#ifndef HS_ONLINE_ONLINE_REQUEST_STATE_H
#define HS_ONLINE_ONLINE_REQUEST_STATE_H

#include "online/admission.h"
#include "online/event_stream.h"
#include "online/online_request.h"
#include "online/read_ahead.h"
#include "online/refusal_choice.h"

/** Longest whole response that is read. */
#define HS_ONLINE_MAX_ANSWER_BYTES (16U * 1024 * 1024)

/** Shortest wait after which an engine that does not respond counts as silent. */
#define HS_ONLINE_MIN_SILENCE_MS 1000

typedef struct {
    hs_online *online;
    hs_inbound *inbound;
    hs_fleet_config *config;
    const hs_fleet_route *route;
    const char *service;
    char *tenant;             /**< NULL: no tenant. */
    double used_slots;        /**< Engine slots recently requested by the tenant; 0: unknown. */
    uint64_t checked_version; /**< Configuration version of the latest key check. */
    hs_fleet_config *regions_config; /**< Configuration that regions was made from. */
    bool is_tenant_changed;          /**< Since regions was made. */
    hs_region_policy regions;        /**< Regions where the next attempt may run. */
    char *group;                     /**< See hs_region_policy_group. */
    hs_caller_terms terms;
    char *request_id;
    uint64_t stream_name;   /**< See hs_stream_origins_name; of the attempt that began it. */
    uint64_t software;      /**< That began the stream and has to continue it; 0: none yet. */
    bool is_origin_unknown; /**< What software began the stream is not known for certain. */
    bool is_origin_announced;
    hs_request_contents contents;
    uint64_t trial_content; /**< Of which a trial run was granted; 0: none was. */
    uint32_t rank;          /**< See hs_tenant_rank. */
    uint64_t memory_tokens;
    uint32_t max_connections;
    hs_warmup_limit warmup; /**< Of the service. */
    uint64_t age_ms;  /**< Time since the caller's first attempt, on arrival; see caller_age.h. */
    bool is_on_trial; /**< The content is quarantined, but this request may run once. */
    hs_held_request *held;         /**< NULL: not held now. */
    uint64_t held_since_ms;        /**< Start of the latest hold; 0: never held. */
    uint64_t held_ms;              /**< Total time of the holds that have ended. */
    uint32_t woken;                /**< How often a free slot woke the request. */
    uint32_t tries;                /**< How often the request tried to get a slot. */
    hs_admission_choice admission; /**< Latest admission decision. */
    hs_admission_view admitted_by; /**< Inputs of that decision. */
    bool is_less_urgent;           /**< See hs_fleet_config_is_less_urgent. */
    hs_deadline deadline;
    hs_open_run *open_run;  /**< From the first run on; NULL: none, or not recorded. */
    uint64_t first_byte_ms; /**< Time from arrival to the first body byte; 0: none yet. */
    hs_run_state run;
    uint32_t runs; /**< Attempts that may have run. */
    uint32_t sends;
    bool lost_connection; /**< A connection was lost; use a new one for the next attempt. */
    GPtrArray *excluded;  /**< char *: ids of engines that refused or failed. */
    GPtrArray *unsuited;  /**< char *: ids of those that have other weights than requested. */
    hs_attempt attempt;
    hs_event_stream events;
    GByteArray *ready;       /**< Whole events not yet delivered to the caller. */
    uint64_t retry_after_ms; /**< Expected time until a slot is free; 0: unknown. */
    bool stream_ended;
    hs_stream_state stream; /**< Used if the stream may be read ahead. */
    bool is_end_recorded;
} hs_online_request;

typedef enum { HS_NEXT_RETRY, HS_NEXT_END } hs_next_action;

/** Returns the software version of the attempt's engine, for logs. */
const char *hs_online_version_name(const hs_attempt *attempt);

/** Reports whether the route allows the request to run more than once. */
bool hs_online_may_repeat(const hs_online_request *request);

/** Handles an attempt without a usable response. Sets @p reason with HS_NEXT_END. */
hs_next_action hs_online_after_failure(hs_online_request *request, hs_attempt_end end,
                                       hs_end_reason *reason);

/**
 * Checks the caller's key against the current configuration version, so that requests of a removed
 * key are not sent and those of a key that moved use the new tenant. Logs a refusal and sets
 * @p reason.
 */
bool hs_online_is_still_authorized(hs_online_request *request, hs_end_reason *reason);

/**
 * Makes the request's region policy from the configuration in force and the request's tenant. Keeps
 * the route's regions if the configuration has no route for the request any more.
 */
void hs_online_update_regions(hs_online_request *request);

/**
 * Updates the region policy. If it allows no region, returns false with @p reason: HS_END_BROKEN if
 * the request may have run.
 */
bool hs_online_has_allowed_region(hs_online_request *request, hs_end_reason *reason);

/** Returns the end of a request's log line about its regions; "": not restricted. Free it. */
char *hs_online_describe_regions(const hs_online_request *request);

/**
 * Reports whether a request that has not run must not be sent any more, since this process stops
 * before it would end, or whether the stop has ended the request; sets @p reason.
 */
bool hs_online_is_ended_by_stop(hs_online_request *request, hs_end_reason *reason);

/** Reports whether the request may be sent to an engine, as far as a stop of this process goes. */
bool hs_online_may_send(const hs_online_request *request);

/** Reports whether this process stops. */
bool hs_online_is_stopping(const hs_online_request *request);

/** Returns what ends a wait for an engine: the deadline, the caller, or the end of a stop. */
hs_wait hs_online_wait(const hs_online_request *request);

/** Tries engines until one sends a response head. Returns false and sets @p reason if none does. */
bool hs_online_find_answer(hs_online_request *request, hs_end_reason *reason);

/** Starts or ends the hold of a request; @p is_placed: the hold ends since an engine took it. */
void hs_online_set_held(hs_online_request *request, bool is_held, bool is_placed);

/** Decides whether a request that no engine took is held. Logs a refusal. */
hs_refusal_choice hs_online_choose_refusal(hs_online_request *request);

/** Decides whether the request may try to get a slot; see admission.h. */
void hs_online_admit(hs_online_request *request);

/** Returns the queue priority of a request that waits for a slot. */
hs_queue_priority hs_online_queue_priority(const hs_online_request *request);

/** Sets the service that is to serve the request, and what follows from it. */
void hs_online_use_service(hs_online_request *request, const char *service);

/**
 * For a stream that the caller takes up, finds the software that began it, so that only engines
 * with this software continue it. Returns false with @p reason if it is not known or no engine has
 * it any more. May wait for other daemons and for the list of engines.
 */
bool hs_online_find_origin(hs_online_request *request, hs_end_reason *reason);

/**
 * Called when events of the current attempt were accepted, before they are delivered: from the
 * first one on, only engines with the same software may continue the stream.
 */
void hs_online_note_origin(hs_online_request *request);

/**
 * Returns the reason for a request whose software no engine has, and sets its Retry-After: a
 * crashed engine may come back.
 */
hs_end_reason hs_online_refuse_software(hs_online_request *request);

/** Reports whether no engine is left that has the software which the request needs. */
bool hs_online_is_software_gone(const hs_online_request *request);

/** Reports whether the request is over its tenant's fair share, and sets @p reason. */
bool hs_online_is_over_share(hs_online_request *request, hs_end_reason *reason);

/** Refuses an attempt that was not sent since no engine can serve it in time; sets @p reason. */
void hs_online_refuse_unsent(hs_online_request *request, hs_end_reason *reason);

/** Returns the end reason of the request for a verdict other than HS_REFUSAL_HOLD. */
hs_end_reason hs_online_refusal_reason(const hs_online_request *request,
                                       hs_refusal_verdict verdict);

/** Returns the engine's header fields to forward to the caller. Free with hs_http_fields_free. */
GArray *hs_online_response_fields(const GArray *fields);

/** Records the time of the first body byte; later calls have no effect. */
void hs_online_note_first_byte(hs_online_request *request);

bool hs_online_is_success(uint32_t status);

/** Reports whether the response is a stream that is forwarded event by event. */
bool hs_online_is_stream(const hs_online_request *request);

/** Starts forwarding the stream. The library frees the request when the response ends. */
void hs_online_serve_stream(hs_online_request *request);

/** Reads a stalled stream ahead without blocking, within the memory budget. Its lock is held. */
void hs_online_stream_read_ahead(hs_online_request *request);

/**
 * Ends the stream of the slowest reader by resetting the caller's connection. Returns false if the
 * connection can't be reset. The stream's lock is held.
 */
bool hs_online_stream_drop(hs_online_request *request);

/** Unregisters an ended stream from reading ahead and frees its buffer. */
void hs_online_stream_release(hs_online_request *request);

/** Logs the end of the request once and ends its hold. */
void hs_online_request_record_end(hs_online_request *request, hs_end_reason reason);

/** Frees a request; a GDestroyNotify. */
void hs_online_request_free(gpointer data);

#endif
