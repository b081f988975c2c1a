/** @file test_entries.c  Engines' entries in the store, and engines that start again under an id.
 */
#include "base/clock.h"
#include "fleet/fleet_engines.h"
#include "platform/entry_codec.h"
#include "tests/unit/unit_tests.h"

#include <netinet/in.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/** Longer in ms than an engine is asked whether it is there. */
#define LISTENER_ASKED_MS 500

#define SOUND                                                                                      \
    "\"service\":\"svc\",\"address\":\"127.0.0.1:9\",\"zone\":\"z\",\"version\":\"v1\",\"slots\":" \
    "4,"                                                                                           \
    "\"state\":\"ready\",\"warmup-left-ms\":0,\"sequence\":1"

static hs_entry_fault read_entry(const char *id, const char *text, hs_engine_entry *entry) {
    return hs_platform_read_engine(id, text, strlen(text), entry);
}

static void an_entry_is_taken_whole_or_not_at_all(void) {
    static const struct {
        const char *text;
        hs_entry_fault fault;
    } cases[] = {
        {"{" SOUND "}", HS_ENTRY_SOUND},
        {"{" SOUND ",\"born\":1768787800801,\"further\":[1]}", HS_ENTRY_SOUND},
        {"", HS_ENTRY_UNREADABLE},
        {"[]", HS_ENTRY_UNREADABLE},
        {"\xff\xfe", HS_ENTRY_UNREADABLE},
        {"{" SOUND, HS_ENTRY_UNREADABLE},
        {"{}", HS_ENTRY_BAD_TEXT},
        {"{" SOUND ",\"service\":\"\"}", HS_ENTRY_BAD_TEXT},
        {"{" SOUND ",\"zone\":null}", HS_ENTRY_BAD_TEXT},
        {"{" SOUND ",\"version\":1}", HS_ENTRY_BAD_TEXT},
        {"{" SOUND ",\"address\":\"127.0.0.1\"}", HS_ENTRY_BAD_ADDRESS},
        {"{" SOUND ",\"address\":\"nowhere:80\"}", HS_ENTRY_BAD_ADDRESS},
        {"{" SOUND ",\"address\":[]}", HS_ENTRY_BAD_ADDRESS},
        {"{" SOUND ",\"slots\":0}", HS_ENTRY_BAD_NUMBER},
        {"{" SOUND ",\"slots\":2.5}", HS_ENTRY_BAD_NUMBER},
        {"{" SOUND ",\"slots\":1e300}", HS_ENTRY_BAD_NUMBER},
        {"{" SOUND ",\"warmup-left-ms\":-1}", HS_ENTRY_BAD_NUMBER},
        {"{" SOUND ",\"warmup-left-ms\":\"0\"}", HS_ENTRY_BAD_NUMBER},
        {"{" SOUND ",\"sequence\":null}", HS_ENTRY_BAD_NUMBER},
        {"{" SOUND ",\"born\":null}", HS_ENTRY_BAD_NUMBER},
        {"{" SOUND ",\"born\":1.5}", HS_ENTRY_BAD_NUMBER},
        {"{" SOUND ",\"born\":-4}", HS_ENTRY_BAD_NUMBER},
        {"{" SOUND ",\"state\":\"READY\"}", HS_ENTRY_BAD_STATE},
        {"{" SOUND ",\"state\":1}", HS_ENTRY_BAD_STATE},
    };
    for (size_t index = 0; index < G_N_ELEMENTS(cases); index++) {
        hs_engine_entry entry = {0};
        CU_ASSERT_EQUAL(read_entry("e", cases[index].text, &entry), cases[index].fault);
        CU_ASSERT_EQUAL(entry.id != NULL, cases[index].fault == HS_ENTRY_SOUND);
        hs_engine_entry_clear(&entry);
    }
    hs_engine_entry entry = {0};
    CU_ASSERT_EQUAL(read_entry("e\r\nX: y", "{" SOUND "}", &entry), HS_ENTRY_BAD_ID);
    CU_ASSERT_EQUAL(read_entry("", "{" SOUND "}", &entry), HS_ENTRY_BAD_ID);
    CU_ASSERT_EQUAL(read_entry("e", "{" SOUND ",\"born\":17}", &entry), HS_ENTRY_SOUND);
    CU_ASSERT_EQUAL(entry.born_ms, 17);
    hs_engine_entry_clear(&entry);
}

static void put(hs_fleet_engines *engines, const char *id, uint64_t born_ms) {
    g_autofree char *text =
        born_ms != 0
            ? g_strdup_printf("{" SOUND ",\"born\":%" G_GUINT64_FORMAT "}", (guint64)born_ms)
            : g_strdup("{" SOUND "}");
    hs_engine_entry entry = {0};
    CU_ASSERT_EQUAL(read_entry(id, text, &entry), HS_ENTRY_SOUND);
    hs_fleet_engines_put(engines, &entry, hs_clock_monotonic_ms());
}

static uint64_t hash_of_engine(hs_fleet_engines *engines) {
    GArray *uses = hs_fleet_engines_own_uses(engines);
    uint64_t hash = uses->len > 0 ? g_array_index(uses, hs_engine_use, 0).engine_hash : 0;
    g_array_free(uses, TRUE);
    return hash;
}

static hs_engine_lease *take(hs_fleet_engines *engines) {
    hs_engine_query query = {.service = "svc", .work = HS_WORK_ONLINE};
    return hs_fleet_engines_take(engines, &query);
}

/** What is told of an earlier start, and what is under way there, says nothing of the next one. */
static void an_engine_that_started_again_is_another_one(void) {
    hs_fleet_engines *engines = hs_fleet_engines_new("z");
    put(engines, "e", 1000);
    hs_engine_lease *before = take(engines);
    CU_ASSERT_PTR_NOT_NULL_FATAL(before);
    uint64_t hash_before = hash_of_engine(engines);
    hs_engine_load_report failing = {.engine_hash = hash_before, .online = 40, .is_failing = true};
    hs_fleet_engines_put_report(engines, &failing);
    CU_ASSERT_EQUAL(hs_fleet_engines_outlook(engines, "svc").sound, 0);
    put(engines, "e", 2000);
    hs_service_outlook outlook = hs_fleet_engines_outlook(engines, "svc");
    CU_ASSERT_EQUAL(outlook.engines, 1);
    CU_ASSERT_EQUAL(outlook.sound, 1);
    CU_ASSERT_DOUBLE_EQUAL(outlook.running, 0, 1e-9);
    hs_fleet_engines_put_report(engines, &failing); /* A late word of the engine before. */
    CU_ASSERT_EQUAL(hs_fleet_engines_outlook(engines, "svc").sound, 1);
    hs_engine_lease *after = take(engines);
    CU_ASSERT_PTR_NOT_NULL_FATAL(after);
    CU_ASSERT_NOT_EQUAL(hash_of_engine(engines), hash_before);
    CU_ASSERT_STRING_EQUAL(hs_engine_lease_id(after), "e");
    hs_engine_lease_release(before, NULL, HS_ATTEMPT_BROKEN);
    CU_ASSERT_DOUBLE_EQUAL(hs_fleet_engines_outlook(engines, "svc").running, 1, 1e-9);
    hs_engine_lease_release(after, NULL, HS_ATTEMPT_SERVED);
    hs_fleet_engines_free(engines);
}

/** An engine that does not tell its start is known by its id, and one beat without it is no end. */
static void without_a_start_the_id_alone_counts(void) {
    hs_fleet_engines *engines = hs_fleet_engines_new("z");
    put(engines, "e", 0);
    hs_engine_lease *lease = take(engines);
    uint64_t hash = hash_of_engine(engines);
    put(engines, "e", 0);
    CU_ASSERT_EQUAL(hash_of_engine(engines), hash);
    hs_engine_lease_release(lease, NULL, HS_ATTEMPT_SERVED);
    put(engines, "f", 1000);
    hs_fleet_engines_drop(engines, "e");
    lease = take(engines);
    hash = hash_of_engine(engines);
    put(engines, "f", 0);
    CU_ASSERT_EQUAL(hash_of_engine(engines), hash);
    put(engines, "f", 1000);
    CU_ASSERT_EQUAL(hash_of_engine(engines), hash);
    hs_engine_lease_release(lease, NULL, HS_ATTEMPT_SERVED);
    hs_fleet_engines_free(engines);
}

/** Three ends of one id with three starts are three engines lost, also where it was back at once.
 */
static void three_starts_that_end_are_three_engines(void) {
    hs_crash_watch *watch = hs_crash_watch_new();
    hs_fleet_engines *engines = hs_fleet_engines_new("z");
    hs_fleet_engines_set_crash_watch(engines, watch);
    hs_crash_quarantine hold;
    for (uint64_t start = 1; start <= 3; start++) {
        put(engines, "e", start * 1000);
        hs_engine_lease *lease = take(engines);
        CU_ASSERT_PTR_NOT_NULL_FATAL(lease);
        hs_engine_lease_note_run_end(lease, 77, HS_ATTEMPT_BROKEN);
        hs_engine_lease_release(lease, NULL, HS_ATTEMPT_BROKEN);
        CU_ASSERT_FALSE(hs_crash_watch_is_quarantined(watch, 77, &hold));
    }
    put(engines, "e", 4000);
    bool is_held = false;
    for (int polls = 0; polls < 100 && !is_held; polls++) {
        is_held = hs_crash_watch_is_quarantined(watch, 77, &hold);
        hs_clock_sleep_ms(10);
    }
    CU_ASSERT_TRUE(is_held);
    CU_ASSERT_EQUAL(hold.engines, 3);
    hs_fleet_engines_free(engines);
    hs_crash_watch_free(watch);
}

/** A listener that takes connections and keeps them; the number of its port. */
static uint16_t listen_on(int *descriptor) {
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

/** Have a run cut at an engine whose listener still takes connections as it is asked. */
static void cut_at_listener(hs_fleet_engines *engines, const char *id) {
    int descriptor = -1;
    put_at(engines, id, listen_on(&descriptor));
    hs_engine_lease *lease = take(engines);
    CU_ASSERT_PTR_NOT_NULL_FATAL(lease);
    hs_engine_lease_note_run_end(lease, 77, HS_ATTEMPT_BROKEN);
    hs_engine_lease_release(lease, NULL, HS_ATTEMPT_BROKEN);
    hs_clock_sleep_ms(LISTENER_ASKED_MS);
    close(descriptor);
}

/**
 * An engine that crashed and ends its listener late is held for living; its entry that runs out
 * tells that it had crashed. One that left had not.
 */
static void an_entry_that_runs_out_tells_of_a_crash(void) {
    static const char *const ids[] = {"e", "f", "g"};
    hs_crash_watch *watch = hs_crash_watch_new();
    hs_fleet_engines *engines = hs_fleet_engines_new("z");
    hs_fleet_engines_set_crash_watch(engines, watch);
    hs_crash_quarantine hold;
    for (guint index = 0; index < G_N_ELEMENTS(ids); index++) {
        cut_at_listener(engines, ids[index]);
        CU_ASSERT_FALSE(hs_crash_watch_is_quarantined(watch, 77, &hold));
        hs_fleet_engines_expire(engines, ids[index]);
    }
    CU_ASSERT_TRUE(hs_crash_watch_is_quarantined(watch, 77, &hold));
    CU_ASSERT_EQUAL(hold.engines, 3);
    hs_fleet_engines_free(engines);
    hs_crash_watch_free(watch);
}

const test_case entry_tests[] = {
    {"an_entry_is_taken_whole_or_not_at_all", an_entry_is_taken_whole_or_not_at_all},
    {"an_engine_that_started_again_is_another_one", an_engine_that_started_again_is_another_one},
    {"without_a_start_the_id_alone_counts", without_a_start_the_id_alone_counts},
    {"three_starts_that_end_are_three_engines", three_starts_that_end_are_three_engines},
    {"an_entry_that_runs_out_tells_of_a_crash", an_entry_that_runs_out_tells_of_a_crash},
    {NULL, NULL}};
