/**
 * @file job_checkpoint.c
 * Stores the progress of running items periodically, so that a killed daemon loses only the output
 * since the last checkpoint. The records of one partition are batched into one call. A record holds
 * the output since the last stored event; if the store rejects a checkpoint, the next one holds all
 * output.
 */
#include "jobs/job_owner_state.h"

#include "base/clock.h"

/** Minimum interval between checkpoints of an item. */
#define CHECKPOINT_INTERVAL_MS 1500
#define FLUSH_INTERVAL_MS 1000
/** The item's stream is not read meanwhile. */
#define FLUSH_LIMIT_MS 300

/** Returns the last event of the run's output that the store is known to have; 0: none. */
static uint64_t get_stored_event(const hs_owned_job_partition *owned, const hs_item_run *run) {
    uint64_t stored = 0;
    const hs_job_state *state = hs_job_partition_lock(owned->partition);
    const hs_job *job = hs_job_state_find(state, run->job_id);
    if (job != NULL && run->index < job->items->len) {
        const hs_job_item *item = &g_array_index(job->items, hs_job_item, run->index);
        bool is_own =
            item->progress_writer == run->writer || item->progress_event == run->base_event;
        stored = is_own ? item->progress_event : 0;
    }
    hs_job_partition_unlock(owned->partition);
    return stored;
}

/**
 * Returns the pending records if a flush is due, otherwise NULL. The caller holds the pending lock.
 * If output of items restricted to regions is among them, no other daemon may append them: they are
 * of several items, and a lost checkpoint costs time only.
 */
static GByteArray *begin_flush(hs_owned_job_partition *owned, uint64_t now_ms,
                               hs_body_regions *regions) {
    if (owned->is_flushing || owned->pending->len == 0 ||
        now_ms < owned->flushed_ms + FLUSH_INTERVAL_MS)
        return NULL;
    GByteArray *records = owned->pending;
    regions->is_mixed = owned->is_pending_restricted;
    owned->pending = g_byte_array_new();
    owned->is_pending_restricted = false;
    owned->is_flushing = true;
    return records;
}

static void end_flush(hs_owned_job_partition *owned) {
    g_mutex_lock(&owned->pending_lock);
    owned->is_flushing = false;
    owned->flushed_ms = hs_clock_monotonic_ms();
    g_mutex_unlock(&owned->pending_lock);
}

void hs_job_checkpoint_take(hs_item_run *run, void *data) {
    hs_owned_job_partition *owned = ((hs_item_task *)data)->partition;
    uint64_t now_ms = hs_clock_monotonic_ms();
    if (run->next_checkpoint_ms == 0)
        run->next_checkpoint_ms = now_ms + CHECKPOINT_INTERVAL_MS;
    if (now_ms < run->next_checkpoint_ms || run->events.event_count == 0)
        return;
    run->next_checkpoint_ms = now_ms + CHECKPOINT_INTERVAL_MS;
    hs_job_progress progress = hs_item_run_progress(run, get_stored_event(owned, run));
    g_mutex_lock(&owned->pending_lock);
    hs_job_partition_frame_progress(owned->partition, &progress, owned->pending);
    owned->is_pending_restricted |= run->is_restricted;
    hs_body_regions regions = {0};
    GByteArray *records = begin_flush(owned, now_ms, &regions);
    g_mutex_unlock(&owned->pending_lock);
    g_string_free((GString *)progress.text, TRUE);
    if (records == NULL)
        return;
    hs_job_partition_append_framed(owned->partition, records, &regions, now_ms + FLUSH_LIMIT_MS);
    g_byte_array_free(records, TRUE);
    end_flush(owned);
}
