/**
 * @file test_fleet_edges.c
 * The fleet surface at its edges: old and careful callers, callers that leave, settings that change
 * under a running daemon, a port that is taken.
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

static char *head_of(const char *target, const char *version, const char *id, const char *more) {
    return g_strdup_printf("POST %s HTTP/%s\r\nHost: " BENCH_HOST "\r\n" HEADER_REQUEST_ID
                           ": %s\r\nContent-Length: 5\r\n%s\r\n",
                           target, version, id, more);
}

/** A caller that asks first whether its body is wanted is told so, once, and gets one answer. */
static void an_expected_body_is_asked_for(void) {
    raw_caller *caller = raw_caller_open(bench_front_port(0));
    CU_ASSERT_PTR_NOT_NULL_FATAL(caller);
    g_autofree char *head =
        head_of("/plain/e", "1.1", "expect", "Expect: 100-continue\r\nConnection: close\r\n");
    raw_caller_send(caller, head);
    CU_ASSERT_TRUE(raw_caller_read_until(caller, "HTTP/1.1 100 Continue\r\n\r\n", LIMIT_MS));
    raw_caller_send(caller, "hello");
    CU_ASSERT_EQUAL(raw_caller_read_to_end(caller, LIMIT_MS), RAW_CLOSED);
    CU_ASSERT_PTR_NOT_NULL(strstr(raw_caller_text(caller), "HTTP/1.1 200 OK"));
    CU_ASSERT_TRUE(g_str_has_suffix(raw_caller_text(caller), "/plain/e"));
    raw_caller_close(caller);
}

/** HTTP/1.0: no chunks; the answer ends with its length or the connection. */
static void old_callers_are_served_without_chunks(void) {
    static const char *const targets[] = {"/plain/old", "/once/old"};
    static const char *const last_parts[] = {"/plain/old", "id: 12\ndata: token 12 of engine-"};
    static const char *const ends[] = {"/plain/old", "\n\n"};
    for (size_t index = 0; index < G_N_ELEMENTS(targets); index++) {
        raw_caller *caller = raw_caller_open(bench_front_port(1));
        CU_ASSERT_PTR_NOT_NULL_FATAL(caller);
        g_autofree char *head = head_of(targets[index], "1.0", "old", "");
        raw_caller_send(caller, head);
        raw_caller_send(caller, "hello");
        CU_ASSERT_EQUAL(raw_caller_read_to_end(caller, LIMIT_MS), RAW_CLOSED);
        CU_ASSERT_PTR_NOT_NULL(strstr(raw_caller_text(caller), " 200 OK\r\n"));
        CU_ASSERT_PTR_NULL(strstr(raw_caller_text(caller), "chunked"));
        CU_ASSERT_PTR_NOT_NULL(strstr(raw_caller_text(caller), last_parts[index]));
        CU_ASSERT_TRUE(g_str_has_suffix(raw_caller_text(caller), ends[index]));
        raw_caller_close(caller);
    }
}

/** Without chunks a close would make a cut stream look whole: the connection is reset. */
static void a_cut_stream_looks_cut_to_old_callers(void) {
    bench_set_engines(TOKEN_ENGINE_BREAKS);
    raw_caller *caller = raw_caller_open(bench_front_port(1));
    CU_ASSERT_PTR_NOT_NULL_FATAL(caller);
    g_autofree char *head = head_of("/once/cut", "1.0", "cut-old", "");
    raw_caller_send(caller, head);
    raw_caller_send(caller, "hello");
    CU_ASSERT_EQUAL(raw_caller_read_to_end(caller, LIMIT_MS), RAW_RESET);
    bench_set_engines(TOKEN_ENGINE_SOUND);
    raw_caller_close(caller);
}

/** Before its first event and in the middle of its stream, a caller that leaves frees the engine.
 */
static void engines_are_free_once_a_caller_left(void) {
    static const char *const seen[] = {"", "id: 2\n"};
    bench_set_engines(TOKEN_ENGINE_ENDLESS);
    for (size_t index = 0; index < G_N_ELEMENTS(seen); index++) {
        raw_caller *caller = raw_caller_open(bench_front_port(2));
        CU_ASSERT_PTR_NOT_NULL_FATAL(caller);
        g_autofree char *head = head_of("/once/gone", "1.1", "gone", "");
        raw_caller_send(caller, head);
        raw_caller_send(caller, "hello");
        CU_ASSERT_TRUE(raw_caller_read_until(caller, seen[index], LIMIT_MS));
        hs_clock_sleep_ms(30);
        CU_ASSERT_EQUAL(open_engine_runs(), 1);
        raw_caller_close(caller);
        CU_ASSERT_TRUE(engine_runs_end_within(500));
    }
    bench_set_engines(TOKEN_ENGINE_SOUND);
}

/** Submit a job of one item and wait until its item runs. */
static void begin_item(const char *job, const char *item) {
    hs_clock_sleep_ms(2500); /* Until the partitions are dealt to all. */
    bench_set_engines(TOKEN_ENGINE_ENDLESS);
    g_autofree char *body = bench_job(job, 1);
    bench_answer taken = bench_send(
        &(bench_call){.method = "POST", .target = "/jobs/x", .request_id = job, .body = body});
    CU_ASSERT_EQUAL(taken.status, 202);
    bench_answer_clear(&taken);
    uint64_t limit = hs_clock_monotonic_ms() + LIMIT_MS;
    while (bench_runs(item) == 0 && hs_clock_monotonic_ms() < limit)
        hs_clock_sleep_ms(20);
}

/** Start all daemons; the item then goes on after an event, however often it is begun. */
static void check_item_goes_on(const char *job, const char *item) {
    CU_ASSERT_EQUAL(bench_runs(item), 1);
    bench_set_engines(TOKEN_ENGINE_SOUND);
    for (int daemon = 0; daemon < BENCH_DAEMONS; daemon++)
        CU_ASSERT_TRUE(bench_start_daemon(daemon, false));
    for (int daemon = 0; daemon < BENCH_DAEMONS; daemon++)
        CU_ASSERT_TRUE(bench_wait_ready(daemon));
    g_autofree char *page = bench_wait_job(0, job, 1, 5 * LIMIT_MS);
    CU_ASSERT_PTR_NOT_NULL(page);
    uint32_t runs = bench_runs(item);
    CU_ASSERT(runs >= 2);
    CU_ASSERT_EQUAL(bench_resumes(item), runs - 1);
}

/** All daemons stop while the store takes nothing; it is back within their grace time. */
static void a_stop_while_the_store_is_away_loses_no_work(void) {
    begin_item("away", "away-0");
    hs_clock_sleep_ms(300);
    log_store_set_mode(bench.store, LOG_STORE_REFUSES, NULL, G_MAXUINT32);
    hs_clock_sleep_ms(800);
    for (int daemon = 0; daemon < BENCH_DAEMONS; daemon++)
        CU_ASSERT_EQUAL(kill(bench.pids[daemon], SIGTERM), 0);
    hs_clock_sleep_ms(2200);
    log_store_set_mode(bench.store, LOG_STORE_SOUND, NULL, 0);
    for (int daemon = 0; daemon < BENCH_DAEMONS; daemon++)
        CU_ASSERT_EQUAL(bench_signal(daemon, SIGTERM), 0);
    check_item_goes_on("away", "away-0");
}

/** All daemons are killed in the middle of a long item: what was stored of it is not made again. */
static void a_kill_of_all_daemons_repeats_little(void) {
    begin_item("killed", "killed-0");
    hs_clock_sleep_ms(3500);
    for (int daemon = 0; daemon < BENCH_DAEMONS; daemon++)
        bench_signal(daemon, SIGKILL);
    check_item_goes_on("killed", "killed-0");
}

/** Whether the daemon answers look-ups, once it answers them, with this time to keep them. */
static bool tells_ttl(int daemon, int ttl_s) {
    g_autofree char *wanted = g_strdup_printf(ANSWER_TTL "%d", ttl_s);
    uint64_t limit = hs_clock_monotonic_ms() + LIMIT_MS;
    uint32_t status = 0;
    bool told = false;
    while (status != 200 && hs_clock_monotonic_ms() < limit) {
        bench_answer answer = bench_send(&(bench_call){.method = "GET",
                                                       .target = PATH_RESOLVE "?name=a&zone=zone-a",
                                                       .port = bench_directory_port(daemon)});
        status = answer.status;
        told = status == 200 && strstr(answer.body, wanted) != NULL;
        bench_answer_clear(&answer);
        hs_clock_sleep_ms(30);
    }
    return told;
}

/** A settings file that changes without a signal is read; what the command line says stays. */
static void a_changed_settings_file_is_noticed(void) {
    g_autofree char *path = NULL;
    int descriptor = g_file_open_tmp("heathsail-settings-XXXXXX", &path, NULL);
    CU_ASSERT_FATAL(descriptor >= 0);
    g_close(descriptor, NULL);
    g_file_set_contents(path, "[fleet]\ngrace_s=40\nresolve_ttl_most_s=3\n", -1, NULL);
    bench_signal(0, SIGKILL);
    CU_ASSERT_TRUE(bench_start_daemon_with(0, path));
    CU_ASSERT_TRUE(bench_wait_ready(0));
    CU_ASSERT_TRUE(tells_ttl(0, 1)); /* A quarter of the 6 s that the command line says. */
    g_file_set_contents(path, "[fleet]\ngrace_s=60\nresolve_ttl_most_s=1x\n", -1, NULL);
    hs_clock_sleep_ms(2500);
    CU_ASSERT_TRUE(tells_ttl(0, 1)); /* Refused: the settings before it stay. */
    g_file_set_contents(path, "[daemon]\nlog_level=warning\n", -1, NULL);
    hs_clock_sleep_ms(2500);
    CU_ASSERT_TRUE(tells_ttl(0, 1));
    bench_answer metrics = bench_send(
        &(bench_call){.method = "GET", .target = "/metrics", .port = bench_metrics_port(0)});
    CU_ASSERT_PTR_NOT_NULL(strstr(metrics.body, "heathsail_settings_reloads_total 1\n"));
    CU_ASSERT_PTR_NOT_NULL(strstr(metrics.body, "heathsail_settings_refused_total 1\n"));
    bench_answer_clear(&metrics);
    g_remove(path);
}

/** Figures are worth less than service: without their port the daemon serves, and says so. */
static void a_taken_metrics_port_stops_nobody(void) {
    bench_signal(1, SIGKILL);
    struct sockaddr_in taken = {.sin_family = AF_INET,
                                .sin_port = htons(bench_metrics_port(1)),
                                .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    int enabled = 1;
    int descriptor = socket(AF_INET, SOCK_STREAM, 0);
    setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
    CU_ASSERT_EQUAL(bind(descriptor, (struct sockaddr *)&taken, sizeof taken), 0);
    CU_ASSERT_EQUAL(listen(descriptor, 1), 0);
    CU_ASSERT_TRUE(bench_start_daemon(1, false));
    CU_ASSERT_TRUE(bench_wait_ready(1));
    close(descriptor);
}

const test_case fleet_edge_system_tests[] = {
    {"an_expected_body_is_asked_for", an_expected_body_is_asked_for},
    {"old_callers_are_served_without_chunks", old_callers_are_served_without_chunks},
    {"a_cut_stream_looks_cut_to_old_callers", a_cut_stream_looks_cut_to_old_callers},
    {"engines_are_free_once_a_caller_left", engines_are_free_once_a_caller_left},
    {"a_stop_while_the_store_is_away_loses_no_work", a_stop_while_the_store_is_away_loses_no_work},
    {"a_kill_of_all_daemons_repeats_little", a_kill_of_all_daemons_repeats_little},
    {"a_changed_settings_file_is_noticed", a_changed_settings_file_is_noticed},
    {"a_taken_metrics_port_stops_nobody", a_taken_metrics_port_stops_nobody},
    {NULL, NULL}};
