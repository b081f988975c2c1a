/**
 * @file oracle.c
 * Checks the guarantees after a cell from outside the daemons: job results as callers read them,
 * records of the engines, and the configuration that each daemon reports.
 */
#include "standin/engine/answer.h"
#include "tests/matrix/matrix.h"

#include <stdio.h>
#include <string.h>

#define JOB_TIMEOUT_MS 40000
#define SETTLE_TIMEOUT_MS 15000
#define ONLINE_TOKENS 40

static bool fail_cell(matrix_cell *cell, const char *reason) {
    g_strlcpy(cell->reason, reason, sizeof cell->reason);
    return false;
}

/** Returns how often engines started a request with exactly this prompt. */
static int count_prompt_starts(const json_t *records, const char *prompt) {
    int starts = 0;
    size_t index;
    json_t *record;
    json_array_foreach(records, index, record) {
        if (strcmp(json_string_value(json_object_get(record, "prompt")), prompt) == 0)
            starts += (int)json_integer_value(json_object_get(record, "starts"));
    }
    return starts;
}

/** Returns the records of all engines, including killed ones. The caller frees them. */
static json_t *get_all_engine_records(matrix_cell *cell) {
    json_t *records = fleet_engine_records(cell->fleet);
    json_array_extend(records, cell->killed_engine_records);
    return records;
}

static json_t *read_results(matrix_cell *cell) {
    return client_read_results(cell->fleet->caller_urls[WITNESS], MATRIX_TENANT, cell->job_id);
}

/** A result must be the item's complete answer; a run-once item may have no 200 answer. */
static bool is_result_correct(const json_t *line, bool run_once) {
    const char *custom_id = json_string_value(json_object_get(line, "custom_id"));
    const json_t *response = json_object_get(line, "response");
    if (json_integer_value(json_object_get(response, "status_code")) != 200)
        return run_once;
    const json_t *body = json_object_get(response, "body");
    const json_t *choice = json_array_get(json_object_get(body, "choices"), 0);
    g_autofree char *expected = answer_text(custom_id, JOB_TOKENS);
    return g_strcmp0(json_string_value(json_object_get(choice, "text")), expected) == 0;
}

static bool are_results_correct(matrix_cell *cell, const json_t *results) {
    json_t *records = get_all_engine_records(cell);
    g_autoptr(GHashTable) seen = g_hash_table_new(g_str_hash, g_str_equal);
    bool is_correct = true;
    size_t index;
    json_t *line;
    json_array_foreach(results, index, line) {
        const char *custom_id = json_string_value(json_object_get(line, "custom_id"));
        const char *number = custom_id != NULL ? strrchr(custom_id, '-') : NULL;
        if (number == NULL || !g_hash_table_add(seen, (gpointer)custom_id)) {
            is_correct = fail_cell(cell, "an item has two results");
            break;
        }
        bool run_once = atoi(number + 1) % RUN_ONCE_EVERY == 0;
        if (!is_result_correct(line, run_once))
            is_correct = fail_cell(cell, "a result is not the item's complete answer");
        if (run_once && count_prompt_starts(records, custom_id) > 1)
            is_correct = fail_cell(cell, "a run-once item ran twice");
    }
    json_decref(records);
    return is_correct;
}

static bool check_completed_job(matrix_cell *cell) {
    if (cell->job_id == NULL)
        return fail_cell(cell, "the job was never accepted");
    json_t *job = client_wait_batch(cell->fleet->caller_urls[WITNESS], MATRIX_TENANT, cell->job_id,
                                    JOB_TIMEOUT_MS);
    if (job == NULL)
        return fail_cell(cell, "the job did not complete");
    json_decref(job);
    json_t *results = read_results(cell);
    bool is_correct =
        json_array_size(results) == JOB_ITEMS
            ? are_results_correct(cell, results)
            : fail_cell(cell, "the number of results differs from the number of items");
    json_decref(results);
    return is_correct;
}

/** Returns whether no engine runs or queues an item of the cell. */
static bool are_engines_idle(void *user_data) {
    matrix_cell *cell = user_data;
    json_t *records = fleet_engine_records(cell->fleet);
    int busy = 0;
    size_t index;
    json_t *record;
    json_array_foreach(records, index, record) {
        const char *state = json_string_value(json_object_get(record, "state"));
        bool is_of_cell =
            g_str_has_prefix(json_string_value(json_object_get(record, "prompt")), cell->name);
        busy += is_of_cell && (strcmp(state, "running") == 0 || strcmp(state, "waiting") == 0);
    }
    json_decref(records);
    return busy == 0;
}

/** Checks that no engine works for the cancelled job and its results do not change any more. */
static bool check_cancelled_job(matrix_cell *cell) {
    json_t *job = client_wait_batch(cell->fleet->caller_urls[WITNESS], MATRIX_TENANT, cell->job_id,
                                    JOB_TIMEOUT_MS);
    const char *status = json_string_value(json_object_get(job, "status"));
    bool cancelled = status != NULL && strcmp(status, "cancelled") == 0;
    json_decref(job);
    if (!cancelled)
        return fail_cell(cell, "the job is not cancelled");
    if (!wait_for_condition(are_engines_idle, cell, SETTLE_TIMEOUT_MS))
        return fail_cell(cell, "engines still run items of a cancelled job");
    json_t *before = read_results(cell);
    json_t *after = read_results(cell);
    bool is_unchanged = json_array_size(before) == json_array_size(after);
    bool is_correct = are_results_correct(cell, after);
    json_decref(before);
    json_decref(after);
    return is_unchanged ? is_correct : fail_cell(cell, "results were added after the cancellation");
}

static bool is_config_consistent(void *user_data) {
    matrix_cell *cell = user_data;
    json_int_t offsets[3] = {0};
    for (int daemon = 0; daemon < 3; daemon++) {
        json_t *list = NULL;
        client_call("GET", cell->fleet->admin_urls[daemon], "/admin/v1/limits", NULL, NULL, NULL,
                    &list);
        offsets[daemon] = json_integer_value(json_object_get(list, "config_offset"));
        json_decref(list);
    }
    return offsets[0] > 0 && offsets[0] == offsets[1] && offsets[1] == offsets[2];
}

static bool check_published_change(matrix_cell *cell) {
    if (!wait_for_condition(is_config_consistent, cell, SETTLE_TIMEOUT_MS))
        return fail_cell(cell, "daemons have different configuration offsets");
    g_autofree char *path = g_strdup_printf("/admin/v1/limits/%s", cell->name);
    for (int daemon = 0; daemon < 3; daemon++)
        if (client_call("GET", cell->fleet->admin_urls[daemon], path, NULL, NULL, NULL, NULL) !=
            200)
            return fail_cell(cell, "an accepted change is not in force on a daemon");
    if (cell->race_winners > 1)
        return fail_cell(cell, "more than one racing change was accepted");
    if (cell->race_winners + cell->race_losers > 0 && cell->race_winners != 1)
        return fail_cell(cell, "no racing change was accepted");
    return true;
}

static bool check_online_request(matrix_cell *cell) {
    g_autofree char *prompt = g_strdup_printf("%s-online", cell->name);
    g_autofree char *expected = answer_text(prompt, ONLINE_TOKENS);
    json_t *records = get_all_engine_records(cell);
    int starts = count_prompt_starts(records, prompt);
    json_decref(records);
    if (starts > 1)
        return fail_cell(cell, "a run-once request ran twice");
    if (g_strcmp0(cell->stream.executed, "no") == 0 && cell->stream.token_count > 0)
        return fail_cell(cell, "a request that sent tokens was reported as not executed");
    bool is_complete = strcmp(cell->stream.text->str, expected) == 0;
    if (cell->stream.done_seen && !is_complete)
        return fail_cell(cell, "a short answer was reported as complete");
    if (!g_str_has_prefix(expected, cell->stream.text->str))
        return fail_cell(cell, "the caller got another request's answer");
    return true;
}

bool check_cell(matrix_cell *cell) {
    if (cell->planned_stop_failed)
        return fail_cell(cell, "the planned stop did not exit with status 0");
    switch (cell->step->operation) {
    case OPERATION_CANCEL:
        return check_cancelled_job(cell);
    case OPERATION_PUBLISH:
        return check_published_change(cell);
    case OPERATION_ONLINE:
        return check_online_request(cell);
    default:
        return check_completed_job(cell);
    }
}
