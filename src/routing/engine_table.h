/**
 * @file engine_table.h
 * The engines this daemon knows, with what it knows of their load and health.
 *
 * Engines come from the platform's list. One is avoided from the first word that it leaves (its
 * own refusal, its scheduler's word, the list), and for a growing while after failures in a row.
 */
#ifndef HS_ROUTING_ENGINE_TABLE_H
#define HS_ROUTING_ENGINE_TABLE_H

#include "config/config_view.h"
#include "routing/route.h"

#include <jansson.h>

typedef struct {
    uint32_t subset_size;
    uint32_t max_in_flight;
    uint32_t ejection_failures;
    uint32_t ejection_ms;
} hs_engine_table_settings;

typedef struct hs_engine_table hs_engine_table;

/** @p daemon_id and @p zone are copied. */
hs_engine_table *hs_engine_table_new(const char *daemon_id, const char *zone,
                                     const hs_engine_table_settings *settings);
void hs_engine_table_free(hs_engine_table *table);

/** An engine of the list; @p labels is copied. Call between begin and end of one listing. */
void hs_engine_table_listing_begin(hs_engine_table *table);
void hs_engine_table_list(hs_engine_table *table, const char *id, const char *url, const char *zone,
                          const json_t *labels, bool leaving);
/** Engines not named since begin are gone. */
void hs_engine_table_listing_end(hs_engine_table *table);

typedef struct {
    const hs_engine_group *group;
    const char *model;
    uint64_t prefix_hash;
    const char *const *tried_ids; /**< Engines not to be chosen again. */
    uint32_t tried_count;
} hs_engine_query;

/** An engine chosen, as values. */
typedef struct {
    char id[64];
    char url[64];
    char zone[64];
    hs_route_reason reason;
    double score;
    uint32_t available_count;
    uint32_t candidate_count;
} hs_engine_choice;

/** Choose an engine and count a request in flight on it; false when none is available. */
bool hs_engine_table_take(hs_engine_table *table, const hs_engine_query *query, uint64_t now_ms,
                          hs_engine_choice *choice);

/** How an attempt ended, for the engine's health. */
typedef enum {
    HS_ATTEMPT_GOOD,
    HS_ATTEMPT_FAILED,
    HS_ATTEMPT_REFUSED,  /**< Overloaded: healthy, but not now. */
    HS_ATTEMPT_LEAVING,  /**< The engine said it leaves. */
    HS_ATTEMPT_NO_MODEL, /**< The engine does not hold the model. */
} hs_attempt_verdict;

/** The request taken on @p id is over. @return requests we still have in flight on it. */
uint32_t hs_engine_table_finish(hs_engine_table *table, const char *id, const char *model,
                                hs_attempt_verdict verdict, uint64_t now_ms);

/** Our requests in flight on the engine, and the engine's zone. False when unknown. */
bool hs_engine_table_in_flight(hs_engine_table *table, const char *id, uint32_t *in_flight,
                               char zone[64]);

/** Load as its scheduler counts it. */
void hs_engine_table_learn_load(hs_engine_table *table, const char *id, uint32_t online,
                                bool leaving, uint64_t now_ms);

/** Mark an engine that a peer, or its own report, says is leaving. */
void hs_engine_table_note_leaving(hs_engine_table *table, const char *id, bool first_hand,
                                  uint64_t now_ms);

/**
 * The engine's own report says that it serves. Reports lag, so that one does not undo a mark that
 * is younger than a few seconds.
 */
void hs_engine_table_note_serving(hs_engine_table *table, const char *id, uint64_t now_ms);

/** Engines known at first hand to leave: by their refusal or report. of char*; free the array. */
GPtrArray *hs_engine_table_leaving(hs_engine_table *table, uint64_t now_ms);

/** Changes whenever the list of engines does, in what schedulers assign by. */
uint64_t hs_engine_table_version(hs_engine_table *table);

/** Whether new work must keep off the engine now; true for an unknown one. */
bool hs_engine_table_is_avoided(hs_engine_table *table, const char *id, uint64_t now_ms);

/** One engine as values, for schedulers and queries. */
typedef struct {
    char id[64];
    char url[64];
    char zone[64];
    json_t *labels; /**< A reference; decref. */
    bool leaving;
    bool ejected;
    uint32_t in_flight;
    uint32_t known_online;
} hs_engine_info;

/** All engines. Free with hs_engine_infos_free. */
GArray *hs_engine_table_infos(hs_engine_table *table, uint64_t now_ms);
void hs_engine_infos_free(GArray *infos);

#endif
