/**
 * @file item_choice.h
 * Selects the items of a queue that can meet their deadlines if not all of them can: the
 * Moore-Hodgson algorithm for the minimum number of late jobs, with several servers treated as one
 * server of their combined speed. Pure functions.
 *
 * Items are added in order of their deadlines. Whenever the selected work would end after the
 * deadline of the item just added, the longest item of the tenant group with most selected work is
 * excluded. Excluded items run on slots that the others leave free; the selection is repeated in
 * each scheduler pass.
 */
#ifndef HS_JOBS_ITEM_CHOICE_H
#define HS_JOBS_ITEM_CHOICE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** The properties of an item that the selection needs, and its result. */
typedef struct {
    int64_t left_ms;       /**< Time until the item's deadline; negative if it has passed. */
    uint64_t remaining_ms; /**< Expected time for which the item still needs a slot. */
    uint32_t tenant_group; /**< Dense index of the item's group; see tenant_deal.h. */
    bool is_allocated;     /**< Result: groups compete, and not all of their work fits. */
    bool is_excluded;      /**< Result: the item is not selected to end in time. */
} hs_choice_item;

/**
 * Selects among @p items, sorted by left_ms, for @p slots that run them in parallel. Returns the
 * work of the selected items in slot milliseconds.
 */
uint64_t hs_item_choice_select(hs_choice_item *items, size_t count, double slots);

/**
 * Reports whether @p items, in the order in which they run, cannot wait for more capacity: one is
 * excluded, has an unknown run time (0), or would end late or with little time to spare on @p
 * slots.
 */
bool hs_item_choice_is_capacity_scarce(const hs_choice_item *items, size_t count, double slots);

#endif
