/** @file item_choice.c  See item_choice.h. */
#include "jobs/item_choice.h"

#include <glib.h>
#include <math.h>

/** Share of its time within which an item is meant to end: the rest is for what no estimate saw. */
#define TIME_USED 0.9

/** Bigger ones first, in a heap of indices. */
typedef struct {
    const hs_choice_item *items;
    GArray *heap; /**< of size_t */
} work_heap;

static uint64_t work_at(const work_heap *queue, guint place) {
    return queue->items[g_array_index(queue->heap, size_t, place)].remaining_ms;
}

static void swap(work_heap *queue, guint one, guint other) {
    size_t *indices = (size_t *)queue->heap->data;
    size_t kept = indices[one];
    indices[one] = indices[other];
    indices[other] = kept;
}

static void push(work_heap *queue, size_t index) {
    g_array_append_val(queue->heap, index);
    guint place = queue->heap->len - 1;
    while (place > 0 && work_at(queue, place) > work_at(queue, (place - 1) / 2)) {
        swap(queue, place, (place - 1) / 2);
        place = (place - 1) / 2;
    }
}

static guint bigger_child(const work_heap *queue, guint place) {
    guint child = 2 * place + 1;
    if (child + 1 < queue->heap->len && work_at(queue, child + 1) > work_at(queue, child))
        child++;
    return child;
}

static size_t pop(work_heap *queue) {
    size_t biggest = g_array_index(queue->heap, size_t, 0);
    swap(queue, 0, queue->heap->len - 1);
    g_array_set_size(queue->heap, queue->heap->len - 1);
    guint place = 0;
    while (2 * place + 1 < queue->heap->len) {
        guint child = bigger_child(queue, place);
        if (work_at(queue, child) <= work_at(queue, place))
            break;
        swap(queue, place, child);
        place = child;
    }
    return biggest;
}

uint64_t hs_item_choice_make(hs_choice_item *items, size_t count, double slots) {
    work_heap taken = {.items = items, .heap = g_array_new(FALSE, FALSE, sizeof(size_t))};
    double speed = fmax(slots, 1.0);
    uint64_t work_ms = 0;
    for (size_t index = 0; index < count; index++) {
        hs_choice_item *item = &items[index];
        item->is_left_out = item->left_ms < (int64_t)item->remaining_ms;
        if (item->is_left_out)
            continue;
        push(&taken, index);
        work_ms += item->remaining_ms;
        if ((double)work_ms / speed <= (double)item->left_ms)
            continue;
        size_t biggest = pop(&taken);
        items[biggest].is_left_out = true;
        work_ms -= items[biggest].remaining_ms;
    }
    g_array_free(taken.heap, TRUE);
    return work_ms;
}

size_t hs_item_choice_count_pressing(const hs_choice_item *items, size_t count, double slots) {
    double speed = fmax(slots, 1.0);
    double work_ms = 0;
    size_t pressing = 0;
    for (size_t index = 0; index < count; index++) {
        double begins_ms = work_ms / speed;
        work_ms += (double)items[index].remaining_ms;
        if (begins_ms + (double)items[index].remaining_ms >
            (double)items[index].left_ms * TIME_USED)
            pressing = index + 1;
    }
    return pressing;
}
