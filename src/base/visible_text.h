/** @file visible_text.h  Texts that may stand as a header's value as they are. */
#ifndef HS_BASE_VISIBLE_TEXT_H
#define HS_BASE_VISIBLE_TEXT_H

#include <stdbool.h>
#include <stddef.h>

/** Whether @p text has 1 to @p most bytes, all of them visible ASCII. */
bool hs_text_is_visible(const char *text, size_t most);

#endif
