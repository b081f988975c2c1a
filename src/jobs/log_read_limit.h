/**
 * @file log_read_limit.h
 * Limits reads of whole job logs on behalf of callers. After an absence of the store, the reads of
 * many daemons would take the bandwidth that owners need to read the ends of their logs, without
 * which no owner can answer, so that the reads never stop. Thread-safe.
 */
#ifndef HS_JOBS_LOG_READ_LIMIT_H
#define HS_JOBS_LOG_READ_LIMIT_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** Zero-initialise. */
typedef struct {
    gint open_reads;
} hs_log_read_limit;

/**
 * Returns whether a read may begin; if so, hs_log_read_limit_end ends it. Refused for a while after
 * a read of the store failed, and while several reads are open. Times are monotonic, in ms.
 * @p last_failed_read_ms: of any read of the store; 0: none.
 */
bool hs_log_read_limit_begin(hs_log_read_limit *limit, uint64_t now_ms,
                             uint64_t last_failed_read_ms);

void hs_log_read_limit_end(hs_log_read_limit *limit);

#endif
