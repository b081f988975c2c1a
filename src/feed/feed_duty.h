/**
 * @file feed_duty.h
 * Whether something confirms the records of a daemon, and whether it is a stand-in, which reads the
 * store because the readers can't. Pure; times are monotonic, in ms.
 *
 * A daemon is cut off if neither the store nor another daemon confirms its records. It says so to
 * those that follow it, so that all of them know within a few round trips, without waiting until
 * their records are old; see hs_feed_tree_is_stand_in for what follows.
 */
#ifndef HS_FEED_FEED_DUTY_H
#define HS_FEED_FEED_DUTY_H

#include "feed/feed_parent.h"

/** Zero-initialise. */
typedef struct {
    uint64_t confirmed_ms;     /**< When a source confirmed the records last; 0: none has. */
    uint64_t cut_off_since_ms; /**< 0: not cut off. */
    bool is_standing_in;
    uint64_t checked_ms; /**< A stand-in: when it asked last whether it is still needed. */
} hs_feed_duty;

/** Records a read of the store. */
void hs_feed_duty_note_store(hs_feed_duty *duty, bool is_answered, bool is_reader, uint64_t now_ms);

/**
 * Records the result of a request to another daemon. @p source: the daemon that read the records
 * from the store; 0: unknown. If it is this one, the other daemon confirms nothing.
 */
void hs_feed_duty_note_answer(hs_feed_duty *duty, const hs_feed_tree *tree,
                              hs_feed_ask_result result, uint64_t source, uint64_t now_ms);

bool hs_feed_duty_is_cut_off(const hs_feed_duty *duty);

/** Returns whether a stand-in is to ask another daemon whether the readers read the store again. */
bool hs_feed_duty_is_check_due(const hs_feed_duty *duty, uint64_t now_ms);

#endif
