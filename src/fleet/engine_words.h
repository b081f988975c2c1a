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

#endif
