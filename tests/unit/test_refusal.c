/** @file test_refusal.c  Decisions to hold or refuse, Retry-After, and the state of a service. */
#include "base/clock.h"
#include "base/hash.h"
#include "online/caller_age.h"
#include "online/hold_queue.h"
#include "online/refusal_choice.h"
#include "online/retry_after.h"
#include "tests/unit/unit_tests.h"

#include <string.h>

/** A service with ten slots in use and two waiting requests: a slot becomes free every 100 ms. */
static hs_refusal_view full_view(void) {
    return (hs_refusal_view){.service = {.is_known = true,
                                         .engines = 2,
                                         .healthy = 2,
                                         .slots = 10,
                                         .running = 12,
                                         .waiting = 2,
                                         .run_ms = 1000,
                                         .min_first_byte_ms = 30},
                             .left_ms = 5000};
}

static hs_refusal_verdict verdict_of(const hs_refusal_view *view) {
    return hs_refusal_choose(view).verdict;
}

/** The expected wait and the time to first byte must fit before the deadline, to the ms. */
static void requests_are_held_while_their_wait_ends_in_time(void) {
    hs_refusal_view view = full_view();
    CU_ASSERT_EQUAL(verdict_of(&view), HS_REFUSAL_HOLD);
    CU_ASSERT_EQUAL(hs_refusal_choose(&view).expected_ms, 300);
    view.left_ms = 330;
    CU_ASSERT_EQUAL(verdict_of(&view), HS_REFUSAL_HOLD);
    view.left_ms = 329;
    CU_ASSERT_EQUAL(verdict_of(&view), HS_REFUSAL_QUEUE);
    view.left_ms = 5000;
    view.service.waiting = 100;
    CU_ASSERT_EQUAL(verdict_of(&view), HS_REFUSAL_QUEUE);
    CU_ASSERT_EQUAL(hs_refusal_choose(&view).expected_ms, 10100);
}

/** The observed drain time counts even if the engines' own queues are short. */
static void slow_drain_of_held_requests_refuses_others(void) {
    hs_refusal_view view = full_view();
    view.drain_ms = 4970;
    CU_ASSERT_EQUAL(verdict_of(&view), HS_REFUSAL_HOLD);
    view.drain_ms = 4971;
    CU_ASSERT_EQUAL(verdict_of(&view), HS_REFUSAL_QUEUE);
    CU_ASSERT_EQUAL(hs_refusal_choose(&view).expected_ms, 4971);
    view.may_have_run = true;
    CU_ASSERT_EQUAL(verdict_of(&view), HS_REFUSAL_HOLD);
}

/** The estimate grows with time in which none is placed, and shrinks with each that is. */
static void a_hold_queue_estimates_its_drain_time(void) {
    hs_hold_queue queue = {0};
    CU_ASSERT_EQUAL(hs_hold_queue_expected_ms(&queue, 1000), 0);
    hs_hold_queue_enter(&queue, 1000);
    CU_ASSERT_EQUAL(hs_hold_queue_expected_ms(&queue, 1000), 0);
    CU_ASSERT_EQUAL(hs_hold_queue_expected_ms(&queue, 1200), 400);
    for (int request = 0; request < 9; request++)
        hs_hold_queue_enter(&queue, 1200);
    CU_ASSERT_EQUAL(hs_hold_queue_expected_ms(&queue, 1200), 2200);
    for (int request = 0; request < 5; request++)
        hs_hold_queue_leave(&queue, true, 1400);
    uint64_t draining_ms = hs_hold_queue_expected_ms(&queue, 1400);
    CU_ASSERT(draining_ms >= 480 && draining_ms <= 520);
    for (int request = 0; request < 5; request++)
        hs_hold_queue_leave(&queue, false, 9000);
    CU_ASSERT(hs_hold_queue_expected_ms(&queue, 9000) > 4000); /* None is placed any more. */
    CU_ASSERT_EQUAL(hs_hold_queue_expected_ms(&queue, 10001), 0);
    hs_hold_queue_enter(&queue, 10001);
    CU_ASSERT_EQUAL(hs_hold_queue_expected_ms(&queue, 10001), 0);
}

static void time_waited_alone_causes_no_refusal(void) {
    hs_refusal_view view = full_view();
    for (view.waited_ms = 0; view.waited_ms < 4000; view.waited_ms += 100)
        CU_ASSERT_EQUAL(verdict_of(&view), HS_REFUSAL_HOLD);
}

static void a_service_without_engines_refuses_at_once(void) {
    hs_refusal_view view = full_view();
    view.service.engines = view.service.healthy = view.service.slots = 0;
    view.service.absent_ms = 400;
    view.service.last_absence_ms = 1000;
    CU_ASSERT_EQUAL(verdict_of(&view), HS_REFUSAL_NO_ENGINE);
    CU_ASSERT_EQUAL(hs_refusal_choose(&view).expected_ms, 600);
    view.service.absent_ms = 1500;
    CU_ASSERT_EQUAL(hs_refusal_choose(&view).expected_ms, 1500);
}

static void an_unread_engine_list_does_not_mean_no_engines(void) {
    hs_refusal_view view = full_view();
    view.service = (hs_service_outlook){.run_ms = 300};
    view.left_ms = 2000;
    CU_ASSERT_EQUAL(verdict_of(&view), HS_REFUSAL_HOLD);
    view.waited_ms = 2001;
    CU_ASSERT_EQUAL(verdict_of(&view), HS_REFUSAL_NO_ENGINE);
}

static void requests_wait_for_failed_engines_to_return(void) {
    hs_refusal_view view = full_view();
    view.service.healthy = 0;
    view.service.next_probe_in_ms = 1600;
    CU_ASSERT_EQUAL(verdict_of(&view), HS_REFUSAL_HOLD);
    view.left_ms = 1500;
    CU_ASSERT_EQUAL(verdict_of(&view), HS_REFUSAL_SUSPECTED);
    CU_ASSERT_EQUAL(hs_refusal_choose(&view).expected_ms, 1600);
}

/** With half of the slots free and none waiting, requests are refused for their deadline only. */
static void requests_are_held_while_half_of_the_slots_are_free(void) {
    for (uint32_t slots = 1; slots <= 40; slots++)
        for (uint32_t running = 0; 2 * running < slots; running++)
            for (uint64_t left_ms = 16; left_ms < 4000; left_ms += 97) {
                hs_refusal_view view = full_view();
                view.service.slots = slots;
                view.service.running = running;
                view.service.waiting = 0;
                view.left_ms = left_ms;
                view.service.run_ms = 60000;
                hs_refusal_verdict verdict = verdict_of(&view);
                CU_ASSERT(verdict == HS_REFUSAL_HOLD || verdict == HS_REFUSAL_OVER);
            }
}

static void requests_that_may_have_run_are_held_until_their_deadline(void) {
    hs_refusal_view view = full_view();
    view.may_have_run = true;
    view.service.waiting = 1000;
    CU_ASSERT_EQUAL(verdict_of(&view), HS_REFUSAL_HOLD);
    view.service = (hs_service_outlook){.is_known = true};
    CU_ASSERT_EQUAL(verdict_of(&view), HS_REFUSAL_HOLD);
    for (view.left_ms = 1; view.left_ms <= 5000; view.left_ms++) {
        CU_ASSERT_EQUAL(verdict_of(&view), HS_REFUSAL_HOLD);
        CU_ASSERT(hs_refusal_choose(&view).pause_ms <= view.left_ms);
    }
    view.left_ms = 0;
    CU_ASSERT_EQUAL(verdict_of(&view), HS_REFUSAL_OVER);
}

static void drain_time_follows_the_observed_rate(void) {
    CU_ASSERT_EQUAL(hs_retry_after_drain_ms(500, 1000, 2000, 7), 1000);
    CU_ASSERT_EQUAL(hs_retry_after_drain_ms(500, 0, 2000, 7), 7);
    CU_ASSERT_EQUAL(hs_retry_after_drain_ms(500, 10, 0, 7), 7);
    CU_ASSERT_EQUAL(hs_retry_after_absence_ms(0, 0), 0);
}

/** Callers refused together return evenly spread over the expected time. */
static void callers_do_not_return_together(void) {
    enum { CALLERS = 1000, PARTS = 10, EXPECTED_MS = 500 };
    int parts[PARTS] = {0};
    for (int caller = 0; caller < CALLERS; caller++) {
        g_autofree char *id = g_strdup_printf("request-%d", caller);
        uint64_t after_ms = hs_retry_after_spread_ms(EXPECTED_MS, hs_hash_bytes(id, strlen(id)));
        CU_ASSERT(after_ms >= EXPECTED_MS && after_ms < 2 * EXPECTED_MS);
        parts[(after_ms - EXPECTED_MS) * PARTS / EXPECTED_MS]++;
    }
    for (int part = 0; part < PARTS; part++)
        CU_ASSERT(parts[part] > CALLERS / PARTS / 2 && parts[part] < CALLERS / PARTS * 2);
    CU_ASSERT(hs_retry_after_spread_ms(0, 12345) >= HS_RETRY_AFTER_MIN_MS);
}

/** A shorter timeout than the longest recent one marks a returning caller; old ones expire. */
static void a_returning_caller_is_detected_by_its_timeout(void) {
    hs_caller_age age = {0};
    CU_ASSERT_EQUAL(hs_caller_age_note(&age, 5000), 0);
    CU_ASSERT_EQUAL(hs_caller_age_note(&age, 5000), 0);
    CU_ASSERT_EQUAL(hs_caller_age_note(&age, 3500), 1500);
    CU_ASSERT_EQUAL(hs_caller_age_note(&age, 0), 0);
    CU_ASSERT_EQUAL(hs_caller_age_note(&age, 5000), 0);
    CU_ASSERT_EQUAL(age.longest_ms, 5000);
    for (int request = 0; request < 1000; request++)
        hs_caller_age_note(&age, 800);
    CU_ASSERT_EQUAL(hs_caller_age_note(&age, 800), 0);
    hs_caller_ages *ages = hs_caller_ages_new();
    CU_ASSERT_EQUAL(hs_caller_ages_note(ages, "a", 5000), 0);
    CU_ASSERT_EQUAL(hs_caller_ages_note(ages, "b", 800), 0);
    CU_ASSERT_EQUAL(hs_caller_ages_note(ages, "a", 4000), 1000);
    hs_caller_ages_free(ages);
}

static void put_engine(hs_fleet_engines *engines, const char *id, bool draining) {
    hs_engine_entry entry = {.id = g_strdup(id),
                             .service = g_strdup("svc"),
                             .zone = g_strdup("z"),
                             .address = 1,
                             .port = 1,
                             .slots = 4,
                             .draining = draining};
    hs_fleet_engines_put(engines, &entry, hs_clock_monotonic_ms());
}

static void read_list(hs_fleet_engines *engines) {
    GHashTable *listed = g_hash_table_new(g_str_hash, g_str_equal);
    hs_fleet_engines_keep_only(engines, listed, hs_clock_monotonic_ms() + 60000);
    g_hash_table_destroy(listed);
}

static void an_outlook_counts_engines_slots_and_absences(void) {
    hs_fleet_engines *engines = hs_fleet_engines_new("z");
    CU_ASSERT_FALSE(hs_fleet_engines_outlook(engines, "svc").is_known);
    read_list(engines);
    hs_clock_sleep_ms(30);
    hs_service_outlook none = hs_fleet_engines_outlook(engines, "svc");
    CU_ASSERT_TRUE(none.is_known);
    CU_ASSERT_EQUAL(none.engines, 0);
    CU_ASSERT(none.absent_ms >= 30 && none.last_absence_ms == 0);
    put_engine(engines, "e1", false);
    put_engine(engines, "e2", true);
    hs_engine_query query = {.service = "svc"};
    hs_engine_lease *leases[6];
    for (size_t index = 0; index < G_N_ELEMENTS(leases); index++)
        leases[index] = hs_fleet_engines_acquire(engines, &query);
    hs_service_outlook present = hs_fleet_engines_outlook(engines, "svc");
    CU_ASSERT_EQUAL(present.engines, 1);
    CU_ASSERT_EQUAL(present.slots, 4);
    CU_ASSERT_EQUAL(present.running, 6);
    CU_ASSERT_EQUAL(present.waiting, 2);
    CU_ASSERT_EQUAL(present.absent_ms, 0);
    CU_ASSERT(present.last_absence_ms >= 30);
    for (size_t index = 1; index < G_N_ELEMENTS(leases); index++)
        hs_engine_lease_release(leases[index], NULL, HS_ATTEMPT_DROPPED);
    hs_engine_lease_release(leases[0], NULL, HS_ATTEMPT_UNREACHABLE);
    hs_service_outlook failing = hs_fleet_engines_outlook(engines, "svc");
    CU_ASSERT_EQUAL(failing.healthy, 0);
    CU_ASSERT(failing.next_probe_in_ms > 0);
    hs_fleet_engines_free(engines);
}

static void count_free_slot(const char *service, void *user_data) {
    CU_ASSERT_STRING_EQUAL(service, "svc");
    (*(uint32_t *)user_data)++;
}

static void report_online(hs_fleet_engines *engines, const char *id, uint32_t online) {
    hs_engine_load_report total = {.engine_hash = hs_hash_bytes(id, strlen(id)), .online = online};
    hs_fleet_engines_put_report(engines, &total);
}

/** Arbiters' load reports determine the pressure, which is cached for some ms, and free slots. */
static void load_reports_determine_the_pressure(void) {
    hs_fleet_engines *engines = hs_fleet_engines_new("z");
    uint32_t free_slots = 0;
    hs_fleet_engines_set_slot_observer(engines, count_free_slot, &free_slots);
    put_engine(engines, "e1", false);
    put_engine(engines, "e2", false);
    CU_ASSERT_EQUAL(free_slots, 2);
    CU_ASSERT_FALSE(hs_fleet_engines_pressure(engines, "svc").is_short);
    report_online(engines, "e1", 4);
    report_online(engines, "e2", 5);
    CU_ASSERT_EQUAL(free_slots, 2);
    hs_clock_sleep_ms(30);
    hs_service_pressure pressure = hs_fleet_engines_pressure(engines, "svc");
    CU_ASSERT_EQUAL(pressure.reported, 2);
    CU_ASSERT_TRUE(pressure.is_short);
    CU_ASSERT_DOUBLE_EQUAL(pressure.wait_ms, 2 * 300.0 / 8, 1e-9);
    CU_ASSERT_TRUE(hs_fleet_engines_outlook(engines, "svc").pressure.is_short);
    report_online(engines, "e1", 3);
    CU_ASSERT_EQUAL(free_slots, 3);
    hs_engine_query query = {.service = "svc"};
    hs_engine_lease_release(hs_fleet_engines_acquire(engines, &query), NULL, HS_ATTEMPT_SERVED);
    CU_ASSERT_EQUAL(free_slots, 4);
    hs_fleet_engines_free(engines);
}

static void the_refusal_choice_ignores_pressure(void) {
    for (uint64_t left_ms = 0; left_ms < 6000; left_ms += 7) {
        hs_refusal_view view = full_view();
        view.left_ms = left_ms;
        hs_refusal_choice before = hs_refusal_choose(&view);
        view.service.pressure =
            (hs_service_pressure){.engines = 2, .reported = 2, .is_short = true, .wait_ms = 9000};
        hs_refusal_choice with = hs_refusal_choose(&view);
        CU_ASSERT_EQUAL(with.verdict, before.verdict);
        CU_ASSERT_EQUAL(with.expected_ms, before.expected_ms);
        CU_ASSERT_EQUAL(with.pause_ms, before.pause_ms);
    }
}

const test_case refusal_choice_tests[] = {
    {"load_reports_determine_the_pressure", load_reports_determine_the_pressure},
    {"the_refusal_choice_ignores_pressure", the_refusal_choice_ignores_pressure},
    {"requests_are_held_while_their_wait_ends_in_time",
     requests_are_held_while_their_wait_ends_in_time},
    {"slow_drain_of_held_requests_refuses_others", slow_drain_of_held_requests_refuses_others},
    {"a_hold_queue_estimates_its_drain_time", a_hold_queue_estimates_its_drain_time},
    {"time_waited_alone_causes_no_refusal", time_waited_alone_causes_no_refusal},
    {"a_service_without_engines_refuses_at_once", a_service_without_engines_refuses_at_once},
    {"an_unread_engine_list_does_not_mean_no_engines",
     an_unread_engine_list_does_not_mean_no_engines},
    {"requests_wait_for_failed_engines_to_return", requests_wait_for_failed_engines_to_return},
    {"requests_are_held_while_half_of_the_slots_are_free",
     requests_are_held_while_half_of_the_slots_are_free},
    {"requests_that_may_have_run_are_held_until_their_deadline",
     requests_that_may_have_run_are_held_until_their_deadline},
    {"drain_time_follows_the_observed_rate", drain_time_follows_the_observed_rate},
    {"callers_do_not_return_together", callers_do_not_return_together},
    {"a_returning_caller_is_detected_by_its_timeout",
     a_returning_caller_is_detected_by_its_timeout},
    {"an_outlook_counts_engines_slots_and_absences", an_outlook_counts_engines_slots_and_absences},
    {NULL, NULL}};
