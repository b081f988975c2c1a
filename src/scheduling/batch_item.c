/** @file batch_item.c  See batch_item.h. */
#include "scheduling/batch_item.h"

#include <string.h>

hs_held_grant *hs_held_grant_new(const Hs__Grant *message, const char *owner_id,
                                 uint64_t incarnation, uint64_t sent_ms) {
    hs_held_grant *grant = g_atomic_rc_box_new0(hs_held_grant);
    grant->partition = message->partition;
    grant->epoch = message->epoch;
    grant->grant_id = message->grant_id;
    grant->incarnation = incarnation;
    grant->job_id = g_strdup(message->job_id);
    grant->model = g_strdup(message->model);
    grant->endpoint = g_strdup(message->endpoint);
    grant->chunk_offset = message->chunk_offset;
    grant->chunk_first_item = message->chunk_first_item;
    grant->run_once = message->run_once;
    grant->owner_id = g_strdup(owner_id);
    grant->start_until_ms =
        message->start_within_ms > 0 ? sent_ms + message->start_within_ms : UINT64_MAX;
    return grant;
}

void hs_held_grant_confirm(hs_held_grant *grant, uint64_t start_until_ms) {
    grant->start_until_ms = MAX(grant->start_until_ms, start_until_ms);
}

bool hs_held_grant_may_start(const hs_held_grant *grant, uint64_t now_ms) {
    return now_ms < grant->start_until_ms;
}

static void clear_grant(gpointer data) {
    hs_held_grant *grant = data;
    g_free(grant->job_id);
    g_free(grant->model);
    g_free(grant->endpoint);
    g_free(grant->owner_id);
}

hs_held_grant *hs_held_grant_acquire(hs_held_grant *grant) {
    return g_atomic_rc_box_acquire(grant);
}

void hs_held_grant_release(hs_held_grant *grant) {
    g_atomic_rc_box_release_full(grant, clear_grant);
}

hs_batch_item *hs_batch_item_new(hs_held_grant *grant, uint32_t item) {
    hs_batch_item *result = g_new0(hs_batch_item, 1);
    result->grant = hs_held_grant_acquire(grant);
    result->item = item;
    return result;
}

void hs_batch_item_free(hs_batch_item *item) {
    hs_item_progress_clear(&item->progress);
    hs_held_grant_release(item->grant);
    g_free(item);
}

void hs_batch_item_assign_attempt_id(hs_batch_item *item, const char *daemon_id,
                                     const char *engine_url) {
    bool is_resumed =
        item->progress.resumable && strcmp(item->progress.engine_url, engine_url) == 0;
    if (is_resumed || (item->grant->run_once && item->attempt_count > 0))
        return;
    item->attempt_count++;
    g_snprintf(item->attempt_id, sizeof item->attempt_id,
               "%.20s-p%u-e%u-g%" G_GUINT64_FORMAT "-i%u-t%u", daemon_id, item->grant->partition,
               item->grant->epoch, item->grant->grant_id, item->item, item->attempt_count);
}
