/** @file http_fields.c  See http_fields.h. */
#include "http/http_fields.h"

#include <string.h>

static const char *const hop_by_hop_names[] = {"Connection",
                                               "Keep-Alive",
                                               "Proxy-Connection",
                                               "Proxy-Authenticate",
                                               "Proxy-Authorization",
                                               "TE",
                                               "Trailer",
                                               "Transfer-Encoding",
                                               "Upgrade",
                                               "Expect"};

static void clear_field(gpointer data) {
    hs_http_field *field = data;
    g_free(field->name);
    g_free(field->value);
}

GArray *hs_http_fields_new(void) {
    GArray *fields = g_array_new(FALSE, FALSE, sizeof(hs_http_field));
    g_array_set_clear_func(fields, clear_field);
    return fields;
}

void hs_http_fields_free(GArray *fields) {
    if (fields != NULL)
        g_array_free(fields, TRUE);
}

void hs_http_fields_add(GArray *fields, const char *name, const char *value) {
    hs_http_field field = {.name = g_strdup(name), .value = g_strdup(value)};
    g_array_append_val(fields, field);
}

const char *hs_http_fields_find(const GArray *fields, const char *name) {
    for (guint index = 0; index < fields->len; index++) {
        const hs_http_field *field = &g_array_index(fields, hs_http_field, index);
        if (g_ascii_strcasecmp(field->name, name) == 0)
            return field->value;
    }
    return NULL;
}

static gboolean value_has_token(const char *value, const char *token) {
    g_auto(GStrv) parts = g_strsplit(value, ",", -1);
    for (int index = 0; parts[index] != NULL; index++)
        if (g_ascii_strcasecmp(g_strstrip(parts[index]), token) == 0)
            return TRUE;
    return FALSE;
}

gboolean hs_http_fields_has_token(const GArray *fields, const char *name, const char *token) {
    for (guint index = 0; index < fields->len; index++) {
        const hs_http_field *field = &g_array_index(fields, hs_http_field, index);
        if (g_ascii_strcasecmp(field->name, name) == 0 && value_has_token(field->value, token))
            return TRUE;
    }
    return FALSE;
}

gboolean hs_http_fields_is_hop_by_hop(const GArray *fields, const char *name) {
    for (gsize index = 0; index < G_N_ELEMENTS(hop_by_hop_names); index++)
        if (g_ascii_strcasecmp(hop_by_hop_names[index], name) == 0)
            return TRUE;
    return hs_http_fields_has_token(fields, "Connection", name);
}
