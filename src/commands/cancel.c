/**
 * @file cancel.c
 * POST /v1/batches/{id}/cancel. Appends a cancellation record, reports it to the partition's owner
 * and answers with the job's state as read back from the log.
 */
#include "base/clock.h"
#include "base/fault_point.h"
#include "base/http_exchange.h"
#include "base/log.h"
#include "batch/batch_id.h"
#include "batch/job_json.h"
#include "batch/partition_record.h"
#include "commands/command_routes.h"
#include "http/auth.h"
#include "http/refusal.h"

#include <string.h>

#define APPEND_TIMEOUT_MS 3000
#define RETRY_AFTER_S 2
#define REPORT_TIMEOUT_S 1
#define HTTP_OK 200

typedef enum { JOB_NOT_FOUND, JOB_RUNNING, JOB_ENDED, JOB_READ_FAILED } job_status;

/**
 * Reads the log to its end and returns the job's status. @p document receives the job if the tenant
 * has one with this id; the caller frees it.
 */
static job_status read_job(hs_replica *replica, const char *job_id, const char *tenant,
                           json_t **document, hs_error *error) {
    if (hs_replica_refresh(replica, error) != 0)
        return JOB_READ_FAILED;
    const hs_partition *state = hs_replica_lock(replica);
    const hs_job *job = hs_partition_find_job(state, job_id);
    job_status status = JOB_NOT_FOUND;
    if (job != NULL && strcmp(job->tenant, tenant) == 0) {
        status = hs_job_get_state(job) == HS_JOB_RUNNING ? JOB_RUNNING : JOB_ENDED;
        json_decref(*document);
        *document = hs_job_to_json(job);
    }
    hs_replica_unlock(replica);
    return status;
}

/** Returns the URL at which the partition's owner, if another daemon, takes a report, or NULL. */
static char *make_report_url(hs_node *node, uint32_t partition, const char *job_id) {
    uint32_t epoch = 0;
    char *url = NULL;
    hs_membership *membership = hs_membership_service_lock(node->membership);
    const hs_member *owner = hs_membership_find_owner(membership, partition, &epoch);
    if (owner != NULL && owner != hs_membership_self(membership) && owner->admin_port != 0) {
        g_autofree char *path = g_strdup_printf("/internal/v1/cancelled-jobs/%s", job_id);
        url = hs_member_admin_url(owner->address, owner->admin_port, path);
    }
    hs_membership_service_unlock(node->membership);
    return url;
}

/**
 * Makes the partition's owner stop granting items of the job, without waiting for its next read of
 * the stream. If it cannot be told, the age of its replica limits the time in which items start.
 */
static void report_to_owner(hs_node *node, uint32_t partition, const char *job_id) {
    uint64_t started_ms = hs_clock_monotonic_ms();
    bool is_informed = hs_coordinator_cancel_job(node->coordinator, partition, job_id);
    g_autofree char *url = make_report_url(node, partition, job_id);
    if (url != NULL) {
        hs_http_request request = {.method = "POST", .url = url, .timeout_s = REPORT_TIMEOUT_S};
        hs_http_answer answer;
        is_informed = hs_http_exchange(&request, &answer) && answer.status == HTTP_OK;
        hs_http_answer_clear(&answer);
    }
    hs_log_info("job_cancel_reported", "job=%s partition=%u informed=%d took_ms=%u", job_id,
                partition, is_informed, (unsigned)(hs_clock_monotonic_ms() - started_ms));
}

int hs_command_note_cancelled(const struct _u_request *request, struct _u_response *response,
                              void *user_data) {
    hs_node *node = user_data;
    const char *job_id = hs_http_parameter(request, "id");
    uint32_t partition = 0;
    if (!hs_id_partition(job_id, &partition) ||
        !hs_coordinator_cancel_job(node->coordinator, partition, job_id))
        return hs_refuse_invalid(response, 404, "not_owner", "not the owner of this partition");
    return hs_http_reply_json(response, HTTP_OK, json_object());
}

static int cancel_job(hs_node *node, hs_replica *replica, const char *job_id, const char *tenant,
                      struct _u_response *response) {
    hs_error error = {0};
    json_t *document = NULL;
    job_status status = read_job(replica, job_id, tenant, &document, &error);
    int appended = 0;
    if (status == JOB_RUNNING) {
        g_autoptr(GByteArray) record = hs_record_pack_cancel(job_id, hs_clock_wall_ms());
        uint64_t offset = 0;
        HS_FAULT_POINT("cancel_before");
        appended = hs_appender_append(node->appender, hs_replica_stream(replica), record->data,
                                      record->len, APPEND_TIMEOUT_MS, &offset, &error);
        HS_FAULT_POINT("cancel_after");
        status = read_job(replica, job_id, tenant, &document, &error);
    }
    if (status == JOB_ENDED) {
        report_to_owner(node, hs_replica_partition(replica), job_id);
        hs_metrics_add(&node->metrics, HS_COUNT_JOBS_CANCELLED, 1);
        hs_log_info("job_cancelled", "job=%s tenant=%s", job_id, tenant);
        return hs_http_reply_json(response, 200, document);
    }
    bool job_was_read = document != NULL;
    json_decref(document);
    if (status == JOB_NOT_FOUND)
        return hs_refuse_invalid(response, 404, "batch_not_found", "no such batch");
    if (!job_was_read || appended == HS_PLATFORM_BUSY || appended == HS_PLATFORM_REFUSED)
        return hs_refuse_unavailable(response, "platform_unavailable", error.message,
                                     RETRY_AFTER_S);
    return hs_refuse_outcome_unknown(response, 504, "outcome_unknown",
                                     "cancel again to learn the outcome");
}

int hs_command_cancel(const struct _u_request *request, struct _u_response *response,
                      void *user_data) {
    hs_node *node = user_data;
    const char *job_id = hs_http_parameter(request, "id");
    const char *tenant = hs_http_tenant(request);
    uint32_t partition = 0;
    if (tenant == NULL)
        return hs_refuse_invalid(response, 401, "no_tenant",
                                 "Authorization: Bearer must name a tenant");
    if (!hs_id_partition(job_id, &partition) || partition >= hs_replica_set_count(node->replicas))
        return hs_refuse_invalid(response, 404, "batch_not_found", "no such batch");
    g_atomic_int_inc(&node->call_count);
    cancel_job(node, hs_replica_set_get(node->replicas, partition), job_id, tenant, response);
    g_atomic_int_add(&node->call_count, -1);
    return U_CALLBACK_COMPLETE;
}
