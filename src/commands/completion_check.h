/** @file completion_check.h  Rules a completion body must keep, online and in batch. Pure. */
#ifndef HS_COMMANDS_COMPLETION_CHECK_H
#define HS_COMMANDS_COMPLETION_CHECK_H

#include "heathsail/error.h"

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#define HS_PATH_CHAT "/v1/chat/completions"
#define HS_PATH_TEXT "/v1/completions"

/** Check @p body for the chat or the text form; the error names the field. */
int hs_completion_check(const json_t *body, bool chat, int64_t max_tokens, hs_error *error);

/** Hash of the prompt's beginning, for prefix affinity; never 0. */
uint64_t hs_completion_prefix_hash(const json_t *body, bool chat);

#endif
