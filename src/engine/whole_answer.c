/** @file whole_answer.c  See whole_answer.h. */
#include "engine/whole_answer.h"

void hs_response_builder_init(hs_response_builder *builder, bool chat) {
    *builder = (hs_response_builder){.chat = chat, .text = g_string_new(NULL)};
}

void hs_response_builder_clear(hs_response_builder *builder) {
    g_string_free(builder->text, TRUE);
}

static void discard_tokens(hs_response_builder *builder) {
    g_string_truncate(builder->text, 0);
    builder->token_count = 0;
    builder->finish_reason[0] = '\0';
}

void hs_response_builder_add_event(hs_response_builder *builder, const json_t *event) {
    if (json_integer_value(json_object_get(event, "token_index")) == 0)
        discard_tokens(builder);
    const json_t *choice = json_array_get(json_object_get(event, "choices"), 0);
    const json_t *piece = builder->chat
                              ? json_object_get(json_object_get(choice, "delta"), "content")
                              : json_object_get(choice, "text");
    const char *finish = json_string_value(json_object_get(choice, "finish_reason"));
    if (json_is_string(piece))
        g_string_append(builder->text, json_string_value(piece));
    if (finish != NULL)
        g_strlcpy(builder->finish_reason, finish, sizeof builder->finish_reason);
    builder->token_count++;
}

json_t *hs_response_builder_make_body(const hs_response_builder *builder, const char *id,
                                      const char *model, uint64_t created_s) {
    json_t *choice =
        builder->chat
            ? json_pack("{s:i,s:{s:s,s:s},s:s}", "index", 0, "message", "role", "assistant",
                        "content", builder->text->str, "finish_reason", builder->finish_reason)
            : json_pack("{s:i,s:s,s:s}", "index", 0, "text", builder->text->str, "finish_reason",
                        builder->finish_reason);
    return json_pack("{s:s,s:s,s:I,s:s,s:[o],s:{s:I}}", "id", id, "object",
                     builder->chat ? "chat.completion" : "text_completion", "created",
                     (json_int_t)created_s, "model", model, "choices", choice, "usage",
                     "completion_tokens", (json_int_t)builder->token_count);
}
