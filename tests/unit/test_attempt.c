/**
 * @file test_attempt.c
 * The promise of a status: what is known of a run after every cut of an exchange, byte by byte.
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

#define ANSWER_HEAD                                                                                \
    "HTTP/1.1 200 OK\r\nHeathsail-Request-Id: r1\r\nHeathsail-Response-Signature: s\r\n"
#define WHOLE_ANSWER_TO(id)                                                                        \
    "HTTP/1.1 200 OK\r\nHeathsail-Request-Id: " id                                                 \
    "\r\nHeathsail-Response-Signature: s\r\nContent-Length: 4\r\n\r\nbody"
#define WHOLE_ANSWER ANSWER_HEAD "Content-Length: 4\r\n\r\nbody"
#define REFUSAL "HTTP/1.1 503 Full\r\nHeathsail-Not-Executed: 1\r\nContent-Length: 2\r\n\r\nno"
#define STRAY                                                                                      \
    "HTTP/1.1 200 OK\r\nHeathsail-Request-Id: r0\r\nHeathsail-Response-Signature: s\r\n"           \
    "Content-Length: 3\r\n\r\nold"
#define BODY_LIMIT 65536
#define DEADLINE_MS 400
/** Connections that fill the queue of a listener that accepts none. */
#define FILLERS 4
/** The users' shortest objective for a first event on large sites, in ms. */
#define OBJECTIVE_MS 500

/** One engine in a table, behind a scripted peer, and an order for it. */
typedef struct {
    scripted_peer *peer;
    hs_fleet_engines *engines;
    GArray *fields;
    hs_attempt_order order;
} bench;

static void open_bench(bench *opened) {
    memset(opened, 0, sizeof *opened);
    opened->peer = scripted_peer_start();
    opened->engines = hs_fleet_engines_new("z");
    opened->fields = hs_http_fields_new();
    hs_http_fields_add(opened->fields, "Heathsail-Request-Id", "r1");
    hs_engine_entry entry = {.id = g_strdup("e1"),
                             .service = g_strdup("svc"),
                             .zone = g_strdup("z"),
                             .address = INADDR_LOOPBACK,
                             .port = scripted_peer_port(opened->peer),
                             .slots = 4};
    hs_fleet_engines_put(opened->engines, &entry, hs_clock_monotonic_ms());
    opened->order.query = (hs_engine_query){.service = "svc"};
    opened->order.request = (hs_engine_request){.method = "POST",
                                                .target = "/a/b",
                                                .fields = opened->fields,
                                                .request_id = "r1",
                                                .body_length = 5};
    opened->order.body = "hello";
    opened->order.wait.watched = HS_WATCH_NOTHING;
}

static void close_bench(bench *opened) {
    hs_fleet_engines_free(opened->engines);
    hs_http_fields_free(opened->fields);
    scripted_peer_stop(opened->peer);
}

static bool start(bench *opened, const char *bytes, size_t length, peer_ending ending,
                  hs_attempt *attempt) {
    scripted_peer_set(opened->peer,
                      &(peer_script){.bytes = bytes, .length = length, .ending = ending});
    opened->order.wait.deadline = hs_clock_monotonic_ms() + DEADLINE_MS;
    return hs_attempt_start(opened->engines, &opened->order, attempt);
}

/** A port on which nobody accepts: opening packets are dropped, as by an engine that went dark. */
static uint16_t open_deaf_port(int descriptors[FILLERS + 1]) {
    struct sockaddr_in address = {.sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    socklen_t length = sizeof address;
    descriptors[0] = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    CU_ASSERT_EQUAL(bind(descriptors[0], (struct sockaddr *)&address, length), 0);
    CU_ASSERT_EQUAL(listen(descriptors[0], 0), 0);
    CU_ASSERT_EQUAL(getsockname(descriptors[0], (struct sockaddr *)&address, &length), 0);
    for (int index = 1; index <= FILLERS; index++) {
        descriptors[index] = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
        if (connect(descriptors[index], (struct sockaddr *)&address, length) != 0)
            CU_ASSERT_EQUAL(errno, EINPROGRESS);
    }
    return ntohs(address.sin_port);
}

/** Its request has not run, and another engine can still answer within the objective. */
static void a_dark_engine_is_left_within_the_objective(void) {
    bench opened;
    int descriptors[FILLERS + 1];
    open_bench(&opened);
    hs_engine_entry dark = {.id = g_strdup("dark"),
                            .service = g_strdup("far"),
                            .zone = g_strdup("z"),
                            .address = INADDR_LOOPBACK,
                            .port = open_deaf_port(descriptors),
                            .slots = 4};
    hs_fleet_engines_put(opened.engines, &dark, hs_clock_monotonic_ms());
    opened.order.query.service = "far";
    uint64_t began_ms = hs_clock_monotonic_ms();
    opened.order.wait.deadline = began_ms + 10 * DEADLINE_MS;
    hs_attempt attempt;
    CU_ASSERT_FALSE(hs_attempt_start(opened.engines, &opened.order, &attempt));
    CU_ASSERT_TRUE(hs_clock_monotonic_ms() - began_ms < OBJECTIVE_MS);
    CU_ASSERT_EQUAL(attempt.run, HS_RUN_DID_NOT);
    CU_ASSERT_EQUAL(hs_attempt_failure(&attempt), HS_ATTEMPT_UNREACHABLE);
    hs_attempt_finish(&attempt, HS_ATTEMPT_UNREACHABLE);
    for (int index = 0; index <= FILLERS; index++)
        close(descriptors[index]);
    close_bench(&opened);
}

/** Every length of answer up to the end of its head says "may have run", never a promise. */
static void a_cut_head_may_have_run(void) {
    bench opened;
    open_bench(&opened);
    size_t head_length = (size_t)(strstr(WHOLE_ANSWER, "\r\n\r\n") - WHOLE_ANSWER) + 4;
    for (size_t length = 0; length < head_length; length++) {
        hs_attempt attempt;
        bool has_head = start(&opened, WHOLE_ANSWER, length,
                              length % 2 == 0 ? PEER_CLOSES : PEER_RESETS, &attempt);
        CU_ASSERT_FALSE(has_head);
        CU_ASSERT_EQUAL(attempt.run, HS_RUN_MAY_HAVE);
        hs_attempt_finish(&attempt, hs_attempt_failure(&attempt));
    }
    close_bench(&opened);
}

/** Idle connections count towards the daemon's share: beyond it none is kept. */
static void no_idle_connection_is_kept_beyond_the_share(void) {
    static const uint32_t peers[] = {0, 3};
    for (size_t index = 0; index < G_N_ELEMENTS(peers); index++) {
        bench opened;
        open_bench(&opened);
        hs_fleet_engines_set_peers(opened.engines, peers[index], 0);
        opened.order.query.max_connections = 2;
        hs_attempt attempt;
        CU_ASSERT_TRUE(
            start(&opened, WHOLE_ANSWER, strlen(WHOLE_ANSWER), PEER_KEEPS_OPEN, &attempt));
        hs_client_connection_read_all(attempt.connection, BODY_LIMIT, &opened.order.wait);
        hs_attempt_finish(&attempt, HS_ATTEMPT_SERVED);
        g_autofree char *told = hs_fleet_engines_describe(opened.engines);
        const char *wanted = peers[index] == 0 ? "heathsail_engine_connections{engine=\"e1\"} 1\n"
                                               : "heathsail_engine_connections{engine=\"e1\"} 0\n";
        CU_ASSERT_PTR_NOT_NULL(strstr(told, wanted));
        close_bench(&opened);
    }
}

/** Every length of a refusal up to the end of its head is no promise either. */
static void a_cut_refusal_is_no_promise(void) {
    bench opened;
    open_bench(&opened);
    size_t head_length = (size_t)(strstr(REFUSAL, "\r\n\r\n") - REFUSAL) + 4;
    for (size_t length = 0; length < head_length; length++) {
        hs_attempt attempt;
        CU_ASSERT_FALSE(start(&opened, REFUSAL, length, PEER_CLOSES, &attempt));
        CU_ASSERT_EQUAL(attempt.run, HS_RUN_MAY_HAVE);
        hs_attempt_finish(&attempt, HS_ATTEMPT_DROPPED);
    }
    hs_attempt whole;
    CU_ASSERT_TRUE(start(&opened, REFUSAL, strlen(REFUSAL), PEER_CLOSES, &whole));
    CU_ASSERT_EQUAL(whole.run, HS_RUN_DID_NOT);
    hs_attempt_finish(&whole, HS_ATTEMPT_REFUSED);
    close_bench(&opened);
}

/** A body cut at any byte is not whole, whatever ends the connection. */
static void a_cut_body_is_not_whole(void) {
    bench opened;
    open_bench(&opened);
    size_t head_length = (size_t)(strstr(WHOLE_ANSWER, "\r\n\r\n") - WHOLE_ANSWER) + 4;
    for (size_t length = head_length; length <= strlen(WHOLE_ANSWER); length++) {
        hs_attempt attempt;
        bool has_head = start(&opened, WHOLE_ANSWER, length, PEER_CLOSES, &attempt);
        CU_ASSERT_TRUE(has_head);
        hs_step step =
            hs_client_connection_read_all(attempt.connection, BODY_LIMIT, &opened.order.wait);
        CU_ASSERT_EQUAL(step == HS_STEP_COMPLETE, length == strlen(WHOLE_ANSWER));
        CU_ASSERT_EQUAL(attempt.run, HS_RUN_DID);
        hs_attempt_finish(&attempt, HS_ATTEMPT_DROPPED);
    }
    close_bench(&opened);
}

static void an_answer_without_length_ends_by_close_only(void) {
    static const char answer[] = ANSWER_HEAD "\r\nbody";
    bench opened;
    open_bench(&opened);
    for (int reset = 0; reset <= 1; reset++) {
        hs_attempt attempt;
        CU_ASSERT_TRUE(start(&opened, answer, strlen(answer),
                             reset ? PEER_GOES_SILENT : PEER_CLOSES, &attempt));
        hs_step step =
            hs_client_connection_read_all(attempt.connection, BODY_LIMIT, &opened.order.wait);
        CU_ASSERT_EQUAL(step, reset ? HS_STEP_DEADLINE : HS_STEP_COMPLETE);
        CU_ASSERT_FALSE(hs_client_connection_is_reusable(attempt.connection));
        hs_attempt_finish(&attempt, HS_ATTEMPT_DROPPED);
    }
    close_bench(&opened);
}

static void silence_ends_at_the_deadline(void) {
    bench opened;
    open_bench(&opened);
    hs_attempt attempt;
    uint64_t began = hs_clock_monotonic_ms();
    CU_ASSERT_FALSE(start(&opened, "", 0, PEER_GOES_SILENT, &attempt));
    uint64_t took = hs_clock_monotonic_ms() - began;
    CU_ASSERT_EQUAL(attempt.run, HS_RUN_MAY_HAVE);
    CU_ASSERT_EQUAL(attempt.step, HS_STEP_DEADLINE);
    CU_ASSERT(took >= DEADLINE_MS - 5 && took < DEADLINE_MS + 200);
    CU_ASSERT_EQUAL(hs_attempt_failure(&attempt), HS_ATTEMPT_SILENT);
    hs_attempt_finish(&attempt, HS_ATTEMPT_SILENT);
    close_bench(&opened);
}

static void a_refused_connection_did_not_run(void) {
    bench opened;
    open_bench(&opened);
    hs_engine_entry entry = {.id = g_strdup("e1"),
                             .service = g_strdup("svc"),
                             .zone = g_strdup("z"),
                             .address = INADDR_LOOPBACK,
                             .port = 1,
                             .slots = 4};
    hs_fleet_engines_put(opened.engines, &entry, hs_clock_monotonic_ms());
    hs_attempt attempt;
    CU_ASSERT_FALSE(start(&opened, "", 0, PEER_CLOSES, &attempt));
    CU_ASSERT_EQUAL(attempt.run, HS_RUN_DID_NOT);
    CU_ASSERT_EQUAL(hs_attempt_failure(&attempt), HS_ATTEMPT_UNREACHABLE);
    hs_attempt_finish(&attempt, HS_ATTEMPT_UNREACHABLE);
    close_bench(&opened);
}

static void a_stray_answer_is_passed_over(void) {
    static const char both[] = STRAY WHOLE_ANSWER;
    bench opened;
    open_bench(&opened);
    hs_attempt attempt;
    CU_ASSERT_TRUE(start(&opened, both, strlen(both), PEER_CLOSES, &attempt));
    CU_ASSERT_STRING_EQUAL(attempt.answer.request_id, "r1");
    CU_ASSERT_EQUAL(
        hs_client_connection_read_all(attempt.connection, BODY_LIMIT, &opened.order.wait),
        HS_STEP_COMPLETE);
    const GByteArray *body = hs_client_connection_body(attempt.connection);
    CU_ASSERT(body->len == 4 && memcmp(body->data, "body", 4) == 0);
    hs_attempt_finish(&attempt, HS_ATTEMPT_SERVED);
    close_bench(&opened);
}

static void only_a_stray_answer_may_have_run(void) {
    bench opened;
    open_bench(&opened);
    hs_attempt attempt;
    CU_ASSERT_FALSE(start(&opened, STRAY, strlen(STRAY), PEER_CLOSES, &attempt));
    CU_ASSERT_EQUAL(attempt.run, HS_RUN_MAY_HAVE);
    hs_attempt_finish(&attempt, HS_ATTEMPT_BROKEN);
    close_bench(&opened);
}

static void bytes_that_are_no_answer_may_have_run(void) {
    static const char garbage[] = "\x16\x03 not http at all\r\n\r\n";
    bench opened;
    open_bench(&opened);
    hs_attempt attempt;
    CU_ASSERT_FALSE(start(&opened, garbage, strlen(garbage), PEER_CLOSES, &attempt));
    CU_ASSERT_EQUAL(attempt.run, HS_RUN_MAY_HAVE);
    CU_ASSERT_EQUAL(attempt.step, HS_STEP_INVALID);
    hs_attempt_finish(&attempt, HS_ATTEMPT_BROKEN);
    close_bench(&opened);
}

static void a_surplus_after_the_answer_ends_the_connection(void) {
    static const char surplus[] = WHOLE_ANSWER "HTTP/1.1 200 OK\r\n";
    bench opened;
    open_bench(&opened);
    hs_attempt attempt;
    CU_ASSERT_TRUE(start(&opened, surplus, strlen(surplus), PEER_KEEPS_OPEN, &attempt));
    hs_client_connection_read_all(attempt.connection, BODY_LIMIT, &opened.order.wait);
    CU_ASSERT_FALSE(hs_client_connection_is_reusable(attempt.connection));
    hs_attempt_finish(&attempt, HS_ATTEMPT_SERVED);
    close_bench(&opened);
}

static void a_good_connection_is_used_again(void) {
    bench opened;
    open_bench(&opened);
    static const struct {
        const char *request_id;
        const char *answer;
    } rounds[] = {{"r1", WHOLE_ANSWER_TO("r1")},
                  {"r2", WHOLE_ANSWER_TO("r2")},
                  {"r3", WHOLE_ANSWER_TO("r3")}};
    for (size_t index = 0; index < G_N_ELEMENTS(rounds); index++) {
        const char *answer = rounds[index].answer;
        opened.order.request.request_id = rounds[index].request_id;
        hs_attempt attempt;
        CU_ASSERT_TRUE(start(&opened, answer, strlen(answer), PEER_KEEPS_OPEN, &attempt));
        hs_client_connection_read_all(attempt.connection, BODY_LIMIT, &opened.order.wait);
        hs_attempt_finish(&attempt, HS_ATTEMPT_SERVED);
    }
    CU_ASSERT_EQUAL(hs_fleet_engines_opened_connection_count(opened.engines), 1);
    CU_ASSERT_EQUAL(scripted_peer_requests(opened.peer), 3);
    close_bench(&opened);
}

/**
 * A surplus copy of a refusal can come in the place of the answer to the next try of the same
 * request, and nothing tells it from that: the request would be told as never run while the engine
 * runs it.
 */
static void a_try_uses_no_connection_of_an_earlier_try(void) {
    bench opened;
    open_bench(&opened);
    for (int round = 0; round < 2; round++) {
        hs_attempt attempt;
        CU_ASSERT_TRUE(start(&opened, REFUSAL, strlen(REFUSAL), PEER_KEEPS_OPEN, &attempt));
        hs_client_connection_read_all(attempt.connection, BODY_LIMIT, &opened.order.wait);
        CU_ASSERT_TRUE(hs_client_connection_is_reusable(attempt.connection));
        hs_attempt_finish(&attempt, HS_ATTEMPT_REFUSED);
    }
    CU_ASSERT_EQUAL(hs_fleet_engines_opened_connection_count(opened.engines), 2);
    static const struct {
        const char *request_id;
        uint64_t connects;
    } later[] = {
        {"r2", 2}, {"r2", 2}, {"r2", 3}, {"r1", 3}, {"r1", 4}}; /* Each may use what others used. */
    for (size_t index = 0; index < G_N_ELEMENTS(later); index++) {
        opened.order.request.request_id = later[index].request_id;
        hs_attempt attempt;
        CU_ASSERT_TRUE(start(&opened, REFUSAL, strlen(REFUSAL), PEER_KEEPS_OPEN, &attempt));
        hs_client_connection_read_all(attempt.connection, BODY_LIMIT, &opened.order.wait);
        hs_attempt_finish(&attempt, HS_ATTEMPT_REFUSED);
        CU_ASSERT_EQUAL(hs_fleet_engines_opened_connection_count(opened.engines),
                        later[index].connects);
    }
    close_bench(&opened);
}

/** The right answer is still due on it. */
static void a_connection_with_a_misplaced_run_is_not_kept(void) {
    static const char misplaced[] = ANSWER_HEAD "Content-Length: 15\r\n\r\nid: 1\ndata: a\n\n";
    bench opened;
    open_bench(&opened);
    hs_attempt attempt;
    CU_ASSERT_TRUE(start(&opened, misplaced, strlen(misplaced), PEER_KEEPS_OPEN, &attempt));
    hs_client_connection_read_all(attempt.connection, BODY_LIMIT, &opened.order.wait);
    hs_attempt_note_misplaced(&attempt, "r1", 5, 1);
    hs_attempt_finish(&attempt, HS_ATTEMPT_BROKEN);
    CU_ASSERT_EQUAL(hs_fleet_engines_resume_mismatch_count(opened.engines), 1);
    opened.order.request.request_id = "r2";
    CU_ASSERT_TRUE(start(&opened, REFUSAL, strlen(REFUSAL), PEER_KEEPS_OPEN, &attempt));
    hs_attempt_finish(&attempt, HS_ATTEMPT_REFUSED);
    CU_ASSERT_EQUAL(hs_fleet_engines_opened_connection_count(opened.engines), 2);
    close_bench(&opened);
}

/** 256 connections while the oldest idle ones were kept; each carries a request once: 40 at least.
 */
static void items_that_are_refused_again_share_connections(void) {
    bench opened;
    open_bench(&opened);
    for (int turn = 0; turn < 40 * 10; turn++) {
        g_autofree char *id = g_strdup_printf("item-%d", turn % 10);
        opened.order.request.request_id = id;
        hs_attempt attempt;
        CU_ASSERT_TRUE(start(&opened, REFUSAL, strlen(REFUSAL), PEER_KEEPS_OPEN, &attempt));
        hs_client_connection_read_all(attempt.connection, BODY_LIMIT, &opened.order.wait);
        hs_attempt_finish(&attempt, HS_ATTEMPT_REFUSED);
    }
    CU_ASSERT(hs_fleet_engines_opened_connection_count(opened.engines) <= 60);
    close_bench(&opened);
}

static void an_early_answer_ends_the_sending(void) {
    bench opened;
    open_bench(&opened);
    size_t large = 8U * 1024 * 1024;
    g_autofree char *body = g_malloc0(large);
    opened.order.body = body;
    opened.order.request.body_length = large;
    hs_attempt attempt;
    CU_ASSERT_TRUE(start(&opened, REFUSAL, strlen(REFUSAL), PEER_GOES_SILENT, &attempt));
    CU_ASSERT_EQUAL(attempt.run, HS_RUN_DID_NOT);
    CU_ASSERT_FALSE(hs_client_connection_is_reusable(attempt.connection));
    hs_attempt_finish(&attempt, HS_ATTEMPT_REFUSED);
    close_bench(&opened);
}

/** A reader that left part of the body in place waits for more instead of spinning. */
static void reading_waits_for_new_bytes(void) {
    static const char answer[] = ANSWER_HEAD "Content-Length: 100\r\n\r\npart";
    bench opened;
    open_bench(&opened);
    hs_attempt attempt;
    CU_ASSERT_TRUE(start(&opened, answer, strlen(answer), PEER_GOES_SILENT, &attempt));
    CU_ASSERT_EQUAL(hs_client_connection_read_body(attempt.connection, &opened.order.wait),
                    HS_STEP_PROGRESS);
    CU_ASSERT_EQUAL(hs_client_connection_read_body(attempt.connection, &opened.order.wait),
                    HS_STEP_DEADLINE);
    hs_attempt_finish(&attempt, HS_ATTEMPT_SILENT);
    close_bench(&opened);
}

/** What no engine has done in less than 60 ms is not sent with 20 ms left, unless it ran before. */
static void a_hopeless_request_reaches_no_engine(void) {
    bench opened;
    open_bench(&opened);
    hs_attempt attempt;
    CU_ASSERT_TRUE(start(&opened, WHOLE_ANSWER, strlen(WHOLE_ANSWER), PEER_KEEPS_OPEN, &attempt));
    hs_clock_sleep_ms(60);
    hs_engine_lease_note_first_token(attempt.lease);
    hs_attempt_finish(&attempt, HS_ATTEMPT_SERVED);
    uint32_t before = scripted_peer_requests(opened.peer);
    opened.order.may_be_refused = true;
    opened.order.wait.deadline = hs_clock_monotonic_ms() + 20;
    CU_ASSERT_FALSE(hs_attempt_start(opened.engines, &opened.order, &attempt));
    CU_ASSERT_PTR_NULL(attempt.lease);
    CU_ASSERT_TRUE(attempt.prospect.will_miss_deadline);
    CU_ASSERT_EQUAL(attempt.run, HS_RUN_DID_NOT);
    CU_ASSERT_EQUAL(scripted_peer_requests(opened.peer), before);
    CU_ASSERT_EQUAL(hs_fleet_engines_capacity(opened.engines, "svc").online, 0);
    opened.order.may_be_refused = false;
    opened.order.wait.deadline = hs_clock_monotonic_ms() + DEADLINE_MS;
    CU_ASSERT_TRUE(hs_attempt_start(opened.engines, &opened.order, &attempt));
    hs_attempt_finish(&attempt, HS_ATTEMPT_SERVED);
    close_bench(&opened);
}

const test_case attempt_tests[] = {
    {"a_hopeless_request_reaches_no_engine", a_hopeless_request_reaches_no_engine},
    {"a_dark_engine_is_left_within_the_objective", a_dark_engine_is_left_within_the_objective},
    {"a_cut_head_may_have_run", a_cut_head_may_have_run},
    {"no_idle_connection_is_kept_beyond_the_share", no_idle_connection_is_kept_beyond_the_share},
    {"a_cut_refusal_is_no_promise", a_cut_refusal_is_no_promise},
    {"a_cut_body_is_not_whole", a_cut_body_is_not_whole},
    {"an_answer_without_length_ends_by_close_only", an_answer_without_length_ends_by_close_only},
    {"silence_ends_at_the_deadline", silence_ends_at_the_deadline},
    {"a_refused_connection_did_not_run", a_refused_connection_did_not_run},
    {"a_stray_answer_is_passed_over", a_stray_answer_is_passed_over},
    {"only_a_stray_answer_may_have_run", only_a_stray_answer_may_have_run},
    {"bytes_that_are_no_answer_may_have_run", bytes_that_are_no_answer_may_have_run},
    {"a_surplus_after_the_answer_ends_the_connection",
     a_surplus_after_the_answer_ends_the_connection},
    {"a_good_connection_is_used_again", a_good_connection_is_used_again},
    {"a_try_uses_no_connection_of_an_earlier_try", a_try_uses_no_connection_of_an_earlier_try},
    {"a_connection_with_a_misplaced_run_is_not_kept",
     a_connection_with_a_misplaced_run_is_not_kept},
    {"items_that_are_refused_again_share_connections",
     items_that_are_refused_again_share_connections},
    {"an_early_answer_ends_the_sending", an_early_answer_ends_the_sending},
    {"reading_waits_for_new_bytes", reading_waits_for_new_bytes},
    {NULL, NULL}};
