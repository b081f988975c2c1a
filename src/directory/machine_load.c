/** @file machine_load.c  See machine_load.h. */
#include "directory/machine_load.h"

#include <math.h>

/** Weight of the latest pause in the average; about 12 pauses end per second. */
#define DELAY_WEIGHT 0.08
/** Longer delays are ignored: the whole process was stopped, which is no sign of load. */
#define MAX_DELAY_MS 500.0
/** Delay on an idle machine, from the imprecision of timers. */
#define TIMER_DELAY_MS 2.0
/** Delay, beyond that of timers, at which the utilisation is 50 percent: at each of its steps it
 * holds a request up for a tenth of a latency objective of half a second. */
#define HALF_LOAD_DELAY_MS 12.0
/** Granularity of the reported utilisation. */
#define STEP_PERCENT 25
/** Hysteresis: distance beyond the boundary of a step at which the step is reported. */
#define STEP_MARGIN_PERCENT 8.0
/** Minimum time between two changes of the reported utilisation. */
#define MIN_STEP_INTERVAL_MS 2000

void hs_machine_load_note(hs_machine_load *load, double delay_ms) {
    if (delay_ms > MAX_DELAY_MS)
        return;
    load->delay_ms += (fmax(delay_ms, 0) - load->delay_ms) * DELAY_WEIGHT;
}

uint32_t hs_machine_load_utilisation_percent(hs_machine_load *load, uint64_t now_ms) {
    double delay_ms = fmax(load->delay_ms - TIMER_DELAY_MS, 0);
    double utilisation =
        fmax(100 * delay_ms / (delay_ms + HALF_LOAD_DELAY_MS), load->memory_percent);
    double difference = fabs(utilisation - load->reported_percent);
    bool is_due =
        load->reported_at_ms == 0 || now_ms >= load->reported_at_ms + MIN_STEP_INTERVAL_MS;
    if (!is_due || difference < STEP_PERCENT / 2.0 + STEP_MARGIN_PERCENT)
        return load->reported_percent;
    load->reported_percent = (uint32_t)lround(utilisation / STEP_PERCENT) * STEP_PERCENT;
    load->reported_at_ms = now_ms;
    return load->reported_percent;
}
