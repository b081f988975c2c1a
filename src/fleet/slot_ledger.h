/**
 * @file slot_ledger.h
 * What all daemons have on the engines that this daemon arbitrates, and who must step aside. Pure.
 *
 * Each engine has one arbiter among the daemons. Every daemon tells it what it has there, as
 * counts and not as changes, so that a lost message is mended by the next. When the counts exceed
 * the engine's slots, batch items leave: those of the highest rank first, and one that was just
 * started before one that was begun earlier and can wait only a little longer. The daemons together
 * are over an engine's slots for as long as one message there and one back take, however many they
 * are. With its counts each daemon tells how its requests there ended and how long their events
 * took, so that the arbiter knows an engine that fails or is slow before most daemons have met it.
 */
#ifndef HS_FLEET_SLOT_LEDGER_H
#define HS_FLEET_SLOT_LEDGER_H

#include "fleet/fleet_engines.h"

#include <glib.h>
#include <stdint.h>

/** What one daemon says that it has on an engine. */
typedef struct {
    const char *daemon;
    uint64_t incarnation; /**< With the use's sequence: orders the words of a daemon. */
    hs_engine_use use;
} hs_slot_word;

/** Batch items of a daemon that must leave an engine. */
typedef struct {
    char daemon[64];
    uint32_t count;
} hs_slot_ask;

typedef struct hs_slot_ledger hs_slot_ledger;

hs_slot_ledger *hs_slot_ledger_new(void);
void hs_slot_ledger_free(hs_slot_ledger *ledger);

/**
 * Take a daemon's word; older words than the last are passed over. Who must leave is appended to
 * @p asks (of hs_slot_ask) and counts as gone from then on, also in the answer: what all daemons
 * have on the engine.
 */
hs_engine_load_report hs_slot_ledger_take(hs_slot_ledger *ledger, const hs_slot_word *word,
                                          uint64_t now_ms, GArray *asks);

/** Append to @p totals (of hs_engine_load_report) what all daemons have on each engine now. */
void hs_slot_ledger_list(const hs_slot_ledger *ledger, uint64_t now_ms, GArray *totals);

/** Drop the words of daemons that were not heard for long. */
void hs_slot_ledger_expire(hs_slot_ledger *ledger, uint64_t now_ms);

#endif
