/**
 * @file completion_check.h
 * Validation of completion request bodies, online and in batch. Functions have no side effects.
 */
#ifndef HS_COMMANDS_COMPLETION_CHECK_H
#define HS_COMMANDS_COMPLETION_CHECK_H

#include "heathsail/error.h"

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#define HS_PATH_CHAT "/v1/chat/completions"
#define HS_PATH_TEXT "/v1/completions"

/**
 * Checks @p body as a chat or a text completion with at most @p max_tokens. Returns 0, or sets
 * @p error, which names the field.
 */
int hs_completion_check(const json_t *body, bool chat, int64_t max_tokens, hs_error *error);

/** Returns a hash of the prompt's first bytes for prefix affinity; never 0. */
uint64_t hs_completion_prefix_hash(const json_t *body, bool chat);

#endif
