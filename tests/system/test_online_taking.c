/** @file test_online_taking.c  The OpenAI surface: a daemon that is ready takes connections. */
#include "tests/system/crowd.h"
#include "tests/system/system_tests.h"

#include <signal.h>

#define OPEN_CALLERS 500
#define FEW_DESCRIPTORS 300
#define START_MS 10000

/**
 * Some must be left: where none are, a connection to an engine that cannot be made counts against
 * the engine, and listeners try to accept without end. 291 of 300 were open with two counted a
 * request.
 */
#define DESCRIPTORS_WITH_CROWD (FEW_DESCRIPTORS * 7 / 8)

static const char slow_body[] =
    "{\"model\":\"drafting-7b\",\"max_tokens\":1500,\"prompt\":\"crowd\"}";

static crowd_target target_of(int daemon) {
    return (crowd_target){.pid = test_fleet.daemon_pids[daemon],
                          .port = (uint16_t)(test_fleet.options.ports.caller + daemon),
                          .ready_port = (uint16_t)(test_fleet.options.ports.admin + daemon),
                          .ready = "/readyz"};
}

static void slow_engines(const char *faults) {
    for (int index = 0; index < test_fleet.engine_count; index++)
        CU_ASSERT_TRUE(fleet_set_faults(test_fleet.engine_urls[index], faults));
}

static char *slow_request(void) {
    return g_strdup_printf("POST /v1/completions HTTP/1.1\r\nHost: a\r\nContent-Type: "
                           "application/json\r\nAuthorization: Bearer " TEST_TENANT
                           "\r\nContent-Length: %zu\r\n\r\n%s",
                           sizeof slow_body - 1, slow_body);
}

/** @p descriptors: most that the daemon may have open with the crowd; 0: not checked. */
static void check_crowd(int daemon, const char *bytes, uint32_t descriptors, const char *title) {
    crowd_target target = target_of(daemon);
    crowd_open(&target, OPEN_CALLERS, bytes);
    crowd_check_word(&target, title);
    if (descriptors > 0)
        CU_ASSERT(crowd_count_descriptors(&target) <= descriptors);
    crowd_close();
    crowd_check_recovers(&target);
}

static void restart(int daemon) {
    fleet_signal(&test_fleet.daemon_pids[daemon], SIGKILL);
    test_fleet.daemon_descriptors = FEW_DESCRIPTORS;
    CU_ASSERT_TRUE(fleet_start_daemon(&test_fleet, daemon, NULL));
    test_fleet.daemon_descriptors = 0;
    CU_ASSERT_TRUE(fleet_wait_ready(&test_fleet, daemon, START_MS));
}

static void online_callers_keep_nobody_out(void) {
    g_autofree char *bytes = slow_request();
    check_crowd(0, NULL, 0, "openai, 500 idle callers");
    slow_engines("{\"slow_step_ms\":2000}");
    check_crowd(0, bytes, 0, "openai, 500 callers wait on engines");
    slow_engines("{\"slow_step_ms\":0}");
}

static void online_few_descriptors_are_told(void) {
    g_autofree char *bytes = slow_request();
    restart(1);
    check_crowd(1, NULL, DESCRIPTORS_WITH_CROWD, "openai, 300 descriptors, 500 idle callers");
    slow_engines("{\"slow_step_ms\":2000}");
    check_crowd(1, bytes, DESCRIPTORS_WITH_CROWD,
                "openai, 300 descriptors, 500 callers wait on engines");
    slow_engines("{\"slow_step_ms\":0}");
}

const test_case online_taking_tests[] = {
    {"online_callers_keep_nobody_out", online_callers_keep_nobody_out},
    {"online_few_descriptors_are_told", online_few_descriptors_are_told},
    {NULL, NULL}};
