/**
 * @file json_reader.h
 * Parses JSON with jansson: a text as a whole, or value by value, so that a large text never exists
 * as a whole tree. Thread-safe if each thread has its own reader.
 */
#ifndef HS_BASE_JSON_READER_H
#define HS_BASE_JSON_READER_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>

/**
 * Values with more levels are malformed. jansson recurses for each level, also when it writes or
 * frees a value, and the threads that serve callers have small stacks.
 */
#define HS_MAX_JSON_LEVELS 256

/**
 * Parses an object or array. Returns NULL and sets @p error (may be NULL) if the text is malformed
 * or nested too deeply. Free with json_decref.
 */
json_t *hs_json_parse(const void *bytes, size_t length, json_error_t *error);

/** The part of a text that was not read yet. Borrowed bytes. */
typedef struct {
    const char *at;
    size_t left;
} hs_json_reader;

hs_json_reader hs_json_reader_make(const void *bytes, size_t length);

/** Skips white space, then reads @p token, such as '{' or ','. Returns false if it is not next. */
bool hs_json_reader_take(hs_json_reader *reader, char token);

/** Reads one value with all its parts. Returns NULL if it is malformed. Free with json_decref. */
json_t *hs_json_reader_read_value(hs_json_reader *reader);

/**
 * Skips an object or array that jansson rejects, such as one with an invalid text. Returns false if
 * none is next, or if its end is missing.
 */
bool hs_json_reader_skip_value(hs_json_reader *reader);

/**
 * Finds a member of an object, also of one that jansson rejects, and appends its text to @p text: a
 * byte that is no UTF-8 as it stands, an escaped surrogate as its three bytes. Returns false if the
 * object has no such member, or if that is no text.
 */
bool hs_json_reader_find_text(const hs_json_reader *object, const char *name, GByteArray *text);

/** Returns whether only white space is left. */
bool hs_json_reader_is_at_end(hs_json_reader *reader);

#endif
