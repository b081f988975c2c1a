/**
 * @file start_rule.h
 * Decides whether the owner of a partition may start its items. No item of a job may reach an
 * engine later than cancel_ms after the job's end was acknowledged. An owner knows of an end by the
 * log, up to the time at which its fold was complete, or by the report of the daemon that
 * acknowledges the end. Pure.
 */
#ifndef HS_JOBS_START_RULE_H
#define HS_JOBS_START_RULE_H

#include <stdbool.h>
#include <stdint.h>

/** What an owner knows of a partition's ends. Times are monotonic, in ms. */
typedef struct {
    uint64_t now_ms;
    uint64_t fold_age_ms;       /**< Time since the fold was complete; UINT64_MAX: it never was. */
    uint64_t reported_since_ms; /**< All ends acknowledged since then were reported to this daemon;
                                     UINT64_MAX: they may not have been. */
    uint32_t cancel_ms;
} hs_ends_knowledge;

/** Time in ms after the decision within which an item must be sent. */
uint64_t hs_start_rule_send_time_ms(uint32_t cancel_ms);

/** Age in ms up to which a fold is recent: an end that it lacks leaves time to send an item. */
uint64_t hs_start_rule_max_age_ms(uint32_t cancel_ms);

/**
 * Whether items may start. True if the fold is so recent that an end that it lacks is younger than
 * cancel_ms when the item reaches an engine, or if all ends that it lacks were reported.
 */
bool hs_start_rule_may_start(const hs_ends_knowledge *knowledge);

#endif
