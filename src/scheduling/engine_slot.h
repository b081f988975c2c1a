/**
 * @file engine_slot.h
 * What the scheduler holds of each engine it schedules: online load and batch items on it. Pure.
 */
#ifndef HS_SCHEDULING_ENGINE_SLOT_H
#define HS_SCHEDULING_ENGINE_SLOT_H

#include "scheduling/batch_item.h"
#include "scheduling/online_load.h"
#include "scheduling/pacing.h"

typedef struct {
    char id[64];
    char url[64];
    GPtrArray *models; /**< of char*: models of the batch groups the engine belongs to */
    hs_online_load load;
    GPtrArray *running; /**< of hs_batch_item* on the engine, oldest first; borrowed */
    bool assigned;      /**< We are its scheduler now. */
    bool leaving;
    uint64_t last_start_ms; /**< When the last item started on it; 0: never. */
    uint32_t
        failures_in_row; /**< Items that came back without a result, since the last good one. */
    uint64_t refused_until_ms; /**< It refused batch work; tried again afterwards. */
} hs_engine_slot;

hs_engine_slot *hs_engine_slot_new(const char *id, const char *url);
void hs_engine_slot_free(hs_engine_slot *slot);

/** Batch items that may be started on the engine now. */
uint32_t hs_engine_slot_room(const hs_engine_slot *slot, const hs_pacing_settings *pacing,
                             uint64_t now_ms);

/** Batch items above the limit now: those that must step aside. */
uint32_t hs_engine_slot_excess(const hs_engine_slot *slot, const hs_pacing_settings *pacing,
                               uint64_t now_ms);

/** An item came back without a result: leave the engine alone for a while that grows. */
void hs_engine_slot_note_failure(hs_engine_slot *slot, uint64_t now_ms);

/** An item's result came from the engine. */
void hs_engine_slot_note_success(hs_engine_slot *slot);

bool hs_engine_slot_serves(const hs_engine_slot *slot, const char *model);

#endif
