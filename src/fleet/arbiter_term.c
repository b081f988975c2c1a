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

bool hs_arbiter_term_is_settled(const hs_arbiter_term *term, const hs_arbiter_rounds *rounds,
                                uint64_t now_ms) {
    return term->is_arbitrated && !has_gap(rounds, now_ms) &&
           now_ms >= term->since_ms + HS_ARBITER_SETTLE_MS &&
           now_ms >= rounds->restarted_ms + HS_ARBITER_SETTLE_MS;
}
