/** @file test_words.c  Words of engines' arbiters that travel between daemons. */
#include "base/clock.h"
#include "base/hash.h"
#include "fleet/engine_words.h"
#include "fleet/fleet_engine.h"
#include "fleet/slot_ledger.h"
#include "tests/unit/unit_tests.h"

#include <math.h>
#include <string.h>

static void the_freshest_words_are_passed_on(void) {
    hs_engine_word words[40];
    for (size_t index = 0; index < G_N_ELEMENTS(words); index++)
        words[index] = (hs_engine_word){index, (index * 7 % 40) * 50};
    CU_ASSERT_EQUAL(hs_engine_words_pick(words, 40), HS_ENGINE_WORDS_MOST);
    for (size_t index = 0; index < HS_ENGINE_WORDS_MOST; index++)
        CU_ASSERT_EQUAL(words[index].age_ms, index * 50);
    hs_engine_word old[] = {{1, HS_ENGINE_WORD_VALID_MS}, {2, HS_ENGINE_WORD_VALID_MS - 1}};
    CU_ASSERT_EQUAL(hs_engine_words_pick(old, 2), 1);
    CU_ASSERT_EQUAL(old[0].engine_hash, 2);
}

static void a_word_fades(void) {
    CU_ASSERT_EQUAL(hs_engine_word_weight(0), 1);
    CU_ASSERT_EQUAL(hs_engine_word_weight(HS_ENGINE_WORD_FRESH_MS), 1);
    CU_ASSERT_DOUBLE_EQUAL(hs_engine_word_weight(625), 0.5, 1e-9);
    CU_ASSERT_EQUAL(hs_engine_word_weight(HS_ENGINE_WORD_VALID_MS), 0);
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

static hs_engine_total word_on(const char *id, uint32_t online, uint32_t age_ms) {
    return (hs_engine_total){
        .engine_hash = hs_hash_bytes(id, strlen(id)), .online = online, .age_ms = age_ms};
}

static double others_on(hs_fleet_engines *engines, const char *id) {
    uint64_t now_ms = hs_clock_monotonic_ms();
    hs_fleet_engines_update_mean_loads(engines, now_ms);
    return hs_fleet_engine_others_online(g_hash_table_lookup(engines->by_id, id), now_ms);
}

/** A fresher word replaces an older one, whoever brought it; it answers no question. */
static void only_a_fresher_word_counts(void) {
    hs_fleet_engines *engines = list_engines(2);
    hs_fleet_engine *engine = g_hash_table_lookup(engines->by_id, "e0");
    hs_engine_total word = word_on("e0", 5, 100);
    hs_fleet_engines_put_passed_on(engines, &word);
    CU_ASSERT_EQUAL(others_on(engines, "e0"), 5);
    CU_ASSERT_EQUAL(engine->response_count, 0);
    word = word_on("e0", 7, 200);
    hs_fleet_engines_put_passed_on(engines, &word);
    CU_ASSERT_EQUAL(others_on(engines, "e0"), 5);
    word = word_on("e0", 3, 0);
    hs_fleet_engines_put_total(engines, &word);
    CU_ASSERT_EQUAL(others_on(engines, "e0"), 3);
    CU_ASSERT_EQUAL(engine->response_count, 1);
    word = word_on("e0", 9, 50);
    hs_fleet_engines_put_passed_on(engines, &word);
    CU_ASSERT_EQUAL(others_on(engines, "e0"), 3);
    CU_ASSERT_EQUAL(others_on(engines, "e1"), 0);
    hs_fleet_engines_free(engines);
}

/** What this daemon sent since the word was said is not in it. */
static void own_requests_since_a_word_are_added(void) {
    hs_fleet_engines *engines = list_engines(1);
    hs_engine_query query = {.service = "svc"};
    hs_engine_lease *lease = hs_fleet_engines_take(engines, &query);
    hs_engine_total word = word_on("e0", 6, 100);
    hs_fleet_engines_put_passed_on(engines, &word);
    CU_ASSERT_EQUAL(others_on(engines, "e0"), 6);
    hs_clock_sleep_ms(5);
    word = word_on("e0", 6, 0);
    hs_fleet_engines_put_passed_on(engines, &word);
    CU_ASSERT_EQUAL(others_on(engines, "e0"), 5);
    hs_engine_lease_release(lease, NULL, HS_ATTEMPT_DROPPED);
    hs_fleet_engines_free(engines);
}

/** Of an engine of which nothing is known the mean is believed, and of one long ago known partly.
 */
static void the_mean_takes_the_place_of_old_words(void) {
    hs_fleet_engines *engines = list_engines(6);
    static const char *const fresh[] = {"e0", "e1", "e2"};
    for (size_t index = 0; index < G_N_ELEMENTS(fresh); index++) {
        hs_engine_total word = word_on(fresh[index], 5 + (uint32_t)index, 10);
        hs_fleet_engines_put_passed_on(engines, &word);
    }
    hs_engine_total old = word_on("e3", 0, 625);
    hs_fleet_engines_put_passed_on(engines, &old);
    CU_ASSERT_DOUBLE_EQUAL(others_on(engines, "e3"), 3, 0.1);
    CU_ASSERT_EQUAL(others_on(engines, "e4"), 6);
    hs_clock_sleep_ms(HS_ENGINE_WORD_FRESH_MS); /* No fresh word is left: nothing is known. */
    CU_ASSERT_EQUAL(others_on(engines, "e4"), 0);
    hs_fleet_engines_free(engines);
}

/** Answers alone, as from older builds, and loads of peers count as ever. */
static void without_words_passed_on_nothing_changes(void) {
    hs_fleet_engines *engines = list_engines(5);
    static const char *const told[] = {"e0", "e1", "e2", "e3"};
    for (size_t index = 0; index < G_N_ELEMENTS(told); index++) {
        hs_engine_total word = word_on(told[index], 7, 0);
        hs_fleet_engines_put_total(engines, &word);
    }
    CU_ASSERT_EQUAL(others_on(engines, "e0"), 7);
    CU_ASSERT_EQUAL(others_on(engines, "e4"), 0);
    hs_clock_sleep_ms(HS_ENGINE_WORD_FRESH_MS);
    CU_ASSERT_EQUAL(others_on(engines, "e0"), 0);
    CU_ASSERT_FALSE(hs_fleet_engines_passes_words(engines));
    hs_fleet_engines_free(engines);
}

/** Three daemons' requests fail on engine 7 until 105. */
static void take_down(hs_slot_ledger *ledger, GArray *asks) {
    static const char *const daemons[] = {"a", "b", "c"};
    for (uint64_t index = 0; index < 6; index++) { /* Each starts a request, and it fails. */
        hs_slot_word word = {.daemon = daemons[index / 2], .incarnation = 1};
        word.use = (hs_engine_use){
            .engine_hash = 7, .sequence = index + 1, .slots = 8, .failed = index % 2};
        word.use.online = 1 - word.use.failed;
        hs_slot_ledger_take(ledger, &word, 100 + index, asks);
    }
}

/** A failing word keeps away, and no longer than its arbiter means it. */
static void a_failing_word_spreads_and_ends(void) {
    hs_slot_ledger *ledger = hs_slot_ledger_new();
    g_autoptr(GArray) asks = g_array_new(FALSE, FALSE, sizeof(hs_slot_ask));
    g_autoptr(GArray) words = g_array_new(FALSE, FALSE, sizeof(hs_engine_total));
    take_down(ledger, asks);
    hs_slot_ledger_list(ledger, 110, words);
    CU_ASSERT_EQUAL_FATAL(words->len, 1);
    CU_ASSERT_TRUE(g_array_index(words, hs_engine_total, 0).is_failing);
    g_array_set_size(words, 0);
    hs_slot_ledger_list(ledger, 1200, words); /* Its time down is over: one may go and see. */
    CU_ASSERT_FALSE(g_array_index(words, hs_engine_total, 0).is_failing);
    hs_slot_word trial = {.daemon = "a", .incarnation = 1};
    trial.use =
        (hs_engine_use){.engine_hash = 7, .sequence = 9, .slots = 8, .failed = 1, .online = 1};
    CU_ASSERT_FALSE(hs_slot_ledger_take(ledger, &trial, 1201, asks).is_failing);
    g_array_set_size(words, 0);
    hs_slot_ledger_list(ledger, 1202, words);
    CU_ASSERT_TRUE(g_array_index(words, hs_engine_total, 0).is_failing);
    hs_slot_ledger_free(ledger);
}

/**
 * A stream that goes on there keeps its daemon's words coming. They must not say that the engine
 * fails when the next request may go: that word travels, and nobody would go and see.
 */
static void a_word_without_a_start_ends_with_the_time_down(void) {
    hs_slot_ledger *ledger = hs_slot_ledger_new();
    g_autoptr(GArray) asks = g_array_new(FALSE, FALSE, sizeof(hs_slot_ask));
    hs_slot_word stream = {.daemon = "d", .incarnation = 1};
    stream.use = (hs_engine_use){.engine_hash = 7, .sequence = 1, .slots = 8, .batch = 1};
    hs_slot_ledger_take(ledger, &stream, 99, asks);
    take_down(ledger, asks);
    stream.use.sequence = 7;
    CU_ASSERT_TRUE(hs_slot_ledger_take(ledger, &stream, 110, asks).is_failing);
    stream.use.sequence = 8;
    CU_ASSERT_FALSE(hs_slot_ledger_take(ledger, &stream, 1200, asks).is_failing);
    hs_slot_word trial = {.daemon = "a", .incarnation = 1};
    trial.use =
        (hs_engine_use){.engine_hash = 7, .sequence = 9, .slots = 8, .failed = 1, .online = 1};
    CU_ASSERT_FALSE(hs_slot_ledger_take(ledger, &trial, 1201, asks).is_failing);
    stream.use.sequence = 10;
    CU_ASSERT_TRUE(hs_slot_ledger_take(ledger, &stream, 1202, asks).is_failing);
    hs_slot_ledger_free(ledger);
}

const test_case word_tests[] = {
    {"the_freshest_words_are_passed_on", the_freshest_words_are_passed_on},
    {"a_word_fades", a_word_fades},
    {"only_a_fresher_word_counts", only_a_fresher_word_counts},
    {"own_requests_since_a_word_are_added", own_requests_since_a_word_are_added},
    {"the_mean_takes_the_place_of_old_words", the_mean_takes_the_place_of_old_words},
    {"without_words_passed_on_nothing_changes", without_words_passed_on_nothing_changes},
    {"a_failing_word_spreads_and_ends", a_failing_word_spreads_and_ends},
    {"a_word_without_a_start_ends_with_the_time_down",
     a_word_without_a_start_ends_with_the_time_down},
    {NULL, NULL}};
