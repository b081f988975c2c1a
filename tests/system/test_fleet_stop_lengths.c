/**
 * @file test_fleet_stop_lengths.c
 * System tests of the time from SIGTERM to the exit of a daemon, and of calls on jobs that are open
 * meanwhile, while the store works or fails.
 */
#include "base/clock.h"
#include "platform/names.h"
#include "tests/support/raw_caller.h"
#include "tests/support/stop_request.h"
#include "tests/support/store_proxies.h"
#include "tests/system/fleet_calls.h"
#include "tests/system/system_tests.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>

#define GRACE_S 6
#define GRACE_MS (GRACE_S * 1000)
#define SLOTS 64
#define ITEM_EVENTS 160
#define ITEM_EVENT_MS 50
/** Items in work at the stopped daemons. */
#define ITEMS 24
#define KEPT_CONNECTIONS 50
/** Delay of the slow store's answers. */
#define SLOW_MS 1500
/** Time from the fault of the store to the stop: daemons notice it first, or not. */
#define UNNOTICED_MS 100
#define NOTICED_MS 3000
/** Time after SIGTERM at which late calls are complete. */
#define LATE_MS 3500
#define LAST_MS 5100
#define ANSWER_LIMIT_MS 10000

typedef enum { STORE_HEALTHY, STORE_SILENT, STORE_SLOW, STORE_REFUSING } store_state;

int begin_stop_lengths(void) {
    bench.settings =
        (bench_settings){.slots = SLOTS,
                         .grace_s = GRACE_S,
                         .item_pace = {.events = ITEM_EVENTS, .event_ms = ITEM_EVENT_MS}};
    bench_prepare();
    store_proxies_start();
    return bench_start();
}

int end_stop_lengths(void) {
    int result = bench_tear_down();
    store_proxies_stop();
    bench.settings = (bench_settings){0};
    return result;
}

static void set_store(store_state state) {
    for (int daemon = 0; daemon < bench_daemon_count(); daemon++)
        fault_proxy_set_mode(store_proxies[daemon],
                             state == STORE_SILENT ? PROXY_BLOCKS_ALL : PROXY_FORWARDS);
    log_store_set_delay(bench.store, state == STORE_SLOW ? SLOW_MS : 0);
    log_store_set_mode(bench.store, state == STORE_REFUSING ? LOG_STORE_REFUSES : LOG_STORE_HEALTHY,
                       NULL, state == STORE_REFUSING ? UINT32_MAX : 0);
}

/** Sends SIGTERM. Returns the monotonic time. */
static uint64_t begin_stop(int daemon) {
    uint64_t signal_ms = hs_clock_monotonic_ms();
    CU_ASSERT(bench.pids[daemon] > 0);
    bench_begin_stop(daemon);
    return signal_ms;
}

/** Checks that a stopped daemon exits within its grace time, and starts it again. */
static void end_stop(int daemon, uint64_t signal_ms) {
    int status = bench_wait_end(daemon);
    uint64_t took_ms = hs_clock_monotonic_ms() - signal_ms;
    printf("    daemon %d exited after %u ms\n", daemon, (unsigned)took_ms);
    CU_ASSERT(took_ms < GRACE_MS);
    CU_ASSERT_EQUAL(status, 0);
    set_store(STORE_HEALTHY);
    CU_ASSERT_TRUE(bench_start_daemon(daemon, false));
    CU_ASSERT_TRUE(bench_wait_ready(daemon));
}

/** Opens a connection and sends a request without its end, so that it stays open. */
static raw_caller *send_incomplete(int daemon, const char *text) {
    raw_caller *caller = raw_caller_open(bench_front_port(daemon));
    CU_ASSERT_PTR_NOT_NULL_FATAL(caller);
    CU_ASSERT_TRUE(raw_caller_send(caller, text));
    return caller;
}

/** Stops a daemon with items in work and callers that keep its connections busy to the end. */
static void stop_at_work(int daemon, store_state state, uint64_t noticed_ms, const char *id) {
    raw_caller *callers[KEPT_CONNECTIONS];
    CU_ASSERT_EQUAL(submit_job(daemon, id, ITEMS), 202);
    hs_clock_sleep_ms(500);
    for (int index = 0; index < KEPT_CONNECTIONS; index++)
        callers[index] = send_incomplete(daemon, "POST /plain/x HTTP/1.1\r\nHost: " BENCH_HOST
                                                 "\r\nContent-Length: 5\r\n\r\nhe");
    set_store(state);
    hs_clock_sleep_ms(noticed_ms);
    end_stop(daemon, begin_stop(daemon));
    for (int index = 0; index < KEPT_CONNECTIONS; index++)
        raw_caller_close(callers[index]);
}

static void a_stop_ends_in_time(void) {
    stop_at_work(0, STORE_HEALTHY, UNNOTICED_MS, "healthy");
}

static void a_stop_with_a_silent_store_ends_in_time(void) {
    stop_at_work(1, STORE_SILENT, UNNOTICED_MS, "silent");
    stop_at_work(2, STORE_SILENT, NOTICED_MS, "silent-long");
}

static void a_stop_with_a_slow_store_ends_in_time(void) {
    stop_at_work(0, STORE_SLOW, UNNOTICED_MS, "slow");
    stop_at_work(1, STORE_SLOW, NOTICED_MS, "slow-long");
}

static void a_stop_with_a_refusing_store_ends_in_time(void) {
    stop_at_work(2, STORE_REFUSING, UNNOTICED_MS, "refusing");
    stop_at_work(0, STORE_REFUSING, NOTICED_MS, "refusing-long");
}

/** Calls on jobs, each sent without its end before SIGTERM and completed during the stop. */
static const struct {
    const char *name;
    const char *start; /**< Format with the id of an open job. */
} late_calls[] = {
    {"read", "GET " PATH_JOBS "%s?after=0"},
    {"read of an unknown job", "GET " PATH_JOBS "not-%s?after=0"},
    {"item", "GET " PATH_ITEMS "%1$s?id=%1$s-1"},
    {"end", "DELETE " PATH_JOBS "%s-ended"},
};
#define LATE_CALLS G_N_ELEMENTS(late_calls)

static raw_caller *begin_late_call(int daemon, size_t index, const char *job) {
    g_autofree char *target = g_strdup_printf(late_calls[index].start, job);
    g_autofree char *text = g_strdup_printf("%s HTTP/1.1\r\nHost: " BENCH_HOST "\r\n", target);
    return send_incomplete(daemon, text);
}

static raw_caller *begin_late_submission(int daemon, const char *job, const char *body) {
    g_autofree char *text =
        g_strdup_printf("POST /jobs/x HTTP/1.1\r\nHost: " BENCH_HOST "\r\n" HEADER_REQUEST_ID
                        ": late-%s\r\nContent-Length: %zu\r\n\r\n",
                        job, strlen(body));
    return send_incomplete(daemon, text);
}

static void check_late_answer(raw_caller *caller, const char *name, uint64_t signal_ms) {
    stop_request request = {0};
    stop_request_read_answer(caller, &request, ANSWER_LIMIT_MS);
    printf("    %s: status %u, whole %d, %u ms after the signal\n", name, request.status,
           request.is_whole, (unsigned)(request.ended_ms - signal_ms));
    CU_ASSERT_TRUE(request.is_whole);
    raw_caller_close(caller);
}

/** Completes calls late in a stop; each must get a whole answer. */
static void complete_calls_in_a_stop(int daemon, store_state state, uint64_t late_ms,
                                     const char *job) {
    raw_caller *callers[LATE_CALLS];
    g_autofree char *body = bench_job_body(job, 1);
    g_autofree char *ended = g_strconcat(job, "-ended", NULL);
    CU_ASSERT_EQUAL(submit_job(daemon, job, 2), 202);
    CU_ASSERT_EQUAL(submit_job(daemon, ended, 2), 202);
    for (size_t index = 0; index < LATE_CALLS; index++)
        callers[index] = begin_late_call(daemon, index, job);
    raw_caller *submission = begin_late_submission(daemon, job, body);
    hs_clock_sleep_ms(100);
    uint64_t signal_ms = begin_stop(daemon);
    set_store(state);
    hs_clock_sleep_ms(late_ms);
    for (size_t index = 0; index < LATE_CALLS; index++)
        CU_ASSERT_TRUE(raw_caller_send(callers[index], HEADER_WAIT_MS ": 5000\r\n\r\n"));
    CU_ASSERT_TRUE(raw_caller_send(submission, body));
    check_late_answer(submission, "submission", signal_ms);
    for (size_t index = 0; index < LATE_CALLS; index++)
        check_late_answer(callers[index], late_calls[index].name, signal_ms);
    end_stop(daemon, signal_ms);
}

static void further_signals_do_not_change_a_stop(void) {
    raw_caller *caller = send_incomplete(2, "POST /plain/x HTTP/1.1\r\nHost: " BENCH_HOST
                                            "\r\nContent-Length: 5\r\n\r\nhe");
    hs_clock_sleep_ms(100);
    uint64_t signal_ms = begin_stop(2);
    hs_clock_sleep_ms(LATE_MS / 2);
    CU_ASSERT_EQUAL(kill(bench.pids[2], SIGHUP), 0);
    begin_stop(2);
    hs_clock_sleep_ms(LATE_MS / 2);
    CU_ASSERT_TRUE(raw_caller_send(caller, "llo"));
    check_late_answer(caller, "request", signal_ms);
    end_stop(2, signal_ms);
}

static void calls_on_jobs_are_answered_before_a_stop_ends(void) {
    complete_calls_in_a_stop(0, STORE_HEALTHY, LATE_MS, "late-a");
}

static void calls_on_jobs_are_answered_before_a_stop_with_a_silent_store_ends(void) {
    complete_calls_in_a_stop(1, STORE_SILENT, LATE_MS, "late-b");
    complete_calls_in_a_stop(1, STORE_SILENT, LAST_MS, "late-c");
}

static void calls_on_jobs_are_answered_before_a_stop_with_a_slow_store_ends(void) {
    complete_calls_in_a_stop(2, STORE_SLOW, LATE_MS, "late-d");
}

const test_case fleet_stop_length_system_tests[] = {
    {"a_stop_ends_in_time", a_stop_ends_in_time},
    {"a_stop_with_a_silent_store_ends_in_time", a_stop_with_a_silent_store_ends_in_time},
    {"a_stop_with_a_slow_store_ends_in_time", a_stop_with_a_slow_store_ends_in_time},
    {"a_stop_with_a_refusing_store_ends_in_time", a_stop_with_a_refusing_store_ends_in_time},
    {"further_signals_do_not_change_a_stop", further_signals_do_not_change_a_stop},
    {"calls_on_jobs_are_answered_before_a_stop_ends",
     calls_on_jobs_are_answered_before_a_stop_ends},
    {"calls_on_jobs_are_answered_before_a_stop_with_a_silent_store_ends",
     calls_on_jobs_are_answered_before_a_stop_with_a_silent_store_ends},
    {"calls_on_jobs_are_answered_before_a_stop_with_a_slow_store_ends",
     calls_on_jobs_are_answered_before_a_stop_with_a_slow_store_ends},
    {NULL, NULL}};
