/** @file test_stop_length.c  Length of a daemon's stop, and answers of what is open at its end. */
#include "base/clock.h"
#include "tests/support/raw_caller.h"
#include "tests/support/stop_request.h"
#include "tests/system/system_tests.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/** The daemon that is stopped. */
#define STOPPED 1
#define DRAFTING_ENGINES 3
#define GRACE_MS 1500
#define GRACE_SETTING "daemon.shutdown_grace_ms=1500"
/** A call to a silent store takes longer than a stop. */
#define STORE_SETTING "platform.timeout_s=8"
/** Time in which open requests are answered, and the process exits, after the grace time. */
#define ANSWER_SLACK_MS 600
#define EXIT_SLACK_MS 1300
/** Deadline of the completions. */
#define TIMEOUT_MS 12000
#define READ_LIMIT_MS 30000
#define READY_TIMEOUT_MS 15000
#define SLOW_STEP_MS 100
#define JOB_TIMEOUT_MS 90000
#define ITEMS 60
#define ITEM_TOKENS 200
#define BAD_GATEWAY 502

int begin_openai_stop_lengths(void) {
    static GPtrArray *settings;
    if (begin_fleet() != 0)
        return -1;
    if (settings == NULL) {
        settings = g_ptr_array_new();
        for (int index = 0; test_fleet.options.daemon_settings[index] != NULL; index++)
            g_ptr_array_add(settings, (gpointer)test_fleet.options.daemon_settings[index]);
        g_ptr_array_add(settings, GRACE_SETTING);
        g_ptr_array_add(settings, STORE_SETTING);
        g_ptr_array_add(settings, NULL);
    }
    test_fleet.options.daemon_settings = (const char *const *)settings->pdata;
    fleet_signal(&test_fleet.daemon_pids[STOPPED], SIGTERM);
    bool is_started = fleet_start_daemon(&test_fleet, STOPPED, NULL) &&
                      fleet_wait_ready(&test_fleet, STOPPED, READY_TIMEOUT_MS);
    return is_started ? 0 : -1;
}

static void signal_engines(int signal_number) {
    for (int engine = 0; engine < DRAFTING_ENGINES; engine++)
        fleet_signal(&test_fleet.engine_pids[engine], signal_number);
}

static void slow_engines_down(int step_ms) {
    g_autofree char *faults = g_strdup_printf("{\"slow_step_ms\":%d}", step_ms);
    for (int engine = 0; engine < DRAFTING_ENGINES; engine++)
        CU_ASSERT_TRUE(fleet_set_faults(test_fleet.engine_urls[engine], faults));
}

/** Sends a completion to the daemon that will be stopped. */
static raw_caller *send_completion(const char *prompt, bool is_streamed) {
    const char *port = strrchr(test_fleet.caller_urls[STOPPED], ':') + 1;
    g_autofree char *body =
        g_strdup_printf("{\"model\":\"drafting-7b\",\"max_tokens\":200,\"stream\":%s,"
                        "\"prompt\":\"%s\"}",
                        is_streamed ? "true" : "false", prompt);
    g_autofree char *text =
        g_strdup_printf("POST /v1/completions HTTP/1.1\r\nHost: a\r\n"
                        "Authorization: Bearer " TEST_TENANT "\r\n"
                        "Heathsail-Timeout-Ms: %d\r\n"
                        "Content-Type: application/json\r\nContent-Length: %zu\r\n\r\n%s",
                        TIMEOUT_MS, strlen(body), body);
    raw_caller *caller = raw_caller_open((uint16_t)strtoul(port, NULL, 10));
    CU_ASSERT_PTR_NOT_NULL_FATAL(caller);
    CU_ASSERT_TRUE(raw_caller_send(caller, text));
    return caller;
}

typedef struct {
    uint64_t signalled_ms;
    int64_t exit_ms; /**< Since the signal. */
    int exit_status;
} observed_stop;

static observed_stop begin_stop(void) {
    observed_stop stop = {.signalled_ms = hs_clock_monotonic_ms()};
    CU_ASSERT_EQUAL(kill(test_fleet.daemon_pids[STOPPED], SIGTERM), 0);
    return stop;
}

/** Waits for the exit; a second SIGTERM has no effect on a stop. */
static void await_exit(observed_stop *stop) {
    stop->exit_status = fleet_signal(&test_fleet.daemon_pids[STOPPED], SIGTERM);
    stop->exit_ms = (int64_t)(hs_clock_monotonic_ms() - stop->signalled_ms);
    printf("    exit after %d ms with %d\n", (int)stop->exit_ms, stop->exit_status);
    CU_ASSERT(stop->exit_ms <= GRACE_MS + EXIT_SLACK_MS);
}

static void restart_daemon(void) {
    CU_ASSERT_TRUE(fleet_start_daemon(&test_fleet, STOPPED, NULL));
    CU_ASSERT_TRUE(fleet_wait_ready(&test_fleet, STOPPED, READY_TIMEOUT_MS));
}

/** Reads the answer of a completion of which nothing was sent before the grace time ended. */
static void check_error_answer(raw_caller *caller, const observed_stop *stop) {
    stop_request request = {.sent_ms = stop->signalled_ms};
    stop_request_read_answer(caller, &request, READ_LIMIT_MS);
    int64_t answered_ms = (int64_t)(request.ended_ms - stop->signalled_ms);
    printf("    status %u after %d ms\n", request.status, (int)answered_ms);
    CU_ASSERT_EQUAL(request.status, BAD_GATEWAY);
    CU_ASSERT_TRUE(request.is_whole);
    CU_ASSERT_PTR_NOT_NULL(strstr(raw_caller_text(caller), "\"stopped\""));
    CU_ASSERT(answered_ms >= GRACE_MS - ANSWER_SLACK_MS);
    CU_ASSERT(answered_ms <= GRACE_MS + ANSWER_SLACK_MS);
}

static void stop_with_silent_engines(bool is_streamed) {
    signal_engines(SIGSTOP);
    raw_caller *caller = send_completion("silent", is_streamed);
    hs_clock_sleep_ms(100);
    observed_stop stop = begin_stop();
    check_error_answer(caller, &stop);
    await_exit(&stop);
    CU_ASSERT_EQUAL(stop.exit_status, EXIT_FAILURE);
    raw_caller_close(caller);
    signal_engines(SIGCONT);
    restart_daemon();
}

static void a_completion_at_a_silent_engine_is_answered_when_the_grace_ends(void) {
    stop_with_silent_engines(false);
}

static void a_stream_that_has_not_begun_is_answered_when_the_grace_ends(void) {
    stop_with_silent_engines(true);
}

static void a_stream_that_outlives_the_grace_is_cut_at_its_end(void) {
    slow_engines_down(SLOW_STEP_MS);
    raw_caller *caller = send_completion("slow", true);
    CU_ASSERT_TRUE(raw_caller_read_until(caller, "token_index", READ_LIMIT_MS));
    observed_stop stop = begin_stop();
    raw_state state = raw_caller_read_to_end(caller, READ_LIMIT_MS);
    int64_t ended_ms = (int64_t)(hs_clock_monotonic_ms() - stop.signalled_ms);
    const char *text = raw_caller_text(caller);
    printf("    cut after %d ms\n", (int)ended_ms);
    CU_ASSERT_NOT_EQUAL(state, RAW_OPEN);
    CU_ASSERT_PTR_NULL(strstr(text, "[DONE]"));
    CU_ASSERT_PTR_NULL(strstr(text, "\r\n0\r\n\r\n"));
    CU_ASSERT_PTR_NOT_NULL(strstr(text, "\"stopped\""));
    CU_ASSERT(ended_ms >= GRACE_MS - ANSWER_SLACK_MS);
    CU_ASSERT(ended_ms <= GRACE_MS + ANSWER_SLACK_MS);
    await_exit(&stop);
    CU_ASSERT_EQUAL(stop.exit_status, EXIT_FAILURE);
    raw_caller_close(caller);
    slow_engines_down(0);
    restart_daemon();
}

static bool owns_a_partition(void *user_data) {
    (void)user_data;
    json_t *status = NULL;
    bool is_owner = false;
    size_t index;
    json_t *member;
    g_autofree char *id = g_strdup_printf("daemon-%d", STOPPED);
    client_call("GET", test_fleet.admin_urls[0], "/admin/v1/status", NULL, NULL, NULL, &status);
    json_array_foreach(json_object_get(status, "members"), index, member) {
        bool is_stopped = g_strcmp0(json_string_value(json_object_get(member, "id")), id) == 0;
        is_owner |= is_stopped && json_array_size(json_object_get(member, "partitions")) > 0;
    }
    json_decref(status);
    return is_owner;
}

/** Guards against waits for the hand-over of partitions, and joins of threads, without limit. */
static void a_stop_with_a_silent_store_ends_in_time(void) {
    CU_ASSERT_TRUE(wait_until(owns_a_partition, NULL, READY_TIMEOUT_MS));
    signal_engines(SIGSTOP);
    raw_caller *caller = send_completion("silent-store", false);
    hs_clock_sleep_ms(100);
    fleet_signal(&test_fleet.platform_pid, SIGSTOP);
    observed_stop stop = begin_stop();
    check_error_answer(caller, &stop);
    await_exit(&stop);
    CU_ASSERT_EQUAL(stop.exit_status, EXIT_FAILURE);
    raw_caller_close(caller);
    fleet_signal(&test_fleet.platform_pid, SIGCONT);
    signal_engines(SIGCONT);
    restart_daemon();
}

static bool is_running_items(void *user_data) {
    return count_engine_runs(user_data, "running") >= DRAFTING_ENGINES;
}

/** Guards against joins of threads whose items wait for an engine. */
static void a_stop_with_items_at_silent_engines_ends_in_time(void) {
    slow_engines_down(SLOW_STEP_MS);
    g_autofree char *lines = test_lines("silent-item", ITEMS, ITEM_TOKENS, 0);
    g_autofree char *job_id = submit_lines(lines, 0, 0, NULL);
    CU_ASSERT_PTR_NOT_NULL_FATAL(job_id);
    CU_ASSERT_TRUE(wait_until(is_running_items, "silent-item", READY_TIMEOUT_MS));
    signal_engines(SIGSTOP);
    observed_stop stop = begin_stop();
    await_exit(&stop);
    CU_ASSERT_EQUAL(stop.exit_status, EXIT_FAILURE);
    signal_engines(SIGCONT);
    slow_engines_down(0);
    restart_daemon();
    json_t *job = client_wait_batch(test_fleet.caller_urls[0], TEST_TENANT, job_id, JOB_TIMEOUT_MS);
    CU_ASSERT_EQUAL(
        json_integer_value(json_object_get(json_object_get(job, "request_counts"), "completed")),
        ITEMS);
    json_decref(job);
}

const test_case openai_stop_length_tests[] = {
    {"a_completion_at_a_silent_engine_is_answered_when_the_grace_ends",
     a_completion_at_a_silent_engine_is_answered_when_the_grace_ends},
    {"a_stream_that_has_not_begun_is_answered_when_the_grace_ends",
     a_stream_that_has_not_begun_is_answered_when_the_grace_ends},
    {"a_stream_that_outlives_the_grace_is_cut_at_its_end",
     a_stream_that_outlives_the_grace_is_cut_at_its_end},
    {"a_stop_with_a_silent_store_ends_in_time", a_stop_with_a_silent_store_ends_in_time},
    {"a_stop_with_items_at_silent_engines_ends_in_time",
     a_stop_with_items_at_silent_engines_ends_in_time},
    {NULL, NULL}};
