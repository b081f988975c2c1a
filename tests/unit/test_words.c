/** @file test_words.c  Load reports of engines' arbiters that daemons relay to each other. */
#include "base/clock.h"
#include "base/hash.h"
#include "fleet/arbiter_term.h"
#include "fleet/engine_words.h"
#include "fleet/fleet_engine.h"
#include "fleet/slot_ledger.h"
#include "tests/unit/unit_tests.h"

#include <math.h>
#include <string.h>

static void the_most_recent_reports_are_relayed(void) {
    hs_relay_candidate reports[40];
    for (size_t index = 0; index < G_N_ELEMENTS(reports); index++)
        reports[index] = (hs_relay_candidate){index, (index * 7 % 40) * 50};
    CU_ASSERT_EQUAL(hs_engine_reports_pick(reports, 40), HS_MAX_RELAYED_REPORTS);
    for (size_t index = 0; index < HS_MAX_RELAYED_REPORTS; index++)
        CU_ASSERT_EQUAL(reports[index].age_ms, index * 50);
    hs_relay_candidate old[] = {{1, HS_ENGINE_REPORT_VALID_MS}, {2, HS_ENGINE_REPORT_VALID_MS - 1}};
    CU_ASSERT_EQUAL(hs_engine_reports_pick(old, 2), 1);
    CU_ASSERT_EQUAL(old[0].engine_hash, 2);
}

static void report_weight_decays_with_age(void) {
    CU_ASSERT_EQUAL(hs_engine_report_weight(0), 1);
    CU_ASSERT_EQUAL(hs_engine_report_weight(HS_ENGINE_REPORT_RECENT_MS), 1);
    CU_ASSERT_DOUBLE_EQUAL(hs_engine_report_weight(625), 0.5, 1e-9);
    CU_ASSERT_EQUAL(hs_engine_report_weight(HS_ENGINE_REPORT_VALID_MS), 0);
}

/** Engines "e0".. of service "svc". */
static hs_fleet_engines *list_engines(int count) {
    hs_fleet_engines *engines = hs_fleet_engines_new("z");
    for (int index = 0; index < count; index++) {
        hs_engine_entry entry = {.id = g_strdup_printf("e%d", index),
                                 .service = g_strdup("svc"),
                                 .zone = g_strdup("z"),
                                 .slots = 8};
        hs_fleet_engines_put(engines, &entry, 1);
    }
    return engines;
}

static hs_engine_load_report report_on(const char *id, uint32_t online, uint32_t age_ms) {
    return (hs_engine_load_report){
        .engine_hash = hs_hash_bytes(id, strlen(id)), .online = online, .age_ms = age_ms};
}

static double others_on(hs_fleet_engines *engines, const char *id) {
    uint64_t now_ms = hs_clock_monotonic_ms();
    hs_fleet_engines_update_mean_loads(engines, now_ms);
    return hs_fleet_engine_others_online(g_hash_table_lookup(engines->by_id, id), now_ms);
}

/** A newer report replaces an older one from any source; a relayed one is no response. */
static void only_newer_reports_are_stored(void) {
    hs_fleet_engines *engines = list_engines(2);
    hs_fleet_engine *engine = g_hash_table_lookup(engines->by_id, "e0");
    hs_engine_load_report report = report_on("e0", 5, 100);
    hs_fleet_engines_put_relayed_report(engines, &report);
    CU_ASSERT_EQUAL(others_on(engines, "e0"), 5);
    CU_ASSERT_EQUAL(engine->response_count, 0);
    report = report_on("e0", 7, 200);
    hs_fleet_engines_put_relayed_report(engines, &report);
    CU_ASSERT_EQUAL(others_on(engines, "e0"), 5);
    report = report_on("e0", 3, 0);
    hs_fleet_engines_put_report(engines, &report);
    CU_ASSERT_EQUAL(others_on(engines, "e0"), 3);
    CU_ASSERT_EQUAL(engine->response_count, 1);
    report = report_on("e0", 9, 50);
    hs_fleet_engines_put_relayed_report(engines, &report);
    CU_ASSERT_EQUAL(others_on(engines, "e0"), 3);
    CU_ASSERT_EQUAL(others_on(engines, "e1"), 0);
    hs_fleet_engines_free(engines);
}

/** A report made before a request of this daemon started does not include that request. */
static void own_requests_since_a_report_are_added(void) {
    hs_fleet_engines *engines = list_engines(1);
    hs_engine_query query = {.service = "svc"};
    hs_engine_lease *lease = hs_fleet_engines_acquire(engines, &query);
    hs_engine_load_report report = report_on("e0", 6, 100);
    hs_fleet_engines_put_relayed_report(engines, &report);
    CU_ASSERT_EQUAL(others_on(engines, "e0"), 6);
    hs_clock_sleep_ms(5);
    report = report_on("e0", 6, 0);
    hs_fleet_engines_put_relayed_report(engines, &report);
    CU_ASSERT_EQUAL(others_on(engines, "e0"), 5);
    hs_engine_lease_release(lease, NULL, HS_ATTEMPT_DROPPED);
    hs_fleet_engines_free(engines);
}

/** The mean replaces a missing report entirely, and an old report partly. */
static void the_mean_replaces_old_reports(void) {
    hs_fleet_engines *engines = list_engines(6);
    static const char *const recent[] = {"e0", "e1", "e2"};
    for (size_t index = 0; index < G_N_ELEMENTS(recent); index++) {
        hs_engine_load_report report = report_on(recent[index], 5 + (uint32_t)index, 10);
        hs_fleet_engines_put_relayed_report(engines, &report);
    }
    hs_engine_load_report old = report_on("e3", 0, 625);
    hs_fleet_engines_put_relayed_report(engines, &old);
    CU_ASSERT_DOUBLE_EQUAL(others_on(engines, "e3"), 3, 0.1);
    CU_ASSERT_EQUAL(others_on(engines, "e4"), 6);
    hs_clock_sleep_ms(HS_ENGINE_REPORT_RECENT_MS); /* No recent report is left. */
    CU_ASSERT_EQUAL(others_on(engines, "e4"), 0);
    hs_fleet_engines_free(engines);
}

/** With direct responses only, as from older builds, a missing report is not replaced. */
static void without_relayed_reports_no_mean_is_used(void) {
    hs_fleet_engines *engines = list_engines(5);
    static const char *const reported[] = {"e0", "e1", "e2", "e3"};
    for (size_t index = 0; index < G_N_ELEMENTS(reported); index++) {
        hs_engine_load_report report = report_on(reported[index], 7, 0);
        hs_fleet_engines_put_report(engines, &report);
    }
    CU_ASSERT_EQUAL(others_on(engines, "e0"), 7);
    CU_ASSERT_EQUAL(others_on(engines, "e4"), 0);
    hs_clock_sleep_ms(HS_ENGINE_REPORT_RECENT_MS);
    CU_ASSERT_EQUAL(others_on(engines, "e0"), 0);
    CU_ASSERT_FALSE(hs_fleet_engines_is_relaying_reports(engines));
    hs_fleet_engines_free(engines);
}

/** Runs rounds of the arbiter of engine 7 from 1 to @p now_ms. */
static void arbitrate_until(hs_slot_ledger *ledger, uint64_t now_ms) {
    for (uint64_t round_ms = 1; round_ms < now_ms; round_ms += HS_USE_REPORT_INTERVAL_MS) {
        hs_slot_ledger_note_round(ledger, 1, round_ms);
        hs_slot_ledger_set_arbitrated(ledger, 7, true, round_ms);
    }
    hs_slot_ledger_note_round(ledger, 1, now_ms);
}

/** Three daemons' requests fail on engine 7 within 5 ms from @p now_ms on. */
static void fail_engine(hs_slot_ledger *ledger, uint64_t now_ms, GArray *preemptions) {
    static const char *const daemons[] = {"a", "b", "c"};
    for (uint64_t index = 0; index < 6; index++) { /* A start and a failure of each daemon. */
        hs_use_report update = {.daemon = daemons[index / 2], .incarnation = 1};
        update.use = (hs_engine_use){
            .engine_hash = 7, .sequence = index + 1, .slots = 8, .failed = index % 2};
        update.use.online = 1 - update.use.failed;
        hs_slot_ledger_put_report(ledger, &update, now_ms + index, preemptions);
    }
}

/** Reports show that an engine is failing while it is down, and again while a probe is in flight.
 */
static void a_failing_report_ends_with_the_down_time(void) {
    hs_slot_ledger *ledger = hs_slot_ledger_new();
    g_autoptr(GArray) preemptions = g_array_new(FALSE, FALSE, sizeof(hs_preemption_request));
    g_autoptr(GArray) reports = g_array_new(FALSE, FALSE, sizeof(hs_engine_load_report));
    arbitrate_until(ledger, 1000);
    fail_engine(ledger, 1100, preemptions);
    hs_slot_ledger_list(ledger, 1110, reports);
    CU_ASSERT_EQUAL_FATAL(reports->len, 1);
    CU_ASSERT_TRUE(g_array_index(reports, hs_engine_load_report, 0).is_failing);
    g_array_set_size(reports, 0);
    arbitrate_until(ledger, 2200);
    hs_slot_ledger_list(ledger, 2200, reports); /* The down time is over: a probe may be sent. */
    CU_ASSERT_EQUAL_FATAL(reports->len, 1);
    CU_ASSERT_FALSE(g_array_index(reports, hs_engine_load_report, 0).is_failing);
    hs_use_report probe = {.daemon = "a", .incarnation = 1};
    probe.use =
        (hs_engine_use){.engine_hash = 7, .sequence = 9, .slots = 8, .failed = 1, .online = 1};
    CU_ASSERT_FALSE(hs_slot_ledger_put_report(ledger, &probe, 2201, preemptions).is_failing);
    g_array_set_size(reports, 0);
    hs_slot_ledger_list(ledger, 2202, reports);
    CU_ASSERT_TRUE(g_array_index(reports, hs_engine_load_report, 0).is_failing);
    hs_slot_ledger_free(ledger);
}

/**
 * Responses to a daemon whose stream keeps running must not say that the engine is failing once a
 * probe may be sent: they are relayed, and no daemon would send the probe.
 */
static void responses_to_running_streams_end_with_the_down_time(void) {
    hs_slot_ledger *ledger = hs_slot_ledger_new();
    g_autoptr(GArray) preemptions = g_array_new(FALSE, FALSE, sizeof(hs_preemption_request));
    hs_use_report stream = {.daemon = "d", .incarnation = 1};
    stream.use = (hs_engine_use){.engine_hash = 7, .sequence = 1, .slots = 8, .batch = 1};
    hs_slot_ledger_put_report(ledger, &stream, 99, preemptions);
    fail_engine(ledger, 100, preemptions);
    stream.use.sequence = 7;
    CU_ASSERT_TRUE(hs_slot_ledger_put_report(ledger, &stream, 110, preemptions).is_failing);
    stream.use.sequence = 8;
    CU_ASSERT_FALSE(hs_slot_ledger_put_report(ledger, &stream, 1200, preemptions).is_failing);
    hs_use_report probe = {.daemon = "a", .incarnation = 1};
    probe.use =
        (hs_engine_use){.engine_hash = 7, .sequence = 9, .slots = 8, .failed = 1, .online = 1};
    CU_ASSERT_FALSE(hs_slot_ledger_put_report(ledger, &probe, 1201, preemptions).is_failing);
    stream.use.sequence = 10;
    CU_ASSERT_TRUE(hs_slot_ledger_put_report(ledger, &stream, 1202, preemptions).is_failing);
    hs_slot_ledger_free(ledger);
}

/**
 * A sum that may lack the uses of some daemons confirms a request and raises the estimate, but it
 * must not lower the estimate, nor be relayed as if it were complete.
 */
static void a_partial_response_is_a_lower_bound(void) {
    hs_fleet_engines *engines = list_engines(1);
    hs_fleet_engine *engine = g_hash_table_lookup(engines->by_id, "e0");
    hs_engine_load_report partial = report_on("e0", 1, HS_ENGINE_REPORT_VALID_MS);
    hs_engine_load_report complete = report_on("e0", 5, 20);
    hs_fleet_engines_put_relayed_report(engines, &complete);
    hs_fleet_engines_put_report(engines, &partial);
    CU_ASSERT_EQUAL(engine->response_count, 1);
    CU_ASSERT_EQUAL(others_on(engines, "e0"), 5);
    g_autoptr(GArray) relayed = hs_fleet_engines_list_reports(engines);
    CU_ASSERT_EQUAL(relayed->len, 1);
    partial.online = 7;
    hs_fleet_engines_put_report(engines, &partial);
    CU_ASSERT_EQUAL(others_on(engines, "e0"), 7);
    g_autoptr(GArray) held = hs_fleet_engines_list_reports(engines);
    CU_ASSERT_EQUAL(held->len, 0);
    hs_fleet_engines_free(engines);
}

const test_case load_report_tests[] = {
    {"a_partial_response_is_a_lower_bound", a_partial_response_is_a_lower_bound},
    {"the_most_recent_reports_are_relayed", the_most_recent_reports_are_relayed},
    {"report_weight_decays_with_age", report_weight_decays_with_age},
    {"only_newer_reports_are_stored", only_newer_reports_are_stored},
    {"own_requests_since_a_report_are_added", own_requests_since_a_report_are_added},
    {"the_mean_replaces_old_reports", the_mean_replaces_old_reports},
    {"without_relayed_reports_no_mean_is_used", without_relayed_reports_no_mean_is_used},
    {"a_failing_report_ends_with_the_down_time", a_failing_report_ends_with_the_down_time},
    {"responses_to_running_streams_end_with_the_down_time",
     responses_to_running_streams_end_with_the_down_time},
    {NULL, NULL}};
