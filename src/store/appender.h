/**
 * @file appender.h
 * Group commit: one thread appends the records of all callers, and combines those that arrive
 * within a few milliseconds into one append per stream.
 *
 * A failed append is retried until the record's deadline; records must be idempotent, as a retry
 * may append them again. If all attempts fail and any of them may have taken effect, the result is
 * HS_PLATFORM_UNKNOWN.
 */
#ifndef HS_STORE_APPENDER_H
#define HS_STORE_APPENDER_H

#include "store/log_client.h"

typedef struct hs_appender hs_appender;

/** Creates an appender. @p log is borrowed. At least @p capacity records can wait. */
hs_appender *hs_appender_new(const hs_log_client *log, uint32_t capacity);

/** Starts the thread. */
void hs_appender_start(hs_appender *appender);

/** Waits until all waiting records are appended or have failed, then stops the thread. */
void hs_appender_stop(hs_appender *appender);

/** Frees an appender whose thread is not running. */
void hs_appender_free(hs_appender *appender);

/**
 * Appends one record and waits for the result; failed attempts are retried for @p timeout_ms. May
 * be called from any thread.
 * @return 0 with @p offset set; HS_PLATFORM_BUSY (too many records are waiting) or
 *         HS_PLATFORM_REFUSED: the record was not appended; HS_PLATFORM_UNKNOWN: it may have been.
 */
int hs_appender_append(hs_appender *appender, const char *stream, const void *record,
                       uint32_t length, uint32_t timeout_ms, uint64_t *offset, hs_error *error);

/** Returns the number of records that the thread has not taken up yet. */
uint32_t hs_appender_backlog(const hs_appender *appender);

#endif
