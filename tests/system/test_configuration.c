/** @file test_configuration.c  Configuration under races, outages, freezes and starts. */
#include "base/clock.h"
#include "tests/system/system_tests.h"

#include <signal.h>
#include <string.h>

#define DAEMONS 3
#define RACERS 6
#define LEVEL_TIMEOUT_MS 10000

static json_int_t offset_of(int daemon) {
    json_t *status = NULL;
    client_call("GET", test_fleet.admin_urls[daemon], "/admin/v1/status", NULL, NULL, NULL,
                &status);
    json_int_t offset = json_integer_value(json_object_get(status, "config_offset"));
    json_decref(status);
    return offset;
}

static bool offsets_are_level(void *user_data) {
    (void)user_data;
    json_int_t first = offset_of(0);
    return first > 0 && offset_of(1) == first && offset_of(2) == first;
}

static long put_limit(int daemon, const char *name, int value, client_headers headers) {
    g_autofree char *path = g_strdup_printf("/admin/v1/limits/%s", name);
    g_autofree char *body = g_strdup_printf("{\"max_in_flight\":%d}", value);
    return client_call("PUT", test_fleet.admin_urls[daemon], path, NULL, body, headers, NULL);
}

static int value_on(int daemon, const char *name) {
    g_autofree char *path = g_strdup_printf("/admin/v1/limits/%s", name);
    json_t *object = NULL;
    client_call("GET", test_fleet.admin_urls[daemon], path, NULL, NULL, NULL, &object);
    int value = (int)json_integer_value(
        json_object_get(json_object_get(object, "object"), "max_in_flight"));
    json_decref(object);
    return value;
}

typedef struct {
    int number;
    long status;
} racer;

static gpointer race(gpointer data) {
    static const char *const absent[] = {"If-Match", "\"0\"", NULL};
    racer *self = data;
    self->status = put_limit(self->number % DAEMONS, "raced", self->number + 1, absent);
    return NULL;
}

static void one_of_racing_operators_wins(void) {
    racer racers[RACERS];
    GThread *threads[RACERS];
    int winners = 0;
    int losers = 0;
    int winning_value = 0;
    for (int index = 0; index < RACERS; index++) {
        racers[index] = (racer){.number = index};
        threads[index] = g_thread_new("race", race, &racers[index]);
    }
    for (int index = 0; index < RACERS; index++) {
        g_thread_join(threads[index]);
        winners += racers[index].status == 200;
        losers += racers[index].status == 412;
        if (racers[index].status == 200)
            winning_value = index + 1;
    }
    CU_ASSERT_EQUAL(winners, 1);
    CU_ASSERT_EQUAL(losers, RACERS - 1);
    CU_ASSERT_TRUE(wait_until(offsets_are_level, NULL, LEVEL_TIMEOUT_MS));
    for (int daemon = 0; daemon < DAEMONS; daemon++)
        CU_ASSERT_EQUAL(value_on(daemon, "raced"), winning_value);
}

static bool completes(int daemon) {
    return client_call("POST", test_fleet.caller_urls[daemon], "/v1/completions", TEST_TENANT,
                       "{\"model\":\"drafting-7b\",\"max_tokens\":1,\"prompt\":\"outage\"}", NULL,
                       NULL) == 200;
}

static void refused_publish_changes_nothing_and_serving_goes_on(void) {
    CU_ASSERT_TRUE(fleet_set_faults(test_fleet.platform_url, "{\"refuse\":true}"));
    CU_ASSERT_EQUAL(put_limit(0, "refused", 1, NULL), 503);
    for (int daemon = 0; daemon < DAEMONS; daemon++)
        CU_ASSERT_TRUE(completes(daemon));
    CU_ASSERT_TRUE(fleet_set_faults(test_fleet.platform_url, "{\"refuse\":false}"));
    CU_ASSERT_EQUAL(put_limit(1, "after-refusal", 2, NULL), 200);
    CU_ASSERT_TRUE(wait_until(offsets_are_level, NULL, LEVEL_TIMEOUT_MS));
    for (int daemon = 0; daemon < DAEMONS; daemon++)
        CU_ASSERT_EQUAL(value_on(daemon, "refused"), 0);
}

static void lost_answer_is_read_back_as_accepted(void) {
    CU_ASSERT_TRUE(fleet_set_faults(
        test_fleet.platform_url, "{\"lose_answer\":{\"count\":1,\"stream_prefix\":\"config\"}}"));
    CU_ASSERT_EQUAL(put_limit(0, "answer-lost", 3, NULL), 200);
    CU_ASSERT_TRUE(wait_until(offsets_are_level, NULL, LEVEL_TIMEOUT_MS));
    for (int daemon = 0; daemon < DAEMONS; daemon++)
        CU_ASSERT_EQUAL(value_on(daemon, "answer-lost"), 3);
}

static void frozen_daemon_catches_up_before_it_serves(void) {
    json_int_t before = offset_of(1);
    fleet_signal(&test_fleet.daemon_pids[1], SIGSTOP);
    for (int change = 0; change < 10; change++)
        CU_ASSERT_EQUAL(put_limit(0, "while-frozen", change + 1, NULL), 200);
    fleet_signal(&test_fleet.daemon_pids[1], SIGCONT);
    json_int_t last = before;
    uint64_t deadline_ms = hs_clock_monotonic_ms() + LEVEL_TIMEOUT_MS;
    while (last < before + 10 && hs_clock_monotonic_ms() < deadline_ms) {
        json_int_t now = offset_of(1);
        CU_ASSERT(now >= last);
        last = now;
    }
    CU_ASSERT_EQUAL(last, before + 10);
    CU_ASSERT_EQUAL(value_on(1, "while-frozen"), 10);
    CU_ASSERT_TRUE(fleet_wait_ready(&test_fleet, 1, LEVEL_TIMEOUT_MS));
}

static bool routes_and_completes(void *user_data) {
    (void)user_data;
    return completes(2);
}

static void daemon_started_in_an_outage_takes_its_peers_configuration(void) {
    CU_ASSERT_EQUAL(fleet_signal(&test_fleet.daemon_pids[2], SIGTERM), 0);
    CU_ASSERT_EQUAL(put_limit(0, "before-outage", 4, NULL), 200);
    CU_ASSERT_TRUE(fleet_set_faults(test_fleet.platform_url, "{\"down\":true}"));
    fleet_start_daemon(&test_fleet, 2, NULL);
    CU_ASSERT_TRUE(fleet_wait_ready(&test_fleet, 2, LEVEL_TIMEOUT_MS));
    CU_ASSERT_EQUAL(value_on(2, "before-outage"), 4);
    CU_ASSERT_TRUE(wait_until(routes_and_completes, NULL, LEVEL_TIMEOUT_MS));
    CU_ASSERT_TRUE(fleet_set_faults(test_fleet.platform_url, "{\"down\":false}"));
    CU_ASSERT_EQUAL(put_limit(2, "after-outage", 5, NULL), 200);
    CU_ASSERT_TRUE(wait_until(offsets_are_level, NULL, LEVEL_TIMEOUT_MS));
}

const test_case configuration_tests[] = {
    {"one_of_racing_operators_wins", one_of_racing_operators_wins},
    {"refused_publish_changes_nothing_and_serving_goes_on",
     refused_publish_changes_nothing_and_serving_goes_on},
    {"lost_answer_is_read_back_as_accepted", lost_answer_is_read_back_as_accepted},
    {"frozen_daemon_catches_up_before_it_serves", frozen_daemon_catches_up_before_it_serves},
    {"daemon_started_in_an_outage_takes_its_peers_configuration",
     daemon_started_in_an_outage_takes_its_peers_configuration},
    {NULL, NULL}};
