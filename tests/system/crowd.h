/**
 * @file crowd.h
 * Many callers at one daemon at once, and whether the daemon still takes connections or says that
 * it is not ready.
 */
#ifndef TESTS_SYSTEM_CROWD_H
#define TESTS_SYSTEM_CROWD_H

#include <glib.h>
#include <stdint.h>
#include <sys/types.h>

#define CROWD_MOST 2100

/** A daemon as a crowd meets it. */
typedef struct {
    pid_t pid;
    uint16_t port;       /**< Where callers connect; a request to no path there is answered 404. */
    uint16_t ready_port; /**< Where it says whether it is ready, */
    const char *ready;   /**< under this path. */
} crowd_target;

/** Open that many connections; on each send @p bytes (NULL: nothing). */
void crowd_open(const crowd_target *target, guint count, const char *bytes);

/** Close them. */
void crowd_close(void);

/** What a daemon says on whether it is ready: 200, 503, or 0 for nothing within a second. */
int crowd_ask_ready(const crowd_target *target);

/**
 * Check that it takes a connection within the time for it or says that it is not ready, and that it
 * does not use the processor for nothing; the figures are printed under @p title.
 */
void crowd_check_word(const crowd_target *target, const char *title);

/** Descriptors that it has open. */
uint32_t crowd_count_descriptors(const crowd_target *target);

/** Check that it is ready again, and takes connections, soon. */
void crowd_check_recovers(const crowd_target *target);

#endif
