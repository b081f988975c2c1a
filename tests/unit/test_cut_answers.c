/**
 * @file test_cut_answers.c
 * Answers and requests that end at any byte, with a FIN or a reset, at each client and at the
 * listener.
 */
#include "base/clock.h"
#include "base/http_exchange.h"
#include "engine/engine_client.h"
#include "feed/feed_parent.h"
#include "fleet/fleet_engines.h"
#include "fleet/run_search.h"
#include "fleet/start_check.h"
#include "http/client_connection.h"
#include "http/connection_probe.h"
#include "http/http_fields.h"
#include "http/http_server.h"
#include "http/listener.h"
#include "jobs/job_peer.h"
#include "store/log_client.h"
#include "store/store_client.h"
#include "store/weight_store.h"
#include "tests/support/raw_caller.h"
#include "tests/support/scripted_peer.h"
#include "tests/unit/unit_tests.h"

#include <netinet/in.h>
#include <string.h>

#define LIMIT_MS 4000
#define LIMIT_S 4
#define BODY_LIMIT 65536
/** Connects of a client whose time limit for one may pass on a busy machine. */
#define MAX_CONNECTS 5

/** An answer, and the method of its request. */
typedef struct {
    const char *method;
    const char *bytes;
    bool is_unframed;     /**< The body ends with the connection. */
    size_t spare_at_curl; /**< Last bytes, of no content, that libcurl does not wait for. */
} answer;

static const answer answers[] = {
    {"GET", "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\nabcdefghijkl", false, 0},
    {"GET", "HTTP/1.1 200 OK\r\nA: b\r\nContent-Length: 0\r\n\r\n", false, 0},
    {"GET",
     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X\r\n\r\n"
     "3;e=1\r\nabc\r\n10\r\n0123456789abcdef\r\n0\r\nX: y\r\n\r\n",
     false, 1},
    {"GET", "HTTP/1.1 200 OK\r\nContent-Type: a/b\r\n\r\nunframed", true, 0},
    {"GET", "HTTP/1.0 200 OK\r\nContent-Type: a/b\r\n\r\nunframed", true, 0},
    {"GET",
     "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"
     "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody",
     false, 0},
    {"GET",
     "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n"
     "HTTP/1.1 200 OK\r\nA: b\r\n\r\nunframed",
     true, 0},
    {"HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n", false, 0},
    {"GET", "HTTP/1.1 204 No Content\r\nA: b\r\n\r\n", false, 0},
    {"GET", "HTTP/1.1 304 Not Modified\r\nETag: \"a\"\r\n\r\n", false, 0},
    {"GET", "HTTP/1.1 503 Full\r\nRetry-After: 1\r\nContent-Length: 2\r\n\r\nno", false, 0},
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

/**
 * Calls @p check for each answer, cut at each byte, with a FIN and with a reset. @p is_curl: the
 * answer is read by libcurl.
 */
static void for_each_cut(void (*check)(scripted_peer *, const answer *, bool is_whole),
                         bool is_curl) {
    scripted_peer *peer = scripted_peer_start();
    for (size_t index = 0; index < G_N_ELEMENTS(answers); index++) {
        const answer *tested = &answers[index];
        for (size_t length = 0; length <= strlen(tested->bytes); length++) {
            set_answer(peer, tested->bytes, length, PEER_CLOSES);
            check(peer, tested,
                  length + (is_curl ? tested->spare_at_curl : 0) >= whole_length(tested));
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
    for_each_cut(check_connection, false);
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

/** Guards against body bytes that are taken from the answer that follows. */
static void an_answer_that_has_no_body_ends_with_its_head(void) {
    static const char *const heads[] = {
        "HTTP/1.1 204 No Content\r\nContent-Length: 5\r\n\r\n",
        "HTTP/1.1 304 Not Modified\r\nContent-Length: 12\r\n\r\n",
        "HTTP/1.1 304 Not Modified\r\nTransfer-Encoding: chunked\r\n\r\n",
    };
    scripted_peer *peer = scripted_peer_start();
    for (size_t index = 0; index < G_N_ELEMENTS(heads); index++) {
        set_answer(peer, heads[index], strlen(heads[index]), PEER_KEEPS_OPEN);
        hs_client_connection *connection = open_connection(peer);
        for (int request = 0; request < 2; request++) {
            CU_ASSERT_EQUAL(request_whole(connection, "GET"), HS_STEP_COMPLETE);
            CU_ASSERT_EQUAL(hs_client_connection_body(connection)->len, 0);
        }
        hs_client_connection_close(connection);
    }
    scripted_peer_stop(peer);
}

/** Guards against an interim answer whose framing swallows the head of the final one. */
static void an_interim_answer_with_a_length_has_no_body(void) {
    static const char *const interims[] = {
        "HTTP/1.1 103 Early Hints\r\nContent-Length: 9\r\n\r\n",
        "HTTP/1.1 103 Early Hints\r\nTransfer-Encoding: chunked\r\n\r\n",
    };
    scripted_peer *peer = scripted_peer_start();
    for (size_t index = 0; index < G_N_ELEMENTS(interims); index++) {
        g_autofree char *bytes =
            g_strconcat(interims[index], "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody", NULL);
        set_answer(peer, bytes, strlen(bytes), PEER_KEEPS_OPEN);
        hs_client_connection *connection = open_connection(peer);
        CU_ASSERT_EQUAL(request_whole(connection, "GET"), HS_STEP_COMPLETE);
        const GByteArray *body = hs_client_connection_body(connection);
        CU_ASSERT(body->len == 4 && memcmp(body->data, "body", 4) == 0);
        CU_ASSERT_EQUAL(hs_client_connection_status(connection), 200);
        hs_client_connection_close(connection);
    }
    scripted_peer_stop(peer);
}

/** Guards against a change of protocol after which any bytes may pass for an answer. */
static void a_switch_of_protocols_is_no_answer(void) {
    static const char bytes[] =
        "HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n"
        "\x01HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody";
    scripted_peer *peer = scripted_peer_start();
    set_answer(peer, bytes, strlen(bytes), PEER_KEEPS_OPEN);
    hs_client_connection *connection = open_connection(peer);
    CU_ASSERT_EQUAL(request_whole(connection, "GET"), HS_STEP_INVALID);
    hs_client_connection_close(connection);
    scripted_peer_stop(peer);
}

static void check_exchange(scripted_peer *peer, const answer *tested, bool is_whole) {
    g_autofree char *url = g_strdup_printf("http://127.0.0.1:%u/", scripted_peer_port(peer));
    hs_http_request request = {.method = tested->method, .url = url, .timeout_s = LIMIT_S};
    hs_http_answer received;
    uint32_t before = scripted_peer_request_count(peer);
    CU_ASSERT_EQUAL(hs_http_exchange(&request, &received), is_whole);
    CU_ASSERT_EQUAL(received.status != 0, is_whole);
    CU_ASSERT_EQUAL(scripted_peer_request_count(peer), before + 1);
    hs_http_answer_clear(&received);
}

static void an_exchange_whose_answer_is_cut_has_no_answer(void) {
    for_each_cut(check_exchange, true);
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

static bool reject_token(uint32_t token_index, json_t *event, void *user_data) {
    (void)token_index;
    (void)event;
    (void)user_data;
    return false;
}

static void check_run(scripted_peer *peer, const char *url) {
    (void)peer;
    hs_engine_call call = {.engine_url = url,
                           .path = "/v1/completions",
                           .request_id = "r1",
                           .body = "{}",
                           .timeout_s = LIMIT_S};
    CU_ASSERT_EQUAL(hs_engine_run(&call, reject_token, NULL).end, HS_RUN_INTERRUPTED);
    CU_ASSERT_EQUAL(hs_engine_resume(&call, 0, reject_token, NULL).end, HS_RUN_INTERRUPTED);
}

/** Guards against a request that runs twice, as a cut answer passes for a refusal. */
static void a_run_whose_answer_head_is_cut_may_have_run(void) {
    static const char *const statuses[] = {"200 OK",        "503 Full",        "429 Many",
                                           "404 Not Found", "400 Bad Request", NULL};
    for_each_cut_head(statuses, check_run);
}

static void check_order(scripted_peer *peer, const char *url) {
    uint32_t before = scripted_peer_request_count(peer);
    hs_engine_order order = {.scope = "g", .epoch = 1, .action = "load", .model = "m"};
    CU_ASSERT_EQUAL(hs_engine_send_order(url, &order), 0);
    CU_ASSERT_EQUAL(scripted_peer_request_count(peer), before + 1);
    CU_ASSERT_FALSE(hs_engine_cancel(url, "r1"));
}

static void an_order_whose_answer_head_is_cut_is_not_confirmed(void) {
    static const char *const statuses[] = {"200 OK", "409 Conflict", NULL};
    for_each_cut_head(statuses, check_order);
}

/** As for_each_cut_head with a final head that follows an interim one, with a FIN and a reset. */
static void for_each_cut_final_head(const char *const *statuses,
                                    void (*check)(scripted_peer *peer, const char *url)) {
    static const char *const interims[] = {"HTTP/1.1 100 Continue\r\n\r\n",
                                           "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"};
    scripted_peer *peer = scripted_peer_start();
    g_autofree char *url = g_strdup_printf("http://127.0.0.1:%u", scripted_peer_port(peer));
    for (; *statuses != NULL; statuses++) {
        for (size_t index = 0; index < G_N_ELEMENTS(interims); index++) {
            g_autofree char *heads = g_strconcat(
                interims[index], "HTTP/1.1 ", *statuses,
                "\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n", NULL);
            for (size_t length = 0; length < strlen(heads); length++) {
                set_answer(peer, heads, length, PEER_CLOSES);
                check(peer, url);
                set_answer(peer, heads, length, PEER_RESETS);
                check(peer, url);
            }
        }
    }
    scripted_peer_stop(peer);
}

static void a_run_whose_head_is_cut_after_an_interim_one_may_have_run(void) {
    static const char *const statuses[] = {"200 OK", "503 Full", NULL};
    for_each_cut_final_head(statuses, check_run);
}

static void check_load(scripted_peer *peer, const char *url) {
    (void)peer;
    hs_engine_report report;
    CU_ASSERT_FALSE(hs_engine_read_load(url, &report));
    CU_ASSERT_PTR_NULL(hs_engine_read_models(url));
}

/** Guards against an engine that is taken for idle, or for one without models. */
static void a_load_report_whose_head_is_cut_is_none(void) {
    static const char *const statuses[] = {"200 OK", NULL};
    for_each_cut_final_head(statuses, check_load);
}

static bool accept_token(uint32_t token_index, json_t *event, void *user_data) {
    (void)event;
    *(uint32_t *)user_data = token_index + 1;
    return true;
}

/** Guards against a stream that counts as complete although its framing is not. */
static void a_run_cut_at_any_byte_is_not_complete(void) {
    static const char events[] =
        "data: {\"token_index\":0,\"choices\":[{\"finish_reason\":null}]}\n\n"
        "data: {\"token_index\":1,\"choices\":[{\"finish_reason\":\"stop\"}]}\n\n"
        "data: [DONE]\n\n";
    scripted_peer *peer = scripted_peer_start();
    g_autofree char *url = g_strdup_printf("http://127.0.0.1:%u", scripted_peer_port(peer));
    g_autofree char *framed = g_strdup_printf(
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: %zu\r\n\r\n%s",
        strlen(events), events);
    hs_engine_call call = {.engine_url = url,
                           .path = "/v1/completions",
                           .request_id = "r1",
                           .body = "{}",
                           .timeout_s = LIMIT_S};
    for (size_t length = 0; length <= strlen(framed); length++) {
        uint32_t tokens = 0;
        set_answer(peer, framed, length, PEER_CLOSES);
        hs_run_result result = hs_engine_run(&call, accept_token, &tokens);
        bool is_whole = length == strlen(framed);
        CU_ASSERT_EQUAL(result.end, is_whole ? HS_RUN_COMPLETED : HS_RUN_INTERRUPTED);
        CU_ASSERT_EQUAL(result.next_token, tokens);
    }
    scripted_peer_stop(peer);
}

static void check_log(scripted_peer *peer, const char *url) {
    (void)peer;
    g_autofree char *base_url = g_strdup(url);
    hs_log_client client = {.base_url = base_url, .timeout_s = LIMIT_S};
    g_autoptr(GByteArray) batch = g_byte_array_new();
    hs_log_frame_append(batch, "text", 4);
    uint64_t offset = 0;
    hs_error error = {0};
    hs_log_slice slice;
    CU_ASSERT_EQUAL(hs_log_append(&client, "s", batch, &offset, &error), HS_PLATFORM_UNKNOWN);
    CU_ASSERT_NOT_EQUAL(hs_log_read(&client, "s", 0, 0, 1, &slice, &error), 0);
    hs_log_slice_clear(&slice);
}

/** Guards against an append given up as refused, and a read that shows no records. */
static void a_log_answer_whose_head_is_cut_tells_nothing(void) {
    static const char *const statuses[] = {"200 OK", "503 Refused", NULL};
    for_each_cut_head(statuses, check_log);
}

static void check_weights(scripted_peer *peer, const char *url) {
    (void)peer;
    uint32_t retry_after_s = 0;
    hs_error error = {0};
    CU_ASSERT_EQUAL(hs_weight_store_request_load(url, "m", LIMIT_S, &retry_after_s, &error),
                    HS_PLATFORM_UNKNOWN);
}

static void a_load_is_not_permitted_by_a_cut_head(void) {
    static const char *const statuses[] = {"200 OK", "429 Many", NULL};
    for_each_cut_head(statuses, check_weights);
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
    uint32_t before = scripted_peer_request_count(peer);
    hs_peer_outcome outcome = HS_PEER_NOT_SENT;
    for (int tries = 0; tries < MAX_CONNECTS && outcome == HS_PEER_NOT_SENT; tries++)
        outcome =
            hs_job_peer_post(&daemon, "/a", body, hs_clock_monotonic_ms() + LIMIT_MS, &received);
    CU_ASSERT_EQUAL(scripted_peer_request_count(peer), before + 1);
    CU_ASSERT_EQUAL(outcome, is_whole ? HS_PEER_ANSWERED : HS_PEER_NO_ANSWER);
    if (outcome == HS_PEER_ANSWERED)
        hs_peer_answer_clear(&received);
}

static void a_peer_answer_cut_at_any_byte_is_none(void) {
    for_each_cut(check_peer, false);
}

/** Forwards a caller's call on a job. */
static hs_peer_outcome forward_call(const hs_daemon_address *daemon, const char *method,
                                    hs_peer_answer *received) {
    g_autofree char *copied = g_strdup(method);
    g_autofree char *target = g_strdup("/jobs/a");
    g_autoptr(GByteArray) body = g_byte_array_new();
    hs_inbound inbound = {.method = copied,
                          .target = target,
                          .fields = hs_http_fields_new(),
                          .body = body,
                          .descriptor = HS_WATCH_NOTHING};
    hs_peer_outcome outcome = HS_PEER_NOT_SENT;
    for (int tries = 0; tries < MAX_CONNECTS && outcome == HS_PEER_NOT_SENT; tries++)
        outcome = hs_job_peer_forward(daemon, &inbound, "t", hs_clock_monotonic_ms() + LIMIT_MS,
                                      received);
    hs_http_fields_free(inbound.fields);
    return outcome;
}

static void check_forwarded(scripted_peer *peer, const answer *tested, bool is_whole) {
    hs_daemon_address daemon = {.address = INADDR_LOOPBACK, .port = scripted_peer_port(peer)};
    hs_peer_answer received;
    if (strcmp(tested->method, "HEAD") == 0)
        return;
    uint32_t before = scripted_peer_request_count(peer);
    hs_peer_outcome outcome = forward_call(&daemon, tested->method, &received);
    CU_ASSERT_EQUAL(scripted_peer_request_count(peer), before + 1);
    CU_ASSERT_EQUAL(outcome, is_whole ? HS_PEER_ANSWERED : HS_PEER_NO_ANSWER);
    if (outcome == HS_PEER_ANSWERED)
        hs_peer_answer_clear(&received);
}

/** Guards against a submission that is stored twice, or refused though it is stored. */
static void a_forwarded_call_whose_answer_is_cut_may_have_been_taken(void) {
    for_each_cut(check_forwarded, false);
}

static void check_store_report(scripted_peer *peer, const char *url) {
    (void)url;
    hs_daemon_address daemon = {.address = INADDR_LOOPBACK, .port = scripted_peer_port(peer)};
    CU_ASSERT_FALSE(hs_job_peer_can_reach_store(&daemon, hs_clock_monotonic_ms() + LIMIT_MS));
}

static void a_peer_whose_answer_head_is_cut_does_not_reach_the_store(void) {
    static const char *const statuses[] = {"200 OK", NULL};
    for_each_cut_head(statuses, check_store_report);
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
    uint32_t before = scripted_peer_request_count(peer);
    uint32_t status = 0;
    for (int tries = 0; tries < MAX_CONNECTS && scripted_peer_request_count(peer) == before;
         tries++)
        status = hs_feed_parent_ask(&parent, &node, "t", &request, &stop, body);
    CU_ASSERT_EQUAL(status != 0, is_whole);
    CU_ASSERT(is_whole || body->len == 0);
    hs_feed_parent_clear(&parent);
    hs_interrupt_clear(&stop);
}

static void a_feed_answer_cut_at_any_byte_is_none(void) {
    for_each_cut(check_feed, false);
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
    for_each_cut(check_probe, false);
}

#define REPORT_START_MS 17
#define REPORT "{\"born\":17,\"run-count\":[[\"r1\",1,2,0]]}"

/** Reports of an engine, of 38 bytes. */
static const answer reports[] = {
    {"GET", "HTTP/1.1 200 OK\r\nContent-Length: 38\r\n\r\n" REPORT, false, 0},
    {"GET",
     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
     "26\r\n" REPORT "\r\n0\r\n\r\n",
     false, 0},
    {"GET",
     "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"
     "HTTP/1.1 200 OK\r\nContent-Length: 38\r\n\r\n" REPORT,
     false, 0},
    {"GET", "HTTP/1.1 200 OK\r\n\r\n" REPORT, true, 0},
};

/** An engine "e1" of version "v1" whose entry names the start of the reports. */
static hs_fleet_engines *make_reporting_engine(scripted_peer *peer) {
    hs_fleet_engines *engines = hs_fleet_engines_new("z");
    hs_engine_entry entry = {.id = g_strdup("e1"),
                             .service = g_strdup("svc"),
                             .zone = g_strdup("z"),
                             .version = g_strdup("v1"),
                             .address = INADDR_LOOPBACK,
                             .port = scripted_peer_port(peer),
                             .slots = 4,
                             .started_at_ms = REPORT_START_MS};
    hs_fleet_engines_put(engines, &entry, hs_clock_monotonic_ms());
    return engines;
}

/** Checks the start behind a new connection to a new engine. */
static hs_start_check check_start(scripted_peer *peer, bool *is_peer_known) {
    hs_fleet_engines *engines = make_reporting_engine(peer);
    hs_engine_query query = {.service = "svc", .work = HS_WORK_ONLINE};
    hs_engine_lease *lease = hs_fleet_engines_acquire(engines, &query);
    CU_ASSERT_PTR_NOT_NULL_FATAL(lease);
    hs_client_connection *connection = open_connection(peer);
    hs_wait wait = wait_until_limit();
    hs_start_check result = hs_start_check_run(lease, connection, true, &wait);
    *is_peer_known = hs_client_connection_is_peer_known(connection);
    hs_engine_lease_release(lease, connection, HS_ATTEMPT_DROPPED);
    hs_fleet_engines_free(engines);
    return result;
}

static bool is_known_start(scripted_peer *peer, const answer *report, size_t length,
                           peer_ending ending) {
    bool is_peer_known = false;
    set_answer(peer, report->bytes, length, ending);
    hs_start_check result = check_start(peer, &is_peer_known);
    CU_ASSERT(is_peer_known || result != HS_START_KNOWN);
    return result == HS_START_KNOWN;
}

/** Guards against a stream that is continued by an engine that may have restarted. */
static void an_engine_whose_report_is_cut_is_of_no_known_start(void) {
    scripted_peer *peer = scripted_peer_start();
    for (size_t index = 0; index < G_N_ELEMENTS(reports); index++) {
        size_t whole = strlen(reports[index].bytes);
        for (size_t length = 0; length < whole; length++) {
            CU_ASSERT_FALSE(is_known_start(peer, &reports[index], length, PEER_CLOSES));
            CU_ASSERT_FALSE(is_known_start(peer, &reports[index], length, PEER_RESETS));
        }
        bool is_known = reports[index].is_unframed;
        for (int tries = 0; tries < MAX_CONNECTS && !is_known; tries++)
            is_known = is_known_start(peer, &reports[index], whole, PEER_KEEPS_OPEN);
        CU_ASSERT_TRUE(is_known);
    }
    scripted_peer_stop(peer);
}

/** Guards against the rest of a late report that is taken for the answer to a request. */
static void a_connection_with_a_report_under_way_is_not_used(void) {
    scripted_peer *peer = scripted_peer_start();
    for (size_t index = 0; index < G_N_ELEMENTS(reports); index++) {
        size_t head = (size_t)(strstr(reports[index].bytes, "\r\n\r\n") - reports[index].bytes) + 4;
        const size_t lengths[] = {0, 5, head - 1, head, strlen(reports[index].bytes) - 1};
        for (size_t at = 0; at < G_N_ELEMENTS(lengths); at++)
            CU_ASSERT_FALSE(is_known_start(peer, &reports[index], lengths[at], PEER_GOES_SILENT));
    }
    scripted_peer_stop(peer);
}

static uint64_t search_run(scripted_peer *peer, const answer *report, size_t length,
                           peer_ending ending) {
    set_answer(peer, report->bytes, length, ending);
    hs_fleet_engines *engines = make_reporting_engine(peer);
    uint64_t found = hs_run_search_find(engines, "svc", "r1", hs_clock_monotonic_ms() + LIMIT_MS);
    hs_fleet_engines_free(engines);
    return found;
}

/** Guards against a stream that is continued by software that did not begin it. */
static void a_report_that_is_cut_names_no_run(void) {
    scripted_peer *peer = scripted_peer_start();
    for (size_t index = 0; index < G_N_ELEMENTS(reports); index++) {
        size_t whole = strlen(reports[index].bytes);
        for (size_t length = 0; length < whole; length++) {
            CU_ASSERT_EQUAL(search_run(peer, &reports[index], length, PEER_CLOSES), 0);
            CU_ASSERT_EQUAL(search_run(peer, &reports[index], length, PEER_RESETS), 0);
        }
        uint64_t found = 0;
        for (int tries = 0; tries < MAX_CONNECTS && found == 0; tries++)
            found = search_run(peer, &reports[index], whole, PEER_CLOSES);
        CU_ASSERT_NOT_EQUAL(found, 0);
    }
    scripted_peer_stop(peer);
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

static const char *const cut_requests[] = {
    "GET /a HTTP/1.1\r\nHost: a\r\nX: y\r\n\r\n",
    "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 12\r\n\r\nabcdefghijkl",
    "POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
    "3;e=1\r\nabc\r\n10\r\n0123456789abcdef\r\n0\r\nX: y\r\n\r\n",
    "POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
    "POST /a HTTP/1.1\r\nHost: a\r\nContent-Type: multipart/form-data; boundary=b\r\n"
    "Transfer-Encoding: chunked\r\n\r\n"
    "3e\r\n--b\r\nContent-Disposition: form-data; name=\"a\"\r\n\r\ntext\r\n--b--\r\n\r\n0\r\n\r\n",
};

/** Sends requests that are cut at each byte; none may reach the handler, which counts them. */
static void check_cut_requests(uint16_t port, gint *handled) {
    for (size_t index = 0; index < G_N_ELEMENTS(cut_requests); index++) {
        for (size_t length = 0; length < strlen(cut_requests[index]); length++) {
            send_cut_request(port, cut_requests[index], length, false);
            send_cut_request(port, cut_requests[index], length, true);
        }
        CU_ASSERT_EQUAL(g_atomic_int_get(handled), 0);
        raw_caller *caller = raw_caller_open(port);
        CU_ASSERT_PTR_NOT_NULL_FATAL(caller);
        raw_caller_send(caller, cut_requests[index]);
        CU_ASSERT_TRUE(raw_caller_read_until(caller, "HTTP/1.1 200 ", LIMIT_MS));
        CU_ASSERT_EQUAL(g_atomic_int_get(handled), 1);
        raw_caller_close(caller);
        g_atomic_int_set(handled, 0);
    }
}

static uint16_t find_free_port(void) {
    scripted_peer *peer = scripted_peer_start();
    uint16_t port = scripted_peer_port(peer);
    scripted_peer_stop(peer);
    return port;
}

/** Guards against a request that is served although its caller broke off within it. */
static void a_request_cut_at_any_byte_is_not_handled(void) {
    uint16_t port = find_free_port();
    gint handled = 0;
    hs_listener_limits limits = {.max_body_bytes = BODY_LIMIT};
    hs_listener *listener =
        hs_listener_start("127.0.0.1", port, &limits, count_request, &handled, NULL);
    CU_ASSERT_PTR_NOT_NULL_FATAL(listener);
    check_cut_requests(port, &handled);
    uint64_t until_ms = hs_clock_monotonic_ms() + LIMIT_MS;
    while (hs_listener_open_request_count(listener) > 0 && hs_clock_monotonic_ms() < until_ms)
        hs_clock_sleep_ms(1);
    CU_ASSERT_EQUAL(hs_listener_open_request_count(listener), 0);
    hs_listener_stop(listener);
}

static int count_call(const struct _u_request *request, struct _u_response *response,
                      void *user_data) {
    (void)request;
    g_atomic_int_inc((gint *)user_data);
    return hs_http_reply_json(response, 200, json_object());
}

/** The same at the listener of the OpenAI surface, whose library reads multipart bodies itself. */
static void a_call_cut_at_any_byte_is_not_handled(void) {
    uint16_t port = find_free_port();
    gint handled = 0;
    hs_http_server *server = hs_http_server_new("127.0.0.1", port, BODY_LIMIT);
    CU_ASSERT_PTR_NOT_NULL_FATAL(server);
    hs_http_server_route(server, "GET", "/a", count_call, &handled);
    hs_http_server_route(server, "POST", "/a", count_call, &handled);
    CU_ASSERT_EQUAL(hs_http_server_start(server, NULL), 0);
    check_cut_requests(port, &handled);
    hs_http_server_free(server);
}

const test_case cut_answer_tests[] = {
    {"an_answer_cut_at_any_byte_is_not_whole", an_answer_cut_at_any_byte_is_not_whole},
    {"a_second_answer_cut_at_any_byte_is_not_whole", a_second_answer_cut_at_any_byte_is_not_whole},
    {"an_answer_that_has_no_body_ends_with_its_head",
     an_answer_that_has_no_body_ends_with_its_head},
    {"an_interim_answer_with_a_length_has_no_body", an_interim_answer_with_a_length_has_no_body},
    {"a_switch_of_protocols_is_no_answer", a_switch_of_protocols_is_no_answer},
    {"an_exchange_whose_answer_is_cut_has_no_answer",
     an_exchange_whose_answer_is_cut_has_no_answer},
    {"a_run_whose_answer_head_is_cut_may_have_run", a_run_whose_answer_head_is_cut_may_have_run},
    {"a_run_whose_head_is_cut_after_an_interim_one_may_have_run",
     a_run_whose_head_is_cut_after_an_interim_one_may_have_run},
    {"a_load_report_whose_head_is_cut_is_none", a_load_report_whose_head_is_cut_is_none},
    {"a_run_cut_at_any_byte_is_not_complete", a_run_cut_at_any_byte_is_not_complete},
    {"an_order_whose_answer_head_is_cut_is_not_confirmed",
     an_order_whose_answer_head_is_cut_is_not_confirmed},
    {"a_log_answer_whose_head_is_cut_tells_nothing", a_log_answer_whose_head_is_cut_tells_nothing},
    {"a_load_is_not_permitted_by_a_cut_head", a_load_is_not_permitted_by_a_cut_head},
    {"an_append_whose_answer_head_is_cut_is_unknown",
     an_append_whose_answer_head_is_cut_is_unknown},
    {"a_peer_answer_cut_at_any_byte_is_none", a_peer_answer_cut_at_any_byte_is_none},
    {"a_forwarded_call_whose_answer_is_cut_may_have_been_taken",
     a_forwarded_call_whose_answer_is_cut_may_have_been_taken},
    {"a_peer_whose_answer_head_is_cut_does_not_reach_the_store",
     a_peer_whose_answer_head_is_cut_does_not_reach_the_store},
    {"a_feed_answer_cut_at_any_byte_is_none", a_feed_answer_cut_at_any_byte_is_none},
    {"a_probe_answer_cut_at_any_byte_is_none", a_probe_answer_cut_at_any_byte_is_none},
    {"an_engine_whose_report_is_cut_is_of_no_known_start",
     an_engine_whose_report_is_cut_is_of_no_known_start},
    {"a_connection_with_a_report_under_way_is_not_used",
     a_connection_with_a_report_under_way_is_not_used},
    {"a_report_that_is_cut_names_no_run", a_report_that_is_cut_names_no_run},
    {"a_request_cut_at_any_byte_is_not_handled", a_request_cut_at_any_byte_is_not_handled},
    {"a_call_cut_at_any_byte_is_not_handled", a_call_cut_at_any_byte_is_not_handled},
    {NULL, NULL}};
