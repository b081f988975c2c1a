/**
 * @file front_watch.h
 * Whether the front listener takes new connections, by asking it again and again, and room in all
 * listeners. A daemon that does not take connections must not say that it is ready.
 */
#ifndef HS_SURFACE_FRONT_WATCH_H
#define HS_SURFACE_FRONT_WATCH_H

#include "base/endpoint.h"
#include "http/listener.h"

#define HS_WATCHED_LISTENERS_MOST 5

typedef struct hs_front_watch hs_front_watch;

/** What is watched. Listeners are borrowed; the first one is the front, others may be NULL. */
typedef struct {
    hs_listener *listeners[HS_WATCHED_LISTENERS_MOST];
    hs_endpoint front;
    uint32_t contact_ms; /**< Time within which a ready daemon takes a connection. */
} hs_front_watch_settings;

/** Start watching, in threads of its own. */
hs_front_watch *hs_front_watch_start(const hs_front_watch_settings *settings);

/** Whether the front took the last connection that was tried. */
bool hs_front_watch_is_taking(hs_front_watch *watch);

/** The front is about to take none any more: try no further ones. */
void hs_front_watch_leave(hs_front_watch *watch);

/** Stop and free, before the listeners are. NULL is allowed. */
void hs_front_watch_stop(hs_front_watch *watch);

#endif
