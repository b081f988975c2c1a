/**
 * @file start_pace.h
 * How many of the items for which a daemon believes to have room it starts in one pass. Pure.
 *
 * Load it answers: online demand that fills the engines. What is believed of them is some hundred
 * ms old, and engines' arbiters send back what starts meanwhile: a datagram there and back, and a
 * thread for so long, again in each pass of each owner. Where more is sent back than goes out, the
 * next pass starts half as many, down to one in a few passes; where more goes out, four times as
 * many.
 * When clearly more room is believed than was when items were sent back, all of it is tried.
 */
#ifndef HS_JOBS_START_PACE_H
#define HS_JOBS_START_PACE_H

#include <stdint.h>

/** What became of the starts of late; zero-initialise. */
typedef struct {
    double held_back;   /**< Share of the room that is left untried: 0 to below 1. */
    double owed;        /**< Parts of a start that earlier passes left over. */
    double spare;       /**< Free slots that were believed when items were last sent back. */
    uint32_t started;   /**< In the latest pass, */
    uint32_t sent_back; /**< of which so many did not go out. */
} hs_start_pace;

/** An item that this daemon started was not sent to any engine. */
void hs_start_pace_note_sent_back(hs_start_pace *pace);

/** @p count items were started in this pass. */
void hs_start_pace_note_started(hs_start_pace *pace, uint32_t count);

/**
 * Begin a pass with room for @p room items by @p spare free slots of all: how many of them may
 * start. All of them where nothing was sent back of late.
 */
uint32_t hs_start_pace_begin(hs_start_pace *pace, uint32_t room, double spare);

#endif
