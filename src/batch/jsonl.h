/**
 * @file jsonl.h
 * Checking of an uploaded JSONL file and its cutting into chunks. Pure.
 */
#ifndef HS_BATCH_JSONL_H
#define HS_BATCH_JSONL_H

#include "heathsail/error.h"

#include <glib.h>
#include <jansson.h>
#include <stddef.h>
#include <stdint.h>

typedef struct {
    size_t max_line_bytes;
    uint32_t max_items;
    uint32_t chunk_items;
    size_t chunk_bytes;
    /** Rules of a line's body; returns 0 when it keeps them. */
    int (*check_body)(const json_t *body, const char *url, void *user_data, hs_error *error);
    void *user_data;
} hs_jsonl_rules;

/** A run of lines; @c begin points into the checked text. */
typedef struct {
    size_t begin;
    size_t length;
    uint32_t first_item;
    uint32_t item_count;
    GArray *run_once_items; /**< of uint32_t */
} hs_jsonl_chunk;

typedef struct {
    GArray *chunks; /**< of hs_jsonl_chunk */
    uint32_t item_count;
    char *model;
    char *endpoint;
} hs_jsonl_file;

/** Check the whole text; the error names the line. Clear @p file in any case. */
int hs_jsonl_read(const char *text, size_t length, const hs_jsonl_rules *rules, hs_jsonl_file *file,
                  hs_error *error);

void hs_jsonl_file_clear(hs_jsonl_file *file);

#endif
