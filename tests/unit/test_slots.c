/** @file test_slots.c  Engines' slots shared between many daemons: the arbiter's ledger. */
#include "base/clock.h"
#include "base/hash.h"
#include "fleet/fleet_engines.h"
#include "fleet/slot_ledger.h"
#include "tests/unit/unit_tests.h"

#include <string.h>

#define ENGINE 77
#define SLOTS 8

/** Daemon "b" has the items that can wait longest. */
static int32_t rank_of(const char *daemon) {
    return strcmp(daemon, "b") == 0 ? 9000 : 5000;
}

/** A word of a daemon, with the next sequence. */
static hs_engine_load_report tell(hs_slot_ledger *ledger, const char *daemon, uint32_t online,
                                  uint32_t batch, uint64_t now_ms, GArray *asks) {
    static uint64_t sequence = 0;
    hs_slot_word word = {.daemon = daemon,
                         .incarnation = 1,
                         .use = {.engine_hash = ENGINE,
                                 .sequence = ++sequence,
                                 .slots = SLOTS,
                                 .online = online,
                                 .batch = batch,
                                 .rank_ms = rank_of(daemon)}};
    g_array_set_size(asks, 0);
    return hs_slot_ledger_take(ledger, &word, now_ms, asks);
}

static uint32_t asked_of(const GArray *asks, const char *daemon) {
    for (guint index = 0; index < asks->len; index++)
        if (strcmp(g_array_index(asks, hs_slot_ask, index).daemon, daemon) == 0)
            return g_array_index(asks, hs_slot_ask, index).count;
    return 0;
}

/** An online request that finds all slots taken moves one item, the one that can wait longest. */
static void an_online_request_moves_one_item(void) {
    hs_slot_ledger *ledger = hs_slot_ledger_new();
    GArray *asks = g_array_new(FALSE, FALSE, sizeof(hs_slot_ask));
    tell(ledger, "a", 0, 3, 1, asks);
    tell(ledger, "b", 0, 5, 1, asks);
    CU_ASSERT_EQUAL(asks->len, 0);
    hs_engine_load_report totals = tell(ledger, "c", 1, 0, 2, asks);
    CU_ASSERT_EQUAL(asks->len, 1);
    CU_ASSERT_EQUAL(asked_of(asks, "b"), 1);
    CU_ASSERT_EQUAL(totals.online, 1);
    CU_ASSERT_EQUAL(totals.batch, 7);
    tell(ledger, "c", 1, 0, 3, asks); /* The same word again asks nobody twice. */
    CU_ASSERT_EQUAL(asks->len, 0);
    tell(ledger, "b", 0, 4, 4, asks); /* It left. */
    CU_ASSERT_EQUAL(asks->len, 0);
    tell(ledger, "c", 3, 0, 5, asks);
    CU_ASSERT_EQUAL(asked_of(asks, "b") + asked_of(asks, "a"), 2);
    g_array_free(asks, TRUE);
    hs_slot_ledger_free(ledger);
}

/**
 * Who starts an item where no slot is free gives it up again, unless another can wait for much
 * longer.
 */
static void an_item_too_many_goes_back(void) {
    hs_slot_ledger *ledger = hs_slot_ledger_new();
    GArray *asks = g_array_new(FALSE, FALSE, sizeof(hs_slot_ask));
    tell(ledger, "a", 0, 8, 1, asks);
    tell(ledger, "b", 0, 1, 2, asks);
    CU_ASSERT_EQUAL(asked_of(asks, "b"), 1);
    CU_ASSERT_EQUAL(asked_of(asks, "a"), 0);
    tell(ledger, "b", 0, 0, 3, asks);
    tell(ledger, "c", 0, 1, 4, asks); /* No more slack than "a": it goes back. */
    CU_ASSERT_EQUAL(asked_of(asks, "c"), 1);
    tell(ledger, "a", 0, 4, 5, asks);
    tell(ledger, "c", 0, 0, 5, asks);
    tell(ledger, "b", 0, 4, 5, asks);
    tell(ledger, "c", 0, 1, 6, asks);
    CU_ASSERT_EQUAL(asked_of(asks, "b"), 1); /* 4 s more than it. */
    CU_ASSERT_EQUAL(asked_of(asks, "c"), 0);
    g_array_free(asks, TRUE);
    hs_slot_ledger_free(ledger);
}

/** Lost, old and never repeated words: counts are mended, old ones passed over, silence expires. */
static void words_may_be_lost_or_old(void) {
    hs_slot_ledger *ledger = hs_slot_ledger_new();
    GArray *asks = g_array_new(FALSE, FALSE, sizeof(hs_slot_ask));
    tell(ledger, "a", 4, 4, 1, asks);
    hs_slot_word old = {
        .daemon = "a", .incarnation = 1, .use = {.engine_hash = ENGINE, .slots = SLOTS}};
    CU_ASSERT_EQUAL(hs_slot_ledger_take(ledger, &old, 2, asks).online, 4);
    old.incarnation = 2; /* Another life of the daemon: it has nothing there. */
    CU_ASSERT_EQUAL(hs_slot_ledger_take(ledger, &old, 3, asks).online, 0);
    tell(ledger, "b", 0, 8, 4, asks);
    tell(ledger, "c", 1, 0, 5, asks);
    CU_ASSERT_EQUAL(asked_of(asks, "b"), 1);
    tell(ledger, "c", 1, 0, 500, asks); /* It never left: the message was lost. */
    CU_ASSERT_EQUAL(asked_of(asks, "b"), 1);
    hs_engine_load_report totals = tell(ledger, "c", 1, 0, 5000, asks);
    CU_ASSERT_EQUAL(totals.batch, 0);
    hs_slot_ledger_expire(ledger, 60000);
    g_array_free(asks, TRUE);
    hs_slot_ledger_free(ledger);
}

#define DAEMONS 360
#define STEPS 40000

/**
 * 360 daemons that start and end requests at random, and obey what they are asked: after each word
 * the requests that stay fit the slots, or no batch item is left. So the daemons are over an
 * engine's slots only by words on their way.
 */
static void many_daemons_are_over_by_words_on_their_way_only(void) {
    hs_slot_ledger *ledger = hs_slot_ledger_new();
    GArray *asks = g_array_new(FALSE, FALSE, sizeof(hs_slot_ask));
    static char names[DAEMONS][8];
    uint32_t online[DAEMONS] = {0};
    uint32_t batch[DAEMONS] = {0};
    GRand *chance = g_rand_new_with_seed(11);
    for (int daemon = 0; daemon < DAEMONS; daemon++)
        g_snprintf(names[daemon], sizeof names[daemon], "d%d", daemon);
    GArray *none = g_array_new(FALSE, FALSE, sizeof(hs_slot_ask));
    uint32_t exceeded = 0;
    uint32_t false_asks = 0;
    for (int step = 0; step < STEPS; step++) {
        int daemon = g_rand_int_range(chance, 0, DAEMONS);
        if (g_rand_int_range(chance, 0, 3) == 0 && online[daemon] > 0)
            online[daemon]--;
        else if (g_rand_int_range(chance, 0, 60) == 0)
            online[daemon]++;
        else
            batch[daemon]++;
        hs_engine_load_report totals =
            tell(ledger, names[daemon], online[daemon], batch[daemon], (uint64_t)step, asks);
        exceeded += totals.online + totals.batch > SLOTS && totals.batch > 0;
        for (int other = 0; other < DAEMONS && asks->len > 0; other++) {
            uint32_t leaves = asked_of(asks, names[other]);
            false_asks += leaves > batch[other];
            batch[other] -= MIN(leaves, batch[other]);
            if (leaves > 0)
                tell(ledger, names[other], online[other], batch[other], (uint64_t)step, none);
            false_asks += none->len;
        }
        for (int other = 0; other < DAEMONS && step % 500 == 0; other++)
            tell(ledger, names[other], online[other], batch[other], (uint64_t)step, asks);
    }
    CU_ASSERT_EQUAL(exceeded, 0);
    CU_ASSERT_EQUAL(false_asks, 0);
    g_array_free(none, TRUE);
    g_rand_free(chance);
    g_array_free(asks, TRUE);
    hs_slot_ledger_free(ledger);
}

/** A table with the engine "e1" of the service "svc". Free with hs_fleet_engines_free. */
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

/** Told uses, as the table of engines hands them to the arbiter. */
typedef struct {
    hs_engine_use last;
    int told;
    int started;
} told_uses;

static void note_use(const hs_engine_use *use, bool started, void *user_data) {
    told_uses *told = user_data;
    CU_ASSERT(use->sequence > told->last.sequence);
    told->last = *use;
    told->told++;
    told->started += started;
}

/** Each begin and end of a request is told; a word to step aside reaches the newest item. */
static void uses_are_told_at_each_change(void) {
    hs_fleet_engines *engines = table_of_one_engine();
    told_uses told = {0};
    hs_fleet_engines_set_use_observer(engines, note_use, &told);
    hs_interrupt flags[2];
    hs_engine_lease *leases[2];
    for (int index = 0; index < 2; index++) {
        hs_interrupt_init(&flags[index]);
        hs_engine_query query = {
            .service = "svc", .work = HS_WORK_BATCH, .preemption_flag = &flags[index]};
        leases[index] = hs_fleet_engines_take(engines, &query);
        CU_ASSERT_PTR_NOT_NULL_FATAL(leases[index]);
    }
    CU_ASSERT_EQUAL(told.started, 2);
    CU_ASSERT_EQUAL(told.last.batch, 2);
    uint64_t hash = hs_hash_bytes("e1", 2);
    CU_ASSERT_EQUAL(told.last.engine_hash, hash);
    CU_ASSERT_EQUAL(hs_fleet_engines_preempt_items(engines, hash, 1), 1);
    CU_ASSERT_EQUAL(hs_interrupt_get(&flags[0]), HS_INTERRUPT_NONE);
    CU_ASSERT_EQUAL(hs_interrupt_get(&flags[1]), HS_INTERRUPT_YIELD);
    CU_ASSERT_EQUAL(hs_fleet_engines_preempt_items(engines, 12345, 1), 0);
    hs_engine_load_report total = {.engine_hash = hash, .online = 6, .batch = 2};
    hs_fleet_engines_put_report(engines, &total); /* Six online requests of others. */
    hs_engine_query one_more = {.service = "svc", .work = HS_WORK_BATCH};
    CU_ASSERT_PTR_NULL(hs_fleet_engines_take(engines, &one_more));
    for (int index = 0; index < 2; index++)
        hs_engine_lease_release(leases[index], NULL, HS_ATTEMPT_DROPPED);
    CU_ASSERT_EQUAL(told.told, 4);
    CU_ASSERT_EQUAL(told.last.batch, 0);
    GArray *uses = hs_fleet_engines_own_uses(engines);
    CU_ASSERT_EQUAL(uses->len, 1); /* Left lately: told once more, so that a lost word mends. */
    g_array_free(uses, TRUE);
    hs_fleet_engines_set_use_observer(engines, NULL, NULL);
    for (int index = 0; index < 2; index++)
        hs_interrupt_clear(&flags[index]);
    hs_fleet_engines_free(engines);
}

/** An arbiter in the same thread: tells totals at each begin, or is silent. */
typedef struct {
    hs_fleet_engines *engines;
    bool is_silent;
    uint32_t online; /**< Of all daemons, as it tells. */
    uint32_t queued_tokens;
    bool says_failing;
} test_arbiter;

static void arbitrate(const hs_engine_use *use, bool started, void *user_data) {
    const test_arbiter *arbiter = user_data;
    hs_engine_load_report total = {.engine_hash = use->engine_hash,
                                   .online = arbiter->online,
                                   .queued_tokens = arbiter->queued_tokens,
                                   .is_failing = arbiter->says_failing};
    if (started && !arbiter->is_silent)
        hs_fleet_engines_put_report(arbiter->engines, &total);
}

static hs_lease_confirmation word_of(hs_fleet_engines *engines) {
    hs_engine_query query = {.service = "svc"};
    hs_engine_lease *lease = hs_fleet_engines_take(engines, &query);
    hs_lease_confirmation word = hs_engine_lease_confirm(lease, 20);
    hs_engine_lease_release(lease, NULL, HS_ATTEMPT_DROPPED);
    return word;
}

/** A request hears whether online requests of all daemons fill the slots; silence lets it go on. */
static void a_request_hears_the_arbiter_first(void) {
    hs_fleet_engines *engines = table_of_one_engine();
    CU_ASSERT_EQUAL(word_of(engines), HS_LEASE_UNCONFIRMED); /* Nobody to tell. */
    test_arbiter arbiter = {.engines = engines, .online = SLOTS};
    hs_fleet_engines_set_use_observer(engines, arbitrate, &arbiter);
    CU_ASSERT_EQUAL(word_of(engines), HS_LEASE_CONFIRMED);
    arbiter.queued_tokens = 100000; /* Long prompts of others, not read yet. */
    CU_ASSERT_EQUAL(word_of(engines), HS_LEASE_OVERLOADED);
    arbiter.queued_tokens = 100;
    CU_ASSERT_EQUAL(word_of(engines), HS_LEASE_CONFIRMED);
    arbiter.online = SLOTS + 1;
    CU_ASSERT_EQUAL(word_of(engines), HS_LEASE_OVERLOADED);
    arbiter.says_failing = true;
    CU_ASSERT_EQUAL(word_of(engines), HS_LEASE_ENGINE_FAILING);
    hs_engine_query item = {.service = "svc", .work = HS_WORK_BATCH};
    CU_ASSERT_PTR_NULL(hs_fleet_engines_take(engines, &item)); /* Suspected for a while. */
    arbiter.is_silent = true;
    uint64_t began_ms = hs_clock_monotonic_ms();
    CU_ASSERT_EQUAL(word_of(engines), HS_LEASE_UNCONFIRMED);
    CU_ASSERT(hs_clock_monotonic_ms() - began_ms >= 18);
    hs_fleet_engines_set_use_observer(engines, NULL, NULL);
    hs_fleet_engines_free(engines);
}

/** An item that is asked aside before it was sent is told so at once. */
static void an_item_hears_that_it_is_one_too_many(void) {
    hs_fleet_engines *engines = table_of_one_engine();
    test_arbiter silent = {.engines = engines, .is_silent = true};
    hs_fleet_engines_set_use_observer(engines, arbitrate, &silent);
    hs_interrupt flag;
    hs_interrupt_init(&flag);
    hs_engine_query query = {.service = "svc", .work = HS_WORK_BATCH, .preemption_flag = &flag};
    hs_engine_lease *lease = hs_fleet_engines_take(engines, &query);
    CU_ASSERT_EQUAL(hs_fleet_engines_preempt_items(engines, hs_hash_bytes("e1", 2), 1), 1);
    uint64_t began_ms = hs_clock_monotonic_ms();
    CU_ASSERT_EQUAL(hs_engine_lease_confirm(lease, 2000), HS_LEASE_OVERLOADED);
    CU_ASSERT(hs_clock_monotonic_ms() - began_ms < 1000);
    hs_engine_lease_release(lease, NULL, HS_ATTEMPT_DROPPED);
    hs_fleet_engines_set_use_observer(engines, NULL, NULL);
    hs_interrupt_clear(&flag);
    hs_fleet_engines_free(engines);
}

const test_case slot_tests[] = {
    {"a_request_hears_the_arbiter_first", a_request_hears_the_arbiter_first},
    {"an_item_hears_that_it_is_one_too_many", an_item_hears_that_it_is_one_too_many},
    {"an_online_request_moves_one_item", an_online_request_moves_one_item},
    {"an_item_too_many_goes_back", an_item_too_many_goes_back},
    {"words_may_be_lost_or_old", words_may_be_lost_or_old},
    {"many_daemons_are_over_by_words_on_their_way_only",
     many_daemons_are_over_by_words_on_their_way_only},
    {"uses_are_told_at_each_change", uses_are_told_at_each_change},
    {NULL, NULL},
};
