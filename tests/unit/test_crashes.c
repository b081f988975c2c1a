/**
 * @file test_crashes.c
 * Which requests are held back after engines crashed: the judgement and its bounds.
 */
#include "directory/trial_deciders.h"
#include "fleet/crash_ledger.h"
#include "fleet/crash_trials.h"
#include "fleet/request_content.h"
#include "tests/unit/unit_tests.h"

#include <string.h>

#define SECOND_MS 1000
/** Longer in ms than a survived run speaks for its content. */
#define ACQUITTAL_OVER_MS 31000
/** Longer in ms than the first hold, and than what is remembered after it. */
#define HOLD_OVER_MS 121000
#define FORGOTTEN_MS 1800000
/** Seeds of the random histories. */
#define HISTORIES 50
#define CULPRIT 7
/** Items that one crash leaves in doubt, and the time in ms in which all are tried: half of what
 * accepted work may take to end. */
#define IN_DOUBT 40
#define IN_DOUBT_WITHIN_MS 9000
#define POPULAR 8

/** A ledger and its time. */
typedef struct {
    hs_crash_ledger *ledger;
    uint64_t now_ms;
    uint64_t engine; /**< The last one that crashed. */
} history;

static history begin(void) {
    return (history){.ledger = hs_crash_ledger_new(), .now_ms = 1000 * SECOND_MS};
}

static hs_loss_result lose(history *past, uint64_t content, uint64_t engine) {
    hs_crash_loss loss = {.content = content, .engine = engine, .lost_ms = past->now_ms};
    return hs_crash_ledger_lose(past->ledger, &loss, past->now_ms);
}

static uint32_t judge(history *past) {
    g_autoptr(GArray) changes = g_array_new(FALSE, FALSE, sizeof(hs_crash_hold));
    return hs_crash_ledger_judge(past->ledger, past->now_ms, changes);
}

static bool is_quarantined(history *past, uint64_t content) {
    hs_crash_hold hold;
    judge(past);
    return hs_crash_ledger_is_quarantined(past->ledger, content, past->now_ms, &hold);
}

static void end(history *past) {
    hs_crash_ledger_free(past->ledger);
}

static void the_third_engine_holds_a_content_back(void) {
    history past = begin();
    for (uint64_t engine = 1; engine <= 3; engine++) {
        CU_ASSERT_FALSE(is_quarantined(&past, CULPRIT));
        CU_ASSERT_EQUAL(lose(&past, CULPRIT, engine), HS_LOSS_RECORDED);
        CU_ASSERT_EQUAL(lose(&past, CULPRIT, engine), HS_LOSS_IGNORED);
    }
    CU_ASSERT_TRUE(is_quarantined(&past, CULPRIT));
    CU_ASSERT_FALSE(is_quarantined(&past, POPULAR));
    end(&past);
}

/** After its time it may be sent once more; an engine that is lost to it doubles the time. */
static void a_hold_ends_and_is_longer_the_next_time(void) {
    history past = begin();
    for (uint64_t engine = 1; engine <= 3; engine++)
        lose(&past, CULPRIT, engine);
    past.now_ms += HOLD_OVER_MS;
    CU_ASSERT_FALSE(is_quarantined(&past, CULPRIT));
    lose(&past, CULPRIT, 4);
    CU_ASSERT_TRUE(is_quarantined(&past, CULPRIT));
    past.now_ms += HOLD_OVER_MS;
    CU_ASSERT_TRUE(is_quarantined(&past, CULPRIT));
    past.now_ms += HOLD_OVER_MS;
    CU_ASSERT_FALSE(is_quarantined(&past, CULPRIT));
    end(&past);
}

static void what_is_old_is_forgotten(void) {
    history past = begin();
    for (uint64_t engine = 1; engine <= 3; engine++)
        lose(&past, CULPRIT, engine);
    lose(&past, POPULAR, 1);
    judge(&past);
    CU_ASSERT_EQUAL(hs_crash_ledger_size(past.ledger), 2);
    past.now_ms += FORGOTTEN_MS;
    judge(&past);
    CU_ASSERT_EQUAL(hs_crash_ledger_size(past.ledger), 0);
    end(&past);
}

/** What is asked all the time runs at each engine that crashes, and is survived by all others. */
static void what_was_survived_is_not_held_back(void) {
    history past = begin();
    hs_crash_ledger_acquit(past.ledger, POPULAR, past.now_ms);
    for (uint64_t engine = 1; engine <= 20; engine++) {
        past.now_ms += SECOND_MS;
        CU_ASSERT_EQUAL(lose(&past, POPULAR, engine), HS_LOSS_ACQUITTED);
    }
    CU_ASSERT_FALSE(is_quarantined(&past, POPULAR));
    past.now_ms += ACQUITTAL_OVER_MS;
    for (uint64_t engine = 31; engine <= 33; engine++)
        CU_ASSERT_EQUAL(lose(&past, POPULAR, engine), HS_LOSS_RECORDED);
    CU_ASSERT_TRUE(is_quarantined(&past, POPULAR));
    end(&past);
}

/** A run that was under way when its content was held back ends well: it is released at once. */
static void a_survived_run_releases_its_content(void) {
    history past = begin();
    for (uint64_t engine = 1; engine <= 3; engine++)
        lose(&past, POPULAR, engine);
    CU_ASSERT_TRUE(is_quarantined(&past, POPULAR));
    past.now_ms += SECOND_MS;
    CU_ASSERT_TRUE(hs_crash_ledger_acquit(past.ledger, POPULAR, past.now_ms));
    CU_ASSERT_FALSE(is_quarantined(&past, POPULAR));
    CU_ASSERT_FALSE(hs_crash_ledger_acquit(past.ledger, POPULAR, past.now_ms));
    end(&past);
}

/** What ran beside the cause at three engines is released as the cause is lost with more. */
static void what_ran_beside_the_cause_is_not_to_blame(void) {
    history past = begin();
    for (uint64_t engine = 1; engine <= 3; engine++) {
        lose(&past, CULPRIT, engine);
        lose(&past, POPULAR, engine);
    }
    lose(&past, CULPRIT, 4);
    CU_ASSERT_TRUE(is_quarantined(&past, POPULAR));
    lose(&past, CULPRIT, 5);
    CU_ASSERT_FALSE(is_quarantined(&past, POPULAR));
    CU_ASSERT_TRUE(is_quarantined(&past, CULPRIT));
    end(&past);
}

/**
 * A request that came three times, each time as another request ended the engine, was held back
 * though it had crashed none: each of the three had been found out by then or was with that loss.
 */
static void what_ran_beside_three_causes_is_not_to_blame(void) {
    history past = begin();
    uint64_t engine = 1;
    for (uint64_t cause = 11; cause <= 13; cause++) {
        for (int loss = 0; loss < 3; loss++) {
            past.now_ms += SECOND_MS;
            lose(&past, cause, engine++);
        }
        lose(&past, POPULAR, engine - 1);
        CU_ASSERT_TRUE(is_quarantined(&past, cause));
        CU_ASSERT_FALSE(is_quarantined(&past, POPULAR));
    }
    end(&past);
}

/** Of two causes that ran together the one lost with more engines does not hide the other. */
static void two_causes_at_a_time_are_both_held_back(void) {
    history past = begin();
    for (uint64_t engine = 1; engine <= 5; engine++)
        lose(&past, CULPRIT, engine);
    for (uint64_t engine = 3; engine <= 5; engine++)
        lose(&past, POPULAR, engine);
    CU_ASSERT_FALSE(is_quarantined(&past, POPULAR));
    lose(&past, POPULAR, 6);
    CU_ASSERT_TRUE(is_quarantined(&past, POPULAR));
    CU_ASSERT_TRUE(is_quarantined(&past, CULPRIT));
    end(&past);
}

/** However much is lost, the ledger is bounded, and what was lost often stays. */
static void the_ledger_is_bounded(void) {
    history past = begin();
    for (uint64_t engine = 1; engine <= 40; engine++)
        lose(&past, CULPRIT, engine);
    for (uint64_t content = 100; content < 100 + 10 * HS_MAX_CRASH_CONTENTS; content++) {
        past.now_ms++;
        lose(&past, content, content % 50);
    }
    CU_ASSERT(hs_crash_ledger_size(past.ledger) <= HS_MAX_CRASH_CONTENTS);
    CU_ASSERT_TRUE(is_quarantined(&past, CULPRIT));
    hs_crash_evidence evidence;
    CU_ASSERT_TRUE(hs_crash_ledger_find(past.ledger, CULPRIT, &evidence));
    CU_ASSERT_EQUAL(evidence.engine_count, HS_CRASH_ENGINES_MOST);
    end(&past);
}

/** Tell all that one ledger knows to another. */
static void tell(const history *from, history *to) {
    g_autoptr(GArray) known = g_array_new(FALSE, FALSE, sizeof(hs_crash_evidence));
    hs_crash_ledger_list(from->ledger, 1, known);
    for (guint index = 0; index < known->len; index++) {
        const hs_crash_evidence *evidence = &g_array_index(known, hs_crash_evidence, index);
        for (uint32_t one = 0; one < evidence->engine_count; one++) {
            hs_crash_loss loss = {.content = evidence->content,
                                  .engine = evidence->engines[one].engine,
                                  .lost_ms = evidence->engines[one].lost_ms};
            hs_crash_ledger_lose(to->ledger, &loss, to->now_ms);
        }
        if (evidence->is_acquitted)
            hs_crash_ledger_acquit(to->ledger, evidence->content, evidence->acquitted_ms);
    }
}

/** Random losses seen by two daemons, told in any order and more than once: both judge alike. */
static void daemons_that_know_the_same_judge_alike(void) {
    for (guint32 seed = 1; seed <= HISTORIES; seed++) {
        g_autoptr(GRand) chance = g_rand_new_with_seed(seed);
        history first = begin();
        history second = begin();
        for (int step = 0; step < 40; step++) {
            history *seen_by = g_rand_boolean(chance) ? &first : &second;
            first.now_ms += 100;
            second.now_ms = first.now_ms;
            lose(seen_by, (uint64_t)g_rand_int_range(chance, 1, 6),
                 (uint64_t)g_rand_int_range(chance, 1, 9));
            if (g_rand_int_range(chance, 0, 5) == 0)
                tell(&first, &second);
        }
        tell(&second, &first);
        tell(&first, &second);
        CU_ASSERT_EQUAL(hs_crash_ledger_digest(first.ledger),
                        hs_crash_ledger_digest(second.ledger));
        for (uint64_t content = 1; content < 6; content++)
            CU_ASSERT_EQUAL(is_quarantined(&first, content), is_quarantined(&second, content));
        end(&first);
        end(&second);
    }
}

/** Engines that crash by themselves beside requests that are new each time hold nothing back. */
static void crashes_without_a_cause_hold_nothing_back(void) {
    history past = begin();
    uint64_t content = 100;
    for (uint64_t engine = 1; engine <= 200; engine++) {
        past.now_ms += SECOND_MS;
        for (int run = 0; run < 10; run++)
            lose(&past, content++, engine);
        CU_ASSERT_EQUAL(judge(&past), 0);
    }
    end(&past);
}

static uint64_t content_of(const char *method, const char *host, const char *target,
                           const char *body) {
    return hs_request_content_hash(&(hs_request_content){.method = method,
                                                         .host = host,
                                                         .target = target,
                                                         .body = body,
                                                         .body_length = strlen(body)});
}

static void each_part_of_a_request_counts_in_its_content(void) {
    uint64_t content = content_of("POST", "a", "/x", "body");
    CU_ASSERT_EQUAL(content, content_of("POST", "a", "/x", "body"));
    CU_ASSERT_NOT_EQUAL(content, content_of("PUT", "a", "/x", "body"));
    CU_ASSERT_NOT_EQUAL(content, content_of("POST", "b", "/x", "body"));
    CU_ASSERT_NOT_EQUAL(content, content_of("POST", "a", "/y", "body"));
    CU_ASSERT_NOT_EQUAL(content, content_of("POST", "a", "/x", "other"));
    CU_ASSERT_NOT_EQUAL(content, content_of("POST", "a", "/x", ""));
    CU_ASSERT_NOT_EQUAL(content, content_of("POST", NULL, "/x", "body"));
}

static hs_crash_evidence evidence_of(uint64_t content, uint32_t engines, uint64_t last_ms) {
    hs_crash_evidence evidence = {.content = content, .engine_count = engines};
    for (uint32_t index = 0; index < engines; index++)
        evidence.engines[index] =
            (hs_crash_engine){.engine = index + 1, .lost_ms = last_ms - (engines - 1 - index)};
    return evidence;
}

/** The claim of a request beside which another one ran. */
static hs_trial_verdict decide(hs_crash_trials *trials, const hs_crash_evidence *evidence,
                               uint64_t now_ms) {
    return hs_crash_trials_decide(
        trials, &(hs_trial_claim){.evidence = evidence, .has_alternative_cause = true}, now_ms);
}

static bool may_follow(const hs_crash_evidence *evidence) {
    return hs_crash_trials_check(&(hs_trial_claim){.evidence = evidence, .has_alternative_cause = true}) ==
           HS_TRIAL_GRANTED;
}

/** One at a time, a few times at growing pauses, and never after many late losses. */
static void contents_are_tried_one_at_a_time(void) {
    hs_crash_trials *trials = hs_crash_trials_new();
    hs_crash_evidence first = evidence_of(1, 3, 10000);
    hs_crash_evidence second = evidence_of(2, 3, 10000);
    CU_ASSERT_NOT_EQUAL(decide(trials, &first, 10100), HS_TRIAL_GRANTED); /* Too soon. */
    CU_ASSERT_EQUAL(decide(trials, &first, 10400), HS_TRIAL_GRANTED);
    CU_ASSERT_NOT_EQUAL(decide(trials, &second, 10500), HS_TRIAL_GRANTED); /* The first runs. */
    CU_ASSERT_NOT_EQUAL(decide(trials, &first, 11450), HS_TRIAL_GRANTED);
    CU_ASSERT_EQUAL(decide(trials, &second, 11500), HS_TRIAL_GRANTED);
    CU_ASSERT_EQUAL(decide(trials, &first, 13500), HS_TRIAL_GRANTED);
    CU_ASSERT_NOT_EQUAL(decide(trials, &first, 60000), HS_TRIAL_GRANTED); /* Twice, and no more. */
    hs_crash_evidence late = evidence_of(3, 3, 10000);
    late.engines[late.engine_count++] = (hs_crash_engine){.engine = 8, .lost_ms = 14000};
    CU_ASSERT_TRUE(may_follow(&late));
    late.engines[late.engine_count++] = (hs_crash_engine){.engine = 9, .lost_ms = 15000};
    CU_ASSERT_FALSE(may_follow(&late));
    CU_ASSERT_NOT_EQUAL(decide(trials, &late, 30000), HS_TRIAL_GRANTED);
    hs_crash_trials_free(trials);
}

/** The claim of an item of which nothing else tells that it may not be to blame. */
static hs_trial_verdict decide_item(hs_crash_trials *trials, const hs_crash_evidence *evidence,
                                    uint64_t now_ms) {
    return hs_crash_trials_decide(
        trials, &(hs_trial_claim){.evidence = evidence, .is_accepted = true}, now_ms);
}

/** Accepted work is tried also where nothing speaks for it, later, and as often as it may cost. */
static void accepted_work_is_always_tried_again(void) {
    hs_crash_trials *trials = hs_crash_trials_new();
    hs_crash_evidence lost = evidence_of(1, 3, 10000);
    hs_trial_claim of_callers = {.evidence = &lost};
    CU_ASSERT_EQUAL(hs_crash_trials_decide(trials, &of_callers, 60000), HS_TRIAL_NO_GROUNDS);
    CU_ASSERT_EQUAL(decide_item(trials, &lost, 17900), HS_TRIAL_TOO_SOON);
    CU_ASSERT_EQUAL(decide_item(trials, &lost, 18000), HS_TRIAL_GRANTED);
    CU_ASSERT_EQUAL(decide_item(trials, &lost, 25900), HS_TRIAL_TOO_SOON);
    uint64_t now_ms = 18000;
    for (int granted = 0; granted < 10; granted++) { /* None of them tells anything. */
        now_ms += 8000;
        CU_ASSERT_EQUAL(decide_item(trials, &lost, now_ms), HS_TRIAL_GRANTED);
    }
    lost.engines[lost.engine_count++] = (hs_crash_engine){.engine = 8, .lost_ms = 18100};
    CU_ASSERT_EQUAL(decide_item(trials, &lost, now_ms + 8000), HS_TRIAL_GRANTED);
    lost.engines[lost.engine_count++] = (hs_crash_engine){.engine = 9, .lost_ms = 26100};
    CU_ASSERT_EQUAL(decide_item(trials, &lost, now_ms + 60000), HS_TRIAL_EXHAUSTED);
    hs_crash_trials_free(trials);
}

/** What went on for long before its engine ended is tried soon, whoever brings it. */
static void what_had_run_on_is_tried_soon(void) {
    hs_crash_trials *trials = hs_crash_trials_new();
    hs_crash_evidence lost = evidence_of(1, 3, 10000);
    lost.engines[1].ran_ms = HS_CRASH_LONG_RUN_MS - 1;
    CU_ASSERT_EQUAL(decide_item(trials, &lost, 10400), HS_TRIAL_TOO_SOON);
    lost.engines[1].ran_ms = HS_CRASH_LONG_RUN_MS;
    CU_ASSERT_EQUAL(decide_item(trials, &lost, 10400), HS_TRIAL_GRANTED);
    CU_ASSERT_EQUAL(decide_item(trials, &lost, 12300), HS_TRIAL_TOO_SOON);
    CU_ASSERT_EQUAL(decide_item(trials, &lost, 12400), HS_TRIAL_GRANTED);
    CU_ASSERT_EQUAL(decide_item(trials, &lost, 16300), HS_TRIAL_TOO_SOON);
    CU_ASSERT_EQUAL(decide_item(trials, &lost, 16400), HS_TRIAL_GRANTED);
    hs_crash_evidence other = evidence_of(2, 3, 10000);
    other.engines[0].ran_ms = HS_CRASH_LONG_RUN_MS;
    hs_trial_claim of_callers = {.evidence = &other};
    CU_ASSERT_EQUAL(hs_crash_trials_decide(trials, &of_callers, 10400), HS_TRIAL_GRANTED);
    hs_crash_trials_free(trials);
}

/** A crash that leaves dozens of items in doubt: all are tried within seconds. */
static void many_items_beside_each_other_are_tried_in_time(void) {
    hs_crash_trials *trials = hs_crash_trials_new();
    bool is_tried[IN_DOUBT] = {false};
    uint32_t tried = 0;
    uint64_t now_ms = 10300;
    for (; tried < IN_DOUBT && now_ms < 10000 + IN_DOUBT_WITHIN_MS; now_ms += 100) {
        uint32_t at_once = 0;
        for (uint64_t item = 0; item < IN_DOUBT; item++) {
            hs_crash_evidence lost = evidence_of(item + 1, 3, 10000);
            hs_trial_claim claim = {.evidence = &lost, .has_alternative_cause = true, .is_accepted = true};
            if (is_tried[item] ||
                hs_crash_trials_decide(trials, &claim, now_ms) != HS_TRIAL_GRANTED)
                continue;
            is_tried[item] = true;
            tried++;
            at_once++;
        }
        CU_ASSERT(at_once <= 4);
    }
    CU_ASSERT_EQUAL(tried, IN_DOUBT);
    hs_crash_trials_free(trials);
}

/** What one daemon knows of how long a run went on, others learn, whoever tells them the loss. */
static void how_long_a_run_went_on_is_learned(void) {
    hs_crash_ledger *ledger = hs_crash_ledger_new();
    hs_crash_evidence known;
    hs_crash_loss loss = {.content = 1, .engine = 1, .lost_ms = 10000};
    CU_ASSERT_EQUAL(hs_crash_ledger_lose(ledger, &loss, 10000), HS_LOSS_RECORDED);
    uint64_t digest = hs_crash_ledger_digest(ledger);
    loss.ran_ms = HS_CRASH_LONG_RUN_MS;
    CU_ASSERT_EQUAL(hs_crash_ledger_lose(ledger, &loss, 10000), HS_LOSS_IGNORED);
    loss.ran_ms = 0;
    CU_ASSERT_EQUAL(hs_crash_ledger_lose(ledger, &loss, 10000), HS_LOSS_IGNORED);
    CU_ASSERT_TRUE(hs_crash_ledger_find(ledger, 1, &known));
    CU_ASSERT_EQUAL(known.engines[0].ran_ms, HS_CRASH_LONG_RUN_MS);
    CU_ASSERT_EQUAL(hs_crash_ledger_digest(ledger), digest);
    hs_crash_ledger_free(ledger);
}

/** Who decides is passed over where it cannot, and asked again where it may be able to. */
static void accepted_work_waits_for_no_one_decider(void) {
    hs_trial_deciders *deciders = hs_trial_deciders_new();
    CU_ASSERT_FALSE(hs_trial_deciders_is_skipped(deciders, 1, 1000));
    hs_trial_deciders_note_no_reason(deciders, 1);
    CU_ASSERT_TRUE(hs_trial_deciders_is_skipped(deciders, 1, 1000));
    CU_ASSERT_FALSE(hs_trial_deciders_is_skipped(deciders, 2, 1000));
    hs_trial_deciders_note_unanswered(deciders, 2, 1000);
    hs_trial_deciders_note_unanswered(deciders, 2, 3000);
    CU_ASSERT_FALSE(hs_trial_deciders_is_skipped(deciders, 2, 4900));
    CU_ASSERT_TRUE(hs_trial_deciders_is_skipped(deciders, 2, 5000));
    hs_trial_deciders_note_answered(deciders, 2);
    CU_ASSERT_FALSE(hs_trial_deciders_is_skipped(deciders, 2, 5000));
    hs_trial_deciders_note_unanswered(deciders, 3, 1000);
    CU_ASSERT_TRUE(hs_trial_deciders_is_skipped(deciders, 3, 34900));
    CU_ASSERT_FALSE(hs_trial_deciders_is_skipped(deciders, 3, 35000));
    hs_trial_deciders_note_unanswered(deciders, 3, 35000);
    CU_ASSERT_FALSE(hs_trial_deciders_is_skipped(deciders, 3, 38900));
    CU_ASSERT_TRUE(hs_trial_deciders_is_skipped(deciders, 3, 39000));
    hs_trial_deciders_free(deciders);
}

/** What was lost alone has no rival; what ran beside it twice is one, until it is acquitted. */
static void a_rival_was_lost_with_the_same_engines(void) {
    hs_crash_ledger *ledger = hs_crash_ledger_new();
    for (uint64_t engine = 1; engine <= 3; engine++) {
        hs_crash_loss cause = {.content = 1, .engine = engine, .lost_ms = 1000 * engine};
        hs_crash_loss beside = {.content = 2, .engine = engine, .lost_ms = 1000 * engine};
        hs_crash_loss fresh = {.content = 10 + engine, .engine = engine, .lost_ms = 1000 * engine};
        hs_crash_ledger_lose(ledger, &cause, 4000);
        if (engine > 1)
            hs_crash_ledger_lose(ledger, &beside, 4000);
        hs_crash_ledger_lose(ledger, &fresh, 4000);
        CU_ASSERT_EQUAL(hs_crash_ledger_has_alternative_cause(ledger, 1), engine == 3);
    }
    CU_ASSERT_TRUE(hs_crash_ledger_has_alternative_cause(ledger, 2));
    CU_ASSERT_FALSE(hs_crash_ledger_has_alternative_cause(ledger, 11));
    hs_crash_ledger_acquit(ledger, 2, 5000);
    CU_ASSERT_FALSE(hs_crash_ledger_has_alternative_cause(ledger, 1));
    hs_crash_ledger_free(ledger);
}

const test_case crash_tests[] = {
    {"contents_are_tried_one_at_a_time", contents_are_tried_one_at_a_time},
    {"accepted_work_is_always_tried_again", accepted_work_is_always_tried_again},
    {"what_had_run_on_is_tried_soon", what_had_run_on_is_tried_soon},
    {"many_items_beside_each_other_are_tried_in_time",
     many_items_beside_each_other_are_tried_in_time},
    {"how_long_a_run_went_on_is_learned", how_long_a_run_went_on_is_learned},
    {"accepted_work_waits_for_no_one_decider", accepted_work_waits_for_no_one_decider},
    {"a_rival_was_lost_with_the_same_engines", a_rival_was_lost_with_the_same_engines},
    {"the_third_engine_holds_a_content_back", the_third_engine_holds_a_content_back},
    {"a_hold_ends_and_is_longer_the_next_time", a_hold_ends_and_is_longer_the_next_time},
    {"what_is_old_is_forgotten", what_is_old_is_forgotten},
    {"what_was_survived_is_not_held_back", what_was_survived_is_not_held_back},
    {"a_survived_run_releases_its_content", a_survived_run_releases_its_content},
    {"what_ran_beside_the_cause_is_not_to_blame", what_ran_beside_the_cause_is_not_to_blame},
    {"what_ran_beside_three_causes_is_not_to_blame", what_ran_beside_three_causes_is_not_to_blame},
    {"two_causes_at_a_time_are_both_held_back", two_causes_at_a_time_are_both_held_back},
    {"the_ledger_is_bounded", the_ledger_is_bounded},
    {"daemons_that_know_the_same_judge_alike", daemons_that_know_the_same_judge_alike},
    {"crashes_without_a_cause_hold_nothing_back", crashes_without_a_cause_hold_nothing_back},
    {"each_part_of_a_request_counts_in_its_content", each_part_of_a_request_counts_in_its_content},
    {NULL, NULL},
};
