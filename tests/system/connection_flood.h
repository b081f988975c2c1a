/**
 * @file connection_flood.h
 * Opens many connections to one daemon, and checks that the daemon either still accepts connections
 * or reports that it is not ready. There is one flood at a time; no function is thread-safe.
 */
#ifndef TESTS_SYSTEM_CONNECTION_FLOOD_H
#define TESTS_SYSTEM_CONNECTION_FLOOD_H

#include <glib.h>
#include <stdint.h>
#include <sys/types.h>

/** Maximum connections of one flood. */
#define MAX_FLOOD_CONNECTIONS 2100

/** The daemon under load. */
typedef struct {
    pid_t pid;
    uint16_t port; /**< Port for callers; a request for an unknown path is answered 404. */
    uint16_t readiness_port; /**< Port of the readiness endpoint. */
    const char *ready;       /**< Path of the readiness endpoint. */
} connection_flood_target;

/** Opens @p count connections and sends @p bytes on each; NULL sends nothing. */
void connection_flood_open(const connection_flood_target *target, guint count, const char *bytes);

/** Closes all connections of the flood. */
void connection_flood_close(void);

/** Returns the status of the readiness endpoint, or 0 without an answer within 1 s. */
int connection_flood_get_readiness(const connection_flood_target *target);

/**
 * Checks that the daemon accepts a connection in time or reports that it is not ready, and that the
 * idle daemon uses little processor time. Prints the figures under @p title.
 */
void connection_flood_check_readiness(const connection_flood_target *target, const char *title);

/** Returns the count of the daemon's open descriptors. */
uint32_t connection_flood_count_descriptors(const connection_flood_target *target);

/** Checks that the daemon becomes ready and accepts connections within 8 s. */
void connection_flood_check_recovery(const connection_flood_target *target);

#endif
