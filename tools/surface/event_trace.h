/**
 * @file event_trace.h
 * Traces what callers of the bench got back to the engines' runs that made it.
 *
 * An answer may be put together from several runs. It is right only where each event is there once
 * and in order, and where each run that goes on in it was asked to go on after the event before.
 */
#ifndef TOOLS_SURFACE_EVENT_TRACE_H
#define TOOLS_SURFACE_EVENT_TRACE_H

#include <glib.h>
#include <stdbool.h>

/** What a trace found. */
typedef struct {
    char *fault;  /**< NULL: all is right. Free with g_free. */
    guint events; /**< That were traced. */
    guint joints; /**< Places at which another run goes on. */
} event_trace;

/**
 * Trace an item's text: the data of its events, separated by line feeds. @p whole: it has to end
 * with the last event of an engine's stream.
 */
event_trace event_trace_text(const char *request_id, const char *text, bool whole);

/** Trace the body of a stream; where it is not @p whole it may end within an event. */
event_trace event_trace_stream(const char *request_id, const char *body, bool whole);

#endif
