/** @file job_json.c  See job_json.h. */
#include "batch/job_json.h"

#include "base/json_reader.h"
#include "batch/batch_id.h"

#include <string.h>

#define MS_PER_S 1000

static const char *get_status_name(hs_job_state state) {
    static const char *const names[] = {"in_progress", "cancelling", "cancelled", "completed"};
    return names[state];
}

static json_t *time_or_null(uint64_t time_ms) {
    return time_ms > 0 ? json_integer((json_int_t)(time_ms / MS_PER_S)) : json_null();
}

json_t *hs_job_to_json(const hs_job *job) {
    hs_job_state state = hs_job_get_state(job);
    bool has_ended = state == HS_JOB_COMPLETED || state == HS_JOB_CANCELLED;
    g_autofree char *output_id = hs_output_id(job->id);
    json_t *metadata = hs_json_parse(job->metadata_json, strlen(job->metadata_json), NULL);
    json_t *document = json_pack(
        "{s:s,s:s,s:s,s:s,s:s,s:I,s:I,s:o,s:o,s:{s:i,s:i,s:i}}", "id", job->id, "object", "batch",
        "endpoint", job->endpoint, "input_file_id", job->file_id, "status", get_status_name(state),
        "created_at", (json_int_t)(job->created_ms / MS_PER_S), "expires_at",
        (json_int_t)(job->deadline_ms / MS_PER_S), "cancelled_at", time_or_null(job->cancelled_ms),
        "finished_at", has_ended ? time_or_null(job->finished_ms) : json_null(), "request_counts",
        "total", (int)job->item_count, "completed", (int)(job->completed_count - job->failed_count),
        "failed", (int)job->failed_count);
    json_object_set_new(document, "output_file_id",
                        job->completed_count > 0 ? json_string(output_id) : json_null());
    json_object_set_new(document, "metadata", metadata != NULL ? metadata : json_null());
    return document;
}
