/** @file hold_queue.c  See hold_queue.h. */
#include "online/hold_queue.h"

#include <math.h>

/**
 * Time constant of the count of placed requests, and the longest observation time. It is close to
 * callers' timeouts, so that requests are not held for longer if none was placed within this time.
 */
#define OBSERVATION_MS 5000.0
/** The observation restarts after no request was held for this long. */
#define IDLE_RESET_MS 1000

static double decayed_placed(const hs_hold_queue *queue, uint64_t now_ms) {
    return queue->placed * exp(-(double)(now_ms - queue->updated_ms) / OBSERVATION_MS);
}

static bool is_idle(const hs_hold_queue *queue, uint64_t now_ms) {
    return queue->since_ms == 0 || (queue->held == 0 && now_ms > queue->updated_ms + IDLE_RESET_MS);
}

void hs_hold_queue_enter(hs_hold_queue *queue, uint64_t now_ms) {
    if (is_idle(queue, now_ms)) {
        queue->since_ms = now_ms;
        queue->placed = 0;
    }
    queue->placed = decayed_placed(queue, now_ms);
    queue->updated_ms = now_ms;
    queue->held++;
}

void hs_hold_queue_leave(hs_hold_queue *queue, bool is_placed, uint64_t now_ms) {
    queue->placed = decayed_placed(queue, now_ms) + (is_placed ? 1 : 0);
    queue->updated_ms = now_ms;
    queue->held--;
}

uint64_t hs_hold_queue_expected_ms(const hs_hold_queue *queue, uint64_t now_ms) {
    if (is_idle(queue, now_ms))
        return 0;
    double observed_ms = fmin((double)(now_ms - queue->since_ms), OBSERVATION_MS);
    return (uint64_t)((queue->held + 1) * observed_ms / fmax(decayed_placed(queue, now_ms), 1));
}
