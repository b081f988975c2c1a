/**
 * @file caller_connections.h
 * The open connections of one listener: which are idle, and room for new ones. Shared by threads.
 *
 * A listener that has as many connections as it may takes no more, and idle ones would keep callers
 * with requests out. The longest idle are therefore ended before that.
 */
#ifndef HS_HTTP_CALLER_CONNECTIONS_H
#define HS_HTTP_CALLER_CONNECTIONS_H

#include "http/connection_guard.h"

#include <stdbool.h>
#include <stdint.h>

typedef struct hs_caller_connections hs_caller_connections;
typedef struct hs_caller_connection hs_caller_connection;

/** @p most: connections that the listener may have; 0: no limit is known. */
hs_caller_connections *hs_caller_connections_new(uint32_t most);
void hs_caller_connections_free(hs_caller_connections *connections);

/** Who calls, callers where it is not set; for connections from now on. */
void hs_caller_connections_set_kind(hs_caller_connections *connections, hs_connection_kind kind);

/** A connection was accepted; the result belongs to the table until its removal. */
hs_caller_connection *hs_caller_connections_add(hs_caller_connections *connections, int descriptor);
void hs_caller_connections_remove(hs_caller_connections *connections,
                                  hs_caller_connection *connection);

/** A request was begun on it, or answered to its end. @p connection: NULL is allowed. */
void hs_caller_connections_set_busy(hs_caller_connections *connections,
                                    hs_caller_connection *connection, bool busy);

/** Its socket, on which the caller's end can be seen; -1: it cannot. NULL is allowed. */
int hs_caller_connections_watched(hs_caller_connections *connections,
                                  const hs_caller_connection *connection);

/** End the receiving side of all idle ones: what has arrived there is still served. */
void hs_caller_connections_end_idle(hs_caller_connections *connections);

/** Where few more fit, end the longest idle ones in the same way; how many. */
uint32_t hs_caller_connections_make_room(hs_caller_connections *connections);

/** Connections now open. */
uint32_t hs_caller_connections_count(hs_caller_connections *connections);

#endif
