/**
 * @file log_client.h
 * Port to the platform's append-only log: append, read from an offset, wait for more.
 *
 * Wire form. Append: POST of frames, each a 32-bit big-endian length and the record's bytes.
 * Read: the same frames, each preceded by its 64-bit big-endian offset. Offsets of a stream are
 * dense from 0. The log's order is the only arbiter of every single decision.
 */
#ifndef HS_PLATFORM_LOG_CLIENT_H
#define HS_PLATFORM_LOG_CLIENT_H

#include "heathsail/error.h"

#include <glib.h>
#include <stdint.h>

typedef struct {
    char *base_url;     /**< http://address:port of the platform. */
    uint32_t timeout_s; /**< Limit of one exchange, beyond a read's own wait. */
} hs_log_client;

/** A record as read; bytes point into the slice that holds it. */
typedef struct {
    uint64_t offset;
    const uint8_t *bytes;
    uint32_t length;
} hs_log_record;

/** What one read brought. Free with hs_log_slice_clear. */
typedef struct {
    GArray *records; /**< of hs_log_record */
    char *storage;
} hs_log_slice;

/** Append one frame to @p batch. */
void hs_log_frame_append(GByteArray *batch, const void *record, uint32_t length);

/**
 * Append the frames of @p batch as one contiguous run.
 * @return 0, HS_PLATFORM_REFUSED (nothing was done) or HS_PLATFORM_UNKNOWN (may have taken effect).
 */
int hs_log_append(const hs_log_client *client, const char *stream, const GByteArray *batch,
                  uint64_t *first_offset, hs_error *error);

/**
 * Read records from @p offset on, waiting at most @p wait_ms for the first.
 * An empty slice means that the stream ends at @p offset.
 */
int hs_log_read(const hs_log_client *client, const char *stream, uint64_t offset, uint32_t wait_ms,
                uint32_t max_bytes, hs_log_slice *slice, hs_error *error);

/** The offset the next record of the stream will get. */
int hs_log_end(const hs_log_client *client, const char *stream, uint64_t *end_offset,
               hs_error *error);

void hs_log_slice_clear(hs_log_slice *slice);

#endif
