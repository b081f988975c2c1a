/**
 * @file job_checkpoint.c
 * Progress of running items, stored now and then: a daemon that is killed takes with it what its
 * items made since, not all they made. Records of one partition wait for each other and go in one
 * call; only what follows the last stored event is written. A checkpoint that the store does not
 * take is dropped; the next one then holds all.
 */
#include "jobs/job_owner_state.h"

#include "base/clock.h"

/** Between checkpoints of an item, and between calls for a partition. */
#define CHECKPOINT_INTERVAL_MS 1500
#define FLUSH_INTERVAL_MS 1000
/** The item's stream is not read meanwhile. */
#define FLUSH_LIMIT_MS 300

/** The last event of a run's text that the store is known to have; 0: none. */
static uint64_t known_event(const hs_owned_partition_state *home, const hs_item_run *run) {
    uint64_t known = 0;
    const hs_job_state *state = hs_job_partition_lock(home->partition);
    const hs_job *job = hs_job_state_find(state, run->job_id);
    if (job != NULL && run->index < job->items->len) {
        const hs_job_item *item = &g_array_index(job->items, hs_job_item, run->index);
        bool is_own =
            item->progress_writer == run->writer || item->progress_event == run->base_event;
        known = is_own ? item->progress_event : 0;
    }
    hs_job_partition_unlock(home->partition);
    return known;
}

/** Take the waiting records if it is time to store them; NULL: not now. */
static GByteArray *begin_flush(hs_owned_partition_state *home, uint64_t now_ms) {
    if (home->flushing || home->pending->len == 0 || now_ms < home->flushed_ms + FLUSH_INTERVAL_MS)
        return NULL;
    GByteArray *records = home->pending;
    home->pending = g_byte_array_new();
    home->flushing = true;
    return records;
}

static void end_flush(hs_owned_partition_state *home) {
    g_mutex_lock(&home->pending_lock);
    home->flushing = false;
    home->flushed_ms = hs_clock_monotonic_ms();
    g_mutex_unlock(&home->pending_lock);
}

void hs_job_checkpoint_take(hs_item_run *run, void *data) {
    hs_owned_partition_state *home = ((hs_item_order *)data)->home;
    uint64_t now_ms = hs_clock_monotonic_ms();
    if (run->next_checkpoint_ms == 0)
        run->next_checkpoint_ms = now_ms + CHECKPOINT_INTERVAL_MS;
    if (now_ms < run->next_checkpoint_ms || run->events.event_count == 0)
        return;
    run->next_checkpoint_ms = now_ms + CHECKPOINT_INTERVAL_MS;
    hs_job_progress made = hs_item_run_progress(run, known_event(home, run));
    g_mutex_lock(&home->pending_lock);
    hs_job_partition_frame_progress(home->partition, &made, home->pending);
    GByteArray *records = begin_flush(home, now_ms);
    g_mutex_unlock(&home->pending_lock);
    g_string_free((GString *)made.text, TRUE);
    if (records == NULL)
        return;
    hs_job_partition_append_framed(home->partition, records, now_ms + FLUSH_LIMIT_MS);
    g_byte_array_free(records, TRUE);
    end_flush(home);
}
