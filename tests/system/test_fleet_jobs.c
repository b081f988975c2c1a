/** @file test_fleet_jobs.c  System tests of the fleet surface's batch jobs. */
#include "base/clock.h"
#include "http/http_fields.h"
#include "platform/names.h"
#include "tests/support/fault_proxy.h"
#include "tests/system/fleet_calls.h"
#include "tests/system/system_tests.h"

#include <signal.h>
#include <string.h>

/** Time in ms for the store's group and the daemons' probes to notice a lost or new daemon. */
#define MEMBERSHIP_CHANGE_MS 4500
/** Limit in ms for an assignment of the partitions: several joins of the group, each a third of its
 * TTL. */
#define ASSIGNMENT_LIMIT_MS 10000
#define ASSIGNMENT_POLL_MS 50
/** Time in ms within which an owner starts an item of a job that was just accepted. */
#define RUN_START_MS 500
/** Enough jobs that each daemon owns some. */
#define UNSERVED_JOBS 16
/** Limit in ms, far below the time for which items without engines are retried. */
#define SERVED_LIMIT_MS 4000
/** Jobs that are read after their result was stored, for how long in ms, and how often. */
#define READ_JOBS 16
#define READ_MS 1000
#define READ_PAUSE_MS 5
/** Step in ms of the time from a job's record to its result's, over the length of a long poll. */
#define RESULT_STEP_MS 32
#define RUNNING_METRIC "heathsail_job_items_running "

static void a_job_is_accepted_once_and_identical_at_every_daemon(void) {
    CU_ASSERT_EQUAL(submit_job(0, "job1", 20), 202);
    CU_ASSERT_EQUAL(submit_job(1, "job1", 20), 202);
    CU_ASSERT_EQUAL(submit_job(0, "job1", 20), 202);
    g_autofree char *first = bench_wait_job(2, "job1", 20, JOB_LIMIT_MS);
    CU_ASSERT_PTR_NOT_NULL(first);
    if (first == NULL)
        return;
    check_job_results(first, 20);
    for (int daemon = 0; daemon < BENCH_DEFAULT_DAEMONS; daemon++) {
        g_autofree char *page = bench_wait_job(daemon, "job1", 20, JOB_LIMIT_MS);
        CU_ASSERT_EQUAL(g_strcmp0(page, first), 0);
    }
    for (int item = 0; item < 20; item++) {
        g_autofree char *id = g_strdup_printf("job1-%d", item);
        CU_ASSERT_EQUAL(bench_run_count(id), 1);
    }
    bench_answer completed =
        bench_send(&(bench_call){.method = "GET", .target = PATH_ITEMS "job1?id=job1-3"});
    CU_ASSERT_EQUAL(completed.status, 404);
    bench_answer_clear(&completed);
    bench_answer unknown = bench_send(&(bench_call){.method = "GET", .target = PATH_JOBS "none"});
    CU_ASSERT_EQUAL(unknown.status, 404);
    bench_answer_clear(&unknown);
}

/** A metric of a daemon; -1 if the daemon doesn't report it. */
static int read_metric(int daemon, const char *name) {
    bench_answer metrics = bench_send(
        &(bench_call){.method = "GET", .target = "/metrics", .port = bench_metrics_port(daemon)});
    const char *line = strstr(metrics.body, name);
    int value = line != NULL ? (int)g_ascii_strtoll(line + strlen(name), NULL, 10) : -1;
    bench_answer_clear(&metrics);
    return value;
}

/** Waits until a metric is 0, or at least @p wanted if that is above 0. False after @p limit_ms. */
static bool wait_for_metric(int daemon, const char *name, int wanted, uint64_t limit_ms) {
    uint64_t until_ms = hs_clock_monotonic_ms() + limit_ms;
    bool has_value = false;
    while (!has_value && hs_clock_monotonic_ms() < until_ms) {
        int value = read_metric(daemon, name);
        has_value = wanted > 0 ? value >= wanted : value == 0;
        if (!has_value)
            hs_clock_sleep_ms(ASSIGNMENT_POLL_MS);
    }
    return has_value;
}

/** Whether a daemon owns an equal share of the partitions and knows the owners of all others. */
static bool knows_all_owners(int daemon) {
    int share = BENCH_PARTITIONS / BENCH_DEFAULT_DAEMONS;
    return read_metric(daemon, "heathsail_job_partitions_owned ") == share &&
           read_metric(daemon, "heathsail_job_partitions_located ") == BENCH_PARTITIONS;
}

/**
 * Waits until the store has assigned the partitions to all daemons and each daemon knows all
 * owners. During a reassignment a partition has no owner, and calls about its jobs are answered
 * from the log.
 */
static bool wait_for_owners(void) {
    uint64_t limit_ms = hs_clock_monotonic_ms() + ASSIGNMENT_LIMIT_MS;
    bool is_known = false;
    while (!is_known && hs_clock_monotonic_ms() < limit_ms) {
        is_known = true;
        for (int daemon = 0; daemon < BENCH_DEFAULT_DAEMONS && is_known; daemon++)
            is_known = knows_all_owners(daemon);
        if (!is_known)
            hs_clock_sleep_ms(ASSIGNMENT_POLL_MS);
    }
    return is_known;
}

/** The daemons that don't own the job's partition query its owner instead of the log. */
static void calls_about_a_job_are_answered_by_its_owner(void) {
    CU_ASSERT_TRUE(wait_for_owners());
    CU_ASSERT_EQUAL(submit_job(0, "job11", 2), 202);
    g_autofree char *first = bench_wait_job(0, "job11", 2, JOB_LIMIT_MS);
    CU_ASSERT_PTR_NOT_NULL(first);
    int by_owner = 0;
    int from_log = 0;
    for (int daemon = 0; daemon < BENCH_DEFAULT_DAEMONS; daemon++) {
        by_owner -= read_metric(daemon, "heathsail_job_calls{by=\"owner\"} ");
        from_log -= read_metric(daemon, "heathsail_job_calls{by=\"log\"} ");
        g_autofree char *page = bench_wait_job(daemon, "job11", 2, JOB_LIMIT_MS);
        CU_ASSERT_EQUAL(g_strcmp0(page, first), 0);
        by_owner += read_metric(daemon, "heathsail_job_calls{by=\"owner\"} ");
        from_log += read_metric(daemon, "heathsail_job_calls{by=\"log\"} ");
    }
    CU_ASSERT_EQUAL(by_owner, BENCH_DEFAULT_DAEMONS - 1);
    CU_ASSERT_EQUAL(from_log, 0);
}

/** Sums a metric over all daemons. */
static int sum_metric(const char *name) {
    int sum = 0;
    for (int daemon = 0; daemon < BENCH_DEFAULT_DAEMONS; daemon++)
        sum += read_metric(daemon, name);
    return sum;
}

/** Reads a job at each daemon in turn. */
static void read_repeatedly(const char *id, uint64_t for_ms) {
    g_autofree char *target = g_strdup_printf(PATH_JOBS "%s?after=0", id);
    uint64_t until_ms = hs_clock_monotonic_ms() + for_ms;
    for (int number = 0; hs_clock_monotonic_ms() < until_ms; number++) {
        bench_answer answer = bench_send(&(bench_call){
            .daemon = number % BENCH_DEFAULT_DAEMONS, .method = "GET", .target = target});
        CU_ASSERT_EQUAL(answer.status, 200);
        bench_answer_clear(&answer);
        hs_clock_sleep_ms(READ_PAUSE_MS);
    }
}

/** Guards against reads of the log because the owner's fold gets too old between two long polls. */
static void an_owner_answers_at_any_time_after_a_record(void) {
    CU_ASSERT_TRUE(wait_for_owners());
    int from_log = 0;
    for (int number = 0; number < READ_JOBS; number++) {
        g_autofree char *id = g_strdup_printf("read-%d", number);
        bench_set_engine_modes(TOKEN_ENGINE_FULL);
        CU_ASSERT_EQUAL(submit_job(number % BENCH_DEFAULT_DAEMONS, id, 1), 202);
        hs_clock_sleep_ms((uint64_t)number * RESULT_STEP_MS);
        bench_set_engine_modes(TOKEN_ENGINE_HEALTHY);
        g_autofree char *page = bench_wait_job(0, id, 1, JOB_LIMIT_MS);
        CU_ASSERT_PTR_NOT_NULL(page);
        from_log -= sum_metric("heathsail_job_calls{by=\"log\"} ");
        read_repeatedly(id, READ_MS);
        from_log += sum_metric("heathsail_job_calls{by=\"log\"} ");
    }
    CU_ASSERT_EQUAL(from_log, 0);
}

static void open_items_return_their_bodies_and_stop_with_their_job(void) {
    bench_set_engine_modes(TOKEN_ENGINE_FULL);
    CU_ASSERT_EQUAL(submit_job(1, "job2", 3), 202);
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
    bench_set_engine_modes(TOKEN_ENGINE_HEALTHY);
    hs_clock_sleep_ms(600);
    CU_ASSERT_EQUAL(
        bench_run_count("job2-0") + bench_run_count("job2-1") + bench_run_count("job2-2"), 0);
}

static void impossible_and_failing_items_are_given_up(void) {
    bench_set_engine_modes(TOKEN_ENGINE_UNPROCESSABLE);
    CU_ASSERT_EQUAL(submit_job(0, "job3", 2), 202);
    g_autofree char *page = bench_wait_job(1, "job3", 2, JOB_LIMIT_MS);
    CU_ASSERT_PTR_NOT_NULL(page);
    if (page == NULL)
        return;
    CU_ASSERT_PTR_NOT_NULL(strstr(page, "dead_letter"));
    CU_ASSERT_EQUAL(bench_run_count("job3-0"), 1);
    bench_set_engine_modes(TOKEN_ENGINE_FAILS);
    CU_ASSERT_EQUAL(submit_job(0, "job4", 1), 202);
    g_autofree char *failed = bench_wait_job(1, "job4", 1, JOB_LIMIT_MS);
    bench_set_engine_modes(TOKEN_ENGINE_HEALTHY);
    CU_ASSERT_PTR_NOT_NULL(failed);
    CU_ASSERT_EQUAL(bench_run_count("job4-0"), 2); /* max-attempts of the route. */
}

static void broken_items_resume_after_their_last_event(void) {
    bench_set_engine_modes(TOKEN_ENGINE_BREAKS_STREAMS);
    CU_ASSERT_EQUAL(submit_job(2, "job5", 4), 202);
    g_autofree char *page = bench_wait_job(0, "job5", 4, JOB_LIMIT_MS);
    bench_set_engine_modes(TOKEN_ENGINE_HEALTHY);
    CU_ASSERT_PTR_NOT_NULL(page);
    if (page == NULL)
        return;
    check_job_results(page, 4);
}

static void a_refusing_store_rejects_jobs_but_not_online_requests(void) {
    log_store_set_mode(bench.store, LOG_STORE_REFUSES, CALL_APPEND, G_MAXUINT32);
    g_autofree char *body = bench_job_body("job6", 2);
    bench_answer refused = bench_send(&(bench_call){.method = "POST",
                                                    .target = "/jobs/x",
                                                    .request_id = "job6",
                                                    .body = body,
                                                    .timeout_ms = 800});
    bench_answer online = post_request(0, "/once/s", "meanwhile");
    log_store_set_mode(bench.store, LOG_STORE_HEALTHY, NULL, 0);
    CU_ASSERT_EQUAL(refused.status, 503);
    CU_ASSERT_PTR_NOT_NULL(hs_http_fields_find(refused.fields, "Retry-After"));
    CU_ASSERT_EQUAL(online.status, 200);
    bench_answer unknown = bench_send(&(bench_call){.method = "GET", .target = PATH_JOBS "job6"});
    CU_ASSERT_EQUAL(unknown.status, 404);
    bench_answer_clear(&unknown);
    bench_answer_clear(&refused);
    bench_answer_clear(&online);
}

/** Kills and starts a daemon, with the store at @p store_port (0: without a proxy). */
static void restart_daemon(int daemon, uint16_t store_port) {
    bench_signal_daemon(daemon, SIGKILL);
    bench.store_port = store_port;
    CU_ASSERT_TRUE(bench_start_daemon(daemon, false));
    bench.store_port = 0;
    CU_ASSERT_TRUE(bench_wait_ready(daemon));
}

/** A daemon that can't reach the store has another daemon accept the job, without delay. */
static void a_daemon_without_store_access_forwards_jobs(void) {
    fault_proxy *proxy = fault_proxy_start(log_store_port(bench.store));
    restart_daemon(0, fault_proxy_port(proxy));
    hs_clock_sleep_ms(MEMBERSHIP_CHANGE_MS); /* It joins the group. */
    fault_proxy_set_mode(proxy, PROXY_RESETS);
    hs_clock_sleep_ms(MEMBERSHIP_CHANGE_MS); /* Its partitions are assigned to other daemons. */
    uint64_t start_ms = hs_clock_monotonic_ms();
    CU_ASSERT_EQUAL(submit_job(0, "job12", 3), 202);
    CU_ASSERT(hs_clock_monotonic_ms() - start_ms < 500);
    g_autofree char *page = bench_wait_job(1, "job12", 3, JOB_LIMIT_MS);
    CU_ASSERT_PTR_NOT_NULL(page);
    if (page != NULL)
        check_job_results(page, 3);
    fault_proxy_set_mode(proxy, PROXY_FORWARDS);
    restart_daemon(0, 0);
    fault_proxy_stop(proxy);
}

/** Submits jobs "PREFIX-n" until @p daemon runs an item. Returns their count; 0: it ran none. */
static int submit_until_daemon_runs_item(int daemon, const char *prefix) {
    for (int index = 0; index < 2 * BENCH_PARTITIONS; index++) {
        g_autofree char *id = g_strdup_printf("%s-%d", prefix, index);
        CU_ASSERT_EQUAL(submit_job(1, id, 1), 202);
        if (wait_for_metric(daemon, RUNNING_METRIC, 1, RUN_START_MS))
            return index + 1;
    }
    return 0;
}

/** Otherwise the old and the new owner would both run the same items. */
static void an_owner_without_store_access_stops_reassigned_items(void) {
    fault_proxy *proxy = fault_proxy_start(log_store_port(bench.store));
    restart_daemon(0, fault_proxy_port(proxy));
    CU_ASSERT_TRUE(wait_for_owners());
    bench_set_engine_modes(TOKEN_ENGINE_ENDLESS);
    CU_ASSERT_TRUE(submit_until_daemon_runs_item(0, "job13") > 0);
    fault_proxy_set_mode(proxy, PROXY_RESETS);
    CU_ASSERT_TRUE(wait_for_metric(0, RUNNING_METRIC, 0, ASSIGNMENT_LIMIT_MS));
    bench_set_engine_modes(TOKEN_ENGINE_HEALTHY);
    fault_proxy_set_mode(proxy, PROXY_FORWARDS);
    restart_daemon(0, 0);
    fault_proxy_stop(proxy);
}

/** Other daemons list the results of an owner that can't reach the store; no item runs again. */
static void results_of_an_owner_without_store_access_are_listed(void) {
    fault_proxy *proxy = fault_proxy_start(log_store_port(bench.store));
    restart_daemon(0, fault_proxy_port(proxy));
    CU_ASSERT_TRUE(wait_for_owners());
    bench_set_engine_modes(TOKEN_ENGINE_SLOW);
    int count = submit_until_daemon_runs_item(0, "job14");
    fault_proxy_set_mode(proxy, PROXY_RESETS);
    CU_ASSERT_TRUE(count > 0);
    for (int index = 0; index < count; index++) {
        g_autofree char *id = g_strdup_printf("job14-%d", index);
        g_autofree char *item = g_strdup_printf("%s-0", id);
        g_autofree char *page = bench_wait_job(1, id, 1, JOB_LIMIT_MS);
        CU_ASSERT_PTR_NOT_NULL(page);
        CU_ASSERT_EQUAL(bench_run_count(item), 1);
    }
    bench_set_engine_modes(TOKEN_ENGINE_HEALTHY);
    fault_proxy_set_mode(proxy, PROXY_FORWARDS);
    restart_daemon(0, 0);
    fault_proxy_stop(proxy);
}

static void a_lost_store_answer_is_not_a_refusal(void) {
    log_store_set_mode(bench.store, LOG_STORE_LOSES_ANSWER, CALL_APPEND, 3);
    uint32_t status = submit_job(1, "job7", 2);
    log_store_set_mode(bench.store, LOG_STORE_HEALTHY, NULL, 0);
    CU_ASSERT(status == 202 || status == 504);
    g_autofree char *page = bench_wait_job(0, "job7", 2, JOB_LIMIT_MS);
    CU_ASSERT_PTR_NOT_NULL(page);
    if (page == NULL)
        return;
    check_job_results(page, 2);
}

static void a_read_is_not_404_while_the_store_is_unavailable(void) {
    log_store_set_mode(bench.store, LOG_STORE_REFUSES, CALL_READ, G_MAXUINT32);
    bench_answer answer = bench_send(&(bench_call){.method = "GET", .target = PATH_JOBS "job9"});
    log_store_set_mode(bench.store, LOG_STORE_HEALTHY, NULL, 0);
    CU_ASSERT_EQUAL(answer.status, 503);
    bench_answer_clear(&answer);
}

static void jobs_survive_the_loss_of_all_daemons(void) {
    CU_ASSERT_EQUAL(submit_job(0, "job10", 20), 202);
    hs_clock_sleep_ms(250);
    for (int daemon = 0; daemon < BENCH_DEFAULT_DAEMONS; daemon++)
        bench_signal_daemon(daemon, SIGKILL);
    for (int daemon = 0; daemon < BENCH_DEFAULT_DAEMONS; daemon++)
        CU_ASSERT_TRUE(bench_start_daemon(daemon, false));
    for (int daemon = 0; daemon < BENCH_DEFAULT_DAEMONS; daemon++)
        CU_ASSERT_TRUE(bench_wait_ready(daemon));
    g_autofree char *page = bench_wait_job(2, "job10", 20, JOB_LIMIT_MS);
    CU_ASSERT_PTR_NOT_NULL(page);
    if (page == NULL)
        return;
    check_job_results(page, 20);
    g_autofree char *older = bench_wait_job(1, "job1", 20, JOB_LIMIT_MS);
    CU_ASSERT_PTR_NOT_NULL(older);
}

/** Submits jobs for a service without engines, so that each daemon owns some. */
static void submit_unserved_jobs(const char *prefix) {
    for (int job = 0; job < UNSERVED_JOBS; job++) {
        g_autofree char *id = g_strdup_printf("%s%d", prefix, job);
        g_autofree char *body =
            g_strdup_printf("{\"requests\":[{\"id\":\"%s-0\",\"path\":\"/far/run\",\"headers\":{},"
                            "\"body\":\"aGVsbG8=\",\"tokens\":10}]}",
                            id);
        bench_answer answer = bench_send(
            &(bench_call){.method = "POST", .target = "/far/x", .request_id = id, .body = body});
        CU_ASSERT_EQUAL(answer.status, 202);
        bench_answer_clear(&answer);
    }
}

/**
 * Items that wait for engines of one service delay no item of another service, and they are given
 * up in time while further items wait.
 */
static void items_without_engines_delay_no_others(void) {
    submit_unserved_jobs("far");
    CU_ASSERT_EQUAL(submit_job(0, "near", 20), 202);
    g_autofree char *page = bench_wait_job(0, "near", 20, SERVED_LIMIT_MS);
    CU_ASSERT_PTR_NOT_NULL(page);
    submit_unserved_jobs("later");
    for (int job = 0; job < UNSERVED_JOBS; job++) {
        g_autofree char *id = g_strdup_printf("far%d", job);
        g_autofree char *given_up = bench_wait_job(0, id, 1, JOB_LIMIT_MS);
        CU_ASSERT_PTR_NOT_NULL(given_up);
    }
}

const test_case fleet_job_system_tests[] = {
    {"a_job_is_accepted_once_and_identical_at_every_daemon",
     a_job_is_accepted_once_and_identical_at_every_daemon},
    {"calls_about_a_job_are_answered_by_its_owner", calls_about_a_job_are_answered_by_its_owner},
    {"an_owner_answers_at_any_time_after_a_record", an_owner_answers_at_any_time_after_a_record},
    {"open_items_return_their_bodies_and_stop_with_their_job",
     open_items_return_their_bodies_and_stop_with_their_job},
    {"impossible_and_failing_items_are_given_up", impossible_and_failing_items_are_given_up},
    {"broken_items_resume_after_their_last_event", broken_items_resume_after_their_last_event},
    {"a_refusing_store_rejects_jobs_but_not_online_requests",
     a_refusing_store_rejects_jobs_but_not_online_requests},
    {"a_daemon_without_store_access_forwards_jobs", a_daemon_without_store_access_forwards_jobs},
    {"an_owner_without_store_access_stops_reassigned_items",
     an_owner_without_store_access_stops_reassigned_items},
    {"results_of_an_owner_without_store_access_are_listed",
     results_of_an_owner_without_store_access_are_listed},
    {"a_lost_store_answer_is_not_a_refusal", a_lost_store_answer_is_not_a_refusal},
    {"a_read_is_not_404_while_the_store_is_unavailable",
     a_read_is_not_404_while_the_store_is_unavailable},
    {"items_without_engines_delay_no_others", items_without_engines_delay_no_others},
    {"jobs_survive_the_loss_of_all_daemons", jobs_survive_the_loss_of_all_daemons},
    {NULL, NULL}};
