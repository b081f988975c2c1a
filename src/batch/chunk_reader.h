/**
 * @file chunk_reader.h
 * Items of uploaded files, read back from the log by the offset of their chunk. Keeps the last
 * few chunks, so that the items of one grant cost one read.
 */
#ifndef HS_BATCH_CHUNK_READER_H
#define HS_BATCH_CHUNK_READER_H

#include "store/log_client.h"

#include <jansson.h>

typedef struct hs_chunk_reader hs_chunk_reader;

/** @p log is borrowed. */
hs_chunk_reader *hs_chunk_reader_new(const hs_log_client *log);
void hs_chunk_reader_free(hs_chunk_reader *reader);

/** Item @p index within the chunk at @p offset, parsed; NULL when it cannot be read. Owned. */
json_t *hs_chunk_reader_item(hs_chunk_reader *reader, const char *stream, uint64_t offset,
                             uint32_t index, hs_error *error);

/** All lines of the chunk, each closed by a newline. Free with g_free; NULL on failure. */
char *hs_chunk_reader_text(hs_chunk_reader *reader, const char *stream, uint64_t offset,
                           hs_error *error);

#endif
