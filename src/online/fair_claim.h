/**
 * @file fair_claim.h
 * Whose request goes first, and whose is refused first, while a service is short of places. Pure.
 *
 * Max-min fair by slots, not by requests: a claim whose group (a tenant) asks for little of the
 * engines' slots of late goes before one whose group asks for much. In order: what can be in time;
 * the more urgent kind, which is not to be served less than a less urgent one, whoever asks; less
 * asked for, in bands; less time left; age.
 */
#ifndef HS_ONLINE_FAIR_CLAIM_H
#define HS_ONLINE_FAIR_CLAIM_H

#include <stdbool.h>
#include <stdint.h>

/** One request that wants a place. */
typedef struct {
    double
        used_slots;  /**< Slots that its group asks for of late, over all daemons; 0: not known. */
    uint32_t rank;   /**< Of its kind; 0 is the most urgent. */
    bool is_in_time; /**< It can still be answered within its objective. */
    uint64_t arrived_ms; /**< When it came. */
    uint64_t deadline_ms;
} hs_fair_claim;

/**
 * Whether @p other, of those in time, goes after @p claim whoever comes first, and so does not
 * lengthen its wait: its kind is no more urgent, and its group is known to ask for clearly more.
 */
bool hs_fair_claim_is_behind(const hs_fair_claim *other, const hs_fair_claim *claim);

/** Below 0: @p one goes first; above 0: @p other. */
int hs_fair_claim_compare(const hs_fair_claim *one, const hs_fair_claim *other);

#endif
