/** @file scheduler.c  The scheduler's thread; see scheduler.h. */
#include "scheduling/scheduler.h"

#include "base/clock.h"
#include "base/log.h"
#include "base/ring.h"
#include "config/config_object.h"
#include "engine/engine_client.h"
#include "scheduling/engine_slot.h"

#include <arpa/inet.h>
#include <string.h>

#define EVENT_RING_SIZE 16384
#define EVENT_WAIT_MS 5
#define ASSIGN_INTERVAL_MS 250
#define PULL_INTERVAL_MS 20
#define PULL_MAX_ITEMS 64
#define LOAD_STALE_MS 10000
#define AGAIN_DELAY_MS 200
#define REFUSED_DELAY_MS 500
#define RUNNER_THREADS 512
#define RING_RETRY_MS 1

typedef enum {
    EVENT_NOTICE,      /**< An edge counts its online requests on an engine. */
    EVENT_GRANTS,      /**< An owner handed out items. */
    EVENT_REVOKE,      /**< An owner took grants back. */
    EVENT_ENGINE_FREE, /**< An item no longer occupies its engine. */
    EVENT_ITEM_END,    /**< An item's run is over. */
} event_kind;

typedef struct {
    event_kind kind;
    Hs__PeerMessage *message; /**< Copy; freed with the event. NULL for item events. */
    struct sockaddr_in from;
    hs_batch_item *item;
    hs_item_end end;
} scheduler_event;

/** Versions of all that an assignment of engines depends on. */
typedef struct {
    uint64_t live_version;
    uint64_t engines_version;
    uint64_t config_offset;
} assignment_basis;

struct hs_scheduler {
    hs_scheduler_context context;
    hs_pacing_settings pacing;
    hs_ring *events;
    GThreadPool *runners;
    GThreadPool *cancellers;
    GThread *thread;
    gint draining;
    gint stopping;

    /* Of the scheduler's thread alone. */
    GHashTable *slots;   /**< engine id -> hs_engine_slot */
    GPtrArray *queued;   /**< of hs_batch_item*, owned */
    uint32_t item_count; /**< Items queued or running. */
    assignment_basis basis;
    uint64_t next_assign_ms;
    uint64_t next_pull_ms;
    uint64_t next_renew_ms;
    uint64_t pull_sequence;
    GPtrArray *items; /**< of hs_batch_item*: all, queued and running; borrowed */

    GMutex counter_lock;
    GArray *scheduled; /**< of hs_scheduled_engine; for other threads */
    hs_scheduler_counters counters;
};

static void run_item(gpointer data, gpointer user_data);
static void cancel_item(gpointer data, gpointer user_data);

hs_scheduler *hs_scheduler_new(const hs_scheduler_context *context) {
    hs_scheduler *scheduler = g_new0(hs_scheduler, 1);
    scheduler->context = *context;
    scheduler->pacing =
        (hs_pacing_settings){.max_batch = (uint32_t)context->settings->max_batch_per_engine,
                             .beside_online = (uint32_t)context->settings->batch_beside_online,
                             .start_beside = (uint32_t)context->settings->batch_start_beside_online,
                             .idle_hold_ms = (uint32_t)context->settings->idle_hold_ms,
                             .start_interval_ms = (uint32_t)context->settings->start_interval_ms};
    scheduler->events = hs_ring_new(EVENT_RING_SIZE);
    scheduler->slots =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, (GDestroyNotify)hs_engine_slot_free);
    scheduler->queued = g_ptr_array_new();
    scheduler->items = g_ptr_array_new();
    scheduler->runners = g_thread_pool_new(run_item, scheduler, RUNNER_THREADS, FALSE, NULL);
    scheduler->cancellers = g_thread_pool_new(cancel_item, scheduler, 16, FALSE, NULL);
    g_mutex_init(&scheduler->counter_lock);
    scheduler->scheduled = g_array_new(FALSE, TRUE, sizeof(hs_scheduled_engine));
    return scheduler;
}

void hs_scheduler_free(hs_scheduler *scheduler) {
    hs_ring_free(scheduler->events);
    g_hash_table_destroy(scheduler->slots);
    g_ptr_array_free(scheduler->queued, TRUE);
    g_ptr_array_free(scheduler->items, TRUE);
    g_mutex_clear(&scheduler->counter_lock);
    g_array_free(scheduler->scheduled, TRUE);
    g_free(scheduler);
}

#define COUNT(scheduler, field, amount)                                                            \
    do {                                                                                           \
        g_mutex_lock(&(scheduler)->counter_lock);                                                  \
        (scheduler)->counters.field += (amount);                                                   \
        g_mutex_unlock(&(scheduler)->counter_lock);                                                \
    } while (0)

/* ---- Items on worker threads ------------------------------------------------------------ */

/** Hand an item's event to the scheduler; waits while the ring is full. */
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
    post_item_event(context->scheduler, EVENT_ENGINE_FREE, context->item, HS_ITEM_AGAIN);
}

static void run_item(gpointer data, gpointer user_data) {
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
                         .progress = &item->progress};
    engine_free_context free_context = {.scheduler = scheduler, .item = item};
    hs_item_end end =
        hs_item_run(scheduler->context.runner, &work, post_engine_free, &free_context);
    post_item_event(scheduler, EVENT_ITEM_END, item, end);
}

/** A cancel order for the engine, as values: the item may be gone when it is sent. */
typedef struct {
    char engine_url[64];
    char attempt_id[96];
} cancel_order;

static void cancel_item(gpointer data, gpointer user_data) {
    (void)user_data;
    cancel_order *order = data;
    hs_engine_cancel(order->engine_url, order->attempt_id);
    g_free(order);
}

static void send_cancel(hs_scheduler *scheduler, const hs_batch_item *item) {
    cancel_order *order = g_new0(cancel_order, 1);
    g_strlcpy(order->engine_url, item->engine_url, sizeof order->engine_url);
    g_strlcpy(order->attempt_id, item->attempt_id, sizeof order->attempt_id);
    g_thread_pool_push(scheduler->cancellers, order, NULL);
}

/* ---- Engines ------------------------------------------------------------------------------ */

static void add_models(GPtrArray *models, const hs_engine_group *group) {
    for (guint index = 0; index < group->models->len; index++)
        g_ptr_array_add(models, g_strdup(group->models->pdata[index]));
}

/** Models of the batch groups whose selector the engine's labels match. */
static void refresh_models(hs_engine_slot *slot, const hs_config_view *view, const json_t *labels) {
    g_ptr_array_set_size(slot->models, 0);
    for (guint index = 0; index < view->groups->len; index++) {
        const hs_engine_group *group = view->groups->pdata[index];
        if (group->batch && hs_selector_matches(group->selector, labels))
            add_models(slot->models, group);
    }
}

static bool is_scheduled_here(hs_scheduler *scheduler, const hs_engine_info *info) {
    hs_membership *membership = hs_membership_service_lock(scheduler->context.membership);
    const hs_member *first = hs_membership_rank_first(membership, info->id, info->zone);
    bool here = first == hs_membership_self(membership);
    hs_membership_service_unlock(scheduler->context.membership);
    return here;
}

static hs_engine_slot *slot_of(hs_scheduler *scheduler, const char *engine_id, const char *url) {
    hs_engine_slot *slot = g_hash_table_lookup(scheduler->slots, engine_id);
    if (slot != NULL)
        return slot;
    slot = hs_engine_slot_new(engine_id, url);
    g_hash_table_insert(scheduler->slots, slot->id, slot);
    return slot;
}

static bool edge_is_live(const char *edge_id, void *user_data) {
    const hs_member *member = hs_membership_find(user_data, edge_id);
    return member != NULL && member->state != HS_MEMBER_DEAD;
}

static void prune_loads(hs_scheduler *scheduler, uint64_t now_ms) {
    hs_membership *membership = hs_membership_service_lock(scheduler->context.membership);
    GHashTableIter iterator;
    gpointer data;
    g_hash_table_iter_init(&iterator, scheduler->slots);
    while (g_hash_table_iter_next(&iterator, NULL, &data))
        hs_online_load_prune(&((hs_engine_slot *)data)->load, edge_is_live, membership, now_ms,
                             LOAD_STALE_MS);
    hs_membership_service_unlock(scheduler->context.membership);
}

/** What the assignment was worked out from. */
static assignment_basis read_basis(hs_scheduler *scheduler) {
    hs_membership *membership = hs_membership_service_lock(scheduler->context.membership);
    assignment_basis basis = {.live_version = hs_membership_live_version(membership)};
    hs_membership_service_unlock(scheduler->context.membership);
    basis.engines_version = hs_engine_table_version(scheduler->context.engines);
    basis.config_offset = hs_config_store_offset(scheduler->context.config);
    return basis;
}

/** Which engines are ours and what they serve: engines times members, so only after a change. */
static void reassign_engines(hs_scheduler *scheduler, uint64_t now_ms) {
    GHashTableIter iterator;
    gpointer data;
    g_hash_table_iter_init(&iterator, scheduler->slots);
    while (g_hash_table_iter_next(&iterator, NULL, &data))
        ((hs_engine_slot *)data)->assigned = false;
    hs_config_view *view = hs_config_store_view(scheduler->context.config);
    GArray *infos = hs_engine_table_infos(scheduler->context.engines, now_ms);
    for (guint index = 0; index < infos->len; index++) {
        const hs_engine_info *info = &g_array_index(infos, hs_engine_info, index);
        if (!is_scheduled_here(scheduler, info))
            continue;
        hs_engine_slot *slot = slot_of(scheduler, info->id, info->url);
        g_strlcpy(slot->url, info->url, sizeof slot->url);
        slot->assigned = true;
        refresh_models(slot, view, info->labels);
    }
    hs_engine_infos_free(infos);
    hs_config_view_release(view);
}

/** Let other threads know which engines are ours. */
static void publish_scheduled(hs_scheduler *scheduler) {
    g_mutex_lock(&scheduler->counter_lock);
    g_array_set_size(scheduler->scheduled, 0);
    GHashTableIter iterator;
    gpointer data;
    g_hash_table_iter_init(&iterator, scheduler->slots);
    while (g_hash_table_iter_next(&iterator, NULL, &data)) {
        const hs_engine_slot *slot = data;
        hs_scheduled_engine engine = {{0}, {0}};
        g_strlcpy(engine.id, slot->id, sizeof engine.id);
        g_strlcpy(engine.url, slot->url, sizeof engine.url);
        if (slot->assigned)
            g_array_append_val(scheduler->scheduled, engine);
    }
    g_mutex_unlock(&scheduler->counter_lock);
}

/** Note which of our engines are to be avoided. @return engines that are ours. */
static uint32_t refresh_slots(hs_scheduler *scheduler, uint64_t now_ms) {
    uint32_t assigned = 0;
    GHashTableIter iterator;
    gpointer data;
    g_hash_table_iter_init(&iterator, scheduler->slots);
    while (g_hash_table_iter_next(&iterator, NULL, &data)) {
        hs_engine_slot *slot = data;
        slot->leaving = hs_engine_table_is_avoided(scheduler->context.engines, slot->id, now_ms);
        assigned += slot->assigned;
    }
    return assigned;
}

static void assign_engines(hs_scheduler *scheduler, uint64_t now_ms) {
    if (now_ms < scheduler->next_assign_ms)
        return;
    scheduler->next_assign_ms = now_ms + ASSIGN_INTERVAL_MS;
    assignment_basis basis = read_basis(scheduler);
    if (memcmp(&basis, &scheduler->basis, sizeof basis) != 0) {
        scheduler->basis = basis;
        reassign_engines(scheduler, now_ms);
        publish_scheduled(scheduler);
    }
    uint32_t assigned = refresh_slots(scheduler, now_ms);
    prune_loads(scheduler, now_ms);
    g_mutex_lock(&scheduler->counter_lock);
    scheduler->counters.engines = assigned;
    scheduler->counters.running = scheduler->items->len - scheduler->queued->len;
    scheduler->counters.queued = scheduler->queued->len;
    g_mutex_unlock(&scheduler->counter_lock);
}

/* ---- Stepping aside and starting ---------------------------------------------------------- */

/** Cancel the newest items above the limit; run-once items are never cancelled. */
static void step_aside(hs_scheduler *scheduler, hs_engine_slot *slot, uint64_t now_ms) {
    uint32_t excess = hs_engine_slot_excess(slot, &scheduler->pacing, now_ms);
    for (guint index = slot->running->len; index > 0 && excess > 0; index--) {
        hs_batch_item *item = slot->running->pdata[index - 1];
        if (item->stepping_aside) {
            excess--;
            continue;
        }
        if (item->grant->run_once)
            continue;
        item->stepping_aside = true;
        excess--;
        send_cancel(scheduler, item);
        COUNT(scheduler, preemptions, 1);
    }
}

/**
 * The assigned engine with the most room for the item's model, or NULL; the one that has the item's
 * tokens goes first.
 */
static hs_engine_slot *choose_slot(hs_scheduler *scheduler, const hs_batch_item *item,
                                   uint64_t now_ms) {
    hs_engine_slot *best = NULL;
    uint32_t best_room = 0;
    GHashTableIter iterator;
    gpointer data;
    g_hash_table_iter_init(&iterator, scheduler->slots);
    while (g_hash_table_iter_next(&iterator, NULL, &data)) {
        hs_engine_slot *slot = data;
        uint32_t room = hs_engine_slot_room(slot, &scheduler->pacing, now_ms);
        if (room == 0 || !hs_engine_slot_serves(slot, item->grant->model))
            continue;
        if (item->progress.resumable && strcmp(slot->url, item->progress.engine_url) == 0)
            return slot;
        if (room <= best_room)
            continue;
        best = slot;
        best_room = room;
    }
    return best;
}

static void start_item(hs_scheduler *scheduler, hs_batch_item *item, hs_engine_slot *slot,
                       uint64_t now_ms) {
    hs_batch_item_name_attempt(item, scheduler->context.settings->daemon_id, slot->url);
    g_strlcpy(item->engine_id, slot->id, sizeof item->engine_id);
    g_strlcpy(item->engine_url, slot->url, sizeof item->engine_url);
    item->state = HS_ITEM_RUNNING;
    item->on_engine = true;
    item->stepping_aside = false;
    item->started_ms = now_ms;
    slot->last_start_ms = now_ms;
    g_ptr_array_add(slot->running, item);
    COUNT(scheduler, items_started, 1);
    g_thread_pool_push(scheduler->runners, item, NULL);
}

static void forget_item(hs_scheduler *scheduler, hs_batch_item *item) {
    g_ptr_array_remove(scheduler->items, item);
    hs_batch_item_free(item);
}

/** True when the item must not be started: its grant was revoked or is of an ended incarnation. */
static bool item_is_void(hs_scheduler *scheduler, const hs_batch_item *item) {
    hs_membership *membership = hs_membership_service_lock(scheduler->context.membership);
    uint64_t incarnation = hs_membership_self(membership)->incarnation;
    hs_membership_service_unlock(scheduler->context.membership);
    return g_atomic_int_get(&item->grant->revoked) != 0 || item->grant->incarnation != incarnation;
}

static void start_items(hs_scheduler *scheduler, uint64_t now_ms) {
    for (guint index = 0; index < scheduler->queued->len;) {
        hs_batch_item *item = scheduler->queued->pdata[index];
        if (item_is_void(scheduler, item)) {
            g_ptr_array_remove_index(scheduler->queued, index);
            forget_item(scheduler, item);
            continue;
        }
        hs_engine_slot *slot =
            now_ms >= item->not_before_ms ? choose_slot(scheduler, item, now_ms) : NULL;
        if (slot == NULL) {
            index++;
            continue;
        }
        g_ptr_array_remove_index(scheduler->queued, index);
        start_item(scheduler, item, slot, now_ms);
    }
}

/* ---- Pulling and renewing ----------------------------------------------------------------- */

/** Room on our engines, and the models they serve. @p models: borrowed strings, appended. */
static uint32_t total_room(hs_scheduler *scheduler, uint64_t now_ms, GPtrArray *models) {
    uint32_t room = 0;
    GHashTableIter iterator;
    gpointer data;
    g_hash_table_iter_init(&iterator, scheduler->slots);
    while (g_hash_table_iter_next(&iterator, NULL, &data)) {
        const hs_engine_slot *slot = data;
        uint32_t slot_room = hs_engine_slot_room(slot, &scheduler->pacing, now_ms);
        room += slot_room;
        for (guint index = 0; slot_room > 0 && index < slot->models->len; index++)
            if (!g_ptr_array_find_with_equal_func(models, slot->models->pdata[index], g_str_equal,
                                                  NULL))
                g_ptr_array_add(models, slot->models->pdata[index]);
    }
    return room;
}

/** Partitions whose owners say they have items ready. */
static GArray *ready_partitions(hs_scheduler *scheduler) {
    GArray *partitions = g_array_new(FALSE, FALSE, sizeof(uint32_t));
    g_autoptr(GPtrArray) members = g_ptr_array_new();
    hs_membership *membership = hs_membership_service_lock(scheduler->context.membership);
    hs_membership_list(membership, members);
    for (guint index = 0; index < members->len; index++) {
        const hs_member *member = members->pdata[index];
        if (!hs_member_is_live(member))
            continue;
        for (guint position = 0; position < member->owned->len; position++) {
            const hs_owned_partition *owned =
                &g_array_index(member->owned, hs_owned_partition, position);
            if (owned->has_ready_items)
                g_array_append_val(partitions, owned->partition);
        }
    }
    hs_membership_service_unlock(scheduler->context.membership);
    return partitions;
}

static void send_to_owner(hs_scheduler *scheduler, uint32_t partition, Hs__PeerMessage *message) {
    uint32_t epoch = 0;
    hs_membership *membership = hs_membership_service_lock(scheduler->context.membership);
    const hs_member *owner = hs_membership_owner(membership, partition, &epoch);
    uint32_t address = owner != NULL ? owner->address : 0;
    uint16_t port = owner != NULL ? owner->peer_port : 0;
    hs_membership_service_unlock(scheduler->context.membership);
    if (port == 0)
        return;
    hs_membership_service_sign(scheduler->context.membership, message);
    hs_peer_socket_send(scheduler->context.socket, address, port, message);
}

static void pull_items(hs_scheduler *scheduler, uint64_t now_ms) {
    if (now_ms < scheduler->next_pull_ms || g_atomic_int_get(&scheduler->draining) != 0)
        return;
    scheduler->next_pull_ms = now_ms + PULL_INTERVAL_MS;
    g_autoptr(GPtrArray) models = g_ptr_array_new();
    uint32_t room = total_room(scheduler, now_ms, models);
    if (room <= scheduler->queued->len)
        return;
    g_autoptr(GArray) partitions = ready_partitions(scheduler);
    if (partitions->len == 0)
        return;
    uint32_t partition =
        g_array_index(partitions, uint32_t, scheduler->pull_sequence % partitions->len);
    Hs__PullRequest request = HS__PULL_REQUEST__INIT;
    request.partition = partition;
    request.want = MIN(room - scheduler->queued->len, PULL_MAX_ITEMS);
    request.sequence = ++scheduler->pull_sequence;
    request.n_models = models->len;
    request.models = (char **)models->pdata;
    Hs__PeerMessage message = HS__PEER_MESSAGE__INIT;
    message.kind_case = HS__PEER_MESSAGE__KIND_PULL_REQUEST;
    message.pull_request = &request;
    send_to_owner(scheduler, partition, &message);
    COUNT(scheduler, pulls, 1);
}

static void renew_grant(hs_scheduler *scheduler, const hs_held_grant *grant) {
    Hs__GrantRef ref = HS__GRANT_REF__INIT;
    ref.partition = grant->partition;
    ref.epoch = grant->epoch;
    ref.grant_id = grant->grant_id;
    Hs__GrantRef *refs[] = {&ref};
    Hs__GrantRenew renew = HS__GRANT_RENEW__INIT;
    renew.n_grants = 1;
    renew.grants = refs;
    Hs__PeerMessage message = HS__PEER_MESSAGE__INIT;
    message.kind_case = HS__PEER_MESSAGE__KIND_GRANT_RENEW;
    message.grant_renew = &renew;
    send_to_owner(scheduler, grant->partition, &message);
}

/** Keep the grants of all our items alive. */
static void renew_grants(hs_scheduler *scheduler, uint64_t now_ms) {
    if (now_ms < scheduler->next_renew_ms)
        return;
    scheduler->next_renew_ms = now_ms + (uint64_t)scheduler->context.settings->grant_lease_ms / 3;
    g_autoptr(GHashTable) renewed = g_hash_table_new(g_direct_hash, g_direct_equal);
    for (guint index = 0; index < scheduler->items->len; index++) {
        const hs_batch_item *item = scheduler->items->pdata[index];
        if (g_hash_table_add(renewed, item->grant))
            renew_grant(scheduler, item->grant);
    }
}

/* ---- Events ------------------------------------------------------------------------------- */

static void acknowledge_notice(hs_scheduler *scheduler, const hs_engine_slot *slot,
                               const struct sockaddr_in *to) {
    Hs__EngineLoad load = HS__ENGINE_LOAD__INIT;
    load.engine_id = (char *)slot->id;
    load.online_in_flight = slot->load.total;
    load.batch_in_flight = slot->running->len;
    load.leaving = slot->leaving;
    Hs__PeerMessage message = HS__PEER_MESSAGE__INIT;
    hs_membership_service_sign(scheduler->context.membership, &message);
    message.kind_case = HS__PEER_MESSAGE__KIND_ENGINE_LOAD;
    message.engine_load = &load;
    hs_peer_socket_send(scheduler->context.socket, ntohl(to->sin_addr.s_addr), ntohs(to->sin_port),
                        &message);
}

static void take_notice(hs_scheduler *scheduler, const scheduler_event *event, uint64_t now_ms) {
    const Hs__OnlineNotice *notice = event->message->online_notice;
    hs_engine_slot *slot = g_hash_table_lookup(scheduler->slots, notice->engine_id);
    if (slot == NULL)
        return;
    hs_online_load_notice(&slot->load, event->message->sender_id,
                          event->message->sender_incarnation, notice->sequence, notice->in_flight,
                          now_ms);
    step_aside(scheduler, slot, now_ms);
    acknowledge_notice(scheduler, slot, &event->from);
    COUNT(scheduler, notices, 1);
}

static bool holds_grant(hs_scheduler *scheduler, const Hs__Grant *message) {
    for (guint index = 0; index < scheduler->items->len; index++) {
        const hs_held_grant *grant = ((hs_batch_item *)scheduler->items->pdata[index])->grant;
        if (grant->partition == message->partition && grant->epoch == message->epoch &&
            grant->grant_id == message->grant_id)
            return true;
    }
    return false;
}

static void take_grants(hs_scheduler *scheduler, const scheduler_event *event) {
    const Hs__GrantReply *reply = event->message->grant_reply;
    hs_membership *membership = hs_membership_service_lock(scheduler->context.membership);
    uint64_t incarnation = hs_membership_self(membership)->incarnation;
    hs_membership_service_unlock(scheduler->context.membership);
    if (reply->n_grants > 0)
        scheduler->next_pull_ms = 0;
    for (size_t index = 0; index < reply->n_grants; index++) {
        const Hs__Grant *message = reply->grants[index];
        if (holds_grant(scheduler, message))
            continue;
        hs_held_grant *grant = hs_held_grant_new(message, event->message->sender_id, incarnation);
        for (uint32_t offset = 0; offset < message->item_count; offset++) {
            hs_batch_item *item = hs_batch_item_new(grant, message->first_item + offset);
            g_ptr_array_add(scheduler->queued, item);
            g_ptr_array_add(scheduler->items, item);
        }
        hs_held_grant_release(grant);
    }
}

/** Mark revoked grants; ordinary items on engines are cancelled there. */
static void take_revocation(hs_scheduler *scheduler, const scheduler_event *event) {
    const Hs__GrantRevoke *revoke = event->message->grant_revoke;
    for (size_t index = 0; index < revoke->n_grants; index++) {
        const Hs__GrantRef *ref = revoke->grants[index];
        for (guint position = 0; position < scheduler->items->len; position++) {
            hs_batch_item *item = scheduler->items->pdata[position];
            hs_held_grant *grant = item->grant;
            if (grant->partition != ref->partition || grant->epoch != ref->epoch ||
                grant->grant_id != ref->grant_id)
                continue;
            /* A run-once item that may already run goes on: its outcome must be known. */
            if (grant->run_once && item->state == HS_ITEM_RUNNING)
                continue;
            g_atomic_int_set(&grant->revoked, 1);
            if (item->on_engine)
                send_cancel(scheduler, item);
        }
    }
}

static void take_engine_free(hs_scheduler *scheduler, hs_batch_item *item) {
    hs_engine_slot *slot = g_hash_table_lookup(scheduler->slots, item->engine_id);
    if (slot != NULL)
        g_ptr_array_remove(slot->running, item);
    item->on_engine = false;
}

static void take_item_end(hs_scheduler *scheduler, hs_batch_item *item, hs_item_end end,
                          uint64_t now_ms) {
    if (end == HS_ITEM_RECORDED || end == HS_ITEM_DROPPED) {
        COUNT(scheduler, items_recorded, end == HS_ITEM_RECORDED);
        forget_item(scheduler, item);
        return;
    }
    bool stepped_aside = item->stepping_aside;
    item->state = HS_ITEM_QUEUED;
    item->not_before_ms = stepped_aside ? now_ms : now_ms + AGAIN_DELAY_MS;
    g_ptr_array_insert(scheduler->queued, 0, item);
    COUNT(scheduler, items_again, 1);
    hs_engine_slot *slot = g_hash_table_lookup(scheduler->slots, item->engine_id);
    if (slot != NULL && !stepped_aside)
        slot->refused_until_ms = now_ms + REFUSED_DELAY_MS;
}

static void take_event(hs_scheduler *scheduler, scheduler_event *event, uint64_t now_ms) {
    switch (event->kind) {
    case EVENT_NOTICE:
        take_notice(scheduler, event, now_ms);
        break;
    case EVENT_GRANTS:
        take_grants(scheduler, event);
        break;
    case EVENT_REVOKE:
        take_revocation(scheduler, event);
        break;
    case EVENT_ENGINE_FREE:
        take_engine_free(scheduler, event->item);
        break;
    case EVENT_ITEM_END:
        take_item_end(scheduler, event->item, event->end, now_ms);
        break;
    }
    if (event->message != NULL)
        hs__peer_message__free_unpacked(event->message, NULL);
    g_free(event);
}

static gpointer run_scheduler(gpointer data) {
    hs_scheduler *scheduler = data;
    while (g_atomic_int_get(&scheduler->stopping) == 0) {
        scheduler_event *event = hs_ring_take(scheduler->events, EVENT_WAIT_MS);
        uint64_t now_ms = hs_clock_monotonic_ms();
        while (event != NULL) {
            take_event(scheduler, event, now_ms);
            event = hs_ring_take(scheduler->events, 0);
        }
        assign_engines(scheduler, now_ms);
        start_items(scheduler, now_ms);
        pull_items(scheduler, now_ms);
        renew_grants(scheduler, now_ms);
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

static bool kind_of_message(const Hs__PeerMessage *message, event_kind *kind) {
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
    default:
        return false;
    }
}

/** A deep copy by way of the wire form. */
static Hs__PeerMessage *copy_message(const Hs__PeerMessage *message) {
    size_t length = hs__peer_message__get_packed_size(message);
    g_autofree uint8_t *bytes = g_malloc(length);
    hs__peer_message__pack(message, bytes);
    return hs__peer_message__unpack(NULL, length, bytes);
}

bool hs_scheduler_handle(hs_scheduler *scheduler, const Hs__PeerMessage *message,
                         const struct sockaddr_in *from) {
    event_kind kind;
    if (!kind_of_message(message, &kind))
        return false;
    scheduler_event *event = g_new0(scheduler_event, 1);
    event->kind = kind;
    event->message = copy_message(message);
    event->from = *from;
    if (hs_ring_put(scheduler->events, event))
        return true;
    /* A full ring drops the datagram, as the network may: the protocol heals a lost one. */
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
