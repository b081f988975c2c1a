/**
 * @file test_fleet_upgrade.c
 * System tests of daemons of an earlier build together with daemons of this build: rolling upgrade,
 * rollback, kills and a partial upgrade.
 */
#include "base/clock.h"
#include "tests/system/crash_calls.h"
#include "tests/system/fleet_calls.h"
#include "tests/system/system_tests.h"

#include <CUnit/CUnit.h>
#include <jansson.h>
#include <signal.h>
#include <stdio.h>

/** Engines' streams of 1.2 s, so that some are open when a daemon stops. */
#define STREAM_EVENTS 40
#define STREAM_EVENT_MS 30
/** Callers during the upgrade, one thread each, and the pause between their requests in ms. */
#define CALLERS 8
#define CALLER_PAUSE_MS 30
/** One of this many calls submits a job. */
#define CALLS_PER_JOB 12
#define JOB_ITEMS 4
/** Time in ms after a replacement for the new daemon to get partitions and jobs. */
#define SETTLE_MS 1500
/** Time in ms within which a quarantine is written to the store. */
#define STORE_WRITE_MS 1500
/** Delay in ms from the start of an item's run to the crash of its engine. */
#define CRASH_DELAY_MS 300
/** The platform's finish-s in ms. */
#define FINISH_MS 18000

/** When a daemon was last killed; monotonic ms. */
static gsize killed_ms;

/** Callers that send requests while daemons are replaced. */
typedef struct {
    gint stopping;
    gint call_count;
    GMutex lock;
    uint32_t served;
    uint32_t broken;    /**< Not served, in progress when a daemon was killed. */
    uint32_t failed;    /**< Not served for another reason: must be 0. */
    GPtrArray *job_ids; /**< char*: accepted jobs. */
    GThread *threads[CALLERS];
} callers;

static void submit_upgrade_job(callers *group, int daemon, gint number) {
    g_autofree char *id = g_strdup_printf("up-%d-%" G_GINT64_FORMAT, number, g_get_real_time());
    g_autofree char *body = bench_job_body(id, JOB_ITEMS);
    bench_answer answer = send_crash_request(daemon, "/jobs/x", id, body);
    g_mutex_lock(&group->lock);
    if (answer.status == 202)
        g_ptr_array_add(group->job_ids, g_steal_pointer(&id));
    g_mutex_unlock(&group->lock);
    bench_answer_clear(&answer);
}

/** Sends a request; tries the next daemon if one can't be reached, as after another look-up. */
static void send_upgrade_request(callers *group, int daemon, gint number) {
    static const char *const targets[] = {"/plain/x", "/again/x", "/once/x"};
    const char *target = targets[number % G_N_ELEMENTS(targets)];
    g_autofree char *id = g_strdup_printf("asked-%d", number);
    bench_answer answer = {0};
    uint64_t start_ms = hs_clock_monotonic_ms();
    for (int turn = 0; turn < BENCH_DEFAULT_DAEMONS && answer.status == 0; turn++) {
        bench_answer_clear(&answer);
        answer = send_crash_request((daemon + turn) % BENCH_DEFAULT_DAEMONS, target, id, "asked");
    }
    bool is_served = answer.status == 200 && answer.whole;
    g_mutex_lock(&group->lock);
    group->served += is_served;
    bool is_broken_by_kill = (uint64_t)g_atomic_pointer_get(&killed_ms) >= start_ms;
    group->broken += !is_served && is_broken_by_kill;
    group->failed += !is_served && !is_broken_by_kill;
    g_mutex_unlock(&group->lock);
    bench_answer_clear(&answer);
}

static gpointer run_upgrade_caller(gpointer data) {
    callers *group = data;
    while (g_atomic_int_get(&group->stopping) == 0) {
        gint number = g_atomic_int_add(&group->call_count, 1);
        int daemon = number % BENCH_DEFAULT_DAEMONS;
        if (number % CALLS_PER_JOB == 0)
            submit_upgrade_job(group, daemon, number);
        else
            send_upgrade_request(group, daemon, number);
        hs_clock_sleep_ms(CALLER_PAUSE_MS);
    }
    return NULL;
}

static void start_callers(callers *group) {
    *group = (callers){.job_ids = g_ptr_array_new_with_free_func(g_free)};
    g_mutex_init(&group->lock);
    for (int index = 0; index < CALLERS; index++)
        group->threads[index] = g_thread_new("caller", run_upgrade_caller, group);
}

/** Checks that all items of a job are completed and that every daemon returns the same page. */
static void check_job(const char *id) {
    g_autofree char *first = bench_wait_job(0, id, JOB_ITEMS, FINISH_MS);
    CU_ASSERT_PTR_NOT_NULL(first);
    for (int daemon = 1; daemon < BENCH_DEFAULT_DAEMONS; daemon++) {
        g_autofree char *page = bench_wait_job(daemon, id, JOB_ITEMS, JOB_LIMIT_MS);
        CU_ASSERT_EQUAL(g_strcmp0(page, first), 0);
    }
    json_t *root = first != NULL ? json_loads(first, 0, NULL) : NULL;
    size_t index = 0;
    const json_t *result = NULL;
    json_array_foreach(json_object_get(root, "results"), index, result)
        CU_ASSERT_STRING_EQUAL(json_string_value(json_object_get(result, "state")), "completed");
    json_decref(root);
}

/** Checks that only requests in progress at a kill were broken, and that all jobs are complete. */
static void stop_callers(callers *group) {
    g_atomic_int_set(&group->stopping, 1);
    for (int index = 0; index < CALLERS; index++)
        g_thread_join(group->threads[index]);
    fprintf(stderr, "upgrade: %u served, %u broken by kills, %u failed, %u jobs\n", group->served,
            group->broken, group->failed, group->job_ids->len);
    CU_ASSERT(group->served > 0);
    CU_ASSERT_EQUAL(group->failed, 0);
    CU_ASSERT(group->job_ids->len > 0);
    for (guint index = 0; index < group->job_ids->len; index++)
        check_job(group->job_ids->pdata[index]);
    g_ptr_array_free(group->job_ids, TRUE);
    g_mutex_clear(&group->lock);
}

static void replace(int index, int signal_number, bool runs_previous_program) {
    if (signal_number == SIGKILL)
        g_atomic_pointer_set(&killed_ms, (gsize)hs_clock_monotonic_ms());
    bench_signal_daemon(index, signal_number);
    bench.runs_previous_program[index] = runs_previous_program;
    bench_start_daemon(index, false);
    CU_ASSERT_TRUE(bench_wait_ready(index));
    hs_clock_sleep_ms(SETTLE_MS);
}

static void run_all_as(bool runs_previous_program) {
    for (int index = 0; index < BENCH_DEFAULT_DAEMONS; index++)
        if (bench.runs_previous_program[index] != runs_previous_program)
            replace(index, SIGTERM, runs_previous_program);
}

static void a_rolling_upgrade_loses_nothing(void) {
    callers group;
    start_callers(&group);
    for (int index = 0; index < BENCH_DEFAULT_DAEMONS; index++)
        replace(index, SIGTERM, false);
    stop_callers(&group);
}

static void a_rolling_rollback_loses_nothing(void) {
    callers group;
    run_all_as(false);
    start_callers(&group);
    for (int index = 0; index < BENCH_DEFAULT_DAEMONS; index++)
        replace(index, SIGTERM, true);
    stop_callers(&group);
}

/** Killed daemons restart as the new build, and one of them temporarily as the old build. */
static void kills_during_an_upgrade_lose_no_job(void) {
    callers group;
    run_all_as(true);
    start_callers(&group);
    replace(0, SIGKILL, false);
    replace(0, SIGKILL, true);
    for (int index = 0; index < BENCH_DEFAULT_DAEMONS; index++)
        replace(index, SIGKILL, false);
    stop_callers(&group);
}

/** Old and new daemons quarantine the content, also after all have been upgraded. */
static void both_builds_quarantine_a_crashing_content(void) {
    static const char body[] = "fatal-upgrade";
    run_all_as(true);
    replace(1, SIGTERM, false);
    CU_ASSERT_TRUE(crash_fleet_wait_all_up(get_crash_fleet()));
    uint32_t before = crash_fleet_get_crash_count(get_crash_fleet());
    for (int arrival = 0;
         crash_fleet_get_crash_count(get_crash_fleet()) < before + MIN_QUARANTINE_CRASHES &&
         arrival < BENCH_DEFAULT_DAEMONS * MIN_QUARANTINE_CRASHES * 2;
         arrival++) {
        bench_answer answer =
            send_crash_request(arrival % BENCH_DEFAULT_DAEMONS, "/plain/x", body, body);
        bench_answer_clear(&answer);
        hs_clock_sleep_ms(ARRIVAL_INTERVAL_MS);
    }
    hs_clock_sleep_ms(MAX_QUARANTINE_DELAY_MS);
    uint32_t known = crash_fleet_get_crash_count(get_crash_fleet());
    for (int daemon = 0; daemon < BENCH_DEFAULT_DAEMONS; daemon++)
        CU_ASSERT_TRUE(is_request_quarantined(daemon, "/plain/x", body, body));
    hs_clock_sleep_ms(STORE_WRITE_MS);
    run_all_as(false);
    for (int daemon = 0; daemon < BENCH_DEFAULT_DAEMONS; daemon++)
        CU_ASSERT_TRUE(is_request_quarantined(daemon, "/plain/x", body, body));
    CU_ASSERT_EQUAL(crash_fleet_get_crash_count(get_crash_fleet()), known);
}

/**
 * Both builds quarantine an item whose engines crash for other reasons. It completes once a new
 * daemon owns it, also if old daemons, which grant it no trial run, decide on trials.
 */
static void a_quarantined_item_completes_on_new_daemons(void) {
    run_all_as(true);
    replace(0, SIGTERM, false);
    CU_ASSERT_TRUE(crash_fleet_wait_all_up(get_crash_fleet()));
    uint32_t before = crash_fleet_get_crash_count(get_crash_fleet());
    crash_fleet_crash_during_requests(get_crash_fleet(), "unlucky-0", CRASH_DELAY_MS,
                                      MIN_QUARANTINE_CRASHES);
    g_autofree char *body =
        g_strdup("{\"requests\":[{\"id\":\"unlucky-0\",\"path\":\"/jobs/run\",\"headers\":{},"
                 "\"body\":\"dW5sdWNreQ==\",\"tokens\":10}]}");
    bench_answer answer = send_crash_request(0, "/jobs/x", "unlucky", body);
    CU_ASSERT_EQUAL(answer.status, 202);
    bench_answer_clear(&answer);
    CU_ASSERT_TRUE(wait_for_crashes(before, MIN_QUARANTINE_CRASHES, FINISH_MS));
    replace(1, SIGTERM, false); /* One old daemon remains. */
    bool is_owner_old = get_daemon_metric(2, "heathsail_job_partitions_owned ") > 0;
    fprintf(stderr, "upgrade: old daemon owns partitions: %d\n", is_owner_old);
    g_autofree char *page = bench_wait_job(0, "unlucky", 1, FINISH_MS);
    if (page == NULL) /* The old daemon owns it. */
        replace(2, SIGTERM, false);
    g_autofree char *last_page = bench_wait_job(0, "unlucky", 1, FINISH_MS);
    CU_ASSERT_PTR_NOT_NULL(last_page);
}

int begin_upgrade(void) {
    if (!use_previous_program(0, BENCH_DEFAULT_DAEMONS - 1))
        return -1;
    return begin_crashes_with_settings(
        &(crash_fleet_settings){.pace = {.events = STREAM_EVENTS, .event_ms = STREAM_EVENT_MS}});
}

int end_upgrade(void) {
    int ended = end_crashes_same_ids();
    stop_using_previous_program();
    return ended;
}

const test_case fleet_upgrade_system_tests[] = {
    {"a_rolling_upgrade_loses_nothing", a_rolling_upgrade_loses_nothing},
    {"a_rolling_rollback_loses_nothing", a_rolling_rollback_loses_nothing},
    {"kills_during_an_upgrade_lose_no_job", kills_during_an_upgrade_lose_no_job},
    {"both_builds_quarantine_a_crashing_content", both_builds_quarantine_a_crashing_content},
    {"a_quarantined_item_completes_on_new_daemons", a_quarantined_item_completes_on_new_daemons},
    {NULL, NULL},
};
