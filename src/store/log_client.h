/**
 * @file log_client.h
 * Client of the platform's append-only log: appends records and reads them from an offset, with
 * long polls. The functions may be called from any thread.
 *
 * Wire format. Append: POST of frames, each a 32-bit big-endian length and the record's bytes.
 * Read: the same frames, each preceded by its record's 64-bit big-endian offset. The offsets of a
 * stream are consecutive from 0. All readers see the records of a stream in the same order.
 */
#ifndef HS_STORE_LOG_CLIENT_H
#define HS_STORE_LOG_CLIENT_H

#include "heathsail/error.h"

#include <glib.h>
#include <stdint.h>

typedef struct {
    char *base_url;     /**< http://address:port of the platform. */
    uint32_t timeout_s; /**< Of one call; a read may take its wait time in addition. */
} hs_log_client;

/** A record that was read. Its bytes belong to the slice. */
typedef struct {
    uint64_t offset;
    const uint8_t *bytes;
    uint32_t length;
} hs_log_record;

/** The records of one read. Free the contents with hs_log_slice_clear. */
typedef struct {
    GArray *records; /**< Of hs_log_record. */
    char *storage;   /**< The response body. */
} hs_log_slice;

/** Adds one frame with @p record to @p batch. */
void hs_log_frame_append(GByteArray *batch, const void *record, uint32_t length);

/**
 * Appends the frames of @p batch at consecutive offsets.
 * @return 0 with @p first_offset set; HS_PLATFORM_REFUSED: nothing was appended;
 *         HS_PLATFORM_UNKNOWN or HS_PLATFORM_MALFORMED: the records may have been appended.
 */
int hs_log_append(const hs_log_client *client, const char *stream, const GByteArray *batch,
                  uint64_t *first_offset, hs_error *error);

/**
 * Reads records from @p offset on, at most about @p max_bytes, and waits up to @p wait_ms for the
 * first. An empty slice means that the stream ends at @p offset. On failure the slice is empty.
 * @return 0, HS_PLATFORM_REFUSED, HS_PLATFORM_UNKNOWN or HS_PLATFORM_MALFORMED.
 */
int hs_log_read(const hs_log_client *client, const char *stream, uint64_t offset, uint32_t wait_ms,
                uint32_t max_bytes, hs_log_slice *slice, hs_error *error);

/** Reads the offset that the stream's next record will get. Errors as for hs_log_read. */
int hs_log_get_end_offset(const hs_log_client *client, const char *stream, uint64_t *end_offset,
                          hs_error *error);

/** Frees the contents of @p slice, not the slice itself. */
void hs_log_slice_clear(hs_log_slice *slice);

#endif
