/** @file auth.c  See auth.h. */
#include "http/auth.h"

#include "base/visible_text.h"

#include <glib.h>
#include <string.h>

#define BEARER_PREFIX "Bearer "
#define MAX_TENANT_LENGTH 128

const char *hs_http_tenant(const struct _u_request *request) {
    const char *header = u_map_get_case(request->map_header, "Authorization");
    if (header == NULL || g_ascii_strncasecmp(header, BEARER_PREFIX, strlen(BEARER_PREFIX)) != 0)
        return NULL;
    const char *tenant = header + strlen(BEARER_PREFIX);
    return hs_text_is_visible(tenant, MAX_TENANT_LENGTH) ? tenant : NULL;
}
