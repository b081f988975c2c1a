/**
 * @file tenant_limiter.h
 * Keeps tenants within their limits over all daemons: asks a tenant's home for each request, and is
 * the home of some tenants.
 *
 * The home of a tenant is the live daemon that ranks first for it by rendezvous; nothing is
 * configured or kept. What it lets pass is decided in tenants/limit_book.h. Where the home does not
 * answer, this daemon decides by its own part of the limit, so that no limit is ever exceeded since
 * a daemon is lost or cut off.
 */
#ifndef HS_DIRECTORY_TENANT_LIMITER_H
#define HS_DIRECTORY_TENANT_LIMITER_H

#include "membership/membership_service.h"
#include "tenants/limit_book.h"

typedef struct hs_tenant_limiter hs_tenant_limiter;

/** @p tolerance: requests above its burst that a tenant may send at one time. Others borrowed. */
hs_tenant_limiter *hs_tenant_limiter_new(hs_membership_service *membership, double tolerance);
void hs_tenant_limiter_free(hs_tenant_limiter *limiter);

/** A tenant's limit by a version of the configuration. Borrowed. */
typedef struct {
    const char *name;
    double rate_per_s;
    double burst;
    uint64_t version;
    uint64_t used_ms; /**< By this daemon's requests; see hs_fleet_engines_tenant_requested_ms. */
} hs_limited_tenant;

/** Who decided a request, for logs. */
typedef enum {
    HS_LIMIT_BY_SELF, /**< This daemon is the tenant's home. */
    HS_LIMIT_BY_HOME,
    HS_LIMIT_BY_PART, /**< The home did not answer: by this daemon's part. */
} hs_limit_decider;

const char *hs_limit_decider_name(hs_limit_decider decider);

/** Whether a request of the tenant may pass. Waits for the home, a hop there and back. */
hs_limit_verdict hs_tenant_limiter_ask(hs_tenant_limiter *limiter, const hs_limited_tenant *tenant,
                                       hs_limit_decider *decider);

/**
 * Note what this daemon's requests of a tenant asked for (@p used_ms as in hs_limited_tenant), and
 * answer the slots that it asks for of late, as far as this daemon knows. For tenants without a
 * limit, whose home is not asked.
 */
double hs_tenant_limiter_note_own_use(hs_tenant_limiter *limiter, const char *tenant,
                                      uint64_t used_ms);

/** Tenants that ask for most, as far as this daemon knows, as metrics; see hs_tenant_uses_top. Free
 * with g_free. */
char *hs_tenant_limiter_describe_shares(hs_tenant_limiter *limiter);

/** True when the message was about limits, and was handled. */
bool hs_tenant_limiter_handle(hs_tenant_limiter *limiter, const Hs__PeerMessage *message,
                              const struct sockaddr_in *from);

/**
 * The store's list of daemons was read, and its daemons proposed as members. Until then others may
 * be many, and let requests pass at the same time.
 */
void hs_tenant_limiter_note_known(hs_tenant_limiter *limiter);

/** One round of the directory's ticker. */
void hs_tenant_limiter_tick(hs_tenant_limiter *limiter);

/** Counters for metrics. */
typedef struct {
    uint64_t passed;
    uint64_t refused;
    uint64_t by_part; /**< Of both, decided without the home. */
    uint64_t tenants; /**< That this daemon has a bucket of now. */
} hs_tenant_limiter_counters;

hs_tenant_limiter_counters hs_tenant_limiter_count(hs_tenant_limiter *limiter);

#endif
