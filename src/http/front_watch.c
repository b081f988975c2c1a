/** @file front_watch.c  See front_watch.h. */
#include "http/front_watch.h"

#include "base/clock.h"
#include "base/log.h"

#include <netinet/in.h>

/**
 * Divisor of contact_ms for the pause between two probes. With the longest probe, the result
 * changes within two thirds of contact_ms after the front listener stops accepting.
 */
#define PROBE_PAUSE_DIVISOR 6
/** Divisor of contact_ms for the deadline of a probe. */
#define PROBE_TIME_DIVISOR 2
/** Interval between two checks of the listeners' connection counts: a tenth of the shortest time in
 * which a queue is detected. */
#define EVICTION_INTERVAL_MS 200

struct hs_front_watch {
    hs_front_watch_settings settings;
    gint is_accepting;
    gint is_probing_stopped;
    GMutex lock;
    GCond changed;
    bool stopping;
    GThread *probe_thread;
    GThread *eviction_thread;
};

/** Sleeps. Returns false once the watch is stopping. */
static bool pause_for(hs_front_watch *watch, uint32_t milliseconds) {
    hs_pause pause = hs_clock_pause_begin(milliseconds);
    g_mutex_lock(&watch->lock);
    while (!watch->stopping && hs_clock_pause_wait(&pause, &watch->changed, &watch->lock))
        continue;
    bool may_continue = !watch->stopping;
    g_mutex_unlock(&watch->lock);
    return may_continue;
}

/** Logs a change of the result. */
static void log_result_change(const hs_front_watch *watch, hs_step step, uint64_t elapsed_ms) {
    uint32_t open = hs_caller_connections_count(watch->settings.connections[0]);
    if (step == HS_STEP_COMPLETE)
        hs_log_info("front_takes", "took_ms=%" G_GUINT64_FORMAT " connections=%u",
                    (guint64)elapsed_ms, open);
    else
        hs_log_warning("front_takes_none", "step=%s took_ms=%" G_GUINT64_FORMAT " connections=%u",
                       hs_step_name(step), (guint64)elapsed_ms, open);
}

static void run_probe(hs_front_watch *watch) {
    const hs_front_watch_settings *settings = &watch->settings;
    uint64_t started_ms = hs_clock_monotonic_ms();
    hs_step step = hs_connection_probe_run(&settings->probe,
                                           started_ms + settings->contact_ms / PROBE_TIME_DIVISOR);
    bool is_accepting = step == HS_STEP_COMPLETE;
    bool was_accepting = g_atomic_int_exchange(&watch->is_accepting, is_accepting) != 0;
    if (is_accepting != was_accepting && g_atomic_int_get(&watch->is_probing_stopped) == 0)
        log_result_change(watch, step, hs_clock_monotonic_ms() - started_ms);
}

static gpointer probe_front(gpointer data) {
    hs_front_watch *watch = data;
    do {
        if (g_atomic_int_get(&watch->is_probing_stopped) == 0)
            run_probe(watch);
    } while (pause_for(watch, watch->settings.contact_ms / PROBE_PAUSE_DIVISOR));
    return NULL;
}

static gpointer evict_idle_connections(gpointer data) {
    hs_front_watch *watch = data;
    while (pause_for(watch, EVICTION_INTERVAL_MS)) {
        for (int index = 0; index < HS_MAX_WATCHED_LISTENERS; index++) {
            hs_caller_connections *connections = watch->settings.connections[index];
            uint32_t ended =
                connections != NULL ? hs_caller_connections_evict_idle(connections) : 0;
            if (ended > 0)
                hs_log_warning("idle_connections_ended", "listener=%d ended=%u open=%u", index,
                               ended, hs_caller_connections_count(connections));
        }
    }
    return NULL;
}

hs_front_watch *hs_front_watch_start(const hs_front_watch_settings *settings) {
    hs_front_watch *watch = g_new0(hs_front_watch, 1);
    watch->settings = *settings;
    if (settings->probe.address == INADDR_ANY)
        watch->settings.probe.address = INADDR_LOOPBACK;
    g_mutex_init(&watch->lock);
    g_cond_init(&watch->changed);
    watch->probe_thread = g_thread_new("front-watch", probe_front, watch);
    watch->eviction_thread = g_thread_new("front-room", evict_idle_connections, watch);
    return watch;
}

bool hs_front_watch_is_accepting(hs_front_watch *watch) {
    return g_atomic_int_get(&watch->is_accepting) != 0;
}

void hs_front_watch_stop_probing(hs_front_watch *watch) {
    g_atomic_int_set(&watch->is_probing_stopped, 1);
}

void hs_front_watch_stop(hs_front_watch *watch) {
    if (watch == NULL)
        return;
    g_mutex_lock(&watch->lock);
    watch->stopping = true;
    g_cond_broadcast(&watch->changed);
    g_mutex_unlock(&watch->lock);
    g_thread_join(watch->probe_thread);
    g_thread_join(watch->eviction_thread);
}

void hs_front_watch_free(hs_front_watch *watch) {
    if (watch == NULL)
        return;
    g_cond_clear(&watch->changed);
    g_mutex_clear(&watch->lock);
    g_free(watch);
}
