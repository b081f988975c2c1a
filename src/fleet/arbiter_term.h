/**
 * @file arbiter_term.h
 * Since when a daemon has been the arbiter of an engine without interruption, and how far the
 * reports of all daemons can have arrived since. Pure; the caller synchronises access.
 *
 * Daemons report each use of an engine again at intervals. An arbiter that has just begun knows
 * only the uses reported so far, so its sum is too low until every daemon has reported once. The
 * same holds after a suspension, and after others assumed that this daemon was dead, as they
 * reported to another arbiter meanwhile.
 */
#ifndef HS_FLEET_ARBITER_TERM_H
#define HS_FLEET_ARBITER_TERM_H

#include <stdbool.h>
#include <stdint.h>

/** Interval at which each daemon reports its uses of engines again. */
#define HS_USE_REPORT_INTERVAL_MS 240
/** Time until the uses of the daemons that learn of the change first have arrived. */
#define HS_ARBITER_SETTLE_MS (3 * HS_USE_REPORT_INTERVAL_MS)
/**
 * Time until the uses of all daemons have arrived. With probes every 300 ms, 90 of 100 daemons
 * learn of a membership change within 853 ms, and report within one more interval. A longer time
 * would leave the engine without a report for more than 1 s.
 */
#define HS_ARBITER_COMPLETE_MS (6 * HS_USE_REPORT_INTERVAL_MS)

/** Rounds of one daemon as an arbiter; zero-initialise. All times are monotonic. */
typedef struct {
    uint64_t incarnation;
    uint64_t noted_ms;     /**< Time of the latest round or message; 0: none. */
    uint64_t restarted_ms; /**< Since when the daemon has received reports without a gap. */
} hs_arbiter_rounds;

/** Arbitration of one engine; zero-initialise for an engine that is not arbitrated. */
typedef struct {
    bool is_arbitrated;
    uint64_t since_ms; /**< Time at which is_arbitrated became true. */
} hs_arbiter_term;

/**
 * Notes that the daemon runs at @p now_ms with its own @p incarnation. Call it at each round and
 * before each report is stored. Returns true if the daemon must begin anew: at the first call,
 * after a gap, which shows that the process was suspended, and after a change of the incarnation,
 * which shows that others assumed it dead.
 */
bool hs_arbiter_rounds_note(hs_arbiter_rounds *rounds, uint64_t incarnation, uint64_t now_ms);

/** Sets whether the daemon arbitrates the engine now. */
void hs_arbiter_term_set(hs_arbiter_term *term, bool is_arbitrated, uint64_t now_ms);

/**
 * Returns the least age in ms of a report of this term: UINT32_MAX until HS_ARBITER_SETTLE_MS, and
 * while the engine is not arbitrated; then the time until HS_ARBITER_COMPLETE_MS, as some uses may
 * still be missing, so that the report doesn't count in full; then 0.
 */
uint32_t hs_arbiter_term_min_age_ms(const hs_arbiter_term *term, const hs_arbiter_rounds *rounds,
                                    uint64_t now_ms);

#endif
