/** @file crash_probe.c  See crash_probe.h. */
#include "fleet/crash_probe.h"

#include "base/clock.h"
#include "base/log.h"
#include "base/ring.h"
#include "base/thread.h"
#include "http/client_connection.h"

/** Cut runs that wait to be looked into: all that a few engines ran; beyond, they say nothing. */
#define WAITING_MOST 1024
/** The looking thread's wait for the next one, in ms; a stop takes no longer. */
#define TAKE_MS 100
/** The same while an engine is watched: a crash is known to all so much later at most. */
#define WATCHING_TAKE_MS 10
/** Longest wait for an engine to take or refuse a connection, in ms: a hundred times the way. */
#define PROBE_LIMIT_MS 300
/**
 * An engine that keeps a new connection for so long, in ms, is there. A crash ends its connections
 * one after the other and its listener at some moment between: stand-ins that crashed still took a
 * connection right after the first cut, 228 times of 228, and ended it within 11 ms, 34 of 34.
 */
#define SURVIVES_AFTER_MS 300
/** Connections after the first one, where engines end them: of what refuses none it is said that it
 * survives. */
#define CONNECTIONS_MOST 3
/** Engines that are watched at one time; what is cut at more of them says nothing. */
#define LOOKS_MOST 64
/** An engine at which runs were cut, and that is being looked into. */
typedef struct {
    hs_cut_run first;
    GArray *runs;                     /**< of hs_cut_run: all of that engine, the first included. */
    hs_client_connection *connection; /**< Open as long as it is not known whether it is there. */
    uint32_t connections;             /**< Opened after the first one ended. */
    uint64_t opened_ms;               /**< The first one. */
} engine_look;

struct hs_crash_probe {
    hs_crash_teller_function tell;
    void *user_data;
    hs_ring *waiting; /**< of hs_cut_run* */
    gint stopping;
    gint crashes;       /**< Engines that were found crashed. */
    GThread *thread;    /**< NULL: none was to be had. */
    uint64_t last_gone; /**< Engine that was found crashed last; of the thread alone. */
};

/** Connect to the engine; NULL: it refuses (@p is_gone) or does not answer. */
static hs_client_connection *connect_to(const hs_cut_run *run, bool *is_gone) {
    hs_wait wait = {.deadline = hs_clock_monotonic_ms() + PROBE_LIMIT_MS,
                    .watched = HS_WATCH_NOTHING};
    hs_step step = HS_STEP_PROGRESS;
    hs_client_connection *connection =
        hs_client_connection_open(run->address, run->port, &wait, &step);
    *is_gone = connection == NULL && step == HS_STEP_CUT;
    return connection;
}

static engine_look *find_look(const GPtrArray *looks, uint64_t engine) {
    for (guint index = 0; index < looks->len; index++)
        if (((const engine_look *)looks->pdata[index])->first.engine == engine)
            return looks->pdata[index];
    return NULL;
}

static void free_look(gpointer data) {
    engine_look *look = data;
    hs_client_connection_close(look->connection);
    g_array_free(look->runs, TRUE);
    g_free(look);
}

/** What became of the engine is known. */
static void conclude(hs_crash_probe *probe, const engine_look *look, bool is_gone) {
    hs_log_info(is_gone ? "engine_crashed" : "engine_survives",
                "engine=%s runs_cut=%u cut_ago_ms=%" G_GUINT64_FORMAT, look->first.engine_id,
                look->runs->len, (guint64)(hs_clock_monotonic_ms() - look->first.cut_ms));
    if (is_gone) {
        probe->last_gone = look->first.engine;
        g_atomic_int_inc(&probe->crashes);
    }
    probe->tell(look->runs, is_gone, probe->user_data);
}

/** Go on looking; true when what became of the engine is known. */
static bool go_on(hs_crash_probe *probe, engine_look *look) {
    bool is_gone = false;
    bool is_open = hs_client_connection_is_quiet(look->connection);
    if (is_open && hs_clock_monotonic_ms() < look->opened_ms + SURVIVES_AFTER_MS)
        return false;
    if (!is_open && look->connections < CONNECTIONS_MOST) {
        hs_client_connection_close(look->connection);
        look->connection = connect_to(&look->first, &is_gone);
        look->connections++;
        if (look->connection != NULL)
            return false;
    }
    conclude(probe, look, is_gone);
    return true;
}

/** Look into a cut run: with those of the same engine, or by a new connection. */
static void look_into(hs_crash_probe *probe, GPtrArray *looks, const hs_cut_run *run) {
    engine_look *look = find_look(looks, run->engine);
    if (look != NULL) {
        g_array_append_val(look->runs, *run);
        return;
    }
    look = g_new0(engine_look, 1);
    look->first = *run;
    look->runs = g_array_new(FALSE, FALSE, sizeof(hs_cut_run));
    g_array_append_val(look->runs, *run);
    look->opened_ms = hs_clock_monotonic_ms();
    bool is_gone = false;
    if (probe->last_gone == run->engine) {
        probe->tell(look->runs, true, probe->user_data);
        free_look(look);
        return;
    }
    if (looks->len < LOOKS_MOST)
        look->connection = connect_to(run, &is_gone);
    if (look->connection != NULL) {
        g_ptr_array_add(looks, look);
        return;
    }
    conclude(probe, look, is_gone);
    free_look(look);
}

static gpointer look_into_cuts(gpointer data) {
    hs_crash_probe *probe = data;
    g_autoptr(GPtrArray) looks = g_ptr_array_new_with_free_func(free_look);
    while (g_atomic_int_get(&probe->stopping) == 0) {
        g_autofree hs_cut_run *run =
            hs_ring_take(probe->waiting, looks->len > 0 ? WATCHING_TAKE_MS : TAKE_MS);
        if (run != NULL)
            look_into(probe, looks, run);
        for (guint index = looks->len; index > 0; index--)
            if (go_on(probe, looks->pdata[index - 1]))
                g_ptr_array_remove_index_fast(looks, index - 1);
    }
    return NULL;
}

hs_crash_probe *hs_crash_probe_start(hs_crash_teller_function tell, void *user_data) {
    hs_crash_probe *probe = g_new0(hs_crash_probe, 1);
    probe->tell = tell;
    probe->user_data = user_data;
    probe->waiting = hs_ring_new(WAITING_MOST);
    probe->thread = hs_thread_try("crash-probe", look_into_cuts, probe);
    return probe;
}

void hs_crash_probe_stop(hs_crash_probe *probe) {
    g_atomic_int_set(&probe->stopping, 1);
    if (probe->thread != NULL)
        g_thread_join(probe->thread);
    for (void *run = hs_ring_take(probe->waiting, 0); run != NULL;
         run = hs_ring_take(probe->waiting, 0))
        g_free(run);
    hs_ring_free(probe->waiting);
    g_free(probe);
}

uint32_t hs_crash_probe_crashes(hs_crash_probe *probe) {
    return (uint32_t)g_atomic_int_get(&probe->crashes);
}

bool hs_crash_probe_put(hs_crash_probe *probe, const hs_cut_run *run) {
    hs_cut_run *kept = g_new(hs_cut_run, 1);
    *kept = *run;
    bool is_put = hs_ring_put(probe->waiting, kept);
    if (!is_put)
        g_free(kept);
    return is_put;
}
