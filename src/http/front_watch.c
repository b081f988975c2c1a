/** @file front_watch.c  See front_watch.h. */
#include "http/front_watch.h"

#include "base/clock.h"
#include "base/log.h"

#include <netinet/in.h>

/**
 * Pause between two tries, as a part of the time within which connections are to be taken: with the
 * longest try, the word is changed within two thirds of that time after the front stopped taking.
 */
#define PAUSE_PARTS 6
/** The longest try, as a part of the same time. */
#define TRY_PARTS 2
/** Between two looks for room, in ms: a tenth of the shortest time in which a queue is noticed. */
#define ROOM_PAUSE_MS 200

struct hs_front_watch {
    hs_front_watch_settings settings;
    gint is_taking;
    gint leaving;
    GMutex lock;
    GCond changed;
    bool stopping;
    GThread *tries;
    GThread *room;
};

/** Sleep; false once the watch is to stop. */
static bool pause_for(hs_front_watch *watch, uint32_t milliseconds) {
    hs_pause pause = hs_clock_pause_begin(milliseconds);
    g_mutex_lock(&watch->lock);
    while (!watch->stopping && hs_clock_pause_wait(&pause, &watch->changed, &watch->lock))
        continue;
    bool goes_on = !watch->stopping;
    g_mutex_unlock(&watch->lock);
    return goes_on;
}

/** One line for each change of the word. */
static void log_word(const hs_front_watch *watch, hs_step step, uint64_t took_ms) {
    uint32_t open = hs_caller_connections_count(watch->settings.connections[0]);
    if (step == HS_STEP_COMPLETE)
        hs_log_info("front_takes", "took_ms=%" G_GUINT64_FORMAT " connections=%u", (guint64)took_ms,
                    open);
    else
        hs_log_warning("front_takes_none", "step=%s took_ms=%" G_GUINT64_FORMAT " connections=%u",
                       hs_step_name(step), (guint64)took_ms, open);
}

static void try_once(hs_front_watch *watch) {
    const hs_front_watch_settings *settings = &watch->settings;
    uint64_t began_ms = hs_clock_monotonic_ms();
    hs_step step =
        hs_connection_probe_run(&settings->probe, began_ms + settings->contact_ms / TRY_PARTS);
    bool took = step == HS_STEP_COMPLETE;
    bool took_before = g_atomic_int_exchange(&watch->is_taking, took) != 0;
    if (took != took_before && g_atomic_int_get(&watch->leaving) == 0)
        log_word(watch, step, hs_clock_monotonic_ms() - began_ms);
}

static gpointer try_front(gpointer data) {
    hs_front_watch *watch = data;
    do {
        if (g_atomic_int_get(&watch->leaving) == 0)
            try_once(watch);
    } while (pause_for(watch, watch->settings.contact_ms / PAUSE_PARTS));
    return NULL;
}

static gpointer make_room(gpointer data) {
    hs_front_watch *watch = data;
    while (pause_for(watch, ROOM_PAUSE_MS)) {
        for (int index = 0; index < HS_WATCHED_LISTENERS_MOST; index++) {
            hs_caller_connections *connections = watch->settings.connections[index];
            uint32_t ended = connections != NULL ? hs_caller_connections_make_room(connections) : 0;
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
    watch->tries = g_thread_new("front-watch", try_front, watch);
    watch->room = g_thread_new("front-room", make_room, watch);
    return watch;
}

bool hs_front_watch_is_taking(hs_front_watch *watch) {
    return g_atomic_int_get(&watch->is_taking) != 0;
}

void hs_front_watch_leave(hs_front_watch *watch) {
    g_atomic_int_set(&watch->leaving, 1);
}

void hs_front_watch_stop(hs_front_watch *watch) {
    if (watch == NULL)
        return;
    g_mutex_lock(&watch->lock);
    watch->stopping = true;
    g_cond_broadcast(&watch->changed);
    g_mutex_unlock(&watch->lock);
    g_thread_join(watch->tries);
    g_thread_join(watch->room);
}

void hs_front_watch_free(hs_front_watch *watch) {
    if (watch == NULL)
        return;
    g_cond_clear(&watch->changed);
    g_mutex_clear(&watch->lock);
    g_free(watch);
}
