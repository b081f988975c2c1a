/**
 * @file crowd.h
 * Opens many connections to one daemon, and checks that the daemon either still accepts connections
 * or reports that it is not ready. There is one flood at a time; no function is thread-safe.
 */
#ifndef TESTS_SYSTEM_CROWD_H
#define TESTS_SYSTEM_CROWD_H

#include <glib.h>
#include <stdint.h>
#include <sys/types.h>

/** Maximum connections of one flood. */
#define CROWD_MOST 2100

/** The daemon under load. */
typedef struct {
    pid_t pid;
    uint16_t port;       /**< Port for callers; a request for an unknown path is answered 404. */
    uint16_t ready_port; /**< Port of the readiness endpoint. */
    const char *ready;   /**< Path of the readiness endpoint. */
} crowd_target;

/** Opens @p count connections and sends @p bytes on each; NULL sends nothing. */
void crowd_open(const crowd_target *target, guint count, const char *bytes);

/** Closes all connections of the flood. */
void crowd_close(void);

/** Returns the status of the readiness endpoint, or 0 without an answer within 1 s. */
int crowd_ask_ready(const crowd_target *target);

/**
 * Checks that the daemon accepts a connection in time or reports that it is not ready, and that the
 * idle daemon uses little processor time. Prints the figures under @p title.
 */
void crowd_check_word(const crowd_target *target, const char *title);

/** Returns the count of the daemon's open descriptors. */
uint32_t connection_flood_count_descriptors(const crowd_target *target);

/** Checks that the daemon becomes ready and accepts connections within 8 s. */
void crowd_check_recovers(const crowd_target *target);

#endif
