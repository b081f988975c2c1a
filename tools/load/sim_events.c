/** @file sim_events.c  A binary heap; see sim_events.h. */
#include "tools/load/sim_events.h"

#include <glib.h>

struct sim_events {
    GArray *heap;
    uint64_t next_order;
};

sim_events *sim_events_new(void) {
    sim_events *events = g_new0(sim_events, 1);
    events->heap = g_array_new(FALSE, FALSE, sizeof(sim_event));
    return events;
}

void sim_events_free(sim_events *events) {
    g_array_free(events->heap, TRUE);
    g_free(events);
}

static bool is_before(const sim_event *left, const sim_event *right) {
    if (left->time_ms != right->time_ms)
        return left->time_ms < right->time_ms;
    return left->order < right->order;
}

static sim_event *at(sim_events *events, guint index) {
    return &g_array_index(events->heap, sim_event, index);
}

static void swap(sim_events *events, guint left, guint right) {
    sim_event kept = *at(events, left);
    *at(events, left) = *at(events, right);
    *at(events, right) = kept;
}

void sim_events_add(sim_events *events, sim_event event) {
    event.order = events->next_order++;
    g_array_append_val(events->heap, event);
    guint index = events->heap->len - 1;
    while (index > 0 && is_before(at(events, index), at(events, (index - 1) / 2))) {
        swap(events, index, (index - 1) / 2);
        index = (index - 1) / 2;
    }
}

bool sim_events_next(sim_events *events, sim_event *event) {
    if (events->heap->len == 0)
        return false;
    *event = *at(events, 0);
    swap(events, 0, events->heap->len - 1);
    g_array_set_size(events->heap, events->heap->len - 1);
    guint index = 0;
    for (;;) {
        guint first = index;
        for (guint child = 2 * index + 1; child <= 2 * index + 2 && child < events->heap->len;
             child++)
            if (is_before(at(events, child), at(events, first)))
                first = child;
        if (first == index)
            return true;
        swap(events, index, first);
        index = first;
    }
}
