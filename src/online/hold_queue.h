/**
 * @file hold_queue.h
 * Estimates how long held requests of a service wait for a slot, from the rate at which engines
 * accepted them. Pure functions; times are in ms of one monotonic clock.
 */
#ifndef HS_ONLINE_HOLD_QUEUE_H
#define HS_ONLINE_HOLD_QUEUE_H

#include <stdbool.h>
#include <stdint.h>

/** Held requests of one service. Zero-initialise. */
typedef struct {
    uint32_t held;
    uint64_t since_ms;   /**< Start of the observation, which restarts after a pause; 0: none. */
    double placed;       /**< Decaying count of placed requests as of updated_ms. */
    uint64_t updated_ms; /**< When a request was last added or removed. */
} hs_hold_queue;

/** Adds a held request. */
void hs_hold_queue_enter(hs_hold_queue *queue, uint64_t now_ms);

/** Removes a held request; @p is_placed: an engine accepted it. */
void hs_hold_queue_leave(hs_hold_queue *queue, bool is_placed, uint64_t now_ms);

/**
 * Returns the expected time in ms until all held requests and one more are placed, at the recent
 * rate of placed requests. If none was placed, one is assumed. Returns 0 if no request was held
 * recently.
 */
uint64_t hs_hold_queue_expected_ms(const hs_hold_queue *queue, uint64_t now_ms);

#endif
