/**
 * @file crash_watch.h
 * Finds out which requests crash engines, and holds them back; see crash_ledger.h for the
 * judgement.
 *
 * Attempts tell it how runs ended; where one was cut, crash_probe.h finds out whether the engine
 * crashed. What is news is handed to the exchange between daemons (directory/crash_exchange.h).
 */
#ifndef HS_FLEET_CRASH_WATCH_H
#define HS_FLEET_CRASH_WATCH_H

#include "fleet/crash_ledger.h"
#include "fleet/crash_probe.h"
#include "fleet/crash_trials.h"

typedef struct hs_crash_watch hs_crash_watch;

/** Start its probe. */
hs_crash_watch *hs_crash_watch_new(void);

/** Stop its probe and free. NULL is allowed. */
void hs_crash_watch_free(hs_crash_watch *watch);

/** A run was cut; never waits. */
void hs_crash_watch_note_cut(hs_crash_watch *watch, const hs_cut_run *run);

/**
 * An engine that had not said that it leaves started again under its id, or its entry ran out: it
 * had crashed. Runs that were cut there of late are lost with it, also where it was back before it
 * could be asked, or ended its listener late.
 */
void hs_crash_watch_note_crashed(hs_crash_watch *watch, uint64_t engine);

/** A run of the content ended with a whole answer: its engine survived it. */
void hs_crash_watch_note_survived(hs_crash_watch *watch, uint64_t content);

/** Whether requests of this content are to be sent to no engine now. */
bool hs_crash_watch_is_held(hs_crash_watch *watch, uint64_t content, hs_crash_hold *quarantine);

/** A question for a trial, to whoever decides on it. */
typedef struct {
    const hs_crash_evidence *evidence; /**< What the asking daemon knows. Borrowed. */
    bool is_accepted;                  /**< See hs_trial_claim. */
} hs_trial_query;

/** Asks; may wait for another daemon's answer. */
typedef hs_trial_verdict (*hs_trial_query_function)(const hs_trial_query *query, void *user_data);

/** Whom trials are asked of; NULL: nobody, and nothing is tried. Before the first request. */
void hs_crash_watch_set_trial_query(hs_crash_watch *watch, hs_trial_query_function query_trial, void *user_data);

/**
 * Whether a content that is held back may run once now; see crash_trials.h. May wait for another
 * daemon's answer. @p is_accepted: see hs_trial_claim.
 */
hs_trial_verdict hs_crash_watch_claim_trial(hs_crash_watch *watch, uint64_t content,
                                            bool is_accepted);

/** Decide on a trial for all daemons; see crash_trials.h. What the asker knows is learned. */
hs_trial_verdict hs_crash_watch_decide_trial(hs_crash_watch *watch,
                                             const hs_trial_query *query, const char *requester);

/** Who told of evidence. */
typedef struct {
    const char *daemon;
    bool must_relay; /**< Others may not have heard it: it is news to be told on. */
} hs_crash_evidence_source;

/** Evidence that another daemon told. */
void hs_crash_watch_merge_evidence(hs_crash_watch *watch, const hs_crash_evidence *evidence,
                          const hs_crash_evidence_source *source);

/** Evidence that is news since the last call: of hs_crash_evidence. Free with g_array_free. */
GArray *hs_crash_watch_take_updates(hs_crash_watch *watch);

/** Evidence on contents that were lost more than once: the @p most that were lost most. Likewise.
 */
GArray *hs_crash_watch_list(hs_crash_watch *watch, guint max_count);

/** Evidence on contents that are held back now. Likewise. */
GArray *hs_crash_watch_list_quarantined(hs_crash_watch *watch);

/** What daemons compare; see hs_crash_ledger_digest. */
uint64_t hs_crash_watch_digest(hs_crash_watch *watch);

/** Judge anew, since time goes by; at intervals. */
void hs_crash_watch_refresh(hs_crash_watch *watch);

/** Metrics as text. Free with g_free. */
char *hs_crash_watch_describe(hs_crash_watch *watch);

#endif
