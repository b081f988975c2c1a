/**
 * @file item_estimate.h
 * Estimates the remaining run time of an item from completed items: events per token of an item's
 * size, and time per event. Pure functions; the caller synchronises access.
 */
#ifndef HS_JOBS_ITEM_ESTIMATE_H
#define HS_JOBS_ITEM_ESTIMATE_H

#include <stdint.h>

/** Running means over completed items; zero-initialise. Both are 0 until an item has completed. */
typedef struct {
    double events_per_token; /**< Per token of an item's size: its prompt and its output limit. */
    double ms_per_event;
} hs_item_pace;

/**
 * Records that an item of @p tokens completed with @p events, of which its last run produced
 * @p run_events in @p run_ms.
 */
void hs_item_pace_note(hs_item_pace *pace, uint32_t tokens, uint64_t events, uint64_t run_events,
                       uint64_t run_ms);

/**
 * Returns the expected remaining run time in ms of an item of @p tokens that has produced
 * @p events; 0: unknown.
 */
uint64_t hs_item_pace_remaining_ms(const hs_item_pace *pace, uint32_t tokens, uint64_t events);

#endif
