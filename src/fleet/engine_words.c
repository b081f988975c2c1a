/** @file engine_words.c  See engine_words.h. */
#include "fleet/engine_words.h"

#include <stdlib.h>

static int by_age(const void *first, const void *second) {
    uint64_t first_ms = ((const hs_relay_candidate *)first)->age_ms;
    uint64_t second_ms = ((const hs_relay_candidate *)second)->age_ms;
    return (first_ms > second_ms) - (first_ms < second_ms);
}

size_t hs_engine_reports_pick(hs_relay_candidate *candidates, size_t count) {
    size_t selected = 0;
    if (count > 0) /* The array of no candidates may be NULL, which qsort doesn't accept. */
        qsort(candidates, count, sizeof *candidates, by_age);
    while (selected < count && selected < HS_MAX_RELAYED_REPORTS &&
           candidates[selected].age_ms < HS_ENGINE_REPORT_VALID_MS)
        selected++;
    return selected;
}

double hs_engine_report_weight(uint64_t age_ms) {
    if (age_ms >= HS_ENGINE_REPORT_VALID_MS)
        return 0;
    if (age_ms < HS_ENGINE_REPORT_RECENT_MS)
        return 1;
    return (double)(HS_ENGINE_REPORT_VALID_MS - age_ms) /
           (HS_ENGINE_REPORT_VALID_MS - HS_ENGINE_REPORT_RECENT_MS);
}
