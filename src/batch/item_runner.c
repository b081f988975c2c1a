/** @file item_runner.c  See item_runner.h. */
#include "batch/item_runner.h"

#include "base/clock.h"
#include "base/fault_point.h"
#include "base/log.h"
#include "batch/partition_record.h"
#include "engine/engine_client.h"

#include <stdlib.h>
#include <string.h>

#define APPEND_TIMEOUT_MS 5000
#define RECORD_RETRY_MS 100
#define RESUME_RETRY_MS 200
#define MS_PER_S 1000
#define HTTP_OK 200
#define HTTP_BAD_REQUEST 400
#define HTTP_BAD_GATEWAY 502
#define MID_STREAM_TOKEN 2

void hs_item_progress_clear(hs_item_progress *progress) {
    if (progress->started)
        hs_response_builder_clear(&progress->answer);
    *progress = (hs_item_progress){0};
}

/** State of a run. */
typedef struct {
    const hs_item_work *work;
    json_t *line;                /**< The item's input line: custom_id, url, body. */
    hs_response_builder *answer; /**< Owned by the work's progress. */
} item_run;

static bool collect_token(uint32_t token_index, json_t *event, void *user_data) {
    item_run *run = user_data;
    if (token_index == MID_STREAM_TOKEN)
        HS_FAULT_POINT("mid_stream");
    hs_response_builder_add_event(run->answer, event);
    return g_atomic_int_get(run->work->revoked) == 0;
}

/** Returns the request body for the engine: the input body as a stream. Free with free. */
static char *build_engine_body(const item_run *run) {
    json_t *body = json_deep_copy(json_object_get(run->line, "body"));
    json_object_set_new(body, "stream", json_true());
    json_object_set_new(body, "request_id", json_string(run->work->attempt_id));
    json_object_set_new(body, "priority", json_integer(HS_BATCH_PRIORITY));
    char *text = json_dumps(body, JSON_COMPACT);
    json_decref(body);
    return text;
}

/** Returns the line of the output file and consumes @p body. Free with free. */
static char *build_output_line(const item_run *run, int status, json_t *body,
                               const char *error_code) {
    json_t *error = error_code != NULL ? json_pack("{s:s}", "code", error_code) : json_null();
    json_t *line =
        json_pack("{s:s,s:O?,s:{s:i,s:s,s:o},s:o}", "id", run->work->attempt_id, "custom_id",
                  json_object_get(run->line, "custom_id"), "response", "status_code", status,
                  "request_id", run->work->attempt_id, "body", body, "error", error);
    char *text = json_dumps(line, JSON_COMPACT);
    json_decref(line);
    return text;
}

/** Appends the outcome, retrying until the log confirms it. Returns false if the process stops. */
static bool record_outcome(hs_item_runner *runner, const hs_item_work *work, int status,
                           const char *line, bool indeterminate) {
    hs_item_outcome outcome = {.job_id = work->job_id,
                               .epoch = work->epoch,
                               .item = work->item,
                               .attempt_id = work->attempt_id,
                               .status_code = (uint32_t)status,
                               .body = line,
                               .indeterminate = indeterminate};
    g_autoptr(GByteArray) record = hs_record_pack_completion(&outcome, hs_clock_wall_ms());
    hs_replica *replica = hs_replica_set_get(runner->replicas, work->partition);
    HS_FAULT_POINT("complete_before");
    while (g_atomic_int_get(&runner->stopping) == 0) {
        uint64_t offset = 0;
        hs_error error = {0};
        if (hs_appender_append(runner->appender, hs_replica_stream(replica), record->data,
                               record->len, APPEND_TIMEOUT_MS, &offset, &error) == 0) {
            HS_FAULT_POINT("complete_after");
            hs_log_debug("item_recorded", "job=%s item=%u attempt=%s status=%d", work->job_id,
                         work->item, work->attempt_id, status);
            return true;
        }
        hs_clock_sleep_ms(RECORD_RETRY_MS);
    }
    return false;
}

static hs_item_end record_response(hs_item_runner *runner, item_run *run) {
    const char *model =
        json_string_value(json_object_get(json_object_get(run->line, "body"), "model"));
    json_t *body = hs_response_builder_make_body(run->answer, run->work->attempt_id, model,
                                                 hs_clock_wall_ms() / MS_PER_S);
    char *line = build_output_line(run, HTTP_OK, body, NULL);
    bool recorded = record_outcome(runner, run->work, HTTP_OK, line, false);
    free(line);
    return recorded ? HS_ITEM_RECORDED : HS_ITEM_DROPPED;
}

static hs_item_end record_failure(hs_item_runner *runner, item_run *run, int status,
                                  const char *code, bool indeterminate) {
    char *line = build_output_line(run, status, json_null(), code);
    bool recorded = record_outcome(runner, run->work, status, line, indeterminate);
    free(line);
    return recorded ? HS_ITEM_RECORDED : HS_ITEM_DROPPED;
}

/** Whether the valid intent in the log is of this attempt and engine. */
static bool is_intent_valid(hs_replica *replica, const hs_item_work *work) {
    hs_partition *state = hs_replica_lock(replica);
    const hs_job *job = hs_partition_find_job(state, work->job_id);
    const hs_intent *intent =
        job != NULL ? g_hash_table_lookup(job->intents, GUINT_TO_POINTER(work->item)) : NULL;
    bool valid = intent != NULL && strcmp(intent->attempt_id, work->attempt_id) == 0 &&
                 strcmp(intent->engine_url, work->engine_url) == 0;
    hs_replica_unlock(replica);
    return valid;
}

/** Appends the intent and reads it back. Returns HS_ITEM_RECORDED if the item may be sent. */
static hs_item_end obtain_intent(hs_item_runner *runner, const hs_item_work *work) {
    hs_replica *replica = hs_replica_set_get(runner->replicas, work->partition);
    g_autoptr(GByteArray) record = hs_record_pack_intent(work->job_id, work->item, work->attempt_id,
                                                         work->epoch, work->engine_url);
    uint64_t offset = 0;
    hs_error error = {0};
    HS_FAULT_POINT("intent_before");
    int appended = hs_appender_append(runner->appender, hs_replica_stream(replica), record->data,
                                      record->len, APPEND_TIMEOUT_MS, &offset, &error);
    HS_FAULT_POINT("intent_after");
    /* A failed append may still have reached the log: only the intent read back counts. */
    if (hs_replica_refresh(replica, &error) != 0)
        return HS_ITEM_OTHER_ENGINE;
    if (is_intent_valid(replica, work))
        return HS_ITEM_RECORDED;
    return appended == 0 ? HS_ITEM_DROPPED : HS_ITEM_OTHER_ENGINE;
}

/** Retries to resume an interrupted run until the outcome is known or the recovery time is over. */
static hs_run_result resume_until_known(hs_item_runner *runner, item_run *run,
                                        const hs_engine_call *call, hs_run_result result) {
    uint64_t recovery_end_ms = hs_clock_monotonic_ms() + runner->run_once_recovery_ms;
    while (result.end == HS_RUN_INTERRUPTED && g_atomic_int_get(&runner->stopping) == 0 &&
           hs_clock_monotonic_ms() < recovery_end_ms) {
        hs_clock_sleep_ms(RESUME_RETRY_MS);
        result = hs_engine_resume(call, result.next_token, collect_token, run);
    }
    return result;
}

static hs_item_end finish_run_once(hs_item_runner *runner, item_run *run,
                                   const hs_engine_call *call, hs_run_result result) {
    if (result.end == HS_RUN_REFUSED)
        return HS_ITEM_OTHER_ENGINE;
    if (result.end == HS_RUN_INVALID)
        return record_failure(runner, run, HTTP_BAD_REQUEST, "invalid_request", false);
    result = resume_until_known(runner, run, call, result);
    if (result.end == HS_RUN_COMPLETED)
        return record_response(runner, run);
    return record_failure(runner, run, HTTP_BAD_GATEWAY, "indeterminate", true);
}

/** Resumes a preempted item if this engine ran the item before, else starts a new run. */
static hs_run_result start_or_resume(item_run *run, const hs_engine_call *call) {
    hs_item_progress *progress = run->work->progress;
    bool resumable = progress->resumable && strcmp(progress->engine_url, call->engine_url) == 0;
    progress->resumable = false;
    if (resumable) {
        hs_run_result result = hs_engine_continue(call, progress->next_token, collect_token, run);
        if (result.end != HS_RUN_REFUSED)
            return result;
    }
    return hs_engine_run(call, collect_token, run);
}

/** Stores where a preempted item stopped. */
static void save_progress(const item_run *run, const hs_run_result *result) {
    hs_item_progress *progress = run->work->progress;
    progress->resumable = true;
    progress->next_token = result->next_token;
    g_strlcpy(progress->engine_url, run->work->engine_url, sizeof progress->engine_url);
}

static hs_item_end finish_ordinary(hs_item_runner *runner, item_run *run,
                                   const hs_engine_call *call, hs_run_result result) {
    if (result.end == HS_RUN_INTERRUPTED && result.next_token > 0)
        result = hs_engine_resume(call, result.next_token, collect_token, run);
    if (result.end == HS_RUN_COMPLETED)
        return record_response(runner, run);
    if (result.end == HS_RUN_INVALID)
        return record_failure(runner, run, HTTP_BAD_REQUEST, "invalid_request", false);
    if (result.end == HS_RUN_CANCELLED)
        save_progress(run, &result);
    if (result.end == HS_RUN_ABORTED) {
        hs_engine_cancel(call->engine_url, call->request_id);
        return HS_ITEM_DROPPED;
    }
    return HS_ITEM_RETRY;
}

/** Returns HS_ITEM_RECORDED if an ordinary item may be sent. */
static hs_item_end check_grant(const hs_item_work *work) {
    if (g_atomic_int_get(work->revoked) != 0)
        return HS_ITEM_DROPPED;
    bool is_late = work->start_until_ms != NULL && hs_clock_monotonic_ms() >= *work->start_until_ms;
    return is_late ? HS_ITEM_HELD : HS_ITEM_RECORDED;
}

static hs_item_end run_on_engine(hs_item_runner *runner, item_run *run,
                                 void (*on_engine_free)(void *), void *user_data) {
    const hs_item_work *work = run->work;
    char *body = build_engine_body(run);
    hs_engine_call call = {.engine_url = work->engine_url,
                           .path = work->endpoint,
                           .request_id = work->attempt_id,
                           .body = body,
                           .timeout_s = runner->item_timeout_s};
    HS_FAULT_POINT("dispatch");
    hs_run_result result = start_or_resume(run, &call);
    on_engine_free(user_data);
    hs_item_end end = work->run_once ? finish_run_once(runner, run, &call, result)
                                     : finish_ordinary(runner, run, &call, result);
    free(body);
    return end;
}

static bool open_item_run(hs_item_runner *runner, const hs_item_work *work, item_run *run) {
    hs_replica *replica = hs_replica_set_get(runner->replicas, work->partition);
    hs_error error = {0};
    *run = (item_run){.work = work};
    run->line = hs_chunk_reader_read_item(runner->chunks, hs_replica_stream(replica),
                                          work->chunk_offset, work->index_in_chunk, &error);
    if (run->line == NULL)
        return false;
    hs_item_progress *progress = work->progress;
    if (!progress->started)
        hs_response_builder_init(&progress->answer,
                                 strcmp(work->endpoint, "/v1/chat/completions") == 0);
    progress->started = true;
    run->answer = &progress->answer;
    return true;
}

static void close_item_run(item_run *run) {
    json_decref(run->line);
}

hs_item_end hs_item_run(hs_item_runner *runner, const hs_item_work *work,
                        void (*on_engine_free)(void *user_data), void *user_data) {
    item_run run;
    if (!open_item_run(runner, work, &run)) {
        on_engine_free(user_data);
        return HS_ITEM_RETRY;
    }
    hs_item_end end = work->run_once ? obtain_intent(runner, work) : check_grant(work);
    if (end == HS_ITEM_RECORDED)
        end = run_on_engine(runner, &run, on_engine_free, user_data);
    else
        on_engine_free(user_data);
    close_item_run(&run);
    return end;
}

bool hs_item_recover(hs_item_runner *runner, const hs_item_work *work, bool may_be_lost) {
    item_run run;
    if (!open_item_run(runner, work, &run))
        return false;
    hs_engine_call call = {.engine_url = work->engine_url,
                           .path = work->endpoint,
                           .request_id = work->attempt_id,
                           .timeout_s = runner->item_timeout_s};
    hs_run_result result = hs_engine_resume(&call, 0, collect_token, &run);
    hs_item_end end = HS_ITEM_RETRY;
    if (result.end == HS_RUN_COMPLETED)
        end = record_response(runner, &run);
    else if (may_be_lost || result.end == HS_RUN_CANCELLED)
        end = record_failure(runner, &run, HTTP_BAD_GATEWAY, "indeterminate", true);
    close_item_run(&run);
    return end == HS_ITEM_RECORDED;
}
