/** @file visible_text.c  See visible_text.h. */
#include "base/visible_text.h"

#include <glib.h>

bool hs_text_is_visible(const char *text, size_t max_length) {
    size_t length = 0;
    while (g_ascii_isgraph(text[length]))
        length++;
    return length > 0 && length <= max_length && text[length] == '\0';
}
