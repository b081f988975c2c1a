/**
 * @file chunk_reader.h
 * Reads items of uploaded files from the log by the offset of their chunk. Caches the most recently
 * read chunks, because the items of a grant are in the same chunk. Thread-safe.
 */
#ifndef HS_BATCH_CHUNK_READER_H
#define HS_BATCH_CHUNK_READER_H

#include "store/log_client.h"

#include <jansson.h>

typedef struct hs_chunk_reader hs_chunk_reader;

/** @p log is borrowed and must outlive the reader. */
hs_chunk_reader *hs_chunk_reader_new(const hs_log_client *log);
void hs_chunk_reader_free(hs_chunk_reader *reader);

/**
 * Returns the parsed item @p index of the chunk at @p offset, or NULL and an error. The caller owns
 * the reference.
 */
json_t *hs_chunk_reader_read_item(hs_chunk_reader *reader, const char *stream, uint64_t offset,
                                  uint32_t index, hs_error *error);

/**
 * Returns all lines of the chunk at @p offset, each terminated by a newline, or NULL and an error.
 * Free with g_free.
 */
char *hs_chunk_reader_read_text(hs_chunk_reader *reader, const char *stream, uint64_t offset,
                                hs_error *error);

#endif
