/** @file arbiter_term.c  See arbiter_term.h. */
#include "fleet/arbiter_term.h"

/** Longest time between two rounds of a daemon that was not suspended. */
#define MAX_ROUND_GAP_MS (3 * HS_USE_REPORT_INTERVAL_MS)

static bool has_gap(const hs_arbiter_rounds *rounds, uint64_t now_ms) {
    return rounds->noted_ms == 0 || now_ms > rounds->noted_ms + MAX_ROUND_GAP_MS;
}

bool hs_arbiter_rounds_note(hs_arbiter_rounds *rounds, uint64_t incarnation, uint64_t now_ms) {
    bool restarts = has_gap(rounds, now_ms) || incarnation != rounds->incarnation;
    if (restarts)
        rounds->restarted_ms = now_ms;
    rounds->incarnation = incarnation;
    rounds->noted_ms = now_ms;
    return restarts;
}

void hs_arbiter_term_set(hs_arbiter_term *term, bool is_arbitrated, uint64_t now_ms) {
    if (is_arbitrated && !term->is_arbitrated)
        term->since_ms = now_ms;
    term->is_arbitrated = is_arbitrated;
}

uint32_t hs_arbiter_term_min_age_ms(const hs_arbiter_term *term, const hs_arbiter_rounds *rounds,
                                    uint64_t now_ms) {
    uint64_t since_ms =
        term->since_ms > rounds->restarted_ms ? term->since_ms : rounds->restarted_ms;
    if (!term->is_arbitrated || has_gap(rounds, now_ms) || now_ms < since_ms + HS_ARBITER_SETTLE_MS)
        return UINT32_MAX;
    uint64_t complete_ms = since_ms + HS_ARBITER_COMPLETE_MS;
    return now_ms < complete_ms ? (uint32_t)(complete_ms - now_ms) : 0;
}
