/**
 * @file appender.h
 * The one thread that appends records: it groups what all duties hand in within a few
 * milliseconds into one append a stream.
 *
 * An append without an answer is tried again until its deadline: records are idempotent, so a
 * repeat is harmless. What stays without an answer is reported as unknown, never as refused.
 */
#ifndef HS_PLATFORM_APPENDER_H
#define HS_PLATFORM_APPENDER_H

#include "store/log_client.h"

typedef struct hs_appender hs_appender;

/** @p log is borrowed. At most @p capacity records wait; more are refused at once. */
hs_appender *hs_appender_new(const hs_log_client *log, uint32_t capacity);

void hs_appender_start(hs_appender *appender);

/** Finish what was handed in, then stop the thread. */
void hs_appender_stop(hs_appender *appender);
void hs_appender_free(hs_appender *appender);

/**
 * Append one record and wait for the answer, retrying for @p patience_ms.
 * @return 0 with @p offset set; HS_PLATFORM_BUSY or HS_PLATFORM_REFUSED: certainly not appended;
 *         HS_PLATFORM_UNKNOWN: it may have been.
 */
int hs_appender_append(hs_appender *appender, const char *stream, const void *record,
                       uint32_t length, uint32_t patience_ms, uint64_t *offset, hs_error *error);

/** Records waiting now; for metrics. */
uint32_t hs_appender_backlog(const hs_appender *appender);

#endif
