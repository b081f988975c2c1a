/** @file completion_check.c  See completion_check.h. */
#include "commands/completion_check.h"

#include "base/hash.h"

#include <string.h>

#define PREFIX_BYTES 256U

static int invalid(hs_error *error, const char *message) {
    return hs_error_set(error, HS_LAYER_HTTP, HS_INVALID, "%s", message);
}

static int check_messages(const json_t *messages, hs_error *error) {
    if (!json_is_array(messages) || json_array_size(messages) == 0)
        return invalid(error, "messages must be a non-empty array");
    size_t index;
    json_t *message;
    json_array_foreach(messages, index, message) {
        if (!json_is_string(json_object_get(message, "role")) ||
            !json_is_string(json_object_get(message, "content")))
            return invalid(error, "each message needs the strings role and content");
    }
    return 0;
}

int hs_completion_check(const json_t *body, bool chat, int64_t max_tokens, hs_error *error) {
    if (!json_is_object(body))
        return invalid(error, "the body must be a JSON object");
    const char *model = json_string_value(json_object_get(body, "model"));
    if (model == NULL || *model == '\0')
        return invalid(error, "model must be a non-empty string");
    const json_t *requested_tokens = json_object_get(body, "max_tokens");
    if (requested_tokens != NULL &&
        (!json_is_integer(requested_tokens) || json_integer_value(requested_tokens) < 1 ||
         json_integer_value(requested_tokens) > max_tokens))
        return hs_error_set(error, HS_LAYER_HTTP, HS_INVALID,
                            "max_tokens must be a whole number from 1 to %lld",
                            (long long)max_tokens);
    const json_t *stream = json_object_get(body, "stream");
    if (stream != NULL && !json_is_boolean(stream))
        return invalid(error, "stream must be true or false");
    const json_t *choice_count = json_object_get(body, "n");
    if (choice_count != NULL &&
        (!json_is_integer(choice_count) || json_integer_value(choice_count) != 1))
        return invalid(error, "n must be 1");
    if (chat)
        return check_messages(json_object_get(body, "messages"), error);
    if (!json_is_string(json_object_get(body, "prompt")))
        return invalid(error, "prompt must be a string");
    return 0;
}

uint64_t hs_completion_prefix_hash(const json_t *body, bool chat) {
    const json_t *text =
        chat ? json_object_get(json_array_get(json_object_get(body, "messages"), 0), "content")
             : json_object_get(body, "prompt");
    size_t length = json_string_length(text);
    if (length > PREFIX_BYTES)
        length = PREFIX_BYTES;
    return hs_hash_bytes(json_string_value(text), length) | 1U;
}
