/**
 * @file multipart.h
 * Finds the parts of a complete multipart/form-data body. Pure functions.
 *
 * The multipart parser of ulfius is not used, because it closes the connection on a malformed body;
 * callers must get a 4xx response.
 */
#ifndef HS_HTTP_MULTIPART_H
#define HS_HTTP_MULTIPART_H

#include <stdbool.h>
#include <stddef.h>

/** A part. The content points into the body. */
typedef struct {
    const char *content;
    size_t length;
    char filename[128]; /**< Empty if the part has none. */
} hs_multipart_part;

/** Result of a search; HS_MULTIPART_BROKEN: the body is malformed. */
typedef enum { HS_MULTIPART_FOUND, HS_MULTIPART_ABSENT, HS_MULTIPART_BROKEN } hs_multipart_result;

/** Finds the part @p name. A body without its final boundary is malformed. */
hs_multipart_result hs_multipart_find(const char *content_type, const char *body, size_t length,
                                      const char *name, hs_multipart_part *part);

#endif
