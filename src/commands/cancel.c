/**
 * @file cancel.c
 * POST /v1/batches/{id}/cancel: the cancellation is a record; the answer follows its read-back.
 */
#include "base/clock.h"
#include "base/fault_point.h"
#include "base/log.h"
#include "batch/batch_id.h"
#include "batch/job_json.h"
#include "batch/partition_record.h"
#include "commands/command_routes.h"
#include "http/auth.h"
#include "http/refusal.h"

#include <string.h>

#define APPEND_PATIENCE_MS 3000
#define RETRY_AFTER_S 2

typedef enum { CANCEL_NO_JOB, CANCEL_OPEN, CANCEL_OVER, CANCEL_UNREADABLE } cancel_reading;

/** Read the log to its end and see how the job stands. @p document: the job; owned. */
static cancel_reading read_job(hs_replica *replica, const char *job_id, const char *tenant,
                               json_t **document, hs_error *error) {
    if (hs_replica_refresh(replica, error) != 0)
        return CANCEL_UNREADABLE;
    const hs_partition *state = hs_replica_lock(replica);
    const hs_job *job = hs_partition_find_job(state, job_id);
    cancel_reading reading = CANCEL_NO_JOB;
    if (job != NULL && strcmp(job->tenant, tenant) == 0) {
        reading = hs_job_get_state(job) == HS_JOB_RUNNING ? CANCEL_OPEN : CANCEL_OVER;
        json_decref(*document);
        *document = hs_job_to_json(job);
    }
    hs_replica_unlock(replica);
    return reading;
}

static int cancel_job(hs_node *node, hs_replica *replica, const char *job_id, const char *tenant,
                      struct _u_response *response) {
    hs_error error = {0};
    json_t *document = NULL;
    cancel_reading reading = read_job(replica, job_id, tenant, &document, &error);
    int appended = 0;
    if (reading == CANCEL_OPEN) {
        g_autoptr(GByteArray) record = hs_record_pack_cancel(job_id, hs_clock_wall_ms());
        uint64_t offset = 0;
        HS_FAULT_POINT("cancel_before");
        appended = hs_appender_append(node->appender, hs_replica_stream(replica), record->data,
                                      record->len, APPEND_PATIENCE_MS, &offset, &error);
        HS_FAULT_POINT("cancel_after");
        reading = read_job(replica, job_id, tenant, &document, &error);
    }
    if (reading == CANCEL_OVER) {
        hs_metrics_add(&node->metrics, HS_COUNT_JOBS_CANCELLED, 1);
        hs_log_info("job_cancelled", "job=%s tenant=%s", job_id, tenant);
        return hs_http_reply_json(response, 200, document);
    }
    bool tried = document != NULL;
    json_decref(document);
    if (reading == CANCEL_NO_JOB)
        return hs_refuse_invalid(response, 404, "batch_not_found", "no such batch");
    if (!tried || appended == HS_PLATFORM_BUSY || appended == HS_PLATFORM_REFUSED)
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
