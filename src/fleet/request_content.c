/** @file request_content.c  See request_content.h. */
#include "fleet/request_content.h"

#include "base/hash.h"

#include <glib.h>

uint64_t hs_request_content_hash(const hs_request_content *content) {
    const char *host = content->host != NULL ? content->host : "";
    uint64_t parts[] = {
        hs_hash_pair(content->method, host),
        hs_hash_pair(host, content->target),
        hs_hash_bytes(content->body_length > 0 ? content->body : "", content->body_length),
    };
    return hs_hash_bytes(parts, sizeof parts);
}
