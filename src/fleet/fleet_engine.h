/** @file fleet_engine.h  One engine's state inside the table; for fleet_engines*.c only. */
#ifndef HS_FLEET_FLEET_ENGINE_H
#define HS_FLEET_FLEET_ENGINE_H

#include "fleet/engine_choice.h"
#include "fleet/engine_pace.h"
#include "fleet/fleet_engines.h"
#include "fleet/prefix_index.h"
#include "tenants/tenant_runs.h"

/** Own starts that are kept to know which of them a word on an engine counts. */
#define HS_STARTS_KEPT 8

typedef struct {
    hs_engine_entry entry;
    uint64_t hash;
    gint references; /**< The table's and one a lease. */
    bool listed;
    bool is_reborn;            /**< It has ended: another start has its id now. */
    uint64_t doubted_until_ms; /**< Dropped then unless it is listed again; 0: not doubted. */
    bool misplaced;            /**< Another engine answered at its address. */
    uint64_t listed_ms;
    uint32_t online;
    uint32_t batch;
    uint64_t queued_tokens;
    uint64_t memory_tokens_used;
    uint32_t silent_limit_ms;
    uint64_t heard_ms; /**< Last byte, or when the first request after an idle time went. */
    uint64_t suspect_until_ms;
    bool is_on_trial; /**< Suspected, and one request has gone to find out whether it is sound. */
    uint64_t full_until_ms;
    uint64_t no_yield_until_ms; /**< Until all daemons know of the items that stepped aside. */
    uint32_t failures;
    double ended;  /**< Requests of this daemon that ended there, fading, as of ended_ms. */
    double failed; /**< Those of them that failed. */
    uint64_t ended_ms;
    double peers_ended;
    double peers_failed;
    hs_engine_load load;
    uint64_t load_ms;
    double load_own; /**< Own requests there when the load was told. */
    double peers_online;
    double peers_batch;
    double peers_queued;
    uint32_t peers_suspecting;
    double told_online; /**< Of other daemons, as the engine's arbiter told at told_ms. */
    double told_batch;
    double told_queued;
    uint64_t told_ms;
    uint32_t told_count;        /**< How often it answered this daemon; wraps. */
    hs_engine_total told_total; /**< The word itself. */
    bool has_mean;      /**< Of the service's fresh words; it stands in for a word that is old. */
    double mean_online; /**< Of other daemons. */
    double mean_batch;
    double mean_queued;
    uint64_t starts_ms[HS_STARTS_KEPT]; /**< Of own online requests: the last ones, in a ring. */
    uint32_t start_count;               /**< Wraps. */
    uint64_t
        told_failing_ms;   /**< When the arbiter said last that it fails; 0: it says it's sound. */
    uint32_t served_count; /**< Requests of this daemon that ended well there. */
    uint32_t failed_count; /**< The same that failed. */
    uint64_t run_events;   /**< Events of its runs there, after the first of each, */
    uint64_t run_ms;       /**< and the time they took. */
    uint64_t left_ms;      /**< When the last request of this daemon ended there; 0: never. */
    uint64_t excess_since_ms; /**< More than its slots are believed taken since; 0: not. */
    hs_engine_pace pace;
    hs_prefix_index *prefixes;
    GPtrArray *batch_leases; /**< of hs_engine_lease*, the newest last. */
    GQueue idle;             /**< of idle_connection*; the latest used last. */
} hs_fleet_engine;

/** Words of arbiters so far. */
typedef struct {
    uint64_t answered;  /**< Heard from arbiters themselves. */
    uint64_t taken;     /**< Passed on by others or known as the arbiter, and news. */
    uint64_t stale;     /**< The same, and no news. */
    uint64_t passed_on; /**< To others. */
    uint64_t passed_on_bytes;
} hs_words_counters;

struct hs_fleet_engines {
    GMutex lock;
    GHashTable *by_id;   /**< id -> hs_fleet_engine* */
    GHashTable *by_hash; /**< hash -> hs_fleet_engine*, of by_id; NULL: to be made anew. */
    GHashTable *peers;   /**< peer -> peer_load* */
    char *zone;
    GHashTable *speeds;        /**< service -> hs_engine_speed* */
    GHashTable *absences;      /**< service -> hs_engine_absence* */
    GHashTable *pressures;     /**< service -> hs_kept_pressure* */
    bool is_list_known;        /**< The store's list was read to its end. */
    uint32_t peer_count;       /**< Other daemons there are. */
    uint32_t batch_peer_count; /**< Those of them that run batch items. */
    uint64_t summed_ms;        /**< When peers' words were summed last; 0: they changed. */
    uint64_t turn;
    uint64_t connects;
    uint64_t misplaced;          /**< See hs_fleet_engines_misplaced. */
    uint64_t slowdowns_rejected; /**< Words on their own pace that no engine can mean. */
    uint64_t use_sequence;
    uint64_t passed_on_ms;       /**< When a passed-on word was taken last; 0: never. */
    hs_words_counters words;     /**< See hs_fleet_engines_describe. */
    uint64_t batch_work_ms;      /**< Own; see hs_fleet_engines_set_batch_work. */
    GCond totals_told;           /**< An arbiter told what all daemons have on an engine. */
    hs_engine_use_teller teller; /**< NULL: nobody is told. */
    void *teller_data;
    hs_engine_place_watch place_watch; /**< NULL: nobody is told. */
    void *place_watch_data;
    hs_crash_watch *crash_watch; /**< NULL: none. */
    hs_tenant_runs *tenant_runs;
};

/**
 * Requests that one connection carries, at most; then it is closed. A new connection each so many
 * requests costs an engine some 16 us a request (1 ms each); to look through them costs less.
 */
#define HS_CARRIED_MOST 64

/**
 * Requests that a connection carried, by the hashes of their ids. All of them, however they ended:
 * an item that was done is tried again where its result could not be stored, and a surplus answer
 * may come after answers to other requests.
 */
typedef struct {
    uint64_t hashes[HS_CARRIED_MOST];
    uint32_t count;
} hs_carried_requests;

struct hs_engine_lease {
    hs_fleet_engines *engines;
    hs_fleet_engine *engine;
    hs_work_class work;
    char *tenant; /**< Whose runs it counts with; NULL: nobody's. */
    uint64_t taken_ms;
    uint64_t first_ms;       /**< When its first event came; 0: none has. */
    uint64_t first_events;   /**< Events of its stream when the first of the run had come, */
    uint64_t last_events;    /**< and as of last_event_ms. */
    uint64_t first_event_ms; /**< 0: no event of the run has come. */
    uint64_t last_event_ms;
    uint32_t unread_tokens; /**< Counted in the engine's queued tokens until the first token. */
    uint32_t memory_tokens;
    double connection_share; /**< See hs_fleet_engines_connection_share. */
    hs_interrupt *yield;     /**< See hs_engine_query; NULL: none. */
    int32_t rank_ms;         /**< Likewise, when it was taken. */
    uint32_t told_before;    /**< The engine's told_count when it was taken. */
    hs_engine_reasons reasons;
    bool is_trial;         /**< It is the one that sees whether a suspected engine is sound. */
    bool was_alone;        /**< No prompt was being read there when it was taken. */
    uint64_t request_hash; /**< Of the request's id; 0: it has none. */
    hs_carried_requests carried; /**< By the connection in use, before this request. */
};

/** An idle kept connection. */
typedef struct {
    hs_client_connection *connection;
    uint64_t idle_since_ms;
    hs_carried_requests carried;
} hs_idle_connection;

/** Close it and free it: a GDestroyNotify. */
void hs_idle_connection_free(gpointer data);

/** Times in which a service had no engine, as requests met them. */
typedef struct {
    uint64_t since_ms; /**< 0: it has engines. */
    uint64_t last_ms;  /**< How long the one before was; 0: none was seen. */
} hs_engine_absence;

/** A service's pressure, kept for all who ask within some ms. */
typedef struct {
    hs_service_pressure pressure;
    hs_pressure_trend trend;
    uint64_t made_ms;
} hs_kept_pressure;

/** Note whether a service has an engine now. The caller holds the lock, as for all below but tell.
 */
hs_engine_absence hs_fleet_engines_note_presence(hs_fleet_engines *engines, const char *service,
                                                 bool is_present, uint64_t now_ms);
void hs_fleet_engine_unref(hs_fleet_engine *engine);
/** The store said that it is gone and was given the time to take that back: nothing goes there,
 * also before it is dropped. */
bool hs_fleet_engine_is_doubt_over(const hs_fleet_engine *engine, uint64_t now_ms);
bool hs_fleet_engine_is_silent(const hs_fleet_engine *engine, uint64_t now_ms);
/** What other daemons have there. */
double hs_fleet_engine_others_online(const hs_fleet_engine *engine, uint64_t now_ms);
double hs_fleet_engine_others_batch(const hs_fleet_engine *engine, uint64_t now_ms);
double hs_fleet_engine_others_queued(const hs_fleet_engine *engine, uint64_t now_ms);
/** Age in ms of the arbiter's word on the engine; UINT64_MAX: there is none that is valid. */
uint64_t hs_fleet_engine_word_age_ms(const hs_fleet_engine *engine, uint64_t now_ms);
/** Whether words passed on by others decide what is believed. */
bool hs_fleet_engines_hear_words(const hs_fleet_engines *engines, uint64_t now_ms);
/** Make the means anew that stand in for old words. */
void hs_fleet_engines_mean_words(hs_fleet_engines *engines, uint64_t now_ms);
/** This daemon's use of the engine now. */
hs_engine_use hs_fleet_engine_use(hs_fleet_engines *engines, const hs_fleet_engine *engine);
/** Ask the batch items there of the highest rank to step aside; how many were asked. */
uint32_t hs_fleet_engine_yield(hs_fleet_engine *engine, uint32_t wanted);
/** Tell that a place may be free in a service; without the lock. */
void hs_fleet_engines_tell_place(hs_fleet_engines *engines, const char *service);
/** Tell a use; without the lock. */
void hs_fleet_engines_tell(hs_fleet_engines *engines, const hs_engine_use *use, bool started);
double hs_fleet_engine_running(const hs_fleet_engine *engine, uint64_t now_ms);
double hs_fleet_engine_faded(const hs_fleet_engine *engine, double count, uint64_t now_ms);
double hs_fleet_engine_failure_rate(const hs_fleet_engine *engine, uint64_t now_ms);
bool hs_fleet_engine_is_suspected(const hs_fleet_engine *engine, uint64_t now_ms);
/**
 * Whether the next request there sees whether the engine is sound: it is suspected by no more than
 * other daemons' word, whose way there may be the bad one, or the time of its suspicion is over.
 */
bool hs_fleet_engine_is_to_be_tried(const hs_fleet_engine *engine, uint64_t now_ms);
/** See hs_engine_pace_factor; by the service's mean time of an event. */
double hs_fleet_engine_pace(const hs_fleet_engines *engines, const hs_fleet_engine *engine,
                            uint64_t now_ms);
/** Speeds at the engine: the service's at the engine's pace. */
hs_engine_speed hs_fleet_engine_speed(hs_fleet_engines *engines, const hs_fleet_engine *engine,
                                      uint64_t now_ms);
hs_engine_candidate hs_fleet_engine_candidate(const hs_fleet_engines *engines,
                                              const hs_fleet_engine *engine,
                                              const hs_engine_query *query, uint64_t now_ms);
/**
 * Connections to one engine that are this daemon's, of the @p max_connections of all daemons. Under
 * one: fewer than there are daemons. Infinite where the limit is not known.
 */
double hs_fleet_engines_connection_share(const hs_fleet_engines *engines, uint32_t max_connections);
/** Engine by the hash of its id; NULL when it is not known here. */
hs_fleet_engine *hs_fleet_engines_find(hs_fleet_engines *engines, uint64_t engine_hash);
void hs_fleet_engines_sum_peers(hs_fleet_engines *engines, uint64_t now_ms);
void hs_fleet_engines_drop_doubted(hs_fleet_engines *engines, uint64_t now_ms);
void hs_fleet_engines_free_peer(gpointer data);
hs_engine_speed *hs_fleet_engines_speed(hs_fleet_engines *engines, const char *service);

#endif
