/**
 * @file limit_exchange.h
 * Carries allowances between edges and the homes of tenants' limits, by datagram.
 */
#ifndef HS_NODE_LIMIT_EXCHANGE_H
#define HS_NODE_LIMIT_EXCHANGE_H

#include "node/node.h"

typedef struct hs_limit_exchange hs_limit_exchange;

/** Start the thread that asks. @p node is borrowed. */
hs_limit_exchange *hs_limit_exchange_start(hs_node *node);
void hs_limit_exchange_stop(hs_limit_exchange *exchange);

/** True when the message was an ask or a grant and was handled. Any thread. */
bool hs_limit_exchange_handle(hs_limit_exchange *exchange, const Hs__PeerMessage *message,
                              const struct sockaddr_in *from);

#endif
