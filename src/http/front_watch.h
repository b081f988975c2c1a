/**
 * @file front_watch.h
 * Probes the front listener periodically, and ends idle connections of listeners that are close to
 * their connection limit. A daemon whose front listener accepts no connections must not report
 * itself ready. All functions are thread-safe, except stop and free.
 */
#ifndef HS_HTTP_FRONT_WATCH_H
#define HS_HTTP_FRONT_WATCH_H

#include "http/caller_connections.h"
#include "http/connection_probe.h"

/** Listeners of one daemon: front, readiness, resolving, metrics, other daemons. */
#define HS_MAX_WATCHED_LISTENERS 5

typedef struct hs_front_watch hs_front_watch;

/** What is watched. All pointers are borrowed. */
typedef struct {
    hs_connection_probe probe; /**< Address 0: the listener listens on all addresses. */
    /** Of each listener, the front listener first; NULL: no listener. */
    hs_caller_connections *connections[HS_MAX_WATCHED_LISTENERS];
    uint32_t contact_ms; /**< Time within which a ready daemon accepts a connection. */
} hs_front_watch_settings;

/** Starts the threads that probe and that end idle connections. */
hs_front_watch *hs_front_watch_start(const hs_front_watch_settings *settings);

/** Whether the last probe of the front listener succeeded. */
bool hs_front_watch_is_accepting(hs_front_watch *watch);

/** Stops probing, before the front listener stops accepting. The last result stays in force. */
void hs_front_watch_stop_probing(hs_front_watch *watch);

/**
 * Ends the threads; to be called before the listeners are freed. The last result stays readable.
 * NULL is allowed.
 */
void hs_front_watch_stop(hs_front_watch *watch);

/**
 * Frees a stopped watch; to be called after the listeners whose handlers read the result are freed.
 * NULL is allowed.
 */
void hs_front_watch_free(hs_front_watch *watch);

#endif
