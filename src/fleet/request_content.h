/**
 * @file request_content.h
 * Identifies the content of a request by a hash that is equal on all daemons for requests that an
 * engine can't distinguish. Pure function.
 */
#ifndef HS_FLEET_REQUEST_CONTENT_H
#define HS_FLEET_REQUEST_CONTENT_H

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

#endif
