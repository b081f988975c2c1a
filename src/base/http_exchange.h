/**
 * @file http_exchange.h
 * A blocking HTTP client for single requests, based on ulfius. Thread-safe.
 */
#ifndef HS_BASE_HTTP_EXCHANGE_H
#define HS_BASE_HTTP_EXCHANGE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** A request; the caller owns all pointers. */
typedef struct {
    const char *method;
    const char *url;
    const char *content_type; /**< NULL: no body. */
    const void *body;
    size_t body_length;
    uint32_t timeout_s;             /**< 0: no time-out. */
    const char *const *header_list; /**< Names and values in turn, NULL at the end; may be NULL. */
} hs_http_request;

/** An answer; free the strings with hs_http_answer_clear. */
typedef struct {
    long status; /**< HTTP status; 0: no answer was received. */
    char *body;  /**< NUL-terminated; NULL: no answer was received. */
    size_t body_length;
    char *etag;             /**< NULL: no ETag header. */
    uint32_t retry_after_s; /**< 0: no Retry-After header. */
} hs_http_answer;

/** Sends the request and fills @p answer. Returns whether an answer of any status was received. */
bool hs_http_exchange(const hs_http_request *request, hs_http_answer *answer);

/** Frees the strings of @p answer and zeroes the struct. */
void hs_http_answer_clear(hs_http_answer *answer);

#endif
