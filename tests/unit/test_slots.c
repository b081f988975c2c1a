/** @file test_slots.c  Sharing of engines' slots among daemons: the arbiter's ledger and leases. */
#include "base/clock.h"
#include "base/hash.h"
#include "fleet/fleet_engines.h"
#include "fleet/slot_ledger.h"
#include "tests/unit/unit_tests.h"

#include <string.h>

#define ENGINE 77
#define SLOTS 8

/** The items of daemon "b" are preempted first. */
static int32_t get_rank(const char *daemon) {
    return strcmp(daemon, "b") == 0 ? 9000 : 5000;
}

/** Reports a daemon's use with the next sequence. */
static hs_engine_load_report put_report(hs_slot_ledger *ledger, const char *daemon, uint32_t online,
                                        uint32_t batch, uint64_t now_ms, GArray *requests) {
    static uint64_t sequence = 0;
    hs_use_report report = {.daemon = daemon,
                            .incarnation = 1,
                            .use = {.engine_hash = ENGINE,
                                    .sequence = ++sequence,
                                    .slots = SLOTS,
                                    .online = online,
                                    .batch = batch,
                                    .rank_ms = get_rank(daemon)}};
    g_array_set_size(requests, 0);
    return hs_slot_ledger_put_report(ledger, &report, now_ms, requests);
}

static uint32_t preempted_count(const GArray *requests, const char *daemon) {
    for (guint index = 0; index < requests->len; index++)
        if (strcmp(g_array_index(requests, hs_preemption_request, index).daemon, daemon) == 0)
            return g_array_index(requests, hs_preemption_request, index).count;
    return 0;
}

/** An online request on a full engine preempts one item, the one of the highest rank. */
static void an_online_request_preempts_one_item(void) {
    hs_slot_ledger *ledger = hs_slot_ledger_new();
    GArray *requests = g_array_new(FALSE, FALSE, sizeof(hs_preemption_request));
    put_report(ledger, "a", 0, 3, 1, requests);
    put_report(ledger, "b", 0, 5, 1, requests);
    CU_ASSERT_EQUAL(requests->len, 0);
    hs_engine_load_report load = put_report(ledger, "c", 1, 0, 2, requests);
    CU_ASSERT_EQUAL(requests->len, 1);
    CU_ASSERT_EQUAL(preempted_count(requests, "b"), 1);
    CU_ASSERT_EQUAL(load.online, 1);
    CU_ASSERT_EQUAL(load.batch, 7);
    put_report(ledger, "c", 1, 0, 3, requests); /* A repeated report preempts no second item. */
    CU_ASSERT_EQUAL(requests->len, 0);
    put_report(ledger, "b", 0, 4, 4, requests); /* The item ended. */
    CU_ASSERT_EQUAL(requests->len, 0);
    put_report(ledger, "c", 3, 0, 5, requests);
    CU_ASSERT_EQUAL(preempted_count(requests, "b") + preempted_count(requests, "a"), 2);
    g_array_free(requests, TRUE);
    hs_slot_ledger_free(ledger);
}

/**
 * An item started without a free slot is preempted itself, unless another item has a much higher
 * rank.
 */
static void an_item_beyond_the_slots_is_preempted(void) {
    hs_slot_ledger *ledger = hs_slot_ledger_new();
    GArray *requests = g_array_new(FALSE, FALSE, sizeof(hs_preemption_request));
    put_report(ledger, "a", 0, 8, 1, requests);
    put_report(ledger, "b", 0, 1, 2, requests);
    CU_ASSERT_EQUAL(preempted_count(requests, "b"), 1);
    CU_ASSERT_EQUAL(preempted_count(requests, "a"), 0);
    put_report(ledger, "b", 0, 0, 3, requests);
    put_report(ledger, "c", 0, 1, 4, requests); /* Same rank as "a": the new item is preempted. */
    CU_ASSERT_EQUAL(preempted_count(requests, "c"), 1);
    put_report(ledger, "a", 0, 4, 5, requests);
    put_report(ledger, "c", 0, 0, 5, requests);
    put_report(ledger, "b", 0, 4, 5, requests);
    put_report(ledger, "c", 0, 1, 6, requests);
    CU_ASSERT_EQUAL(preempted_count(requests, "b"), 1); /* A rank 4 s higher. */
    CU_ASSERT_EQUAL(preempted_count(requests, "c"), 0);
    g_array_free(requests, TRUE);
    hs_slot_ledger_free(ledger);
}

/** Lost reports are corrected by later ones, outdated ones are ignored, all expire. */
static void lost_and_outdated_reports_are_tolerated(void) {
    hs_slot_ledger *ledger = hs_slot_ledger_new();
    GArray *requests = g_array_new(FALSE, FALSE, sizeof(hs_preemption_request));
    put_report(ledger, "a", 4, 4, 1, requests);
    hs_use_report old = {
        .daemon = "a", .incarnation = 1, .use = {.engine_hash = ENGINE, .slots = SLOTS}};
    CU_ASSERT_EQUAL(hs_slot_ledger_put_report(ledger, &old, 2, requests).online, 4);
    old.incarnation = 2; /* A restart of the daemon. */
    CU_ASSERT_EQUAL(hs_slot_ledger_put_report(ledger, &old, 3, requests).online, 0);
    put_report(ledger, "b", 0, 8, 4, requests);
    put_report(ledger, "c", 1, 0, 5, requests);
    CU_ASSERT_EQUAL(preempted_count(requests, "b"), 1);
    put_report(ledger, "c", 1, 0, 500, requests); /* The preemption request was lost. */
    CU_ASSERT_EQUAL(preempted_count(requests, "b"), 1);
    hs_engine_load_report load = put_report(ledger, "c", 1, 0, 5000, requests);
    CU_ASSERT_EQUAL(load.batch, 0);
    hs_slot_ledger_expire(ledger, 60000);
    g_array_free(requests, TRUE);
    hs_slot_ledger_free(ledger);
}

#define DAEMONS 360
#define STEPS 40000

/**
 * Daemons start and end requests at random and preempt items as requested. After each report, the
 * remaining requests fit the slots, or no batch item is left.
 */
static void preemption_keeps_many_daemons_within_the_slots(void) {
    hs_slot_ledger *ledger = hs_slot_ledger_new();
    GArray *requests = g_array_new(FALSE, FALSE, sizeof(hs_preemption_request));
    static char names[DAEMONS][8];
    uint32_t online[DAEMONS] = {0};
    uint32_t batch[DAEMONS] = {0};
    GRand *chance = g_rand_new_with_seed(11);
    for (int daemon = 0; daemon < DAEMONS; daemon++)
        g_snprintf(names[daemon], sizeof names[daemon], "d%d", daemon);
    GArray *none = g_array_new(FALSE, FALSE, sizeof(hs_preemption_request));
    uint32_t exceeded = 0;
    uint32_t invalid_requests = 0;
    for (int step = 0; step < STEPS; step++) {
        int daemon = g_rand_int_range(chance, 0, DAEMONS);
        if (g_rand_int_range(chance, 0, 3) == 0 && online[daemon] > 0)
            online[daemon]--;
        else if (g_rand_int_range(chance, 0, 60) == 0)
            online[daemon]++;
        else
            batch[daemon]++;
        hs_engine_load_report load = put_report(ledger, names[daemon], online[daemon],
                                                batch[daemon], (uint64_t)step, requests);
        exceeded += load.online + load.batch > SLOTS && load.batch > 0;
        for (int other = 0; other < DAEMONS && requests->len > 0; other++) {
            uint32_t preempted = preempted_count(requests, names[other]);
            invalid_requests += preempted > batch[other];
            batch[other] -= MIN(preempted, batch[other]);
            if (preempted > 0)
                put_report(ledger, names[other], online[other], batch[other], (uint64_t)step, none);
            invalid_requests += none->len;
        }
        for (int other = 0; other < DAEMONS && step % 500 == 0; other++)
            put_report(ledger, names[other], online[other], batch[other], (uint64_t)step, requests);
    }
    CU_ASSERT_EQUAL(exceeded, 0);
    CU_ASSERT_EQUAL(invalid_requests, 0);
    g_array_free(none, TRUE);
    g_rand_free(chance);
    g_array_free(requests, TRUE);
    hs_slot_ledger_free(ledger);
}

/** Creates a table with the engine "e1" of the service "svc". Free with hs_fleet_engines_free. */
static hs_fleet_engines *table_of_one_engine(void) {
    hs_fleet_engines *engines = hs_fleet_engines_new("z");
    hs_engine_entry entry = {.id = g_strdup("e1"),
                             .service = g_strdup("svc"),
                             .zone = g_strdup("z"),
                             .address = 1,
                             .port = 1,
                             .slots = SLOTS};
    hs_fleet_engines_put(engines, &entry, 1);
    return engines;
}

/** Uses that the table of engines reported to its observer. */
typedef struct {
    hs_engine_use last;
    int count;
    int started;
} observed_uses;

static void observe_use(const hs_engine_use *use, bool started, void *user_data) {
    observed_uses *observed = user_data;
    CU_ASSERT(use->sequence > observed->last.sequence);
    observed->last = *use;
    observed->count++;
    observed->started += started;
}

/** Each start and end of a request is reported; a preemption affects the newest item. */
static void uses_are_reported_at_each_change(void) {
    hs_fleet_engines *engines = table_of_one_engine();
    observed_uses observed = {0};
    hs_fleet_engines_set_use_observer(engines, observe_use, &observed);
    hs_interrupt flags[2];
    hs_engine_lease *leases[2];
    for (int index = 0; index < 2; index++) {
        hs_interrupt_init(&flags[index]);
        hs_engine_query query = {
            .service = "svc", .work = HS_WORK_BATCH, .preemption_flag = &flags[index]};
        leases[index] = hs_fleet_engines_acquire(engines, &query);
        CU_ASSERT_PTR_NOT_NULL_FATAL(leases[index]);
    }
    CU_ASSERT_EQUAL(observed.started, 2);
    CU_ASSERT_EQUAL(observed.last.batch, 2);
    uint64_t hash = hs_hash_bytes("e1", 2);
    CU_ASSERT_EQUAL(observed.last.engine_hash, hash);
    CU_ASSERT_EQUAL(hs_fleet_engines_preempt_items(engines, hash, 1), 1);
    CU_ASSERT_EQUAL(hs_interrupt_get(&flags[0]), HS_INTERRUPT_NONE);
    CU_ASSERT_EQUAL(hs_interrupt_get(&flags[1]), HS_INTERRUPT_PREEMPT);
    CU_ASSERT_EQUAL(hs_fleet_engines_preempt_items(engines, 12345, 1), 0);
    hs_engine_load_report total = {.engine_hash = hash, .online = 6, .batch = 2};
    hs_fleet_engines_put_report(engines, &total); /* Six online requests of other daemons. */
    hs_engine_query one_more = {.service = "svc", .work = HS_WORK_BATCH};
    CU_ASSERT_PTR_NULL(hs_fleet_engines_acquire(engines, &one_more));
    for (int index = 0; index < 2; index++)
        hs_engine_lease_release(leases[index], NULL, HS_ATTEMPT_DROPPED);
    CU_ASSERT_EQUAL(observed.count, 4);
    CU_ASSERT_EQUAL(observed.last.batch, 0);
    GArray *uses = hs_fleet_engines_own_uses(engines);
    CU_ASSERT_EQUAL(uses->len, 1); /* Used recently: reported again in case a report was lost. */
    g_array_free(uses, TRUE);
    hs_fleet_engines_set_use_observer(engines, NULL, NULL);
    for (int index = 0; index < 2; index++)
        hs_interrupt_clear(&flags[index]);
    hs_fleet_engines_free(engines);
}

/** Arbiter in the same thread: responds to each start of a request unless it is silent. */
typedef struct {
    hs_fleet_engines *engines;
    bool is_silent;
    uint32_t online; /**< Of all daemons, in its response. */
    uint32_t queued_tokens;
    bool reports_failing;
} test_arbiter;

static void arbitrate(const hs_engine_use *use, bool started, void *user_data) {
    const test_arbiter *arbiter = user_data;
    hs_engine_load_report total = {.engine_hash = use->engine_hash,
                                   .online = arbiter->online,
                                   .queued_tokens = arbiter->queued_tokens,
                                   .is_failing = arbiter->reports_failing};
    if (started && !arbiter->is_silent)
        hs_fleet_engines_put_report(arbiter->engines, &total);
}

static hs_lease_confirmation confirm_lease(hs_fleet_engines *engines) {
    hs_engine_query query = {.service = "svc"};
    hs_engine_lease *lease = hs_fleet_engines_acquire(engines, &query);
    hs_lease_confirmation confirmation = hs_engine_lease_confirm(lease, 20);
    hs_engine_lease_release(lease, NULL, HS_ATTEMPT_DROPPED);
    return confirmation;
}

/** A lease is confirmed according to the load of all daemons; without a response it is not. */
static void requests_wait_for_the_arbiters_response(void) {
    hs_fleet_engines *engines = table_of_one_engine();
    CU_ASSERT_EQUAL(confirm_lease(engines), HS_LEASE_UNCONFIRMED); /* There is no arbiter. */
    test_arbiter arbiter = {.engines = engines, .online = SLOTS};
    hs_fleet_engines_set_use_observer(engines, arbitrate, &arbiter);
    CU_ASSERT_EQUAL(confirm_lease(engines), HS_LEASE_CONFIRMED);
    arbiter.queued_tokens = 100000; /* Long unread prompts of other requests. */
    CU_ASSERT_EQUAL(confirm_lease(engines), HS_LEASE_OVERLOADED);
    arbiter.queued_tokens = 100;
    CU_ASSERT_EQUAL(confirm_lease(engines), HS_LEASE_CONFIRMED);
    arbiter.online = SLOTS + 1;
    CU_ASSERT_EQUAL(confirm_lease(engines), HS_LEASE_OVERLOADED);
    arbiter.reports_failing = true;
    CU_ASSERT_EQUAL(confirm_lease(engines), HS_LEASE_ENGINE_FAILING);
    hs_engine_query item = {.service = "svc", .work = HS_WORK_BATCH};
    CU_ASSERT_PTR_NULL(hs_fleet_engines_acquire(engines, &item)); /* The engine is suspected. */
    arbiter.is_silent = true;
    uint64_t start_ms = hs_clock_monotonic_ms();
    CU_ASSERT_EQUAL(confirm_lease(engines), HS_LEASE_UNCONFIRMED);
    CU_ASSERT(hs_clock_monotonic_ms() - start_ms >= 18);
    hs_fleet_engines_set_use_observer(engines, NULL, NULL);
    hs_fleet_engines_free(engines);
}

/** The confirmation of an item's lease ends at once if the item is preempted. */
static void an_item_is_preempted_before_it_is_sent(void) {
    hs_fleet_engines *engines = table_of_one_engine();
    test_arbiter silent = {.engines = engines, .is_silent = true};
    hs_fleet_engines_set_use_observer(engines, arbitrate, &silent);
    hs_interrupt flag;
    hs_interrupt_init(&flag);
    hs_engine_query query = {.service = "svc", .work = HS_WORK_BATCH, .preemption_flag = &flag};
    hs_engine_lease *lease = hs_fleet_engines_acquire(engines, &query);
    CU_ASSERT_EQUAL(hs_fleet_engines_preempt_items(engines, hs_hash_bytes("e1", 2), 1), 1);
    uint64_t start_ms = hs_clock_monotonic_ms();
    CU_ASSERT_EQUAL(hs_engine_lease_confirm(lease, 2000), HS_LEASE_OVERLOADED);
    CU_ASSERT(hs_clock_monotonic_ms() - start_ms < 1000);
    hs_engine_lease_release(lease, NULL, HS_ATTEMPT_DROPPED);
    hs_fleet_engines_set_use_observer(engines, NULL, NULL);
    hs_interrupt_clear(&flag);
    hs_fleet_engines_free(engines);
}

const test_case slot_tests[] = {
    {"requests_wait_for_the_arbiters_response", requests_wait_for_the_arbiters_response},
    {"an_item_is_preempted_before_it_is_sent", an_item_is_preempted_before_it_is_sent},
    {"an_online_request_preempts_one_item", an_online_request_preempts_one_item},
    {"an_item_beyond_the_slots_is_preempted", an_item_beyond_the_slots_is_preempted},
    {"lost_and_outdated_reports_are_tolerated", lost_and_outdated_reports_are_tolerated},
    {"preemption_keeps_many_daemons_within_the_slots",
     preemption_keeps_many_daemons_within_the_slots},
    {"uses_are_reported_at_each_change", uses_are_reported_at_each_change},
    {NULL, NULL},
};
