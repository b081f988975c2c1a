/** @file test_fleet_callers.c  The fleet surface with callers that leave. */
#include "base/clock.h"
#include "platform/names.h"
#include "tests/support/raw_caller.h"
#include "tests/system/fleet_calls.h"
#include "tests/system/leaving_callers.h"
#include "tests/system/system_tests.h"
#include "tools/surface/fleet_bench.h"

#include <signal.h>

#define CALLERS 200
#define SEED 20261202
#define STAY_MOST_MS 800
#define ARRIVE_MOST_MS 2000
/** Between two changes of what engines do. */
#define CHANGE_MS 120
/** How long engines refuse everybody after all have left, and how long they are watched then. */
#define REFUSE_MS 1500
#define WATCH_MS 2500
#define UNREAD_CALLERS 40
#define WAITING_CALLERS 24
/** From the arrival of callers until engines refuse all: within the first events of a stream. */
#define BROKEN_MS 60
#define FROZEN_MS 900

/** Routes on which requests wait long: for an engine (a quarter of the aim), and for a retry. */
int begin_patient_bench(void) {
    if (begin_bench() != 0)
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

/** Callers on all routes and daemons; some send half of their body, some leave at once. */
static void make_callers(leaving_caller *callers) {
    static const char *const targets[] = {"/plain/x", "/again/x", "/once/x", "/again/x"};
    GRand *random = g_rand_new_with_seed(SEED);
    uint64_t now_ms = hs_clock_monotonic_ms();
    for (guint index = 0; index < CALLERS; index++) {
        leaving_caller *caller = &callers[index];
        bool sends_half = index % 11 == 0;
        bool leaves_at_once = index % 7 == 0;
        const char *target = targets[index % G_N_ELEMENTS(targets)];
        g_snprintf(caller->id, sizeof caller->id, "leaver-%u", index);
        caller->port = bench_front_port((int)(index % BENCH_DAEMONS));
        caller->bytes = request_bytes(target, caller->id, sends_half ? "he" : "hello");
        caller->arrives_ms = now_ms + (uint64_t)g_rand_int_range(random, 0, ARRIVE_MOST_MS);
        caller->stays_ms = leaves_at_once ? 0 : (uint32_t)g_rand_int_range(random, 0, STAY_MOST_MS);
    }
    g_rand_free(random);
}

/** What engines do changes until told to stop. */
static gpointer change_engines(gpointer data) {
    static const token_engine_mode modes[] = {TOKEN_ENGINE_SLOW, TOKEN_ENGINE_FULL,
                                              TOKEN_ENGINE_FULL, TOKEN_ENGINE_BREAKS,
                                              TOKEN_ENGINE_FULL, TOKEN_ENGINE_ENDLESS};
    gint *stopping = data;
    for (guint turn = 0; g_atomic_int_get(stopping) == 0; turn++) {
        for (guint index = 0; index < BENCH_ENGINES; index++)
            token_engine_set_mode(bench.engines[index],
                                  modes[(turn + index) % G_N_ELEMENTS(modes)]);
        hs_clock_sleep_ms(CHANGE_MS);
    }
    return NULL;
}

static void check_engines(const leaving_caller *callers, guint count, const char *title) {
    leaving_figures figures = leaving_figures_new(callers, count);
    token_engine_call call;
    for (guint index = 0; index < BENCH_ENGINES; index++)
        for (uint32_t number = 0; token_engine_find_call(bench.engines[index], number, &call);
             number++)
            leaving_figures_add(&figures, call.request_id, call.begun_ms, call.ended_ms);
    leaving_figures_check(&figures, title);
}

static void free_bytes(leaving_caller *callers, guint count) {
    for (guint index = 0; index < count; index++)
        g_free(callers[index].bytes);
}

/** Waiting for an engine, for a body, for a retry, or in a stream: who has left is left alone. */
static void engines_are_left_alone_once_callers_left(void) {
    leaving_caller callers[CALLERS] = {0};
    gint stopping = 0;
    make_callers(callers);
    GThread *changes = g_thread_new("changes", change_engines, &stopping);
    leaving_callers_run(callers, CALLERS);
    g_atomic_int_set(&stopping, 1);
    g_thread_join(changes);
    bench_set_engines(TOKEN_ENGINE_FULL);
    hs_clock_sleep_ms(REFUSE_MS);
    bench_set_engines(TOKEN_ENGINE_ENDLESS);
    hs_clock_sleep_ms(WATCH_MS);
    check_engines(callers, CALLERS, "fleet, callers that leave");
    bench_set_engines(TOKEN_ENGINE_SOUND);
    free_bytes(callers, CALLERS);
}

/** Callers of one route that leave at random moments while all engines refuse. */
static void leave_while_full(const char *target, const char *prefix, const char *title) {
    leaving_caller callers[WAITING_CALLERS] = {0};
    GRand *random = g_rand_new_with_seed(SEED);
    for (guint index = 0; index < WAITING_CALLERS; index++) {
        g_snprintf(callers[index].id, sizeof callers[index].id, "%s-%u", prefix, index);
        callers[index].port = bench_front_port((int)(index % BENCH_DAEMONS));
        callers[index].bytes = request_bytes(target, callers[index].id, "hello");
        callers[index].stays_ms = (uint32_t)g_rand_int_range(random, BROKEN_MS, STAY_MOST_MS);
    }
    g_rand_free(random);
    leaving_callers_run(callers, WAITING_CALLERS);
    hs_clock_sleep_ms(REFUSE_MS);
    bench_set_engines(TOKEN_ENGINE_ENDLESS);
    hs_clock_sleep_ms(REFUSE_MS);
    check_engines(callers, WAITING_CALLERS, title);
    bench_set_engines(TOKEN_ENGINE_SOUND);
    free_bytes(callers, WAITING_CALLERS);
}

/** Callers that wait for an engine that takes them. */
static void a_wait_for_an_engine_ends_with_its_caller(void) {
    bench_set_engines(TOKEN_ENGINE_FULL);
    leave_while_full("/plain/x", "waiter", "fleet, waiting for an engine");
}

static gpointer refuse_soon(gpointer unused) {
    (void)unused;
    hs_clock_sleep_ms(BROKEN_MS);
    bench_set_engines(TOKEN_ENGINE_FULL);
    return NULL;
}

/** Streams that broke and wait for an engine to go on at. */
static void a_wait_for_a_retry_ends_with_its_caller(void) {
    bench_set_engines(TOKEN_ENGINE_BREAKS);
    GThread *refuses = g_thread_new("refuses", refuse_soon, NULL);
    leave_while_full("/again/x", "retrier", "fleet, waiting for a retry");
    g_thread_join(refuses);
}

/** One that ends its sending side alone cannot be told from one that closed: it has left. */
static void a_caller_that_ends_its_sending_has_left(void) {
    g_autofree char *bytes = request_bytes("/once/x", "half", "hello");
    bench_set_engines(TOKEN_ENGINE_ENDLESS);
    raw_caller *caller = raw_caller_open(bench_front_port(1));
    CU_ASSERT_PTR_NOT_NULL_FATAL(caller);
    raw_caller_send(caller, bytes);
    CU_ASSERT_TRUE(raw_caller_read_until(caller, "id: 2\n", STAY_MOST_MS));
    raw_caller_end_sending(caller);
    CU_ASSERT_NOT_EQUAL(raw_caller_read_to_end(caller, LEAVING_LIMIT_MS), RAW_OPEN);
    /* The engine's own thread notices the end of its connection a moment later. */
    CU_ASSERT_TRUE(engine_runs_end_within(LEAVING_LIMIT_MS));
    raw_caller_close(caller);
    bench_set_engines(TOKEN_ENGINE_SOUND);
}

/** Begin kept connections to the engines, on which a request leaves at once. */
static void keep_connections(int daemon) {
    for (int request = 0; request < 8; request++) {
        bench_answer answer = bench_send(&(bench_call){.daemon = daemon,
                                                       .method = "POST",
                                                       .target = "/plain/keep",
                                                       .request_id = "keep",
                                                       .body = "hello"});
        bench_answer_clear(&answer);
    }
}

/** Requests that lie unread while their callers leave are not sent to engines at all. */
static void requests_left_unread_are_not_sent(void) {
    static const char *const targets[] = {"/plain/x", "/again/x", "/once/x"};
    leaving_caller callers[UNREAD_CALLERS] = {0};
    keep_connections(0);
    for (guint index = 0; index < UNREAD_CALLERS; index++) {
        g_snprintf(callers[index].id, sizeof callers[index].id, "unread-%u", index);
        callers[index].port = bench_front_port(0);
        callers[index].bytes =
            request_bytes(targets[index % G_N_ELEMENTS(targets)], callers[index].id, "hello");
    }
    CU_ASSERT_EQUAL(bench_signal(0, SIGSTOP), 0);
    leaving_callers_run(callers, UNREAD_CALLERS);
    hs_clock_sleep_ms(FROZEN_MS);
    CU_ASSERT_EQUAL(bench_signal(0, SIGCONT), 0);
    hs_clock_sleep_ms(FROZEN_MS);
    check_engines(callers, UNREAD_CALLERS, "fleet, requests left unread");
    free_bytes(callers, UNREAD_CALLERS);
}

const test_case fleet_caller_system_tests[] = {
    {"engines_are_left_alone_once_callers_left", engines_are_left_alone_once_callers_left},
    {"a_wait_for_an_engine_ends_with_its_caller", a_wait_for_an_engine_ends_with_its_caller},
    {"a_wait_for_a_retry_ends_with_its_caller", a_wait_for_a_retry_ends_with_its_caller},
    {"a_caller_that_ends_its_sending_has_left", a_caller_that_ends_its_sending_has_left},
    {"requests_left_unread_are_not_sent", requests_left_unread_are_not_sent},
    {NULL, NULL}};
