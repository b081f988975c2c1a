/**
 * @file read_ahead.h
 * Streams whose callers take no bytes are read on into memory, within the budget, so that their
 * engines do not cut them off.
 *
 * A stream is worked on by the library's thread of its caller, and, while that thread waits for the
 * caller to take bytes, by one thread for all streams. The latter never waits for a stream, sends
 * nothing and resumes nothing.
 */
#ifndef HS_ONLINE_READ_AHEAD_H
#define HS_ONLINE_READ_AHEAD_H

#include "http/client_connection.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct hs_read_ahead hs_read_ahead;

/** What reading ahead keeps of one stream. Zero-initialise; under its lock but for the lock. */
typedef struct {
    GMutex lock;           /**< Held by whoever works on the stream. */
    bool is_listed;        /**< Set before the first byte is handed on, by the library's thread. */
    uint64_t began_ms;     /**< When the stream began. */
    uint64_t handed_ms;    /**< When bytes were last handed on; 0: none since the reader began. */
    uint64_t handed_bytes; /**< In all. */
    uint64_t charged;      /**< To the budget. */
    hs_step broke;         /**< How reading ahead ended; HS_STEP_PROGRESS: it has not. */
} hs_stream_hold;

/** What was done so far. */
typedef struct {
    uint64_t read_ahead; /**< Streams of which any byte was read ahead. */
    uint64_t dropped;    /**< Streams of readers that were slowest while memory was critical. */
} hs_read_ahead_counters;

/** A thread that reads streams ahead; NULL, with a log line, where none is to be had. */
hs_read_ahead *hs_read_ahead_new(void);

/** All streams must have been removed. NULL is allowed. */
void hs_read_ahead_free(hs_read_ahead *ahead);

/** @p request: hs_online_request *, borrowed until it is removed. Its stream's lock is not held. */
void hs_read_ahead_add(hs_read_ahead *ahead, gpointer request);
void hs_read_ahead_remove(hs_read_ahead *ahead, gpointer request);

/** NULL: nothing was done. */
hs_read_ahead_counters hs_read_ahead_count(hs_read_ahead *ahead);

#endif
