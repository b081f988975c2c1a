/** @file test_fleet_stops.c  System tests of what callers see of a daemon that stops. */
#include "base/clock.h"
#include "platform/names.h"
#include "tests/system/fleet_calls.h"
#include "tests/system/stop_callers.h"
#include "tests/system/system_tests.h"
#include "tools/surface/fleet_bench.h"

#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#define DAEMONS 4
#define SLOTS 32
#define FIRST_GRACE_S 6
#define SECOND_GRACE_S 8
#define LONG_EVENTS 72
#define LONG_EVENT_MS 50
#define LONG_STREAM_MS (LONG_EVENTS * LONG_EVENT_MS)
#define ANSWER_LIMIT_MS 10000
/** Requests after which a daemon knows how long those of a route take. */
#define KNOWN_REQUESTS 25
#define SHORT_REQUESTS 10
#define LATER_MS 300
#define CALLERS 40
#define ROUNDS 3
#define STOPS_AT_ONCE 2
/** Time for which callers send before daemons are stopped. */
#define WARM_UP_MS 4500
/** Time from the start of daemons that don't get ready to their signal. */
#define UNREADY_MS 1000

int begin_stops(void) {
    bench.settings =
        (bench_settings){.daemons = DAEMONS,
                         .slots = SLOTS,
                         .grace_s = FIRST_GRACE_S,
                         .item_pace = {.events = LONG_EVENTS, .event_ms = LONG_EVENT_MS}};
    return begin_bench_with_long_timeouts();
}

int end_stops(void) {
    int result = bench_tear_down();
    bench.settings = (bench_settings){0};
    return result;
}

/** Sends SIGTERM without waiting for the end of the process. Returns the monotonic time. */
static uint64_t begin_stop(int daemon) {
    CU_ASSERT(bench.pids[daemon] > 0);
    bench_begin_stop(daemon);
    return hs_clock_monotonic_ms();
}

/** Waits for the end of a stopped daemon, and starts it again. */
static void end_stop(int daemon) {
    CU_ASSERT_EQUAL(bench_wait_end(daemon), 0);
    CU_ASSERT_TRUE(bench_start_daemon(daemon, false));
    CU_ASSERT_TRUE(bench_wait_ready(daemon));
}

static void send_request(raw_caller *caller, const char *target, const char *id, const char *body) {
    g_autofree char *text =
        g_strdup_printf("POST %s HTTP/1.1\r\nHost: " BENCH_HOST "\r\n" HEADER_REQUEST_ID
                        ": %s\r\nContent-Length: 5\r\n\r\n%s",
                        target, id, body);
    CU_ASSERT_TRUE(raw_caller_send(caller, text));
}

/**
 * Stops a daemon during a stream that ends 3.2 s after SIGTERM, then sends another request on the
 * same connection.
 */
static stop_request send_after_a_stream(int daemon, const char *target, const char *id) {
    raw_caller *caller = raw_caller_open(bench_front_port(daemon));
    CU_ASSERT_PTR_NOT_NULL_FATAL(caller);
    g_autofree char *first_id = g_strconcat(id, "-before", NULL);
    send_request(caller, "/once/long", first_id, "hello");
    hs_clock_sleep_ms(LONG_STREAM_MS - 3200);
    begin_stop(daemon);
    stop_request first = {0};
    stop_request_read_answer(caller, &first, ANSWER_LIMIT_MS);
    CU_ASSERT_TRUE(first.is_whole);
    stop_request request = stop_request_post(caller, target, id, ANSWER_LIMIT_MS);
    raw_caller_close(caller);
    end_stop(daemon);
    return request;
}

static void a_stream_that_outlives_a_stop_is_refused_unsent(void) {
    stop_request request = send_after_a_stream(0, "/once/long", "outlives");
    CU_ASSERT_EQUAL(request.status, 503);
    CU_ASSERT_TRUE(request.is_whole && request.is_closing);
    CU_ASSERT_EQUAL(bench_run_count("outlives"), 0);
}

static void a_short_request_late_in_a_stop_is_served(void) {
    for (int number = 0; number < KNOWN_REQUESTS; number++) {
        g_autofree char *id = g_strdup_printf("known-%d", number);
        bench_answer known = post_request(1, "/plain/x", id);
        CU_ASSERT_EQUAL(known.status, 200);
        bench_answer_clear(&known);
    }
    stop_request request = send_after_a_stream(1, "/plain/x", "short");
    CU_ASSERT_EQUAL(request.status, 200);
    CU_ASSERT_TRUE(request.is_whole && request.is_closing);
}

static void a_body_that_ends_late_in_a_stop_is_refused_unsent(void) {
    raw_caller *caller = raw_caller_open(bench_front_port(2));
    CU_ASSERT_PTR_NOT_NULL_FATAL(caller);
    send_request(caller, "/once/long", "late-body", "he");
    begin_stop(2);
    hs_clock_sleep_ms(4000);
    CU_ASSERT_TRUE(raw_caller_send(caller, "llo"));
    stop_request request = {0};
    stop_request_read_answer(caller, &request, ANSWER_LIMIT_MS);
    CU_ASSERT_EQUAL(request.status, 503);
    CU_ASSERT_TRUE(request.is_whole && request.is_closing);
    CU_ASSERT_EQUAL(bench_run_count("late-body"), 0);
    raw_caller_close(caller);
    end_stop(2);
}

static void a_request_that_no_engine_answers_is_answered_before_a_stop_ends(void) {
    bench_set_engine_modes(TOKEN_ENGINE_UNRESPONSIVE);
    raw_caller *caller = raw_caller_open(bench_front_port(3));
    CU_ASSERT_PTR_NOT_NULL_FATAL(caller);
    send_request(caller, "/once/x", "unanswered", "hello");
    begin_stop(3);
    stop_request request = {0};
    stop_request_read_answer(caller, &request, ANSWER_LIMIT_MS);
    CU_ASSERT_EQUAL(request.status, 502); /* It may have run, so not 503. */
    CU_ASSERT_TRUE(request.is_whole);
    bench_set_engine_modes(TOKEN_ENGINE_HEALTHY);
    raw_caller_close(caller);
    end_stop(3);
}

/** The daemon has served only short requests of the route; one that is long is in progress. */
static void a_stream_like_one_in_progress_is_refused_unsent(void) {
    raw_caller *running = raw_caller_open(bench_front_port(3));
    raw_caller *caller = raw_caller_open(bench_front_port(3));
    CU_ASSERT_FATAL(running != NULL && caller != NULL);
    for (int number = 0; number < SHORT_REQUESTS; number++) {
        g_autofree char *id = g_strdup_printf("short-%d", number);
        CU_ASSERT_EQUAL(stop_request_post(caller, "/once/x", id, ANSWER_LIMIT_MS).status, 200);
    }
    raw_caller_forget_text(caller);
    send_request(caller, "/again/long", "kept-busy", "hello");
    hs_clock_sleep_ms(LATER_MS);
    send_request(running, "/once/long", "in-progress", "hello");
    hs_clock_sleep_ms(LONG_STREAM_MS - 3200 - LATER_MS);
    begin_stop(3);
    stop_request first = {0};
    stop_request_read_answer(caller, &first, ANSWER_LIMIT_MS);
    raw_caller_forget_text(caller);
    send_request(caller, "/once/long", "like-it", "hello");
    stop_request request = {0};
    stop_request_read_answer(caller, &request, ANSWER_LIMIT_MS);
    CU_ASSERT_TRUE(first.is_whole);
    CU_ASSERT_EQUAL(request.status, 503);
    CU_ASSERT_TRUE(request.is_whole);
    CU_ASSERT_EQUAL(bench_run_count("like-it"), 0);
    raw_caller_close(running);
    raw_caller_close(caller);
    end_stop(3);
}

/** Guards against daemons that crash at the end of a stop that began before they were ready. */
static void daemons_without_a_list_of_engines_stop_in_order(void) {
    for (int daemon = 0; daemon < DAEMONS; daemon++)
        bench_signal_daemon(daemon, SIGKILL);
    log_store_set_mode(bench.store, LOG_STORE_REFUSES, CALL_NEWEST "?topic=" TOPIC_ENGINES,
                       UINT32_MAX);
    for (int daemon = 0; daemon < DAEMONS; daemon++)
        CU_ASSERT_TRUE(bench_start_daemon(daemon, false));
    hs_clock_sleep_ms(UNREADY_MS);
    for (int daemon = 0; daemon < DAEMONS; daemon++)
        bench_begin_stop(daemon);
    for (int daemon = 0; daemon < DAEMONS; daemon++)
        CU_ASSERT_EQUAL(bench_wait_end(daemon), 0);
    log_store_set_mode(bench.store, LOG_STORE_HEALTHY, NULL, 0);
    for (int daemon = 0; daemon < DAEMONS; daemon++)
        CU_ASSERT_TRUE(bench_start_daemon(daemon, false));
    for (int daemon = 0; daemon < DAEMONS; daemon++)
        CU_ASSERT_TRUE(bench_wait_ready(daemon));
}

/** Starts a daemon as an init system does, with no signal blocked, that reads @p settings. */
static pid_t start_plain_daemon(const char *settings) {
    g_autofree char *program = g_strdup_printf("%s/heathsaild", g_getenv("HS_TEST_PROGRAMS"));
    pid_t pid = fork();
    if (pid == 0) {
        execl(program, program, "--settings", settings, NULL);
        _exit(EXIT_FAILURE);
    }
    return pid;
}

/** Has a daemon that reads a FIFO go on with settings that it rejects. Returns its exit status. */
static int end_with_invalid_settings(pid_t pid, const char *settings) {
    int status = 0;
    int writer = -1;
    while (writer < 0 && waitpid(pid, &status, WNOHANG) == 0) {
        hs_clock_sleep_ms(10);
        writer = open(settings, O_WRONLY | O_NONBLOCK | O_CLOEXEC);
    }
    if (writer < 0)
        return status;
    CU_ASSERT_EQUAL(write(writer, "?", 1), 1);
    close(writer);
    CU_ASSERT_EQUAL(waitpid(pid, &status, 0), pid);
    return status;
}

/** Guards against a daemon that dies by a signal as it reads its settings. */
static void a_signal_before_the_settings_are_read_does_not_kill(void) {
    static const int signals[] = {SIGTERM, SIGHUP};
    g_autofree char *folder = g_dir_make_tmp("heathsail-XXXXXX", NULL);
    g_autofree char *settings = g_build_filename(folder, "settings", NULL);
    CU_ASSERT_EQUAL_FATAL(mkfifo(settings, S_IRUSR | S_IWUSR), 0);
    for (size_t index = 0; index < G_N_ELEMENTS(signals); index++) {
        pid_t pid = start_plain_daemon(settings);
        hs_clock_sleep_ms(UNREADY_MS);
        CU_ASSERT_EQUAL(kill(pid, signals[index]), 0);
        CU_ASSERT_TRUE(WIFEXITED(end_with_invalid_settings(pid, settings)));
    }
    unlink(settings);
    rmdir(folder);
}

/** Stops daemons and starts them again with the second grace time. */
static void stop_some_daemons(int first, uint32_t *grace_s) {
    uint64_t signal_ms[STOPS_AT_ONCE];
    for (int index = 0; index < STOPS_AT_ONCE; index++) {
        signal_ms[index] = begin_stop((first + index) % DAEMONS);
        hs_clock_sleep_ms(300);
    }
    for (int index = 0; index < STOPS_AT_ONCE; index++) {
        int daemon = (first + index) % DAEMONS;
        uint64_t grace_ms = (uint64_t)grace_s[daemon] * 1000;
        grace_s[daemon] = SECOND_GRACE_S;
        bench.settings.grace_s = SECOND_GRACE_S;
        end_stop(daemon);
        stop_callers_note_stop(daemon, signal_ms[index], hs_clock_monotonic_ms(), grace_ms);
    }
}

static void no_answer_is_cut_while_daemons_stop_in_turn(void) {
    uint32_t grace_s[DAEMONS] = {FIRST_GRACE_S, FIRST_GRACE_S, FIRST_GRACE_S, FIRST_GRACE_S};
    stop_callers_begin(CALLERS);
    hs_clock_sleep_ms(WARM_UP_MS);
    for (int round = 0; round < ROUNDS; round++)
        stop_some_daemons(round * STOPS_AT_ONCE, grace_s);
    stop_callers_end();
    stop_summary seen = stop_callers_summarize();
    printf("    sent %u, served %u, in stops %u of %u, refused %u, excused %u, cut %u\n", seen.sent,
           seen.served, seen.served_in_stops, seen.sent_in_stops, seen.refused, seen.excused,
           seen.cut);
    CU_ASSERT_EQUAL(seen.cut, 0);
    CU_ASSERT_EQUAL(seen.broken_promises, 0);
    CU_ASSERT_EQUAL(seen.needless_refusals, 0);
}

const test_case fleet_stop_system_tests[] = {
    {"a_stream_that_outlives_a_stop_is_refused_unsent",
     a_stream_that_outlives_a_stop_is_refused_unsent},
    {"a_short_request_late_in_a_stop_is_served", a_short_request_late_in_a_stop_is_served},
    {"a_body_that_ends_late_in_a_stop_is_refused_unsent",
     a_body_that_ends_late_in_a_stop_is_refused_unsent},
    {"a_request_that_no_engine_answers_is_answered_before_a_stop_ends",
     a_request_that_no_engine_answers_is_answered_before_a_stop_ends},
    {"a_stream_like_one_in_progress_is_refused_unsent",
     a_stream_like_one_in_progress_is_refused_unsent},
    {"daemons_without_a_list_of_engines_stop_in_order",
     daemons_without_a_list_of_engines_stop_in_order},
    {"a_signal_before_the_settings_are_read_does_not_kill",
     a_signal_before_the_settings_are_read_does_not_kill},
    {"no_answer_is_cut_while_daemons_stop_in_turn", no_answer_is_cut_while_daemons_stop_in_turn},
    {NULL, NULL}};
