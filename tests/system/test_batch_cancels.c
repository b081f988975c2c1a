/** @file test_batch_cancels.c  System tests of cancelled batches whose owner lacks the platform. */
#include "base/clock.h"
#include "batch/batch_id.h"
#include "tests/support/fault_proxy.h"
#include "tests/system/system_tests.h"

#include <signal.h>

/** The daemon that reaches the platform through a proxy. */
#define CUT_DAEMON 2
#define ITEMS 600
#define ITEM_TOKENS 100
/** batch.grant_lease_ms: time in ms after a cancellation from which no item may start. */
#define GRANT_LEASE_MS 1500
/** Time in ms for which starts are counted after that. */
#define OBSERVED_MS 3000
#define START_TIMEOUT_MS 10000
#define MAX_FILES 100
#define POLL_MS 50

static fault_proxy *platform_proxy;

/** Restarts the cut daemon with @p platform_url. */
static bool restart_cut_daemon(const char *platform_url) {
    char direct_url[sizeof test_fleet.platform_url];
    fleet_signal(&test_fleet.daemon_pids[CUT_DAEMON], SIGTERM);
    g_strlcpy(direct_url, test_fleet.platform_url, sizeof direct_url);
    g_strlcpy(test_fleet.platform_url, platform_url, sizeof test_fleet.platform_url);
    bool is_started = fleet_start_daemon(&test_fleet, CUT_DAEMON, NULL);
    g_strlcpy(test_fleet.platform_url, direct_url, sizeof test_fleet.platform_url);
    return is_started && fleet_wait_ready(&test_fleet, CUT_DAEMON, START_TIMEOUT_MS);
}

int begin_batch_cancels(void) {
    if (begin_fleet() != 0)
        return -1;
    platform_proxy = fault_proxy_start((uint16_t)test_fleet.options.ports.platform);
    g_autofree char *url = g_strdup_printf("http://127.0.0.1:%u", fault_proxy_port(platform_proxy));
    return restart_cut_daemon(url) ? 0 : -1;
}

int end_batch_cancels(void) {
    int result = end_fleet();
    fault_proxy_stop(platform_proxy);
    return result;
}

/** Whether daemon 0 knows the cut daemon as the partition's owner. */
static bool is_owned_by_cut_daemon(uint32_t partition) {
    g_autofree char *id = g_strdup_printf("daemon-%d", CUT_DAEMON);
    json_t *status = NULL;
    bool is_owned = false;
    size_t index;
    json_t *member;
    client_call("GET", test_fleet.admin_urls[0], "/admin/v1/status", NULL, NULL, NULL, &status);
    json_array_foreach(json_object_get(status, "members"), index, member) {
        if (g_strcmp0(json_string_value(json_object_get(member, "id")), id) != 0)
            continue;
        size_t position;
        json_t *owned;
        json_array_foreach(json_object_get(member, "partitions"), position, owned) is_owned |=
            json_integer_value(owned) == (json_int_t)partition;
    }
    json_decref(status);
    return is_owned;
}

static bool owns_some_partition(void *user_data) {
    (void)user_data;
    bool is_owner = false;
    for (uint32_t partition = 0; partition < 8 && !is_owner; partition++)
        is_owner = is_owned_by_cut_daemon(partition);
    return is_owner;
}

/** Submits a batch in a partition that the cut daemon owns; its prompts begin with @p prefix. */
static char *submit_at_cut_daemon(const char *prefix) {
    CU_ASSERT_TRUE(wait_until(owns_some_partition, NULL, START_TIMEOUT_MS));
    for (int file = 0; file < MAX_FILES; file++) {
        g_autofree char *name = g_strdup_printf("%s-%d", prefix, file);
        g_autofree char *lines = test_lines(name, ITEMS, ITEM_TOKENS, 0);
        g_autofree char *file_id = NULL;
        uint32_t partition = 0;
        if (client_upload(test_fleet.caller_urls[0], TEST_TENANT, lines, &file_id) == 200 &&
            hs_id_partition(file_id, &partition) && is_owned_by_cut_daemon(partition))
            return submit_lines(lines, 0, 0, NULL);
    }
    return NULL;
}

static bool are_some_items_done(void *prefix) {
    return count_engine_runs(prefix, "done") > 0;
}

/** Cancels the batch, which must have items without a result, through daemon 0. */
static void cancel_batch(const char *job_id) {
    g_autofree char *path = g_strdup_printf("/v1/batches/%s/cancel", job_id);
    json_t *job = NULL;
    CU_ASSERT_EQUAL(
        client_call("POST", test_fleet.caller_urls[0], path, TEST_TENANT, "{}", NULL, &job), 200);
    CU_ASSERT(json_integer_value(
                  json_object_get(json_object_get(job, "request_counts"), "completed")) < ITEMS);
    json_decref(job);
}

/** Counts requests of the prefix that engines received after @p since_us. */
static int count_runs_since(const char *prefix, gint64 since_us) {
    json_t *records = fleet_engine_records(&test_fleet);
    int count = 0;
    size_t index;
    json_t *record;
    json_array_foreach(records, index, record) {
        const char *prompt = json_string_value(json_object_get(record, "prompt"));
        count += g_str_has_prefix(prompt, prefix) &&
                 json_integer_value(json_object_get(record, "received_us")) > since_us;
    }
    json_decref(records);
    return count;
}

/** Returns how many items start from GRANT_LEASE_MS after @p from_us on. */
static int count_late_runs(const char *prefix, gint64 from_us) {
    gint64 limit_us = from_us + GRANT_LEASE_MS * 1000;
    while (g_get_monotonic_time() < limit_us + OBSERVED_MS * 1000)
        hs_clock_sleep_ms(POLL_MS);
    return count_runs_since(prefix, limit_us);
}

/** Submits a batch at the cut daemon, waits for its first results, and cuts the daemon off. */
static char *begin_batch_and_cut(const char *prefix) {
    char *job_id = submit_at_cut_daemon(prefix);
    CU_ASSERT_PTR_NOT_NULL_FATAL(job_id);
    CU_ASSERT_TRUE(wait_until(are_some_items_done, (gpointer)prefix, START_TIMEOUT_MS));
    fault_proxy_set_mode(platform_proxy, PROXY_BLOCKS_ANSWERS);
    return job_id;
}

/** Guards against owners that learn of a cancellation only by reading it back from the platform. */
static void a_cancelled_batch_stops_while_its_owner_cannot_read(void) {
    g_autofree char *job_id = begin_batch_and_cut("unread");
    cancel_batch(job_id);
    CU_ASSERT_EQUAL(count_late_runs("unread", g_get_monotonic_time()), 0);
    fault_proxy_set_mode(platform_proxy, PROXY_FORWARDS);
}

/** Guards against owners that grant items from a state of unbounded age. */
static void items_with_results_do_not_run_again_while_their_owner_cannot_read(void) {
    g_autofree char *job_id = begin_batch_and_cut("finished");
    CU_ASSERT_EQUAL(count_late_runs("finished", g_get_monotonic_time()), 0);
    fault_proxy_set_mode(platform_proxy, PROXY_FORWARDS);
    cancel_batch(job_id);
}

const test_case batch_cancel_tests[] = {
    {"a_cancelled_batch_stops_while_its_owner_cannot_read",
     a_cancelled_batch_stops_while_its_owner_cannot_read},
    {"items_with_results_do_not_run_again_while_their_owner_cannot_read",
     items_with_results_do_not_run_again_while_their_owner_cannot_read},
    {NULL, NULL},
};
