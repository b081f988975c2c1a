/**
 * @file config_source.h
 * The configuration in force on this daemon: the highest version read, swapped whole.
 *
 * A duty thread follows the operator's topic by long polls. While the store is away the last
 * version stays in force; its age is in logs and metrics.
 */
#ifndef HS_FLEET_CONFIG_SOURCE_H
#define HS_FLEET_CONFIG_SOURCE_H

#include "heathsail/fleet.h"
#include "store/store_client.h"

typedef struct hs_config_source hs_config_source;

/** @p store is borrowed. @p apply_ms: time within which a version must be in force. */
hs_config_source *hs_config_source_new(hs_store_client *store, uint32_t apply_ms);

/** Start the duty thread. */
void hs_config_source_start(hs_config_source *source);

/** Join the thread (the store client was abandoned before) and free. NULL is allowed. */
void hs_config_source_free(hs_config_source *source);

/** The version in force with a reference for the caller, or NULL while none is known. */
hs_fleet_config *hs_config_source_get(hs_config_source *source);

/** Take a version when it is newer than that in force; takes the reference. */
bool hs_config_source_offer(hs_config_source *source, hs_fleet_config *config);

/** Monotonic time of the last word from the store; 0: none yet. */
uint64_t hs_config_source_heard_ms(hs_config_source *source);

/** The configuration is what the store had at this time or later; monotonic, 0: not known. */
uint64_t hs_config_source_as_of_ms(hs_config_source *source);

/** Route of @p host (a port after it does not count) and @p target, or NULL. Borrowed. */
const hs_fleet_route *hs_fleet_config_find_route(const hs_fleet_config *config, const char *host,
                                                 const char *target);

/**
 * Whether other online requests to @p service are more urgent than those of @p rank (lower number;
 * see hs_tenant_rank): of another route, or of another tenant. Batch items give way to all online
 * requests anyway.
 */
bool hs_fleet_config_is_less_urgent(const hs_fleet_config *config, uint32_t rank,
                                    const char *service);

/** Service by name, or NULL. Borrowed. */
const hs_fleet_service *hs_fleet_config_find_service(const hs_fleet_config *config,
                                                     const char *name);

#endif
