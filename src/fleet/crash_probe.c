/** @file crash_probe.c  See crash_probe.h. */
#include "fleet/crash_probe.h"

#include "base/clock.h"
#include "base/log.h"
#include "base/ring.h"
#include "base/thread.h"
#include "http/client_connection.h"

/** Capacity of the queue of cut runs: all runs of a few engines. */
#define MAX_QUEUED_RUNS 1024
/** The thread's wait for the next run, in ms. A stop takes no longer. */
#define IDLE_POLL_MS 100
/** The same while engines are being checked; bounds the delay of the detection of a crash. */
#define ACTIVE_POLL_MS 10
/** Maximum wait for an engine to accept or refuse a connection, in ms. */
#define PROBE_TIMEOUT_MS 300
/**
 * Time in ms for which an engine must keep a new connection open to be found running. A crashing
 * process closes its connections one by one and its listener among them, so it may still accept a
 * connection right after the first cut, but closes it within milliseconds (34 of 34 stand-ins that
 * crashed did so within 11 ms).
 */
#define MIN_OPEN_MS 300
/** Maximum number of new connections after the engine closed one. An engine that accepts all of
 * them is found running. */
#define MAX_RECONNECTS 3
/** Maximum number of engines checked at a time. Any further engine is taken to be running. */
#define MAX_CHECKED_ENGINES 64

/** A check of one engine under way. */
typedef struct {
    hs_cut_run first;
    GArray *runs; /**< of hs_cut_run: all runs cut there, including the first. */
    hs_client_connection *connection; /**< Open until the result is known. */
    uint32_t reconnect_count;         /**< Connections after the first one. */
    uint64_t opened_ms;               /**< When the first connection was opened. */
} engine_check;

struct hs_crash_probe {
    hs_crash_probe_callback callback;
    void *user_data;
    hs_crash_probe_filter filter; /**< NULL: all engines may be checked. */
    void *filter_data;
    hs_ring *queue; /**< of hs_cut_run* */
    gint stopping;
    gint crash_count;
    GThread *thread;       /**< NULL if it could not be started. */
    uint64_t last_crashed; /**< Last engine found crashed; used by the thread only. */
};

/** Connects to the engine. Returns NULL if it refuses (sets @p is_crashed) or does not respond. */
static hs_client_connection *connect_to(const hs_cut_run *run, bool *is_crashed) {
    hs_wait wait = {.deadline = hs_clock_monotonic_ms() + PROBE_TIMEOUT_MS,
                    .watched = HS_WATCH_NOTHING};
    hs_step step = HS_STEP_PROGRESS;
    hs_client_connection *connection =
        hs_client_connection_open(run->address, run->port, &wait, &step);
    *is_crashed = connection == NULL && step == HS_STEP_CUT;
    return connection;
}

static engine_check *find_check(const GPtrArray *checks, uint64_t engine) {
    for (guint index = 0; index < checks->len; index++)
        if (((const engine_check *)checks->pdata[index])->first.engine == engine)
            return checks->pdata[index];
    return NULL;
}

static void free_check(gpointer data) {
    engine_check *check = data;
    hs_client_connection_close(check->connection);
    g_array_free(check->runs, TRUE);
    g_free(check);
}

static void finish_check(hs_crash_probe *probe, const engine_check *check, bool is_crashed) {
    hs_log_info(is_crashed ? "engine_crashed" : "engine_survives",
                "engine=%s runs_cut=%u cut_ago_ms=%" G_GUINT64_FORMAT, check->first.engine_id,
                check->runs->len, (guint64)(hs_clock_monotonic_ms() - check->first.cut_ms));
    if (is_crashed) {
        probe->last_crashed = check->first.engine;
        g_atomic_int_inc(&probe->crash_count);
    }
    probe->callback(check->runs, is_crashed, probe->user_data);
}

void hs_crash_probe_set_filter(hs_crash_probe *probe, hs_crash_probe_filter filter,
                               void *user_data) {
    probe->filter = filter;
    probe->filter_data = user_data;
}

static bool may_check(const hs_crash_probe *probe, const hs_cut_run *run) {
    bool may_check_engine = probe->filter == NULL || probe->filter(run->engine, probe->filter_data);
    if (!may_check_engine)
        hs_log_info("engine_check_ended", "engine=%s cause=evacuation", run->engine_id);
    return may_check_engine;
}

/** Advances a check by one step. Returns true when the result is known. */
static bool advance_check(hs_crash_probe *probe, engine_check *check) {
    bool is_crashed = false;
    if (!may_check(probe, &check->first))
        return true;
    bool is_open = hs_client_connection_is_idle_and_open(check->connection);
    if (is_open && hs_clock_monotonic_ms() < check->opened_ms + MIN_OPEN_MS)
        return false;
    if (!is_open && check->reconnect_count < MAX_RECONNECTS) {
        hs_client_connection_close(check->connection);
        check->connection = connect_to(&check->first, &is_crashed);
        check->reconnect_count++;
        if (check->connection != NULL)
            return false;
    }
    finish_check(probe, check, is_crashed);
    return true;
}

/** Adds the run to the check of its engine, or starts one. */
static void check_run(hs_crash_probe *probe, GPtrArray *checks, const hs_cut_run *run) {
    engine_check *check = find_check(checks, run->engine);
    if (check != NULL) {
        g_array_append_val(check->runs, *run);
        return;
    }
    check = g_new0(engine_check, 1);
    check->first = *run;
    check->runs = g_array_new(FALSE, FALSE, sizeof(hs_cut_run));
    g_array_append_val(check->runs, *run);
    check->opened_ms = hs_clock_monotonic_ms();
    bool is_crashed = false;
    if (probe->last_crashed == run->engine) {
        probe->callback(check->runs, true, probe->user_data);
        free_check(check);
        return;
    }
    if (checks->len < MAX_CHECKED_ENGINES)
        check->connection = connect_to(run, &is_crashed);
    if (check->connection != NULL) {
        g_ptr_array_add(checks, check);
        return;
    }
    finish_check(probe, check, is_crashed);
    free_check(check);
}

static gpointer check_engines(gpointer data) {
    hs_crash_probe *probe = data;
    g_autoptr(GPtrArray) checks = g_ptr_array_new_with_free_func(free_check);
    while (g_atomic_int_get(&probe->stopping) == 0) {
        g_autofree hs_cut_run *run =
            hs_ring_take(probe->queue, checks->len > 0 ? ACTIVE_POLL_MS : IDLE_POLL_MS);
        if (run != NULL && may_check(probe, run))
            check_run(probe, checks, run);
        for (guint index = checks->len; index > 0; index--)
            if (advance_check(probe, checks->pdata[index - 1]))
                g_ptr_array_remove_index_fast(checks, index - 1);
    }
    return NULL;
}

hs_crash_probe *hs_crash_probe_start(hs_crash_probe_callback callback, void *user_data) {
    hs_crash_probe *probe = g_new0(hs_crash_probe, 1);
    probe->callback = callback;
    probe->user_data = user_data;
    probe->queue = hs_ring_new(MAX_QUEUED_RUNS);
    probe->thread = hs_thread_try_start("crash-probe", check_engines, probe);
    return probe;
}

void hs_crash_probe_stop(hs_crash_probe *probe) {
    g_atomic_int_set(&probe->stopping, 1);
    if (probe->thread != NULL)
        g_thread_join(probe->thread);
    for (void *run = hs_ring_take(probe->queue, 0); run != NULL;
         run = hs_ring_take(probe->queue, 0))
        g_free(run);
    hs_ring_free(probe->queue);
    g_free(probe);
}

uint32_t hs_crash_probe_crash_count(hs_crash_probe *probe) {
    return (uint32_t)g_atomic_int_get(&probe->crash_count);
}

bool hs_crash_probe_submit(hs_crash_probe *probe, const hs_cut_run *run) {
    hs_cut_run *copy = g_new(hs_cut_run, 1);
    *copy = *run;
    bool is_queued = hs_ring_put(probe->queue, copy);
    if (!is_queued)
        g_free(copy);
    return is_queued;
}
