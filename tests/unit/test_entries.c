/** @file test_entries.c  Parsing of engine entries, and engines that restart under the same id. */
#include "base/clock.h"
#include "fleet/fleet_engines.h"
#include "platform/entry_codec.h"
#include "tests/unit/unit_tests.h"

#include <netinet/in.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/** Longer than the time for which a crash check probes an engine. */
#define LISTENER_OPEN_MS 500

#define VALID_FIELDS                                                                               \
    "\"service\":\"svc\",\"address\":\"127.0.0.1:9\",\"zone\":\"z\",\"version\":\"v1\",\"slots\":" \
    "4,"                                                                                           \
    "\"state\":\"ready\",\"warmup-left-ms\":0,\"sequence\":1"

static hs_entry_fault read_entry(const char *id, const char *text, hs_engine_entry *entry) {
    return hs_platform_read_engine_entry(id, text, strlen(text), entry);
}

static void invalid_entries_are_rejected_completely(void) {
    static const struct {
        const char *text;
        hs_entry_fault fault;
    } cases[] = {
        {"{" VALID_FIELDS "}", HS_ENTRY_VALID},
        {"{" VALID_FIELDS ",\"born\":1768787800801,\"further\":[1]}", HS_ENTRY_VALID},
        {"", HS_ENTRY_UNREADABLE},
        {"[]", HS_ENTRY_UNREADABLE},
        {"\xff\xfe", HS_ENTRY_UNREADABLE},
        {"{" VALID_FIELDS, HS_ENTRY_UNREADABLE},
        {"{}", HS_ENTRY_BAD_TEXT},
        {"{" VALID_FIELDS ",\"service\":\"\"}", HS_ENTRY_BAD_TEXT},
        {"{" VALID_FIELDS ",\"zone\":null}", HS_ENTRY_BAD_TEXT},
        {"{" VALID_FIELDS ",\"version\":1}", HS_ENTRY_BAD_TEXT},
        {"{" VALID_FIELDS ",\"address\":\"127.0.0.1\"}", HS_ENTRY_BAD_ADDRESS},
        {"{" VALID_FIELDS ",\"address\":\"nowhere:80\"}", HS_ENTRY_BAD_ADDRESS},
        {"{" VALID_FIELDS ",\"address\":[]}", HS_ENTRY_BAD_ADDRESS},
        {"{" VALID_FIELDS ",\"slots\":0}", HS_ENTRY_BAD_NUMBER},
        {"{" VALID_FIELDS ",\"slots\":2.5}", HS_ENTRY_BAD_NUMBER},
        {"{" VALID_FIELDS ",\"slots\":1e300}", HS_ENTRY_BAD_NUMBER},
        {"{" VALID_FIELDS ",\"warmup-left-ms\":-1}", HS_ENTRY_BAD_NUMBER},
        {"{" VALID_FIELDS ",\"warmup-left-ms\":\"0\"}", HS_ENTRY_BAD_NUMBER},
        {"{" VALID_FIELDS ",\"sequence\":null}", HS_ENTRY_BAD_NUMBER},
        {"{" VALID_FIELDS ",\"born\":null}", HS_ENTRY_BAD_NUMBER},
        {"{" VALID_FIELDS ",\"born\":1.5}", HS_ENTRY_BAD_NUMBER},
        {"{" VALID_FIELDS ",\"born\":-4}", HS_ENTRY_BAD_NUMBER},
        {"{" VALID_FIELDS ",\"state\":\"READY\"}", HS_ENTRY_BAD_STATE},
        {"{" VALID_FIELDS ",\"state\":1}", HS_ENTRY_BAD_STATE},
    };
    for (size_t index = 0; index < G_N_ELEMENTS(cases); index++) {
        hs_engine_entry entry = {0};
        CU_ASSERT_EQUAL(read_entry("e", cases[index].text, &entry), cases[index].fault);
        CU_ASSERT_EQUAL(entry.id != NULL, cases[index].fault == HS_ENTRY_VALID);
        hs_engine_entry_clear(&entry);
    }
    hs_engine_entry entry = {0};
    CU_ASSERT_EQUAL(read_entry("e\r\nX: y", "{" VALID_FIELDS "}", &entry), HS_ENTRY_BAD_ID);
    CU_ASSERT_EQUAL(read_entry("", "{" VALID_FIELDS "}", &entry), HS_ENTRY_BAD_ID);
    CU_ASSERT_EQUAL(read_entry("e", "{" VALID_FIELDS ",\"born\":17}", &entry), HS_ENTRY_VALID);
    CU_ASSERT_EQUAL(entry.started_at_ms, 17);
    hs_engine_entry_clear(&entry);
}

static void put(hs_fleet_engines *engines, const char *id, uint64_t started_at_ms) {
    g_autofree char *text =
        started_at_ms != 0 ? g_strdup_printf("{" VALID_FIELDS ",\"born\":%" G_GUINT64_FORMAT "}",
                                             (guint64)started_at_ms)
                           : g_strdup("{" VALID_FIELDS "}");
    hs_engine_entry entry = {0};
    CU_ASSERT_EQUAL(read_entry(id, text, &entry), HS_ENTRY_VALID);
    hs_fleet_engines_put(engines, &entry, hs_clock_monotonic_ms());
}

static uint64_t first_engine_hash(hs_fleet_engines *engines) {
    GArray *uses = hs_fleet_engines_own_uses(engines);
    uint64_t hash = uses->len > 0 ? g_array_index(uses, hs_engine_use, 0).engine_hash : 0;
    g_array_free(uses, TRUE);
    return hash;
}

static hs_engine_lease *acquire_online(hs_fleet_engines *engines) {
    hs_engine_query query = {.service = "svc", .work = HS_WORK_ONLINE};
    return hs_fleet_engines_acquire(engines, &query);
}

/** Load reports and running requests of an earlier start do not count for a restarted engine. */
static void restarted_engine_counts_as_another_engine(void) {
    hs_fleet_engines *engines = hs_fleet_engines_new("z");
    put(engines, "e", 1000);
    hs_engine_lease *before = acquire_online(engines);
    CU_ASSERT_PTR_NOT_NULL_FATAL(before);
    uint64_t hash_before = first_engine_hash(engines);
    hs_engine_load_report failing = {.engine_hash = hash_before, .online = 40, .is_failing = true};
    hs_fleet_engines_put_report(engines, &failing);
    CU_ASSERT_EQUAL(hs_fleet_engines_outlook(engines, "svc").healthy, 0);
    put(engines, "e", 2000);
    hs_service_outlook outlook = hs_fleet_engines_outlook(engines, "svc");
    CU_ASSERT_EQUAL(outlook.engines, 1);
    CU_ASSERT_EQUAL(outlook.healthy, 1);
    CU_ASSERT_DOUBLE_EQUAL(outlook.running, 0, 1e-9);
    hs_fleet_engines_put_report(engines, &failing); /* A late report on the earlier start. */
    CU_ASSERT_EQUAL(hs_fleet_engines_outlook(engines, "svc").healthy, 1);
    hs_engine_lease *after = acquire_online(engines);
    CU_ASSERT_PTR_NOT_NULL_FATAL(after);
    CU_ASSERT_NOT_EQUAL(first_engine_hash(engines), hash_before);
    CU_ASSERT_STRING_EQUAL(hs_engine_lease_id(after), "e");
    hs_engine_lease_release(before, NULL, HS_ATTEMPT_BROKEN);
    CU_ASSERT_DOUBLE_EQUAL(hs_fleet_engines_outlook(engines, "svc").running, 1, 1e-9);
    hs_engine_lease_release(after, NULL, HS_ATTEMPT_SERVED);
    hs_fleet_engines_free(engines);
}

/**
 * Without a start time, an engine is identified by its id; a heartbeat that lacks a known start
 * time is no restart.
 */
static void engine_without_start_time_is_identified_by_id(void) {
    hs_fleet_engines *engines = hs_fleet_engines_new("z");
    put(engines, "e", 0);
    hs_engine_lease *lease = acquire_online(engines);
    uint64_t hash = first_engine_hash(engines);
    put(engines, "e", 0);
    CU_ASSERT_EQUAL(first_engine_hash(engines), hash);
    hs_engine_lease_release(lease, NULL, HS_ATTEMPT_SERVED);
    put(engines, "f", 1000);
    hs_fleet_engines_drop(engines, "e");
    lease = acquire_online(engines);
    hash = first_engine_hash(engines);
    put(engines, "f", 0);
    CU_ASSERT_EQUAL(first_engine_hash(engines), hash);
    put(engines, "f", 1000);
    CU_ASSERT_EQUAL(first_engine_hash(engines), hash);
    hs_engine_lease_release(lease, NULL, HS_ATTEMPT_SERVED);
    hs_fleet_engines_free(engines);
}

static const hs_request_contents contents = {.count = 1, .hashes = {77}};

/** Three crashes under one id with different start times count as three lost engines. */
static void three_crashed_starts_count_as_three_engines(void) {
    hs_crash_watch *watch = hs_crash_watch_new();
    hs_fleet_engines *engines = hs_fleet_engines_new("z");
    hs_fleet_engines_set_crash_watch(engines, watch);
    hs_crash_quarantine quarantine;
    for (uint64_t start = 1; start <= 3; start++) {
        put(engines, "e", start * 1000);
        hs_engine_lease *lease = acquire_online(engines);
        CU_ASSERT_PTR_NOT_NULL_FATAL(lease);
        hs_engine_lease_note_run_end(lease, &contents, HS_ATTEMPT_BROKEN, false);
        hs_engine_lease_release(lease, NULL, HS_ATTEMPT_BROKEN);
        CU_ASSERT_FALSE(hs_crash_watch_is_quarantined(watch, &contents, &quarantine));
    }
    put(engines, "e", 4000);
    bool is_quarantined = false;
    for (int polls = 0; polls < 100 && !is_quarantined; polls++) {
        is_quarantined = hs_crash_watch_is_quarantined(watch, &contents, &quarantine);
        hs_clock_sleep_ms(10);
    }
    CU_ASSERT_TRUE(is_quarantined);
    CU_ASSERT_EQUAL(quarantine.engines, 3);
    hs_fleet_engines_free(engines);
    hs_crash_watch_free(watch);
}

/** Opens a listener that keeps connections in its backlog. Returns its port. */
static uint16_t open_listener(int *descriptor) {
    struct sockaddr_in address = {.sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    socklen_t length = sizeof address;
    *descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    CU_ASSERT_EQUAL(bind(*descriptor, (struct sockaddr *)&address, sizeof address), 0);
    CU_ASSERT_EQUAL(listen(*descriptor, 1), 0);
    CU_ASSERT_EQUAL(getsockname(*descriptor, (struct sockaddr *)&address, &length), 0);
    return ntohs(address.sin_port);
}

static void put_at(hs_fleet_engines *engines, const char *id, uint16_t port) {
    hs_engine_entry entry = {.id = g_strdup(id),
                             .service = g_strdup("svc"),
                             .zone = g_strdup("z"),
                             .address = INADDR_LOOPBACK,
                             .port = port,
                             .slots = 4};
    hs_fleet_engines_put(engines, &entry, hs_clock_monotonic_ms());
}

/** Breaks a run at an engine whose listener stays open during the crash check. */
static void break_run_with_open_listener(hs_fleet_engines *engines, const char *id) {
    int descriptor = -1;
    put_at(engines, id, open_listener(&descriptor));
    hs_engine_lease *lease = acquire_online(engines);
    CU_ASSERT_PTR_NOT_NULL_FATAL(lease);
    hs_engine_lease_note_run_end(lease, &contents, HS_ATTEMPT_BROKEN, false);
    hs_engine_lease_release(lease, NULL, HS_ATTEMPT_BROKEN);
    hs_clock_sleep_ms(LISTENER_OPEN_MS);
    close(descriptor);
}

/**
 * Guards against missing the crash of an engine whose listener closes late: the expiry of its entry
 * counts as a crash.
 */
static void expired_entry_counts_as_a_crash(void) {
    static const char *const ids[] = {"e", "f", "g"};
    hs_crash_watch *watch = hs_crash_watch_new();
    hs_fleet_engines *engines = hs_fleet_engines_new("z");
    hs_fleet_engines_set_crash_watch(engines, watch);
    hs_crash_quarantine quarantine;
    for (guint index = 0; index < G_N_ELEMENTS(ids); index++) {
        break_run_with_open_listener(engines, ids[index]);
        CU_ASSERT_FALSE(hs_crash_watch_is_quarantined(watch, &contents, &quarantine));
        hs_fleet_engines_expire(engines, ids[index]);
    }
    CU_ASSERT_TRUE(hs_crash_watch_is_quarantined(watch, &contents, &quarantine));
    CU_ASSERT_EQUAL(quarantine.engines, 3);
    hs_fleet_engines_free(engines);
    hs_crash_watch_free(watch);
}

const test_case entry_tests[] = {
    {"invalid_entries_are_rejected_completely", invalid_entries_are_rejected_completely},
    {"restarted_engine_counts_as_another_engine", restarted_engine_counts_as_another_engine},
    {"engine_without_start_time_is_identified_by_id",
     engine_without_start_time_is_identified_by_id},
    {"three_crashed_starts_count_as_three_engines", three_crashed_starts_count_as_three_engines},
    {"expired_entry_counts_as_a_crash", expired_entry_counts_as_a_crash},
    {NULL, NULL}};
