/** @file snapshot.c  See snapshot.h. */
#include "batch/snapshot.h"

#include <string.h>

#define ITEMS_PER_PART 50000U

static GByteArray *pack_record(const Hs__SnapshotRecord *record) {
    GByteArray *bytes = g_byte_array_new();
    g_byte_array_set_size(bytes, (guint)hs__snapshot_record__get_packed_size(record));
    hs__snapshot_record__pack(record, bytes->data);
    return bytes;
}

/** Returns a part with one entry; the other two arguments are NULL. */
static GByteArray *pack_part(const char *snapshot_id, uint32_t part_index, Hs__FileSnapshot *file,
                             Hs__JobSnapshot *job, Hs__OnlineIntent *intent) {
    Hs__SnapshotPart part = HS__SNAPSHOT_PART__INIT;
    part.snapshot_id = (char *)snapshot_id;
    part.part_index = part_index;
    part.n_files = file != NULL;
    part.files = &file;
    part.n_jobs = job != NULL;
    part.jobs = &job;
    part.n_online_intents = intent != NULL;
    part.online_intents = &intent;
    Hs__SnapshotRecord record = HS__SNAPSHOT_RECORD__INIT;
    record.kind_case = HS__SNAPSHOT_RECORD__KIND_PART;
    record.part = &part;
    return pack_record(&record);
}

static GByteArray *encode_file(const hs_file *file, const char *snapshot_id, uint32_t part_index) {
    Hs__FileSnapshot message = HS__FILE_SNAPSHOT__INIT;
    guint count = file->chunks->len;
    g_autofree uint32_t *indexes = g_new0(uint32_t, count);
    g_autofree uint64_t *offsets = g_new0(uint64_t, count);
    g_autofree uint32_t *first_items = g_new0(uint32_t, count);
    g_autofree uint32_t *item_counts = g_new0(uint32_t, count);
    size_t present = 0;
    for (guint index = 0; index < count; index++) {
        const hs_chunk_ref *ref = &g_array_index(file->chunks, hs_chunk_ref, index);
        if (!ref->present)
            continue;
        indexes[present] = index;
        offsets[present] = ref->offset;
        first_items[present] = ref->first_item;
        item_counts[present++] = ref->item_count;
    }
    message.file_id = file->id;
    message.tenant = file->tenant != NULL ? file->tenant : "";
    message.filename = file->filename != NULL ? file->filename : "";
    message.model = file->model != NULL ? file->model : "";
    message.endpoint = file->endpoint != NULL ? file->endpoint : "";
    message.item_count = file->item_count;
    message.byte_count = file->byte_count;
    message.created_ms = file->created_ms;
    message.sealed_chunk_count = file->sealed ? count : 0;
    message.n_chunk_index = message.n_chunk_offset = present;
    message.n_chunk_first_item = message.n_chunk_item_count = present;
    message.chunk_index = indexes;
    message.chunk_offset = offsets;
    message.chunk_first_item = first_items;
    message.chunk_item_count = item_counts;
    message.n_run_once_items = file->run_once_items->len;
    message.run_once_items = (uint32_t *)(void *)file->run_once_items->data;
    return pack_part(snapshot_id, part_index, &message, NULL, NULL);
}

/** Returns an array of Hs__ItemIntent that borrow the strings of @p job. */
static GArray *build_intent_messages(const hs_job *job) {
    GArray *messages = g_array_new(FALSE, FALSE, sizeof(Hs__ItemIntent));
    GHashTableIter iterator;
    gpointer data;
    g_hash_table_iter_init(&iterator, job->intents);
    while (g_hash_table_iter_next(&iterator, NULL, &data)) {
        const hs_intent *intent = data;
        Hs__ItemIntent message = HS__ITEM_INTENT__INIT;
        message.job_id = job->id;
        message.item = intent->item;
        message.attempt_id = intent->attempt_id;
        message.epoch = intent->epoch;
        message.engine_url = intent->engine_url;
        g_array_append_val(messages, message);
    }
    return messages;
}

/** Encodes up to ITEMS_PER_PART items of a job. The first part also contains the intents. */
static GByteArray *encode_job(const hs_job *job, uint32_t first_item, const char *snapshot_id,
                              uint32_t part_index) {
    Hs__JobSubmitted submitted = HS__JOB_SUBMITTED__INIT;
    submitted.job_id = job->id;
    submitted.tenant = job->tenant;
    submitted.file_id = job->file_id;
    submitted.endpoint = job->endpoint;
    submitted.metadata_json = job->metadata_json;
    submitted.created_ms = job->created_ms;
    submitted.deadline_ms = job->deadline_ms;
    uint32_t count = MIN(ITEMS_PER_PART, job->item_count - first_item);
    g_autofree int64_t *deltas = g_new0(int64_t, count);
    uint64_t previous = 0;
    for (uint32_t index = 0; index < count; index++) {
        uint64_t current = job->result_offsets[first_item + index];
        deltas[index] = (int64_t)(current - previous);
        previous = current;
    }
    g_autoptr(GArray) intents = build_intent_messages(job);
    g_autoptr(GPtrArray) intent_list = g_ptr_array_new();
    for (guint index = 0; index < intents->len && first_item == 0; index++)
        g_ptr_array_add(intent_list, &g_array_index(intents, Hs__ItemIntent, index));
    Hs__JobSnapshot message = HS__JOB_SNAPSHOT__INIT;
    message.submitted = &submitted;
    message.cancelled = job->cancelled;
    message.cancelled_ms = job->cancelled_ms;
    message.finished_ms = job->finished_ms;
    message.failed_count = job->failed_count;
    message.item_count = job->item_count;
    message.first_item = first_item;
    message.n_result_offset_delta = count;
    message.result_offset_delta = deltas;
    message.n_intents = intent_list->len;
    message.intents = (Hs__ItemIntent **)intent_list->pdata;
    return pack_part(snapshot_id, part_index, NULL, &message, NULL);
}

static GByteArray *encode_online_intent(const hs_online_intent *intent, const char *snapshot_id,
                                        uint32_t part_index) {
    Hs__OnlineIntent message = HS__ONLINE_INTENT__INIT;
    message.key_hash = intent->key_hash;
    message.attempt_id = intent->attempt_id;
    message.engine_url = intent->engine_url;
    message.created_ms = intent->created_ms;
    return pack_part(snapshot_id, part_index, NULL, NULL, &message);
}

GPtrArray *hs_snapshot_encode_parts(const hs_partition *partition, const char *snapshot_id) {
    GPtrArray *parts = g_ptr_array_new_with_free_func((GDestroyNotify)g_byte_array_unref);
    GHashTableIter iterator;
    gpointer data;
    g_hash_table_iter_init(&iterator, partition->files);
    while (g_hash_table_iter_next(&iterator, NULL, &data))
        g_ptr_array_add(parts, encode_file(data, snapshot_id, parts->len));
    g_hash_table_iter_init(&iterator, partition->jobs);
    while (g_hash_table_iter_next(&iterator, NULL, &data)) {
        const hs_job *job = data;
        for (uint32_t first = 0; first < job->item_count; first += ITEMS_PER_PART)
            g_ptr_array_add(parts, encode_job(job, first, snapshot_id, parts->len));
    }
    g_hash_table_iter_init(&iterator, partition->online_intents);
    while (g_hash_table_iter_next(&iterator, NULL, &data))
        g_ptr_array_add(parts, encode_online_intent(data, snapshot_id, parts->len));
    return parts;
}

GByteArray *hs_snapshot_encode_seal(const hs_partition *partition, const char *snapshot_id,
                                    uint32_t part_count) {
    Hs__SnapshotSeal seal = HS__SNAPSHOT_SEAL__INIT;
    seal.snapshot_id = (char *)snapshot_id;
    seal.part_count = part_count;
    seal.covered_offset = partition->next_offset;
    seal.epoch = partition->epoch;
    seal.owner_id = partition->owner_id != NULL ? partition->owner_id : "";
    seal.owner_incarnation = partition->owner_incarnation;
    seal.owner_released = partition->owner_released;
    seal.stream_time_ms = partition->stream_time_ms;
    Hs__SnapshotRecord record = HS__SNAPSHOT_RECORD__INIT;
    record.kind_case = HS__SNAPSHOT_RECORD__KIND_SEAL;
    record.seal = &seal;
    return pack_record(&record);
}

GByteArray *hs_snapshot_set_first_part(const GByteArray *seal, uint64_t first_part_offset) {
    Hs__SnapshotRecord *record = hs__snapshot_record__unpack(NULL, seal->len, seal->data);
    record->seal->first_part_offset = first_part_offset;
    GByteArray *complete_seal = pack_record(record);
    hs__snapshot_record__free_unpacked(record, NULL);
    return complete_seal;
}

static void apply_file(hs_partition *partition, const Hs__FileSnapshot *message) {
    hs_file *file = hs_partition_add_file(partition, message->file_id);
    for (size_t index = 0; index < message->n_chunk_index; index++) {
        uint32_t position = message->chunk_index[index];
        if (file->chunks->len <= position)
            g_array_set_size(file->chunks, position + 1);
        g_array_index(file->chunks, hs_chunk_ref, position) =
            (hs_chunk_ref){.offset = message->chunk_offset[index],
                           .first_item = message->chunk_first_item[index],
                           .item_count = message->chunk_item_count[index],
                           .present = true};
    }
    if (message->n_run_once_items > 0)
        g_array_append_vals(file->run_once_items, message->run_once_items,
                            (guint)message->n_run_once_items);
    file->item_count = message->item_count;
    file->byte_count = message->byte_count;
    file->created_ms = message->created_ms;
    file->sealed = message->sealed_chunk_count > 0;
    if (!file->sealed)
        return;
    file->tenant = g_strdup(message->tenant);
    file->filename = g_strdup(message->filename);
    file->model = g_strdup(message->model);
    file->endpoint = g_strdup(message->endpoint);
}

static hs_job *add_snapshot_job(hs_partition *partition, const Hs__JobSnapshot *message) {
    const Hs__JobSubmitted *submitted = message->submitted;
    hs_job *job = hs_partition_add_job(partition, submitted->job_id, message->item_count);
    job->tenant = g_strdup(submitted->tenant);
    job->file_id = g_strdup(submitted->file_id);
    job->endpoint = g_strdup(submitted->endpoint);
    job->metadata_json = g_strdup(submitted->metadata_json);
    job->created_ms = submitted->created_ms;
    job->deadline_ms = submitted->deadline_ms;
    job->cancelled = message->cancelled;
    job->cancelled_ms = message->cancelled_ms;
    job->finished_ms = message->finished_ms;
    job->failed_count = message->failed_count;
    return job;
}

static bool apply_job(hs_partition *partition, const Hs__JobSnapshot *message) {
    if (message->submitted == NULL)
        return false;
    hs_job *job = hs_partition_find_job(partition, message->submitted->job_id);
    if (job == NULL)
        job = add_snapshot_job(partition, message);
    if (message->first_item + message->n_result_offset_delta > job->item_count)
        return false;
    uint64_t current = 0;
    for (size_t index = 0; index < message->n_result_offset_delta; index++) {
        current += (uint64_t)message->result_offset_delta[index];
        job->result_offsets[message->first_item + index] = current;
        job->completed_count += current != 0;
    }
    for (size_t index = 0; index < message->n_intents; index++)
        hs_job_add_intent(job, message->intents[index]);
    return true;
}

bool hs_snapshot_apply_part(hs_partition *partition, const Hs__SnapshotPart *part) {
    for (size_t index = 0; index < part->n_files; index++)
        apply_file(partition, part->files[index]);
    for (size_t index = 0; index < part->n_online_intents; index++)
        hs_partition_add_online_intent(partition, part->online_intents[index]);
    for (size_t index = 0; index < part->n_jobs; index++)
        if (!apply_job(partition, part->jobs[index]))
            return false;
    return true;
}

void hs_snapshot_apply_seal(hs_partition *partition, const Hs__SnapshotSeal *seal) {
    partition->next_offset = seal->covered_offset;
    partition->epoch = seal->epoch;
    partition->owner_id = *seal->owner_id != '\0' ? g_strdup(seal->owner_id) : NULL;
    partition->owner_incarnation = seal->owner_incarnation;
    partition->owner_released = seal->owner_released;
    partition->stream_time_ms = seal->stream_time_ms;
}
