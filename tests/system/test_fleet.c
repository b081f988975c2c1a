/**
 * @file test_fleet.c
 * System tests of the fleet surface: forwarding, streams, engine failures, drains and restarts.
 */
#include "base/build_info.h"
#include "base/clock.h"
#include "http/http_fields.h"
#include "platform/names.h"
#include "tests/system/fleet_calls.h"
#include "tests/system/system_tests.h"
#include "tools/surface/fleet_bench.h"

#include <jansson.h>
#include <signal.h>
#include <string.h>

/** Delays in ms from the start of a daemon to its stop, which cover its whole start-up. */
#define MAX_STOP_DELAY_MS 40
#define STOP_DELAY_STEP_MS 4
/** fleet.config_apply_ms, and the hold time of a read of the configuration with a margin. */
#define CONFIG_APPLY_MS 2000
#define MAX_READ_MS 1500
/** Limit in ms for suspicions of engines to end; a failed engine is probed within 8 s. */
#define SUSPICION_LIMIT_MS 12000
/** Time in ms within which every daemon has read a change of the engines' entries. */
#define ENTRY_PROPAGATION_MS 1500

/**
 * Checks that each event of a stream arrives once and in order, and that each run after the first
 * was requested to resume at the event at which its output begins.
 */
static void check_events(const char *request_id, const char *body) {
    event_trace trace = event_trace_stream(request_id, body, true);
    check_trace(&trace);
}

static void answers_are_forwarded_unchanged(void) {
    for (int daemon = 0; daemon < BENCH_DEFAULT_DAEMONS; daemon++) {
        bench_answer answer = post_request(daemon, "/plain/%2F?a=%20b", "whole");
        CU_ASSERT_EQUAL(answer.status, 200);
        CU_ASSERT_STRING_EQUAL(answer.body, "/plain/%2F?a=%20b");
        CU_ASSERT_STRING_EQUAL(hs_http_fields_find(answer.fields, HEADER_SIGNATURE), "sig.1");
        int repeated_fields = 0;
        for (guint index = 0; index < answer.fields->len; index++)
            repeated_fields +=
                strcmp(g_array_index(answer.fields, hs_http_field, index).name, "X-Twice") == 0;
        CU_ASSERT_EQUAL(repeated_fields, 2);
        bench_answer_clear(&answer);
    }
}

static void streams_are_complete_on_every_daemon(void) {
    for (int daemon = 0; daemon < BENCH_DEFAULT_DAEMONS; daemon++) {
        bench_answer answer = post_request(daemon, "/once/s", "stream");
        CU_ASSERT_EQUAL(answer.status, 200);
        CU_ASSERT_TRUE(answer.whole);
        check_events("stream", answer.body);
        bench_answer_clear(&answer);
    }
}

static void unknown_routes_and_large_bodies_are_refused(void) {
    bench_answer answer = post_request(0, "/nowhere/x", "nowhere");
    CU_ASSERT_EQUAL(answer.status, 404);
    bench_answer_clear(&answer);
    g_autofree char *large = g_strnfill(100001, 'x');
    answer = bench_send(&(bench_call){
        .method = "POST", .target = "/plain/x", .request_id = "large", .body = large});
    CU_ASSERT_EQUAL(answer.status, 413);
    bench_answer_clear(&answer);
    CU_ASSERT_EQUAL(bench_run_count("nowhere") + bench_run_count("large"), 0);
}

static void a_refused_request_does_not_run_and_gets_retry_after(void) {
    bench_set_engine_modes(TOKEN_ENGINE_FULL);
    bench_answer answer = post_request(1, "/once/s", "full");
    bench_set_engine_modes(TOKEN_ENGINE_HEALTHY);
    CU_ASSERT_EQUAL(answer.status, 503);
    CU_ASSERT_PTR_NOT_NULL(hs_http_fields_find(answer.fields, "Retry-After"));
    CU_ASSERT_PTR_NULL(hs_http_fields_find(answer.fields, HEADER_SIGNATURE));
    CU_ASSERT_EQUAL(bench_run_count("full"), 0);
    bench_answer_clear(&answer);
}

static gpointer restore_engines(gpointer data) {
    hs_clock_sleep_ms(*(const uint64_t *)data);
    bench_set_engine_modes(TOKEN_ENGINE_HEALTHY);
    return NULL;
}

/** For three times the target latency the engines refuse all requests although slots are free. */
static void requests_wait_for_engines_with_free_slots(void) {
    uint64_t refusing_ms = 900;
    bench_set_engine_modes(TOKEN_ENGINE_FULL);
    GThread *restorer = g_thread_new("restorer", restore_engines, &refusing_ms);
    bench_answer answer = post_request(1, "/once/s", "waited-for");
    g_thread_join(restorer);
    CU_ASSERT_EQUAL(answer.status, 200);
    CU_ASSERT_EQUAL(bench_run_count("waited-for"), 1);
    bench_answer_clear(&answer);
}

static double retry_after_of(const bench_answer *answer) {
    const char *text = hs_http_fields_find(answer->fields, "Retry-After");
    return text != NULL ? g_ascii_strtod(text, NULL) : -1;
}

/** The longer no engine is available, the longer is the Retry-After of the refusals. */
static void requests_without_engines_are_refused_at_once(void) {
    for (int index = 0; index < BENCH_ENGINES; index++)
        token_engine_announce(bench.engines[index], bench.store, true);
    hs_clock_sleep_ms(ENTRY_PROPAGATION_MS);
    double retry_after_s[2];
    for (int call = 0; call < 2; call++) {
        uint64_t start_ms = hs_clock_monotonic_ms();
        bench_answer answer = post_request(0, "/plain/x", "nobody");
        CU_ASSERT(hs_clock_monotonic_ms() - start_ms < 60);
        CU_ASSERT_EQUAL(answer.status, 503);
        retry_after_s[call] = retry_after_of(&answer);
        bench_answer_clear(&answer);
        hs_clock_sleep_ms(400);
    }
    CU_ASSERT(retry_after_s[0] > 0 && retry_after_s[0] < 0.1);
    CU_ASSERT(retry_after_s[1] >= 0.4 && retry_after_s[1] < 1.0);
    for (int index = 0; index < BENCH_ENGINES; index++)
        token_engine_announce(bench.engines[index], bench.store, false);
    hs_clock_sleep_ms(ENTRY_PROPAGATION_MS);
}

static void a_broken_run_once_stream_ends_incomplete(void) {
    bench_set_engine_modes(TOKEN_ENGINE_BREAKS_STREAMS);
    bench_answer answer = post_request(0, "/once/s", "broken");
    bench_set_engine_modes(TOKEN_ENGINE_HEALTHY);
    CU_ASSERT_FALSE(answer.whole);
    CU_ASSERT_EQUAL(bench_run_count("broken"), 1);
    bench_answer_clear(&answer);
}

static void a_broken_resumable_stream_is_resumed(void) {
    bench_set_engine_modes(TOKEN_ENGINE_BREAKS_STREAMS);
    bench_answer answer = post_request(2, "/again/s", "resumed");
    bench_set_engine_modes(TOKEN_ENGINE_HEALTHY);
    CU_ASSERT_TRUE(answer.whole);
    check_events("resumed", answer.body);
    CU_ASSERT(bench_run_count("resumed") >= 2);
    bench_answer_clear(&answer);
}

static void an_engine_error_is_forwarded(void) {
    bench_set_engine_modes(TOKEN_ENGINE_FAILS);
    bench_answer answer = post_request(0, "/once/s", "fails");
    bench_set_engine_modes(TOKEN_ENGINE_HEALTHY);
    CU_ASSERT_EQUAL(answer.status, 500);
    CU_ASSERT_STRING_EQUAL(hs_http_fields_find(answer.fields, HEADER_SIGNATURE), "sig.f");
    CU_ASSERT_EQUAL(bench_run_count("fails"), 1);
    bench_answer_clear(&answer);
}

static void a_deadline_ends_a_stream_in_time(void) {
    uint64_t start_ms = hs_clock_monotonic_ms();
    bench_answer answer = bench_send(&(bench_call){.method = "POST",
                                                   .target = "/once/s",
                                                   .request_id = "deadline",
                                                   .body = "x",
                                                   .timeout_ms = 60});
    CU_ASSERT_FALSE(answer.whole);
    CU_ASSERT(hs_clock_monotonic_ms() - start_ms < 500);
    bench_answer_clear(&answer);
}

static bool is_no_engine_suspected(int daemon) {
    bench_answer metrics = bench_send(
        &(bench_call){.method = "GET", .target = "/metrics", .port = bench_metrics_port(daemon)});
    bool none_suspected = true;
    for (int index = 0; index < BENCH_ENGINES; index++) {
        g_autofree char *line =
            g_strdup_printf("heathsail_engine_suspected{engine=\"engine-%d\"} 0\n", index);
        none_suspected = none_suspected && strstr(metrics.body, line) != NULL;
    }
    bench_answer_clear(&metrics);
    return none_suspected;
}

/** Sends requests until the suspicions caused by failures in earlier tests have ended. */
static void wait_for_suspicions_to_end(int daemon) {
    uint64_t until_ms = hs_clock_monotonic_ms() + SUSPICION_LIMIT_MS;
    while (!is_no_engine_suspected(daemon) && hs_clock_monotonic_ms() < until_ms) {
        bench_answer answer = post_request(daemon, "/once/s", "trust");
        bench_answer_clear(&answer);
    }
    CU_ASSERT_TRUE(is_no_engine_suspected(daemon));
}

/** A request that ends by its caller's short timeout is no failure of the engine. */
static void a_short_caller_timeout_makes_no_engine_suspected(void) {
    wait_for_suspicions_to_end(0);
    bench_set_engine_modes(TOKEN_ENGINE_SLOW);
    for (int request = 0; request < 6; request++) {
        bench_answer answer = bench_send(&(bench_call){.method = "POST",
                                                       .target = "/once/s",
                                                       .request_id = "short",
                                                       .body = "x",
                                                       .timeout_ms = 40});
        CU_ASSERT_EQUAL(answer.status, 504);
        bench_answer_clear(&answer);
    }
    bench_set_engine_modes(TOKEN_ENGINE_HEALTHY);
    CU_ASSERT_TRUE(is_no_engine_suspected(0));
}

static void a_draining_engine_gets_no_new_requests(void) {
    token_engine_announce(bench.engines[0], bench.store, true);
    hs_clock_sleep_ms(1000);
    uint32_t before = token_engine_total_run_count(bench.engines[0]);
    for (int request = 0; request < 9; request++) {
        bench_answer answer = post_request(request % BENCH_DEFAULT_DAEMONS, "/plain/x", "leaving");
        CU_ASSERT_EQUAL(answer.status, 200);
        bench_answer_clear(&answer);
    }
    CU_ASSERT_EQUAL(token_engine_total_run_count(bench.engines[0]), before);
    token_engine_announce(bench.engines[0], bench.store, false);
    hs_clock_sleep_ms(600);
}

/** Engine entries that expire while the store is unavailable do not remove the engines. */
static void engines_are_kept_while_the_store_is_unavailable(void) {
    log_store_set_mode(bench.store, LOG_STORE_DROPS_CALLS, CALL_READ, G_MAXUINT32);
    hs_clock_sleep_ms(1500);
    for (int index = 0; index < BENCH_ENGINES; index++)
        log_store_put(bench.store, TOPIC_ENGINES, index == 0 ? "engine-0" : "engine-1", "");
    log_store_set_mode(bench.store, LOG_STORE_HEALTHY, NULL, 0);
    hs_clock_sleep_ms(800);
    for (int daemon = 0; daemon < BENCH_DEFAULT_DAEMONS; daemon++) {
        bench_answer answer = post_request(daemon, "/plain/x", "outlasts");
        CU_ASSERT_EQUAL(answer.status, 200);
        bench_answer_clear(&answer);
    }
    token_engine_announce(bench.engines[0], bench.store, false);
    /* Two announcement intervals and a read: engine 0 is listed again, engine 1 is removed. */
    hs_clock_sleep_ms(2200);
    uint32_t before = token_engine_total_run_count(bench.engines[1]);
    for (int daemon = 0; daemon < BENCH_DEFAULT_DAEMONS; daemon++) {
        bench_answer answer = post_request(daemon, "/plain/x", "came-back");
        CU_ASSERT_EQUAL(answer.status, 200);
        bench_answer_clear(&answer);
    }
    CU_ASSERT_EQUAL(token_engine_total_run_count(bench.engines[1]), before);
    token_engine_announce(bench.engines[1], bench.store, false);
    hs_clock_sleep_ms(900);
}

static void a_new_configuration_is_applied_by_every_daemon(void) {
    bench_configure(2);
    hs_clock_sleep_ms(300);
    for (int daemon = 0; daemon < BENCH_DEFAULT_DAEMONS; daemon++) {
        bench_answer metrics = bench_send(&(bench_call){
            .method = "GET", .target = "/metrics", .port = bench_metrics_port(daemon)});
        CU_ASSERT_PTR_NOT_NULL(strstr(metrics.body, "heathsail_config_version 2\n"));
        CU_ASSERT_PTR_NOT_NULL(strstr(metrics.body, hs_build_commit()));
        bench_answer_clear(&metrics);
    }
}

static gpointer run_stream(gpointer data) {
    bench_answer *answer = data;
    *answer = post_request(1, "/once/s", "while-stopping");
    return NULL;
}

/** Whether the directory of one daemon resolves to the front address of another. */
static bool is_resolvable(int resolver_daemon, int daemon) {
    g_autofree char *address = g_strdup_printf("127.0.0.1:%u", bench_front_port(daemon));
    bench_answer answer = bench_send(&(bench_call){.method = "GET",
                                                   .target = PATH_RESOLVE "?name=a&zone=zone-a",
                                                   .port = bench_directory_port(resolver_daemon)});
    bool has_address = answer.status == 200 && strstr(answer.body, address) != NULL;
    bench_answer_clear(&answer);
    return has_address;
}

static void a_stop_drains_requests_and_updates_the_directory(void) {
    CU_ASSERT_TRUE(is_resolvable(0, 1));
    CU_ASSERT_EQUAL(submit_job(1, "job8", 12), 202);
    bench_answer answer = {0};
    GThread *caller = g_thread_new("caller", run_stream, &answer);
    hs_clock_sleep_ms(60);
    CU_ASSERT_EQUAL(kill(bench.pids[1], SIGTERM), 0);
    hs_clock_sleep_ms(500);
    CU_ASSERT_FALSE(is_resolvable(0, 1));
    CU_ASSERT_EQUAL(bench_signal_daemon(1, SIGTERM), 0);
    g_thread_join(caller);
    CU_ASSERT_TRUE(answer.whole);
    check_events("while-stopping", answer.body != NULL ? answer.body : "");
    bench_answer_clear(&answer);
    g_autofree char *page = bench_wait_job(0, "job8", 12, JOB_LIMIT_MS);
    CU_ASSERT_PTR_NOT_NULL(page);
    if (page == NULL)
        return;
    check_job_results(page, 12);
    CU_ASSERT_TRUE(bench_start_daemon(1, false));
    CU_ASSERT_TRUE(bench_wait_ready(1));
}

static void a_hangup_signal_does_not_interrupt_service(void) {
    CU_ASSERT_EQUAL(bench_signal_daemon(0, SIGHUP), 0);
    hs_clock_sleep_ms(100);
    bench_answer answer = post_request(0, "/once/s", "hangup");
    CU_ASSERT_EQUAL(answer.status, 200);
    bench_answer_clear(&answer);
}

/** The log lines of these requests fill the pipe, which nothing reads. */
static void a_stalled_log_reader_blocks_no_request(void) {
    bench_signal_daemon(2, SIGKILL);
    CU_ASSERT_TRUE(bench_start_daemon(2, true));
    CU_ASSERT_TRUE(bench_wait_ready(2));
    for (int request = 0; request < 600; request++) {
        bench_answer answer = post_request(2, "/plain/log", "log");
        CU_ASSERT_EQUAL(answer.status, 200);
        bench_answer_clear(&answer);
    }
}

/** A daemon that is stopped during its start-up exits cleanly. */
static void a_stop_during_startup_is_clean(void) {
    for (unsigned after_ms = 0; after_ms <= MAX_STOP_DELAY_MS; after_ms += STOP_DELAY_STEP_MS) {
        CU_ASSERT_EQUAL(bench_signal_daemon(2, SIGTERM), 0);
        CU_ASSERT_TRUE(bench_start_daemon(2, false));
        hs_clock_sleep_ms(after_ms);
    }
    CU_ASSERT_EQUAL(bench_signal_daemon(2, SIGTERM), 0);
    CU_ASSERT_TRUE(bench_start_daemon(2, false));
    CU_ASSERT_TRUE(bench_wait_ready(2));
}

static uint32_t status_of_unknown_route(void) {
    bench_answer answer = post_request(0, "/nowhere/x", "unknown");
    uint32_t status = answer.status;
    bench_answer_clear(&answer);
    return status;
}

/** Guards against a 404 by an old configuration for a route that a newer one has. */
static void a_missing_route_of_an_old_configuration_is_no_404(void) {
    log_store_set_mode(bench.store, LOG_STORE_REFUSES, CALL_READ, G_MAXUINT32);
    hs_clock_sleep_ms(CONFIG_APPLY_MS + MAX_READ_MS);
    CU_ASSERT_EQUAL(status_of_unknown_route(), 503);
    bench_answer known = post_request(0, "/plain/x", "known-route");
    CU_ASSERT_EQUAL(known.status, 200);
    bench_answer_clear(&known);
    log_store_set_mode(bench.store, LOG_STORE_HEALTHY, NULL, 0);
    uint64_t limit_ms = hs_clock_monotonic_ms() + CONFIG_APPLY_MS + MAX_READ_MS;
    while (status_of_unknown_route() != 404 && hs_clock_monotonic_ms() < limit_ms)
        hs_clock_sleep_ms(50);
    CU_ASSERT_EQUAL(status_of_unknown_route(), 404);
}

const test_case fleet_system_tests[] = {
    {"answers_are_forwarded_unchanged", answers_are_forwarded_unchanged},
    {"streams_are_complete_on_every_daemon", streams_are_complete_on_every_daemon},
    {"unknown_routes_and_large_bodies_are_refused", unknown_routes_and_large_bodies_are_refused},
    {"a_refused_request_does_not_run_and_gets_retry_after",
     a_refused_request_does_not_run_and_gets_retry_after},
    {"requests_wait_for_engines_with_free_slots", requests_wait_for_engines_with_free_slots},
    {"requests_without_engines_are_refused_at_once", requests_without_engines_are_refused_at_once},
    {"a_broken_run_once_stream_ends_incomplete", a_broken_run_once_stream_ends_incomplete},
    {"a_broken_resumable_stream_is_resumed", a_broken_resumable_stream_is_resumed},
    {"an_engine_error_is_forwarded", an_engine_error_is_forwarded},
    {"a_deadline_ends_a_stream_in_time", a_deadline_ends_a_stream_in_time},
    {"a_short_caller_timeout_makes_no_engine_suspected",
     a_short_caller_timeout_makes_no_engine_suspected},
    {"a_draining_engine_gets_no_new_requests", a_draining_engine_gets_no_new_requests},
    {"engines_are_kept_while_the_store_is_unavailable",
     engines_are_kept_while_the_store_is_unavailable},
    {"a_new_configuration_is_applied_by_every_daemon",
     a_new_configuration_is_applied_by_every_daemon},
    {"a_missing_route_of_an_old_configuration_is_no_404",
     a_missing_route_of_an_old_configuration_is_no_404},
    {"a_stop_during_startup_is_clean", a_stop_during_startup_is_clean},
    {"a_stop_drains_requests_and_updates_the_directory",
     a_stop_drains_requests_and_updates_the_directory},
    {"a_hangup_signal_does_not_interrupt_service", a_hangup_signal_does_not_interrupt_service},
    {"a_stalled_log_reader_blocks_no_request", a_stalled_log_reader_blocks_no_request},
    {NULL, NULL}};
