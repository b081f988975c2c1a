/** @file job_worker.c  One item's try, its result, and its handing over; see job_owner.h. */
#include "jobs/job_owner_state.h"

#include "base/clock.h"
#include "base/log.h"
#include "jobs/job_starts.h"

#define YIELD_PAUSE_MS 100
/** An item that is held back claims a trial so often, in ms: some times for each pause between
 * trials (300 ms and more), and one datagram there and back. */
#define HELD_BACK_PAUSE_MS 500

/**
 * Until when what was made of a partition's items may be stored: without limit by its owner, for a
 * while by one that lost it or stops. Records are idempotent, so that a late one does no harm.
 */
static hs_deadline store_limit(hs_owned_partition_state *home) {
    hs_job_owner *owner = home->owner;
    hs_deadline limit = UINT64_MAX;
    g_mutex_lock(&owner->lock);
    if (owner->draining)
        limit = owner->handover_deadline;
    else if (!home->owned)
        limit = home->handover_deadline;
    g_mutex_unlock(&owner->lock);
    return limit;
}

/** Whether a call that ended with @p stored is worth another try now; waits a little before. */
static bool may_store_again(hs_owned_partition_state *home, hs_store_outcome stored) {
    if (stored == HS_STORE_DONE || stored == HS_STORE_INVALID ||
        hs_clock_monotonic_ms() >= store_limit(home))
        return false;
    hs_clock_sleep_ms(HS_JOB_RETRY_LEAST_MS);
    return true;
}

static hs_store_outcome store_result(hs_owned_partition_state *home, const hs_owned_item *item,
                                     hs_item_outcome outcome, const GString *text) {
    hs_store_outcome stored = HS_STORE_REFUSED;
    uint32_t attempt = 0;
    do {
        stored = hs_job_partition_append_result(
            home->partition, item->run->job_id, item->run->index, outcome, text,
            hs_job_partition_patience(home->partition, attempt++, text->len, UINT64_MAX));
    } while (may_store_again(home, stored));
    return stored;
}

static uint64_t backoff_ms(uint32_t tries) {
    return MIN((uint64_t)HS_JOB_RETRY_LEAST_MS << MIN(tries, 8), HS_JOB_RETRY_MOST_MS);
}

/** List the item; true when nothing more is to be done for it. */
static bool conclude(const hs_item_order *order, hs_item_outcome outcome) {
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
static bool settle_try(const hs_item_order *order, hs_item_attempt_end end) {
    hs_owned_item *item = order->item;
    if (end != HS_ITEM_ATTEMPT_NO_CAPACITY && end != HS_ITEM_ATTEMPT_DONE &&
        end != HS_ITEM_ATTEMPT_QUARANTINED)
        hs_log_info("item_try_ended", "job=%s item=%s engine=%s end=%s tries=%u events=%u",
                    item->run->job_id, item->run->item_id, item->run->engine_id,
                    hs_item_attempt_end_name(end), item->tries,
                    (unsigned)item->run->events.event_count);
    item->failures += end == HS_ITEM_ATTEMPT_FAILED;
    if (end == HS_ITEM_ATTEMPT_DONE)
        return conclude(order, HS_ITEM_COMPLETED);
    if (end == HS_ITEM_ATTEMPT_IMPOSSIBLE || item->failures >= order->max_attempts)
        return conclude(order, HS_ITEM_DEAD);
    return false;
}

/** Store what there is of an unfinished item, so that the next owner goes on with it. */
static void hand_over(const hs_item_order *order) {
    hs_item_run *run = order->item->run;
    hs_job_partition *partition = order->home->partition;
    if (run->events.event_count == 0)
        return;
    hs_job_progress made = hs_item_run_progress(run, 0);
    GByteArray *records = g_byte_array_new();
    bool is_kept = hs_job_partition_frame_progress(partition, &made, records);
    hs_store_outcome stored = HS_STORE_INVALID;
    uint32_t attempt = 0;
    do {
        hs_deadline patience =
            hs_job_partition_patience(partition, attempt++, records->len, UINT64_MAX);
        if (is_kept)
            stored = hs_job_partition_append_framed(partition, records, patience);
    } while (may_store_again(order->home, stored));
    hs_log_info("item_handed_over", "job=%s item=%s last_event=%" G_GUINT64_FORMAT " stored=%s",
                run->job_id, run->item_id, (guint64)run->events.last_id,
                hs_store_outcome_name(stored));
    g_byte_array_free(records, TRUE);
    g_string_free((GString *)made.text, TRUE);
}

/** Whether an interrupted item goes to another owner. */
static bool changes_owner(hs_job_owner *owner, const hs_owned_partition_state *home) {
    g_mutex_lock(&owner->lock);
    bool changes = !home->owned || owner->draining;
    g_mutex_unlock(&owner->lock);
    return changes;
}

void hs_job_worker_run(gpointer data, gpointer user_data) {
    hs_job_owner *owner = user_data;
    hs_item_order *order = data;
    hs_owned_item *item = order->item;
    hs_fleet_config *config = hs_config_source_get(owner->settings.config);
    bool listed = false;
    hs_item_attempt_end end = HS_ITEM_ATTEMPT_NO_ROUTE;
    if (order->hands_over) {
        end = HS_ITEM_ATTEMPT_ABANDONED;
    } else if (order->is_expired) {
        listed = conclude(order, HS_ITEM_DEAD);
    } else if (config != NULL) {
        hs_item_attempt_terms terms = {.partition = order->home->partition,
                                       .engines = owner->settings.engines,
                                       .config = config,
                                       .rank_ms = order->rank_ms,
                                       .checkpoint = hs_job_checkpoint_take,
                                       .user_data = order};
        end = hs_item_run_attempt(item->run, &terms);
        listed = settle_try(order, end);
    }
    hs_fleet_config_unref(config);
    if (!listed && end != HS_ITEM_ATTEMPT_DONE && changes_owner(owner, order->home))
        hand_over(order);
    g_mutex_lock(&owner->lock);
    if (end == HS_ITEM_ATTEMPT_DONE)
        hs_item_pace_note(&owner->pace, item->run->tokens, item->run->events.last_id,
                          item->run->attempt_events, item->run->attempt_ms);
    hs_job_starts_note_end(owner, order, end);
    item->stage = listed ? HS_ITEM_STORED : HS_ITEM_WAITING;
    item->tries += end != HS_ITEM_ATTEMPT_NO_CAPACITY && end != HS_ITEM_ATTEMPT_QUARANTINED;
    uint64_t pause_ms = backoff_ms(item->failures);
    if (end == HS_ITEM_ATTEMPT_NO_CAPACITY)
        pause_ms = HS_JOB_PASS_MS;
    else if (end == HS_ITEM_ATTEMPT_PREEMPTED)
        pause_ms = YIELD_PAUSE_MS;
    else if (end == HS_ITEM_ATTEMPT_QUARANTINED)
        pause_ms = HELD_BACK_PAUSE_MS;
    item->next_try_ms = hs_clock_monotonic_ms() + pause_ms;
    owner->running--;
    if (!order->home->owned || end == HS_ITEM_ATTEMPT_ABANDONED) {
        g_autofree char *key = g_strdup_printf("%s/%u", item->run->job_id, item->run->index);
        g_hash_table_remove(order->home->items, key);
    }
    g_cond_broadcast(&owner->changed);
    g_mutex_unlock(&owner->lock);
    g_free(order);
}
