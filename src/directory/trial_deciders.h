/**
 * @file trial_deciders.h
 * Keeps track of daemons to skip as deciders on trial runs of accepted work.
 *
 * The decider of a content is the first daemon in an order that all daemons know. Accepted work
 * must complete, so it must not depend on one daemon. A daemon is skipped, and the next one
 * queried, if it refuses as only earlier versions do, which would go on to refuse, or if it does
 * not respond, as when only this daemon cannot reach it.
 *
 * The module does no I/O and reads no clock. Objects are not thread-safe.
 */
#ifndef HS_DIRECTORY_TRIAL_DECIDERS_H
#define HS_DIRECTORY_TRIAL_DECIDERS_H

#include "fleet/crash_trials.h"

#include <stdbool.h>
#include <stdint.h>

typedef struct hs_trial_deciders hs_trial_deciders;

hs_trial_deciders *hs_trial_deciders_new(void);
void hs_trial_deciders_free(hs_trial_deciders *deciders);

/** Returns whether to skip a daemon. @p incarnation_hash: hash of its id and incarnation. */
bool hs_trial_deciders_is_skipped(const hs_trial_deciders *deciders, uint64_t incarnation_hash,
                                  uint64_t now_ms);

/** Notes a daemon's verdict on accepted work; HS_TRIAL_UNANSWERED: it did not respond. */
void hs_trial_deciders_note_verdict(hs_trial_deciders *deciders, uint64_t incarnation_hash,
                                    hs_trial_verdict verdict, uint64_t now_ms);

/**
 * Returns whether only an earlier version refuses accepted work with this verdict: without a
 * reason, or because it counts trial runs and lost engines. The next daemon is then queried.
 */
bool hs_trial_deciders_is_earlier_refusal(hs_trial_verdict verdict);

#endif
