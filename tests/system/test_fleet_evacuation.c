/** @file test_fleet_evacuation.c  System test of an evacuation: requests and items of three
 * daemons. */
#include "base/clock.h"
#include "http/http_fields.h"
#include "platform/names.h"
#include "standin/log_store/log_store.h"
#include "tests/support/fault_proxy.h"
#include "tests/system/fleet_calls.h"
#include "tests/system/system_tests.h"

#include <CUnit/CUnit.h>
#include <signal.h>
#include <string.h>

/** Time in ms within which a record reaches all daemons. */
#define PROPAGATION_MS 3000
/** Time in ms in which a daemon joins or leaves the group of owners. */
#define MEMBERSHIP_CHANGE_MS 2000
#define REQUESTS 12
#define ITEMS 4

static void set_evacuated(const char *value) {
    log_store_put(bench.store, TOPIC_CONFIG, KEY_EVACUATE_PREFIX "zone-a", value);
}

/** Waits until all daemons report the state of the zone. */
static bool is_known_everywhere(int expected) {
    uint64_t until_ms = hs_clock_monotonic_ms() + PROPAGATION_MS;
    bool is_known = false;
    while (!is_known && hs_clock_monotonic_ms() < until_ms) {
        is_known = true;
        for (int daemon = 0; daemon < bench_daemon_count(); daemon++)
            is_known = get_daemon_metric(daemon, "heathsail_zone_evacuated{zone=\"zone-a\"} ") ==
                           expected &&
                       is_known;
        hs_clock_sleep_ms(20);
    }
    return is_known;
}

/** Sends requests to all daemons in turn, and returns how many got the status. */
static int count_answers(const char *prefix, uint32_t status) {
    int count = 0;
    for (int index = 0; index < REQUESTS; index++) {
        g_autofree char *id = g_strdup_printf("%s-%d", prefix, index);
        bench_answer answer = post_request(index % bench_daemon_count(), "/plain/x", id);
        bool has_retry = answer.fields != NULL && hs_http_fields_find(answer.fields, "Retry-After");
        count += answer.status == status && has_retry == (status == 503);
        CU_ASSERT_EQUAL(bench_run_count(id), status == 200);
        bench_answer_clear(&answer);
    }
    return count;
}

/** Starts the last daemon anew, with the store at @p store_port. */
static void restart_last_daemon(uint16_t store_port) {
    int daemon = bench_daemon_count() - 1;
    bench_signal_daemon(daemon, SIGKILL);
    bench.store_ports[daemon] = store_port;
    CU_ASSERT_TRUE(bench_start_daemon(daemon, false));
    CU_ASSERT_TRUE(bench_wait_ready(daemon));
}

/**
 * Guards against requests and items that reach the engines of an evacuated zone. The store rejects
 * one of the daemons, which learns of the evacuation from others.
 */
static void an_evacuated_zone_gets_neither_requests_nor_items(void) {
    fault_proxy *proxy = fault_proxy_start(log_store_port(bench.store));
    restart_last_daemon(fault_proxy_port(proxy));
    CU_ASSERT_EQUAL(count_answers("before", 200), REQUESTS);
    hs_clock_sleep_ms(MEMBERSHIP_CHANGE_MS);
    fault_proxy_set_mode(proxy, PROXY_RESETS);
    hs_clock_sleep_ms(MEMBERSHIP_CHANGE_MS); /* Its partitions are assigned to other daemons. */
    set_evacuated("{}");
    CU_ASSERT_TRUE_FATAL(is_known_everywhere(1));
    CU_ASSERT_EQUAL(submit_job(0, "evacuated-job", ITEMS), 202);
    uint64_t started_ms = hs_clock_monotonic_ms();
    CU_ASSERT_EQUAL(count_answers("during", 503), REQUESTS);
    CU_ASSERT(hs_clock_monotonic_ms() < started_ms + 2000); /* Refused at once. */
    CU_ASSERT(get_daemon_metric(0, "heathsail_requests_ended{reason=\"zones_evacuated\"} ") > 0);
    hs_clock_sleep_ms(500);
    CU_ASSERT_EQUAL(count_open_engine_runs(), 0);
    set_evacuated("");
    CU_ASSERT_TRUE_FATAL(is_known_everywhere(0));
    CU_ASSERT_EQUAL(count_answers("after", 200), REQUESTS);
    g_autofree char *page = bench_wait_job(0, "evacuated-job", ITEMS, JOB_LIMIT_MS);
    CU_ASSERT_PTR_NOT_NULL(page);
    if (page != NULL)
        check_job_results(page, ITEMS);
    fault_proxy_set_mode(proxy, PROXY_FORWARDS);
    restart_last_daemon(0);
    fault_proxy_stop(proxy);
}

const test_case fleet_evacuation_system_tests[] = {
    {"an_evacuated_zone_gets_neither_requests_nor_items",
     an_evacuated_zone_gets_neither_requests_nor_items},
    {NULL, NULL}};
