/** @file stop_callers.c  See stop_callers.h. */
#include "tests/system/stop_callers.h"

#include "base/clock.h"
#include "platform/names.h"
#include "tools/surface/fleet_bench.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MAX_CALLERS 100
#define ANSWER_LIMIT_MS 12000
#define LATE_BODY_MS 400
#define SLOW_READ_MS 300
#define RECONNECT_PAUSE_MS 30
/** A request sent up to this time after SIGTERM may be cut in the last sixth of the grace time. */
#define EXCUSED_SEND_MS 3000
#define EXCUSED_GRACE_DIVISOR 6
/** A connection may be closed on a request that the daemon has not read; it had this long to. */
#define READ_SLACK_MS 200

typedef struct {
    int daemon;
    uint64_t signal_ms;
    uint64_t exit_ms;
    uint64_t grace_ms;
} daemon_stop;

static struct {
    GMutex lock;
    GArray *requests; /**< of stop_request */
    GArray *stops;    /**< of daemon_stop */
    gint is_ending;
    GThread *threads[MAX_CALLERS];
    int count;
    guint generation;
} callers;

static bool is_chunked(const char *head) {
    return strstr(head, "Transfer-Encoding: chunked") != NULL;
}

void stop_caller_read_answer(raw_caller *caller, stop_request *request, unsigned limit_ms) {
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

static stop_request post(raw_caller *caller, stop_caller_kind kind, const char *target,
                         const char *id, unsigned limit_ms) {
    stop_request request = {0};
    g_strlcpy(request.id, id, sizeof request.id);
    raw_caller_forget_text(caller);
    bool is_sent =
        kind == STOP_CALLER_LATE_BODY
            ? send_late_body(caller, target, id)
            : send_whole(caller, target, id, kind == STOP_CALLER_UNFRAMED ? "1.0" : "1.1");
    request.sent_ms = hs_clock_monotonic_ms();
    request.ended_ms = request.sent_ms;
    if (kind == STOP_CALLER_SLOW)
        hs_clock_sleep_ms(SLOW_READ_MS);
    if (is_sent)
        stop_caller_read_answer(caller, &request, limit_ms);
    return request;
}

stop_request stop_caller_post(raw_caller *caller, const char *target, const char *id,
                              unsigned limit_ms) {
    return post(caller, STOP_CALLER_PLAIN, target, id, limit_ms);
}

static void record_request(const stop_request *request) {
    g_mutex_lock(&callers.lock);
    g_array_append_val(callers.requests, *request);
    g_mutex_unlock(&callers.lock);
}

/** Opens a connection to the daemon, or, if that takes none, to one of the others. */
static raw_caller *open_any(int *daemon) {
    for (int turn = 0; turn < bench_daemon_count(); turn++) {
        raw_caller *caller = raw_caller_open(bench_front_port(*daemon));
        if (caller != NULL)
            return caller;
        *daemon = (*daemon + 1) % bench_daemon_count();
    }
    return NULL;
}

static gpointer run_caller(gpointer data) {
    static const char *const targets[] = {"/once/long", "/once/x", "/again/long", "/plain/x"};
    int number = GPOINTER_TO_INT(data);
    GRand *rng = g_rand_new_with_seed((guint32)number + 1);
    stop_caller_kind kind = (stop_caller_kind)(number % STOP_CALLER_KINDS);
    raw_caller *caller = NULL;
    bool is_kept = false;
    int daemon = number % bench_daemon_count();
    for (int sent = 0; g_atomic_int_get(&callers.is_ending) == 0; sent++) {
        if (caller == NULL) {
            caller = open_any(&daemon);
            is_kept = false;
        }
        if (caller == NULL) {
            hs_clock_sleep_ms(RECONNECT_PAUSE_MS);
            continue;
        }
        g_autofree char *id = g_strdup_printf("stop-%u-%d-%d", callers.generation, number, sent);
        const char *target = targets[g_rand_int_range(rng, 0, G_N_ELEMENTS(targets))];
        stop_request request = post(caller, kind, target, id, ANSWER_LIMIT_MS);
        request.daemon = daemon;
        request.is_kept = is_kept;
        record_request(&request);
        is_kept = true;
        if (!request.is_whole || request.is_closing || raw_caller_state(caller) != RAW_OPEN) {
            raw_caller_close(caller);
            caller = NULL;
            daemon = number % bench_daemon_count();
        }
        if (request.status != 200)
            hs_clock_sleep_ms(RECONNECT_PAUSE_MS);
    }
    raw_caller_close(caller);
    g_rand_free(rng);
    return NULL;
}

void stop_callers_begin(int count) {
    if (callers.requests == NULL) {
        callers.requests = g_array_new(FALSE, FALSE, sizeof(stop_request));
        callers.stops = g_array_new(FALSE, FALSE, sizeof(daemon_stop));
    }
    callers.generation++;
    callers.count = MIN(count, MAX_CALLERS);
    g_atomic_int_set(&callers.is_ending, 0);
    for (int number = 0; number < callers.count; number++)
        callers.threads[number] = g_thread_new("caller", run_caller, GINT_TO_POINTER(number));
}

void stop_callers_end(void) {
    g_atomic_int_set(&callers.is_ending, 1);
    for (int number = 0; number < callers.count; number++)
        g_thread_join(callers.threads[number]);
    callers.count = 0;
}

void stop_callers_note_stop(int daemon, uint64_t signal_ms, uint64_t exit_ms, uint64_t grace_ms) {
    daemon_stop stop = {daemon, signal_ms, exit_ms, grace_ms};
    g_array_append_val(callers.stops, stop);
}

/** Returns the stop that was in progress at the daemon when the request ended; NULL: none. */
static const daemon_stop *find_stop(const stop_request *request) {
    for (guint index = 0; index < callers.stops->len; index++) {
        const daemon_stop *stop = &g_array_index(callers.stops, daemon_stop, index);
        if (stop->daemon == request->daemon && request->ended_ms >= stop->signal_ms &&
            request->sent_ms <= stop->exit_ms)
            return stop;
    }
    return NULL;
}

static bool is_excused(const stop_request *request, const daemon_stop *stop) {
    uint64_t last_part_ms =
        stop->signal_ms + stop->grace_ms - stop->grace_ms / EXCUSED_GRACE_DIVISOR;
    bool was_unread = request->status == 0 && bench_run_count(request->id) == 0 &&
                      request->ended_ms <= request->sent_ms + READ_SLACK_MS;
    return was_unread || (request->sent_ms <= stop->signal_ms + EXCUSED_SEND_MS &&
                          request->ended_ms >= last_part_ms);
}

static void print_cut(const stop_request *request, const daemon_stop *stop) {
    printf("    cut: %s at daemon %d, sent %d ms and ended %d ms after SIGTERM, status %u, %s"
           " connection, %u runs\n",
           request->id, request->daemon, (int)(request->sent_ms - stop->signal_ms),
           (int)(request->ended_ms - stop->signal_ms), request->status,
           request->is_kept ? "kept" : "new", bench_run_count(request->id));
}

stop_summary stop_callers_summarize(void) {
    stop_summary summary = {.sent = callers.requests->len};
    for (guint index = 0; index < callers.requests->len; index++) {
        const stop_request *request = &g_array_index(callers.requests, stop_request, index);
        const daemon_stop *stop = find_stop(request);
        bool is_served = request->is_whole && request->status == 200;
        summary.served += is_served;
        summary.refused += request->is_whole && request->status == 503;
        summary.served_in_stops += is_served && stop != NULL && request->sent_ms >= stop->signal_ms;
        if (request->is_whole || stop == NULL)
            continue;
        if (is_excused(request, stop)) {
            summary.excused++;
        } else {
            summary.cut++;
            print_cut(request, stop);
        }
    }
    g_array_free(callers.requests, TRUE);
    g_array_free(callers.stops, TRUE);
    callers.requests = NULL;
    callers.stops = NULL;
    return summary;
}
