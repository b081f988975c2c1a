/** @file whole_answer.h  Collects a stream's tokens into the one answer of a plain request. */
#ifndef HS_ENGINE_WHOLE_ANSWER_H
#define HS_ENGINE_WHOLE_ANSWER_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct {
    bool chat;
    GString *text;
    uint32_t token_count;
    char finish_reason[24];
} hs_whole_answer;

void hs_whole_answer_init(hs_whole_answer *answer, bool chat);
void hs_whole_answer_clear(hs_whole_answer *answer);

/** Add one event of the stream. Token 0 begins an attempt and drops what another one left. */
void hs_whole_answer_add(hs_whole_answer *answer, const json_t *event);

/** The answer's body under @p id. The caller owns it. */
json_t *hs_whole_answer_body(const hs_whole_answer *answer, const char *id, const char *model,
                             uint64_t created_s);

#endif
