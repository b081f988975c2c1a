/**
 * @file tenant_limiter.h
 * Enforces tenants' limits over all daemons: sends a query to the tenant's limit owner for each
 * request, and is the limit owner of some tenants. Thread-safe.
 *
 * The limit owner of a tenant is the live daemon that ranks first for the tenant by rendezvous
 * hashing, without configuration or stored state. Decisions are made in tenants/limit_book.h. If
 * the owner does not respond, this daemon decides by its own allowance, so that the loss or
 * partition of a daemon does not lead to exceeded limits.
 */
#ifndef HS_DIRECTORY_TENANT_LIMITER_H
#define HS_DIRECTORY_TENANT_LIMITER_H

#include "membership/membership_service.h"
#include "tenants/limit_book.h"

typedef struct hs_tenant_limiter hs_tenant_limiter;

/**
 * Creates a limiter. @p tolerance: requests beyond its burst that a tenant may send at once.
 * @p membership is borrowed.
 */
hs_tenant_limiter *hs_tenant_limiter_new(hs_membership_service *membership, double tolerance);

/** Frees the limiter. NULL is allowed. */
void hs_tenant_limiter_free(hs_tenant_limiter *limiter);

/** A tenant's limit by a version of the configuration. Pointers are borrowed. */
typedef struct {
    const char *name;
    double rate_per_s;
    double burst;
    uint64_t version;
    uint64_t used_ms; /**< Slot time; see hs_fleet_engines_tenant_requested_ms. */
} hs_limited_tenant;

/** What decided on a request, for logs. */
typedef enum {
    HS_LIMIT_BY_SELF,      /**< This daemon, as the limit owner. */
    HS_LIMIT_BY_OWNER,     /**< The limit owner, another daemon. */
    HS_LIMIT_BY_ALLOWANCE, /**< This daemon, as the owner did not respond. */
} hs_limit_decider;

/** Static name of a decider, for logs. */
const char *hs_limit_decider_name(hs_limit_decider decider);

/**
 * Decides whether to admit a request of the tenant and stores in @p decider what decided. Waits for
 * the limit owner's response.
 */
hs_limit_verdict hs_tenant_limiter_check(hs_tenant_limiter *limiter,
                                         const hs_limited_tenant *tenant,
                                         hs_limit_decider *decider);

/**
 * Records the slot time that this daemon's requests of a tenant have requested so far (@p used_ms
 * as in hs_limited_tenant). Returns the slots that the tenant requested recently, as far as this
 * daemon knows. For tenants without a limit, for which no queries are sent.
 */
double hs_tenant_limiter_note_own_use(hs_tenant_limiter *limiter, const char *tenant,
                                      uint64_t used_ms);

/**
 * Returns metrics of the tenants that request the most slots, as far as this daemon knows; see
 * hs_tenant_uses_top. Free with g_free.
 */
char *hs_tenant_limiter_describe_slot_use(hs_tenant_limiter *limiter);

/** Handles a message on tenants' limits. Returns false for any other message. */
bool hs_tenant_limiter_handle(hs_tenant_limiter *limiter, const Hs__PeerMessage *message,
                              const struct sockaddr_in *from);

/**
 * Notes that the daemons in the store's list were proposed as members. Until then, the limiter
 * assumes that many unknown daemons serve the same tenants.
 */
void hs_tenant_limiter_note_members_listed(hs_tenant_limiter *limiter);

/** Discards stale and unused buckets. The directory's ticker calls it at each round. */
void hs_tenant_limiter_tick(hs_tenant_limiter *limiter);

/** Counters for metrics. */
typedef struct {
    uint64_t admitted;
    uint64_t refused;
    uint64_t by_allowance; /**< Of both, decided by this daemon's allowance. */
    uint64_t tenants;      /**< Tenants with a bucket at this daemon. */
} hs_tenant_limiter_counters;

hs_tenant_limiter_counters hs_tenant_limiter_get_counters(hs_tenant_limiter *limiter);

#endif
