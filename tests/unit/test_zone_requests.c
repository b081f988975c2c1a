/**
 * @file test_zone_requests.c
 * Requests and items while zones are evacuated: the engine table, attempts, refusals, the records
 * in the store, and the exchange between daemons.
 */
#include "base/clock.h"
#include "base/hash.h"
#include "directory/evacuation_exchange.h"
#include "fleet/config_source.h"
#include "fleet/engine_attempt.h"
#include "fleet/engine_evacuation.h"
#include "fleet/fleet_engine.h"
#include "http/http_fields.h"
#include "online/refusal_choice.h"
#include "platform/names.h"
#include "standin/log_store/log_store.h"
#include "tests/support/scripted_peer.h"
#include "tests/unit/unit_tests.h"

#include <arpa/inet.h>
#include <string.h>
#include <unistd.h>

#define LONG_LIMIT_MS 600000
#define WAIT_MS 3000

static void put_engine(hs_fleet_engines *engines, const char *id, const char *zone, uint16_t port) {
    hs_engine_entry entry = {.id = g_strdup(id),
                             .service = g_strdup("svc"),
                             .zone = g_strdup(zone),
                             .address = INADDR_LOOPBACK,
                             .port = port,
                             .slots = 2};
    hs_fleet_engines_put(engines, &entry, hs_clock_monotonic_ms());
}

/** One engine of two slots in each of the zones a and b; the store has no evacuation. */
static hs_fleet_engines *make_engines(uint32_t limit_ms) {
    hs_fleet_engines *engines = hs_fleet_engines_new("a");
    put_engine(engines, "ea", "a", 9);
    put_engine(engines, "eb", "b", 9);
    hs_fleet_engines_set_evacuate_ms(engines, limit_ms);
    hs_fleet_engines_put_evacuation_record(engines, NULL, false, 0);
    hs_fleet_engines_end_evacuation_read(engines, hs_clock_monotonic_ms(), true);
    return engines;
}

/** Acquires an engine, and returns whether it is the expected one (NULL: none). */
static bool takes(hs_fleet_engines *engines, hs_work_class work, const char *expected,
                  hs_engine_lease **lease) {
    hs_engine_query query = {.service = "svc", .work = work};
    *lease = hs_fleet_engines_acquire(engines, &query);
    const char *id = *lease != NULL ? hs_engine_lease_id(*lease) : NULL;
    return g_strcmp0(id, expected) == 0;
}

static void release(hs_engine_lease *lease) {
    if (lease != NULL)
        hs_engine_lease_release(lease, NULL, HS_ATTEMPT_DROPPED);
}

/** Guards against items, and online requests without need, at the engines of an evacuated zone. */
static void evacuated_engines_are_the_last_resort_of_online_requests(void) {
    hs_fleet_engines *engines = make_engines(LONG_LIMIT_MS);
    hs_engine_lease *leases[5] = {NULL};
    hs_fleet_engines_put_evacuation_record(engines, "b", true, 1);
    CU_ASSERT_TRUE(takes(engines, HS_WORK_BATCH, "ea", &leases[0]));
    CU_ASSERT_TRUE(takes(engines, HS_WORK_BATCH, "ea", &leases[1]));
    CU_ASSERT_TRUE(takes(engines, HS_WORK_BATCH, NULL, &leases[4]));
    CU_ASSERT_TRUE(takes(engines, HS_WORK_ONLINE, "ea", &leases[2])); /* An item gives way. */
    release(leases[0]);
    release(leases[1]);
    CU_ASSERT_TRUE(takes(engines, HS_WORK_ONLINE, "ea", &leases[0]));
    CU_ASSERT_EQUAL(hs_fleet_engines_capacity(engines, "svc").slots, 2);
    CU_ASSERT_TRUE(takes(engines, HS_WORK_ONLINE, "eb", &leases[1]));
    CU_ASSERT_TRUE(hs_engine_lease_may_send(leases[1]));
    CU_ASSERT_EQUAL(hs_fleet_engines_capacity(engines, "svc").online, 3);
    hs_fleet_engines_put_evacuation_record(engines, "b", false, 2);
    hs_fleet_engines_set_evacuate_ms(engines, 0);
    hs_fleet_engines_put_evacuation_record(engines, "b", true, 3);
    CU_ASSERT_FALSE(hs_engine_lease_may_send(leases[1])); /* Closed while it waited. */
    CU_ASSERT_TRUE(takes(engines, HS_WORK_ONLINE, "ea", &leases[3]));
    for (size_t index = 0; index < 4; index++)
        release(leases[index]);
    hs_fleet_engines_free(engines);
}

/** Guards against an engine that is judged by the zone of an older entry. */
static void the_zone_of_the_newest_entry_counts(void) {
    hs_fleet_engines *engines = make_engines(0);
    hs_engine_lease *lease = NULL;
    hs_fleet_engines_put_evacuation_record(engines, "a", true, 1);
    hs_fleet_engines_put_evacuation_record(engines, "nowhere", true, 2);
    CU_ASSERT_TRUE(takes(engines, HS_WORK_ONLINE, "eb", &lease));
    put_engine(engines, "eb", "a", 9);
    CU_ASSERT_FALSE(hs_engine_lease_may_send(lease));
    release(lease);
    put_engine(engines, "ea", "c", 9);
    CU_ASSERT_TRUE(takes(engines, HS_WORK_ONLINE, "ea", &lease));
    release(lease);
    CU_ASSERT_FALSE(hs_fleet_engines_may_check(hs_hash_bytes("eb", 2), engines));
    CU_ASSERT_TRUE(hs_fleet_engines_may_check(hs_hash_bytes("ea", 2), engines));
    g_mutex_lock(&engines->lock);
    const hs_fleet_engine *moved = g_hash_table_lookup(engines->by_id, "eb");
    CU_ASSERT_EQUAL(hs_fleet_engine_evacuated_until_ms(engines, moved), UINT64_MAX);
    g_mutex_unlock(&engines->lock);
    hs_fleet_engines_free(engines);
}

/** Guards against requests that wait for zones that are all evacuated. */
static void a_service_without_a_zone_refuses_at_once(void) {
    hs_fleet_engines *engines = make_engines(0);
    hs_engine_lease *lease = NULL;
    GHashTable *listed = g_hash_table_new(g_str_hash, g_str_equal);
    g_hash_table_add(listed, "ea");
    g_hash_table_add(listed, "eb");
    hs_fleet_engines_keep_only(engines, listed, 0);
    g_hash_table_destroy(listed);
    hs_fleet_engines_put_evacuation_record(engines, "a", true, 1);
    hs_refusal_view view = {.service = hs_fleet_engines_outlook(engines, "svc"), .left_ms = 5000};
    CU_ASSERT_EQUAL(view.service.engines, 1);
    CU_ASSERT_EQUAL(hs_refusal_choose(&view).verdict, HS_REFUSAL_HOLD);
    hs_fleet_engines_put_evacuation_record(engines, "b", true, 2);
    CU_ASSERT_TRUE(takes(engines, HS_WORK_ONLINE, NULL, &lease));
    CU_ASSERT_EQUAL(hs_fleet_engines_capacity(engines, "svc").slots, 0);
    view.service = hs_fleet_engines_outlook(engines, "svc");
    CU_ASSERT_EQUAL(view.service.evacuated, 2);
    view.service.evacuate_limit_ms = 1700;
    CU_ASSERT_EQUAL(hs_refusal_choose(&view).verdict, HS_REFUSAL_EVACUATED);
    CU_ASSERT_EQUAL(hs_refusal_choose(&view).expected_ms, 1700);
    view.service.evacuated_ms = 9000;
    CU_ASSERT_EQUAL(hs_refusal_choose(&view).expected_ms, 9000);
    hs_fleet_engines_free(engines);
}

/** Guards against requests of a daemon that was suspended and has not read the store since. */
static void a_suspended_daemon_sends_nothing_before_it_reads(void) {
    hs_fleet_engines *engines = make_engines(1);
    hs_engine_lease *lease = NULL;
    hs_fleet_engines_tick_evacuations(engines, hs_clock_monotonic_ms() - 2000);
    hs_clock_sleep_ms(5);
    CU_ASSERT_TRUE(takes(engines, HS_WORK_ONLINE, NULL, &lease));
    CU_ASSERT_EQUAL(hs_fleet_engines_outlook(engines, "svc").engines, 2); /* It is held. */
    CU_ASSERT_TRUE(hs_fleet_engines_begin_evacuation_read(engines));
    hs_fleet_engines_end_evacuation_read(engines, hs_clock_monotonic_ms(), true);
    CU_ASSERT_FALSE(hs_fleet_engines_begin_evacuation_read(engines));
    CU_ASSERT_TRUE(takes(engines, HS_WORK_ONLINE, "ea", &lease));
    release(lease);
    hs_fleet_engines_free(engines);
}

static void evacuate_all(const hs_engine_use *use, bool started, void *user_data) {
    (void)use;
    if (started)
        hs_fleet_engines_put_evacuation_record(user_data, "a", true, 1);
}

/** Guards against a request that is sent after it waited for a confirmation or a connection. */
static void a_request_that_waited_is_not_sent_to_the_zone(void) {
    scripted_peer *peer = scripted_peer_start();
    hs_fleet_engines *engines = make_engines(LONG_LIMIT_MS);
    hs_fleet_engines_drop(engines, "eb");
    put_engine(engines, "ea", "a", scripted_peer_port(peer));
    hs_fleet_engines_set_use_observer(engines, evacuate_all, engines);
    GArray *fields = hs_http_fields_new();
    hs_attempt attempt;
    hs_attempt_parameters parameters = {
        .query = {.service = "svc"},
        .request = {.method = "POST", .target = "/", .fields = fields, .request_id = "r1"},
        .wait = {.deadline = hs_clock_monotonic_ms() + 300, .watched = HS_WATCH_NOTHING}};
    CU_ASSERT_FALSE(hs_attempt_start(engines, &parameters, &attempt));
    CU_ASSERT_PTR_NULL(attempt.lease);
    CU_ASSERT_PTR_NULL(attempt.connection);
    CU_ASSERT_EQUAL(scripted_peer_request_count(peer), 0);
    hs_http_fields_free(fields);
    hs_fleet_engines_free(engines);
    scripted_peer_stop(peer);
}

static void count_result(const GArray *runs, bool is_crashed, void *user_data) {
    (void)is_crashed;
    g_atomic_int_add((gint *)user_data, (gint)runs->len);
}

static bool excludes_engine_1(uint64_t engine, void *user_data) {
    (void)user_data;
    return engine != 1;
}

/** Guards against connections that check an engine of an evacuated zone for a crash. */
static void evacuated_engines_are_not_checked_for_a_crash(void) {
    gint results = 0;
    hs_cut_run run = {.engine = 1, .engine_id = "e1", .address = INADDR_LOOPBACK, .port = 9};
    hs_crash_probe *probe = hs_crash_probe_start(count_result, &results);
    hs_crash_probe_set_filter(probe, excludes_engine_1, NULL);
    CU_ASSERT_TRUE(hs_crash_probe_submit(probe, &run));
    run.engine = 2;
    CU_ASSERT_TRUE(hs_crash_probe_submit(probe, &run));
    uint64_t until_ms = hs_clock_monotonic_ms() + WAIT_MS;
    while (g_atomic_int_get(&results) == 0 && hs_clock_monotonic_ms() < until_ms)
        hs_clock_sleep_ms(5);
    hs_crash_probe_stop(probe);
    CU_ASSERT_EQUAL(g_atomic_int_get(&results), 1);
}

/** Returns whether the zone's metric gets the value within WAIT_MS. */
static bool becomes(hs_fleet_engines *engines, const char *zone, int expected) {
    g_autofree char *line =
        g_strdup_printf("heathsail_zone_evacuated{zone=\"%s\"} %d\n", zone, expected);
    uint64_t until_ms = hs_clock_monotonic_ms() + WAIT_MS;
    bool is_found = false;
    while (!is_found && hs_clock_monotonic_ms() < until_ms) {
        g_autofree char *text = hs_fleet_engines_describe_evacuations(engines);
        is_found = strstr(text, line) != NULL;
        if (!is_found)
            hs_clock_sleep_ms(5);
    }
    return is_found;
}

/** Guards against records that are dropped, at the start, while following and after a loss. */
static void the_operators_records_are_read(void) {
    log_store *store = log_store_start(0);
    hs_store_client *client = hs_store_client_new(INADDR_LOOPBACK, log_store_port(store));
    hs_fleet_engines *engines = hs_fleet_engines_new("z");
    hs_config_source *source = hs_config_source_new(client, 200);
    hs_config_source_set_engines(source, engines);
    log_store_put(store, TOPIC_CONFIG, KEY_EVACUATE_PREFIX "a", "{}");
    log_store_put(store, TOPIC_CONFIG, KEY_EVACUATE_PREFIX "b", "{}");
    hs_config_source_start(source);
    CU_ASSERT_TRUE(becomes(engines, "a", 1));
    log_store_put(store, TOPIC_CONFIG, KEY_EVACUATE_PREFIX "c", "{}");
    CU_ASSERT_TRUE(becomes(engines, "c", 1));
    log_store_put(store, TOPIC_CONFIG, KEY_EVACUATE_PREFIX "a", "");
    CU_ASSERT_TRUE(becomes(engines, "a", 0));
    CU_ASSERT_TRUE(becomes(engines, "b", 1));
    log_store_set_mode(store, LOG_STORE_REFUSES, NULL, 3);
    log_store_put(store, TOPIC_CONFIG, KEY_EVACUATE_PREFIX "b", "");
    log_store_put(store, TOPIC_CONFIG, KEY_EVACUATE_PREFIX "d", "{}");
    log_store_discard_records(store, TOPIC_CONFIG);
    CU_ASSERT_TRUE(becomes(engines, "d", 1));
    CU_ASSERT_TRUE(becomes(engines, "b", 0));
    CU_ASSERT_TRUE(becomes(engines, "c", 1));
    hs_evacuation_set wrong; /* Of a peer, beyond the end of the log. */
    hs_evacuation_set_init(&wrong, 100000);
    hs_evacuation_set_add(&wrong, "w", 99999, true);
    hs_fleet_engines_put_peer_evacuations(engines, "peer", &wrong);
    hs_evacuation_set_clear(&wrong);
    CU_ASSERT_TRUE(becomes(engines, "w", 1));
    CU_ASSERT_TRUE(becomes(engines, "w", 0));
    CU_ASSERT_TRUE(becomes(engines, "d", 1));
    uint16_t port = log_store_port(store);
    log_store_stop(store);
    store = log_store_start(port); /* Its offsets begin anew. */
    log_store_put(store, TOPIC_CONFIG, KEY_EVACUATE_PREFIX "e", "{}");
    CU_ASSERT_TRUE(becomes(engines, "e", 1));
    CU_ASSERT_TRUE(becomes(engines, "d", 0));
    hs_config_source_free(source);
    hs_fleet_engines_free(engines);
    hs_store_client_free(client);
    log_store_stop(store);
}

/** A daemon of the exchange. */
typedef struct {
    hs_peer_socket *socket;
    hs_membership_service *membership;
    hs_fleet_engines *engines;
    hs_evacuation_exchange *exchange;
} member;

static member make_member(const char *id) {
    hs_error error = {0};
    hs_member self = {.id = (char *)id, .zone = (char *)"z", .incarnation = 1, .peer_port = 1};
    hs_membership_service_settings settings = {.probe_interval_ms = 100};
    member made = {.socket = hs_peer_socket_new("127.0.0.1", 0, &error)};
    CU_ASSERT_PTR_NOT_NULL_FATAL(made.socket);
    made.membership = hs_membership_service_new(&self, &settings, made.socket);
    made.engines = hs_fleet_engines_new("z");
    made.exchange = hs_evacuation_exchange_new(made.engines, made.membership);
    return made;
}

static void free_member(member *made) {
    hs_evacuation_exchange_free(made->exchange);
    hs_fleet_engines_free(made->engines);
    hs_membership_service_free(made->membership);
    hs_peer_socket_free(made->socket);
}

/** Handles a set of daemon "other", with one zone (NULL: none). */
static void receive(const member *made, char *zone, uint64_t as_of, struct sockaddr_in *from) {
    Hs__EvacuatedZone entry = HS__EVACUATED_ZONE__INIT;
    entry.zone = zone;
    entry.offset = as_of - 1;
    Hs__EvacuatedZone *list[] = {&entry};
    Hs__Evacuations body = HS__EVACUATIONS__INIT;
    body.as_of_offset = as_of;
    body.n_zones = zone != NULL;
    body.zones = list;
    Hs__PeerMessage message = HS__PEER_MESSAGE__INIT;
    message.sender_id = (char *)"other";
    message.kind_case = HS__PEER_MESSAGE__KIND_EVACUATIONS;
    message.evacuations = &body;
    CU_ASSERT_TRUE(hs_evacuation_exchange_handle(made->exchange, &message, from));
}

/** Guards against daemons that never learn of a withdrawal, and against malformed sets. */
static void an_older_set_is_answered_by_the_newer_one(void) {
    member newer = make_member("a");
    member older = make_member("b");
    struct sockaddr_in own = {.sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    socklen_t own_length = sizeof own;
    struct timeval timeout = {.tv_sec = 2};
    uint8_t buffer[4096];
    int descriptor = socket(AF_INET, SOCK_DGRAM, 0);
    CU_ASSERT_EQUAL_FATAL(bind(descriptor, (struct sockaddr *)&own, own_length), 0);
    getsockname(descriptor, (struct sockaddr *)&own, &own_length);
    setsockopt(descriptor, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
    receive(&older, (char *)"x", 5, &own);
    receive(&older, (char *)"", 9, &own); /* Malformed: changes nothing. */
    receive(&newer, (char *)"y", 7, &own);
    CU_ASSERT_TRUE(becomes(older.engines, "x", 1));
    receive(&newer, (char *)"x", 5, &own);
    ssize_t length = recv(descriptor, buffer, sizeof buffer, 0);
    close(descriptor);
    CU_ASSERT_FATAL(length > 0);
    Hs__PeerMessage *reply = hs__peer_message__unpack(NULL, (size_t)length, buffer);
    CU_ASSERT_PTR_NOT_NULL_FATAL(reply);
    CU_ASSERT_TRUE(hs_evacuation_exchange_handle(older.exchange, reply, &own));
    CU_ASSERT_TRUE(becomes(older.engines, "x", 0));
    CU_ASSERT_TRUE(becomes(older.engines, "y", 1));
    if (reply != NULL)
        hs__peer_message__free_unpacked(reply, NULL);
    free_member(&older);
    free_member(&newer);
}

#define LOAD_ENGINES 12
#define LOAD_SLOTS 2
#define LOAD_STEPS 3000
/** 0.9 of the slots of two zones of three. */
#define LOAD_RUNS (LOAD_ENGINES * LOAD_SLOTS * 2 / 3 * 9 / 10)
/** During a burst for a tenth of the steps: more than two zones hold, less than three. */
#define BURST_RUNS (LOAD_ENGINES * LOAD_SLOTS * 8 / 10)

/** Returns the share of requests that found no free slot; @p evacuates: in the middle of the run.
 */
static double late_share(bool evacuates, uint32_t peak) {
    hs_fleet_engines *engines = make_engines(LONG_LIMIT_MS);
    hs_fleet_engines_keep_only(engines, NULL, 0);
    for (int index = 0; index < LOAD_ENGINES; index++) {
        g_autofree char *id = g_strdup_printf("e%d", index);
        put_engine(engines, id, index % 3 == 0 ? "a" : index % 3 == 1 ? "b" : "c", 9);
    }
    GQueue runs = G_QUEUE_INIT;
    uint32_t late = 0;
    for (uint32_t step = 0; step < LOAD_STEPS; step++) {
        bool is_peak = step / (LOAD_STEPS / 10) == 5; /* Right after the evacuation. */
        if (evacuates && step == LOAD_STEPS / 2)
            hs_fleet_engines_put_evacuation_record(engines, "a", true, 1);
        if (evacuates && step == LOAD_STEPS * 6 / 10) {
            hs_fleet_engines_put_evacuation_record(engines, "a", false, 2);
            hs_fleet_engines_set_evacuate_ms(engines, 0);
            hs_fleet_engines_put_evacuation_record(engines, "a", true, 3);
        }
        while (runs.length >= (is_peak ? peak : LOAD_RUNS))
            release(g_queue_pop_head(&runs));
        hs_engine_query query = {.service = "svc"};
        hs_engine_lease *lease = hs_fleet_engines_acquire(engines, &query);
        late += lease == NULL || lease->engine->online > LOAD_SLOTS;
        bool is_closed = evacuates && step >= LOAD_STEPS * 6 / 10;
        CU_ASSERT(lease == NULL || !is_closed || strcmp(lease->engine->entry.zone, "a") != 0);
        if (lease != NULL)
            g_queue_push_tail(&runs, lease);
    }
    while (runs.length > 0)
        release(g_queue_pop_head(&runs));
    hs_fleet_engines_free(engines);
    return (double)late / LOAD_STEPS;
}

/** Guards against an evacuation that overloads the other zones. */
static void an_evacuation_makes_hardly_any_request_late(void) {
    CU_ASSERT(late_share(true, LOAD_RUNS) <= late_share(false, LOAD_RUNS) + 0.02);
    CU_ASSERT(late_share(true, BURST_RUNS) <= late_share(false, BURST_RUNS) + 0.02);
}

const test_case zone_request_tests[] = {
    {"evacuated_engines_are_the_last_resort_of_online_requests",
     evacuated_engines_are_the_last_resort_of_online_requests},
    {"the_zone_of_the_newest_entry_counts", the_zone_of_the_newest_entry_counts},
    {"a_service_without_a_zone_refuses_at_once", a_service_without_a_zone_refuses_at_once},
    {"a_suspended_daemon_sends_nothing_before_it_reads",
     a_suspended_daemon_sends_nothing_before_it_reads},
    {"a_request_that_waited_is_not_sent_to_the_zone",
     a_request_that_waited_is_not_sent_to_the_zone},
    {"evacuated_engines_are_not_checked_for_a_crash",
     evacuated_engines_are_not_checked_for_a_crash},
    {"the_operators_records_are_read", the_operators_records_are_read},
    {"an_older_set_is_answered_by_the_newer_one", an_older_set_is_answered_by_the_newer_one},
    {"an_evacuation_makes_hardly_any_request_late", an_evacuation_makes_hardly_any_request_late},
    {NULL, NULL}};
