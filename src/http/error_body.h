/**
 * @file error_body.h
 * The body of error responses to callers: {"error": {"message", "type", "code", "executed"}}.
 */
#ifndef HS_HTTP_ERROR_BODY_H
#define HS_HTTP_ERROR_BODY_H

#include <stdbool.h>
#include <stdint.h>
#include <ulfius.h>

/** One error. The strings are borrowed. */
typedef struct {
    unsigned int status;
    const char *type;
    const char *code;
    const char *message;
    bool may_have_run; /**< executed is "unknown" if true; otherwise "no": certainly not run. */
    uint32_t retry_after_s; /**< 0: no Retry-After header. */
} hs_error_body;

/** Sets the response. Returns U_CALLBACK_COMPLETE. */
int hs_http_reply_error(struct _u_response *response, const hs_error_body *body);

/** Returns the error as JSON text, for an event in a stream. Free with g_free. */
char *hs_error_body_text(const hs_error_body *body);

#endif
