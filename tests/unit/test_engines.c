/** @file test_engines.c  The table of engines: beliefs, choice, room for batch, connections. */
#include "base/clock.h"
#include "base/hash.h"
#include "fleet/engine_choice.h"
#include "fleet/fleet_engines.h"
#include "fleet/prefix_index.h"
#include "tests/unit/unit_tests.h"

#include <math.h>
#include <string.h>

static void the_choice_weighs_reading_and_waiting(void) {
    hs_engine_speed speed = {.tokens_per_ms = 50, .run_ms = 1000};
    hs_engine_candidate cached = {.slots = 8, .running = 2, .uncached_tokens = 1000};
    hs_engine_candidate cold = {.slots = 8, .running = 0, .uncached_tokens = 15000};
    hs_engine_candidate list[2] = {cold, cached};
    CU_ASSERT_EQUAL(hs_engine_choice_pick(list, 2, 0, &speed), 1);
    list[1].queued_tokens = 60000; /* The cache is not worth a queue before it. */
    CU_ASSERT_EQUAL(hs_engine_choice_pick(list, 2, 0, &speed), 0);
    list[0].running = 20; /* All slots taken, and many wait. */
    list[1].queued_tokens = 20000;
    CU_ASSERT_EQUAL(hs_engine_choice_pick(list, 2, 0, &speed), 1);
    list[1].suspected = true;
    CU_ASSERT_EQUAL(hs_engine_choice_pick(list, 2, 0, &speed), 0);
    CU_ASSERT_EQUAL(hs_engine_choice_pick(list, 0, 0, &speed), HS_ENGINE_NONE);
}

/** Batch items take free slots only, of engines that nobody suspects. */
static void batch_takes_free_slots_only(void) {
    hs_engine_speed speed = {.tokens_per_ms = 50, .run_ms = 1000};
    hs_engine_candidate one = {.slots = 10, .running = 9, .batch = 3};
    CU_ASSERT_EQUAL(hs_engine_choice_pick_for_batch(&one, 1, 0, &speed), 0);
    one.running = 10;
    CU_ASSERT_EQUAL(hs_engine_choice_pick_for_batch(&one, 1, 0, &speed), HS_ENGINE_NONE);
    one.running = 9.5; /* Words of unheard daemons are scaled: not a whole slot. */
    CU_ASSERT_EQUAL(hs_engine_choice_pick_for_batch(&one, 1, 0, &speed), HS_ENGINE_NONE);
    one.running = 2;
    one.suspected = true;
    CU_ASSERT_EQUAL(hs_engine_choice_pick_for_batch(&one, 1, 0, &speed), HS_ENGINE_NONE);
}

/** For online requests a slot that a batch item holds is nearly free; one of a request is not. */
static void online_requests_count_on_batch_stepping_aside(void) {
    hs_engine_speed speed = {.tokens_per_ms = 50, .run_ms = 1000};
    hs_engine_candidate list[3] = {{.slots = 8, .running = 8, .batch = 8},
                                   {.slots = 8, .running = 8, .batch = 0},
                                   {.slots = 8, .running = 7, .batch = 0}};
    CU_ASSERT_EQUAL(hs_engine_choice_pick(list, 2, 0, &speed), 0);
    CU_ASSERT_EQUAL(hs_engine_choice_pick(list, 3, 0, &speed), 2);
    list[0].running = 12; /* More wait there than items can leave. */
    list[0].batch = 1;
    list[1].running = 9;
    CU_ASSERT_EQUAL(hs_engine_choice_pick(list, 2, 0, &speed), 1);
}

/** The wait counts what is beyond the slots, by the mean online run; items that leave do not. */
static void a_queue_longer_than_the_deadline_is_known(void) {
    hs_engine_speed speed = {
        .tokens_per_ms = 50, .run_ms = 4000, .online_run_ms = 1000, .first_byte_ms = 20};
    CU_ASSERT_EQUAL(hs_engine_choice_wait_ms(8, 8, 0, &speed), 0);
    CU_ASSERT_EQUAL(hs_engine_choice_wait_ms(24, 8, 0, &speed), 2000);
    CU_ASSERT_EQUAL(hs_engine_choice_wait_ms(4, 8, 5000, &speed), 100);
    CU_ASSERT_FALSE(hs_engine_choice_will_miss_deadline(2000, &speed, 2020));
    CU_ASSERT_TRUE(hs_engine_choice_will_miss_deadline(2000, &speed, 2019));
    CU_ASSERT_TRUE(hs_engine_choice_will_miss_deadline(0, &speed, 19));
    CU_ASSERT_FALSE(hs_engine_choice_will_miss_deadline(0, &speed, 20));
    speed.first_byte_ms = 0; /* Nothing was served yet: nothing is known. */
    CU_ASSERT_FALSE(hs_engine_choice_will_miss_deadline(0, &speed, 0));
    speed.online_run_ms = 0;
    CU_ASSERT_EQUAL(hs_engine_choice_wait_ms(16, 8, 0, &speed), 4000);
}

static void believed_caches_give_way_by_age(void) {
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

static hs_engine_entry entry_of(const char *id, uint32_t slots) {
    return (hs_engine_entry){.id = g_strdup(id),
                             .service = g_strdup("svc"),
                             .zone = g_strdup("z"),
                             .address = 1,
                             .port = 1,
                             .slots = slots};
}

/** Past its objective a request takes a free place, or one that frees within a pause of 50 ms. */
static void late_requests_take_free_places_only(void) {
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
        leases[index] = hs_fleet_engines_take(engines, &late);
        CU_ASSERT_PTR_NOT_NULL_FATAL(leases[index]);
    }
    CU_ASSERT_PTR_NULL(hs_fleet_engines_take(engines, &late));
    hs_engine_query in_time = {.service = "svc", .has_wait_limit = true, .wait_most_ms = 400};
    hs_engine_lease *queued = hs_fleet_engines_take(engines, &in_time);
    CU_ASSERT_PTR_NOT_NULL_FATAL(queued); /* One beyond four places: 75 ms of a run of 300. */
    hs_engine_lease_release(queued, NULL, HS_ATTEMPT_DROPPED);
    for (size_t index = 0; index < G_N_ELEMENTS(leases); index++)
        hs_engine_lease_release(leases[index], NULL, HS_ATTEMPT_DROPPED);
    hs_fleet_engines_free(engines);
}

static void leaving_engines_get_nothing_new(void) {
    hs_fleet_engines *engines = hs_fleet_engines_new("z");
    hs_engine_entry entry = entry_of("e1", 4);
    hs_fleet_engines_put(engines, &entry, 1);
    hs_engine_query query = {.service = "svc"};
    hs_engine_lease *lease = hs_fleet_engines_take(engines, &query);
    CU_ASSERT_PTR_NOT_NULL_FATAL(lease);
    entry = entry_of("e1", 4);
    entry.draining = true;
    hs_fleet_engines_put(engines, &entry, 2);
    CU_ASSERT_PTR_NULL(hs_fleet_engines_take(engines, &query));
    hs_fleet_engines_drop(engines, "e1"); /* The lease still holds what it needs. */
    CU_ASSERT_STRING_EQUAL(hs_engine_lease_id(lease), "e1");
    hs_engine_lease_release(lease, NULL, HS_ATTEMPT_SERVED);
    hs_fleet_engines_free(engines);
}

/** A tenant's requests count by how long its runs that ended well took; items' say nothing of it.
 */
static void runs_tell_what_a_tenant_asks_for(void) {
    hs_fleet_engines *engines = hs_fleet_engines_new("z");
    hs_engine_entry entry = entry_of("e1", 4);
    hs_fleet_engines_put(engines, &entry, 1);
    hs_fleet_engines_note_tenant_ask(engines, "svc", "a");
    uint64_t usual_ms = hs_fleet_engines_tenant_asked_ms(engines, "a");
    CU_ASSERT_TRUE(usual_ms > 100);
    hs_engine_query item = {.service = "svc", .tenant = "a", .work = HS_WORK_BATCH};
    hs_engine_query online = {.service = "svc", .tenant = "a"};
    hs_engine_lease_release(hs_fleet_engines_take(engines, &item), NULL, HS_ATTEMPT_SERVED);
    hs_engine_lease_release(hs_fleet_engines_take(engines, &online), NULL, HS_ATTEMPT_DROPPED);
    hs_engine_lease *lease = hs_fleet_engines_take(engines, &online);
    hs_clock_sleep_ms(30);
    hs_engine_lease_release(lease, NULL, HS_ATTEMPT_SERVED);
    hs_fleet_engines_note_tenant_ask(engines, "svc", "a");
    uint64_t asked_ms = hs_fleet_engines_tenant_asked_ms(engines, "a") - usual_ms;
    CU_ASSERT_TRUE(asked_ms >= 29 && asked_ms < 100);
    CU_ASSERT_EQUAL(hs_fleet_engines_tenant_asked_ms(engines, "b"), 0);
    hs_fleet_engines_free(engines);
}

/** Above the time after which an engine's arbiter counts as silent. */
#define ARBITER_SILENT_MS 350

/** Both daemons' items and requests fill the engine: this daemon gives up its part, once. */
static void batch_items_step_aside_by_share(void) {
    hs_fleet_engines *engines = hs_fleet_engines_new("z");
    hs_engine_entry entry = entry_of("e1", 6);
    hs_fleet_engines_put(engines, &entry, 1);
    hs_interrupt flags[4];
    hs_engine_lease *leases[4];
    for (int index = 0; index < 4; index++) {
        hs_interrupt_init(&flags[index]);
        hs_engine_query query = {.service = "svc", .work = HS_WORK_BATCH, .yield = &flags[index]};
        leases[index] = hs_fleet_engines_take(engines, &query);
        CU_ASSERT_PTR_NOT_NULL_FATAL(leases[index]);
    }
    CU_ASSERT_EQUAL(hs_fleet_engines_yield(engines), 0);
    GArray *own = hs_fleet_engines_own_shares(engines);
    hs_engine_share told = g_array_index(own, hs_engine_share, 0);
    told.batch = 0;
    told.online = 4; /* Four online requests of another daemon: two too many. */
    g_array_index(own, hs_engine_share, 0) = told;
    hs_fleet_engines_put_peer(engines, "other", &(hs_peer_word){.shares = own},
                              hs_clock_monotonic_ms());
    /* The engine's arbiter is given a moment to do it; it stays silent here. */
    CU_ASSERT_EQUAL(hs_fleet_engines_yield(engines), 0);
    hs_clock_sleep_ms(ARBITER_SILENT_MS);
    hs_fleet_engines_put_peer(engines, "other", &(hs_peer_word){.shares = own},
                              hs_clock_monotonic_ms());
    CU_ASSERT_EQUAL(hs_fleet_engines_yield(engines), 2);
    CU_ASSERT_EQUAL(hs_interrupt_get(&flags[0]), HS_INTERRUPT_NONE);
    CU_ASSERT_EQUAL(hs_interrupt_get(&flags[3]), HS_INTERRUPT_YIELD);
    CU_ASSERT_EQUAL(hs_fleet_engines_yield(engines), 0); /* Until all know of it. */
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

static const char *taken_engine(hs_fleet_engines *engines) {
    hs_engine_query query = {.service = "svc"};
    static char id[16];
    hs_engine_lease *lease = hs_fleet_engines_take(engines, &query);
    g_strlcpy(id, hs_engine_lease_id(lease), sizeof id);
    hs_engine_lease_release(lease, NULL, HS_ATTEMPT_DROPPED);
    return id;
}

/** Of engines that are alike, the one that a connection is open to; a slot is worth more than it.
 */
static void a_kept_connection_decides_between_equals(void) {
    hs_engine_speed speed = {.tokens_per_ms = 40, .run_ms = 300};
    hs_engine_candidate candidates[] = {{.slots = 4, .same_zone = true},
                                        {.slots = 4, .same_zone = true, .is_connected = true},
                                        {.slots = 4, .is_connected = true}};
    for (size_t first = 0; first < 3; first++)
        CU_ASSERT_EQUAL(hs_engine_choice_pick(candidates, 3, first, &speed), 1);
    candidates[1].running = 4;
    CU_ASSERT_NOT_EQUAL(hs_engine_choice_pick(candidates, 3, 0, &speed), 1);
}

/** What others tell counts as long as it is fresh, and no longer. */
static void peers_words_count_while_fresh(void) {
    hs_fleet_engines *engines = hs_fleet_engines_new("z");
    hs_engine_entry entry = entry_of("e1", 4);
    hs_fleet_engines_put(engines, &entry, 1);
    entry = entry_of("e2", 4);
    hs_fleet_engines_put(engines, &entry, 1);
    static const hs_engine_share words[] = {
        {.online = 9}, {.suspected = true}, {.ended_permille = 9000, .failed_permille = 4000}};
    for (size_t index = 0; index < G_N_ELEMENTS(words); index++) {
        GArray *shares = one_share("e1", words[index]);
        hs_fleet_engines_put_peer(engines, "other", &(hs_peer_word){.shares = shares},
                                  hs_clock_monotonic_ms());
        for (int turn = 0; turn < 4; turn++)
            CU_ASSERT_STRING_EQUAL(taken_engine(engines), "e2");
        g_array_free(shares, TRUE);
    }
    GArray *old = one_share("e1", (hs_engine_share){.online = 9});
    hs_fleet_engines_put_peer(engines, "other", &(hs_peer_word){.shares = old},
                              hs_clock_monotonic_ms() - 60000);
    int first = 0;
    for (int turn = 0; turn < 4; turn++)
        first += strcmp(taken_engine(engines), "e1") == 0;
    CU_ASSERT_EQUAL(first, 2);
    g_array_free(old, TRUE);
    hs_fleet_engines_free(engines);
}

/** With more daemons than are told in a round, those that were not heard count as the others. */
static void unheard_peers_count_as_the_heard(void) {
    hs_fleet_engines *engines = hs_fleet_engines_new("z");
    hs_engine_entry entry = entry_of("e1", 4);
    hs_fleet_engines_put(engines, &entry, 1);
    GArray *shares = one_share("e1", (hs_engine_share){.online = 2});
    hs_fleet_engines_set_peers(engines, 30, 0);
    hs_fleet_engines_put_peer(engines, "one", &(hs_peer_word){.shares = shares},
                              hs_clock_monotonic_ms());
    hs_fleet_engines_put_peer(engines, "two", &(hs_peer_word){.shares = shares},
                              hs_clock_monotonic_ms());
    hs_service_room room = hs_fleet_engines_room(engines, "svc");
    CU_ASSERT_EQUAL(room.online, 60);
    g_array_free(shares, TRUE);
    hs_fleet_engines_free(engines);
}

/**
 * Of hundreds of daemons few run batch items. What they were heard to have counts as it is, at the
 * engine where it is; nothing is made up for daemons that have none.
 */
static void batch_is_scaled_by_those_who_run_it(void) {
    hs_fleet_engines *engines = hs_fleet_engines_new("z");
    hs_engine_entry entry = entry_of("e1", 8);
    hs_fleet_engines_put(engines, &entry, 1);
    entry = entry_of("e2", 8);
    hs_fleet_engines_put(engines, &entry, 1);
    GArray *shares = one_share("e1", (hs_engine_share){.batch = 3});
    hs_peer_word word = {.shares = shares, .runs_batch = true, .batch_work_ms = 500};
    hs_fleet_engines_set_peers(engines, 300, 1);
    hs_fleet_engines_put_peer(engines, "owner", &word, hs_clock_monotonic_ms());
    GArray *nothing = g_array_new(FALSE, FALSE, sizeof(hs_engine_share));
    hs_fleet_engines_put_peer(engines, "other", &(hs_peer_word){.shares = nothing},
                              hs_clock_monotonic_ms());
    CU_ASSERT_EQUAL(hs_fleet_engines_room(engines, "svc").batch, 3);
    CU_ASSERT_EQUAL(hs_fleet_engines_peers_batch_work(engines), 500);
    hs_fleet_engines_set_peers(engines, 300, 4); /* Three more that were not heard. */
    hs_fleet_engines_put_peer(engines, "owner", &word, hs_clock_monotonic_ms());
    CU_ASSERT_EQUAL(hs_fleet_engines_room(engines, "svc").batch, 12);
    CU_ASSERT_EQUAL(hs_fleet_engines_peers_batch_work(engines), 2000);
    g_array_free(shares, TRUE);
    g_array_free(nothing, TRUE);
    hs_fleet_engines_free(engines);
}

/** A load told with an answer counts batch items too: it is no sign of online requests. */
static void loads_of_answers_take_no_room_from_batch(void) {
    hs_fleet_engines *engines = hs_fleet_engines_new("z");
    hs_engine_entry entry = entry_of("e1", 8);
    hs_fleet_engines_put(engines, &entry, 1);
    hs_engine_query query = {.service = "svc"};
    hs_engine_lease *lease = hs_fleet_engines_take(engines, &query);
    hs_engine_lease_note_load(lease, &(hs_engine_load){.present = true, .running = 7, .slots = 8});
    CU_ASSERT_EQUAL(hs_fleet_engines_room(engines, "svc").online, 1);
    hs_engine_lease_release(lease, NULL, HS_ATTEMPT_DROPPED);
    hs_fleet_engines_free(engines);
}

/** An engine's connections are shared out between the daemons; a full share is no reason to fail.
 */
static void a_daemon_keeps_to_its_share_of_connections(void) {
    hs_fleet_engines *engines = hs_fleet_engines_new("z");
    hs_engine_entry entry = entry_of("e1", 40);
    hs_fleet_engines_put(engines, &entry, 1);
    hs_fleet_engines_set_peers(engines, 9, 0);
    hs_engine_query query = {.service = "svc", .max_connections = 40};
    hs_engine_lease *leases[4];
    for (size_t index = 0; index < G_N_ELEMENTS(leases); index++) {
        leases[index] = hs_fleet_engines_take(engines, &query);
        CU_ASSERT_PTR_NOT_NULL_FATAL(leases[index]);
    }
    CU_ASSERT_PTR_NULL(hs_fleet_engines_take(engines, &query));
    hs_engine_lease_release(leases[0], NULL, HS_ATTEMPT_SERVED);
    leases[0] = hs_fleet_engines_take(engines, &query);
    CU_ASSERT_PTR_NOT_NULL(leases[0]);
    hs_fleet_engines_set_peers(engines, 99,
                               0); /* Less than one each: one, so that all can serve. */
    for (size_t index = 0; index < G_N_ELEMENTS(leases); index++)
        hs_engine_lease_release(leases[index], NULL, HS_ATTEMPT_SERVED);
    leases[0] = hs_fleet_engines_take(engines, &query);
    CU_ASSERT_PTR_NOT_NULL_FATAL(leases[0]);
    CU_ASSERT_PTR_NULL(hs_fleet_engines_take(engines, &query));
    hs_engine_lease_release(leases[0], NULL, HS_ATTEMPT_SERVED);
    hs_fleet_engines_free(engines);
}

static void an_engine_that_fails_is_passed_over_for_a_while(void) {
    hs_fleet_engines *engines = hs_fleet_engines_new("z");
    hs_engine_entry entry = entry_of("e1", 4);
    hs_fleet_engines_put(engines, &entry, 1);
    hs_engine_query query = {.service = "svc"};
    hs_engine_lease *lease = hs_fleet_engines_take(engines, &query);
    hs_engine_lease_release(lease, NULL, HS_ATTEMPT_FAILED);
    entry = entry_of("e2", 4);
    hs_fleet_engines_put(engines, &entry, 1);
    for (int turn = 0; turn < 4; turn++)
        CU_ASSERT_STRING_EQUAL(taken_engine(engines), "e2");
    hs_fleet_engines_drop(engines, "e2");
    CU_ASSERT_STRING_EQUAL(taken_engine(engines), "e1"); /* Better than none. */
    hs_fleet_engines_free(engines);
}
const test_case engines_tests[] = {
    {"the_choice_weighs_reading_and_waiting", the_choice_weighs_reading_and_waiting},
    {"batch_takes_free_slots_only", batch_takes_free_slots_only},
    {"online_requests_count_on_batch_stepping_aside",
     online_requests_count_on_batch_stepping_aside},
    {"a_queue_longer_than_the_deadline_is_known", a_queue_longer_than_the_deadline_is_known},
    {"late_requests_take_free_places_only", late_requests_take_free_places_only},
    {"believed_caches_give_way_by_age", believed_caches_give_way_by_age},
    {"leaving_engines_get_nothing_new", leaving_engines_get_nothing_new},
    {"runs_tell_what_a_tenant_asks_for", runs_tell_what_a_tenant_asks_for},
    {"batch_items_step_aside_by_share", batch_items_step_aside_by_share},
    {"peers_words_count_while_fresh", peers_words_count_while_fresh},
    {"a_kept_connection_decides_between_equals", a_kept_connection_decides_between_equals},
    {"unheard_peers_count_as_the_heard", unheard_peers_count_as_the_heard},
    {"batch_is_scaled_by_those_who_run_it", batch_is_scaled_by_those_who_run_it},
    {"loads_of_answers_take_no_room_from_batch", loads_of_answers_take_no_room_from_batch},
    {"a_daemon_keeps_to_its_share_of_connections", a_daemon_keeps_to_its_share_of_connections},
    {"an_engine_that_fails_is_passed_over_for_a_while",
     an_engine_that_fails_is_passed_over_for_a_while},
    {NULL, NULL}};
