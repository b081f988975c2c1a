/**
 * @file answer.h
 * Answers of the stand-in engine. They depend on the prompt only, so that a test can verify that
 * an answer is complete and belongs to its request. The functions are thread-safe.
 */
#ifndef STANDIN_ENGINE_ANSWER_H
#define STANDIN_ENGINE_ANSWER_H

#include <glib.h>
#include <jansson.h>
#include <stdint.h>

#define ANSWER_DEFAULT_TOKENS 16U

/**
 * Returns the prompt of a completion body, or all messages of a chat body joined by newlines. Free
 * with g_free.
 */
char *answer_prompt_text(const json_t *body);

/** Returns token @p index of the answer to @p prompt and a trailing space. Free with g_free. */
char *answer_token(const char *prompt, uint32_t index);

/** Returns the answer of @p token_count tokens. Free with g_free. */
char *answer_text(const char *prompt, uint32_t token_count);

#endif
