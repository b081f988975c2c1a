/** @file utf8.c  See utf8.h. */
#include "base/utf8.h"

#include <glib.h>
#include <string.h>

bool hs_utf8_is_valid(const void *text, size_t length) {
    const char *at = text;
    while (length > 0) {
        const char *nul = memchr(at, '\0', length); /* GLib takes NUL for the end of the text. */
        size_t piece = nul != NULL ? (size_t)(nul - at) : length;
        if (!g_utf8_validate_len(at, piece, NULL))
            return false;
        size_t taken = nul != NULL ? piece + 1 : piece;
        at += taken;
        length -= taken;
    }
    return true;
}
