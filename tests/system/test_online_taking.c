/** @file test_online_taking.c  OpenAI surface: accepting connections under a flood. */
#include "tests/system/connection_flood.h"
#include "tests/system/system_tests.h"

#include <signal.h>

#define FLOOD_CALLERS 500
#define DESCRIPTOR_LIMIT 300
#define START_TIMEOUT_MS 10000

/**
 * Maximum open descriptors under a flood. Without a free descriptor, a failed connection to an
 * engine counts as the engine's failure, and listeners retry accept in a busy loop.
 */
#define MAX_FLOOD_DESCRIPTORS (DESCRIPTOR_LIMIT * 7 / 8)

static const char slow_body[] =
    "{\"model\":\"drafting-7b\",\"max_tokens\":1500,\"prompt\":\"crowd\"}";

static connection_flood_target get_target(int daemon) {
    return (connection_flood_target){.pid = test_fleet.daemon_pids[daemon],
                                     .port = (uint16_t)(test_fleet.options.ports.caller + daemon),
                                     .readiness_port =
                                         (uint16_t)(test_fleet.options.ports.admin + daemon),
                                     .ready = "/readyz"};
}

static void set_engine_faults(const char *faults) {
    for (int index = 0; index < test_fleet.engine_count; index++)
        CU_ASSERT_TRUE(fleet_set_faults(test_fleet.engine_urls[index], faults));
}

static char *make_slow_request(void) {
    return g_strdup_printf("POST /v1/completions HTTP/1.1\r\nHost: a\r\nContent-Type: "
                           "application/json\r\nAuthorization: Bearer " TEST_TENANT
                           "\r\nContent-Length: %zu\r\n\r\n%s",
                           sizeof slow_body - 1, slow_body);
}

/** @p max_descriptors: bound of the daemon's open descriptors under the flood; 0: none. */
static void check_flood(int daemon, const char *bytes, uint32_t max_descriptors,
                        const char *title) {
    connection_flood_target target = get_target(daemon);
    connection_flood_open(&target, FLOOD_CALLERS, bytes);
    connection_flood_check_readiness(&target, title);
    if (max_descriptors > 0)
        CU_ASSERT(connection_flood_count_descriptors(&target) <= max_descriptors);
    connection_flood_close();
    connection_flood_check_recovery(&target);
}

static void restart_with_few_descriptors(int daemon) {
    fleet_signal(&test_fleet.daemon_pids[daemon], SIGKILL);
    test_fleet.max_daemon_descriptors = DESCRIPTOR_LIMIT;
    CU_ASSERT_TRUE(fleet_start_daemon(&test_fleet, daemon, NULL));
    test_fleet.max_daemon_descriptors = 0;
    CU_ASSERT_TRUE(fleet_wait_ready(&test_fleet, daemon, START_TIMEOUT_MS));
}

static void online_open_callers_do_not_block_new_connections(void) {
    g_autofree char *bytes = make_slow_request();
    check_flood(0, NULL, 0, "openai, 500 idle callers");
    set_engine_faults("{\"slow_step_ms\":2000}");
    check_flood(0, bytes, 0, "openai, 500 callers wait on engines");
    set_engine_faults("{\"slow_step_ms\":0}");
}

static void online_descriptor_shortage_is_reported(void) {
    g_autofree char *bytes = make_slow_request();
    restart_with_few_descriptors(1);
    check_flood(1, NULL, MAX_FLOOD_DESCRIPTORS, "openai, 300 descriptors, 500 idle callers");
    set_engine_faults("{\"slow_step_ms\":2000}");
    check_flood(1, bytes, MAX_FLOOD_DESCRIPTORS,
                "openai, 300 descriptors, 500 callers wait on engines");
    set_engine_faults("{\"slow_step_ms\":0}");
}

const test_case online_taking_tests[] = {
    {"online_open_callers_do_not_block_new_connections",
     online_open_callers_do_not_block_new_connections},
    {"online_descriptor_shortage_is_reported", online_descriptor_shortage_is_reported},
    {NULL, NULL}};
