/** @file test_evacuation.c  Evacuated zones: knowledge, time limits, and how it spreads. */
#include "fleet/evacuation.h"
#include "tests/unit/unit_tests.h"

#include <stdlib.h>
#include <string.h>

#define LIMIT_MS 5000
#define HALF_MS (LIMIT_MS / 2)

/** Applies a set with one evacuated zone (NULL: none). */
static bool apply(hs_evacuation *state, const char *zone, uint64_t as_of,
                  hs_evacuation_source source, uint64_t now_ms) {
    hs_evacuation_set set;
    hs_evacuation_set_init(&set, as_of);
    if (zone != NULL)
        hs_evacuation_set_add(&set, zone, as_of - 1, true);
    bool is_applied = hs_evacuation_apply_set(state, &set, source, now_ms, now_ms, NULL);
    hs_evacuation_set_clear(&set);
    return is_applied;
}

/** A daemon in touch with the store, which has no evacuation at 1000 ms and position 10. */
static hs_evacuation *make_state(void) {
    hs_evacuation *state = hs_evacuation_new(LIMIT_MS);
    apply(state, NULL, 10, HS_EVACUATION_FROM_STORE, 1000);
    hs_evacuation_note_read(state, 990, true, 1000);
    hs_evacuation_note_running(state, 1000);
    return state;
}

/** Guards against requests after half of the limit, and against a zone that stays closed. */
static void zones_close_after_half_of_the_limit(void) {
    hs_evacuation *state = make_state();
    CU_ASSERT_TRUE(hs_evacuation_apply_record(state, "a", true, 10, 1100));
    CU_ASSERT_EQUAL(hs_evacuation_zone_use(state, "b", 1100), HS_ZONE_OPEN);
    CU_ASSERT_EQUAL(hs_evacuation_zone_use(state, "a", 1100), HS_ZONE_LAST_RESORT);
    CU_ASSERT_EQUAL(hs_evacuation_zone_use(state, "a", 1099 + HALF_MS), HS_ZONE_LAST_RESORT);
    CU_ASSERT_EQUAL(hs_evacuation_zone_use(state, "a", 1100 + HALF_MS), HS_ZONE_CLOSED);
    CU_ASSERT_FALSE(hs_evacuation_apply_record(state, "a", true, 11, 4000)); /* Written again. */
    CU_ASSERT_EQUAL(hs_evacuation_zone_use(state, "a", 4000), HS_ZONE_CLOSED);
    CU_ASSERT_EQUAL(hs_evacuation_until_ms(state, "a"), UINT64_MAX);
    CU_ASSERT_TRUE(hs_evacuation_note_drained(state, "a", 4000));
    CU_ASSERT_FALSE(hs_evacuation_note_drained(state, "a", 4001));
    CU_ASSERT_TRUE(hs_evacuation_apply_record(state, "a", false, 12, 5000));
    CU_ASSERT_EQUAL(hs_evacuation_zone_use(state, "a", 5000), HS_ZONE_OPEN);
    CU_ASSERT_EQUAL(hs_evacuation_until_ms(state, "a"), 5000);
    CU_ASSERT_EQUAL(hs_evacuation_until_ms(state, "b"), 0);
    hs_evacuation_set_limit_ms(state, 0);
    CU_ASSERT_TRUE(hs_evacuation_apply_record(state, "a", true, 13, 6000));
    CU_ASSERT_EQUAL(hs_evacuation_zone_use(state, "a", 6000), HS_ZONE_CLOSED);
    hs_evacuation_free(state);
}

/** Guards against late answers and late datagrams that undo newer knowledge. */
static void the_higher_position_counts_whatever_the_source(void) {
    hs_evacuation *state = make_state();
    CU_ASSERT_TRUE(apply(state, "a", 20, HS_EVACUATION_FROM_PEER, 2000));
    CU_ASSERT_FALSE(hs_evacuation_apply_record(state, "a", false, 15, 2001)); /* Earlier record. */
    CU_ASSERT_FALSE(apply(state, NULL, 20, HS_EVACUATION_FROM_PEER, 2002));
    CU_ASSERT_NOT_EQUAL(hs_evacuation_zone_use(state, "a", 2002), HS_ZONE_OPEN);
    CU_ASSERT_TRUE(hs_evacuation_apply_record(state, "a", false, 20, 2003));
    CU_ASSERT_FALSE(apply(state, "a", 20, HS_EVACUATION_FROM_PEER, 2004)); /* Late datagram. */
    CU_ASSERT_EQUAL(hs_evacuation_zone_use(state, "a", 2004), HS_ZONE_OPEN);
    CU_ASSERT_TRUE(apply(state, "b", 30, HS_EVACUATION_FROM_PEER, 3000));
    CU_ASSERT_TRUE(apply(state, NULL, 31, HS_EVACUATION_FROM_STORE, 3001)); /* No key: removed. */
    CU_ASSERT_EQUAL(hs_evacuation_until_ms(state, "b"), 3001);
    CU_ASSERT_TRUE(apply(state, "c", 900, HS_EVACUATION_FROM_PEER, 3002));
    CU_ASSERT_FALSE(apply(state, NULL, 40, HS_EVACUATION_FROM_STORE, 3002)); /* Sent before it. */
    CU_ASSERT_TRUE(apply(state, NULL, 40, HS_EVACUATION_FROM_STORE, 3003));
    CU_ASSERT_EQUAL(hs_evacuation_zone_use(state, "c", 3003), HS_ZONE_OPEN);
    hs_evacuation_free(state);
}

/** Guards against a daemon that misses an evacuation and its withdrawal while it can't read. */
static void a_withdrawal_shows_an_evacuation_that_was_missed(void) {
    hs_evacuation *state = make_state();
    hs_evacuation_set set;
    hs_evacuation_set_init(&set, 20);
    hs_evacuation_set_add(&set, "new", 15, false);
    hs_evacuation_set_add(&set, "old", 5, false); /* Before what is known: no news. */
    hs_evacuation_apply_set(state, &set, HS_EVACUATION_FROM_STORE, 2000, 2000, NULL);
    CU_ASSERT_EQUAL(hs_evacuation_until_ms(state, "new"), 2000);
    CU_ASSERT_EQUAL(hs_evacuation_until_ms(state, "old"), 0);
    hs_evacuation_set_clear(&set);
    hs_evacuation_free(state);
}

/** Guards against half of the limit for an evacuation that began long before it was learned. */
static void an_evacuation_of_unknown_age_closes_the_zone_at_once(void) {
    hs_evacuation *started = hs_evacuation_new(LIMIT_MS);
    apply(started, "a", 20, HS_EVACUATION_FROM_STORE, 1000);
    CU_ASSERT_EQUAL(hs_evacuation_zone_use(started, "a", 1000), HS_ZONE_CLOSED);
    hs_evacuation_free(started);
    hs_evacuation *cut_off = make_state(); /* Reads the store again after 10 s. */
    hs_evacuation_note_running(cut_off, 1900);
    apply(cut_off, "a", 20, HS_EVACUATION_FROM_STORE, 11000);
    CU_ASSERT_EQUAL(hs_evacuation_zone_use(cut_off, "a", 11000), HS_ZONE_CLOSED);
    hs_evacuation_free(cut_off);
    hs_evacuation *suspended = make_state();
    apply(suspended, "a", 20, HS_EVACUATION_FROM_PEER, 11000);
    CU_ASSERT_EQUAL(hs_evacuation_zone_use(suspended, "a", 11000), HS_ZONE_CLOSED);
    hs_evacuation_free(suspended);
}

/** Guards against sends after a suspension by what was known before it. */
static void a_suspended_daemon_reads_the_store_before_it_sends(void) {
    hs_evacuation *state = make_state();
    CU_ASSERT_TRUE(hs_evacuation_is_current(state, 1900));
    hs_evacuation_note_running(state, 1900);
    CU_ASSERT_TRUE(hs_evacuation_is_current(state, 3000)); /* Within the limit. */
    CU_ASSERT_FALSE(hs_evacuation_is_current(state, 9000));
    hs_evacuation_note_running(state, 9000);
    CU_ASSERT_FALSE(hs_evacuation_is_current(state, 9001));
    hs_evacuation_note_read(state, 1950, true, 9002); /* The answer waited in the socket. */
    CU_ASSERT_FALSE(hs_evacuation_is_current(state, 9003));
    hs_evacuation_note_read(state, 9002, true, 9006);
    CU_ASSERT_TRUE(hs_evacuation_is_current(state, 9007));
    hs_evacuation_note_running(state, 20000);
    CU_ASSERT_FALSE(hs_evacuation_is_current(state, 20001));
    hs_evacuation_note_read(state, 20002, false, 20600); /* Cut off: it keeps what it knew. */
    CU_ASSERT_TRUE(hs_evacuation_is_current(state, 20601));
    hs_evacuation_set_limit_ms(state, 0);
    CU_ASSERT_TRUE(hs_evacuation_is_current(state, 90000));
    hs_evacuation_free(state);
}

static const char *fault_of(const char *zone, uint64_t offset, uint32_t count) {
    hs_evacuation_set set;
    hs_evacuation_set_init(&set, 20);
    for (uint32_t index = 0; index < count; index++)
        hs_evacuation_set_add(&set, zone, offset, true);
    const char *fault = hs_evacuation_set_fault(&set);
    hs_evacuation_set_clear(&set);
    return fault;
}

/** Guards against malformed sets of other daemons. */
static void invalid_sets_are_detected(void) {
    CU_ASSERT_PTR_NULL(fault_of("a", 19, 1));
    CU_ASSERT_PTR_NULL(fault_of("a", 19, 0));
    CU_ASSERT_PTR_NOT_NULL(fault_of("", 19, 1));
    CU_ASSERT_PTR_NOT_NULL(fault_of("a", 20, 1));
    CU_ASSERT_PTR_NOT_NULL(fault_of("a", 1, HS_MAX_EVACUATED_ZONES + 1));
}

#define DAEMONS 74
#define TICK_MS 80
#define SENDS_PER_TICK 16 /* 200 a second. */
#define MAX_DELAY_MS 300
#define LOSS_PERCENT 30
/** Time until all daemons know of an evacuation: the delay of the store, and a few rounds. */
#define MAX_SPREAD_MS 800

/** A third of the daemons has no store. Datagrams are lost, and arrive with the next tick. */
typedef struct {
    hs_evacuation *states[DAEMONS];
    uint32_t store_delays_ms[DAEMONS];
    unsigned int seed;
    uint64_t position;     /**< Of the store's topic. */
    bool is_evacuated;     /**< By the store's newest record. */
    uint64_t written_ms;   /**< When that record was acknowledged. */
    uint64_t last_sent_ms; /**< When a request was last allowed to the zone. */
    uint32_t datagrams;
} simulated_fleet;

static uint32_t draw(simulated_fleet *fleet, uint32_t bound) {
    return (uint32_t)rand_r(&fleet->seed) % bound;
}

static bool has_store(int daemon) {
    return daemon % 3 != 0;
}

static void deliver(simulated_fleet *fleet, int from, int to, uint64_t now_ms) {
    fleet->datagrams++;
    if (draw(fleet, 100) < LOSS_PERCENT)
        return;
    hs_evacuation_set set;
    hs_evacuation_set_init(&set, 0);
    hs_evacuation_list(fleet->states[from], &set);
    for (guint index = set.records->len; index > 0; index--)
        if (!g_array_index(set.records, hs_evacuation_record, index - 1).is_evacuated)
            g_array_remove_index(set.records, index - 1);
    if (!hs_evacuation_is_newer(fleet->states[to], &set))
        hs_evacuation_apply_set(fleet->states[to], &set, HS_EVACUATION_FROM_PEER, 0, now_ms, NULL);
    else if (from != to)
        deliver(fleet, to, from, now_ms);
    hs_evacuation_set_clear(&set);
}

static void tick(simulated_fleet *fleet, uint64_t now_ms) {
    for (int daemon = 0; daemon < DAEMONS; daemon++) {
        hs_evacuation *state = fleet->states[daemon];
        hs_evacuation_note_running(state, now_ms);
        bool is_read =
            has_store(daemon) && now_ms >= fleet->written_ms + fleet->store_delays_ms[daemon];
        if (is_read)
            hs_evacuation_apply_record(state, "a", fleet->is_evacuated, fleet->position, now_ms);
        if (has_store(daemon))
            hs_evacuation_note_read(state, now_ms, true, now_ms);
        uint32_t recipients = hs_evacuation_take_recipients(state, now_ms);
        for (uint32_t sent = 0; sent < recipients; sent++)
            deliver(fleet, daemon, (int)draw(fleet, DAEMONS), now_ms);
    }
    for (int send = 0; send < SENDS_PER_TICK; send++)
        if (hs_evacuation_zone_use(fleet->states[draw(fleet, DAEMONS)], "a", now_ms) !=
            HS_ZONE_CLOSED)
            fleet->last_sent_ms = now_ms;
}

static uint64_t run_fleet(simulated_fleet *fleet, uint64_t from_ms, uint64_t until_ms) {
    for (uint64_t now_ms = from_ms; now_ms < until_ms; now_ms += TICK_MS)
        tick(fleet, now_ms);
    return until_ms;
}

static int count_with_use(const simulated_fleet *fleet, hs_zone_use use, uint64_t now_ms) {
    int count = 0;
    for (int daemon = 0; daemon < DAEMONS; daemon++)
        count += hs_evacuation_zone_use(fleet->states[daemon], "a", now_ms) == use;
    return count;
}

static void run_evacuation(unsigned int seed) {
    simulated_fleet fleet = {.seed = seed, .position = 10, .written_ms = 2000};
    for (int daemon = 0; daemon < DAEMONS; daemon++) {
        fleet.states[daemon] = make_state();
        fleet.store_delays_ms[daemon] = draw(&fleet, MAX_DELAY_MS);
    }
    run_fleet(&fleet, 1080, 2000);
    CU_ASSERT_EQUAL(fleet.datagrams, 0); /* Without an evacuation nothing is sent. */
    fleet.is_evacuated = true;
    uint64_t now_ms = run_fleet(&fleet, 2000, 2000 + MAX_SPREAD_MS);
    CU_ASSERT_EQUAL(count_with_use(&fleet, HS_ZONE_OPEN, now_ms), 0);
    now_ms = run_fleet(&fleet, now_ms, 2000 + LIMIT_MS + 1000);
    CU_ASSERT(fleet.last_sent_ms > 2000 && fleet.last_sent_ms < 2000 + LIMIT_MS);
    CU_ASSERT_EQUAL(count_with_use(&fleet, HS_ZONE_CLOSED, now_ms), DAEMONS);
    uint32_t before = fleet.datagrams;
    hs_evacuation_free(fleet.states[0]); /* A daemon without the store starts again. */
    fleet.states[0] = make_state();
    now_ms = run_fleet(&fleet, now_ms, now_ms + 8000);
    CU_ASSERT((fleet.datagrams - before) / 8 <= 10 * DAEMONS);
    CU_ASSERT_EQUAL(count_with_use(&fleet, HS_ZONE_CLOSED, now_ms), DAEMONS);
    fleet.is_evacuated = false;
    fleet.position++;
    fleet.written_ms = now_ms;
    now_ms = run_fleet(&fleet, now_ms, now_ms + 4000);
    CU_ASSERT_EQUAL(count_with_use(&fleet, HS_ZONE_OPEN, now_ms), DAEMONS);
    for (int daemon = 0; daemon < DAEMONS; daemon++)
        hs_evacuation_free(fleet.states[daemon]);
}

/** Guards against a daemon without the store that sends to the zone after the limit. */
static void all_daemons_leave_the_zone_in_time(void) {
    for (unsigned int seed = 1; seed <= 20; seed++)
        run_evacuation(seed);
}

const test_case evacuation_tests[] = {
    {"zones_close_after_half_of_the_limit", zones_close_after_half_of_the_limit},
    {"the_higher_position_counts_whatever_the_source",
     the_higher_position_counts_whatever_the_source},
    {"a_withdrawal_shows_an_evacuation_that_was_missed",
     a_withdrawal_shows_an_evacuation_that_was_missed},
    {"an_evacuation_of_unknown_age_closes_the_zone_at_once",
     an_evacuation_of_unknown_age_closes_the_zone_at_once},
    {"a_suspended_daemon_reads_the_store_before_it_sends",
     a_suspended_daemon_reads_the_store_before_it_sends},
    {"invalid_sets_are_detected", invalid_sets_are_detected},
    {"all_daemons_leave_the_zone_in_time", all_daemons_leave_the_zone_in_time},
    {NULL, NULL}};
