/** @file refusal.h  The error answers that commands and queries share. */
#ifndef HS_HTTP_REFUSAL_H
#define HS_HTTP_REFUSAL_H

#include <stdint.h>
#include <ulfius.h>

/** 4xx: the caller's fault; nothing was accepted. */
int hs_refuse_invalid(struct _u_response *response, unsigned int status, const char *code,
                      const char *message);

/** 503 with Retry-After: certainly not run. */
int hs_refuse_unavailable(struct _u_response *response, const char *code, const char *message,
                          uint32_t retry_after_s);

/** 504: it may or may not have taken effect. */
int hs_refuse_unknown(struct _u_response *response, unsigned int status, const char *code,
                      const char *message);

#endif
