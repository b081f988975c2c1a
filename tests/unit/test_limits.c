/** @file test_limits.c  Tests of rate limits: bucket, limit owner and a model of many daemons. */
#include "tenants/limit_book.h"
#include "tests/unit/unit_tests.h"
#include "tools/limits/limit_model.h"

#include <glib.h>
#include <string.h>

static const hs_rate_limit limit = {.rate_per_s = 10, .capacity = 5};

static hs_limit_verdict check_limit(hs_limit_book *book, const char *tenant,
                                    hs_limit_reachability reach, uint64_t now_ms) {
    hs_limit_request request = {.tenant = tenant, .limit = limit, .version = 1, .reach = reach};
    return hs_limit_book_check(book, &request, now_ms);
}

static int count_admitted(hs_limit_book *book, const char *tenant, hs_limit_reachability reach,
                          uint64_t from_ms, uint64_t until_ms) {
    int admitted = 0;
    for (uint64_t now_ms = from_ms; now_ms < until_ms; now_ms++)
        admitted += check_limit(book, tenant, reach, now_ms).passes;
    return admitted;
}

static const hs_limit_reachability all_reached = {.is_limit_owner = true, .reached = 4, .known = 4};

static void a_bucket_admits_its_rate_and_capacity(void) {
    hs_limit_book *book = hs_limit_book_new(0);
    /* More tokens accrued since the start than the bucket holds. */
    CU_ASSERT_EQUAL(count_admitted(book, "a", all_reached, 60000, 60001), 1);
    CU_ASSERT_EQUAL(count_admitted(book, "a", all_reached, 60001, 62001), 4 + 20);
    CU_ASSERT_EQUAL(count_admitted(book, "b", all_reached, 62001, 62011), 5);
    hs_limit_book_free(book);
}

/** Guards against a new limit owner that admits again what the previous one admitted. */
static void a_new_limit_owner_starts_with_an_empty_bucket(void) {
    hs_limit_book *book = hs_limit_book_new(1000);
    CU_ASSERT_FALSE(check_limit(book, "a", all_reached, 1000).passes);
    CU_ASSERT_EQUAL(count_admitted(book, "a", all_reached, 1000, 2001), 10);
    hs_limit_book_free(book);
}

static bool is_a(const char *tenant, void *user_data) {
    (void)user_data;
    return strcmp(tenant, "a") == 0;
}

static void tenants_with_another_limit_owner_are_removed(void) {
    hs_limit_book *book = hs_limit_book_new(0);
    CU_ASSERT_TRUE(check_limit(book, "a", all_reached, 60000).passes);
    CU_ASSERT_TRUE(check_limit(book, "b", all_reached, 60000).passes);
    hs_limit_book_note_reach_change(book, is_a, NULL, 60000);
    CU_ASSERT_EQUAL(hs_limit_book_size(book), 1);
    CU_ASSERT_EQUAL(count_admitted(book, "a", all_reached, 60000, 60010), 4);
    CU_ASSERT_EQUAL(count_admitted(book, "b", all_reached, 60000, 60010), 0);
    hs_limit_book_free(book);
}

/** Guards against partitioned daemons that each admit the whole limit. */
static void a_disconnected_daemon_admits_its_allowance_only(void) {
    hs_limit_book *many = hs_limit_book_new(0);
    hs_limit_book *one = hs_limit_book_new(0);
    hs_limit_reachability with_many = {.is_limit_owner = true, .reached = 3, .known = 4};
    hs_limit_reachability alone = {.is_limit_owner = true, .reached = 1, .known = 4};
    int admitted = count_admitted(many, "a", with_many, 60000, 70000) +
                   count_admitted(one, "a", alone, 60000, 70000);
    CU_ASSERT(admitted <= 100 + 5);
    CU_ASSERT(admitted >= 100);
    hs_limit_reachability not_owner = {.is_limit_owner = false, .reached = 4, .known = 4};
    CU_ASSERT(count_admitted(one, "b", not_owner, 60000, 70000) <= 25);
    hs_limit_book_free(many);
    hs_limit_book_free(one);
}

/** Guards against refusals after all daemons restarted, and against filling buckets twice. */
static void buckets_are_full_after_a_fleet_restart(void) {
    hs_limit_book *book = hs_limit_book_new(60000);
    CU_ASSERT_EQUAL(count_admitted(book, "a", all_reached, 60000, 60010), 0);
    hs_limit_book_fill(book, 60010);
    CU_ASSERT_EQUAL(count_admitted(book, "a", all_reached, 60010, 60020), 5);
    CU_ASSERT_EQUAL(count_admitted(book, "b", all_reached, 60010, 60020), 5);
    CU_ASSERT_EQUAL(count_admitted(book, "a", all_reached, 60020, 61020), 10);
    hs_limit_book_free(book);
}

/** Guards against tokens saved while the limit owner did not respond. */
static void an_allowance_does_not_accumulate(void) {
    static const hs_limit_reachability owner_unreachable = {
        .is_limit_owner = false, .reached = 4, .known = 4};
    hs_limit_book *book = hs_limit_book_new(0);
    CU_ASSERT_FALSE(check_limit(book, "a", owner_unreachable, 60000).passes);
    /* The allowance is 2.5 tokens a second, one token at a time. */
    CU_ASSERT_TRUE(check_limit(book, "a", owner_unreachable, 60500).passes);
    /* After a gap the bucket is empty again. */
    CU_ASSERT_FALSE(check_limit(book, "a", owner_unreachable, 69000).passes);
    CU_ASSERT_TRUE(check_limit(book, "a", owner_unreachable, 69500).passes);
    hs_limit_book_remove(book, "a"); /* The limit owner responded. */
    CU_ASSERT_FALSE(check_limit(book, "a", owner_unreachable, 69900).passes);
    hs_limit_book_free(book);
}

static void the_newest_version_applies(void) {
    hs_limit_book *book = hs_limit_book_new(0);
    hs_limit_request request = {.tenant = "a",
                                .limit = {.rate_per_s = 1, .capacity = 1},
                                .version = 2,
                                .reach = all_reached};
    CU_ASSERT_TRUE(hs_limit_book_check(book, &request, 60000).passes);
    /* Another daemon still sends the previous version. */
    CU_ASSERT_EQUAL(count_admitted(book, "a", all_reached, 60000, 62000), 1);
    hs_limit_book_free(book);
}

/** Limits of zero, one and less than one request a second. */
static void small_limits_are_enforced(void) {
    static const struct {
        hs_rate_limit limit;
        int max_passed;
    } cases[] = {{{0, 0}, 1}, {{1, 0}, 11}, {{1, 1}, 11}, {{0.25, 1}, 4}};
    for (size_t index = 0; index < sizeof cases / sizeof cases[0]; index++) {
        hs_limit_book *book = hs_limit_book_new(0);
        int admitted = 0;
        for (uint64_t now_ms = 60000; now_ms < 70000; now_ms += 10) {
            hs_limit_request request = {
                .tenant = "a", .limit = cases[index].limit, .version = 1, .reach = all_reached};
            hs_limit_verdict verdict = hs_limit_book_check(book, &request, now_ms);
            admitted += verdict.passes;
            CU_ASSERT(verdict.passes || verdict.retry_after_ms <= HS_MAX_RATE_RETRY_AFTER_MS);
        }
        CU_ASSERT(admitted <= cases[index].max_passed);
        hs_limit_book_free(book);
    }
}

/** Guards against callers that return at the same time and find no token. */
static void return_times_are_spread(void) {
    hs_limit_book *book = hs_limit_book_new(60000);
    uint64_t previous_ms = 0;
    for (int caller = 0; caller < 20; caller++) {
        hs_limit_verdict verdict = check_limit(book, "a", all_reached, 60000);
        CU_ASSERT_FALSE(verdict.passes);
        CU_ASSERT(caller == 0 || verdict.retry_after_ms >= previous_ms + 99);
        previous_ms = verdict.retry_after_ms;
    }
    CU_ASSERT(previous_ms >= 1900 && previous_ms <= 2100);
    hs_limit_book_free(book);
}

static void idle_tenants_are_removed(void) {
    hs_limit_book *book = hs_limit_book_new(0);
    for (int index = 0; index < 6500; index++) {
        char name[16];
        g_snprintf(name, sizeof name, "t%d", index);
        check_limit(book, name, all_reached, 60000);
    }
    hs_limit_book_expire(book, 60001);
    CU_ASSERT_EQUAL(hs_limit_book_size(book), 6500);
    hs_limit_book_expire(book, 60200);
    CU_ASSERT_EQUAL(hs_limit_book_size(book), 0);
    hs_limit_book_free(book);
}

/**
 * Guards against overuse while daemons are killed, disconnected and restarted at random and one
 * tenant sends several times its usual load.
 */
static void no_window_exceeds_its_limit(void) {
    for (uint32_t seed = 1; seed <= 12; seed++) {
        g_autoptr(GRand) random = g_rand_new_with_seed(seed);
        limit_fault faults[4];
        for (size_t index = 0; index < G_N_ELEMENTS(faults); index++)
            faults[index] = (limit_fault){
                .at_ms = 5 * (uint64_t)g_rand_int_range(random, 1600, 3600),
                .for_ms = 5 * (uint64_t)g_rand_int_range(random, 40, 1200),
                .kind = g_rand_boolean(random) ? LIMIT_FAULT_KILL : LIMIT_FAULT_DISCONNECT,
                .share = g_rand_boolean(random) ? g_rand_double(random) : 1.0};
        limit_scenario scenario = {.way = LIMIT_STRATEGY_OWNER,
                                   .daemons = 360,
                                   .tenants = 20,
                                   .requests_per_s = 400,
                                   .limit_factor = 1.6,
                                   .has_load_wave = true,
                                   .hot_tenant = (uint32_t)g_rand_int_range(random, 0, 20),
                                   .hot_load_factor = g_rand_double_range(random, 2, 8),
                                   .hot_duration_ms = 12000,
                                   .run_length_ms = 24000,
                                   .faults = faults,
                                   .fault_count = G_N_ELEMENTS(faults),
                                   .seed = seed};
        CU_ASSERT(limit_model_run(&scenario).max_window_ratio <= 1.0);
    }
}

/**
 * Without faults, asking the limit owner must refuse fewer requests within the limit than leases
 * or equal shares do.
 */
static void requests_within_the_limit_pass_without_faults(void) {
    limit_scenario scenario = {.daemons = 60,
                               .tenants = 72,
                               .requests_per_s = 540,
                               .limit_factor = 1.6,
                               .has_load_wave = true,
                               .hot_load_factor = 1,
                               .run_length_ms = 30000,
                               .seed = 3};
    double refused[LIMIT_STRATEGY_COUNT];
    for (int way = 0; way < LIMIT_STRATEGY_COUNT; way++) {
        scenario.way = (limit_strategy)way;
        limit_outcome outcome = limit_model_run(&scenario);
        refused[way] = outcome.refused_share;
        CU_ASSERT(outcome.max_window_ratio <= 1.0);
    }
    CU_ASSERT(refused[LIMIT_STRATEGY_OWNER] < 0.002);
    CU_ASSERT(refused[LIMIT_STRATEGY_OWNER] < refused[LIMIT_STRATEGY_LEASES]);
    CU_ASSERT(refused[LIMIT_STRATEGY_OWNER] < refused[LIMIT_STRATEGY_EQUAL_SHARES]);
}

const test_case limit_tests[] = {
    {"a_bucket_admits_its_rate_and_capacity", a_bucket_admits_its_rate_and_capacity},
    {"a_new_limit_owner_starts_with_an_empty_bucket",
     a_new_limit_owner_starts_with_an_empty_bucket},
    {"tenants_with_another_limit_owner_are_removed", tenants_with_another_limit_owner_are_removed},
    {"a_disconnected_daemon_admits_its_allowance_only",
     a_disconnected_daemon_admits_its_allowance_only},
    {"buckets_are_full_after_a_fleet_restart", buckets_are_full_after_a_fleet_restart},
    {"an_allowance_does_not_accumulate", an_allowance_does_not_accumulate},
    {"the_newest_version_applies", the_newest_version_applies},
    {"small_limits_are_enforced", small_limits_are_enforced},
    {"return_times_are_spread", return_times_are_spread},
    {"idle_tenants_are_removed", idle_tenants_are_removed},
    {"no_window_exceeds_its_limit", no_window_exceeds_its_limit},
    {"requests_within_the_limit_pass_without_faults",
     requests_within_the_limit_pass_without_faults},
    {NULL, NULL}};
