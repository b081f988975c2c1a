/** @file engine_pace.c  See engine_pace.h. */
#include "fleet/engine_pace.h"

#include "heathsail/fleet.h"

#include <math.h>

/** Observed events fade to half in this time, in ms: a machine keeps its pace for longer. */
#define EVENTS_HALF_MS 20000.0
/** Events at the service's mean that each engine is given at first: those of a short answer. */
#define EVENTS_PRIOR 20.0
/** An arbiter's word on an engine's events counts for this long, in ms. */
#define EVENT_TOLD_VALID_MS 20000
/** Words as usual that each engine is given at first, and the most that its mean is of. */
#define WORDS_PRIOR 8.0
#define WORDS_MOST 50.0
/** Equal words this close in time, in ms, are one word told by two daemons: an age lacks the time
 * on the network. */
#define SAME_WORD_MS 10
/** Ratio of two words, or of event times, within which engines count as alike. */
#define ALIKE_RATIO 1.25
/** Of a word that is this close to the mean of its engine's words nothing is concluded. */
#define WORD_NOISE 0.1
/** Words further apart than this, in ms, don't tell how long one stays: others may have come
 * between. */
#define WATCHED_MOST_MS 1000.0
/** How long an unusual word is taken to stay, in ms: until it was observed, and at least. */
#define STAY_PRIOR_MS 300.0
#define STAY_LEAST_MS 50.0
/** Share of what was seen of words' stay that is kept with each further one. */
#define STAY_KEPT 0.95
/** Bounds of what is believed, and their inverses: figures beyond them are taken for wrong, and an
 * engine that is so slow shows by its failures. */
#define RELATIVE_MOST 4.0
#define FACTOR_MOST 10.0

static double faded_share(uint64_t since_ms, uint64_t now_ms) {
    return now_ms > since_ms ? exp2(-(double)(now_ms - since_ms) / EVENTS_HALF_MS) : 1;
}

void hs_engine_pace_note_events(hs_engine_pace *pace, uint64_t events, uint64_t took_ms,
                                uint64_t now_ms) {
    if (events == 0)
        return;
    double share = faded_share(pace->seen_ms, now_ms);
    pace->events = pace->events * share + (double)events;
    pace->events_ms = pace->events_ms * share + (double)took_ms;
    pace->seen_ms = now_ms;
}

static bool is_far(double ratio) {
    return ratio > ALIKE_RATIO || ratio < 1 / ALIKE_RATIO;
}

/** A word relative to the mean of its engine's words. */
static double relative_word(const hs_engine_pace *pace) {
    return pace->slowdown_percent / 100.0 / (1 + pace->usual_above);
}

/** The next word came: note how long the one before stayed, where it was an unusual one. */
static void note_stay(hs_engine_pace *pace, uint32_t slowdown_percent, uint64_t told_ms) {
    if (pace->slowdown_percent == 0 || !is_far(relative_word(pace)))
        return;
    double watched_ms = (double)(told_ms - pace->told_ms);
    if (watched_ms > WATCHED_MOST_MS)
        return;
    bool is_another = is_far((double)slowdown_percent / pace->slowdown_percent);
    pace->unusual_ms = pace->unusual_ms * STAY_KEPT + watched_ms;
    pace->unusual_ends = pace->unusual_ends * STAY_KEPT + (is_another ? 1 : 0);
}

void hs_engine_pace_note_word(hs_engine_pace *pace, uint32_t slowdown_percent, uint64_t age_ms,
                              uint64_t now_ms) {
    if (slowdown_percent < HS_SLOWDOWN_LEAST_PERCENT ||
        slowdown_percent > HS_SLOWDOWN_MOST_PERCENT || age_ms > now_ms)
        return;
    uint64_t told_ms = now_ms - age_ms;
    bool is_same = slowdown_percent == pace->slowdown_percent;
    if (pace->slowdown_percent != 0 && told_ms < pace->told_ms + (is_same ? SAME_WORD_MS : 1))
        return;
    note_stay(pace, slowdown_percent, told_ms);
    pace->slowdown_percent = slowdown_percent;
    pace->told_ms = told_ms;
    pace->words = fmin(pace->words + 1, WORDS_MOST);
    pace->usual_above +=
        (slowdown_percent / 100.0 - 1 - pace->usual_above) / (pace->words + WORDS_PRIOR);
}

void hs_engine_pace_put_event_us(hs_engine_pace *pace, uint32_t event_us, uint64_t now_ms) {
    if (event_us == 0)
        return;
    pace->told_event_ms = event_us / 1000.0;
    pace->event_told_ms = now_ms;
}

uint32_t hs_engine_pace_event_us(const hs_engine_pace *pace, uint64_t now_ms) {
    if (pace->events * faded_share(pace->seen_ms, now_ms) < EVENTS_PRIOR)
        return 0;
    return (uint32_t)fmin(pace->events_ms / pace->events * 1000, UINT32_MAX);
}

/** Time of an event there over the service's, as runs show it. */
static double relative_event(const hs_engine_pace *pace, double service_event_ms, uint64_t now_ms) {
    if (service_event_ms <= 0)
        return 1;
    double share = faded_share(pace->seen_ms, now_ms);
    double event_ms = (pace->events_ms * share + EVENTS_PRIOR * service_event_ms) /
                      (pace->events * share + EVENTS_PRIOR);
    if (pace->told_event_ms > 0 && now_ms < pace->event_told_ms + EVENT_TOLD_VALID_MS)
        event_ms = pace->told_event_ms;
    double relative = fmax(fmin(event_ms / service_event_ms, RELATIVE_MOST), 1 / RELATIVE_MOST);
    return is_far(relative) ? relative : 1;
}

/** What the engine's latest word says of now: it fades by how long such words were seen to stay. */
static double relative_now(const hs_engine_pace *pace, uint64_t now_ms) {
    if (pace->slowdown_percent == 0)
        return 1;
    double stay_ms = (pace->unusual_ms + STAY_PRIOR_MS) / (pace->unusual_ends + 1);
    stay_ms = fmax(fmin(stay_ms, WATCHED_MOST_MS), STAY_LEAST_MS);
    double age_ms = now_ms > pace->told_ms ? (double)(now_ms - pace->told_ms) : 0;
    double above = (relative_word(pace) - 1) * exp(-age_ms / stay_ms);
    return fabs(above) > WORD_NOISE ? 1 + above : 1;
}

double hs_engine_pace_factor(const hs_engine_pace *pace, double service_event_ms, uint64_t now_ms) {
    double factor = relative_event(pace, service_event_ms, now_ms) * relative_now(pace, now_ms);
    return fmax(fmin(factor, FACTOR_MOST), 1 / FACTOR_MOST);
}
