/** @file stop_callers.c  See stop_callers.h. */
#include "tests/system/stop_callers.h"

#include "base/clock.h"
#include "tools/surface/fleet_bench.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MAX_CALLERS 100
#define ANSWER_LIMIT_MS 12000
#define RECONNECT_PAUSE_MS 30
/** Time before the end of the grace time in which also short requests may be refused. */
#define SHORT_REQUEST_MS 1500

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

/** An unframed stream that was cut may end like a whole one. */
static bool is_whole_stream(const char *target, const char *answer) {
    bool is_long = strstr(target, "/long") != NULL;
    return stop_request_has_last_event(answer, is_long ? bench_item_events() : BENCH_EVENTS);
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
        stop_request request = stop_request_send(caller, kind, target, id, ANSWER_LIMIT_MS);
        if (request.is_whole && request.status == 200 && strstr(target, "/plain/") == NULL)
            request.is_whole = is_whole_stream(target, raw_caller_text(caller));
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
        if (stop_request_is_in_stop(request, stop->daemon, stop->signal_ms, stop->exit_ms))
            return stop;
    }
    return NULL;
}

static void print_cut(const stop_request *request, const daemon_stop *stop) {
    printf("    cut: %s at daemon %d, sent %d ms and ended %d ms after SIGTERM, status %u, %s"
           " connection, %u runs\n",
           request->id, request->daemon, (int)(request->sent_ms - stop->signal_ms),
           (int)(request->ended_ms - stop->signal_ms), request->status,
           request->is_kept ? "kept" : "new", bench_run_count(request->id));
}

/** Whether the answer promises wrongly that the request did not run, or it ran twice. */
static bool is_broken_promise(const stop_request *request) {
    uint32_t runs = bench_run_count(request->id);
    bool runs_once = g_str_has_prefix(request->target, "/once/");
    bool is_refused = request->is_whole && request->status == 503;
    return runs_once && ((is_refused && runs > 0) || runs > 1);
}

/** Requests of the plain route end within milliseconds. */
static bool is_needless_refusal(const stop_request *request, const daemon_stop *stop) {
    bool is_plain = g_str_has_prefix(request->target, "/plain/");
    return is_plain && request->is_whole && request->status == 503 &&
           request->ended_ms < stop->signal_ms + stop->grace_ms - SHORT_REQUEST_MS;
}

stop_summary stop_callers_summarize(void) {
    stop_summary summary = {.sent = callers.requests->len};
    for (guint index = 0; index < callers.requests->len; index++) {
        const stop_request *request = &g_array_index(callers.requests, stop_request, index);
        const daemon_stop *stop = find_stop(request);
        bool is_served = request->is_whole && request->status == 200;
        summary.served += is_served;
        summary.refused += request->is_whole && request->status == 503;
        bool is_in_stop = stop != NULL && request->sent_ms >= stop->signal_ms;
        summary.sent_in_stops += is_in_stop;
        summary.served_in_stops += is_served && is_in_stop;
        summary.broken_promises += is_broken_promise(request);
        summary.needless_refusals += stop != NULL && is_needless_refusal(request, stop);
        if (request->is_whole || stop == NULL)
            continue;
        if (stop_request_is_unread(request, bench_run_count(request->id)) ||
            (bench_run_count(request->id) > 0 &&
             stop_request_is_excused(request, stop->signal_ms, stop->grace_ms))) {
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
