/**
 * @file engine_slot.h
 * The scheduler's record of one engine: its online load and the batch items that run on it. The
 * functions do no I/O and take no locks; all belong to the scheduler's thread.
 */
#ifndef HS_SCHEDULING_ENGINE_SLOT_H
#define HS_SCHEDULING_ENGINE_SLOT_H

#include "scheduling/batch_item.h"
#include "scheduling/online_load.h"
#include "scheduling/pacing.h"

typedef struct {
    char id[64];
    char url[64];
    GPtrArray *models; /**< of char*: models of the engine's batch groups */
    hs_online_load load;
    GPtrArray *running;            /**< of hs_batch_item*, oldest first; borrowed */
    bool assigned;                 /**< This daemon schedules the engine. */
    bool leaving;                  /**< No new items start: the engine is leaving or ejected. */
    uint64_t last_start_ms;        /**< Time of the last item start; 0: none. */
    uint32_t consecutive_failures; /**< Failures since the last success. */
    uint64_t backoff_until_ms;     /**< No items start before this time. */
} hs_batch_engine;

hs_batch_engine *hs_batch_engine_new(const char *id, const char *url);
void hs_batch_engine_free(hs_batch_engine *engine);

/** Returns the number of batch items that may start on the engine at @p now_ms. */
uint32_t hs_batch_engine_free_slot_count(const hs_batch_engine *engine,
                                         const hs_pacing_settings *pacing, uint64_t now_ms);

/** Returns the number of running batch items above the limit: those to preempt. */
uint32_t hs_batch_engine_excess_count(const hs_batch_engine *engine,
                                      const hs_pacing_settings *pacing, uint64_t now_ms);

/**
 * Starts the backoff after a run without a result; each further failure doubles the backoff, up to
 * 8 s. A failure during the backoff has no effect.
 */
void hs_batch_engine_note_failure(hs_batch_engine *engine, uint64_t now_ms);

/** Ends the series of failures after the engine returned an item's result. */
void hs_batch_engine_note_success(hs_batch_engine *engine);

/** Returns true if a batch group of the engine has @p model. */
bool hs_batch_engine_has_model(const hs_batch_engine *engine, const char *model);

#endif
