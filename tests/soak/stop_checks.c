/** @file stop_checks.c  Checks that no answer is cut by the stop of its daemon. */
#include "base/clock.h"
#include "tests/soak/checks.h"
#include "tests/soak/faults.h"
#include "tests/soak/soak.h"

#include <string.h>

/** The daemons' fleet.grace_s. */
#define GRACE_MS 6000
/** Member timeout-ms of all routes of the stop callers. */
#define ROUTE_TIMEOUT_MS 4000

/** What the engines saw of a request. */
typedef struct {
    bool is_at[BENCH_ENGINES]; /**< The request reached the engine, which ran or refused it. */
    uint64_t late_ms;          /**< Maximum delay of an event by an engine itself. */
    uint64_t ended_ms;         /**< Monotonic time at which the engines' work ended; 0: no call. */
} engine_work;

/** of stop_request; the second, of streams without their last event; of soak_stop. NULL: none.
 * Guarded by record.lock. */
static GArray *requests;
static GArray *short_streams;
static GArray *stops;

static void append(GArray **array, gconstpointer element, guint size) {
    g_mutex_lock(&record.lock);
    if (*array == NULL)
        *array = g_array_new(FALSE, FALSE, size);
    g_array_append_vals(*array, element, 1);
    g_mutex_unlock(&record.lock);
}

void soak_record_stop(const soak_stop *stop) {
    append(&stops, stop, sizeof *stop);
}

/** Whether a stream ended in order without its last event, so that it looks complete. */
static bool is_short(const stop_request *request, const char *text) {
    bool is_medium = strstr(request->target, "/medium") != NULL;
    uint32_t events = is_medium ? bench.settings.medium_pace.events : BENCH_EVENTS;
    bool is_stream = strstr(request->target, "/plain/") == NULL;
    return request->status == 200 && request->is_whole && is_stream &&
           !stop_request_has_last_event(text, events);
}

void soak_record_stop_request(const stop_request *request, const char *text) {
    if (soak_is_refusal(request->status))
        soak_add_id(record.refused_ids, request->id);
    if (request->status == 401 || request->status == 403 || request->status == 404)
        soak_report_violation("request %s was denied with status %u", request->id, request->status);
    append(&requests, request, sizeof *request);
    if (is_short(request, text))
        append(&short_streams, request, sizeof *request);
}

static void clear_array(GArray **array) {
    if (*array != NULL)
        g_array_unref(*array);
    *array = NULL;
}

void soak_clear_stops(void) {
    clear_array(&requests);
    clear_array(&short_streams);
    clear_array(&stops);
}

/** Adds an engine's calls to the work by request id. */
static void add_calls(GHashTable *works, int engine) {
    token_engine_call call;
    for (uint32_t number = 0; token_engine_find_call(bench.engines[engine], number, &call);
         number++) {
        engine_work *work = g_hash_table_lookup(works, call.request_id);
        if (work == NULL || call.is_misdirected)
            continue;
        work->is_at[engine] = true;
        work->ended_ms = MAX(work->ended_ms, call.ended_ms != 0 ? call.ended_ms : UINT64_MAX);
    }
}

static void add_delays(GHashTable *works, int engine) {
    token_engine_run run;
    for (uint32_t number = 0; token_engine_find_run(bench.engines[engine], number, &run);
         number++) {
        engine_work *work = g_hash_table_lookup(works, run.request_id);
        if (work != NULL)
            work->late_ms = MAX(work->late_ms, run.late_ms);
    }
}

/** Returns the work of the engines by id of a recorded request. */
static GHashTable *collect_work(void) {
    GHashTable *works = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
    for (guint index = 0; index < requests->len; index++)
        g_hash_table_insert(works, g_array_index(requests, stop_request, index).id,
                            g_new0(engine_work, 1));
    for (int engine = 0; engine < BENCH_ENGINES; engine++) {
        add_calls(works, engine);
        add_delays(works, engine);
    }
    return works;
}

/** Returns the stop of its daemon that was in progress during the request; NULL: none. */
static const soak_stop *find_stop(const stop_request *request) {
    for (guint index = 0; stops != NULL && index < stops->len; index++) {
        const soak_stop *stop = &g_array_index(stops, soak_stop, index);
        if (stop_request_is_in_stop(request, stop->daemon, stop->signal_ms, stop->exit_ms))
            return stop;
    }
    return NULL;
}

/** Whether the daemon had no fault but the stop, which may be NULL, during the request. */
static bool was_daemon_free(const stop_request *request, const soak_stop *stop) {
    uint64_t to_ms = stop != NULL ? stop->acquiring_ms - 1 : request->ended_ms;
    return soak_was_target_free(FAULT_PROCESS, request->daemon, request->begun_ms, to_ms);
}

/** Whether the engines that got the request, and their links, had no fault during it. */
static bool were_engines_free(const stop_request *request, const engine_work *work) {
    bool were_free = true;
    for (int engine = 0; engine < BENCH_ENGINES; engine++)
        if (work->is_at[engine])
            were_free =
                were_free &&
                soak_was_target_free(FAULT_ENGINE, engine, request->begun_ms, request->ended_ms) &&
                soak_was_target_free(FAULT_ENGINE_LINK, engine, request->begun_ms,
                                     request->ended_ms);
    return were_free;
}

/** Whether the engine was at work in the last part of the grace time, or the deadline passed. */
static bool is_excused(const stop_request *request, const soak_stop *stop,
                       const engine_work *work) {
    bool was_at_work = work->ended_ms >= stop_request_last_part_ms(stop->signal_ms, GRACE_MS);
    return request->ended_ms >= request->begun_ms + ROUTE_TIMEOUT_MS ||
           (was_at_work && stop_request_is_excused(request, stop->signal_ms, GRACE_MS));
}

static void check_cut(const stop_request *request, const soak_stop *stop, const engine_work *work) {
    if (stop_request_is_unread(request, work->ended_ms != 0)) {
        record.stop_requests_unread++;
        return;
    }
    if (is_excused(request, stop, work)) {
        record.stop_cuts_excused++;
        return;
    }
    record.stop_cuts++;
    if (!record.has_earlier_builds)
        soak_report_violation("%s at daemon %d was cut by a stop: sent %d ms and ended %d ms after "
                              "SIGTERM, status %u, %s connection, %u runs, engine late by %u ms",
                              request->id, request->daemon,
                              (int)((int64_t)request->sent_ms - (int64_t)stop->signal_ms),
                              (int)((int64_t)request->ended_ms - (int64_t)stop->signal_ms),
                              request->status, request->is_kept ? "kept" : "new",
                              bench_run_count(request->id), (unsigned)work->late_ms);
}

static void check_request(const stop_request *request, const engine_work *work) {
    const soak_stop *stop = find_stop(request);
    if (stop == NULL)
        return;
    record.stop_requests++;
    if (!was_daemon_free(request, stop) || !were_engines_free(request, work)) {
        record.stop_cuts_near_faults += !request->is_whole;
        return;
    }
    record.stop_requests_judged++;
    if (!request->is_whole)
        check_cut(request, stop, work);
}

/** A killed daemon of an earlier build ends its connections in order. */
static void check_short_streams(void) {
    for (guint index = 0; short_streams != NULL && index < short_streams->len; index++) {
        const stop_request *request = &g_array_index(short_streams, stop_request, index);
        if (was_daemon_free(request, find_stop(request)))
            soak_report_violation("stream of %s ended in order without its last event",
                                  request->id);
    }
}

void soak_check_stop_requests(void) {
    record.stops = stops != NULL ? stops->len : 0;
    if (requests == NULL)
        return;
    check_short_streams();
    g_autoptr(GHashTable) works = collect_work();
    for (guint index = 0; index < requests->len; index++) {
        const stop_request *request = &g_array_index(requests, stop_request, index);
        check_request(request, g_hash_table_lookup(works, request->id));
    }
}
