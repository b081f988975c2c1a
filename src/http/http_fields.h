/**
 * @file http_fields.h
 * Header fields in the order they came, with those that come twice; a map would keep only one.
 */
#ifndef HS_HTTP_HTTP_FIELDS_H
#define HS_HTTP_HTTP_FIELDS_H

#include <glib.h>

typedef struct {
    char *name;
    char *value;
} hs_http_field;

/** Make an empty list; free with hs_http_fields_free. */
GArray *hs_http_fields_new(void);

/** NULL is allowed. */
void hs_http_fields_free(GArray *fields);

/** Append a copy of a field. */
void hs_http_fields_add(GArray *fields, const char *name, const char *value);

/** First value under @p name, whatever its case, or NULL. Borrowed. */
const char *hs_http_fields_find(const GArray *fields, const char *name);

/** Whether @p token stands in the comma-separated value of some field @p name. */
gboolean hs_http_fields_has_token(const GArray *fields, const char *name, const char *token);

/** Whether a field concerns one connection only and is not passed on, named by @p fields too. */
gboolean hs_http_fields_is_hop_by_hop(const GArray *fields, const char *name);

#endif
