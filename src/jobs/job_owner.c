/** @file job_owner.c  Group membership, the order of items, and their workers; see job_owner.h. */
#include "jobs/job_owner.h"

#include "base/clock.h"
#include "base/log.h"
#include "jobs/item_run.h"

#include <string.h>

#define JOIN_PER_TTL 3
#define JOIN_LIMIT_MS 900
#define PASS_MS 100
#define TAIL_HOLD_MS 1000
#define TRIM_INTERVAL_MS 10000
#define RETRY_LEAST_MS 50
#define RETRY_MOST_MS 1000
#define YIELD_PAUSE_MS 400
#define TAKEOVER_PAUSE_MS 250
#define APPEND_LIMIT_MS 1500
#define WORKERS_MAX 256
/** Room kept for online requests, in times of their peak of late: with time left, and without. */
#define PEAK_ROOM_CALM 0.9
#define PEAK_ROOM_URGENT 0.4
/** Share of slots that batch items may take at most, with time left and without, and at least. */
#define BATCH_SHARE_CALM 0.6
#define BATCH_SHARE_MOST 0.9
#define BATCH_SHARE_LEAST 0.1
#define DEFAULT_MAX_ATTEMPTS 3
#define GIVE_UP_SLACK_MS 2000
#define DEFAULT_RETENTION_MS 60000

/** Where an item stands with its owner. */
typedef enum { ITEM_WAITING, ITEM_RUNNING, ITEM_STORED } item_stage;

/** An item's volatile part. */
typedef struct {
    hs_item_run *run;
    item_stage stage;
    uint32_t failures;
    uint32_t tries;
    uint64_t next_try_ms;
    uint64_t seen_ms;
} owned_item;

/** One owned partition. */
typedef struct {
    hs_job_owner *owner;
    hs_job_partition *partition;
    GHashTable *items; /**< "job/index" -> owned_item* */
    bool owned;        /**< Dealt to this daemon now. */
    uint64_t start_ms; /**< No item starts before: the owner before may still hand over. */
    bool tail_stopped;
    GThread *tail;
} owned_partition;

struct hs_job_owner {
    hs_job_owner_settings settings;
    GMutex lock;
    GCond changed;
    GPtrArray *partitions; /**< of owned_partition*, one for each partition there is. */
    uint64_t generation;
    bool stopping;
    bool draining;
    uint32_t running;
    uint32_t tails;
    GThreadPool *workers;
    GThread *group;
    GThread *scheduler;
};

/** What a worker gets: all it needs besides the owner's lock. */
typedef struct {
    owned_partition *home;
    owned_item *item;
    double batch_share;
    uint32_t max_attempts;
    bool gives_up;   /**< Its time is over: list it as dead. */
    bool hands_over; /**< Only store what there is of it, for the next owner. */
} item_order;

static void free_item(gpointer data) {
    owned_item *item = data;
    hs_item_run_free(item->run);
    g_free(item);
}

static void run_worker(gpointer data, gpointer user_data);

static void free_partition(gpointer data) {
    owned_partition *home = data;
    g_hash_table_destroy(home->items);
    g_free(home);
}

hs_job_owner *hs_job_owner_new(const hs_job_owner_settings *settings) {
    hs_job_owner *owner = g_new0(hs_job_owner, 1);
    owner->settings = *settings;
    g_mutex_init(&owner->lock);
    g_cond_init(&owner->changed);
    owner->partitions = g_ptr_array_new_with_free_func(free_partition);
    for (uint32_t part = 0; part < settings->part_count; part++) {
        owned_partition *home = g_new0(owned_partition, 1);
        home->owner = owner;
        home->partition = hs_job_service_partition(settings->jobs, part);
        home->items = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_item);
        g_ptr_array_add(owner->partitions, home);
    }
    owner->workers = g_thread_pool_new(run_worker, owner, WORKERS_MAX, FALSE, NULL);
    return owner;
}

/* ---- the group ---- */

/** Runs as long as the partition is owned: keeps the fold at the log's end. */
static gpointer run_tail(gpointer data) {
    owned_partition *home = data;
    hs_job_owner *owner = home->owner;
    uint64_t next_trim_ms = hs_clock_monotonic_ms() + TRIM_INTERVAL_MS;
    g_mutex_lock(&owner->lock);
    while (home->owned && !owner->stopping) {
        g_mutex_unlock(&owner->lock);
        uint64_t next = hs_job_state_next(hs_job_partition_lock(home->partition));
        hs_job_partition_unlock(home->partition);
        uint64_t now_ms = hs_clock_monotonic_ms();
        hs_job_partition_hold(home->partition, next, now_ms + TAIL_HOLD_MS);
        if (now_ms >= next_trim_ms) {
            hs_job_partition_trim(home->partition, now_ms + APPEND_LIMIT_MS);
            next_trim_ms = now_ms + TRIM_INTERVAL_MS;
        }
        g_mutex_lock(&owner->lock);
        g_cond_broadcast(&owner->changed);
    }
    home->tail_stopped = true;
    owner->tails--;
    g_cond_broadcast(&owner->changed);
    g_mutex_unlock(&owner->lock);
    return NULL;
}

/**
 * Interrupt all runs of a partition; what they made is stored for the next owner. The caller holds
 * the lock.
 */
static void abandon_runs(owned_partition *home) {
    hs_job_owner *owner = home->owner;
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, home->items);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        owned_item *item = value;
        g_atomic_int_set(&item->run->abandoned, 1);
        if (item->stage == ITEM_RUNNING)
            continue;
        if (item->stage == ITEM_STORED || item->run->events.event_count == 0) {
            g_hash_table_iter_remove(&iterator);
            continue;
        }
        item_order *order = g_new0(item_order, 1);
        order->home = home;
        order->item = item;
        order->hands_over = true;
        item->stage = ITEM_RUNNING;
        owner->running++;
        g_thread_pool_push(owner->workers, order, NULL);
    }
}

/** The caller holds the lock. */
static void take_partition(owned_partition *home) {
    home->start_ms = hs_clock_monotonic_ms() + TAKEOVER_PAUSE_MS;
    if (home->tail != NULL) {
        if (!home->tail_stopped) { /* Its thread still ends; it simply goes on. */
            home->owned = true;
            return;
        }
        g_thread_join(home->tail);
    }
    home->owned = true;
    home->tail_stopped = false;
    home->owner->tails++;
    home->tail = g_thread_new("job-tail", run_tail, home);
}

static void set_owned(hs_job_owner *owner, const GArray *parts) {
    g_mutex_lock(&owner->lock);
    for (guint part = 0; part < owner->partitions->len; part++) {
        owned_partition *home = owner->partitions->pdata[part];
        bool dealt = false;
        for (guint index = 0; index < parts->len && !dealt; index++)
            dealt = g_array_index(parts, uint32_t, index) == part;
        if (dealt == home->owned)
            continue;
        hs_log_info(dealt ? "partition_taken" : "partition_given_up",
                    "part=%u generation=%" G_GUINT64_FORMAT, part, (guint64)owner->generation);
        if (dealt) {
            take_partition(home);
        } else {
            home->owned = false;
            abandon_runs(home);
        }
    }
    g_cond_broadcast(&owner->changed);
    g_mutex_unlock(&owner->lock);
}

static hs_store_outcome join_group(hs_job_owner *owner) {
    hs_store_call call =
        hs_platform_join(owner->settings.member, owner->settings.group_ttl_ms, owner->generation);
    GByteArray *answer = g_byte_array_new();
    GArray *parts = g_array_new(FALSE, FALSE, sizeof(uint32_t));
    hs_store_outcome outcome = hs_store_client_send(
        owner->settings.store, &call, hs_clock_monotonic_ms() + JOIN_LIMIT_MS, NULL, answer);
    if (outcome == HS_STORE_DONE && hs_platform_read_joined(answer, &owner->generation, parts))
        set_owned(owner, parts);
    g_array_free(parts, TRUE);
    g_byte_array_free(answer, TRUE);
    return outcome;
}

static gpointer run_group(gpointer data) {
    hs_job_owner *owner = data;
    uint32_t interval_ms = owner->settings.group_ttl_ms / JOIN_PER_TTL;
    g_mutex_lock(&owner->lock);
    while (!owner->stopping) {
        g_mutex_unlock(&owner->lock);
        join_group(owner);
        gint64 until = g_get_monotonic_time() + (gint64)interval_ms * G_TIME_SPAN_MILLISECOND;
        g_mutex_lock(&owner->lock);
        while (!owner->stopping && g_cond_wait_until(&owner->changed, &owner->lock, until))
            continue;
    }
    g_mutex_unlock(&owner->lock);
    return NULL;
}

/* ---- workers ---- */

static hs_store_outcome store_result(owned_partition *home, const owned_item *item,
                                     hs_item_outcome outcome, const GString *text) {
    hs_job_owner *owner = home->owner;
    hs_store_outcome stored = HS_STORE_REFUSED;
    uint32_t attempt = 0;
    while (stored != HS_STORE_DONE && stored != HS_STORE_INVALID) {
        stored = hs_job_partition_append_result(
            home->partition, item->run->job_id, item->run->index, outcome, text,
            hs_job_partition_patience(home->partition, attempt++, text->len));
        g_mutex_lock(&owner->lock);
        bool goes_on = home->owned && !owner->stopping;
        g_mutex_unlock(&owner->lock);
        if (!goes_on)
            break;
        if (stored != HS_STORE_DONE)
            hs_clock_sleep_ms(RETRY_LEAST_MS);
    }
    return stored;
}

static uint64_t backoff_ms(uint32_t tries) {
    return MIN((uint64_t)RETRY_LEAST_MS << MIN(tries, 8), RETRY_MOST_MS);
}

/** List the item; true when nothing more is to be done for it. */
static bool conclude(const item_order *order, hs_item_outcome outcome) {
    GString *text =
        outcome == HS_ITEM_COMPLETED ? hs_item_run_text(order->item->run) : g_string_new(NULL);
    hs_store_outcome stored = store_result(order->home, order->item, outcome, text);
    hs_log_info("item_listed", "job=%s item=%s outcome=%s engine=%s tries=%u stored=%s bytes=%zu",
                order->item->run->job_id, order->item->run->item_id,
                outcome == HS_ITEM_COMPLETED ? "completed" : "dead",
                *order->item->run->engine_id != '\0' ? order->item->run->engine_id : "-",
                order->item->tries, hs_store_outcome_name(stored), text->len);
    g_string_free(text, TRUE);
    return stored == HS_STORE_DONE;
}

/** What a try means for the item. True: it is listed. */
static bool settle_try(const item_order *order, hs_item_try end) {
    owned_item *item = order->item;
    if (end != HS_ITEM_TRY_NO_ROOM && end != HS_ITEM_TRY_DONE)
        hs_log_info("item_try_ended", "job=%s item=%s engine=%s end=%s tries=%u events=%u",
                    item->run->job_id, item->run->item_id, item->run->engine_id,
                    hs_item_try_name(end), item->tries, (unsigned)item->run->events.event_count);
    item->failures += end == HS_ITEM_TRY_FAILED;
    if (end == HS_ITEM_TRY_DONE)
        return conclude(order, HS_ITEM_COMPLETED);
    if (end == HS_ITEM_TRY_IMPOSSIBLE || item->failures >= order->max_attempts)
        return conclude(order, HS_ITEM_DEAD);
    return false;
}

/** Store what there is of an unfinished item, so that the next owner goes on with it. */
static void hand_over(const item_order *order) {
    const hs_item_run *run = order->item->run;
    if (run->events.event_count == 0)
        return;
    GString *text = hs_item_run_text(run);
    hs_store_outcome stored = hs_job_partition_append_progress(
        order->home->partition, run->job_id, run->index, run->events.last_id, text,
        hs_clock_monotonic_ms() + APPEND_LIMIT_MS);
    hs_log_info("item_handed_over", "job=%s item=%s last_event=%" G_GUINT64_FORMAT " stored=%s",
                run->job_id, run->item_id, (guint64)run->events.last_id,
                hs_store_outcome_name(stored));
    g_string_free(text, TRUE);
}

/** Whether an interrupted item goes to another owner. */
static bool changes_owner(hs_job_owner *owner, const owned_partition *home) {
    g_mutex_lock(&owner->lock);
    bool changes = !home->owned || owner->draining;
    g_mutex_unlock(&owner->lock);
    return changes;
}

static void run_worker(gpointer data, gpointer user_data) {
    hs_job_owner *owner = user_data;
    item_order *order = data;
    owned_item *item = order->item;
    hs_fleet_config *config = hs_config_source_get(owner->settings.config);
    bool listed = false;
    hs_item_try end = HS_ITEM_TRY_NO_ROUTE;
    if (order->hands_over) {
        end = HS_ITEM_TRY_ABANDONED;
    } else if (order->gives_up) {
        listed = conclude(order, HS_ITEM_DEAD);
    } else if (config != NULL) {
        end = hs_item_run_try(item->run, order->home->partition, owner->settings.engines, config,
                              order->batch_share);
        listed = settle_try(order, end);
    }
    hs_fleet_config_unref(config);
    if (!listed && end != HS_ITEM_TRY_DONE && changes_owner(owner, order->home))
        hand_over(order);
    g_mutex_lock(&owner->lock);
    item->stage = listed ? ITEM_STORED : ITEM_WAITING;
    item->tries += end != HS_ITEM_TRY_NO_ROOM;
    uint64_t pause_ms = backoff_ms(item->failures);
    if (end == HS_ITEM_TRY_NO_ROOM)
        pause_ms = PASS_MS;
    else if (end == HS_ITEM_TRY_YIELDED)
        pause_ms = YIELD_PAUSE_MS;
    item->next_try_ms = hs_clock_monotonic_ms() + pause_ms;
    owner->running--;
    if (!order->home->owned || end == HS_ITEM_TRY_ABANDONED) {
        g_autofree char *key = g_strdup_printf("%s/%u", item->run->job_id, item->run->index);
        g_hash_table_remove(order->home->items, key);
    }
    g_cond_broadcast(&owner->changed);
    g_mutex_unlock(&owner->lock);
    g_free(order);
}

/* ---- the scheduler ---- */

/** An item that may start now. */
typedef struct {
    owned_partition *home;
    owned_item *item;
    uint64_t due_ms; /**< Wall clock. */
    uint64_t submitted_ms;
    uint32_t max_attempts;
    bool gives_up;
    const char *service; /**< Interned. */
} ready_item;

static owned_item *item_for(owned_partition *home, const hs_job *job, uint32_t index) {
    char *key = g_strdup_printf("%s/%u", job->id, index);
    owned_item *item = g_hash_table_lookup(home->items, key);
    if (item != NULL) {
        g_free(key);
        return item;
    }
    item = g_new0(owned_item, 1);
    item->run = hs_item_run_new(job, index);
    item->seen_ms = hs_clock_monotonic_ms();
    g_hash_table_insert(home->items, key, item);
    return item;
}

static void add_job(owned_partition *home, const hs_job *job, const hs_fleet_config *config,
                    GArray *ready) {
    const hs_fleet_route *route = hs_fleet_config_find_route(config, job->host, job->target);
    uint64_t now_ms = hs_clock_monotonic_ms();
    uint64_t retention_ms = job->retention_ms > 0 ? job->retention_ms : DEFAULT_RETENTION_MS;
    uint64_t wall_ms = hs_clock_wall_ms();
    for (uint32_t index = 0; index < job->items->len; index++) {
        if (g_array_index(job->items, hs_job_item, index).listed)
            continue;
        owned_item *item = item_for(home, job, index);
        item->run->give_up_ms = item->seen_ms + retention_ms;
        if (item->stage != ITEM_WAITING || item->next_try_ms > now_ms)
            continue;
        /* Both clocks must agree that its time is over: the wall clock may jump. */
        bool over = wall_ms > job->submitted_ms + retention_ms + GIVE_UP_SLACK_MS &&
                    now_ms > item->seen_ms + GIVE_UP_SLACK_MS;
        ready_item entry = {
            .home = home,
            .item = item,
            .due_ms = job->submitted_ms + job->due_ms,
            .submitted_ms = job->submitted_ms,
            .max_attempts = route != NULL ? route->max_attempts : DEFAULT_MAX_ATTEMPTS,
            .gives_up = over,
            .service = route != NULL ? g_intern_string(
                                           g_array_index(route->shares, hs_route_share, 0).service)
                                     : NULL};
        if (route != NULL || over)
            g_array_append_val(ready, entry);
    }
}

/** Items of jobs that are over need nothing more: stop what runs of them. */
static gboolean drop_if_over(gpointer key, gpointer value, gpointer user_data) {
    (void)key;
    owned_item *item = value;
    const hs_job_state *state = user_data;
    const hs_job *job = hs_job_state_find(state, item->run->job_id);
    bool over = job == NULL || job->ended ||
                g_array_index(job->items, hs_job_item, item->run->index).listed;
    if (!over)
        return FALSE;
    g_atomic_int_set(&item->run->abandoned, 1);
    return item->stage != ITEM_RUNNING;
}

static void collect(owned_partition *home, const hs_fleet_config *config, GArray *ready) {
    hs_job_state *state = hs_job_partition_lock(home->partition);
    g_autoptr(GPtrArray) jobs = hs_job_state_list(state);
    g_hash_table_foreach_remove(home->items, drop_if_over, state);
    for (guint index = 0; index < jobs->len; index++)
        if (hs_job_is_open(jobs->pdata[index]))
            add_job(home, jobs->pdata[index], config, ready);
    hs_job_partition_unlock(home->partition);
}

static gint by_due_time(gconstpointer first, gconstpointer second) {
    const ready_item *one = first;
    const ready_item *other = second;
    if (one->due_ms != other->due_ms)
        return one->due_ms < other->due_ms ? -1 : 1;
    return 0;
}

/** Share of its time that a job still has, 0 to 1. */
static double time_left(const ready_item *ready) {
    uint64_t wall_ms = hs_clock_wall_ms();
    if (ready->due_ms <= ready->submitted_ms || wall_ms >= ready->due_ms)
        return 0;
    double left = (double)(ready->due_ms - wall_ms) / (double)(ready->due_ms - ready->submitted_ms);
    return MIN(left, 1.0);
}

/**
 * Share of slots that batch items may take: what online requests at their peak leave. The less
 * time the item has, the less room is kept.
 */
static double batch_share(const hs_service_room *room, const ready_item *ready) {
    double left = time_left(ready);
    double times = PEAK_ROOM_URGENT + (PEAK_ROOM_CALM - PEAK_ROOM_URGENT) * left;
    double most = BATCH_SHARE_MOST + (BATCH_SHARE_CALM - BATCH_SHARE_MOST) * left;
    double free_slots = room->slots - times * room->online_peak;
    double share = room->slots > 0 ? free_slots / room->slots : 0;
    return CLAMP(share, BATCH_SHARE_LEAST, most);
}

/** This daemon's share of the room there is, so that all daemons together do not overfill it. */
static uint32_t room_for(hs_job_owner *owner, const hs_service_room *room, double share) {
    double spare = MIN(room->slots * share - room->batch,
                       room->slots * BATCH_SHARE_MOST - room->batch - room->online);
    uint32_t daemons = owner->settings.live_daemons(owner->settings.user_data);
    if (spare <= 0)
        return 0;
    return MAX((uint32_t)(spare / daemons), 1);
}

static void start_item(hs_job_owner *owner, const ready_item *ready, double share) {
    item_order *order = g_new0(item_order, 1);
    order->home = ready->home;
    order->item = ready->item;
    order->batch_share = share;
    order->max_attempts = ready->max_attempts;
    order->gives_up = ready->gives_up;
    ready->item->stage = ITEM_RUNNING;
    owner->running++;
    g_thread_pool_push(owner->workers, order, NULL);
}

/** One pass over all owned partitions. The caller holds the lock. */
static void start_items(hs_job_owner *owner, const hs_fleet_config *config) {
    g_autoptr(GArray) ready = g_array_new(FALSE, FALSE, sizeof(ready_item));
    for (guint part = 0; part < owner->partitions->len; part++) {
        owned_partition *home = owner->partitions->pdata[part];
        if (home->owned && hs_clock_monotonic_ms() >= home->start_ms)
            collect(home, config, ready);
    }
    if (ready->len == 0 || owner->draining)
        return;
    g_array_sort(ready, by_due_time);
    uint32_t started = 0;
    for (guint index = 0; index < ready->len && owner->running < WORKERS_MAX; index++) {
        const ready_item *entry = &g_array_index(ready, ready_item, index);
        double share = 0;
        if (!entry->gives_up) {
            hs_service_room room = hs_fleet_engines_room(owner->settings.engines, entry->service);
            share = batch_share(&room, entry);
            if (started >= room_for(owner, &room, share))
                break;
        }
        start_item(owner, entry, share);
        started++;
    }
}

static gpointer run_scheduler(gpointer data) {
    hs_job_owner *owner = data;
    g_mutex_lock(&owner->lock);
    while (!owner->stopping) {
        hs_fleet_config *config = hs_config_source_get(owner->settings.config);
        if (config != NULL)
            start_items(owner, config);
        if (owner->running > 0)
            hs_fleet_engines_yield(owner->settings.engines);
        hs_fleet_config_unref(config);
        gint64 until = g_get_monotonic_time() + PASS_MS * G_TIME_SPAN_MILLISECOND;
        g_cond_wait_until(&owner->changed, &owner->lock, until);
    }
    g_mutex_unlock(&owner->lock);
    return NULL;
}

/* ---- its life ---- */

void hs_job_owner_start(hs_job_owner *owner) {
    owner->group = g_thread_new("job-group", run_group, owner);
    owner->scheduler = g_thread_new("job-scheduler", run_scheduler, owner);
}

void hs_job_owner_drain(hs_job_owner *owner) {
    g_mutex_lock(&owner->lock);
    owner->draining = true;
    for (guint part = 0; part < owner->partitions->len; part++)
        abandon_runs(owner->partitions->pdata[part]);
    g_mutex_unlock(&owner->lock);
}

uint32_t hs_job_owner_running(hs_job_owner *owner) {
    g_mutex_lock(&owner->lock);
    uint32_t running = owner->running;
    g_mutex_unlock(&owner->lock);
    return running;
}

void hs_job_owner_leave(hs_job_owner *owner) {
    g_mutex_lock(&owner->lock);
    owner->stopping = true;
    for (guint part = 0; part < owner->partitions->len; part++) {
        owned_partition *home = owner->partitions->pdata[part];
        home->owned = false;
        abandon_runs(home);
    }
    g_cond_broadcast(&owner->changed);
    g_mutex_unlock(&owner->lock);
    if (owner->group != NULL)
        g_thread_join(owner->group);
    owner->group = NULL;
    hs_store_call call = hs_platform_leave(owner->settings.member, owner->generation);
    GByteArray *answer = g_byte_array_new();
    hs_store_client_send(owner->settings.store, &call, hs_clock_monotonic_ms() + JOIN_LIMIT_MS,
                         NULL, answer);
    g_byte_array_free(answer, TRUE);
}

void hs_job_owner_free(hs_job_owner *owner) {
    if (owner == NULL)
        return;
    if (owner->scheduler != NULL)
        g_thread_join(owner->scheduler);
    g_thread_pool_free(owner->workers, FALSE, TRUE);
    for (guint part = 0; part < owner->partitions->len; part++) {
        owned_partition *home = owner->partitions->pdata[part];
        if (home->tail != NULL)
            g_thread_join(home->tail);
    }
    g_ptr_array_free(owner->partitions, TRUE);
    g_cond_clear(&owner->changed);
    g_mutex_clear(&owner->lock);
    g_free(owner);
}
