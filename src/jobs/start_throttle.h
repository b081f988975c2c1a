/**
 * @file start_pace.h
 * How many of the items for which a daemon believes to have room it starts in one pass. Pure.
 *
 * For times when online demand fills the engines. What is believed of them is some hundred ms old,
 * and room of all together is not room at each: engines' arbiters send back what starts, or cut it
 * soon, again in each pass of each owner. Where more starts come to nothing than do well, the next
 * pass tries half as much of the room, down to a start in several passes; where more do well, four
 * times as much. When clearly more room is believed than was at the last failure, all of it is
 * tried.
 */
#ifndef HS_JOBS_START_PACE_H
#define HS_JOBS_START_PACE_H

#include <stdbool.h>
#include <stdint.h>

/** What became of the starts of late; zero-initialise. */
typedef struct {
    double held_back; /**< Share of the room that is left untried: 0 to below 1. */
    double owed;      /**< Parts of a start that earlier passes left over. */
    double spare;     /**< Free slots that were believed when starts came to nothing last. */
    uint32_t good;    /**< Starts that were seen to do well since the last pass, */
    uint32_t bad;     /**< and that were seen to come to nothing. */
} hs_start_pace;

/** It was seen what became of a start: it came to nothing, or did well. */
void hs_start_pace_note(hs_start_pace *pace, bool did_well);

/**
 * Begin a pass with room for @p room items by @p spare free slots of all: how many of them may
 * start. All of them where no start came to nothing of late.
 */
uint32_t hs_start_pace_begin(hs_start_pace *pace, uint32_t room, double spare);

#endif
