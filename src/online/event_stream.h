/**
 * @file event_stream.h
 * Cuts a text/event-stream into whole events and keeps the id of the last one. Pure.
 *
 * Only whole events are passed on: an engine may stop within one, and the run that goes on
 * elsewhere sends that event from its start.
 */
#ifndef HS_ONLINE_EVENT_STREAM_H
#define HS_ONLINE_EVENT_STREAM_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * What several runs of one request made, put together. Zero-initialise, then set last_id where it
 * goes on after an event.
 *
 * Each run goes on right after the event that it was asked to go on after; a run that begins
 * anywhere else is not taken, also where it begins earlier and what is known could be skipped. All
 * tries of a request carry one id: beside the rule that no connection carries a request twice
 * (hs_engine_lease_connect), the place at which an answer begins tells the answer to this try from
 * one to an earlier try. Where nothing was taken yet, there is nothing to join, and a stream may
 * begin with any id.
 */
typedef struct {
    bool has_last_id;
    uint64_t last_id; /**< Id of the last whole event taken. */
    bool
        out_of_order; /**< An event of this run does not follow the one before; no more is taken. */
    uint64_t refused_id; /**< Id of that event. */
    uint64_t event_count;
    uint64_t run_events; /**< Of this run, those with data or an id. */
} hs_event_stream;

/**
 * Whether another run can go on after what was taken. Not where events came without ids: the run
 * would begin anew, and what it repeats could not be told.
 */
bool hs_event_stream_can_go_on(const hs_event_stream *stream);

/** Another run of the request goes on after last_id; what the run before broke is forgotten. */
void hs_event_stream_begin_run(hs_event_stream *stream);

/**
 * Move whole events from @p input to @p events (bytes as they came) and, if not NULL, the data of
 * each to @p texts (of GString*, one an event). The rest stays in @p input. False when the order
 * broke; what was in order is moved all the same.
 */
bool hs_event_stream_take(hs_event_stream *stream, GByteArray *input, GByteArray *events,
                          GPtrArray *texts);

#endif
