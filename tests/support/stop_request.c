/** @file stop_request.c  See stop_request.h. */
#include "tests/support/stop_request.h"

#include "base/clock.h"
#include "platform/names.h"
#include "tools/surface/fleet_bench.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#define LATE_BODY_MS 400
#define SLOW_READ_MS 300
/** A request sent up to this time after SIGTERM may be cut in the last sixth of the grace time. */
#define EXCUSED_SEND_MS 3000
#define EXCUSED_GRACE_DIVISOR 6
/** A connection may be closed on a request that the daemon has not read; it had this long to. */
#define READ_SLACK_MS 200

static bool is_chunked(const char *head) {
    return strstr(head, "Transfer-Encoding: chunked") != NULL;
}

void stop_request_read_answer(raw_caller *caller, stop_request *request, unsigned limit_ms) {
    if (raw_caller_read_until(caller, "\r\n\r\n", limit_ms)) {
        g_autofree char *head =
            g_strndup(raw_caller_text(caller), (gsize)(strstr(raw_caller_text(caller), "\r\n\r\n") +
                                                       4 - raw_caller_text(caller)));
        const char *length = strstr(head, "Content-Length: ");
        request->status = (uint32_t)strtoul(head + strlen("HTTP/1.1 "), NULL, 10);
        request->is_closing = strstr(head, "Connection: close") != NULL;
        if (is_chunked(head))
            request->is_whole = raw_caller_read_until(caller, "\r\n0\r\n\r\n", limit_ms);
        else if (length != NULL)
            request->is_whole = raw_caller_read_length(
                caller, strlen(head) + strtoul(length + strlen("Content-Length: "), NULL, 10),
                limit_ms);
        else
            request->is_whole = raw_caller_read_to_end(caller, limit_ms) == RAW_CLOSED;
    }
    request->ended_ms = hs_clock_monotonic_ms();
}

static char *make_head(const char *target, const char *id, const char *version,
                       const char *framing) {
    return g_strdup_printf("POST %s HTTP/%s\r\nHost: " BENCH_HOST "\r\n" HEADER_REQUEST_ID
                           ": %s\r\n%s\r\n\r\n",
                           target, version, id, framing);
}

static bool send_late_body(raw_caller *caller, const char *target, const char *id) {
    g_autofree char *head = make_head(target, id, "1.1", "Transfer-Encoding: chunked");
    bool is_sent = raw_caller_send(caller, head) && raw_caller_send(caller, "2\r\nhe\r\n");
    hs_clock_sleep_ms(LATE_BODY_MS);
    return is_sent && raw_caller_send(caller, "3\r\nllo\r\n0\r\n\r\n");
}

static bool send_whole(raw_caller *caller, const char *target, const char *id,
                       const char *version) {
    g_autofree char *head = make_head(target, id, version, "Content-Length: 5");
    g_autofree char *text = g_strconcat(head, "hello", NULL);
    return raw_caller_send(caller, text);
}

stop_request stop_request_send(raw_caller *caller, stop_caller_kind kind, const char *target,
                               const char *id, unsigned limit_ms) {
    stop_request request = {.target = target};
    g_strlcpy(request.id, id, sizeof request.id);
    request.begun_ms = hs_clock_monotonic_ms();
    raw_caller_forget_text(caller);
    bool is_sent =
        kind == STOP_CALLER_LATE_BODY
            ? send_late_body(caller, target, id)
            : send_whole(caller, target, id, kind == STOP_CALLER_UNFRAMED ? "1.0" : "1.1");
    request.sent_ms = hs_clock_monotonic_ms();
    request.ended_ms = request.sent_ms;
    uint64_t closed_ms =
        kind == STOP_CALLER_SLOW ? raw_caller_wait_closed(caller, SLOW_READ_MS) : 0;
    if (closed_ms != 0)
        hs_clock_sleep_ms(SLOW_READ_MS - MIN(closed_ms - request.sent_ms, SLOW_READ_MS));
    if (is_sent)
        stop_request_read_answer(caller, &request, limit_ms);
    if (request.status == 0 && closed_ms != 0)
        request.ended_ms = closed_ms;
    return request;
}

stop_request stop_request_post(raw_caller *caller, const char *target, const char *id,
                               unsigned limit_ms) {
    return stop_request_send(caller, STOP_CALLER_PLAIN, target, id, limit_ms);
}

bool stop_request_has_last_event(const char *answer, uint32_t events) {
    g_autofree char *last = g_strdup_printf("id: %u\n", events);
    return strstr(answer, last) != NULL;
}

bool stop_request_is_in_stop(const stop_request *request, int daemon, uint64_t signal_ms,
                             uint64_t exit_ms) {
    return request->daemon == daemon && request->ended_ms >= signal_ms &&
           request->sent_ms <= exit_ms;
}

bool stop_request_is_unread(const stop_request *request, uint32_t runs) {
    return request->status == 0 && runs == 0 &&
           request->ended_ms <= request->sent_ms + READ_SLACK_MS;
}

uint64_t stop_request_last_part_ms(uint64_t signal_ms, uint64_t grace_ms) {
    return signal_ms + grace_ms - grace_ms / EXCUSED_GRACE_DIVISOR;
}

bool stop_request_is_excused(const stop_request *request, uint64_t signal_ms, uint64_t grace_ms) {
    return request->sent_ms <= signal_ms + EXCUSED_SEND_MS &&
           request->ended_ms >= stop_request_last_part_ms(signal_ms, grace_ms);
}
