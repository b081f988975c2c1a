/**
 * @file test_fleet_silence.c
 * System tests of open connections that go silent without a close while new connections work. If
 * the peer's kernel still acknowledges data, only the daemons' timeouts detect the loss; if all
 * packets are dropped, the daemons' kernel detects it.
 */
#include "base/clock.h"
#include "platform/names.h"
#include "tests/support/fault_proxy.h"
#include "tests/support/raw_caller.h"
#include "tests/system/fleet_calls.h"
#include "tests/system/system_tests.h"

#include <glib/gstdio.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

/** The routes' target latency in ms; see bench_configure. */
#define TARGET_MS 300
/** Requests after which a daemon has idle connections to both engines and knows their latencies. */
#define WARM_REQUESTS 30
/** Limit in ms for a stored configuration to be applied: fleet.config_apply_ms. */
#define APPLY_MS 2000
/** Idle time in ms after which a connection gets no run-once request but is still kept open. */
#define LONG_IDLE_MS 2500
#define POLL_MS 20
/** Time in ms for the kernel to send the delayed acknowledgements of earlier exchanges. */
#define DELAYED_ACK_MS 100
/** Limit in ms for the events of a complete stream. */
#define STREAM_LIMIT_MS 300
/** Limit in ms for a run-once request to end: fleet.once_unacknowledged_ms with a margin. */
#define RUN_ONCE_LIMIT_MS 1200
/** Step in ms of the time at which the store goes silent within the daemons' read interval. */
#define PHASE_STEP_MS 230
/** The caller_silence_ms setting, and the limit in ms for a silent caller to be detected. */
#define CALLER_SILENCE_MS_TEXT "1000"
#define CALLER_LIMIT_MS 3000
/** Limit in ms for an answer if the silence is not detected: the routes' timeout. */
#define ROUTE_TIMEOUT_MS 4000
#define LOST_ENGINE "heathsail_connections_lost{kind=\"engine\"} "
#define LOST_CALLER "heathsail_connections_lost{kind=\"caller\"} "
#define LOST_STORE "heathsail_connections_lost{kind=\"store\"} "

static fault_proxy *engine_proxies[BENCH_ENGINES];
static fault_proxy *store_proxy;

int begin_silence(void) {
    bench_prepare();
    for (int index = 0; index < BENCH_ENGINES; index++) {
        engine_proxies[index] = fault_proxy_start(token_engine_port(bench.engines[index]));
        token_engine_set_announced_port(bench.engines[index],
                                        fault_proxy_port(engine_proxies[index]));
    }
    store_proxy = fault_proxy_start(log_store_port(bench.store));
    bench.store_port = fault_proxy_port(store_proxy);
    return bench_start();
}

int end_silence(void) {
    for (int index = 0; index < BENCH_DEFAULT_DAEMONS; index++)
        bench_signal_daemon(index, SIGKILL);
    for (int index = 0; index < BENCH_ENGINES; index++)
        fault_proxy_stop(engine_proxies[index]);
    fault_proxy_stop(store_proxy);
    return bench_tear_down();
}

static bool suspects_an_engine(int daemon) {
    g_autofree char *text = get_daemon_metrics(daemon);
    return strstr(text, "heathsail_engine_suspected{engine=\"engine-0\"} 1") != NULL ||
           strstr(text, "heathsail_engine_suspected{engine=\"engine-1\"} 1") != NULL;
}

static void warm_up(int daemon, const char *target) {
    for (int request = 0; request < WARM_REQUESTS; request++) {
        bench_answer answer = post_request(daemon, target, "warm");
        CU_ASSERT_EQUAL(answer.status, 200);
        bench_answer_clear(&answer);
    }
}

static void silence_engines(proxy_silence silence) {
    for (int index = 0; index < BENCH_ENGINES; index++)
        fault_proxy_silence_open_connections(engine_proxies[index], silence);
}

/** Sends a request on silent connections to the engines. Returns the time to its answer's end. */
static uint64_t send_into_silence(proxy_silence silence, int daemon, const char *target,
                                  const char *id, bench_answer *answer) {
    hs_clock_sleep_ms(DELAYED_ACK_MS);
    silence_engines(silence);
    uint64_t start_ms = hs_clock_monotonic_ms();
    *answer = post_request(daemon, target, id);
    uint64_t elapsed_ms = hs_clock_monotonic_ms() - start_ms;
    fprintf(stderr, "%s: status %u after %u ms\n", id, answer->status, (unsigned)elapsed_ms);
    return elapsed_ms;
}

static const proxy_silence silences[] = {PROXY_ACKNOWLEDGES_DATA, PROXY_DROPS_ALL_PACKETS};

/** The request is retried over a new connection, and no engine is suspected. */
static void a_repeatable_request_is_retried_within_its_target(void) {
    static const char *const ids[] = {"plain-held", "plain-dropped"};
    for (int round = 0; round < 2; round++) {
        warm_up(0, "/plain/x");
        bench_answer answer;
        CU_ASSERT(send_into_silence(silences[round], 0, "/plain/x", ids[round], &answer) <
                  TARGET_MS);
        CU_ASSERT_EQUAL(answer.status, 200);
        bench_answer_clear(&answer);
        CU_ASSERT_EQUAL(bench_run_count(ids[round]), 1);
        CU_ASSERT_EQUAL(get_daemon_metric(0, LOST_ENGINE), round + 1);
        CU_ASSERT_FALSE(suspects_an_engine(0));
    }
}

static void a_resumable_stream_starts_within_its_target(void) {
    static const char *const ids[] = {"again-held", "again-dropped"};
    for (int round = 0; round < 2; round++) {
        warm_up(1, "/again/x");
        bench_answer answer;
        uint64_t elapsed_ms =
            send_into_silence(silences[round], 1, "/again/x", ids[round], &answer);
        CU_ASSERT(elapsed_ms < TARGET_MS + STREAM_LIMIT_MS);
        CU_ASSERT_EQUAL(answer.status, 200);
        CU_ASSERT_TRUE(answer.whole);
        event_trace trace = event_trace_stream(ids[round], answer.body, true);
        check_trace(&trace);
        bench_answer_clear(&answer);
        CU_ASSERT_EQUAL(bench_run_count(ids[round]), 1);
        CU_ASSERT_EQUAL(get_daemon_metric(1, LOST_ENGINE), round + 1);
        CU_ASSERT_FALSE(suspects_an_engine(1));
    }
}

/** The request ends with 502, which leaves open whether it ran. */
static void a_run_once_request_on_a_silent_connection_ends_in_time(void) {
    warm_up(2, "/once/x");
    bench_answer answer;
    uint64_t elapsed_ms =
        send_into_silence(PROXY_DROPS_ALL_PACKETS, 2, "/once/x", "once-dropped", &answer);
    CU_ASSERT(elapsed_ms < RUN_ONCE_LIMIT_MS);
    CU_ASSERT_EQUAL(answer.status, 502);
    bench_answer_clear(&answer);
    CU_ASSERT_EQUAL(bench_run_count("once-dropped"), 0);
    CU_ASSERT_EQUAL(get_daemon_metric(2, LOST_ENGINE), 1);
    CU_ASSERT_FALSE(suspects_an_engine(2));
    answer = post_request(2, "/once/x", "once-after");
    CU_ASSERT_EQUAL(answer.status, 200);
    bench_answer_clear(&answer);
}

/** Sends a run-once request to the engine @p index; the other one refuses requests as full. */
static bench_answer send_once_to_engine(int index, const char *id) {
    bench_set_engine_modes(TOKEN_ENGINE_FULL);
    token_engine_set_mode(bench.engines[index], TOKEN_ENGINE_HEALTHY);
    bench_answer answer = post_request(2, "/once/x", id);
    CU_ASSERT_EQUAL(bench_run_count(id), answer.status == 200);
    bench_set_engine_modes(TOKEN_ENGINE_HEALTHY);
    return answer;
}

/** Guards against a 502 for each engine whose connection was silenced together with a lost one. */
static void a_run_once_request_uses_no_connection_idle_since_a_loss(void) {
    static const char *const warm_ids[] = {"since-warm-0", "since-warm-1"};
    static const char *const after_ids[] = {"since-after-0", "since-after-1"};
    for (int index = 0; index < BENCH_ENGINES; index++) {
        bench_answer warm = send_once_to_engine(index, warm_ids[index]);
        CU_ASSERT_EQUAL(warm.status, 200);
        bench_answer_clear(&warm);
    }
    bench_answer answer;
    send_into_silence(PROXY_DROPS_ALL_PACKETS, 2, "/once/x", "since-lost", &answer);
    CU_ASSERT_EQUAL(answer.status, 502);
    bench_answer_clear(&answer);
    int losses = get_daemon_metric(2, LOST_ENGINE);
    for (int index = 0; index < BENCH_ENGINES; index++) {
        answer = send_once_to_engine(index, after_ids[index]);
        CU_ASSERT_EQUAL(answer.status, 200);
        bench_answer_clear(&answer);
    }
    CU_ASSERT_EQUAL(get_daemon_metric(2, LOST_ENGINE), losses);
}

static void a_run_once_request_uses_no_long_idle_connection(void) {
    warm_up(2, "/once/x");
    hs_clock_sleep_ms(LONG_IDLE_MS);
    bench_answer answer;
    CU_ASSERT(send_into_silence(PROXY_ACKNOWLEDGES_DATA, 2, "/once/x", "once-silent", &answer) <
              ROUTE_TIMEOUT_MS);
    CU_ASSERT_EQUAL(answer.status, 200);
    CU_ASSERT_TRUE(answer.whole);
    bench_answer_clear(&answer);
    CU_ASSERT_EQUAL(bench_run_count("once-silent"), 1);
    CU_ASSERT_FALSE(suspects_an_engine(2));
}

static bool is_applied_by_all(const char *line) {
    bool applied = true;
    for (int daemon = 0; daemon < BENCH_DEFAULT_DAEMONS; daemon++) {
        g_autofree char *text = get_daemon_metrics(daemon);
        applied = applied && strstr(text, line) != NULL;
    }
    return applied;
}

/** The version is stored right after all connections to the store went silent. */
static void a_configuration_is_applied_in_time_after_the_store_went_silent(void) {
    for (int version = 2; version < 6; version++) {
        g_autofree char *line = g_strdup_printf("heathsail_config_version %d\n", version);
        hs_clock_sleep_ms(LONG_IDLE_MS + (uint64_t)version * PHASE_STEP_MS);
        fault_proxy_silence_open_connections(store_proxy, silences[version % 2]);
        uint64_t start_ms = hs_clock_monotonic_ms();
        bench_configure(version);
        bool applied = false;
        while (!applied && hs_clock_monotonic_ms() < start_ms + 3 * ROUTE_TIMEOUT_MS) {
            applied = is_applied_by_all(line);
            if (!applied)
                hs_clock_sleep_ms(POLL_MS);
        }
        uint64_t elapsed_ms = hs_clock_monotonic_ms() - start_ms;
        fprintf(stderr, "version %d applied after %u ms\n", version, (unsigned)elapsed_ms);
        CU_ASSERT(elapsed_ms < APPLY_MS);
    }
    for (int daemon = 0; daemon < BENCH_DEFAULT_DAEMONS; daemon++)
        CU_ASSERT(get_daemon_metric(daemon, LOST_STORE) > 0);
}

static bool wait_for_metric_at_least(int daemon, const char *name, int wanted, uint64_t limit_ms) {
    uint64_t until_ms = hs_clock_monotonic_ms() + limit_ms;
    while (get_daemon_metric(daemon, name) < wanted && hs_clock_monotonic_ms() < until_ms)
        hs_clock_sleep_ms(POLL_MS);
    return get_daemon_metric(daemon, name) >= wanted;
}

static uint32_t open_run_count(void) {
    uint32_t open = 0;
    for (int index = 0; index < BENCH_ENGINES; index++)
        open += token_engine_open_request_count(bench.engines[index]);
    return open;
}

/** Silent connections of a streaming and an idle caller are closed, and the engine is freed. */
static void silent_callers_are_detected(void) {
    g_autofree char *path = NULL;
    g_close(g_file_open_tmp("heathsail-settings-XXXXXX", &path, NULL), NULL);
    g_file_set_contents(path, "[fleet]\ncaller_silence_ms=" CALLER_SILENCE_MS_TEXT "\n", -1, NULL);
    bench_signal_daemon(0, SIGKILL);
    CU_ASSERT_TRUE(bench_start_daemon_with_settings(0, path));
    CU_ASSERT_TRUE(bench_wait_ready(0));
    bench_set_engine_modes(TOKEN_ENGINE_ENDLESS);
    fault_proxy *proxy = fault_proxy_start(bench_front_port(0));
    raw_caller *idle = raw_caller_open(fault_proxy_port(proxy));
    raw_caller *streaming = raw_caller_open(fault_proxy_port(proxy));
    raw_caller_send(streaming, "POST /once/long HTTP/1.1\r\nHost: " BENCH_HOST
                               "\r\n" HEADER_REQUEST_ID ": far\r\nContent-Length: 0\r\n\r\n");
    CU_ASSERT_TRUE(raw_caller_read_until(streaming, "id: 2\n", ROUTE_TIMEOUT_MS));
    CU_ASSERT_EQUAL(open_run_count(), 1);
    uint64_t start_ms = hs_clock_monotonic_ms();
    fault_proxy_silence_open_connections(proxy, PROXY_DROPS_ALL_PACKETS);
    while (open_run_count() > 0 && hs_clock_monotonic_ms() < start_ms + ROUTE_TIMEOUT_MS)
        hs_clock_sleep_ms(POLL_MS);
    uint64_t elapsed_ms = hs_clock_monotonic_ms() - start_ms;
    fprintf(stderr, "run of a silent caller ended after %u ms\n", (unsigned)elapsed_ms);
    CU_ASSERT(elapsed_ms < CALLER_LIMIT_MS);
    CU_ASSERT_TRUE(wait_for_metric_at_least(0, LOST_CALLER, 2, CALLER_LIMIT_MS));
    bench_set_engine_modes(TOKEN_ENGINE_HEALTHY);
    raw_caller_close(idle);
    raw_caller_close(streaming);
    fault_proxy_stop(proxy);
    g_remove(path);
}

const test_case fleet_silence_system_tests[] = {
    {"a_repeatable_request_is_retried_within_its_target",
     a_repeatable_request_is_retried_within_its_target},
    {"a_resumable_stream_starts_within_its_target", a_resumable_stream_starts_within_its_target},
    {"a_run_once_request_on_a_silent_connection_ends_in_time",
     a_run_once_request_on_a_silent_connection_ends_in_time},
    {"a_run_once_request_uses_no_connection_idle_since_a_loss",
     a_run_once_request_uses_no_connection_idle_since_a_loss},
    {"a_run_once_request_uses_no_long_idle_connection",
     a_run_once_request_uses_no_long_idle_connection},
    {"a_configuration_is_applied_in_time_after_the_store_went_silent",
     a_configuration_is_applied_in_time_after_the_store_went_silent},
    {"silent_callers_are_detected", silent_callers_are_detected},
    {NULL, NULL}};
