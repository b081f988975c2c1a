/**
 * @file trial_deciders.h
 * Keeps track of daemons to skip as deciders on trial runs of accepted work.
 *
 * The decider of a content is the first daemon in an order that all daemons know. Accepted work
 * must complete, so it must not depend on one daemon. A daemon is skipped, and the next one
 * queried, if it refuses without a reason, as earlier versions do, or if it does not respond, as
 * when only this daemon cannot reach it.
 *
 * The module does no I/O and reads no clock. Objects are not thread-safe.
 */
#ifndef HS_DIRECTORY_TRIAL_DECIDERS_H
#define HS_DIRECTORY_TRIAL_DECIDERS_H

#include <stdbool.h>
#include <stdint.h>

typedef struct hs_trial_deciders hs_trial_deciders;

hs_trial_deciders *hs_trial_deciders_new(void);
void hs_trial_deciders_free(hs_trial_deciders *deciders);

/** Returns whether to skip a daemon. @p incarnation_hash: hash of its id and incarnation. */
bool hs_trial_deciders_is_skipped(const hs_trial_deciders *deciders, uint64_t incarnation_hash,
                                  uint64_t now_ms);

/** Notes that the daemon refused without a reason, so that it is skipped from then on. */
void hs_trial_deciders_note_no_reason(hs_trial_deciders *deciders, uint64_t incarnation_hash);

/** Notes that the daemon did not respond to a query. */
void hs_trial_deciders_note_unanswered(hs_trial_deciders *deciders, uint64_t incarnation_hash,
                                       uint64_t now_ms);

/** Notes that the daemon responded to a query. */
void hs_trial_deciders_note_answered(hs_trial_deciders *deciders, uint64_t incarnation_hash);

#endif
