/** @file test_fleet.c  The fleet surface over real daemons: promises, streams, jobs, stops. */
#include "base/clock.h"
#include "http/http_fields.h"
#include "platform/names.h"
#include "tests/support/fault_proxy.h"
#include "tests/system/system_tests.h"
#include "tools/surface/fleet_bench.h"

#include <jansson.h>
#include <signal.h>
#include <string.h>

#define JOB_LIMIT_MS 15000
/** Longer than the store's group and the daemons' probes need to know of a daemon. */
#define CUT_KNOWN_MS 4500
/** An engine that failed is tried again after one to eight seconds. */
#define TRUST_LIMIT_MS 12000

static bench_answer post(int daemon, const char *target, const char *id) {
    return bench_send(&(bench_call){
        .daemon = daemon, .method = "POST", .target = target, .request_id = id, .body = "hello"});
}

/** Every event once, in order. */
static void check_events(const char *body) {
    g_autofree char *wanted = bench_stream_text();
    CU_ASSERT_STRING_EQUAL(body, wanted);
}

static void whole_answers_are_passed_on(void) {
    for (int daemon = 0; daemon < BENCH_DAEMONS; daemon++) {
        bench_answer answer = post(daemon, "/plain/%2F?a=%20b", "whole");
        CU_ASSERT_EQUAL(answer.status, 200);
        CU_ASSERT_STRING_EQUAL(answer.body, "/plain/%2F?a=%20b");
        CU_ASSERT_STRING_EQUAL(hs_http_fields_find(answer.fields, HEADER_SIGNATURE), "sig.1");
        int twice = 0;
        for (guint index = 0; index < answer.fields->len; index++)
            twice +=
                strcmp(g_array_index(answer.fields, hs_http_field, index).name, "X-Twice") == 0;
        CU_ASSERT_EQUAL(twice, 2);
        bench_answer_clear(&answer);
    }
}

static void streams_are_whole_on_every_daemon(void) {
    for (int daemon = 0; daemon < BENCH_DAEMONS; daemon++) {
        bench_answer answer = post(daemon, "/once/s", "stream");
        CU_ASSERT_EQUAL(answer.status, 200);
        CU_ASSERT_TRUE(answer.whole);
        check_events(answer.body);
        bench_answer_clear(&answer);
    }
}

static void unknown_routes_and_large_bodies_are_refused(void) {
    bench_answer answer = post(0, "/nowhere/x", "nowhere");
    CU_ASSERT_EQUAL(answer.status, 404);
    bench_answer_clear(&answer);
    g_autofree char *large = g_strnfill(100001, 'x');
    answer = bench_send(&(bench_call){
        .method = "POST", .target = "/plain/x", .request_id = "large", .body = large});
    CU_ASSERT_EQUAL(answer.status, 413);
    bench_answer_clear(&answer);
    CU_ASSERT_EQUAL(bench_runs("nowhere") + bench_runs("large"), 0);
}

static void a_refusal_did_not_run_and_says_when_to_come_back(void) {
    bench_set_engines(TOKEN_ENGINE_FULL);
    bench_answer answer = post(1, "/once/s", "full");
    bench_set_engines(TOKEN_ENGINE_SOUND);
    CU_ASSERT_EQUAL(answer.status, 503);
    CU_ASSERT_PTR_NOT_NULL(hs_http_fields_find(answer.fields, "Retry-After"));
    CU_ASSERT_PTR_NULL(hs_http_fields_find(answer.fields, HEADER_SIGNATURE));
    CU_ASSERT_EQUAL(bench_runs("full"), 0);
    bench_answer_clear(&answer);
}

static void a_stream_that_breaks_runs_once_and_looks_broken(void) {
    bench_set_engines(TOKEN_ENGINE_BREAKS);
    bench_answer answer = post(0, "/once/s", "broken");
    bench_set_engines(TOKEN_ENGINE_SOUND);
    CU_ASSERT_FALSE(answer.whole);
    CU_ASSERT_EQUAL(bench_runs("broken"), 1);
    bench_answer_clear(&answer);
}

static void a_resumable_stream_goes_on_elsewhere(void) {
    bench_set_engines(TOKEN_ENGINE_BREAKS);
    bench_answer answer = post(2, "/again/s", "resumed");
    bench_set_engines(TOKEN_ENGINE_SOUND);
    CU_ASSERT_TRUE(answer.whole);
    check_events(answer.body);
    CU_ASSERT(bench_runs("resumed") >= 2);
    bench_answer_clear(&answer);
}

static void an_engines_failure_is_passed_on(void) {
    bench_set_engines(TOKEN_ENGINE_FAILS);
    bench_answer answer = post(0, "/once/s", "fails");
    bench_set_engines(TOKEN_ENGINE_SOUND);
    CU_ASSERT_EQUAL(answer.status, 500);
    CU_ASSERT_STRING_EQUAL(hs_http_fields_find(answer.fields, HEADER_SIGNATURE), "sig.f");
    CU_ASSERT_EQUAL(bench_runs("fails"), 1);
    bench_answer_clear(&answer);
}

static void a_deadline_ends_a_stream_in_time(void) {
    uint64_t began = hs_clock_monotonic_ms();
    bench_answer answer = bench_send(&(bench_call){.method = "POST",
                                                   .target = "/once/s",
                                                   .request_id = "deadline",
                                                   .body = "x",
                                                   .timeout_ms = 60});
    CU_ASSERT_FALSE(answer.whole);
    CU_ASSERT(hs_clock_monotonic_ms() - began < 500);
    bench_answer_clear(&answer);
}

/** Whether a daemon trusts all engines. */
static bool all_are_trusted(int daemon) {
    bench_answer metrics = bench_send(
        &(bench_call){.method = "GET", .target = "/metrics", .port = bench_metrics_port(daemon)});
    bool trusted = true;
    for (int index = 0; index < BENCH_ENGINES; index++) {
        g_autofree char *line =
            g_strdup_printf("heathsail_engine_suspected{engine=\"engine-%d\"} 0\n", index);
        trusted = trusted && strstr(metrics.body, line) != NULL;
    }
    bench_answer_clear(&metrics);
    return trusted;
}

/** Serve requests until what engines failed in tests before is forgotten. */
static void regain_trust(int daemon) {
    uint64_t until_ms = hs_clock_monotonic_ms() + TRUST_LIMIT_MS;
    while (!all_are_trusted(daemon) && hs_clock_monotonic_ms() < until_ms) {
        bench_answer answer = post(daemon, "/once/s", "trust");
        bench_answer_clear(&answer);
    }
    CU_ASSERT_TRUE(all_are_trusted(daemon));
}

/** A caller's short time-out says nothing of the engine. */
static void a_short_timeout_makes_no_engine_suspected(void) {
    regain_trust(0);
    bench_set_engines(TOKEN_ENGINE_SLOW);
    for (int request = 0; request < 6; request++) {
        bench_answer answer = bench_send(&(bench_call){.method = "POST",
                                                       .target = "/once/s",
                                                       .request_id = "short",
                                                       .body = "x",
                                                       .timeout_ms = 40});
        CU_ASSERT_EQUAL(answer.status, 504);
        bench_answer_clear(&answer);
    }
    bench_set_engines(TOKEN_ENGINE_SOUND);
    CU_ASSERT_TRUE(all_are_trusted(0));
}

static uint32_t submit(int daemon, const char *id, int count) {
    g_autofree char *body = bench_job(id, count);
    bench_answer answer = bench_send(&(bench_call){
        .daemon = daemon, .method = "POST", .target = "/jobs/x", .request_id = id, .body = body});
    uint32_t status = answer.status;
    bench_answer_clear(&answer);
    return status;
}

/** All items once and completed with the whole output. */
static void check_results(const char *page, int count) {
    json_t *root = json_loads(page, 0, NULL);
    const json_t *results = json_object_get(root, "results");
    g_autoptr(GHashTable) seen = g_hash_table_new(g_str_hash, g_str_equal);
    g_autofree char *wanted = bench_item_text();
    size_t index = 0;
    const json_t *result = NULL;
    json_array_foreach(results, index, result) {
        const char *message = json_string_value(json_object_get(result, "message"));
        g_hash_table_add(seen, (gpointer)json_string_value(json_object_get(result, "id")));
        CU_ASSERT_STRING_EQUAL(json_string_value(json_object_get(result, "state")), "completed");
        CU_ASSERT_STRING_EQUAL(message, wanted);
    }
    CU_ASSERT_EQUAL(g_hash_table_size(seen), (guint)count);
    json_decref(root);
}

static void a_job_is_taken_once_and_the_same_everywhere(void) {
    CU_ASSERT_EQUAL(submit(0, "job1", 20), 202);
    CU_ASSERT_EQUAL(submit(1, "job1", 20), 202);
    CU_ASSERT_EQUAL(submit(0, "job1", 20), 202);
    g_autofree char *first = bench_wait_job(2, "job1", 20, JOB_LIMIT_MS);
    CU_ASSERT_PTR_NOT_NULL(first);
    if (first == NULL)
        return;
    check_results(first, 20);
    for (int daemon = 0; daemon < BENCH_DAEMONS; daemon++) {
        g_autofree char *page = bench_wait_job(daemon, "job1", 20, JOB_LIMIT_MS);
        CU_ASSERT_EQUAL(g_strcmp0(page, first), 0);
    }
    for (int item = 0; item < 20; item++) {
        g_autofree char *id = g_strdup_printf("job1-%d", item);
        CU_ASSERT_EQUAL(bench_runs(id), 1);
    }
    bench_answer gone =
        bench_send(&(bench_call){.method = "GET", .target = PATH_ITEMS "job1?id=job1-3"});
    CU_ASSERT_EQUAL(gone.status, 404);
    bench_answer_clear(&gone);
    bench_answer unknown = bench_send(&(bench_call){.method = "GET", .target = PATH_JOBS "none"});
    CU_ASSERT_EQUAL(unknown.status, 404);
    bench_answer_clear(&unknown);
}

/** One metric of a daemon; -1: it is not told. */
static int read_metric(int daemon, const char *name) {
    bench_answer metrics = bench_send(
        &(bench_call){.method = "GET", .target = "/metrics", .port = bench_metrics_port(daemon)});
    const char *line = strstr(metrics.body, name);
    int value = line != NULL ? (int)g_ascii_strtoll(line + strlen(name), NULL, 10) : -1;
    bench_answer_clear(&metrics);
    return value;
}

/** Of all daemons one owns the job's partition; the others ask it instead of the log. */
static void calls_about_a_job_are_answered_by_its_owner(void) {
    CU_ASSERT_EQUAL(submit(0, "job11", 2), 202);
    g_autofree char *first = bench_wait_job(0, "job11", 2, JOB_LIMIT_MS);
    CU_ASSERT_PTR_NOT_NULL(first);
    int by_owner = 0;
    int from_log = 0;
    for (int daemon = 0; daemon < BENCH_DAEMONS; daemon++) {
        by_owner -= read_metric(daemon, "heathsail_job_calls{by=\"owner\"} ");
        from_log -= read_metric(daemon, "heathsail_job_calls{by=\"log\"} ");
        g_autofree char *page = bench_wait_job(daemon, "job11", 2, JOB_LIMIT_MS);
        CU_ASSERT_EQUAL(g_strcmp0(page, first), 0);
        by_owner += read_metric(daemon, "heathsail_job_calls{by=\"owner\"} ");
        from_log += read_metric(daemon, "heathsail_job_calls{by=\"log\"} ");
    }
    CU_ASSERT_EQUAL(by_owner, BENCH_DAEMONS - 1);
    CU_ASSERT_EQUAL(from_log, 0);
}

static void open_items_give_their_bodies_and_ends_stop_them(void) {
    bench_set_engines(TOKEN_ENGINE_FULL);
    CU_ASSERT_EQUAL(submit(1, "job2", 3), 202);
    bench_answer body = bench_send(
        &(bench_call){.daemon = 2, .method = "GET", .target = PATH_ITEMS "job2?id=job2-1"});
    CU_ASSERT_EQUAL(body.status, 200);
    CU_ASSERT_STRING_EQUAL(body.body, "hello");
    bench_answer_clear(&body);
    for (int again = 0; again < 2; again++) {
        bench_answer ended = bench_send(
            &(bench_call){.daemon = again, .method = "DELETE", .target = PATH_JOBS "job2"});
        CU_ASSERT_EQUAL(ended.status, 200);
        bench_answer_clear(&ended);
    }
    hs_clock_sleep_ms(300);
    bench_set_engines(TOKEN_ENGINE_SOUND);
    hs_clock_sleep_ms(600);
    CU_ASSERT_EQUAL(bench_runs("job2-0") + bench_runs("job2-1") + bench_runs("job2-2"), 0);
}

static void what_cannot_be_done_is_given_up(void) {
    bench_set_engines(TOKEN_ENGINE_IMPOSSIBLE);
    CU_ASSERT_EQUAL(submit(0, "job3", 2), 202);
    g_autofree char *page = bench_wait_job(1, "job3", 2, JOB_LIMIT_MS);
    CU_ASSERT_PTR_NOT_NULL(page);
    if (page == NULL)
        return;
    CU_ASSERT_PTR_NOT_NULL(strstr(page, "dead_letter"));
    CU_ASSERT_EQUAL(bench_runs("job3-0"), 1);
    bench_set_engines(TOKEN_ENGINE_FAILS);
    CU_ASSERT_EQUAL(submit(0, "job4", 1), 202);
    g_autofree char *failed = bench_wait_job(1, "job4", 1, JOB_LIMIT_MS);
    bench_set_engines(TOKEN_ENGINE_SOUND);
    CU_ASSERT_PTR_NOT_NULL(failed);
    CU_ASSERT_EQUAL(bench_runs("job4-0"), 2); /* max-attempts of the route. */
}

static void broken_items_go_on_after_their_last_event(void) {
    bench_set_engines(TOKEN_ENGINE_BREAKS);
    CU_ASSERT_EQUAL(submit(2, "job5", 4), 202);
    g_autofree char *page = bench_wait_job(0, "job5", 4, JOB_LIMIT_MS);
    bench_set_engines(TOKEN_ENGINE_SOUND);
    CU_ASSERT_PTR_NOT_NULL(page);
    if (page == NULL)
        return;
    check_results(page, 4);
}

static void a_store_that_refuses_takes_no_job_but_serves_online(void) {
    log_store_set_mode(bench.store, LOG_STORE_REFUSES, CALL_APPEND, G_MAXUINT32);
    g_autofree char *body = bench_job("job6", 2);
    bench_answer refused = bench_send(&(bench_call){.method = "POST",
                                                    .target = "/jobs/x",
                                                    .request_id = "job6",
                                                    .body = body,
                                                    .timeout_ms = 800});
    bench_answer online = post(0, "/once/s", "meanwhile");
    log_store_set_mode(bench.store, LOG_STORE_SOUND, NULL, 0);
    CU_ASSERT_EQUAL(refused.status, 503);
    CU_ASSERT_PTR_NOT_NULL(hs_http_fields_find(refused.fields, "Retry-After"));
    CU_ASSERT_EQUAL(online.status, 200);
    bench_answer unknown = bench_send(&(bench_call){.method = "GET", .target = PATH_JOBS "job6"});
    CU_ASSERT_EQUAL(unknown.status, 404);
    bench_answer_clear(&unknown);
    bench_answer_clear(&refused);
    bench_answer_clear(&online);
}

/** Start a daemon anew, with the store at @p store_port (0: directly). */
static void restart_daemon(int daemon, uint16_t store_port) {
    bench_signal(daemon, SIGKILL);
    bench.store_port = store_port;
    CU_ASSERT_TRUE(bench_start_daemon(daemon, false));
    bench.store_port = 0;
    CU_ASSERT_TRUE(bench_wait_ready(daemon));
}

/** A daemon that the store turns away has others take a job, and says so at once. */
static void a_daemon_cut_from_the_store_passes_jobs_on(void) {
    fault_proxy *proxy = fault_proxy_start(log_store_port(bench.store));
    restart_daemon(0, fault_proxy_port(proxy));
    hs_clock_sleep_ms(CUT_KNOWN_MS); /* It joins the others. */
    fault_proxy_set(proxy, PROXY_RESETS);
    hs_clock_sleep_ms(CUT_KNOWN_MS); /* What it owned is dealt to others. */
    uint64_t began_ms = hs_clock_monotonic_ms();
    CU_ASSERT_EQUAL(submit(0, "job12", 3), 202);
    CU_ASSERT(hs_clock_monotonic_ms() - began_ms < 500);
    g_autofree char *page = bench_wait_job(1, "job12", 3, JOB_LIMIT_MS);
    CU_ASSERT_PTR_NOT_NULL(page);
    if (page != NULL)
        check_results(page, 3);
    fault_proxy_set(proxy, PROXY_PASSES);
    restart_daemon(0, 0);
    fault_proxy_stop(proxy);
}

static void a_lost_answer_of_the_store_is_no_refusal(void) {
    log_store_set_mode(bench.store, LOG_STORE_LOSES_ANSWER, CALL_APPEND, 3);
    uint32_t status = submit(1, "job7", 2);
    log_store_set_mode(bench.store, LOG_STORE_SOUND, NULL, 0);
    CU_ASSERT(status == 202 || status == 504);
    g_autofree char *page = bench_wait_job(0, "job7", 2, JOB_LIMIT_MS);
    CU_ASSERT_PTR_NOT_NULL(page);
    if (page == NULL)
        return;
    check_results(page, 2);
}

static void a_read_is_no_404_while_the_store_is_away(void) {
    log_store_set_mode(bench.store, LOG_STORE_REFUSES, CALL_READ, G_MAXUINT32);
    bench_answer answer = bench_send(&(bench_call){.method = "GET", .target = PATH_JOBS "job9"});
    log_store_set_mode(bench.store, LOG_STORE_SOUND, NULL, 0);
    CU_ASSERT_EQUAL(answer.status, 503);
    bench_answer_clear(&answer);
}

static void a_leaving_engine_gets_nothing_new(void) {
    token_engine_announce(bench.engines[0], bench.store, true);
    hs_clock_sleep_ms(1000);
    uint32_t before = token_engine_total(bench.engines[0]);
    for (int request = 0; request < 9; request++) {
        bench_answer answer = post(request % BENCH_DAEMONS, "/plain/x", "leaving");
        CU_ASSERT_EQUAL(answer.status, 200);
        bench_answer_clear(&answer);
    }
    CU_ASSERT_EQUAL(token_engine_total(bench.engines[0]), before);
    token_engine_announce(bench.engines[0], bench.store, false);
    hs_clock_sleep_ms(600);
}

/** Entries that ran out while the store was away say nothing of the engines. */
static void engines_outlast_a_store_that_was_away(void) {
    log_store_set_mode(bench.store, LOG_STORE_DROPS, CALL_READ, G_MAXUINT32);
    hs_clock_sleep_ms(1500);
    for (int index = 0; index < BENCH_ENGINES; index++)
        log_store_put(bench.store, TOPIC_ENGINES, index == 0 ? "engine-0" : "engine-1", "");
    log_store_set_mode(bench.store, LOG_STORE_SOUND, NULL, 0);
    hs_clock_sleep_ms(800);
    for (int daemon = 0; daemon < BENCH_DAEMONS; daemon++) {
        bench_answer answer = post(daemon, "/plain/x", "outlasts");
        CU_ASSERT_EQUAL(answer.status, 200);
        bench_answer_clear(&answer);
    }
    token_engine_announce(bench.engines[0], bench.store, false);
    hs_clock_sleep_ms(2200); /* Two beats and a read later: one came back, one is gone. */
    uint32_t before = token_engine_total(bench.engines[1]);
    for (int daemon = 0; daemon < BENCH_DAEMONS; daemon++) {
        bench_answer answer = post(daemon, "/plain/x", "came-back");
        CU_ASSERT_EQUAL(answer.status, 200);
        bench_answer_clear(&answer);
    }
    CU_ASSERT_EQUAL(token_engine_total(bench.engines[1]), before);
    token_engine_announce(bench.engines[1], bench.store, false);
    hs_clock_sleep_ms(900);
}

static void a_new_configuration_is_in_force_everywhere(void) {
    bench_configure(2);
    hs_clock_sleep_ms(300);
    for (int daemon = 0; daemon < BENCH_DAEMONS; daemon++) {
        bench_answer metrics = bench_send(&(bench_call){
            .method = "GET", .target = "/metrics", .port = bench_metrics_port(daemon)});
        CU_ASSERT_PTR_NOT_NULL(strstr(metrics.body, "heathsail_config_version 2\n"));
        bench_answer_clear(&metrics);
    }
}

static gpointer run_stream(gpointer data) {
    bench_answer *answer = data;
    *answer = post(1, "/once/s", "while-stopping");
    return NULL;
}

static bool is_named(int asked, int wanted) {
    g_autofree char *address = g_strdup_printf("127.0.0.1:%u", bench_front_port(wanted));
    bench_answer answer = bench_send(&(bench_call){.method = "GET",
                                                   .target = PATH_RESOLVE "?name=a&zone=zone-a",
                                                   .port = bench_directory_port(asked)});
    bool named = answer.status == 200 && strstr(answer.body, address) != NULL;
    bench_answer_clear(&answer);
    return named;
}

static void a_stop_cuts_nothing_and_is_told(void) {
    CU_ASSERT_TRUE(is_named(0, 1));
    CU_ASSERT_EQUAL(submit(1, "job8", 12), 202);
    bench_answer answer = {0};
    GThread *caller = g_thread_new("caller", run_stream, &answer);
    hs_clock_sleep_ms(60);
    CU_ASSERT_EQUAL(kill(bench.pids[1], SIGTERM), 0);
    hs_clock_sleep_ms(500);
    CU_ASSERT_FALSE(is_named(0, 1));
    CU_ASSERT_EQUAL(bench_signal(1, SIGTERM), 0);
    g_thread_join(caller);
    CU_ASSERT_TRUE(answer.whole);
    check_events(answer.body != NULL ? answer.body : "");
    bench_answer_clear(&answer);
    g_autofree char *page = bench_wait_job(0, "job8", 12, JOB_LIMIT_MS);
    CU_ASSERT_PTR_NOT_NULL(page);
    if (page == NULL)
        return;
    check_results(page, 12);
    CU_ASSERT_TRUE(bench_start_daemon(1, false));
    CU_ASSERT_TRUE(bench_wait_ready(1));
}

static void jobs_survive_the_loss_of_all_daemons(void) {
    CU_ASSERT_EQUAL(submit(0, "job10", 20), 202);
    hs_clock_sleep_ms(250);
    for (int daemon = 0; daemon < BENCH_DAEMONS; daemon++)
        bench_signal(daemon, SIGKILL);
    for (int daemon = 0; daemon < BENCH_DAEMONS; daemon++)
        CU_ASSERT_TRUE(bench_start_daemon(daemon, false));
    for (int daemon = 0; daemon < BENCH_DAEMONS; daemon++)
        CU_ASSERT_TRUE(bench_wait_ready(daemon));
    g_autofree char *page = bench_wait_job(2, "job10", 20, JOB_LIMIT_MS);
    CU_ASSERT_PTR_NOT_NULL(page);
    if (page == NULL)
        return;
    check_results(page, 20);
    g_autofree char *older = bench_wait_job(1, "job1", 20, JOB_LIMIT_MS);
    CU_ASSERT_PTR_NOT_NULL(older);
}

static void a_hangup_reloads_and_serves_on(void) {
    CU_ASSERT_EQUAL(bench_signal(0, SIGHUP), 0);
    hs_clock_sleep_ms(100);
    bench_answer answer = post(0, "/once/s", "hangup");
    CU_ASSERT_EQUAL(answer.status, 200);
    bench_answer_clear(&answer);
}

/** Log lines fill the pipe long before the last request; none waits for its reader. */
static void a_stopped_log_reader_holds_nobody_up(void) {
    bench_signal(2, SIGKILL);
    CU_ASSERT_TRUE(bench_start_daemon(2, true));
    CU_ASSERT_TRUE(bench_wait_ready(2));
    for (int request = 0; request < 600; request++) {
        bench_answer answer = post(2, "/plain/log", "log");
        CU_ASSERT_EQUAL(answer.status, 200);
        bench_answer_clear(&answer);
    }
}

const test_case fleet_system_tests[] = {
    {"whole_answers_are_passed_on", whole_answers_are_passed_on},
    {"streams_are_whole_on_every_daemon", streams_are_whole_on_every_daemon},
    {"unknown_routes_and_large_bodies_are_refused", unknown_routes_and_large_bodies_are_refused},
    {"a_refusal_did_not_run_and_says_when_to_come_back",
     a_refusal_did_not_run_and_says_when_to_come_back},
    {"a_stream_that_breaks_runs_once_and_looks_broken",
     a_stream_that_breaks_runs_once_and_looks_broken},
    {"a_resumable_stream_goes_on_elsewhere", a_resumable_stream_goes_on_elsewhere},
    {"an_engines_failure_is_passed_on", an_engines_failure_is_passed_on},
    {"a_deadline_ends_a_stream_in_time", a_deadline_ends_a_stream_in_time},
    {"a_short_timeout_makes_no_engine_suspected", a_short_timeout_makes_no_engine_suspected},
    {"a_job_is_taken_once_and_the_same_everywhere", a_job_is_taken_once_and_the_same_everywhere},
    {"calls_about_a_job_are_answered_by_its_owner", calls_about_a_job_are_answered_by_its_owner},
    {"open_items_give_their_bodies_and_ends_stop_them",
     open_items_give_their_bodies_and_ends_stop_them},
    {"what_cannot_be_done_is_given_up", what_cannot_be_done_is_given_up},
    {"broken_items_go_on_after_their_last_event", broken_items_go_on_after_their_last_event},
    {"a_daemon_cut_from_the_store_passes_jobs_on", a_daemon_cut_from_the_store_passes_jobs_on},
    {"a_store_that_refuses_takes_no_job_but_serves_online",
     a_store_that_refuses_takes_no_job_but_serves_online},
    {"a_lost_answer_of_the_store_is_no_refusal", a_lost_answer_of_the_store_is_no_refusal},
    {"a_read_is_no_404_while_the_store_is_away", a_read_is_no_404_while_the_store_is_away},
    {"a_leaving_engine_gets_nothing_new", a_leaving_engine_gets_nothing_new},
    {"engines_outlast_a_store_that_was_away", engines_outlast_a_store_that_was_away},
    {"a_new_configuration_is_in_force_everywhere", a_new_configuration_is_in_force_everywhere},
    {"a_stop_cuts_nothing_and_is_told", a_stop_cuts_nothing_and_is_told},
    {"jobs_survive_the_loss_of_all_daemons", jobs_survive_the_loss_of_all_daemons},
    {"a_hangup_reloads_and_serves_on", a_hangup_reloads_and_serves_on},
    {"a_stopped_log_reader_holds_nobody_up", a_stopped_log_reader_holds_nobody_up},
    {NULL, NULL}};
