/**
 * @file test_crash_parts.c
 * Tests of the quarantine of prompt parts: a part that crashes engines is found among requests that
 * are never alike, and what they share with sound requests is not.
 */
#include "base/clock.h"
#include "fleet/crash_watch.h"
#include "tests/unit/unit_tests.h"

#define FATAL_ID 0xdead
#define SHARED_ID 0xc0ffee
#define RARE_ID 0xabc

/** Contents of a request of its own; the ids end with 0. */
static hs_request_contents make_request(uint64_t number, const uint64_t *ids) {
    hs_request_size size = {0};
    for (; *ids != 0; ids++)
        size.parts[size.part_count++].id = *ids;
    size.parts[size.part_count++].id = 1000 + number;
    return hs_request_contents_make(number, &size);
}

static const uint64_t fatal_ids[] = {SHARED_ID, RARE_ID, FATAL_ID, 0};
static const uint64_t sound_ids[] = {SHARED_ID, RARE_ID, 0};

/** Loses a run with an engine whose entry shows a crash. */
static void lose_run(hs_crash_watch *watch, const hs_request_contents *contents, uint64_t engine,
                     uint32_t ran_ms) {
    hs_cut_run run = {.contents = *contents,
                      .engine = engine,
                      .engine_id = "e",
                      .cut_ms = hs_clock_monotonic_ms(),
                      .ran_ms = ran_ms};
    hs_crash_watch_note_ended(watch, &run);
    hs_crash_watch_note_crashed(watch, engine);
}

static bool is_quarantined(hs_crash_watch *watch, const hs_request_contents *contents) {
    hs_crash_quarantine quarantine;
    return hs_crash_watch_is_quarantined(watch, contents, &quarantine);
}

static void the_last_part_and_duplicates_are_no_contents(void) {
    static const uint64_t ids[] = {1, 2, 1, 0};
    hs_request_contents contents = make_request(7, ids);
    CU_ASSERT_EQUAL(contents.count, 3);
    CU_ASSERT_EQUAL(contents.hashes[0], 7);
    hs_request_size longer = {.part_count = 1, .parts = {{.id = 1}}, .has_more_parts = true};
    hs_request_contents cut_off = hs_request_contents_make(8, &longer);
    CU_ASSERT_EQUAL(cut_off.count, 2);
    CU_ASSERT_EQUAL(cut_off.hashes[1], contents.hashes[1]);
    CU_ASSERT_EQUAL(hs_request_contents_make(9, NULL).count, 1);
}

static void requests_that_share_only_a_fatal_part_are_quarantined(void) {
    hs_crash_watch *watch = hs_crash_watch_new();
    for (uint64_t number = 1; number <= HS_MIN_CRASHES_TO_QUARANTINE; number++) {
        hs_request_contents fatal = make_request(number, fatal_ids);
        hs_request_contents sound = make_request(100 + number, sound_ids);
        CU_ASSERT_FALSE(is_quarantined(watch, &fatal));
        lose_run(watch, &fatal, number, 40);
        hs_crash_watch_note_survived(watch, &sound);
    }
    hs_request_contents next_fatal = make_request(50, fatal_ids);
    hs_request_contents next_sound = make_request(150, sound_ids);
    hs_request_contents other = make_request(51, (const uint64_t[]){FATAL_ID, 0});
    CU_ASSERT_TRUE(is_quarantined(watch, &next_fatal));
    CU_ASSERT_TRUE(is_quarantined(watch, &other));
    CU_ASSERT_FALSE(is_quarantined(watch, &next_sound));
    hs_crash_watch_free(watch);
}

/** Guards against a sound body that is blamed since it came while another request crashed engines.
 */
static void what_a_fatal_part_explains_is_released(void) {
    hs_crash_watch *watch = hs_crash_watch_new();
    hs_request_contents frequent = make_request(7, (const uint64_t[]){0});
    for (uint64_t engine = 1; engine <= HS_MIN_CRASHES_TO_QUARANTINE + 2; engine++) {
        hs_request_contents fatal = make_request(100 + engine, fatal_ids);
        lose_run(watch, &fatal, engine, 40);
        if (engine <= HS_MIN_CRASHES_TO_QUARANTINE)
            lose_run(watch, &frequent, engine, 40);
    }
    CU_ASSERT_TRUE(
        is_quarantined(watch, &(hs_request_contents){1, {make_request(0, fatal_ids).hashes[3]}}));
    CU_ASSERT_FALSE(is_quarantined(watch, &frequent));
    hs_crash_watch_free(watch);
}

static void a_long_run_says_nothing_about_parts(void) {
    hs_crash_watch *watch = hs_crash_watch_new();
    for (uint64_t engine = 1; engine <= HS_MIN_CRASHES_TO_QUARANTINE; engine++) {
        hs_request_contents sound = make_request(engine, sound_ids);
        lose_run(watch, &sound, engine, HS_CRASH_LONG_RUN_MS);
    }
    hs_request_contents next = make_request(50, sound_ids);
    CU_ASSERT_FALSE(is_quarantined(watch, &next));
    hs_crash_watch_free(watch);
}

/** Guards against a fatal part that is cleared, as answers without a length look whole when their
 * engine crashes between two events. */
static void an_answer_that_ends_with_its_connection_clears_nothing_at_once(void) {
    hs_crash_watch *watch = hs_crash_watch_new();
    for (uint64_t number = 1; number <= HS_MIN_CRASHES_TO_QUARANTINE; number++) {
        hs_request_contents fatal = make_request(number, fatal_ids);
        lose_run(watch, &fatal, number, 40);
        hs_cut_run whole = {.contents = make_request(10 + number, fatal_ids),
                            .engine = 10 + number,
                            .cut_ms = hs_clock_monotonic_ms()};
        hs_crash_watch_note_ended(watch, &whole);
    }
    hs_request_contents next = make_request(50, fatal_ids);
    CU_ASSERT_TRUE(is_quarantined(watch, &next));
    hs_crash_watch_free(watch);
}

static hs_trial_verdict grant_trial(const hs_trial_query *query, void *user_data) {
    (void)query;
    (void)user_data;
    return HS_TRIAL_GRANTED;
}

static hs_trial_verdict request_trial(hs_crash_watch *watch, const hs_request_contents *contents) {
    hs_crash_quarantine quarantine;
    CU_ASSERT_TRUE(hs_crash_watch_is_quarantined(watch, contents, &quarantine));
    return hs_crash_watch_request_trial(watch, contents, quarantine.content, false);
}

/** Guards against a trial run of a shared part that is spent on a request with the fatal one. */
static void the_trial_run_of_a_part_goes_to_a_request_without_other_suspects(void) {
    hs_crash_watch *watch = hs_crash_watch_new();
    hs_crash_watch_set_trial_calls(watch, &(hs_trial_calls){.query_trial = grant_trial});
    for (uint64_t engine = 1; engine <= HS_MIN_CRASHES_TO_QUARANTINE; engine++) {
        hs_request_contents fatal =
            make_request(engine, (const uint64_t[]){SHARED_ID, FATAL_ID, 0});
        lose_run(watch, &fatal, engine, 40);
    }
    hs_request_contents next_fatal = make_request(50, (const uint64_t[]){SHARED_ID, FATAL_ID, 0});
    hs_request_contents next_sound = make_request(51, (const uint64_t[]){SHARED_ID, 0});
    CU_ASSERT_EQUAL(request_trial(watch, &next_fatal), HS_TRIAL_TOO_SOON);
    CU_ASSERT_EQUAL(request_trial(watch, &next_sound), HS_TRIAL_GRANTED);
    hs_crash_watch_note_survived(watch, &next_sound);
    CU_ASSERT_FALSE(is_quarantined(watch, &next_sound));
    CU_ASSERT_EQUAL(request_trial(watch, &next_fatal), HS_TRIAL_NO_GROUNDS);
    hs_crash_watch_free(watch);
}

const test_case crash_part_tests[] = {
    {"the_last_part_and_duplicates_are_no_contents", the_last_part_and_duplicates_are_no_contents},
    {"requests_that_share_only_a_fatal_part_are_quarantined",
     requests_that_share_only_a_fatal_part_are_quarantined},
    {"what_a_fatal_part_explains_is_released", what_a_fatal_part_explains_is_released},
    {"a_long_run_says_nothing_about_parts", a_long_run_says_nothing_about_parts},
    {"an_answer_that_ends_with_its_connection_clears_nothing_at_once",
     an_answer_that_ends_with_its_connection_clears_nothing_at_once},
    {"the_trial_run_of_a_part_goes_to_a_request_without_other_suspects",
     the_trial_run_of_a_part_goes_to_a_request_without_other_suspects},
    {NULL, NULL},
};
