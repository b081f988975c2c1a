/**
 * @file test_crash_storm.c
 * Tests of the quarantine of accepted work that ran on engines while many of them crashed.
 */
#include "base/clock.h"
#include "fleet/crash_watch.h"
#include "tests/unit/unit_tests.h"

/** Delay in ms of a further trial run of accepted work without another reason. */
#define TRIAL_DELAY_MS 5000
#define SHORT_MS 200
#define SUSPECT 7
#define BESIDE 8
/** Engines of the suspect count from 1, those of the content beside it from here. */
#define OTHER_ENGINES 100
/** Losses of a suspect before its quarantine, and those of its trial runs. */
#define FIRST_LOSSES 3
#define LATE_LOSSES 2
/** Interval in ms between losses; more than the time in which a quarantine spreads. */
#define INTERVAL_MS 4000

/** Returns the evidence on a content whose last loss was @p ago_ms ago. */
static hs_crash_evidence make_losses(uint64_t content, uint64_t first_engine, uint64_t ago_ms) {
    uint64_t now_ms = hs_clock_monotonic_ms();
    hs_crash_evidence evidence = {.content = content, .engine_count = FIRST_LOSSES + LATE_LOSSES};
    for (uint32_t index = 0; index < evidence.engine_count; index++)
        evidence.engines[index] = (hs_crash_engine){
            .engine = first_engine + index,
            .lost_ms = now_ms - ago_ms - (evidence.engine_count - 1 - index) * INTERVAL_MS};
    return evidence;
}

static void merge(hs_crash_watch *watch, const hs_crash_evidence *evidence) {
    hs_crash_watch_merge_evidence(watch, evidence, &(hs_crash_evidence_source){.daemon = "other"});
}

/**
 * Merges the losses of a suspect, and those of a content that was lost at the same times with other
 * engines. Returns the evidence on the suspect.
 */
static hs_crash_evidence merge_storm(hs_crash_watch *watch, uint64_t ago_ms) {
    hs_crash_evidence suspect = make_losses(SUSPECT, 1, ago_ms);
    hs_crash_evidence beside = make_losses(BESIDE, OTHER_ENGINES, ago_ms);
    merge(watch, &suspect);
    merge(watch, &beside);
    return suspect;
}

static hs_trial_verdict decide(hs_crash_watch *watch, const hs_crash_evidence *evidence,
                               bool is_accepted) {
    hs_trial_query query = {.evidence = evidence, .is_accepted = is_accepted};
    return hs_crash_watch_decide_trial(watch, &query, "other");
}

/** Guards against accepted items that are held back until they expire, long after a storm. */
static void accepted_work_gets_a_trial_run_after_a_storm(void) {
    hs_crash_watch *watch = hs_crash_watch_new();
    hs_crash_evidence suspect = merge_storm(watch, TRIAL_DELAY_MS - 3000);
    hs_clock_sleep_ms(10);
    CU_ASSERT_EQUAL(decide(watch, &suspect, false), HS_TRIAL_NO_GROUNDS);
    CU_ASSERT_EQUAL(decide(watch, &suspect, true), HS_TRIAL_TOO_SOON);
    hs_clock_sleep_ms(3100);
    CU_ASSERT_EQUAL(decide(watch, &suspect, true), HS_TRIAL_GRANTED);
    CU_ASSERT_EQUAL(decide(watch, &suspect, true), HS_TRIAL_TOO_SOON);
    hs_crash_watch_free(watch);
}

/** Guards against trial runs at short intervals in a storm, each of which may lose an engine. */
static void trial_runs_keep_their_delay_while_engines_crash(void) {
    hs_crash_watch *watch = hs_crash_watch_new();
    hs_crash_evidence suspect = merge_storm(watch, TRIAL_DELAY_MS - SHORT_MS);
    hs_crash_evidence recent = {.content = BESIDE + 1, .engine_count = 1};
    recent.engines[0] =
        (hs_crash_engine){.engine = 2 * OTHER_ENGINES, .lost_ms = hs_clock_monotonic_ms() - 1000};
    merge(watch, &recent);
    CU_ASSERT_EQUAL(decide(watch, &suspect, true), HS_TRIAL_TOO_SOON);
    hs_clock_sleep_ms(SHORT_MS);
    CU_ASSERT_EQUAL(decide(watch, &suspect, true), HS_TRIAL_GRANTED);
    CU_ASSERT_EQUAL(decide(watch, &suspect, true), HS_TRIAL_TOO_SOON);
    hs_crash_watch_free(watch);
}

/** Guards against accepted work that is given up since no other engines crashed at the same times,
 * and against trial runs of it at short intervals. */
static void work_that_was_lost_alone_gets_a_trial_run_after_a_delay(void) {
    hs_crash_watch *watch = hs_crash_watch_new();
    hs_crash_evidence suspect = make_losses(SUSPECT, 1, TRIAL_DELAY_MS - SHORT_MS);
    merge(watch, &suspect);
    CU_ASSERT_EQUAL(decide(watch, &suspect, true), HS_TRIAL_TOO_SOON);
    hs_clock_sleep_ms(SHORT_MS);
    CU_ASSERT_EQUAL(decide(watch, &suspect, false), HS_TRIAL_NO_GROUNDS);
    CU_ASSERT_EQUAL(decide(watch, &suspect, true), HS_TRIAL_GRANTED);
    CU_ASSERT_EQUAL(decide(watch, &suspect, true), HS_TRIAL_TOO_SOON);
    hs_crash_watch_free(watch);
}

/** Guards against a callers' content that gets trial runs without a limit, as accepted work does:
 * it may be the cause of its losses. */
static void a_content_of_callers_that_was_lost_alone_gets_no_further_trial_run(void) {
    hs_crash_watch *watch = hs_crash_watch_new();
    hs_crash_evidence suspect = make_losses(SUSPECT, 1, 2 * TRIAL_DELAY_MS);
    hs_crash_evidence same_engines = make_losses(BESIDE, 1, 2 * TRIAL_DELAY_MS);
    merge(watch, &suspect);
    merge(watch, &same_engines);
    CU_ASSERT_EQUAL(decide(watch, &suspect, false), HS_TRIAL_EXHAUSTED);
    CU_ASSERT_EQUAL(decide(watch, &suspect, true), HS_TRIAL_GRANTED);
    CU_ASSERT_EQUAL(decide(watch, &suspect, false), HS_TRIAL_EXHAUSTED);
    hs_crash_watch_free(watch);
}

/** Otherwise a trial run that no engine began would delay the next one. */
static void a_returned_trial_run_after_a_storm_is_granted_again(void) {
    hs_crash_watch *watch = hs_crash_watch_new();
    hs_crash_evidence suspect = merge_storm(watch, 2 * TRIAL_DELAY_MS);
    suspect.engines[0].ran_ms = HS_CRASH_LONG_RUN_MS; /* The next one is due soon. */
    merge(watch, &suspect);
    CU_ASSERT_EQUAL(decide(watch, &suspect, true), HS_TRIAL_GRANTED);
    CU_ASSERT_EQUAL(decide(watch, &suspect, true), HS_TRIAL_TOO_SOON);
    hs_crash_watch_take_returned_trial(watch, SUSPECT);
    hs_clock_sleep_ms(350);
    CU_ASSERT_EQUAL(decide(watch, &suspect, true), HS_TRIAL_GRANTED);
    CU_ASSERT_EQUAL(decide(watch, &suspect, true), HS_TRIAL_TOO_SOON);
    hs_crash_watch_free(watch);
}

/** Guards against accepted work that is held back for good once what was lost beside it is
 * acquitted. */
static void accepted_work_gets_a_trial_run_when_other_contents_are_acquitted(void) {
    hs_crash_watch *watch = hs_crash_watch_new();
    hs_crash_evidence suspect = merge_storm(watch, 2 * TRIAL_DELAY_MS);
    hs_crash_evidence acquitted = {
        .content = BESIDE, .is_acquitted = true, .acquitted_ms = hs_clock_monotonic_ms()};
    merge(watch, &acquitted);
    CU_ASSERT_EQUAL(decide(watch, &suspect, true), HS_TRIAL_GRANTED);
    hs_crash_watch_free(watch);
}

const test_case crash_storm_tests[] = {
    {"accepted_work_gets_a_trial_run_when_other_contents_are_acquitted",
     accepted_work_gets_a_trial_run_when_other_contents_are_acquitted},
    {"accepted_work_gets_a_trial_run_after_a_storm", accepted_work_gets_a_trial_run_after_a_storm},
    {"trial_runs_keep_their_delay_while_engines_crash",
     trial_runs_keep_their_delay_while_engines_crash},
    {"work_that_was_lost_alone_gets_a_trial_run_after_a_delay",
     work_that_was_lost_alone_gets_a_trial_run_after_a_delay},
    {"a_content_of_callers_that_was_lost_alone_gets_no_further_trial_run",
     a_content_of_callers_that_was_lost_alone_gets_no_further_trial_run},
    {"a_returned_trial_run_after_a_storm_is_granted_again",
     a_returned_trial_run_after_a_storm_is_granted_again},
    {NULL, NULL}};
