/**
 * @file file_content.c
 * GET /v1/files/{id}/content: streams the lines of an input file or the results of a job from the
 * log, one slice at a time, so memory does not grow with the size of the job.
 */
#include "base/fault_point.h"
#include "batch/batch_id.h"
#include "http/auth.h"
#include "http/refusal.h"
#include "queries/query_routes.h"

#include <string.h>

#define SLICE_BYTES (512U << 10)
#define STREAM_BLOCK_SIZE 65536
#define RETRY_AFTER_S 2

/** A record to read: a file chunk, or the results of completed items. */
typedef struct {
    uint64_t offset;
    uint32_t item; /**< For results: the item whose accepted result is in the record. */
} wanted_record;

/** A file that is being sent; used by the connection's thread only. */
typedef struct {
    hs_node *node;
    hs_replica *replica;
    char *job_id;     /**< NULL for an input file. */
    GArray *wanted;   /**< of wanted_record, by offset */
    guint next;       /**< Index of the first of @c wanted that was not read. */
    GString *pending; /**< Bytes read but not sent. */
} content_stream;

static void free_content(void *user_data) {
    content_stream *stream = user_data;
    g_array_free(stream->wanted, TRUE);
    g_string_free(stream->pending, TRUE);
    g_free(stream->job_id);
    g_free(stream);
}

static void append_results(content_stream *stream, const Hs__ItemsCompleted *completed,
                           uint64_t offset) {
    if (strcmp(completed->job_id, stream->job_id) != 0)
        return;
    for (; stream->next < stream->wanted->len; stream->next++) {
        const wanted_record *wanted = &g_array_index(stream->wanted, wanted_record, stream->next);
        if (wanted->offset != offset)
            return;
        for (size_t index = 0; index < completed->n_results; index++) {
            const Hs__ItemResult *result = completed->results[index];
            if (result->item != wanted->item)
                continue;
            g_string_append_len(stream->pending, (const char *)result->body.data,
                                (gssize)result->body.len);
            g_string_append_c(stream->pending, '\n');
            break;
        }
    }
}

static void append_chunk(content_stream *stream, const Hs__FileChunk *chunk) {
    g_string_append_len(stream->pending, (const char *)chunk->lines.data, (gssize)chunk->lines.len);
    stream->next++;
}

static void process_record(content_stream *stream, const hs_log_record *raw) {
    const wanted_record *wanted = &g_array_index(stream->wanted, wanted_record, stream->next);
    if (wanted->offset != raw->offset)
        return;
    Hs__PartitionRecord *record = hs__partition_record__unpack(NULL, raw->length, raw->bytes);
    if (record == NULL)
        return;
    if (stream->job_id != NULL && record->kind_case == HS__PARTITION_RECORD__KIND_ITEMS_COMPLETED)
        append_results(stream, record->items_completed, raw->offset);
    if (stream->job_id == NULL && record->kind_case == HS__PARTITION_RECORD__KIND_FILE_CHUNK)
        append_chunk(stream, record->file_chunk);
    hs__partition_record__free_unpacked(record, NULL);
}

/** Reads the slice at the next wanted record; false if the log cannot be read. */
static bool read_slice(content_stream *stream) {
    uint64_t offset = g_array_index(stream->wanted, wanted_record, stream->next).offset;
    guint before = stream->next;
    HS_FAULT_POINT("result_read");
    hs_log_slice slice;
    if (hs_log_read(&stream->node->log, hs_replica_stream(stream->replica), offset, 0, SLICE_BYTES,
                    &slice, NULL) != 0)
        return false;
    for (guint index = 0; index < slice.records->len && stream->next < stream->wanted->len; index++)
        process_record(stream, &g_array_index(slice.records, hs_log_record, index));
    hs_log_slice_clear(&slice);
    return stream->next > before;
}

static ssize_t write_content(void *user_data, uint64_t offset, char *buffer, size_t size) {
    (void)offset;
    content_stream *stream = user_data;
    while (stream->pending->len == 0) {
        if (stream->next >= stream->wanted->len)
            return U_STREAM_END;
        if (!read_slice(stream))
            return U_STREAM_ERROR;
    }
    size_t count = MIN(size, stream->pending->len);
    memcpy(buffer, stream->pending->str, count);
    g_string_erase(stream->pending, 0, (gssize)count);
    return (ssize_t)count;
}

static gint compare_wanted(gconstpointer left, gconstpointer right) {
    const wanted_record *first = left;
    const wanted_record *second = right;
    if (first->offset != second->offset)
        return first->offset < second->offset ? -1 : 1;
    return (first->item > second->item) - (first->item < second->item);
}

/** Lists the records with a job's accepted results; NULL if the tenant has no such job. */
static GArray *list_result_records(const hs_partition *state, const char *job_id,
                                   const char *tenant) {
    const hs_job *job = hs_partition_find_job(state, job_id);
    if (job == NULL || strcmp(job->tenant, tenant) != 0)
        return NULL;
    GArray *wanted = g_array_sized_new(FALSE, FALSE, sizeof(wanted_record), job->completed_count);
    for (uint32_t item = 0; item < job->item_count; item++) {
        if (job->result_offsets[item] == 0)
            continue;
        wanted_record record = {.offset = job->result_offsets[item] - 1, .item = item};
        g_array_append_val(wanted, record);
    }
    g_array_sort(wanted, compare_wanted);
    return wanted;
}

/** Lists the records with a file's chunks; NULL if the tenant has no such file. */
static GArray *list_chunk_records(const hs_partition *state, const char *file_id,
                                  const char *tenant) {
    const hs_file *file = hs_partition_find_file(state, file_id);
    if (file == NULL || !file->sealed || strcmp(file->tenant, tenant) != 0)
        return NULL;
    GArray *wanted = g_array_new(FALSE, FALSE, sizeof(wanted_record));
    for (guint index = 0; index < file->chunks->len; index++) {
        wanted_record record = {.offset = g_array_index(file->chunks, hs_chunk_ref, index).offset};
        g_array_append_val(wanted, record);
    }
    return wanted;
}

static int reply_content(hs_node *node, hs_replica *replica, char *job_id, GArray *wanted,
                         struct _u_response *response) {
    content_stream *stream = g_new0(content_stream, 1);
    stream->node = node;
    stream->replica = replica;
    stream->job_id = job_id;
    stream->wanted = wanted;
    stream->pending = g_string_new(NULL);
    u_map_put(response->map_header, "Content-Type", "application/jsonl");
    ulfius_set_stream_response(response, 200, write_content, free_content, U_STREAM_SIZE_UNKNOWN,
                               STREAM_BLOCK_SIZE, stream);
    return U_CALLBACK_COMPLETE;
}

int hs_query_file_content(const struct _u_request *request, struct _u_response *response,
                          void *user_data) {
    hs_node *node = user_data;
    const char *id = hs_http_parameter(request, "id");
    const char *tenant = hs_http_tenant(request);
    uint32_t partition = 0;
    hs_error error = {0};
    if (tenant == NULL)
        return hs_refuse_invalid(response, 401, "no_tenant",
                                 "Authorization: Bearer must name a tenant");
    if (!hs_id_partition(id, &partition) || partition >= hs_replica_set_count(node->replicas))
        return hs_refuse_invalid(response, 404, "file_not_found", "no such file");
    hs_replica *replica = hs_replica_set_get(node->replicas, partition);
    if (hs_replica_refresh(replica, &error) != 0)
        return hs_refuse_unavailable(response, "platform_unavailable", error.message,
                                     RETRY_AFTER_S);
    char *job_id = hs_output_job_id(id);
    const hs_partition *state = hs_replica_lock(replica);
    GArray *wanted = job_id != NULL ? list_result_records(state, job_id, tenant)
                                    : list_chunk_records(state, id, tenant);
    hs_replica_unlock(replica);
    if (wanted != NULL)
        return reply_content(node, replica, job_id, wanted, response);
    g_free(job_id);
    return hs_refuse_invalid(response, 404, "file_not_found", "no such file");
}
