/**
 * @file exit_limit.h
 * Bounds the time until the process exits: whatever still runs at the deadline, such as a join of a
 * thread that waits for an answer, is abandoned. Thread-safe.
 */
#ifndef HS_BASE_EXIT_LIMIT_H
#define HS_BASE_EXIT_LIMIT_H

#include <stdint.h>
#include <stdnoreturn.h>

/**
 * Ends the process with EXIT_SUCCESS while its threads still run. Buffered log lines are written;
 * exit handlers, which free what the threads use, are not called.
 */
noreturn void hs_exit_at_once(void);

/**
 * Ends the process with @p status at the monotonic time @p deadline_ms unless it has ended by then;
 * the flush of the log may add to that. Without effect if no thread can be created.
 */
void hs_exit_limit_start(uint64_t deadline_ms, int status);

#endif
