/**
 * @file upload.c
 * POST /v1/files. Validates the whole JSONL file, then appends it to its partition's stream as
 * chunks and a seal record. The file id is a digest of the content, so that a repeated upload is
 * the same file.
 */
#include "base/clock.h"
#include "base/fault_point.h"
#include "base/log.h"
#include "batch/batch_id.h"
#include "batch/jsonl.h"
#include "batch/partition_record.h"
#include "commands/command_routes.h"
#include "commands/completion_check.h"
#include "http/auth.h"
#include "http/multipart.h"
#include "http/refusal.h"

#include <string.h>

#define CHUNK_BYTES (512U << 10)
#define APPEND_TIMEOUT_MS 5000
#define RETRY_AFTER_S 2
#define MS_PER_S 1000
#define PURPOSE "batch"

static int check_body(const json_t *body, const char *url, void *user_data, hs_error *error) {
    const hs_node *node = user_data;
    bool chat = strcmp(url, HS_PATH_CHAT) == 0;
    if (!chat && strcmp(url, HS_PATH_TEXT) != 0)
        return hs_error_set(error, HS_LAYER_HTTP, HS_INVALID, "url is not supported");
    return hs_completion_check(body, chat, node->settings->max_tokens, error);
}

typedef struct {
    hs_node *node;
    const char *tenant;
    const hs_multipart_part *part;
    const hs_jsonl_file *parsed;
    const char *file_id;
    hs_replica *replica;
} upload;

static int append_record(const upload *self, const Hs__PartitionRecord *record, hs_error *error) {
    g_autoptr(GByteArray) bytes = hs_record_pack(record);
    uint64_t offset = 0;
    return hs_appender_append(self->node->appender, hs_replica_stream(self->replica), bytes->data,
                              bytes->len, APPEND_TIMEOUT_MS, &offset, error);
}

static int append_chunk(const upload *self, guint index, hs_error *error) {
    const hs_jsonl_chunk *chunk = &g_array_index(self->parsed->chunks, hs_jsonl_chunk, index);
    bool last_without_newline = chunk->begin + chunk->length > self->part->length;
    g_autoptr(GString) lines = g_string_new_len(self->part->content + chunk->begin,
                                                (gssize)(chunk->length - last_without_newline));
    if (last_without_newline)
        g_string_append_c(lines, '\n');
    Hs__FileChunk message = HS__FILE_CHUNK__INIT;
    message.file_id = (char *)self->file_id;
    message.chunk_index = index;
    message.first_item = chunk->first_item;
    message.item_count = chunk->item_count;
    message.lines.data = (uint8_t *)lines->str;
    message.lines.len = lines->len;
    message.n_run_once_items = chunk->run_once_items->len;
    message.run_once_items = (uint32_t *)(void *)chunk->run_once_items->data;
    Hs__PartitionRecord record = HS__PARTITION_RECORD__INIT;
    record.kind_case = HS__PARTITION_RECORD__KIND_FILE_CHUNK;
    record.file_chunk = &message;
    return append_record(self, &record, error);
}

static int append_seal(const upload *self, hs_error *error) {
    Hs__FileSealed message = HS__FILE_SEALED__INIT;
    message.file_id = (char *)self->file_id;
    message.tenant = (char *)self->tenant;
    message.filename = (char *)self->part->filename;
    message.chunk_count = self->parsed->chunks->len;
    message.item_count = self->parsed->item_count;
    message.byte_count = self->part->length;
    message.created_ms = hs_clock_wall_ms();
    message.model = self->parsed->model;
    message.endpoint = self->parsed->endpoint;
    Hs__PartitionRecord record = HS__PARTITION_RECORD__INIT;
    record.kind_case = HS__PARTITION_RECORD__KIND_FILE_SEALED;
    record.file_sealed = &message;
    return append_record(self, &record, error);
}

/** Reads the log to its end and returns whether the file is sealed; false on a read error too. */
static bool file_is_sealed(const upload *self, hs_error *error) {
    if (hs_replica_refresh(self->replica, error) != 0)
        return false;
    const hs_partition *state = hs_replica_lock(self->replica);
    const hs_file *file = hs_partition_find_file(state, self->file_id);
    bool sealed = file != NULL && file->sealed;
    hs_replica_unlock(self->replica);
    return sealed;
}

static int write_file(const upload *self, hs_error *error) {
    for (guint index = 0; index < self->parsed->chunks->len; index++) {
        int result = append_chunk(self, index, error);
        if (result != 0)
            return result;
    }
    HS_FAULT_POINT("accept_file");
    return append_seal(self, error);
}

static int reply_file(const upload *self, struct _u_response *response) {
    hs_metrics_add(&self->node->metrics, HS_COUNT_FILES_ACCEPTED, 1);
    hs_log_info("file_accepted", "file=%s tenant=%s items=%u bytes=%zu", self->file_id,
                self->tenant, self->parsed->item_count, self->part->length);
    return hs_http_reply_json(response, 200,
                              json_pack("{s:s,s:s,s:I,s:I,s:s,s:s}", "id", self->file_id, "object",
                                        "file", "bytes", (json_int_t)self->part->length,
                                        "created_at", (json_int_t)(hs_clock_wall_ms() / MS_PER_S),
                                        "filename", self->part->filename, "purpose", "batch"));
}

static int store_file(const upload *self, struct _u_response *response) {
    hs_error error = {0};
    if (file_is_sealed(self, &error))
        return reply_file(self, response);
    if (error.code != 0)
        return hs_refuse_unavailable(response, "platform_unavailable", error.message,
                                     RETRY_AFTER_S);
    int result = write_file(self, &error);
    /* No job refers to the file yet, so that the read-back may decide an unknown outcome. */
    if (file_is_sealed(self, &error))
        return reply_file(self, response);
    if (result == HS_PLATFORM_BUSY || result == HS_PLATFORM_REFUSED)
        return hs_refuse_unavailable(response, "platform_unavailable", error.message,
                                     RETRY_AFTER_S);
    return hs_refuse_outcome_unknown(response, 504, "outcome_unknown", error.message);
}

static int parse_and_store(hs_node *node, const char *tenant, const hs_multipart_part *part,
                           struct _u_response *response) {
    hs_jsonl_rules rules = {.max_line_bytes = (size_t)node->settings->max_line_bytes,
                            .max_items = (uint32_t)node->settings->max_items,
                            .chunk_items = (uint32_t)node->settings->chunk_items,
                            .chunk_bytes = CHUNK_BYTES,
                            .check_body = check_body,
                            .user_data = node};
    hs_jsonl_file parsed;
    hs_error error = {0};
    if (hs_jsonl_parse(part->content, part->length, &rules, &parsed, &error) != 0) {
        hs_jsonl_file_clear(&parsed);
        return hs_refuse_invalid(response, 400, "bad_file", error.message);
    }
    g_autofree char *file_id = hs_file_id(tenant, part->content, part->length, rules.chunk_items,
                                          hs_replica_set_count(node->replicas));
    uint32_t partition = 0;
    hs_id_partition(file_id, &partition);
    upload self = {.node = node,
                   .tenant = tenant,
                   .part = part,
                   .parsed = &parsed,
                   .file_id = file_id,
                   .replica = hs_replica_set_get(node->replicas, partition)};
    store_file(&self, response);
    hs_jsonl_file_clear(&parsed);
    return U_CALLBACK_COMPLETE;
}

static bool tenant_is_known(hs_node *node, const char *tenant) {
    hs_config_view *view = hs_config_store_acquire_view(node->config);
    bool known = hs_config_view_is_known_tenant(view, tenant);
    hs_config_view_release(view);
    return known;
}

static int upload_file(hs_node *node, const struct _u_request *request,
                       struct _u_response *response) {
    const char *tenant = hs_http_tenant(request);
    const char *type = u_map_get_case(request->map_header, "Content-Type");
    hs_multipart_part purpose = {0};
    hs_multipart_part file = {0};
    if (tenant == NULL)
        return hs_refuse_invalid(response, 401, "no_tenant",
                                 "Authorization: Bearer must name a tenant");
    if (hs_multipart_find(type, request->binary_body, request->binary_body_length, "file", &file) !=
        HS_MULTIPART_FOUND)
        return hs_refuse_invalid(response, 400, "bad_multipart",
                                 "the body must be whole multipart with a part named file");
    if (file.length > (size_t)node->settings->max_file_bytes)
        return hs_refuse_invalid(response, 413, "file_too_large", "the file is over the limit");
    if (hs_multipart_find(type, request->binary_body, request->binary_body_length, "purpose",
                          &purpose) != HS_MULTIPART_FOUND ||
        purpose.length != strlen(PURPOSE) || memcmp(purpose.content, PURPOSE, purpose.length) != 0)
        return hs_refuse_invalid(response, 400, "bad_purpose", "purpose must be batch");
    if (!tenant_is_known(node, tenant))
        return hs_refuse_invalid(response, 401, "unknown_tenant", "this tenant is not listed");
    return parse_and_store(node, tenant, &file, response);
}

int hs_command_upload(const struct _u_request *request, struct _u_response *response,
                      void *user_data) {
    hs_node *node = user_data;
    if (!hs_node_is_accepting_requests(node))
        return hs_refuse_unavailable(response, "not_ready", "this daemon takes no requests now",
                                     RETRY_AFTER_S);
    g_atomic_int_inc(&node->call_count);
    upload_file(node, request, response);
    g_atomic_int_add(&node->call_count, -1);
    return U_CALLBACK_COMPLETE;
}
