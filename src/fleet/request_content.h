/**
 * @file request_content.h
 * Identifies the content of a request, and the parts of its prompt, by hashes that are equal on all
 * daemons for requests that an engine can't distinguish. Pure functions.
 */
#ifndef HS_FLEET_REQUEST_CONTENT_H
#define HS_FLEET_REQUEST_CONTENT_H

#include "heathsail/fleet.h"

#include <stddef.h>
#include <stdint.h>

/** Parts of a request that determine its content. All pointers are borrowed. */
typedef struct {
    const char *method;
    const char *host;   /**< NULL: none. */
    const char *target; /**< Path and query. */
    const void *body;
    size_t body_length; /**< Bytes. */
} hs_request_content;

/**
 * Returns the hash of method, host, target and body. Other header fields are not included, since
 * request ids, remaining times and the last received event differ between attempts of one request.
 */
uint64_t hs_request_content_hash(const hs_request_content *content);

#define HS_MAX_REQUEST_CONTENTS (1 + HS_MAX_PROMPT_PARTS)

/** What in a request may crash engines: each of it is judged by itself. */
typedef struct {
    uint32_t count; /**< At least 1. */
    /** The whole request, then the parts of its prompt, without duplicates. The last part is left
     * out, as it is the request's or its session's own. */
    uint64_t hashes[HS_MAX_REQUEST_CONTENTS];
} hs_request_contents;

/** Returns the contents of a request with this hash of the whole. @p size may be NULL. */
hs_request_contents hs_request_contents_make(uint64_t whole, const hs_request_size *size);

#endif
