/** @file multipart.c  See multipart.h. */
#include "http/multipart.h"

#include <glib.h>
#include <string.h>

#define HEADER_END "\r\n\r\n"
#define MAX_BOUNDARY_LENGTH 70

/** Returns "--" and the boundary of the content type, or NULL if it has none. Free with g_free. */
static char *delimiter_of(const char *content_type) {
    if (content_type == NULL || !g_str_has_prefix(content_type, "multipart/form-data"))
        return NULL;
    const char *parameter = strstr(content_type, "boundary=");
    if (parameter == NULL)
        return NULL;
    parameter += strlen("boundary=");
    bool quoted = *parameter == '"';
    size_t length = quoted ? strcspn(parameter + 1, "\"") : strcspn(parameter, "; \t");
    if (length == 0 || length > MAX_BOUNDARY_LENGTH)
        return NULL;
    return g_strdup_printf("--%.*s", (int)length, parameter + (quoted ? 1 : 0));
}

/** Copies the value of attribute="..." in a part's head. Returns false if absent or too long. */
static bool attribute_of(const char *head, size_t head_length, const char *attribute, char *value,
                         size_t value_size) {
    g_autofree char *text = g_strndup(head, head_length);
    g_autofree char *prefix = g_strdup_printf("; %s=\"", attribute);
    const char *found = strstr(text, prefix);
    if (found == NULL)
        return false;
    found += strlen(prefix);
    size_t length = strcspn(found, "\"");
    if (found[length] != '"' || length >= value_size)
        return false;
    memcpy(value, found, length);
    value[length] = '\0';
    return true;
}

/** Parses the part between two delimiters. Returns false if it has no head or no name. */
static bool read_part(const char *begin, const char *end, char *name, size_t name_size,
                      hs_multipart_part *part) {
    const char *head_end = memmem(begin, (size_t)(end - begin), HEADER_END, strlen(HEADER_END));
    if (head_end == NULL)
        return false;
    size_t head_length = (size_t)(head_end - begin);
    if (!attribute_of(begin, head_length, "name", name, name_size))
        return false;
    if (!attribute_of(begin, head_length, "filename", part->filename, sizeof part->filename))
        part->filename[0] = '\0';
    part->content = head_end + strlen(HEADER_END);
    part->length = (size_t)(end - part->content);
    return true;
}

hs_multipart_result hs_multipart_find(const char *content_type, const char *body, size_t length,
                                      const char *name, hs_multipart_part *part) {
    g_autofree char *delimiter = delimiter_of(content_type);
    if (delimiter == NULL || body == NULL)
        return HS_MULTIPART_BROKEN;
    size_t delimiter_length = strlen(delimiter);
    if (length < delimiter_length || memcmp(body, delimiter, delimiter_length) != 0)
        return HS_MULTIPART_BROKEN;
    g_autofree char *separator = g_strconcat("\r\n", delimiter, NULL);
    const char *limit = body + length;
    const char *begin = body + delimiter_length;
    hs_multipart_result result = HS_MULTIPART_ABSENT;
    while (limit - begin >= 2 && memcmp(begin, "--", 2) != 0) {
        const char *end = memmem(begin, (size_t)(limit - begin), separator, strlen(separator));
        char part_name[64];
        hs_multipart_part found = {0};
        if (end == NULL || !read_part(begin, end, part_name, sizeof part_name, &found))
            return HS_MULTIPART_BROKEN;
        if (strcmp(part_name, name) == 0) {
            *part = found;
            result = HS_MULTIPART_FOUND;
        }
        begin = end + strlen(separator);
    }
    return limit - begin >= 2 ? result : HS_MULTIPART_BROKEN;
}
