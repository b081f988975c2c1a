/** @file test_pace.c  Estimate of an engine's pace from runs and reports, and its uses. */
#include "base/clock.h"
#include "base/hash.h"
#include "fleet/engine_choice.h"
#include "fleet/engine_pace.h"
#include "fleet/slot_ledger.h"
#include "tests/unit/unit_tests.h"

#include <math.h>
#include <string.h>

#define SERVICE_EVENT_MS 10.0
#define TOLERANCE 0.02

static double factor(const hs_engine_pace *pace, uint64_t now_ms) {
    return hs_engine_pace_factor(pace, SERVICE_EVENT_MS, now_ms);
}

/** Guards against a pace other than 1 without observations or for small differences. */
static void first_runs_reveal_a_slow_engine(void) {
    hs_engine_pace pace = {0};
    CU_ASSERT_EQUAL(factor(&pace, 1000), 1);
    CU_ASSERT_EQUAL(hs_engine_pace_observed_event_us(&pace, 1000), 0);
    for (int runs = 0; runs < 3; runs++)
        hs_engine_pace_note_events(&pace, 18, 18 * 16, 1000);
    CU_ASSERT(factor(&pace, 1000) > 1.4 && factor(&pace, 1000) < 1.6);
    CU_ASSERT_EQUAL(hs_engine_pace_observed_event_us(&pace, 1000), 16000);
    CU_ASSERT_EQUAL(hs_engine_pace_factor(&pace, 0, 1000), 1); /* The service's mean is unknown. */
    CU_ASSERT_EQUAL(factor(&pace, 400000), 1);                 /* The events have decayed. */
    hs_engine_pace similar = {0};
    hs_engine_pace_note_events(&similar, 1000, 12000, 1000);
    CU_ASSERT_EQUAL(factor(&similar, 1000), 1);
    hs_engine_pace_note_events(&similar, 0, 90000, 1000); /* Time without events is ignored. */
    CU_ASSERT_EQUAL(factor(&similar, 1000), 1);
}

/** While valid, the interval that the arbiter reports for all daemons replaces that of own runs. */
static void reported_event_interval_overrides_own_runs(void) {
    hs_engine_pace pace = {0};
    hs_engine_pace_set_reported_event_us(&pace, 6000, 1000);
    CU_ASSERT_DOUBLE_EQUAL(factor(&pace, 1000), 0.6, 1e-9);
    hs_engine_pace_set_reported_event_us(&pace, 0, 1500); /* The arbiter has no observations. */
    CU_ASSERT_DOUBLE_EQUAL(factor(&pace, 2000), 0.6, 1e-9);
    CU_ASSERT_EQUAL(factor(&pace, 1000 + 20000), 1);
    hs_engine_pace_set_reported_event_us(&pace, UINT32_MAX, 30000);
    CU_ASSERT_DOUBLE_EQUAL(factor(&pace, 30000), 4, 1e-9);
}

/** A reported slowdown counts at once, and decays by the mean duration of earlier outliers. */
static void slowdowns_decay_by_observed_duration(void) {
    hs_engine_pace pace = {0};
    for (uint64_t now_ms = 1000; now_ms < 5000; now_ms += 100)
        hs_engine_pace_note_slowdown(&pace, 100, 0, now_ms);
    CU_ASSERT_EQUAL(factor(&pace, 5000), 1);
    hs_engine_pace_note_slowdown(&pace, 250, 0, 5000);
    CU_ASSERT(factor(&pace, 5000) > 2.3 && factor(&pace, 5000) <= 2.5);
    double without_history = factor(&pace, 5300);
    CU_ASSERT(without_history > 1.3 && without_history < 1.8);
    CU_ASSERT_EQUAL(factor(&pace, 8000), 1);
    hs_engine_pace brief_outliers = pace;
    for (uint64_t now_ms = 5050; now_ms < 9000; now_ms += 50)
        hs_engine_pace_note_slowdown(&brief_outliers, now_ms % 500 == 0 ? 250 : 100, 0, now_ms);
    /* Each earlier outlier ended within 50 ms. */
    hs_engine_pace_note_slowdown(&brief_outliers, 250, 0, 9000);
    CU_ASSERT(factor(&brief_outliers, 9000) > 1.8);
    CU_ASSERT(factor(&brief_outliers, 9300) < without_history - 0.2);
}

static void invalid_old_and_duplicate_slowdowns_are_ignored(void) {
    hs_engine_pace pace = {0};
    hs_engine_pace_note_slowdown(&pace, 0, 0, 1000);
    hs_engine_pace_note_slowdown(&pace, 5, 0, 1000);
    hs_engine_pace_note_slowdown(&pace, 4000000000U, 0, 1000);
    hs_engine_pace_note_slowdown(&pace, 250, 5000, 1000); /* Older than the clock. */
    CU_ASSERT_EQUAL(pace.slowdown_percent, 0);
    CU_ASSERT_EQUAL(factor(&pace, 1000), 1);
    hs_engine_pace_note_slowdown(&pace, 250, 100, 1000);
    hs_engine_pace_note_slowdown(&pace, 100, 200, 1050); /* Older than the latest report. */
    CU_ASSERT_EQUAL(pace.slowdown_percent, 250);
    hs_engine_pace before = pace;
    hs_engine_pace_note_slowdown(&pace, 250, 145, 1050); /* The same report from another daemon. */
    CU_ASSERT(pace.reported_at_ms == before.reported_at_ms &&
              pace.report_count == before.report_count);
    CU_ASSERT(pace.mean_excess == before.mean_excess && pace.outlier_ms == before.outlier_ms);
}

static void a_constant_slowdown_has_no_effect(void) {
    hs_engine_pace pace = {0};
    for (uint64_t now_ms = 1000; now_ms < 61000; now_ms += 100)
        hs_engine_pace_note_slowdown(&pace, 400, 0, now_ms);
    CU_ASSERT_DOUBLE_EQUAL(factor(&pace, 61000), 1, TOLERANCE);
    hs_engine_pace_note_slowdown(&pace, 10000, 0, 61000);
    CU_ASSERT(factor(&pace, 61000) <= 10);
}

/** Paces of 0 and 1 give exactly the same cost and speeds. */
static void unknown_pace_does_not_change_the_cost(void) {
    hs_engine_speed speed = {
        .tokens_per_ms = 50, .run_ms = 1000, .online_run_ms = 700, .first_byte_ms = 20};
    hs_engine_candidate candidate = {.slots = 8,
                                     .running = 10,
                                     .batch = 1,
                                     .queued_tokens = 1000,
                                     .uncached_tokens = 500,
                                     .failure_rate = 0.125,
                                     .distance = HS_DISTANCE_OTHER_ZONE};
    double unknown = hs_engine_choice_cost(&candidate, &speed);
    CU_ASSERT_EQUAL(unknown, 20 + 10 + 25 + 15 + 250 + 75 + 2 + 2.5);
    candidate.pace = 1;
    CU_ASSERT_EQUAL(hs_engine_choice_cost(&candidate, &speed), unknown);
    for (int pace = 0; pace < 2; pace++) {
        hs_engine_speed at = hs_engine_speed_at(&speed, pace);
        CU_ASSERT(at.tokens_per_ms == speed.tokens_per_ms && at.run_ms == speed.run_ms);
        CU_ASSERT(at.online_run_ms == speed.online_run_ms);
        CU_ASSERT(at.first_byte_ms == speed.first_byte_ms);
    }
    candidate.pace = 2; /* Only the terms that grow with the load double. */
    CU_ASSERT_EQUAL(hs_engine_choice_cost(&candidate, &speed), unknown + 20 + 25 + 250);
    hs_engine_speed slow = hs_engine_speed_at(&speed, 2);
    CU_ASSERT_EQUAL(hs_engine_choice_wait_ms(12, 8, 1000, &slow), 4.0 / 8 * 1400 + 40);
    CU_ASSERT_FALSE(hs_engine_choice_can_start_in_time(100, &slow, 139));
    CU_ASSERT_TRUE(hs_engine_choice_can_start_in_time(100, &speed, 139));
    CU_ASSERT_TRUE(hs_engine_choice_will_miss_deadline(100, &slow, 139));
    CU_ASSERT_FALSE(hs_engine_choice_will_miss_deadline(100, &speed, 139));
}

/** Reports the events of a daemon's runs on the engine so far to the ledger. */
static hs_engine_load_report report_runs(hs_slot_ledger *ledger, const char *daemon,
                                         uint64_t incarnation, uint64_t events, uint64_t took_ms,
                                         uint64_t now_ms) {
    static uint64_t sequence = 0;
    g_autoptr(GArray) requests = g_array_new(FALSE, FALSE, sizeof(hs_preemption_request));
    hs_use_report report = {.daemon = daemon,
                            .incarnation = incarnation,
                            .use = {.engine_hash = 7,
                                    .sequence = ++sequence,
                                    .slots = 8,
                                    .run_events = events,
                                    .run_ms = took_ms}};
    return hs_slot_ledger_put_report(ledger, &report, now_ms, requests);
}

/** Lost reports, restarts of a daemon and counters that fall must not count as runs. */
static void the_arbiter_counts_runs_of_all_daemons(void) {
    hs_slot_ledger *ledger = hs_slot_ledger_new();
    /* The first report is the baseline of the counters. */
    CU_ASSERT_EQUAL(report_runs(ledger, "a", 1, 90000, 9, 1000).event_us, 0);
    CU_ASSERT_EQUAL(report_runs(ledger, "b", 1, 0, 0, 1000).event_us, 0);
    /* Too few events. */
    CU_ASSERT_EQUAL(report_runs(ledger, "a", 1, 90015, 9 + 120, 1100).event_us, 0);
    CU_ASSERT_EQUAL(report_runs(ledger, "b", 1, 30, 480, 1100).event_us, 600 * 1000 / 45);
    /* Two reports were lost; the next one includes their runs. */
    CU_ASSERT_EQUAL(report_runs(ledger, "b", 1, 75, 480 + 600, 1100).event_us, 1200 * 1000 / 90);
    CU_ASSERT_EQUAL(report_runs(ledger, "b", 2, 500, 3, 1100).event_us, 1200 * 1000 / 90);
    CU_ASSERT_EQUAL(report_runs(ledger, "a", 1, 0, 0, 1100).event_us, 1200 * 1000 / 90);
    CU_ASSERT_EQUAL(report_runs(ledger, "a", 1, 3, 1000000, 1100).event_us, 1200 * 1000 / 90);
    hs_slot_ledger_expire(ledger, 11000); /* The pace outlasts a time without requests. */
    CU_ASSERT_EQUAL(report_runs(ledger, "c", 1, 0, 0, 11000).event_us, 1200 * 1000 / 90);
    hs_slot_ledger_expire(ledger, 110000);
    CU_ASSERT_EQUAL(report_runs(ledger, "c", 1, 0, 0, 110000).event_us, 0);
    hs_slot_ledger_free(ledger);
}

static const char *chosen_engine(hs_fleet_engines *engines) {
    static char id[16];
    hs_engine_query query = {.service = "svc"};
    hs_engine_lease *lease = hs_fleet_engines_acquire(engines, &query);
    g_strlcpy(id, hs_engine_lease_id(lease), sizeof id);
    hs_engine_lease_release(lease, NULL, HS_ATTEMPT_DROPPED);
    return id;
}

/** A slowdown that the arbiter reports counts on a daemon that sent no request to the engine. */
static void a_reported_slowdown_affects_other_daemons(void) {
    hs_fleet_engines *engines = hs_fleet_engines_new("z");
    for (int index = 0; index < 2; index++) {
        hs_engine_entry entry = {.id = g_strdup_printf("e%d", index),
                                 .service = g_strdup("svc"),
                                 .zone = g_strdup("z"),
                                 .address = 1,
                                 .port = 1,
                                 .slots = 4};
        hs_fleet_engines_put(engines, &entry, 1);
    }
    for (int index = 0; index < 2; index++) { /* Equal load; e0 is slow. */
        const char *id = index == 0 ? "e0" : "e1";
        hs_engine_load_report total = {.engine_hash = hs_hash_bytes(id, strlen(id)),
                                       .online = 3,
                                       .slowdown_percent = index == 0 ? 250 : 100};
        hs_fleet_engines_put_report(engines, &total);
    }
    for (int turn = 0; turn < 4; turn++)
        CU_ASSERT_STRING_EQUAL(chosen_engine(engines), "e1");
    char *text = hs_fleet_engines_describe(engines);
    CU_ASSERT_PTR_NOT_NULL(strstr(text, "heathsail_engine_pace{engine=\"e0\"} 2."));
    CU_ASSERT_PTR_NOT_NULL(strstr(text, "heathsail_engine_pace{engine=\"e1\"} 1.00"));
    g_free(text);
    hs_fleet_engines_free(engines);
}

static void note_use(const hs_engine_use *use, bool started, void *user_data) {
    (void)started;
    *(hs_engine_use *)user_data = *use;
}

/** Guards against reporting a run without its later events, their time or the slowdown. */
static void a_run_reports_its_events(void) {
    hs_engine_use reported = {0};
    hs_fleet_engines *engines = hs_fleet_engines_new("z");
    hs_engine_entry entry = {.id = g_strdup("e"),
                             .service = g_strdup("svc"),
                             .zone = g_strdup("z"),
                             .address = 1,
                             .port = 1,
                             .slots = 4};
    hs_fleet_engines_put(engines, &entry, 1);
    hs_fleet_engines_set_use_observer(engines, note_use, &reported);
    hs_engine_query query = {.service = "svc"};
    hs_engine_lease *lease = hs_fleet_engines_acquire(engines, &query);
    hs_engine_load load = {.present = true, .slots = 4, .slowdown_percent = 250};
    hs_engine_lease_note_load(lease, &load);
    hs_engine_lease_note_events(lease, 0); /* Incomplete event. */
    hs_engine_lease_note_events(lease, 2);
    g_usleep(30000);
    hs_engine_lease_note_events(lease, 8);
    g_usleep(30000);
    hs_engine_lease_note_events(lease, 8); /* End of the response without a further event. */
    hs_engine_lease_release(lease, NULL, HS_ATTEMPT_SERVED);
    CU_ASSERT_EQUAL(reported.run_events, 6);
    CU_ASSERT(reported.run_ms >= 29 && reported.run_ms < 59);
    CU_ASSERT_EQUAL(reported.slowdown_percent, 250);
    CU_ASSERT(reported.slowdown_age_ms >= 59);
    hs_fleet_engines_set_use_observer(engines, NULL, NULL);
    hs_fleet_engines_free(engines);
}

/** Guards against returning a slowdown to its arbiter, which would underestimate its age. */
static void relayed_slowdowns_are_not_reported_back(void) {
    hs_fleet_engines *engines = hs_fleet_engines_new("z");
    hs_engine_entry entry = {.id = g_strdup("e"),
                             .service = g_strdup("svc"),
                             .zone = g_strdup("z"),
                             .address = 1,
                             .port = 1,
                             .slots = 4};
    hs_fleet_engines_put(engines, &entry, 1);
    hs_engine_query query = {.service = "svc"};
    hs_engine_lease *lease = hs_fleet_engines_acquire(engines, &query);
    hs_engine_load_report total = {.engine_hash = hs_hash_bytes("e", 1), .slowdown_percent = 250};
    hs_fleet_engines_put_report(engines, &total);
    g_autoptr(GArray) relayed = hs_fleet_engines_own_uses(engines);
    CU_ASSERT_EQUAL_FATAL(relayed->len, 1);
    CU_ASSERT_EQUAL(g_array_index(relayed, hs_engine_use, 0).slowdown_percent, 0);
    CU_ASSERT_EQUAL(g_array_index(relayed, hs_engine_use, 0).slowdown_age_ms, 0);
    hs_engine_load load = {.present = true, .slots = 4, .slowdown_percent = 180};
    hs_engine_lease_note_load(lease, &load);
    hs_fleet_engines_put_report(engines, &total);
    g_autoptr(GArray) received = hs_fleet_engines_own_uses(engines);
    CU_ASSERT_EQUAL(g_array_index(received, hs_engine_use, 0).slowdown_percent, 180);
    hs_engine_lease_release(lease, NULL, HS_ATTEMPT_DROPPED);
    hs_fleet_engines_free(engines);
}

/** The time limit for the response header grows with a slowdown, and never falls below the mean. */
static void slow_engines_get_a_longer_header_limit(void) {
    hs_fleet_engines *engines = hs_fleet_engines_new("z");
    hs_engine_entry entry = {.id = g_strdup("e"),
                             .service = g_strdup("svc"),
                             .zone = g_strdup("z"),
                             .address = 1,
                             .port = 1,
                             .slots = 4};
    hs_fleet_engines_put(engines, &entry, 1);
    hs_engine_query query = {.service = "svc"};
    hs_engine_lease *lease = hs_fleet_engines_acquire(engines, &query);
    g_usleep(20000);
    for (int headers = 0; headers < 10; headers++)
        hs_engine_lease_note_head(lease);
    uint32_t usual_limit_ms = hs_engine_lease_head_limit_ms(lease, 4000);
    CU_ASSERT_FATAL(usual_limit_ms > 0);
    uint64_t hash = hs_hash_bytes("e", 1);
    hs_fleet_engines_put_report(
        engines, &(hs_engine_load_report){.engine_hash = hash, .slowdown_percent = 250});
    CU_ASSERT(hs_engine_lease_head_limit_ms(lease, 4000) > 2 * usual_limit_ms - 2);
    g_usleep(2000);
    hs_fleet_engines_put_report(
        engines, &(hs_engine_load_report){.engine_hash = hash, .slowdown_percent = 50});
    CU_ASSERT_EQUAL(hs_engine_lease_head_limit_ms(lease, 4000), usual_limit_ms);
    hs_engine_lease_release(lease, NULL, HS_ATTEMPT_DROPPED);
    hs_fleet_engines_free(engines);
}

const test_case pace_tests[] = {
    {"first_runs_reveal_a_slow_engine", first_runs_reveal_a_slow_engine},
    {"reported_event_interval_overrides_own_runs", reported_event_interval_overrides_own_runs},
    {"slowdowns_decay_by_observed_duration", slowdowns_decay_by_observed_duration},
    {"invalid_old_and_duplicate_slowdowns_are_ignored",
     invalid_old_and_duplicate_slowdowns_are_ignored},
    {"a_constant_slowdown_has_no_effect", a_constant_slowdown_has_no_effect},
    {"unknown_pace_does_not_change_the_cost", unknown_pace_does_not_change_the_cost},
    {"the_arbiter_counts_runs_of_all_daemons", the_arbiter_counts_runs_of_all_daemons},
    {"a_reported_slowdown_affects_other_daemons", a_reported_slowdown_affects_other_daemons},
    {"a_run_reports_its_events", a_run_reports_its_events},
    {"relayed_slowdowns_are_not_reported_back", relayed_slowdowns_are_not_reported_back},
    {"slow_engines_get_a_longer_header_limit", slow_engines_get_a_longer_header_limit},
    {NULL, NULL}};
