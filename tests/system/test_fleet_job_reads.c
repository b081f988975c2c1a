/**
 * @file test_fleet_job_reads.c
 * System tests of what callers read of a job while records are gone or folds are behind.
 */
#include "base/clock.h"
#include "platform/names.h"
#include "tests/support/store_proxies.h"
#include "tests/system/fleet_calls.h"
#include "tests/system/job_end_calls.h"
#include "tests/system/system_tests.h"

#include <jansson.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

/** Retention of items. */
#define RETENTION_S 10
/** Slots and pace of the engines: two items run at a time, each for under a second. */
#define SLOTS 1
#define ITEM_EVENTS 12
#define ITEM_EVENT_MS 70
/** Items of a job that is read while its owner's fold is behind. */
#define READ_ITEMS 6
/** Limits in ms for an owner to start a job's items, and for another daemon to list the first. */
#define START_LIMIT_MS 3000
#define FIRST_RESULT_LIMIT_MS 5000
#define POLL_MS 20
/** Time in ms for which an ended job is read, past the next assignment of its partition. */
#define READ_ENDED_MS 4000
/** Jobs beside owners of an earlier build. */
#define UPGRADE_JOBS 6
/** Wait in ms of a read that is held until there is a result. */
#define HELD_MS 1000
#define LONG_HELD_MS 3000
/** Items of a job whose bodies are gone. */
#define GONE_ITEMS 4
/** Time in ms for an owner to try the items, and for which its reads are counted then. */
#define TRIES_MS 1000
#define COUNTED_MS 3000
/** Reads of the bodies topic; the query names the topic first. */
#define CALL_READ_BODIES CALL_READ "?topic=" TOPIC_BODIES

/** Returns the status of a read of an item's body. */
static uint32_t read_body(int daemon, const char *job, int item) {
    g_autofree char *target = g_strdup_printf(PATH_ITEMS "%s?id=%s-%d", job, job, item);
    bench_answer answer =
        bench_send(&(bench_call){.daemon = daemon, .method = "GET", .target = target});
    uint32_t status = answer.status;
    bench_answer_clear(&answer);
    return status;
}

/** Submits a job whose bodies the store drops before an owner has read them. */
static void submit_job_without_bodies(const char *id) {
    log_store_set_mode(bench.store, LOG_STORE_REFUSES, CALL_READ_BODIES, G_MAXUINT32);
    CU_ASSERT_EQUAL(submit_job(0, id, GONE_ITEMS), 202);
    for (int daemon = 0; daemon < BENCH_DEFAULT_DAEMONS; daemon++)
        CU_ASSERT_EQUAL(read_body(daemon, id, 0), 503);
    log_store_discard_records(bench.store, TOPIC_BODIES);
    log_store_set_mode(bench.store, LOG_STORE_HEALTHY, NULL, 0);
}

/** Guards against callers that are told to come back for a body that is gone for good. */
static void a_body_that_is_gone_is_answered_410(void) {
    submit_job_without_bodies("gone");
    for (int daemon = 0; daemon < BENCH_DEFAULT_DAEMONS; daemon++)
        for (int item = 0; item < GONE_ITEMS; item++)
            CU_ASSERT_EQUAL(read_body(daemon, "gone", item), 410);
}

/** Guards against items that are tried several times a second though they can never run. */
static void items_whose_bodies_are_gone_are_not_tried_again(void) {
    CU_ASSERT_TRUE(wait_for_settled_owners()); /* A new owner tries each item once. */
    submit_job_without_bodies("untried");
    hs_clock_sleep_ms(TRIES_MS);
    uint32_t before = log_store_call_count(bench.store, CALL_READ_BODIES);
    hs_clock_sleep_ms(COUNTED_MS);
    CU_ASSERT_EQUAL(log_store_call_count(bench.store, CALL_READ_BODIES) - before, 0);
    CU_ASSERT_EQUAL(submit_job(1, "beside", 2), 202);
    g_autofree char *beside = bench_wait_job(2, "beside", 2, JOB_LIMIT_MS);
    CU_ASSERT_PTR_NOT_NULL(beside);
    g_autofree char *page = bench_wait_job(1, "untried", GONE_ITEMS, JOB_LIMIT_MS);
    CU_ASSERT_PTR_NOT_NULL(page);
    if (page == NULL)
        return;
    CU_ASSERT_PTR_NOT_NULL(strstr(page, "dead_letter"));
    CU_ASSERT_PTR_NULL(strstr(page, "completed"));
}

/** Returns the daemon that runs items; -1: none within START_LIMIT_MS. */
static int find_running_daemon(void) {
    uint64_t until_ms = hs_clock_monotonic_ms() + START_LIMIT_MS;
    while (hs_clock_monotonic_ms() < until_ms) {
        for (int daemon = 0; daemon < BENCH_DEFAULT_DAEMONS; daemon++)
            if (get_daemon_metric(daemon, "heathsail_job_items_running ") > 0)
                return daemon;
        hs_clock_sleep_ms(POLL_MS);
    }
    return -1;
}

/** Reads a job from the first position on. Returns the count of results; -1 without a 200. */
static int count_results(int daemon, const char *job, uint32_t wait_ms) {
    g_autofree char *target = g_strdup_printf(PATH_JOBS "%s?after=0", job);
    bench_answer answer = bench_send(
        &(bench_call){.daemon = daemon, .method = "GET", .target = target, .wait_ms = wait_ms});
    json_t *page = answer.status == 200 ? json_loads(answer.body, 0, NULL) : NULL;
    int count = page != NULL ? (int)json_array_size(json_object_get(page, "results")) : -1;
    json_decref(page);
    bench_answer_clear(&answer);
    return count;
}

static bool wait_for_first_result(int daemon, const char *job) {
    uint64_t until_ms = hs_clock_monotonic_ms() + FIRST_RESULT_LIMIT_MS;
    int count = 0;
    while (count <= 0 && hs_clock_monotonic_ms() < until_ms) {
        count = count_results(daemon, job, 0);
        hs_clock_sleep_ms(POLL_MS);
    }
    return count > 0;
}

/** How reads of a job that has a result were answered. */
typedef struct {
    int with_results;
    int without; /**< Answered 200 without a result. */
} read_counts;

/**
 * Reads an ended job at the first @p daemons daemons in turn; every second read is held if there is
 * no result.
 */
static read_counts read_ended_job(const char *job, int daemons) {
    read_counts counts = {0};
    uint64_t until_ms = hs_clock_monotonic_ms() + READ_ENDED_MS;
    for (int turn = 0; hs_clock_monotonic_ms() < until_ms; turn++) {
        int daemon = turn % daemons;
        int results = count_results(daemon, job, turn % 2 == 0 ? 0 : HELD_MS);
        counts.with_results += results > 0;
        counts.without += results == 0;
        if (results == 0)
            fprintf(stderr, "daemon %d has no result of %s\n", daemon, job);
        hs_clock_sleep_ms(POLL_MS);
    }
    return counts;
}

/** Runs a job whose owner loses the store, ends it once a result was read, and reads it on. */
static read_counts read_job_of_owner_without_store(const char *job) {
    read_counts counts = {0};
    CU_ASSERT_TRUE(wait_for_settled_owners());
    CU_ASSERT_EQUAL(submit_job(0, job, READ_ITEMS), 202);
    int owner = find_running_daemon();
    CU_ASSERT(owner >= 0);
    if (owner < 0)
        return counts;
    int other = (owner + 1) % BENCH_DEFAULT_DAEMONS;
    fault_proxy_set_mode(store_proxies[owner], PROXY_RESETS);
    CU_ASSERT_TRUE(wait_for_first_result(other, job));
    CU_ASSERT_EQUAL(end_job(other, job), 200);
    counts = read_ended_job(job, BENCH_DEFAULT_DAEMONS);
    fault_proxy_set_mode(store_proxies[owner], PROXY_FORWARDS);
    return counts;
}

/** Guards against an ended job whose owner answers from a fold that lacks results. */
static void results_of_an_ended_job_stay_while_its_owner_cannot_read_them(void) {
    static const char *const jobs[] = {"stay-a", "stay-b", "stay-c"};
    for (size_t index = 0; index < G_N_ELEMENTS(jobs); index++) {
        read_counts counts = read_job_of_owner_without_store(jobs[index]);
        CU_ASSERT_EQUAL(counts.without, 0);
        CU_ASSERT(counts.with_results > 0);
    }
}

/** Guards against a read whose hold ends with what the owner knew before it lost the store. */
static void a_held_read_is_not_answered_from_a_fold_that_fell_behind(void) {
    static const char *const jobs[] = {"held-a", "held-b", "held-c"};
    for (size_t index = 0; index < G_N_ELEMENTS(jobs); index++) {
        CU_ASSERT_TRUE(wait_for_settled_owners());
        CU_ASSERT_EQUAL(submit_job(0, jobs[index], READ_ITEMS), 202);
        int owner = find_running_daemon();
        CU_ASSERT_FATAL(owner >= 0);
        fault_proxy_set_mode(store_proxies[owner], PROXY_RESETS);
        int held = count_results(owner, jobs[index], LONG_HELD_MS);
        int listed = count_results((owner + 1) % BENCH_DEFAULT_DAEMONS, jobs[index], 0);
        fault_proxy_set_mode(store_proxies[owner], PROXY_FORWARDS);
        CU_ASSERT(listed > 0);
        CU_ASSERT(held != 0);
        g_autofree char *page = bench_wait_job(0, jobs[index], READ_ITEMS, JOB_LIMIT_MS);
        CU_ASSERT_PTR_NOT_NULL(page);
    }
}

static void prepare_with_store_proxies(void) {
    bench.settings =
        (bench_settings){.item_pace = {.events = ITEM_EVENTS, .event_ms = ITEM_EVENT_MS},
                         .slots = SLOTS,
                         .retention_s = RETENTION_S};
    bench_prepare();
    store_proxies_start();
}

int begin_job_reads(void) {
    prepare_with_store_proxies();
    return bench_start();
}

int end_job_reads(void) {
    for (int daemon = 0; daemon < BENCH_DEFAULT_DAEMONS; daemon++)
        bench_signal_daemon(daemon, SIGKILL);
    store_proxies_stop();
    int ended = bench_tear_down();
    bench.settings = (bench_settings){0};
    return ended;
}

const test_case fleet_job_read_system_tests[] = {
    {"a_body_that_is_gone_is_answered_410", a_body_that_is_gone_is_answered_410},
    {"items_whose_bodies_are_gone_are_not_tried_again",
     items_whose_bodies_are_gone_are_not_tried_again},
    {"results_of_an_ended_job_stay_while_its_owner_cannot_read_them",
     results_of_an_ended_job_stay_while_its_owner_cannot_read_them},
    {"a_held_read_is_not_answered_from_a_fold_that_fell_behind",
     a_held_read_is_not_answered_from_a_fold_that_fell_behind},
    {NULL, NULL},
};

int begin_upgrade_job_reads(void) {
    if (!use_previous_program(1, BENCH_DEFAULT_DAEMONS - 1))
        return -1;
    prepare_with_store_proxies();
    return bench_start();
}

int end_upgrade_job_reads(void) {
    int ended = end_job_reads();
    stop_using_previous_program();
    return ended;
}

/**
 * Runs and ends a job as read_job_of_owner_without_store does, through daemon 0, and reads it
 * there, after a restart if @p is_restarted. Returns false if daemon 0 owns the job itself.
 */
static bool read_job_of_old_owner(const char *job, bool is_restarted) {
    CU_ASSERT_TRUE(wait_for_settled_owners());
    CU_ASSERT_EQUAL(submit_job(0, job, READ_ITEMS), 202);
    int owner = find_running_daemon();
    CU_ASSERT(owner >= 0);
    if (owner <= 0)
        return false;
    fault_proxy_set_mode(store_proxies[owner], PROXY_RESETS);
    CU_ASSERT_TRUE(wait_for_first_result(0, job));
    CU_ASSERT_EQUAL(end_job(0, job), 200);
    if (is_restarted) {
        bench_signal_daemon(0, SIGKILL);
        CU_ASSERT_TRUE(bench_start_daemon(0, false));
        CU_ASSERT_TRUE(bench_wait_ready(0));
    }
    read_counts counts = read_ended_job(job, 1);
    fault_proxy_set_mode(store_proxies[owner], PROXY_FORWARDS);
    CU_ASSERT_EQUAL(counts.without, 0);
    CU_ASSERT(counts.with_results > 0);
    return true;
}

/** Guards against a page without results that an owner of an earlier build gives too early. */
static void results_of_an_ended_job_stay_while_an_old_owner_cannot_read_them(void) {
    int count = 0;
    for (int index = 0; index < UPGRADE_JOBS; index++) {
        g_autofree char *job = g_strdup_printf("old-%d", index);
        count += read_job_of_old_owner(job, index % 2 == 1);
    }
    CU_ASSERT(count > 0);
}

const test_case fleet_upgrade_job_read_system_tests[] = {
    {"results_of_an_ended_job_stay_while_an_old_owner_cannot_read_them",
     results_of_an_ended_job_stay_while_an_old_owner_cannot_read_them},
    {NULL, NULL},
};
