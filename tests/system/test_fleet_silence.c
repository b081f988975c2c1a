/**
 * @file test_fleet_silence.c
 * Open connections of real daemons go silent without an end, while new ones work: to engines and to
 * the store. Where the proxy's kernel acknowledges what is sent only the daemons' own time-outs
 * show it; where it drops all packets theirs does.
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

/** The routes' target, in ms; see bench_configure. */
#define TARGET_MS 300
/** Requests after which a daemon has kept connections to both engines and knows their answers. */
#define WARM_REQUESTS 30
/** Within this time in ms after it was stored a version must be in force: fleet.config_apply_ms. */
#define APPLY_MS 2000
/** Idle time in ms after which a kept connection gets no request that may run once; below the time
 * for which it is kept. */
#define LONG_IDLE_MS 2500
#define POLL_MS 20
/** Until the last acknowledgements of exchanges before have gone, in ms: the kernel delays them. */
#define SETTLE_MS 100
/** What a whole stream takes, in ms: its events and some for the machine. */
#define STREAM_MS 300
/** Within this time in ms a request that may run once ends: fleet.once_unacknowledged_ms, and some.
 */
#define ONCE_LIMIT_MS 1200
/** So that the store goes silent at different moments of the daemons' reads, in ms. */
#define PHASE_MS 230
/** What a daemon is told of its callers' silence in a test, in ms, and until it shows, in ms. */
#define CALLER_SILENCE "1000"
#define CALLER_LIMIT_MS 3000
/** Longest answer of the daemons before a silence is noticed at all, in ms: the routes' time-out.
 */
#define LATEST_MS 4000
#define LOST_ENGINE "heathsail_connections_lost{kind=\"engine\"} "
#define LOST_CALLER "heathsail_connections_lost{kind=\"caller\"} "
#define LOST_STORE "heathsail_connections_lost{kind=\"store\"} "

static fault_proxy *engine_proxies[BENCH_ENGINES];
static fault_proxy *store_proxy;

int begin_silence(void) {
    bench_prepare();
    for (int index = 0; index < BENCH_ENGINES; index++) {
        engine_proxies[index] = fault_proxy_start(token_engine_port(bench.engines[index]));
        token_engine_show_port(bench.engines[index], fault_proxy_port(engine_proxies[index]));
    }
    store_proxy = fault_proxy_start(log_store_port(bench.store));
    bench.store_port = fault_proxy_port(store_proxy);
    return bench_start();
}

int end_silence(void) {
    for (int index = 0; index < BENCH_DAEMONS; index++)
        bench_signal(index, SIGKILL);
    for (int index = 0; index < BENCH_ENGINES; index++)
        fault_proxy_stop(engine_proxies[index]);
    fault_proxy_stop(store_proxy);
    return end_bench();
}

static bool suspects_an_engine(int daemon) {
    g_autofree char *text = metrics_of(daemon);
    return strstr(text, "heathsail_engine_suspected{engine=\"engine-0\"} 1") != NULL ||
           strstr(text, "heathsail_engine_suspected{engine=\"engine-1\"} 1") != NULL;
}

static void warm(int daemon, const char *target) {
    for (int request = 0; request < WARM_REQUESTS; request++) {
        bench_answer answer = post_request(daemon, target, "warm");
        CU_ASSERT_EQUAL(answer.status, 200);
        bench_answer_clear(&answer);
    }
}

static void silence_engines(proxy_silence silence) {
    for (int index = 0; index < BENCH_ENGINES; index++)
        fault_proxy_silence_open(engine_proxies[index], silence);
}

/** Send one request after the engines' connections went silent; the time to its whole answer. */
static uint64_t send_into_silence(proxy_silence silence, int daemon, const char *target,
                                  const char *id, bench_answer *answer) {
    hs_clock_sleep_ms(SETTLE_MS);
    silence_engines(silence);
    uint64_t began_ms = hs_clock_monotonic_ms();
    *answer = post_request(daemon, target, id);
    uint64_t took_ms = hs_clock_monotonic_ms() - began_ms;
    fprintf(stderr, "%s: status %u after %u ms\n", id, answer->status, (unsigned)took_ms);
    return took_ms;
}

static const proxy_silence silences[] = {PROXY_ACKNOWLEDGES, PROXY_DROPS_ALL_PACKETS};

/** What may be repeated goes on over a new connection within its target, at a sound engine. */
static void a_repeatable_request_goes_on_within_its_target(void) {
    static const char *const ids[] = {"plain-held", "plain-dropped"};
    for (int round = 0; round < 2; round++) {
        warm(0, "/plain/x");
        bench_answer answer;
        CU_ASSERT(send_into_silence(silences[round], 0, "/plain/x", ids[round], &answer) <
                  TARGET_MS);
        CU_ASSERT_EQUAL(answer.status, 200);
        bench_answer_clear(&answer);
        CU_ASSERT_EQUAL(bench_runs(ids[round]), 1);
        CU_ASSERT_EQUAL(metric_of(0, LOST_ENGINE), round + 1);
        CU_ASSERT_FALSE(suspects_an_engine(0));
    }
}

/** A stream that may be resumed begins in time and is whole. */
static void a_resumable_stream_begins_within_its_target(void) {
    static const char *const ids[] = {"again-held", "again-dropped"};
    for (int round = 0; round < 2; round++) {
        warm(1, "/again/x");
        bench_answer answer;
        uint64_t took_ms = send_into_silence(silences[round], 1, "/again/x", ids[round], &answer);
        CU_ASSERT(took_ms < TARGET_MS + STREAM_MS);
        CU_ASSERT_EQUAL(answer.status, 200);
        CU_ASSERT_TRUE(answer.whole);
        event_trace trace = event_trace_stream(ids[round], answer.body, true);
        check_trace(&trace);
        bench_answer_clear(&answer);
        CU_ASSERT_EQUAL(bench_runs(ids[round]), 1);
        CU_ASSERT_EQUAL(metric_of(1, LOST_ENGINE), round + 1);
        CU_ASSERT_FALSE(suspects_an_engine(1));
    }
}

/** What may run once and was sent into the silence ends soon, and its answer promises nothing. */
static void a_run_once_request_in_silence_ends_soon_and_truly(void) {
    warm(2, "/once/x");
    bench_answer answer;
    uint64_t took_ms =
        send_into_silence(PROXY_DROPS_ALL_PACKETS, 2, "/once/x", "once-dropped", &answer);
    CU_ASSERT(took_ms < ONCE_LIMIT_MS);
    CU_ASSERT_EQUAL(answer.status, 502);
    bench_answer_clear(&answer);
    CU_ASSERT_EQUAL(bench_runs("once-dropped"), 0);
    CU_ASSERT_EQUAL(metric_of(2, LOST_ENGINE), 1);
    CU_ASSERT_FALSE(suspects_an_engine(2));
    answer = post_request(2, "/once/x", "once-after");
    CU_ASSERT_EQUAL(answer.status, 200);
    bench_answer_clear(&answer);
}

/** What may run once is not sent on a connection that was idle for long. */
static void a_run_once_request_takes_no_long_idle_connection(void) {
    warm(2, "/once/x");
    hs_clock_sleep_ms(LONG_IDLE_MS);
    bench_answer answer;
    CU_ASSERT(send_into_silence(PROXY_ACKNOWLEDGES, 2, "/once/x", "once-silent", &answer) <
              LATEST_MS);
    CU_ASSERT_EQUAL(answer.status, 200);
    CU_ASSERT_TRUE(answer.whole);
    bench_answer_clear(&answer);
    CU_ASSERT_EQUAL(bench_runs("once-silent"), 1);
    CU_ASSERT_FALSE(suspects_an_engine(2));
}

static bool applied_everywhere(const char *line) {
    bool applied = true;
    for (int daemon = 0; daemon < BENCH_DAEMONS; daemon++) {
        g_autofree char *text = metrics_of(daemon);
        applied = applied && strstr(text, line) != NULL;
    }
    return applied;
}

/** All connections to the store go silent; a version stored right after is in force in time. */
static void a_version_is_in_force_in_time_though_the_store_went_silent(void) {
    for (int version = 2; version < 6; version++) {
        g_autofree char *line = g_strdup_printf("heathsail_config_version %d\n", version);
        hs_clock_sleep_ms(LONG_IDLE_MS + (uint64_t)version * PHASE_MS);
        fault_proxy_silence_open(store_proxy, silences[version % 2]);
        uint64_t began_ms = hs_clock_monotonic_ms();
        bench_configure(version);
        bool applied = false;
        while (!applied && hs_clock_monotonic_ms() < began_ms + 3 * LATEST_MS) {
            applied = applied_everywhere(line);
            if (!applied)
                hs_clock_sleep_ms(POLL_MS);
        }
        uint64_t took_ms = hs_clock_monotonic_ms() - began_ms;
        fprintf(stderr, "version %d in force after %u ms\n", version, (unsigned)took_ms);
        CU_ASSERT(took_ms < APPLY_MS);
    }
    for (int daemon = 0; daemon < BENCH_DAEMONS; daemon++)
        CU_ASSERT(metric_of(daemon, LOST_STORE) > 0);
}

static bool reaches(int daemon, const char *name, int wanted, uint64_t limit_ms) {
    uint64_t until_ms = hs_clock_monotonic_ms() + limit_ms;
    while (metric_of(daemon, name) < wanted && hs_clock_monotonic_ms() < until_ms)
        hs_clock_sleep_ms(POLL_MS);
    return metric_of(daemon, name) >= wanted;
}

static uint32_t open_runs(void) {
    uint32_t open = 0;
    for (int index = 0; index < BENCH_ENGINES; index++)
        open += token_engine_open(bench.engines[index]);
    return open;
}

/** Callers whose connections went silent, in a stream and idle, free the engine and the daemon. */
static void silent_callers_are_noticed(void) {
    g_autofree char *path = NULL;
    g_close(g_file_open_tmp("heathsail-settings-XXXXXX", &path, NULL), NULL);
    g_file_set_contents(path, "[fleet]\ncaller_silence_ms=" CALLER_SILENCE "\n", -1, NULL);
    bench_signal(0, SIGKILL);
    CU_ASSERT_TRUE(bench_start_daemon_with(0, path));
    CU_ASSERT_TRUE(bench_wait_ready(0));
    bench_set_engines(TOKEN_ENGINE_ENDLESS);
    fault_proxy *proxy = fault_proxy_start(bench_front_port(0));
    raw_caller *idle = raw_caller_open(fault_proxy_port(proxy));
    raw_caller *streaming = raw_caller_open(fault_proxy_port(proxy));
    raw_caller_send(streaming, "POST /once/long HTTP/1.1\r\nHost: " BENCH_HOST
                               "\r\n" HEADER_REQUEST_ID ": far\r\nContent-Length: 0\r\n\r\n");
    CU_ASSERT_TRUE(raw_caller_read_until(streaming, "id: 2\n", LATEST_MS));
    CU_ASSERT_EQUAL(open_runs(), 1);
    uint64_t began_ms = hs_clock_monotonic_ms();
    fault_proxy_silence_open(proxy, PROXY_DROPS_ALL_PACKETS);
    while (open_runs() > 0 && hs_clock_monotonic_ms() < began_ms + LATEST_MS)
        hs_clock_sleep_ms(POLL_MS);
    uint64_t took_ms = hs_clock_monotonic_ms() - began_ms;
    fprintf(stderr, "run of a silent caller ended after %u ms\n", (unsigned)took_ms);
    CU_ASSERT(took_ms < CALLER_LIMIT_MS);
    CU_ASSERT_TRUE(reaches(0, LOST_CALLER, 2, CALLER_LIMIT_MS));
    bench_set_engines(TOKEN_ENGINE_SOUND);
    raw_caller_close(idle);
    raw_caller_close(streaming);
    fault_proxy_stop(proxy);
    g_remove(path);
}

const test_case fleet_silence_system_tests[] = {
    {"a_repeatable_request_goes_on_within_its_target",
     a_repeatable_request_goes_on_within_its_target},
    {"a_resumable_stream_begins_within_its_target", a_resumable_stream_begins_within_its_target},
    {"a_run_once_request_in_silence_ends_soon_and_truly",
     a_run_once_request_in_silence_ends_soon_and_truly},
    {"a_run_once_request_takes_no_long_idle_connection",
     a_run_once_request_takes_no_long_idle_connection},
    {"a_version_is_in_force_in_time_though_the_store_went_silent",
     a_version_is_in_force_in_time_though_the_store_went_silent},
    {"silent_callers_are_noticed", silent_callers_are_noticed},
    {NULL, NULL}};
