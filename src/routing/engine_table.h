/**
 * @file engine_table.h
 * The engines of the platform's list, with their load and health as known to this daemon.
 *
 * An engine gets no new requests after the engine, a peer or the list reports that it is leaving,
 * or while it is ejected; each consecutive ejection lasts twice as long, up to 64 times the first.
 * All functions are thread-safe.
 */
#ifndef HS_ROUTING_ENGINE_TABLE_H
#define HS_ROUTING_ENGINE_TABLE_H

#include "config/config_view.h"
#include "routing/route.h"

#include <jansson.h>

typedef struct {
    uint32_t subset_size;       /**< Engines of a group that this daemon uses for any prefix. */
    uint32_t max_in_flight;     /**< Online requests per engine. */
    uint32_t ejection_failures; /**< Consecutive failures before an ejection. */
    uint32_t ejection_ms;       /**< Length of the first ejection. */
} hs_engine_table_settings;

typedef struct hs_engine_table hs_engine_table;

/** @p daemon_id and @p zone are copied. */
hs_engine_table *hs_engine_table_new(const char *daemon_id, const char *zone,
                                     const hs_engine_table_settings *settings);
void hs_engine_table_free(hs_engine_table *table);

/** Starts an update of the table from a list of engines. */
void hs_engine_table_begin_listing(hs_engine_table *table);
/** Adds or updates an engine of the list; @p labels is copied. */
void hs_engine_table_put_listed(hs_engine_table *table, const char *id, const char *url,
                                const char *zone, const json_t *labels, bool leaving);
/**
 * Ends the update. Engines that were not listed get no new requests and are removed once they have
 * no requests in flight.
 */
void hs_engine_table_end_listing(hs_engine_table *table);

typedef struct {
    const hs_engine_group *group;
    const char *model;
    uint64_t prefix_hash;
    const char *const *excluded_ids; /**< Engines that must not be chosen; borrowed. */
    uint32_t excluded_count;
} hs_routing_query;

/** A chosen engine and the reason of the choice. */
typedef struct {
    char id[64];
    char url[64];
    char zone[64];
    hs_route_reason reason;
    double score;
    uint32_t available_count;
    uint32_t candidate_count;
} hs_engine_choice;

/**
 * Chooses an engine and counts a request in flight on the engine. Returns false if no engine is
 * available.
 */
bool hs_engine_table_acquire(hs_engine_table *table, const hs_routing_query *query, uint64_t now_ms,
                             hs_engine_choice *choice);

/** The result of an attempt, as evidence of the engine's health. */
typedef enum {
    HS_ATTEMPT_VERDICT_COMPLETED, /**< The engine responded; also after a cancel by the caller. */
    HS_ATTEMPT_VERDICT_FAILED,
    HS_ATTEMPT_VERDICT_REFUSED,  /**< The engine is healthy but overloaded. */
    HS_ATTEMPT_VERDICT_LEAVING,  /**< The engine refused since it is leaving. */
    HS_ATTEMPT_VERDICT_NO_MODEL, /**< The engine has not loaded the model. */
} hs_attempt_verdict;

/**
 * Ends a request counted by hs_engine_table_acquire and records the result of its attempt. Returns
 * this daemon's remaining requests in flight on the engine.
 */
uint32_t hs_engine_table_finish(hs_engine_table *table, const char *id, const char *model,
                                hs_attempt_verdict verdict, uint64_t now_ms);

/** Reads this daemon's requests in flight on an engine, and its zone. False if unknown. */
bool hs_engine_table_get_in_flight(hs_engine_table *table, const char *id, uint32_t *in_flight,
                                   char zone[64]);

/** Stores an engine load report of the engine's scheduler. */
void hs_engine_table_put_load_report(hs_engine_table *table, const char *id, uint32_t online,
                                     bool leaving, uint64_t now_ms);

/**
 * Marks an engine as leaving for 30 s. @p is_self_reported: the engine itself reported this, not a
 * peer.
 */
void hs_engine_table_note_leaving(hs_engine_table *table, const char *id, bool is_self_reported,
                                  uint64_t now_ms);

/**
 * Clears the leaving mark after the engine reported that it serves. Such reports may be old, so a
 * mark set in the last 3 s stays.
 */
void hs_engine_table_note_serving(hs_engine_table *table, const char *id, uint64_t now_ms);

/**
 * Returns the sorted ids, of char*, of the engines that reported to this daemon that they are
 * leaving, by a refusal or a report. Free with g_ptr_array_unref.
 */
GPtrArray *hs_engine_table_list_leaving(hs_engine_table *table, uint64_t now_ms);

/** Returns a version that changes with the engines' ids, URLs, zones and labels. */
uint64_t hs_engine_table_version(hs_engine_table *table);

/** Returns true if an engine is leaving, ejected or unknown. */
bool hs_engine_table_is_avoided(hs_engine_table *table, const char *id, uint64_t now_ms);

/** A copy of an engine's state, for schedulers and queries. */
typedef struct {
    char id[64];
    char url[64];
    char zone[64];
    json_t *labels; /**< A reference; released by hs_engine_infos_free. */
    bool leaving;
    bool ejected;
    uint32_t in_flight;        /**< Requests of this daemon. */
    uint32_t estimated_online; /**< Estimated requests of all daemons. */
} hs_engine_info;

/** Returns all engines, of hs_engine_info. Free with hs_engine_infos_free. */
GArray *hs_engine_table_infos(hs_engine_table *table, uint64_t now_ms);
void hs_engine_infos_free(GArray *infos);

#endif
