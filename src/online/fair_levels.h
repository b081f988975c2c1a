/** @file fair_levels.h  Tenants' fair shares of all services of a daemon. Thread-safe. */
#ifndef HS_ONLINE_FAIR_LEVELS_H
#define HS_ONLINE_FAIR_LEVELS_H

#include "online/fair_level.h"

typedef struct hs_fair_shares hs_fair_shares;

hs_fair_shares *hs_fair_shares_new(void);
void hs_fair_shares_free(hs_fair_shares *shares);

/** A request that needs a slot of a service. Strings are borrowed. */
typedef struct {
    const char *service;
    double used_slots; /**< See hs_online_access. */
    double sample;     /**< See hs_fair_share_is_exceeded. */
    bool was_refused;  /**< The caller was refused before and has returned. */
} hs_fair_share_request;

/** A decision on a request, and the figures it was made by. */
typedef struct {
    bool is_over;            /**< The request is to be refused. */
    double share_slots;      /**< 0: no share is applied. */
    uint64_t retry_after_ms; /**< Expected time until the tenant is within its share. */
} hs_fair_share_verdict;

/**
 * Adapts the service's share to the pressure, then decides whether the request exceeds it.
 * @p slots: slots of the service's healthy engines. A caller that was refused before is refused
 * again only if its tenant uses more than twice the share.
 */
hs_fair_share_verdict hs_fair_shares_decide(hs_fair_shares *shares,
                                            const hs_fair_share_request *request,
                                            const hs_service_pressure *pressure, uint32_t slots,
                                            uint64_t now_ms);

/** Returns the shares in metrics format. Free with g_free. */
char *hs_fair_shares_describe(hs_fair_shares *shares);

#endif
