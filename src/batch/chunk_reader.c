/** @file chunk_reader.c  See chunk_reader.h. */
#include "batch/chunk_reader.h"

#include "base/json_reader.h"
#include "gen/record.pb-c.h"

#include <string.h>

#define MAX_CACHED_CHUNKS 16

typedef struct {
    char *stream;
    uint64_t offset;
    char *text;
} cached_chunk;

struct hs_chunk_reader {
    const hs_log_client *log;
    GMutex lock;
    GPtrArray *chunks; /**< of cached_chunk*, most recently read last; guarded by lock */
};

static void free_chunk(gpointer data) {
    cached_chunk *chunk = data;
    g_free(chunk->stream);
    g_free(chunk->text);
    g_free(chunk);
}

hs_chunk_reader *hs_chunk_reader_new(const hs_log_client *log) {
    hs_chunk_reader *reader = g_new0(hs_chunk_reader, 1);
    reader->log = log;
    reader->chunks = g_ptr_array_new_with_free_func(free_chunk);
    g_mutex_init(&reader->lock);
    return reader;
}

void hs_chunk_reader_free(hs_chunk_reader *reader) {
    g_ptr_array_free(reader->chunks, TRUE);
    g_mutex_clear(&reader->lock);
    g_free(reader);
}

/** Reads a chunk from the log. Returns NULL and an error if there is no chunk at @p offset. */
static char *read_lines(hs_chunk_reader *reader, const char *stream, uint64_t offset,
                        hs_error *error) {
    hs_log_slice slice;
    if (hs_log_read(reader->log, stream, offset, 0, 1, &slice, error) != 0)
        return NULL;
    char *lines = NULL;
    if (slice.records->len > 0) {
        const hs_log_record *raw = &g_array_index(slice.records, hs_log_record, 0);
        Hs__PartitionRecord *record = hs__partition_record__unpack(NULL, raw->length, raw->bytes);
        if (record != NULL && record->kind_case == HS__PARTITION_RECORD__KIND_FILE_CHUNK)
            lines = g_strndup((const char *)record->file_chunk->lines.data,
                              record->file_chunk->lines.len);
        if (record != NULL)
            hs__partition_record__free_unpacked(record, NULL);
    }
    hs_log_slice_clear(&slice);
    if (lines == NULL)
        hs_error_set(error, HS_LAYER_BATCH, HS_NOT_FOUND, "no chunk at this offset");
    return lines;
}

/** Returns a copy of the cached text, or NULL. */
static char *find_cached_text(hs_chunk_reader *reader, const char *stream, uint64_t offset) {
    char *text = NULL;
    g_mutex_lock(&reader->lock);
    for (guint index = 0; index < reader->chunks->len && text == NULL; index++) {
        const cached_chunk *chunk = reader->chunks->pdata[index];
        if (chunk->offset == offset && strcmp(chunk->stream, stream) == 0)
            text = g_strdup(chunk->text);
    }
    g_mutex_unlock(&reader->lock);
    return text;
}

static void cache_text(hs_chunk_reader *reader, const char *stream, uint64_t offset,
                       const char *text) {
    cached_chunk *chunk = g_new0(cached_chunk, 1);
    chunk->stream = g_strdup(stream);
    chunk->offset = offset;
    chunk->text = g_strdup(text);
    g_mutex_lock(&reader->lock);
    g_ptr_array_add(reader->chunks, chunk);
    if (reader->chunks->len > MAX_CACHED_CHUNKS)
        g_ptr_array_remove_index(reader->chunks, 0);
    g_mutex_unlock(&reader->lock);
}

char *hs_chunk_reader_read_text(hs_chunk_reader *reader, const char *stream, uint64_t offset,
                                hs_error *error) {
    char *text = find_cached_text(reader, stream, offset);
    if (text != NULL)
        return text;
    text = read_lines(reader, stream, offset, error);
    if (text != NULL)
        cache_text(reader, stream, offset, text);
    return text;
}

json_t *hs_chunk_reader_read_item(hs_chunk_reader *reader, const char *stream, uint64_t offset,
                                  uint32_t index, hs_error *error) {
    g_autofree char *text = hs_chunk_reader_read_text(reader, stream, offset, error);
    if (text == NULL)
        return NULL;
    const char *line = text;
    for (uint32_t skipped = 0; skipped < index && line != NULL; skipped++) {
        line = strchr(line, '\n');
        line = line != NULL ? line + 1 : NULL;
    }
    const char *end = line != NULL ? strchr(line, '\n') : NULL;
    json_t *item = end != NULL ? hs_json_parse(line, (size_t)(end - line), NULL) : NULL;
    if (item == NULL)
        hs_error_set(error, HS_LAYER_BATCH, HS_NOT_FOUND, "no item %u in this chunk", index);
    return item;
}
