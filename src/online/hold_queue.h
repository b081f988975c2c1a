/**
 * @file hold_queue.h
 * The requests of a service that a daemon holds since no engine begins with them, and how fast
 * they got places. Pure; times in ms of one monotonic clock.
 */
#ifndef HS_ONLINE_HOLD_QUEUE_H
#define HS_ONLINE_HOLD_QUEUE_H

#include <stdbool.h>
#include <stdint.h>

/** Zero-initialise. */
typedef struct {
    uint32_t held;
    uint64_t since_ms; /**< Since when some have been held, with short breaks; 0: never. */
    double placed;     /**< Held requests that an engine took, fading, as of at_ms. */
    uint64_t at_ms;    /**< When one began or ceased to be held last. */
} hs_hold_queue;

/** A request is held from now on. */
void hs_hold_queue_enter(hs_hold_queue *queue, uint64_t now_ms);

/** A held request is held no longer; @p is_placed: since an engine took it. */
void hs_hold_queue_leave(hs_hold_queue *queue, bool is_placed, uint64_t now_ms);

/**
 * Expected time in ms until all that are held, and one more, have places, by how many got one of
 * late. Where none did, less than one in the time observed. 0: nothing was held of late.
 */
uint64_t hs_hold_queue_expected_ms(const hs_hold_queue *queue, uint64_t now_ms);

#endif
