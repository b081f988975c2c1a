/** @file json_reader.c  See json_reader.h. */
#include "base/json_reader.h"

#include <stdint.h>
#include <string.h>

static bool is_white_space(char byte) {
    return byte == ' ' || byte == '\t' || byte == '\n' || byte == '\r';
}

/**
 * Returns whether the value at the start of a text, after white space, has at most @p max_levels
 * levels. @p end: the length of an object or array that ends; 0: neither.
 */
static bool measure(const char *text, size_t length, size_t max_levels, size_t *end) {
    size_t levels = 0;
    *end = 0;
    bool is_in_string = false;
    for (size_t index = 0; index < length; index++) {
        char byte = text[index];
        if (is_in_string) {
            is_in_string = byte != '"';
            index += byte == '\\';
        } else if (byte == '[' || byte == '{') {
            if (++levels > max_levels)
                return false;
        } else if (byte == ']' || byte == '}') {
            *end = levels <= 1 ? index + 1 : 0;
            if (levels <= 1)
                return true;
            levels--;
        } else if (levels == 0 && !is_white_space(byte)) {
            return true;
        } else {
            is_in_string = byte == '"';
        }
    }
    return true;
}

static bool is_shallow(const char *text, size_t length) {
    size_t end = 0;
    return measure(text, length, HS_MAX_JSON_LEVELS, &end);
}

json_t *hs_json_parse(const void *bytes, size_t length, json_error_t *error) {
    if (is_shallow(bytes, length))
        return json_loadb(bytes, length, 0, error);
    if (error != NULL) {
        memset(error, 0, sizeof *error);
        strcpy(error->text, "nested too deeply");
    }
    return NULL;
}

hs_json_reader hs_json_reader_make(const void *bytes, size_t length) {
    return (hs_json_reader){.at = bytes, .left = length};
}

static void skip(hs_json_reader *reader, size_t length) {
    reader->at += length;
    reader->left -= length;
}

static void skip_white_space(hs_json_reader *reader) {
    while (reader->left > 0 && is_white_space(*reader->at))
        skip(reader, 1);
}

bool hs_json_reader_take(hs_json_reader *reader, char token) {
    skip_white_space(reader);
    if (reader->left == 0 || *reader->at != token)
        return false;
    skip(reader, 1);
    return true;
}

json_t *hs_json_reader_read_value(hs_json_reader *reader) {
    json_error_t end; /* On success, its position is the length of the value. */
    if (!is_shallow(reader->at, reader->left))
        return NULL;
    json_t *value =
        json_loadb(reader->at, reader->left, JSON_DECODE_ANY | JSON_DISABLE_EOF_CHECK, &end);
    if (value != NULL)
        skip(reader, (size_t)end.position);
    return value;
}

bool hs_json_reader_skip_value(hs_json_reader *reader) {
    size_t length = 0;
    skip_white_space(reader);
    measure(reader->at, reader->left, SIZE_MAX, &length);
    bool is_whole = length > 0 && (*reader->at == '[' || *reader->at == '{');
    skip(reader, is_whole ? length : 0);
    return is_whole;
}

bool hs_json_reader_is_at_end(hs_json_reader *reader) {
    skip_white_space(reader);
    return reader->left == 0;
}
