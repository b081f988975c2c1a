/**
 * @file tenant_index.h
 * Which tenant a key opens, and what a request may do by its key. Pure.
 *
 * The index is made once a version of the configuration: a look-up costs one hash and one
 * comparison however many tenants there are.
 */
#ifndef HS_TENANTS_TENANT_INDEX_H
#define HS_TENANTS_TENANT_INDEX_H

#include "heathsail/fleet.h"

/** What of a version's tenants could not be used. */
typedef struct {
    uint32_t unusable_tenants; /**< Without a name that can stand in a header; their keys open
                                  nothing. */
    uint32_t repeated_names; /**< Tenants of a name that came before: their keys are that one's. */
    uint32_t unusable_keys;  /**< Empty, or with characters that no header can hold. */
    uint32_t disputed_keys;  /**< Of two tenants: they open neither. */
} hs_tenant_faults;

/**
 * Make the index of @p config's keys. A key that two tenants claim opens neither, since one
 * customer's jobs must not be shown to another; of two tenants with one name the first one's limits
 * hold, and the keys of both are its.
 */
hs_tenant_faults hs_tenant_index_make(hs_fleet_config *config);

/** Rank of a request on @p route by @p tenant (NULL: nobody's); 0 is the highest. */
uint32_t hs_tenant_rank(const hs_fleet_route *route, const hs_fleet_tenant *tenant);

/** The tenant that @p key opens, or NULL. Borrowed from @p config. */
const hs_fleet_tenant *hs_tenant_index_find(const hs_fleet_config *config, const char *key);

/** What a request may do by its key. */
typedef enum {
    HS_ACCESS_GRANTED,
    HS_ACCESS_KEY_MISSING,
    HS_ACCESS_KEY_UNKNOWN,
    HS_ACCESS_KEY_MALFORMED, /**< More than one key, or one that cannot be a key. */
} hs_access;

/** What a request brought. */
typedef struct {
    const char *key; /**< NULL: none. */
    bool has_many_keys;
    bool is_public; /**< What it asks for needs no key. */
} hs_access_request;

/**
 * Decide. With HS_ACCESS_GRANTED @p tenant is whose request it is, borrowed from @p config; NULL:
 * nobody's, since no key is needed and none that is known was given.
 */
hs_access hs_tenant_access_decide(const hs_fleet_config *config, const hs_access_request *request,
                                  const hs_fleet_tenant **tenant);

/** Whether jobs may be submitted without a key on some route: then calls about them need none. */
bool hs_tenant_has_public_jobs(const hs_fleet_config *config);

#endif
