/**
 * @file test_fleet_item_losses.c
 * System tests of job items whose engines crash for other reasons: a quarantined item gets a trial
 * run, so that it completes instead of waiting for the end of its quarantine.
 */
#include "base/clock.h"
#include "tests/system/crash_calls.h"
#include "tests/system/fleet_calls.h"
#include "tests/system/system_tests.h"

#include <CUnit/CUnit.h>
#include <jansson.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

/** The platform's finish-s in ms: limit for a job to complete after the last failure. */
#define FINISH_MS 18000
/** Length of the engines' streams, so that a crash occurs in the middle of a stream. */
#define STREAM_EVENTS 130
#define STREAM_EVENT_MS 50
/** Delays in ms from the start of a run to a crash in its middle and to one at its beginning. One
 * stream is longer than five of the former. */
#define MIDDLE_CRASH_MS 1200
#define EARLY_CRASH_MS 100
/** Items of a job; the engines of the first item crash. */
#define ITEMS 3
/** Time in ms within which a quarantine is written to the store. */
#define STORE_WRITE_MS 1500
/** Time in ms for which an item that crashes its engines is observed; it spans several trials. */
#define CRASH_OBSERVATION_MS 45000
/** Trial runs that are allowed once all daemons know of three crashes. */
#define MAX_LATE_SENDS 3

/** A job in which no two items have the same body. Free with g_free. */
static char *job_of_distinct_bodies(const char *id, const char *first_body) {
    GString *body = g_string_new("{\"requests\":[");
    for (int item = 0; item < ITEMS; item++) {
        g_autofree char *text =
            item == 0 ? g_strdup(first_body) : g_strdup_printf("own-%s-%d", id, item);
        g_autofree char *encoded = g_base64_encode((const guchar *)text, strlen(text));
        g_string_append_printf(body,
                               "%s{\"id\":\"%s-%d\",\"path\":\"/jobs/run\",\"headers\":{},"
                               "\"body\":\"%s\",\"tokens\":10}",
                               item > 0 ? "," : "", id, item, encoded);
    }
    g_string_append(body, "]}");
    return g_string_free(body, FALSE);
}

static void submit_distinct_bodies(const char *id, const char *first_body) {
    g_autofree char *body = job_of_distinct_bodies(id, first_body);
    bench_answer answer = send_crash_request(0, "/jobs/x", id, body);
    CU_ASSERT_EQUAL(answer.status, 202);
    bench_answer_clear(&answer);
}

/** Checks that the text has each event once and in order. */
static void check_text(const char *text) {
    g_auto(GStrv) events = g_strsplit(text, "\n", 0);
    guint count = g_strv_length(events);
    CU_ASSERT_EQUAL(count, STREAM_EVENTS);
    for (guint index = 0; index < count; index++) {
        char engine_id[TOKEN_ENGINE_ID_BYTES];
        uint32_t event = 0;
        uint32_t run = 0;
        CU_ASSERT_TRUE(token_engine_parse_event(events[index], &event, engine_id, &run));
        CU_ASSERT_EQUAL(event, index + 1);
    }
}

static void check_results(const char *page) {
    json_t *root = json_loads(page, 0, NULL);
    size_t index = 0;
    const json_t *result = NULL;
    json_array_foreach(json_object_get(root, "results"), index, result) {
        CU_ASSERT_STRING_EQUAL(json_string_value(json_object_get(result, "state")), "completed");
        check_text(json_string_value(json_object_get(result, "message")));
    }
    json_decref(root);
}

/** Checks that the job completes within FINISH_MS. */
static void check_completes(const char *id) {
    uint64_t start_ms = hs_clock_monotonic_ms();
    g_autofree char *page = bench_wait_job(0, id, ITEMS, FINISH_MS);
    fprintf(stderr, "%s: %s after %u ms\n", id, page != NULL ? "completed" : "not completed",
            (unsigned)(hs_clock_monotonic_ms() - start_ms));
    CU_ASSERT_PTR_NOT_NULL(page);
    if (page != NULL)
        check_results(page);
}

/** Submits a job and crashes the engines of its first item @p times times. */
static void crash_engines_of_item(const char *id, uint32_t after_ms, uint32_t times) {
    g_autofree char *item = g_strdup_printf("%s-0", id);
    CU_ASSERT_TRUE(crash_fleet_wait_all_up(get_crash_fleet()));
    uint32_t before = crash_fleet_get_crash_count(get_crash_fleet());
    crash_fleet_crash_during_requests(get_crash_fleet(), item, after_ms, times);
    submit_distinct_bodies(id, item);
    CU_ASSERT_TRUE(wait_for_crashes(before, times, FINISH_MS * 2));
}

static void an_item_that_lost_two_engines_completes(void) {
    crash_engines_of_item("two", MIDDLE_CRASH_MS, 2);
    check_completes("two");
}

static void an_item_that_lost_three_engines_completes(void) {
    crash_engines_of_item("three", MIDDLE_CRASH_MS, 3);
    check_completes("three");
}

static void an_item_whose_engines_crash_at_its_start_completes(void) {
    crash_engines_of_item("early", EARLY_CRASH_MS, 3);
    check_completes("early");
}

static void an_item_that_lost_five_engines_completes(void) {
    crash_engines_of_item("five", MIDDLE_CRASH_MS, 5);
    check_completes("five");
}

static void a_quarantined_item_completes_after_a_kill_of_all_daemons(void) {
    crash_engines_of_item("killed", MIDDLE_CRASH_MS, 3);
    hs_clock_sleep_ms(STORE_WRITE_MS);
    kill_and_restart_all_daemons();
    check_completes("killed");
}

/** All daemons are restarted, so the owner of the item is among them. */
static void a_quarantined_item_completes_after_a_rolling_restart(void) {
    crash_engines_of_item("turned", MIDDLE_CRASH_MS, 3);
    for (int index = 0; index < BENCH_DEFAULT_DAEMONS; index++) {
        bench_signal_daemon(index, SIGTERM);
        bench_start_daemon(index, false);
        CU_ASSERT_TRUE(bench_wait_ready(index));
    }
    check_completes("turned");
}

/**
 * Trial runs of an item that does crash its engines stay limited, also over a kill of all daemons,
 * and the other items of its job are completed.
 */
static void an_item_that_crashes_engines_gets_few_trial_runs(void) {
    static const char id[] = "crasher";
    CU_ASSERT_TRUE(crash_fleet_wait_all_up(get_crash_fleet()));
    uint32_t before = crash_fleet_get_crash_count(get_crash_fleet());
    submit_distinct_bodies(id, CRASH_FLEET_FATAL_PREFIX "-crasher");
    CU_ASSERT_TRUE(wait_for_crashes(before, MIN_QUARANTINE_CRASHES, FINISH_MS));
    uint64_t known_ms =
        crash_fleet_find_crash_ms(get_crash_fleet(), "crasher-0", MIN_QUARANTINE_CRASHES);
    hs_clock_sleep_ms(CRASH_OBSERVATION_MS / 3);
    kill_and_restart_all_daemons();
    hs_clock_sleep_ms(CRASH_OBSERVATION_MS * 2 / 3);
    uint32_t late = crash_fleet_count_starts(get_crash_fleet(), "crasher-0",
                                             known_ms + MAX_QUARANTINE_DELAY_MS);
    fprintf(stderr, "crasher: %u engines crashed, %u late sends\n",
            crash_fleet_get_crash_count(get_crash_fleet()) - before, late);
    CU_ASSERT(known_ms > 0);
    CU_ASSERT(late <= MAX_LATE_SENDS);
    g_autofree char *page = bench_wait_job(0, id, ITEMS - 1, JOB_LIMIT_MS);
    CU_ASSERT_PTR_NOT_NULL(page);
}

int begin_item_losses(void) {
    bench.settings = (bench_settings){
        .item_pace = {.events = STREAM_EVENTS, .event_ms = STREAM_EVENT_MS}, .retention_s = 120};
    return begin_crashes_with_settings(
        &(crash_fleet_settings){.pace = {.events = STREAM_EVENTS, .event_ms = STREAM_EVENT_MS}});
}

int end_item_losses(void) {
    int ended = end_crashes_same_ids();
    bench.settings = (bench_settings){0};
    return ended;
}

const test_case fleet_item_loss_system_tests[] = {
    {"an_item_that_lost_two_engines_completes", an_item_that_lost_two_engines_completes},
    {"an_item_that_lost_three_engines_completes", an_item_that_lost_three_engines_completes},
    {"an_item_whose_engines_crash_at_its_start_completes",
     an_item_whose_engines_crash_at_its_start_completes},
    {"an_item_that_lost_five_engines_completes", an_item_that_lost_five_engines_completes},
    {"a_quarantined_item_completes_after_a_kill_of_all_daemons",
     a_quarantined_item_completes_after_a_kill_of_all_daemons},
    {"a_quarantined_item_completes_after_a_rolling_restart",
     a_quarantined_item_completes_after_a_rolling_restart},
    {"an_item_that_crashes_engines_gets_few_trial_runs",
     an_item_that_crashes_engines_gets_few_trial_runs},
    {NULL, NULL},
};
