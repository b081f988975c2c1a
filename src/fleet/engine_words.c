/** @file engine_words.c  See engine_words.h. */
#include "fleet/engine_words.h"

#include <stdlib.h>

static int by_age(const void *first, const void *second) {
    uint64_t first_ms = ((const hs_engine_word *)first)->age_ms;
    uint64_t second_ms = ((const hs_engine_word *)second)->age_ms;
    return (first_ms > second_ms) - (first_ms < second_ms);
}

size_t hs_engine_words_pick(hs_engine_word *words, size_t count) {
    size_t picked = 0;
    qsort(words, count, sizeof *words, by_age);
    while (picked < count && picked < HS_ENGINE_WORDS_MOST &&
           words[picked].age_ms < HS_ENGINE_WORD_VALID_MS)
        picked++;
    return picked;
}

double hs_engine_word_weight(uint64_t age_ms) {
    if (age_ms >= HS_ENGINE_WORD_VALID_MS)
        return 0;
    if (age_ms < HS_ENGINE_WORD_FRESH_MS)
        return 1;
    return (double)(HS_ENGINE_WORD_VALID_MS - age_ms) /
           (HS_ENGINE_WORD_VALID_MS - HS_ENGINE_WORD_FRESH_MS);
}
