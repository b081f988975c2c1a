/** @file refusal.c  See refusal.h. */
#include "http/refusal.h"

#include "http/error_body.h"

#define UNAVAILABLE 503

int hs_refuse_invalid(struct _u_response *response, unsigned int status, const char *code,
                      const char *message) {
    return hs_http_reply_error(response, &(hs_error_body){.status = status,
                                                          .type = "invalid_request_error",
                                                          .code = code,
                                                          .message = message});
}

int hs_refuse_unavailable(struct _u_response *response, const char *code, const char *message,
                          uint32_t retry_after_s) {
    return hs_http_reply_error(response, &(hs_error_body){.status = UNAVAILABLE,
                                                          .type = "unavailable",
                                                          .code = code,
                                                          .message = message,
                                                          .retry_after_s = retry_after_s});
}

int hs_refuse_outcome_unknown(struct _u_response *response, unsigned int status, const char *code,
                              const char *message) {
    return hs_http_reply_error(response, &(hs_error_body){.status = status,
                                                          .type = "outcome_unknown",
                                                          .code = code,
                                                          .message = message,
                                                          .may_have_run = true});
}
