/** @file test_engines.c  The engine table: estimates, choice, batch capacity and connections. */
#include "base/clock.h"
#include "base/hash.h"
#include "fleet/engine_choice.h"
#include "fleet/fleet_engines.h"
#include "fleet/prefix_index.h"
#include "tests/unit/unit_tests.h"

#include <math.h>
#include <string.h>

static void the_choice_weighs_prompt_reading_and_waiting(void) {
    hs_engine_speed speed = {.tokens_per_ms = 50, .run_ms = 1000};
    hs_engine_candidate cached = {.slots = 8, .running = 2, .uncached_tokens = 1000};
    hs_engine_candidate cold = {.slots = 8, .running = 0, .uncached_tokens = 15000};
    hs_engine_candidate list[2] = {cold, cached};
    CU_ASSERT_EQUAL(hs_engine_choice_pick(list, 2, 0, &speed), 1);
    list[1].queued_tokens = 60000; /* The queue costs more than the cache saves. */
    CU_ASSERT_EQUAL(hs_engine_choice_pick(list, 2, 0, &speed), 0);
    list[0].running = 20; /* All slots are taken, and many requests wait. */
    list[1].queued_tokens = 20000;
    CU_ASSERT_EQUAL(hs_engine_choice_pick(list, 2, 0, &speed), 1);
    list[1].suspected = true;
    CU_ASSERT_EQUAL(hs_engine_choice_pick(list, 2, 0, &speed), 0);
    CU_ASSERT_EQUAL(hs_engine_choice_pick(list, 0, 0, &speed), HS_ENGINE_NONE);
}

/** Batch items take only free slots of engines that are not suspected. */
static void batch_takes_free_slots_only(void) {
    hs_engine_speed speed = {.tokens_per_ms = 50, .run_ms = 1000};
    hs_engine_candidate one = {.slots = 10, .running = 9, .batch = 3};
    CU_ASSERT_EQUAL(hs_engine_choice_pick_for_batch(&one, 1, 0, &speed), 0);
    one.running = 10;
    CU_ASSERT_EQUAL(hs_engine_choice_pick_for_batch(&one, 1, 0, &speed), HS_ENGINE_NONE);
    one.running = 9.5; /* Estimated loads are fractional: no whole slot is free. */
    CU_ASSERT_EQUAL(hs_engine_choice_pick_for_batch(&one, 1, 0, &speed), HS_ENGINE_NONE);
    one.running = 2;
    one.suspected = true;
    CU_ASSERT_EQUAL(hs_engine_choice_pick_for_batch(&one, 1, 0, &speed), HS_ENGINE_NONE);
}

/** A slot taken by a batch item counts as nearly free for an online request. */
static void online_requests_expect_batch_items_to_be_preempted(void) {
    hs_engine_speed speed = {.tokens_per_ms = 50, .run_ms = 1000};
    hs_engine_candidate list[3] = {{.slots = 8, .running = 8, .batch = 8},
                                   {.slots = 8, .running = 8, .batch = 0},
                                   {.slots = 8, .running = 7, .batch = 0}};
    CU_ASSERT_EQUAL(hs_engine_choice_pick(list, 2, 0, &speed), 0);
    CU_ASSERT_EQUAL(hs_engine_choice_pick(list, 3, 0, &speed), 2);
    list[0].running = 12; /* More requests wait than items can be preempted. */
    list[0].batch = 1;
    list[1].running = 9;
    CU_ASSERT_EQUAL(hs_engine_choice_pick(list, 2, 0, &speed), 1);
}

/** The wait is that of the online requests beyond the slots, by the mean online run. */
static void a_queue_longer_than_the_deadline_is_detected(void) {
    hs_engine_speed speed = {
        .tokens_per_ms = 50, .run_ms = 4000, .online_run_ms = 1000, .first_byte_ms = 20};
    CU_ASSERT_EQUAL(hs_engine_choice_wait_ms(8, 8, 0, &speed), 0);
    CU_ASSERT_EQUAL(hs_engine_choice_wait_ms(24, 8, 0, &speed), 2000);
    CU_ASSERT_EQUAL(hs_engine_choice_wait_ms(4, 8, 5000, &speed), 100);
    CU_ASSERT_FALSE(hs_engine_choice_will_miss_deadline(2000, &speed, 2020));
    CU_ASSERT_TRUE(hs_engine_choice_will_miss_deadline(2000, &speed, 2019));
    CU_ASSERT_TRUE(hs_engine_choice_will_miss_deadline(0, &speed, 19));
    CU_ASSERT_FALSE(hs_engine_choice_will_miss_deadline(0, &speed, 20));
    speed.first_byte_ms = 0; /* No request was served yet. */
    CU_ASSERT_FALSE(hs_engine_choice_will_miss_deadline(0, &speed, 0));
    speed.online_run_ms = 0;
    CU_ASSERT_EQUAL(hs_engine_choice_wait_ms(16, 8, 0, &speed), 4000);
}

static void cached_prefixes_are_evicted_by_age(void) {
    hs_prefix_index *index = hs_prefix_index_new(1500);
    hs_request_size first = {.part_count = 2, .parts = {{1, 1000}, {9, 50}}};
    hs_request_size second = {.part_count = 2, .parts = {{2, 400}, {8, 50}}};
    hs_request_size third = {.part_count = 2, .parts = {{3, 400}, {7, 50}}};
    hs_prefix_index_note(index, &first, 1);
    hs_prefix_index_note(index, &second, 2);
    CU_ASSERT_EQUAL(hs_prefix_index_match(index, &first), 1000);
    hs_prefix_index_note(index, &third, 3);
    CU_ASSERT_EQUAL(hs_prefix_index_match(index, &first), 0);
    CU_ASSERT_EQUAL(hs_prefix_index_match(index, &second), 400);
    hs_prefix_index_free(index);
}

/** Time in ms within which an engine that could not be reached is probed again. */
#define PROBE_LIMIT_MS 2000

static hs_engine_entry entry_of(const char *id, uint32_t slots) {
    return (hs_engine_entry){.id = g_strdup(id),
                             .service = g_strdup("svc"),
                             .zone = g_strdup("z"),
                             .address = 1,
                             .port = 1,
                             .slots = slots};
}

/** A request past its objective takes a slot only if one is free or expected within 50 ms. */
static void late_requests_take_free_slots_only(void) {
    hs_engine_speed speed = {.tokens_per_ms = 50, .run_ms = 1000, .first_byte_ms = 20};
    CU_ASSERT_TRUE(hs_engine_choice_can_start_in_time(0, &speed, 0));
    CU_ASSERT_TRUE(hs_engine_choice_can_start_in_time(50, &speed, 0));
    CU_ASSERT_FALSE(hs_engine_choice_can_start_in_time(51, &speed, 0));
    CU_ASSERT_TRUE(hs_engine_choice_can_start_in_time(280, &speed, 300));
    CU_ASSERT_FALSE(hs_engine_choice_can_start_in_time(281, &speed, 300));
    hs_fleet_engines *engines = hs_fleet_engines_new("z");
    hs_engine_entry entry = entry_of("e1", 4);
    hs_fleet_engines_put(engines, &entry, 1);
    hs_engine_query late = {.service = "svc", .has_wait_limit = true};
    hs_engine_lease *leases[4];
    for (size_t index = 0; index < G_N_ELEMENTS(leases); index++) {
        leases[index] = hs_fleet_engines_acquire(engines, &late);
        CU_ASSERT_PTR_NOT_NULL_FATAL(leases[index]);
    }
    CU_ASSERT_PTR_NULL(hs_fleet_engines_acquire(engines, &late));
    hs_engine_query in_time = {.service = "svc", .has_wait_limit = true, .max_start_wait_ms = 400};
    hs_engine_lease *queued = hs_fleet_engines_acquire(engines, &in_time);
    CU_ASSERT_PTR_NOT_NULL_FATAL(queued); /* One beyond four slots: 75 ms of a run of 300. */
    hs_engine_lease_release(queued, NULL, HS_ATTEMPT_DROPPED);
    for (size_t index = 0; index < G_N_ELEMENTS(leases); index++)
        hs_engine_lease_release(leases[index], NULL, HS_ATTEMPT_DROPPED);
    hs_fleet_engines_free(engines);
}

/** Guards against attempts without a pause while the only engine refuses connections. */
static void an_unreachable_engine_gets_one_probe_at_a_time(void) {
    hs_fleet_engines *engines = hs_fleet_engines_new("z");
    hs_engine_entry entry = entry_of("e1", 4);
    hs_fleet_engines_put(engines, &entry, 1);
    hs_engine_query query = {.service = "svc"};
    hs_engine_lease *lease = hs_fleet_engines_acquire(engines, &query);
    hs_engine_lease *earlier = hs_fleet_engines_acquire(engines, &query);
    CU_ASSERT_PTR_NOT_NULL_FATAL(lease);
    CU_ASSERT_PTR_NOT_NULL_FATAL(earlier);
    hs_engine_lease_release(lease, NULL, HS_ATTEMPT_UNREACHABLE);
    CU_ASSERT_EQUAL(hs_fleet_engines_failed_connect_count(engines), 1);
    CU_ASSERT_PTR_NULL(hs_fleet_engines_acquire(engines, &query));
    uint64_t limit_ms = hs_clock_monotonic_ms() + PROBE_LIMIT_MS;
    do {
        hs_clock_sleep_ms(10);
        lease = hs_fleet_engines_acquire(engines, &query);
    } while (lease == NULL && hs_clock_monotonic_ms() < limit_ms);
    CU_ASSERT_PTR_NOT_NULL_FATAL(lease);
    CU_ASSERT_PTR_NULL(hs_fleet_engines_acquire(engines, &query)); /* The probe is under way. */
    hs_engine_lease_release(lease, NULL, HS_ATTEMPT_UNREACHABLE);
    CU_ASSERT_PTR_NULL(hs_fleet_engines_acquire(engines, &query));
    hs_engine_lease_release(earlier, NULL, HS_ATTEMPT_SERVED);
    lease = hs_fleet_engines_acquire(engines, &query);
    CU_ASSERT_PTR_NOT_NULL_FATAL(lease);
    hs_engine_lease_release(lease, NULL, HS_ATTEMPT_DROPPED);
    hs_fleet_engines_free(engines);
}

static void draining_engines_get_no_new_requests(void) {
    hs_fleet_engines *engines = hs_fleet_engines_new("z");
    hs_engine_entry entry = entry_of("e1", 4);
    hs_fleet_engines_put(engines, &entry, 1);
    hs_engine_query query = {.service = "svc"};
    hs_engine_lease *lease = hs_fleet_engines_acquire(engines, &query);
    CU_ASSERT_PTR_NOT_NULL_FATAL(lease);
    entry = entry_of("e1", 4);
    entry.draining = true;
    hs_fleet_engines_put(engines, &entry, 2);
    CU_ASSERT_PTR_NULL(hs_fleet_engines_acquire(engines, &query));
    hs_fleet_engines_drop(engines, "e1"); /* The lease keeps the engine alive. */
    CU_ASSERT_STRING_EQUAL(hs_engine_lease_id(lease), "e1");
    hs_engine_lease_release(lease, NULL, HS_ATTEMPT_SERVED);
    hs_fleet_engines_free(engines);
}

/** A tenant's requests count with the time of its served online runs; batch items are ignored. */
static void served_runs_set_the_cost_of_a_tenants_requests(void) {
    hs_fleet_engines *engines = hs_fleet_engines_new("z");
    hs_engine_entry entry = entry_of("e1", 4);
    hs_fleet_engines_put(engines, &entry, 1);
    hs_fleet_engines_note_tenant_request(engines, "svc", "a");
    uint64_t usual_ms = hs_fleet_engines_tenant_requested_ms(engines, "a");
    CU_ASSERT_TRUE(usual_ms > 100);
    hs_engine_query item = {.service = "svc", .tenant = "a", .work = HS_WORK_BATCH};
    hs_engine_query online = {.service = "svc", .tenant = "a"};
    hs_engine_lease_release(hs_fleet_engines_acquire(engines, &item), NULL, HS_ATTEMPT_SERVED);
    hs_engine_lease_release(hs_fleet_engines_acquire(engines, &online), NULL, HS_ATTEMPT_DROPPED);
    hs_engine_lease *lease = hs_fleet_engines_acquire(engines, &online);
    hs_clock_sleep_ms(30);
    hs_engine_lease_release(lease, NULL, HS_ATTEMPT_SERVED);
    hs_fleet_engines_note_tenant_request(engines, "svc", "a");
    uint64_t requested_ms = hs_fleet_engines_tenant_requested_ms(engines, "a") - usual_ms;
    CU_ASSERT_TRUE(requested_ms >= 29 && requested_ms < 100);
    CU_ASSERT_EQUAL(hs_fleet_engines_tenant_requested_ms(engines, "b"), 0);
    hs_fleet_engines_free(engines);
}

/** Longer than the time after which daemons preempt items without the arbiter. */
#define ARBITER_WAIT_MS 350

/** Requests of two daemons exceed an engine's slots: this daemon preempts its share once. */
static void batch_items_are_preempted_by_share(void) {
    hs_fleet_engines *engines = hs_fleet_engines_new("z");
    hs_engine_entry entry = entry_of("e1", 6);
    hs_fleet_engines_put(engines, &entry, 1);
    hs_interrupt flags[4];
    hs_engine_lease *leases[4];
    for (int index = 0; index < 4; index++) {
        hs_interrupt_init(&flags[index]);
        hs_engine_query query = {
            .service = "svc", .work = HS_WORK_BATCH, .preemption_flag = &flags[index]};
        leases[index] = hs_fleet_engines_acquire(engines, &query);
        CU_ASSERT_PTR_NOT_NULL_FATAL(leases[index]);
    }
    CU_ASSERT_EQUAL(hs_fleet_engines_preempt_excess(engines), 0);
    GArray *own = hs_fleet_engines_own_shares(engines);
    hs_engine_share announced = g_array_index(own, hs_engine_share, 0);
    announced.batch = 0;
    announced.online = 4; /* Of another daemon; two more than slots are left. */
    g_array_index(own, hs_engine_share, 0) = announced;
    hs_fleet_engines_put_peer_report(engines, "other", &(hs_peer_report){.shares = own},
                                     hs_clock_monotonic_ms());
    /* The engine's arbiter has priority for a while, but doesn't respond in this test. */
    CU_ASSERT_EQUAL(hs_fleet_engines_preempt_excess(engines), 0);
    hs_clock_sleep_ms(ARBITER_WAIT_MS);
    hs_fleet_engines_put_peer_report(engines, "other", &(hs_peer_report){.shares = own},
                                     hs_clock_monotonic_ms());
    CU_ASSERT_EQUAL(hs_fleet_engines_preempt_excess(engines), 2);
    CU_ASSERT_EQUAL(hs_interrupt_get(&flags[0]), HS_INTERRUPT_NONE);
    CU_ASSERT_EQUAL(hs_interrupt_get(&flags[3]), HS_INTERRUPT_PREEMPT);
    CU_ASSERT_EQUAL(hs_fleet_engines_preempt_excess(engines),
                    0); /* Until all daemons know of the preemption. */
    for (int index = 0; index < 4; index++)
        hs_engine_lease_release(leases[index], NULL, HS_ATTEMPT_DROPPED);
    for (int index = 0; index < 4; index++)
        hs_interrupt_clear(&flags[index]);
    g_array_free(own, TRUE);
    hs_fleet_engines_free(engines);
}

static GArray *one_share(const char *engine, hs_engine_share share) {
    GArray *shares = g_array_new(FALSE, FALSE, sizeof(hs_engine_share));
    share.engine_hash = hs_hash_bytes(engine, strlen(engine));
    g_array_append_val(shares, share);
    return shares;
}

static const char *chosen_engine(hs_fleet_engines *engines) {
    hs_engine_query query = {.service = "svc"};
    static char id[16];
    hs_engine_lease *lease = hs_fleet_engines_acquire(engines, &query);
    g_strlcpy(id, hs_engine_lease_id(lease), sizeof id);
    hs_engine_lease_release(lease, NULL, HS_ATTEMPT_DROPPED);
    return id;
}

/** An idle connection decides between equal engines, but counts less than a free slot. */
static void an_idle_connection_breaks_ties(void) {
    hs_engine_speed speed = {.tokens_per_ms = 40, .run_ms = 300};
    hs_engine_candidate candidates[] = {
        {.slots = 4},
        {.slots = 4, .is_connected = true},
        {.slots = 4, .distance = HS_DISTANCE_OTHER_ZONE, .is_connected = true}};
    for (size_t first = 0; first < 3; first++)
        CU_ASSERT_EQUAL(hs_engine_choice_pick(candidates, 3, first, &speed), 1);
    candidates[1].running = 4;
    CU_ASSERT_NOT_EQUAL(hs_engine_choice_pick(candidates, 3, 0, &speed), 1);
}

/** Loads announced by peers are used until they expire. */
static void peer_loads_count_while_valid(void) {
    hs_fleet_engines *engines = hs_fleet_engines_new("z");
    hs_engine_entry entry = entry_of("e1", 4);
    hs_fleet_engines_put(engines, &entry, 1);
    entry = entry_of("e2", 4);
    hs_fleet_engines_put(engines, &entry, 1);
    static const hs_engine_share announced[] = {
        {.online = 9}, {.suspected = true}, {.ended_permille = 9000, .failed_permille = 4000}};
    for (size_t index = 0; index < G_N_ELEMENTS(announced); index++) {
        GArray *shares = one_share("e1", announced[index]);
        hs_fleet_engines_put_peer_report(engines, "other", &(hs_peer_report){.shares = shares},
                                         hs_clock_monotonic_ms());
        for (int turn = 0; turn < 4; turn++)
            CU_ASSERT_STRING_EQUAL(chosen_engine(engines), "e2");
        g_array_free(shares, TRUE);
    }
    GArray *old = one_share("e1", (hs_engine_share){.online = 9});
    hs_fleet_engines_put_peer_report(engines, "other", &(hs_peer_report){.shares = old},
                                     hs_clock_monotonic_ms() - 60000);
    int first = 0;
    for (int turn = 0; turn < 4; turn++)
        first += strcmp(chosen_engine(engines), "e1") == 0;
    CU_ASSERT_EQUAL(first, 2);
    g_array_free(old, TRUE);
    hs_fleet_engines_free(engines);
}

/** Daemons that announced no load are assumed to have the mean load of the others. */
static void peers_without_a_load_count_as_the_mean(void) {
    hs_fleet_engines *engines = hs_fleet_engines_new("z");
    hs_engine_entry entry = entry_of("e1", 4);
    hs_fleet_engines_put(engines, &entry, 1);
    GArray *shares = one_share("e1", (hs_engine_share){.online = 2});
    hs_fleet_engines_set_peers(engines, 30, 0);
    hs_fleet_engines_put_peer_report(engines, "one", &(hs_peer_report){.shares = shares},
                                     hs_clock_monotonic_ms());
    hs_fleet_engines_put_peer_report(engines, "two", &(hs_peer_report){.shares = shares},
                                     hs_clock_monotonic_ms());
    hs_service_capacity capacity = hs_fleet_engines_capacity(engines, "svc");
    CU_ASSERT_EQUAL(capacity.online, 60);
    g_array_free(shares, TRUE);
    hs_fleet_engines_free(engines);
}

/** Batch load is extrapolated only to daemons that run batch items. */
static void batch_load_is_scaled_by_daemons_that_run_batch(void) {
    hs_fleet_engines *engines = hs_fleet_engines_new("z");
    hs_engine_entry entry = entry_of("e1", 8);
    hs_fleet_engines_put(engines, &entry, 1);
    entry = entry_of("e2", 8);
    hs_fleet_engines_put(engines, &entry, 1);
    GArray *shares = one_share("e1", (hs_engine_share){.batch = 3});
    hs_peer_report report = {.shares = shares, .runs_batch = true, .batch_work_ms = 500};
    hs_fleet_engines_set_peers(engines, 300, 1);
    hs_fleet_engines_put_peer_report(engines, "owner", &report, hs_clock_monotonic_ms());
    GArray *nothing = g_array_new(FALSE, FALSE, sizeof(hs_engine_share));
    hs_fleet_engines_put_peer_report(engines, "other", &(hs_peer_report){.shares = nothing},
                                     hs_clock_monotonic_ms());
    CU_ASSERT_EQUAL(hs_fleet_engines_capacity(engines, "svc").batch, 3);
    CU_ASSERT_EQUAL(hs_fleet_engines_peers_batch_work(engines), 500);
    hs_fleet_engines_set_peers(engines, 300, 4); /* Three more without a load. */
    hs_fleet_engines_put_peer_report(engines, "owner", &report, hs_clock_monotonic_ms());
    CU_ASSERT_EQUAL(hs_fleet_engines_capacity(engines, "svc").batch, 12);
    CU_ASSERT_EQUAL(hs_fleet_engines_peers_batch_work(engines), 2000);
    g_array_free(shares, TRUE);
    g_array_free(nothing, TRUE);
    hs_fleet_engines_free(engines);
}

/** The load sent with an answer includes batch items and must not count as online requests. */
static void loads_of_answers_do_not_reduce_batch_capacity(void) {
    hs_fleet_engines *engines = hs_fleet_engines_new("z");
    hs_engine_entry entry = entry_of("e1", 8);
    hs_fleet_engines_put(engines, &entry, 1);
    hs_engine_query query = {.service = "svc"};
    hs_engine_lease *lease = hs_fleet_engines_acquire(engines, &query);
    hs_engine_lease_note_load(lease, &(hs_engine_load){.present = true, .running = 7, .slots = 8});
    CU_ASSERT_EQUAL(hs_fleet_engines_capacity(engines, "svc").online, 1);
    hs_engine_lease_release(lease, NULL, HS_ATTEMPT_DROPPED);
    hs_fleet_engines_free(engines);
}

/** Daemons share an engine's connections evenly; each may use at least one. */
static void a_daemon_keeps_to_its_share_of_connections(void) {
    hs_fleet_engines *engines = hs_fleet_engines_new("z");
    hs_engine_entry entry = entry_of("e1", 40);
    hs_fleet_engines_put(engines, &entry, 1);
    hs_fleet_engines_set_peers(engines, 9, 0);
    hs_engine_query query = {.service = "svc", .max_connections = 40};
    hs_engine_lease *leases[4];
    for (size_t index = 0; index < G_N_ELEMENTS(leases); index++) {
        leases[index] = hs_fleet_engines_acquire(engines, &query);
        CU_ASSERT_PTR_NOT_NULL_FATAL(leases[index]);
    }
    CU_ASSERT_PTR_NULL(hs_fleet_engines_acquire(engines, &query));
    hs_engine_lease_release(leases[0], NULL, HS_ATTEMPT_SERVED);
    leases[0] = hs_fleet_engines_acquire(engines, &query);
    CU_ASSERT_PTR_NOT_NULL(leases[0]);
    hs_fleet_engines_set_peers(engines, 99, 0); /* Less than one each: one is allowed. */
    for (size_t index = 0; index < G_N_ELEMENTS(leases); index++)
        hs_engine_lease_release(leases[index], NULL, HS_ATTEMPT_SERVED);
    leases[0] = hs_fleet_engines_acquire(engines, &query);
    CU_ASSERT_PTR_NOT_NULL_FATAL(leases[0]);
    CU_ASSERT_PTR_NULL(hs_fleet_engines_acquire(engines, &query));
    hs_engine_lease_release(leases[0], NULL, HS_ATTEMPT_SERVED);
    hs_fleet_engines_free(engines);
}

static void a_failing_engine_is_avoided_for_a_while(void) {
    hs_fleet_engines *engines = hs_fleet_engines_new("z");
    hs_engine_entry entry = entry_of("e1", 4);
    hs_fleet_engines_put(engines, &entry, 1);
    hs_engine_query query = {.service = "svc"};
    hs_engine_lease *lease = hs_fleet_engines_acquire(engines, &query);
    hs_engine_lease_release(lease, NULL, HS_ATTEMPT_FAILED);
    entry = entry_of("e2", 4);
    hs_fleet_engines_put(engines, &entry, 1);
    for (int turn = 0; turn < 4; turn++)
        CU_ASSERT_STRING_EQUAL(chosen_engine(engines), "e2");
    hs_fleet_engines_drop(engines, "e2");
    CU_ASSERT_STRING_EQUAL(chosen_engine(engines), "e1"); /* The only engine left. */
    hs_fleet_engines_free(engines);
}
const test_case engines_tests[] = {
    {"the_choice_weighs_prompt_reading_and_waiting", the_choice_weighs_prompt_reading_and_waiting},
    {"batch_takes_free_slots_only", batch_takes_free_slots_only},
    {"online_requests_expect_batch_items_to_be_preempted",
     online_requests_expect_batch_items_to_be_preempted},
    {"a_queue_longer_than_the_deadline_is_detected", a_queue_longer_than_the_deadline_is_detected},
    {"late_requests_take_free_slots_only", late_requests_take_free_slots_only},
    {"cached_prefixes_are_evicted_by_age", cached_prefixes_are_evicted_by_age},
    {"an_unreachable_engine_gets_one_probe_at_a_time",
     an_unreachable_engine_gets_one_probe_at_a_time},
    {"draining_engines_get_no_new_requests", draining_engines_get_no_new_requests},
    {"served_runs_set_the_cost_of_a_tenants_requests",
     served_runs_set_the_cost_of_a_tenants_requests},
    {"batch_items_are_preempted_by_share", batch_items_are_preempted_by_share},
    {"peer_loads_count_while_valid", peer_loads_count_while_valid},
    {"an_idle_connection_breaks_ties", an_idle_connection_breaks_ties},
    {"peers_without_a_load_count_as_the_mean", peers_without_a_load_count_as_the_mean},
    {"batch_load_is_scaled_by_daemons_that_run_batch",
     batch_load_is_scaled_by_daemons_that_run_batch},
    {"loads_of_answers_do_not_reduce_batch_capacity",
     loads_of_answers_do_not_reduce_batch_capacity},
    {"a_daemon_keeps_to_its_share_of_connections", a_daemon_keeps_to_its_share_of_connections},
    {"a_failing_engine_is_avoided_for_a_while", a_failing_engine_is_avoided_for_a_while},
    {NULL, NULL}};
