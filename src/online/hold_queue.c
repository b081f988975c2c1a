/** @file hold_queue.c  Held requests and how they drain; see hold_queue.h. */
#include "online/hold_queue.h"

#include <math.h>

/**
 * Places that held requests got count for this long, fading. Some seconds, as callers wait, so
 * that where none got a place in it, nobody is held in vain.
 */
#define OBSERVED_MOST_MS 5000.0
/** Without a request held for this long, in ms, the next one is the first of another shortage. */
#define BREAK_MS 1000

static double faded(const hs_hold_queue *queue, uint64_t now_ms) {
    return queue->placed * exp(-(double)(now_ms - queue->at_ms) / OBSERVED_MOST_MS);
}

static bool is_over(const hs_hold_queue *queue, uint64_t now_ms) {
    return queue->since_ms == 0 || (queue->held == 0 && now_ms > queue->at_ms + BREAK_MS);
}

void hs_hold_queue_enter(hs_hold_queue *queue, uint64_t now_ms) {
    if (is_over(queue, now_ms)) {
        queue->since_ms = now_ms;
        queue->placed = 0;
    }
    queue->placed = faded(queue, now_ms);
    queue->at_ms = now_ms;
    queue->held++;
}

void hs_hold_queue_leave(hs_hold_queue *queue, bool is_placed, uint64_t now_ms) {
    queue->placed = faded(queue, now_ms) + (is_placed ? 1 : 0);
    queue->at_ms = now_ms;
    queue->held--;
}

uint64_t hs_hold_queue_expected_ms(const hs_hold_queue *queue, uint64_t now_ms) {
    if (is_over(queue, now_ms))
        return 0;
    double observed_ms = fmin((double)(now_ms - queue->since_ms), OBSERVED_MOST_MS);
    return (uint64_t)((queue->held + 1) * observed_ms / fmax(faded(queue, now_ms), 1));
}
