/** @file request_content.c  See request_content.h. */
#include "fleet/request_content.h"

#include "base/hash.h"

#include <glib.h>
#include <stdbool.h>

/** Keeps the hashes of parts apart from those of whole requests. */
#define PROMPT_PART_TAG 0x7061727473ULL

uint64_t hs_request_content_hash(const hs_request_content *content) {
    const char *host = content->host != NULL ? content->host : "";
    uint64_t parts[] = {
        hs_hash_pair(content->method, host),
        hs_hash_pair(host, content->target),
        hs_hash_bytes(content->body_length > 0 ? content->body : "", content->body_length),
    };
    return hs_hash_bytes(parts, sizeof parts);
}

static void add_content(hs_request_contents *contents, uint64_t hash) {
    bool is_known = false;
    for (uint32_t index = 0; index < contents->count && !is_known; index++)
        is_known = contents->hashes[index] == hash;
    if (!is_known)
        contents->hashes[contents->count++] = hash;
}

hs_request_contents hs_request_contents_make(uint64_t whole, const hs_request_size *size) {
    hs_request_contents contents = {.count = 1, .hashes = {whole}};
    uint32_t part_count = size != NULL ? size->part_count : 0;
    if (part_count > 0 && !size->has_more_parts)
        part_count--;
    for (uint32_t index = 0; index < part_count; index++) {
        uint64_t pair[2] = {PROMPT_PART_TAG, size->parts[index].id};
        add_content(&contents, hs_hash_bytes(pair, sizeof pair));
    }
    return contents;
}
