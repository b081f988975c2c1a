/**
 * @file test_crashes.c
 * Tests of the crash ledger, which quarantines contents; of trial runs, see test_crash_trials.c.
 */
#include "fleet/crash_ledger.h"
#include "fleet/request_content.h"
#include "tests/unit/unit_tests.h"

#include <string.h>

#define SECOND_MS 1000
/** Longer in ms than an acquittal is valid. */
#define AFTER_ACQUITTAL_MS 31000
/** Longer in ms than a first quarantine, and than contents are remembered. */
#define AFTER_QUARANTINE_MS 121000
#define AFTER_EXPIRY_MS 1800000
#define SEED_COUNT 50
#define CAUSE_CONTENT 7
#define FREQUENT_CONTENT 8

typedef struct {
    hs_crash_ledger *ledger;
    uint64_t now_ms;
    uint64_t engine; /**< The last engine that crashed. */
} test_ledger;

static test_ledger create_ledger(void) {
    return (test_ledger){.ledger = hs_crash_ledger_new(), .now_ms = 1000 * SECOND_MS};
}

static hs_loss_result add_loss(test_ledger *test, uint64_t content, uint64_t engine) {
    hs_crash_loss loss = {.content = content, .engine = engine, .lost_ms = test->now_ms};
    return hs_crash_ledger_add_loss(test->ledger, &loss, test->now_ms);
}

static uint32_t evaluate(test_ledger *test) {
    g_autoptr(GArray) changes = g_array_new(FALSE, FALSE, sizeof(hs_crash_quarantine));
    return hs_crash_ledger_evaluate(test->ledger, test->now_ms, changes);
}

static bool is_quarantined(test_ledger *test, uint64_t content) {
    hs_crash_quarantine quarantine;
    evaluate(test);
    return hs_crash_ledger_is_quarantined(test->ledger, content, test->now_ms, &quarantine);
}

static void free_ledger(test_ledger *test) {
    hs_crash_ledger_free(test->ledger);
}

static void third_lost_engine_quarantines_a_content(void) {
    test_ledger test = create_ledger();
    for (uint64_t engine = 1; engine <= 3; engine++) {
        CU_ASSERT_FALSE(is_quarantined(&test, CAUSE_CONTENT));
        CU_ASSERT_EQUAL(add_loss(&test, CAUSE_CONTENT, engine), HS_LOSS_RECORDED);
        CU_ASSERT_EQUAL(add_loss(&test, CAUSE_CONTENT, engine), HS_LOSS_IGNORED);
    }
    CU_ASSERT_TRUE(is_quarantined(&test, CAUSE_CONTENT));
    CU_ASSERT_FALSE(is_quarantined(&test, FREQUENT_CONTENT));
    free_ledger(&test);
}

static void quarantine_ends_and_doubles_after_a_further_loss(void) {
    test_ledger test = create_ledger();
    for (uint64_t engine = 1; engine <= 3; engine++)
        add_loss(&test, CAUSE_CONTENT, engine);
    test.now_ms += AFTER_QUARANTINE_MS;
    CU_ASSERT_FALSE(is_quarantined(&test, CAUSE_CONTENT));
    add_loss(&test, CAUSE_CONTENT, 4);
    CU_ASSERT_TRUE(is_quarantined(&test, CAUSE_CONTENT));
    test.now_ms += AFTER_QUARANTINE_MS;
    CU_ASSERT_TRUE(is_quarantined(&test, CAUSE_CONTENT));
    test.now_ms += AFTER_QUARANTINE_MS;
    CU_ASSERT_FALSE(is_quarantined(&test, CAUSE_CONTENT));
    free_ledger(&test);
}

static void old_contents_expire(void) {
    test_ledger test = create_ledger();
    for (uint64_t engine = 1; engine <= 3; engine++)
        add_loss(&test, CAUSE_CONTENT, engine);
    add_loss(&test, FREQUENT_CONTENT, 1);
    evaluate(&test);
    CU_ASSERT_EQUAL(hs_crash_ledger_size(test.ledger), 2);
    test.now_ms += AFTER_EXPIRY_MS;
    evaluate(&test);
    CU_ASSERT_EQUAL(hs_crash_ledger_size(test.ledger), 0);
    free_ledger(&test);
}

/** A frequent content runs on each engine that crashes, and completes on all others. */
static void acquitted_content_is_not_quarantined(void) {
    test_ledger test = create_ledger();
    hs_crash_ledger_acquit(test.ledger, FREQUENT_CONTENT, test.now_ms);
    for (uint64_t engine = 1; engine <= 20; engine++) {
        test.now_ms += SECOND_MS;
        CU_ASSERT_EQUAL(add_loss(&test, FREQUENT_CONTENT, engine), HS_LOSS_ACQUITTED);
    }
    CU_ASSERT_FALSE(is_quarantined(&test, FREQUENT_CONTENT));
    test.now_ms += AFTER_ACQUITTAL_MS;
    for (uint64_t engine = 31; engine <= 33; engine++)
        CU_ASSERT_EQUAL(add_loss(&test, FREQUENT_CONTENT, engine), HS_LOSS_RECORDED);
    CU_ASSERT_TRUE(is_quarantined(&test, FREQUENT_CONTENT));
    free_ledger(&test);
}

/** A run that was under way when its content was quarantined completes. */
static void completed_run_ends_the_quarantine(void) {
    test_ledger test = create_ledger();
    for (uint64_t engine = 1; engine <= 3; engine++)
        add_loss(&test, FREQUENT_CONTENT, engine);
    CU_ASSERT_TRUE(is_quarantined(&test, FREQUENT_CONTENT));
    test.now_ms += SECOND_MS;
    CU_ASSERT_TRUE(hs_crash_ledger_acquit(test.ledger, FREQUENT_CONTENT, test.now_ms));
    CU_ASSERT_FALSE(is_quarantined(&test, FREQUENT_CONTENT));
    CU_ASSERT_FALSE(hs_crash_ledger_acquit(test.ledger, FREQUENT_CONTENT, test.now_ms));
    free_ledger(&test);
}

/** A content that ran with the cause three times is released once the cause has two more losses. */
static void content_that_ran_with_the_cause_is_released(void) {
    test_ledger test = create_ledger();
    for (uint64_t engine = 1; engine <= 3; engine++) {
        add_loss(&test, CAUSE_CONTENT, engine);
        add_loss(&test, FREQUENT_CONTENT, engine);
    }
    add_loss(&test, CAUSE_CONTENT, 4);
    CU_ASSERT_TRUE(is_quarantined(&test, FREQUENT_CONTENT));
    add_loss(&test, CAUSE_CONTENT, 5);
    CU_ASSERT_FALSE(is_quarantined(&test, FREQUENT_CONTENT));
    CU_ASSERT_TRUE(is_quarantined(&test, CAUSE_CONTENT));
    free_ledger(&test);
}

/** Guards against the quarantine of a content whose three losses each have another known cause. */
static void content_that_ran_with_three_causes_is_not_quarantined(void) {
    test_ledger test = create_ledger();
    uint64_t engine = 1;
    for (uint64_t cause = 11; cause <= 13; cause++) {
        for (int loss = 0; loss < 3; loss++) {
            test.now_ms += SECOND_MS;
            add_loss(&test, cause, engine++);
        }
        add_loss(&test, FREQUENT_CONTENT, engine - 1);
        CU_ASSERT_TRUE(is_quarantined(&test, cause));
        CU_ASSERT_FALSE(is_quarantined(&test, FREQUENT_CONTENT));
    }
    free_ledger(&test);
}

/** Of two causes that run together, the one with more losses does not hide the other. */
static void two_concurrent_causes_are_both_quarantined(void) {
    test_ledger test = create_ledger();
    for (uint64_t engine = 1; engine <= 5; engine++)
        add_loss(&test, CAUSE_CONTENT, engine);
    for (uint64_t engine = 3; engine <= 5; engine++)
        add_loss(&test, FREQUENT_CONTENT, engine);
    CU_ASSERT_FALSE(is_quarantined(&test, FREQUENT_CONTENT));
    add_loss(&test, FREQUENT_CONTENT, 6);
    CU_ASSERT_TRUE(is_quarantined(&test, FREQUENT_CONTENT));
    CU_ASSERT_TRUE(is_quarantined(&test, CAUSE_CONTENT));
    free_ledger(&test);
}

/** A flood of losses neither exceeds the limits nor evicts the content with the most losses. */
static void ledger_size_is_bounded(void) {
    test_ledger test = create_ledger();
    for (uint64_t engine = 1; engine <= 40; engine++)
        add_loss(&test, CAUSE_CONTENT, engine);
    for (uint64_t content = 100; content < 100 + 10 * HS_MAX_CRASH_CONTENTS; content++) {
        test.now_ms++;
        add_loss(&test, content, content % 50);
    }
    CU_ASSERT(hs_crash_ledger_size(test.ledger) <= HS_MAX_CRASH_CONTENTS);
    CU_ASSERT_TRUE(is_quarantined(&test, CAUSE_CONTENT));
    hs_crash_evidence evidence;
    CU_ASSERT_TRUE(hs_crash_ledger_find(test.ledger, CAUSE_CONTENT, &evidence));
    CU_ASSERT_EQUAL(evidence.engine_count, HS_MAX_CRASH_ENGINES);
    free_ledger(&test);
}

/** Merges all evidence of one ledger into another. */
static void send_all(const test_ledger *from, test_ledger *to) {
    g_autoptr(GArray) known = g_array_new(FALSE, FALSE, sizeof(hs_crash_evidence));
    hs_crash_ledger_list(from->ledger, 1, known);
    for (guint index = 0; index < known->len; index++) {
        const hs_crash_evidence *evidence = &g_array_index(known, hs_crash_evidence, index);
        for (uint32_t position = 0; position < evidence->engine_count; position++) {
            hs_crash_loss loss = {.content = evidence->content,
                                  .engine = evidence->engines[position].engine,
                                  .lost_ms = evidence->engines[position].lost_ms};
            hs_crash_ledger_add_loss(to->ledger, &loss, to->now_ms);
        }
        if (evidence->is_acquitted)
            hs_crash_ledger_acquit(to->ledger, evidence->content, evidence->acquitted_ms);
    }
}

/** Random losses, exchanged between two daemons in any order and repeatedly. */
static void daemons_with_the_same_losses_agree(void) {
    for (guint32 seed = 1; seed <= SEED_COUNT; seed++) {
        g_autoptr(GRand) rng = g_rand_new_with_seed(seed);
        test_ledger first = create_ledger();
        test_ledger second = create_ledger();
        for (int step = 0; step < 40; step++) {
            test_ledger *observer = g_rand_boolean(rng) ? &first : &second;
            first.now_ms += 100;
            second.now_ms = first.now_ms;
            add_loss(observer, (uint64_t)g_rand_int_range(rng, 1, 6),
                     (uint64_t)g_rand_int_range(rng, 1, 9));
            if (g_rand_int_range(rng, 0, 5) == 0)
                send_all(&first, &second);
        }
        send_all(&second, &first);
        send_all(&first, &second);
        CU_ASSERT_EQUAL(hs_crash_ledger_digest(first.ledger),
                        hs_crash_ledger_digest(second.ledger));
        for (uint64_t content = 1; content < 6; content++)
            CU_ASSERT_EQUAL(is_quarantined(&first, content), is_quarantined(&second, content));
        free_ledger(&first);
        free_ledger(&second);
    }
}

/** Merges the evidence of each ledger into the other one, as if both were sent at the same time.
 * Returns the number of losses that were new to either. */
static uint32_t exchange_all(test_ledger *first, test_ledger *second) {
    test_ledger *ledgers[] = {first, second};
    g_autoptr(GArray) sent_by_first = g_array_new(FALSE, FALSE, sizeof(hs_crash_evidence));
    g_autoptr(GArray) sent_by_second = g_array_new(FALSE, FALSE, sizeof(hs_crash_evidence));
    const GArray *received[] = {sent_by_second, sent_by_first};
    uint32_t recorded = 0;
    hs_crash_ledger_list(first->ledger, 1, sent_by_first);
    hs_crash_ledger_list(second->ledger, 1, sent_by_second);
    for (int side = 0; side < 2; side++) {
        for (guint index = 0; index < received[side]->len; index++) {
            const hs_crash_evidence *evidence =
                &g_array_index(received[side], hs_crash_evidence, index);
            for (uint32_t engine = 0; engine < evidence->engine_count; engine++) {
                hs_crash_loss loss = {.content = evidence->content,
                                      .engine = evidence->engines[engine].engine,
                                      .lost_ms = evidence->engines[engine].lost_ms};
                recorded += hs_crash_ledger_add_loss(ledgers[side]->ledger, &loss,
                                                     ledgers[side]->now_ms) == HS_LOSS_RECORDED;
            }
        }
    }
    return recorded;
}

/**
 * Guards against daemons that send each other losses of one content without an end, as each of them
 * drops a newer loss for an older one, or as they noticed losses in another order.
 */
static void daemons_agree_on_a_content_with_many_losses(void) {
    test_ledger first = create_ledger();
    test_ledger second = create_ledger();
    uint64_t start_ms = first.now_ms;
    for (uint64_t engine = 1; engine <= 2 * HS_MAX_CRASH_ENGINES; engine++) {
        /* Two engines each crash nearly together, and the second daemon notices them swapped. */
        uint64_t pair_ms = start_ms + (engine - 1) / 2 * SECOND_MS;
        first.now_ms = pair_ms + (engine % 2 == 0 ? 5 : 0);
        second.now_ms = pair_ms + (engine % 2 == 0 ? 0 : 5);
        add_loss(&first, CAUSE_CONTENT, engine);
        if (engine > 1 && engine <= HS_MAX_CRASH_ENGINES)
            add_loss(&second, CAUSE_CONTENT, engine);
    }
    second.now_ms = start_ms;
    add_loss(&second, CAUSE_CONTENT, 1);
    second.now_ms = first.now_ms;
    exchange_all(&first, &second);
    exchange_all(&first, &second);
    CU_ASSERT_EQUAL(exchange_all(&first, &second), 0);
    CU_ASSERT_EQUAL(hs_crash_ledger_digest(first.ledger), hs_crash_ledger_digest(second.ledger));
    hs_crash_evidence evidence;
    CU_ASSERT_TRUE(hs_crash_ledger_find(second.ledger, CAUSE_CONTENT, &evidence));
    CU_ASSERT(hs_crash_evidence_last_loss(&evidence)->engine >= 2 * HS_MAX_CRASH_ENGINES - 1);
    free_ledger(&first);
    free_ledger(&second);
}

/** Guards against a loss that is reported late and replaces a newer one of a content. */
static void the_oldest_losses_of_a_content_are_dropped(void) {
    test_ledger test = create_ledger();
    hs_crash_evidence evidence;
    for (uint64_t engine = 1; engine <= HS_MAX_CRASH_ENGINES + 1; engine++) {
        test.now_ms += SECOND_MS;
        CU_ASSERT_EQUAL(add_loss(&test, CAUSE_CONTENT, engine), HS_LOSS_RECORDED);
    }
    test.now_ms -= (uint64_t)HS_MAX_CRASH_ENGINES * SECOND_MS;
    CU_ASSERT_EQUAL(add_loss(&test, CAUSE_CONTENT, 1), HS_LOSS_IGNORED);
    CU_ASSERT_TRUE(hs_crash_ledger_find(test.ledger, CAUSE_CONTENT, &evidence));
    CU_ASSERT_EQUAL(evidence.engine_count, HS_MAX_CRASH_ENGINES);
    for (uint32_t index = 0; index < evidence.engine_count; index++)
        CU_ASSERT_NOT_EQUAL(evidence.engines[index].engine, 1);
    free_ledger(&test);
}

/** Engines that crash by themselves while they run requests that never come again. */
static void random_crashes_quarantine_no_content(void) {
    test_ledger test = create_ledger();
    uint64_t content = 100;
    for (uint64_t engine = 1; engine <= 200; engine++) {
        test.now_ms += SECOND_MS;
        for (int run = 0; run < 10; run++)
            add_loss(&test, content++, engine);
        CU_ASSERT_EQUAL(evaluate(&test), 0);
    }
    free_ledger(&test);
}

static uint64_t hash_content(const char *method, const char *host, const char *target,
                             const char *body) {
    return hs_request_content_hash(&(hs_request_content){.method = method,
                                                         .host = host,
                                                         .target = target,
                                                         .body = body,
                                                         .body_length = strlen(body)});
}

static void every_request_field_changes_the_content_hash(void) {
    uint64_t content = hash_content("POST", "a", "/x", "body");
    CU_ASSERT_EQUAL(content, hash_content("POST", "a", "/x", "body"));
    CU_ASSERT_NOT_EQUAL(content, hash_content("PUT", "a", "/x", "body"));
    CU_ASSERT_NOT_EQUAL(content, hash_content("POST", "b", "/x", "body"));
    CU_ASSERT_NOT_EQUAL(content, hash_content("POST", "a", "/y", "body"));
    CU_ASSERT_NOT_EQUAL(content, hash_content("POST", "a", "/x", "other"));
    CU_ASSERT_NOT_EQUAL(content, hash_content("POST", "a", "/x", ""));
    CU_ASSERT_NOT_EQUAL(content, hash_content("POST", NULL, "/x", "body"));
}

static void a_last_loss_is_shared_with_another_suspect(void) {
    hs_crash_ledger *ledger = hs_crash_ledger_new();
    for (uint64_t engine = 1; engine <= 4; engine++) {
        hs_crash_loss first = {.content = 1, .engine = engine, .lost_ms = 1000 * engine};
        hs_crash_loss other = {.content = 2, .engine = engine, .lost_ms = 1000 * engine};
        hs_crash_loss chance = {.content = 3, .engine = engine, .lost_ms = 1000 * engine};
        hs_crash_ledger_add_loss(ledger, &first, 4000);
        if (engine < 4)
            hs_crash_ledger_add_loss(ledger, &other, 4000);
        if (engine > 2)
            hs_crash_ledger_add_loss(ledger, &chance, 4000);
        CU_ASSERT_EQUAL(hs_crash_ledger_is_last_loss_shared(ledger, 1), engine == 3);
    }
    CU_ASSERT_FALSE(hs_crash_ledger_is_last_loss_shared(ledger, 9));
    hs_crash_ledger_free(ledger);
}

/** A daemon may report a loss without the run's duration, which another daemon reports later. */
static void run_duration_is_merged_into_a_known_loss(void) {
    hs_crash_ledger *ledger = hs_crash_ledger_new();
    hs_crash_evidence known;
    hs_crash_loss loss = {.content = 1, .engine = 1, .lost_ms = 10000};
    CU_ASSERT_EQUAL(hs_crash_ledger_add_loss(ledger, &loss, 10000), HS_LOSS_RECORDED);
    uint64_t digest = hs_crash_ledger_digest(ledger);
    loss.ran_ms = HS_CRASH_LONG_RUN_MS;
    CU_ASSERT_EQUAL(hs_crash_ledger_add_loss(ledger, &loss, 10000), HS_LOSS_IGNORED);
    loss.ran_ms = 0;
    CU_ASSERT_EQUAL(hs_crash_ledger_add_loss(ledger, &loss, 10000), HS_LOSS_IGNORED);
    CU_ASSERT_TRUE(hs_crash_ledger_find(ledger, 1, &known));
    CU_ASSERT_EQUAL(known.engines[0].ran_ms, HS_CRASH_LONG_RUN_MS);
    CU_ASSERT_EQUAL(hs_crash_ledger_digest(ledger), digest);
    hs_crash_ledger_free(ledger);
}

/** A content lost with two of the same engines is an alternative cause until it is acquitted. */
static void alternative_cause_was_lost_with_the_same_engines(void) {
    hs_crash_ledger *ledger = hs_crash_ledger_new();
    for (uint64_t engine = 1; engine <= 3; engine++) {
        hs_crash_loss cause = {.content = 1, .engine = engine, .lost_ms = 1000 * engine};
        hs_crash_loss concurrent = {.content = 2, .engine = engine, .lost_ms = 1000 * engine};
        hs_crash_loss unrelated = {
            .content = 10 + engine, .engine = engine, .lost_ms = 1000 * engine};
        hs_crash_ledger_add_loss(ledger, &cause, 4000);
        if (engine > 1)
            hs_crash_ledger_add_loss(ledger, &concurrent, 4000);
        hs_crash_ledger_add_loss(ledger, &unrelated, 4000);
        CU_ASSERT_EQUAL(hs_crash_ledger_has_alternative_cause(ledger, 1), engine == 3);
    }
    CU_ASSERT_TRUE(hs_crash_ledger_has_alternative_cause(ledger, 2));
    CU_ASSERT_FALSE(hs_crash_ledger_has_alternative_cause(ledger, 11));
    hs_crash_ledger_acquit(ledger, 2, 5000);
    CU_ASSERT_FALSE(hs_crash_ledger_has_alternative_cause(ledger, 1));
    hs_crash_ledger_free(ledger);
}

static void add_losses(hs_crash_ledger *ledger, uint64_t content, const uint64_t engines[3]) {
    for (int index = 0; index < 3; index++) {
        hs_crash_loss loss = {.content = content, .engine = engines[index], .lost_ms = 1000};
        hs_crash_ledger_add_loss(ledger, &loss, 1000);
    }
}

/** Guards against two deciders that each grant a trial run to one of two contents at a time. */
static void contents_lost_with_the_same_engines_have_one_decider(void) {
    hs_crash_ledger *ledger = hs_crash_ledger_new();
    g_autoptr(GArray) changes = g_array_new(FALSE, FALSE, sizeof(hs_crash_quarantine));
    add_losses(ledger, 1, (const uint64_t[]){5, 6, 7});
    add_losses(ledger, 2, (const uint64_t[]){7, 8, 9});
    add_losses(ledger, 3, (const uint64_t[]){9, 3, 4});
    add_losses(ledger, 4, (const uint64_t[]){20, 21, 22});
    CU_ASSERT_EQUAL(hs_crash_ledger_trial_engine(ledger, 2), 7);
    hs_crash_ledger_evaluate(ledger, 1000, changes);
    CU_ASSERT_EQUAL(hs_crash_ledger_trial_engine(ledger, 1), 3);
    CU_ASSERT_EQUAL(hs_crash_ledger_trial_engine(ledger, 2), 3);
    CU_ASSERT_EQUAL(hs_crash_ledger_trial_engine(ledger, 3), 3);
    CU_ASSERT_EQUAL(hs_crash_ledger_trial_engine(ledger, 4), 20);
    CU_ASSERT_EQUAL(hs_crash_ledger_trial_engine(ledger, 5), 0);
    hs_crash_ledger_acquit(ledger, 2, 2000);
    hs_crash_ledger_evaluate(ledger, 2000, changes);
    CU_ASSERT_EQUAL(hs_crash_ledger_trial_engine(ledger, 1), 5);
    CU_ASSERT_EQUAL(hs_crash_ledger_trial_engine(ledger, 3), 3);
    hs_crash_ledger_free(ledger);
}

const test_case crash_tests[] = {
    {"a_last_loss_is_shared_with_another_suspect", a_last_loss_is_shared_with_another_suspect},
    {"run_duration_is_merged_into_a_known_loss", run_duration_is_merged_into_a_known_loss},
    {"contents_lost_with_the_same_engines_have_one_decider",
     contents_lost_with_the_same_engines_have_one_decider},
    {"alternative_cause_was_lost_with_the_same_engines",
     alternative_cause_was_lost_with_the_same_engines},
    {"third_lost_engine_quarantines_a_content", third_lost_engine_quarantines_a_content},
    {"quarantine_ends_and_doubles_after_a_further_loss",
     quarantine_ends_and_doubles_after_a_further_loss},
    {"old_contents_expire", old_contents_expire},
    {"acquitted_content_is_not_quarantined", acquitted_content_is_not_quarantined},
    {"completed_run_ends_the_quarantine", completed_run_ends_the_quarantine},
    {"content_that_ran_with_the_cause_is_released", content_that_ran_with_the_cause_is_released},
    {"content_that_ran_with_three_causes_is_not_quarantined",
     content_that_ran_with_three_causes_is_not_quarantined},
    {"two_concurrent_causes_are_both_quarantined", two_concurrent_causes_are_both_quarantined},
    {"ledger_size_is_bounded", ledger_size_is_bounded},
    {"daemons_with_the_same_losses_agree", daemons_with_the_same_losses_agree},
    {"daemons_agree_on_a_content_with_many_losses", daemons_agree_on_a_content_with_many_losses},
    {"the_oldest_losses_of_a_content_are_dropped", the_oldest_losses_of_a_content_are_dropped},
    {"random_crashes_quarantine_no_content", random_crashes_quarantine_no_content},
    {"every_request_field_changes_the_content_hash", every_request_field_changes_the_content_hash},
    {NULL, NULL},
};
