/**
 * @file trial_deciders.h
 * Daemons that are not asked to decide on trials of accepted work. Pure; not safe for threads.
 *
 * One daemon, the first in an order that all know, decides on a content's trials. Accepted work has
 * to end, so it must not wait for good for the word of one daemon: one of an earlier build tells no
 * reasons and grants nothing where it knows of no other cause; one that others hear, and this
 * daemon does not, never answers. Both are passed over, and the next in order is asked.
 */
#ifndef HS_DIRECTORY_TRIAL_DECIDERS_H
#define HS_DIRECTORY_TRIAL_DECIDERS_H

#include <stdbool.h>
#include <stdint.h>

typedef struct hs_trial_deciders hs_trial_deciders;

hs_trial_deciders *hs_trial_deciders_new(void);
void hs_trial_deciders_free(hs_trial_deciders *deciders);

/** Whether the daemon of this life (a hash of its id and incarnation) is passed over. */
bool hs_trial_deciders_is_skipped(const hs_trial_deciders *deciders, uint64_t incarnation_hash,
                                   uint64_t now_ms);

/** It refused and did not tell why: it is of an earlier build. */
void hs_trial_deciders_note_no_reason(hs_trial_deciders *deciders, uint64_t incarnation_hash);

/** It did not answer, or it did. */
void hs_trial_deciders_note_unanswered(hs_trial_deciders *deciders, uint64_t incarnation_hash, uint64_t now_ms);
void hs_trial_deciders_note_answered(hs_trial_deciders *deciders, uint64_t incarnation_hash);

#endif
