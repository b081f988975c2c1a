/**
 * @file test_fleet_edges.c
 * System tests of edge cases of the fleet surface: HTTP/1.0 and Expect: 100-continue, callers that
 * disconnect, an unavailable store, changed settings and an occupied port.
 */
#include "base/clock.h"
#include "platform/names.h"
#include "tests/support/raw_caller.h"
#include "tests/system/fleet_calls.h"
#include "tests/system/system_tests.h"
#include "tools/surface/fleet_bench.h"

#include <arpa/inet.h>
#include <glib/gstdio.h>
#include <signal.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define LIMIT_MS 3000
#define ANSWER_TTL "\"ttl-s\":"

static char *request_head(const char *target, const char *version, const char *id,
                          const char *more) {
    return g_strdup_printf("POST %s HTTP/%s\r\nHost: " BENCH_HOST "\r\n" HEADER_REQUEST_ID
                           ": %s\r\nContent-Length: 5\r\n%s\r\n",
                           target, version, id, more);
}

/** Opens a connection to a daemon and sends a whole request on it; NULL: cannot connect. */
static raw_caller *open_call(int daemon, const char *target, const char *version, const char *id) {
    raw_caller *caller = raw_caller_open(bench_front_port(daemon));
    if (caller == NULL)
        return NULL;
    g_autofree char *head = request_head(target, version, id, "");
    raw_caller_send(caller, head);
    raw_caller_send(caller, "hello");
    return caller;
}

static void expect_100_continue_is_answered_once(void) {
    raw_caller *caller = raw_caller_open(bench_front_port(0));
    CU_ASSERT_PTR_NOT_NULL_FATAL(caller);
    g_autofree char *head =
        request_head("/plain/e", "1.1", "expect", "Expect: 100-continue\r\nConnection: close\r\n");
    raw_caller_send(caller, head);
    CU_ASSERT_TRUE(raw_caller_read_until(caller, "HTTP/1.1 100 Continue\r\n\r\n", LIMIT_MS));
    raw_caller_send(caller, "hello");
    CU_ASSERT_EQUAL(raw_caller_read_to_end(caller, LIMIT_MS), RAW_CLOSED);
    CU_ASSERT_PTR_NOT_NULL(strstr(raw_caller_text(caller), "HTTP/1.1 200 OK"));
    CU_ASSERT_TRUE(g_str_has_suffix(raw_caller_text(caller), "/plain/e"));
    raw_caller_close(caller);
}

/** An answer to HTTP/1.0 ends by its length or with the connection. */
static void http_1_0_callers_are_served_without_chunks(void) {
    static const char *const targets[] = {"/plain/old", "/once/old"};
    static const char *const last_parts[] = {"/plain/old", "id: 12\ndata: token 12 of engine-"};
    static const char *const ends[] = {"/plain/old", "\n\n"};
    for (size_t index = 0; index < G_N_ELEMENTS(targets); index++) {
        raw_caller *caller = open_call(1, targets[index], "1.0", "old");
        CU_ASSERT_PTR_NOT_NULL_FATAL(caller);
        CU_ASSERT_EQUAL(raw_caller_read_to_end(caller, LIMIT_MS), RAW_CLOSED);
        CU_ASSERT_PTR_NOT_NULL(strstr(raw_caller_text(caller), " 200 OK\r\n"));
        CU_ASSERT_PTR_NULL(strstr(raw_caller_text(caller), "chunked"));
        CU_ASSERT_PTR_NOT_NULL(strstr(raw_caller_text(caller), last_parts[index]));
        CU_ASSERT_TRUE(g_str_has_suffix(raw_caller_text(caller), ends[index]));
        raw_caller_close(caller);
    }
}

/** An orderly close without chunked encoding would make a truncated stream look complete. */
static void a_broken_stream_resets_http_1_0_connections(void) {
    bench_set_engine_modes(TOKEN_ENGINE_BREAKS_STREAMS);
    raw_caller *caller = open_call(1, "/once/cut", "1.0", "cut-old");
    CU_ASSERT_PTR_NOT_NULL_FATAL(caller);
    CU_ASSERT_EQUAL(raw_caller_read_to_end(caller, LIMIT_MS), RAW_RESET);
    bench_set_engine_modes(TOKEN_ENGINE_HEALTHY);
    raw_caller_close(caller);
}

static void a_killed_daemon_resets_unframed_streams(void) {
    bench_set_engine_modes(TOKEN_ENGINE_ENDLESS);
    raw_caller *caller = open_call(1, "/once/killed", "1.0", "killed-old");
    CU_ASSERT_PTR_NOT_NULL_FATAL(caller);
    CU_ASSERT_TRUE(raw_caller_read_until(caller, "id: 2\n", LIMIT_MS));
    bench_signal_daemon(1, SIGKILL);
    CU_ASSERT_EQUAL(raw_caller_read_to_end(caller, LIMIT_MS), RAW_RESET);
    raw_caller_close(caller);
    bench_set_engine_modes(TOKEN_ENGINE_HEALTHY);
    CU_ASSERT_TRUE(bench_start_daemon(1, false));
    CU_ASSERT_TRUE(bench_wait_ready(1));
}

/** A caller that disconnects before its first event or within its stream ends the engine's run. */
static void a_disconnected_caller_frees_its_engine(void) {
    static const char *const received[] = {"", "id: 2\n"};
    bench_set_engine_modes(TOKEN_ENGINE_ENDLESS);
    for (size_t index = 0; index < G_N_ELEMENTS(received); index++) {
        raw_caller *caller = open_call(2, "/once/gone", "1.1", "gone");
        CU_ASSERT_PTR_NOT_NULL_FATAL(caller);
        CU_ASSERT_TRUE(raw_caller_read_until(caller, received[index], LIMIT_MS));
        hs_clock_sleep_ms(30);
        CU_ASSERT_EQUAL(count_open_engine_runs(), 1);
        raw_caller_close(caller);
        CU_ASSERT_TRUE(wait_for_engine_runs_to_end(500));
    }
    bench_set_engine_modes(TOKEN_ENGINE_HEALTHY);
}

/** Submits a job of one item and waits until the item runs. */
static void start_single_item(const char *job, const char *item) {
    hs_clock_sleep_ms(2500); /* Until the partitions are assigned to all daemons. */
    bench_set_engine_modes(TOKEN_ENGINE_ENDLESS);
    g_autofree char *body = bench_job_body(job, 1);
    bench_answer accepted = bench_send(
        &(bench_call){.method = "POST", .target = "/jobs/x", .request_id = job, .body = body});
    CU_ASSERT_EQUAL(accepted.status, 202);
    bench_answer_clear(&accepted);
    uint64_t limit = hs_clock_monotonic_ms() + LIMIT_MS;
    while (bench_run_count(item) == 0 && hs_clock_monotonic_ms() < limit)
        hs_clock_sleep_ms(20);
}

/** Starts all daemons and checks that each further run of the item resumes after an event. */
static void check_item_resumes(const char *job, const char *item) {
    CU_ASSERT_EQUAL(bench_run_count(item), 1);
    bench_set_engine_modes(TOKEN_ENGINE_HEALTHY);
    for (int daemon = 0; daemon < BENCH_DEFAULT_DAEMONS; daemon++)
        CU_ASSERT_TRUE(bench_start_daemon(daemon, false));
    for (int daemon = 0; daemon < BENCH_DEFAULT_DAEMONS; daemon++)
        CU_ASSERT_TRUE(bench_wait_ready(daemon));
    g_autofree char *page = bench_wait_job(0, job, 1, 5 * LIMIT_MS);
    CU_ASSERT_PTR_NOT_NULL(page);
    uint32_t runs = bench_run_count(item);
    CU_ASSERT(runs >= 2);
    CU_ASSERT_EQUAL(bench_resume_count(item), runs - 1);
}

/** All daemons stop while the store refuses calls; it recovers within their grace period. */
static void a_stop_while_the_store_is_unavailable_loses_no_work(void) {
    start_single_item("away", "away-0");
    hs_clock_sleep_ms(300);
    log_store_set_mode(bench.store, LOG_STORE_REFUSES, NULL, G_MAXUINT32);
    hs_clock_sleep_ms(800);
    for (int daemon = 0; daemon < BENCH_DEFAULT_DAEMONS; daemon++)
        CU_ASSERT_EQUAL(kill(bench.pids[daemon], SIGTERM), 0);
    hs_clock_sleep_ms(2200);
    log_store_set_mode(bench.store, LOG_STORE_HEALTHY, NULL, 0);
    for (int daemon = 0; daemon < BENCH_DEFAULT_DAEMONS; daemon++)
        CU_ASSERT_EQUAL(bench_signal_daemon(daemon, SIGTERM), 0);
    check_item_resumes("away", "away-0");
}

/** All daemons are killed during a long item, whose stored events are not generated again. */
static void a_kill_of_all_daemons_repeats_little(void) {
    start_single_item("killed", "killed-0");
    hs_clock_sleep_ms(3500);
    for (int daemon = 0; daemon < BENCH_DEFAULT_DAEMONS; daemon++)
        bench_signal_daemon(daemon, SIGKILL);
    check_item_resumes("killed", "killed-0");
}

/** Whether the first successful look-up at the daemon's directory returns this TTL. */
static bool is_ttl_returned(int daemon, int ttl_s) {
    g_autofree char *wanted = g_strdup_printf(ANSWER_TTL "%d", ttl_s);
    uint64_t limit = hs_clock_monotonic_ms() + LIMIT_MS;
    uint32_t status = 0;
    bool has_ttl = false;
    while (status != 200 && hs_clock_monotonic_ms() < limit) {
        bench_answer answer = bench_send(&(bench_call){.method = "GET",
                                                       .target = PATH_RESOLVE "?name=a&zone=zone-a",
                                                       .port = bench_directory_port(daemon)});
        status = answer.status;
        has_ttl = status == 200 && strstr(answer.body, wanted) != NULL;
        bench_answer_clear(&answer);
        hs_clock_sleep_ms(30);
    }
    return has_ttl;
}

/** A changed settings file is reloaded without a signal; command line settings take precedence. */
static void a_changed_settings_file_is_reloaded(void) {
    g_autofree char *path = NULL;
    int descriptor = g_file_open_tmp("heathsail-settings-XXXXXX", &path, NULL);
    CU_ASSERT_FATAL(descriptor >= 0);
    g_close(descriptor, NULL);
    g_file_set_contents(path, "[fleet]\ngrace_s=40\nresolve_ttl_most_s=3\n", -1, NULL);
    bench_signal_daemon(0, SIGKILL);
    CU_ASSERT_TRUE(bench_start_daemon_with_settings(0, path));
    CU_ASSERT_TRUE(bench_wait_ready(0));
    CU_ASSERT_TRUE(is_ttl_returned(0, 1)); /* A quarter of the 6 s set on the command line. */
    g_file_set_contents(path, "[fleet]\ngrace_s=60\nresolve_ttl_most_s=1x\n", -1, NULL);
    hs_clock_sleep_ms(2500);
    CU_ASSERT_TRUE(is_ttl_returned(0, 1)); /* Invalid: the previous settings stay. */
    g_file_set_contents(path, "[daemon]\nlog_level=warning\n", -1, NULL);
    hs_clock_sleep_ms(2500);
    CU_ASSERT_TRUE(is_ttl_returned(0, 1));
    bench_answer metrics = bench_send(
        &(bench_call){.method = "GET", .target = "/metrics", .port = bench_metrics_port(0)});
    CU_ASSERT_PTR_NOT_NULL(strstr(metrics.body, "heathsail_settings_reloads_total 1\n"));
    CU_ASSERT_PTR_NOT_NULL(strstr(metrics.body, "heathsail_settings_refused_total 1\n"));
    bench_answer_clear(&metrics);
    g_remove(path);
}

/** A daemon that can't bind its metrics port still becomes ready. */
static void an_occupied_metrics_port_prevents_no_start(void) {
    bench_signal_daemon(1, SIGKILL);
    struct sockaddr_in occupied = {.sin_family = AF_INET,
                                   .sin_port = htons(bench_metrics_port(1)),
                                   .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    int enabled = 1;
    int descriptor = socket(AF_INET, SOCK_STREAM, 0);
    setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
    CU_ASSERT_EQUAL(bind(descriptor, (struct sockaddr *)&occupied, sizeof occupied), 0);
    CU_ASSERT_EQUAL(listen(descriptor, 1), 0);
    CU_ASSERT_TRUE(bench_start_daemon(1, false));
    CU_ASSERT_TRUE(bench_wait_ready(1));
    close(descriptor);
}

const test_case fleet_edge_system_tests[] = {
    {"expect_100_continue_is_answered_once", expect_100_continue_is_answered_once},
    {"http_1_0_callers_are_served_without_chunks", http_1_0_callers_are_served_without_chunks},
    {"a_broken_stream_resets_http_1_0_connections", a_broken_stream_resets_http_1_0_connections},
    {"a_killed_daemon_resets_unframed_streams", a_killed_daemon_resets_unframed_streams},
    {"a_disconnected_caller_frees_its_engine", a_disconnected_caller_frees_its_engine},
    {"a_stop_while_the_store_is_unavailable_loses_no_work",
     a_stop_while_the_store_is_unavailable_loses_no_work},
    {"a_kill_of_all_daemons_repeats_little", a_kill_of_all_daemons_repeats_little},
    {"a_changed_settings_file_is_reloaded", a_changed_settings_file_is_reloaded},
    {"an_occupied_metrics_port_prevents_no_start", an_occupied_metrics_port_prevents_no_start},
    {NULL, NULL}};
