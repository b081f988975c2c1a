/** @file test_health.c  An engine's health as its arbiter sees it, and what daemons make of it. */
#include "base/clock.h"
#include "fleet/engine_health.h"
#include "fleet/slot_ledger.h"
#include "tests/unit/unit_tests.h"

#define FIRST_DOWN_MS 1000
#define TRIAL_TIME_MS 1500

static void fail(hs_engine_health *health, uint64_t daemon, uint64_t now_ms) {
    hs_engine_health_note(health, daemon, 0, 1, now_ms);
}

/** Down at time 100. */
static hs_engine_health health_down(void) {
    hs_engine_health health = {0};
    for (uint64_t daemon = 1; daemon <= 3; daemon++)
        fail(&health, daemon, 100);
    return health;
}

static void failures_of_three_daemons_take_an_engine_down(void) {
    hs_engine_health health = {0};
    fail(&health, 1, 100);
    fail(&health, 2, 100);
    CU_ASSERT_TRUE(hs_engine_health_admit(&health, true, 100));
    fail(&health, 3, 100);
    CU_ASSERT_EQUAL(health.state, HS_HEALTH_DOWN);
    CU_ASSERT_FALSE(hs_engine_health_admit(&health, true, 100 + FIRST_DOWN_MS - 1));
}

/** Its own path may be bad, however often it tells of it; others' answers count as well. */
static void one_daemon_alone_takes_no_engine_down(void) {
    hs_engine_health health = {0};
    for (uint64_t now_ms = 0; now_ms < 60000; now_ms += 100)
        fail(&health, 1, now_ms);
    CU_ASSERT_EQUAL(health.state, HS_HEALTH_SOUND);
    for (uint64_t now_ms = 60000; now_ms < 120000; now_ms += 100) {
        fail(&health, 1, now_ms);
        hs_engine_health_note(&health, 2, 1, 0, now_ms);
    }
    CU_ASSERT_EQUAL(health.state, HS_HEALTH_SOUND);
}

static void a_trial_lets_one_request_go_at_a_time(void) {
    hs_engine_health health = health_down();
    uint64_t now_ms = 100 + FIRST_DOWN_MS;
    CU_ASSERT_FALSE(hs_engine_health_admit(&health, false, now_ms)); /* Nothing starts. */
    CU_ASSERT_TRUE(hs_engine_health_admit(&health, true, now_ms));
    CU_ASSERT_FALSE(hs_engine_health_admit(&health, true, now_ms + 1));
    CU_ASSERT_TRUE(hs_engine_health_admit(&health, true, now_ms + TRIAL_TIME_MS)); /* Unheard. */
    hs_engine_health_note(&health, 4, 1, 0, now_ms + TRIAL_TIME_MS + 10);
    CU_ASSERT_EQUAL(health.state, HS_HEALTH_TRIAL);
    CU_ASSERT_TRUE(hs_engine_health_admit(&health, true, now_ms + TRIAL_TIME_MS + 20));
    hs_engine_health_note(&health, 5, 1, 0, now_ms + TRIAL_TIME_MS + 30);
    CU_ASSERT_EQUAL(health.state, HS_HEALTH_SOUND);
    CU_ASSERT_TRUE(hs_engine_health_admit(&health, true, now_ms + TRIAL_TIME_MS + 31));
}

/** An engine that goes up and down is trusted less each time. */
static void patience_with_a_failed_trial_doubles(void) {
    hs_engine_health health = health_down();
    uint64_t now_ms = 100;
    for (uint64_t down_ms = FIRST_DOWN_MS; down_ms <= 8000; down_ms *= 2) {
        CU_ASSERT_FALSE(hs_engine_health_admit(&health, true, now_ms + down_ms - 1));
        CU_ASSERT_TRUE(hs_engine_health_admit(&health, true, now_ms + down_ms));
        now_ms += down_ms;
        fail(&health, 9, now_ms);
        CU_ASSERT_EQUAL(health.state, HS_HEALTH_DOWN);
    }
}

/** One random history of 40 daemons: @p failing of 100 requests fail; how many were sent to it. */
static uint32_t play(GRand *chance, int failing, uint32_t *downs) {
    hs_engine_health health = {0};
    uint32_t sent = 0;
    for (uint64_t now_ms = 0; now_ms < 20000; now_ms += 10) {
        hs_health_state before = health.state;
        if (!hs_engine_health_admit(&health, true, now_ms))
            continue;
        sent++;
        bool fails = g_rand_int_range(chance, 0, 100) < failing;
        hs_engine_health_note(&health, (uint64_t)g_rand_int_range(chance, 1, 41), !fails, fails,
                              now_ms);
        *downs += before != HS_HEALTH_DOWN && health.state == HS_HEALTH_DOWN;
    }
    return sent;
}

/** Over random histories a dead engine gets few requests, and a sound one nearly all. */
static void random_histories_keep_requests_from_dead_engines_only(void) {
    GRand *chance = g_rand_new_with_seed(23);
    for (int history = 0; history < 200; history++) {
        uint32_t downs = 0;
        CU_ASSERT(play(chance, 100, &downs) <= 12);
        CU_ASSERT(downs >= 1);
        downs = 0;
        CU_ASSERT_EQUAL(play(chance, 0, &downs), 2000);
        CU_ASSERT_EQUAL(downs, 0);
    }
    g_rand_free(chance);
}

/** A daemon's word to the arbiter's ledger, in its @p life. */
static hs_engine_total tell_in_life(hs_slot_ledger *ledger, const char *daemon, uint64_t life,
                                    hs_engine_use use) {
    static uint64_t sequence = 0;
    g_autoptr(GArray) asks = g_array_new(FALSE, FALSE, sizeof(hs_slot_ask));
    use.engine_hash = 5;
    use.sequence = ++sequence;
    use.slots = 8;
    hs_slot_word word = {.daemon = daemon, .incarnation = life, .use = use};
    return hs_slot_ledger_take(ledger, &word, 100, asks);
}

static hs_engine_total tell(hs_slot_ledger *ledger, const char *daemon, hs_engine_use use) {
    return tell_in_life(ledger, daemon, 1, use);
}

/** Ends are told as counts: a lost word is mended, a restart does not count what was before. */
static void the_ledger_takes_ends_from_counts(void) {
    hs_slot_ledger *ledger = hs_slot_ledger_new();
    static const char *const daemons[] = {"a", "b", "c"};
    for (int index = 0; index < 3; index++)
        CU_ASSERT_FALSE(
            tell(ledger, daemons[index], (hs_engine_use){.online = 1, .failed = 50}).is_failing);
    tell(ledger, "a", (hs_engine_use){.failed = 51});
    tell_in_life(ledger, "a", 8, (hs_engine_use){.failed = 1}); /* It restarted. */
    tell(ledger, "b", (hs_engine_use){.failed = 51});
    CU_ASSERT_FALSE(tell(ledger, "b", (hs_engine_use){.online = 1, .failed = 51}).is_failing);
    tell(ledger, "c", (hs_engine_use){.failed = 51});
    CU_ASSERT_TRUE(tell(ledger, "b", (hs_engine_use){.online = 2, .failed = 51}).is_failing);
    hs_slot_ledger_free(ledger);
}

/** A daemon that forgot an engine and met it again counts from nothing: that is no billion ends. */
static void counts_that_fall_start_anew(void) {
    hs_slot_ledger *ledger = hs_slot_ledger_new();
    uint64_t began_ms = hs_clock_monotonic_ms();
    tell(ledger, "a", (hs_engine_use){.online = 1, .served = 50, .failed = 50});
    tell(ledger, "a", (hs_engine_use){.online = 1});
    CU_ASSERT(hs_clock_monotonic_ms() - began_ms < 500);
    tell(ledger, "a", (hs_engine_use){.online = 1, .failed = 1});
    tell(ledger, "b", (hs_engine_use){.online = 1});
    tell(ledger, "b", (hs_engine_use){.failed = 1});
    tell(ledger, "c", (hs_engine_use){.online = 1});
    tell(ledger, "c", (hs_engine_use){.failed = 1});
    CU_ASSERT_TRUE(tell(ledger, "b", (hs_engine_use){.online = 1, .failed = 1}).is_failing);
    hs_slot_ledger_free(ledger);
}

const test_case health_tests[] = {
    {"counts_that_fall_start_anew", counts_that_fall_start_anew},
    {"failures_of_three_daemons_take_an_engine_down",
     failures_of_three_daemons_take_an_engine_down},
    {"one_daemon_alone_takes_no_engine_down", one_daemon_alone_takes_no_engine_down},
    {"a_trial_lets_one_request_go_at_a_time", a_trial_lets_one_request_go_at_a_time},
    {"patience_with_a_failed_trial_doubles", patience_with_a_failed_trial_doubles},
    {"random_histories_keep_requests_from_dead_engines_only",
     random_histories_keep_requests_from_dead_engines_only},
    {"the_ledger_takes_ends_from_counts", the_ledger_takes_ends_from_counts},
    {NULL, NULL}};
