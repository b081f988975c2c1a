/**
 * @file multipart.h
 * Parts of a multipart/form-data body that is held whole. Pure.
 *
 * ulfius can parse multipart, but drops the connection of a broken body without an answer, where
 * the caller must get a 4xx; so the body is taken raw and cut here.
 */
#ifndef HS_HTTP_MULTIPART_H
#define HS_HTTP_MULTIPART_H

#include <stdbool.h>
#include <stddef.h>

/** A part; pointers into the body. */
typedef struct {
    const char *content;
    size_t length;
    char filename[128]; /**< Empty when none was given. */
} hs_multipart_part;

/** What was found of a part. */
typedef enum { HS_MULTIPART_FOUND, HS_MULTIPART_ABSENT, HS_MULTIPART_BROKEN } hs_multipart_result;

/** Find the part called @p name. A body that is not closed by its final boundary is broken. */
hs_multipart_result hs_multipart_find(const char *content_type, const char *body, size_t length,
                                      const char *name, hs_multipart_part *part);

#endif
