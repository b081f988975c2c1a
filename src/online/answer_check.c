/** @file answer_check.c  See answer_check.h. */
#include "online/answer_check.h"

#include "base/utf8.h"
#include "http/http_fields.h"

#include <string.h>

/** Returns whether a Content-Type says that the body is UTF-8. */
static bool is_utf8_type(const char *content_type) {
    g_autofree char *lower = g_ascii_strdown(content_type, -1);
    char *parameters = strchr(lower, ';');
    if (parameters != NULL)
        *parameters++ = '\0';
    g_strstrip(lower);
    if (strcmp(lower, "application/json") == 0 || g_str_has_suffix(lower, "+json") ||
        strcmp(lower, "text/event-stream") == 0)
        return true;
    return parameters != NULL && (strstr(parameters, "charset=utf-8") != NULL ||
                                  strstr(parameters, "charset=\"utf-8\"") != NULL);
}

bool hs_answer_check_is_encoding_valid(const GArray *fields, const GByteArray *body) {
    const char *content_type = hs_http_fields_find(fields, "Content-Type");
    return content_type == NULL || !is_utf8_type(content_type) ||
           hs_http_fields_find(fields, "Content-Encoding") != NULL ||
           hs_utf8_is_valid(body->data, body->len);
}
