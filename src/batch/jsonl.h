/**
 * @file jsonl.h
 * Validates an uploaded JSONL file and splits the file into chunks. Does no I/O.
 */
#ifndef HS_BATCH_JSONL_H
#define HS_BATCH_JSONL_H

#include "heathsail/error.h"

#include <glib.h>
#include <jansson.h>
#include <stddef.h>
#include <stdint.h>

/** Limits and rules for a file. */
typedef struct {
    size_t max_line_bytes;
    uint32_t max_items;
    uint32_t chunk_items;
    size_t chunk_bytes;
    /** Validates a line's body; returns 0 if valid, else sets the error. */
    int (*check_body)(const json_t *body, const char *url, void *user_data, hs_error *error);
    void *user_data;
} hs_jsonl_rules;

/** A range of consecutive lines. */
typedef struct {
    size_t begin;  /**< Offset in the file, in bytes. */
    size_t length; /**< In bytes, with the newline of the last line. */
    uint32_t first_item;
    uint32_t item_count;
    GArray *run_once_items; /**< of uint32_t: indexes in the file */
} hs_jsonl_chunk;

typedef struct {
    GArray *chunks; /**< of hs_jsonl_chunk */
    uint32_t item_count;
    char *model;    /**< The same in every line. */
    char *endpoint; /**< The same in every line. */
} hs_jsonl_file;

/** Validates the whole text. An error contains the line number. Clear @p file in any case. */
int hs_jsonl_parse(const char *text, size_t length, const hs_jsonl_rules *rules,
                   hs_jsonl_file *file, hs_error *error);

void hs_jsonl_file_clear(hs_jsonl_file *file);

#endif
