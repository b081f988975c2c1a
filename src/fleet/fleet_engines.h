/**
 * @file fleet_engines.h
 * Table of the engines known to this daemon: their entries in the store, their load, their health
 * as observed, and idle connections to them. A request acquires an engine as a lease and releases
 * it when done.
 *
 * All functions are thread-safe. A lease belongs to one request and keeps its engine alive, also
 * after the engine was removed from the table.
 */
#ifndef HS_FLEET_FLEET_ENGINES_H
#define HS_FLEET_FLEET_ENGINES_H

#include "base/topology.h"
#include "fleet/crash_watch.h"
#include "fleet/region_policy.h"
#include "fleet/service_pressure.h"
#include "fleet/warmup_state.h"
#include "heathsail/fleet.h"
#include "http/client_connection.h"

#include <glib.h>

typedef struct hs_fleet_engines hs_fleet_engines;
typedef struct hs_engine_lease hs_engine_lease;

/** Online requests take precedence over batch items. */
typedef enum { HS_WORK_ONLINE, HS_WORK_BATCH } hs_work_class;

/** How an attempt on an engine ended, as far as it concerns the engine's health. */
typedef enum {
    HS_ATTEMPT_SERVED,
    HS_ATTEMPT_FAILED,        /**< A complete answer that reports a failure of the engine. */
    HS_ATTEMPT_REFUSED,       /**< The engine is full and states that it did not run the request. */
    HS_ATTEMPT_WRONG_ENGINE,  /**< Another engine answered at the address. */
    HS_ATTEMPT_OTHER_WEIGHTS, /**< The engine has other weights than the request names. */
    HS_ATTEMPT_UNREACHABLE,   /**< The connection could not be established. */
    HS_ATTEMPT_BROKEN,        /**< The connection was cut, or the answer is malformed. */
    HS_ATTEMPT_SILENT,        /**< No byte arrived for too long. */
    HS_ATTEMPT_DROPPED,       /**< Abandoned by this daemon; says nothing about the engine. */
} hs_attempt_end;

/** Name of an attempt's end, for logs. */
const char *hs_attempt_end_name(hs_attempt_end end);

/** Size of a software version in logs, with the NUL; a longer one is truncated. */
#define HS_LOGGED_VERSION_BYTES 32

/** Figures behind the choice of an engine, for logs. */
typedef struct {
    uint32_t candidates; /**< Engines that could be chosen. */
    uint32_t slots;
    double running;         /**< Estimated requests of all daemons on the engine. */
    double uncached_tokens; /**< Of the prompt. */
    double failure_rate;    /**< Of recent requests, 0 to 1. */
    double pace;            /**< See hs_engine_pace_factor. */
    bool suspected;
    uint64_t listed_age_ms;    /**< Since the store last listed the engine. */
    double load_report_age_ms; /**< Age of the load report used; 0: no relayed reports are used. */
    bool is_any_free;          /**< At least one candidate was estimated to have a free slot. */
    uint64_t software;         /**< Of the engine, see hs_software_id; 0: unknown. */
    char version[HS_LOGGED_VERSION_BYTES]; /**< Of that software; "": unknown. */
} hs_engine_reasons;

/** Request for an engine. Pointers are borrowed. */
typedef struct {
    const char *service;
    const char *tenant; /**< Online: tenant that the run counts for; NULL: none. */
    const hs_request_size *size;
    hs_work_class work;
    const GPtrArray *excluded;     /**< of const char*: ids of engines to skip; may be NULL. */
    hs_interrupt *preemption_flag; /**< Batch: raised to preempt the item; may be NULL. */
    int32_t rank_ms;               /**< Batch: preemption rank; the highest is preempted first. */
    uint64_t memory_tokens;        /**< Configured memory of an engine; 0: unknown. */
    uint32_t max_connections;      /**< To one engine from all daemons; 0: unknown. */
    bool has_wait_limit; /**< Online: skip engines that can't start it in max_start_wait_ms. */
    uint64_t max_start_wait_ms; /**< See hs_engine_choice_can_start_in_time. */
    hs_region_policy regions;   /**< Engines outside of the allowed regions are skipped. */
    hs_warmup_limit warmup;     /**< Of the service, by the configuration. */
    bool excludes_cold;         /**< Skip cold engines without a permit at hand. */
    uint64_t software;          /**< Skip engines with other software; 0: any will do. */
    bool prefers_known_start;   /**< Skip engines with an unknown start if there are others. */
} hs_engine_query;

/** This daemon's share of one engine's load, as announced to other daemons. */
typedef struct {
    uint64_t engine_hash;
    uint32_t online;
    uint32_t batch;
    uint32_t queued_tokens;
    uint32_t ended_permille;  /**< Requests that ended, in thousandths; decays over time. */
    uint32_t failed_permille; /**< Those of ended_permille that failed. */
    bool suspected;
} hs_engine_share;

/** This daemon's use of one engine, as sent to the engine's arbiter. */
typedef struct {
    uint64_t engine_hash;
    uint64_t sequence; /**< Increases with each use, over all engines. */
    uint32_t slots;    /**< Of the engine. */
    uint32_t online;
    uint32_t batch;
    int32_t rank_ms;           /**< Highest preemption rank of the batch items on the engine. */
    uint32_t served;           /**< Requests served so far; wraps. */
    uint32_t failed;           /**< Requests failed so far; wraps. */
    uint32_t queued_tokens;    /**< Of prompts that the engine has not read yet. */
    uint64_t run_events;       /**< Events of runs so far, after the first of each run. */
    uint64_t run_ms;           /**< Time that run_events took. */
    uint32_t slowdown_percent; /**< The engine's last own figure, see hs_engine_load; 0: none. */
    uint32_t slowdown_age_ms;
    bool wants_permit; /**< Requests a permit for one request to the engine, which is cold. */
} hs_engine_use;

/**
 * Called without the table's lock when this daemon's use of an engine changes; @p started: a
 * request starts.
 */
typedef void (*hs_engine_use_observer)(const hs_engine_use *use, bool started, void *user_data);

/** Called without the table's lock when an engine of the service may have a free slot. */
typedef void (*hs_engine_slot_observer)(const char *service, void *user_data);

/** @p zone: of this daemon. */
hs_fleet_engines *hs_fleet_engines_new(const char *zone);

/** Frees the table. No lease may be left. NULL is allowed. */
void hs_fleet_engines_free(hs_fleet_engines *engines);

/**
 * Sets the watch that is notified of ends of runs; NULL: none. Borrowed. To be called before the
 * first request.
 */
void hs_fleet_engines_set_crash_watch(hs_fleet_engines *engines, hs_crash_watch *watch);
hs_crash_watch *hs_fleet_engines_crash_watch(hs_fleet_engines *engines);

/**
 * Sets the zones and regions of the deployment; NULL: no regions. Borrowed. To be called before the
 * first request.
 */
void hs_fleet_engines_set_topology(hs_fleet_engines *engines, const hs_topology *topology);

/** Returns the zones and regions that were set; NULL: none. */
const hs_topology *hs_fleet_engines_topology(const hs_fleet_engines *engines);

/**
 * Returns the region of an engine, or NULL if the engine or its region is unknown or the deployment
 * has fewer than two regions. Owned by the topology.
 */
const char *hs_fleet_engines_region(hs_fleet_engines *engines, uint64_t engine_hash);

/**
 * Has the table avoid the engines of a zone that fails as a whole; see zone_outage.h. To be called
 * before the first engine is added.
 */
void hs_fleet_engines_observe_zones(hs_fleet_engines *engines);

/** Sets whether the daemons of @p zone are lost; see hs_zone_outage_is_member_loss. */
void hs_fleet_engines_set_zone_member_loss(hs_fleet_engines *engines, const char *zone,
                                           bool has_unavailable_members);

/** Appends the metrics of zones to @p text, one per line. */
void hs_fleet_engines_describe_zones(hs_fleet_engines *engines, GString *text);

/** Adds or updates an engine. Takes ownership of the strings of @p entry and clears it. */
void hs_fleet_engines_put(hs_fleet_engines *engines, hs_engine_entry *entry, uint64_t now_ms);

/** Whether the entry belongs to another start than the listed engine of its id. */
bool hs_fleet_engines_is_another_start(hs_fleet_engines *engines, const hs_engine_entry *entry);

/**
 * Removes an engine whose entry expired while the store was available. Unless the engine was
 * draining, the crash watch is notified that it crashed.
 */
void hs_fleet_engines_expire(hs_fleet_engines *engines, const char *id);

/** Removes an engine. */
void hs_fleet_engines_drop(hs_fleet_engines *engines, const char *id);

/**
 * Removes all engines whose ids are not keys of @p listed. If @p until_ms is in the future, they
 * are marked as unlisted and removed at that time unless they are listed again.
 */
void hs_fleet_engines_keep_only(hs_fleet_engines *engines, GHashTable *listed, uint64_t until_ms);

/** Marks an engine as unlisted; it is removed at @p until_ms unless it is listed again. */
void hs_fleet_engines_unlist(hs_fleet_engines *engines, const char *id, uint64_t until_ms);

/**
 * Chooses an engine and counts the request on it. Returns NULL if no engine fits; otherwise the
 * lease is to be released with hs_engine_lease_release.
 */
hs_engine_lease *hs_fleet_engines_acquire(hs_fleet_engines *engines, const hs_engine_query *query);

/** The engine's id; valid until the lease is released. */
const char *hs_engine_lease_id(const hs_engine_lease *lease);

/** Figures behind the choice of the lease's engine. */
hs_engine_reasons hs_engine_lease_reasons(const hs_engine_lease *lease);

/** Response of the engine's arbiter to a new lease, or the lack of one. */
typedef enum {
    HS_LEASE_CONFIRMED, /**< A slot is free, or a batch item is preempted to free one. */
    /** The batch item is to be preempted; an online request would wait for slots or prompts. */
    HS_LEASE_OVERLOADED,
    HS_LEASE_ENGINE_FAILING, /**< Recent requests of all daemons to the engine fail. */
    HS_LEASE_UNCONFIRMED,    /**< The arbiter did not respond in time. */
    HS_LEASE_NOT_PERMITTED,  /**< The engine is cold, and there is no permit for the request. */
} hs_lease_confirmation;

/** Expected service of an online request by the engine of its lease, at the engine's pace. */
typedef struct {
    bool can_start_in_time;  /**< The engine starts the request within the query's limit, if any. */
    bool will_miss_deadline; /**< See hs_engine_choice_will_miss_deadline. */
    double wait_ms;          /**< Until the engine starts the request. */
    double min_first_byte_ms; /**< Shortest recent time to a first byte; 0: unknown. */
    double online;            /**< Requests of all daemons, this one included. */
    double queued_tokens;     /**< Of others' prompts that the engine has not read yet. */
    uint32_t slots;
    double pace; /**< Of the engine. */
} hs_lease_estimate;

/**
 * Estimates how a request whose deadline is @p left_ms from now will be served. More accurate after
 * hs_engine_lease_confirm.
 */
hs_lease_estimate hs_engine_lease_estimate(hs_engine_lease *lease, const hs_engine_query *query,
                                           uint64_t left_ms);

/**
 * Waits up to @p limit_ms for the response of the engine's arbiter to the lease. To be called
 * before the request is sent.
 */
hs_lease_confirmation hs_engine_lease_confirm(hs_engine_lease *lease, uint32_t limit_ms);

/** Which idle connections a request may use. */
typedef struct {
    const char *request_id; /**< None that carried it before: a surplus answer to the earlier
                               attempt would be taken for the answer to this one. NULL: none. */
    uint32_t max_idle_ms;   /**< Those idle for less; 0: none. */
    bool runs_once; /**< None with an answer that named no request: a late copy of such a refusal
                         would be taken for that of this request, which then ran twice. */
} hs_connection_needs;

/** Returns an idle connection that meets @p needs, or a new one; NULL with @p step on failure. */
hs_client_connection *hs_engine_lease_connect(hs_engine_lease *lease,
                                              const hs_connection_needs *needs, const hs_wait *wait,
                                              hs_step *step);

/**
 * Whether a request may be sent under the lease now. False if the engine's zone was evacuated after
 * the lease was acquired, or closed to online requests meanwhile, or if the process was suspended
 * and has not read the store since. To be called right before the request is sent.
 */
bool hs_engine_lease_may_send(hs_engine_lease *lease);

/** Counts an answer that did not resume the run at the event that the request asked for. */
void hs_engine_lease_note_resume_mismatch(hs_engine_lease *lease);

/** What is known of the start of a leased engine; see start_check.h. */
typedef struct {
    bool is_certain;        /**< A connection leads to the start that the entry names. */
    bool is_doubted;        /**< A connection was lost since the entry was written. */
    uint64_t started_at_ms; /**< Unix time, by the entry. */
} hs_engine_start;

/**
 * Returns what is known of an open connection. The start is certain if the entry does not say when
 * the engine started, since each start of such an engine has an id of its own; if the entry was
 * written after the connection was opened; or if it is certain for another connection that is still
 * open.
 */
hs_engine_start hs_engine_lease_start(hs_engine_lease *lease,
                                      const hs_client_connection *connection);

/** Takes the software of the engine for unknown until a newer entry of it is read. */
void hs_engine_lease_note_unknown_start(hs_engine_lease *lease);

/** Counts an answer that was rejected for its bytes. */
void hs_engine_lease_note_invalid_answer(hs_engine_lease *lease);

/**
 * Uses the lease's permit, if any, for the request that is sent now. Returns false if the engine is
 * cold and the lease has no valid permit: the request must not be sent.
 */
bool hs_engine_lease_use_permit(hs_engine_lease *lease);

/** Records the remaining warm-up time that came with an answer of the engine; 0: it is warm. */
void hs_engine_lease_note_warmup(hs_engine_lease *lease, uint32_t warmup_ms);

/** Closes all idle connections to the engine. */
void hs_engine_lease_drop_idle(hs_engine_lease *lease);

/**
 * Returns the longest expected time to the head of an answer to a prompt of @p prompt_tokens, in
 * ms. Returns 0 if too few answers were observed, or if more than half of the slots were taken, so
 * that the request may have to wait. Assumes that nothing of the prompt is cached.
 */
uint32_t hs_engine_lease_head_limit_ms(hs_engine_lease *lease, uint64_t prompt_tokens);

/** Records the arrival of an answer's head. */
void hs_engine_lease_note_head(hs_engine_lease *lease);

/** Records the arrival of bytes from the engine. */
void hs_engine_lease_note_received(hs_engine_lease *lease);

/** Records the arrival of the first token: the engine has read the prompt. */
void hs_engine_lease_note_first_token(hs_engine_lease *lease);

/** Records that the lease's run has made @p events so far, without those of earlier runs. */
void hs_engine_lease_note_events(hs_engine_lease *lease, uint64_t events);

/** Records the load that came with an answer. */
void hs_engine_lease_note_load(hs_engine_lease *lease, const hs_engine_load *load);

/**
 * Notifies the crash watch of the end of a run of @p contents. A complete answer shows that the
 * engine survived the run; a cut run is investigated, unless the engine was leaving.
 * @p is_ended_by_close: see hs_client_connection_is_ended_by_close.
 */
void hs_engine_lease_note_run_end(hs_engine_lease *lease, const hs_request_contents *contents,
                                  hs_attempt_end end, bool is_ended_by_close);

/**
 * Releases the engine and frees the lease. Takes ownership of @p connection (may be NULL): it is
 * kept idle if it is reusable, and closed otherwise.
 */
void hs_engine_lease_release(hs_engine_lease *lease, hs_client_connection *connection,
                             hs_attempt_end end);

/** Slots of a service's eligible engines, and estimated requests of all daemons on them. */
typedef struct {
    uint32_t ready; /**< Eligible engines that are not suspected. */
    uint32_t slots;
    double online;
    double batch;
} hs_service_capacity;

/** State of a service, for deciding on a request that no engine accepted. */
typedef struct {
    bool is_known;    /**< The store's list was read to its end since the start. */
    uint32_t engines; /**< Engines listed and not draining. */
    uint32_t healthy; /**< Those of them that are not suspected. */
    uint32_t slots;   /**< Of the engines that are not suspected. */
    double running;   /**< Estimated requests of all daemons on them, batch items included. */
    double waiting;   /**< Online requests beyond their engine's slots. */
    double run_ms;    /**< Mean time of recent online runs. */
    uint64_t min_first_byte_ms; /**< Shortest recent time to a first byte; 0: unknown. */
    uint64_t next_probe_in_ms;  /**< Time until this daemon may probe the first suspected engine; 0:
                                   at least one engine is not suspected by this daemon. */
    uint64_t absent_ms;         /**< How long the service has had no engine; 0: it has one. */
    uint64_t last_absence_ms;   /**< Length of the previous time without an engine; 0: none. */
    uint64_t listed_age_ms;     /**< Since the store last listed any of the engines. */
    uint32_t evacuated; /**< Engines that get no requests, since their zone is evacuated. They don't
                           count as engines. */
    uint64_t evacuated_ms;      /**< Since the last of these zones was evacuated. */
    uint64_t evacuate_limit_ms; /**< See hs_evacuation_limit_ms; 0 if no engine is evacuated. */
    hs_service_pressure pressure;
} hs_service_outlook;

hs_service_outlook hs_fleet_engines_outlook(hs_fleet_engines *engines, const char *service);

/** Like hs_fleet_engines_outlook, by the engines in allowed regions only. */
hs_service_outlook hs_fleet_engines_outlook_in(hs_fleet_engines *engines, const char *service,
                                               const hs_region_policy *regions);

/** Like hs_fleet_engines_outlook_in, by the engines with @p software only; 0: any. */
hs_service_outlook hs_fleet_engines_outlook_of(hs_fleet_engines *engines, const char *service,
                                               const hs_region_policy *regions, uint64_t software);

/** Whether an engine of the service with this software is listed and not draining. */
bool hs_fleet_engines_has_software(hs_fleet_engines *engines, const char *service,
                                   uint64_t software);

/** Time in ms after which work whose weights no engine had is tried again: engines load weights in
 * seconds. */
#define HS_WEIGHTS_RETRY_MS 1000

/** Whether an engine of the service whose id is not in @p ids (of const char*) is listed and not
 * draining. */
bool hs_fleet_engines_has_other(hs_fleet_engines *engines, const char *service,
                                const GPtrArray *ids);

/** Returns for how long no such engine has been listed; 0: unknown. */
uint64_t hs_fleet_engines_software_absent_ms(hs_fleet_engines *engines, const char *service,
                                             uint64_t software);

/** Where an engine listens, and its software. */
typedef struct {
    uint32_t address; /**< IPv4, in host order. */
    uint16_t port;
    uint64_t software;
    uint64_t started_at_ms; /**< Unix time of the engine's start; 0: unknown. */
} hs_engine_address;

/** Lists the engines of a service: of hs_engine_address. Free with g_array_unref. */
GArray *hs_fleet_engines_list_addresses(hs_fleet_engines *engines, const char *service);

/**
 * Records that the list of engines is known as of @p as_of_ms, a monotonic time. Earlier times than
 * the last one are ignored.
 */
void hs_fleet_engines_note_list_as_of(hs_fleet_engines *engines, uint64_t as_of_ms);

/** Records that engines may have been added and removed again without being listed here. */
void hs_fleet_engines_note_unseen(hs_fleet_engines *engines);

/**
 * Returns the software of all engines that the service had in the HS_MAX_STREAM_AGE_MS up to
 * @p as_of_ms, or 0 if there were several or the list is not known as of that time.
 */
uint64_t hs_fleet_engines_sole_software(hs_fleet_engines *engines, const char *service,
                                        uint64_t as_of_ms);

/**
 * Returns as of when all software of the HS_MAX_STREAM_AGE_MS before is known; 0: engines may have
 * been added and removed unseen.
 */
uint64_t hs_fleet_engines_software_as_of_ms(hs_fleet_engines *engines);

/**
 * Lists the software of each service's engines, including those removed within the last
 * HS_MAX_STREAM_AGE_MS: service -> GArray of uint64_t. Free with g_hash_table_destroy. NULL: the
 * list of engines is not known.
 */
GHashTable *hs_fleet_engines_list_software(hs_fleet_engines *engines);

/**
 * Adds software that engines of the service had before this daemon's start, up to its first list.
 */
void hs_fleet_engines_add_past_software(hs_fleet_engines *engines, const char *service,
                                        uint64_t software);

/**
 * Counts the recent software of the service @p before as past software of @p service too: streams
 * that began there may be taken up here.
 */
void hs_fleet_engines_inherit_software(hs_fleet_engines *engines, const char *service,
                                       const char *before);

/** Records that all software before this daemon's start was added. */
void hs_fleet_engines_note_past_software_added(hs_fleet_engines *engines);

/** Whether an online request may find an engine of the service that is not suspected. */
bool hs_fleet_engines_has_healthy(hs_fleet_engines *engines, const char *service,
                                  const hs_region_policy *regions);

/** Pressure of a service by recent load reports; cached for some ms. */
hs_service_pressure hs_fleet_engines_pressure(hs_fleet_engines *engines, const char *service);

/** Like hs_fleet_engines_pressure, by the engines in allowed regions only. */
hs_service_pressure hs_fleet_engines_pressure_in(hs_fleet_engines *engines, const char *service,
                                                 const hs_region_policy *regions);

/** Metrics of the cached pressures of all services. Free with g_free. */
char *hs_fleet_engines_describe_pressures(hs_fleet_engines *engines);

/** Shortest recent time to a first byte of a service; 0: unknown. */
uint64_t hs_fleet_engines_min_first_byte_ms(hs_fleet_engines *engines, const char *service);

/**
 * Sets the observer of free slots; NULL: none. To be called before the first request or after the
 * last.
 */
void hs_fleet_engines_set_slot_observer(hs_fleet_engines *engines, hs_engine_slot_observer observer,
                                        void *user_data);

hs_service_capacity hs_fleet_engines_capacity(hs_fleet_engines *engines, const char *service);

/** Like hs_fleet_engines_capacity, of the engines in allowed regions only. */
hs_service_capacity hs_fleet_engines_capacity_in(hs_fleet_engines *engines, const char *service,
                                                 const hs_region_policy *regions);

/**
 * Counts an online request of the tenant that arrived at this daemon. Returns the service's share,
 * 0 to 1, of what the tenant requested recently; see hs_tenant_runs_note_request.
 */
double hs_fleet_engines_note_tenant_request(hs_fleet_engines *engines, const char *service,
                                            const char *tenant);

/** Slot time in ms that the tenant's online requests to this daemon have requested so far. */
uint64_t hs_fleet_engines_tenant_requested_ms(hs_fleet_engines *engines, const char *tenant);

/**
 * Preempts batch items of this daemon on engines whose requests have exceeded their slots for a
 * while, in proportion to this daemon's share of the engine's batch items. A fallback for arbiters
 * that do not respond. Returns how many items were preempted.
 */
uint32_t hs_fleet_engines_preempt_excess(hs_fleet_engines *engines);

/** This daemon's load on all engines: of hs_engine_share. Free with g_array_free. */
GArray *hs_fleet_engines_own_shares(hs_fleet_engines *engines);

/** Load of another daemon, as announced by it. */
typedef struct {
    const GArray *shares;   /**< of hs_engine_share; borrowed. */
    uint64_t batch_work_ms; /**< See hs_fleet_engines_set_batch_work. */
    bool runs_batch;        /**< The daemon owns partitions of jobs. */
} hs_peer_report;

/** Stores another daemon's load in place of the previous one. */
void hs_fleet_engines_put_peer_report(hs_fleet_engines *engines, const char *peer,
                                      const hs_peer_report *report, uint64_t now_ms);

/** Sets the slot time in ms needed by this daemon's batch items planned to meet their targets. */
void hs_fleet_engines_set_batch_work(hs_fleet_engines *engines, uint64_t work_ms);
uint64_t hs_fleet_engines_batch_work(hs_fleet_engines *engines);

/** Sum of the batch work of all other daemons, estimated for those that sent no recent load. */
double hs_fleet_engines_peers_batch_work(hs_fleet_engines *engines);

/**
 * Sets the observer of this daemon's uses of engines; NULL: none. To be called before the first
 * request or after the last.
 */
void hs_fleet_engines_set_use_observer(hs_fleet_engines *engines, hs_engine_use_observer observer,
                                       void *user_data);

/**
 * This daemon's uses of all engines that have its requests or had them recently: of hs_engine_use.
 * Free with g_array_free.
 */
GArray *hs_fleet_engines_own_uses(hs_fleet_engines *engines);

/** Decision of an engine's arbiter on a request for a permit. */
typedef enum { HS_PERMIT_NONE, HS_PERMIT_GRANTED, HS_PERMIT_DENIED } hs_permit;

/** Load report of an engine's arbiter: the load of all daemons on the engine, and its health. */
typedef struct {
    uint64_t engine_hash;
    uint32_t online; /**< Requests of all daemons, the receiver included. */
    uint32_t batch;
    uint32_t queued_tokens;    /**< Of prompts that the engine has not read yet. */
    bool is_failing;           /**< Requests should avoid the engine; see engine_health.h. */
    uint32_t event_us;         /**< Mean time of an event in all daemons' runs; 0: unknown. */
    uint32_t slowdown_percent; /**< The engine's last own figure, see hs_engine_load; 0: none. */
    uint32_t slowdown_age_ms;
    uint32_t age_ms;          /**< Of the uses in the report. */
    hs_permit permit;         /**< For the receiver alone, never relayed. */
    uint32_t permit_valid_ms; /**< Granted: time from the request for it. */
    uint32_t permit_retry_ms; /**< Denied: time until the next request; 0: it was not requested. */
} hs_engine_load_report;

/**
 * Stores an arbiter's response to this daemon, and wakes hs_engine_lease_confirm. A response of age
 * HS_ENGINE_REPORT_RECENT_MS or more may lack the uses of some daemons: beside its weight by age it
 * only raises the estimated load, and is not relayed if it does.
 */
void hs_fleet_engines_put_report(hs_fleet_engines *engines, const hs_engine_load_report *report);

/**
 * Stores a report that another daemon relayed, or that this daemon made as the arbiter, if it is
 * newer than the last known one. Does not count as a response to this daemon.
 */
void hs_fleet_engines_put_relayed_report(hs_fleet_engines *engines,
                                         const hs_engine_load_report *report);

/** Whether the fleet is large enough for load reports to be relayed; see engine_words.h. */
bool hs_fleet_engines_is_relaying_reports(hs_fleet_engines *engines);

/**
 * Excludes the reports at hand from those that are relayed, as they were made while this daemon was
 * suspended or disconnected.
 */
void hs_fleet_engines_hold_reports(hs_fleet_engines *engines);

/** Valid load reports with their ages: of hs_engine_load_report. Free with g_array_free. */
GArray *hs_fleet_engines_list_reports(hs_fleet_engines *engines);

/** Reports whether any service has or had a limit of cold engines. */
bool hs_fleet_engines_has_warmup_limits(hs_fleet_engines *engines);

/** Sets the warm-up limits of the services of a configuration: of hs_fleet_service*. */
void hs_fleet_engines_set_warmup_limits(hs_fleet_engines *engines, const GPtrArray *services);

/** What an arbiter knows of an engine's warm-up. */
typedef struct {
    bool is_cold;
    double per_s; /**< Limit of a cold engine; 0: none, or the engine is unknown. */
} hs_engine_coldness;

hs_engine_coldness hs_fleet_engines_coldness(hs_fleet_engines *engines, uint64_t engine_hash);

/** Metrics of cold engines and permits. Free with g_free. */
char *hs_fleet_engines_describe_warmup(hs_fleet_engines *engines);

/** Counts reports that this daemon relayed, and their bytes. */
void hs_fleet_engines_count_relayed_reports(hs_fleet_engines *engines, size_t reports,
                                            size_t bytes);

/**
 * Preempts up to @p count batch items of this daemon on an engine, highest rank first. Returns how
 * many were preempted.
 */
uint32_t hs_fleet_engines_preempt_items(hs_fleet_engines *engines, uint64_t engine_hash,
                                        uint32_t count);

/**
 * Sets the number of other daemons, and how many of them run batch items. Daemons that sent no
 * recent load are assumed to have the mean load.
 */
void hs_fleet_engines_set_peers(hs_fleet_engines *engines, uint32_t peers, uint32_t batch_peers);

/**
 * Closes idle connections that engines have closed or are about to close, and removes unlisted
 * engines whose removal is due.
 */
void hs_fleet_engines_prune(hs_fleet_engines *engines);

/** Metrics of all engines. Free with g_free. */
char *hs_fleet_engines_describe(hs_fleet_engines *engines);

/** Attempts so far for which no connection to the engine could be established. */
uint64_t hs_fleet_engines_failed_connect_count(hs_fleet_engines *engines);

/** Connections to engines opened so far. */
uint64_t hs_fleet_engines_opened_connection_count(hs_fleet_engines *engines);

/** Answers so far that did not resume the run at the event that the request asked for. */
uint64_t hs_fleet_engines_resume_mismatch_count(hs_fleet_engines *engines);

/** Answers so far that were rejected for their bytes. */
uint64_t hs_fleet_engines_invalid_answer_count(hs_fleet_engines *engines);

#endif
