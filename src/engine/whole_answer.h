/** @file whole_answer.h  Assembles a non-streaming response from the events of a stream. */
#ifndef HS_ENGINE_WHOLE_ANSWER_H
#define HS_ENGINE_WHOLE_ANSWER_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct {
    bool chat; /**< True: chat completion; false: text completion. */
    GString *text;
    uint32_t token_count;
    char finish_reason[24];
} hs_response_builder;

void hs_response_builder_init(hs_response_builder *builder, bool chat);
void hs_response_builder_clear(hs_response_builder *builder);

/** Adds one event of the stream. Token 0 discards the tokens of an earlier attempt. */
void hs_response_builder_add_event(hs_response_builder *builder, const json_t *event);

/** Returns the response's body. Owned by the caller. */
json_t *hs_response_builder_make_body(const hs_response_builder *builder, const char *id,
                                      const char *model, uint64_t created_s);

#endif
