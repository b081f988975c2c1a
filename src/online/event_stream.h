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

/** Zero-initialise, then set last_id where the stream goes on after an event. */
typedef struct {
    bool has_last_id;
    uint64_t last_id;  /**< Id of the last whole event taken. */
    bool expects_next; /**< The next event must follow last_id at once. */
    bool out_of_order; /**< An event came that does not follow the one before. */
    uint64_t event_count;
} hs_event_stream;

/**
 * Move whole events from @p input to @p events (bytes as they came) and, if not NULL, the data of
 * each to @p texts (of GString*, one an event). Events at or before last_id are skipped. The rest
 * stays in @p input. False when the order broke; what was in order is moved all the same.
 */
bool hs_event_stream_take(hs_event_stream *stream, GByteArray *input, GByteArray *events,
                          GPtrArray *texts);

#endif
