/**
 * @file test_fleet_peer_state.c
 * System test of a daemon that restarts while the store does not answer it: it gets configuration
 * and engines from another daemon, and follows the store as soon as it answers.
 */
#include "base/clock.h"
#include "platform/names.h"
#include "standin/log_store/log_store.h"
#include "tests/system/fleet_calls.h"
#include "tests/system/system_tests.h"

#include <signal.h>

#define RESTARTED_DAEMON 2
/** Limit in ms for the restarted daemon to serve: the wait for the store and one query. */
#define SERVING_LIMIT_MS 2500
/** Limit in ms for the store's list to replace the engines, the time after an outage included. */
#define REPLACED_LIMIT_MS 6000

static void a_daemon_serves_while_the_store_is_silent(void) {
    log_store *silent = log_store_start(0);
    log_store_set_mode(silent, LOG_STORE_UNRESPONSIVE, NULL, G_MAXUINT32);
    bench.store_ports[RESTARTED_DAEMON] = log_store_port(silent);
    bench_signal_daemon(RESTARTED_DAEMON, SIGKILL);
    uint64_t started_ms = hs_clock_monotonic_ms();
    CU_ASSERT_TRUE(bench_start_daemon(RESTARTED_DAEMON, false));
    CU_ASSERT_TRUE(bench_wait_ready(RESTARTED_DAEMON));
    CU_ASSERT(hs_clock_monotonic_ms() - started_ms < SERVING_LIMIT_MS);
    bench_answer answer = post_request(RESTARTED_DAEMON, "/plain/x", "without-the-store");
    CU_ASSERT_EQUAL(answer.status, 200);
    CU_ASSERT_TRUE(answer.whole);
    bench_answer_clear(&answer);
    /* The daemon's store now answers; it lists no engine. */
    log_store_set_mode(silent, LOG_STORE_HEALTHY, NULL, 0);
    uint32_t status = 200;
    started_ms = hs_clock_monotonic_ms();
    while (status == 200 && hs_clock_monotonic_ms() < started_ms + REPLACED_LIMIT_MS) {
        hs_clock_sleep_ms(100);
        answer = post_request(RESTARTED_DAEMON, "/plain/x", "with-the-store");
        status = answer.status;
        bench_answer_clear(&answer);
    }
    CU_ASSERT_EQUAL(status, 503);
    bench_signal_daemon(RESTARTED_DAEMON, SIGKILL);
    bench.store_ports[RESTARTED_DAEMON] = 0;
    log_store_stop(silent);
}

const test_case fleet_peer_state_system_tests[] = {
    {"a_daemon_serves_while_the_store_is_silent", a_daemon_serves_while_the_store_is_silent},
    {NULL, NULL}};
