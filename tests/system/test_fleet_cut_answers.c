/**
 * @file test_fleet_cut_answers.c
 * System tests of engines whose answers end at any byte: no caller gets an answer that looks whole,
 * or a promise that its request did not run.
 */
#include "base/clock.h"
#include "platform/names.h"
#include "tests/support/cut_engine.h"
#include "tests/system/fleet_calls.h"
#include "tests/system/system_tests.h"

#include <stdio.h>
#include <string.h>

#define ENGINE_ID "cutting"
/** Time in ms within which an entry or a configuration reaches all daemons. */
#define PROPAGATION_MS 2000
#define NAMES HEADER_REQUEST_ID ": {id}\r\n" HEADER_SIGNATURE ": sig\r\n"

static cut_engine *engine;

/** An answer of the engine, and whether its body ends with the connection. */
typedef struct {
    const char *text;
    bool is_unframed;
} engine_answer;

static const engine_answer answers[] = {
    {"HTTP/1.1 200 OK\r\n" NAMES "Content-Length: 12\r\n\r\nabcdefghijkl", false},
    {"HTTP/1.1 200 OK\r\n" NAMES "Transfer-Encoding: chunked\r\n\r\n"
     "c\r\nid: 1\ndata: a\r\n2\r\n\n\n\r\n0\r\n\r\n",
     false},
    {"HTTP/1.1 200 OK\r\n" NAMES "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: a\n\n", true},
    {"HTTP/1.1 103 Early Hints\r\n" NAMES "\r\nHTTP/1.1 200 OK\r\n" NAMES
     "Content-Length: 4\r\n\r\nbody",
     false},
    {"HTTP/1.1 503 Full\r\n" HEADER_REQUEST_ID ": {id}\r\n" HEADER_NOT_EXECUTED
     ": 1\r\nRetry-After: 1\r\n\r\n",
     false},
    {"HTTP/1.1 422 Invalid\r\n" NAMES "Content-Length: 2\r\n\r\nno", false},
};

static void announce_engine(void) {
    g_autofree char *entry =
        g_strdup_printf("{\"service\":\"llm\",\"address\":\"127.0.0.1:%u\",\"zone\":\"zone-a\","
                        "\"version\":\"v1\",\"slots\":64,\"state\":\"ready\",\"warmup-left-ms\":0,"
                        "\"sequence\":1}",
                        cut_engine_port(engine));
    log_store_put(bench.store, TOPIC_ENGINES, ENGINE_ID, entry);
    for (int index = 0; index < BENCH_ENGINES; index++)
        token_engine_announce(bench.engines[index], bench.store, true);
}

static void configure_routes(void) {
    static const char text[] =
        "{\"version\":2,\"routes\":["
        "{\"name\":\"order\",\"host\":\"" BENCH_HOST "\",\"path-prefix\":\"/order/\","
        "\"kind\":\"non_idempotent\",\"timeout-ms\":4000,\"target-latency-ms\":300,"
        "\"service\":\"llm\",\"max-attempts\":3},"
        "{\"name\":\"plain\",\"host\":\"" BENCH_HOST "\",\"path-prefix\":\"/plain/\","
        "\"kind\":\"idempotent\",\"timeout-ms\":4000,\"target-latency-ms\":300,"
        "\"service\":\"llm\",\"max-attempts\":2},"
        "{\"name\":\"once\",\"host\":\"" BENCH_HOST "\",\"path-prefix\":\"/once/\","
        "\"kind\":\"streaming\",\"timeout-ms\":4000,\"target-latency-ms\":300,"
        "\"service\":\"llm\",\"max-attempts\":1,\"resumable\":false},"
        "{\"name\":\"again\",\"host\":\"" BENCH_HOST "\",\"path-prefix\":\"/again/\","
        "\"kind\":\"streaming\",\"timeout-ms\":4000,\"target-latency-ms\":300,"
        "\"service\":\"llm\",\"max-attempts\":3,\"resumable\":true}],"
        "\"services\":[{\"name\":\"llm\",\"health-check\":\"/h\",\"max-connections\":64}],"
        "\"limits\":{\"max-header-bytes\":8192,\"max-body-bytes\":100000,"
        "\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}}";
    log_store_put(bench.store, TOPIC_CONFIG, KEY_CONFIG, text);
}

int begin_cut_answers(void) {
    bench_prepare();
    engine = cut_engine_start();
    int started = bench_start();
    announce_engine();
    configure_routes();
    hs_clock_sleep_ms(PROPAGATION_MS);
    return started;
}

int end_cut_answers(void) {
    int ended = bench_tear_down();
    cut_engine_stop(engine);
    return ended;
}

static bool is_success(uint32_t status) {
    return status >= 200 && status < 300;
}

/** Whether the status promises that the request did not run. */
static bool is_promise(uint32_t status) {
    return status == 503 || status == 429 || status == 408 || status == 421;
}

/** Returns the length from which on the answer is whole if the connection is closed. */
static size_t whole_length(const engine_answer *tested, const char *text) {
    return tested->is_unframed ? (size_t)(strstr(text, "\r\n\r\n") - text) + strlen("\r\n\r\n")
                               : strlen(text);
}

/** Sends one request, whose answer is cut. Returns how often the engine read it. */
static uint32_t check_cut(const char *route, const engine_answer *tested, size_t length,
                          bool resets) {
    static uint32_t number;
    bool runs_once = strcmp(route, "order") == 0 || strcmp(route, "once") == 0;
    g_autofree char *id = g_strdup_printf("%s-%06u", route, ++number);
    g_autofree char *target = g_strdup_printf("/%s/a", route);
    cut_engine_set(
        engine, &(cut_engine_script){.answer = tested->text, .length = length, .resets = resets});
    bench_answer answer = post_request((int)(number % BENCH_DEFAULT_DAEMONS), target, id);
    uint32_t sent = cut_engine_request_count(engine, id);
    CU_ASSERT_FALSE(is_success(answer.status) && answer.whole);
    CU_ASSERT_FALSE(sent > 0 && is_promise(answer.status));
    CU_ASSERT_FALSE(runs_once && sent > 1);
    bench_answer_clear(&answer);
    return sent;
}

/** Checks each @p step-th cut of all answers. */
static void check_route(const char *route, size_t step) {
    uint32_t requests = 0;
    uint32_t reached = 0;
    for (size_t index = 0; index < G_N_ELEMENTS(answers); index++) {
        g_autofree char *id = g_strdup_printf("%s-%06u", route, 0);
        g_auto(GStrv) parts = g_strsplit(answers[index].text, "{id}", -1);
        g_autofree char *text = g_strjoinv(id, parts);
        size_t end = whole_length(&answers[index], text);
        for (size_t length = index % step; length < end; length += step) {
            requests += 2;
            reached += check_cut(route, &answers[index], length, false) > 0;
            reached += check_cut(route, &answers[index], length, true) > 0;
        }
    }
    printf("cut_answers route=%s requests=%u reached=%u\n", route, requests, reached);
    CU_ASSERT(reached > requests / 2);
}

static void a_cut_answer_to_an_order_is_no_success_and_not_sent_again(void) {
    check_route("order", 1);
}

static void a_cut_answer_to_a_plain_request_is_no_success(void) {
    check_route("plain", 5);
}

static void a_cut_answer_to_a_stream_does_not_look_whole(void) {
    check_route("once", 3);
}

static void a_cut_answer_to_a_resumable_stream_does_not_look_whole(void) {
    check_route("again", 5);
}

const test_case fleet_cut_answer_system_tests[] = {
    {"a_cut_answer_to_an_order_is_no_success_and_not_sent_again",
     a_cut_answer_to_an_order_is_no_success_and_not_sent_again},
    {"a_cut_answer_to_a_plain_request_is_no_success",
     a_cut_answer_to_a_plain_request_is_no_success},
    {"a_cut_answer_to_a_stream_does_not_look_whole", a_cut_answer_to_a_stream_does_not_look_whole},
    {"a_cut_answer_to_a_resumable_stream_does_not_look_whole",
     a_cut_answer_to_a_resumable_stream_does_not_look_whole},
    {NULL, NULL}};
