/** @file test_engine_source.c  Reads of the engine topic, and removal of engines from the table. */
#include "base/clock.h"
#include "fleet/engine_source.h"
#include "fleet/software_history.h"
#include "platform/names.h"
#include "standin/log_store/log_store.h"
#include "standin/port_lease/port_lease.h"
#include "tests/unit/unit_tests.h"

#include <netinet/in.h>

#define READ_INTERVAL_MS 1000

/** Returns the time in ms until the store has received @p expected log reads; 0: timed out. */
static uint64_t wait_for_reads(log_store *store, uint32_t expected) {
    uint64_t started_ms = hs_clock_monotonic_ms();
    while (log_store_call_count(store, "/log-read") < expected) {
        if (hs_clock_monotonic_ms() > started_ms + 4ULL * READ_INTERVAL_MS)
            return 0;
        hs_clock_sleep_ms(5);
    }
    return hs_clock_monotonic_ms() - started_ms;
}

/** Guards against a failed read that delays the detection of a draining engine by an interval. */
static void failed_read_is_retried_before_the_next_interval(void) {
    log_store *store = log_store_start(0);
    hs_store_client *client = hs_store_client_new(INADDR_LOOPBACK, log_store_port(store));
    hs_fleet_engines *engines = hs_fleet_engines_new("z");
    hs_engine_source *source = hs_engine_source_new(client, engines, 3 * READ_INTERVAL_MS, 60000);
    hs_engine_source_start(source);
    CU_ASSERT(wait_for_reads(store, 1) > 0);
    log_store_set_mode(store, LOG_STORE_REFUSES, "/log-read", 1);
    uint32_t before = log_store_call_count(store, "/log-read");
    CU_ASSERT(wait_for_reads(store, before + 1) > 0); /* This read fails. */
    CU_ASSERT(wait_for_reads(store, before + 2) < READ_INTERVAL_MS / 2);
    hs_engine_source_free(source);
    hs_fleet_engines_free(engines);
    hs_store_client_free(client);
    log_store_stop(store);
}

/** Time in ms for which the removal of an engine is pending. */
#define REMOVAL_DELAY_MS 80
#define HEARTBEAT_MS 280
#define SHORT_READ_INTERVAL_MS 300

static bool is_listed(hs_fleet_engines *engines) {
    return hs_fleet_engines_capacity(engines, "svc").ready > 0;
}

/** Returns the time in ms until the engine is listed or, if @p listed is false, unlisted; at most
 * 2000. */
static uint64_t wait_for_engine(hs_fleet_engines *engines, bool listed) {
    uint64_t started_ms = hs_clock_monotonic_ms();
    while (is_listed(engines) != listed && hs_clock_monotonic_ms() < started_ms + 2000)
        hs_clock_sleep_ms(5);
    return hs_clock_monotonic_ms() - started_ms;
}

/** Guards against taking a read interval longer than the heartbeats for a store outage. */
static void removed_engine_is_dropped_by_the_next_read(void) {
    log_store *store = log_store_start(0);
    hs_store_client *client = hs_store_client_new(INADDR_LOOPBACK, log_store_port(store));
    hs_fleet_engines *engines = hs_fleet_engines_new("z");
    hs_engine_source *source =
        hs_engine_source_new(client, engines, 3 * SHORT_READ_INTERVAL_MS, HEARTBEAT_MS);
    log_store_put(store, TOPIC_ENGINES, "e1",
                  "{\"service\":\"svc\",\"address\":\"127.0.0.1:9\",\"zone\":\"z\",\"slots\":4,"
                  "\"version\":\"v1\",\"state\":\"ready\",\"warmup-left-ms\":0,\"sequence\":1}");
    hs_engine_source_start(source);
    CU_ASSERT(wait_for_engine(engines, true) < 2000);
    hs_clock_sleep_ms(2ULL * SHORT_READ_INTERVAL_MS);
    log_store_put(store, TOPIC_ENGINES, "e1", "");
    CU_ASSERT(wait_for_engine(engines, false) < SHORT_READ_INTERVAL_MS + HEARTBEAT_MS / 2);
    hs_engine_source_free(source);
    hs_fleet_engines_free(engines);
    hs_store_client_free(client);
    log_store_stop(store);
}

/**
 * Guards against requests to an unlisted engine between the end of its removal delay and the next
 * cleanup of the table.
 */
static void unlisted_engine_is_not_chosen_after_its_removal_delay(void) {
    hs_fleet_engines *engines = hs_fleet_engines_new("z");
    hs_engine_entry entry = {.id = g_strdup("e1"),
                             .service = g_strdup("svc"),
                             .zone = g_strdup("z"),
                             .address = INADDR_LOOPBACK,
                             .port = 9,
                             .slots = 4};
    hs_engine_query query = {.service = "svc", .work = HS_WORK_ONLINE};
    hs_fleet_engines_put(engines, &entry, hs_clock_monotonic_ms());
    hs_fleet_engines_unlist(engines, "e1", hs_clock_monotonic_ms() + REMOVAL_DELAY_MS);
    hs_engine_lease *lease = hs_fleet_engines_acquire(engines, &query);
    CU_ASSERT_PTR_NOT_NULL(lease);
    if (lease != NULL)
        hs_engine_lease_release(lease, NULL, HS_ATTEMPT_SERVED);
    hs_clock_sleep_ms(REMOVAL_DELAY_MS + 1);
    lease = hs_fleet_engines_acquire(engines, &query);
    CU_ASSERT_PTR_NULL(lease);
    if (lease != NULL)
        hs_engine_lease_release(lease, NULL, HS_ATTEMPT_SERVED);
    hs_fleet_engines_free(engines);
}

#define ENTRY_OF(version)                                                                          \
    "{\"service\":\"svc\",\"address\":\"127.0.0.1:9\",\"zone\":\"z\",\"slots\":4,"                 \
    "\"version\":\"" version "\",\"state\":\"ready\",\"warmup-left-ms\":0,\"sequence\":1}"

/** Waits until the service has this number of engines, by a list as of @p as_of_ms or later. */
static void wait_for_list(hs_engine_source *source, hs_fleet_engines *engines, uint32_t count,
                          uint64_t as_of_ms) {
    uint64_t started_ms = hs_clock_monotonic_ms();
    while ((hs_engine_source_as_of_ms(source) < as_of_ms ||
            hs_fleet_engines_capacity(engines, "svc").ready < count) &&
           hs_clock_monotonic_ms() < started_ms + 5000)
        hs_clock_sleep_ms(5);
    CU_ASSERT_EQUAL(hs_fleet_engines_capacity(engines, "svc").ready, count);
    CU_ASSERT(hs_engine_source_as_of_ms(source) >= as_of_ms);
    hs_clock_sleep_ms(20); /* What was read is applied. */
}

/** Guards against streams that go on at the one listed version after others came and went. */
static void a_new_list_after_a_gap_does_not_tell_a_sole_version(void) {
    log_store *store = log_store_start(0);
    hs_store_client *client = hs_store_client_new(INADDR_LOOPBACK, log_store_port(store));
    hs_fleet_engines *engines = hs_fleet_engines_new("z");
    hs_engine_source *source =
        hs_engine_source_new(client, engines, 3 * SHORT_READ_INTERVAL_MS, HEARTBEAT_MS);
    log_store_put(store, TOPIC_ENGINES, "e1", ENTRY_OF("v1"));
    hs_engine_source_start(source);
    CU_ASSERT(wait_for_engine(engines, true) < 2000);
    hs_fleet_engines_note_past_software_added(engines);
    uint64_t now_ms = hs_clock_monotonic_ms();
    wait_for_list(source, engines, 1, now_ms);
    CU_ASSERT_EQUAL(hs_fleet_engines_sole_software(engines, "svc", now_ms),
                    hs_software_id("svc", "v1"));
    log_store_set_mode(store, LOG_STORE_REFUSES, NULL, UINT32_MAX);
    hs_clock_sleep_ms(2ULL * HEARTBEAT_MS);
    log_store_put(store, TOPIC_ENGINES, "e2", ENTRY_OF("v2"));
    log_store_put(store, TOPIC_ENGINES, "e2", "");
    log_store_put(store, TOPIC_ENGINES, "e3", ENTRY_OF("v1"));
    log_store_discard_records(store, TOPIC_ENGINES);
    now_ms = hs_clock_monotonic_ms();
    log_store_set_mode(store, LOG_STORE_HEALTHY, NULL, UINT32_MAX);
    wait_for_list(source, engines, 2, now_ms);
    CU_ASSERT_EQUAL(hs_fleet_engines_sole_software(engines, "svc", now_ms), 0);
    hs_engine_source_free(source);
    hs_fleet_engines_free(engines);
    hs_store_client_free(client);
    log_store_stop(store);
}

#define ENTRY_OF_START(version, born)                                                              \
    "{\"service\":\"svc\",\"address\":\"127.0.0.1:9\",\"zone\":\"z\",\"slots\":4,"                 \
    "\"version\":\"" version "\",\"state\":\"ready\",\"warmup-left-ms\":0,\"sequence\":1,"         \
    "\"born\":" born "}"

static void serve(hs_inbound *inbound, void *user_data) {
    if (!hs_state_feed_serve(user_data, inbound))
        hs_inbound_reply(inbound, 404, NULL, "", 0);
}

/** The view of a daemon that follows others; all have the address of the listener. */
static hs_feed_tree *get_tree(void *user_data) {
    g_autoptr(GArray) nodes = g_array_new(FALSE, FALSE, sizeof(hs_feed_node));
    for (uint32_t number = 1; number <= 3; number++) {
        hs_feed_node node = {.id = number,
                             .zone = 1,
                             .strength = 10 - number,
                             .address = INADDR_LOOPBACK,
                             .port = *(const uint16_t *)user_data};
        g_array_append_val(nodes, node);
    }
    return hs_feed_tree_new(nodes, 3, HS_FEED_DIRECT_DAEMONS + 1);
}

static bool knows_others(void *user_data) {
    (void)user_data;
    return true;
}

static void read_feed(hs_state_feed *feed) {
    hs_feed_limits limits = {.store_timeout_ms = READ_INTERVAL_MS};
    hs_feed_batch batch;
    hs_state_feed_read(feed, &limits, &batch);
    CU_ASSERT_EQUAL(batch.outcome, HS_STORE_DONE);
    hs_feed_batch_clear(&batch);
}

/** Guards against a follower that misses a version between two starts of one engine. */
static void a_follower_that_misses_a_start_does_not_tell_a_sole_version(void) {
    log_store *store = log_store_start(0);
    hs_store_client *client = hs_store_client_new(INADDR_LOOPBACK, log_store_port(store));
    hs_state_feed *parent = hs_state_feed_new(client, HS_TOPIC_ENGINES, "engines");
    uint16_t port = port_lease_take(1);
    hs_listener_limits limits = {.max_body_bytes = 1000};
    hs_listener *listener = hs_listener_start("127.0.0.1", port, &limits, serve, parent, NULL);
    hs_fleet_engines *engines = hs_fleet_engines_new("z");
    hs_engine_source *source =
        hs_engine_source_new(client, engines, 3 * SHORT_READ_INTERVAL_MS, HEARTBEAT_MS);
    hs_feed_members members = {
        .get_tree = get_tree, .knows_others = knows_others, .user_data = &port};
    hs_state_feed_set_members(hs_engine_source_feed(source), &members);
    log_store_put(store, TOPIC_ENGINES, "e1", ENTRY_OF_START("v1", "1000"));
    read_feed(parent);
    hs_engine_source_start(source);
    CU_ASSERT(wait_for_engine(engines, true) < 2000);
    hs_fleet_engines_note_past_software_added(engines);
    CU_ASSERT_EQUAL(hs_fleet_engines_sole_software(engines, "svc", 1), hs_software_id("svc", "v1"));
    hs_clock_sleep_ms(2ULL * HEARTBEAT_MS);
    log_store_put(store, TOPIC_ENGINES, "e1", ENTRY_OF_START("v2", "2000"));
    log_store_put(store, TOPIC_ENGINES, "e1", ENTRY_OF_START("v1", "3000"));
    uint64_t now_ms = hs_clock_monotonic_ms();
    read_feed(parent);
    wait_for_list(source, engines, 1, now_ms);
    CU_ASSERT_EQUAL(hs_fleet_engines_sole_software(engines, "svc", now_ms), 0);
    hs_state_feed_stop(parent);
    hs_engine_source_free(source);
    hs_listener_stop(listener);
    hs_state_feed_free(parent);
    hs_fleet_engines_free(engines);
    hs_store_client_free(client);
    log_store_stop(store);
}

const test_case engine_source_tests[] = {
    {"a_follower_that_misses_a_start_does_not_tell_a_sole_version",
     a_follower_that_misses_a_start_does_not_tell_a_sole_version},
    {"a_new_list_after_a_gap_does_not_tell_a_sole_version",
     a_new_list_after_a_gap_does_not_tell_a_sole_version},
    {"failed_read_is_retried_before_the_next_interval",
     failed_read_is_retried_before_the_next_interval},
    {"removed_engine_is_dropped_by_the_next_read", removed_engine_is_dropped_by_the_next_read},
    {"unlisted_engine_is_not_chosen_after_its_removal_delay",
     unlisted_engine_is_not_chosen_after_its_removal_delay},
    {NULL, NULL}};
