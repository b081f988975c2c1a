/**
 * @file front_watch.h
 * Whether the front listener takes new connections, by asking it again and again, and room in all
 * listeners. A daemon that does not take connections must not say that it is ready.
 */
#ifndef HS_HTTP_FRONT_WATCH_H
#define HS_HTTP_FRONT_WATCH_H

#include "http/caller_connections.h"
#include "http/connection_probe.h"

/** Listeners of one daemon: callers, readiness, resolving, metrics, other daemons. */
#define HS_WATCHED_LISTENERS_MOST 5

typedef struct hs_front_watch hs_front_watch;

/** What is watched. All borrowed. */
typedef struct {
    hs_connection_probe probe; /**< Address 0: of a listener on all addresses. */
    hs_caller_connections *connections[HS_WATCHED_LISTENERS_MOST]; /**< Of listeners, the front's
                                                                      first; NULL: none. */
    uint32_t contact_ms; /**< Time within which a ready daemon takes a connection. */
} hs_front_watch_settings;

/** Start watching, in threads of its own. */
hs_front_watch *hs_front_watch_start(const hs_front_watch_settings *settings);

/** Whether the front took the last connection that was tried. */
bool hs_front_watch_is_taking(hs_front_watch *watch);

/** The front is about to take none any more: try no further ones. */
void hs_front_watch_leave(hs_front_watch *watch);

/** End its threads, before the listeners are freed; the word stands. NULL is allowed. */
void hs_front_watch_stop(hs_front_watch *watch);

/** Free once stopped, after the listeners that ask it are. NULL is allowed. */
void hs_front_watch_free(hs_front_watch *watch);

#endif
