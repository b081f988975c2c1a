/**
 * @file http_exchange.h
 * A blocking HTTP client for single requests, based on libcurl. Thread-safe.
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

/**
 * Sends the request and fills @p answer. Returns whether a whole answer of any status was received;
 * otherwise the request may have been processed.
 */
bool hs_http_exchange(const hs_http_request *request, hs_http_answer *answer);

/** Receives bytes of a body. Returns false to abort the exchange. */
typedef bool (*hs_http_body_callback)(const void *bytes, size_t length, void *user_data);

/**
 * As hs_http_exchange, but passes the body of an answer of any status to @p on_body as it arrives.
 * @p status: the HTTP status; 0: no whole head was received.
 */
bool hs_http_stream(const hs_http_request *request, hs_http_body_callback on_body, void *user_data,
                    long *status);

/** Frees the strings of @p answer and zeroes the struct. */
void hs_http_answer_clear(hs_http_answer *answer);

#endif
