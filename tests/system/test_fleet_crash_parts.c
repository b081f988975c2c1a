/**
 * @file test_fleet_crash_parts.c
 * System tests of requests that have one prompt part in common which crashes engines, while no two
 * of them are alike, and of the requests that share everything else with them.
 */
#include "base/clock.h"
#include "platform/names.h"
#include "tests/system/crash_calls.h"
#include "tests/system/fleet_calls.h"
#include "tests/system/item_loss_calls.h"
#include "tests/system/system_tests.h"

#include <CUnit/CUnit.h>
#include <stdio.h>
#include <string.h>

#define DAEMONS 4
/** Prefix of the ids of parts that crash engines, and one such part of each test. */
#define FATAL_PREFIX "dead"
#define LATER_FATAL_PART FATAL_PREFIX "01"
#define FIRST_FATAL_PART FATAL_PREFIX "02"
#define ITEM_FATAL_PART FATAL_PREFIX "03"
#define FIRST_PART "c0ffee:172"
/** Streams of 0.3 s. */
#define EVENTS 20
#define EVENT_MS 15
#define RETURN_MS 1500
#define SOUND_CALLERS 8
#define SOUND_PAUSE_MS 40
#define FATAL_CALLERS 3
#define FATAL_PAUSE_MS 150
/** Time in ms without and with fatal requests, and after them. */
#define QUIET_MS 3000
#define STORM_MS 13000
#define AFTER_MS 2000
/** Bounds of the platform, in ms: contact-ms, from the fifth crash. */
#define FATAL_CRASHES 5
#define CONTACT_MS 3000
#define MAX_LATE_SENDS 3
/** Time in ms for which an item with a fatal part is observed, its sends in that time by the delays
 * of 2, 4 and then 5 s between them, and the time from which they are 5 s apart. */
#define ITEM_OBSERVATION_MS 25000
#define MAX_ITEM_SENDS 6
#define MIN_SEND_INTERVAL_MS 5000
#define STEADY_AFTER_MS 12000
/** Time in ms for which all engines are down, and the shortest time between two attempts of one
 * daemon at an engine that refused a connection. */
#define DOWN_MS 4000
#define MIN_PROBE_INTERVAL_MS 400

/** Requests of one kind that were sent in one phase. */
typedef struct {
    uint32_t sent;
    uint32_t begun; /**< At least one event arrived. */
} request_counts;

/** Sound requests, half of them with one body. */
typedef struct {
    gint stopping;
    gint next_number;
    GMutex lock;
    request_counts now; /**< Since the counts were taken last. */
    request_counts frequent_now;
} sound_callers;

static void send_parts(int daemon, const char *id, const char *body, const char *parts,
                       bool *has_begun) {
    g_autofree char *prefix = g_strdup_printf(HEADER_PROMPT_PREFIX ": %s", parts);
    const char *const fields[] = {HEADER_TOKEN_USAGE ": 300,20", prefix, NULL};
    bench_answer answer = bench_send(&(bench_call){.daemon = daemon,
                                                   .method = "POST",
                                                   .target = "/again/x",
                                                   .request_id = id,
                                                   .body = body,
                                                   .fields = fields});
    *has_begun = answer.status == 200 && answer.body != NULL && strstr(answer.body, "\n\n") != NULL;
    bench_answer_clear(&answer);
}

static void send_sound_request(sound_callers *callers) {
    gint number = g_atomic_int_add(&callers->next_number, 1);
    g_autofree char *id = g_strdup_printf("sound-%d", number);
    g_autofree char *parts = g_strdup_printf(FIRST_PART ",abc%d:50,a%07x:20", number % 3, number);
    bool is_frequent = number % 2 == 0;
    bool has_begun = false;
    send_parts(number % DAEMONS, id, is_frequent ? "asked by many" : id, parts, &has_begun);
    g_mutex_lock(&callers->lock);
    callers->now.sent++;
    callers->now.begun += has_begun;
    callers->frequent_now.sent += is_frequent;
    callers->frequent_now.begun += is_frequent && has_begun;
    g_mutex_unlock(&callers->lock);
}

static gpointer run_sound_caller(gpointer data) {
    sound_callers *callers = data;
    while (g_atomic_int_get(&callers->stopping) == 0) {
        send_sound_request(callers);
        hs_clock_sleep_ms(SOUND_PAUSE_MS);
    }
    return NULL;
}

/** Returns the counts since the last call. */
static request_counts take_counts(sound_callers *callers, request_counts *frequent) {
    g_mutex_lock(&callers->lock);
    request_counts counts = callers->now;
    *frequent = callers->frequent_now;
    callers->now = (request_counts){0};
    callers->frequent_now = (request_counts){0};
    g_mutex_unlock(&callers->lock);
    return counts;
}

/** Fatal requests, no two of them alike. */
typedef struct {
    const char *prefix; /**< Of the ids. */
    bool is_first;      /**< The fatal part is the first of many; otherwise it comes later. */
    gint stopping;
    gint next_number;
} fatal_callers;

static char *make_fatal_parts(const fatal_callers *callers, int number) {
    if (!callers->is_first)
        return g_strdup_printf(FIRST_PART ",abc%d:50," LATER_FATAL_PART ":40,b%07x:20", number % 3,
                               number);
    GString *parts = g_string_new(FIRST_FATAL_PART ":40");
    for (int index = 0; index < 24; index++)
        g_string_append_printf(parts, ",abc%d:5", index % 3);
    g_string_append_printf(parts, ",b%07x:20", number);
    return g_string_free(parts, FALSE);
}

static gpointer run_fatal_caller(gpointer data) {
    fatal_callers *callers = data;
    while (g_atomic_int_get(&callers->stopping) == 0) {
        gint number = g_atomic_int_add(&callers->next_number, 1);
        g_autofree char *id = g_strdup_printf("%s-%d", callers->prefix, number);
        g_autofree char *parts = make_fatal_parts(callers, number);
        bool has_begun = false;
        send_parts(number % DAEMONS, id, id, parts, &has_begun);
        hs_clock_sleep_ms(FATAL_PAUSE_MS);
    }
    return NULL;
}

static double begun_share(const request_counts *counts) {
    return counts->sent > 0 ? (double)counts->begun / counts->sent : 0;
}

/** Waits for the fifth crash; returns its wall time, or 0 if there were fewer. */
static uint64_t wait_for_fatal_crashes(const char *prefix, uint64_t limit_ms) {
    uint64_t until_ms = hs_clock_monotonic_ms() + limit_ms;
    uint64_t crashed_ms = 0;
    while (crashed_ms == 0 && hs_clock_monotonic_ms() < until_ms) {
        crashed_ms = crash_fleet_find_crash_ms(get_crash_fleet(), prefix, FATAL_CRASHES);
        hs_clock_sleep_ms(EVENT_MS);
    }
    return crashed_ms;
}

static void send_storm(fatal_callers *fatal) {
    sound_callers sound = {0};
    GThread *sound_threads[SOUND_CALLERS];
    GThread *fatal_threads[FATAL_CALLERS];
    request_counts frequent = {0};
    g_mutex_init(&sound.lock);
    CU_ASSERT_TRUE(crash_fleet_wait_all_up(get_crash_fleet()));
    uint32_t before = crash_fleet_get_crash_count(get_crash_fleet());
    for (int index = 0; index < SOUND_CALLERS; index++)
        sound_threads[index] = g_thread_new("sound", run_sound_caller, &sound);
    hs_clock_sleep_ms(QUIET_MS);
    request_counts quiet = take_counts(&sound, &frequent);
    uint64_t end_ms = hs_clock_monotonic_ms() + STORM_MS;
    for (int index = 0; index < FATAL_CALLERS; index++)
        fatal_threads[index] = g_thread_new("fatal", run_fatal_caller, fatal);
    uint64_t fifth_ms = wait_for_fatal_crashes(fatal->prefix, 2 * CONTACT_MS);
    hs_clock_sleep_ms(2 * CONTACT_MS);
    take_counts(&sound, &frequent);
    while (hs_clock_monotonic_ms() < end_ms)
        hs_clock_sleep_ms(EVENT_MS);
    request_counts storm = take_counts(&sound, &frequent);
    g_atomic_int_set(&fatal->stopping, 1);
    for (int index = 0; index < FATAL_CALLERS; index++)
        g_thread_join(fatal_threads[index]);
    hs_clock_sleep_ms(AFTER_MS);
    take_counts(&sound, &frequent);
    hs_clock_sleep_ms(AFTER_MS);
    request_counts after = take_counts(&sound, &frequent);
    g_atomic_int_set(&sound.stopping, 1);
    for (int index = 0; index < SOUND_CALLERS; index++)
        g_thread_join(sound_threads[index]);
    uint32_t late = fifth_ms == 0 ? 0
                                  : crash_fleet_count_starts(get_crash_fleet(), fatal->prefix,
                                                             fifth_ms + CONTACT_MS);
    fprintf(stderr,
            "%s: %d fatal requests, %u engines lost, %u late sends; sound requests begun: %u of %u "
            "before, %u of %u during, %u of %u after, of the frequent body %u of %u\n",
            fatal->prefix, fatal->next_number,
            crash_fleet_get_crash_count(get_crash_fleet()) - before, late, quiet.begun, quiet.sent,
            storm.begun, storm.sent, after.begun, after.sent, frequent.begun, frequent.sent);
    CU_ASSERT(late <= MAX_LATE_SENDS);
    CU_ASSERT(quiet.sent >= 20);
    CU_ASSERT(storm.sent >= 20);
    CU_ASSERT(begun_share(&storm) >= begun_share(&quiet) / 2);
    CU_ASSERT(begun_share(&after) >= begun_share(&quiet) / 2);
    CU_ASSERT(begun_share(&frequent) >= begun_share(&quiet) / 2);
    g_mutex_clear(&sound.lock);
}

static void requests_with_a_part_that_crashes_engines_are_quarantined(void) {
    send_storm(&(fatal_callers){.prefix = "fatal-later"});
}

static void requests_whose_first_of_many_parts_crashes_engines_are_quarantined(void) {
    send_storm(&(fatal_callers){.prefix = "fatal-first", .is_first = true});
}

static int sum_failed_connects(void) {
    int sum = 0;
    for (int daemon = 0; daemon < DAEMONS; daemon++)
        sum += get_daemon_metric(daemon, "\nheathsail_engine_connects_failed ");
    return sum;
}

/** Guards against attempts without a pause while all engines refuse connections. */
static void engines_that_refuse_connections_are_tried_again_after_a_pause_only(void) {
    sound_callers sound = {0};
    GThread *threads[SOUND_CALLERS];
    g_mutex_init(&sound.lock);
    CU_ASSERT_TRUE(crash_fleet_wait_all_up(get_crash_fleet()));
    int before = sum_failed_connects();
    CU_ASSERT(before >= 0);
    for (int index = 0; index < SOUND_CALLERS; index++)
        threads[index] = g_thread_new("sound", run_sound_caller, &sound);
    uint64_t end_ms = hs_clock_monotonic_ms() + DOWN_MS;
    while (hs_clock_monotonic_ms() < end_ms) {
        for (int index = 0; index < CRASH_FLEET_ENGINES; index++)
            crash_fleet_crash_engine(get_crash_fleet(), index);
        hs_clock_sleep_ms(EVENT_MS);
    }
    int failed = sum_failed_connects() - before;
    g_atomic_int_set(&sound.stopping, 1);
    for (int index = 0; index < SOUND_CALLERS; index++)
        g_thread_join(threads[index]);
    /* Engines come back and crash again: each start may be tried anew. */
    int starts = CRASH_FLEET_ENGINES * (1 + DOWN_MS / RETURN_MS);
    int max_failed =
        DAEMONS * (starts + CRASH_FLEET_ENGINES * (DOWN_MS / MIN_PROBE_INTERVAL_MS + 1));
    fprintf(stderr, "all engines down: %d attempts were refused a connection, at most %d\n", failed,
            max_failed);
    CU_ASSERT(failed <= max_failed);
    CU_ASSERT_TRUE(crash_fleet_wait_all_up(get_crash_fleet()));
    g_mutex_clear(&sound.lock);
}

/**
 * Guards against an item that is sent to one engine after the other, as each of its losses is
 * shared with a part of its prompt, which it has in common with requests that crash engines.
 */
static void an_item_with_a_part_that_crashes_engines_is_sent_at_intervals(void) {
    static const char id[] = "part-item";
    CU_ASSERT_TRUE(crash_fleet_wait_all_up(get_crash_fleet()));
    uint32_t before = crash_fleet_get_crash_count(get_crash_fleet());
    bench_answer answer =
        send_crash_request(0, "/jobs/x", id,
                           "{\"requests\":[{\"id\":\"part-item-0\",\"path\":\"/jobs/run\","
                           "\"headers\":{\"" HEADER_TOKEN_USAGE "\":\"300,20\","
                           "\"" HEADER_PROMPT_PREFIX "\":\"" FIRST_PART "," ITEM_FATAL_PART
                           ":40,b0000003:20\"},\"body\":\"aXRlbQ==\",\"tokens\":10}]}");
    CU_ASSERT_EQUAL(answer.status, 202);
    bench_answer_clear(&answer);
    CU_ASSERT_TRUE(wait_for_crashes(before, MIN_QUARANTINE_CRASHES, STORM_MS));
    uint64_t known_ms = crash_fleet_find_crash_ms(get_crash_fleet(), id, MIN_QUARANTINE_CRASHES);
    CU_ASSERT(known_ms > 0);
    hs_clock_sleep_ms(ITEM_OBSERVATION_MS);
    uint32_t late = crash_fleet_count_starts(get_crash_fleet(), id, known_ms + CONTACT_MS);
    fprintf(stderr, "item with a fatal part: %u engines lost, %u late sends\n",
            crash_fleet_get_crash_count(get_crash_fleet()) - before, late);
    CU_ASSERT(late <= MAX_ITEM_SENDS);
    CU_ASSERT(check_send_interval(id, known_ms + STEADY_AFTER_MS, MIN_SEND_INTERVAL_MS) > 0);
}

int begin_crash_parts(void) {
    bench.settings = (bench_settings){.daemons = DAEMONS};
    return begin_crashes_with_settings(
        &(crash_fleet_settings){.return_ms = RETURN_MS,
                                .pace = {.events = EVENTS, .event_ms = EVENT_MS},
                                .fatal_part = FATAL_PREFIX});
}

int end_crash_parts(void) {
    int ended = end_crashes_same_ids();
    bench.settings = (bench_settings){0};
    return ended;
}

const test_case fleet_crash_part_system_tests[] = {
    {"requests_with_a_part_that_crashes_engines_are_quarantined",
     requests_with_a_part_that_crashes_engines_are_quarantined},
    {"requests_whose_first_of_many_parts_crashes_engines_are_quarantined",
     requests_whose_first_of_many_parts_crashes_engines_are_quarantined},
    {"engines_that_refuse_connections_are_tried_again_after_a_pause_only",
     engines_that_refuse_connections_are_tried_again_after_a_pause_only},
    {"an_item_with_a_part_that_crashes_engines_is_sent_at_intervals",
     an_item_with_a_part_that_crashes_engines_is_sent_at_intervals},
    {NULL, NULL},
};
