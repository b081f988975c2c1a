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

/** Why a stream accepts no more events of a run. */
typedef enum {
    HS_EVENT_ERROR_NONE,
    HS_EVENT_ERROR_ORDER,    /**< The event does not follow last_id. */
    HS_EVENT_ERROR_ID,       /**< Its id is no decimal number. */
    HS_EVENT_ERROR_ENCODING, /**< It is not valid UTF-8. */
    HS_EVENT_ERROR_LENGTH,   /**< It is longer than HS_EVENT_MAX_BYTES. */
} hs_event_error;

/** Maximum length of an event, its final blank line included. */
#define HS_EVENT_MAX_BYTES (1024U * 1024)

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
    hs_event_error error; /**< Of this run; if set, no more events are accepted. */
    uint64_t rejected_id; /**< Id of the event that was out of order. */
    uint64_t event_count; /**< Events accepted in all runs. */
    uint64_t run_events;  /**< Events with data or an id that were accepted in this run. */
    size_t scanned_bytes; /**< Leading bytes of the input that hold no end of an event. */
} hs_event_stream;

/** Returns the name of an error, for logs and metrics. */
const char *hs_event_error_name(hs_event_error error);

/**
 * Reports whether another run can continue the stream. A stream whose events have no ids can't be
 * continued, since repeated events couldn't be detected.
 */
bool hs_event_stream_can_resume(const hs_event_stream *stream);

/** Prepares for another run, with new input, that continues after last_id; resets the error. */
void hs_event_stream_begin_run(hs_event_stream *stream);

/**
 * Moves whole events from @p input to @p events (unchanged bytes) and, if @p texts is not NULL, the
 * data of each event to @p texts as a GString*, which the caller frees. An incomplete event stays
 * in @p input; further bytes may be appended to it. Returns false if an event is rejected (see
 * error); the events before it are still moved.
 */
bool hs_event_stream_take(hs_event_stream *stream, GByteArray *input, GByteArray *events,
                          GPtrArray *texts);

#endif
