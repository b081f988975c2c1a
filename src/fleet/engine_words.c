/** @file engine_words.c  See engine_words.h. */
#include "fleet/engine_words.h"

#include <stdlib.h>

static int by_age(const void *first, const void *second) {
    uint64_t first_ms = ((const hs_engine_word *)first)->age_ms;
    uint64_t second_ms = ((const hs_engine_word *)second)->age_ms;
    return (first_ms > second_ms) - (first_ms < second_ms);
}

size_t hs_engine_words_pick(hs_engine_word *candidates, size_t count) {
    size_t selected = 0;
    qsort(candidates, count, sizeof *candidates, by_age);
    while (selected < count && selected < HS_ENGINE_WORDS_MOST &&
           candidates[selected].age_ms < HS_ENGINE_WORD_VALID_MS)
        selected++;
    return selected;
}

double hs_engine_word_weight(uint64_t age_ms) {
    if (age_ms >= HS_ENGINE_WORD_VALID_MS)
        return 0;
    if (age_ms < HS_ENGINE_WORD_FRESH_MS)
        return 1;
    return (double)(HS_ENGINE_WORD_VALID_MS - age_ms) /
           (HS_ENGINE_WORD_VALID_MS - HS_ENGINE_WORD_FRESH_MS);
}
