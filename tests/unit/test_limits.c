/** @file test_limits.c  Tenants' limits: the bucket, a home's book, and many daemons in a model. */
#include "tenants/limit_book.h"
#include "tests/unit/unit_tests.h"
#include "tools/limits/limit_model.h"

#include <glib.h>
#include <string.h>

static const hs_rate_limit limit = {.rate_per_s = 10, .capacity = 5};

static hs_limit_verdict ask(hs_limit_book *book, const char *tenant, hs_limit_reach reach,
                            uint64_t now_ms) {
    hs_limit_question question = {.tenant = tenant, .limit = limit, .version = 1, .reach = reach};
    return hs_limit_book_ask(book, &question, now_ms);
}

static int count_passed(hs_limit_book *book, const char *tenant, hs_limit_reach reach,
                        uint64_t from_ms, uint64_t until_ms) {
    int passed = 0;
    for (uint64_t now_ms = from_ms; now_ms < until_ms; now_ms++)
        passed += ask(book, tenant, reach, now_ms).passes;
    return passed;
}

static const hs_limit_reach all_reached = {.is_home = true, .reached = 4, .known = 4};

static void a_bucket_lets_pass_rate_and_capacity(void) {
    hs_limit_book *book = hs_limit_book_new(0);
    /* Since the start came in more than it holds. */
    CU_ASSERT_EQUAL(count_passed(book, "a", all_reached, 60000, 60001), 1);
    CU_ASSERT_EQUAL(count_passed(book, "a", all_reached, 60001, 62001), 4 + 20);
    CU_ASSERT_EQUAL(count_passed(book, "b", all_reached, 62001, 62011), 5);
    hs_limit_book_free(book);
}

/** A tenant's new home does not know what the home before let pass. */
static void a_new_home_begins_empty(void) {
    hs_limit_book *book = hs_limit_book_new(1000);
    CU_ASSERT_FALSE(ask(book, "a", all_reached, 1000).passes);
    CU_ASSERT_EQUAL(count_passed(book, "a", all_reached, 1000, 2001), 10);
    hs_limit_book_free(book);
}

static bool is_a(const char *tenant, void *user_data) {
    (void)user_data;
    return strcmp(tenant, "a") == 0;
}

static void a_home_that_moved_is_forgotten(void) {
    hs_limit_book *book = hs_limit_book_new(0);
    CU_ASSERT_TRUE(ask(book, "a", all_reached, 60000).passes);
    CU_ASSERT_TRUE(ask(book, "b", all_reached, 60000).passes);
    hs_limit_book_note_change(book, is_a, NULL, 60000);
    CU_ASSERT_EQUAL(hs_limit_book_size(book), 1);
    CU_ASSERT_EQUAL(count_passed(book, "a", all_reached, 60000, 60010), 4);
    CU_ASSERT_EQUAL(count_passed(book, "b", all_reached, 60000, 60010), 0);
    hs_limit_book_free(book);
}

/** Daemons that do not reach each other let pass the limit together, not each of them. */
static void who_is_cut_off_has_a_part(void) {
    hs_limit_book *many = hs_limit_book_new(0);
    hs_limit_book *one = hs_limit_book_new(0);
    hs_limit_reach with_many = {.is_home = true, .reached = 3, .known = 4};
    hs_limit_reach alone = {.is_home = true, .reached = 1, .known = 4};
    int passed = count_passed(many, "a", with_many, 60000, 70000) +
                 count_passed(one, "a", alone, 60000, 70000);
    CU_ASSERT(passed <= 100 + 5);
    CU_ASSERT(passed >= 100);
    hs_limit_reach by_mistake = {.is_home = false, .reached = 4, .known = 4};
    CU_ASSERT(count_passed(one, "b", by_mistake, 60000, 70000) <= 25);
    hs_limit_book_free(many);
    hs_limit_book_free(one);
}

/** Daemons that all were lost and started together begin with full buckets, once. */
static void a_fleet_that_started_together_begins_anew(void) {
    hs_limit_book *book = hs_limit_book_new(60000);
    CU_ASSERT_EQUAL(count_passed(book, "a", all_reached, 60000, 60010), 0);
    hs_limit_book_fill(book, 60010);
    CU_ASSERT_EQUAL(count_passed(book, "a", all_reached, 60010, 60020), 5);
    CU_ASSERT_EQUAL(count_passed(book, "b", all_reached, 60010, 60020), 5);
    CU_ASSERT_EQUAL(count_passed(book, "a", all_reached, 60020, 61020), 10);
    hs_limit_book_free(book);
}

/** What a daemon saved up of its part while the home was silent does not outlive that. */
static void a_part_is_not_saved_up(void) {
    static const hs_limit_reach in_vain = {.is_home = false, .reached = 4, .known = 4};
    hs_limit_book *book = hs_limit_book_new(0);
    CU_ASSERT_FALSE(ask(book, "a", in_vain, 60000).passes);
    CU_ASSERT_TRUE(ask(book, "a", in_vain, 60500).passes);  /* 2.5 a second, one at a time. */
    CU_ASSERT_FALSE(ask(book, "a", in_vain, 69000).passes); /* Another time of silence. */
    CU_ASSERT_TRUE(ask(book, "a", in_vain, 69500).passes);
    hs_limit_book_forget(book, "a"); /* The home answered. */
    CU_ASSERT_FALSE(ask(book, "a", in_vain, 69900).passes);
    hs_limit_book_free(book);
}

static void the_newest_version_counts(void) {
    hs_limit_book *book = hs_limit_book_new(0);
    hs_limit_question question = {.tenant = "a",
                                  .limit = {.rate_per_s = 1, .capacity = 1},
                                  .version = 2,
                                  .reach = all_reached};
    CU_ASSERT_TRUE(hs_limit_book_ask(book, &question, 60000).passes);
    /* Another daemon still has the version before. */
    CU_ASSERT_EQUAL(count_passed(book, "a", all_reached, 60000, 62000), 1);
    hs_limit_book_free(book);
}

/** Limits of nothing, of one, and of less than one a second. */
static void small_limits_are_kept(void) {
    static const struct {
        hs_rate_limit limit;
        int most;
    } cases[] = {{{0, 0}, 1}, {{1, 0}, 11}, {{1, 1}, 11}, {{0.25, 1}, 4}};
    for (size_t index = 0; index < sizeof cases / sizeof cases[0]; index++) {
        hs_limit_book *book = hs_limit_book_new(0);
        int passed = 0;
        for (uint64_t now_ms = 60000; now_ms < 70000; now_ms += 10) {
            hs_limit_question question = {
                .tenant = "a", .limit = cases[index].limit, .version = 1, .reach = all_reached};
            hs_limit_verdict verdict = hs_limit_book_ask(book, &question, now_ms);
            passed += verdict.passes;
            CU_ASSERT(verdict.passes || verdict.return_ms <= HS_RATE_RETURN_MOST_MS);
        }
        CU_ASSERT(passed <= cases[index].most);
        hs_limit_book_free(book);
    }
}

/** Callers that are refused together are told times at which each finds a token. */
static void returns_are_spread(void) {
    hs_limit_book *book = hs_limit_book_new(60000);
    uint64_t before_ms = 0;
    for (int caller = 0; caller < 20; caller++) {
        hs_limit_verdict verdict = ask(book, "a", all_reached, 60000);
        CU_ASSERT_FALSE(verdict.passes);
        CU_ASSERT(caller == 0 || verdict.return_ms >= before_ms + 99);
        before_ms = verdict.return_ms;
    }
    CU_ASSERT(before_ms >= 1900 && before_ms <= 2100);
    hs_limit_book_free(book);
}

static void idle_tenants_are_forgotten(void) {
    hs_limit_book *book = hs_limit_book_new(0);
    for (int index = 0; index < 6500; index++) {
        char name[16];
        g_snprintf(name, sizeof name, "t%d", index);
        ask(book, name, all_reached, 60000);
    }
    hs_limit_book_expire(book, 60001);
    CU_ASSERT_EQUAL(hs_limit_book_size(book), 6500);
    hs_limit_book_expire(book, 60200);
    CU_ASSERT_EQUAL(hs_limit_book_size(book), 0);
    hs_limit_book_free(book);
}

/**
 * 360 daemons under random histories: kills of a part or all, daemons that are cut off from each
 * other, starts, one tenant at several times its usual. No window is above what is allowed; in calm
 * times less than 0.002 of what is within its limit is refused.
 */
static void no_window_is_above_its_limit(void) {
    for (uint32_t seed = 1; seed <= 12; seed++) {
        g_autoptr(GRand) random = g_rand_new_with_seed(seed);
        limit_fault faults[4];
        for (size_t index = 0; index < G_N_ELEMENTS(faults); index++)
            faults[index] =
                (limit_fault){.at_ms = 5 * (uint64_t)g_rand_int_range(random, 1600, 3600),
                              .for_ms = 5 * (uint64_t)g_rand_int_range(random, 40, 1200),
                              .kind = g_rand_boolean(random) ? LIMIT_KILL : LIMIT_CUT,
                              .share = g_rand_boolean(random) ? g_rand_double(random) : 1.0};
        limit_case what = {.way = LIMIT_WAY_ASK,
                           .daemons = 360,
                           .tenants = 20,
                           .requests_per_s = 400,
                           .limit_share = 1.6,
                           .is_square = true,
                           .hot_tenant = (uint32_t)g_rand_int_range(random, 0, 20),
                           .hot_share = g_rand_double_range(random, 2, 8),
                           .hot_ms = 12000,
                           .length_ms = 24000,
                           .faults = faults,
                           .fault_count = G_N_ELEMENTS(faults),
                           .seed = seed};
        CU_ASSERT(limit_model_run(&what).worst_window <= 1.0);
    }
}

/**
 * The ways in the deployment's calm day, 60 daemons and 72 tenants (five seeds): asking the home
 * refuses 0.0017 of what is within its limit, leases 0.021 and equal shares 0.134.
 */
static void what_is_within_its_limit_passes_in_calm(void) {
    limit_case what = {.daemons = 60,
                       .tenants = 72,
                       .requests_per_s = 540,
                       .limit_share = 1.6,
                       .is_square = true,
                       .hot_share = 1,
                       .length_ms = 30000,
                       .seed = 3};
    double refused[LIMIT_WAY_COUNT];
    for (int way = 0; way < LIMIT_WAY_COUNT; way++) {
        what.way = (limit_way)way;
        limit_outcome outcome = limit_model_run(&what);
        refused[way] = outcome.refused_share;
        CU_ASSERT(outcome.worst_window <= 1.0);
    }
    CU_ASSERT(refused[LIMIT_WAY_ASK] < 0.002);
    CU_ASSERT(refused[LIMIT_WAY_ASK] < refused[LIMIT_WAY_LEASES]);
    CU_ASSERT(refused[LIMIT_WAY_ASK] < refused[LIMIT_WAY_SHARES]);
}

const test_case limit_tests[] = {
    {"a_bucket_lets_pass_rate_and_capacity", a_bucket_lets_pass_rate_and_capacity},
    {"a_new_home_begins_empty", a_new_home_begins_empty},
    {"a_home_that_moved_is_forgotten", a_home_that_moved_is_forgotten},
    {"who_is_cut_off_has_a_part", who_is_cut_off_has_a_part},
    {"a_fleet_that_started_together_begins_anew", a_fleet_that_started_together_begins_anew},
    {"a_part_is_not_saved_up", a_part_is_not_saved_up},
    {"the_newest_version_counts", the_newest_version_counts},
    {"small_limits_are_kept", small_limits_are_kept},
    {"returns_are_spread", returns_are_spread},
    {"idle_tenants_are_forgotten", idle_tenants_are_forgotten},
    {"no_window_is_above_its_limit", no_window_is_above_its_limit},
    {"what_is_within_its_limit_passes_in_calm", what_is_within_its_limit_passes_in_calm},
    {NULL, NULL}};
