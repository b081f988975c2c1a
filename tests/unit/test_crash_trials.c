/**
 * @file test_crash_trials.c
 * Tests of the decisions on trial runs of quarantined contents, and of who decides.
 */
#include "directory/trial_deciders.h"
#include "fleet/crash_trials.h"
#include "tests/unit/unit_tests.h"

#include <string.h>

/** Number of items that one crash makes suspects, and the time in ms in which all of them must have
 * a trial run: half of the time in which accepted work should complete. */
#define SUSPECT_ITEMS 40
#define SUSPECT_ITEMS_LIMIT_MS 9000
/** The platform's retention-s and completion-target-ms, in ms, and the interval at which an item
 * asks for a trial run. */
#define RETENTION_MS 60000
#define COMPLETION_TARGET_MS 20000
#define ITEM_POLL_MS 500
/** Number of contents that a decider remembers, and of deciders that a daemon does. */
#define MANY_CONTENTS 1024

static hs_crash_evidence make_evidence(uint64_t content, uint32_t engines, uint64_t last_ms) {
    hs_crash_evidence evidence = {.content = content, .engine_count = engines};
    for (uint32_t index = 0; index < engines; index++)
        evidence.engines[index] =
            (hs_crash_engine){.engine = index + 1, .lost_ms = last_ms - (engines - 1 - index)};
    return evidence;
}

/** Decides on a caller's content that has an alternative cause. */
static hs_trial_verdict decide(hs_crash_trials *trials, const hs_crash_evidence *evidence,
                               uint64_t now_ms) {
    return hs_crash_trials_decide(
        trials, &(hs_trial_candidate){.evidence = evidence, .has_alternative_cause = true}, now_ms);
}

static bool can_have_trial(const hs_crash_evidence *evidence) {
    return hs_crash_trials_check(&(hs_trial_candidate){
               .evidence = evidence, .has_alternative_cause = true}) == HS_TRIAL_GRANTED;
}

/** Also limits the number of trial runs, and refuses them after too many late losses. */
static void trial_runs_are_granted_one_at_a_time(void) {
    hs_crash_trials *trials = hs_crash_trials_new();
    hs_crash_evidence first = make_evidence(1, 3, 10000);
    hs_crash_evidence second = make_evidence(2, 3, 10000);
    CU_ASSERT_NOT_EQUAL(decide(trials, &first, 10100), HS_TRIAL_GRANTED); /* Too soon. */
    CU_ASSERT_EQUAL(decide(trials, &first, 10400), HS_TRIAL_GRANTED);
    CU_ASSERT_NOT_EQUAL(decide(trials, &second, 10500), HS_TRIAL_GRANTED); /* The first runs. */
    CU_ASSERT_NOT_EQUAL(decide(trials, &first, 11450), HS_TRIAL_GRANTED);
    CU_ASSERT_EQUAL(decide(trials, &second, 11500), HS_TRIAL_GRANTED);
    CU_ASSERT_EQUAL(decide(trials, &first, 13500), HS_TRIAL_GRANTED);
    CU_ASSERT_NOT_EQUAL(decide(trials, &first, 60000), HS_TRIAL_GRANTED); /* No trials left. */
    hs_crash_evidence late = make_evidence(3, 3, 10000);
    late.engines[late.engine_count++] = (hs_crash_engine){.engine = 8, .lost_ms = 14000};
    CU_ASSERT_TRUE(can_have_trial(&late));
    late.engines[late.engine_count++] = (hs_crash_engine){.engine = 9, .lost_ms = 15000};
    CU_ASSERT_FALSE(can_have_trial(&late));
    CU_ASSERT_NOT_EQUAL(decide(trials, &late, 30000), HS_TRIAL_GRANTED);
    hs_crash_trials_free(trials);
}

/** Guards against trial runs that are used up on engines which another content crashes. */
static void an_inconclusive_trial_run_is_not_counted(void) {
    hs_crash_trials *trials = hs_crash_trials_new();
    hs_crash_evidence lost = make_evidence(1, 3, 10000);
    hs_trial_candidate candidate = {.evidence = &lost, .has_alternative_cause = true};
    CU_ASSERT_EQUAL(hs_crash_trials_decide(trials, &candidate, 10300), HS_TRIAL_GRANTED);
    lost.engines[lost.engine_count++] = (hs_crash_engine){.engine = 8, .lost_ms = 10500};
    candidate.is_last_loss_shared = true;
    CU_ASSERT_EQUAL(hs_crash_trials_decide(trials, &candidate, 10799), HS_TRIAL_TOO_SOON);
    CU_ASSERT_EQUAL(hs_crash_trials_decide(trials, &candidate, 10800), HS_TRIAL_GRANTED);
    candidate.is_last_loss_shared = false;
    lost.engines[lost.engine_count++] = (hs_crash_engine){.engine = 9, .lost_ms = 10900};
    CU_ASSERT_EQUAL(hs_crash_trials_decide(trials, &candidate, 11700), HS_TRIAL_TOO_SOON);
    CU_ASSERT_EQUAL(hs_crash_trials_decide(trials, &candidate, 12800), HS_TRIAL_GRANTED);
    CU_ASSERT_EQUAL(hs_crash_trials_decide(trials, &candidate, 30000), HS_TRIAL_EXHAUSTED);
    hs_crash_trials_free(trials);
}

/** Guards against a delay that starts anew with each loss between two trial runs. */
static void the_delay_between_trial_runs_counts_from_the_last_one(void) {
    hs_crash_trials *trials = hs_crash_trials_new();
    hs_crash_evidence lost = make_evidence(1, 3, 10000);
    CU_ASSERT_EQUAL(decide(trials, &lost, 10300), HS_TRIAL_GRANTED);
    lost.engines[lost.engine_count++] = (hs_crash_engine){.engine = 8, .lost_ms = 10400};
    CU_ASSERT_EQUAL(decide(trials, &lost, 12200), HS_TRIAL_TOO_SOON);
    lost.engines[lost.engine_count++] = (hs_crash_engine){.engine = 9, .lost_ms = 12100};
    CU_ASSERT_EQUAL(decide(trials, &lost, 12399), HS_TRIAL_TOO_SOON);
    CU_ASSERT_EQUAL(decide(trials, &lost, 12400), HS_TRIAL_GRANTED);
    hs_crash_trials_free(trials);
}

/** Guards against trial runs that are used up while all engines are down, by requests not sent. */
static void a_returned_trial_run_is_not_counted(void) {
    hs_crash_trials *trials = hs_crash_trials_new();
    hs_crash_evidence first = make_evidence(1, 3, 10000);
    hs_crash_evidence second = make_evidence(2, 3, 10000);
    uint64_t now_ms = 10400;
    for (int grant = 0; grant < 2 * HS_MAX_CALLER_TRIALS; grant++, now_ms += 300) {
        CU_ASSERT_EQUAL(decide(trials, &first, now_ms), HS_TRIAL_GRANTED);
        hs_crash_trials_return(trials, 1);
        CU_ASSERT_EQUAL(decide(trials, &first, now_ms + 299), HS_TRIAL_TOO_SOON);
    }
    CU_ASSERT_EQUAL(decide(trials, &second, now_ms - 299), HS_TRIAL_GRANTED);
    for (int grant = 0; grant < HS_MAX_CALLER_TRIALS; grant++, now_ms += 3000)
        CU_ASSERT_EQUAL(decide(trials, &first, now_ms + 3000), HS_TRIAL_GRANTED);
    hs_crash_trials_return(trials, 2);
    hs_crash_trials_return(trials, 3);
    CU_ASSERT_EQUAL(decide(trials, &first, now_ms + 30000), HS_TRIAL_EXHAUSTED);
    hs_crash_trials_return(trials, 1);
    hs_crash_trials_return(trials, 1); /* A repeated message returns no earlier trial run. */
    CU_ASSERT_EQUAL(decide(trials, &first, now_ms + 30000), HS_TRIAL_GRANTED);
    CU_ASSERT_EQUAL(decide(trials, &first, now_ms + 60000), HS_TRIAL_EXHAUSTED);
    hs_crash_trials_free(trials);
}

/** Decides on accepted work that has no alternative cause. */
static hs_trial_verdict decide_item(hs_crash_trials *trials, const hs_crash_evidence *evidence,
                                    uint64_t now_ms) {
    return hs_crash_trials_decide(
        trials, &(hs_trial_candidate){.evidence = evidence, .is_accepted = true}, now_ms);
}

/** Adds a loss in place of the oldest one if there are too many, as the ledger does. */
static void add_loss(hs_crash_evidence *evidence, uint64_t engine, uint64_t lost_ms) {
    uint32_t slot = evidence->engine_count;
    if (slot == HS_MAX_CRASH_ENGINES) {
        memmove(evidence->engines, evidence->engines + 1, (slot - 1) * sizeof evidence->engines[0]);
        slot--;
    }
    evidence->engines[slot] = (hs_crash_engine){.engine = engine, .lost_ms = lost_ms};
    evidence->engine_count = slot + 1;
}

/** Guards against accepted work that is given up after a number of losses or of trial runs. */
static void accepted_work_gets_further_trial_runs(void) {
    hs_crash_trials *trials = hs_crash_trials_new();
    hs_crash_evidence lost = make_evidence(1, 3, 10000);
    hs_trial_candidate caller_candidate = {.evidence = &lost};
    CU_ASSERT_EQUAL(hs_crash_trials_decide(trials, &caller_candidate, 60000), HS_TRIAL_NO_GROUNDS);
    CU_ASSERT_EQUAL(decide_item(trials, &lost, 11999), HS_TRIAL_TOO_SOON);
    CU_ASSERT_EQUAL(decide_item(trials, &lost, 12000), HS_TRIAL_GRANTED);
    CU_ASSERT_EQUAL(decide_item(trials, &lost, 16999), HS_TRIAL_TOO_SOON);
    uint64_t now_ms = 12000;
    for (int granted = 0; granted < 10; granted++) { /* They end without a result. */
        now_ms += 5000;
        CU_ASSERT_EQUAL(decide_item(trials, &lost, now_ms - 1), HS_TRIAL_TOO_SOON);
        CU_ASSERT_EQUAL(decide_item(trials, &lost, now_ms), HS_TRIAL_GRANTED);
    }
    for (uint64_t engine = 4; engine < 4 + 2 * HS_MAX_CRASH_ENGINES; engine++) {
        uint64_t lost_ms = now_ms + 100;
        add_loss(&lost, engine, lost_ms);
        CU_ASSERT_EQUAL(decide_item(trials, &lost, lost_ms + 4999), HS_TRIAL_TOO_SOON);
        now_ms = lost_ms + 5000;
        CU_ASSERT_EQUAL(decide_item(trials, &lost, now_ms), HS_TRIAL_GRANTED);
        CU_ASSERT_EQUAL(decide_item(trials, &lost, now_ms + 4999), HS_TRIAL_TOO_SOON);
    }
    hs_crash_trials_free(trials);
}

/** Guards against accepted work that is granted trial runs too late for its retention. */
static void accepted_work_runs_again_in_time_after_eight_losses(void) {
    hs_crash_trials *trials = hs_crash_trials_new();
    uint64_t start_ms = 10000;
    uint64_t now_ms = start_ms + 1000;
    hs_crash_evidence lost = make_evidence(1, 3, now_ms);
    for (uint64_t engine = 4; engine <= 8; engine++) {
        while (decide_item(trials, &lost, now_ms) != HS_TRIAL_GRANTED)
            now_ms += ITEM_POLL_MS;
        add_loss(&lost, engine, now_ms + 100);
    }
    while (decide_item(trials, &lost, now_ms) != HS_TRIAL_GRANTED)
        now_ms += ITEM_POLL_MS;
    CU_ASSERT(now_ms - start_ms <= RETENTION_MS - COMPLETION_TARGET_MS);
    hs_crash_trials_free(trials);
}

/** Guards against trial runs at short intervals, each of which may lose an engine, while two
 * daemons decide on them in turn, and a third one later. */
static void trial_runs_keep_their_delay_at_other_deciders(void) {
    static const uint64_t delays_ms[] = {300, 2000, 4000, 5000, 5000, 5000, 5000};
    hs_crash_trials *deciders[] = {hs_crash_trials_new(), hs_crash_trials_new(),
                                   hs_crash_trials_new()};
    static const int turns[] = {0, 1, 0, 1, 0, 2, 2};
    hs_crash_evidence lost = make_evidence(1, 3, 10000);
    lost.engines[0].ran_ms = HS_CRASH_LONG_RUN_MS;
    uint64_t lost_ms = 10000;
    for (size_t loss = 0; loss < G_N_ELEMENTS(delays_ms); loss++) {
        hs_crash_trials *decider = deciders[turns[loss]];
        uint64_t due_ms = lost_ms + delays_ms[loss];
        CU_ASSERT_EQUAL(decide_item(decider, &lost, due_ms - 1), HS_TRIAL_TOO_SOON);
        CU_ASSERT_EQUAL(decide_item(decider, &lost, due_ms), HS_TRIAL_GRANTED);
        lost_ms = due_ms + 100;
        add_loss(&lost, 10 + loss, lost_ms);
    }
    for (size_t index = 0; index < G_N_ELEMENTS(deciders); index++)
        hs_crash_trials_free(deciders[index]);
}

/** Guards against trial runs at short intervals of an item whose losses are always shared with
 * another suspect, such as a part of its own prompt. */
static void shared_losses_do_not_shorten_the_delay_of_accepted_work(void) {
    static const uint64_t delays_ms[] = {300, 2000, 4000, 5000, 5000};
    hs_crash_trials *trials = hs_crash_trials_new();
    hs_crash_evidence lost = make_evidence(1, 3, 10000);
    hs_trial_candidate candidate = {.evidence = &lost,
                                    .has_alternative_cause = true,
                                    .is_last_loss_shared = true,
                                    .is_accepted = true};
    uint64_t lost_ms = 10000;
    for (size_t trial = 0; trial < G_N_ELEMENTS(delays_ms); trial++) {
        uint64_t due_ms = lost_ms + delays_ms[trial];
        CU_ASSERT_EQUAL(hs_crash_trials_decide(trials, &candidate, due_ms - 1), HS_TRIAL_TOO_SOON);
        CU_ASSERT_EQUAL(hs_crash_trials_decide(trials, &candidate, due_ms), HS_TRIAL_GRANTED);
        lost_ms = due_ms + 100;
        add_loss(&lost, 10 + trial, lost_ms);
    }
    hs_crash_trials_free(trials);
}

/** Guards against accepted work that waits for others, since the decider remembers too many. */
static void accepted_work_gets_a_trial_run_beside_many_contents(void) {
    hs_crash_trials *trials = hs_crash_trials_new();
    uint64_t now_ms = 20000;
    for (uint64_t content = 1; content <= MANY_CONTENTS; content++) {
        hs_crash_evidence lost = make_evidence(content, 3, 10000);
        lost.engines[0].ran_ms = HS_CRASH_LONG_RUN_MS;
        CU_ASSERT_EQUAL(hs_crash_trials_decide(trials, &(hs_trial_candidate){.evidence = &lost},
                                               now_ms + content),
                        HS_TRIAL_GRANTED);
    }
    now_ms += MANY_CONTENTS + 1;
    hs_crash_evidence lost = make_evidence(MANY_CONTENTS + 1, 3, 10000);
    lost.engines[0].ran_ms = HS_CRASH_LONG_RUN_MS;
    hs_trial_candidate callers = {.evidence = &lost};
    hs_trial_candidate accepted = {.evidence = &lost, .is_accepted = true};
    CU_ASSERT_EQUAL(hs_crash_trials_decide(trials, &callers, now_ms), HS_TRIAL_TABLE_FULL);
    CU_ASSERT_EQUAL(hs_crash_trials_decide(trials, &accepted, now_ms), HS_TRIAL_GRANTED);
    CU_ASSERT_EQUAL(hs_crash_trials_decide(trials, &accepted, now_ms + 1999), HS_TRIAL_TOO_SOON);
    CU_ASSERT_EQUAL(hs_crash_trials_decide(trials, &accepted, now_ms + 2000), HS_TRIAL_GRANTED);
    hs_crash_trials_free(trials);
}

static void content_with_a_long_run_gets_a_trial_run_soon(void) {
    hs_crash_trials *trials = hs_crash_trials_new();
    hs_crash_evidence lost = make_evidence(1, 3, 10000);
    lost.engines[1].ran_ms = HS_CRASH_LONG_RUN_MS - 1;
    CU_ASSERT_EQUAL(decide_item(trials, &lost, 10400), HS_TRIAL_TOO_SOON);
    lost.engines[1].ran_ms = HS_CRASH_LONG_RUN_MS;
    CU_ASSERT_EQUAL(decide_item(trials, &lost, 10400), HS_TRIAL_GRANTED);
    CU_ASSERT_EQUAL(decide_item(trials, &lost, 12300), HS_TRIAL_TOO_SOON);
    CU_ASSERT_EQUAL(decide_item(trials, &lost, 12400), HS_TRIAL_GRANTED);
    CU_ASSERT_EQUAL(decide_item(trials, &lost, 16300), HS_TRIAL_TOO_SOON);
    CU_ASSERT_EQUAL(decide_item(trials, &lost, 16400), HS_TRIAL_GRANTED);
    hs_crash_evidence other = make_evidence(2, 3, 10000);
    other.engines[0].ran_ms = HS_CRASH_LONG_RUN_MS;
    hs_trial_candidate caller_candidate = {.evidence = &other};
    CU_ASSERT_EQUAL(hs_crash_trials_decide(trials, &caller_candidate, 10400), HS_TRIAL_GRANTED);
    hs_crash_trials_free(trials);
}

/** One crash makes dozens of items suspects, and all have trial runs within seconds. */
static void many_suspect_items_get_trial_runs_in_time(void) {
    hs_crash_trials *trials = hs_crash_trials_new();
    bool has_run[SUSPECT_ITEMS] = {false};
    uint32_t run_count = 0;
    uint64_t now_ms = 10300;
    for (; run_count < SUSPECT_ITEMS && now_ms < 10000 + SUSPECT_ITEMS_LIMIT_MS; now_ms += 100) {
        uint32_t concurrent_count = 0;
        for (uint64_t item = 0; item < SUSPECT_ITEMS; item++) {
            hs_crash_evidence lost = make_evidence(item + 1, 3, 10000);
            hs_trial_candidate candidate = {
                .evidence = &lost, .has_alternative_cause = true, .is_accepted = true};
            if (has_run[item] ||
                hs_crash_trials_decide(trials, &candidate, now_ms) != HS_TRIAL_GRANTED)
                continue;
            has_run[item] = true;
            run_count++;
            concurrent_count++;
        }
        CU_ASSERT(concurrent_count <= 4);
    }
    CU_ASSERT_EQUAL(run_count, SUSPECT_ITEMS);
    hs_crash_trials_free(trials);
}

/** A decider that did not respond is queried again after some time. */
static void deciders_without_answer_or_reason_are_skipped(void) {
    hs_trial_deciders *deciders = hs_trial_deciders_new();
    CU_ASSERT_FALSE(hs_trial_deciders_is_skipped(deciders, 1, 1000));
    hs_trial_deciders_note_verdict(deciders, 1, HS_TRIAL_NO_REASON, 1000);
    CU_ASSERT_TRUE(hs_trial_deciders_is_skipped(deciders, 1, 1000));
    CU_ASSERT_FALSE(hs_trial_deciders_is_skipped(deciders, 2, 1000));
    hs_trial_deciders_note_verdict(deciders, 2, HS_TRIAL_UNANSWERED, 1000);
    hs_trial_deciders_note_verdict(deciders, 2, HS_TRIAL_UNANSWERED, 3000);
    CU_ASSERT_FALSE(hs_trial_deciders_is_skipped(deciders, 2, 4900));
    CU_ASSERT_TRUE(hs_trial_deciders_is_skipped(deciders, 2, 5000));
    hs_trial_deciders_note_verdict(deciders, 2, HS_TRIAL_TOO_SOON, 5000);
    CU_ASSERT_FALSE(hs_trial_deciders_is_skipped(deciders, 2, 5000));
    hs_trial_deciders_note_verdict(deciders, 3, HS_TRIAL_UNANSWERED, 1000);
    CU_ASSERT_TRUE(hs_trial_deciders_is_skipped(deciders, 3, 34900));
    CU_ASSERT_FALSE(hs_trial_deciders_is_skipped(deciders, 3, 35000));
    hs_trial_deciders_note_verdict(deciders, 3, HS_TRIAL_UNANSWERED, 35000);
    CU_ASSERT_FALSE(hs_trial_deciders_is_skipped(deciders, 3, 38900));
    CU_ASSERT_TRUE(hs_trial_deciders_is_skipped(deciders, 3, 39000));
    hs_trial_deciders_free(deciders);
}

/** Guards against accepted work that an earlier version holds back for good, as it counts losses.
 */
static void deciders_that_count_trial_runs_of_accepted_work_are_skipped(void) {
    static const hs_trial_verdict earlier[] = {HS_TRIAL_NO_REASON, HS_TRIAL_EXHAUSTED,
                                               HS_TRIAL_TABLE_FULL};
    static const hs_trial_verdict usual[] = {HS_TRIAL_GRANTED, HS_TRIAL_TOO_SOON,
                                             HS_TRIAL_OTHERS_RUNNING, HS_TRIAL_UNKNOWN};
    hs_trial_deciders *deciders = hs_trial_deciders_new();
    for (size_t index = 0; index < G_N_ELEMENTS(earlier); index++) {
        CU_ASSERT_TRUE(hs_trial_deciders_is_earlier_refusal(earlier[index]));
        hs_trial_deciders_note_verdict(deciders, index + 1, earlier[index], 1000);
        hs_trial_deciders_note_verdict(deciders, index + 1, HS_TRIAL_TOO_SOON, 1000);
        CU_ASSERT_TRUE(hs_trial_deciders_is_skipped(deciders, index + 1, 100000));
    }
    for (size_t index = 0; index < G_N_ELEMENTS(usual); index++) {
        CU_ASSERT_FALSE(hs_trial_deciders_is_earlier_refusal(usual[index]));
        hs_trial_deciders_note_verdict(deciders, 100 + index, usual[index], 1000);
        CU_ASSERT_FALSE(hs_trial_deciders_is_skipped(deciders, 100 + index, 1000));
    }
    hs_trial_deciders_free(deciders);
}

/** Guards against a daemon to be skipped that is forgotten, since the table is full of others that
 * answer. */
static void deciders_that_answer_are_not_remembered(void) {
    hs_trial_deciders *deciders = hs_trial_deciders_new();
    hs_trial_deciders_note_verdict(deciders, 1, HS_TRIAL_EXHAUSTED, 1000);
    for (uint64_t daemon = 2; daemon <= 2 * MANY_CONTENTS; daemon++)
        hs_trial_deciders_note_verdict(deciders, daemon, HS_TRIAL_GRANTED, 1000);
    CU_ASSERT_TRUE(hs_trial_deciders_is_skipped(deciders, 1, 1000));
    hs_trial_deciders_free(deciders);
}

const test_case crash_trial_tests[] = {
    {"trial_runs_are_granted_one_at_a_time", trial_runs_are_granted_one_at_a_time},
    {"an_inconclusive_trial_run_is_not_counted", an_inconclusive_trial_run_is_not_counted},
    {"the_delay_between_trial_runs_counts_from_the_last_one",
     the_delay_between_trial_runs_counts_from_the_last_one},
    {"a_returned_trial_run_is_not_counted", a_returned_trial_run_is_not_counted},
    {"accepted_work_gets_further_trial_runs", accepted_work_gets_further_trial_runs},
    {"accepted_work_runs_again_in_time_after_eight_losses",
     accepted_work_runs_again_in_time_after_eight_losses},
    {"trial_runs_keep_their_delay_at_other_deciders",
     trial_runs_keep_their_delay_at_other_deciders},
    {"shared_losses_do_not_shorten_the_delay_of_accepted_work",
     shared_losses_do_not_shorten_the_delay_of_accepted_work},
    {"accepted_work_gets_a_trial_run_beside_many_contents",
     accepted_work_gets_a_trial_run_beside_many_contents},
    {"content_with_a_long_run_gets_a_trial_run_soon",
     content_with_a_long_run_gets_a_trial_run_soon},
    {"many_suspect_items_get_trial_runs_in_time", many_suspect_items_get_trial_runs_in_time},
    {"deciders_without_answer_or_reason_are_skipped",
     deciders_without_answer_or_reason_are_skipped},
    {"deciders_that_count_trial_runs_of_accepted_work_are_skipped",
     deciders_that_count_trial_runs_of_accepted_work_are_skipped},
    {"deciders_that_answer_are_not_remembered", deciders_that_answer_are_not_remembered},
    {NULL, NULL},
};
