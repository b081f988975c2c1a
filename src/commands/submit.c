/**
 * @file submit.c
 * POST /v1/batches. A job is accepted once its submission is read back from the log. The job id is
 * a digest of tenant, key and file, so that a resent submission finds the same job.
 */
#include "base/clock.h"
#include "base/fault_point.h"
#include "base/hash.h"
#include "base/json_reader.h"
#include "base/log.h"
#include "batch/batch_id.h"
#include "batch/job_json.h"
#include "batch/partition_record.h"
#include "commands/command_routes.h"
#include "http/auth.h"
#include "http/refusal.h"

#include <stdlib.h>
#include <string.h>

#define APPEND_TIMEOUT_MS 3000
#define RETRY_AFTER_S 2
#define MS_PER_HOUR 3600000ULL
#define MS_PER_MINUTE 60000ULL
#define DEFAULT_WINDOW "24h"
#define MAX_KEY_BYTES 256

/** A submission as sent by a caller. */
typedef struct {
    hs_node *node;
    const char *tenant;
    const char *file_id;
    const char *endpoint;
    uint64_t window_ms;
    char *metadata_json;
    char *job_id;
    hs_replica *replica;
} submission;

/** Returns a window like "24h" or "90m" in milliseconds; 0 if malformed. */
static uint64_t parse_window(const char *text) {
    char *end = NULL;
    guint64 number = g_ascii_strtoull(text, &end, 10);
    if (end == text || number == 0 || number > 100000)
        return 0;
    if (strcmp(end, "h") == 0)
        return number * MS_PER_HOUR;
    return strcmp(end, "m") == 0 ? number * MS_PER_MINUTE : 0;
}

static int append_submission(const submission *self, hs_error *error) {
    uint64_t now_ms = hs_clock_wall_ms();
    Hs__JobSubmitted message = HS__JOB_SUBMITTED__INIT;
    message.job_id = self->job_id;
    message.tenant = (char *)self->tenant;
    message.file_id = (char *)self->file_id;
    message.endpoint = (char *)self->endpoint;
    message.created_ms = now_ms;
    message.deadline_ms = now_ms + self->window_ms;
    message.metadata_json = self->metadata_json;
    Hs__PartitionRecord record = HS__PARTITION_RECORD__INIT;
    record.kind_case = HS__PARTITION_RECORD__KIND_JOB_SUBMITTED;
    record.job_submitted = &message;
    g_autoptr(GByteArray) bytes = hs_record_pack(&record);
    uint64_t offset = 0;
    HS_FAULT_POINT("accept_before");
    int result = hs_appender_append(self->node->appender, hs_replica_stream(self->replica),
                                    bytes->data, bytes->len, APPEND_TIMEOUT_MS, &offset, error);
    HS_FAULT_POINT("accept_after");
    return result;
}

typedef enum { JOB_NOT_FOUND, JOB_MATCHES, JOB_DIFFERS, JOB_READ_FAILED } job_status;

/** Reads the log to its end. @p document receives a job that matches; the caller frees it. */
static job_status read_job(const submission *self, json_t **document, hs_error *error) {
    if (hs_replica_refresh(self->replica, error) != 0)
        return JOB_READ_FAILED;
    const hs_partition *state = hs_replica_lock(self->replica);
    const hs_job *job = hs_partition_find_job(state, self->job_id);
    job_status status = JOB_NOT_FOUND;
    if (job != NULL &&
        (strcmp(job->file_id, self->file_id) != 0 || strcmp(job->endpoint, self->endpoint) != 0)) {
        status = JOB_DIFFERS;
    } else if (job != NULL) {
        status = JOB_MATCHES;
        *document = hs_job_to_json(job);
    }
    hs_replica_unlock(self->replica);
    return status;
}

/** Returns whether the file exists for this tenant and endpoint; otherwise answers. */
static bool file_is_usable(const submission *self, struct _u_response *response) {
    hs_error error = {0};
    if (hs_replica_refresh(self->replica, &error) != 0) {
        hs_refuse_unavailable(response, "platform_unavailable", error.message, RETRY_AFTER_S);
        return false;
    }
    const hs_partition *state = hs_replica_lock(self->replica);
    const hs_file *file = hs_partition_find_file(state, self->file_id);
    bool present = file != NULL && file->sealed && strcmp(file->tenant, self->tenant) == 0;
    bool matches = present && strcmp(file->endpoint, self->endpoint) == 0;
    hs_replica_unlock(self->replica);
    if (!present)
        hs_refuse_invalid(response, 404, "file_not_found", "no such file");
    else if (!matches)
        hs_refuse_invalid(response, 400, "endpoint_mismatch",
                          "endpoint differs from the url of the file's lines");
    return matches;
}

static int reply_job(const submission *self, json_t *document, struct _u_response *response) {
    hs_metrics_add(&self->node->metrics, HS_COUNT_JOBS_ACCEPTED, 1);
    hs_log_info("job_accepted", "job=%s tenant=%s file=%s", self->job_id, self->tenant,
                self->file_id);
    return hs_http_reply_json(response, 200, document);
}

static int submit(const submission *self, struct _u_response *response) {
    hs_error error = {0};
    json_t *document = NULL;
    if (!file_is_usable(self, response))
        return U_CALLBACK_COMPLETE;
    int appended = 0;
    job_status status = read_job(self, &document, &error);
    if (status == JOB_NOT_FOUND) {
        appended = append_submission(self, &error);
        status = read_job(self, &document, &error);
    }
    switch (status) {
    case JOB_MATCHES:
        return reply_job(self, document, response);
    case JOB_DIFFERS:
        return hs_refuse_invalid(response, 422, "idempotency_key_reused",
                                 "this key was used for another job");
    default:
        break;
    }
    /* The append succeeded but the fold rejected the record as invalid. */
    if (appended == 0 && status == JOB_NOT_FOUND)
        return hs_refuse_invalid(response, 409, "not_accepted", "the job was not accepted");
    if (appended == HS_PLATFORM_BUSY || appended == HS_PLATFORM_REFUSED)
        return hs_refuse_unavailable(response, "platform_unavailable", error.message,
                                     RETRY_AFTER_S);
    return hs_refuse_outcome_unknown(response, 504, "outcome_unknown",
                                     "send the same job again to learn its outcome");
}

/** Returns the key by which a resent submission is found: the caller's, or one of the content. */
static char *submission_key(const submission *self, const char *idempotency_key) {
    if (idempotency_key != NULL)
        return g_strdup_printf("key\n%s", idempotency_key);
    return g_strdup_printf("body\n%s\n%s\n%" G_GUINT64_FORMAT "\n%s", self->file_id, self->endpoint,
                           self->window_ms, self->metadata_json);
}

static int read_and_submit(hs_node *node, const struct _u_request *request, const json_t *body,
                           struct _u_response *response) {
    const char *key = u_map_get_case(request->map_header, "Idempotency-Key");
    const char *window = json_string_value(json_object_get(body, "completion_window"));
    const json_t *metadata = json_object_get(body, "metadata");
    submission self = {.node = node,
                       .tenant = hs_http_tenant(request),
                       .file_id = json_string_value(json_object_get(body, "input_file_id")),
                       .endpoint = json_string_value(json_object_get(body, "endpoint")),
                       .window_ms = parse_window(window != NULL ? window : DEFAULT_WINDOW)};
    uint32_t partition = 0;
    if (self.tenant == NULL)
        return hs_refuse_invalid(response, 401, "no_tenant",
                                 "Authorization: Bearer must name a tenant");
    if (self.file_id == NULL || self.endpoint == NULL)
        return hs_refuse_invalid(response, 400, "bad_request",
                                 "input_file_id and endpoint must be strings");
    if (self.window_ms == 0)
        return hs_refuse_invalid(response, 400, "bad_request",
                                 "completion_window must be like 24h or 90m");
    if (metadata != NULL && !json_is_object(metadata))
        return hs_refuse_invalid(response, 400, "bad_request", "metadata must be an object");
    if (key != NULL && (*key == '\0' || strlen(key) > MAX_KEY_BYTES))
        return hs_refuse_invalid(response, 400, "bad_request", "Idempotency-Key is out of range");
    if (!g_str_has_prefix(self.file_id, "file_") || !hs_id_partition(self.file_id, &partition) ||
        partition >= hs_replica_set_count(node->replicas))
        return hs_refuse_invalid(response, 404, "file_not_found", "no such file");
    self.replica = hs_replica_set_get(node->replicas, partition);
    self.metadata_json =
        metadata != NULL ? json_dumps(metadata, JSON_COMPACT | JSON_SORT_KEYS) : strdup("{}");
    g_autofree char *job_key = submission_key(&self, key);
    self.job_id = hs_job_id(self.tenant, job_key, self.file_id);
    submit(&self, response);
    free(self.metadata_json);
    g_free(self.job_id);
    return U_CALLBACK_COMPLETE;
}

int hs_command_submit(const struct _u_request *request, struct _u_response *response,
                      void *user_data) {
    hs_node *node = user_data;
    if (!hs_node_is_accepting_requests(node))
        return hs_refuse_unavailable(response, "not_ready", "this daemon takes no requests now",
                                     RETRY_AFTER_S);
    json_t *body = hs_json_parse(request->binary_body, request->binary_body_length, NULL);
    if (!json_is_object(body)) {
        json_decref(body);
        return hs_refuse_invalid(response, 400, "bad_json", "the body is not a JSON object");
    }
    g_atomic_int_inc(&node->call_count);
    read_and_submit(node, request, body, response);
    g_atomic_int_add(&node->call_count, -1);
    json_decref(body);
    return U_CALLBACK_COMPLETE;
}
