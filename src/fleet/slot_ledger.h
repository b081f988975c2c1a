/**
 * @file slot_ledger.h
 * What all daemons have on the engines that this daemon arbitrates, and who must step aside. Pure.
 *
 * Each engine has one arbiter among the daemons. Every daemon tells it what it has there, as
 * counts and not as changes, so that a lost message is mended by the next. When the counts exceed
 * the engine's slots, batch items leave: those of the highest rank first, and one that was just
 * started before one that was begun earlier and can wait only a little longer. The daemons together
 * are over an engine's slots for as long as one message there and one back take, however many they
 * are. With its counts each daemon tells how its requests there ended, so that the arbiter knows an
 * engine that fails before most daemons have met it.
 */
#ifndef HS_FLEET_SLOT_LEDGER_H
#define HS_FLEET_SLOT_LEDGER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** What one daemon has on one engine. */
typedef struct {
    uint64_t engine_hash;
    const char *daemon;
    uint64_t incarnation; /**< With the sequence: orders the words of a daemon. */
    uint64_t sequence;
    uint32_t slots; /**< The engine's. */
    uint32_t online;
    uint32_t batch;
    int32_t rank_ms; /**< Of its batch item there of the highest rank; see hs_engine_query. */
    uint32_t served; /**< Requests of its life that ended well there. */
    uint32_t failed; /**< The same that failed. */
    uint32_t queued_tokens; /**< Of its prompts there that are not read yet. */
} hs_slot_use;

/** Batch items of a daemon that must leave an engine. */
typedef struct {
    char daemon[64];
    uint32_t count;
} hs_slot_ask;

/** All daemons' requests on one engine. */
typedef struct {
    uint32_t online;
    uint32_t batch;         /**< Without those that were asked to leave. */
    uint32_t queued_tokens; /**< Of prompts that are not read yet. */
    bool is_failing;        /**< The daemon's request should go elsewhere; see engine_health.h. */
} hs_slot_totals;

typedef struct hs_slot_ledger hs_slot_ledger;

hs_slot_ledger *hs_slot_ledger_new(void);
void hs_slot_ledger_free(hs_slot_ledger *ledger);

/**
 * Take a daemon's word; older words than the last are passed over. Who must leave is appended to
 * @p asks (of hs_slot_ask) and counts as gone from then on.
 */
hs_slot_totals hs_slot_ledger_take(hs_slot_ledger *ledger, const hs_slot_use *use, uint64_t now_ms,
                                   GArray *asks);

/** Drop the words of daemons that were not heard for long. */
void hs_slot_ledger_expire(hs_slot_ledger *ledger, uint64_t now_ms);

#endif
