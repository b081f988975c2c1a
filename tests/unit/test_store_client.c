/** @file test_store_client.c  Calls to the stand-in store while it is away. */
#include "base/clock.h"
#include "standin/log_store/log_store.h"
#include "store/store_client.h"
#include "tests/unit/unit_tests.h"

#include <netinet/in.h>

#define TRY_MS 60
#define AWAY_MS 1000
/** The failures that show that the store is away, and a trial each quarter of a second. */
#define APPENDS_MOST 8
/** More calls than a test makes. */
#define ALWAYS 1000000

static hs_store_outcome append_once(hs_store_client *client) {
    GByteArray *records = g_byte_array_new();
    GByteArray *answer = g_byte_array_new();
    hs_platform_frame_record(records, "text", 4);
    hs_store_call call = hs_platform_build_append_call(HS_TOPIC_JOBS, 0, records);
    hs_store_outcome outcome =
        hs_store_client_send(client, &call, hs_clock_monotonic_ms() + TRY_MS, NULL, answer);
    g_byte_array_free(answer, TRUE);
    g_byte_array_free(records, TRUE);
    return outcome;
}

static hs_store_outcome read_once(hs_store_client *client) {
    GByteArray *answer = g_byte_array_new();
    hs_store_call call = hs_platform_build_read_call(HS_TOPIC_JOBS, 0, 0, 1, 0);
    hs_store_outcome outcome =
        hs_store_client_send(client, &call, hs_clock_monotonic_ms() + AWAY_MS, NULL, answer);
    g_byte_array_free(answer, TRUE);
    return outcome;
}

/** Try for @p time_ms without a pause; whether one append was done. */
static bool press(hs_store_client *client, uint64_t time_ms) {
    uint64_t until_ms = hs_clock_monotonic_ms() + time_ms;
    bool done = false;
    while (!done && hs_clock_monotonic_ms() < until_ms)
        done = append_once(client) == HS_STORE_DONE;
    return done;
}

/** A store that takes no appends, and a client of it. */
typedef struct {
    log_store *store;
    hs_store_client *client;
} away_store;

static away_store open_away(void) {
    away_store opened = {.store = log_store_start(0)};
    opened.client = hs_store_client_new(INADDR_LOOPBACK, log_store_port(opened.store));
    log_store_set_mode(opened.store, LOG_STORE_REFUSES, "/log-append", ALWAYS);
    return opened;
}

static void close_away(const away_store *opened) {
    hs_store_client_free(opened->client);
    log_store_stop(opened->store);
}

static void appends_are_held_back_while_the_store_is_away(void) {
    away_store opened = open_away();
    CU_ASSERT_FALSE(press(opened.client, AWAY_MS));
    CU_ASSERT_TRUE(log_store_calls(opened.store, "/log-append") <= APPENDS_MOST);
    close_away(&opened);
}

static void one_answer_lets_all_appends_pass(void) {
    away_store opened = open_away();
    press(opened.client, AWAY_MS / 4);
    CU_ASSERT_TRUE(hs_store_client_is_failing(opened.client));
    log_store_set_mode(opened.store, LOG_STORE_SOUND, "", 0);
    CU_ASSERT_EQUAL(read_once(opened.client), HS_STORE_DONE);
    CU_ASSERT_EQUAL(append_once(opened.client), HS_STORE_DONE);
    CU_ASSERT_EQUAL(append_once(opened.client), HS_STORE_DONE);
    close_away(&opened);
}

/** Where nothing but appends is called, one of them shows that the store is back. */
static void a_trial_finds_the_store_again(void) {
    away_store opened = open_away();
    press(opened.client, AWAY_MS / 4);
    log_store_set_mode(opened.store, LOG_STORE_SOUND, "", 0);
    CU_ASSERT_TRUE(press(opened.client, AWAY_MS));
    close_away(&opened);
}

const test_case store_client_tests[] = {
    {"appends_are_held_back_while_the_store_is_away",
     appends_are_held_back_while_the_store_is_away},
    {"one_answer_lets_all_appends_pass", one_answer_lets_all_appends_pass},
    {"a_trial_finds_the_store_again", a_trial_finds_the_store_again},
    {NULL, NULL}};
