/**
 * @file ownership.h
 * When to claim a partition and when to hand it over. Pure.
 *
 * The successor is the first by rendezvous hash among the live members, so that two members do
 * not race in the normal case; the log's order decides when they do. A daemon that lost a
 * partition waits longer before each further claim, so that two that falsely suspect each other
 * do not trade claims for ever.
 */
#ifndef HS_BATCH_OWNERSHIP_H
#define HS_BATCH_OWNERSHIP_H

#include <stdbool.h>
#include <stdint.h>

typedef struct {
    bool self_is_first; /**< We are the first by rendezvous among the live members. */
    bool self_is_leaving;
    bool self_owns;
    bool owner_is_known; /**< Some live member says it owns the partition. */
} hs_ownership_view;

typedef struct {
    uint64_t first_since_ms;     /**< Since when we are first and no owner is known; 0: not so. */
    uint64_t not_first_since_ms; /**< Since when we own it but another is first; 0: not so. */
    uint32_t losses;             /**< Claims that were taken from us, decaying with quiet time. */
    uint64_t lost_at_ms;
} hs_ownership_history;

typedef enum { HS_OWNERSHIP_KEEP, HS_OWNERSHIP_CLAIM, HS_OWNERSHIP_RELEASE } hs_ownership_action;

typedef struct {
    uint32_t settle_ms;   /**< Wait before a claim, so that membership settles. */
    uint32_t handover_ms; /**< Wait before a release to a better placed member. */
} hs_ownership_settings;

hs_ownership_action hs_ownership_decide(const hs_ownership_settings *settings,
                                        const hs_ownership_view *view,
                                        hs_ownership_history *history, uint64_t now_ms);

/** Another's claim ended our ownership. */
void hs_ownership_note_loss(hs_ownership_history *history, uint64_t now_ms);

#endif
