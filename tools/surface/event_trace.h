/**
 * @file event_trace.h
 * Traces responses to the engine runs that produced them.
 *
 * A response may consist of several runs. It is correct if each event occurs once and in order, and
 * if each later run was resumed after the event that precedes it.
 */
#ifndef TOOLS_SURFACE_EVENT_TRACE_H
#define TOOLS_SURFACE_EVENT_TRACE_H

#include <glib.h>
#include <stdbool.h>

/** Result of a trace. */
typedef struct {
    char *fault;  /**< Description of the first fault; NULL: none. Free with g_free. */
    guint events; /**< Number of traced events. */
    guint joints; /**< Number of switches to another run within the response. */
} event_trace;

/**
 * Traces an item's text: the data of its events, separated by line feeds. If @p is_complete, the
 * text must end with the last event of an engine's stream.
 */
event_trace event_trace_text(const char *request_id, const char *text, bool is_complete);

/** Traces a stream's body, which may end within an event unless @p is_complete. */
event_trace event_trace_stream(const char *request_id, const char *body, bool is_complete);

#endif
