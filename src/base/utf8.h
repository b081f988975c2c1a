/** @file utf8.h  Check of texts that are written as JSON. Thread-safe. */
#ifndef HS_BASE_UTF8_H
#define HS_BASE_UTF8_H

#include <stdbool.h>
#include <stddef.h>

/** Returns whether the @p length bytes at @p text are valid UTF-8; NUL bytes are allowed. */
bool hs_utf8_is_valid(const void *text, size_t length);

#endif
