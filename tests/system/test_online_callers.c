/** @file test_online_callers.c  OpenAI surface: callers that disconnect early. */
#include "base/clock.h"
#include "tests/system/disconnecting_callers.h"
#include "tests/system/system_tests.h"

#include <signal.h>
#include <string.h>

#define CALLERS 200
#define SEED 20261203
#define MAX_CLOSE_DELAY_MS 800
#define MAX_CONNECT_DELAY_MS 2000
/** Interval between changes of the engines' faults. */
#define FAULT_INTERVAL_MS 150
/** Time to record the engines' work after the last close. */
#define OBSERVATION_MS 3000
#define US_PER_MS 1000
#define DAEMONS 3
#define UNREAD_CALLERS 40
/** Time for which the daemon is stopped. */
#define DAEMON_STOP_MS 900

static char *make_request(const char *id, bool streams, bool sends_half) {
    g_autofree char *body = g_strdup_printf("{\"model\":\"drafting-7b\",\"max_tokens\":1500,"
                                            "\"stream\":%s,\"prompt\":\"%s\"}",
                                            streams ? "true" : "false", id);
    size_t length = strlen(body);
    if (sends_half)
        body[length / 2] = '\0';
    return g_strdup_printf("POST /v1/completions HTTP/1.1\r\nHost: a\r\nContent-Type: "
                           "application/json\r\nAuthorization: Bearer " TEST_TENANT
                           "\r\nContent-Length: %zu\r\n\r\n%s",
                           length, body);
}

static void make_callers(disconnecting_caller *callers) {
    GRand *random = g_rand_new_with_seed(SEED);
    uint64_t now_ms = hs_clock_monotonic_ms();
    for (guint index = 0; index < CALLERS; index++) {
        disconnecting_caller *caller = &callers[index];
        bool closes_at_once = index % 7 == 0;
        g_snprintf(caller->id, sizeof caller->id, "leaver-%u", index);
        caller->port = (uint16_t)(test_fleet.options.ports.caller + (int)(index % DAEMONS));
        caller->bytes = make_request(caller->id, index % 2 == 0, index % 11 == 0);
        caller->connect_at_ms =
            now_ms + (uint64_t)g_rand_int_range(random, 0, MAX_CONNECT_DELAY_MS);
        caller->close_delay_ms =
            closes_at_once ? 0 : (uint32_t)g_rand_int_range(random, 0, MAX_CLOSE_DELAY_MS);
    }
    g_rand_free(random);
}

static void set_faults(int index, const char *faults) {
    fleet_set_faults(test_fleet.engine_urls[index], faults);
}

static gpointer change_faults(gpointer data) {
    static const char *const faults[] = {
        "{\"refuse\":false,\"slow_step_ms\":40}", "{\"refuse\":true}",
        "{\"refuse\":false,\"cut_count\":5,\"cut_after_tokens\":2,\"slow_step_ms\":0}",
        "{\"refuse\":false,\"slow_step_ms\":300}"};
    gint *stopping = data;
    for (guint turn = 0; g_atomic_int_get(stopping) == 0; turn++) {
        for (int index = 0; index < test_fleet.engine_count; index++)
            set_faults(index, faults[(turn + (guint)index) % G_N_ELEMENTS(faults)]);
        hs_clock_sleep_ms(FAULT_INTERVAL_MS);
    }
    for (int index = 0; index < test_fleet.engine_count; index++)
        set_faults(index, "{\"refuse\":false,\"cut_count\":0,\"slow_step_ms\":0}");
    return NULL;
}

static uint64_t get_time_ms(const json_t *record, const char *name) {
    return (uint64_t)json_integer_value(json_object_get(record, name)) / US_PER_MS;
}

static void check_engine_work(const disconnecting_caller *callers, guint count, const char *title) {
    disconnect_stats figures = disconnect_stats_new(callers, count);
    json_t *records = fleet_engine_records(&test_fleet);
    size_t index;
    json_t *record;
    json_array_foreach(records, index, record)
        disconnect_stats_add(&figures, json_string_value(json_object_get(record, "prompt")),
                             get_time_ms(record, "received_us"), get_time_ms(record, "ended_us"));
    json_decref(records);
    disconnect_stats_check(&figures, title);
}

static void free_bytes(disconnecting_caller *callers, guint count) {
    for (guint index = 0; index < count; index++)
        g_free(callers[index].bytes);
}

/** Guards against engine work for disconnected callers, with and without streaming. */
static void online_engine_work_stops_after_callers_disconnect(void) {
    disconnecting_caller callers[CALLERS] = {0};
    gint stopping = 0;
    make_callers(callers);
    GThread *changes = g_thread_new("changes", change_faults, &stopping);
    disconnecting_callers_run(callers, CALLERS);
    hs_clock_sleep_ms(OBSERVATION_MS);
    g_atomic_int_set(&stopping, 1);
    g_thread_join(changes);
    check_engine_work(callers, CALLERS, "openai, callers that disconnect");
    free_bytes(callers, CALLERS);
}

/** Guards against sending requests to engines whose callers closed before the daemon read them. */
static void online_requests_of_closed_connections_are_not_sent(void) {
    disconnecting_caller callers[UNREAD_CALLERS] = {0};
    for (guint index = 0; index < UNREAD_CALLERS; index++) {
        g_snprintf(callers[index].id, sizeof callers[index].id, "unread-%u", index);
        callers[index].port = (uint16_t)test_fleet.options.ports.caller;
        callers[index].bytes = make_request(callers[index].id, index % 2 == 0, false);
    }
    CU_ASSERT_EQUAL(kill(test_fleet.daemon_pids[0], SIGSTOP), 0);
    disconnecting_callers_run(callers, UNREAD_CALLERS);
    hs_clock_sleep_ms(DAEMON_STOP_MS);
    CU_ASSERT_EQUAL(kill(test_fleet.daemon_pids[0], SIGCONT), 0);
    hs_clock_sleep_ms(DAEMON_STOP_MS);
    check_engine_work(callers, UNREAD_CALLERS, "openai, requests of closed connections");
    free_bytes(callers, UNREAD_CALLERS);
}

const test_case online_caller_tests[] = {{"online_engine_work_stops_after_callers_disconnect",
                                          online_engine_work_stops_after_callers_disconnect},
                                         {"online_requests_of_closed_connections_are_not_sent",
                                          online_requests_of_closed_connections_are_not_sent},
                                         {NULL, NULL}};
