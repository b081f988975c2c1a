/**
 * @file job_scheduler.c
 * Decides which items start; see job_owner.h. Each pass collects the open items of the owned
 * partitions, has job_plan.c order them, and starts the first ones while engines have free slots.
 */
#include "jobs/job_owner_state.h"

#include "base/clock.h"
#include "base/log.h"
#include "jobs/job_plan.h"
#include "jobs/job_regions.h"
#include "jobs/job_room.h"
#include "jobs/job_runners.h"
#include "jobs/job_starts.h"
#include "jobs/start_rule.h"

#define DEFAULT_MAX_ATTEMPTS 3
#define EXPIRY_SLACK_MS 2000
#define DEFAULT_RETENTION_MS 60000
/** Time in ms for an announcement of an owned partition to reach all daemons. */
#define ANNOUNCE_TIME_MS 3000
/**
 * Time in ms between two passes that counts as a suspension: others may have taken this daemon for
 * dead. Below the time for that, three probes.
 */
#define SUSPENSION_MS 750

static uint64_t get_retention_ms(const hs_job *job) {
    return job->retention_ms > 0 ? job->retention_ms : DEFAULT_RETENTION_MS;
}

static hs_owned_item *get_item(hs_owned_job_partition *owned, const hs_job *job, uint32_t index) {
    char *key = g_strdup_printf("%s/%u", job->id, index);
    hs_owned_item *item = g_hash_table_lookup(owned->items, key);
    if (item != NULL) {
        g_free(key);
        return item;
    }
    item = g_new0(hs_owned_item, 1);
    item->run = hs_item_run_new(job, index);
    item->discovered_ms = hs_clock_monotonic_ms();
    g_hash_table_insert(owned->items, key, item);
    return item;
}

/** Returns the expected remaining run time of an item. */
static uint64_t get_remaining_ms(const hs_owned_job_partition *owned, const hs_owned_item *item,
                                 uint64_t now_ms) {
    if (item->stage == HS_ITEM_WAITING)
        return hs_item_pace_remaining_ms(&owned->owner->pace, item->run->tokens,
                                         item->run->events.last_id);
    uint64_t ran_ms = now_ms - item->started_ms;
    return item->remaining_ms > ran_ms ? item->remaining_ms - ran_ms : 0;
}

/** Both clocks must agree that the item's time is over, because the wall clock may jump. */
static bool has_expired(const hs_job *job, const hs_owned_item *item, uint64_t wall_ms,
                        uint64_t now_ms) {
    return wall_ms > job->submitted_ms + get_retention_ms(job) + EXPIRY_SLACK_MS &&
           now_ms > item->discovered_ms + EXPIRY_SLACK_MS;
}

static void add_job(hs_owned_job_partition *owned, const hs_job *job, const hs_fleet_config *config,
                    GArray *open) {
    const hs_fleet_route *route = hs_fleet_config_find_route(config, job->host, job->target);
    hs_region_policy regions = hs_region_policy_for_tenant_name(
        hs_fleet_engines_topology(owned->owner->settings.engines), config, route, job->tenant);
    const char *group = route != NULL ? hs_job_regions_group(&regions, route) : NULL;
    bool runs_here = hs_job_runners_is_here(owned, &regions);
    if (!runs_here && !owned->is_owned)
        return;
    bool runs_nowhere = !runs_here && hs_job_runners_is_nowhere(owned->owner, &regions);
    uint64_t now_ms = hs_clock_monotonic_ms();
    uint64_t wall_ms = hs_clock_wall_ms();
    for (uint32_t index = 0; index < job->items->len; index++) {
        if (g_array_index(job->items, hs_job_item, index).listed)
            continue;
        hs_owned_item *item = get_item(owned, job, index);
        item->run->give_up_ms = item->discovered_ms + get_retention_ms(job);
        bool is_waiting = item->stage == HS_ITEM_WAITING;
        hs_open_item entry = {
            .partition = owned,
            .regions = regions,
            .group = group,
            .item = item,
            .left_ms = (int64_t)(job->submitted_ms + job->due_ms) - (int64_t)wall_ms,
            .remaining_ms = get_remaining_ms(owned, item, now_ms),
            .may_start = runs_here && is_waiting && item->next_attempt_ms <= now_ms &&
                         owned->held_since_ms == 0,
            .is_expired = owned->is_owned && is_waiting && has_expired(job, item, wall_ms, now_ms),
            .max_attempts = route != NULL ? route->max_attempts : DEFAULT_MAX_ATTEMPTS,
            .service = route != NULL ? g_intern_string(
                                           g_array_index(route->shares, hs_route_share, 0).service)
                                     : NULL};
        owned->owner->unrunnable_items += runs_nowhere && item->stage == HS_ITEM_WAITING;
        bool is_listed = (route != NULL && runs_here) || entry.is_expired;
        if (item->stage != HS_ITEM_STORED && is_listed)
            g_array_append_val(open, entry);
    }
}

/** Interrupts and removes items that have a result or whose job has ended. */
static gboolean remove_if_finished(gpointer key, gpointer value, gpointer user_data) {
    (void)key;
    hs_owned_item *item = value;
    const hs_job_state *state = user_data;
    const hs_job *job = hs_job_state_find(state, item->run->job_id);
    bool is_finished = job == NULL || job->ended ||
                       g_array_index(job->items, hs_job_item, item->run->index).listed;
    if (!is_finished)
        return FALSE;
    hs_interrupt_raise(&item->run->interrupt, HS_INTERRUPT_STOP);
    return item->stage != HS_ITEM_RUNNING;
}

static void collect_open_items(hs_owned_job_partition *owned, const hs_fleet_config *config,
                               GArray *open) {
    hs_job_state *state = hs_job_partition_lock(owned->partition);
    g_autoptr(GPtrArray) jobs = hs_job_state_list(state);
    g_hash_table_foreach_remove(owned->items, remove_if_finished, state);
    for (guint index = 0; index < jobs->len; index++)
        if (hs_job_is_open(jobs->pdata[index]))
            add_job(owned, jobs->pdata[index], config, open);
    hs_job_partition_unlock(owned->partition);
}

/** Logs the state that led to the start. */
static void log_start(const hs_open_item *open, const hs_service_capacity *capacity,
                      const hs_service_starts *starts, guint count) {
    const hs_item_run *run = open->item->run;
    hs_log_info("item_started",
                "job=%s item=%s tries=%u last_event=%" G_GUINT64_FORMAT " left_ms=%" G_GINT64_FORMAT
                " remaining_ms=%" G_GUINT64_FORMAT
                " rank_ms=%d open=%u slots=%u believed_online=%.1f believed_batch=%.1f"
                " expected_online=%.1f pressing=%d sends_share=%.2f pieces_share=%.2f"
                " fold_age_ms=%" G_GUINT64_FORMAT,
                run->job_id, run->item_id, open->item->attempts, (guint64)run->events.last_id,
                (gint64)open->left_ms, (guint64)open->remaining_ms, open->rank_ms, count,
                capacity->slots, capacity->online, capacity->batch, starts->expected_online,
                open->is_urgent, 1 - starts->start_throttle.withheld_share,
                1 - starts->useful_run_throttle.withheld_share,
                (guint64)hs_job_partition_age_ms(open->partition->partition));
}

static void start_item(hs_job_owner *owner, const hs_open_item *open) {
    hs_item_task *task = g_new0(hs_item_task, 1);
    task->partition = open->partition;
    task->item = open->item;
    task->max_attempts = open->max_attempts;
    task->rank_ms = open->rank_ms;
    task->group = open->group;
    task->is_expired = open->is_expired;
    open->item->stage = HS_ITEM_RUNNING;
    open->item->started_ms = hs_clock_monotonic_ms();
    open->item->remaining_ms = open->remaining_ms;
    open->item->is_send_recorded = false;
    open->item->is_useful_run_recorded = false;
    owner->running++;
    g_thread_pool_push(owner->workers, task, NULL);
}

bool hs_job_owner_may_run(const hs_owned_job_partition *owned, uint64_t now_ms) {
    return hs_job_owner_is_active(owned) && now_ms >= owned->earliest_start_ms &&
           hs_job_partition_is_current(owned->partition, owned->acquired_ms);
}

/** Starts of one group's items in one pass. */
typedef struct {
    uint32_t started;
    uint32_t max_starts;            /**< Maximum for all items. */
    uint32_t max_non_urgent_starts; /**< Maximum for items that are not urgent. */
    bool is_full;                   /**< No further item may start. */
} pass_count;

/** Starts of one pass. */
typedef struct {
    GHashTable *counts; /**< Group (interned) -> pass_count*. */
    uint32_t daemons;   /**< Number of live daemons. */
} pass_starts;

static pass_count *get_pass_count(hs_job_owner *owner, const char *group,
                                  const hs_service_capacity *capacity, const pass_starts *pass) {
    pass_count *count = g_hash_table_lookup(pass->counts, group);
    if (count != NULL)
        return count;
    hs_service_starts *starts = hs_job_starts_for_group(owner, group);
    uint32_t all = hs_job_capacity_now(capacity, pass->daemons, owner->partitions->len);
    double spare = capacity->slots - capacity->online - capacity->batch;
    count = g_new0(pass_count, 1);
    count->max_starts = hs_start_throttle_begin_pass(&starts->start_throttle, all, spare);
    count->max_non_urgent_starts =
        hs_start_throttle_begin_pass(&starts->useful_run_throttle, all, spare);
    g_hash_table_insert(pass->counts, (gpointer)group, count);
    return count;
}

/**
 * Returns how many items of the entry's service may start in this pass. Items that are not urgent
 * leave slots for expected online requests.
 */
static uint32_t get_max_starts(hs_job_owner *owner, const hs_open_item *entry,
                               const hs_service_capacity *capacity, const pass_starts *pass) {
    if (entry->is_urgent)
        return hs_job_capacity_now(capacity, pass->daemons, owner->partitions->len);
    const pass_count *count = get_pass_count(owner, entry->group, capacity, pass);
    double expected = hs_job_starts_for_group(owner, entry->group)->expected_online;
    uint32_t left =
        hs_job_capacity_expected(capacity, expected, pass->daemons, owner->partitions->len);
    return MIN(MIN(count->max_starts, count->max_non_urgent_starts), left);
}

/**
 * Counts and logs the start of an item if its service has capacity; returns whether it may start.
 */
static bool try_count_start(hs_job_owner *owner, const hs_open_item *entry, pass_starts *pass,
                            guint open_count) {
    hs_service_capacity capacity =
        hs_fleet_engines_capacity_in(owner->settings.engines, entry->service, &entry->regions);
    pass_count *count = get_pass_count(owner, entry->group, &capacity, pass);
    if (count->is_full)
        return false;
    if (count->started >= get_max_starts(owner, entry, &capacity, pass)) {
        count->is_full = true;
        return false;
    }
    count->started++;
    log_start(entry, &capacity, hs_job_starts_for_group(owner, entry->group), open_count);
    return true;
}

bool hs_job_owner_may_start(const hs_owned_job_partition *owned) {
    const hs_job_owner *owner = owned->owner;
    bool is_suspended = hs_clock_monotonic_ms() - owner->last_pass_ms > SUSPENSION_MS;
    /* Ends are reported to daemons that are known to own the partition, not to runners. */
    uint64_t reported_since_ms =
        owned->is_owned && !is_suspended
            ? MAX(owner->reported_since_ms, owned->acquired_ms + ANNOUNCE_TIME_MS)
            : UINT64_MAX;
    return hs_start_rule_may_start(
        &(hs_ends_knowledge){.now_ms = hs_clock_monotonic_ms(),
                             .fold_age_ms = hs_job_partition_age_ms(owned->partition),
                             .reported_since_ms = reported_since_ms,
                             .cancel_ms = owner->settings.cancel_ms});
}

/**
 * Notes a time until which ends may not have been reported to this daemon: it was suspended, or
 * other daemons may take it for dead. The caller holds the lock.
 */
static void update_reported_since(hs_job_owner *owner) {
    uint64_t now_ms = hs_clock_monotonic_ms();
    bool was_suspended = now_ms - owner->last_pass_ms > SUSPENSION_MS;
    owner->last_pass_ms = now_ms;
    hs_daemon_directory *daemons = owner->settings.daemons;
    if (was_suspended || (daemons != NULL && !hs_daemon_directory_are_ends_reported(daemons)))
        owner->reported_since_ms = now_ms;
}

/** Holds or resumes the starts of a partition. The caller holds the owner's lock. */
static void update_hold(hs_owned_job_partition *owned) {
    uint64_t now_ms = hs_clock_monotonic_ms();
    bool is_held = !hs_job_owner_may_start(owned);
    owned->owner->held_partitions += is_held;
    if (is_held == (owned->held_since_ms != 0))
        return;
    hs_log_info(is_held ? "partition_starts_held" : "partition_starts_resumed",
                "part=%u fold_age_ms=%" G_GUINT64_FORMAT " reported_for_ms=%" G_GUINT64_FORMAT
                " held_ms=%" G_GUINT64_FORMAT,
                hs_job_partition_number(owned->partition),
                (guint64)hs_job_partition_age_ms(owned->partition),
                (guint64)(now_ms - owned->owner->reported_since_ms),
                (guint64)(is_held ? 0 : now_ms - owned->held_since_ms));
    owned->held_since_ms = is_held ? now_ms : 0;
}

/**
 * Runs one pass over all owned partitions. A service without capacity, or without capacity in the
 * regions to which items are restricted, delays only these items; others and those whose time is
 * over do not wait for it. The caller holds the lock.
 */
static void start_items(hs_job_owner *owner, const hs_fleet_config *config) {
    g_autoptr(GArray) open = g_array_new(FALSE, FALSE, sizeof(hs_open_item));
    owner->unrunnable_items = 0;
    owner->held_partitions = 0;
    for (guint number = 0; number < owner->partitions->len; number++) {
        hs_owned_job_partition *owned = owner->partitions->pdata[number];
        if (!hs_job_owner_may_run(owned, hs_clock_monotonic_ms()))
            continue;
        update_hold(owned);
        collect_open_items(owned, config, open);
    }
    hs_job_starts_observe(owner, open);
    hs_job_regions_observe(owner, open);
    hs_job_plan_make(owner, open);
    g_autoptr(GHashTable) counts =
        g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, g_free);
    pass_starts pass = {.counts = counts,
                        .daemons = owner->settings.live_daemon_count(owner->settings.user_data)};
    for (guint index = 0; index < open->len && owner->phase == HS_OWNER_RUNNING; index++) {
        const hs_open_item *entry = &g_array_index(open, hs_open_item, index);
        if (!entry->may_start && !entry->is_expired)
            continue;
        if (owner->running >= HS_JOB_MAX_WORKERS)
            break;
        if (entry->is_expired || try_count_start(owner, entry, &pass, open->len))
            start_item(owner, entry);
    }
}

/** Returns the pause until the next pass. */
static uint64_t get_pause_ms(const hs_job_owner *owner) {
    return owner->tail_count > 0 || owner->running > 0 ? HS_JOB_PASS_INTERVAL_MS
                                                       : HS_JOB_IDLE_PASS_INTERVAL_MS;
}

gpointer hs_job_scheduler_run(gpointer data) {
    hs_job_owner *owner = data;
    g_mutex_lock(&owner->lock);
    while (owner->phase < HS_OWNER_STOPPED) {
        hs_fleet_config *config = hs_config_source_get(owner->settings.config);
        hs_job_owner_release_superseded(owner);
        update_reported_since(owner);
        if (config != NULL) {
            hs_job_runners_update(owner, config);
            start_items(owner, config);
        }
        if (owner->running > 0)
            hs_fleet_engines_preempt_excess(owner->settings.engines);
        hs_fleet_config_unref(config);
        hs_pause pause = hs_clock_pause_begin(get_pause_ms(owner));
        hs_clock_pause_wait(&pause, &owner->changed, &owner->lock);
    }
    g_mutex_unlock(&owner->lock);
    return NULL;
}
