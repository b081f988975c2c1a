/** @file endpoint.c  See endpoint.h. */
#include "base/endpoint.h"

#include <glib.h>
#include <string.h>

#define MAX_PORT 65535

uint32_t hs_endpoint_parse_address(const char *host) {
    struct in_addr number;
    return inet_pton(AF_INET, host, &number) == 1 ? ntohl(number.s_addr) : 0;
}

bool hs_endpoint_parse(const char *text, hs_endpoint *endpoint) {
    memset(endpoint, 0, sizeof *endpoint);
    const char *colon = text != NULL ? strchr(text, ':') : NULL;
    if (colon == NULL || (gsize)(colon - text) >= sizeof endpoint->host)
        return false;
    hs_endpoint parsed = {0};
    guint64 port = 0;
    g_strlcpy(parsed.host, text, (gsize)(colon - text) + 1);
    struct in_addr number;
    if (inet_pton(AF_INET, parsed.host, &number) != 1 ||
        !g_ascii_string_to_unsigned(colon + 1, 10, 1, MAX_PORT, &port, NULL))
        return false;
    parsed.address = ntohl(number.s_addr);
    parsed.port = (uint16_t)port;
    *endpoint = parsed;
    return true;
}
