/** @file auth.h  Reads the tenant of a request from its bearer token. */
#ifndef HS_HTTP_AUTH_H
#define HS_HTTP_AUTH_H

#include <ulfius.h>

/** Returns the tenant, borrowed from the request, or NULL if the token is missing or invalid. */
const char *hs_http_tenant(const struct _u_request *request);

#endif
