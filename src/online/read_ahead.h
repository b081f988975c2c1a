/**
 * @file read_ahead.h
 * Buffers streams whose callers don't read, within the memory budget, so that engines don't time
 * out on unread responses.
 *
 * The library thread of the caller processes the stream. While that thread is blocked on the
 * caller, one thread shared by all streams reads ahead; the shared thread never blocks on a stream,
 * sends nothing to callers and resumes no stream.
 */
#ifndef HS_ONLINE_READ_AHEAD_H
#define HS_ONLINE_READ_AHEAD_H

#include "http/client_connection.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct hs_read_ahead hs_read_ahead;

/** Read-ahead state of one stream, protected by its lock. Zero-initialise. */
typedef struct {
    GMutex lock;              /**< Held by the thread that processes the stream. */
    bool is_registered;       /**< Set by the library thread before it delivers the first byte. */
    uint64_t started_ms;      /**< Start of the stream. */
    uint64_t delivered_ms;    /**< Last delivery to the caller; 0: a delivery is in progress. */
    uint64_t delivered_bytes; /**< Total delivered to the caller. */
    uint64_t charged_bytes;   /**< Charged to the memory budget. */
    hs_step end_step;         /**< How reading ahead ended; HS_STEP_PROGRESS: it can continue. */
} hs_stream_state;

typedef struct {
    uint64_t read_ahead; /**< Streams of which at least one byte was read ahead. */
    uint64_t dropped; /**< Streams dropped since their readers were slowest at critical memory. */
} hs_read_ahead_counters;

/** Starts the read-ahead thread. Returns NULL if the thread can't be created. */
hs_read_ahead *hs_read_ahead_new(void);

/** Stops the thread and frees @p ahead. All streams must have been removed. NULL is allowed. */
void hs_read_ahead_free(hs_read_ahead *ahead);

/**
 * Add and remove a stream. @p request is an hs_online_request *, borrowed until its removal. The
 * caller must not hold the lock of the stream.
 */
void hs_read_ahead_add(hs_read_ahead *ahead, gpointer request);
void hs_read_ahead_remove(hs_read_ahead *ahead, gpointer request);

/** Returns the counters; all are zero if @p ahead is NULL. */
hs_read_ahead_counters hs_read_ahead_get_counters(hs_read_ahead *ahead);

#endif
