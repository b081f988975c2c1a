/**
 * @file crash_trials.h
 * Decides which quarantined contents may have a trial run, which finds out whether they crash
 * engines.
 *
 * A completed run ends a quarantine, but a quarantined content gets no ordinary runs. The content
 * may therefore have trial runs, with delays between them, in these cases:
 *
 * - Another content was lost with the same engines, so either content may be the cause. Such
 *   contents run one at a time.
 * - A run of the content had lasted for a long time before its loss. A content that crashes engines
 *   does so soon after its run starts.
 * - The content is accepted work. Without one of the other reasons, the delays are longer.
 *
 * A content that callers send gets few trial runs, and none once some engines were lost to them.
 * Accepted work does not crash engines by itself, so no number of losses shows that it is the
 * cause, and the fleet must complete it: it gets trial runs until it ends. The delays between them
 * limit how many engines a minute are lost if it shares the cause with callers' requests, as a part
 * of its prompt or its whole content.
 *
 * The module does no I/O and reads no clock: times are passed in, in ms of the monotonic clock.
 * Objects are not thread-safe.
 */
#ifndef HS_FLEET_CRASH_TRIALS_H
#define HS_FLEET_CRASH_TRIALS_H

#include "fleet/crash_ledger.h"

/** Maximum number of trial runs of a content that callers send, but for returned ones. Each may
 * cost an engine, and at most three runs are allowed after the quarantine began, even if two
 * daemons grant one each at the same time. */
#define HS_MAX_CALLER_TRIALS 2

/** A quarantined content for which a trial run is requested. */
typedef struct {
    const hs_crash_evidence *evidence; /**< Borrowed. */
    bool has_alternative_cause;        /**< See hs_crash_ledger_has_alternative_cause. */
    bool is_last_loss_shared; /**< See hs_crash_ledger_is_last_loss_shared; for the decision on a
                                   callers' content. */
    bool is_accepted;         /**< It is accepted work, which the fleet must complete. */
} hs_trial_candidate;

/** Result of a request for a trial run. Daemons send these values to each other: add new ones at
 * the end. */
typedef enum {
    HS_TRIAL_NO_REASON,      /**< Refused by a daemon whose version sends no reason. */
    HS_TRIAL_GRANTED,        /**< The content may run once. */
    HS_TRIAL_NO_GROUNDS,     /**< The content has no reason for a trial run. */
    HS_TRIAL_EXHAUSTED,      /**< A callers' content has no trial runs left, or lost too many
                                  engines. Earlier versions also refuse accepted work so. */
    HS_TRIAL_TOO_SOON,       /**< Too soon after the last loss or trial run. */
    HS_TRIAL_OTHERS_RUNNING, /**< Other contents that may be the cause have their trial runs now. */
    HS_TRIAL_TABLE_FULL,     /**< The decider remembers too many contents. Only earlier versions
                                  refuse accepted work for it. */
    HS_TRIAL_UNANSWERED,     /**< The decider did not answer in time. */
    HS_TRIAL_NO_DECIDER,     /**< There is no daemon to send the request to. */
    HS_TRIAL_NO_ENGINE,      /**< Not requested: no engine is expected to begin the run. */
    HS_TRIAL_UNKNOWN,        /**< Refused for a reason that this version does not know. */
} hs_trial_verdict;

/** Returns the name of a verdict in logs. */
const char *hs_trial_verdict_name(hs_trial_verdict verdict);

/** Trial runs granted by this daemon. */
typedef struct hs_crash_trials hs_crash_trials;

hs_crash_trials *hs_crash_trials_new(void);

/** Frees the object. NULL is allowed. */
void hs_crash_trials_free(hs_crash_trials *trials);

/** Checks the conditions that do not depend on other trial runs. Returns HS_TRIAL_GRANTED if the
 * candidate meets them, else the reason for refusing a trial run. */
hs_trial_verdict hs_crash_trials_check(const hs_trial_candidate *candidate);

/** Decides whether the candidate may run once now, and records the trial run if so. */
hs_trial_verdict hs_crash_trials_decide(hs_crash_trials *trials,
                                        const hs_trial_candidate *candidate, uint64_t now_ms);

/**
 * Returns the last trial run of a content, which no engine began. It is not counted and keeps no
 * other content from running; the next one may follow after the delay of a first one.
 */
void hs_crash_trials_return(hs_crash_trials *trials, uint64_t content);

#endif
