/** @file test_engine_source.c  Reading the engines' topic from the stand-in store. */
#include "base/clock.h"
#include "fleet/engine_source.h"
#include "platform/names.h"
#include "standin/log_store/log_store.h"
#include "tests/unit/unit_tests.h"

#include <netinet/in.h>

#define SOURCE_INTERVAL_MS 1000

/** Time in ms until the store has got @p wanted reads of the engines' log; 0: too long. */
static uint64_t wait_for_reads(log_store *store, uint32_t wanted) {
    uint64_t began_ms = hs_clock_monotonic_ms();
    while (log_store_calls(store, "/log-read") < wanted) {
        if (hs_clock_monotonic_ms() > began_ms + 4ULL * SOURCE_INTERVAL_MS)
            return 0;
        hs_clock_sleep_ms(5);
    }
    return hs_clock_monotonic_ms() - began_ms;
}

/** A lost read is made up for at once: a leaving engine must be known in time. */
static void a_failed_read_of_the_engines_is_tried_again_soon(void) {
    log_store *store = log_store_start(0);
    hs_store_client *client = hs_store_client_new(INADDR_LOOPBACK, log_store_port(store));
    hs_fleet_engines *engines = hs_fleet_engines_new("z");
    hs_engine_source *source = hs_engine_source_new(client, engines, 3 * SOURCE_INTERVAL_MS, 60000);
    hs_engine_source_start(source);
    CU_ASSERT(wait_for_reads(store, 1) > 0);
    log_store_set_mode(store, LOG_STORE_REFUSES, "/log-read", 1);
    uint32_t before = log_store_calls(store, "/log-read");
    CU_ASSERT(wait_for_reads(store, before + 1) > 0); /* It fails, */
    CU_ASSERT(wait_for_reads(store, before + 2) < SOURCE_INTERVAL_MS / 2);
    hs_engine_source_free(source);
    hs_fleet_engines_free(engines);
    hs_store_client_free(client);
    log_store_stop(store);
}

/** Time in ms for which an engine is doubted. */
#define DOUBT_MS 80
#define BEAT_MS 280
#define SHORT_INTERVAL_MS 300

static bool is_listed(hs_fleet_engines *engines) {
    return hs_fleet_engines_capacity(engines, "svc").ready > 0;
}

/** Time in ms until the engine is listed, or not; at most two seconds. */
static uint64_t wait_for_engine(hs_fleet_engines *engines, bool listed) {
    uint64_t began_ms = hs_clock_monotonic_ms();
    while (is_listed(engines) != listed && hs_clock_monotonic_ms() < began_ms + 2000)
        hs_clock_sleep_ms(5);
    return hs_clock_monotonic_ms() - began_ms;
}

/** Reads that are further apart than beats are no absence of the store: who left is out at once. */
static void an_engine_that_left_is_out_with_the_next_read(void) {
    log_store *store = log_store_start(0);
    hs_store_client *client = hs_store_client_new(INADDR_LOOPBACK, log_store_port(store));
    hs_fleet_engines *engines = hs_fleet_engines_new("z");
    hs_engine_source *source =
        hs_engine_source_new(client, engines, 3 * SHORT_INTERVAL_MS, BEAT_MS);
    log_store_put(store, TOPIC_ENGINES, "e1",
                  "{\"service\":\"svc\",\"address\":\"127.0.0.1:9\",\"zone\":\"z\",\"slots\":4,"
                  "\"version\":\"v1\",\"state\":\"ready\",\"warmup-left-ms\":0,\"sequence\":1}");
    hs_engine_source_start(source);
    CU_ASSERT(wait_for_engine(engines, true) < 2000);
    hs_clock_sleep_ms(2ULL * SHORT_INTERVAL_MS);
    log_store_put(store, TOPIC_ENGINES, "e1", "");
    CU_ASSERT(wait_for_engine(engines, false) < SHORT_INTERVAL_MS + BEAT_MS / 2);
    hs_engine_source_free(source);
    hs_fleet_engines_free(engines);
    hs_store_client_free(client);
    log_store_stop(store);
}

/**
 * An entry that went while the store was away is doubted for a while. When that is over no request
 * goes there, whenever the table is next cleaned up: one reached an engine 3.3 s after the store
 * had said that it left (bound 2 s), 60 ms after the doubt had ended, since the table was cleaned
 * up with each read of the store alone, some 700 ms apart.
 */
static void a_doubted_engine_is_out_as_its_time_ends(void) {
    hs_fleet_engines *engines = hs_fleet_engines_new("z");
    hs_engine_entry entry = {.id = g_strdup("e1"),
                             .service = g_strdup("svc"),
                             .zone = g_strdup("z"),
                             .address = INADDR_LOOPBACK,
                             .port = 9,
                             .slots = 4};
    hs_engine_query query = {.service = "svc", .work = HS_WORK_ONLINE};
    hs_fleet_engines_put(engines, &entry, hs_clock_monotonic_ms());
    hs_fleet_engines_unlist(engines, "e1", hs_clock_monotonic_ms() + DOUBT_MS);
    hs_engine_lease *lease = hs_fleet_engines_take(engines, &query);
    CU_ASSERT_PTR_NOT_NULL(lease);
    if (lease != NULL)
        hs_engine_lease_release(lease, NULL, HS_ATTEMPT_SERVED);
    hs_clock_sleep_ms(DOUBT_MS + 1);
    lease = hs_fleet_engines_take(engines, &query);
    CU_ASSERT_PTR_NULL(lease);
    if (lease != NULL)
        hs_engine_lease_release(lease, NULL, HS_ATTEMPT_SERVED);
    hs_fleet_engines_free(engines);
}

const test_case engine_source_tests[] = {
    {"a_failed_read_of_the_engines_is_tried_again_soon",
     a_failed_read_of_the_engines_is_tried_again_soon},
    {"an_engine_that_left_is_out_with_the_next_read",
     an_engine_that_left_is_out_with_the_next_read},
    {"a_doubted_engine_is_out_as_its_time_ends", a_doubted_engine_is_out_as_its_time_ends},
    {NULL, NULL}};
