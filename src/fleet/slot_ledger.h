/**
 * @file slot_ledger.h
 * Requests of all daemons on the engines that this daemon arbitrates, and the choice of batch items
 * to preempt. Pure; the caller synchronises access.
 *
 * Each engine has one arbiter among the daemons. Every daemon reports its use of the engine to the
 * arbiter. Reports hold absolute counts instead of changes, so the next report corrects a lost one.
 * If the counts exceed the engine's slots, batch items are preempted: those of the highest
 * preemption rank first; an item that was just started counts with a higher rank. Whatever the
 * number of daemons, an engine's slots are exceeded for one message round trip only. Reports also
 * include the results of a daemon's requests and the time between their events, so the arbiter
 * detects a failing or slow engine before most daemons have used the engine.
 */
#ifndef HS_FLEET_SLOT_LEDGER_H
#define HS_FLEET_SLOT_LEDGER_H

#include "fleet/fleet_engines.h"

#include <glib.h>
#include <stdint.h>

/** A daemon's report of its use of an engine. */
typedef struct {
    const char *daemon;   /**< Id of the sender; borrowed. */
    uint64_t incarnation; /**< Of the sender. Orders its reports, together with use.sequence. */
    hs_engine_use use;
} hs_use_report;

/** Request to preempt batch items of a daemon on an engine. */
typedef struct {
    char daemon[64]; /**< Id of the daemon. */
    uint32_t count;  /**< Items to preempt. */
} hs_preemption_request;

typedef struct hs_slot_ledger hs_slot_ledger;

hs_slot_ledger *hs_slot_ledger_new(void);

/** Frees the ledger. NULL is allowed. */
void hs_slot_ledger_free(hs_slot_ledger *ledger);

/**
 * Stores a daemon's report; a report that is not newer than the stored one is ignored. Appends the
 * items to preempt to @p requests (of hs_preemption_request). Returns the requests of all daemons
 * on the engine; items to preempt are no longer counted. Their age_ms is that of the uses in the
 * sum, and higher while the uses of some daemons may be missing; see arbiter_term.h.
 */
hs_engine_load_report hs_slot_ledger_put_report(hs_slot_ledger *ledger, const hs_use_report *report,
                                                uint64_t now_ms, GArray *requests);

/**
 * Notes that this daemon runs; see hs_arbiter_rounds_note. Returns true if the sums of all engines
 * are incomplete from now on, until the uses of all daemons can have arrived.
 */
bool hs_slot_ledger_note_round(hs_slot_ledger *ledger, uint64_t incarnation, uint64_t now_ms);

/** Sets whether this daemon arbitrates the engine now. Adds an engine that is not known. */
void hs_slot_ledger_set_arbitrated(hs_slot_ledger *ledger, uint64_t engine_hash, bool is_arbitrated,
                                   uint64_t now_ms);

/** Appends the engines of the ledger to @p hashes (of uint64_t). */
void hs_slot_ledger_list_engines(const hs_slot_ledger *ledger, GArray *hashes);

/**
 * Appends the requests of all daemons on each engine that this daemon arbitrates to @p reports (of
 * hs_engine_load_report), with the age as of hs_slot_ledger_put_report. Engines are left out whose
 * sum is too old to be used.
 */
void hs_slot_ledger_list(const hs_slot_ledger *ledger, uint64_t now_ms, GArray *reports);

/** Removes expired reports, and engines on which nothing was reported recently. */
void hs_slot_ledger_expire(hs_slot_ledger *ledger, uint64_t now_ms);

#endif
