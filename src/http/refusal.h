/** @file refusal.h  Error responses of commands and queries. All return U_CALLBACK_COMPLETE. */
#ifndef HS_HTTP_REFUSAL_H
#define HS_HTTP_REFUSAL_H

#include <stdint.h>
#include <ulfius.h>

/** Responds with a 4xx status: the request is invalid and had no effect. */
int hs_refuse_invalid(struct _u_response *response, unsigned int status, const char *code,
                      const char *message);

/** Responds with 503 and Retry-After: the request certainly had no effect. */
int hs_refuse_unavailable(struct _u_response *response, const char *code, const char *message,
                          uint32_t retry_after_s);

/** Responds with @p status (504): the request may or may not have taken effect. */
int hs_refuse_outcome_unknown(struct _u_response *response, unsigned int status, const char *code,
                              const char *message);

#endif
