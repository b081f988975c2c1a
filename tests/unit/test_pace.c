/** @file test_pace.c  The pace of engines: what is concluded from runs and words, and its ways. */
#include "base/clock.h"
#include "base/hash.h"
#include "fleet/engine_choice.h"
#include "fleet/engine_pace.h"
#include "fleet/slot_ledger.h"
#include "tests/unit/unit_tests.h"

#include <math.h>
#include <string.h>

#define SERVICE_EVENT_MS 10.0
#define NEAR 0.02

static double factor(const hs_engine_pace *pace, uint64_t now_ms) {
    return hs_engine_pace_factor(pace, SERVICE_EVENT_MS, now_ms);
}

/** A new engine is the mean one; its first runs count, and what is alike stays alike. */
static void first_runs_tell_a_slow_engine(void) {
    hs_engine_pace pace = {0};
    CU_ASSERT_EQUAL(factor(&pace, 1000), 1);
    CU_ASSERT_EQUAL(hs_engine_pace_event_us(&pace, 1000), 0);
    for (int runs = 0; runs < 3; runs++)
        hs_engine_pace_note_events(&pace, 18, 18 * 16, 1000);
    CU_ASSERT(factor(&pace, 1000) > 1.4 && factor(&pace, 1000) < 1.6);
    CU_ASSERT_EQUAL(hs_engine_pace_event_us(&pace, 1000), 16000);
    CU_ASSERT_EQUAL(hs_engine_pace_factor(&pace, 0, 1000), 1); /* No mean to compare with. */
    CU_ASSERT_EQUAL(factor(&pace, 400000), 1);                 /* Long ago. */
    hs_engine_pace alike = {0};
    hs_engine_pace_note_events(&alike, 1000, 12000, 1000);
    CU_ASSERT_EQUAL(factor(&alike, 1000), 1);
    hs_engine_pace_note_events(&alike, 0, 90000, 1000); /* No events: nothing is known of them. */
    CU_ASSERT_EQUAL(factor(&alike, 1000), 1);
}

/** The arbiter's word on events is of all daemons: it goes before own runs while it is fresh. */
static void all_daemons_know_more_than_one(void) {
    hs_engine_pace pace = {0};
    hs_engine_pace_put_event_us(&pace, 6000, 1000);
    CU_ASSERT_DOUBLE_EQUAL(factor(&pace, 1000), 0.6, 1e-9);
    hs_engine_pace_put_event_us(&pace, 0, 1500); /* An older build, or one that began anew. */
    CU_ASSERT_DOUBLE_EQUAL(factor(&pace, 2000), 0.6, 1e-9);
    CU_ASSERT_EQUAL(factor(&pace, 1000 + 20000), 1);
    hs_engine_pace_put_event_us(&pace, UINT32_MAX, 30000);
    CU_ASSERT_DOUBLE_EQUAL(factor(&pace, 30000), 4, 1e-9);
}

/** A word counts at once, and fades by how long such words were seen to stay. */
static void words_fade_as_they_were_seen_to(void) {
    hs_engine_pace pace = {0};
    for (uint64_t now_ms = 1000; now_ms < 5000; now_ms += 100)
        hs_engine_pace_note_word(&pace, 100, 0, now_ms);
    CU_ASSERT_EQUAL(factor(&pace, 5000), 1);
    hs_engine_pace_note_word(&pace, 250, 0, 5000);
    CU_ASSERT(factor(&pace, 5000) > 2.3 && factor(&pace, 5000) <= 2.5);
    double unseen = factor(&pace, 5300);
    CU_ASSERT(unseen > 1.3 && unseen < 1.8);
    CU_ASSERT_EQUAL(factor(&pace, 8000), 1);
    hs_engine_pace brief = pace;
    for (uint64_t now_ms = 5050; now_ms < 9000; now_ms += 50)
        hs_engine_pace_note_word(&brief, now_ms % 500 == 0 ? 250 : 100, 0, now_ms);
    hs_engine_pace_note_word(&brief, 250, 0, 9000); /* Each was over within 50 ms. */
    CU_ASSERT(factor(&brief, 9000) > 1.8);
    CU_ASSERT(factor(&brief, 9300) < unseen - 0.2);
}

/** Old words, repeated ones and those that nobody can mean change nothing. */
static void words_that_say_nothing_are_passed_over(void) {
    hs_engine_pace pace = {0};
    hs_engine_pace_note_word(&pace, 0, 0, 1000);
    hs_engine_pace_note_word(&pace, 5, 0, 1000);
    hs_engine_pace_note_word(&pace, 4000000000U, 0, 1000);
    hs_engine_pace_note_word(&pace, 250, 5000, 1000); /* Before the clock began. */
    CU_ASSERT_EQUAL(pace.slowdown_percent, 0);
    CU_ASSERT_EQUAL(factor(&pace, 1000), 1);
    hs_engine_pace_note_word(&pace, 250, 100, 1000);
    hs_engine_pace_note_word(&pace, 100, 200, 1050); /* Older than what is known. */
    CU_ASSERT_EQUAL(pace.slowdown_percent, 250);
    hs_engine_pace before = pace;
    hs_engine_pace_note_word(&pace, 250, 145, 1050); /* The same, by another daemon. */
    CU_ASSERT(pace.told_ms == before.told_ms && pace.words == before.words);
    CU_ASSERT(pace.usual_above == before.usual_above && pace.unusual_ms == before.unusual_ms);
}

/** An engine that always tells the same is at its usual pace. */
static void a_constant_word_says_nothing(void) {
    hs_engine_pace pace = {0};
    for (uint64_t now_ms = 1000; now_ms < 61000; now_ms += 100)
        hs_engine_pace_note_word(&pace, 400, 0, now_ms);
    CU_ASSERT_DOUBLE_EQUAL(factor(&pace, 61000), 1, NEAR);
    hs_engine_pace_note_word(&pace, 10000, 0, 61000);
    CU_ASSERT(factor(&pace, 61000) <= 10);
}

/** A pace of 0 and of 1 give the costs of engines whose pace nobody knows, to the digit. */
static void no_pace_changes_no_cost(void) {
    hs_engine_speed speed = {
        .tokens_per_ms = 50, .run_ms = 1000, .online_run_ms = 700, .first_byte_ms = 20};
    hs_engine_candidate candidate = {.slots = 8,
                                     .running = 10,
                                     .batch = 1,
                                     .queued_tokens = 1000,
                                     .uncached_tokens = 500,
                                     .failure_rate = 0.125};
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
    candidate.pace = 2; /* What grows with the work there counts twice. */
    CU_ASSERT_EQUAL(hs_engine_choice_cost(&candidate, &speed), unknown + 20 + 25 + 250);
    hs_engine_speed slow = hs_engine_speed_at(&speed, 2);
    CU_ASSERT_EQUAL(hs_engine_choice_wait_ms(12, 8, 1000, &slow), 4.0 / 8 * 1400 + 40);
    CU_ASSERT_FALSE(hs_engine_choice_is_quick(100, &slow, 139));
    CU_ASSERT_TRUE(hs_engine_choice_is_quick(100, &speed, 139));
    CU_ASSERT_TRUE(hs_engine_choice_is_hopeless(100, &slow, 139));
    CU_ASSERT_FALSE(hs_engine_choice_is_hopeless(100, &speed, 139));
}

/** A word of a daemon with what its runs made there so far. */
static hs_engine_total tell(hs_slot_ledger *ledger, const char *daemon, uint64_t incarnation,
                            uint64_t events, uint64_t took_ms, uint64_t now_ms) {
    static uint64_t sequence = 0;
    g_autoptr(GArray) asks = g_array_new(FALSE, FALSE, sizeof(hs_slot_ask));
    hs_slot_word word = {.daemon = daemon,
                         .incarnation = incarnation,
                         .use = {.engine_hash = 7,
                                 .sequence = ++sequence,
                                 .slots = 8,
                                 .run_events = events,
                                 .run_ms = took_ms}};
    return hs_slot_ledger_take(ledger, &word, now_ms, asks);
}

/** The arbiter counts all daemons' runs together; a lost word, a restart or an old build is no run.
 */
static void an_arbiter_counts_the_runs_of_all(void) {
    hs_slot_ledger *ledger = hs_slot_ledger_new();
    CU_ASSERT_EQUAL(tell(ledger, "a", 1, 90000, 9, 1000).event_us, 0); /* Where its counts stand. */
    CU_ASSERT_EQUAL(tell(ledger, "b", 1, 0, 0, 1000).event_us, 0);
    CU_ASSERT_EQUAL(tell(ledger, "a", 1, 90015, 9 + 120, 1100).event_us, 0); /* Too few. */
    CU_ASSERT_EQUAL(tell(ledger, "b", 1, 30, 480, 1100).event_us, 600 * 1000 / 45);
    /* Two words were lost: the third has all of their runs. */
    CU_ASSERT_EQUAL(tell(ledger, "b", 1, 75, 480 + 600, 1100).event_us, 1200 * 1000 / 90);
    CU_ASSERT_EQUAL(tell(ledger, "b", 2, 500, 3, 1100).event_us, 1200 * 1000 / 90);
    CU_ASSERT_EQUAL(tell(ledger, "a", 1, 0, 0, 1100).event_us, 1200 * 1000 / 90);
    CU_ASSERT_EQUAL(tell(ledger, "a", 1, 3, 1000000, 1100).event_us, 1200 * 1000 / 90);
    hs_slot_ledger_expire(ledger, 11000); /* Nobody uses it for a while: its machine is the same. */
    CU_ASSERT_EQUAL(tell(ledger, "c", 1, 0, 0, 11000).event_us, 1200 * 1000 / 90);
    hs_slot_ledger_expire(ledger, 110000);
    CU_ASSERT_EQUAL(tell(ledger, "c", 1, 0, 0, 110000).event_us, 0);
    hs_slot_ledger_free(ledger);
}

static const char *taken_engine(hs_fleet_engines *engines) {
    static char id[16];
    hs_engine_query query = {.service = "svc"};
    hs_engine_lease *lease = hs_fleet_engines_take(engines, &query);
    g_strlcpy(id, hs_engine_lease_id(lease), sizeof id);
    hs_engine_lease_release(lease, NULL, HS_ATTEMPT_DROPPED);
    return id;
}

/** What an arbiter tells of an engine decides at a daemon that never met it. */
static void a_told_slowdown_decides_elsewhere(void) {
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
    for (int index = 0; index < 2; index++) { /* Both as full; e0 is slow at the moment. */
        const char *id = index == 0 ? "e0" : "e1";
        hs_engine_total total = {.engine_hash = hs_hash_bytes(id, strlen(id)),
                                 .online = 3,
                                 .slowdown_percent = index == 0 ? 250 : 100};
        hs_fleet_engines_put_total(engines, &total);
    }
    for (int turn = 0; turn < 4; turn++)
        CU_ASSERT_STRING_EQUAL(taken_engine(engines), "e1");
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

/** Events of a run are counted from its first, with their time, and told with the engine's word. */
static void a_run_tells_its_events(void) {
    hs_engine_use told = {0};
    hs_fleet_engines *engines = hs_fleet_engines_new("z");
    hs_engine_entry entry = {.id = g_strdup("e"),
                             .service = g_strdup("svc"),
                             .zone = g_strdup("z"),
                             .address = 1,
                             .port = 1,
                             .slots = 4};
    hs_fleet_engines_put(engines, &entry, 1);
    hs_fleet_engines_set_teller(engines, note_use, &told);
    hs_engine_query query = {.service = "svc"};
    hs_engine_lease *lease = hs_fleet_engines_take(engines, &query);
    hs_engine_load load = {.present = true, .slots = 4, .slowdown_percent = 250};
    hs_engine_lease_note_load(lease, &load);
    hs_engine_lease_note_events(lease, 0); /* A piece of an event. */
    hs_engine_lease_note_events(lease, 2);
    g_usleep(30000);
    hs_engine_lease_note_events(lease, 8);
    g_usleep(30000);
    hs_engine_lease_note_events(lease, 8); /* The end, without an event. */
    hs_engine_lease_release(lease, NULL, HS_ATTEMPT_SERVED);
    CU_ASSERT_EQUAL(told.run_events, 6);
    CU_ASSERT(told.run_ms >= 29 && told.run_ms < 59);
    CU_ASSERT_EQUAL(told.slowdown_percent, 250);
    CU_ASSERT(told.slowdown_age_ms >= 59);
    hs_fleet_engines_set_teller(engines, NULL, NULL);
    hs_fleet_engines_free(engines);
}

/** What an arbiter told goes not back to it: on each way the word would grow younger. */
static void only_words_heard_from_the_engine_are_told(void) {
    hs_fleet_engines *engines = hs_fleet_engines_new("z");
    hs_engine_entry entry = {.id = g_strdup("e"),
                             .service = g_strdup("svc"),
                             .zone = g_strdup("z"),
                             .address = 1,
                             .port = 1,
                             .slots = 4};
    hs_fleet_engines_put(engines, &entry, 1);
    hs_engine_query query = {.service = "svc"};
    hs_engine_lease *lease = hs_fleet_engines_take(engines, &query);
    hs_engine_total total = {.engine_hash = hs_hash_bytes("e", 1), .slowdown_percent = 250};
    hs_fleet_engines_put_total(engines, &total);
    g_autoptr(GArray) echoed = hs_fleet_engines_own_uses(engines);
    CU_ASSERT_EQUAL_FATAL(echoed->len, 1);
    CU_ASSERT_EQUAL(g_array_index(echoed, hs_engine_use, 0).slowdown_percent, 0);
    CU_ASSERT_EQUAL(g_array_index(echoed, hs_engine_use, 0).slowdown_age_ms, 0);
    hs_engine_load load = {.present = true, .slots = 4, .slowdown_percent = 180};
    hs_engine_lease_note_load(lease, &load);
    hs_fleet_engines_put_total(engines, &total);
    g_autoptr(GArray) heard = hs_fleet_engines_own_uses(engines);
    CU_ASSERT_EQUAL(g_array_index(heard, hs_engine_use, 0).slowdown_percent, 180);
    hs_engine_lease_release(lease, NULL, HS_ATTEMPT_DROPPED);
    hs_fleet_engines_free(engines);
}

/** An engine that says that it is slow has longer for a head; a fast one no less than the mean. */
static void a_slow_engine_is_not_called_silent(void) {
    hs_fleet_engines *engines = hs_fleet_engines_new("z");
    hs_engine_entry entry = {.id = g_strdup("e"),
                             .service = g_strdup("svc"),
                             .zone = g_strdup("z"),
                             .address = 1,
                             .port = 1,
                             .slots = 4};
    hs_fleet_engines_put(engines, &entry, 1);
    hs_engine_query query = {.service = "svc"};
    hs_engine_lease *lease = hs_fleet_engines_take(engines, &query);
    g_usleep(20000);
    for (int heads = 0; heads < 10; heads++)
        hs_engine_lease_head_came(lease);
    uint32_t usual_ms = hs_engine_lease_head_limit_ms(lease, 4000);
    CU_ASSERT_FATAL(usual_ms > 0);
    uint64_t hash = hs_hash_bytes("e", 1);
    hs_fleet_engines_put_total(engines,
                               &(hs_engine_total){.engine_hash = hash, .slowdown_percent = 250});
    CU_ASSERT(hs_engine_lease_head_limit_ms(lease, 4000) > 2 * usual_ms - 2);
    g_usleep(2000);
    hs_fleet_engines_put_total(engines,
                               &(hs_engine_total){.engine_hash = hash, .slowdown_percent = 50});
    CU_ASSERT_EQUAL(hs_engine_lease_head_limit_ms(lease, 4000), usual_ms);
    hs_engine_lease_release(lease, NULL, HS_ATTEMPT_DROPPED);
    hs_fleet_engines_free(engines);
}

const test_case pace_tests[] = {
    {"first_runs_tell_a_slow_engine", first_runs_tell_a_slow_engine},
    {"all_daemons_know_more_than_one", all_daemons_know_more_than_one},
    {"words_fade_as_they_were_seen_to", words_fade_as_they_were_seen_to},
    {"words_that_say_nothing_are_passed_over", words_that_say_nothing_are_passed_over},
    {"a_constant_word_says_nothing", a_constant_word_says_nothing},
    {"no_pace_changes_no_cost", no_pace_changes_no_cost},
    {"an_arbiter_counts_the_runs_of_all", an_arbiter_counts_the_runs_of_all},
    {"a_told_slowdown_decides_elsewhere", a_told_slowdown_decides_elsewhere},
    {"a_run_tells_its_events", a_run_tells_its_events},
    {"only_words_heard_from_the_engine_are_told", only_words_heard_from_the_engine_are_told},
    {"a_slow_engine_is_not_called_silent", a_slow_engine_is_not_called_silent},
    {NULL, NULL}};
