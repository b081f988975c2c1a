/** @file tenant_deal.c  See tenant_deal.h. */
#include "jobs/tenant_deal.h"

#include <glib.h>
#include <stdbool.h>

typedef struct {
    size_t item;
    uint64_t work_ms;
} selected_item;

/** Selected items of one group: a binary max-heap by work. */
typedef struct {
    GArray *heap; /**< of selected_item */
    uint64_t work_ms;
} group_work;

struct hs_tenant_allocation {
    GArray *groups; /**< of group_work, indexed by group. */
    uint64_t work_ms;
};

static void clear_group(gpointer data) {
    g_array_free(((group_work *)data)->heap, TRUE);
}

hs_tenant_allocation *hs_tenant_allocation_new(void) {
    hs_tenant_allocation *allocation = g_new0(hs_tenant_allocation, 1);
    allocation->groups = g_array_new(FALSE, TRUE, sizeof(group_work));
    g_array_set_clear_func(allocation->groups, clear_group);
    return allocation;
}

void hs_tenant_allocation_free(hs_tenant_allocation *allocation) {
    if (allocation == NULL)
        return;
    g_array_free(allocation->groups, TRUE);
    g_free(allocation);
}

static uint64_t work_at(const GArray *heap, guint position) {
    return g_array_index(heap, selected_item, position).work_ms;
}

static void swap(GArray *heap, guint first, guint second) {
    selected_item saved = g_array_index(heap, selected_item, first);
    g_array_index(heap, selected_item, first) = g_array_index(heap, selected_item, second);
    g_array_index(heap, selected_item, second) = saved;
}

static void push(GArray *heap, selected_item item) {
    g_array_append_val(heap, item);
    guint position = heap->len - 1;
    while (position > 0 && work_at(heap, position) > work_at(heap, (position - 1) / 2)) {
        swap(heap, position, (position - 1) / 2);
        position = (position - 1) / 2;
    }
}

static guint longer_child(const GArray *heap, guint position) {
    guint child = 2 * position + 1;
    if (child + 1 < heap->len && work_at(heap, child + 1) > work_at(heap, child))
        child++;
    return child;
}

static selected_item pop(GArray *heap) {
    selected_item longest = g_array_index(heap, selected_item, 0);
    swap(heap, 0, heap->len - 1);
    g_array_set_size(heap, heap->len - 1);
    guint position = 0;
    while (2 * position + 1 < heap->len) {
        guint child = longer_child(heap, position);
        if (work_at(heap, child) <= work_at(heap, position))
            break;
        swap(heap, position, child);
        position = child;
    }
    return longest;
}

static group_work *group_at(hs_tenant_allocation *allocation, uint32_t number) {
    while (allocation->groups->len <= number) {
        group_work none = {.heap = g_array_new(FALSE, FALSE, sizeof(selected_item))};
        g_array_append_val(allocation->groups, none);
    }
    return &g_array_index(allocation->groups, group_work, number);
}

void hs_tenant_allocation_add(hs_tenant_allocation *allocation, uint32_t group, size_t item,
                              uint64_t work_ms) {
    group_work *work = group_at(allocation, group);
    push(work->heap, (selected_item){.item = item, .work_ms = work_ms});
    work->work_ms += work_ms;
    allocation->work_ms += work_ms;
}

/** Returns the group with most work; of several such groups, the first. */
static group_work *largest_group(const hs_tenant_allocation *allocation) {
    group_work *largest = NULL;
    for (guint number = 0; number < allocation->groups->len; number++) {
        group_work *group = &g_array_index(allocation->groups, group_work, number);
        bool is_larger = largest == NULL || group->work_ms > largest->work_ms;
        if (group->heap->len > 0 && is_larger)
            largest = group;
    }
    return largest;
}

size_t hs_tenant_allocation_exclude_item(hs_tenant_allocation *allocation) {
    group_work *largest = largest_group(allocation);
    selected_item longest = pop(largest->heap);
    largest->work_ms -= longest.work_ms;
    allocation->work_ms -= longest.work_ms;
    return longest.item;
}

uint64_t hs_tenant_allocation_work_ms(const hs_tenant_allocation *allocation) {
    return allocation->work_ms;
}
