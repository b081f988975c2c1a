/** @file scheduler.c  The scheduler's thread and the handling of its events. See scheduler.h. */
#include "scheduling/scheduler.h"

#include "base/clock.h"
#include "engine/cancel_queue.h"
#include "scheduling/scheduler_state.h"

#include <arpa/inet.h>
#include <string.h>

#define EVENT_RING_SIZE 16384
#define EVENT_WAIT_MS 5
/** Delay in ms of the run after an item's first failure; doubles with each further one. */
#define RETRY_DELAY_MS 200
#define MAX_RETRY_DOUBLINGS 4U
#define MAX_ITEM_FAILURES 1
#define RUNNER_THREADS 512

hs_scheduler *hs_scheduler_new(const hs_scheduler_context *context) {
    hs_scheduler *scheduler = g_new0(hs_scheduler, 1);
    scheduler->context = *context;
    scheduler->pacing = (hs_pacing_settings){
        .max_batch = (uint32_t)context->settings->max_batch_per_engine,
        .max_beside_online = (uint32_t)context->settings->batch_beside_online,
        .max_start_beside_online = (uint32_t)context->settings->batch_start_beside_online,
        .idle_hold_ms = (uint32_t)context->settings->idle_hold_ms,
        .start_interval_ms = (uint32_t)context->settings->start_interval_ms};
    scheduler->events = hs_ring_new(EVENT_RING_SIZE);
    scheduler->engines =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, (GDestroyNotify)hs_batch_engine_free);
    scheduler->queued = g_ptr_array_new();
    scheduler->items = g_ptr_array_new();
    scheduler->runners =
        g_thread_pool_new(hs_scheduler_run_item, scheduler, RUNNER_THREADS, FALSE, NULL);
    g_mutex_init(&scheduler->counter_lock);
    scheduler->scheduled = g_array_new(FALSE, TRUE, sizeof(hs_scheduled_engine));
    return scheduler;
}

void hs_scheduler_free(hs_scheduler *scheduler) {
    hs_ring_free(scheduler->events);
    g_hash_table_destroy(scheduler->engines);
    g_ptr_array_free(scheduler->queued, TRUE);
    g_ptr_array_free(scheduler->items, TRUE);
    g_mutex_clear(&scheduler->counter_lock);
    g_array_free(scheduler->scheduled, TRUE);
    g_free(scheduler);
}

static void acknowledge_notice(hs_scheduler *scheduler, const hs_batch_engine *engine,
                               const struct sockaddr_in *to) {
    Hs__EngineLoad load = HS__ENGINE_LOAD__INIT;
    load.engine_id = (char *)engine->id;
    load.online_in_flight = engine->load.total;
    load.batch_in_flight = engine->running->len;
    load.leaving = engine->leaving;
    Hs__PeerMessage message = HS__PEER_MESSAGE__INIT;
    message.kind_case = HS__PEER_MESSAGE__KIND_ENGINE_LOAD;
    message.engine_load = &load;
    hs_membership_service_reply(scheduler->context.membership, to, &message);
}

static void handle_notice(hs_scheduler *scheduler, const scheduler_event *event, uint64_t now_ms) {
    const Hs__OnlineNotice *notice = event->message->online_notice;
    hs_batch_engine *engine = g_hash_table_lookup(scheduler->engines, notice->engine_id);
    if (engine == NULL)
        return;
    hs_online_load_apply_notice(&engine->load, event->message->sender_id,
                                event->message->sender_incarnation, notice->sequence,
                                notice->in_flight, now_ms);
    hs_scheduler_preempt_excess(scheduler, engine, now_ms);
    acknowledge_notice(scheduler, engine, &event->from);
    COUNT(scheduler, notices, 1);
}

static bool has_grant(hs_scheduler *scheduler, const Hs__Grant *message) {
    for (guint index = 0; index < scheduler->items->len; index++) {
        const hs_held_grant *grant = ((hs_batch_item *)scheduler->items->pdata[index])->grant;
        if (grant->partition == message->partition && grant->epoch == message->epoch &&
            grant->grant_id == message->grant_id)
            return true;
    }
    return false;
}

static void handle_grants(hs_scheduler *scheduler, const scheduler_event *event) {
    const Hs__GrantReply *reply = event->message->grant_reply;
    uint64_t incarnation = hs_membership_service_incarnation(scheduler->context.membership);
    if (reply->n_grants > 0)
        scheduler->next_pull_ms = 0;
    for (size_t index = 0; index < reply->n_grants; index++) {
        const Hs__Grant *message = reply->grants[index];
        if (has_grant(scheduler, message))
            continue;
        hs_held_grant *grant =
            hs_held_grant_new(message, event->message->sender_id, incarnation, reply->sent_ms);
        for (uint32_t offset = 0; offset < message->item_count; offset++) {
            hs_batch_item *item = hs_batch_item_new(grant, message->first_item + offset);
            g_ptr_array_add(scheduler->queued, item);
            g_ptr_array_add(scheduler->items, item);
        }
        hs_held_grant_release(grant);
    }
}

static bool is_grant_of(const hs_held_grant *grant, const Hs__GrantRef *ref) {
    return grant->partition == ref->partition && grant->epoch == ref->epoch &&
           grant->grant_id == ref->grant_id;
}

/** Marks grants as revoked and cancels their ordinary items at the engines. */
static void handle_revocation(hs_scheduler *scheduler, const scheduler_event *event) {
    const Hs__GrantRevoke *revoke = event->message->grant_revoke;
    for (size_t index = 0; index < revoke->n_grants; index++) {
        const Hs__GrantRef *ref = revoke->grants[index];
        for (guint position = 0; position < scheduler->items->len; position++) {
            hs_batch_item *item = scheduler->items->pdata[position];
            hs_held_grant *grant = item->grant;
            if (!is_grant_of(grant, ref))
                continue;
            /* A run-once item that may have started continues: its outcome must be recorded. */
            if (grant->run_once && item->state == HS_ITEM_RUNNING)
                continue;
            g_atomic_int_set(&grant->revoked, 1);
            if (item->on_engine)
                hs_engine_cancel_soon(item->engine_url, item->attempt_id);
        }
    }
}

static void handle_confirmation(hs_scheduler *scheduler, const scheduler_event *event) {
    const Hs__GrantConfirm *confirm = event->message->grant_confirm;
    for (size_t index = 0; index < confirm->n_grants; index++) {
        const Hs__GrantRef *ref = confirm->grants[index];
        for (guint position = 0; position < scheduler->items->len; position++) {
            hs_held_grant *grant = ((hs_batch_item *)scheduler->items->pdata[position])->grant;
            if (is_grant_of(grant, ref))
                hs_held_grant_confirm(grant, confirm->sent_ms + ref->start_within_ms);
        }
    }
}

static void handle_engine_free(hs_scheduler *scheduler, hs_batch_item *item) {
    hs_batch_engine *engine = g_hash_table_lookup(scheduler->engines, item->engine_id);
    if (engine != NULL)
        g_ptr_array_remove(engine->running, item);
    item->on_engine = false;
}

/** Whether the item may be run here only, since other items that do not fail keep its grant. */
static bool is_grant_kept(const hs_scheduler *scheduler, const hs_batch_item *item) {
    bool is_kept = false;
    for (guint index = 0; index < scheduler->items->len && !is_kept; index++) {
        const hs_batch_item *other = scheduler->items->pdata[index];
        is_kept =
            other != item && other->grant == item->grant && other->failures <= MAX_ITEM_FAILURES;
    }
    return is_kept;
}

/** Whether a failed item is left to another scheduler: the owner grants it again once its grant is
 * no longer renewed. */
static bool must_release(const hs_scheduler *scheduler, const hs_batch_item *item) {
    return item->failures > MAX_ITEM_FAILURES && !item->grant->run_once &&
           !is_grant_kept(scheduler, item);
}

static uint64_t get_retry_delay_ms(const hs_batch_item *item) {
    uint32_t doublings = item->failures > 0 ? item->failures - 1 : 0;
    return (uint64_t)RETRY_DELAY_MS << MIN(doublings, MAX_RETRY_DOUBLINGS);
}

static void handle_item_end(hs_scheduler *scheduler, hs_batch_item *item, hs_item_end end,
                            uint64_t now_ms) {
    hs_batch_engine *engine = g_hash_table_lookup(scheduler->engines, item->engine_id);
    if (end == HS_ITEM_RECORDED || end == HS_ITEM_DROPPED) {
        if (engine != NULL && end == HS_ITEM_RECORDED)
            hs_batch_engine_note_success(engine);
        COUNT(scheduler, items_recorded, end == HS_ITEM_RECORDED);
        hs_scheduler_remove_item(scheduler, item);
        return;
    }
    bool preempted = item->preempted;
    bool failed = !preempted && end != HS_ITEM_HELD;
    item->failures += failed;
    if (engine != NULL && failed)
        hs_batch_engine_note_failure(engine, now_ms);
    if (must_release(scheduler, item)) {
        hs_scheduler_remove_item(scheduler, item);
        return;
    }
    item->state = HS_ITEM_QUEUED;
    item->not_before_ms = preempted ? now_ms : now_ms + get_retry_delay_ms(item);
    g_ptr_array_insert(scheduler->queued, 0, item);
    COUNT(scheduler, items_retried, 1);
}

static void handle_event(hs_scheduler *scheduler, scheduler_event *event, uint64_t now_ms) {
    switch (event->kind) {
    case EVENT_NOTICE:
        handle_notice(scheduler, event, now_ms);
        break;
    case EVENT_GRANTS:
        handle_grants(scheduler, event);
        break;
    case EVENT_REVOKE:
        handle_revocation(scheduler, event);
        break;
    case EVENT_CONFIRM:
        handle_confirmation(scheduler, event);
        break;
    case EVENT_ENGINE_FREE:
        handle_engine_free(scheduler, event->item);
        break;
    case EVENT_ITEM_END:
        handle_item_end(scheduler, event->item, event->end, now_ms);
        break;
    }
    if (event->message != NULL)
        hs__peer_message__free_unpacked(event->message, NULL);
    g_free(event);
}

/** Drops the queued items of a draining daemon; other daemons get them after the lease. */
static void drop_queued_items(hs_scheduler *scheduler) {
    while (scheduler->queued->len > 0) {
        hs_batch_item *item = g_ptr_array_steal_index(scheduler->queued, 0);
        hs_scheduler_remove_item(scheduler, item);
    }
}

static gpointer run_scheduler(gpointer data) {
    hs_scheduler *scheduler = data;
    while (g_atomic_int_get(&scheduler->stopping) == 0) {
        scheduler_event *event = hs_ring_take(scheduler->events, EVENT_WAIT_MS);
        uint64_t now_ms = hs_clock_monotonic_ms();
        while (event != NULL) {
            handle_event(scheduler, event, now_ms);
            event = hs_ring_take(scheduler->events, 0);
        }
        hs_scheduler_assign_engines(scheduler, now_ms);
        if (g_atomic_int_get(&scheduler->draining) != 0)
            drop_queued_items(scheduler);
        hs_scheduler_start_items(scheduler, now_ms);
        hs_scheduler_pull_items(scheduler, now_ms);
        hs_scheduler_renew_grants(scheduler, now_ms);
        g_atomic_int_set((gint *)&scheduler->item_count, (gint)scheduler->items->len);
    }
    return NULL;
}

void hs_scheduler_start(hs_scheduler *scheduler) {
    scheduler->thread = g_thread_new("scheduler", run_scheduler, scheduler);
}

void hs_scheduler_drain(hs_scheduler *scheduler) {
    g_atomic_int_set(&scheduler->draining, 1);
}

uint32_t hs_scheduler_busy_count(hs_scheduler *scheduler) {
    return (uint32_t)g_atomic_int_get((gint *)&scheduler->item_count);
}

void hs_scheduler_stop(hs_scheduler *scheduler) {
    g_atomic_int_set(&scheduler->stopping, 1);
    g_thread_join(scheduler->thread);
}

static bool get_event_kind(const Hs__PeerMessage *message, event_kind *kind) {
    switch (message->kind_case) {
    case HS__PEER_MESSAGE__KIND_ONLINE_NOTICE:
        *kind = EVENT_NOTICE;
        return true;
    case HS__PEER_MESSAGE__KIND_GRANT_REPLY:
        *kind = EVENT_GRANTS;
        return true;
    case HS__PEER_MESSAGE__KIND_GRANT_REVOKE:
        *kind = EVENT_REVOKE;
        return true;
    case HS__PEER_MESSAGE__KIND_GRANT_CONFIRM:
        *kind = EVENT_CONFIRM;
        return true;
    default:
        return false;
    }
}

/** Copies a message by serialising it. Free with hs__peer_message__free_unpacked. */
static Hs__PeerMessage *copy_message(const Hs__PeerMessage *message) {
    size_t length = hs__peer_message__get_packed_size(message);
    g_autofree uint8_t *bytes = g_malloc(length);
    hs__peer_message__pack(message, bytes);
    return hs__peer_message__unpack(NULL, length, bytes);
}

bool hs_scheduler_handle(hs_scheduler *scheduler, const Hs__PeerMessage *message,
                         const struct sockaddr_in *from) {
    event_kind kind;
    if (!get_event_kind(message, &kind))
        return false;
    scheduler_event *event = g_new0(scheduler_event, 1);
    event->kind = kind;
    event->message = copy_message(message);
    event->from = *from;
    if (hs_ring_put(scheduler->events, event))
        return true;
    /* The protocol tolerates lost datagrams. */
    hs__peer_message__free_unpacked(event->message, NULL);
    g_free(event);
    return true;
}

GArray *hs_scheduler_engines(hs_scheduler *scheduler) {
    g_mutex_lock(&scheduler->counter_lock);
    GArray *copy = g_array_copy(scheduler->scheduled);
    g_mutex_unlock(&scheduler->counter_lock);
    return copy;
}

hs_scheduler_counters hs_scheduler_read_counters(hs_scheduler *scheduler) {
    g_mutex_lock(&scheduler->counter_lock);
    hs_scheduler_counters counters = scheduler->counters;
    g_mutex_unlock(&scheduler->counter_lock);
    return counters;
}
