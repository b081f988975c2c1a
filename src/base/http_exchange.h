/** @file http_exchange.h  One HTTP request and its whole answer, through ulfius's client. */
#ifndef HS_BASE_HTTP_EXCHANGE_H
#define HS_BASE_HTTP_EXCHANGE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef struct {
    const char *method;
    const char *url;
    const char *content_type; /**< NULL: no body. */
    const void *body;
    size_t body_length;
    uint32_t timeout_s;             /**< 0: no limit. */
    const char *const *header_list; /**< name, value, name, value, NULL; may be NULL. */
} hs_http_request;

/** An answer; free its parts with hs_http_answer_clear. */
typedef struct {
    long status; /**< 0: no answer came. */
    char *body;  /**< NUL-terminated copy. */
    size_t body_length;
    char *etag; /**< ETag header or NULL. */
    uint32_t retry_after_s;
} hs_http_answer;

/** True when an answer of any status came. */
bool hs_http_exchange(const hs_http_request *request, hs_http_answer *answer);

void hs_http_answer_clear(hs_http_answer *answer);

#endif
