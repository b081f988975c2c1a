/**
 * @file crash_ledger.h
 * Records which request contents were running on engines that crashed, and decides which contents
 * to quarantine, that is, to send to no engine for some time.
 *
 * An engine that crashes does not report which request caused it, so each loss is recorded as a
 * pair (content, engine):
 *
 * - A content that is lost with HS_MIN_CRASHES_TO_QUARANTINE engines without a completed run in
 *   between is quarantined. Each further loss doubles the quarantine.
 * - A run that completes acquits its content: losses before that run, and for some time after it,
 *   are not counted. This protects frequent contents, which run on most engines that crash.
 * - A loss is explained by another content, and not counted, if that content was lost with the same
 *   engine and with clearly more engines in total.
 * - A loss counts half if another content that was lost with the same engine had been found to be
 *   the cause before.
 *
 * Losses and acquittals can be merged in any order and repeatedly, so daemons that know the same
 * losses reach the same decisions. Memory is bounded, and records expire some time after the last
 * loss. A restarted engine counts as another engine, so each engine crashes at most once.
 *
 * The module does no I/O and reads no clock: times are passed in, in ms of the monotonic clock. A
 * ledger is not thread-safe.
 */
#ifndef HS_FLEET_CRASH_LEDGER_H
#define HS_FLEET_CRASH_LEDGER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * Number of engines with which a content is lost before it is quarantined. If a tenth of all runs
 * are lost, one content in a thousand reaches three losses in a row by chance.
 */
#define HS_MIN_CRASHES_TO_QUARANTINE 3
/** Maximum number of contents in the ledger (about 300 kB). A new content then replaces the one
 * that was lost with the fewest engines. */
#define HS_MAX_CRASH_CONTENTS 1024
/** Maximum number of engines recorded for a content: those lost last. The longest quarantine takes
 * fewer. */
#define HS_MAX_CRASH_ENGINES 10

/** The loss of a content's run with an engine that crashed. */
typedef struct {
    uint64_t content; /**< Hash of the request content. */
    uint64_t engine;  /**< Hash of the engine's incarnation. */
    uint64_t lost_ms;
    uint32_t ran_ms; /**< See hs_crash_engine. */
} hs_crash_loss;

/** An engine that crashed while it ran a content. */
typedef struct {
    uint64_t engine;
    uint64_t lost_ms;
    uint32_t ran_ms; /**< From the run's first event to its cut; 0 if there was none or unknown. */
} hs_crash_engine;

/** All that a ledger records on one content. */
typedef struct {
    uint64_t content;
    bool is_acquitted;
    uint64_t acquitted_ms; /**< When the last run that is known to have completed did so. */
    uint32_t engine_count;
    hs_crash_engine engines[HS_MAX_CRASH_ENGINES];
} hs_crash_evidence;

/**
 * Returns when the content became a suspect, that is, the time of its
 * HS_MIN_CRASHES_TO_QUARANTINE-th loss, or 0 if it has fewer losses.
 */
uint64_t hs_crash_evidence_suspect_since_ms(const hs_crash_evidence *evidence);

/** Returns the content's last loss; NULL: there is none. Borrowed. */
const hs_crash_engine *hs_crash_evidence_last_loss(const hs_crash_evidence *evidence);

/**
 * Returns whether a lost run had lasted for HS_CRASH_LONG_RUN_MS or more, which suggests another
 * cause: a content that crashes engines does so soon after its run starts.
 */
bool hs_crash_evidence_has_long_run(const hs_crash_evidence *evidence);

/** Time in ms by which a content that crashes engines has done so, with a wide margin. */
#define HS_CRASH_LONG_RUN_MS 1000

/** Quarantine state of one content. */
typedef struct {
    uint64_t content;
    bool is_quarantined;
    uint64_t until_ms;  /**< 0 if the losses do not suffice for a quarantine. */
    uint32_t engines;   /**< Number of engines with which the content was lost. */
    uint32_t explained; /**< Number of these losses that count half or not at all. */
} hs_crash_quarantine;

/** Result of adding a loss to a ledger. */
typedef enum {
    HS_LOSS_IGNORED, /**< The loss is known already, or too old, also for a full record. */
    HS_LOSS_RECORDED,
    HS_LOSS_ACQUITTED, /**< Not counted: a run of the content completed shortly before or later. */
} hs_loss_result;

typedef struct hs_crash_ledger hs_crash_ledger;

hs_crash_ledger *hs_crash_ledger_new(void);
void hs_crash_ledger_free(hs_crash_ledger *ledger);

/** Adds a loss. If the loss is known, keeps the longer of both values of ran_ms. */
hs_loss_result hs_crash_ledger_add_loss(hs_crash_ledger *ledger, const hs_crash_loss *loss,
                                        uint64_t now_ms);

/**
 * Notes that a run of the content completed at @p survived_ms. Returns whether this removed
 * recorded losses of the content.
 */
bool hs_crash_ledger_acquit(hs_crash_ledger *ledger, uint64_t content, uint64_t survived_ms);

/**
 * Determines which contents are quarantined and removes expired records. Appends the state of
 * each content whose quarantine began or ended since the last call to @p changes (of
 * hs_crash_quarantine). Returns the number of quarantined contents.
 */
uint32_t hs_crash_ledger_evaluate(hs_crash_ledger *ledger, uint64_t now_ms, GArray *changes);

/**
 * Returns whether the content was quarantined at the last call of hs_crash_ledger_evaluate and the
 * quarantine has not ended since. Fills @p quarantine in that case only.
 */
bool hs_crash_ledger_is_quarantined(const hs_crash_ledger *ledger, uint64_t content,
                                    uint64_t now_ms, hs_crash_quarantine *quarantine);

/**
 * Returns whether another content was lost with at least HS_MIN_SHARED_CRASHES of the engines with
 * which this content was lost. By the losses alone, either may be the cause.
 */
bool hs_crash_ledger_has_alternative_cause(const hs_crash_ledger *ledger, uint64_t content);

/**
 * Returns whether another suspect, that is, a content with HS_MIN_CRASHES_TO_QUARANTINE losses, was
 * lost with the engine of this content's last loss. That loss then does not show which is the
 * cause.
 */
bool hs_crash_ledger_is_last_loss_shared(const hs_crash_ledger *ledger, uint64_t content);

/**
 * Returns the lowest hash of the engines with which this content was lost, or another suspect that
 * shares an engine with it directly or through further suspects, as of the last evaluation. All of
 * these contents have the same value, by which daemons find the one decider of their trial runs.
 * Without an evaluation as a suspect, only this content's engines count.
 */
uint64_t hs_crash_ledger_trial_engine(const hs_crash_ledger *ledger, uint64_t content);

/** Number of engines that two contents must have been lost with together to be each other's
 * alternative cause. */
#define HS_MIN_SHARED_CRASHES 2

/** Appends the state of all quarantined contents to @p quarantines (of hs_crash_quarantine). */
void hs_crash_ledger_list_quarantined(const hs_crash_ledger *ledger, uint64_t now_ms,
                                      GArray *quarantines);

/**
 * Returns a digest of all losses of contents with two or more losses. Daemons compare digests to
 * detect that one of them lacks losses. Contents with one loss are left out: most of them did not
 * cause the crash. Two full records of a content are taken to be equal.
 */
uint64_t hs_crash_ledger_digest(const hs_crash_ledger *ledger);

/** Appends the evidence (hs_crash_evidence) on each content that was lost with @p min_engines
 * engines or more. */
void hs_crash_ledger_list(const hs_crash_ledger *ledger, uint32_t min_engines, GArray *evidence);

/** Copies the evidence on a content; returns false if the ledger has none. */
bool hs_crash_ledger_find(const hs_crash_ledger *ledger, uint64_t content,
                          hs_crash_evidence *evidence);

/** Returns the number of contents in the ledger. */
uint32_t hs_crash_ledger_size(const hs_crash_ledger *ledger);

#endif
