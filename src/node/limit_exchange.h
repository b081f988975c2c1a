/**
 * @file limit_exchange.h
 * Requests allowances from the owners of tenants' limits, and grants them for the limits that this
 * daemon owns, by datagrams.
 */
#ifndef HS_NODE_LIMIT_EXCHANGE_H
#define HS_NODE_LIMIT_EXCHANGE_H

#include "node/node.h"

typedef struct hs_limit_exchange hs_limit_exchange;

/** Starts the thread that sends allowance requests. @p node is borrowed. */
hs_limit_exchange *hs_limit_exchange_start(hs_node *node);

/** Stops the thread. The exchange is not freed. */
void hs_limit_exchange_stop(hs_limit_exchange *exchange);

/** Handles a request or a grant; false for other messages. Thread-safe. */
bool hs_limit_exchange_handle(hs_limit_exchange *exchange, const Hs__PeerMessage *message,
                              const struct sockaddr_in *from);

#endif
