/** @file job_state.c  The fold of a partition; see job_state.h. */
#include "jobs/job_state.h"

#include <string.h>

/** Bounds of the times of a manifest; their sums fit into 63 bits. */
#define MAX_WALL_MS (1ULL << 42)
#define MAX_PERIOD_MS (1ULL << 40)

/** A result split into several records, not all of which have been applied. */
typedef struct {
    char *job_id;
    uint32_t item;
    uint32_t next_part;
    uint64_t next_offset;
    GByteArray *text;
} partial_result;

struct hs_job_state {
    GHashTable *jobs;       /**< id -> hs_job* */
    GHashTable *early_ends; /**< Id of an ended job without manifest -> uint64_t*: when applied. */
    uint64_t next;
    partial_result partial;
    const char *last_ended; /**< Id of the job that the last record ended; NULL: none. */
};

static void free_result(gpointer data) {
    hs_job_result *result = data;
    g_free(result->text);
    g_free(result);
}

static void clear_item(gpointer data) {
    hs_job_item *item = data;
    g_free(item->id);
    g_free(item->progress);
}

static void free_job(gpointer data) {
    hs_job *job = data;
    g_free(job->id);
    g_free(job->host);
    g_free(job->target);
    g_free(job->tenant);
    g_array_free(job->items, TRUE);
    g_hash_table_destroy(job->item_by_id);
    g_ptr_array_free(job->results, TRUE);
    g_free(job);
}

hs_job_state *hs_job_state_new(void) {
    hs_job_state *state = g_new0(hs_job_state, 1);
    state->jobs = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_job);
    state->early_ends = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    state->partial.text = g_byte_array_new();
    return state;
}

void hs_job_state_free(hs_job_state *state) {
    if (state == NULL)
        return;
    g_hash_table_destroy(state->jobs);
    g_hash_table_destroy(state->early_ends);
    g_free(state->partial.job_id);
    g_byte_array_free(state->partial.text, TRUE);
    g_free(state);
}

bool hs_job_state_end_early(hs_job_state *state, const char *job_id, uint64_t now_ms) {
    hs_job *job = g_hash_table_lookup(state->jobs, job_id);
    if (job == NULL) {
        uint64_t *applied_ms = g_new(uint64_t, 1);
        *applied_ms = now_ms;
        return g_hash_table_insert(state->early_ends, g_strdup(job_id), applied_ms);
    }
    bool is_new = !job->ended;
    job->ended = true;
    return is_new;
}

const char *hs_job_state_last_ended(const hs_job_state *state) {
    return state->last_ended;
}

uint64_t hs_job_state_next_offset(const hs_job_state *state) {
    return state->next;
}

void hs_job_state_skip_to(hs_job_state *state, uint64_t offset) {
    state->next = MAX(state->next, offset);
}

static void apply_manifest(hs_job_state *state, uint64_t offset, const Hs__JobManifest *manifest) {
    if (g_hash_table_contains(state->jobs, manifest->job_id))
        return;
    hs_job *job = g_new0(hs_job, 1);
    job->id = g_strdup(manifest->job_id);
    job->host = g_strdup(manifest->host);
    job->target = g_strdup(manifest->target);
    job->tenant = g_strdup(manifest->tenant);
    job->submitted_ms = MIN(manifest->submitted_ms, MAX_WALL_MS);
    job->due_ms = MIN(manifest->due_ms, MAX_PERIOD_MS);
    job->retention_ms = MIN(manifest->retention_ms, MAX_PERIOD_MS);
    job->manifest_offset = offset;
    job->items = g_array_new(FALSE, FALSE, sizeof(hs_job_item));
    g_array_set_clear_func(job->items, clear_item);
    job->item_by_id = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    job->results = g_ptr_array_new_with_free_func(free_result);
    for (size_t index = 0; index < manifest->n_items; index++) {
        const Hs__JobItem *entry = manifest->items[index];
        hs_job_item item = {.id = g_strdup(entry->id),
                            .tokens = entry->tokens,
                            .content_offset = entry->content_offset,
                            .content_bytes = entry->content_bytes};
        g_array_append_val(job->items, item);
        g_hash_table_insert(job->item_by_id, g_strdup(entry->id), GSIZE_TO_POINTER(index + 1));
    }
    job->ended = g_hash_table_contains(state->early_ends, job->id);
    g_hash_table_insert(state->jobs, job->id, job);
}

static void list_result(hs_job *job, uint32_t item, hs_item_outcome outcome, const void *text,
                        size_t length) {
    hs_job_item *entry = &g_array_index(job->items, hs_job_item, item);
    if (entry->listed)
        return;
    entry->listed = true;
    g_clear_pointer(&entry->progress, g_free);
    hs_job_result *result = g_new0(hs_job_result, 1);
    result->item = item;
    result->outcome = outcome;
    result->text = g_memdup2(text, length);
    result->length = length;
    g_ptr_array_add(job->results, result);
}

static void clear_partial(hs_job_state *state) {
    g_clear_pointer(&state->partial.job_id, g_free);
    g_byte_array_set_size(state->partial.text, 0);
}

/** Parts of one result have consecutive offsets because they are appended in one call. */
static bool is_next_part(const partial_result *partial, uint64_t offset,
                         const Hs__JobResult *result) {
    return partial->job_id != NULL && partial->next_offset == offset &&
           partial->next_part == result->part && partial->item == result->item &&
           strcmp(partial->job_id, result->job_id) == 0;
}

static void apply_result(hs_job_state *state, uint64_t offset, const Hs__JobResult *result) {
    hs_job *job = g_hash_table_lookup(state->jobs, result->job_id);
    if (job == NULL || result->item >= job->items->len)
        return;
    hs_item_outcome outcome =
        result->state == HS__JOB_ITEM_STATE__JOB_ITEM_COMPLETED ? HS_ITEM_COMPLETED : HS_ITEM_DEAD;
    if (result->parts <= 1) {
        list_result(job, result->item, outcome, result->text.data, result->text.len);
        return;
    }
    partial_result *partial = &state->partial;
    bool is_continuation = result->part > 0 && is_next_part(partial, offset, result);
    if (!is_continuation)
        clear_partial(state);
    if (!is_continuation && result->part > 0)
        return;
    if (partial->job_id == NULL)
        partial->job_id = g_strdup(result->job_id);
    partial->item = result->item;
    partial->next_part = result->part + 1;
    partial->next_offset = offset + 1;
    g_byte_array_append(partial->text, result->text.data, (guint)result->text.len);
    if (partial->next_part < result->parts)
        return;
    list_result(job, result->item, outcome, partial->text->data, partial->text->len);
    clear_partial(state);
}

static void replace_progress(hs_job_item *item, const Hs__JobProgress *progress) {
    g_free(item->progress);
    item->progress = g_memdup2(progress->text.data, progress->text.len);
    item->progress_length = progress->text.len;
    item->progress_event = progress->last_event;
    item->progress_writer = progress->writer;
    item->progress_software = progress->software;
}

/**
 * Returns whether the text continues the stored progress. Two owners may run an item concurrently
 * and reach the same event with different outputs. A text is therefore continued only by its own
 * writer or by a writer that resumed after it.
 */
static bool is_continued_by(const hs_job_item *item, const Hs__JobProgress *progress) {
    bool is_other_software = progress->software != 0 && item->progress_software != 0 &&
                             progress->software != item->progress_software;
    return progress->from_event == item->progress_event && !is_other_software &&
           (progress->writer == item->progress_writer ||
            progress->base_event == progress->from_event);
}

/** Appends a text that follows the stored progress; texts of events are separated by line feeds. */
static void extend_progress(hs_job_item *item, const Hs__JobProgress *progress) {
    size_t length = item->progress_length + 1 + progress->text.len;
    item->progress = g_realloc(item->progress, length);
    item->progress[item->progress_length] = '\n';
    if (progress->text.len > 0)
        memcpy(item->progress + item->progress_length + 1, progress->text.data, progress->text.len);
    item->progress_length = length;
    item->progress_event = progress->last_event;
    item->progress_writer = progress->writer;
    /* An older build continues the output with any software, and names none. */
    if (progress->software != item->progress_software)
        item->progress_software = 0;
}

static void apply_progress(hs_job_state *state, const Hs__JobProgress *progress) {
    hs_job *job = g_hash_table_lookup(state->jobs, progress->job_id);
    if (job == NULL || progress->item >= job->items->len)
        return;
    hs_job_item *item = &g_array_index(job->items, hs_job_item, progress->item);
    if (item->listed || item->progress_event >= progress->last_event)
        return;
    if (progress->from_event == 0)
        replace_progress(item, progress);
    else if (is_continued_by(item, progress))
        extend_progress(item, progress);
}

bool hs_job_state_apply(hs_job_state *state, uint64_t offset, const uint8_t *bytes, size_t length) {
    state->next = offset + 1;
    state->last_ended = NULL;
    Hs__JobRecord *record = hs__job_record__unpack(NULL, length, bytes);
    if (record == NULL)
        return false;
    bool known = true;
    switch (record->kind_case) {
    case HS__JOB_RECORD__KIND_MANIFEST:
        apply_manifest(state, offset, record->manifest);
        break;
    case HS__JOB_RECORD__KIND_RESULT:
        apply_result(state, offset, record->result);
        break;
    case HS__JOB_RECORD__KIND_END: {
        hs_job *job = g_hash_table_lookup(state->jobs, record->end->job_id);
        state->last_ended = job != NULL && !job->ended ? job->id : NULL;
        if (job != NULL)
            job->ended = true;
        g_hash_table_remove(state->early_ends, record->end->job_id);
        break;
    }
    case HS__JOB_RECORD__KIND_PROGRESS:
        apply_progress(state, record->progress);
        break;
    default:
        known = false;
    }
    hs__job_record__free_unpacked(record, NULL);
    return known;
}

hs_job *hs_job_state_find(const hs_job_state *state, const char *job_id) {
    return g_hash_table_lookup(state->jobs, job_id);
}

bool hs_job_is_visible(const hs_job *job, const char *tenant) {
    return *job->tenant == '\0' || strcmp(job->tenant, tenant) == 0;
}

GPtrArray *hs_job_state_list(const hs_job_state *state) {
    GPtrArray *jobs = g_ptr_array_new();
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, state->jobs);
    while (g_hash_table_iter_next(&iterator, NULL, &value))
        g_ptr_array_add(jobs, value);
    return jobs;
}

int hs_job_find_item(const hs_job *job, const char *item_id) {
    return (int)GPOINTER_TO_SIZE(g_hash_table_lookup(job->item_by_id, item_id)) - 1;
}

bool hs_job_is_open(const hs_job *job) {
    return !job->ended && job->results->len < job->items->len;
}

static gboolean is_removable(gpointer key, gpointer value, gpointer before_ms) {
    (void)key;
    const hs_job *job = value;
    return !hs_job_is_open(job) && job->submitted_ms < *(const uint64_t *)before_ms;
}

static gboolean is_applied_before(gpointer key, gpointer value, gpointer before_ms) {
    (void)key;
    return *(const uint64_t *)value < *(const uint64_t *)before_ms;
}

void hs_job_state_expire(hs_job_state *state, uint64_t before_ms) {
    g_hash_table_foreach_remove(state->jobs, is_removable, &before_ms);
    g_hash_table_foreach_remove(state->early_ends, is_applied_before, &before_ms);
}

uint64_t hs_job_state_first_needed_content(const hs_job_state *state) {
    uint64_t first = UINT64_MAX;
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, state->jobs);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const hs_job *job = value;
        if (hs_job_is_open(job) && job->items->len > 0)
            first = MIN(first, g_array_index(job->items, hs_job_item, 0).content_offset);
    }
    return first;
}
