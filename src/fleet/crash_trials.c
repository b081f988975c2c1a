/** @file crash_trials.c  See crash_trials.h. */
#include "fleet/crash_trials.h"

/** Delay in ms from a content's last loss to its first trial run: enough for all daemons to learn
 * of the loss and for the engines to restart. */
#define FIRST_TRIAL_DELAY_MS 300
/** Delay in ms between the first two trial runs, and from the last loss to the first one of
 * accepted work without any other reason for a trial run. */
#define NEXT_TRIAL_DELAY_MS 2000
/** Maximum delay in ms. Longer ones leave an item that lost eight engines in a row, each as soon as
 * it ran, too little of a retention of 60 s to complete. */
#define MAX_TRIAL_DELAY_MS 5000
/** Time in ms from the start of a trial run during which other contents that may be the cause do
 * not run. Several times what a content that crashes engines takes to do so. */
#define EXCLUSIVE_TRIAL_MS 800
/** Maximum number of trial runs of accepted work in that time. A crash can leave dozens of suspect
 * items, which one at a time would take too long. They run on different engines, so their results
 * are as clear as one at a time. */
#define MAX_CONCURRENT_ACCEPTED 4
/** Time in ms for which a trial run is remembered: as long as a first quarantine. */
#define RETENTION_MS 120000
/** Maximum number of contents remembered. */
#define MAX_CONTENTS 1024
/** Time in ms after the loss that quarantines a content in which further losses are of runs that
 * had started before. Later losses are of trial runs, or of daemons that did not know of the
 * quarantine. */
#define PROPAGATION_MS 3000
/** Maximum number of such later losses that a callers' content may have to get a trial run. Of the
 * three runs that are allowed, this leaves one for two daemons that grant at the same time, or for
 * a loss that is reported late. */
#define MAX_LATE_LOSSES 1

/** Trial runs of one content. */
typedef struct {
    uint64_t content;
    uint32_t count;             /**< Without those that were returned. */
    uint64_t last_ms;           /**< 0 if none was granted. */
    bool is_last_returned;      /**< The last one was not begun, or was inconclusive. */
    bool has_alternative_cause; /**< At the last trial run. */
} content_trials;

struct hs_crash_trials {
    GArray *histories; /**< of content_trials */
};

hs_crash_trials *hs_crash_trials_new(void) {
    hs_crash_trials *trials = g_new0(hs_crash_trials, 1);
    trials->histories = g_array_new(FALSE, TRUE, sizeof(content_trials));
    return trials;
}

void hs_crash_trials_free(hs_crash_trials *trials) {
    if (trials == NULL)
        return;
    g_array_free(trials->histories, TRUE);
    g_free(trials);
}

static void remove_expired(hs_crash_trials *trials, uint64_t now_ms) {
    for (guint index = trials->histories->len; index > 0; index--)
        if (g_array_index(trials->histories, content_trials, index - 1).last_ms + RETENTION_MS <
            now_ms)
            g_array_remove_index_fast(trials->histories, index - 1);
}

/** Returns a content's trial runs, or NULL if there were none. */
static content_trials *find_history(hs_crash_trials *trials, uint64_t content) {
    for (guint index = 0; index < trials->histories->len; index++)
        if (g_array_index(trials->histories, content_trials, index).content == content)
            return &g_array_index(trials->histories, content_trials, index);
    return NULL;
}

static content_trials *find_oldest_history(const hs_crash_trials *trials) {
    content_trials *oldest = &g_array_index(trials->histories, content_trials, 0);
    for (guint index = 1; index < trials->histories->len; index++) {
        content_trials *history = &g_array_index(trials->histories, content_trials, index);
        oldest = history->last_ms < oldest->last_ms ? history : oldest;
    }
    return oldest;
}

/**
 * Adds an empty history. In a full table that of accepted work replaces the oldest one, since it
 * must not wait for other contents; any other content gets NULL.
 */
static content_trials *add_history(hs_crash_trials *trials, const hs_trial_candidate *candidate) {
    GArray *histories = trials->histories;
    content_trials *history = NULL;
    if (histories->len < MAX_CONTENTS) {
        g_array_set_size(histories, histories->len + 1);
        history = &g_array_index(histories, content_trials, histories->len - 1);
    } else if (candidate->is_accepted) {
        history = find_oldest_history(trials);
    }
    if (history != NULL)
        *history = (content_trials){.content = candidate->evidence->content};
    return history;
}

/** Counts the losses more than @p delay_ms after the one that quarantined the content. */
static uint32_t count_losses_after(const hs_crash_evidence *evidence, uint64_t delay_ms) {
    uint64_t since_ms = hs_crash_evidence_suspect_since_ms(evidence);
    uint32_t count = 0;
    for (uint32_t index = 0; since_ms != 0 && index < evidence->engine_count; index++)
        count += evidence->engines[index].lost_ms > since_ms + delay_ms;
    return count;
}

/** Returns whether something else than the content may have crashed the engines. */
static bool has_grounds(const hs_trial_candidate *candidate) {
    return candidate->has_alternative_cause || hs_crash_evidence_has_long_run(candidate->evidence);
}

hs_trial_verdict hs_crash_trials_check(const hs_trial_candidate *candidate) {
    if (candidate->is_accepted)
        return HS_TRIAL_GRANTED;
    if (!has_grounds(candidate))
        return HS_TRIAL_NO_GROUNDS;
    uint32_t late = count_losses_after(candidate->evidence, PROPAGATION_MS);
    return late > MAX_LATE_LOSSES ? HS_TRIAL_EXHAUSTED : HS_TRIAL_GRANTED;
}

static uint64_t find_last_loss_ms(const hs_crash_evidence *evidence) {
    const hs_crash_engine *last = hs_crash_evidence_last_loss(evidence);
    return last != NULL ? last->lost_ms : 0;
}

/**
 * Returns the delay of a trial run of accepted work, which has no maximum number of them. It grows
 * with the trial runs that this daemon granted, or with the losses since the first one was due if
 * these are more: other daemons may have decided before, as the decider depends on the engines
 * lost.
 */
static uint64_t compute_accepted_delay_ms(const content_trials *history,
                                          const hs_trial_candidate *candidate) {
    uint32_t trials =
        MAX(history->count, count_losses_after(candidate->evidence, FIRST_TRIAL_DELAY_MS));
    if (!has_grounds(candidate))
        return trials == 0 ? NEXT_TRIAL_DELAY_MS : MAX_TRIAL_DELAY_MS;
    if (trials == 0)
        return FIRST_TRIAL_DELAY_MS;
    return MIN((uint64_t)NEXT_TRIAL_DELAY_MS << MIN(trials - 1, 8U), MAX_TRIAL_DELAY_MS);
}

/**
 * Returns when the next trial run is due. Its delay counts from the last one, unless that was
 * returned, and for accepted work from each loss as well: another daemon may have granted the trial
 * run that was lost. After a loss of a callers' content, only the engines have to restart: it may
 * be lost in between, as it is released while another content explains its losses.
 */
static uint64_t compute_due_ms(const content_trials *history, const hs_trial_candidate *candidate) {
    uint64_t loss_ms = find_last_loss_ms(candidate->evidence);
    uint64_t delay_ms = history->count == 0 ? FIRST_TRIAL_DELAY_MS : NEXT_TRIAL_DELAY_MS;
    uint64_t loss_delay_ms = FIRST_TRIAL_DELAY_MS;
    if (candidate->is_accepted) {
        delay_ms = compute_accepted_delay_ms(history, candidate);
        loss_delay_ms = delay_ms;
    }
    if (history->is_last_returned)
        delay_ms = FIRST_TRIAL_DELAY_MS;
    return MAX(history->last_ms + delay_ms, loss_ms + loss_delay_ms);
}

/** Returns whether the candidate may run beside the trial runs that are under way. */
static bool can_run_now(const hs_crash_trials *trials, const hs_trial_candidate *candidate,
                        uint64_t now_ms) {
    uint32_t others = 0;
    for (guint index = 0; index < trials->histories->len; index++) {
        const content_trials *history = &g_array_index(trials->histories, content_trials, index);
        others += history->has_alternative_cause && history->last_ms != 0 &&
                  !history->is_last_returned && now_ms < history->last_ms + EXCLUSIVE_TRIAL_MS;
    }
    return !candidate->has_alternative_cause ||
           others < (candidate->is_accepted ? MAX_CONCURRENT_ACCEPTED : 1U);
}

/** Returns a content's last trial run, so that it is not counted. NULL is allowed. */
static void return_last(content_trials *history) {
    if (history == NULL || history->count == 0 || history->is_last_returned)
        return;
    history->count--;
    history->is_last_returned = true;
}

/** Returns the last trial run of a callers' content if it was inconclusive: its engine crashed
 * under another suspect as well, which may not have been quarantined yet. Accepted work, whose
 * trial runs are not limited, keeps its delay: the other suspect may be a part of its own prompt.
 */
static void return_if_inconclusive(content_trials *history, const hs_trial_candidate *candidate) {
    if (history != NULL && !candidate->is_accepted && candidate->is_last_loss_shared &&
        find_last_loss_ms(candidate->evidence) >= history->last_ms)
        return_last(history);
}

hs_trial_verdict hs_crash_trials_decide(hs_crash_trials *trials,
                                        const hs_trial_candidate *candidate, uint64_t now_ms) {
    remove_expired(trials, now_ms);
    hs_trial_verdict verdict = hs_crash_trials_check(candidate);
    if (verdict != HS_TRIAL_GRANTED)
        return verdict;
    content_trials *history = find_history(trials, candidate->evidence->content);
    return_if_inconclusive(history, candidate);
    if (!can_run_now(trials, candidate, now_ms))
        return HS_TRIAL_OTHERS_RUNNING;
    static const content_trials none;
    const content_trials *known = history != NULL ? history : &none;
    if (!candidate->is_accepted && known->count >= HS_MAX_CALLER_TRIALS)
        return HS_TRIAL_EXHAUSTED;
    if (now_ms < compute_due_ms(known, candidate))
        return HS_TRIAL_TOO_SOON;
    if (history == NULL)
        history = add_history(trials, candidate);
    if (history == NULL)
        return HS_TRIAL_TABLE_FULL;
    history->count++;
    history->last_ms = now_ms;
    history->is_last_returned = false;
    history->has_alternative_cause = candidate->has_alternative_cause;
    return HS_TRIAL_GRANTED;
}

void hs_crash_trials_return(hs_crash_trials *trials, uint64_t content) {
    return_last(find_history(trials, content));
}

const char *hs_trial_verdict_name(hs_trial_verdict verdict) {
    static const char *const names[] = {
        [HS_TRIAL_NO_REASON] = "untold",         [HS_TRIAL_GRANTED] = "granted",
        [HS_TRIAL_NO_GROUNDS] = "no_grounds",    [HS_TRIAL_EXHAUSTED] = "spent",
        [HS_TRIAL_TOO_SOON] = "too_soon",        [HS_TRIAL_OTHERS_RUNNING] = "not_alone",
        [HS_TRIAL_TABLE_FULL] = "no_room",       [HS_TRIAL_UNANSWERED] = "unanswered",
        [HS_TRIAL_NO_DECIDER] = "nobody_to_ask", [HS_TRIAL_NO_ENGINE] = "no_engine",
        [HS_TRIAL_UNKNOWN] = "unknown"};
    return names[verdict];
}
