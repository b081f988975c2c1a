/**
 * @file test_fleet_waking.c
 * System tests of a daemon that was suspended for seconds: it must not report ready or use its
 * outdated configuration and engine list before it has read the store again.
 */
#include "base/clock.h"
#include "tests/system/fleet_calls.h"
#include "tests/system/system_tests.h"

#include <signal.h>
#include <string.h>

/** Suspension in ms, longer than one that a daemon ignores. */
#define SUSPENSION_MS 2500
/** Time in ms for a resumed daemon to detect the suspension: two ticks with a margin. */
#define DETECTION_MS 300
/** Time in ms without the store, longer than a daemon takes to read answers sent before. */
#define STORE_UNAVAILABLE_MS 1500
#define POLL_MS 100
#define SUSPENSIONS_METRIC "heathsail_stood_still_ms_count "
/** The daemon that is suspended. */
#define SUSPENDED_DAEMON 2

static uint32_t ready_status(int daemon) {
    bench_answer answer = bench_send(
        &(bench_call){.method = "GET", .target = "/ready", .port = bench_ready_port(daemon)});
    uint32_t status = answer.status;
    bench_answer_clear(&answer);
    return status;
}

static void suspend(int daemon) {
    bench_signal_daemon(daemon, SIGSTOP);
    hs_clock_sleep_ms(SUSPENSION_MS);
    bench_signal_daemon(daemon, SIGCONT);
    hs_clock_sleep_ms(DETECTION_MS);
}

/** The store is unavailable when the daemon resumes; the other daemons stay ready. */
static void a_resumed_daemon_is_ready_after_reading_the_store(void) {
    CU_ASSERT_EQUAL(ready_status(SUSPENDED_DAEMON), 200);
    CU_ASSERT_EQUAL(get_daemon_metric(SUSPENDED_DAEMON, SUSPENSIONS_METRIC), 0);
    log_store_set_mode(bench.store, LOG_STORE_REFUSES, NULL, G_MAXUINT32);
    suspend(SUSPENDED_DAEMON);
    uint64_t until_ms = hs_clock_monotonic_ms() + STORE_UNAVAILABLE_MS;
    do {
        CU_ASSERT_EQUAL(ready_status(SUSPENDED_DAEMON), 503);
        CU_ASSERT_EQUAL(ready_status(0), 200);
        hs_clock_sleep_ms(POLL_MS);
    } while (hs_clock_monotonic_ms() < until_ms);
    CU_ASSERT_EQUAL(get_daemon_metric(SUSPENDED_DAEMON, SUSPENSIONS_METRIC), 1);
    log_store_set_mode(bench.store, LOG_STORE_HEALTHY, NULL, 0);
    CU_ASSERT_TRUE(bench_wait_ready(SUSPENDED_DAEMON));
    CU_ASSERT_EQUAL(get_daemon_metric(0, SUSPENSIONS_METRIC), 0);
}

static void a_resumed_daemon_serves_again(void) {
    suspend(SUSPENDED_DAEMON);
    CU_ASSERT_TRUE(bench_wait_ready(SUSPENDED_DAEMON));
    bench_answer answer = post_request(SUSPENDED_DAEMON, "/once/x", "after-the-wake");
    CU_ASSERT_EQUAL(answer.status, 200);
    CU_ASSERT_TRUE(answer.whole);
    bench_answer_clear(&answer);
    CU_ASSERT_EQUAL(get_daemon_metric(SUSPENDED_DAEMON, SUSPENSIONS_METRIC), 2);
}

const test_case fleet_waking_system_tests[] = {
    {"a_resumed_daemon_is_ready_after_reading_the_store",
     a_resumed_daemon_is_ready_after_reading_the_store},
    {"a_resumed_daemon_serves_again", a_resumed_daemon_serves_again},
    {NULL, NULL},
};
