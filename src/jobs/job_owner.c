/** @file job_owner.c  Membership in the group and the owner's life; see job_owner.h. */
#include "jobs/job_owner.h"

#include "base/clock.h"
#include "base/log.h"
#include "base/thread.h"
#include "jobs/job_owner_state.h"

#define JOIN_PER_TTL 3
#define JOIN_LIMIT_MS 900
/** Each read held at the store: an owner's fold is known to be no older than this and a moment. */
#define TAIL_HOLD_MS 500
/** One try in ms to read a partition's log to its end after it was dealt: 4 MB over 30 Mbit/s. */
#define CATCH_UP_LIMIT_MS 3000
/** Pause in ms after such a try failed: some answers of the store, so that it is not pressed. */
#define CATCH_UP_PAUSE_MS 60
#define TRIM_INTERVAL_MS 10000
#define TRIM_LIMIT_MS 1500
/** One try in ms to tell a partition's level: the log is followed again after it. */
#define LEVEL_LIMIT_MS 400
/** An owner before may still hand over what it ran. */
#define TAKEOVER_PAUSE_MS 250

static void free_item(gpointer data) {
    hs_owned_item *item = data;
    hs_item_run_free(item->run);
    g_free(item);
}

static void free_partition(gpointer data) {
    hs_owned_partition_state *home = data;
    g_hash_table_destroy(home->items);
    g_byte_array_free(home->pending, TRUE);
    g_mutex_clear(&home->pending_lock);
    g_free(home);
}

hs_job_owner *hs_job_owner_new(const hs_job_owner_settings *settings) {
    hs_job_owner *owner = g_new0(hs_job_owner, 1);
    owner->settings = *settings;
    g_mutex_init(&owner->lock);
    g_cond_init(&owner->changed);
    owner->partitions = g_ptr_array_new_with_free_func(free_partition);
    for (uint32_t part = 0; part < settings->part_count; part++) {
        hs_owned_partition_state *home = g_new0(hs_owned_partition_state, 1);
        home->owner = owner;
        home->partition = hs_job_service_partition(settings->jobs, part);
        home->items = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_item);
        home->pending = g_byte_array_new();
        g_mutex_init(&home->pending_lock);
        g_ptr_array_add(owner->partitions, home);
    }
    owner->services = g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, g_free);
    owner->workers = g_thread_pool_new(hs_job_worker_run, owner, HS_JOB_WORKERS_MAX, FALSE, NULL);
    return owner;
}

/** Tell what of the partition counts towards its routes' limits. */
static void tell_level(hs_owned_partition_state *home, hs_quota_reported *told) {
    hs_job_owner *owner = home->owner;
    hs_fleet_config *config = hs_config_source_get(owner->settings.config);
    if (config != NULL)
        hs_job_quota_report(hs_job_service_quota(owner->settings.jobs), home->partition, config,
                            told, hs_clock_monotonic_ms() + LEVEL_LIMIT_MS);
    hs_fleet_config_unref(config);
}

/** Runs as long as the partition is owned: keeps the fold at the log's end. */
static gpointer run_tail(gpointer data) {
    hs_owned_partition_state *home = data;
    hs_job_owner *owner = home->owner;
    uint64_t next_trim_ms = hs_clock_monotonic_ms() + TRIM_INTERVAL_MS;
    hs_quota_reported told = {0};
    uint32_t taken_count = 0;
    g_mutex_lock(&owner->lock);
    while (home->owned && !owner->stopping) {
        uint64_t taken_ms = home->taken_ms;
        g_mutex_unlock(&owner->lock);
        uint64_t next = hs_job_state_next(hs_job_partition_lock(home->partition));
        hs_job_partition_unlock(home->partition);
        uint64_t now_ms = hs_clock_monotonic_ms();
        if (hs_job_partition_is_current(home->partition, taken_ms))
            hs_job_partition_hold(home->partition, next, now_ms + TAIL_HOLD_MS);
        else if (!hs_job_partition_catch_up(home->partition, now_ms + CATCH_UP_LIMIT_MS))
            hs_clock_sleep_ms(CATCH_UP_PAUSE_MS);
        tell_level(home, &told);
        if (now_ms >= next_trim_ms) {
            hs_job_partition_trim(home->partition, now_ms + TRIM_LIMIT_MS);
            next_trim_ms = now_ms + TRIM_INTERVAL_MS;
        }
        g_mutex_lock(&owner->lock);
        if (taken_count != home->taken_count) /* Another owner may have told in between. */
            told = (hs_quota_reported){0};
        taken_count = home->taken_count;
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
static void abandon_runs(hs_owned_partition_state *home) {
    hs_job_owner *owner = home->owner;
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, home->items);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        hs_owned_item *item = value;
        hs_interrupt_raise(&item->run->interrupt, HS_INTERRUPT_STOP);
        if (item->stage == HS_ITEM_RUNNING)
            continue;
        if (item->stage == HS_ITEM_STORED || item->run->events.event_count == 0) {
            g_hash_table_iter_remove(&iterator);
            continue;
        }
        hs_item_order *order = g_new0(hs_item_order, 1);
        order->home = home;
        order->item = item;
        order->hands_over = true;
        item->stage = HS_ITEM_RUNNING;
        owner->running++;
        g_thread_pool_push(owner->workers, order, NULL);
    }
}

/**
 * The caller holds the lock. False: there is no thread for it now; the group's next answer deals it
 * again.
 */
static bool take_partition(hs_owned_partition_state *home) {
    home->taken_ms = hs_clock_monotonic_ms();
    home->start_ms = home->taken_ms + TAKEOVER_PAUSE_MS;
    home->taken_count++;
    if (home->tail != NULL) {
        if (!home->tail_stopped) { /* Its thread still ends; it simply goes on. */
            home->owned = true;
            return true;
        }
        g_thread_join(home->tail);
    }
    home->tail_stopped = false;
    home->tail = hs_thread_try("job-tail", run_tail, home);
    home->owned = home->tail != NULL;
    home->owner->tails += home->owned;
    return home->owned;
}

/**
 * Run nothing more of a partition; what was made may be stored for a while. The caller holds the
 * lock.
 */
static void give_up_partition(hs_owned_partition_state *home) {
    home->owned = false;
    home->handover_deadline = hs_clock_monotonic_ms() + HS_JOB_HANDOVER_MS;
    abandon_runs(home);
}

/** Tell the other daemons what is owned now. The caller holds the lock. */
static void tell_owned(hs_job_owner *owner) {
    g_autoptr(GArray) parts = g_array_new(FALSE, FALSE, sizeof(uint32_t));
    for (uint32_t part = 0; part < owner->partitions->len; part++)
        if (((hs_owned_partition_state *)owner->partitions->pdata[part])->owned)
            g_array_append_val(parts, part);
    if (owner->settings.daemons != NULL)
        hs_daemon_directory_tell_owned(owner->settings.daemons, parts, owner->generation);
}

void hs_job_owner_give_up_superseded(hs_job_owner *owner) {
    bool has_changed = false;
    for (uint32_t part = 0; part < owner->partitions->len; part++) {
        hs_owned_partition_state *home = owner->partitions->pdata[part];
        hs_daemon_address other;
        if (!home->owned || owner->settings.daemons == NULL ||
            !hs_daemon_directory_owner(owner->settings.daemons, part, &other))
            continue;
        hs_log_info("partition_superseded",
                    "part=%u generation=%" G_GUINT64_FORMAT " reason=later_deal_heard", part,
                    (guint64)owner->generation);
        give_up_partition(home);
        has_changed = true;
    }
    if (has_changed)
        tell_owned(owner);
}

static void set_owned(hs_job_owner *owner, const GArray *parts) {
    bool has_changed = false;
    bool all_taken = true;
    g_mutex_lock(&owner->lock);
    for (guint part = 0; part < owner->partitions->len; part++) {
        hs_owned_partition_state *home = owner->partitions->pdata[part];
        bool dealt = false;
        for (guint index = 0; index < parts->len && !dealt; index++)
            dealt = g_array_index(parts, uint32_t, index) == part;
        if (dealt == home->owned)
            continue;
        has_changed = true;
        hs_log_info(dealt ? "partition_taken" : "partition_given_up",
                    "part=%u generation=%" G_GUINT64_FORMAT, part, (guint64)owner->generation);
        if (dealt) {
            all_taken = take_partition(home) && all_taken;
        } else {
            give_up_partition(home);
        }
    }
    if (has_changed && all_taken)
        tell_owned(owner);
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
        hs_pause pause = hs_clock_pause_begin(interval_ms);
        g_mutex_lock(&owner->lock);
        while (!owner->stopping && hs_clock_pause_wait(&pause, &owner->changed, &owner->lock))
            continue;
    }
    g_mutex_unlock(&owner->lock);
    return NULL;
}

void hs_job_owner_start(hs_job_owner *owner) {
    owner->group = g_thread_new("job-group", run_group, owner);
    owner->scheduler = g_thread_new("job-scheduler", hs_job_scheduler_run, owner);
}

void hs_job_owner_drain(hs_job_owner *owner, hs_deadline deadline) {
    g_mutex_lock(&owner->lock);
    owner->draining = true;
    owner->handover_deadline = deadline;
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
    owner->draining = true;
    owner->handover_deadline = hs_clock_monotonic_ms();
    for (guint part = 0; part < owner->partitions->len; part++) {
        hs_owned_partition_state *home = owner->partitions->pdata[part];
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
        hs_owned_partition_state *home = owner->partitions->pdata[part];
        if (home->tail != NULL)
            g_thread_join(home->tail);
    }
    g_ptr_array_free(owner->partitions, TRUE);
    g_hash_table_destroy(owner->services);
    g_cond_clear(&owner->changed);
    g_mutex_clear(&owner->lock);
    g_free(owner);
}
