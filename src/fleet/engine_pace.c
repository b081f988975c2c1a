/** @file engine_pace.c  See engine_pace.h. */
#include "fleet/engine_pace.h"

#include "heathsail/fleet.h"

#include <math.h>

/** Half-life of the observed events: a machine keeps its pace for longer. */
#define EVENTS_HALF_LIFE_MS 20000.0
/** Assumed events at the service's mean interval, as in a short answer, before any are observed. */
#define PRIOR_EVENTS 20.0
/** Validity of an event interval that the arbiter reported. */
#define REPORTED_EVENT_VALID_MS 20000
/** Assumed reports of the usual pace before the first report. */
#define PRIOR_REPORTS 8.0
/** Bound of the report count, so that the mean keeps following the reports. */
#define MAX_REPORT_COUNT 50.0
/**
 * Equal reports closer together than this are one report received from two daemons: the age of a
 * report doesn't include its time on the network.
 */
#define DUPLICATE_REPORT_MS 10
/** Ratio of two slowdowns, or of two event intervals, up to which they count as similar. */
#define SIMILAR_RATIO 1.25
/** Deviation from the engine's mean slowdown up to which a report has no effect. */
#define SLOWDOWN_NOISE 0.1
/**
 * Longest gap between two reports from which the duration of an outlier is estimated, as other
 * changes may occur within a longer gap. Also the upper bound of that estimate.
 */
#define MAX_OUTLIER_MS 1000.0
/** Assumed duration of an outlier before any is observed. */
#define PRIOR_OUTLIER_MS 300.0
#define MIN_OUTLIER_MS 50.0
/** Share of the outlier sums kept with each further report. */
#define OUTLIER_DECAY 0.95
/**
 * Upper bounds of the estimates; the lower bounds are their inverses. Values beyond are assumed to
 * be wrong, and an engine that is really so slow is detected by its failures.
 */
#define MAX_EVENT_RATIO 4.0
#define MAX_FACTOR 10.0

static double decay_factor(uint64_t since_ms, uint64_t now_ms) {
    return now_ms > since_ms ? exp2(-(double)(now_ms - since_ms) / EVENTS_HALF_LIFE_MS) : 1;
}

void hs_engine_pace_note_events(hs_engine_pace *pace, uint64_t events, uint64_t took_ms,
                                uint64_t now_ms) {
    if (events == 0)
        return;
    double decay = decay_factor(pace->seen_ms, now_ms);
    pace->events = pace->events * decay + (double)events;
    pace->events_ms = pace->events_ms * decay + (double)took_ms;
    pace->seen_ms = now_ms;
}

static bool is_dissimilar(double ratio) {
    return ratio > SIMILAR_RATIO || ratio < 1 / SIMILAR_RATIO;
}

/** Returns the latest slowdown relative to the mean of the engine's reports. */
static double relative_slowdown(const hs_engine_pace *pace) {
    return pace->slowdown_percent / 100.0 / (1 + pace->mean_excess);
}

/** Notes how long the previous report was valid, if it was an outlier. */
static void note_outlier_duration(hs_engine_pace *pace, uint32_t slowdown_percent,
                                  uint64_t reported_ms) {
    if (pace->slowdown_percent == 0 || !is_dissimilar(relative_slowdown(pace)))
        return;
    double gap_ms = (double)(reported_ms - pace->reported_at_ms);
    if (gap_ms > MAX_OUTLIER_MS)
        return;
    bool has_ended = is_dissimilar((double)slowdown_percent / pace->slowdown_percent);
    pace->outlier_ms = pace->outlier_ms * OUTLIER_DECAY + gap_ms;
    pace->outlier_ends = pace->outlier_ends * OUTLIER_DECAY + (has_ended ? 1 : 0);
}

void hs_engine_pace_note_slowdown(hs_engine_pace *pace, uint32_t slowdown_percent, uint64_t age_ms,
                                  uint64_t now_ms) {
    if (slowdown_percent < HS_MIN_SLOWDOWN_PERCENT || slowdown_percent > HS_MAX_SLOWDOWN_PERCENT ||
        age_ms > now_ms)
        return;
    uint64_t reported_ms = now_ms - age_ms;
    bool is_same = slowdown_percent == pace->slowdown_percent;
    if (pace->slowdown_percent != 0 &&
        reported_ms < pace->reported_at_ms + (is_same ? DUPLICATE_REPORT_MS : 1))
        return;
    note_outlier_duration(pace, slowdown_percent, reported_ms);
    pace->slowdown_percent = slowdown_percent;
    pace->reported_at_ms = reported_ms;
    pace->report_count = fmin(pace->report_count + 1, MAX_REPORT_COUNT);
    pace->mean_excess +=
        (slowdown_percent / 100.0 - 1 - pace->mean_excess) / (pace->report_count + PRIOR_REPORTS);
}

void hs_engine_pace_set_reported_event_us(hs_engine_pace *pace, uint32_t event_us,
                                          uint64_t now_ms) {
    if (event_us == 0)
        return;
    pace->reported_event_ms = event_us / 1000.0;
    pace->event_reported_ms = now_ms;
}

uint32_t hs_engine_pace_observed_event_us(const hs_engine_pace *pace, uint64_t now_ms) {
    if (pace->events * decay_factor(pace->seen_ms, now_ms) < PRIOR_EVENTS)
        return 0;
    return (uint32_t)fmin(pace->events_ms / pace->events * 1000, UINT32_MAX);
}

/** Returns the engine's interval between events relative to the service's. */
static double event_interval_ratio(const hs_engine_pace *pace, double service_event_ms,
                                   uint64_t now_ms) {
    if (service_event_ms <= 0)
        return 1;
    double decay = decay_factor(pace->seen_ms, now_ms);
    double event_ms = (pace->events_ms * decay + PRIOR_EVENTS * service_event_ms) /
                      (pace->events * decay + PRIOR_EVENTS);
    if (pace->reported_event_ms > 0 && now_ms < pace->event_reported_ms + REPORTED_EVENT_VALID_MS)
        event_ms = pace->reported_event_ms;
    double ratio = fmax(fmin(event_ms / service_event_ms, MAX_EVENT_RATIO), 1 / MAX_EVENT_RATIO);
    return is_dissimilar(ratio) ? ratio : 1;
}

/** Returns the current slowdown: the latest report, decayed by the mean duration of outliers. */
static double current_slowdown(const hs_engine_pace *pace, uint64_t now_ms) {
    if (pace->slowdown_percent == 0)
        return 1;
    double duration_ms = (pace->outlier_ms + PRIOR_OUTLIER_MS) / (pace->outlier_ends + 1);
    duration_ms = fmax(fmin(duration_ms, MAX_OUTLIER_MS), MIN_OUTLIER_MS);
    double age_ms = now_ms > pace->reported_at_ms ? (double)(now_ms - pace->reported_at_ms) : 0;
    double deviation = (relative_slowdown(pace) - 1) * exp(-age_ms / duration_ms);
    return fabs(deviation) > SLOWDOWN_NOISE ? 1 + deviation : 1;
}

double hs_engine_pace_factor(const hs_engine_pace *pace, double service_event_ms, uint64_t now_ms) {
    double factor =
        event_interval_ratio(pace, service_event_ms, now_ms) * current_slowdown(pace, now_ms);
    return fmax(fmin(factor, MAX_FACTOR), 1 / MAX_FACTOR);
}
