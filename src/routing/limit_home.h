/**
 * @file limit_home.h
 * The home of tenants' limits: one daemon a tenant, by rendezvous hash, that hands out allowances
 * to the edges where the tenant's requests come in. Pure.
 *
 * Soft state: a home that is lost starts anew with a full bucket, so that a tenant may exceed its
 * limit by one burst then. Edges' counts in flight are kept by edge and forgotten when silent.
 */
#ifndef HS_ROUTING_LIMIT_HOME_H
#define HS_ROUTING_LIMIT_HOME_H

#include "config/config_view.h"

typedef struct hs_limit_home hs_limit_home;

/** What an edge asks. */
typedef struct {
    const char *edge_id;
    const char *tenant;
    uint32_t wanted;
    uint32_t advanced;
    uint32_t in_flight;
} hs_limit_ask;

hs_limit_home *hs_limit_home_new(void);
void hs_limit_home_free(hs_limit_home *home);

/** Requests the edge may admit until it asks again. */
uint32_t hs_limit_home_grant(hs_limit_home *home, const hs_tenant_limit *limit,
                             const hs_limit_ask *ask, uint64_t now_ms);

#endif
