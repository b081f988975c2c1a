/** @file item_loss_calls.h  Calls of the suites in which engines crash under items of jobs. */
#ifndef TESTS_SYSTEM_ITEM_LOSS_CALLS_H
#define TESTS_SYSTEM_ITEM_LOSS_CALLS_H

#include <stdint.h>

/** The platform's finish-s in ms: limit for a job to complete after the last failure. */
#define FINISH_MS 18000
/** Delays in ms from the start of a run to a crash in its middle, longer than HS_CRASH_LONG_RUN_MS,
 * and to one at its beginning. */
#define MIDDLE_CRASH_MS 1100
#define EARLY_CRASH_MS 100

/**
 * Submits a job of @p count items "ID-n", no two of them with the same body. @p first_body: that of
 * item 0; NULL: as the others.
 */
void submit_distinct_bodies(const char *id, int count, const char *first_body);

/** Checks that all items of a job complete within FINISH_MS, with whole texts. */
void check_job_completes(const char *id, int count);

/**
 * Returns how often an item was sent from wall time @p since_ms on, and checks that each of these
 * sends came @p min_interval_ms or more after the one before.
 */
uint32_t check_send_interval(const char *item, uint64_t since_ms, uint64_t min_interval_ms);

#endif
