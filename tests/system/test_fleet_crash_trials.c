/**
 * @file test_fleet_crash_trials.c
 * System tests with few engines: a harmless content that runs on the engines which another content
 * crashes is served again after a trial run.
 */
#include "base/clock.h"
#include "tests/system/crash_calls.h"
#include "tests/system/system_tests.h"

#include <CUnit/CUnit.h>
#include <stdio.h>

/** Callers of the harmless content, and the pause in ms between the requests of each. */
#define HARMLESS_CALLERS 6
#define HARMLESS_PAUSE_MS 50
/** Time in ms for which requests that crash engines arrive. */
#define CRASH_REQUESTS_MS 14000
/** Limit in ms for the time between two served requests of the harmless content. */
#define MAX_SERVICE_GAP_MS 5000
/** Trial runs of a crashing content that are allowed once all daemons know of its three crashes. */
#define MAX_LATE_SENDS 3

/** Engines of the test in which all are down, and the time in ms for which they are. */
#define DOWN_ENGINES 3
#define DOWN_MS 3500
/** Runs that are lost with these engines; twice as many as engines, so that each has one. */
#define LOST_RUNS (2 * DOWN_ENGINES)
/** Time in ms after which the engines crash: long enough for a run to be no likely cause. */
#define RUN_BEFORE_CRASH_MS 1300

static int crashing_contents = 1;

/** Results of the requests with the harmless content. */
typedef struct {
    gint stopping;
    gint request_count;
    uint32_t served;
    uint64_t last_served_ms; /**< Monotonic. */
    uint64_t longest_gap_ms; /**< Between two served requests. */
} harmless_results;

static void record_served(harmless_results *results) {
    uint64_t now_ms = hs_clock_monotonic_ms();
    results->longest_gap_ms = MAX(results->longest_gap_ms, now_ms - results->last_served_ms);
    results->last_served_ms = now_ms;
    results->served++;
}

typedef struct {
    harmless_results *results;
    GMutex *lock;
} harmless_caller;

static gpointer send_harmless_requests(gpointer data) {
    harmless_caller *caller = data;
    harmless_results *results = caller->results;
    while (g_atomic_int_get(&results->stopping) == 0) {
        gint number = g_atomic_int_add(&results->request_count, 1);
        g_autofree char *id = g_strdup_printf("innocent-%d", number);
        bench_answer answer =
            send_crash_request(number % BENCH_DEFAULT_DAEMONS, "/once/x", id, "innocent");
        g_mutex_lock(caller->lock);
        if (answer.status == 200 && answer.whole)
            record_served(results);
        g_mutex_unlock(caller->lock);
        bench_answer_clear(&answer);
        hs_clock_sleep_ms(HARMLESS_PAUSE_MS);
    }
    return NULL;
}

/**
 * With few engines a content that is requested all the time runs on every engine that crashes, so
 * that the crashes alone implicate it as much as their cause. Only a trial run distinguishes them.
 */
static void what_ran_beside_is_served_again_soon(void) {
    static const char *const fatal[] = {"fatal-beside-a", "fatal-beside-b"};
    GMutex lock;
    g_mutex_init(&lock);
    harmless_results results = {.last_served_ms = hs_clock_monotonic_ms()};
    harmless_caller caller = {.results = &results, .lock = &lock};
    GThread *threads[HARMLESS_CALLERS];
    CU_ASSERT_TRUE(crash_fleet_wait_all_up(get_crash_fleet()));
    uint32_t before = crash_fleet_get_crash_count(get_crash_fleet());
    for (int index = 0; index < HARMLESS_CALLERS; index++)
        threads[index] = g_thread_new("harmless", send_harmless_requests, &caller);
    uint64_t start_ms = hs_clock_monotonic_ms();
    for (int arrival = 0; hs_clock_monotonic_ms() < start_ms + CRASH_REQUESTS_MS; arrival++) {
        const char *content = fatal[arrival % crashing_contents];
        bench_answer answer =
            send_crash_request(arrival % BENCH_DEFAULT_DAEMONS, "/plain/x", content, content);
        bench_answer_clear(&answer);
        hs_clock_sleep_ms(ARRIVAL_INTERVAL_MS);
    }
    g_atomic_int_set(&results.stopping, 1);
    for (int index = 0; index < HARMLESS_CALLERS; index++)
        g_thread_join(threads[index]);
    uint64_t last_gap_ms = hs_clock_monotonic_ms() - results.last_served_ms;
    uint32_t lost = crash_fleet_get_crash_count(get_crash_fleet()) - before;
    fprintf(stderr,
            "%d crashing contents: %u harmless requests served, longest gap %u ms, last gap %u ms, "
            "%u engines lost\n",
            crashing_contents, results.served, (unsigned)results.longest_gap_ms,
            (unsigned)last_gap_ms, lost);
    CU_ASSERT(results.longest_gap_ms <= MAX_SERVICE_GAP_MS);
    CU_ASSERT(last_gap_ms <= MAX_SERVICE_GAP_MS);
    for (int index = 0; index < crashing_contents; index++) {
        uint64_t known_ms =
            crash_fleet_find_crash_ms(get_crash_fleet(), fatal[index], MIN_QUARANTINE_CRASHES);
        CU_ASSERT(known_ms > 0);
        CU_ASSERT(crash_fleet_count_starts(get_crash_fleet(), fatal[index],
                                           known_ms + MAX_QUARANTINE_DELAY_MS) <= MAX_LATE_SENDS);
        CU_ASSERT_TRUE(is_request_quarantined(0, "/plain/x", fatal[index], fatal[index]));
    }
    g_mutex_clear(&lock);
}

static gpointer send_long_request(gpointer data) {
    bench_answer answer = send_crash_request(0, "/once/x", data, "long");
    bench_answer_clear(&answer);
    return NULL;
}

/** Crashes all engines while each runs the content, without a cause in it. */
static void crash_all_engines(void) {
    GThread *threads[LOST_RUNS];
    char ids[LOST_RUNS][16];
    for (int index = 0; index < LOST_RUNS; index++) {
        g_snprintf(ids[index], sizeof ids[index], "lost-%d", index);
        threads[index] = g_thread_new("long", send_long_request, ids[index]);
    }
    hs_clock_sleep_ms(RUN_BEFORE_CRASH_MS);
    for (int index = 0; index < DOWN_ENGINES; index++)
        crash_fleet_crash_engine(get_crash_fleet(), index);
    for (int index = 0; index < LOST_RUNS; index++)
        g_thread_join(threads[index]);
}

/** Guards against trial runs that are used up by requests that find all engines down. */
static void what_ran_is_served_again_soon_after_all_engines_were_down(void) {
    CU_ASSERT_TRUE(crash_fleet_wait_all_up(get_crash_fleet()));
    crash_all_engines();
    uint64_t start_ms = hs_clock_monotonic_ms();
    bool was_quarantined = false;
    bool is_served = false;
    for (int number = 0;
         !is_served && hs_clock_monotonic_ms() < start_ms + DOWN_MS + 2 * MAX_SERVICE_GAP_MS;
         number++) {
        g_autofree char *id = g_strdup_printf("again-%d", number);
        was_quarantined = was_quarantined || is_request_quarantined(number % BENCH_DEFAULT_DAEMONS,
                                                                    "/once/x", id, "long");
        bench_answer answer =
            send_crash_request(number % BENCH_DEFAULT_DAEMONS, "/once/x", id, "long");
        is_served = answer.status == 200 && answer.whole;
        bench_answer_clear(&answer);
        hs_clock_sleep_ms(ARRIVAL_INTERVAL_MS);
    }
    uint64_t elapsed_ms = hs_clock_monotonic_ms() - start_ms;
    fprintf(stderr, "served %d, %u ms after all engines crashed\n", is_served,
            (unsigned)elapsed_ms);
    CU_ASSERT_TRUE(was_quarantined);
    CU_ASSERT_TRUE(is_served);
    CU_ASSERT(elapsed_ms <= DOWN_MS + MAX_SERVICE_GAP_MS);
}

/** Starts few engines that restart quickly, with streams that last longer than a restart. */
static int begin_few_engines(int count, uint32_t return_ms, int causes) {
    crashing_contents = causes;
    return begin_crashes_with_settings(
        &(crash_fleet_settings){.engines = count,
                                .return_ms = return_ms,
                                .pace = {.events = 40, .event_ms = 15},
                                .keeps_ids = true});
}

int begin_crashes_few(void) {
    return begin_few_engines(3, 400, 1);
}

int begin_crashes_two(void) {
    return begin_few_engines(2, 300, 1);
}

int begin_crashes_two_causes(void) {
    return begin_few_engines(6, 900, 2);
}

const test_case fleet_crash_few_system_tests[] = {
    {"what_ran_beside_is_served_again_soon", what_ran_beside_is_served_again_soon},
    {NULL, NULL},
};

int begin_crashes_all_down(void) {
    return begin_crashes_with_settings(
        &(crash_fleet_settings){.engines = DOWN_ENGINES,
                                .return_ms = DOWN_MS,
                                .pace = {.events = 100, .event_ms = 15},
                                .keeps_ids = true});
}

const test_case fleet_crash_all_down_system_tests[] = {
    {"what_ran_is_served_again_soon_after_all_engines_were_down",
     what_ran_is_served_again_soon_after_all_engines_were_down},
    {NULL, NULL},
};
