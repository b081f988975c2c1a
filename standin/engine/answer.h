/**
 * @file answer.h
 * The stand-in's answers: a pure function of the prompt, so that a test can tell a whole answer
 * to its own request from any other text.
 */
#ifndef STANDIN_ENGINE_ANSWER_H
#define STANDIN_ENGINE_ANSWER_H

#include <glib.h>
#include <jansson.h>
#include <stdint.h>

#define ANSWER_DEFAULT_TOKENS 16U

/** Prompt of a completion or chat body: the prompt, or all messages joined. Free with g_free. */
char *answer_prompt_text(const json_t *body);

/** Token @p index of the answer to @p prompt, with its trailing space. Free with g_free. */
char *answer_token(const char *prompt, uint32_t index);

/** The whole answer of @p token_count tokens. Free with g_free. */
char *answer_text(const char *prompt, uint32_t token_count);

#endif
