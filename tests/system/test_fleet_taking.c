/** @file test_fleet_taking.c  The fleet surface: a daemon that is ready takes connections. */
#include "platform/names.h"
#include "tests/system/crowd.h"
#include "tests/system/system_tests.h"
#include "tools/surface/fleet_bench.h"

#include <signal.h>

#define OPEN_CALLERS 500
#define QUEUED_CALLERS 1000
/** More than a listener may have, with what its queue holds. */
#define MANY_CALLERS CROWD_MOST
#define FEW_DESCRIPTORS 300

static crowd_target target_of(int daemon) {
    return (crowd_target){.pid = bench.pids[daemon],
                          .port = bench_front_port(daemon),
                          .ready_port = bench_ready_port(daemon),
                          .ready = PATH_READY};
}

static const char silent_request[] =
    "POST /once/x HTTP/1.1\r\nHost: " BENCH_HOST "\r\n" HEADER_REQUEST_ID
    ": silent\r\nContent-Length: 5\r\n\r\nhello";

/** It holds its connection whatever engines do: its body does not come. */
static const char half_request[] = "POST /once/x HTTP/1.1\r\nHost: " BENCH_HOST
                                   "\r\n" HEADER_REQUEST_ID ": half\r\nContent-Length: 5\r\n\r\nhe";

static void restart(int daemon, unsigned descriptors) {
    bench_signal(daemon, SIGKILL);
    CU_ASSERT_TRUE(bench_start_daemon_confined(daemon, descriptors));
    CU_ASSERT_TRUE(bench_wait_ready(daemon));
}

static void many_idle_callers_keep_nobody_out(void) {
    crowd_target target = target_of(0);
    crowd_open(&target, OPEN_CALLERS, NULL);
    crowd_check_word(&target, "500 idle callers");
    CU_ASSERT_EQUAL(crowd_ask_ready(&target), 200);
    crowd_close();
    crowd_check_recovers(&target);
}

static void a_full_queue_is_taken_or_told(void) {
    crowd_target target = target_of(0);
    CU_ASSERT_EQUAL(bench_signal(0, SIGSTOP), 0);
    crowd_open(&target, QUEUED_CALLERS, NULL);
    CU_ASSERT_EQUAL(bench_signal(0, SIGCONT), 0);
    crowd_check_word(&target, "1000 callers in the queue");
    crowd_close();
    crowd_open(&target, MANY_CALLERS, NULL);
    crowd_check_word(&target, "2100 idle callers");
    crowd_close();
    crowd_check_recovers(&target);
}

static void callers_that_wait_on_engines_keep_nobody_out(void) {
    crowd_target target = target_of(0);
    bench_set_engines(TOKEN_ENGINE_SILENT);
    crowd_open(&target, OPEN_CALLERS, silent_request);
    crowd_check_word(&target, "500 callers wait on engines");
    CU_ASSERT_EQUAL(crowd_ask_ready(&target), 200);
    crowd_close();
    bench_set_engines(TOKEN_ENGINE_SOUND);
    crowd_check_recovers(&target);
}

static void few_descriptors_and_waiting_callers_are_told(void) {
    restart(1, FEW_DESCRIPTORS);
    crowd_target target = target_of(1);
    bench_set_engines(TOKEN_ENGINE_SILENT);
    crowd_open(&target, OPEN_CALLERS, silent_request);
    crowd_check_word(&target, "300 descriptors, 500 callers wait on engines");
    crowd_close();
    bench_set_engines(TOKEN_ENGINE_SOUND);
    crowd_check_recovers(&target);
    crowd_open(&target, OPEN_CALLERS, half_request);
    crowd_check_word(&target, "300 descriptors, 500 callers with half a body");
    CU_ASSERT_EQUAL(crowd_ask_ready(&target), 503);
    crowd_close();
    crowd_check_recovers(&target);
}

static void few_descriptors_and_idle_callers_are_told(void) {
    restart(2, FEW_DESCRIPTORS);
    crowd_target target = target_of(2);
    crowd_open(&target, OPEN_CALLERS, NULL);
    crowd_check_word(&target, "300 descriptors, 500 idle callers");
    crowd_close();
    crowd_check_recovers(&target);
}

const test_case fleet_taking_system_tests[] = {
    {"few_descriptors_and_waiting_callers_are_told", few_descriptors_and_waiting_callers_are_told},
    {"few_descriptors_and_idle_callers_are_told", few_descriptors_and_idle_callers_are_told},
    {"many_idle_callers_keep_nobody_out", many_idle_callers_keep_nobody_out},
    {"callers_that_wait_on_engines_keep_nobody_out", callers_that_wait_on_engines_keep_nobody_out},
    {"a_full_queue_is_taken_or_told", a_full_queue_is_taken_or_told},
    {NULL, NULL}};
