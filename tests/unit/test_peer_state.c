/** @file test_peer_state.c  Configuration and engines from another daemon while the store is
 * silent. */
#include "base/clock.h"
#include "directory/peer_config.h"
#include "fleet/fleet_engine.h"
#include "platform/names.h"
#include "standin/log_store/log_store.h"
#include "tests/support/scripted_peer.h"
#include "tests/unit/unit_tests.h"

#include <netinet/in.h>
#include <string.h>

#define ENTRY_FORMAT                                                                               \
    "{\"service\":\"svc\",\"address\":\"127.0.0.1:9\",\"zone\":\"z\",\"slots\":4,"                 \
    "\"version\":\"v1\",\"state\":\"ready\",\"warmup-left-ms\":5000,\"sequence\":1}"
#define HEARTBEAT_MS 60000
#define WAIT_LIMIT_MS 3000
#define CUT_PEERS 24

/** Sources of a daemon, and the store that it reads. */
typedef struct {
    log_store *store;
    hs_store_client *client;
    hs_fleet_engines *engines;
    hs_config_source *config;
    hs_engine_source *engine_source;
    hs_peer_config *peers;
} node;

/** Makes a node without its peers. */
static node make_sources(void) {
    node made = {.store = log_store_start(0), .engines = hs_fleet_engines_new("z")};
    made.client = hs_store_client_new(INADDR_LOOPBACK, log_store_port(made.store));
    made.config = hs_config_source_new(made.client, 200);
    made.engine_source = hs_engine_source_new(made.client, made.engines, 300, HEARTBEAT_MS);
    return made;
}

static node make_node(void) {
    node made = make_sources();
    hs_peer_config_settings settings = {.config = made.config, .engine_source = made.engine_source};
    made.peers = hs_peer_config_new(&settings);
    return made;
}

static void free_node(node *made) {
    hs_store_client_interrupt_calls(made->client);
    hs_peer_config_free(made->peers);
    hs_engine_source_free(made->engine_source);
    hs_config_source_free(made->config);
    hs_fleet_engines_free(made->engines);
    hs_store_client_free(made->client);
    log_store_stop(made->store);
}

static char *write_config(int version) {
    return g_strdup_printf("{\"version\":%d,\"routes\":[],\"services\":[],\"limits\":{}}", version);
}

/** State with a configuration and the engine "e1"; the reads are @p age_ms old. */
static hs_peer_state *make_state(int version, uint64_t age_ms) {
    hs_peer_state *state = hs_peer_state_new();
    char *text = write_config(version);
    state->config = g_bytes_new_take(text, strlen(text));
    state->config_offset = 12;
    state->config_age_ms = age_ms;
    state->entries = hs_peer_entries_new();
    state->entries_age_ms = age_ms;
    g_autoptr(GBytes) value = g_bytes_new_static(ENTRY_FORMAT, strlen(ENTRY_FORMAT));
    hs_peer_entries_add(state->entries, "e1", value, age_ms);
    return state;
}

static bool apply_state(node *to, int version, uint64_t age_ms) {
    hs_peer_state *state = make_state(version, age_ms);
    g_autoptr(GByteArray) answer = hs_peer_state_encode(state);
    hs_peer_state_free(state);
    return hs_peer_config_apply(to->peers, "peer", answer, hs_clock_monotonic_ms());
}

static uint64_t get_version(node *of) {
    hs_fleet_config *config = hs_config_source_get(of->config);
    uint64_t version = config != NULL ? config->version : 0;
    hs_fleet_config_unref(config);
    return version;
}

static bool has_engine(node *of, const char *id) {
    g_mutex_lock(&of->engines->lock);
    bool is_known = g_hash_table_contains(of->engines->by_id, id);
    g_mutex_unlock(&of->engines->lock);
    return is_known;
}

/** A directory that lists its seeds, and what it needs. */
typedef struct {
    hs_topology *topology;
    hs_crash_watch *crash_watch;
    hs_stream_origins *origins;
    hs_daemon_directory *directory;
} seed_directory;

static seed_directory make_directory(node *of, const char *seeds) {
    seed_directory made = {.topology = hs_topology_new(""),
                           .crash_watch = hs_crash_watch_new(),
                           .origins = hs_stream_origins_new()};
    hs_daemon_directory_settings settings = {.id = "d",
                                             .zone = "z",
                                             .topology = made.topology,
                                             .address = "127.0.0.1",
                                             .seeds = seeds,
                                             .probe_interval_ms = HEARTBEAT_MS,
                                             .resolve_ttl_s = 1,
                                             .store = of->client,
                                             .engines = of->engines,
                                             .config = of->config,
                                             .crash_watch = made.crash_watch,
                                             .origins = made.origins};
    made.directory = hs_daemon_directory_new(&settings, NULL);
    CU_ASSERT_PTR_NOT_NULL_FATAL(made.directory);
    return made;
}

static void free_directory(const seed_directory *made) {
    hs_daemon_directory_free(made->directory);
    hs_crash_watch_free(made->crash_watch);
    hs_stream_origins_free(made->origins);
    hs_topology_free(made->topology);
}

/** Returns a whole answer with version 7 and the engine "e1". */
static GByteArray *write_state_answer(void) {
    hs_peer_state *state = make_state(7, 0);
    g_autoptr(GByteArray) body = hs_peer_state_encode(state);
    hs_peer_state_free(state);
    g_autofree char *head =
        g_strdup_printf("HTTP/1.1 200 OK\r\nContent-Length: %u\r\n\r\n", body->len);
    GByteArray *bytes = g_byte_array_new();
    g_byte_array_append(bytes, (const guint8 *)head, (guint)strlen(head));
    g_byte_array_append(bytes, body->data, body->len);
    return bytes;
}

static void set_cut(scripted_peer *peer, const GByteArray *bytes, size_t length,
                    peer_ending ending) {
    scripted_peer_set(
        peer,
        &(peer_script){.bytes = (const char *)bytes->data, .length = length, .ending = ending});
}

/** Waits until each peer was asked and a second round has begun, so that all answers were handled.
 */
static bool wait_for_round(scripted_peer *const *peers, uint64_t until_ms) {
    bool is_over = false;
    while (!is_over && hs_clock_monotonic_ms() < until_ms) {
        uint32_t asked = 0;
        uint32_t requests = 0;
        for (int index = 0; index < CUT_PEERS; index++) {
            asked += scripted_peer_request_count(peers[index]) > 0;
            requests += scripted_peer_request_count(peers[index]);
        }
        is_over = asked == CUT_PEERS && requests > CUT_PEERS;
        hs_clock_sleep_ms(5);
    }
    return is_over;
}

/** Guards against a configuration, or engines, from a part of a daemon's answer. */
static void a_state_whose_answer_is_cut_is_not_applied(void) {
    scripted_peer *peers[CUT_PEERS];
    g_autoptr(GByteArray) bytes = write_state_answer();
    g_autoptr(GString) seeds = g_string_new(NULL);
    for (int index = 0; index < CUT_PEERS; index++) {
        peers[index] = scripted_peer_start();
        g_string_append_printf(seeds, ",127.0.0.1:%u", scripted_peer_port(peers[index]));
        set_cut(peers[index], bytes, (bytes->len - 1) * (size_t)index / (CUT_PEERS - 1),
                index % 2 == 0 ? PEER_CLOSES : PEER_RESETS);
    }
    node made = make_sources();
    seed_directory members = make_directory(&made, seeds->str + 1);
    hs_peer_config_settings settings = {
        .config = made.config, .engine_source = made.engine_source, .members = members.directory};
    made.peers = hs_peer_config_new(&settings);
    hs_peer_config_start(made.peers);
    CU_ASSERT_TRUE(wait_for_round(peers, hs_clock_monotonic_ms() + CUT_PEERS * WAIT_LIMIT_MS));
    CU_ASSERT_EQUAL(get_version(&made), 0);
    CU_ASSERT_FALSE(has_engine(&made, "e1"));
    for (int index = 0; index < CUT_PEERS; index++)
        set_cut(peers[index], bytes, bytes->len, PEER_CLOSES);
    uint64_t until_ms = hs_clock_monotonic_ms() + WAIT_LIMIT_MS;
    while (get_version(&made) == 0 && hs_clock_monotonic_ms() < until_ms)
        hs_clock_sleep_ms(5);
    CU_ASSERT_EQUAL(get_version(&made), 7);
    CU_ASSERT_TRUE(has_engine(&made, "e1"));
    hs_peer_config_free(made.peers);
    made.peers = NULL;
    free_directory(&members);
    free_node(&made);
    for (int index = 0; index < CUT_PEERS; index++)
        scripted_peer_stop(peers[index]);
}

/** Guards against answers of other builds, or cut ones, that are taken for a state. */
static void a_state_is_read_whole_or_not_at_all(void) {
    static const uint8_t later_section[] = {0, 0, 0, 99, 0, 0, 0, 2, 1, 2};
    hs_peer_state *state = make_state(3, 70);
    state->evacuations = g_bytes_new_static("zones", 5);
    g_autoptr(GByteArray) encoded = hs_peer_state_encode(state);
    guint whole_length = encoded->len;
    guint read_count = 0;
    for (guint length = 0; length < whole_length; length++) {
        hs_peer_state *cut = hs_peer_state_decode(encoded->data, length);
        read_count += cut != NULL && cut->evacuations != NULL;
        hs_peer_state_free(cut);
    }
    CU_ASSERT_EQUAL(read_count, 0);
    g_byte_array_append(encoded, later_section, sizeof later_section);
    hs_peer_state *decoded = hs_peer_state_decode(encoded->data, encoded->len);
    CU_ASSERT_PTR_NOT_NULL_FATAL(decoded);
    if (decoded == NULL)
        return;
    CU_ASSERT_TRUE(g_bytes_equal(decoded->config, state->config));
    CU_ASSERT_TRUE(g_bytes_equal(decoded->evacuations, state->evacuations));
    CU_ASSERT_EQUAL(decoded->config_offset, 12);
    CU_ASSERT_EQUAL(decoded->config_age_ms, 70);
    CU_ASSERT_EQUAL_FATAL(decoded->entries->len, 1);
    const hs_peer_entry *entry = decoded->entries->pdata[0];
    CU_ASSERT_STRING_EQUAL(entry->id, "e1");
    CU_ASSERT_EQUAL(entry->age_ms, 70);
    hs_peer_state_free(decoded);
    hs_peer_state_free(state);
}

/** Guards against queries on a normal start, and against a round without a pause. */
static void daemons_are_asked_only_while_the_store_is_silent(void) {
    hs_peer_query query = {.started_ms = 1000};
    CU_ASSERT_EQUAL(hs_peer_query_decide(&query, false, 2, 1100), HS_PEER_QUERY_WAIT);
    CU_ASSERT_EQUAL(hs_peer_query_decide(&query, true, 2, 1100), HS_PEER_QUERY_END);
    CU_ASSERT_EQUAL(hs_peer_query_decide(&query, false, 0, 1300), HS_PEER_QUERY_WAIT);
    CU_ASSERT_EQUAL(hs_peer_query_decide(&query, false, 2, 1300), HS_PEER_QUERY_ASK);
    hs_peer_query_note_asked(&query, 2, 1400);
    CU_ASSERT_EQUAL(hs_peer_query_decide(&query, false, 2, 1400), HS_PEER_QUERY_ASK);
    hs_peer_query_note_asked(&query, 2, 1500);
    CU_ASSERT_EQUAL(hs_peer_query_decide(&query, false, 2, 1600), HS_PEER_QUERY_WAIT);
    CU_ASSERT_EQUAL(hs_peer_query_decide(&query, false, 2, 2000), HS_PEER_QUERY_ASK);
}

/** With strict revocation, keys from a peer must not appear younger than they are there. */
static void a_peers_state_keeps_its_age(void) {
    node made = make_node();
    hs_clock_sleep_ms(2);
    uint64_t before_ms = hs_clock_monotonic_ms();
    CU_ASSERT_FALSE(hs_engine_source_has_list(made.engine_source));
    CU_ASSERT_TRUE(apply_state(&made, 3, 400));
    CU_ASSERT_TRUE(hs_engine_source_has_list(made.engine_source));
    CU_ASSERT_EQUAL(get_version(&made), 3);
    uint64_t as_of_ms = hs_config_source_as_of_ms(made.config);
    CU_ASSERT(as_of_ms >= before_ms - 400 && as_of_ms <= hs_clock_monotonic_ms() - 400);
    as_of_ms = hs_engine_source_as_of_ms(made.engine_source);
    CU_ASSERT(as_of_ms >= before_ms - 400 && as_of_ms <= hs_clock_monotonic_ms() - 400);
    g_autoptr(GPtrArray) entries =
        hs_engine_source_list_entries(made.engine_source, hs_clock_monotonic_ms());
    CU_ASSERT_EQUAL_FATAL(entries->len, 1);
    CU_ASSERT(((const hs_peer_entry *)entries->pdata[0])->age_ms >= 400);
    CU_ASSERT_FALSE(apply_state(&made, 2, 0)); /* Older than what is in force. */
    CU_ASSERT_EQUAL(get_version(&made), 3);
    free_node(&made);
}

/** An age beyond this machine's uptime must not become a recent time. */
static void a_state_of_unknown_age_is_not_recent(void) {
    node made = make_node();
    CU_ASSERT_TRUE(apply_state(&made, 3, UINT64_MAX));
    CU_ASSERT_EQUAL(hs_config_source_as_of_ms(made.config), 0);
    free_node(&made);
}

static void an_unreadable_answer_changes_nothing(void) {
    node made = make_node();
    g_autoptr(GByteArray) answer = g_byte_array_new();
    g_byte_array_append(answer, (const guint8 *)"<html>", 6);
    CU_ASSERT_FALSE(hs_peer_config_apply(made.peers, "peer", answer, 1));
    CU_ASSERT_EQUAL(get_version(&made), 0);
    CU_ASSERT_FALSE(hs_engine_source_has_list(made.engine_source));
    free_node(&made);
}

/** The store's list replaces that of a peer, and a late answer of a peer changes nothing. */
static void the_store_has_priority(void) {
    node made = make_node();
    g_autofree char *config = write_config(4);
    CU_ASSERT_TRUE(apply_state(&made, 3, 100));
    CU_ASSERT_TRUE(has_engine(&made, "e1"));
    log_store_put(made.store, TOPIC_CONFIG, KEY_CONFIG, config);
    log_store_put(made.store, TOPIC_ENGINES, "e2", ENTRY_FORMAT);
    hs_config_source_start(made.config);
    hs_engine_source_start(made.engine_source);
    uint64_t limit_ms = hs_clock_monotonic_ms() + WAIT_LIMIT_MS;
    while ((has_engine(&made, "e1") || get_version(&made) != 4) &&
           hs_clock_monotonic_ms() < limit_ms)
        hs_clock_sleep_ms(5);
    CU_ASSERT_EQUAL(get_version(&made), 4);
    CU_ASSERT_FALSE(has_engine(&made, "e1"));
    CU_ASSERT_TRUE(has_engine(&made, "e2"));
    CU_ASSERT_FALSE(apply_state(&made, 9, 0));
    CU_ASSERT_EQUAL(get_version(&made), 4);
    CU_ASSERT_FALSE(has_engine(&made, "e1"));
    free_node(&made);
}

const test_case peer_state_tests[] = {
    {"a_state_whose_answer_is_cut_is_not_applied", a_state_whose_answer_is_cut_is_not_applied},
    {"a_state_is_read_whole_or_not_at_all", a_state_is_read_whole_or_not_at_all},
    {"daemons_are_asked_only_while_the_store_is_silent",
     daemons_are_asked_only_while_the_store_is_silent},
    {"a_peers_state_keeps_its_age", a_peers_state_keeps_its_age},
    {"a_state_of_unknown_age_is_not_recent", a_state_of_unknown_age_is_not_recent},
    {"an_unreadable_answer_changes_nothing", an_unreadable_answer_changes_nothing},
    {"the_store_has_priority", the_store_has_priority},
    {NULL, NULL}};
