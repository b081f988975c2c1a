/**
 * @file fleet_engine.h
 * Internal state of the engine table, shared by the files that implement fleet_engines.h. Callers
 * of the functions below hold the table's lock, except where a comment says otherwise.
 */
#ifndef HS_FLEET_FLEET_ENGINE_H
#define HS_FLEET_FLEET_ENGINE_H

#include "fleet/engine_choice.h"
#include "fleet/engine_pace.h"
#include "fleet/engine_ring.h"
#include "fleet/evacuation.h"
#include "fleet/fleet_engines.h"
#include "fleet/prefix_index.h"
#include "fleet/software_history.h"
#include "fleet/zone_outage.h"
#include "tenants/tenant_runs.h"

/** Start times of own requests kept per engine, to determine which of them a load report includes.
 */
#define HS_MAX_RECENT_STARTS 8

/** Warm-up of an engine, and this daemon's permits for requests to it while it is cold. */
typedef struct {
    hs_warmup_state state;
    uint64_t requested_ms;    /**< When the arbiter was asked for a permit; 0: no answer is due. */
    uint64_t denied_until_ms; /**< The next request for a permit is made after this time. */
    uint64_t permit_until_ms; /**< End of a granted permit that no lease has taken; 0: none. */
    bool is_awaited;          /**< A lease waits for the verdict. */
    bool is_logged_cold;
} hs_engine_warmup;

/** Longest time from the writing of an entry until a daemon reads it from the store. */
#define HS_ENTRY_DELAY_MS 600

/** Counters of permits for requests to cold engines. */
typedef struct {
    uint64_t granted;
    uint64_t denied;
    uint64_t unanswered;
    uint64_t used;
    uint64_t expired; /**< Granted, but not used in time. */
} hs_permit_counters;

/** One engine. Counts are of this daemon's requests unless a comment says otherwise. */
typedef struct {
    hs_engine_entry entry;
    uint64_t software; /**< See hs_software_id. */
    uint64_t hash;
    gint references; /**< One of the table and one per lease. */
    bool listed;
    bool has_restarted;        /**< Another start has taken over the engine's id. */
    uint64_t removal_at_ms;    /**< The engine is unlisted and removed at this time unless it is
                                    listed again; 0: no removal is pending. */
    bool has_address_mismatch; /**< Another engine answered at this address. */
    uint64_t listed_ms;
    uint64_t connection_lost_ms; /**< A connection failed or was closed early then; 0: none. */
    bool is_start_unknown;       /**< Its process is another one than its entry names. */
    uint32_t online;
    uint32_t batch;
    uint64_t queued_tokens;
    uint64_t memory_tokens_used;
    uint32_t silence_limit_ms;
    uint64_t last_received_ms; /**< Last byte, or start of the first request after idleness. */
    uint64_t suspected_until_ms;
    bool is_probing; /**< A probe request is in flight to a suspected engine. */
    /** The last attempt could not connect: only probes are sent until the engine answers. */
    bool is_unreachable;
    uint64_t full_until_ms;
    uint64_t no_preemption_until_ms; /**< Until all daemons know of the items preempted last. */
    uint32_t failures;
    double decayed_ended;  /**< Requests that ended, decayed to decayed_at_ms. */
    double decayed_failed; /**< Those of decayed_ended that failed. */
    uint64_t decayed_at_ms;
    double peers_ended;
    double peers_failed;
    hs_engine_load load; /**< Load that came with the engine's last answer. */
    uint64_t load_ms;
    double load_own_requests; /**< Own requests on the engine at load_ms. */
    double peers_online;
    double peers_batch;
    double peers_queued;
    uint32_t peers_suspecting;
    double reported_online; /**< Load of other daemons by the last load report. */
    double reported_batch;
    double reported_queued;
    uint64_t reported_at_ms;           /**< When the arbiter made the last report; 0: no report. */
    uint32_t response_count;           /**< Arbiter's responses to this daemon; wraps. */
    hs_engine_load_report last_report; /**< As received, own requests included. */
    bool is_report_partial; /**< The sum may lack uses of some daemons; it is not relayed. */
    bool has_mean;          /**< The mean loads below replace an outdated report. */
    double mean_online;     /**< Mean load of other daemons by recent reports. */
    double mean_batch;
    double mean_queued;
    uint64_t recent_starts_ms[HS_MAX_RECENT_STARTS]; /**< Ring: starts of online requests. */
    uint32_t start_count;                            /**< Wraps. */
    uint64_t reported_failing_at_ms; /**< Time of the last report if the engine fails by it; 0:
                                          the engine is healthy by the last report. */
    uint32_t served_count;
    uint32_t failed_count;
    uint64_t run_events;      /**< Events of runs after the first of each run. */
    uint64_t run_ms;          /**< Time that run_events took. */
    uint64_t last_release_ms; /**< When the last request ended; 0: never. */
    hs_zone_outage
        *zone_outage;         /**< Of the engine's zone, owned by the table; NULL: not observed. */
    uint64_t excess_since_ms; /**< Since when requests exceed the slots; 0: they don't. */
    hs_engine_pace pace;
    hs_engine_warmup warmup;
    struct hs_fleet_engines *table; /**< While the engine is in the table; else NULL. */
    hs_prefix_index *prefixes;
    GPtrArray *batch_leases; /**< of hs_engine_lease*, the newest last. */
    GQueue idle;             /**< of hs_idle_connection*, the most recently used last. */
} hs_fleet_engine;

/** Counters of load reports. */
typedef struct {
    uint64_t received; /**< Responses of arbiters to this daemon. */
    uint64_t accepted; /**< Relayed or own reports newer than the last known report. */
    uint64_t stale;    /**< Relayed or own reports that were not newer. */
    uint64_t relayed;  /**< Reports sent on to other daemons. */
    uint64_t relayed_bytes;
} hs_report_counters;

struct hs_fleet_engines {
    GMutex lock;
    GHashTable *by_id;      /**< id -> hs_fleet_engine* */
    hs_engine_rings *rings; /**< The engines of by_id by service and zone. */
    GHashTable *used;       /**< Set of the engines of by_id that this daemon used recently. */
    uint64_t home_position; /**< Where in the rings this daemon's home engines begin. */
    GHashTable *by_hash;    /**< hash -> hs_fleet_engine*, of by_id; NULL: to be rebuilt. */
    GHashTable *peers;      /**< peer -> peer_load* */
    char *zone;
    /** May be NULL. */
    const hs_topology *topology;
    GHashTable *speeds;        /**< service -> hs_engine_speed* */
    GHashTable *absences;      /**< service -> hs_engine_absence* */
    GHashTable *zone_outages;  /**< zone -> hs_zone_outage*; NULL: outages are not observed. */
    GHashTable *pressures;     /**< service -> hs_cached_pressure* */
    bool is_list_known;        /**< The store's list was read to its end. */
    gint is_large_fleet;       /**< Load reports are relayed. Atomic: each report asks for it. */
    uint32_t peer_count;       /**< Other daemons in the fleet. */
    uint32_t batch_peer_count; /**< Other daemons that run batch items. */
    uint64_t summed_ms;        /**< When peers' loads were summed last; 0: they changed since. */
    uint64_t round_robin;      /**< Counts choices, to vary the first candidate. */
    uint64_t connects;
    uint64_t failed_connects; /**< Attempts that ended as HS_ATTEMPT_UNREACHABLE. */
    uint64_t resume_mismatches;
    uint64_t invalid_answers;
    uint64_t slowdowns_rejected; /**< Slowdowns out of the valid range, sent by engines. */
    uint64_t use_sequence;
    uint64_t relayed_at_ms; /**< When a relayed report was accepted last; 0: never. */
    hs_report_counters reports;
    uint64_t batch_work_ms; /**< Own; see hs_fleet_engines_set_batch_work. */
    GCond reports_changed;  /**< Signals a response of an arbiter, or preempted items. */
    hs_engine_use_observer use_observer; /**< May be NULL. */
    void *use_observer_data;
    hs_engine_slot_observer slot_observer; /**< May be NULL. */
    void *slot_observer_data;
    hs_crash_watch *crash_watch; /**< May be NULL. */
    hs_tenant_runs *tenant_runs;
    hs_evacuation *evacuation;
    gint has_evacuations; /**< A limit is set or a zone was evacuated; atomic, see below. */
    GHashTable *restricted_services; /**< See hs_region_policy_group -> hs_restricted_service*. */
    hs_software_history *software;   /**< Of removed engines. */
    uint64_t list_as_of_ms;          /**< See hs_fleet_engines_note_list_as_of; 0: unknown. */
    GHashTable *warmup_limits;       /**< service -> hs_warmup_limit* */
    gint has_warmup_limits;          /**< Atomic: each report of use asks for it. */
    hs_permit_counters permits;
};

/**
 * Reports whether evacuations have to be considered at all. Reads an atomic: without evacuations no
 * send and no tick takes the table's lock for them.
 */
static inline bool hs_fleet_engines_has_evacuations(hs_fleet_engines *engines) {
    return g_atomic_int_get(&engines->has_evacuations) != 0;
}

/** Requests that one connection carries before it is closed. A new connection takes an engine about
 * 1 ms, so some 16 us a request; to search more requests would cost more. */
#define HS_MAX_CARRIED_REQUESTS 64

/**
 * Hashes of the ids of all requests that a connection carried, whatever their outcome. A finished
 * item runs again if its result could not be stored, and a surplus answer may arrive after the
 * answers to later requests.
 */
typedef struct {
    uint64_t hashes[HS_MAX_CARRIED_REQUESTS];
    uint32_t count;
} hs_carried_requests;

struct hs_engine_lease {
    hs_fleet_engines *engines;
    hs_fleet_engine *engine;
    hs_work_class work;
    char *tenant; /**< NULL: the run is not counted for a tenant. */
    uint64_t acquired_ms;
    uint64_t first_token_ms; /**< 0: no token has arrived. */
    uint64_t first_events;   /**< Events of the stream at first_event_ms. */
    uint64_t last_events;    /**< Events of the stream at last_event_ms. */
    uint64_t first_event_ms; /**< 0: no event of the run has arrived. */
    uint64_t last_event_ms;
    uint32_t unread_tokens; /**< Part of the engine's queued tokens until the first token. */
    uint32_t memory_tokens;
    double connection_share;       /**< See hs_fleet_engines_connection_share. */
    hs_interrupt *preemption_flag; /**< See hs_engine_query; may be NULL. */
    int32_t rank_ms;               /**< See hs_engine_query; at acquired_ms. */
    uint32_t responses_before;     /**< The engine's response_count at acquired_ms. */
    uint64_t permit_until_ms;      /**< End of the lease's permit; 0: none. */
    bool has_requested_permit;     /**< At acquired_ms. */
    hs_engine_reasons reasons;
    bool is_probe;               /**< The request probes a suspected engine. */
    bool is_last_resort;         /**< The engine's zone is evacuated, and no other one was free. */
    bool had_empty_queue;        /**< The engine was reading no own prompt at acquired_ms. */
    uint64_t request_hash;       /**< Hash of the request's id; 0: the request has none. */
    hs_carried_requests carried; /**< By the connection in use, before this request. */
};

/** An idle connection, kept for reuse. */
typedef struct {
    hs_client_connection *connection;
    uint64_t idle_since_ms;
    hs_carried_requests carried;
} hs_idle_connection;

/** Closes the connection and frees the record; a GDestroyNotify. */
void hs_idle_connection_free(gpointer data);

/** Periods in which a service had no engine. */
typedef struct {
    uint64_t since_ms; /**< 0: the service has engines. */
    uint64_t last_ms;  /**< Length of the previous period; 0: none. */
} hs_engine_absence;

typedef struct {
    hs_service_pressure pressure;
    hs_pressure_trend trend;
    uint64_t computed_ms;
} hs_cached_pressure;

/** A service as seen by requests that may use only its engines in some regions. */
typedef struct {
    hs_engine_absence absence;
    hs_cached_pressure pressure;
} hs_restricted_service;

/** Records whether a service has an engine now, and returns its absence. */
hs_engine_absence hs_fleet_engines_note_presence(hs_fleet_engines *engines, const char *service,
                                                 bool is_present, uint64_t now_ms);
void hs_fleet_engine_unref(hs_fleet_engine *engine);
/**
 * Records that this daemon uses the engine. Its uses, failures and suspicions can only be of
 * engines that were recorded, so that periodic work walks these and not all engines.
 */
void hs_fleet_engine_note_used(hs_fleet_engine *engine);
/** Whether the engine's pending removal is due. No request goes to it, even before removal. */
bool hs_fleet_engine_is_removal_due(const hs_fleet_engine *engine, uint64_t now_ms);
/** Whether the engine is known to have this software; 0: any will do. */
static inline bool hs_fleet_engine_has_software(const hs_fleet_engine *engine, uint64_t software) {
    return software == 0 || (engine->software == software && !engine->is_start_unknown);
}
/** Whether the engine has requests and has sent no byte for longer than its silence limit. */
bool hs_fleet_engine_is_silent(const hs_fleet_engine *engine, uint64_t now_ms);
/** Records an attempt's end as evidence on the engine's zone. */
void hs_fleet_engine_note_zone_failure(hs_fleet_engine *engine, uint64_t now_ms);
/** Records bytes from the engine as evidence that its zone is available. */
void hs_fleet_engine_note_zone_answer(hs_fleet_engine *engine, uint64_t now_ms);
/** Associates the engine with its zone, as named by its entry. */
void hs_fleet_engine_set_zone_outage(hs_fleet_engines *engines, hs_fleet_engine *engine);
/** Estimated load of other daemons on the engine. */
double hs_fleet_engine_others_online(const hs_fleet_engine *engine, uint64_t now_ms);
double hs_fleet_engine_others_batch(const hs_fleet_engine *engine, uint64_t now_ms);
double hs_fleet_engine_others_queued(const hs_fleet_engine *engine, uint64_t now_ms);
/** Age of the engine's last load report; UINT64_MAX: there is no valid report. */
uint64_t hs_fleet_engine_report_age_ms(const hs_fleet_engine *engine, uint64_t now_ms);
/** Whether a relayed report was accepted recently, so that estimates rely on relayed reports. */
bool hs_fleet_engines_has_relayed_reports(const hs_fleet_engines *engines, uint64_t now_ms);
/** Recomputes the mean loads that replace outdated reports. */
void hs_fleet_engines_update_mean_loads(hs_fleet_engines *engines, uint64_t now_ms);
/** Returns this daemon's current use of the engine, with a new sequence number. */
hs_engine_use hs_fleet_engine_use(hs_fleet_engines *engines, const hs_fleet_engine *engine);
/** Preempts up to @p wanted batch items, highest rank first. Returns how many. */
uint32_t hs_fleet_engine_preempt(hs_fleet_engine *engine, uint32_t wanted);
/** What the engine may be used for, by the zone of its newest entry; see evacuation.h. */
hs_zone_use hs_fleet_engine_zone_use(const hs_fleet_engines *engines, const hs_fleet_engine *engine,
                                     uint64_t now_ms);
/**
 * Returns the time up to which the engine's zone is known to have been evacuated: UINT64_MAX while
 * it is evacuated, the time at which this daemon learned of the withdrawal after that, and 0 if it
 * never was. The engine is to be treated as cold until a report newer than this time.
 */
uint64_t hs_fleet_engine_evacuated_until_ms(const hs_fleet_engines *engines,
                                            const hs_fleet_engine *engine);
/**
 * Online requests of all daemons on the service's engines in evacuated zones. The requests that
 * follow them will need the slots of other engines.
 */
double hs_fleet_engines_evacuated_online(const hs_fleet_engines *engines, const char *service,
                                         uint64_t now_ms);
/** Calls the slot observer. The caller doesn't hold the lock. */
void hs_fleet_engines_notify_free_slot(hs_fleet_engines *engines, const char *service);
/** Calls the use observer. The caller doesn't hold the lock. */
void hs_fleet_engines_notify_use(hs_fleet_engines *engines, const hs_engine_use *use, bool started);
/** Estimated requests of all daemons on the engine, batch items included. */
double hs_fleet_engine_running(const hs_fleet_engine *engine, uint64_t now_ms);
/** Returns @p count, which was valid at the engine's decayed_at_ms, decayed to @p now_ms. */
double hs_fleet_engine_decayed_count(const hs_fleet_engine *engine, double count, uint64_t now_ms);
/** Share of recent requests of all daemons that failed on the engine, 0 to 1. */
double hs_fleet_engine_failure_rate(const hs_fleet_engine *engine, uint64_t now_ms);
bool hs_fleet_engine_is_suspected(const hs_fleet_engine *engine, uint64_t now_ms);
/**
 * Whether the next request to the engine is a probe: the suspicion has run out, or only other
 * daemons suspect the engine, whose network path to it may be at fault.
 */
bool hs_fleet_engine_is_probe_due(const hs_fleet_engine *engine, uint64_t now_ms);
/** See hs_engine_pace_factor; relative to the service's mean time of an event. */
double hs_fleet_engine_pace(const hs_fleet_engines *engines, const hs_fleet_engine *engine,
                            uint64_t now_ms);
/** Speeds of the service, scaled by the engine's pace. */
hs_engine_speed hs_fleet_engine_speed(hs_fleet_engines *engines, const hs_fleet_engine *engine,
                                      uint64_t now_ms);
hs_engine_candidate hs_fleet_engine_candidate(const hs_fleet_engines *engines,
                                              const hs_fleet_engine *engine,
                                              const hs_engine_query *query, uint64_t now_ms);
/**
 * This daemon's share of the @p max_connections that all daemons together may open to one engine.
 * Below 1 if there are more daemons than connections; infinite if @p max_connections is 0.
 */
double hs_fleet_engines_connection_share(const hs_fleet_engines *engines, uint32_t max_connections);
/** Returns the engine with this hash, or NULL if the table has none. */
hs_fleet_engine *hs_fleet_engines_find(hs_fleet_engines *engines, uint64_t engine_hash);
/** Sums the loads that peers reported, unless they were summed a moment ago. */
void hs_fleet_engines_sum_peers(hs_fleet_engines *engines, uint64_t now_ms);
/** Removes the engines whose pending removal is due. */
void hs_fleet_engines_remove_unlisted(hs_fleet_engines *engines, uint64_t now_ms);
void hs_fleet_engines_free_peer(gpointer data);
/** Limit of a service's cold engines; zeros: none. Borrowed. */
const hs_warmup_limit *hs_engine_warmup_limit(const hs_fleet_engines *engines, const char *service);
void hs_engine_warmup_set_limit(hs_fleet_engines *engines, const char *service,
                                const hs_warmup_limit *limit);
bool hs_engine_warmup_is_cold(const hs_fleet_engines *engines, const hs_fleet_engine *engine,
                              uint64_t now_ms);
/** Logs that the engine turned cold or warm, once. */
void hs_engine_warmup_log(const hs_fleet_engines *engines, hs_fleet_engine *engine,
                          uint64_t now_ms);
/** Applies the engine's entry, which was read at its listed_ms. */
void hs_engine_warmup_note_entry(const hs_fleet_engines *engines, hs_fleet_engine *engine);
/** Removes cold engines from @p found to which the query's request can't get a permit now. */
void hs_engine_warmup_drop_unpermitted(hs_fleet_engines *engines, GPtrArray *found,
                                       const hs_engine_query *query, uint64_t now_ms);
/** For a new lease of a cold engine, takes a permit at hand or requests one with @p use. */
void hs_engine_warmup_begin(hs_engine_lease *lease, hs_engine_use *use, uint64_t now_ms);
/** Applies the arbiter's decision. Returns true if a permit is available that no lease awaits. */
bool hs_engine_warmup_note_verdict(hs_fleet_engines *engines, hs_fleet_engine *engine,
                                   const hs_engine_load_report *report, uint64_t now_ms);
/** Waits for the decision that the lease requested, and takes the permit. */
void hs_engine_warmup_wait(hs_engine_lease *lease, uint32_t limit_ms);
/** Whether the lease's request may be sent: the engine is warm, or the permit is valid. */
bool hs_engine_warmup_is_permitted(const hs_engine_lease *lease, uint64_t now_ms);
/** Returns an unused permit of the lease to the engine. */
void hs_engine_warmup_end(hs_engine_lease *lease, uint64_t now_ms);
/** Slots of an engine; of a cold one those that its limit keeps in use. */
uint32_t hs_engine_warmup_slots(hs_fleet_engines *engines, const hs_fleet_engine *engine,
                                uint64_t now_ms);
/** The same, but at least the @p running requests, so that a cold engine takes no others' room. */
uint32_t hs_engine_warmup_room(hs_fleet_engines *engines, const hs_fleet_engine *engine,
                               double running, uint64_t now_ms);
/**
 * Sets the cost of the warm-up for services with a limit of cold engines. The mean load of the
 * service says nothing about a cold engine: without a recent report it counts as idle, and its
 * arbiter decides.
 */
void hs_engine_warmup_apply_cost(const hs_fleet_engines *engines, const hs_fleet_engine *engine,
                                 hs_engine_candidate *candidate, uint64_t now_ms);
/** Logs the engines that turned warm. */
void hs_engine_warmup_prune(hs_fleet_engines *engines, uint64_t now_ms);
/**
 * Records that an evacuation of @p zone ended at @p now_ms: its engines are cold, at most for their
 * service's warm-up time, until they report otherwise.
 */
void hs_engine_warmup_note_evacuated(hs_fleet_engines *engines, const char *zone, uint64_t now_ms);
/** Records a sign that the engine may have restarted; see hs_warmup_state_note_lost. */
void hs_engine_warmup_note_lost(const hs_fleet_engines *engines, hs_fleet_engine *engine,
                                hs_cold_reason reason, uint64_t now_ms);
/** Returns the speeds of a service, with initial values if none were observed. */
hs_engine_speed *hs_fleet_engines_speed(hs_fleet_engines *engines, const char *service);

#endif
