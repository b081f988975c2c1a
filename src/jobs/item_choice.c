/** @file item_choice.c  See item_choice.h. */
#include "jobs/item_choice.h"

#include "jobs/tenant_allocation.h"

#include <math.h>
#include <stdlib.h>

/** Share of its time within which an item is meant to end: the rest is for what no estimate saw. */
#define TIME_USED 0.7

/** The rule of Moore and Hodgson as it stands: all items are of one claimant. */
static bool is_over_at_once(const hs_tenant_deal *taken, const hs_choice_item *item, double speed) {
    return (double)hs_tenant_deal_work_ms(taken) / speed > (double)item->left_ms;
}

/**
 * The same where claimants share the slots: the item that starts last still runs alone, so that
 * somebody's heap may not fill the time to the last moment.
 */
static bool is_over_shared(const hs_tenant_deal *taken, const hs_choice_item *item, double speed) {
    double needs_ms = (double)item->remaining_ms;
    double before_ms = (double)hs_tenant_deal_work_ms(taken) - needs_ms;
    return before_ms / speed + needs_ms > (double)item->left_ms;
}

/** All are of one claimant. Returns the work taken. */
static uint64_t choose_at_once(hs_choice_item *items, size_t count, double speed) {
    hs_tenant_deal *taken = hs_tenant_deal_new();
    for (size_t index = 0; index < count; index++) {
        if (items[index].is_left_out)
            continue;
        hs_tenant_deal_take(taken, 0, index, items[index].remaining_ms);
        if (is_over_at_once(taken, &items[index], speed))
            items[hs_tenant_deal_leave_out(taken)].is_left_out = true;
    }
    uint64_t work_ms = hs_tenant_deal_work_ms(taken);
    hs_tenant_deal_free(taken);
    return work_ms;
}

/** They are of several claimants. Returns the work taken. */
static uint64_t choose_shared(hs_choice_item *items, size_t count, double speed) {
    hs_tenant_deal *taken = hs_tenant_deal_new();
    bool is_dealt = false;
    for (size_t index = 0; index < count; index++) {
        hs_choice_item *item = &items[index];
        if (item->is_left_out)
            continue;
        hs_tenant_deal_take(taken, item->claimant, index, item->remaining_ms);
        while (!item->is_left_out && is_over_shared(taken, item, speed)) {
            items[hs_tenant_deal_leave_out(taken)].is_left_out = true;
            is_dealt = true;
        }
    }
    for (size_t index = 0; index < count; index++)
        items[index].is_dealt = is_dealt;
    uint64_t work_ms = hs_tenant_deal_work_ms(taken);
    hs_tenant_deal_free(taken);
    return work_ms;
}

uint64_t hs_item_choice_make(hs_choice_item *items, size_t count, double slots) {
    double speed = fmax(slots, 1.0);
    bool is_shared = false;
    for (size_t index = 0; index < count; index++) {
        items[index].is_dealt = false;
        items[index].is_left_out = items[index].left_ms < (int64_t)items[index].remaining_ms;
        is_shared = is_shared || items[index].claimant != items[0].claimant;
    }
    return is_shared ? choose_shared(items, count, speed) : choose_at_once(items, count, speed);
}

bool hs_item_choice_is_scarce(const hs_choice_item *items, size_t count, double slots) {
    double speed = fmax(slots, 1.0);
    double before_ms = 0;
    for (size_t index = 0; index < count; index++) {
        double needs_ms = (double)items[index].remaining_ms;
        double left_ms = (double)items[index].left_ms * TIME_USED;
        if (items[index].is_left_out || needs_ms <= 0 || before_ms / speed + needs_ms > left_ms)
            return true;
        before_ms += needs_ms;
    }
    return false;
}
