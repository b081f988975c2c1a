/** @file test_warmup.c  Cold engines: their state, the budget of permits, and leases. */
#include "base/clock.h"
#include "directory/warmup_arbiter.h"
#include "fleet/engine_attempt.h"
#include "fleet/engine_evacuation.h"
#include "fleet/fleet_engine.h"
#include "fleet/warmup_budget.h"
#include "http/http_fields.h"
#include "tests/support/scripted_peer.h"
#include "tests/unit/unit_tests.h"

#include <arpa/inet.h>
#include <string.h>

#define WARMUP_MS 8000
#define SERVICE "svc"

static const hs_warmup_limit limit = {.warmup_ms = WARMUP_MS, .per_s = 2};
static const hs_warmup_limit none;

/** Guards against an engine that counts as warm by an old entry, or as cold for too long. */
static void the_newest_source_decides_whether_an_engine_is_cold(void) {
    hs_warmup_state state = {0};
    CU_ASSERT_FALSE(hs_warmup_state_is_cold(&state, &limit, 1));
    hs_warmup_state_note_entry(&state, 500, 1000);
    CU_ASSERT(hs_warmup_state_is_cold(&state, &limit, 1499));
    CU_ASSERT_FALSE(hs_warmup_state_is_cold(&state, &limit, 1500));
    CU_ASSERT_FALSE(hs_warmup_state_is_cold(&state, &none, 1499));
    CU_ASSERT_FALSE(hs_warmup_state_is_cold(&state, &(hs_warmup_limit){.warmup_ms = WARMUP_MS},
                                            1499)); /* No limit per second. */
    hs_warmup_state_note_entry(&state, 0, 1100);
    CU_ASSERT_FALSE(hs_warmup_state_is_cold(&state, &limit, 1100));
    hs_warmup_state_note_answer(&state, 3000, 2000);
    hs_warmup_state_note_entry(&state, 0, 2100); /* May have been written before the answer. */
    CU_ASSERT_EQUAL(hs_warmup_state_reason(&state, 4999), HS_COLD_ANSWER);
    hs_warmup_state_note_answer(&state, 0, 2200);
    CU_ASSERT_EQUAL(hs_warmup_state_reason(&state, 2200), HS_COLD_NOT);
    hs_warmup_state_note_denial(&state, 2300);
    CU_ASSERT_EQUAL(hs_warmup_state_reason(&state, 2301), HS_COLD_ARBITER);
    CU_ASSERT_EQUAL(hs_warmup_state_reason(&state, 2300 + HS_WARMUP_ARBITER_VALID_MS), HS_COLD_NOT);
}

/** Guards against engines that count as warm right after an evacuation by their old entry. */
static void engines_are_cold_after_an_evacuation(void) {
    hs_warmup_state state = {0};
    hs_warmup_state_note_evacuated(&state, 10000, 10000 + WARMUP_MS);
    hs_warmup_state_note_entry(&state, 0, 10000 + HS_WARMUP_MAX_ENTRY_DELAY_MS - 1);
    CU_ASSERT_EQUAL(hs_warmup_state_reason(&state, 12000), HS_COLD_EVACUATION);
    CU_ASSERT_EQUAL(hs_warmup_state_left_ms(&state, 10000 + WARMUP_MS), 0);
    hs_warmup_state_note_entry(&state, 0, 10000 + HS_WARMUP_MAX_ENTRY_DELAY_MS);
    CU_ASSERT_EQUAL(hs_warmup_state_reason(&state, 12000), HS_COLD_NOT);
    hs_warmup_state_note_evacuated(&state, 20000, 20000 + WARMUP_MS);
    hs_warmup_state_note_answer(&state, 0, 20001); /* The engine's own current report. */
    CU_ASSERT_EQUAL(hs_warmup_state_reason(&state, 20002), HS_COLD_NOT);
}

/** Guards against a burst after a pause, and against grants before the settle time has passed. */
static void permits_are_paced_and_begin_empty(void) {
    hs_warmup_budget budget = {0};
    uint32_t granted = 0;
    CU_ASSERT_FALSE(hs_warmup_budget_request(&budget, 4, 5000, 1000).is_granted);
    CU_ASSERT_FALSE(hs_warmup_budget_request(&budget, 4, 5000, 4999).is_granted);
    CU_ASSERT_FALSE(hs_warmup_budget_request(&budget, 4, 5000, 5000).is_granted);
    hs_warmup_verdict denied = hs_warmup_budget_request(&budget, 4, 5000, 5100);
    CU_ASSERT(denied.retry_ms >= 100 && denied.retry_ms <= 1200);
    CU_ASSERT(hs_warmup_budget_request(&budget, 4, 5000, 5250).is_granted);
    CU_ASSERT_FALSE(hs_warmup_budget_request(&budget, 4, 5000, 5251).is_granted);
    for (uint64_t now_ms = 60000; now_ms < 61000; now_ms += 10)
        granted += hs_warmup_budget_request(&budget, 4, 5000, now_ms).is_granted;
    CU_ASSERT_EQUAL(granted, 5); /* One at once and four in the second. */
    CU_ASSERT_FALSE(hs_warmup_budget_request(&budget, 4, 70000, 70000).is_granted);
    CU_ASSERT_FALSE(hs_warmup_budget_request(&budget, 0, 5000, 90000).is_granted);
}

/** Guards against two halves of a partition that together grant more than the limit. */
static void a_share_falls_at_once_and_rises_late(void) {
    hs_warmup_share share = {0};
    CU_ASSERT_EQUAL(hs_warmup_share_update(&share, &(hs_warmup_members){60, 60}, 1), 1);
    CU_ASSERT_EQUAL(hs_warmup_share_update(&share, &(hs_warmup_members){30, 60}, 2), 0.5);
    CU_ASSERT_EQUAL(hs_warmup_share_update(&share, &(hs_warmup_members){60, 60}, 3), 0.5);
    CU_ASSERT_EQUAL(hs_warmup_share_update(&share, &(hs_warmup_members){45, 60}, 4), 0.5);
    uint64_t later_ms = 3 + HS_WARMUP_SETTLE_MS;
    CU_ASSERT_EQUAL(hs_warmup_share_update(&share, &(hs_warmup_members){60, 60}, later_ms), 0.75);
    CU_ASSERT_EQUAL(hs_warmup_share_update(&share, &(hs_warmup_members){0, 0}, later_ms), 0);
}

/** Guards against a daemon that goes on granting after it was suspended. */
static void a_suspended_arbiter_settles_again(void) {
    hs_warmup_clock clock = {0};
    hs_warmup_clock_note(&clock, 1000);
    CU_ASSERT_EQUAL(clock.open_ms, 1000 + HS_WARMUP_SETTLE_MS);
    hs_warmup_clock_note(&clock, 1000 + HS_WARMUP_MAX_PAUSE_MS);
    CU_ASSERT_EQUAL(clock.open_ms, 1000 + HS_WARMUP_SETTLE_MS);
    hs_warmup_clock_note(&clock, 9000);
    CU_ASSERT_EQUAL(clock.open_ms, 9000 + HS_WARMUP_SETTLE_MS);
}

/** Answers of the arbiter in the tests below. */
typedef struct {
    hs_fleet_engines *engines;
    hs_permit permit;
    uint32_t retry_ms;
    uint32_t requests; /**< For permits. */
} arbiter;

static void answer(const hs_engine_use *use, bool started, void *user_data) {
    arbiter *answering = user_data;
    hs_engine_load_report report = {.engine_hash = use->engine_hash,
                                    .online = use->online,
                                    .permit = answering->permit,
                                    .permit_valid_ms = HS_WARMUP_PERMIT_VALID_MS,
                                    .permit_retry_ms = answering->retry_ms};
    answering->requests += use->wants_permit;
    if (started)
        hs_fleet_engines_put_report(answering->engines, &report);
}

static void put_engine(hs_fleet_engines *engines, const char *id, uint32_t warmup_left_ms) {
    hs_engine_entry entry = {.id = g_strdup(id),
                             .service = g_strdup(SERVICE),
                             .zone = g_strdup("z"),
                             .slots = 8,
                             .warmup_left_ms = warmup_left_ms};
    hs_fleet_engines_put(engines, &entry, hs_clock_monotonic_ms());
}

static const hs_engine_query query = {.service = SERVICE,
                                      .warmup = {.warmup_ms = WARMUP_MS, .per_s = 2}};

/** Acquires, confirms and sends; returns whether the request was sent. */
static bool send_one(hs_fleet_engines *engines, const char *engine_id) {
    hs_engine_lease *lease = hs_fleet_engines_acquire(engines, &query);
    if (lease == NULL)
        return false;
    CU_ASSERT_STRING_EQUAL(hs_engine_lease_id(lease), engine_id);
    bool sent = hs_engine_lease_confirm(lease, 10) != HS_LEASE_NOT_PERMITTED &&
                hs_engine_lease_use_permit(lease);
    hs_engine_lease_release(lease, NULL, HS_ATTEMPT_DROPPED);
    return sent;
}

/** Guards against a request to a cold engine without a permit, and against a busy loop. */
static void a_cold_engine_gets_no_request_without_a_permit(void) {
    arbiter answering = {.engines = hs_fleet_engines_new("z")};
    hs_fleet_engines *engines = answering.engines;
    put_engine(engines, "cold", WARMUP_MS);
    CU_ASSERT_FALSE(send_one(engines, "cold")); /* There is no arbiter. */
    CU_ASSERT_PTR_NULL(hs_fleet_engines_acquire(engines, &query));
    ((hs_fleet_engine *)g_hash_table_lookup(engines->by_id, "cold"))->warmup.requested_ms = 0;
    hs_fleet_engines_set_use_observer(engines, answer, &answering);
    answering.permit = HS_PERMIT_DENIED;
    answering.retry_ms = 60;
    CU_ASSERT_FALSE(send_one(engines, "cold"));
    CU_ASSERT_FALSE(send_one(engines, "cold"));
    CU_ASSERT_EQUAL(answering.requests, 1); /* The second waits for the retry time. */
    hs_clock_sleep_ms(70);
    answering.permit = HS_PERMIT_GRANTED;
    CU_ASSERT(send_one(engines, "cold"));
    CU_ASSERT_EQUAL(answering.requests, 2);
    answering.permit = HS_PERMIT_NONE; /* An older build answers without a verdict. */
    CU_ASSERT_FALSE(send_one(engines, "cold"));
    hs_fleet_engines_set_use_observer(engines, NULL, NULL);
    hs_fleet_engines_free(engines);
}

/** Guards against a permit that is used twice, used late or lost with a lease that is dropped. */
static void a_permit_is_for_one_request_in_time(void) {
    arbiter answering = {.engines = hs_fleet_engines_new("z"), .permit = HS_PERMIT_GRANTED};
    hs_fleet_engines *engines = answering.engines;
    put_engine(engines, "cold", WARMUP_MS);
    hs_fleet_engines_set_use_observer(engines, answer, &answering);
    hs_engine_lease *lease = hs_fleet_engines_acquire(engines, &query);
    CU_ASSERT_EQUAL(hs_engine_lease_confirm(lease, 10), HS_LEASE_CONFIRMED);
    hs_engine_lease_release(lease, NULL, HS_ATTEMPT_DROPPED); /* Not sent. */
    CU_ASSERT(send_one(engines, "cold"));
    CU_ASSERT_EQUAL(answering.requests, 1);
    lease = hs_fleet_engines_acquire(engines, &query);
    CU_ASSERT_EQUAL(hs_engine_lease_confirm(lease, 10), HS_LEASE_CONFIRMED);
    hs_clock_sleep_ms(HS_WARMUP_PERMIT_VALID_MS + 5);
    CU_ASSERT_FALSE(hs_engine_lease_use_permit(lease));
    hs_engine_lease_release(lease, NULL, HS_ATTEMPT_DROPPED);
    CU_ASSERT_EQUAL(engines->permits.used, 1);
    CU_ASSERT_EQUAL(engines->permits.expired, 1);
    hs_fleet_engines_set_use_observer(engines, NULL, NULL);
    hs_fleet_engines_free(engines);
}

/** Guards against a daemon that does not know that the engine turned cold, and sends anyway. */
static void an_unrequested_denial_stops_a_request(void) {
    arbiter answering = {.engines = hs_fleet_engines_new("z"), .permit = HS_PERMIT_DENIED};
    hs_fleet_engines *engines = answering.engines;
    put_engine(engines, "e", 0);
    hs_fleet_engines_set_use_observer(engines, answer, &answering);
    CU_ASSERT_FALSE(send_one(engines, "e"));
    CU_ASSERT_EQUAL(answering.requests, 0);
    answering.permit = HS_PERMIT_GRANTED;
    CU_ASSERT(send_one(engines, "e"));
    CU_ASSERT_EQUAL(answering.requests, 1);
    hs_fleet_engines_set_use_observer(engines, NULL, NULL);
    hs_fleet_engines_free(engines);
}

/** Guards against a warm engine with free slots that is passed over, and a cold one that idles. */
static void cold_engines_are_used_when_others_are_full(void) {
    hs_engine_speed speed = {.tokens_per_ms = 50, .run_ms = 1000};
    hs_engine_candidate list[2] = {{.slots = 8, .running = 7}, {.slots = 8, .needs_permit = true}};
    CU_ASSERT_EQUAL(hs_engine_choice_pick(list, 2, 0, &speed), 0);
    list[0].running = 8;
    CU_ASSERT_EQUAL(hs_engine_choice_pick(list, 2, 0, &speed), 1);
    CU_ASSERT_EQUAL(hs_warmup_limit_slots(&limit, 8, 1000), 2);
    CU_ASSERT_EQUAL(hs_warmup_limit_slots(&limit, 8, 60000), 8);
}

/** Checks that an engine counts as cold after an attempt ended like this. */
static void check_attempt_makes_cold(hs_attempt_end end) {
    hs_fleet_engines *engines = hs_fleet_engines_new("z");
    put_engine(engines, "e", 0);
    hs_engine_query query = {.service = SERVICE, .warmup = limit};
    hs_engine_lease *lease = hs_fleet_engines_acquire(engines, &query);
    CU_ASSERT_PTR_NOT_NULL_FATAL(lease);
    hs_engine_lease_release(lease, NULL, end);
    const hs_fleet_engine *engine = g_hash_table_lookup(engines->by_id, "e");
    CU_ASSERT_TRUE(hs_engine_warmup_is_cold(engines, engine, hs_clock_monotonic_ms()));
    hs_fleet_engines_free(engines);
}

/** Guards against requests to an engine that started anew before its entry reports it. */
static void an_unreachable_engine_counts_as_cold(void) {
    hs_warmup_state state = {0};
    hs_warmup_state_note_entry(&state, 0, 1000);
    CU_ASSERT_FALSE(hs_warmup_state_is_cold(&state, &limit, 1000));
    hs_warmup_state_note_lost(&state, HS_COLD_UNREACHABLE, 2000, 2000 + WARMUP_MS);
    CU_ASSERT_TRUE(hs_warmup_state_is_cold(&state, &limit, 2001));
    CU_ASSERT_FALSE(hs_warmup_state_is_cold(&state, &none, 2001));
    hs_warmup_state_note_entry(&state, 0, 2500); /* May be from before the new start. */
    CU_ASSERT_TRUE(hs_warmup_state_is_cold(&state, &limit, 2501));
    hs_warmup_state_note_entry(&state, 0, 2000 + HS_WARMUP_MAX_ENTRY_DELAY_MS);
    CU_ASSERT_FALSE(hs_warmup_state_is_cold(&state, &limit, 4001));
    check_attempt_makes_cold(HS_ATTEMPT_UNREACHABLE);
}

/** Guards against requests to an engine that restarted between two requests. */
static void an_engine_that_closed_a_connection_counts_as_cold(void) {
    hs_warmup_state state = {0};
    hs_warmup_state_note_lost(&state, HS_COLD_CLOSED, 2000, 2000 + WARMUP_MS);
    CU_ASSERT_TRUE(hs_warmup_state_is_cold(&state, &limit, 2001));
    hs_warmup_state_note_entry(&state, 0, 2500); /* May be from before the restart. */
    CU_ASSERT_TRUE(hs_warmup_state_is_cold(&state, &limit, 2501));
    hs_warmup_state_note_answer(&state, 0, 2600);
    CU_ASSERT_FALSE(hs_warmup_state_is_cold(&state, &limit, 2601));
    hs_warmup_state_note_lost(&state, HS_COLD_CLOSED, 3000, 3000 + WARMUP_MS);
    hs_warmup_state_note_entry(&state, 0, 3000 + HS_WARMUP_MAX_ENTRY_DELAY_MS);
    CU_ASSERT_FALSE(hs_warmup_state_is_cold(&state, &limit, 5001));
    check_attempt_makes_cold(HS_ATTEMPT_BROKEN);
}

/** Guards against free slots of cold engines that let requests wait for nothing. */
static void a_cold_engine_counts_by_its_rate(void) {
    hs_fleet_engines *engines = hs_fleet_engines_new("z");
    put_engine(engines, "warm", 0);
    put_engine(engines, "cold", WARMUP_MS);
    hs_fleet_engines_speed(engines, SERVICE)->run_ms = 1000;
    CU_ASSERT_EQUAL(hs_fleet_engines_outlook(engines, SERVICE).slots, 16); /* No limit is known. */
    hs_engine_warmup_set_limit(engines, SERVICE, &limit);
    CU_ASSERT_EQUAL(hs_fleet_engines_outlook(engines, SERVICE).slots, 10);
    CU_ASSERT_EQUAL(hs_fleet_engines_capacity(engines, SERVICE).slots, 10);
    hs_fleet_engines_put_evacuation_record(engines, "z", true, 1);
    hs_fleet_engines_put_evacuation_record(engines, "z", false, 2);
    CU_ASSERT_EQUAL(hs_fleet_engines_outlook(engines, SERVICE).slots, 4);
    g_autofree char *text = hs_fleet_engines_describe_warmup(engines);
    CU_ASSERT_PTR_NOT_NULL(strstr(text, "heathsail_engines_cold{service=\"svc\"} 2\n"));
    hs_fleet_engines_free(engines);
}

/** Guards against the last check of an attempt, and an item, that are sent regardless. */
static void an_attempt_without_a_permit_opens_no_connection(void) {
    scripted_peer *peer = scripted_peer_start();
    scripted_peer_set(peer, &(peer_script){.bytes = "", .ending = PEER_CLOSES});
    arbiter answering = {.engines = hs_fleet_engines_new("z"), .permit = HS_PERMIT_DENIED};
    GArray *fields = hs_http_fields_new();
    for (int index = 0; index < 6; index++) {
        hs_engine_entry entry = {.id = g_strdup_printf("e%d", index),
                                 .service = g_strdup(SERVICE),
                                 .zone = g_strdup("z"),
                                 .address = INADDR_LOOPBACK,
                                 .port = scripted_peer_port(peer),
                                 .slots = 4,
                                 .warmup_left_ms = index < 3 ? WARMUP_MS : 0};
        hs_fleet_engines_put(answering.engines, &entry, hs_clock_monotonic_ms());
    }
    hs_fleet_engines_set_use_observer(answering.engines, answer, &answering);
    for (int work = HS_WORK_ONLINE; work <= HS_WORK_BATCH; work++) {
        hs_attempt_parameters parameters = {
            .query = query,
            .request = {.method = "POST", .target = "/", .fields = fields, .request_id = "r"},
            .body = "",
            .wait = {.deadline = hs_clock_monotonic_ms() + 500, .watched = HS_WATCH_NOTHING}};
        hs_attempt attempt;
        parameters.query.work = (hs_work_class)work;
        CU_ASSERT_FALSE(hs_attempt_start(answering.engines, &parameters, &attempt));
        CU_ASSERT_PTR_NULL(attempt.lease);
        CU_ASSERT_EQUAL(attempt.run, HS_RUN_NOT_EXECUTED);
    }
    CU_ASSERT_EQUAL(hs_fleet_engines_opened_connection_count(answering.engines), 0);
    hs_fleet_engines_set_use_observer(answering.engines, NULL, NULL);
    hs_fleet_engines_free(answering.engines);
    hs_http_fields_free(fields);
    scripted_peer_stop(peer);
}

static bool is_own(uint64_t engine_hash, void *user_data) {
    (void)engine_hash;
    return *(const bool *)user_data;
}

/** Guards against a share that a seed lowers, whose daemon is known by its own id as well. */
static void members_at_a_live_address_count_once(void) {
    hs_error error = {0};
    hs_member self = {.id = (char *)"a",
                      .zone = (char *)"z",
                      .incarnation = 1,
                      .address = INADDR_LOOPBACK,
                      .peer_port = 7};
    hs_membership_service_settings settings = {.probe_interval_ms = 100};
    hs_peer_socket *socket = hs_peer_socket_new("127.0.0.1", 0, &error);
    CU_ASSERT_PTR_NOT_NULL_FATAL(socket);
    hs_membership_service *membership = hs_membership_service_new(&self, &settings, socket);
    hs_fleet_engines *engines = hs_fleet_engines_new("z");
    hs_engine_warmup_set_limit(engines, SERVICE, &limit);
    hs_warmup_arbiter *granting = hs_warmup_arbiter_new(engines, membership, is_own, NULL);
    hs_membership *members = hs_membership_service_lock(membership);
    hs_membership_propose(members, "seed-1", INADDR_LOOPBACK, 7, 1);
    hs_membership_service_unlock(membership);
    hs_warmup_arbiter_tick(granting);
    CU_ASSERT_EQUAL(hs_warmup_arbiter_share(granting), 1);
    members = hs_membership_service_lock(membership);
    hs_membership_propose(members, "b", INADDR_LOOPBACK, 8, 1);
    hs_membership_service_unlock(membership);
    hs_warmup_arbiter_tick(granting);
    CU_ASSERT_EQUAL(hs_warmup_arbiter_share(granting), 0.5);
    hs_warmup_arbiter_free(granting);
    hs_fleet_engines_free(engines);
    hs_membership_service_free(membership);
    hs_peer_socket_free(socket);
}

/** Guards against permits of a daemon that has just started, or is not the engine's arbiter. */
static void an_arbiter_grants_after_the_settle_time(void) {
    hs_error error = {0};
    hs_member self = {.id = (char *)"a", .zone = (char *)"z", .incarnation = 1, .peer_port = 1};
    hs_membership_service_settings settings = {.probe_interval_ms = 100};
    hs_peer_socket *socket = hs_peer_socket_new("127.0.0.1", 0, &error);
    CU_ASSERT_PTR_NOT_NULL_FATAL(socket);
    hs_membership_service *membership = hs_membership_service_new(&self, &settings, socket);
    hs_fleet_engines *engines = hs_fleet_engines_new("z");
    bool is_arbiter = true;
    hs_warmup_arbiter *granting = hs_warmup_arbiter_new(engines, membership, is_own, &is_arbiter);
    put_engine(engines, "cold", WARMUP_MS);
    hs_engine_use use = {
        .engine_hash = ((hs_fleet_engine *)g_hash_table_lookup(engines->by_id, "cold"))->hash};
    hs_engine_load_report load = {0};
    hs_warmup_arbiter_decide(granting, &use, &load);
    CU_ASSERT_EQUAL(load.permit, HS_PERMIT_NONE); /* The service has no limit. */
    hs_engine_warmup_set_limit(engines, SERVICE, &limit);
    hs_warmup_arbiter_tick(granting);
    CU_ASSERT_EQUAL(hs_warmup_arbiter_share(granting), 1);
    hs_warmup_arbiter_decide(granting, &use, &load);
    CU_ASSERT_EQUAL(load.permit, HS_PERMIT_DENIED);
    CU_ASSERT_EQUAL(load.permit_retry_ms, 0); /* It was not requested. */
    use.wants_permit = true;
    uint64_t started_ms = hs_clock_monotonic_ms();
    uint64_t granted_ms = 0;
    while (granted_ms == 0 && hs_clock_monotonic_ms() < started_ms + HS_WARMUP_SETTLE_MS + 1500) {
        hs_warmup_arbiter_tick(granting);
        hs_warmup_arbiter_decide(granting, &use, &load);
        granted_ms = load.permit == HS_PERMIT_GRANTED ? hs_clock_monotonic_ms() : 0;
        hs_clock_sleep_ms(50);
    }
    CU_ASSERT(granted_ms >= started_ms + HS_WARMUP_SETTLE_MS + 400);
    hs_clock_sleep_ms(600);
    is_arbiter = false;
    hs_warmup_arbiter_decide(granting, &use, &load);
    CU_ASSERT_EQUAL(load.permit, HS_PERMIT_DENIED);
    is_arbiter = true;
    hs_warmup_arbiter_decide(granting, &use, &load);
    CU_ASSERT_EQUAL(load.permit, HS_PERMIT_DENIED); /* It was not the arbiter a moment ago. */
    hs_warmup_arbiter_free(granting);
    hs_fleet_engines_free(engines);
    hs_membership_service_free(membership);
    hs_peer_socket_free(socket);
}

const test_case warmup_tests[] = {
    {"the_newest_source_decides_whether_an_engine_is_cold",
     the_newest_source_decides_whether_an_engine_is_cold},
    {"engines_are_cold_after_an_evacuation", engines_are_cold_after_an_evacuation},
    {"permits_are_paced_and_begin_empty", permits_are_paced_and_begin_empty},
    {"a_share_falls_at_once_and_rises_late", a_share_falls_at_once_and_rises_late},
    {"a_suspended_arbiter_settles_again", a_suspended_arbiter_settles_again},
    {"a_cold_engine_gets_no_request_without_a_permit",
     a_cold_engine_gets_no_request_without_a_permit},
    {"a_permit_is_for_one_request_in_time", a_permit_is_for_one_request_in_time},
    {"an_unrequested_denial_stops_a_request", an_unrequested_denial_stops_a_request},
    {"cold_engines_are_used_when_others_are_full", cold_engines_are_used_when_others_are_full},
    {"an_unreachable_engine_counts_as_cold", an_unreachable_engine_counts_as_cold},
    {"an_engine_that_closed_a_connection_counts_as_cold",
     an_engine_that_closed_a_connection_counts_as_cold},
    {"a_cold_engine_counts_by_its_rate", a_cold_engine_counts_by_its_rate},
    {"an_attempt_without_a_permit_opens_no_connection",
     an_attempt_without_a_permit_opens_no_connection},
    {"members_at_a_live_address_count_once", members_at_a_live_address_count_once},
    {"an_arbiter_grants_after_the_settle_time", an_arbiter_grants_after_the_settle_time},
    {NULL, NULL}};
