/**
 * @file test_versions.c
 * Tests of engines with several software versions in one service: which engines may continue a
 * stream, and what is known of the version that began it.
 */
#include "base/clock.h"
#include "fleet/fleet_engines.h"
#include "fleet/software_history.h"
#include "fleet/stream_origins.h"
#include "platform/engine_codec.h"
#include "tests/unit/unit_tests.h"

#include <string.h>

static void put_engine(hs_fleet_engines *engines, const char *id, const char *version) {
    hs_engine_entry entry = {.id = g_strdup(id),
                             .service = g_strdup("svc"),
                             .zone = g_strdup("z"),
                             .version = g_strdup(version),
                             .address = 1,
                             .port = 1,
                             .slots = 4};
    hs_fleet_engines_put(engines, &entry, 1);
}

/** Makes a table with one list of engines, known as of now; returns that time. */
static uint64_t note_list(hs_fleet_engines *engines, GHashTable *listed) {
    uint64_t now_ms = hs_clock_monotonic_ms();
    hs_fleet_engines_keep_only(engines, listed, 0);
    hs_fleet_engines_note_list_as_of(engines, now_ms);
    return now_ms;
}

static hs_fleet_engines *make_engines(GHashTable **listed) {
    hs_fleet_engines *engines = hs_fleet_engines_new("z");
    *listed = g_hash_table_new(g_str_hash, g_str_equal);
    put_engine(engines, "e1", "v1");
    put_engine(engines, "e2", "v1");
    g_hash_table_add(*listed, "e1");
    g_hash_table_add(*listed, "e2");
    return engines;
}

static void a_request_for_a_version_gets_no_engine_of_another(void) {
    g_autoptr(GHashTable) listed = NULL;
    hs_fleet_engines *engines = make_engines(&listed);
    hs_engine_query query = {.service = "svc", .software = hs_software_id("svc", "v2")};
    CU_ASSERT_PTR_NULL(hs_fleet_engines_acquire(engines, &query));
    CU_ASSERT_FALSE(hs_fleet_engines_has_software(engines, "svc", query.software));
    put_engine(engines, "e3", "v2");
    for (int count = 0; count < 3; count++) {
        hs_engine_lease *lease = hs_fleet_engines_acquire(engines, &query);
        CU_ASSERT_PTR_NOT_NULL_FATAL(lease);
        CU_ASSERT_STRING_EQUAL(hs_engine_lease_id(lease), "e3");
        CU_ASSERT_EQUAL(hs_engine_lease_reasons(lease).software, query.software);
        hs_engine_lease_release(lease, NULL, HS_ATTEMPT_DROPPED);
    }
    CU_ASSERT_EQUAL(
        hs_fleet_engines_outlook_of(engines, "svc", &(hs_region_policy){0}, query.software).engines,
        1);
    CU_ASSERT_EQUAL(hs_fleet_engines_outlook(engines, "svc").engines, 3);
    hs_fleet_engines_free(engines);
}

/** Guards against a stream of unknown origin that goes on at the only version listed now. */
static void a_version_that_was_removed_lately_may_have_begun_a_stream(void) {
    g_autoptr(GHashTable) listed = NULL;
    hs_fleet_engines *engines = make_engines(&listed);
    uint64_t as_of_ms = note_list(engines, listed);
    CU_ASSERT_EQUAL(hs_fleet_engines_sole_software(engines, "svc", 0), 0); /* Just started. */
    hs_fleet_engines_note_past_software_added(engines);
    uint64_t sole = hs_software_id("svc", "v1");
    CU_ASSERT_EQUAL(hs_fleet_engines_sole_software(engines, "svc", as_of_ms), sole);
    CU_ASSERT_EQUAL(hs_fleet_engines_sole_software(engines, "svc", as_of_ms + 1), 0);
    put_engine(engines, "e3", "v2");
    CU_ASSERT_EQUAL(hs_fleet_engines_sole_software(engines, "svc", as_of_ms), 0);
    hs_fleet_engines_drop(engines, "e3");
    CU_ASSERT_EQUAL(hs_fleet_engines_sole_software(engines, "svc", as_of_ms), 0);
    g_autoptr(GHashTable) services = hs_fleet_engines_list_software(engines);
    const GArray *list = g_hash_table_lookup(services, "svc");
    CU_ASSERT_EQUAL(list->len, 2);
    hs_fleet_engines_free(engines);
}

static void software_that_the_store_names_counts_after_a_start(void) {
    g_autoptr(GHashTable) listed = NULL;
    hs_fleet_engines *engines = make_engines(&listed);
    note_list(engines, listed);
    hs_fleet_engines_add_past_software(engines, "svc", hs_software_id("svc", "v0"));
    hs_fleet_engines_note_past_software_added(engines);
    CU_ASSERT_EQUAL(hs_fleet_engines_sole_software(engines, "svc", 0), 0);
    hs_fleet_engines_free(engines);
}

static void a_removed_version_is_forgotten_when_its_streams_are_too_old(void) {
    hs_software_history *history = hs_software_history_new();
    hs_software_history_note_removed(history, "svc", 5, 1000);
    hs_software_history_note_removed(history, "svc", 5, 2000);
    hs_software_history_note_removed(history, "other", 6, 2000);
    CU_ASSERT_EQUAL(hs_software_history_absent_ms(history, "svc", 5, 2500), 500);
    CU_ASSERT_EQUAL(hs_software_history_absent_ms(history, "svc", 6, 2500), 0);
    GArray *list = hs_software_history_list_removed(history, "svc", 2000 + HS_MAX_STREAM_AGE_MS);
    CU_ASSERT_EQUAL(list->len, 1);
    g_array_unref(list);
    list = hs_software_history_list_removed(history, "svc", 2001 + HS_MAX_STREAM_AGE_MS);
    CU_ASSERT_EQUAL(list->len, 0);
    g_array_unref(list);
    CU_ASSERT_FALSE(hs_software_history_is_complete(history, 1000000));
    hs_software_history_note_complete(history, 500);
    hs_software_history_note_complete(history, 900);
    CU_ASSERT_FALSE(hs_software_history_is_complete(history, 499 + HS_MAX_STREAM_AGE_MS));
    CU_ASSERT_TRUE(hs_software_history_is_complete(history, 500 + HS_MAX_STREAM_AGE_MS));
    hs_software_history_free(history);
}

typedef struct {
    uint32_t announced;
    uint32_t queries;
    hs_origin_answer answer;
} origin_calls;

static void count_announcement(uint64_t stream, uint64_t software, void *user_data) {
    (void)stream;
    (void)software;
    ((origin_calls *)user_data)->announced++;
}

static hs_origin_answer count_query(uint64_t stream, void *user_data) {
    (void)stream;
    ((origin_calls *)user_data)->queries++;
    return ((origin_calls *)user_data)->answer;
}

static void other_daemons_are_asked_for_unknown_origins_only(void) {
    hs_stream_origins *origins = hs_stream_origins_new();
    origin_calls calls = {.answer = {.is_final = true}};
    hs_stream_origins_set_calls(origins, &(hs_origin_calls){.announce = count_announcement,
                                                            .query = count_query,
                                                            .user_data = &calls});
    uint64_t own = hs_stream_origins_name("own");
    uint64_t other = hs_stream_origins_name("other");
    hs_stream_origins_announce(origins, own, 1);
    CU_ASSERT_EQUAL(calls.announced, 1);
    CU_ASSERT_EQUAL(hs_stream_origins_look_up(origins, own).software, 1);
    CU_ASSERT_EQUAL(calls.queries, 0);
    CU_ASSERT_EQUAL(hs_stream_origins_look_up(origins, other).software, 0);
    calls.answer.software = 2;
    CU_ASSERT_EQUAL(hs_stream_origins_look_up(origins, other).software, 2);
    CU_ASSERT_EQUAL(hs_stream_origins_look_up(origins, other).software, 2);
    CU_ASSERT_EQUAL(calls.queries, 2);
    hs_stream_origins_put(origins, own, 3); /* The request id was used again. */
    CU_ASSERT_EQUAL(hs_stream_origins_find(origins, own), 3);
    hs_stream_origins_free(origins);
}

static void a_report_lists_runs_by_request_id(void) {
    static const char report[] = "{\"running\":2,\"run-count\":[[\"a\",1,2,0],[\"b\",1,2,0]]}";
    static const char *const malformed[] = {"", "{", "[]", "{\"run-count\":3}",
                                            "{\"run-count\":[3,[],[4],{\"a\":1}]}"};
    CU_ASSERT_TRUE(hs_platform_report_has_run(report, strlen(report), "b"));
    CU_ASSERT_FALSE(hs_platform_report_has_run(report, strlen(report), "c"));
    for (size_t index = 0; index < G_N_ELEMENTS(malformed); index++)
        CU_ASSERT_FALSE(
            hs_platform_report_has_run(malformed[index], strlen(malformed[index]), "a"));
}

const test_case version_tests[] = {
    {"a_request_for_a_version_gets_no_engine_of_another",
     a_request_for_a_version_gets_no_engine_of_another},
    {"a_version_that_was_removed_lately_may_have_begun_a_stream",
     a_version_that_was_removed_lately_may_have_begun_a_stream},
    {"software_that_the_store_names_counts_after_a_start",
     software_that_the_store_names_counts_after_a_start},
    {"a_removed_version_is_forgotten_when_its_streams_are_too_old",
     a_removed_version_is_forgotten_when_its_streams_are_too_old},
    {"other_daemons_are_asked_for_unknown_origins_only",
     other_daemons_are_asked_for_unknown_origins_only},
    {"a_report_lists_runs_by_request_id", a_report_lists_runs_by_request_id},
    {NULL, NULL},
};
