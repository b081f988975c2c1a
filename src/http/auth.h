/** @file auth.h  The tenant a request names by its bearer token. */
#ifndef HS_HTTP_AUTH_H
#define HS_HTTP_AUTH_H

#include <ulfius.h>

/** The tenant, borrowed from the request; NULL when none or an unusable one is named. */
const char *hs_http_tenant(const struct _u_request *request);

#endif
