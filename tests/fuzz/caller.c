/**
 * @file caller.c
 * Fuzz target: the request target and header fields of a caller, and the request head built from
 * them for an engine. The first line of the input is the target, the others are fields.
 */
#include "http/http_fields.h"
#include "platform/caller_codec.h"
#include "platform/engine_codec.h"
#include "tests/fuzz/fuzz.h"

#include <string.h>

static void read_target(const char *target) {
    char *id = NULL;
    char *zone = NULL;
    hs_platform_classify_call("GET", target, &id);
    g_free(id);
    id = NULL;
    hs_platform_classify_call("DELETE", target, &id);
    g_free(id);
    if (hs_platform_is_resolve(target, &zone))
        g_free(zone);
    hs_platform_is_ready(target);
    hs_platform_read_position(target);
    g_free(hs_platform_read_item_id(target));
    g_free(hs_platform_find_query_value(target, "name"));
}

static uint32_t count_lines(const char *text) {
    uint32_t count = 0;
    for (const char *end = strstr(text, "\r\n"); end != NULL; end = strstr(end + 2, "\r\n"))
        count++;
    return count;
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size) {
    g_autofree char *text = g_strndup((const char *)data, size);
    g_strdelimit(text, "\r", ' '); /* The HTTP library delivers none. */
    g_auto(GStrv) lines = g_strsplit(text, "\n", -1);
    GArray *fields = hs_http_fields_new();
    const char *target = lines[0] != NULL ? lines[0] : "";
    for (int index = 1; lines[0] != NULL && lines[index] != NULL; index++) {
        char *colon = strchr(lines[index], ':');
        if (colon == NULL)
            continue;
        *colon = '\0';
        hs_http_fields_add(fields, lines[index], colon + 1);
    }
    hs_caller_terms terms;
    read_target(target);
    hs_platform_read_terms(fields, &terms);
    FUZZ_CHECK(terms.host != NULL && terms.size.part_count <= HS_MAX_PROMPT_PARTS);
    hs_engine_request request = {.method = "POST",
                                 .target = target,
                                 .fields = fields,
                                 .request_id = terms.request_id,
                                 .engine_id = "e1",
                                 .timeout_ms = 5};
    GString *head = hs_platform_write_engine_head(&request);
    FUZZ_CHECK(g_str_has_suffix(head->str, "\r\n\r\n"));
    /* Request line, at most four fields of the daemon, empty line: no field may add two lines. */
    FUZZ_CHECK(count_lines(head->str) <= fields->len + 6);
    g_string_free(head, TRUE);
    hs_http_fields_free(fields);
    return 0;
}
