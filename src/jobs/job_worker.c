/**
 * @file job_worker.c
 * Runs one attempt of an item, stores its result, or stores its progress for the next owner; see
 * job_owner.h.
 */
#include "jobs/job_owner_state.h"

#include "base/clock.h"
#include "base/log.h"
#include "jobs/job_regions.h"
#include "jobs/job_starts.h"
#include "jobs/start_rule.h"

#define PREEMPTED_PAUSE_MS 100
/** Interval between requests of a quarantined item for a trial run: several in a delay between two
 * trial runs, and each costs one datagram there and back. */
#define QUARANTINED_PAUSE_MS 500

/**
 * Returns the time until which results and progress of a partition's items are stored: unlimited
 * for its owner, bounded after the partition was lost or the daemon drains. Late records are
 * harmless because records are idempotent.
 */
static hs_deadline get_store_deadline(hs_owned_job_partition *owned) {
    hs_job_owner *owner = owned->owner;
    hs_deadline limit = UINT64_MAX;
    g_mutex_lock(&owner->lock);
    if (owner->phase >= HS_OWNER_DRAINING)
        limit = owner->handover_deadline;
    else if (!hs_job_owner_is_active(owned))
        limit = owned->handover_deadline;
    g_mutex_unlock(&owner->lock);
    return limit;
}

/**
 * Returns whether a store call that ended with @p stored should be repeated now, after a short
 * pause.
 */
static bool wait_to_store_again(hs_owned_job_partition *owned, hs_store_outcome stored) {
    if (stored == HS_STORE_DONE || stored == HS_STORE_INVALID ||
        hs_clock_monotonic_ms() >= get_store_deadline(owned))
        return false;
    hs_clock_sleep_ms(HS_JOB_MIN_RETRY_PAUSE_MS);
    return true;
}

static hs_store_outcome store_result(hs_owned_job_partition *owned, const hs_owned_item *item,
                                     hs_item_outcome outcome, const GString *text) {
    hs_store_outcome stored = HS_STORE_REFUSED;
    uint32_t attempt = 0;
    do {
        hs_fleet_config *config = hs_config_source_get(owned->owner->settings.config);
        hs_body_regions regions = hs_job_regions_of_run(owned->owner, item->run, config);
        stored = hs_job_partition_append_result(
            owned->partition, item->run->job_id, item->run->index, outcome, text, &regions,
            hs_job_partition_append_deadline(owned->partition, attempt++, text->len, UINT64_MAX));
        hs_fleet_config_unref(config);
    } while (wait_to_store_again(owned, stored));
    return stored;
}

static uint64_t get_backoff_ms(uint32_t failures) {
    return MIN((uint64_t)HS_JOB_MIN_RETRY_PAUSE_MS << MIN(failures, 8), HS_JOB_MAX_RETRY_PAUSE_MS);
}

/** Stores the item's result. Returns whether it is in the log. */
static bool conclude_item(const hs_item_task *task, hs_item_outcome outcome) {
    GString *text =
        outcome == HS_ITEM_COMPLETED ? hs_item_run_text(task->item->run) : g_string_new(NULL);
    hs_store_outcome stored = store_result(task->partition, task->item, outcome, text);
    hs_log_info("item_listed", "job=%s item=%s outcome=%s engine=%s tries=%u stored=%s bytes=%zu",
                task->item->run->job_id, task->item->run->item_id,
                outcome == HS_ITEM_COMPLETED ? "completed" : "dead",
                *task->item->run->engine_id != '\0' ? task->item->run->engine_id : "-",
                task->item->attempts, hs_store_outcome_name(stored), text->len);
    g_string_free(text, TRUE);
    return stored == HS_STORE_DONE;
}

/** Handles the end of an attempt. Returns whether the item's result is in the log. */
static bool handle_attempt_end(const hs_item_task *task, hs_item_attempt_end end) {
    hs_owned_item *item = task->item;
    if (end != HS_ITEM_ATTEMPT_NO_CAPACITY && end != HS_ITEM_ATTEMPT_DONE &&
        end != HS_ITEM_ATTEMPT_QUARANTINED)
        hs_log_info("item_try_ended", "job=%s item=%s engine=%s end=%s tries=%u events=%u",
                    item->run->job_id, item->run->item_id, item->run->engine_id,
                    hs_item_attempt_end_name(end), item->attempts,
                    (unsigned)item->run->events.event_count);
    item->failures += end == HS_ITEM_ATTEMPT_FAILED;
    if (end == HS_ITEM_ATTEMPT_DONE)
        return conclude_item(task, HS_ITEM_COMPLETED);
    if (end == HS_ITEM_ATTEMPT_IMPOSSIBLE || item->failures >= task->max_attempts)
        return conclude_item(task, HS_ITEM_DEAD);
    return false;
}

/** Stores the progress of an unfinished item, so that the next owner resumes it. */
static void hand_over(const hs_item_task *task) {
    hs_item_run *run = task->item->run;
    hs_job_partition *partition = task->partition->partition;
    if (run->events.event_count == 0)
        return;
    hs_job_progress progress = hs_item_run_progress(run, 0);
    GByteArray *records = g_byte_array_new();
    bool is_framed = hs_job_partition_frame_progress(partition, &progress, records);
    hs_store_outcome stored = HS_STORE_INVALID;
    uint32_t attempt = 0;
    do {
        hs_deadline deadline =
            hs_job_partition_append_deadline(partition, attempt++, records->len, UINT64_MAX);
        hs_job_owner *owner = task->partition->owner;
        hs_fleet_config *config = hs_config_source_get(owner->settings.config);
        hs_body_regions regions = hs_job_regions_of_run(owner, run, config);
        if (is_framed)
            stored = hs_job_partition_append_framed(partition, records, &regions, deadline);
        hs_fleet_config_unref(config);
    } while (wait_to_store_again(task->partition, stored));
    hs_log_info("item_handed_over", "job=%s item=%s last_event=%" G_GUINT64_FORMAT " stored=%s",
                run->job_id, run->item_id, (guint64)run->events.last_id,
                hs_store_outcome_name(stored));
    g_byte_array_free(records, TRUE);
    g_string_free((GString *)progress.text, TRUE);
}

/** Returns whether an interrupted item is handed over to another owner. */
static bool is_owner_changing(hs_job_owner *owner, const hs_owned_job_partition *owned) {
    g_mutex_lock(&owner->lock);
    bool is_changing = !hs_job_owner_is_active(owned) || owner->phase >= HS_OWNER_DRAINING;
    g_mutex_unlock(&owner->lock);
    return is_changing;
}

static const char *get_own_region(const hs_job_owner *owner) {
    return owner->settings.daemons != NULL ? hs_daemon_directory_own_region(owner->settings.daemons)
                                           : NULL;
}

static bool may_start(void *user_data) {
    const hs_item_task *task = user_data;
    hs_job_owner *owner = task->partition->owner;
    g_mutex_lock(&owner->lock);
    bool may_start = hs_job_owner_may_start(task->partition);
    g_mutex_unlock(&owner->lock);
    return may_start;
}

void hs_job_worker_run(gpointer data, gpointer user_data) {
    hs_job_owner *owner = user_data;
    hs_item_task *task = data;
    hs_owned_item *item = task->item;
    hs_fleet_config *config = hs_config_source_get(owner->settings.config);
    bool listed = false;
    hs_item_attempt_end end = HS_ITEM_ATTEMPT_NO_ROUTE;
    if (task->is_handover) {
        end = HS_ITEM_ATTEMPT_ABANDONED;
    } else if (task->is_expired) {
        listed = conclude_item(task, HS_ITEM_DEAD);
    } else if (config != NULL) {
        hs_item_attempt_terms terms = {.partition = task->partition->partition,
                                       .engines = owner->settings.engines,
                                       .config = config,
                                       .own_region = get_own_region(owner),
                                       .rank_ms = task->rank_ms,
                                       .send_time_ms =
                                           hs_start_rule_send_time_ms(owner->settings.cancel_ms),
                                       .may_start = may_start,
                                       .checkpoint = hs_job_checkpoint_take,
                                       .user_data = task};
        end = hs_item_run_attempt(item->run, &terms);
        listed = handle_attempt_end(task, end);
    }
    hs_fleet_config_unref(config);
    if (!listed && end != HS_ITEM_ATTEMPT_DONE && is_owner_changing(owner, task->partition))
        hand_over(task);
    g_mutex_lock(&owner->lock);
    if (end == HS_ITEM_ATTEMPT_DONE)
        hs_item_pace_note(&owner->pace, item->run->tokens, item->run->events.last_id,
                          item->run->attempt_events, item->run->attempt_ms);
    hs_job_starts_note_end(owner, task, end);
    item->stage = listed ? HS_ITEM_STORED : HS_ITEM_WAITING;
    item->attempts += end != HS_ITEM_ATTEMPT_NO_CAPACITY && end != HS_ITEM_ATTEMPT_QUARANTINED &&
                      end != HS_ITEM_ATTEMPT_STALE_FOLD;
    item->invalid_reads += end == HS_ITEM_ATTEMPT_CONTENT_INVALID;
    uint64_t pause_ms = get_backoff_ms(MAX(item->failures, item->invalid_reads));
    if (end == HS_ITEM_ATTEMPT_NO_CAPACITY || end == HS_ITEM_ATTEMPT_STALE_FOLD)
        pause_ms = HS_JOB_PASS_INTERVAL_MS;
    else if (end == HS_ITEM_ATTEMPT_PREEMPTED)
        pause_ms = PREEMPTED_PAUSE_MS;
    else if (end == HS_ITEM_ATTEMPT_QUARANTINED)
        pause_ms = QUARANTINED_PAUSE_MS;
    else if (end == HS_ITEM_ATTEMPT_UNSUITED)
        pause_ms = HS_WEIGHTS_RETRY_MS;
    /* An item without content waits for the end of its time, when it is listed as dead. */
    item->next_attempt_ms =
        end == HS_ITEM_ATTEMPT_CONTENT_GONE ? UINT64_MAX : hs_clock_monotonic_ms() + pause_ms;
    owner->running--;
    if (!hs_job_owner_is_active(task->partition) || end == HS_ITEM_ATTEMPT_ABANDONED) {
        g_autofree char *key = g_strdup_printf("%s/%u", item->run->job_id, item->run->index);
        g_hash_table_remove(task->partition->items, key);
    }
    g_cond_broadcast(&owner->changed);
    g_mutex_unlock(&owner->lock);
    g_free(task);
}
