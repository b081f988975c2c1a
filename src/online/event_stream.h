/**
 * @file event_stream.h
 * Splits a text/event-stream into whole events and tracks the id of the last one. Pure.
 *
 * Only whole events are forwarded: an engine may stop within an event, and the run that continues
 * at another engine sends that event again from its start.
 */
#ifndef HS_ONLINE_EVENT_STREAM_H
#define HS_ONLINE_EVENT_STREAM_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * The joined output of all runs of one request. Zero-initialise; set last_id to continue after a
 * known event.
 *
 * A run must start with the event that follows last_id; a stream that starts anywhere else is
 * rejected. All attempts of a request carry the same id, so only the first event id
 * distinguishes the response to this attempt from a delayed response to an earlier one (see also
 * hs_engine_lease_connect). Before the first event a stream may start with any id.
 */
typedef struct {
    bool has_last_id;
    uint64_t last_id;     /**< Id of the last whole event accepted. */
    bool out_of_order;    /**< An event of this run did not follow last_id; no more is accepted. */
    uint64_t rejected_id; /**< Id of the event that was out of order. */
    uint64_t event_count; /**< Events accepted in all runs. */
    uint64_t run_events;  /**< Events with data or an id that were accepted in this run. */
} hs_event_stream;

/**
 * Reports whether another run can continue the stream. A stream whose events have no ids can't be
 * continued, since repeated events couldn't be detected.
 */
bool hs_event_stream_can_resume(const hs_event_stream *stream);

/** Prepares for another run that continues after last_id and resets the order error. */
void hs_event_stream_begin_run(hs_event_stream *stream);

/**
 * Moves whole events from @p input to @p events (unchanged bytes) and, if @p texts is not NULL, the
 * data of each event to @p texts as a GString*, which the caller frees. An incomplete event stays
 * in @p input. Returns false if an event is out of order; the events before it are still moved.
 */
bool hs_event_stream_take(hs_event_stream *stream, GByteArray *input, GByteArray *events,
                          GPtrArray *texts);

#endif
