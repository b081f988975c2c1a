/** @file grant_table.c  See grant_table.h. */
#include "batch/grant_table.h"

#include <string.h>

#define BITS_PER_BYTE 8U

/** Granted items of one job. */
typedef struct {
    uint8_t *bitmap; /**< One bit per item: granted. */
    uint32_t cursor; /**< No item below the cursor is ready. */
    uint32_t item_count;
    uint32_t granted_count;
} job_grants;

struct hs_grant_table {
    uint32_t lease_ms;
    uint64_t next_id;
    GHashTable *grants;    /**< id -> hs_grant */
    GHashTable *jobs;      /**< job id -> job_grants */
    GHashTable *cancelled; /**< Set of ids of cancelled jobs that the state shows as running. */
};

static void free_grant(gpointer data) {
    hs_grant *grant = data;
    g_free(grant->job_id);
    g_free(grant->scheduler_id);
    g_free(grant);
}

static void free_job_grants(gpointer data) {
    g_free(((job_grants *)data)->bitmap);
    g_free(data);
}

hs_grant_table *hs_grant_table_new(uint32_t lease_ms) {
    hs_grant_table *table = g_new0(hs_grant_table, 1);
    table->lease_ms = lease_ms;
    table->next_id = 1;
    table->grants = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, free_grant);
    table->jobs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_job_grants);
    table->cancelled = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    return table;
}

void hs_grant_table_free(hs_grant_table *table) {
    if (table == NULL)
        return;
    g_hash_table_destroy(table->grants);
    g_hash_table_destroy(table->jobs);
    g_hash_table_destroy(table->cancelled);
    g_free(table);
}

static bool is_item_granted(const job_grants *granted, uint32_t item) {
    return (granted->bitmap[item / BITS_PER_BYTE] >> (item % BITS_PER_BYTE)) & 1U;
}

static void set_item_granted(job_grants *granted, uint32_t item, bool value) {
    uint8_t mask = (uint8_t)(1U << (item % BITS_PER_BYTE));
    if (value == is_item_granted(granted, item))
        return;
    granted->bitmap[item / BITS_PER_BYTE] ^= mask;
    granted->granted_count += value ? 1U : -1U;
}

static job_grants *get_job_grants(hs_grant_table *table, const hs_job *job) {
    job_grants *granted = g_hash_table_lookup(table->jobs, job->id);
    if (granted != NULL)
        return granted;
    granted = g_new0(job_grants, 1);
    granted->item_count = job->item_count;
    granted->bitmap = g_new0(uint8_t, job->item_count / BITS_PER_BYTE + 1);
    g_hash_table_insert(table->jobs, g_strdup(job->id), granted);
    return granted;
}

static bool is_item_ready(const hs_job *job, const job_grants *granted, uint32_t item) {
    return job->result_offsets[item] == 0 && !is_item_granted(granted, item) &&
           !g_hash_table_contains(job->intents, GUINT_TO_POINTER(item));
}

/** Advances the cursor to the first ready item. Returns that item, or the item count if none. */
static uint32_t next_ready_item(const hs_job *job, job_grants *granted) {
    while (granted->cursor < job->item_count && !is_item_ready(job, granted, granted->cursor))
        granted->cursor++;
    return granted->cursor;
}

static bool serves_model(const hs_grant_request *request, const char *model) {
    for (size_t index = 0; index < request->model_count; index++)
        if (strcmp(request->models[index], model) == 0)
            return true;
    return false;
}

/** Counts the granted items of all of the tenant's jobs in the partition. */
static uint32_t count_tenant_items(hs_grant_table *table, const hs_partition *partition,
                                   const char *tenant) {
    uint32_t count = 0;
    GHashTableIter iterator;
    gpointer key;
    gpointer value;
    g_hash_table_iter_init(&iterator, table->jobs);
    while (g_hash_table_iter_next(&iterator, &key, &value)) {
        const hs_job *job = hs_partition_find_job(partition, key);
        if (job != NULL && strcmp(job->tenant, tenant) == 0)
            count += ((job_grants *)value)->granted_count;
    }
    return count;
}

static bool is_running(const hs_grant_table *table, const hs_job *job) {
    return job != NULL && hs_job_get_state(job) == HS_JOB_RUNNING &&
           !g_hash_table_contains(table->cancelled, job->id);
}

/** Returns the running job to grant items of next, or NULL. A NULL request matches any model. */
static hs_job *choose_job(hs_grant_table *table, const hs_partition *partition,
                          const hs_grant_request *request) {
    hs_job *best = NULL;
    uint32_t best_tenant_items = 0;
    GHashTableIter iterator;
    gpointer data;
    g_hash_table_iter_init(&iterator, partition->jobs);
    while (g_hash_table_iter_next(&iterator, NULL, &data)) {
        hs_job *job = data;
        if (!is_running(table, job))
            continue;
        const hs_file *file = hs_partition_find_file(partition, job->file_id);
        if (request != NULL && !serves_model(request, file->model))
            continue;
        if (next_ready_item(job, get_job_grants(table, job)) >= job->item_count)
            continue;
        uint32_t tenant_items = count_tenant_items(table, partition, job->tenant);
        bool is_better =
            best == NULL || tenant_items < best_tenant_items ||
            (tenant_items == best_tenant_items && job->deadline_ms < best->deadline_ms) ||
            (tenant_items == best_tenant_items && job->deadline_ms == best->deadline_ms &&
             strcmp(job->id, best->id) < 0);
        if (!is_better)
            continue;
        best = job;
        best_tenant_items = tenant_items;
    }
    return best;
}

/** Counts consecutive ready items from @p first on. A run-once item is always granted alone. */
static uint32_t count_ready_run(const hs_job *job, const hs_file *file, const job_grants *granted,
                                uint32_t first, uint32_t want) {
    if (hs_file_item_is_run_once(file, first))
        return 1;
    const hs_chunk_ref *chunk = hs_file_find_chunk(file, first);
    uint32_t end = MIN(chunk->first_item + chunk->item_count, first + want);
    uint32_t item = first + 1;
    while (item < end && is_item_ready(job, granted, item) && !hs_file_item_is_run_once(file, item))
        item++;
    return item - first;
}

static hs_grant *add_grant(hs_grant_table *table, const hs_partition *partition, const hs_job *job,
                           const hs_grant_request *request, uint32_t want, uint64_t now_ms) {
    job_grants *granted = get_job_grants(table, job);
    const hs_file *file = hs_partition_find_file(partition, job->file_id);
    hs_grant *grant = g_new0(hs_grant, 1);
    grant->id = table->next_id++;
    grant->job_id = g_strdup(job->id);
    grant->scheduler_id = g_strdup(request->scheduler_id);
    grant->scheduler_incarnation = request->incarnation;
    grant->first_item = granted->cursor;
    grant->item_count = count_ready_run(job, file, granted, granted->cursor, want);
    grant->run_once = hs_file_item_is_run_once(file, grant->first_item);
    grant->expires_ms = now_ms + table->lease_ms;
    for (uint32_t index = 0; index < grant->item_count; index++)
        set_item_granted(granted, grant->first_item + index, true);
    g_hash_table_insert(table->grants, &grant->id, grant);
    return grant;
}

uint32_t hs_grant_table_grant_items(hs_grant_table *table, const hs_partition *partition,
                                    const hs_grant_request *request, uint32_t want, uint64_t now_ms,
                                    GPtrArray *grants) {
    uint32_t item_count = 0;
    while (item_count < want) {
        const hs_job *job = choose_job(table, partition, request);
        if (job == NULL)
            break;
        hs_grant *grant = add_grant(table, partition, job, request, want - item_count, now_ms);
        item_count += grant->item_count;
        g_ptr_array_add(grants, grant);
    }
    return item_count;
}

bool hs_grant_table_renew(hs_grant_table *table, uint64_t grant_id, const char *scheduler_id,
                          uint64_t now_ms) {
    hs_grant *grant = g_hash_table_lookup(table->grants, &grant_id);
    if (grant == NULL || strcmp(grant->scheduler_id, scheduler_id) != 0)
        return false;
    grant->expires_ms = now_ms + table->lease_ms;
    return true;
}

/** Marks the grant's items as not granted. */
static void release_items(hs_grant_table *table, const hs_grant *grant) {
    job_grants *granted = g_hash_table_lookup(table->jobs, grant->job_id);
    if (granted == NULL)
        return;
    for (uint32_t index = 0; index < grant->item_count; index++)
        set_item_granted(granted, grant->first_item + index, false);
    granted->cursor = MIN(granted->cursor, grant->first_item);
}

static bool all_items_done(const hs_job *job, const hs_grant *grant) {
    for (uint32_t index = 0; index < grant->item_count; index++)
        if (job->result_offsets[grant->first_item + index] == 0)
            return false;
    return true;
}

void hs_grant_table_cancel_job(hs_grant_table *table, const hs_partition *partition,
                               const char *job_id,
                               void (*revoke)(const hs_grant *grant, void *user_data),
                               void *user_data) {
    const hs_job *job = hs_partition_find_job(partition, job_id);
    if (job == NULL || hs_job_get_state(job) == HS_JOB_RUNNING)
        g_hash_table_add(table->cancelled, g_strdup(job_id));
    GHashTableIter iterator;
    gpointer data;
    g_hash_table_iter_init(&iterator, table->grants);
    while (g_hash_table_iter_next(&iterator, NULL, &data)) {
        const hs_grant *grant = data;
        if (strcmp(grant->job_id, job_id) != 0)
            continue;
        revoke(grant, user_data);
        release_items(table, grant);
        g_hash_table_iter_remove(&iterator);
    }
}

void hs_grant_table_remove_ended(hs_grant_table *table, const hs_partition *partition,
                                 uint64_t now_ms) {
    GHashTableIter iterator;
    gpointer data;
    g_hash_table_iter_init(&iterator, table->grants);
    while (g_hash_table_iter_next(&iterator, NULL, &data)) {
        const hs_grant *grant = data;
        const hs_job *job = hs_partition_find_job(partition, grant->job_id);
        bool has_ended =
            !is_running(table, job) || all_items_done(job, grant) || now_ms >= grant->expires_ms;
        if (!has_ended)
            continue;
        release_items(table, grant);
        g_hash_table_iter_remove(&iterator);
    }
    g_hash_table_iter_init(&iterator, table->jobs);
    gpointer key;
    while (g_hash_table_iter_next(&iterator, &key, NULL)) {
        const hs_job *job = hs_partition_find_job(partition, key);
        if (!is_running(table, job))
            g_hash_table_iter_remove(&iterator);
    }
    g_hash_table_iter_init(&iterator, table->cancelled);
    while (g_hash_table_iter_next(&iterator, &key, NULL)) {
        const hs_job *job = hs_partition_find_job(partition, key);
        if (job != NULL && hs_job_get_state(job) != HS_JOB_RUNNING)
            g_hash_table_iter_remove(&iterator);
    }
}

void hs_grant_table_drop_scheduler(hs_grant_table *table, const char *scheduler_id,
                                   uint64_t live_incarnation) {
    GHashTableIter iterator;
    gpointer data;
    g_hash_table_iter_init(&iterator, table->grants);
    while (g_hash_table_iter_next(&iterator, NULL, &data)) {
        const hs_grant *grant = data;
        if (strcmp(grant->scheduler_id, scheduler_id) != 0 ||
            grant->scheduler_incarnation == live_incarnation)
            continue;
        release_items(table, grant);
        g_hash_table_iter_remove(&iterator);
    }
}

bool hs_grant_table_has_ready_items(hs_grant_table *table, const hs_partition *partition) {
    return choose_job(table, partition, NULL) != NULL;
}

bool hs_grant_table_is_granted(const hs_grant_table *table, const char *job_id, uint32_t item) {
    GHashTableIter iterator;
    gpointer data;
    g_hash_table_iter_init(&iterator, table->grants);
    while (g_hash_table_iter_next(&iterator, NULL, &data)) {
        const hs_grant *grant = data;
        if (strcmp(grant->job_id, job_id) == 0 && item >= grant->first_item &&
            item - grant->first_item < grant->item_count)
            return true;
    }
    return false;
}

uint32_t hs_grant_table_size(const hs_grant_table *table) {
    return g_hash_table_size(table->grants);
}
