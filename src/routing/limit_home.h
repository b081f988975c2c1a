/**
 * @file limit_home.h
 * The owner of tenants' limits: grants allowances to the edges that receive the tenants' requests.
 * Each tenant has one owner among the daemons, by rendezvous hash. No I/O, no locks.
 *
 * The state is not stored: a new owner starts with a full token bucket, so a tenant may then exceed
 * its rate by one burst. The in-flight count of an edge expires without requests from the edge.
 */
#ifndef HS_ROUTING_LIMIT_HOME_H
#define HS_ROUTING_LIMIT_HOME_H

#include "config/config_view.h"

typedef struct hs_limit_owner hs_limit_owner;

/** An edge's request for an allowance of a tenant. */
typedef struct {
    const char *edge_id;
    const char *tenant;
    uint32_t wanted;    /**< Requests that the edge wants to admit. */
    uint32_t advanced;  /**< Requests admitted without an allowance; deducted. */
    uint32_t in_flight; /**< The tenant's requests in flight on the edge. */
} hs_allowance_request;

hs_limit_owner *hs_limit_owner_new(void);
void hs_limit_owner_free(hs_limit_owner *owner);

/** Returns the number of requests that the edge may admit until its next request. */
uint32_t hs_limit_owner_grant(hs_limit_owner *owner, const hs_tenant_limit *limit,
                              const hs_allowance_request *request, uint64_t now_ms);

#endif
