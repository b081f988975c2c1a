/** @file answer.c  See answer.h. */
#include "standin/engine/answer.h"

#include "base/hash.h"

#include <string.h>

static const char *const word_list[] = {"ledger",  "paper", "river",  "permit", "stock",  "north",
                                        "prairie", "quote", "season", "lake",   "school", "trout",
                                        "dealer",  "order", "county", "autumn"};

char *answer_prompt_text(const json_t *body) {
    const json_t *prompt = json_object_get(body, "prompt");
    if (json_is_string(prompt))
        return g_strdup(json_string_value(prompt));
    GString *joined = g_string_new(NULL);
    size_t index;
    json_t *message;
    json_array_foreach(json_object_get(body, "messages"), index, message) {
        const char *content = json_string_value(json_object_get(message, "content"));
        g_string_append_printf(joined, "%s%s", index > 0 ? "\n" : "",
                               content != NULL ? content : "");
    }
    return g_string_free(joined, FALSE);
}

char *answer_token(const char *prompt, uint32_t index) {
    char position[16];
    g_snprintf(position, sizeof position, "%u", index);
    uint64_t hash = hs_hash_pair(prompt, position);
    return g_strdup_printf("%s%u ", word_list[hash % G_N_ELEMENTS(word_list)],
                           (unsigned)(hash >> 32) % 1000U);
}

char *answer_text(const char *prompt, uint32_t token_count) {
    GString *text = g_string_new(NULL);
    for (uint32_t index = 0; index < token_count; index++) {
        g_autofree char *token = answer_token(prompt, index);
        g_string_append(text, token);
    }
    return g_string_free(text, FALSE);
}
