/**
 * @file tenant_index.h
 * Finds the tenant of an API key and decides what a request may do with its key. Pure.
 *
 * The index is built once per configuration version. A lookup costs one hash and one comparison
 * for any number of tenants.
 */
#ifndef HS_TENANTS_TENANT_INDEX_H
#define HS_TENANTS_TENANT_INDEX_H

#include "heathsail/fleet.h"

/** Counts of tenants and keys of a configuration that are invalid. */
typedef struct {
    uint32_t unusable_tenants; /**< Names that are not valid in a header; their keys are ignored. */
    uint32_t duplicate_names;  /**< Tenants with the name of an earlier one; see below. */
    uint32_t unusable_keys;    /**< Keys that are empty, too long or not valid in a header. */
    uint32_t disputed_keys;    /**< Keys listed for two tenants; valid for neither. */
} hs_tenant_faults;

/**
 * Builds the index of the keys of @p config. A key listed for two tenants is valid for neither, so
 * that no customer sees the jobs of another. Of two tenants with the same name the first one's
 * limits apply, and the keys of both identify the first one.
 */
hs_tenant_faults hs_tenant_index_build(hs_fleet_config *config);

/** Returns the rank of a request on @p route by @p tenant (NULL: no tenant); 0 is the highest. */
uint32_t hs_tenant_rank(const hs_fleet_route *route, const hs_fleet_tenant *tenant);

/** Returns the tenant of @p key, borrowed from @p config, or NULL. */
const hs_fleet_tenant *hs_tenant_index_find(const hs_fleet_config *config, const char *key);

typedef enum {
    HS_ACCESS_GRANTED,
    HS_ACCESS_KEY_MISSING,
    HS_ACCESS_KEY_UNKNOWN,
    HS_ACCESS_KEY_MALFORMED, /**< More than one key, or a key of invalid characters or length. */
} hs_access;

typedef struct {
    const char *key; /**< NULL: no key. */
    bool has_many_keys;
    bool is_public; /**< The requested resource needs no key. */
} hs_access_request;

/**
 * Decides on access. With HS_ACCESS_GRANTED, sets @p tenant to the tenant of the request, borrowed
 * from @p config, or to NULL if no key is required and the request has no known key.
 */
hs_access hs_tenant_access_decide(const hs_fleet_config *config, const hs_access_request *request,
                                  const hs_fleet_tenant **tenant);

/** Reports whether any route takes jobs without a key; calls about jobs then need none either. */
bool hs_tenant_has_public_jobs(const hs_fleet_config *config);

#endif
