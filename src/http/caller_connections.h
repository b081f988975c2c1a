/**
 * @file caller_connections.h
 * Table of the open connections of one listener. All functions are thread-safe.
 *
 * A listener at its connection limit accepts no new connections. The connections that have been
 * idle for longest are therefore ended before the limit is reached.
 */
#ifndef HS_HTTP_CALLER_CONNECTIONS_H
#define HS_HTTP_CALLER_CONNECTIONS_H

#include "http/connection_guard.h"

#include <stdbool.h>
#include <stdint.h>

typedef struct hs_caller_connections hs_caller_connections;
typedef struct hs_caller_connection hs_caller_connection;

/** @p max_open: connection limit of the listener; 0: unknown. */
hs_caller_connections *hs_caller_connections_new(uint32_t max_open);
void hs_caller_connections_free(hs_caller_connections *connections);

/** Sets the kind of connections added later. The default is HS_CONNECTION_CALLER. */
void hs_caller_connections_set_kind(hs_caller_connections *connections, hs_connection_kind kind);

/**
 * Adds an accepted connection and sets its timeouts. The table owns the result and frees it at its
 * removal. The descriptor stays with the HTTP library.
 */
hs_caller_connection *hs_caller_connections_add(hs_caller_connections *connections, int descriptor);
/** Removes and frees a connection. Counts it as lost if the kernel timed it out. */
void hs_caller_connections_remove(hs_caller_connections *connections,
                                  hs_caller_connection *connection);

/**
 * Marks the start (true) or the end (false) of a request. Returns how many requests have started on
 * the connection; 0 if it is NULL.
 */
uint32_t hs_caller_connections_set_busy(hs_caller_connections *connections,
                                        hs_caller_connection *connection, bool busy);

/**
 * Returns the socket on which a close by the caller can be detected, or -1 if there is none, as
 * after the receiving side is shut down. @p connection may be NULL.
 */
int hs_caller_connections_get_descriptor(hs_caller_connections *connections,
                                         const hs_caller_connection *connection);

/**
 * Shuts down the receiving side of all idle connections. Requests that have already arrived on them
 * are still served.
 */
void hs_caller_connections_end_idle(hs_caller_connections *connections);

/**
 * If the table is close to its limit, ends the longest idle connections in the same way. Returns
 * the number of connections ended.
 */
uint32_t hs_caller_connections_evict_idle(hs_caller_connections *connections);

uint32_t hs_caller_connections_count(hs_caller_connections *connections);

#endif
