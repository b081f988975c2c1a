/**
 * @file fair_level.h
 * How many slots of a service one tenant may use while the service is short of slots. Pure
 * functions; times are in ms of one monotonic clock.
 *
 * The share is max-min fair: requests of a tenant that uses less are not affected, and of the
 * other tenants' requests a random part is refused so that the rest fills the share (as in
 * core-stateless fair queueing). Each daemon adapts its own share without coordination: all start
 * at the same value, lower it while the service is full, raise it while slots are free, and drop
 * it some time after the shortage.
 */
#ifndef HS_ONLINE_FAIR_LEVEL_H
#define HS_ONLINE_FAIR_LEVEL_H

#include "fleet/service_pressure.h"

/** Share of one service's slots per tenant. Zero-initialise. */
typedef struct {
    double slots;        /**< 0: no share is applied. */
    uint64_t updated_ms; /**< Time of the last update; 0: never. */
} hs_fair_share;

/** Adapts the share to the current pressure; @p slots: slots of the service's healthy engines. */
void hs_fair_share_update(hs_fair_share *share, const hs_service_pressure *pressure, uint32_t slots,
                          uint64_t now_ms);

/**
 * Whether a request of a tenant that uses @p used_slots is to be refused. @p sample is uniform in
 * 0 to 1 over requests: of a tenant at twice the share every second request is refused.
 */
bool hs_fair_share_is_exceeded(const hs_fair_share *share, double used_slots, double sample,
                               const hs_service_pressure *pressure);

/**
 * Returns a request's sample, a hash of its id, so that retries get the same one. Without an id
 * (NULL or empty) it is a hash of @p fallback, which should differ between requests.
 */
double hs_fair_share_sample(const char *request_id, uint64_t fallback);

/** Returns the time in ms until the tenant's use decays to the share if it requests no more. */
uint64_t hs_fair_share_retry_after_ms(const hs_fair_share *share, double used_slots);

#endif
