/**
 * @file item_choice.h
 * Which items of a queue are to end in time when not all can: the rule of Moore and Hodgson for the
 * least number of late jobs, with several servers taken as one that is as fast as all. Pure.
 *
 * Items are taken in the order in which they are due. Whenever the work taken so far would end
 * after the item at hand is due, one is left out: of the claimant that has most of it taken the
 * item that needs most. What is left out runs in what the others leave, and is considered anew each
 * time.
 */
#ifndef HS_JOBS_ITEM_CHOICE_H
#define HS_JOBS_ITEM_CHOICE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** An item as far as the choice goes. */
typedef struct {
    int64_t left_ms;       /**< Until it is due. */
    uint64_t remaining_ms; /**< It still needs a slot for so long. */
    uint32_t claimant;     /**< Whose it is, a small number: see tenant_deal.h. */
    bool is_dealt;         /**< Set by the choice: claimants share, and not all of it fits. */
    bool is_left_out;      /**< Set by the choice. */
} hs_choice_item;

/**
 * Choose among @p items, in order of left_ms, for @p slots that run them side by side. Returns the
 * work of those that are to end in time, in ms of a slot.
 */
uint64_t hs_item_choice_make(hs_choice_item *items, size_t count, double slots);

/**
 * Whether @p items, in the order in which they are to run, leave no time to wait for more room: one
 * was left out, needs nobody knows how long (0), or would end late in @p slots alone, or with
 * little time to spare.
 */
bool hs_item_choice_is_scarce(const hs_choice_item *items, size_t count, double slots);

#endif
