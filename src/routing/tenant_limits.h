/**
 * @file tenant_limits.h
 * Rate and concurrency limits of tenants on this edge, against allowances from the tenant's home.
 *
 * While the home answers, this edge admits what it was allowed, and some in advance where it has
 * asked for nothing yet, so that a first request never waits for a datagram. While the home is
 * silent, it admits its equal share of the fleet's limit.
 */
#ifndef HS_ROUTING_TENANT_LIMITS_H
#define HS_ROUTING_TENANT_LIMITS_H

#include "config/config_view.h"
#include "routing/limit_home.h"

/** Time between two asks of an edge for one tenant. */
#define HS_LIMIT_INTERVAL_MS 50U

typedef struct hs_tenant_limits hs_tenant_limits;

hs_tenant_limits *hs_tenant_limits_new(void);
void hs_tenant_limits_free(hs_tenant_limits *limits);

/** Let one request in. @return 0, or the milliseconds after which to come back. */
uint32_t hs_tenant_limits_enter(hs_tenant_limits *limits, const hs_config_view *view,
                                const char *tenant, uint32_t daemon_count, uint64_t now_ms);

/** The request is over. */
void hs_tenant_limits_leave(hs_tenant_limits *limits, const char *tenant);

/** Run @p send for each tenant whose home is to be asked now; the edge's id is left empty. */
void hs_tenant_limits_ask(hs_tenant_limits *limits, const hs_config_view *view, uint64_t now_ms,
                          void (*send)(const hs_limit_ask *ask, void *user_data), void *user_data);

/** The home's answer. */
void hs_tenant_limits_allow(hs_tenant_limits *limits, const char *tenant, uint32_t allowance);

#endif
