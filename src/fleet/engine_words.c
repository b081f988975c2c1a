/** @file engine_words.c  See engine_words.h. */
#include "fleet/engine_words.h"

size_t hs_engine_words_pick(hs_engine_word *words, size_t count) {
    (void)words;
    (void)count;
    return 0;
}
