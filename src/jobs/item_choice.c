/** @file item_choice.c  See item_choice.h. */
#include "jobs/item_choice.h"

#include "jobs/tenant_deal.h"

#include <math.h>
#include <stdlib.h>

/** Share of the time until its deadline that an item may use; the rest covers estimation errors. */
#define MAX_DEADLINE_SHARE 0.7

static bool misses_deadline_in_one_group(const hs_tenant_allocation *selection,
                                         const hs_choice_item *item, double speed) {
    return (double)hs_tenant_allocation_work_ms(selection) / speed > (double)item->left_ms;
}

/**
 * With several groups the last item is counted at the speed of a single slot, so that a burst of
 * one tenant does not fill the time up to the deadlines of the others.
 */
static bool misses_deadline_across_groups(const hs_tenant_allocation *selection,
                                          const hs_choice_item *item, double speed) {
    double run_ms = (double)item->remaining_ms;
    double before_ms = (double)hs_tenant_allocation_work_ms(selection) - run_ms;
    return before_ms / speed + run_ms > (double)item->left_ms;
}

/** Plain Moore-Hodgson selection. Returns the selected work. */
static uint64_t select_in_one_group(hs_choice_item *items, size_t count, double speed) {
    hs_tenant_allocation *selection = hs_tenant_allocation_new();
    for (size_t index = 0; index < count; index++) {
        if (items[index].is_excluded)
            continue;
        hs_tenant_allocation_add(selection, 0, index, items[index].remaining_ms);
        if (misses_deadline_in_one_group(selection, &items[index], speed))
            items[hs_tenant_allocation_exclude_item(selection)].is_excluded = true;
    }
    uint64_t work_ms = hs_tenant_allocation_work_ms(selection);
    hs_tenant_allocation_free(selection);
    return work_ms;
}

/** Selection with max-min fairness between tenant groups. Returns the selected work. */
static uint64_t select_across_groups(hs_choice_item *items, size_t count, double speed) {
    hs_tenant_allocation *selection = hs_tenant_allocation_new();
    bool is_allocated = false;
    for (size_t index = 0; index < count; index++) {
        hs_choice_item *item = &items[index];
        if (item->is_excluded)
            continue;
        hs_tenant_allocation_add(selection, item->tenant_group, index, item->remaining_ms);
        while (!item->is_excluded && misses_deadline_across_groups(selection, item, speed)) {
            items[hs_tenant_allocation_exclude_item(selection)].is_excluded = true;
            is_allocated = true;
        }
    }
    for (size_t index = 0; index < count; index++)
        items[index].is_allocated = is_allocated;
    uint64_t work_ms = hs_tenant_allocation_work_ms(selection);
    hs_tenant_allocation_free(selection);
    return work_ms;
}

uint64_t hs_item_choice_select(hs_choice_item *items, size_t count, double slots) {
    double speed = fmax(slots, 1.0);
    bool has_several_groups = false;
    for (size_t index = 0; index < count; index++) {
        items[index].is_allocated = false;
        items[index].is_excluded = items[index].left_ms < (int64_t)items[index].remaining_ms;
        has_several_groups =
            has_several_groups || items[index].tenant_group != items[0].tenant_group;
    }
    return has_several_groups ? select_across_groups(items, count, speed)
                              : select_in_one_group(items, count, speed);
}

bool hs_item_choice_is_capacity_scarce(const hs_choice_item *items, size_t count, double slots) {
    double speed = fmax(slots, 1.0);
    double before_ms = 0;
    for (size_t index = 0; index < count; index++) {
        double run_ms = (double)items[index].remaining_ms;
        double left_ms = (double)items[index].left_ms * MAX_DEADLINE_SHARE;
        if (items[index].is_excluded || run_ms <= 0 || before_ms / speed + run_ms > left_ms)
            return true;
        before_ms += run_ms;
    }
    return false;
}
