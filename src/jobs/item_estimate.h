/**
 * @file item_estimate.h
 * How long an item still runs, from what was observed of those that ended: events for each token of
 * an item's size, and time for each event. Pure.
 */
#ifndef HS_JOBS_ITEM_ESTIMATE_H
#define HS_JOBS_ITEM_ESTIMATE_H

#include <stdint.h>

/** What was observed; zero-initialise. Both are 0 until an item has ended. */
typedef struct {
    double events_per_token; /**< Of an item's size: its prompt and the most it may make. */
    double ms_per_event;
} hs_item_pace;

/** An item of @p tokens ended with @p events, the last @p run_events of them in @p run_ms. */
void hs_item_pace_note(hs_item_pace *pace, uint32_t tokens, uint64_t events, uint64_t run_events,
                       uint64_t run_ms);

/** Expected ms that an item of @p tokens with @p events made so far still runs; 0: not known. */
uint64_t hs_item_pace_remaining_ms(const hs_item_pace *pace, uint32_t tokens, uint64_t events);

#endif
