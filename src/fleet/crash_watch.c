/** @file crash_watch.c  See crash_watch.h. */
#include "fleet/crash_watch.h"

#include "base/clock.h"
#include "base/log.h"

/** Maximum number of quarantined contents listed in the metrics. */
#define MAX_LISTED_CONTENTS 16

struct hs_crash_watch {
    GMutex lock; /**< Guards all members below except the probe. */
    hs_crash_ledger *ledger;
    GArray *updated_contents;   /**< of uint64_t, without duplicates. */
    uint32_t quarantined_count; /**< As of the last evaluation. */
    uint64_t cut_count;
    uint64_t lost_count;     /**< Cut runs whose engine crashed. */
    uint64_t unprobed_count; /**< Cut runs for which the probe's queue was full. */
    GArray *answered_runs;   /**< of hs_cut_run: recent cut runs whose engine was found running. */
    GArray *crashed_engines; /**< of crashed_engine: recent crashes that entries showed. */
    hs_crash_trials *trials;
    hs_trial_calls trial_calls;
    hs_crash_probe *probe;
};

/**
 * Time in ms in which an engine that the probe found running may still turn out to have crashed.
 * Its entry shows a restart within a heartbeat (1.2 s) and a read of the store (1 s), and expires
 * within three seconds of the engine's end.
 */
#define CRASH_DETECTION_MS 4500
/** Maximum number of runs, and of engines, remembered for that time. */
#define MAX_RECENT 512

/**
 * Time in ms after the last loss of a quarantined content in which its trial run goes to a request
 * that has no other lost content. A run of several suspects shows little if it is lost.
 */
#define SINGLE_SUSPECT_MS 1500

/** An engine that crashed by its entry in the store. */
typedef struct {
    uint64_t engine;
    uint64_t detected_ms;
} crashed_engine;

/** The caller holds the lock, as for all functions below that do not take it themselves. */
static void add_update(hs_crash_watch *watch, uint64_t content) {
    for (guint index = 0; index < watch->updated_contents->len; index++)
        if (g_array_index(watch->updated_contents, uint64_t, index) == content)
            return;
    g_array_append_val(watch->updated_contents, content);
}

static void log_change(const hs_crash_quarantine *quarantine, uint64_t now_ms) {
    if (quarantine->is_quarantined)
        hs_log_warning("content_held_back",
                       "content=%016" G_GINT64_MODIFIER
                       "x engines=%u explained=%u for_ms=%" G_GUINT64_FORMAT,
                       (guint64)quarantine->content, quarantine->engines, quarantine->explained,
                       (guint64)(quarantine->until_ms - now_ms));
    else
        hs_log_info("content_released",
                    "content=%016" G_GINT64_MODIFIER "x engines=%u explained=%u cause=%s",
                    (guint64)quarantine->content, quarantine->engines, quarantine->explained,
                    quarantine->until_ms == 0 ? "not_to_blame" : "time");
}

static void evaluate(hs_crash_watch *watch) {
    uint64_t now_ms = hs_clock_monotonic_ms();
    g_autoptr(GArray) changes = g_array_new(FALSE, FALSE, sizeof(hs_crash_quarantine));
    watch->quarantined_count = hs_crash_ledger_evaluate(watch->ledger, now_ms, changes);
    for (guint index = 0; index < changes->len; index++)
        log_change(&g_array_index(changes, hs_crash_quarantine, index), now_ms);
}

/**
 * Evaluates the ledger only if the given content's quarantine may change. Most losses are of
 * contents that are no suspects, and hs_crash_watch_refresh evaluates all others.
 */
static void evaluate_content(hs_crash_watch *watch, uint64_t content) {
    hs_crash_evidence evidence;
    if (hs_crash_ledger_find(watch->ledger, content, &evidence) &&
        (evidence.engine_count >= HS_MIN_CRASHES_TO_QUARANTINE || evidence.is_acquitted))
        evaluate(watch);
}

/** Adds the loss of one content of a run. Returns whether it was recorded. */
static bool add_loss(hs_crash_watch *watch, const hs_cut_run *run, uint64_t content) {
    hs_crash_loss loss = {
        .content = content, .engine = run->engine, .lost_ms = run->cut_ms, .ran_ms = run->ran_ms};
    hs_loss_result result = hs_crash_ledger_add_loss(watch->ledger, &loss, hs_clock_monotonic_ms());
    if (result != HS_LOSS_IGNORED)
        add_update(watch, content);
    return result == HS_LOSS_RECORDED;
}

/** Returns the content of the run that was lost with the most engines. */
static hs_crash_evidence find_most_lost(const hs_crash_watch *watch, const hs_cut_run *run) {
    hs_crash_evidence most = {0};
    hs_crash_evidence evidence;
    for (uint32_t index = 0; index < run->contents.count; index++)
        if (hs_crash_ledger_find(watch->ledger, run->contents.hashes[index], &evidence) &&
            evidence.engine_count > most.engine_count)
            most = evidence;
    return most;
}

/**
 * Records a run as lost. A part of a prompt that crashes engines does so as soon as they write an
 * answer, so a run that lasted says nothing about its parts.
 */
static void record_lost_run(hs_crash_watch *watch, const hs_cut_run *run) {
    bool concerns_parts = run->ran_ms < HS_CRASH_LONG_RUN_MS;
    g_mutex_lock(&watch->lock);
    watch->lost_count++;
    bool is_recorded = add_loss(watch, run, run->contents.hashes[0]);
    for (uint32_t index = 1; concerns_parts && index < run->contents.count; index++)
        is_recorded |= add_loss(watch, run, run->contents.hashes[index]);
    hs_crash_evidence most = find_most_lost(watch, run);
    if (is_recorded)
        evaluate_content(watch, most.content);
    g_mutex_unlock(&watch->lock);
    hs_log_info("run_lost_with_engine",
                "content=%016" G_GINT64_MODIFIER "x parts=%u engine=%s ran_ms=%u recorded=%d "
                "most_lost=%016" G_GINT64_MODIFIER "x engines=%u",
                (guint64)run->contents.hashes[0], run->contents.count - 1, run->engine_id,
                run->ran_ms, is_recorded, (guint64)most.content, most.engine_count);
}

/** Returns whether the engine's entry showed that it crashed. */
static bool has_crashed(const hs_crash_watch *watch, uint64_t engine) {
    for (guint index = 0; index < watch->crashed_engines->len; index++)
        if (g_array_index(watch->crashed_engines, crashed_engine, index).engine == engine)
            return true;
    return false;
}

/** Acquits contents as of @p survived_ms. */
static void acquit(hs_crash_watch *watch, const hs_request_contents *contents,
                   uint64_t survived_ms) {
    bool is_changed = false;
    for (uint32_t index = 0; index < contents->count; index++) {
        if (!hs_crash_ledger_acquit(watch->ledger, contents->hashes[index], survived_ms))
            continue;
        add_update(watch, contents->hashes[index]);
        is_changed = true;
    }
    if (is_changed)
        evaluate(watch);
}

/** Forgets runs whose engine has shown no crash for long enough, and acquits whole ones. */
static void remove_answered_runs(hs_crash_watch *watch, uint64_t now_ms) {
    GArray *answered_runs = watch->answered_runs;
    guint expired_count = 0;
    for (; expired_count < answered_runs->len; expired_count++) {
        const hs_cut_run *run = &g_array_index(answered_runs, hs_cut_run, expired_count);
        if (run->cut_ms + CRASH_DETECTION_MS >= now_ms)
            break;
        if (run->may_be_whole)
            acquit(watch, &run->contents, run->cut_ms);
    }
    if (expired_count == 0 && answered_runs->len == MAX_RECENT)
        expired_count = 1;
    if (expired_count > 0)
        g_array_remove_range(answered_runs, 0, expired_count);
}

/** Remembers a run whose engine was found running: the engine may have restarted in between. */
static void remember_answered_run(hs_crash_watch *watch, const hs_cut_run *run) {
    remove_answered_runs(watch, hs_clock_monotonic_ms());
    g_array_append_val(watch->answered_runs, *run);
}

static void handle_probe_result(const GArray *runs, bool is_crashed, void *user_data) {
    hs_crash_watch *watch = user_data;
    for (guint index = 0; index < runs->len; index++) {
        const hs_cut_run *run = &g_array_index(runs, hs_cut_run, index);
        g_mutex_lock(&watch->lock);
        bool is_lost = is_crashed || has_crashed(watch, run->engine);
        if (!is_lost)
            remember_answered_run(watch, run);
        g_mutex_unlock(&watch->lock);
        if (is_lost)
            record_lost_run(watch, run);
    }
}

/** Removes and returns the remembered runs of an engine (of hs_cut_run). */
static GArray *take_answered_runs(hs_crash_watch *watch, uint64_t engine) {
    GArray *answered = g_array_new(FALSE, FALSE, sizeof(hs_cut_run));
    for (guint index = watch->answered_runs->len; index > 0; index--) {
        hs_cut_run run = g_array_index(watch->answered_runs, hs_cut_run, index - 1);
        if (run.engine != engine)
            continue;
        g_array_append_val(answered, run);
        g_array_remove_index(watch->answered_runs, index - 1);
    }
    return answered;
}

void hs_crash_watch_note_crashed(hs_crash_watch *watch, uint64_t engine) {
    crashed_engine known = {.engine = engine, .detected_ms = hs_clock_monotonic_ms()};
    g_mutex_lock(&watch->lock);
    GArray *crashed_engines = watch->crashed_engines;
    while (crashed_engines->len > 0 &&
           (crashed_engines->len == MAX_RECENT ||
            g_array_index(crashed_engines, crashed_engine, 0).detected_ms + CRASH_DETECTION_MS <
                known.detected_ms))
        g_array_remove_index(crashed_engines, 0);
    g_array_append_val(crashed_engines, known);
    g_autoptr(GArray) runs = take_answered_runs(watch, engine);
    g_mutex_unlock(&watch->lock);
    for (guint index = 0; index < runs->len; index++)
        record_lost_run(watch, &g_array_index(runs, hs_cut_run, index));
}

hs_crash_watch *hs_crash_watch_new(void) {
    hs_crash_watch *watch = g_new0(hs_crash_watch, 1);
    g_mutex_init(&watch->lock);
    watch->ledger = hs_crash_ledger_new();
    watch->trials = hs_crash_trials_new();
    watch->updated_contents = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    watch->answered_runs = g_array_new(FALSE, FALSE, sizeof(hs_cut_run));
    watch->crashed_engines = g_array_new(FALSE, FALSE, sizeof(crashed_engine));
    watch->probe = hs_crash_probe_start(handle_probe_result, watch);
    return watch;
}

void hs_crash_watch_free(hs_crash_watch *watch) {
    if (watch == NULL)
        return;
    hs_crash_probe_stop(watch->probe);
    g_array_free(watch->updated_contents, TRUE);
    g_array_free(watch->answered_runs, TRUE);
    g_array_free(watch->crashed_engines, TRUE);
    hs_crash_ledger_free(watch->ledger);
    hs_crash_trials_free(watch->trials);
    g_mutex_clear(&watch->lock);
    g_free(watch);
}

void hs_crash_watch_set_engine_filter(hs_crash_watch *watch, hs_crash_probe_filter filter,
                                      void *user_data) {
    hs_crash_probe_set_filter(watch->probe, filter, user_data);
}

void hs_crash_watch_note_cut(hs_crash_watch *watch, const hs_cut_run *run) {
    bool is_queued = hs_crash_probe_submit(watch->probe, run);
    g_mutex_lock(&watch->lock);
    watch->cut_count++;
    watch->unprobed_count += !is_queued;
    g_mutex_unlock(&watch->lock);
}

void hs_crash_watch_note_ended(hs_crash_watch *watch, const hs_cut_run *run) {
    hs_cut_run ended = *run;
    ended.may_be_whole = true;
    g_mutex_lock(&watch->lock);
    remember_answered_run(watch, &ended);
    g_mutex_unlock(&watch->lock);
}

void hs_crash_watch_note_refused(hs_crash_watch *watch, uint64_t engine) {
    g_mutex_lock(&watch->lock);
    g_autoptr(GArray) runs = take_answered_runs(watch, engine);
    g_mutex_unlock(&watch->lock);
    for (guint index = 0; index < runs->len; index++)
        hs_crash_probe_submit(watch->probe, &g_array_index(runs, hs_cut_run, index));
}

void hs_crash_watch_note_survived(hs_crash_watch *watch, const hs_request_contents *contents) {
    g_mutex_lock(&watch->lock);
    acquit(watch, contents, hs_clock_monotonic_ms());
    g_mutex_unlock(&watch->lock);
}

/** Orders quarantined contents by the engines lost with them, so that all daemons agree. */
static bool is_more_suspect(const hs_crash_quarantine *one, const hs_crash_quarantine *other) {
    return one->engines > other->engines ||
           (one->engines == other->engines && one->content < other->content);
}

bool hs_crash_watch_is_quarantined(hs_crash_watch *watch, const hs_request_contents *contents,
                                   hs_crash_quarantine *quarantine) {
    hs_crash_quarantine found;
    bool is_quarantined = false;
    g_mutex_lock(&watch->lock);
    uint64_t now_ms = hs_clock_monotonic_ms();
    for (uint32_t index = 0; watch->quarantined_count > 0 && index < contents->count; index++) {
        if (!hs_crash_ledger_is_quarantined(watch->ledger, contents->hashes[index], now_ms,
                                            &found) ||
            (is_quarantined && !is_more_suspect(&found, quarantine)))
            continue;
        *quarantine = found;
        is_quarantined = true;
    }
    g_mutex_unlock(&watch->lock);
    return is_quarantined;
}

void hs_crash_watch_set_trial_calls(hs_crash_watch *watch, const hs_trial_calls *calls) {
    g_mutex_lock(&watch->lock);
    watch->trial_calls = *calls;
    g_mutex_unlock(&watch->lock);
}

/** Returns whether the received evidence lacks an acquittal that this daemon knows of. */
static bool is_missing_acquittal(hs_crash_watch *watch, const hs_crash_evidence *received) {
    hs_crash_evidence own;
    return hs_crash_ledger_find(watch->ledger, received->content, &own) && own.is_acquitted &&
           !received->is_acquitted && received->engine_count > 0;
}

void hs_crash_watch_merge_evidence(hs_crash_watch *watch, const hs_crash_evidence *evidence,
                                   const hs_crash_evidence_source *source) {
    uint64_t now_ms = hs_clock_monotonic_ms();
    bool is_new = false;
    g_mutex_lock(&watch->lock);
    for (uint32_t index = 0; index < evidence->engine_count; index++) {
        hs_crash_loss loss = {.content = evidence->content,
                              .engine = evidence->engines[index].engine,
                              .lost_ms = evidence->engines[index].lost_ms,
                              .ran_ms = evidence->engines[index].ran_ms};
        is_new |= hs_crash_ledger_add_loss(watch->ledger, &loss, now_ms) == HS_LOSS_RECORDED;
    }
    if (evidence->is_acquitted)
        is_new |= hs_crash_ledger_acquit(watch->ledger, evidence->content, evidence->acquitted_ms);
    if ((is_new && source->must_relay) || is_missing_acquittal(watch, evidence))
        add_update(watch, evidence->content);
    if (is_new) {
        hs_log_info("crash_evidence_told",
                    "content=%016" G_GINT64_MODIFIER "x engines=%u acquitted=%d told_by=%s",
                    (guint64)evidence->content, evidence->engine_count, evidence->is_acquitted,
                    source->daemon);
        evaluate_content(watch, evidence->content);
    }
    g_mutex_unlock(&watch->lock);
}

static hs_trial_candidate make_candidate(const hs_crash_watch *watch, const hs_trial_query *query) {
    return (hs_trial_candidate){.evidence = query->evidence,
                                .has_alternative_cause = hs_crash_ledger_has_alternative_cause(
                                    watch->ledger, query->evidence->content),
                                .is_accepted = query->is_accepted};
}

/**
 * Checks the conditions of a trial run for all quarantined contents of a caller's request: one of
 * them may have crashed engines too often, though another one is the most suspect.
 */
static hs_trial_verdict check_contents(const hs_crash_watch *watch,
                                       const hs_request_contents *contents) {
    hs_trial_verdict verdict = HS_TRIAL_GRANTED;
    uint64_t now_ms = hs_clock_monotonic_ms();
    for (uint32_t index = 0; index < contents->count && verdict == HS_TRIAL_GRANTED; index++) {
        hs_crash_quarantine quarantine;
        hs_crash_evidence evidence;
        hs_trial_query query = {.evidence = &evidence};
        if (!hs_crash_ledger_is_quarantined(watch->ledger, contents->hashes[index], now_ms,
                                            &quarantine) ||
            !hs_crash_ledger_find(watch->ledger, contents->hashes[index], &evidence))
            continue;
        hs_trial_candidate candidate = make_candidate(watch, &query);
        verdict = hs_crash_trials_check(&candidate);
    }
    return verdict;
}

/** Returns whether the request has another content with losses, and should leave the trial run of
 * @p content to requests that have none. */
static bool is_trial_left_to_others(const hs_crash_watch *watch,
                                    const hs_request_contents *contents,
                                    const hs_crash_evidence *content) {
    const hs_crash_engine *last = hs_crash_evidence_last_loss(content);
    if (last == NULL || hs_clock_monotonic_ms() >= last->lost_ms + SINGLE_SUSPECT_MS)
        return false;
    bool is_found = false;
    hs_crash_evidence other;
    for (uint32_t index = 0; index < contents->count && !is_found; index++)
        is_found = contents->hashes[index] != content->content &&
                   hs_crash_ledger_find(watch->ledger, contents->hashes[index], &other) &&
                   other.engine_count > 0;
    return is_found;
}

hs_trial_verdict hs_crash_watch_request_trial(hs_crash_watch *watch,
                                              const hs_request_contents *contents, uint64_t content,
                                              bool is_accepted) {
    hs_crash_evidence evidence = {0};
    hs_trial_query query = {.evidence = &evidence, .is_accepted = is_accepted};
    hs_trial_verdict verdict = HS_TRIAL_NO_GROUNDS;
    g_mutex_lock(&watch->lock);
    hs_trial_calls calls = watch->trial_calls;
    if (hs_crash_ledger_find(watch->ledger, content, &evidence)) {
        /* Accepted work meets these conditions, and each held item asks twice a second. */
        verdict = is_accepted ? HS_TRIAL_GRANTED : check_contents(watch, contents);
        if (verdict == HS_TRIAL_GRANTED && is_trial_left_to_others(watch, contents, &evidence))
            verdict = HS_TRIAL_TOO_SOON;
        query.trial_engine = hs_crash_ledger_trial_engine(watch->ledger, content);
    }
    g_mutex_unlock(&watch->lock);
    if (verdict != HS_TRIAL_GRANTED)
        return verdict;
    return calls.query_trial != NULL ? calls.query_trial(&query, calls.user_data)
                                     : HS_TRIAL_NO_DECIDER;
}

void hs_crash_watch_return_trial(hs_crash_watch *watch, uint64_t content) {
    hs_crash_evidence evidence = {0};
    hs_trial_query query = {.evidence = &evidence};
    g_mutex_lock(&watch->lock);
    hs_trial_calls calls = watch->trial_calls;
    bool is_known = hs_crash_ledger_find(watch->ledger, content, &evidence);
    query.trial_engine = hs_crash_ledger_trial_engine(watch->ledger, content);
    g_mutex_unlock(&watch->lock);
    if (is_known && calls.return_trial != NULL)
        calls.return_trial(&query, calls.user_data);
}

void hs_crash_watch_take_returned_trial(hs_crash_watch *watch, uint64_t content) {
    g_mutex_lock(&watch->lock);
    hs_crash_trials_return(watch->trials, content);
    g_mutex_unlock(&watch->lock);
    hs_log_info("content_trial_returned", "content=%016" G_GINT64_MODIFIER "x", (guint64)content);
}

hs_trial_verdict hs_crash_watch_decide_trial(hs_crash_watch *watch, const hs_trial_query *query,
                                             const char *requester) {
    hs_crash_evidence evidence;
    hs_trial_verdict verdict = HS_TRIAL_NO_GROUNDS;
    hs_crash_watch_merge_evidence(watch, query->evidence,
                                  &(hs_crash_evidence_source){.daemon = requester});
    g_mutex_lock(&watch->lock);
    if (hs_crash_ledger_find(watch->ledger, query->evidence->content, &evidence)) {
        hs_trial_query known = {.evidence = &evidence, .is_accepted = query->is_accepted};
        hs_trial_candidate candidate = make_candidate(watch, &known);
        candidate.is_last_loss_shared = !query->is_accepted && hs_crash_ledger_is_last_loss_shared(
                                                                   watch->ledger, evidence.content);
        verdict = hs_crash_trials_decide(watch->trials, &candidate, hs_clock_monotonic_ms());
    }
    g_mutex_unlock(&watch->lock);
    if (verdict == HS_TRIAL_GRANTED)
        hs_log_info("content_on_trial",
                    "content=%016" G_GINT64_MODIFIER
                    "x engines=%u ran_on=%d accepted=%d asked_by=%s",
                    (guint64)evidence.content, evidence.engine_count,
                    hs_crash_evidence_has_long_run(&evidence), query->is_accepted, requester);
    return verdict;
}

GArray *hs_crash_watch_take_updates(hs_crash_watch *watch) {
    GArray *updates = g_array_new(FALSE, FALSE, sizeof(hs_crash_evidence));
    hs_crash_evidence evidence;
    g_mutex_lock(&watch->lock);
    for (guint index = 0; index < watch->updated_contents->len; index++)
        if (hs_crash_ledger_find(
                watch->ledger, g_array_index(watch->updated_contents, uint64_t, index), &evidence))
            g_array_append_val(updates, evidence);
    g_array_set_size(watch->updated_contents, 0);
    g_mutex_unlock(&watch->lock);
    return updates;
}

static gint compare_engine_counts(gconstpointer left, gconstpointer right) {
    const hs_crash_evidence *first = left;
    const hs_crash_evidence *second = right;
    return (gint)second->engine_count - (gint)first->engine_count;
}

GArray *hs_crash_watch_list(hs_crash_watch *watch, guint max_count) {
    GArray *evidence = g_array_new(FALSE, FALSE, sizeof(hs_crash_evidence));
    g_mutex_lock(&watch->lock);
    hs_crash_ledger_list(watch->ledger, 2, evidence);
    g_mutex_unlock(&watch->lock);
    g_array_sort(evidence, compare_engine_counts);
    if (evidence->len > max_count)
        g_array_set_size(evidence, max_count);
    return evidence;
}

GArray *hs_crash_watch_list_quarantined(hs_crash_watch *watch) {
    GArray *evidence = g_array_new(FALSE, FALSE, sizeof(hs_crash_evidence));
    g_autoptr(GArray) quarantines = g_array_new(FALSE, FALSE, sizeof(hs_crash_quarantine));
    hs_crash_evidence found;
    g_mutex_lock(&watch->lock);
    hs_crash_ledger_list_quarantined(watch->ledger, hs_clock_monotonic_ms(), quarantines);
    for (guint index = 0; index < quarantines->len; index++)
        if (hs_crash_ledger_find(watch->ledger,
                                 g_array_index(quarantines, hs_crash_quarantine, index).content,
                                 &found))
            g_array_append_val(evidence, found);
    g_mutex_unlock(&watch->lock);
    return evidence;
}

uint64_t hs_crash_watch_digest(hs_crash_watch *watch) {
    g_mutex_lock(&watch->lock);
    uint64_t digest = hs_crash_ledger_digest(watch->ledger);
    g_mutex_unlock(&watch->lock);
    return digest;
}

void hs_crash_watch_refresh(hs_crash_watch *watch) {
    g_mutex_lock(&watch->lock);
    remove_answered_runs(watch, hs_clock_monotonic_ms());
    if (hs_crash_ledger_size(watch->ledger) > 0)
        evaluate(watch);
    g_mutex_unlock(&watch->lock);
}

char *hs_crash_watch_describe(hs_crash_watch *watch) {
    GString *text = g_string_new(NULL);
    uint64_t now_ms = hs_clock_monotonic_ms();
    g_autoptr(GArray) quarantines = g_array_new(FALSE, FALSE, sizeof(hs_crash_quarantine));
    g_mutex_lock(&watch->lock);
    hs_crash_ledger_list_quarantined(watch->ledger, now_ms, quarantines);
    g_string_append_printf(text,
                           "heathsail_engine_crashes %u\nheathsail_runs_cut %" G_GUINT64_FORMAT
                           "\nheathsail_runs_lost_with_engine %" G_GUINT64_FORMAT
                           "\nheathsail_runs_cut_unlooked %" G_GUINT64_FORMAT
                           "\nheathsail_contents_remembered %u\nheathsail_contents_held_back %u\n",
                           hs_crash_probe_crash_count(watch->probe), (guint64)watch->cut_count,
                           (guint64)watch->lost_count, (guint64)watch->unprobed_count,
                           hs_crash_ledger_size(watch->ledger), quarantines->len);
    g_mutex_unlock(&watch->lock);
    for (guint index = 0; index < MIN(quarantines->len, MAX_LISTED_CONTENTS); index++) {
        const hs_crash_quarantine *quarantine =
            &g_array_index(quarantines, hs_crash_quarantine, index);
        g_string_append_printf(
            text,
            "heathsail_content_held_back_ms{content=\"%016" G_GINT64_MODIFIER
            "x\"} %" G_GUINT64_FORMAT
            "\nheathsail_content_engines_lost{content=\"%016" G_GINT64_MODIFIER "x\"} %u\n",
            (guint64)quarantine->content, (guint64)(quarantine->until_ms - now_ms),
            (guint64)quarantine->content, quarantine->engines);
    }
    return g_string_free(text, FALSE);
}
