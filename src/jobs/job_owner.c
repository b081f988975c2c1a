/**
 * @file job_owner.c
 * Group membership, partition ownership and lifecycle of the owner; see job_owner.h.
 */
#include "jobs/job_owner.h"

#include "base/clock.h"
#include "base/log.h"
#include "base/thread.h"
#include "jobs/group_choice.h"
#include "jobs/job_owner_state.h"

#define JOINS_PER_TTL 3
/** Limit of a join while the store is fast; at most the time of two joins while it is slow. */
#define JOIN_LIMIT_MS 900
/** Interval at which a daemon checks whether it knows its rank. */
#define RANK_CHECK_MS 100
/** Maximum wait of one read at the store; bounds the age of an owner's fold. */
#define TAIL_WAIT_MS 500
/** Limit of one read of a newly assigned partition's log to its end: time for 4 MB at 30 Mbit/s. */
#define CATCH_UP_LIMIT_MS 3000
/** Pause after a failed read of the log, so that many daemons do not load the store. */
#define CATCH_UP_PAUSE_MS 60
#define TRIM_INTERVAL_MS 10000
#define TRIM_LIMIT_MS 1500
/** Limit of one report of a partition's level; the log is not read meanwhile. */
#define LEVEL_LIMIT_MS 400
/**
 * Delay before items of a new partition start, so that the previous owner can store its progress.
 */
#define TAKEOVER_PAUSE_MS 250

static void free_item(gpointer data) {
    hs_owned_item *item = data;
    hs_item_run_free(item->run);
    g_free(item);
}

static void free_partition(gpointer data) {
    hs_owned_job_partition *owned = data;
    g_hash_table_destroy(owned->items);
    g_byte_array_free(owned->pending, TRUE);
    g_mutex_clear(&owned->pending_lock);
    g_free(owned);
}

hs_job_owner *hs_job_owner_new(const hs_job_owner_settings *settings) {
    hs_job_owner *owner = g_new0(hs_job_owner, 1);
    owner->settings = *settings;
    g_mutex_init(&owner->lock);
    g_cond_init(&owner->changed);
    hs_interrupt_init(&owner->joins);
    owner->partitions = g_ptr_array_new_with_free_func(free_partition);
    for (uint32_t number = 0; number < settings->part_count; number++) {
        hs_owned_job_partition *owned = g_new0(hs_owned_job_partition, 1);
        owned->owner = owner;
        owned->partition = hs_job_service_partition(settings->jobs, number);
        owned->items = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_item);
        owned->pending = g_byte_array_new();
        g_mutex_init(&owned->pending_lock);
        g_ptr_array_add(owner->partitions, owned);
    }
    owner->services = g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, g_free);
    owner->workers = g_thread_pool_new(hs_job_worker_run, owner, HS_JOB_MAX_WORKERS, FALSE, NULL);
    return owner;
}

/** Reports the partition's unfinished tokens that count against the limits of its routes. */
static void report_level(hs_owned_job_partition *owned, hs_quota_reported *reported) {
    hs_job_owner *owner = owned->owner;
    hs_fleet_config *config = hs_config_source_get(owner->settings.config);
    if (config != NULL)
        hs_job_quota_report(hs_job_service_quota(owner->settings.jobs), owned->partition, config,
                            reported, hs_clock_monotonic_ms() + LEVEL_LIMIT_MS);
    hs_fleet_config_unref(config);
}

/** Thread function of an owned partition: keeps the fold at the end of the log. */
static gpointer run_tail(gpointer data) {
    hs_owned_job_partition *owned = data;
    hs_job_owner *owner = owned->owner;
    uint64_t next_trim_ms = hs_clock_monotonic_ms() + TRIM_INTERVAL_MS;
    hs_quota_reported reported = {0};
    uint32_t acquisition_count = 0;
    g_mutex_lock(&owner->lock);
    while (hs_job_owner_is_active(owned) && owner->phase < HS_OWNER_STOPPED) {
        bool is_owned = owned->is_owned;
        uint64_t acquired_ms = owned->acquired_ms;
        g_mutex_unlock(&owner->lock);
        uint64_t next = hs_job_state_next_offset(hs_job_partition_lock(owned->partition));
        hs_job_partition_unlock(owned->partition);
        uint64_t now_ms = hs_clock_monotonic_ms();
        if (hs_job_partition_is_current(owned->partition, acquired_ms))
            hs_job_partition_follow(owned->partition, next, now_ms + TAIL_WAIT_MS);
        else if (!hs_job_partition_catch_up(owned->partition, now_ms + CATCH_UP_LIMIT_MS))
            hs_clock_sleep_ms(CATCH_UP_PAUSE_MS);
        if (is_owned)
            report_level(owned, &reported);
        if (is_owned && now_ms >= next_trim_ms) {
            hs_job_partition_trim(owned->partition, now_ms + TRIM_LIMIT_MS);
            next_trim_ms = now_ms + TRIM_INTERVAL_MS;
        }
        g_mutex_lock(&owner->lock);
        if (acquisition_count !=
            owned->acquisition_count) /* Another owner may have reported since. */
            reported = (hs_quota_reported){0};
        acquisition_count = owned->acquisition_count;
        g_cond_broadcast(&owner->changed);
    }
    owned->is_tail_stopped = true;
    owner->tail_count--;
    g_cond_broadcast(&owner->changed);
    g_mutex_unlock(&owner->lock);
    return NULL;
}

/**
 * Interrupts all runs of a partition and schedules storing their progress for the next owner. The
 * caller holds the lock.
 */
static void abandon_runs(hs_owned_job_partition *owned) {
    hs_job_owner *owner = owned->owner;
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, owned->items);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        hs_owned_item *item = value;
        hs_interrupt_raise(&item->run->interrupt, HS_INTERRUPT_STOP);
        if (item->stage == HS_ITEM_RUNNING)
            continue;
        if (item->stage == HS_ITEM_STORED || item->run->events.event_count == 0) {
            g_hash_table_iter_remove(&iterator);
            continue;
        }
        hs_item_task *task = g_new0(hs_item_task, 1);
        task->partition = owned;
        task->item = item;
        task->is_handover = true;
        item->stage = HS_ITEM_RUNNING;
        owner->running++;
        g_thread_pool_push(owner->workers, task, NULL);
    }
}

/**
 * Makes sure that the partition's log is followed from now on. Returns false if no thread can be
 * created. The caller holds the lock.
 */
static bool begin_tail(hs_owned_job_partition *owned) {
    owned->acquired_ms = hs_clock_monotonic_ms();
    owned->earliest_start_ms = owned->acquired_ms + TAKEOVER_PAUSE_MS;
    owned->acquisition_count++;
    if (owned->tail != NULL) {
        if (!owned->is_tail_stopped) /* The previous thread has not ended yet and continues. */
            return true;
        g_thread_join(owned->tail);
    }
    owned->is_tail_stopped = false;
    owned->tail = hs_thread_try_start("job-tail", run_tail, owned);
    owned->owner->tail_count += owned->tail != NULL;
    return owned->tail != NULL;
}

/**
 * Starts to own a partition. Returns false if no thread can be created; the group's next answer
 * assigns the partition again. The caller holds the lock.
 */
static bool acquire_partition(hs_owned_job_partition *owned) {
    owned->is_owned = begin_tail(owned);
    owned->is_runner = false;
    return owned->is_owned;
}

bool hs_job_owner_is_active(const hs_owned_job_partition *owned) {
    return owned->is_owned || owned->is_runner;
}

/**
 * Stops all runs of a partition; their progress may be stored until the handover deadline. The
 * caller holds the lock.
 */
static void release_partition(hs_owned_job_partition *owned) {
    owned->is_owned = false;
    owned->is_runner = false;
    owned->handover_deadline = hs_clock_monotonic_ms() + HS_JOB_HANDOVER_LIMIT_MS;
    abandon_runs(owned);
}

void hs_job_owner_set_runner(hs_owned_job_partition *owned, bool is_runner) {
    if (is_runner)
        owned->is_runner = begin_tail(owned);
    else if (!owned->is_owned)
        release_partition(owned);
}

/** Announces the owned partitions to the other daemons. The caller holds the lock. */
static void announce_owned(hs_job_owner *owner) {
    g_autoptr(GArray) numbers = g_array_new(FALSE, FALSE, sizeof(uint32_t));
    for (uint32_t number = 0; number < owner->partitions->len; number++)
        if (((hs_owned_job_partition *)owner->partitions->pdata[number])->is_owned)
            g_array_append_val(numbers, number);
    if (owner->settings.daemons != NULL)
        hs_daemon_directory_announce_owned(owner->settings.daemons, numbers, owner->generation);
}

void hs_job_owner_release_superseded(hs_job_owner *owner) {
    bool has_changed = false;
    for (uint32_t number = 0; number < owner->partitions->len; number++) {
        hs_owned_job_partition *owned = owner->partitions->pdata[number];
        hs_daemon_address other;
        if (!owned->is_owned || owner->settings.daemons == NULL ||
            !hs_daemon_directory_find_owner(owner->settings.daemons, number, &other))
            continue;
        hs_log_info("partition_superseded",
                    "part=%u generation=%" G_GUINT64_FORMAT " reason=newer_assignment_announced",
                    number, (guint64)owner->generation);
        release_partition(owned);
        has_changed = true;
    }
    if (has_changed)
        announce_owned(owner);
}

static void set_owned(hs_job_owner *owner, const GArray *numbers) {
    bool has_changed = false;
    bool all_acquired = true;
    g_mutex_lock(&owner->lock);
    for (guint number = 0; number < owner->partitions->len; number++) {
        hs_owned_job_partition *owned = owner->partitions->pdata[number];
        bool is_assigned = false;
        for (guint index = 0; index < numbers->len && !is_assigned; index++)
            is_assigned = g_array_index(numbers, uint32_t, index) == number;
        if (is_assigned == owned->is_owned)
            continue;
        has_changed = true;
        hs_log_info(is_assigned ? "partition_taken" : "partition_given_up",
                    "part=%u generation=%" G_GUINT64_FORMAT, number, (guint64)owner->generation);
        if (is_assigned) {
            all_acquired = acquire_partition(owned) && all_acquired;
        } else {
            release_partition(owned);
        }
    }
    if (has_changed && all_acquired)
        announce_owned(owner);
    g_cond_broadcast(&owner->changed);
    g_mutex_unlock(&owner->lock);
}

static hs_store_outcome join_group(hs_job_owner *owner) {
    hs_store_call call = hs_platform_build_join_call(
        owner->settings.member, owner->settings.group_ttl_ms, owner->generation);
    GByteArray *answer = g_byte_array_new();
    GArray *numbers = g_array_new(FALSE, FALSE, sizeof(uint32_t));
    hs_store_client *store = owner->settings.store;
    uint64_t limit_ms = hs_store_client_read_limit_ms(store, JOIN_LIMIT_MS, owner->failed_joins);
    limit_ms = MIN(limit_ms, MAX(JOIN_LIMIT_MS, owner->settings.group_ttl_ms * 2 / JOINS_PER_TTL));
    hs_store_outcome outcome = hs_store_client_send(
        store, &call, hs_clock_monotonic_ms() + limit_ms, &owner->joins, answer);
    owner->failed_joins = outcome == HS_STORE_DONE ? 0 : owner->failed_joins + 1;
    if (outcome == HS_STORE_DONE &&
        hs_platform_read_join_response(answer, &owner->generation, numbers))
        set_owned(owner, numbers);
    g_array_free(numbers, TRUE);
    g_byte_array_free(answer, TRUE);
    return outcome;
}

static void send_leave(hs_job_owner *owner, hs_deadline deadline) {
    hs_store_call call = hs_platform_build_leave_call(owner->settings.member, owner->generation);
    GByteArray *answer = g_byte_array_new();
    hs_store_client_send(owner->settings.store, &call,
                         MIN(deadline, hs_clock_monotonic_ms() + JOIN_LIMIT_MS), NULL, answer);
    g_byte_array_free(answer, TRUE);
}

/** Gives up all partitions to daemons on larger machines, and leaves the group. */
static void yield_partitions(hs_job_owner *owner) {
    g_autoptr(GArray) none = g_array_new(FALSE, FALSE, sizeof(uint32_t));
    hs_log_info("group_left", "reason=larger_machines generation=%" G_GUINT64_FORMAT,
                (guint64)owner->generation);
    set_owned(owner, none);
    send_leave(owner, UINT64_MAX);
}

/**
 * Joins the group, stays in it or leaves it, as the rank of this daemon says. Returns the time in
 * ms until the next time.
 */
static uint32_t update_group(hs_job_owner *owner) {
    const hs_job_owner_settings *settings = &owner->settings;
    uint32_t rank = UINT32_MAX;
    if (settings->get_rank != NULL && !settings->get_rank(&rank, settings->user_data))
        return RANK_CHECK_MS;
    bool was_member = owner->is_group_member;
    owner->is_group_member = hs_job_group_should_join(rank, settings->part_count, was_member);
    if (owner->is_group_member)
        join_group(owner);
    else if (was_member)
        yield_partitions(owner);
    return settings->group_ttl_ms / JOINS_PER_TTL;
}

static gpointer run_group(gpointer data) {
    hs_job_owner *owner = data;
    g_mutex_lock(&owner->lock);
    while (owner->phase < HS_OWNER_STOPPED) {
        g_mutex_unlock(&owner->lock);
        hs_pause pause = hs_clock_pause_begin(update_group(owner));
        g_mutex_lock(&owner->lock);
        while (owner->phase < HS_OWNER_STOPPED &&
               hs_clock_pause_wait(&pause, &owner->changed, &owner->lock))
            continue;
    }
    owner->has_group_ended = true;
    g_cond_broadcast(&owner->changed);
    g_mutex_unlock(&owner->lock);
    return NULL;
}

/**
 * Ends the group's thread. A join in progress gets half of the time until @p deadline, since one
 * that is interrupted may take effect after the leave.
 */
static void end_group(hs_job_owner *owner, hs_deadline deadline) {
    hs_deadline until = hs_clock_monotonic_ms() + hs_clock_left_ms(deadline) / 2;
    if (owner->group == NULL)
        return;
    g_mutex_lock(&owner->lock);
    while (!owner->has_group_ended && hs_clock_wait_until(until, &owner->changed, &owner->lock))
        continue;
    g_mutex_unlock(&owner->lock);
    hs_interrupt_raise(&owner->joins, HS_INTERRUPT_STOP);
    g_thread_join(owner->group);
    owner->group = NULL;
}

void hs_job_owner_start(hs_job_owner *owner) {
    owner->group = g_thread_new("job-group", run_group, owner);
    owner->scheduler = g_thread_new("job-scheduler", hs_job_scheduler_run, owner);
}

void hs_job_owner_stop_starts(hs_job_owner *owner) {
    g_mutex_lock(&owner->lock);
    owner->phase = MAX(owner->phase, HS_OWNER_STARTS_NOTHING);
    g_mutex_unlock(&owner->lock);
}

void hs_job_owner_drain(hs_job_owner *owner, hs_deadline deadline) {
    g_mutex_lock(&owner->lock);
    owner->phase = MAX(owner->phase, HS_OWNER_DRAINING);
    owner->handover_deadline = deadline;
    for (guint number = 0; number < owner->partitions->len; number++)
        abandon_runs(owner->partitions->pdata[number]);
    g_mutex_unlock(&owner->lock);
}

uint32_t hs_job_owner_running_count(hs_job_owner *owner) {
    g_mutex_lock(&owner->lock);
    uint32_t running = owner->running;
    g_mutex_unlock(&owner->lock);
    return running;
}

void hs_job_owner_leave(hs_job_owner *owner, hs_deadline deadline) {
    g_mutex_lock(&owner->lock);
    owner->phase = HS_OWNER_STOPPED;
    owner->handover_deadline = hs_clock_monotonic_ms();
    for (guint number = 0; number < owner->partitions->len; number++) {
        hs_owned_job_partition *owned = owner->partitions->pdata[number];
        owned->is_owned = false;
        owned->is_runner = false;
        abandon_runs(owned);
    }
    g_cond_broadcast(&owner->changed);
    g_mutex_unlock(&owner->lock);
    end_group(owner, deadline);
    send_leave(owner, deadline);
}

void hs_job_owner_free(hs_job_owner *owner) {
    if (owner == NULL)
        return;
    if (owner->scheduler != NULL)
        g_thread_join(owner->scheduler);
    g_thread_pool_free(owner->workers, FALSE, TRUE);
    for (guint number = 0; number < owner->partitions->len; number++) {
        hs_owned_job_partition *owned = owner->partitions->pdata[number];
        if (owned->tail != NULL)
            g_thread_join(owned->tail);
    }
    g_ptr_array_free(owner->partitions, TRUE);
    g_hash_table_destroy(owner->services);
    if (owner->runners != NULL)
        g_array_unref(owner->runners);
    hs_interrupt_clear(&owner->joins);
    g_cond_clear(&owner->changed);
    g_mutex_clear(&owner->lock);
    g_free(owner);
}
