/** @file visible_text.h  Check of texts that are sent as values of HTTP headers. Thread-safe. */
#ifndef HS_BASE_VISIBLE_TEXT_H
#define HS_BASE_VISIBLE_TEXT_H

#include <stdbool.h>
#include <stddef.h>

/** Returns whether @p text has 1 to @p max_length bytes, all of them visible ASCII. */
bool hs_text_is_visible(const char *text, size_t max_length);

#endif
