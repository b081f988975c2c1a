/**
 * @file test_fleet_crash_trials.c
 * What merely ran beside a request that crashes engines, over real daemons with few engines.
 */
#include "base/clock.h"
#include "tests/system/crash_calls.h"
#include "tests/system/system_tests.h"

#include <CUnit/CUnit.h>
#include <stdio.h>

/** Callers of one body that runs beside a crashing one, and their pause, in ms. */
#define INNOCENT_CALLERS 6
#define INNOCENT_PAUSE_MS 50
/** For so long the crashing one keeps coming, in ms; */
#define BESIDE_MS 14000
/** within so long the other is served again. */
#define SERVED_AGAIN_MS 5000
/** A content may be sent so often after all know that it ended three engines: to find out which of
 * several is to blame. */
#define LATE_SENDS_MOST 3

static int few_causes = 1;

/** A body that is asked all the time, beside a crashing one. */
typedef struct {
    gint stopping;
    gint numbers;
    uint32_t served;
    uint64_t last_served_ms; /**< Monotonic. */
    uint64_t longest_gap_ms; /**< Between two that were served. */
} innocent;

static void note_served(innocent *body) {
    uint64_t now_ms = hs_clock_monotonic_ms();
    body->longest_gap_ms = MAX(body->longest_gap_ms, now_ms - body->last_served_ms);
    body->last_served_ms = now_ms;
    body->served++;
}

/** One of some callers that ask it in turn, each at all daemons. */
typedef struct {
    innocent *body;
    GMutex *lock;
} innocent_caller;

static gpointer ask_innocent(gpointer data) {
    innocent_caller *caller = data;
    innocent *body = caller->body;
    while (g_atomic_int_get(&body->stopping) == 0) {
        gint number = g_atomic_int_add(&body->numbers, 1);
        g_autofree char *id = g_strdup_printf("innocent-%d", number);
        bench_answer answer = crash_send(number % BENCH_DAEMONS, "/once/x", id, "innocent");
        g_mutex_lock(caller->lock);
        if (answer.status == 200 && answer.whole)
            note_served(body);
        g_mutex_unlock(caller->lock);
        bench_answer_clear(&answer);
        hs_clock_sleep_ms(INNOCENT_PAUSE_MS);
    }
    return NULL;
}

/**
 * Few engines, so that what is asked all the time runs at each engine that crashes: by the losses
 * alone it is as much to blame as the cause. Only a run of its own tells.
 */
static void what_ran_beside_is_served_again_soon(void) {
    static const char *const fatal[] = {"fatal-beside-a", "fatal-beside-b"};
    GMutex lock;
    g_mutex_init(&lock);
    innocent body = {.last_served_ms = hs_clock_monotonic_ms()};
    innocent_caller caller = {.body = &body, .lock = &lock};
    GThread *threads[INNOCENT_CALLERS];
    CU_ASSERT_TRUE(crash_fleet_wait_up(crash_engines()));
    uint32_t before = crash_fleet_crashes(crash_engines());
    for (int index = 0; index < INNOCENT_CALLERS; index++)
        threads[index] = g_thread_new("innocent", ask_innocent, &caller);
    uint64_t began_ms = hs_clock_monotonic_ms();
    for (int arrival = 0; hs_clock_monotonic_ms() < began_ms + BESIDE_MS; arrival++) {
        const char *content = fatal[arrival % few_causes];
        bench_answer answer = crash_send(arrival % BENCH_DAEMONS, "/plain/x", content, content);
        bench_answer_clear(&answer);
        hs_clock_sleep_ms(ARRIVAL_MS);
    }
    g_atomic_int_set(&body.stopping, 1);
    for (int index = 0; index < INNOCENT_CALLERS; index++)
        g_thread_join(threads[index]);
    uint64_t end_gap_ms = hs_clock_monotonic_ms() - body.last_served_ms;
    uint32_t lost = crash_fleet_crashes(crash_engines()) - before;
    fprintf(stderr, "beside %d causes: %u served, longest gap %u ms, at the end %u ms, %u lost\n",
            few_causes, body.served, (unsigned)body.longest_gap_ms, (unsigned)end_gap_ms, lost);
    CU_ASSERT(body.longest_gap_ms <= SERVED_AGAIN_MS);
    CU_ASSERT(end_gap_ms <= SERVED_AGAIN_MS);
    for (int index = 0; index < few_causes; index++) {
        uint64_t known_ms = crash_fleet_end_ms(crash_engines(), fatal[index], CRASHES_KNOWN);
        CU_ASSERT(known_ms > 0);
        CU_ASSERT(crash_fleet_begun(crash_engines(), fatal[index], known_ms + KNOWN_WITHIN_MS) <=
                  LATE_SENDS_MOST);
        CU_ASSERT_TRUE(crash_is_refused(0, "/plain/x", fatal[index], fatal[index]));
    }
    g_mutex_clear(&lock);
}

/** A fleet of few engines that are back soon, with streams that last longer than it takes. */
static int begin_few(int count, uint32_t return_ms, int causes) {
    few_causes = causes;
    return begin_crashes_with(&(crash_fleet_settings){.engines = count,
                                                      .return_ms = return_ms,
                                                      .pace = {.events = 40, .event_ms = 15},
                                                      .keeps_ids = true});
}

int begin_crashes_few(void) {
    return begin_few(3, 400, 1);
}

int begin_crashes_two(void) {
    return begin_few(2, 300, 1);
}

int begin_crashes_two_causes(void) {
    return begin_few(6, 900, 2);
}

const test_case fleet_crash_few_system_tests[] = {
    {"what_ran_beside_is_served_again_soon", what_ran_beside_is_served_again_soon},
    {NULL, NULL},
};
