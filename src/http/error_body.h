/**
 * @file error_body.h
 * The error answer to callers: {"error": {"message", "type", "code", "executed"}}.
 */
#ifndef HS_HTTP_ERROR_BODY_H
#define HS_HTTP_ERROR_BODY_H

#include <stdbool.h>
#include <stdint.h>
#include <ulfius.h>

typedef struct {
    unsigned int status;
    const char *type;
    const char *code;
    const char *message;
    bool may_have_run; /**< true: executed "unknown"; false: executed "no", and that is certain. */
    uint32_t retry_after_s; /**< 0: no Retry-After header. */
} hs_error_body;

/** Set the answer; returns U_CALLBACK_COMPLETE. */
int hs_http_reply_error(struct _u_response *response, const hs_error_body *body);

/** The error as JSON text, for an event inside a stream. Free with g_free. */
char *hs_error_body_text(const hs_error_body *body);

#endif
