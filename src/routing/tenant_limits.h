/**
 * @file tenant_limits.h
 * Rate and concurrency limits of tenants on this daemon.
 *
 * A limit of the fleet is divided by the number of live daemons, so that it holds without a word
 * between them; a tenant whose callers all use one daemon is held to that daemon's share.
 */
#ifndef HS_ROUTING_TENANT_LIMITS_H
#define HS_ROUTING_TENANT_LIMITS_H

#include "config/config_view.h"

typedef struct hs_tenant_limits hs_tenant_limits;

hs_tenant_limits *hs_tenant_limits_new(void);
void hs_tenant_limits_free(hs_tenant_limits *limits);

/** Let one request in. @return 0, or the milliseconds after which to come back. */
uint32_t hs_tenant_limits_enter(hs_tenant_limits *limits, const hs_config_view *view,
                                const char *tenant, uint32_t daemon_count, uint64_t now_ms);

/** The request is over. */
void hs_tenant_limits_leave(hs_tenant_limits *limits, const char *tenant);

#endif
