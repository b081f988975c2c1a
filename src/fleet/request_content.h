/**
 * @file request_content.h
 * What a request asks for, as one number: equal for requests that an engine cannot tell apart, at
 * all daemons, however often and wherever they come. Pure.
 */
#ifndef HS_FLEET_REQUEST_CONTENT_H
#define HS_FLEET_REQUEST_CONTENT_H

#include <stddef.h>
#include <stdint.h>

/** A request as it came. All borrowed. */
typedef struct {
    const char *method;
    const char *host;   /**< May be NULL: none. */
    const char *target; /**< Path and query. */
    const void *body;
    size_t body_length; /**< Bytes. */
} hs_request_content;

/**
 * Hash of method, host, target and body. Fields are left out: ids, times left and the event after
 * which a stream goes on differ from try to try of one request.
 */
uint64_t hs_request_content_hash(const hs_request_content *content);

#endif
