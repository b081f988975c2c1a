/**
 * @file test_attempt.c
 * Attempts at an engine: the execution state after a response truncated at any byte, the skipping
 * of unrelated responses, and the reuse of connections.
 */
#include "base/clock.h"
#include "fleet/engine_attempt.h"
#include "http/http_fields.h"
#include "tests/support/scripted_peer.h"
#include "tests/unit/unit_tests.h"

#include <arpa/inet.h>
#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define RESPONSE_HEAD                                                                              \
    "HTTP/1.1 200 OK\r\nHeathsail-Request-Id: r1\r\nHeathsail-Response-Signature: s\r\n"
#define COMPLETE_RESPONSE_TO(id)                                                                   \
    "HTTP/1.1 200 OK\r\nHeathsail-Request-Id: " id                                                 \
    "\r\nHeathsail-Response-Signature: s\r\nContent-Length: 4\r\n\r\nbody"
#define COMPLETE_RESPONSE RESPONSE_HEAD "Content-Length: 4\r\n\r\nbody"
#define REFUSAL "HTTP/1.1 503 Full\r\nHeathsail-Not-Executed: 1\r\nContent-Length: 2\r\n\r\nno"
#define STRAY_RESPONSE                                                                             \
    "HTTP/1.1 200 OK\r\nHeathsail-Request-Id: r0\r\nHeathsail-Response-Signature: s\r\n"           \
    "Content-Length: 3\r\n\r\nold"
#define BODY_LIMIT 65536
#define DEADLINE_MS 400
/** Connections that fill the backlog of a listener that accepts none. */
#define BACKLOG_CONNECTIONS 4
/** The shortest target latency of a first event. */
#define TARGET_LATENCY_MS 500

/** An engine table with one engine, a scripted peer, and attempt parameters for the engine. */
typedef struct {
    scripted_peer *peer;
    hs_fleet_engines *engines;
    GArray *fields;
    hs_attempt_parameters parameters;
} fixture;

static void open_fixture(fixture *test) {
    memset(test, 0, sizeof *test);
    test->peer = scripted_peer_start();
    test->engines = hs_fleet_engines_new("z");
    test->fields = hs_http_fields_new();
    hs_http_fields_add(test->fields, "Heathsail-Request-Id", "r1");
    hs_engine_entry entry = {.id = g_strdup("e1"),
                             .service = g_strdup("svc"),
                             .zone = g_strdup("z"),
                             .address = INADDR_LOOPBACK,
                             .port = scripted_peer_port(test->peer),
                             .slots = 4};
    hs_fleet_engines_put(test->engines, &entry, hs_clock_monotonic_ms());
    test->parameters.query = (hs_engine_query){.service = "svc"};
    test->parameters.request = (hs_engine_request){.method = "POST",
                                                   .target = "/a/b",
                                                   .fields = test->fields,
                                                   .request_id = "r1",
                                                   .body_length = 5};
    test->parameters.body = "hello";
    test->parameters.wait.watched = HS_WATCH_NOTHING;
}

static void close_fixture(fixture *test) {
    hs_fleet_engines_free(test->engines);
    hs_http_fields_free(test->fields);
    scripted_peer_stop(test->peer);
}

static bool start(fixture *test, const char *bytes, size_t length, peer_ending ending,
                  hs_attempt *attempt) {
    scripted_peer_set(test->peer,
                      &(peer_script){.bytes = bytes, .length = length, .ending = ending});
    test->parameters.wait.deadline = hs_clock_monotonic_ms() + DEADLINE_MS;
    return hs_attempt_start(test->engines, &test->parameters, attempt);
}

/**
 * Returns the port of a listener with a full backlog: SYN packets are dropped, as on an engine
 * that lost power or network.
 */
static uint16_t listen_with_full_backlog(int descriptors[BACKLOG_CONNECTIONS + 1]) {
    struct sockaddr_in address = {.sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    socklen_t length = sizeof address;
    descriptors[0] = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    CU_ASSERT_EQUAL(bind(descriptors[0], (struct sockaddr *)&address, length), 0);
    CU_ASSERT_EQUAL(listen(descriptors[0], 0), 0);
    CU_ASSERT_EQUAL(getsockname(descriptors[0], (struct sockaddr *)&address, &length), 0);
    for (int index = 1; index <= BACKLOG_CONNECTIONS; index++) {
        descriptors[index] = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
        if (connect(descriptors[index], (struct sockaddr *)&address, length) != 0)
            CU_ASSERT_EQUAL(errno, EINPROGRESS);
    }
    return ntohs(address.sin_port);
}

/** Guards against a connection attempt that uses up the target latency. */
static void unreachable_engine_is_abandoned_within_the_target_latency(void) {
    fixture test;
    int descriptors[BACKLOG_CONNECTIONS + 1];
    open_fixture(&test);
    hs_engine_entry unreachable = {.id = g_strdup("unreachable"),
                                   .service = g_strdup("far"),
                                   .zone = g_strdup("z"),
                                   .address = INADDR_LOOPBACK,
                                   .port = listen_with_full_backlog(descriptors),
                                   .slots = 4};
    hs_fleet_engines_put(test.engines, &unreachable, hs_clock_monotonic_ms());
    test.parameters.query.service = "far";
    uint64_t started_ms = hs_clock_monotonic_ms();
    test.parameters.wait.deadline = started_ms + 10 * DEADLINE_MS;
    hs_attempt attempt;
    CU_ASSERT_FALSE(hs_attempt_start(test.engines, &test.parameters, &attempt));
    CU_ASSERT_TRUE(hs_clock_monotonic_ms() - started_ms < TARGET_LATENCY_MS);
    CU_ASSERT_EQUAL(attempt.run, HS_RUN_NOT_EXECUTED);
    CU_ASSERT_EQUAL(hs_attempt_classify_failure(&attempt), HS_ATTEMPT_UNREACHABLE);
    hs_attempt_finish(&attempt, HS_ATTEMPT_UNREACHABLE);
    for (int index = 0; index <= BACKLOG_CONNECTIONS; index++)
        close(descriptors[index]);
    close_fixture(&test);
}

/** A response that ends within its head does not show whether the request was executed. */
static void truncated_response_head_leaves_execution_unknown(void) {
    fixture test;
    open_fixture(&test);
    size_t head_length = (size_t)(strstr(COMPLETE_RESPONSE, "\r\n\r\n") - COMPLETE_RESPONSE) + 4;
    for (size_t length = 0; length < head_length; length++) {
        hs_attempt attempt;
        bool has_head = start(&test, COMPLETE_RESPONSE, length,
                              length % 2 == 0 ? PEER_CLOSES : PEER_RESETS, &attempt);
        CU_ASSERT_FALSE(has_head);
        CU_ASSERT_EQUAL(attempt.run, HS_RUN_MAYBE_EXECUTED);
        hs_attempt_finish(&attempt, hs_attempt_classify_failure(&attempt));
    }
    close_fixture(&test);
}

/** Idle connections count towards the daemon's part of max_connections. */
static void idle_connections_count_towards_the_connection_limit(void) {
    static const uint32_t peers[] = {0, 3};
    for (size_t index = 0; index < G_N_ELEMENTS(peers); index++) {
        fixture test;
        open_fixture(&test);
        hs_fleet_engines_set_peers(test.engines, peers[index], 0);
        test.parameters.query.max_connections = 2;
        hs_attempt attempt;
        CU_ASSERT_TRUE(
            start(&test, COMPLETE_RESPONSE, strlen(COMPLETE_RESPONSE), PEER_KEEPS_OPEN, &attempt));
        hs_client_connection_read_all(attempt.connection, BODY_LIMIT, &test.parameters.wait);
        hs_attempt_finish(&attempt, HS_ATTEMPT_SERVED);
        g_autofree char *metrics = hs_fleet_engines_describe(test.engines);
        const char *expected = peers[index] == 0
                                   ? "heathsail_engine_connections{engine=\"e1\"} 1\n"
                                   : "heathsail_engine_connections{engine=\"e1\"} 0\n";
        CU_ASSERT_PTR_NOT_NULL(strstr(metrics, expected));
        close_fixture(&test);
    }
}

/** Only a complete head that states non-execution is accepted as such. */
static void truncated_refusal_leaves_execution_unknown(void) {
    fixture test;
    open_fixture(&test);
    size_t head_length = (size_t)(strstr(REFUSAL, "\r\n\r\n") - REFUSAL) + 4;
    for (size_t length = 0; length < head_length; length++) {
        hs_attempt attempt;
        CU_ASSERT_FALSE(start(&test, REFUSAL, length, PEER_CLOSES, &attempt));
        CU_ASSERT_EQUAL(attempt.run, HS_RUN_MAYBE_EXECUTED);
        hs_attempt_finish(&attempt, HS_ATTEMPT_DROPPED);
    }
    hs_attempt whole;
    CU_ASSERT_TRUE(start(&test, REFUSAL, strlen(REFUSAL), PEER_CLOSES, &whole));
    CU_ASSERT_EQUAL(whole.run, HS_RUN_NOT_EXECUTED);
    hs_attempt_finish(&whole, HS_ATTEMPT_REFUSED);
    close_fixture(&test);
}

/** Guards against taking a response body that ends early for a complete one. */
static void truncated_body_is_incomplete(void) {
    fixture test;
    open_fixture(&test);
    size_t head_length = (size_t)(strstr(COMPLETE_RESPONSE, "\r\n\r\n") - COMPLETE_RESPONSE) + 4;
    for (size_t length = head_length; length <= strlen(COMPLETE_RESPONSE); length++) {
        hs_attempt attempt;
        bool has_head = start(&test, COMPLETE_RESPONSE, length, PEER_CLOSES, &attempt);
        CU_ASSERT_TRUE(has_head);
        hs_step step =
            hs_client_connection_read_all(attempt.connection, BODY_LIMIT, &test.parameters.wait);
        CU_ASSERT_EQUAL(step == HS_STEP_COMPLETE, length == strlen(COMPLETE_RESPONSE));
        CU_ASSERT_EQUAL(attempt.run, HS_RUN_EXECUTED);
        hs_attempt_finish(&attempt, HS_ATTEMPT_DROPPED);
    }
    close_fixture(&test);
}

static void response_without_length_ends_at_connection_close(void) {
    static const char answer[] = RESPONSE_HEAD "\r\nbody";
    fixture test;
    open_fixture(&test);
    for (int reset = 0; reset <= 1; reset++) {
        hs_attempt attempt;
        CU_ASSERT_TRUE(
            start(&test, answer, strlen(answer), reset ? PEER_GOES_SILENT : PEER_CLOSES, &attempt));
        hs_step step =
            hs_client_connection_read_all(attempt.connection, BODY_LIMIT, &test.parameters.wait);
        CU_ASSERT_EQUAL(step, reset ? HS_STEP_DEADLINE : HS_STEP_COMPLETE);
        CU_ASSERT_FALSE(hs_client_connection_is_reusable(attempt.connection));
        hs_attempt_finish(&attempt, HS_ATTEMPT_DROPPED);
    }
    close_fixture(&test);
}

static void silent_engine_times_out_at_the_deadline(void) {
    fixture test;
    open_fixture(&test);
    hs_attempt attempt;
    uint64_t started_ms = hs_clock_monotonic_ms();
    CU_ASSERT_FALSE(start(&test, "", 0, PEER_GOES_SILENT, &attempt));
    uint64_t elapsed_ms = hs_clock_monotonic_ms() - started_ms;
    CU_ASSERT_EQUAL(attempt.run, HS_RUN_MAYBE_EXECUTED);
    CU_ASSERT_EQUAL(attempt.step, HS_STEP_DEADLINE);
    CU_ASSERT(elapsed_ms >= DEADLINE_MS - 5 && elapsed_ms < DEADLINE_MS + 200);
    CU_ASSERT_EQUAL(hs_attempt_classify_failure(&attempt), HS_ATTEMPT_SILENT);
    hs_attempt_finish(&attempt, HS_ATTEMPT_SILENT);
    close_fixture(&test);
}

static void refused_connection_means_not_executed(void) {
    fixture test;
    open_fixture(&test);
    hs_engine_entry entry = {.id = g_strdup("e1"),
                             .service = g_strdup("svc"),
                             .zone = g_strdup("z"),
                             .address = INADDR_LOOPBACK,
                             .port = 1,
                             .slots = 4};
    hs_fleet_engines_put(test.engines, &entry, hs_clock_monotonic_ms());
    hs_attempt attempt;
    CU_ASSERT_FALSE(start(&test, "", 0, PEER_CLOSES, &attempt));
    CU_ASSERT_EQUAL(attempt.run, HS_RUN_NOT_EXECUTED);
    CU_ASSERT_EQUAL(hs_attempt_classify_failure(&attempt), HS_ATTEMPT_UNREACHABLE);
    hs_attempt_finish(&attempt, HS_ATTEMPT_UNREACHABLE);
    close_fixture(&test);
}

static void response_to_another_request_is_skipped(void) {
    static const char both[] = STRAY_RESPONSE COMPLETE_RESPONSE;
    fixture test;
    open_fixture(&test);
    hs_attempt attempt;
    CU_ASSERT_TRUE(start(&test, both, strlen(both), PEER_CLOSES, &attempt));
    CU_ASSERT_STRING_EQUAL(attempt.answer.request_id, "r1");
    CU_ASSERT_EQUAL(
        hs_client_connection_read_all(attempt.connection, BODY_LIMIT, &test.parameters.wait),
        HS_STEP_COMPLETE);
    const GByteArray *body = hs_client_connection_body(attempt.connection);
    CU_ASSERT(body->len == 4 && memcmp(body->data, "body", 4) == 0);
    hs_attempt_finish(&attempt, HS_ATTEMPT_SERVED);
    close_fixture(&test);
}

static void stray_response_alone_leaves_execution_unknown(void) {
    fixture test;
    open_fixture(&test);
    hs_attempt attempt;
    CU_ASSERT_FALSE(start(&test, STRAY_RESPONSE, strlen(STRAY_RESPONSE), PEER_CLOSES, &attempt));
    CU_ASSERT_EQUAL(attempt.run, HS_RUN_MAYBE_EXECUTED);
    hs_attempt_finish(&attempt, HS_ATTEMPT_BROKEN);
    close_fixture(&test);
}

static void invalid_response_leaves_execution_unknown(void) {
    static const char garbage[] = "\x16\x03 not http at all\r\n\r\n";
    fixture test;
    open_fixture(&test);
    hs_attempt attempt;
    CU_ASSERT_FALSE(start(&test, garbage, strlen(garbage), PEER_CLOSES, &attempt));
    CU_ASSERT_EQUAL(attempt.run, HS_RUN_MAYBE_EXECUTED);
    CU_ASSERT_EQUAL(attempt.step, HS_STEP_INVALID);
    hs_attempt_finish(&attempt, HS_ATTEMPT_BROKEN);
    close_fixture(&test);
}

static void surplus_bytes_prevent_connection_reuse(void) {
    static const char surplus[] = COMPLETE_RESPONSE "HTTP/1.1 200 OK\r\n";
    fixture test;
    open_fixture(&test);
    hs_attempt attempt;
    CU_ASSERT_TRUE(start(&test, surplus, strlen(surplus), PEER_KEEPS_OPEN, &attempt));
    hs_client_connection_read_all(attempt.connection, BODY_LIMIT, &test.parameters.wait);
    CU_ASSERT_FALSE(hs_client_connection_is_reusable(attempt.connection));
    hs_attempt_finish(&attempt, HS_ATTEMPT_SERVED);
    close_fixture(&test);
}

static void connection_is_reused_after_complete_responses(void) {
    fixture test;
    open_fixture(&test);
    static const struct {
        const char *request_id;
        const char *answer;
    } rounds[] = {{"r1", COMPLETE_RESPONSE_TO("r1")},
                  {"r2", COMPLETE_RESPONSE_TO("r2")},
                  {"r3", COMPLETE_RESPONSE_TO("r3")}};
    for (size_t index = 0; index < G_N_ELEMENTS(rounds); index++) {
        const char *answer = rounds[index].answer;
        test.parameters.request.request_id = rounds[index].request_id;
        hs_attempt attempt;
        CU_ASSERT_TRUE(start(&test, answer, strlen(answer), PEER_KEEPS_OPEN, &attempt));
        hs_client_connection_read_all(attempt.connection, BODY_LIMIT, &test.parameters.wait);
        hs_attempt_finish(&attempt, HS_ATTEMPT_SERVED);
    }
    CU_ASSERT_EQUAL(hs_fleet_engines_opened_connection_count(test.engines), 1);
    CU_ASSERT_EQUAL(scripted_peer_request_count(test.peer), 3);
    close_fixture(&test);
}

/** Guards against an order that runs twice, as a late copy of a refusal is taken for its own. */
static void an_order_is_not_sent_where_a_refusal_named_no_request(void) {
    static const struct {
        const char *request_id;
        const char *answer;
        bool runs_once;
        uint32_t connections; /**< Opened so far. */
    } rounds[] = {{"r1", COMPLETE_RESPONSE_TO("r1"), true, 1},
                  {"r2", REFUSAL, true, 1},
                  {"r3", COMPLETE_RESPONSE_TO("r3"), false, 1},
                  {"r4", COMPLETE_RESPONSE_TO("r4"), true, 2},
                  {"r5", COMPLETE_RESPONSE_TO("r5"), true, 2}};
    fixture test;
    open_fixture(&test);
    for (size_t index = 0; index < G_N_ELEMENTS(rounds); index++) {
        const char *answer = rounds[index].answer;
        test.parameters.request.request_id = rounds[index].request_id;
        test.parameters.runs_once = rounds[index].runs_once;
        hs_attempt attempt;
        CU_ASSERT_TRUE(start(&test, answer, strlen(answer), PEER_KEEPS_OPEN, &attempt));
        hs_client_connection_read_all(attempt.connection, BODY_LIMIT, &test.parameters.wait);
        hs_attempt_finish(&attempt, HS_ATTEMPT_SERVED);
        CU_ASSERT_EQUAL(hs_fleet_engines_opened_connection_count(test.engines),
                        rounds[index].connections);
    }
    close_fixture(&test);
}

/** Otherwise an item whose job may have ended meanwhile would reach an engine. */
static void a_request_is_not_sent_after_its_time_to_be_sent(void) {
    fixture test;
    open_fixture(&test);
    hs_attempt attempt;
    test.parameters.send_until_ms = hs_clock_monotonic_ms() - 1;
    CU_ASSERT_FALSE_FATAL(
        start(&test, COMPLETE_RESPONSE, strlen(COMPLETE_RESPONSE), PEER_KEEPS_OPEN, &attempt));
    CU_ASSERT_EQUAL(attempt.run, HS_RUN_NOT_EXECUTED);
    CU_ASSERT_PTR_NULL(attempt.lease);
    test.parameters.send_until_ms = hs_clock_monotonic_ms() + DEADLINE_MS;
    CU_ASSERT_TRUE(
        start(&test, COMPLETE_RESPONSE, strlen(COMPLETE_RESPONSE), PEER_KEEPS_OPEN, &attempt));
    hs_attempt_finish(&attempt, HS_ATTEMPT_SERVED);
    CU_ASSERT_EQUAL(scripted_peer_request_count(test.peer), 1);
    close_fixture(&test);
}

/** Otherwise an item that was stopped while it waited for a connection would still run. */
static void an_interrupted_request_is_not_sent(void) {
    fixture test;
    open_fixture(&test);
    hs_interrupt interrupt;
    hs_interrupt_init(&interrupt);
    test.parameters.wait.interrupt = &interrupt;
    hs_attempt attempt;
    CU_ASSERT_TRUE(
        start(&test, COMPLETE_RESPONSE, strlen(COMPLETE_RESPONSE), PEER_KEEPS_OPEN, &attempt));
    hs_client_connection_read_all(attempt.connection, BODY_LIMIT, &test.parameters.wait);
    hs_attempt_finish(&attempt, HS_ATTEMPT_SERVED); /* Its connection is kept. */
    hs_interrupt_raise(&interrupt, HS_INTERRUPT_STOP);
    test.parameters.request.request_id = "r2"; /* May use the kept connection. */
    CU_ASSERT_FALSE_FATAL(
        start(&test, COMPLETE_RESPONSE, strlen(COMPLETE_RESPONSE), PEER_KEEPS_OPEN, &attempt));
    CU_ASSERT_EQUAL(attempt.run, HS_RUN_NOT_EXECUTED);
    CU_ASSERT_EQUAL(attempt.step, HS_STEP_CALLER_GONE);
    CU_ASSERT_PTR_NULL(attempt.connection);
    hs_clock_sleep_ms(DEADLINE_MS / 4);
    CU_ASSERT_EQUAL(scripted_peer_request_count(test.peer), 1);
    hs_attempt_finish(&attempt, HS_ATTEMPT_DROPPED);
    hs_interrupt_clear(&interrupt);
    close_fixture(&test);
}

static bool deny(const void *user_data) {
    g_atomic_int_inc((gint *)user_data);
    return false;
}

/** Guards against a request that is sent though the stop of its daemon began as it connected. */
static void a_request_denied_after_it_connected_is_not_sent(void) {
    fixture test;
    open_fixture(&test);
    gint asked = 0;
    test.parameters.may_send = deny;
    test.parameters.user_data = &asked;
    hs_attempt attempt;
    CU_ASSERT_FALSE_FATAL(
        start(&test, COMPLETE_RESPONSE, strlen(COMPLETE_RESPONSE), PEER_KEEPS_OPEN, &attempt));
    CU_ASSERT_EQUAL(asked, 1);
    CU_ASSERT_EQUAL(attempt.run, HS_RUN_NOT_EXECUTED);
    CU_ASSERT_PTR_NULL(attempt.lease);
    hs_clock_sleep_ms(DEADLINE_MS / 4);
    CU_ASSERT_EQUAL(scripted_peer_request_count(test.peer), 0);
    hs_attempt_finish(&attempt, HS_ATTEMPT_DROPPED);
    close_fixture(&test);
}

/**
 * Guards against a duplicate refusal being taken for the response to the next attempt, which
 * carries the same request id: the request would be reported as not executed while the engine
 * executes it.
 */
static void retry_avoids_connections_of_earlier_attempts(void) {
    fixture test;
    open_fixture(&test);
    for (int round = 0; round < 2; round++) {
        hs_attempt attempt;
        CU_ASSERT_TRUE(start(&test, REFUSAL, strlen(REFUSAL), PEER_KEEPS_OPEN, &attempt));
        hs_client_connection_read_all(attempt.connection, BODY_LIMIT, &test.parameters.wait);
        CU_ASSERT_TRUE(hs_client_connection_is_reusable(attempt.connection));
        hs_attempt_finish(&attempt, HS_ATTEMPT_REFUSED);
    }
    CU_ASSERT_EQUAL(hs_fleet_engines_opened_connection_count(test.engines), 2);
    static const struct {
        const char *request_id;
        uint64_t connections;
    } later[] = {{"r2", 2},
                 {"r2", 2},
                 {"r2", 3},
                 {"r1", 3},
                 {"r1", 4}}; /* Connections of other requests are reused. */
    for (size_t index = 0; index < G_N_ELEMENTS(later); index++) {
        test.parameters.request.request_id = later[index].request_id;
        hs_attempt attempt;
        CU_ASSERT_TRUE(start(&test, REFUSAL, strlen(REFUSAL), PEER_KEEPS_OPEN, &attempt));
        hs_client_connection_read_all(attempt.connection, BODY_LIMIT, &test.parameters.wait);
        hs_attempt_finish(&attempt, HS_ATTEMPT_REFUSED);
        CU_ASSERT_EQUAL(hs_fleet_engines_opened_connection_count(test.engines),
                        later[index].connections);
    }
    close_fixture(&test);
}

/** The right response may still arrive on the connection. */
static void connection_is_not_reused_after_a_resume_mismatch(void) {
    static const char mismatched[] = RESPONSE_HEAD "Content-Length: 15\r\n\r\nid: 1\ndata: a\n\n";
    fixture test;
    open_fixture(&test);
    hs_attempt attempt;
    CU_ASSERT_TRUE(start(&test, mismatched, strlen(mismatched), PEER_KEEPS_OPEN, &attempt));
    hs_client_connection_read_all(attempt.connection, BODY_LIMIT, &test.parameters.wait);
    hs_attempt_note_resume_mismatch(&attempt, "r1", 5, 1);
    hs_attempt_finish(&attempt, HS_ATTEMPT_BROKEN);
    CU_ASSERT_EQUAL(hs_fleet_engines_resume_mismatch_count(test.engines), 1);
    test.parameters.request.request_id = "r2";
    CU_ASSERT_TRUE(start(&test, REFUSAL, strlen(REFUSAL), PEER_KEEPS_OPEN, &attempt));
    hs_attempt_finish(&attempt, HS_ATTEMPT_REFUSED);
    CU_ASSERT_EQUAL(hs_fleet_engines_opened_connection_count(test.engines), 2);
    close_fixture(&test);
}

/**
 * Guards against a new connection for each attempt. A connection carries each of the 10 requests at
 * most once, so 400 attempts need at least 40 connections.
 */
static void repeatedly_refused_items_share_connections(void) {
    fixture test;
    open_fixture(&test);
    for (int turn = 0; turn < 40 * 10; turn++) {
        g_autofree char *id = g_strdup_printf("item-%d", turn % 10);
        test.parameters.request.request_id = id;
        hs_attempt attempt;
        CU_ASSERT_TRUE(start(&test, REFUSAL, strlen(REFUSAL), PEER_KEEPS_OPEN, &attempt));
        hs_client_connection_read_all(attempt.connection, BODY_LIMIT, &test.parameters.wait);
        hs_attempt_finish(&attempt, HS_ATTEMPT_REFUSED);
    }
    CU_ASSERT(hs_fleet_engines_opened_connection_count(test.engines) <= 60);
    close_fixture(&test);
}

static void early_response_stops_sending(void) {
    fixture test;
    open_fixture(&test);
    size_t large = 8U * 1024 * 1024;
    g_autofree char *body = g_malloc0(large);
    test.parameters.body = body;
    test.parameters.request.body_length = large;
    hs_attempt attempt;
    CU_ASSERT_TRUE(start(&test, REFUSAL, strlen(REFUSAL), PEER_GOES_SILENT, &attempt));
    CU_ASSERT_EQUAL(attempt.run, HS_RUN_NOT_EXECUTED);
    CU_ASSERT_FALSE(hs_client_connection_is_reusable(attempt.connection));
    hs_attempt_finish(&attempt, HS_ATTEMPT_REFUSED);
    close_fixture(&test);
}

/** Guards against a busy loop if the reader leaves part of the body in the buffer. */
static void partial_body_read_waits_for_more_bytes(void) {
    static const char answer[] = RESPONSE_HEAD "Content-Length: 100\r\n\r\npart";
    fixture test;
    open_fixture(&test);
    hs_attempt attempt;
    CU_ASSERT_TRUE(start(&test, answer, strlen(answer), PEER_GOES_SILENT, &attempt));
    CU_ASSERT_EQUAL(hs_client_connection_read_body(attempt.connection, &test.parameters.wait),
                    HS_STEP_PROGRESS);
    CU_ASSERT_EQUAL(hs_client_connection_read_body(attempt.connection, &test.parameters.wait),
                    HS_STEP_DEADLINE);
    hs_attempt_finish(&attempt, HS_ATTEMPT_SILENT);
    close_fixture(&test);
}

/**
 * No engine responded in less than 60 ms, so a request with 20 ms left is sent only if it may have
 * been executed before.
 */
static void requests_that_would_miss_their_deadline_are_not_sent(void) {
    fixture test;
    open_fixture(&test);
    hs_attempt attempt;
    CU_ASSERT_TRUE(
        start(&test, COMPLETE_RESPONSE, strlen(COMPLETE_RESPONSE), PEER_KEEPS_OPEN, &attempt));
    hs_clock_sleep_ms(60);
    hs_engine_lease_note_first_token(attempt.lease);
    hs_attempt_finish(&attempt, HS_ATTEMPT_SERVED);
    uint32_t before = scripted_peer_request_count(test.peer);
    test.parameters.refuse_if_late = true;
    test.parameters.wait.deadline = hs_clock_monotonic_ms() + 20;
    CU_ASSERT_FALSE(hs_attempt_start(test.engines, &test.parameters, &attempt));
    CU_ASSERT_PTR_NULL(attempt.lease);
    CU_ASSERT_TRUE(attempt.lease_estimate.will_miss_deadline);
    CU_ASSERT_EQUAL(attempt.run, HS_RUN_NOT_EXECUTED);
    CU_ASSERT_EQUAL(scripted_peer_request_count(test.peer), before);
    CU_ASSERT_EQUAL(hs_fleet_engines_capacity(test.engines, "svc").online, 0);
    test.parameters.refuse_if_late = false;
    test.parameters.wait.deadline = hs_clock_monotonic_ms() + DEADLINE_MS;
    CU_ASSERT_TRUE(hs_attempt_start(test.engines, &test.parameters, &attempt));
    hs_attempt_finish(&attempt, HS_ATTEMPT_SERVED);
    close_fixture(&test);
}

const test_case attempt_tests[] = {
    {"requests_that_would_miss_their_deadline_are_not_sent",
     requests_that_would_miss_their_deadline_are_not_sent},
    {"unreachable_engine_is_abandoned_within_the_target_latency",
     unreachable_engine_is_abandoned_within_the_target_latency},
    {"truncated_response_head_leaves_execution_unknown",
     truncated_response_head_leaves_execution_unknown},
    {"idle_connections_count_towards_the_connection_limit",
     idle_connections_count_towards_the_connection_limit},
    {"truncated_refusal_leaves_execution_unknown", truncated_refusal_leaves_execution_unknown},
    {"truncated_body_is_incomplete", truncated_body_is_incomplete},
    {"response_without_length_ends_at_connection_close",
     response_without_length_ends_at_connection_close},
    {"silent_engine_times_out_at_the_deadline", silent_engine_times_out_at_the_deadline},
    {"refused_connection_means_not_executed", refused_connection_means_not_executed},
    {"response_to_another_request_is_skipped", response_to_another_request_is_skipped},
    {"stray_response_alone_leaves_execution_unknown",
     stray_response_alone_leaves_execution_unknown},
    {"invalid_response_leaves_execution_unknown", invalid_response_leaves_execution_unknown},
    {"an_order_is_not_sent_where_a_refusal_named_no_request",
     an_order_is_not_sent_where_a_refusal_named_no_request},
    {"surplus_bytes_prevent_connection_reuse", surplus_bytes_prevent_connection_reuse},
    {"connection_is_reused_after_complete_responses",
     connection_is_reused_after_complete_responses},
    {"retry_avoids_connections_of_earlier_attempts", retry_avoids_connections_of_earlier_attempts},
    {"connection_is_not_reused_after_a_resume_mismatch",
     connection_is_not_reused_after_a_resume_mismatch},
    {"repeatedly_refused_items_share_connections", repeatedly_refused_items_share_connections},
    {"an_interrupted_request_is_not_sent", an_interrupted_request_is_not_sent},
    {"a_request_denied_after_it_connected_is_not_sent",
     a_request_denied_after_it_connected_is_not_sent},
    {"a_request_is_not_sent_after_its_time_to_be_sent",
     a_request_is_not_sent_after_its_time_to_be_sent},
    {"early_response_stops_sending", early_response_stops_sending},
    {"partial_body_read_waits_for_more_bytes", partial_body_read_waits_for_more_bytes},
    {NULL, NULL}};
