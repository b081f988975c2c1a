/**
 * @file job_scheduler.c  Which items start now, and how much of the engines they may take; see
 * job_owner.h.
 */
#include "jobs/job_owner_state.h"

#include "base/clock.h"
#include "jobs/job_room.h"

#define DEFAULT_MAX_ATTEMPTS 3
#define GIVE_UP_SLACK_MS 2000
#define DEFAULT_RETENTION_MS 60000

/** An item that may start now. */
typedef struct {
    hs_owned_partition_state *home;
    hs_owned_item *item;
    uint64_t due_ms; /**< Wall clock. */
    uint64_t submitted_ms;
    uint32_t max_attempts;
    bool gives_up;
    const char *service; /**< Interned. */
} ready_item;

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

static void add_job(hs_owned_partition_state *home, const hs_job *job,
                    const hs_fleet_config *config, GArray *ready) {
    const hs_fleet_route *route = hs_fleet_config_find_route(config, job->host, job->target);
    uint64_t now_ms = hs_clock_monotonic_ms();
    uint64_t retention_ms = job->retention_ms > 0 ? job->retention_ms : DEFAULT_RETENTION_MS;
    uint64_t wall_ms = hs_clock_wall_ms();
    for (uint32_t index = 0; index < job->items->len; index++) {
        if (g_array_index(job->items, hs_job_item, index).listed)
            continue;
        hs_owned_item *item = item_for(home, job, index);
        item->run->give_up_ms = item->seen_ms + retention_ms;
        if (item->stage != HS_ITEM_WAITING || item->next_try_ms > now_ms)
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

static void collect(hs_owned_partition_state *home, const hs_fleet_config *config, GArray *ready) {
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

static uint32_t live_daemons(hs_job_owner *owner) {
    return owner->settings.live_daemons(owner->settings.user_data);
}

static void start_item(hs_job_owner *owner, const ready_item *ready) {
    hs_item_order *order = g_new0(hs_item_order, 1);
    order->home = ready->home;
    order->item = ready->item;
    order->max_attempts = ready->max_attempts;
    order->gives_up = ready->gives_up;
    ready->item->stage = HS_ITEM_RUNNING;
    owner->running++;
    g_thread_pool_push(owner->workers, order, NULL);
}

/** One pass over all owned partitions. The caller holds the lock. */
static void start_items(hs_job_owner *owner, const hs_fleet_config *config) {
    g_autoptr(GArray) ready = g_array_new(FALSE, FALSE, sizeof(ready_item));
    for (guint part = 0; part < owner->partitions->len; part++) {
        hs_owned_partition_state *home = owner->partitions->pdata[part];
        if (home->owned && hs_clock_monotonic_ms() >= home->start_ms)
            collect(home, config, ready);
    }
    if (ready->len == 0 || owner->draining)
        return;
    g_array_sort(ready, by_due_time);
    uint32_t started = 0;
    for (guint index = 0; index < ready->len && owner->running < HS_JOB_WORKERS_MAX; index++) {
        const ready_item *entry = &g_array_index(ready, ready_item, index);
        if (!entry->gives_up) {
            hs_service_room room = hs_fleet_engines_room(owner->settings.engines, entry->service);
            if (started >= hs_job_room(&room, live_daemons(owner)))
                break;
        }
        start_item(owner, entry);
        started++;
    }
}

gpointer hs_job_scheduler_run(gpointer data) {
    hs_job_owner *owner = data;
    g_mutex_lock(&owner->lock);
    while (!owner->stopping) {
        hs_fleet_config *config = hs_config_source_get(owner->settings.config);
        if (config != NULL)
            start_items(owner, config);
        if (owner->running > 0)
            hs_fleet_engines_yield(owner->settings.engines);
        hs_fleet_config_unref(config);
        gint64 until = g_get_monotonic_time() + HS_JOB_PASS_MS * G_TIME_SPAN_MILLISECOND;
        g_cond_wait_until(&owner->changed, &owner->lock, until);
    }
    g_mutex_unlock(&owner->lock);
    return NULL;
}
