/**
 * @file http_fields.h
 * A list of header fields that keeps their order and repeated fields, which a map would lose. Not
 * thread-safe.
 */
#ifndef HS_HTTP_HTTP_FIELDS_H
#define HS_HTTP_HTTP_FIELDS_H

#include <glib.h>

typedef struct {
    char *name;
    char *value;
} hs_http_field;

/** Returns an empty list of hs_http_field. Free with hs_http_fields_free. */
GArray *hs_http_fields_new(void);

/** Frees the list and its fields. NULL is allowed. */
void hs_http_fields_free(GArray *fields);

/** Appends a copy of a field. */
void hs_http_fields_add(GArray *fields, const char *name, const char *value);

/** Returns the first value of field @p name (case-insensitive), or NULL. Borrowed. */
const char *hs_http_fields_find(const GArray *fields, const char *name);

/** Whether any field @p name has @p token in its comma-separated value (case-insensitive). */
gboolean hs_http_fields_has_token(const GArray *fields, const char *name, const char *token);

/**
 * Whether field @p name applies to a single connection and is not forwarded: one of the standard
 * hop-by-hop fields, or listed in the Connection field of @p fields.
 */
gboolean hs_http_fields_is_hop_by_hop(const GArray *fields, const char *name);

#endif
