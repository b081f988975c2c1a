/** @file test_health.c  Health of an engine in its arbiter, and the results that daemons report. */
#include "base/clock.h"
#include "fleet/engine_health.h"
#include "fleet/slot_ledger.h"
#include "tests/unit/unit_tests.h"

#define FIRST_DOWN_MS 1000
#define PROBE_TIMEOUT_MS 1500

static void fail(hs_engine_health *health, uint64_t daemon, uint64_t now_ms) {
    hs_engine_health_note(health, daemon, 0, 1, now_ms);
}

/** Returns the health of an engine that went down at 100 ms. */
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

/** Guards against one daemon with a bad network path taking a healthy engine down. */
static void one_daemon_alone_takes_no_engine_down(void) {
    hs_engine_health health = {0};
    for (uint64_t now_ms = 0; now_ms < 60000; now_ms += 100)
        fail(&health, 1, now_ms);
    CU_ASSERT_EQUAL(health.state, HS_HEALTH_HEALTHY);
    for (uint64_t now_ms = 60000; now_ms < 120000; now_ms += 100) {
        fail(&health, 1, now_ms);
        hs_engine_health_note(&health, 2, 1, 0, now_ms);
    }
    CU_ASSERT_EQUAL(health.state, HS_HEALTH_HEALTHY);
}

static void probing_admits_one_request_at_a_time(void) {
    hs_engine_health health = health_down();
    uint64_t now_ms = 100 + FIRST_DOWN_MS;
    CU_ASSERT_FALSE(hs_engine_health_admit(&health, false, now_ms)); /* No request to send. */
    CU_ASSERT_TRUE(hs_engine_health_admit(&health, true, now_ms));
    CU_ASSERT_FALSE(hs_engine_health_admit(&health, true, now_ms + 1));
    /* The first probe request has timed out. */
    CU_ASSERT_TRUE(hs_engine_health_admit(&health, true, now_ms + PROBE_TIMEOUT_MS));
    hs_engine_health_note(&health, 4, 1, 0, now_ms + PROBE_TIMEOUT_MS + 10);
    CU_ASSERT_EQUAL(health.state, HS_HEALTH_PROBING);
    CU_ASSERT_TRUE(hs_engine_health_admit(&health, true, now_ms + PROBE_TIMEOUT_MS + 20));
    hs_engine_health_note(&health, 5, 1, 0, now_ms + PROBE_TIMEOUT_MS + 30);
    CU_ASSERT_EQUAL(health.state, HS_HEALTH_HEALTHY);
    CU_ASSERT_TRUE(hs_engine_health_admit(&health, true, now_ms + PROBE_TIMEOUT_MS + 31));
}

static void time_down_doubles_after_each_failed_probe(void) {
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

/**
 * Simulates an engine that fails @p failing_percent of the requests of 40 daemons. Returns the
 * number of requests admitted, and adds the transitions to down to @p down_count.
 */
static uint32_t run_history(GRand *random, int failing_percent, uint32_t *down_count) {
    hs_engine_health health = {0};
    uint32_t sent = 0;
    for (uint64_t now_ms = 0; now_ms < 20000; now_ms += 10) {
        hs_health_state before = health.state;
        if (!hs_engine_health_admit(&health, true, now_ms))
            continue;
        sent++;
        bool fails = g_rand_int_range(random, 0, 100) < failing_percent;
        hs_engine_health_note(&health, (uint64_t)g_rand_int_range(random, 1, 41), !fails, fails,
                              now_ms);
        *down_count += before != HS_HEALTH_DOWN && health.state == HS_HEALTH_DOWN;
    }
    return sent;
}

/** A dead engine gets few requests, a healthy one all. */
static void random_histories_keep_requests_from_dead_engines_only(void) {
    GRand *random = g_rand_new_with_seed(23);
    for (int history = 0; history < 200; history++) {
        uint32_t down_count = 0;
        CU_ASSERT(run_history(random, 100, &down_count) <= 12);
        CU_ASSERT(down_count >= 1);
        down_count = 0;
        CU_ASSERT_EQUAL(run_history(random, 0, &down_count), 2000);
        CU_ASSERT_EQUAL(down_count, 0);
    }
    g_rand_free(random);
}

/** Reports @p use to the ledger as the given incarnation of a daemon. */
static hs_engine_load_report report_use_of_incarnation(hs_slot_ledger *ledger, const char *daemon,
                                                       uint64_t incarnation, hs_engine_use use) {
    static uint64_t sequence = 0;
    g_autoptr(GArray) requests = g_array_new(FALSE, FALSE, sizeof(hs_preemption_request));
    use.engine_hash = 5;
    use.sequence = ++sequence;
    use.slots = 8;
    hs_use_report report = {.daemon = daemon, .incarnation = incarnation, .use = use};
    return hs_slot_ledger_put_report(ledger, &report, 100, requests);
}

static hs_engine_load_report report_use(hs_slot_ledger *ledger, const char *daemon,
                                        hs_engine_use use) {
    return report_use_of_incarnation(ledger, daemon, 1, use);
}

/** Lost reports must not lose results, and a restarted daemon's counters must not count again. */
static void the_ledger_derives_results_from_counters(void) {
    hs_slot_ledger *ledger = hs_slot_ledger_new();
    static const char *const daemons[] = {"a", "b", "c"};
    for (int index = 0; index < 3; index++)
        CU_ASSERT_FALSE(
            report_use(ledger, daemons[index], (hs_engine_use){.online = 1, .failed = 50})
                .is_failing);
    report_use(ledger, "a", (hs_engine_use){.failed = 51});
    report_use_of_incarnation(ledger, "a", 8, (hs_engine_use){.failed = 1}); /* Restarted. */
    report_use(ledger, "b", (hs_engine_use){.failed = 51});
    CU_ASSERT_FALSE(report_use(ledger, "b", (hs_engine_use){.online = 1, .failed = 51}).is_failing);
    report_use(ledger, "c", (hs_engine_use){.failed = 51});
    CU_ASSERT_TRUE(report_use(ledger, "b", (hs_engine_use){.online = 2, .failed = 51}).is_failing);
    hs_slot_ledger_free(ledger);
}

/** Guards against unsigned wrap-around when a daemon's counters restart from 0. */
static void decreasing_counters_start_again(void) {
    hs_slot_ledger *ledger = hs_slot_ledger_new();
    uint64_t start_ms = hs_clock_monotonic_ms();
    report_use(ledger, "a", (hs_engine_use){.online = 1, .served = 50, .failed = 50});
    report_use(ledger, "a", (hs_engine_use){.online = 1});
    CU_ASSERT(hs_clock_monotonic_ms() - start_ms < 500);
    report_use(ledger, "a", (hs_engine_use){.online = 1, .failed = 1});
    report_use(ledger, "b", (hs_engine_use){.online = 1});
    report_use(ledger, "b", (hs_engine_use){.failed = 1});
    report_use(ledger, "c", (hs_engine_use){.online = 1});
    report_use(ledger, "c", (hs_engine_use){.failed = 1});
    CU_ASSERT_TRUE(report_use(ledger, "b", (hs_engine_use){.online = 1, .failed = 1}).is_failing);
    hs_slot_ledger_free(ledger);
}

const test_case health_tests[] = {
    {"decreasing_counters_start_again", decreasing_counters_start_again},
    {"failures_of_three_daemons_take_an_engine_down",
     failures_of_three_daemons_take_an_engine_down},
    {"one_daemon_alone_takes_no_engine_down", one_daemon_alone_takes_no_engine_down},
    {"probing_admits_one_request_at_a_time", probing_admits_one_request_at_a_time},
    {"time_down_doubles_after_each_failed_probe", time_down_doubles_after_each_failed_probe},
    {"random_histories_keep_requests_from_dead_engines_only",
     random_histories_keep_requests_from_dead_engines_only},
    {"the_ledger_derives_results_from_counters", the_ledger_derives_results_from_counters},
    {NULL, NULL}};
