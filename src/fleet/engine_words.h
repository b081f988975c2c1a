/**
 * @file engine_words.h
 * Which words of engines' arbiters a daemon passes on to the next that asks it. Pure.
 *
 * With many daemons before many engines each of them meets an engine seldom, and knows the few on
 * which it has requests. Words that are passed on with answers let it choose among all.
 */
#ifndef HS_FLEET_ENGINE_WORDS_H
#define HS_FLEET_ENGINE_WORDS_H

#include <stddef.h>
#include <stdint.h>

/** Most words passed on with one answer: with it, a datagram stays well below an Ethernet frame. */
#define HS_ENGINE_WORDS_MOST 16

/**
 * Other daemons from which on words are passed on. In smaller fleets daemons tell each other their
 * loads, and each knows all engines by them.
 */
#define HS_ENGINE_WORDS_LARGE_FLEET 48

/** Up to this age in ms a word counts in full: daemons tell each other as often. */
#define HS_ENGINE_WORD_FRESH_MS 250
/** From this age in ms on it says nothing more: most runs that it counted have ended. */
#define HS_ENGINE_WORD_VALID_MS 1000

/** A word that could be passed on. */
typedef struct {
    uint64_t engine_hash;
    uint64_t age_ms; /**< Since the arbiter said it. */
} hs_engine_word;

/**
 * Put those to pass on first in @p words, the freshest ones; how many there are. Words that are too
 * old to decide anything are not passed on.
 */
size_t hs_engine_words_pick(hs_engine_word *words, size_t count);

/**
 * How much of what is believed of an engine its word of this age makes up, 0 to 1; the mean of the
 * service's fresh words makes up the rest. An old word still beats none, and a missing one doesn't
 * say that an engine is idle.
 */
double hs_engine_word_weight(uint64_t age_ms);

#endif
