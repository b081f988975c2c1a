/**
 * @file test_fleet_waking.c
 * A daemon that stood still for seconds, as a machine that is suspended does: what it knows is old.
 *
 * What users would see without the check: a daemon that wakes says at once that it is ready, and
 * sends by a configuration and to engines that all others have long given up.
 */
#include "base/clock.h"
#include "tests/system/fleet_calls.h"
#include "tests/system/system_tests.h"

#include <signal.h>
#include <string.h>

/** Longer in ms than a daemon may stand still unnoticed. */
#define STILL_MS 2500
/** A daemon that woke notices it so soon, in ms: two rounds of its ticker and some. */
#define NOTICE_MS 300
/** Longer in ms than the answers that were on their way as it stood still need to be read. */
#define AWAY_MS 1500
#define POLL_MS 100
#define WAKES "heathsail_stood_still_ms_count "
/** The sleeping daemon. */
#define SLEEPER 2

static uint32_t ready_status(int daemon) {
    bench_answer answer = bench_send(
        &(bench_call){.method = "GET", .target = "/ready", .port = bench_ready_port(daemon)});
    uint32_t status = answer.status;
    bench_answer_clear(&answer);
    return status;
}

static void stand_still(int daemon) {
    bench_signal(daemon, SIGSTOP);
    hs_clock_sleep_ms(STILL_MS);
    bench_signal(daemon, SIGCONT);
    hs_clock_sleep_ms(NOTICE_MS);
}

/** The store is away as it wakes: not ready until it was read again; the others stay ready. */
static void a_daemon_that_wakes_is_ready_once_it_read_the_store(void) {
    CU_ASSERT_EQUAL(ready_status(SLEEPER), 200);
    CU_ASSERT_EQUAL(metric_of(SLEEPER, WAKES), 0);
    log_store_set_mode(bench.store, LOG_STORE_REFUSES, NULL, G_MAXUINT32);
    stand_still(SLEEPER);
    uint64_t until_ms = hs_clock_monotonic_ms() + AWAY_MS;
    do {
        CU_ASSERT_EQUAL(ready_status(SLEEPER), 503);
        CU_ASSERT_EQUAL(ready_status(0), 200);
        hs_clock_sleep_ms(POLL_MS);
    } while (hs_clock_monotonic_ms() < until_ms);
    CU_ASSERT_EQUAL(metric_of(SLEEPER, WAKES), 1);
    log_store_set_mode(bench.store, LOG_STORE_SOUND, NULL, 0);
    CU_ASSERT_TRUE(bench_wait_ready(SLEEPER));
    CU_ASSERT_EQUAL(metric_of(0, WAKES), 0);
}

/** With the store at hand it is ready again by itself, and serves. */
static void a_daemon_that_wakes_serves_again(void) {
    stand_still(SLEEPER);
    CU_ASSERT_TRUE(bench_wait_ready(SLEEPER));
    bench_answer answer = post_request(SLEEPER, "/once/x", "after-the-wake");
    CU_ASSERT_EQUAL(answer.status, 200);
    CU_ASSERT_TRUE(answer.whole);
    bench_answer_clear(&answer);
    CU_ASSERT_EQUAL(metric_of(SLEEPER, WAKES), 2);
}

const test_case fleet_waking_system_tests[] = {
    {"a_daemon_that_wakes_is_ready_once_it_read_the_store",
     a_daemon_that_wakes_is_ready_once_it_read_the_store},
    {"a_daemon_that_wakes_serves_again", a_daemon_that_wakes_serves_again},
    {NULL, NULL},
};
