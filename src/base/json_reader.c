/** @file json_reader.c  See json_reader.h. */
#include "base/json_reader.h"

#include <stdint.h>
#include <string.h>

#define CODE_UNIT_DIGITS 4
#define SURROGATE_MASK 0xfffffc00U
#define FIRST_SURROGATE 0xd800U
#define SECOND_SURROGATE 0xdc00U

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

/** Reads the four hexadecimal digits of an escape. Returns false if they are missing. */
static bool read_code_unit(hs_json_reader *reader, gunichar *unit) {
    *unit = 0;
    if (reader->left < CODE_UNIT_DIGITS)
        return false;
    for (int digit = 0; digit < CODE_UNIT_DIGITS; digit++) {
        int value = g_ascii_xdigit_value(reader->at[digit]);
        if (value < 0)
            return false;
        *unit = *unit << 4 | (gunichar)value;
    }
    skip(reader, CODE_UNIT_DIGITS);
    return true;
}

/** Reads the second unit of a surrogate pair, if it is next, and replaces the first by the pair. */
static void read_second_unit(hs_json_reader *reader, gunichar *character) {
    hs_json_reader ahead = *reader;
    gunichar second = 0;
    if ((*character & SURROGATE_MASK) != FIRST_SURROGATE || ahead.left < 2 || ahead.at[0] != '\\' ||
        ahead.at[1] != 'u')
        return;
    skip(&ahead, 2);
    if (!read_code_unit(&ahead, &second) || (second & SURROGATE_MASK) != SECOND_SURROGATE)
        return;
    *character = 0x10000 + ((*character - FIRST_SURROGATE) << 10) + (second - SECOND_SURROGATE);
    *reader = ahead;
}

/** Reads an escape after its backslash. Returns false if it is malformed. */
static bool read_escape(hs_json_reader *reader, GByteArray *text) {
    static const char codes[] = "\"\\/bfnrt";
    static const char bytes[] = "\"\\/\b\f\n\r\t";
    char code = reader->left > 0 ? *reader->at : '\0';
    const char *found = code != '\0' ? strchr(codes, code) : NULL;
    if (found == NULL && code != 'u')
        return false;
    skip(reader, 1);
    if (found != NULL) {
        g_byte_array_append(text, (const guint8 *)bytes + (found - codes), 1);
        return true;
    }
    gunichar character = 0;
    char encoded[6];
    if (!read_code_unit(reader, &character))
        return false;
    read_second_unit(reader, &character);
    g_byte_array_append(text, (const guint8 *)encoded,
                        (guint)g_unichar_to_utf8(character, encoded));
    return true;
}

/** Appends the bytes of the text that is next. Returns false if none is, or if its end is missing.
 */
static bool read_text(hs_json_reader *reader, GByteArray *text) {
    if (!hs_json_reader_take(reader, '"'))
        return false;
    while (reader->left > 0) {
        char byte = *reader->at;
        skip(reader, 1);
        if (byte == '"')
            return true;
        if (byte != '\\')
            g_byte_array_append(text, (const guint8 *)&byte, 1);
        else if (!read_escape(reader, text))
            return false;
    }
    return false;
}

/** Skips a value of any kind. Returns false if it has no end. */
static bool skip_any(hs_json_reader *reader) {
    g_autoptr(GByteArray) text = g_byte_array_new();
    skip_white_space(reader);
    if (reader->left > 0 && *reader->at == '"')
        return read_text(reader, text);
    if (reader->left > 0 && (*reader->at == '[' || *reader->at == '{'))
        return hs_json_reader_skip_value(reader);
    while (reader->left > 0 && *reader->at != ',' && *reader->at != '}')
        skip(reader, 1);
    return reader->left > 0;
}

bool hs_json_reader_find_text(const hs_json_reader *object, const char *name, GByteArray *text) {
    hs_json_reader reader = *object;
    bool is_valid = hs_json_reader_take(&reader, '{');
    while (is_valid) {
        g_autoptr(GByteArray) found = g_byte_array_new();
        if (!read_text(&reader, found) || !hs_json_reader_take(&reader, ':'))
            return false;
        if (found->len == strlen(name) && memcmp(found->data, name, found->len) == 0)
            return read_text(&reader, text);
        is_valid = skip_any(&reader) && hs_json_reader_take(&reader, ',');
    }
    return false;
}

bool hs_json_reader_is_at_end(hs_json_reader *reader) {
    skip_white_space(reader);
    return reader->left == 0;
}
