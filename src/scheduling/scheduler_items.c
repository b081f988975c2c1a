/** @file scheduler_items.c  Starts, runs and preempts items on engines. */
#include "base/clock.h"
#include "engine/cancel_queue.h"
#include "scheduling/scheduler_state.h"

#include <string.h>

#define RING_RETRY_MS 1

/** Sends an item's event to the scheduler's thread; waits while the ring is full. */
static void post_item_event(hs_scheduler *scheduler, event_kind kind, hs_batch_item *item,
                            hs_item_end end) {
    scheduler_event *event = g_new0(scheduler_event, 1);
    event->kind = kind;
    event->item = item;
    event->end = end;
    while (!hs_ring_put(scheduler->events, event))
        hs_clock_sleep_ms(RING_RETRY_MS);
}

typedef struct {
    hs_scheduler *scheduler;
    hs_batch_item *item;
} engine_free_context;

static void post_engine_free(void *user_data) {
    engine_free_context *context = user_data;
    post_item_event(context->scheduler, EVENT_ENGINE_FREE, context->item, HS_ITEM_RETRY);
}

void hs_scheduler_run_item(gpointer data, gpointer user_data) {
    hs_batch_item *item = data;
    hs_scheduler *scheduler = user_data;
    const hs_held_grant *grant = item->grant;
    hs_item_work work = {.partition = grant->partition,
                         .epoch = grant->epoch,
                         .job_id = grant->job_id,
                         .endpoint = grant->endpoint,
                         .chunk_offset = grant->chunk_offset,
                         .index_in_chunk = item->item - grant->chunk_first_item,
                         .item = item->item,
                         .run_once = grant->run_once,
                         .attempt_id = item->attempt_id,
                         .engine_url = item->engine_url,
                         .revoked = &grant->revoked,
                         .start_until_ms = &grant->start_until_ms,
                         .progress = &item->progress};
    engine_free_context free_context = {.scheduler = scheduler, .item = item};
    hs_item_end end =
        hs_item_run(scheduler->context.runner, &work, post_engine_free, &free_context);
    post_item_event(scheduler, EVENT_ITEM_END, item, end);
}

void hs_scheduler_preempt_excess(hs_scheduler *scheduler, hs_batch_engine *engine,
                                 uint64_t now_ms) {
    uint32_t excess = hs_batch_engine_excess_count(engine, &scheduler->pacing, now_ms);
    GPtrArray *cancelled = g_ptr_array_new_with_free_func(g_free);
    for (guint index = engine->running->len; index > 0 && excess > 0; index--) {
        hs_batch_item *item = engine->running->pdata[index - 1];
        if (!item->preempted && item->grant->run_once)
            continue;
        excess--;
        if (item->preempted)
            continue;
        item->preempted = true;
        g_ptr_array_add(cancelled, g_strdup(item->attempt_id));
    }
    COUNT(scheduler, preemptions, cancelled->len);
    if (cancelled->len > 0)
        hs_engine_cancel_many_soon(engine->url, cancelled);
    else
        g_ptr_array_free(cancelled, TRUE);
}

/**
 * Returns the engine with the most free slots for the item's model, or NULL. The engine that holds
 * the tokens of the item's preempted run is preferred.
 */
static hs_batch_engine *choose_engine(hs_scheduler *scheduler, const hs_batch_item *item,
                                      uint64_t now_ms) {
    hs_batch_engine *best = NULL;
    uint32_t max_free_slots = 0;
    GHashTableIter iterator;
    gpointer data;
    g_hash_table_iter_init(&iterator, scheduler->engines);
    while (g_hash_table_iter_next(&iterator, NULL, &data)) {
        hs_batch_engine *engine = data;
        uint32_t free_slots = hs_batch_engine_free_slot_count(engine, &scheduler->pacing, now_ms);
        if (free_slots == 0 || !hs_batch_engine_has_model(engine, item->grant->model))
            continue;
        if (item->progress.resumable && strcmp(engine->url, item->progress.engine_url) == 0)
            return engine;
        if (free_slots <= max_free_slots)
            continue;
        best = engine;
        max_free_slots = free_slots;
    }
    return best;
}

static void start_item(hs_scheduler *scheduler, hs_batch_item *item, hs_batch_engine *engine,
                       uint64_t now_ms) {
    hs_batch_item_assign_attempt_id(item, scheduler->context.settings->daemon_id, engine->url);
    g_strlcpy(item->engine_id, engine->id, sizeof item->engine_id);
    g_strlcpy(item->engine_url, engine->url, sizeof item->engine_url);
    item->state = HS_ITEM_RUNNING;
    item->on_engine = true;
    item->preempted = false;
    item->started_ms = now_ms;
    engine->last_start_ms = now_ms;
    g_ptr_array_add(engine->running, item);
    COUNT(scheduler, items_started, 1);
    g_thread_pool_push(scheduler->runners, item, NULL);
}

void hs_scheduler_remove_item(hs_scheduler *scheduler, hs_batch_item *item) {
    g_ptr_array_remove(scheduler->items, item);
    hs_batch_item_free(item);
}

/** Returns true if the item's grant was revoked or belongs to an earlier incarnation. */
static bool is_item_void(const hs_batch_item *item, uint64_t incarnation) {
    return g_atomic_int_get(&item->grant->revoked) != 0 || item->grant->incarnation != incarnation;
}

void hs_scheduler_start_items(hs_scheduler *scheduler, uint64_t now_ms) {
    uint64_t incarnation = hs_membership_service_incarnation(scheduler->context.membership);
    for (guint index = 0; index < scheduler->queued->len;) {
        hs_batch_item *item = scheduler->queued->pdata[index];
        if (is_item_void(item, incarnation)) {
            g_ptr_array_remove_index(scheduler->queued, index);
            hs_scheduler_remove_item(scheduler, item);
            continue;
        }
        bool may_start =
            now_ms >= item->not_before_ms && hs_held_grant_may_start(item->grant, now_ms);
        hs_batch_engine *engine = may_start ? choose_engine(scheduler, item, now_ms) : NULL;
        if (engine == NULL) {
            index++;
            continue;
        }
        g_ptr_array_remove_index(scheduler->queued, index);
        start_item(scheduler, item, engine, now_ms);
    }
}
