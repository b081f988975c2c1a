/**
 * @file tenant_limits.h
 * Rate and concurrency limits of tenants on this edge, by allowances from each tenant's limit
 * owner. All functions are thread-safe.
 *
 * While the limit owner responds, the edge admits its allowance and, before the first allowance
 * request, some requests in advance, so that they don't wait for a datagram. Without a response,
 * the edge admits an equal share of the fleet's limit.
 */
#ifndef HS_ROUTING_TENANT_LIMITS_H
#define HS_ROUTING_TENANT_LIMITS_H

#include "config/config_view.h"
#include "routing/limit_home.h"

/** Minimum time between two allowance requests of an edge for one tenant. */
#define HS_LIMIT_REQUEST_INTERVAL_MS 50U

typedef struct hs_tenant_limits hs_tenant_limits;

hs_tenant_limits *hs_tenant_limits_new(void);
void hs_tenant_limits_free(hs_tenant_limits *limits);

/**
 * Admits one request of a tenant. Returns 0 if admitted, else the time in ms after which the caller
 * may retry. End an admitted request with hs_tenant_limits_leave.
 */
uint32_t hs_tenant_limits_enter(hs_tenant_limits *limits, const hs_config_view *view,
                                const char *tenant, uint32_t daemon_count, uint64_t now_ms);

/** Ends an admitted request. */
void hs_tenant_limits_leave(hs_tenant_limits *limits, const char *tenant);

/**
 * Calls @p send for each tenant with a due allowance request, with an empty edge id. @p send runs
 * under the lock and must not call functions of this module.
 */
void hs_tenant_limits_send_requests(
    hs_tenant_limits *limits, const hs_config_view *view, uint64_t now_ms,
    void (*send)(const hs_allowance_request *request, void *user_data), void *user_data);

/** Adds an allowance granted by the limit owner. */
void hs_tenant_limits_add_allowance(hs_tenant_limits *limits, const char *tenant,
                                    uint32_t allowance);

#endif
