/** @file tenant_deal.c  See tenant_deal.h. */
#include "jobs/tenant_allocation.h"

#include <glib.h>
#include <stdbool.h>

typedef struct {
    size_t item;
    uint64_t work_ms;
} taken_item;

/** What one claimant has taken: a heap, its biggest item first. */
typedef struct {
    GArray *heap; /**< of taken_item */
    uint64_t work_ms;
} taken_work;

struct hs_tenant_deal {
    GArray *claimants; /**< of taken_work, by number. */
    uint64_t work_ms;
};

static void clear_claimant(gpointer data) {
    g_array_free(((taken_work *)data)->heap, TRUE);
}

hs_tenant_deal *hs_tenant_deal_new(void) {
    hs_tenant_deal *deal = g_new0(hs_tenant_deal, 1);
    deal->claimants = g_array_new(FALSE, TRUE, sizeof(taken_work));
    g_array_set_clear_func(deal->claimants, clear_claimant);
    return deal;
}

void hs_tenant_deal_free(hs_tenant_deal *deal) {
    if (deal == NULL)
        return;
    g_array_free(deal->claimants, TRUE);
    g_free(deal);
}

static uint64_t work_at(const GArray *heap, guint place) {
    return g_array_index(heap, taken_item, place).work_ms;
}

static void swap(GArray *heap, guint one, guint other) {
    taken_item kept = g_array_index(heap, taken_item, one);
    g_array_index(heap, taken_item, one) = g_array_index(heap, taken_item, other);
    g_array_index(heap, taken_item, other) = kept;
}

static void push(GArray *heap, taken_item taken) {
    g_array_append_val(heap, taken);
    guint place = heap->len - 1;
    while (place > 0 && work_at(heap, place) > work_at(heap, (place - 1) / 2)) {
        swap(heap, place, (place - 1) / 2);
        place = (place - 1) / 2;
    }
}

static guint bigger_child(const GArray *heap, guint place) {
    guint child = 2 * place + 1;
    if (child + 1 < heap->len && work_at(heap, child + 1) > work_at(heap, child))
        child++;
    return child;
}

static taken_item pop(GArray *heap) {
    taken_item biggest = g_array_index(heap, taken_item, 0);
    swap(heap, 0, heap->len - 1);
    g_array_set_size(heap, heap->len - 1);
    guint place = 0;
    while (2 * place + 1 < heap->len) {
        guint child = bigger_child(heap, place);
        if (work_at(heap, child) <= work_at(heap, place))
            break;
        swap(heap, place, child);
        place = child;
    }
    return biggest;
}

static taken_work *claimant_of(hs_tenant_deal *deal, uint32_t number) {
    while (deal->claimants->len <= number) {
        taken_work none = {.heap = g_array_new(FALSE, FALSE, sizeof(taken_item))};
        g_array_append_val(deal->claimants, none);
    }
    return &g_array_index(deal->claimants, taken_work, number);
}

void hs_tenant_deal_take(hs_tenant_deal *deal, uint32_t claimant, size_t item, uint64_t work_ms) {
    taken_work *taken = claimant_of(deal, claimant);
    push(taken->heap, (taken_item){.item = item, .work_ms = work_ms});
    taken->work_ms += work_ms;
    deal->work_ms += work_ms;
}

/** The claimant with most work; of equal ones the first. */
static taken_work *most_taken(const hs_tenant_deal *deal) {
    taken_work *most = NULL;
    for (guint number = 0; number < deal->claimants->len; number++) {
        taken_work *taken = &g_array_index(deal->claimants, taken_work, number);
        bool has_more = most == NULL || taken->work_ms > most->work_ms;
        if (taken->heap->len > 0 && has_more)
            most = taken;
    }
    return most;
}

size_t hs_tenant_deal_leave_out(hs_tenant_deal *deal) {
    taken_work *most = most_taken(deal);
    taken_item biggest = pop(most->heap);
    most->work_ms -= biggest.work_ms;
    deal->work_ms -= biggest.work_ms;
    return biggest.item;
}

uint64_t hs_tenant_deal_work_ms(const hs_tenant_deal *deal) {
    return deal->work_ms;
}
