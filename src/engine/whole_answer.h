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
} hs_whole_answer;

void hs_whole_answer_init(hs_whole_answer *builder, bool chat);
void hs_whole_answer_clear(hs_whole_answer *builder);

/** Adds one event of the stream. Token 0 discards the tokens of an earlier attempt. */
void hs_whole_answer_add(hs_whole_answer *builder, const json_t *event);

/** Returns the response's body. Owned by the caller. */
json_t *hs_whole_answer_body(const hs_whole_answer *builder, const char *id, const char *model,
                             uint64_t created_s);

#endif
