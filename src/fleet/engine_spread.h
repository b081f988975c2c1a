/**
 * @file engine_spread.h
 * Which engine takes a request where many daemons choose by the same words. Pure.
 *
 * A word shows the same best engine to all daemons that have it. Until the next word each of them
 * sends there, and what was the best becomes the worst. So each word is projected to now: by its
 * age the engine has come nearer to the mean, and what is there has become less certain, which
 * costs where it may be full. Then the requests that all daemons send within the age of the words
 * on the best engines are shared out on these, each to where the expected delay, with those before
 * it, is lowest. The request goes to an engine that is drawn by its part of them: the older the
 * words and the more is sent, the more engines share it.
 */
#ifndef HS_FLEET_ENGINE_SPREAD_H
#define HS_FLEET_ENGINE_SPREAD_H

#include "fleet/engine_choice.h"

/** What decides between candidates that are as good. */
typedef struct {
    double draw;  /**< By chance, 0 to below 1. */
    size_t first; /**< See hs_engine_choice_pick, which decides where all words are exact. */
} hs_engine_turn;

/** Index of the engine drawn; HS_ENGINE_NONE without candidates. */
int hs_engine_spread_pick(const hs_engine_candidate *candidates, size_t count,
                          const hs_engine_turn *turn, const hs_engine_speed *speed);

#endif
