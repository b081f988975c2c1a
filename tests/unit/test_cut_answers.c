/**
 * @file test_cut_answers.c
 * Answers and requests that end at any byte, with a FIN or a reset, at each client and at the
 * listener.
 */
#include "base/clock.h"
#include "feed/feed_parent.h"
#include "http/client_connection.h"
#include "http/connection_probe.h"
#include "http/listener.h"
#include "jobs/job_peer.h"
#include "store/store_client.h"
#include "tests/support/raw_caller.h"
#include "tests/support/scripted_peer.h"
#include "tests/unit/unit_tests.h"

#include <netinet/in.h>
#include <string.h>

#define LIMIT_MS 4000
#define BODY_LIMIT 65536

/** An answer, and the method of its request. */
typedef struct {
    const char *method;
    const char *bytes;
    bool is_unframed; /**< The body ends with the connection. */
} answer;

static const answer answers[] = {
    {"GET", "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\nabcdefghijkl", false},
    {"GET", "HTTP/1.1 200 OK\r\nA: b\r\nContent-Length: 0\r\n\r\n", false},
    {"GET",
     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X\r\n\r\n"
     "3;e=1\r\nabc\r\n10\r\n0123456789abcdef\r\n0\r\nX: y\r\n\r\n",
     false},
    {"GET", "HTTP/1.1 200 OK\r\nContent-Type: a/b\r\n\r\nunframed", true},
    {"GET", "HTTP/1.0 200 OK\r\nContent-Type: a/b\r\n\r\nunframed", true},
    {"GET",
     "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"
     "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody",
     false},
    {"GET",
     "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n"
     "HTTP/1.1 200 OK\r\nA: b\r\n\r\nunframed",
     true},
    {"HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n", false},
    {"GET", "HTTP/1.1 204 No Content\r\nA: b\r\n\r\n", false},
    {"GET", "HTTP/1.1 304 Not Modified\r\nETag: \"a\"\r\n\r\n", false},
    {"GET", "HTTP/1.1 503 Full\r\nRetry-After: 1\r\nContent-Length: 2\r\n\r\nno", false},
};

/** Returns the length from which on an answer is whole if the connection ends with a FIN. */
static size_t whole_length(const answer *tested) {
    if (!tested->is_unframed)
        return strlen(tested->bytes);
    const char *head = strstr(tested->bytes, "HTTP/1.1 200");
    if (head == NULL)
        head = tested->bytes;
    return (size_t)(strstr(head, "\r\n\r\n") - tested->bytes) + strlen("\r\n\r\n");
}

static void set_answer(scripted_peer *peer, const char *bytes, size_t length, peer_ending ending) {
    scripted_peer_set(peer, &(peer_script){.bytes = bytes, .length = length, .ending = ending});
}

static hs_wait wait_until_limit(void) {
    return (hs_wait){.deadline = hs_clock_monotonic_ms() + LIMIT_MS, .watched = HS_WATCH_NOTHING};
}

static hs_client_connection *open_connection(scripted_peer *peer) {
    hs_wait wait = wait_until_limit();
    hs_step step = HS_STEP_CUT;
    hs_client_connection *connection =
        hs_client_connection_open(INADDR_LOOPBACK, scripted_peer_port(peer), &wait, &step);
    CU_ASSERT_PTR_NOT_NULL_FATAL(connection);
    return connection;
}

/** Makes one request and reads its answer in the same way as the callers of the connection. */
static hs_step request_whole(hs_client_connection *connection, const char *method) {
    hs_wait wait = wait_until_limit();
    g_autoptr(GString) head = g_string_new(NULL);
    g_string_printf(head, "%s / HTTP/1.1\r\nHost: a\r\n\r\n", method);
    bool is_head_method = strcmp(method, "HEAD") == 0;
    hs_step step = hs_client_connection_send(connection, head, NULL, 0, is_head_method, &wait);
    if (step == HS_STEP_PROGRESS)
        step = hs_client_connection_read_head(connection, &wait);
    if (step == HS_STEP_PROGRESS || step == HS_STEP_COMPLETE)
        step = hs_client_connection_read_all(connection, BODY_LIMIT, &wait);
    return step;
}

/** Calls @p check for each answer, cut at each byte, with a FIN and with a reset. */
static void for_each_cut(void (*check)(scripted_peer *, const answer *, bool is_whole)) {
    scripted_peer *peer = scripted_peer_start();
    for (size_t index = 0; index < G_N_ELEMENTS(answers); index++) {
        const answer *tested = &answers[index];
        for (size_t length = 0; length <= strlen(tested->bytes); length++) {
            set_answer(peer, tested->bytes, length, PEER_CLOSES);
            check(peer, tested, length >= whole_length(tested));
            if (length == strlen(tested->bytes) && !tested->is_unframed)
                break; /* Whole before the reset. */
            set_answer(peer, tested->bytes, length, PEER_RESETS);
            check(peer, tested, false);
        }
    }
    scripted_peer_stop(peer);
}

static void check_connection(scripted_peer *peer, const answer *tested, bool is_whole) {
    hs_client_connection *connection = open_connection(peer);
    CU_ASSERT_EQUAL(request_whole(connection, tested->method) == HS_STEP_COMPLETE, is_whole);
    hs_client_connection_close(connection);
}

static void an_answer_cut_at_any_byte_is_not_whole(void) {
    for_each_cut(check_connection);
}

/** Guards against the rest of a former answer, or its head, that completes the next one. */
static void a_second_answer_cut_at_any_byte_is_not_whole(void) {
    static const char first[] = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst";
    scripted_peer *peer = scripted_peer_start();
    for (size_t index = 0; index < G_N_ELEMENTS(answers); index++) {
        const answer *tested = &answers[index];
        for (size_t length = 0; length <= strlen(tested->bytes); length++) {
            set_answer(peer, first, strlen(first), PEER_KEEPS_OPEN);
            hs_client_connection *connection = open_connection(peer);
            CU_ASSERT_EQUAL(request_whole(connection, "GET"), HS_STEP_COMPLETE);
            set_answer(peer, tested->bytes, length, PEER_CLOSES);
            CU_ASSERT_EQUAL(request_whole(connection, tested->method) == HS_STEP_COMPLETE,
                            length >= whole_length(tested));
            hs_client_connection_close(connection);
        }
    }
    scripted_peer_stop(peer);
}

/** Sets each cut of a head of each of @p statuses, without its body, and calls @p check. */
static void for_each_cut_head(const char *const *statuses,
                              void (*check)(scripted_peer *peer, const char *url)) {
    scripted_peer *peer = scripted_peer_start();
    g_autofree char *url = g_strdup_printf("http://127.0.0.1:%u", scripted_peer_port(peer));
    for (; *statuses != NULL; statuses++) {
        g_autofree char *head = g_strconcat("HTTP/1.1 ", *statuses,
                                            "\r\nContent-Type: application/json\r\n"
                                            "Content-Length: 2\r\n\r\n",
                                            NULL);
        for (size_t length = 0; length < strlen(head); length++) {
            set_answer(peer, head, length, PEER_CLOSES);
            check(peer, url);
        }
    }
    scripted_peer_stop(peer);
}

static void check_store(scripted_peer *peer, const char *url) {
    (void)url;
    hs_store_client *client = hs_store_client_new(INADDR_LOOPBACK, scripted_peer_port(peer));
    g_autoptr(GByteArray) records = g_byte_array_new();
    g_autoptr(GByteArray) response = g_byte_array_new();
    uint32_t before = scripted_peer_request_count(peer);
    hs_platform_frame_record(records, "text", 4);
    hs_store_call append = hs_platform_build_append_call(HS_TOPIC_JOBS, 0, records);
    CU_ASSERT_EQUAL(
        hs_store_client_send(client, &append, hs_clock_monotonic_ms() + LIMIT_MS, NULL, response),
        HS_STORE_UNKNOWN);
    CU_ASSERT_EQUAL(scripted_peer_request_count(peer), before + 1);
    hs_store_call read = hs_platform_build_read_call(HS_TOPIC_JOBS, 0, 0, 1, 0);
    hs_store_outcome outcome =
        hs_store_client_send(client, &read, hs_clock_monotonic_ms() + LIMIT_MS, NULL, response);
    CU_ASSERT(outcome == HS_STORE_UNKNOWN || outcome == HS_STORE_REFUSED);
    CU_ASSERT_EQUAL(response->len, 0);
    hs_store_client_free(client);
}

static void an_append_whose_answer_head_is_cut_is_unknown(void) {
    static const char *const statuses[] = {"200 OK",   "503 Refused", "409 Conflict",
                                           "410 Gone", "507 Full",    NULL};
    for_each_cut_head(statuses, check_store);
}

static void check_peer(scripted_peer *peer, const answer *tested, bool is_whole) {
    hs_daemon_address daemon = {.address = INADDR_LOOPBACK, .port = scripted_peer_port(peer)};
    g_autoptr(GByteArray) body = g_byte_array_new();
    hs_peer_answer received;
    if (strcmp(tested->method, "HEAD") == 0)
        return;
    hs_peer_outcome outcome =
        hs_job_peer_post(&daemon, "/a", body, hs_clock_monotonic_ms() + LIMIT_MS, &received);
    CU_ASSERT_EQUAL(outcome, is_whole ? HS_PEER_ANSWERED : HS_PEER_NO_ANSWER);
    if (outcome == HS_PEER_ANSWERED)
        hs_peer_answer_clear(&received);
}

static void a_peer_answer_cut_at_any_byte_is_none(void) {
    for_each_cut(check_peer);
}

static void check_feed(scripted_peer *peer, const answer *tested, bool is_whole) {
    hs_feed_node node = {.address = INADDR_LOOPBACK, .port = scripted_peer_port(peer)};
    hs_feed_parent parent = {0};
    hs_feed_request request = {0};
    hs_interrupt stop;
    g_autoptr(GByteArray) body = g_byte_array_new();
    if (strcmp(tested->method, "HEAD") == 0)
        return;
    hs_interrupt_init(&stop);
    uint32_t status = hs_feed_parent_ask(&parent, &node, "t", &request, &stop, body);
    CU_ASSERT_EQUAL(status != 0, is_whole);
    CU_ASSERT(is_whole || body->len == 0);
    hs_feed_parent_clear(&parent);
    hs_interrupt_clear(&stop);
}

static void a_feed_answer_cut_at_any_byte_is_none(void) {
    for_each_cut(check_feed);
}

static void check_probe(scripted_peer *peer, const answer *tested, bool is_whole) {
    hs_connection_probe probe = {
        .address = INADDR_LOOPBACK, .port = scripted_peer_port(peer), .target = "/"};
    if (strcmp(tested->method, "HEAD") == 0)
        return;
    hs_step step = hs_connection_probe_run(&probe, hs_clock_monotonic_ms() + LIMIT_MS);
    CU_ASSERT_EQUAL(step == HS_STEP_COMPLETE, is_whole);
}

static void a_probe_answer_cut_at_any_byte_is_none(void) {
    for_each_cut(check_probe);
}

static void count_request(hs_inbound *inbound, void *user_data) {
    g_atomic_int_inc((gint *)user_data);
    hs_inbound_reply(inbound, 200, NULL, "ok", 2);
}

/** Sends @p length bytes of a request and ends the sending direction, or the connection. */
static void send_cut_request(uint16_t port, const char *request, size_t length, bool closes) {
    g_autofree char *cut = g_strndup(request, length);
    raw_caller *caller = raw_caller_open(port);
    CU_ASSERT_PTR_NOT_NULL_FATAL(caller);
    raw_caller_send(caller, cut);
    if (!closes) {
        raw_caller_shutdown_send(caller);
        CU_ASSERT_NOT_EQUAL(raw_caller_read_to_end(caller, LIMIT_MS), RAW_OPEN);
        CU_ASSERT_PTR_NULL(strstr(raw_caller_text(caller), " 200 "));
    }
    raw_caller_close(caller);
}

/** Guards against a request that is served although its caller broke off within it. */
static void a_request_cut_at_any_byte_is_not_handled(void) {
    static const char *const requests[] = {
        "GET /a HTTP/1.1\r\nHost: a\r\nX: y\r\n\r\n",
        "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 12\r\n\r\nabcdefghijkl",
        "POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
        "3;e=1\r\nabc\r\n10\r\n0123456789abcdef\r\n0\r\nX: y\r\n\r\n",
        "POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
    };
    scripted_peer *free_port = scripted_peer_start();
    uint16_t port = scripted_peer_port(free_port);
    scripted_peer_stop(free_port);
    gint handled = 0;
    hs_listener_limits limits = {.max_body_bytes = BODY_LIMIT};
    hs_listener *listener =
        hs_listener_start("127.0.0.1", port, &limits, count_request, &handled, NULL);
    CU_ASSERT_PTR_NOT_NULL_FATAL(listener);
    for (size_t index = 0; index < G_N_ELEMENTS(requests); index++) {
        for (size_t length = 0; length < strlen(requests[index]); length++) {
            send_cut_request(port, requests[index], length, false);
            send_cut_request(port, requests[index], length, true);
        }
        CU_ASSERT_EQUAL(g_atomic_int_get(&handled), 0);
    }
    uint64_t until_ms = hs_clock_monotonic_ms() + LIMIT_MS;
    while (hs_listener_open_request_count(listener) > 0 && hs_clock_monotonic_ms() < until_ms)
        hs_clock_sleep_ms(1);
    CU_ASSERT_EQUAL(hs_listener_open_request_count(listener), 0);
    hs_listener_stop(listener);
}

const test_case cut_answer_tests[] = {
    {"an_answer_cut_at_any_byte_is_not_whole", an_answer_cut_at_any_byte_is_not_whole},
    {"a_second_answer_cut_at_any_byte_is_not_whole", a_second_answer_cut_at_any_byte_is_not_whole},
    {"an_append_whose_answer_head_is_cut_is_unknown",
     an_append_whose_answer_head_is_cut_is_unknown},
    {"a_peer_answer_cut_at_any_byte_is_none", a_peer_answer_cut_at_any_byte_is_none},
    {"a_feed_answer_cut_at_any_byte_is_none", a_feed_answer_cut_at_any_byte_is_none},
    {"a_probe_answer_cut_at_any_byte_is_none", a_probe_answer_cut_at_any_byte_is_none},
    {"a_request_cut_at_any_byte_is_not_handled", a_request_cut_at_any_byte_is_not_handled},
    {NULL, NULL}};
