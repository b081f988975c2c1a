/** @file warmup_state.c  See warmup_state.h. */
#include "fleet/warmup_state.h"

#include <math.h>
#include <string.h>

#define MS_PER_S 1000.0

hs_warmup_limit hs_warmup_limit_of(const hs_fleet_service *service) {
    if (service == NULL)
        return (hs_warmup_limit){0};
    return (hs_warmup_limit){.warmup_ms = service->warmup_ms, .per_s = service->warmup_per_s};
}

bool hs_warmup_limit_is_set(const hs_warmup_limit *limit) {
    return limit != NULL && limit->warmup_ms > 0 && limit->per_s > 0;
}

static uint64_t end_of(uint32_t left_ms, uint64_t now_ms) {
    return left_ms > 0 ? now_ms + left_ms : 0;
}

void hs_warmup_state_note_entry(hs_warmup_state *state, uint32_t left_ms, uint64_t read_ms) {
    state->until_ms[HS_COLD_ENTRY] = end_of(left_ms, read_ms);
    if (read_ms >= state->evacuated_ms + HS_WARMUP_MAX_ENTRY_DELAY_MS)
        state->until_ms[HS_COLD_EVACUATION] = 0;
    if (read_ms >= state->lost_ms + HS_WARMUP_MAX_ENTRY_DELAY_MS) {
        state->until_ms[HS_COLD_UNREACHABLE] = 0;
        state->until_ms[HS_COLD_CLOSED] = 0;
    }
}

void hs_warmup_state_note_answer(hs_warmup_state *state, uint32_t left_ms, uint64_t now_ms) {
    memset(state->until_ms, 0, sizeof state->until_ms);
    state->until_ms[HS_COLD_ANSWER] = end_of(left_ms, now_ms);
}

void hs_warmup_state_note_evacuated(hs_warmup_state *state, uint64_t now_ms, uint64_t until_ms) {
    state->evacuated_ms = now_ms;
    state->until_ms[HS_COLD_EVACUATION] = until_ms;
}

void hs_warmup_state_note_lost(hs_warmup_state *state, hs_cold_reason reason, uint64_t now_ms,
                               uint64_t until_ms) {
    state->lost_ms = now_ms;
    state->until_ms[reason] = until_ms;
}

void hs_warmup_state_note_denial(hs_warmup_state *state, uint64_t now_ms) {
    state->until_ms[HS_COLD_ARBITER] = now_ms + HS_WARMUP_ARBITER_VALID_MS;
}

hs_cold_reason hs_warmup_state_reason(const hs_warmup_state *state, uint64_t now_ms) {
    hs_cold_reason latest = HS_COLD_NOT;
    for (int reason = HS_COLD_ENTRY; reason < HS_COLD_REASON_COUNT; reason++)
        if (state->until_ms[reason] > now_ms && state->until_ms[reason] > state->until_ms[latest])
            latest = (hs_cold_reason)reason;
    return latest;
}

uint64_t hs_warmup_state_left_ms(const hs_warmup_state *state, uint64_t now_ms) {
    hs_cold_reason reason = hs_warmup_state_reason(state, now_ms);
    return reason == HS_COLD_NOT ? 0 : state->until_ms[reason] - now_ms;
}

bool hs_warmup_state_is_cold(const hs_warmup_state *state, const hs_warmup_limit *limit,
                             uint64_t now_ms) {
    return hs_warmup_limit_is_set(limit) && hs_warmup_state_reason(state, now_ms) != HS_COLD_NOT;
}

uint32_t hs_warmup_limit_slots(const hs_warmup_limit *limit, uint32_t slots, double run_ms) {
    return (uint32_t)lround(fmin(limit->per_s * fmax(run_ms, 0) / MS_PER_S, slots));
}

const char *hs_cold_reason_name(hs_cold_reason reason) {
    static const char *const names[] = {[HS_COLD_NOT] = "elapsed",
                                        [HS_COLD_ENTRY] = "entry",
                                        [HS_COLD_ANSWER] = "answer",
                                        [HS_COLD_EVACUATION] = "evacuation",
                                        [HS_COLD_ARBITER] = "arbiter",
                                        [HS_COLD_UNREACHABLE] = "unreachable",
                                        [HS_COLD_CLOSED] = "connection_closed"};
    return names[reason];
}
