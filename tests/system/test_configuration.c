/** @file test_configuration.c  Configuration under concurrent writes, outages and restarts. */
#include "base/clock.h"
#include "tests/system/system_tests.h"

#include <signal.h>
#include <string.h>

#define DAEMONS 3
#define WRITERS 6
#define SYNC_TIMEOUT_MS 10000

static json_int_t get_offset(int daemon) {
    json_t *status = NULL;
    client_call("GET", test_fleet.admin_urls[daemon], "/admin/v1/status", NULL, NULL, NULL,
                &status);
    json_int_t offset = json_integer_value(json_object_get(status, "config_offset"));
    json_decref(status);
    return offset;
}

static bool are_offsets_equal(void *user_data) {
    (void)user_data;
    json_int_t first = get_offset(0);
    return first > 0 && get_offset(1) == first && get_offset(2) == first;
}

static long put_limit(int daemon, const char *name, int value, client_headers headers) {
    g_autofree char *path = g_strdup_printf("/admin/v1/limits/%s", name);
    g_autofree char *body = g_strdup_printf("{\"max_in_flight\":%d}", value);
    return client_call("PUT", test_fleet.admin_urls[daemon], path, NULL, body, headers, NULL);
}

static int get_limit(int daemon, const char *name) {
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
} limit_writer;

static gpointer write_limit(gpointer data) {
    static const char *const absent[] = {"If-Match", "\"0\"", NULL};
    limit_writer *self = data;
    self->status = put_limit(self->number % DAEMONS, "raced", self->number + 1, absent);
    return NULL;
}

static void one_of_concurrent_conditional_writes_succeeds(void) {
    limit_writer writers[WRITERS];
    GThread *threads[WRITERS];
    int succeeded = 0;
    int refused = 0;
    int written_value = 0;
    for (int index = 0; index < WRITERS; index++) {
        writers[index] = (limit_writer){.number = index};
        threads[index] = g_thread_new("race", write_limit, &writers[index]);
    }
    for (int index = 0; index < WRITERS; index++) {
        g_thread_join(threads[index]);
        succeeded += writers[index].status == 200;
        refused += writers[index].status == 412;
        if (writers[index].status == 200)
            written_value = index + 1;
    }
    CU_ASSERT_EQUAL(succeeded, 1);
    CU_ASSERT_EQUAL(refused, WRITERS - 1);
    CU_ASSERT_TRUE(wait_until(are_offsets_equal, NULL, SYNC_TIMEOUT_MS));
    for (int daemon = 0; daemon < DAEMONS; daemon++)
        CU_ASSERT_EQUAL(get_limit(daemon, "raced"), written_value);
}

static bool can_complete(int daemon) {
    return client_call("POST", test_fleet.caller_urls[daemon], "/v1/completions", TEST_TENANT,
                       "{\"model\":\"drafting-7b\",\"max_tokens\":1,\"prompt\":\"outage\"}", NULL,
                       NULL) == 200;
}

static void refused_publish_changes_nothing_and_serving_goes_on(void) {
    CU_ASSERT_TRUE(fleet_set_faults(test_fleet.platform_url, "{\"refuse\":true}"));
    CU_ASSERT_EQUAL(put_limit(0, "refused", 1, NULL), 503);
    for (int daemon = 0; daemon < DAEMONS; daemon++)
        CU_ASSERT_TRUE(can_complete(daemon));
    CU_ASSERT_TRUE(fleet_set_faults(test_fleet.platform_url, "{\"refuse\":false}"));
    CU_ASSERT_EQUAL(put_limit(1, "after-refusal", 2, NULL), 200);
    CU_ASSERT_TRUE(wait_until(are_offsets_equal, NULL, SYNC_TIMEOUT_MS));
    for (int daemon = 0; daemon < DAEMONS; daemon++)
        CU_ASSERT_EQUAL(get_limit(daemon, "refused"), 0);
}

static void lost_publish_answer_is_read_back_as_accepted(void) {
    CU_ASSERT_TRUE(fleet_set_faults(
        test_fleet.platform_url, "{\"lose_answer\":{\"count\":1,\"stream_prefix\":\"config\"}}"));
    CU_ASSERT_EQUAL(put_limit(0, "answer-lost", 3, NULL), 200);
    CU_ASSERT_TRUE(wait_until(are_offsets_equal, NULL, SYNC_TIMEOUT_MS));
    for (int daemon = 0; daemon < DAEMONS; daemon++)
        CU_ASSERT_EQUAL(get_limit(daemon, "answer-lost"), 3);
}

static void stalled_daemon_catches_up_before_it_serves(void) {
    json_int_t before = get_offset(1);
    fleet_signal(&test_fleet.daemon_pids[1], SIGSTOP);
    for (int change = 0; change < 10; change++)
        CU_ASSERT_EQUAL(put_limit(0, "while-frozen", change + 1, NULL), 200);
    fleet_signal(&test_fleet.daemon_pids[1], SIGCONT);
    json_int_t last = before;
    uint64_t deadline_ms = hs_clock_monotonic_ms() + SYNC_TIMEOUT_MS;
    while (last < before + 10 && hs_clock_monotonic_ms() < deadline_ms) {
        json_int_t now = get_offset(1);
        CU_ASSERT(now >= last);
        last = now;
    }
    CU_ASSERT_EQUAL(last, before + 10);
    CU_ASSERT_EQUAL(get_limit(1, "while-frozen"), 10);
    CU_ASSERT_TRUE(fleet_wait_ready(&test_fleet, 1, SYNC_TIMEOUT_MS));
}

static bool is_serving(void *user_data) {
    (void)user_data;
    return can_complete(2);
}

static void daemon_started_in_an_outage_loads_configuration_from_peers(void) {
    CU_ASSERT_EQUAL(fleet_signal(&test_fleet.daemon_pids[2], SIGTERM), 0);
    CU_ASSERT_EQUAL(put_limit(0, "before-outage", 4, NULL), 200);
    CU_ASSERT_TRUE(fleet_set_faults(test_fleet.platform_url, "{\"down\":true}"));
    fleet_start_daemon(&test_fleet, 2, NULL);
    CU_ASSERT_TRUE(fleet_wait_ready(&test_fleet, 2, SYNC_TIMEOUT_MS));
    CU_ASSERT_EQUAL(get_limit(2, "before-outage"), 4);
    CU_ASSERT_TRUE(wait_until(is_serving, NULL, SYNC_TIMEOUT_MS));
    CU_ASSERT_TRUE(fleet_set_faults(test_fleet.platform_url, "{\"down\":false}"));
    CU_ASSERT_EQUAL(put_limit(2, "after-outage", 5, NULL), 200);
    CU_ASSERT_TRUE(wait_until(are_offsets_equal, NULL, SYNC_TIMEOUT_MS));
}

const test_case configuration_tests[] = {
    {"one_of_concurrent_conditional_writes_succeeds",
     one_of_concurrent_conditional_writes_succeeds},
    {"refused_publish_changes_nothing_and_serving_goes_on",
     refused_publish_changes_nothing_and_serving_goes_on},
    {"lost_publish_answer_is_read_back_as_accepted", lost_publish_answer_is_read_back_as_accepted},
    {"stalled_daemon_catches_up_before_it_serves", stalled_daemon_catches_up_before_it_serves},
    {"daemon_started_in_an_outage_loads_configuration_from_peers",
     daemon_started_in_an_outage_loads_configuration_from_peers},
    {NULL, NULL}};
