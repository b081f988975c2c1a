/** @file test_fleet_taking.c  A daemon that says it is ready takes new connections. */
#include "base/clock.h"
#include "platform/names.h"
#include "tests/support/raw_caller.h"
#include "tests/system/system_tests.h"
#include "tools/surface/fleet_bench.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

/** The setting's default, in ms. */
#define CONTACT_MS 3000
/** A question whether a daemon is ready is answered within this time, in ms. */
#define READY_MS 1000
#define OPEN_CALLERS 500
/** More than a listener's queue and the library's own limit of connections together. */
#define QUEUE_CALLERS 2100
#define FEW_DESCRIPTORS 300
#define MOST_CALLERS 2100
/** Time for a daemon to take what came, and to see that it is at its limit. */
#define SETTLE_MS 1500
/** Processor time in ms that a daemon without work to do may use in a second. */
#define IDLE_PROCESSOR_MS 400

/** Open connections to a front listener; those that could not be made are NULL. */
typedef struct {
    raw_caller *callers[MOST_CALLERS];
    guint count;
} crowd;

static void open_crowd(crowd *crowd, int daemon, guint count, const char *bytes) {
    crowd->count = count;
    for (guint index = 0; index < count; index++) {
        crowd->callers[index] = raw_caller_open(bench_front_port(daemon));
        if (crowd->callers[index] != NULL && bytes != NULL)
            raw_caller_send(crowd->callers[index], bytes);
    }
}

static void close_crowd(crowd *crowd) {
    for (guint index = 0; index < crowd->count; index++)
        raw_caller_close(crowd->callers[index]);
}

/** What a daemon says on whether it is ready, within READY_MS: 200, 503, or 0 for nothing. */
static int ask_ready(int daemon) {
    raw_caller *caller = raw_caller_open(bench_ready_port(daemon));
    if (caller == NULL)
        return 0;
    raw_caller_send(caller, "GET " PATH_READY " HTTP/1.1\r\nHost: a\r\n\r\n");
    int status = 0;
    if (raw_caller_read_until(caller, "\r\n\r\n", READY_MS))
        status = atoi(raw_caller_text(caller) + strlen("HTTP/1.1 "));
    raw_caller_close(caller);
    return status;
}

/** Time in ms until a request on a new connection is answered; -1: not within CONTACT_MS. */
static int time_to_take(int daemon) {
    uint64_t began_ms = hs_clock_monotonic_ms();
    raw_caller *caller = raw_caller_open(bench_front_port(daemon));
    if (caller == NULL)
        return -1;
    raw_caller_send(caller, "GET /nowhere HTTP/1.1\r\nHost: a\r\n\r\n");
    bool is_answered = raw_caller_read_until(caller, "HTTP/1.1 404 ", CONTACT_MS);
    raw_caller_close(caller);
    return is_answered ? (int)(hs_clock_monotonic_ms() - began_ms) : -1;
}

/** Processor time in ms that a daemon has used. */
static uint64_t processor_ms(int daemon) {
    g_autofree char *path = g_strdup_printf("/proc/%d/stat", (int)bench.pids[daemon]);
    g_autofree char *text = NULL;
    if (!g_file_get_contents(path, &text, NULL, NULL))
        return 0;
    unsigned long user = 0;
    unsigned long system = 0;
    const char *after_name = strrchr(text, ')');
    sscanf(after_name, ") %*c %*d %*d %*d %*d %*d %*u %*u %*u %*u %*u %lu %lu", &user, &system);
    return (user + system) * 1000 / (unsigned long)sysconf(_SC_CLK_TCK);
}

/** It takes a connection within CONTACT_MS or says that it is not ready; and it does not spin. */
static void check_word(int daemon, const char *title) {
    hs_clock_sleep_ms(SETTLE_MS);
    int ready = ask_ready(daemon);
    int took_ms = time_to_take(daemon);
    uint64_t before_ms = processor_ms(daemon);
    hs_clock_sleep_ms(1000);
    uint64_t used_ms = processor_ms(daemon) - before_ms;
    fprintf(stderr, "%s: ready=%d took_ms=%d processor_ms_per_s=%" G_GUINT64_FORMAT "\n", title,
            ready, took_ms, (guint64)used_ms);
    CU_ASSERT(ready == 503 || (ready == 200 && took_ms >= 0));
    CU_ASSERT(used_ms <= IDLE_PROCESSOR_MS);
}

/** Once the crowd has left, the daemon is ready and takes connections. */
static void check_recovers(int daemon) {
    CU_ASSERT_TRUE(bench_wait_ready(daemon));
    CU_ASSERT(time_to_take(daemon) >= 0);
}

static const char silent_request[] =
    "POST /once/x HTTP/1.1\r\nHost: " BENCH_HOST "\r\n" HEADER_REQUEST_ID
    ": silent\r\nContent-Length: 5\r\n\r\nhello";

static void restart(int daemon, unsigned descriptors) {
    bench_signal(daemon, SIGKILL);
    CU_ASSERT_TRUE(bench_start_daemon_confined(daemon, descriptors));
    CU_ASSERT_TRUE(bench_wait_ready(daemon));
}

static void many_idle_callers_keep_nobody_out(void) {
    static crowd crowd;
    open_crowd(&crowd, 0, OPEN_CALLERS, NULL);
    check_word(0, "500 idle callers");
    CU_ASSERT_EQUAL(ask_ready(0), 200);
    close_crowd(&crowd);
    check_recovers(0);
}

static void a_full_queue_is_taken_or_told(void) {
    static crowd crowd;
    CU_ASSERT_EQUAL(bench_signal(0, SIGSTOP), 0);
    open_crowd(&crowd, 0, 1000, NULL);
    CU_ASSERT_EQUAL(bench_signal(0, SIGCONT), 0);
    check_word(0, "1000 callers in the queue");
    close_crowd(&crowd);
    open_crowd(&crowd, 0, QUEUE_CALLERS, NULL);
    check_word(0, "2100 idle callers");
    close_crowd(&crowd);
    check_recovers(0);
}

static void callers_that_wait_on_engines_keep_nobody_out(void) {
    static crowd crowd;
    bench_set_engines(TOKEN_ENGINE_SILENT);
    open_crowd(&crowd, 0, OPEN_CALLERS, silent_request);
    check_word(0, "500 callers wait on engines");
    CU_ASSERT_EQUAL(ask_ready(0), 200);
    close_crowd(&crowd);
    bench_set_engines(TOKEN_ENGINE_SOUND);
    check_recovers(0);
}

static void few_descriptors_and_waiting_callers_are_told(void) {
    static crowd crowd;
    restart(1, FEW_DESCRIPTORS);
    bench_set_engines(TOKEN_ENGINE_SILENT);
    open_crowd(&crowd, 1, OPEN_CALLERS, silent_request);
    check_word(1, "300 descriptors, 500 callers wait on engines");
    CU_ASSERT_EQUAL(ask_ready(1), 503);
    close_crowd(&crowd);
    bench_set_engines(TOKEN_ENGINE_SOUND);
    check_recovers(1);
}

static void few_descriptors_and_idle_callers_are_told(void) {
    static crowd crowd;
    restart(2, FEW_DESCRIPTORS);
    open_crowd(&crowd, 2, OPEN_CALLERS, NULL);
    check_word(2, "300 descriptors, 500 idle callers");
    close_crowd(&crowd);
    check_recovers(2);
}

const test_case fleet_taking_system_tests[] = {
    {"few_descriptors_and_waiting_callers_are_told", few_descriptors_and_waiting_callers_are_told},
    {"few_descriptors_and_idle_callers_are_told", few_descriptors_and_idle_callers_are_told},
    {"many_idle_callers_keep_nobody_out", many_idle_callers_keep_nobody_out},
    {"callers_that_wait_on_engines_keep_nobody_out", callers_that_wait_on_engines_keep_nobody_out},
    {"a_full_queue_is_taken_or_told", a_full_queue_is_taken_or_told},
    {NULL, NULL}};
