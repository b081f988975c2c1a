/**
 * @file test_fleet_taking.c
 * System tests that a daemon with many connections either accepts further ones or reports that it
 * is not ready.
 */
#include "platform/names.h"
#include "tests/system/connection_flood.h"
#include "tests/system/system_tests.h"
#include "tools/surface/fleet_bench.h"

#include <signal.h>

#define OPEN_CALLERS 500
#define QUEUED_CALLERS 1000
/** More callers than a listener's connection limit and its queue hold together. */
#define MANY_CALLERS MAX_FLOOD_CONNECTIONS
#define FEW_DESCRIPTORS 300

static connection_flood_target target_of(int daemon) {
    return (connection_flood_target){.pid = bench.pids[daemon],
                                     .port = bench_front_port(daemon),
                                     .readiness_port = bench_ready_port(daemon),
                                     .ready = PATH_READY};
}

static const char silent_request[] =
    "POST /once/x HTTP/1.1\r\nHost: " BENCH_HOST "\r\n" HEADER_REQUEST_ID
    ": silent\r\nContent-Length: 5\r\n\r\nhello";

/** Keeps its connection open, as the rest of its body is never sent. */
static const char half_request[] = "POST /once/x HTTP/1.1\r\nHost: " BENCH_HOST
                                   "\r\n" HEADER_REQUEST_ID ": half\r\nContent-Length: 5\r\n\r\nhe";

static void restart_confined(int daemon, unsigned descriptors) {
    bench_signal_daemon(daemon, SIGKILL);
    CU_ASSERT_TRUE(bench_start_daemon_with_descriptor_limit(daemon, descriptors));
    CU_ASSERT_TRUE(bench_wait_ready(daemon));
}

static void many_idle_callers_block_no_others(void) {
    connection_flood_target target = target_of(0);
    connection_flood_open(&target, OPEN_CALLERS, NULL);
    connection_flood_check_readiness(&target, "500 idle callers");
    CU_ASSERT_EQUAL(connection_flood_get_readiness(&target), 200);
    connection_flood_close();
    connection_flood_check_recovery(&target);
}

static void a_full_queue_is_accepted_or_reported(void) {
    connection_flood_target target = target_of(0);
    CU_ASSERT_EQUAL(bench_signal_daemon(0, SIGSTOP), 0);
    connection_flood_open(&target, QUEUED_CALLERS, NULL);
    CU_ASSERT_EQUAL(bench_signal_daemon(0, SIGCONT), 0);
    connection_flood_check_readiness(&target, "1000 callers in the queue");
    connection_flood_close();
    connection_flood_open(&target, MANY_CALLERS, NULL);
    connection_flood_check_readiness(&target, "2100 idle callers");
    connection_flood_close();
    connection_flood_check_recovery(&target);
}

static void callers_waiting_for_engines_block_no_others(void) {
    connection_flood_target target = target_of(0);
    bench_set_engine_modes(TOKEN_ENGINE_UNRESPONSIVE);
    connection_flood_open(&target, OPEN_CALLERS, silent_request);
    connection_flood_check_readiness(&target, "500 callers wait on engines");
    CU_ASSERT_EQUAL(connection_flood_get_readiness(&target), 200);
    connection_flood_close();
    bench_set_engine_modes(TOKEN_ENGINE_HEALTHY);
    connection_flood_check_recovery(&target);
}

static void few_descriptors_and_waiting_callers_are_reported(void) {
    restart_confined(1, FEW_DESCRIPTORS);
    connection_flood_target target = target_of(1);
    bench_set_engine_modes(TOKEN_ENGINE_UNRESPONSIVE);
    connection_flood_open(&target, OPEN_CALLERS, silent_request);
    connection_flood_check_readiness(&target, "300 descriptors, 500 callers wait on engines");
    connection_flood_close();
    bench_set_engine_modes(TOKEN_ENGINE_HEALTHY);
    connection_flood_check_recovery(&target);
    connection_flood_open(&target, OPEN_CALLERS, half_request);
    connection_flood_check_readiness(&target, "300 descriptors, 500 callers with half a body");
    CU_ASSERT_EQUAL(connection_flood_get_readiness(&target), 503);
    connection_flood_close();
    connection_flood_check_recovery(&target);
}

static void few_descriptors_and_idle_callers_are_reported(void) {
    restart_confined(2, FEW_DESCRIPTORS);
    connection_flood_target target = target_of(2);
    connection_flood_open(&target, OPEN_CALLERS, NULL);
    connection_flood_check_readiness(&target, "300 descriptors, 500 idle callers");
    connection_flood_close();
    connection_flood_check_recovery(&target);
}

const test_case fleet_taking_system_tests[] = {
    {"few_descriptors_and_waiting_callers_are_reported",
     few_descriptors_and_waiting_callers_are_reported},
    {"few_descriptors_and_idle_callers_are_reported",
     few_descriptors_and_idle_callers_are_reported},
    {"many_idle_callers_block_no_others", many_idle_callers_block_no_others},
    {"callers_waiting_for_engines_block_no_others", callers_waiting_for_engines_block_no_others},
    {"a_full_queue_is_accepted_or_reported", a_full_queue_is_accepted_or_reported},
    {NULL, NULL}};
