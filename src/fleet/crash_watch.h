/**
 * @file crash_watch.h
 * Detects which request contents crash engines, and quarantines them. crash_ledger.h has the rules.
 *
 * Attempts report how their runs ended. After a cut run, crash_probe.h finds out whether the engine
 * crashed. directory/crash_exchange.h sends new evidence to other daemons. The functions are
 * thread-safe.
 */
#ifndef HS_FLEET_CRASH_WATCH_H
#define HS_FLEET_CRASH_WATCH_H

#include "fleet/crash_ledger.h"
#include "fleet/crash_probe.h"
#include "fleet/crash_trials.h"

typedef struct hs_crash_watch hs_crash_watch;

/** Creates a watch and starts its probe. */
hs_crash_watch *hs_crash_watch_new(void);

/** Stops the probe and frees the watch. NULL is allowed. */
void hs_crash_watch_free(hs_crash_watch *watch);

/** See hs_crash_probe_set_filter; @p user_data must outlive the watch. */
void hs_crash_watch_set_engine_filter(hs_crash_watch *watch, hs_crash_probe_filter filter,
                                      void *user_data);

/** Reports a run that was cut. Does not wait for the probe. */
void hs_crash_watch_note_cut(hs_crash_watch *watch, const hs_cut_run *run);

/**
 * Reports that an engine crashed: the engine had not announced that it was leaving, and it
 * restarted under its id or its entry expired. Runs that were cut there shortly before are lost
 * with it, even if the probe found the engine running, because it had restarted already or closed
 * its listener late.
 */
void hs_crash_watch_note_crashed(hs_crash_watch *watch, uint64_t engine);

/**
 * Reports a run whose answer ended with its connection, as answers without a length do: either the
 * answer is complete, or the engine crashed between two events. It counts as survived unless signs
 * of a crash follow.
 */
void hs_crash_watch_note_ended(hs_crash_watch *watch, const hs_cut_run *run);

/** Reports a sign that an engine may have crashed: it refused a connection. Its recent runs are
 * checked again. */
void hs_crash_watch_note_refused(hs_crash_watch *watch, uint64_t engine);

/** Reports a run of these contents that ended with a complete response. */
void hs_crash_watch_note_survived(hs_crash_watch *watch, const hs_request_contents *contents);

/**
 * Returns whether one of the contents is quarantined now, that is, the request is to be sent to no
 * engine. Fills @p quarantine in that case only, with the content that was lost with the most
 * engines.
 */
bool hs_crash_watch_is_quarantined(hs_crash_watch *watch, const hs_request_contents *contents,
                                   hs_crash_quarantine *quarantine);

/** A query to the decider for a trial run. */
typedef struct {
    const hs_crash_evidence *evidence; /**< What the requesting daemon knows. Borrowed. */
    bool is_accepted;                  /**< See hs_trial_candidate. */
    uint64_t trial_engine; /**< See hs_crash_ledger_trial_engine; not set for the decider. */
} hs_trial_query;

/** Sends a query to the decider and waits for its verdict. */
typedef hs_trial_verdict (*hs_trial_query_function)(const hs_trial_query *query, void *user_data);

/** Tells the decider that no engine began the trial run that it granted last. */
typedef void (*hs_trial_return_function)(const hs_trial_query *query, void *user_data);

/** How to reach the decider. */
typedef struct {
    hs_trial_query_function query_trial; /**< NULL: no trial runs are granted. */
    hs_trial_return_function return_trial;
    void *user_data;
} hs_trial_calls;

/** Sets how to reach the decider, before the first request. */
void hs_crash_watch_set_trial_calls(hs_crash_watch *watch, const hs_trial_calls *calls);

/**
 * Requests a trial run of a request with quarantined contents; see crash_trials.h. All of them must
 * have a reason for one; the trial run counts as one of @p content, which
 * hs_crash_watch_is_quarantined named. May wait for another daemon's verdict. @p is_accepted: see
 * hs_trial_candidate.
 */
hs_trial_verdict hs_crash_watch_request_trial(hs_crash_watch *watch,
                                              const hs_request_contents *contents, uint64_t content,
                                              bool is_accepted);

/**
 * Returns a granted trial run that no engine began, as for a request that found all engines
 * unreachable. Otherwise it would count as one of the few that callers' contents get.
 */
void hs_crash_watch_return_trial(hs_crash_watch *watch, uint64_t content);

/** Takes a returned trial run as the decider. */
void hs_crash_watch_take_returned_trial(hs_crash_watch *watch, uint64_t content);

/**
 * Decides on a trial run as the decider for all daemons; see crash_trials.h. Merges the evidence of
 * the query first. @p requester is the requesting daemon's id, for logs.
 */
hs_trial_verdict hs_crash_watch_decide_trial(hs_crash_watch *watch, const hs_trial_query *query,
                                             const char *requester);

/** Where evidence came from. */
typedef struct {
    const char *daemon; /**< Daemon id, or "store". For logs. */
    bool must_relay;    /**< Other daemons may not have received it: new evidence is sent on. */
} hs_crash_evidence_source;

/** Merges evidence that was received from another daemon or read from the store. */
void hs_crash_watch_merge_evidence(hs_crash_watch *watch, const hs_crash_evidence *evidence,
                                   const hs_crash_evidence_source *source);

/** Returns the evidence to be sent to other daemons since the last call (of hs_crash_evidence).
 * Free with g_array_free. */
GArray *hs_crash_watch_take_updates(hs_crash_watch *watch);

/**
 * Returns evidence (hs_crash_evidence) on contents with two or more losses: at most @p max_count,
 * those with the most losses first. Free with g_array_free.
 */
GArray *hs_crash_watch_list(hs_crash_watch *watch, guint max_count);

/** Returns evidence (hs_crash_evidence) on all quarantined contents. Free with g_array_free. */
GArray *hs_crash_watch_list_quarantined(hs_crash_watch *watch);

/** Returns the ledger's digest; see hs_crash_ledger_digest. */
uint64_t hs_crash_watch_digest(hs_crash_watch *watch);

/** Ends quarantines and removes records that have expired. To be called at intervals. */
void hs_crash_watch_refresh(hs_crash_watch *watch);

/** Returns metrics in text format. Free with g_free. */
char *hs_crash_watch_describe(hs_crash_watch *watch);

#endif
