/**
 * @file job_scheduler.c  Which items start now; see job_owner.h.
 *
 * Each pass collects the open items of the owned partitions, has job_plan.c order them, and starts
 * the first ones while engines have free slots.
 */
#include "jobs/job_owner_state.h"

#include "base/clock.h"
#include "base/log.h"
#include "jobs/job_plan.h"
#include "jobs/job_room.h"
#include "jobs/job_starts.h"

#define DEFAULT_MAX_ATTEMPTS 3
#define GIVE_UP_SLACK_MS 2000
#define DEFAULT_RETENTION_MS 60000

static uint64_t retention_of(const hs_job *job) {
    return job->retention_ms > 0 ? job->retention_ms : DEFAULT_RETENTION_MS;
}

static hs_owned_item *item_for(hs_owned_partition_state *home, const hs_job *job, uint32_t index) {
    char *key = g_strdup_printf("%s/%u", job->id, index);
    hs_owned_item *item = g_hash_table_lookup(home->items, key);
    if (item != NULL) {
        g_free(key);
        return item;
    }
    item = g_new0(hs_owned_item, 1);
    item->run = hs_item_run_new(job, index);
    item->seen_ms = hs_clock_monotonic_ms();
    g_hash_table_insert(home->items, key, item);
    return item;
}

/** What is left to run of an item: of a running one what was expected at its start, less its time.
 */
static uint64_t remaining_ms(const hs_owned_partition_state *home, const hs_owned_item *item,
                             uint64_t now_ms) {
    if (item->stage == HS_ITEM_WAITING)
        return hs_item_pace_remaining_ms(&home->owner->pace, item->run->tokens,
                                         item->run->events.last_id);
    uint64_t ran_ms = now_ms - item->started_ms;
    return item->remaining_ms > ran_ms ? item->remaining_ms - ran_ms : 0;
}

/** Both clocks must agree that an item's time is over: the wall clock may jump. */
static bool is_time_over(const hs_job *job, const hs_owned_item *item, uint64_t wall_ms,
                         uint64_t now_ms) {
    return wall_ms > job->submitted_ms + retention_of(job) + GIVE_UP_SLACK_MS &&
           now_ms > item->seen_ms + GIVE_UP_SLACK_MS;
}

static void add_job(hs_owned_partition_state *home, const hs_job *job,
                    const hs_fleet_config *config, GArray *open) {
    const hs_fleet_route *route = hs_fleet_config_find_route(config, job->host, job->target);
    uint64_t now_ms = hs_clock_monotonic_ms();
    uint64_t wall_ms = hs_clock_wall_ms();
    for (uint32_t index = 0; index < job->items->len; index++) {
        if (g_array_index(job->items, hs_job_item, index).listed)
            continue;
        hs_owned_item *item = item_for(home, job, index);
        item->run->give_up_ms = item->seen_ms + retention_of(job);
        bool is_waiting = item->stage == HS_ITEM_WAITING;
        hs_open_item entry = {
            .home = home,
            .item = item,
            .left_ms = (int64_t)(job->submitted_ms + job->due_ms) - (int64_t)wall_ms,
            .remaining_ms = remaining_ms(home, item, now_ms),
            .may_start = is_waiting && item->next_try_ms <= now_ms,
            .is_expired = is_waiting && is_time_over(job, item, wall_ms, now_ms),
            .max_attempts = route != NULL ? route->max_attempts : DEFAULT_MAX_ATTEMPTS,
            .service = route != NULL ? g_intern_string(
                                           g_array_index(route->shares, hs_route_share, 0).service)
                                     : NULL};
        if (item->stage != HS_ITEM_STORED && (route != NULL || entry.is_expired))
            g_array_append_val(open, entry);
    }
}

/** Items of jobs that are over need nothing more: stop what runs of them. */
static gboolean drop_if_over(gpointer key, gpointer value, gpointer user_data) {
    (void)key;
    hs_owned_item *item = value;
    const hs_job_state *state = user_data;
    const hs_job *job = hs_job_state_find(state, item->run->job_id);
    bool over = job == NULL || job->ended ||
                g_array_index(job->items, hs_job_item, item->run->index).listed;
    if (!over)
        return FALSE;
    hs_interrupt_raise(&item->run->interrupt, HS_INTERRUPT_STOP);
    return item->stage != HS_ITEM_RUNNING;
}

static void collect(hs_owned_partition_state *home, const hs_fleet_config *config, GArray *open) {
    hs_job_state *state = hs_job_partition_lock(home->partition);
    g_autoptr(GPtrArray) jobs = hs_job_state_list(state);
    g_hash_table_foreach_remove(home->items, drop_if_over, state);
    for (guint index = 0; index < jobs->len; index++)
        if (hs_job_is_open(jobs->pdata[index]))
            add_job(home, jobs->pdata[index], config, open);
    hs_job_partition_unlock(home->partition);
}

/** Why this one, now. */
static void log_start(const hs_open_item *open, const hs_service_capacity *room,
                      const hs_service_starts *starts, guint count) {
    const hs_item_run *run = open->item->run;
    hs_log_info("item_started",
                "job=%s item=%s tries=%u last_event=%" G_GUINT64_FORMAT " left_ms=%" G_GINT64_FORMAT
                " remaining_ms=%" G_GUINT64_FORMAT
                " rank_ms=%d open=%u slots=%u believed_online=%.1f believed_batch=%.1f"
                " expected_online=%.1f pressing=%d sends_share=%.2f pieces_share=%.2f",
                run->job_id, run->item_id, open->item->tries, (guint64)run->events.last_id,
                (gint64)open->left_ms, (guint64)open->remaining_ms, open->rank_ms, count,
                room->slots, room->online, room->batch, starts->expected_online, open->is_urgent,
                1 - starts->sends.held_back, 1 - starts->pieces.held_back);
}

static void start_item(hs_job_owner *owner, const hs_open_item *open) {
    hs_item_order *order = g_new0(hs_item_order, 1);
    order->home = open->home;
    order->item = open->item;
    order->max_attempts = open->max_attempts;
    order->rank_ms = open->rank_ms;
    order->service = open->service;
    order->is_expired = open->is_expired;
    open->item->stage = HS_ITEM_RUNNING;
    open->item->started_ms = hs_clock_monotonic_ms();
    open->item->remaining_ms = open->remaining_ms;
    open->item->is_sent_noted = false;
    open->item->is_piece_noted = false;
    owner->running++;
    g_thread_pool_push(owner->workers, order, NULL);
}

bool hs_job_owner_may_run(const hs_owned_partition_state *home, uint64_t now_ms) {
    return home->owned && now_ms >= home->start_ms &&
           hs_job_partition_is_current(home->partition, home->taken_ms);
}

/** Items of one service in one pass. */
typedef struct {
    uint32_t started;
    uint32_t most;         /**< That may start. */
    uint32_t most_waiting; /**< The same of items that are not pressing. */
    bool is_full;          /**< It has no room left. */
} pass_count;

/** What one pass started. */
typedef struct {
    GHashTable *counts; /**< Service (interned) -> pass_count*. */
    uint32_t daemons;   /**< Live ones. */
} pass_starts;

static pass_count *count_of(hs_job_owner *owner, const char *service,
                            const hs_service_capacity *room, const pass_starts *pass) {
    pass_count *count = g_hash_table_lookup(pass->counts, service);
    if (count != NULL)
        return count;
    hs_service_starts *starts = hs_job_starts_for_service(owner, service);
    uint32_t all = hs_job_capacity_now(room, pass->daemons, owner->partitions->len);
    double spare = room->slots - room->online - room->batch;
    count = g_new0(pass_count, 1);
    count->most = hs_start_throttle_begin_pass(&starts->sends, all, spare);
    count->most_waiting = hs_start_throttle_begin_pass(&starts->pieces, all, spare);
    g_hash_table_insert(pass->counts, (gpointer)service, count);
    return count;
}

/** How many items may start with this one: fewer before a wave or in it, unless it is pressing. */
static uint32_t most_of(hs_job_owner *owner, const hs_open_item *entry,
                        const hs_service_capacity *room, const pass_starts *pass) {
    if (entry->is_urgent)
        return hs_job_capacity_now(room, pass->daemons, owner->partitions->len);
    const pass_count *count = count_of(owner, entry->service, room, pass);
    double expected = hs_job_starts_for_service(owner, entry->service)->expected_online;
    uint32_t left = hs_job_capacity_expected(room, expected, pass->daemons, owner->partitions->len);
    return MIN(MIN(count->most, count->most_waiting), left);
}

/** Whether an item may start now, and count it where it may. */
static bool take_room(hs_job_owner *owner, const hs_open_item *entry, pass_starts *pass,
                      guint open_count) {
    hs_service_capacity room = hs_fleet_engines_capacity(owner->settings.engines, entry->service);
    pass_count *count = count_of(owner, entry->service, &room, pass);
    if (count->is_full)
        return false;
    if (count->started >= most_of(owner, entry, &room, pass)) {
        count->is_full = true;
        return false;
    }
    count->started++;
    log_start(entry, &room, hs_job_starts_for_service(owner, entry->service), open_count);
    return true;
}

/**
 * One pass over all owned partitions. A service without room holds back its own items only: those
 * of other services, and those whose time is over, do not wait for engines that may never come. The
 * caller holds the lock.
 */
static void start_items(hs_job_owner *owner, const hs_fleet_config *config) {
    g_autoptr(GArray) open = g_array_new(FALSE, FALSE, sizeof(hs_open_item));
    for (guint part = 0; part < owner->partitions->len; part++) {
        hs_owned_partition_state *home = owner->partitions->pdata[part];
        if (hs_job_owner_may_run(home, hs_clock_monotonic_ms()))
            collect(home, config, open);
    }
    hs_job_starts_observe(owner, open);
    hs_job_plan_make(owner, open);
    g_autoptr(GHashTable) counts =
        g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, g_free);
    pass_starts pass = {.counts = counts,
                        .daemons = owner->settings.live_daemons(owner->settings.user_data)};
    for (guint index = 0; index < open->len && !owner->draining; index++) {
        const hs_open_item *entry = &g_array_index(open, hs_open_item, index);
        if (!entry->may_start && !entry->is_expired)
            continue;
        if (owner->running >= HS_JOB_WORKERS_MAX)
            break;
        if (entry->is_expired || take_room(owner, entry, &pass, open->len))
            start_item(owner, entry);
    }
}

/** Until the next pass: a daemon without partitions has nothing to look at. */
static uint64_t pause_ms(const hs_job_owner *owner) {
    return owner->tails > 0 || owner->running > 0 ? HS_JOB_PASS_MS : HS_JOB_IDLE_PASS_MS;
}

gpointer hs_job_scheduler_run(gpointer data) {
    hs_job_owner *owner = data;
    g_mutex_lock(&owner->lock);
    while (!owner->stopping) {
        hs_fleet_config *config = hs_config_source_get(owner->settings.config);
        hs_job_owner_give_up_superseded(owner);
        if (config != NULL)
            start_items(owner, config);
        if (owner->running > 0)
            hs_fleet_engines_preempt_excess(owner->settings.engines);
        hs_fleet_config_unref(config);
        hs_pause pause = hs_clock_pause_begin(pause_ms(owner));
        hs_clock_pause_wait(&pause, &owner->changed, &owner->lock);
    }
    g_mutex_unlock(&owner->lock);
    return NULL;
}
