/**
 * @file test_fleet_callers.c
 * System tests of the fleet surface with callers that disconnect before their answers are complete.
 */
#include "base/clock.h"
#include "platform/names.h"
#include "tests/support/raw_caller.h"
#include "tests/system/disconnecting_callers.h"
#include "tests/system/fleet_calls.h"
#include "tests/system/system_tests.h"
#include "tools/surface/fleet_bench.h"

#include <signal.h>

#define CALLERS 200
#define SEED 20261202
#define MAX_STAY_MS 800
#define MAX_ARRIVAL_DELAY_MS 2000
/** Interval in ms between two changes of the engines' modes. */
#define MODE_CHANGE_MS 120
/** Time in ms for which the engines refuse all requests after the last caller has disconnected, and
 * time for which their calls are recorded afterwards. */
#define REFUSAL_MS 1500
#define ENGINE_OBSERVATION_MS 2500
#define UNREAD_CALLERS 40
#define WAITING_CALLERS 24
/** Delay in ms from the callers' arrival until the engines refuse all requests; it ends within the
 * first events of a stream. */
#define REFUSAL_DELAY_MS 60
#define STOPPED_MS 900

/** Configures routes on which requests wait long: for an engine (a quarter of the target latency),
 * and for a retry. */
int begin_bench_with_long_timeouts(void) {
    if (bench_set_up() != 0)
        return -1;
    log_store_put(
        bench.store, TOPIC_CONFIG, KEY_CONFIG,
        "{\"version\":9,\"routes\":["
        "{\"name\":\"once\",\"host\":\"" BENCH_HOST "\",\"path-prefix\":\"/once/\","
        "\"kind\":\"streaming\",\"timeout-ms\":8000,\"target-latency-ms\":8000,\"service\":\"llm\","
        "\"max-attempts\":1,\"resumable\":false},"
        "{\"name\":\"again\",\"host\":\"" BENCH_HOST "\",\"path-prefix\":\"/again/\","
        "\"kind\":\"streaming\",\"timeout-ms\":8000,\"target-latency-ms\":8000,\"service\":\"llm\","
        "\"max-attempts\":6,\"resumable\":true},"
        "{\"name\":\"plain\",\"host\":\"" BENCH_HOST "\",\"path-prefix\":\"/plain/\","
        "\"kind\":\"idempotent\",\"timeout-ms\":8000,\"target-latency-ms\":8000,"
        "\"service\":\"llm\",\"max-attempts\":6}],"
        "\"services\":[{\"name\":\"llm\",\"health-check\":\"/h\",\"max-connections\":1000}],"
        "\"limits\":{\"max-header-bytes\":8192,\"max-body-bytes\":100000,"
        "\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}}");
    hs_clock_sleep_ms(500);
    return 0;
}

static char *request_bytes(const char *target, const char *id, const char *body) {
    return g_strdup_printf("POST %s HTTP/1.1\r\nHost: " BENCH_HOST "\r\n" HEADER_REQUEST_ID
                           ": %s\r\nContent-Length: 5\r\n\r\n%s",
                           target, id, body);
}

/** Callers on all routes and daemons; some send half of their body, some disconnect at once. */
static void make_callers(disconnecting_caller *callers) {
    static const char *const targets[] = {"/plain/x", "/again/x", "/once/x", "/again/x"};
    GRand *random = g_rand_new_with_seed(SEED);
    uint64_t now_ms = hs_clock_monotonic_ms();
    for (guint index = 0; index < CALLERS; index++) {
        disconnecting_caller *caller = &callers[index];
        bool sends_half_body = index % 11 == 0;
        bool disconnects_at_once = index % 7 == 0;
        const char *target = targets[index % G_N_ELEMENTS(targets)];
        g_snprintf(caller->id, sizeof caller->id, "leaver-%u", index);
        caller->port = bench_front_port((int)(index % BENCH_DEFAULT_DAEMONS));
        caller->bytes = request_bytes(target, caller->id, sends_half_body ? "he" : "hello");
        caller->connect_at_ms =
            now_ms + (uint64_t)g_rand_int_range(random, 0, MAX_ARRIVAL_DELAY_MS);
        caller->close_delay_ms =
            disconnects_at_once ? 0 : (uint32_t)g_rand_int_range(random, 0, MAX_STAY_MS);
    }
    g_rand_free(random);
}

/** Changes the engines' modes until the test sets @p data. */
static gpointer change_engines(gpointer data) {
    static const token_engine_mode modes[] = {TOKEN_ENGINE_SLOW, TOKEN_ENGINE_FULL,
                                              TOKEN_ENGINE_FULL, TOKEN_ENGINE_BREAKS_STREAMS,
                                              TOKEN_ENGINE_FULL, TOKEN_ENGINE_ENDLESS};
    gint *stopping = data;
    for (guint turn = 0; g_atomic_int_get(stopping) == 0; turn++) {
        for (guint index = 0; index < BENCH_ENGINES; index++)
            token_engine_set_mode(bench.engines[index],
                                  modes[(turn + index) % G_N_ELEMENTS(modes)]);
        hs_clock_sleep_ms(MODE_CHANGE_MS);
    }
    return NULL;
}

static void check_engines(const disconnecting_caller *callers, guint count, const char *title) {
    disconnect_stats figures = disconnect_stats_new(callers, count);
    token_engine_call call;
    for (guint index = 0; index < BENCH_ENGINES; index++)
        for (uint32_t number = 0; token_engine_find_call(bench.engines[index], number, &call);
             number++)
            disconnect_stats_add(&figures, call.request_id, call.begun_ms, call.ended_ms);
    disconnect_stats_check(&figures, title);
}

static void free_bytes(disconnecting_caller *callers, guint count) {
    for (guint index = 0; index < count; index++)
        g_free(callers[index].bytes);
}

/** The callers disconnect while their requests wait for an engine, a body or a retry, or stream. */
static void engines_get_no_requests_of_disconnected_callers(void) {
    disconnecting_caller callers[CALLERS] = {0};
    gint stopping = 0;
    make_callers(callers);
    GThread *changes = g_thread_new("changes", change_engines, &stopping);
    disconnecting_callers_run(callers, CALLERS);
    g_atomic_int_set(&stopping, 1);
    g_thread_join(changes);
    bench_set_engine_modes(TOKEN_ENGINE_FULL);
    hs_clock_sleep_ms(REFUSAL_MS);
    bench_set_engine_modes(TOKEN_ENGINE_ENDLESS);
    hs_clock_sleep_ms(ENGINE_OBSERVATION_MS);
    check_engines(callers, CALLERS, "fleet, callers that leave");
    bench_set_engine_modes(TOKEN_ENGINE_HEALTHY);
    free_bytes(callers, CALLERS);
}

/** Runs callers of one route that disconnect at random times while all engines refuse requests. */
static void disconnect_during_refusals(const char *target, const char *prefix, const char *title) {
    disconnecting_caller callers[WAITING_CALLERS] = {0};
    GRand *random = g_rand_new_with_seed(SEED);
    for (guint index = 0; index < WAITING_CALLERS; index++) {
        g_snprintf(callers[index].id, sizeof callers[index].id, "%s-%u", prefix, index);
        callers[index].port = bench_front_port((int)(index % BENCH_DEFAULT_DAEMONS));
        callers[index].bytes = request_bytes(target, callers[index].id, "hello");
        callers[index].close_delay_ms =
            (uint32_t)g_rand_int_range(random, REFUSAL_DELAY_MS, MAX_STAY_MS);
    }
    g_rand_free(random);
    disconnecting_callers_run(callers, WAITING_CALLERS);
    hs_clock_sleep_ms(REFUSAL_MS);
    bench_set_engine_modes(TOKEN_ENGINE_ENDLESS);
    hs_clock_sleep_ms(REFUSAL_MS);
    check_engines(callers, WAITING_CALLERS, title);
    bench_set_engine_modes(TOKEN_ENGINE_HEALTHY);
    free_bytes(callers, WAITING_CALLERS);
}

static void a_wait_for_an_engine_ends_when_the_caller_disconnects(void) {
    bench_set_engine_modes(TOKEN_ENGINE_FULL);
    disconnect_during_refusals("/plain/x", "waiter", "fleet, waiting for an engine");
}

static gpointer refuse_after_delay(gpointer unused) {
    (void)unused;
    hs_clock_sleep_ms(REFUSAL_DELAY_MS);
    bench_set_engine_modes(TOKEN_ENGINE_FULL);
    return NULL;
}

/** The streams broke and wait for an engine to resume on. */
static void a_wait_for_a_retry_ends_when_the_caller_disconnects(void) {
    bench_set_engine_modes(TOKEN_ENGINE_BREAKS_STREAMS);
    GThread *refusal = g_thread_new("refusal", refuse_after_delay, NULL);
    disconnect_during_refusals("/again/x", "retrier", "fleet, waiting for a retry");
    g_thread_join(refusal);
}

/** A caller that closes only its sending side can't be distinguished from one that disconnected. */
static void a_half_closed_connection_counts_as_disconnected(void) {
    g_autofree char *bytes = request_bytes("/once/x", "half", "hello");
    bench_set_engine_modes(TOKEN_ENGINE_ENDLESS);
    raw_caller *caller = raw_caller_open(bench_front_port(1));
    CU_ASSERT_PTR_NOT_NULL_FATAL(caller);
    raw_caller_send(caller, bytes);
    CU_ASSERT_TRUE(raw_caller_read_until(caller, "id: 2\n", MAX_STAY_MS));
    raw_caller_shutdown_send(caller);
    CU_ASSERT_NOT_EQUAL(raw_caller_read_to_end(caller, MAX_WORK_AFTER_DISCONNECT_MS), RAW_OPEN);
    /* The engine's thread notices the end of its connection asynchronously. */
    CU_ASSERT_TRUE(wait_for_engine_runs_to_end(MAX_WORK_AFTER_DISCONNECT_MS));
    raw_caller_close(caller);
    bench_set_engine_modes(TOKEN_ENGINE_HEALTHY);
}

/** Opens reusable connections to the engines, on which a daemon sends a request without delay. */
static void open_reusable_connections(int daemon) {
    for (int request = 0; request < 8; request++) {
        bench_answer answer = bench_send(&(bench_call){.daemon = daemon,
                                                       .method = "POST",
                                                       .target = "/plain/keep",
                                                       .request_id = "keep",
                                                       .body = "hello"});
        bench_answer_clear(&answer);
    }
}

/** The daemon is stopped until all callers have disconnected. */
static void unread_requests_of_disconnected_callers_are_not_sent(void) {
    static const char *const targets[] = {"/plain/x", "/again/x", "/once/x"};
    disconnecting_caller callers[UNREAD_CALLERS] = {0};
    open_reusable_connections(0);
    for (guint index = 0; index < UNREAD_CALLERS; index++) {
        g_snprintf(callers[index].id, sizeof callers[index].id, "unread-%u", index);
        callers[index].port = bench_front_port(0);
        callers[index].bytes =
            request_bytes(targets[index % G_N_ELEMENTS(targets)], callers[index].id, "hello");
    }
    CU_ASSERT_EQUAL(bench_signal_daemon(0, SIGSTOP), 0);
    disconnecting_callers_run(callers, UNREAD_CALLERS);
    hs_clock_sleep_ms(STOPPED_MS);
    CU_ASSERT_EQUAL(bench_signal_daemon(0, SIGCONT), 0);
    hs_clock_sleep_ms(STOPPED_MS);
    check_engines(callers, UNREAD_CALLERS, "fleet, requests left unread");
    free_bytes(callers, UNREAD_CALLERS);
}

const test_case fleet_caller_system_tests[] = {
    {"engines_get_no_requests_of_disconnected_callers",
     engines_get_no_requests_of_disconnected_callers},
    {"a_wait_for_an_engine_ends_when_the_caller_disconnects",
     a_wait_for_an_engine_ends_when_the_caller_disconnects},
    {"a_wait_for_a_retry_ends_when_the_caller_disconnects",
     a_wait_for_a_retry_ends_when_the_caller_disconnects},
    {"a_half_closed_connection_counts_as_disconnected",
     a_half_closed_connection_counts_as_disconnected},
    {"unread_requests_of_disconnected_callers_are_not_sent",
     unread_requests_of_disconnected_callers_are_not_sent},
    {NULL, NULL}};
