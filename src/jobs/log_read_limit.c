/** @file log_read_limit.c  See log_read_limit.h. */
#include "jobs/log_read_limit.h"

/** Time after a failed read in ms: enough for owners to read what they missed. */
#define FAILURE_PAUSE_MS 2000
#define MAX_OPEN_READS 2

bool hs_log_read_limit_begin(hs_log_read_limit *limit, uint64_t now_ms,
                             uint64_t last_failed_read_ms) {
    if (last_failed_read_ms != 0 && now_ms < last_failed_read_ms + FAILURE_PAUSE_MS)
        return false;
    if (g_atomic_int_add(&limit->open_reads, 1) < MAX_OPEN_READS)
        return true;
    g_atomic_int_add(&limit->open_reads, -1);
    return false;
}

void hs_log_read_limit_end(hs_log_read_limit *limit) {
    g_atomic_int_add(&limit->open_reads, -1);
}
