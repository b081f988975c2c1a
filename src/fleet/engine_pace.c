/** @file engine_pace.c  See engine_pace.h. */
#include "fleet/engine_pace.h"

void hs_engine_pace_note_events(hs_engine_pace *pace, uint64_t events, uint64_t took_ms,
                                uint64_t now_ms) {
    pace->events += (double)events;
    pace->events_ms += (double)took_ms;
    pace->seen_ms = now_ms;
}

void hs_engine_pace_note_word(hs_engine_pace *pace, uint32_t slowdown_percent, uint64_t age_ms,
                              uint64_t now_ms) {
    pace->slowdown_percent = slowdown_percent;
    pace->told_ms = now_ms - age_ms;
}

double hs_engine_pace_factor(const hs_engine_pace *pace, double service_event_ms, uint64_t now_ms) {
    (void)pace;
    (void)service_event_ms;
    (void)now_ms;
    return 1;
}
