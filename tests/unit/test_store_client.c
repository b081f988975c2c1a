/** @file test_store_client.c  Calls while the stand-in store refuses them, is slow or silent. */
#include "base/clock.h"
#include "standin/log_store/log_store.h"
#include "store/store_client.h"
#include "tests/unit/unit_tests.h"

#include <netinet/in.h>

#define APPEND_TIMEOUT_MS 60
#define OUTAGE_MS 1000
/** Failures until the store counts as failing, plus one probe per 250 ms. */
#define MAX_APPENDS 8
/** Number of refused calls, more than any test makes. */
#define REFUSED_CALLS 1000000
/** Delay in ms of a slow store's answers, and the limit of a read that must succeed all the same.
 */
#define SLOW_MS 800
#define SLOW_READ_LIMIT_MS 1200
/** Limit in ms of a read that starts while the store is silent, how long it is, and the limit from
 * the store's return to the read's end. */
#define LONG_READ_LIMIT_MS 4000
#define SILENCE_MS 1000
#define NOTICE_LIMIT_MS 1000

static hs_store_outcome append_once(hs_store_client *client) {
    GByteArray *records = g_byte_array_new();
    GByteArray *response = g_byte_array_new();
    hs_platform_frame_record(records, "text", 4);
    hs_store_call call = hs_platform_build_append_call(HS_TOPIC_JOBS, 0, records);
    hs_store_outcome outcome = hs_store_client_send(
        client, &call, hs_clock_monotonic_ms() + APPEND_TIMEOUT_MS, NULL, response);
    g_byte_array_free(response, TRUE);
    g_byte_array_free(records, TRUE);
    return outcome;
}

static hs_store_outcome read_once(hs_store_client *client) {
    GByteArray *response = g_byte_array_new();
    hs_store_call call = hs_platform_build_read_call(HS_TOPIC_JOBS, 0, 0, 1, 0);
    hs_store_outcome outcome =
        hs_store_client_send(client, &call, hs_clock_monotonic_ms() + OUTAGE_MS, NULL, response);
    g_byte_array_free(response, TRUE);
    return outcome;
}

/** Appends without a pause for up to @p time_ms. Returns whether an append succeeded. */
static bool append_until_done(hs_store_client *client, uint64_t time_ms) {
    uint64_t until_ms = hs_clock_monotonic_ms() + time_ms;
    bool done = false;
    while (!done && hs_clock_monotonic_ms() < until_ms)
        done = append_once(client) == HS_STORE_DONE;
    return done;
}

/** A store that refuses appends, and a client of the store. */
typedef struct {
    log_store *store;
    hs_store_client *client;
} failing_store;

static failing_store open_failing_store(void) {
    failing_store opened = {.store = log_store_start(0)};
    opened.client = hs_store_client_new(INADDR_LOOPBACK, log_store_port(opened.store));
    log_store_set_mode(opened.store, LOG_STORE_REFUSES, "/log-append", REFUSED_CALLS);
    return opened;
}

static void close_failing_store(const failing_store *opened) {
    hs_store_client_free(opened->client);
    log_store_stop(opened->store);
}

static void appends_are_limited_while_the_store_is_failing(void) {
    failing_store opened = open_failing_store();
    CU_ASSERT_FALSE(append_until_done(opened.client, OUTAGE_MS));
    CU_ASSERT_TRUE(log_store_call_count(opened.store, "/log-append") <= MAX_APPENDS);
    close_failing_store(&opened);
}

static void appends_resume_after_one_successful_call(void) {
    failing_store opened = open_failing_store();
    append_until_done(opened.client, OUTAGE_MS / 4);
    CU_ASSERT_TRUE(hs_store_client_is_failing(opened.client));
    log_store_set_mode(opened.store, LOG_STORE_HEALTHY, "", 0);
    CU_ASSERT_EQUAL(read_once(opened.client), HS_STORE_DONE);
    CU_ASSERT_EQUAL(append_once(opened.client), HS_STORE_DONE);
    CU_ASSERT_EQUAL(append_once(opened.client), HS_STORE_DONE);
    close_failing_store(&opened);
}

/** If a client makes only appends, one of them must detect that the store has recovered. */
static void a_probe_append_detects_recovery(void) {
    failing_store opened = open_failing_store();
    append_until_done(opened.client, OUTAGE_MS / 4);
    log_store_set_mode(opened.store, LOG_STORE_HEALTHY, "", 0);
    CU_ASSERT_TRUE(append_until_done(opened.client, OUTAGE_MS));
    close_failing_store(&opened);
}

static hs_store_outcome read_within(hs_store_client *client, uint64_t limit_ms) {
    GByteArray *response = g_byte_array_new();
    hs_store_call call = hs_platform_build_read_call(HS_TOPIC_JOBS, 0, 0, 1, 0);
    hs_store_outcome outcome =
        hs_store_client_send(client, &call, hs_clock_monotonic_ms() + limit_ms, NULL, response);
    g_byte_array_free(response, TRUE);
    return outcome;
}

/** Guards against a used connection that is given up although the store is merely slow. */
static void reads_on_used_connections_wait_for_a_slow_store(void) {
    failing_store opened = open_failing_store();
    CU_ASSERT_EQUAL(read_once(opened.client), HS_STORE_DONE);
    log_store_set_delay(opened.store, SLOW_MS);
    for (int read = 0; read < 3; read++)
        CU_ASSERT_EQUAL(read_within(opened.client, SLOW_READ_LIMIT_MS), HS_STORE_DONE);
    close_failing_store(&opened);
}

/** Guards against repeated calls that load a store because it is slow. */
static void reads_are_not_repeated_once_the_store_is_known_to_be_slow(void) {
    failing_store opened = open_failing_store();
    log_store_set_delay(opened.store, SLOW_MS);
    CU_ASSERT_EQUAL(read_within(opened.client, LONG_READ_LIMIT_MS), HS_STORE_DONE);
    hs_clock_sleep_ms(2 * SLOW_MS); /* The store counts calls after its delay. */
    uint32_t before = log_store_call_count(opened.store, "/log-read");
    for (int read = 0; read < 4; read++)
        CU_ASSERT_EQUAL(read_within(opened.client, LONG_READ_LIMIT_MS), HS_STORE_DONE);
    hs_clock_sleep_ms(2 * SLOW_MS);
    CU_ASSERT_EQUAL(log_store_call_count(opened.store, "/log-read") - before, 4);
    close_failing_store(&opened);
}

static gpointer end_silence_later(gpointer data) {
    hs_clock_sleep_ms(SILENCE_MS);
    log_store_set_mode(data, LOG_STORE_HEALTHY, NULL, 0);
    return NULL;
}

/** Guards against a long limit that delays noticing that new connections work. */
static void a_read_sent_into_silence_ends_soon_after_the_store_returns(void) {
    for (int is_reused = 0; is_reused < 2; is_reused++) {
        failing_store opened = open_failing_store();
        if (is_reused)
            CU_ASSERT_EQUAL(read_once(opened.client), HS_STORE_DONE);
        log_store_set_mode(opened.store, LOG_STORE_UNRESPONSIVE, "/log-read", REFUSED_CALLS);
        uint64_t started_ms = hs_clock_monotonic_ms();
        GThread *thread = g_thread_new("end-silence", end_silence_later, opened.store);
        CU_ASSERT_EQUAL(read_within(opened.client, LONG_READ_LIMIT_MS), HS_STORE_DONE);
        CU_ASSERT(hs_clock_monotonic_ms() - started_ms < SILENCE_MS + NOTICE_LIMIT_MS);
        g_thread_join(thread);
        close_failing_store(&opened);
    }
}

const test_case store_client_tests[] = {
    {"reads_on_used_connections_wait_for_a_slow_store",
     reads_on_used_connections_wait_for_a_slow_store},
    {"reads_are_not_repeated_once_the_store_is_known_to_be_slow",
     reads_are_not_repeated_once_the_store_is_known_to_be_slow},
    {"a_read_sent_into_silence_ends_soon_after_the_store_returns",
     a_read_sent_into_silence_ends_soon_after_the_store_returns},
    {"appends_are_limited_while_the_store_is_failing",
     appends_are_limited_while_the_store_is_failing},
    {"appends_resume_after_one_successful_call", appends_resume_after_one_successful_call},
    {"a_probe_append_detects_recovery", a_probe_append_detects_recovery},
    {NULL, NULL}};
