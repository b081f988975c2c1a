/**
 * @file ownership.h
 * Decides when this daemon claims or releases a partition. Does no I/O.
 *
 * The first live member by rendezvous hash claims a partition without an owner. If two members
 * claim a partition at once, the order of the log decides. After a lost claim the wait before the
 * next claim doubles, so that two members that suspect each other stop exchanging claims.
 */
#ifndef HS_BATCH_OWNERSHIP_H
#define HS_BATCH_OWNERSHIP_H

#include <stdbool.h>
#include <stdint.h>

/** State of one partition as seen by this daemon. */
typedef struct {
    bool self_is_first; /**< First by rendezvous hash among the live members. */
    bool self_is_leaving;
    bool self_owns;
    bool owner_is_known; /**< Another live member announces ownership. */
} hs_ownership_view;

typedef struct {
    uint64_t claimable_since_ms;  /**< Start of the wait before a claim; 0: no claim is due. */
    uint64_t releasable_since_ms; /**< Start of the wait before a release; 0: no release is due. */
    uint32_t loss_count;          /**< Recent losses to claims of other members, capped. */
    uint64_t last_loss_ms;
} hs_ownership_history;

typedef enum { HS_OWNERSHIP_KEEP, HS_OWNERSHIP_CLAIM, HS_OWNERSHIP_RELEASE } hs_ownership_action;

typedef struct {
    uint32_t settle_ms;   /**< Wait before a claim, for membership to converge. */
    uint32_t handover_ms; /**< Wait before a release to the member that is first. */
} hs_ownership_settings;

/** Returns the action due at @p now_ms and updates the wait times in @p history. */
hs_ownership_action hs_ownership_decide(const hs_ownership_settings *settings,
                                        const hs_ownership_view *view,
                                        hs_ownership_history *history, uint64_t now_ms);

/** Records that a claim of another member ended this daemon's ownership. */
void hs_ownership_note_loss(hs_ownership_history *history, uint64_t now_ms);

#endif
