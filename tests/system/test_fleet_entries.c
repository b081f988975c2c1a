/**
 * @file test_fleet_entries.c
 * System tests of invalid entries that other writers store among the engines' entries.
 */
#include "base/clock.h"
#include "gen/job.pb-c.h"
#include "http/listener.h"
#include "platform/names.h"
#include "standin/port_lease/port_lease.h"
#include "tests/system/fleet_calls.h"
#include "tests/system/system_tests.h"

#include <CUnit/CUnit.h>
#include <signal.h>
#include <string.h>

/** Time in ms within which an entry reaches all daemons. */
#define ENTRY_PROPAGATION_MS 2000
#define REQUESTS 60

/** Invalid entries; %u is the port of a listener that must get no connection. */
static const char *const invalid_entries[] = {
    "{\"address\":\"127.0.0.1:%u\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":8,"
    "\"state\":\"ready\",\"warmup-left-ms\":0,\"sequence\":1}",
    "{\"service\":7,\"address\":\"127.0.0.1:%u\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":"
    "8,"
    "\"state\":\"ready\",\"warmup-left-ms\":0,\"sequence\":1}",
    "{\"service\":\"llm\",\"address\":\"127.0.0.1:%u\",\"version\":\"v1\",\"slots\":8,"
    "\"state\":\"ready\",\"warmup-left-ms\":0,\"sequence\":1}",
    "{\"service\":\"llm\",\"address\":\"127.0.0.1:%u\",\"zone\":[\"zone-a\"],\"version\":\"v1\","
    "\"slots\":8,\"state\":\"ready\",\"warmup-left-ms\":0,\"sequence\":1}",
    "{\"service\":\"llm\",\"address\":\"127.0.0.1:%u\",\"zone\":\"zone-a\",\"slots\":8,"
    "\"state\":\"ready\",\"warmup-left-ms\":0,\"sequence\":1}",
    "{\"service\":\"llm\",\"address\":\"127.0.0.1:%u\",\"zone\":\"zone-a\",\"version\":\"v1\","
    "\"state\":\"ready\",\"warmup-left-ms\":0,\"sequence\":1}",
    "{\"service\":\"llm\",\"address\":\"127.0.0.1:%u\",\"zone\":\"zone-a\",\"version\":\"v1\","
    "\"slots\":\"8\",\"state\":\"ready\",\"warmup-left-ms\":0,\"sequence\":1}",
    "{\"service\":\"llm\",\"address\":\"127.0.0.1:%u\",\"zone\":\"zone-a\",\"version\":\"v1\","
    "\"slots\":-3,\"state\":\"ready\",\"warmup-left-ms\":0,\"sequence\":1}",
    "{\"service\":\"llm\",\"address\":\"127.0.0.1:%u\",\"zone\":\"zone-a\",\"version\":\"v1\","
    "\"slots\":8,\"warmup-left-ms\":0,\"sequence\":1}",
    "{\"service\":\"llm\",\"address\":\"127.0.0.1:%u\",\"zone\":\"zone-a\",\"version\":\"v1\","
    "\"slots\":8,\"state\":\"sleeping\",\"warmup-left-ms\":0,\"sequence\":1}",
    "{\"service\":\"llm\",\"address\":\"127.0.0.1:%u\",\"zone\":\"zone-a\",\"version\":\"v1\","
    "\"slots\":8,\"state\":true,\"warmup-left-ms\":0,\"sequence\":1}",
    "{\"service\":\"llm\",\"address\":\"127.0.0.1:%u\",\"zone\":\"zone-a\",\"version\":\"v1\","
    "\"slots\":8,\"state\":\"ready\",\"sequence\":1}",
    "{\"service\":\"llm\",\"address\":\"127.0.0.1:%u\",\"zone\":\"zone-a\",\"version\":\"v1\","
    "\"slots\":8,\"state\":\"ready\",\"warmup-left-ms\":0}",
    "{\"service\":\"llm\",\"address\":\"127.0.0.1:%u\",\"zone\":\"zone-a\",\"version\":\"v1\","
    "\"slots\":8,\"state\":\"ready\",\"warmup-left-ms\":0,\"sequence\":1,\"born\":\"today\"}",
    "{\"service\":\"llm\",\"address\":\"127.0.0.1:%u\",\"zone\":\"zone-a\",\"version\":\"v1\","
    "\"slots\":8,\"state\":\"ready\",\"warmup-left-ms\":0,\"sequence\":1,\"born\":17.5}",
    "[{\"service\":\"llm\",\"address\":\"127.0.0.1:%u\"}]",
    "{\"service\":\"llm\",\"address\":\"127.0.0.1:%u\",\"zone\":\"zone-a\"",
};

static gint connections;

static void count_connection(hs_inbound *inbound, void *user_data) {
    (void)user_data;
    g_atomic_int_inc(&connections);
    hs_inbound_reply(inbound, 200, NULL, "", 0);
}

static void send_requests(const char *prefix) {
    for (int index = 0; index < REQUESTS; index++) {
        g_autofree char *id = g_strdup_printf("%s-%d", prefix, index);
        bench_answer answer = post_request(index % bench_daemon_count(), "/plain/x", id);
        CU_ASSERT_EQUAL(answer.status, 200);
        bench_answer_clear(&answer);
    }
}

static char *invalid_entry_id(size_t index) {
    return g_strdup_printf("stray-%zu", index);
}

/** Invalid entries get no requests and don't disturb the valid engines. */
static void invalid_entries_get_no_requests(void) {
    uint16_t port = port_lease_take(1);
    hs_error error = {0};
    hs_listener *listener = hs_listener_start("127.0.0.1", port, &(hs_listener_limits){0},
                                              count_connection, NULL, &error);
    CU_ASSERT_PTR_NOT_NULL_FATAL(listener);
    for (size_t index = 0; index < G_N_ELEMENTS(invalid_entries); index++) {
        g_autofree char *id = invalid_entry_id(index);
        g_autofree char *number = g_strdup_printf("%u", port);
        g_auto(GStrv) parts = g_strsplit(invalid_entries[index], "%u", 2);
        g_autofree char *entry = g_strjoinv(number, parts);
        log_store_put(bench.store, TOPIC_ENGINES, id, entry);
    }
    log_store_put(bench.store, TOPIC_ENGINES, "stray\tid",
                  "{\"service\":\"llm\",\"address\":\"127.0.0.1:9\",\"zone\":\"zone-a\","
                  "\"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\"warmup-left-ms\":0,"
                  "\"sequence\":1}");
    hs_clock_sleep_ms(ENTRY_PROPAGATION_MS);
    send_requests("beside");
    CU_ASSERT_EQUAL(g_atomic_int_get(&connections), 0);
    CU_ASSERT(get_daemon_metric(0, "heathsail_engine_entries_rejected{reason=\"bad_number\"} ") >=
              6);
    CU_ASSERT(get_daemon_metric(0, "heathsail_engine_entries_rejected{reason=\"bad_text\"} ") >= 5);
    CU_ASSERT(get_daemon_metric(0, "heathsail_engine_entries_rejected{reason=\"bad_state\"} ") >=
              3);
    CU_ASSERT(get_daemon_metric(0, "heathsail_engine_entries_rejected{reason=\"unreadable\"} ") >=
              2);
    CU_ASSERT(get_daemon_metric(0, "heathsail_engine_entries_rejected{reason=\"bad_id\"} ") >= 1);
    for (size_t index = 0; index < G_N_ELEMENTS(invalid_entries); index++) {
        g_autofree char *id = invalid_entry_id(index);
        log_store_put(bench.store, TOPIC_ENGINES, id, "");
    }
    hs_listener_stop(listener);
}

static void a_starting_daemon_ignores_invalid_entries(void) {
    log_store_put(bench.store, TOPIC_ENGINES, "a-stray", "\xff\xfe no text");
    bench_signal_daemon(1, SIGKILL);
    bench_start_daemon(1, false);
    CU_ASSERT_TRUE(bench_wait_ready(1));
    send_requests("after-start");
    log_store_put(bench.store, TOPIC_ENGINES, "a-stray", "");
}

/** An engine with an overwritten entry gets no new requests until its next announcement. */
static void an_overwritten_entry_is_restored_by_the_next_announcement(void) {
    const char *id = token_engine_id(bench.engines[0]);
    log_store_put(bench.store, TOPIC_ENGINES, id, "{\"service\":\"llm\"}");
    hs_clock_sleep_ms(ENTRY_PROPAGATION_MS);
    uint32_t before = token_engine_total_run_count(bench.engines[0]);
    send_requests("written-over");
    CU_ASSERT_EQUAL(token_engine_total_run_count(bench.engines[0]), before);
    token_engine_announce(bench.engines[0], bench.store, false);
    token_engine_announce(bench.engines[1], bench.store, true); /* Engine 0 alone is left. */
    hs_clock_sleep_ms(ENTRY_PROPAGATION_MS);
    send_requests("back");
    CU_ASSERT_EQUAL(token_engine_total_run_count(bench.engines[0]), before + REQUESTS);
    token_engine_announce(bench.engines[1], bench.store, false);
}

/** Sends a job with a value of @p levels times @p opening; returns the answer's status. */
static uint32_t submit_nested(int daemon, const char *opening, char closing, int levels) {
    GString *body = g_string_new("{\"requests\":[{\"id\":\"nested\",\"path\":\"/jobs/x\","
                                 "\"body\":\"\"}],\"note\":");
    for (int level = 0; level < levels; level++)
        g_string_append(body, opening);
    g_string_append_c(body, '1');
    for (int level = 0; level < levels; level++)
        g_string_append_c(body, closing);
    g_string_append_c(body, '}');
    g_autofree char *id = g_strdup_printf("nested-%c-%d", closing, levels);
    bench_answer answer = bench_send(&(bench_call){.daemon = daemon,
                                                   .method = "POST",
                                                   .target = "/jobs/x",
                                                   .request_id = id,
                                                   .body = body->str});
    uint32_t status = answer.status;
    bench_answer_clear(&answer);
    g_string_free(body, TRUE);
    return status;
}

/** Guards against a daemon that ends by a nested submission. */
static void nested_submissions_end_no_daemon(void) {
    static const int levels[] = {500, 1000, 2000, 2046, 3000, 10000};
    for (size_t index = 0; index < G_N_ELEMENTS(levels); index++) {
        CU_ASSERT_EQUAL(submit_nested(0, "{\"a\":", '}', levels[index]), 400);
        CU_ASSERT_EQUAL(submit_nested(0, "[", ']', levels[index]), 400);
    }
    send_requests("after-nested");
}

/** Guards against daemons that follow a topic no further than to a record without a valid key. */
static void engines_join_after_records_without_a_valid_key(void) {
    static const char *const topics[] = {TOPIC_ENGINES, TOPIC_CONFIG, TOPIC_MEMBERS, TOPIC_CRASHES,
                                         TOPIC_SOFTWARE};
    for (size_t index = 0; index < G_N_ELEMENTS(topics); index++) {
        log_store_put_raw(bench.store, topics[index], "", 0);
        log_store_put_raw(bench.store, topics[index], "\x09k", 2);
        log_store_put_raw(bench.store, topics[index], "\x02\0a{}", 5);
    }
    token_engine_announce(bench.engines[1], bench.store, true);
    hs_clock_sleep_ms(ENTRY_PROPAGATION_MS);
    uint32_t before = token_engine_total_run_count(bench.engines[1]);
    send_requests("beyond");
    CU_ASSERT_EQUAL(token_engine_total_run_count(bench.engines[1]), before);
    token_engine_announce(bench.engines[1], bench.store, false);
    hs_clock_sleep_ms(ENTRY_PROPAGATION_MS);
}

/** Further records of the topics that daemons read, as another writer might leave them. */
static const struct {
    const char *key;
    const char *value;
} odd_records[] = {
    {"odd-text", "\xff\xfe no text"},
    {"odd-mark", "\xef\xbb\xbf{}"},
    {"odd-list", "[[],{}]"},
    {"odd-number", "1e400"},
    {"odd-negative", "-1"},
    {"odd-endpoint", "127.0.0.1:65536"},
    {"odd-port", "127.0.0.1:0"},
    {"odd-address", "999.0.0.1:80"},
    {"odd-varint", "\x0a\xff\xff\xff\xff\xff\xff\xff\xff\xff\x01"},
    {"odd-length", "\x0a\xff\xff\xff\x7f"},
    {"odd-group", "\x0b\x0b\x0b\x0c"},
    {"\x01", "{}"},
    {"op/", "x"},
    {"evacuate/", "x"},
};

static void put_odd_records(bool removes) {
    static const char *const topics[] = {TOPIC_ENGINES, TOPIC_CONFIG, TOPIC_MEMBERS, TOPIC_CRASHES,
                                         TOPIC_SOFTWARE};
    g_autofree char *large = g_strnfill(60000, '[');
    for (size_t topic = 0; topic < G_N_ELEMENTS(topics); topic++) {
        for (size_t index = 0; index < G_N_ELEMENTS(odd_records); index++)
            log_store_put(bench.store, topics[topic], odd_records[index].key,
                          removes ? "" : odd_records[index].value);
        log_store_put(bench.store, topics[topic], "odd-large", removes ? "" : large);
    }
}

/** Guards against a daemon that ends by, or doesn't start with, records of another writer. */
static void odd_records_of_other_topics_end_no_daemon(void) {
    put_odd_records(false);
    hs_clock_sleep_ms(ENTRY_PROPAGATION_MS);
    send_requests("beside-odd");
    bench_signal_daemon(1, SIGKILL);
    bench_start_daemon(1, false);
    CU_ASSERT_TRUE(bench_wait_ready(1));
    send_requests("started-odd");
    put_odd_records(true);
}

/** Time in ms after which contents that can't be read are read rarely, and bound of these reads. */
#define BACKOFF_MS 3000
#define COUNTED_MS 2000
#define MAX_BODY_READS 16
#define BODY_READS "/log-read?topic=" TOPIC_BODIES

/** Stores a manifest of a job of one item, whose content another record should have. */
static void put_manifest(const char *id, uint64_t content_offset, uint32_t content_bytes) {
    Hs__JobItem item = HS__JOB_ITEM__INIT;
    Hs__JobItem *items[] = {&item};
    item.id = "\xff";
    item.tokens = UINT32_MAX;
    item.content_offset = content_offset;
    item.content_bytes = content_bytes;
    Hs__JobManifest manifest = HS__JOB_MANIFEST__INIT;
    manifest.job_id = (char *)id;
    manifest.host = BENCH_HOST;
    manifest.target = "/jobs/x";
    manifest.submitted_ms = UINT64_MAX;
    manifest.due_ms = UINT64_MAX;
    manifest.retention_ms = UINT64_MAX;
    manifest.n_items = 1;
    manifest.items = items;
    Hs__JobRecord record = HS__JOB_RECORD__INIT;
    record.kind_case = HS__JOB_RECORD__KIND_MANIFEST;
    record.manifest = &manifest;
    uint8_t bytes[512];
    size_t length = hs__job_record__pack(&record, bytes);
    log_store_put_raw(bench.store, TOPIC_JOBS, bytes, length);
}

/** Guards against a daemon that ends by, or runs no more jobs after, job records of another writer.
 */
static void odd_job_records_end_no_daemon(void) {
    static const char *const topics[] = {TOPIC_JOBS, TOPIC_BODIES, TOPIC_QUOTA};
    for (size_t topic = 0; topic < G_N_ELEMENTS(topics); topic++) {
        log_store_put_raw(bench.store, topics[topic], "", 0);
        for (size_t index = 0; index < G_N_ELEMENTS(odd_records); index++)
            log_store_put_raw(bench.store, topics[topic], odd_records[index].value,
                              strlen(odd_records[index].value));
    }
    put_manifest("odd-beyond", UINT64_MAX, 100);
    put_manifest("odd-bytes", 0, UINT32_MAX);
    put_manifest("odd-empty", 0, 0);
    put_manifest("", 0, 1);
    for (int index = 0; index < 2 * BENCH_DEFAULT_DAEMONS; index++) {
        g_autofree char *id = g_strdup_printf("after-odd-%d", index);
        CU_ASSERT_EQUAL(submit_job(index % bench_daemon_count(), id, 3), 202);
        g_autofree char *page =
            bench_wait_job((index + 1) % bench_daemon_count(), id, 3, JOB_LIMIT_MS);
        CU_ASSERT_PTR_NOT_NULL(page);
    }
    send_requests("after-odd-jobs");
    hs_clock_sleep_ms(BACKOFF_MS);
    uint32_t before = log_store_call_count(bench.store, BODY_READS);
    hs_clock_sleep_ms(COUNTED_MS);
    CU_ASSERT(log_store_call_count(bench.store, BODY_READS) - before <= MAX_BODY_READS);
}

const test_case fleet_entry_system_tests[] = {
    {"invalid_entries_get_no_requests", invalid_entries_get_no_requests},
    {"a_starting_daemon_ignores_invalid_entries", a_starting_daemon_ignores_invalid_entries},
    {"nested_submissions_end_no_daemon", nested_submissions_end_no_daemon},
    {"engines_join_after_records_without_a_valid_key",
     engines_join_after_records_without_a_valid_key},
    {"odd_records_of_other_topics_end_no_daemon", odd_records_of_other_topics_end_no_daemon},
    {"odd_job_records_end_no_daemon", odd_job_records_end_no_daemon},
    {"an_overwritten_entry_is_restored_by_the_next_announcement",
     an_overwritten_entry_is_restored_by_the_next_announcement},
    {NULL, NULL}};
