/** @file partition_state.c  See partition_state.h. */
#include "batch/partition_state.h"

#include <string.h>

static void free_intent(gpointer data) {
    hs_intent *intent = data;
    g_free(intent->attempt_id);
    g_free(intent->engine_url);
    g_free(intent);
}

static void free_file(gpointer data) {
    hs_file *file = data;
    g_free(file->id);
    g_free(file->tenant);
    g_free(file->filename);
    g_free(file->model);
    g_free(file->endpoint);
    g_array_free(file->chunks, TRUE);
    g_array_free(file->run_once_items, TRUE);
    g_free(file);
}

static void free_job(gpointer data) {
    hs_job *job = data;
    g_free(job->id);
    g_free(job->tenant);
    g_free(job->file_id);
    g_free(job->endpoint);
    g_free(job->metadata_json);
    g_free(job->result_offsets);
    g_hash_table_destroy(job->intents);
    g_free(job);
}

static void free_online_intent(gpointer data) {
    hs_online_intent *intent = data;
    g_free(intent->key_hash);
    g_free(intent->attempt_id);
    g_free(intent->engine_url);
    g_free(intent);
}

hs_partition *hs_partition_new(uint64_t ended_retention_ms) {
    hs_partition *partition = g_new0(hs_partition, 1);
    partition->ended_retention_ms = ended_retention_ms;
    partition->files = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_file);
    partition->jobs = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_job);
    partition->online_intents =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_online_intent);
    return partition;
}

void hs_partition_free(hs_partition *partition) {
    if (partition == NULL)
        return;
    g_hash_table_destroy(partition->files);
    g_hash_table_destroy(partition->jobs);
    g_hash_table_destroy(partition->online_intents);
    g_free(partition->owner_id);
    g_free(partition);
}

hs_job *hs_partition_find_job(const hs_partition *partition, const char *job_id) {
    return g_hash_table_lookup(partition->jobs, job_id);
}

hs_file *hs_partition_find_file(const hs_partition *partition, const char *file_id) {
    return g_hash_table_lookup(partition->files, file_id);
}

const hs_online_intent *hs_partition_find_online_intent(const hs_partition *partition,
                                                        const char *key_hash) {
    return g_hash_table_lookup(partition->online_intents, key_hash);
}

void hs_partition_add_online_intent(hs_partition *partition, const Hs__OnlineIntent *source) {
    hs_online_intent *intent = g_new0(hs_online_intent, 1);
    intent->key_hash = g_strdup(source->key_hash);
    intent->attempt_id = g_strdup(source->attempt_id);
    intent->engine_url = g_strdup(source->engine_url);
    intent->created_ms = source->created_ms;
    g_hash_table_replace(partition->online_intents, intent->key_hash, intent);
}

hs_job_state hs_job_get_state(const hs_job *job) {
    if (job->cancelled)
        return g_hash_table_size(job->intents) > 0 ? HS_JOB_CANCELLING : HS_JOB_CANCELLED;
    return job->completed_count == job->item_count ? HS_JOB_COMPLETED : HS_JOB_RUNNING;
}

bool hs_file_item_is_run_once(const hs_file *file, uint32_t item) {
    guint low = 0;
    guint high = file->run_once_items->len;
    while (low < high) {
        guint middle = low + (high - low) / 2;
        uint32_t value = g_array_index(file->run_once_items, uint32_t, middle);
        if (value == item)
            return true;
        if (value < item)
            low = middle + 1;
        else
            high = middle;
    }
    return false;
}

const hs_chunk_ref *hs_file_find_chunk(const hs_file *file, uint32_t item) {
    guint low = 0;
    guint high = file->chunks->len;
    while (high - low > 1) {
        guint middle = low + (high - low) / 2;
        if (g_array_index(file->chunks, hs_chunk_ref, middle).first_item <= item)
            low = middle;
        else
            high = middle;
    }
    return &g_array_index(file->chunks, hs_chunk_ref, low);
}

hs_file *hs_partition_add_file(hs_partition *partition, const char *file_id) {
    hs_file *file = g_new0(hs_file, 1);
    file->id = g_strdup(file_id);
    file->chunks = g_array_new(FALSE, TRUE, sizeof(hs_chunk_ref));
    file->run_once_items = g_array_new(FALSE, FALSE, sizeof(uint32_t));
    g_hash_table_insert(partition->files, file->id, file);
    return file;
}

hs_job *hs_partition_add_job(hs_partition *partition, const char *job_id, uint32_t item_count) {
    hs_job *job = g_new0(hs_job, 1);
    job->id = g_strdup(job_id);
    job->item_count = item_count;
    job->result_offsets = g_new0(uint64_t, item_count);
    job->intents = g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, free_intent);
    g_hash_table_insert(partition->jobs, job->id, job);
    return job;
}

void hs_job_add_intent(hs_job *job, const Hs__ItemIntent *source) {
    hs_intent *intent = g_new0(hs_intent, 1);
    intent->item = source->item;
    intent->attempt_id = g_strdup(source->attempt_id);
    intent->engine_url = g_strdup(source->engine_url);
    intent->epoch = source->epoch;
    g_hash_table_replace(job->intents, GUINT_TO_POINTER(source->item), intent);
}

static void advance_stream_time(hs_partition *partition, uint64_t time_ms) {
    partition->stream_time_ms = MAX(partition->stream_time_ms, time_ms);
}

static hs_fold_outcome apply_claim(hs_partition *partition, const Hs__OwnerClaim *claim) {
    bool same_owner = partition->owner_id != NULL &&
                      strcmp(partition->owner_id, claim->daemon_id) == 0 &&
                      partition->owner_incarnation == claim->incarnation;
    if (claim->epoch == partition->epoch && same_owner)
        return HS_FOLD_REPEATED;
    if (claim->epoch != partition->epoch + 1)
        return HS_FOLD_STALE;
    partition->epoch = claim->epoch;
    g_free(partition->owner_id);
    partition->owner_id = g_strdup(claim->daemon_id);
    partition->owner_incarnation = claim->incarnation;
    partition->owner_released = false;
    return HS_FOLD_APPLIED;
}

static hs_fold_outcome apply_release(hs_partition *partition, const Hs__OwnerRelease *release) {
    if (release->epoch != partition->epoch || partition->owner_id == NULL ||
        strcmp(partition->owner_id, release->daemon_id) != 0)
        return HS_FOLD_STALE;
    if (partition->owner_released)
        return HS_FOLD_REPEATED;
    partition->owner_released = true;
    return HS_FOLD_APPLIED;
}

static hs_fold_outcome apply_chunk(hs_partition *partition, uint64_t offset,
                                   const Hs__FileChunk *chunk) {
    hs_file *file = hs_partition_find_file(partition, chunk->file_id);
    if (file == NULL)
        file = hs_partition_add_file(partition, chunk->file_id);
    if (file->sealed)
        return HS_FOLD_REPEATED;
    if (file->chunks->len <= chunk->chunk_index)
        g_array_set_size(file->chunks, chunk->chunk_index + 1);
    hs_chunk_ref *ref = &g_array_index(file->chunks, hs_chunk_ref, chunk->chunk_index);
    if (ref->present)
        return HS_FOLD_REPEATED;
    *ref = (hs_chunk_ref){.offset = offset,
                          .first_item = chunk->first_item,
                          .item_count = chunk->item_count,
                          .present = true};
    if (chunk->n_run_once_items > 0)
        g_array_append_vals(file->run_once_items, chunk->run_once_items,
                            (guint)chunk->n_run_once_items);
    return HS_FOLD_APPLIED;
}

static gint compare_items(gconstpointer left, gconstpointer right) {
    uint32_t first = *(const uint32_t *)left;
    uint32_t second = *(const uint32_t *)right;
    return (first > second) - (first < second);
}

static bool are_chunks_complete(const hs_file *file, const Hs__FileSealed *seal) {
    if (file->chunks->len != seal->chunk_count)
        return false;
    uint32_t next_item = 0;
    for (guint index = 0; index < file->chunks->len; index++) {
        const hs_chunk_ref *ref = &g_array_index(file->chunks, hs_chunk_ref, index);
        if (!ref->present || ref->first_item != next_item)
            return false;
        next_item += ref->item_count;
    }
    return next_item == seal->item_count;
}

static hs_fold_outcome apply_seal(hs_partition *partition, const Hs__FileSealed *seal) {
    advance_stream_time(partition, seal->created_ms);
    hs_file *file = hs_partition_find_file(partition, seal->file_id);
    if (file == NULL)
        return HS_FOLD_INVALID;
    if (file->sealed)
        return HS_FOLD_REPEATED;
    if (!are_chunks_complete(file, seal))
        return HS_FOLD_INVALID;
    file->tenant = g_strdup(seal->tenant);
    file->filename = g_strdup(seal->filename);
    file->model = g_strdup(seal->model);
    file->endpoint = g_strdup(seal->endpoint);
    file->item_count = seal->item_count;
    file->byte_count = seal->byte_count;
    file->created_ms = seal->created_ms;
    file->sealed = true;
    g_array_sort(file->run_once_items, compare_items);
    return HS_FOLD_APPLIED;
}

static bool is_job_expired(const hs_partition *partition, const hs_job *job) {
    return job->finished_ms > 0 &&
           job->finished_ms + partition->ended_retention_ms < partition->stream_time_ms;
}

static gboolean is_file_expired(gpointer key, gpointer value, gpointer user_data) {
    (void)key;
    const hs_file *file = value;
    const hs_partition *partition = user_data;
    if (!file->sealed ||
        file->created_ms + partition->ended_retention_ms >= partition->stream_time_ms)
        return FALSE;
    GHashTableIter iterator;
    gpointer job;
    g_hash_table_iter_init(&iterator, partition->jobs);
    while (g_hash_table_iter_next(&iterator, NULL, &job))
        if (strcmp(((hs_job *)job)->file_id, file->id) == 0)
            return FALSE;
    return TRUE;
}

static gboolean is_online_intent_expired(gpointer key, gpointer value, gpointer user_data) {
    (void)key;
    const hs_partition *partition = user_data;
    return ((hs_online_intent *)value)->created_ms + partition->ended_retention_ms <
           partition->stream_time_ms;
}

/** Removes entries past the retention by stream time, so that all readers remove the same ones. */
static void remove_expired_entries(hs_partition *partition) {
    GHashTableIter iterator;
    gpointer job;
    g_hash_table_iter_init(&iterator, partition->jobs);
    while (g_hash_table_iter_next(&iterator, NULL, &job))
        if (is_job_expired(partition, job))
            g_hash_table_iter_remove(&iterator);
    g_hash_table_foreach_remove(partition->files, is_file_expired, partition);
    g_hash_table_foreach_remove(partition->online_intents, is_online_intent_expired, partition);
}

static hs_fold_outcome apply_submission(hs_partition *partition,
                                        const Hs__JobSubmitted *submitted) {
    advance_stream_time(partition, submitted->created_ms);
    if (hs_partition_find_job(partition, submitted->job_id) != NULL)
        return HS_FOLD_REPEATED;
    const hs_file *file = hs_partition_find_file(partition, submitted->file_id);
    if (file == NULL || !file->sealed || strcmp(file->tenant, submitted->tenant) != 0 ||
        strcmp(file->endpoint, submitted->endpoint) != 0)
        return HS_FOLD_INVALID;
    hs_job *job = hs_partition_add_job(partition, submitted->job_id, file->item_count);
    job->tenant = g_strdup(submitted->tenant);
    job->file_id = g_strdup(submitted->file_id);
    job->endpoint = g_strdup(submitted->endpoint);
    job->metadata_json = g_strdup(submitted->metadata_json);
    job->created_ms = submitted->created_ms;
    job->deadline_ms = submitted->deadline_ms;
    remove_expired_entries(partition);
    return HS_FOLD_APPLIED;
}

static void set_finished_time(hs_partition *partition, hs_job *job) {
    hs_job_state state = hs_job_get_state(job);
    if (state == HS_JOB_COMPLETED || state == HS_JOB_CANCELLED)
        job->finished_ms = MAX(partition->stream_time_ms, 1);
}

static hs_fold_outcome apply_cancellation(hs_partition *partition,
                                          const Hs__JobCancelled *cancelled) {
    advance_stream_time(partition, cancelled->requested_ms);
    hs_job *job = hs_partition_find_job(partition, cancelled->job_id);
    if (job == NULL)
        return HS_FOLD_INVALID;
    if (job->cancelled || job->completed_count == job->item_count)
        return HS_FOLD_REPEATED;
    job->cancelled = true;
    job->cancelled_ms = cancelled->requested_ms;
    set_finished_time(partition, job);
    return HS_FOLD_APPLIED;
}

static hs_fold_outcome apply_intent(hs_partition *partition, const Hs__ItemIntent *intent) {
    hs_job *job = hs_partition_find_job(partition, intent->job_id);
    if (job == NULL || intent->item >= job->item_count)
        return HS_FOLD_INVALID;
    const hs_file *file = hs_partition_find_file(partition, job->file_id);
    if (file == NULL || !hs_file_item_is_run_once(file, intent->item))
        return HS_FOLD_INVALID;
    if (intent->epoch != partition->epoch)
        return HS_FOLD_STALE;
    if (job->cancelled || job->result_offsets[intent->item] != 0)
        return HS_FOLD_REPEATED;
    const hs_intent *present = g_hash_table_lookup(job->intents, GUINT_TO_POINTER(intent->item));
    bool same_attempt = present != NULL && strcmp(present->attempt_id, intent->attempt_id) == 0;
    if (present != NULL && !same_attempt)
        return HS_FOLD_REPEATED;
    if (same_attempt && strcmp(present->engine_url, intent->engine_url) == 0)
        return HS_FOLD_REPEATED;
    /* The same attempt may use another engine after the first engine refused the request. */
    hs_job_add_intent(job, intent);
    return HS_FOLD_APPLIED;
}

static bool is_result_valid(const hs_partition *partition, const hs_job *job, const hs_file *file,
                            uint32_t epoch, const Hs__ItemResult *result) {
    if (result->item >= job->item_count || job->result_offsets[result->item] != 0)
        return false;
    if (!hs_file_item_is_run_once(file, result->item))
        return !job->cancelled && !result->indeterminate;
    const hs_intent *intent = g_hash_table_lookup(job->intents, GUINT_TO_POINTER(result->item));
    if (intent == NULL || strcmp(intent->attempt_id, result->attempt_id) != 0)
        return false;
    return !result->indeterminate || epoch == partition->epoch;
}

#define MIN_FAILED_STATUS 400

static hs_fold_outcome apply_completion(hs_partition *partition, uint64_t offset,
                                        const Hs__ItemsCompleted *completed) {
    advance_stream_time(partition, completed->recorded_ms);
    hs_job *job = hs_partition_find_job(partition, completed->job_id);
    const hs_file *file = job != NULL ? hs_partition_find_file(partition, job->file_id) : NULL;
    if (file == NULL)
        return HS_FOLD_INVALID;
    bool any_applied = false;
    for (size_t index = 0; index < completed->n_results; index++) {
        const Hs__ItemResult *result = completed->results[index];
        if (!is_result_valid(partition, job, file, completed->epoch, result))
            continue;
        job->result_offsets[result->item] = offset + 1;
        job->completed_count++;
        job->failed_count += result->indeterminate || result->status_code >= MIN_FAILED_STATUS;
        g_hash_table_remove(job->intents, GUINT_TO_POINTER(result->item));
        any_applied = true;
    }
    if (!any_applied)
        return HS_FOLD_REPEATED;
    set_finished_time(partition, job);
    return HS_FOLD_APPLIED;
}

static hs_fold_outcome apply_online_intent(hs_partition *partition,
                                           const Hs__OnlineIntent *intent) {
    advance_stream_time(partition, intent->created_ms);
    const hs_online_intent *present = hs_partition_find_online_intent(partition, intent->key_hash);
    bool same_attempt = present != NULL && strcmp(present->attempt_id, intent->attempt_id) == 0;
    if (present != NULL && !same_attempt)
        return HS_FOLD_REPEATED;
    if (same_attempt && strcmp(present->engine_url, intent->engine_url) == 0)
        return HS_FOLD_REPEATED;
    hs_partition_add_online_intent(partition, intent);
    return HS_FOLD_APPLIED;
}

static hs_fold_outcome apply_online_void(hs_partition *partition,
                                         const Hs__OnlineIntentVoid *voided) {
    const hs_online_intent *present = hs_partition_find_online_intent(partition, voided->key_hash);
    if (present == NULL || strcmp(present->attempt_id, voided->attempt_id) != 0)
        return HS_FOLD_REPEATED;
    g_hash_table_remove(partition->online_intents, voided->key_hash);
    return HS_FOLD_APPLIED;
}

hs_fold_outcome hs_partition_apply(hs_partition *partition, uint64_t offset,
                                   const Hs__PartitionRecord *record) {
    if (offset != partition->next_offset)
        return HS_FOLD_REPEATED;
    partition->next_offset = offset + 1;
    if (record == NULL)
        return HS_FOLD_INVALID;
    switch (record->kind_case) {
    case HS__PARTITION_RECORD__KIND_OWNER_CLAIM:
        return apply_claim(partition, record->owner_claim);
    case HS__PARTITION_RECORD__KIND_OWNER_RELEASE:
        return apply_release(partition, record->owner_release);
    case HS__PARTITION_RECORD__KIND_FILE_CHUNK:
        return apply_chunk(partition, offset, record->file_chunk);
    case HS__PARTITION_RECORD__KIND_FILE_SEALED:
        return apply_seal(partition, record->file_sealed);
    case HS__PARTITION_RECORD__KIND_JOB_SUBMITTED:
        return apply_submission(partition, record->job_submitted);
    case HS__PARTITION_RECORD__KIND_JOB_CANCELLED:
        return apply_cancellation(partition, record->job_cancelled);
    case HS__PARTITION_RECORD__KIND_ITEM_INTENT:
        return apply_intent(partition, record->item_intent);
    case HS__PARTITION_RECORD__KIND_ITEMS_COMPLETED:
        return apply_completion(partition, offset, record->items_completed);
    case HS__PARTITION_RECORD__KIND_ONLINE_INTENT:
        return apply_online_intent(partition, record->online_intent);
    case HS__PARTITION_RECORD__KIND_ONLINE_INTENT_VOID:
        return apply_online_void(partition, record->online_intent_void);
    default:
        return HS_FOLD_INVALID;
    }
}
