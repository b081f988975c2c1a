/**
 * @file config_source.h
 * Holds the current configuration of this daemon: the highest version among the records of the
 * store's configuration topic.
 *
 * A thread reads the topic's feed (feed/state_feed.h) with long polls. While the store is
 * unavailable, the last version stays in use. A source may be used by any thread from its creation
 * until it is freed. The hs_fleet_config functions read an immutable configuration.
 */
#ifndef HS_FLEET_CONFIG_SOURCE_H
#define HS_FLEET_CONFIG_SOURCE_H

#include "feed/state_feed.h"
#include "fleet/fleet_engines.h"
#include "heathsail/fleet.h"
#include "store/store_client.h"

typedef struct hs_config_source hs_config_source;

/**
 * Creates a source; free with hs_config_source_free. @p store is borrowed. @p apply_ms is the time
 * within which a new version must be in use.
 */
hs_config_source *hs_config_source_new(hs_store_client *store, uint32_t apply_ms);

/**
 * Sets the engines that get the evacuations of zones, which the same topic has; NULL: none.
 * Borrowed. To be called before the start.
 */
void hs_config_source_set_engines(hs_config_source *source, hs_fleet_engines *engines);

/** Returns the feed of the topic, which the source owns. */
hs_state_feed *hs_config_source_feed(hs_config_source *source);

/** Starts the thread. */
void hs_config_source_start(hs_config_source *source);

/** Joins the thread; the configuration stays readable. May be called more than once. */
void hs_config_source_stop(hs_config_source *source);

/**
 * Joins the thread and frees the source. NULL is allowed. The store client must have been abandoned
 * before, so that a read in progress ends.
 */
void hs_config_source_free(hs_config_source *source);

/** Returns a new reference to the current configuration, or NULL if there is none yet. */
hs_fleet_config *hs_config_source_get(hs_config_source *source);

/**
 * Makes @p config the current configuration if its version is higher than the current one. Takes
 * over the caller's reference in any case. Returns whether the configuration was applied.
 */
bool hs_config_source_apply_if_newer(hs_config_source *source, hs_fleet_config *config);

/**
 * Returns the value of the current configuration's record and sets @p offset to the record's
 * offset. NULL: there is no configuration. Free with g_bytes_unref.
 */
GBytes *hs_config_source_get_value(hs_config_source *source, uint64_t *offset);

/**
 * Applies the record of a configuration that another daemon gave, as of @p as_of_ms (monotonic;
 * 0: before this machine's start), if it is newer than the current one. Does nothing once the
 * store has answered, and never changes the position from which the store is followed. Returns
 * whether the configuration was applied.
 */
bool hs_config_source_apply_from_peer(hs_config_source *source, GBytes *value, uint64_t offset,
                                      uint64_t as_of_ms);

/** Returns the monotonic time of the last response from the store; 0: none yet. */
uint64_t hs_config_source_last_received_ms(hs_config_source *source);

/**
 * Returns the monotonic time at which the last answered read of the store was sent, by this daemon
 * or by one from which it has the records: the configuration reflects the store at that time or
 * later. 0: unknown.
 */
uint64_t hs_config_source_as_of_ms(hs_config_source *source);

/**
 * Returns the route with the longest path prefix for @p host (a port is ignored) and @p target, or
 * NULL. Borrowed from @p config.
 */
const hs_fleet_route *hs_fleet_config_find_route(const hs_fleet_config *config, const char *host,
                                                 const char *target);

/** Whether the route is one of @p host (a port is ignored). */
bool hs_fleet_route_has_host(const hs_fleet_route *route, const char *host);

/**
 * Whether online requests of other routes or tenants to @p service may have a higher rank (lower
 * number; see hs_tenant_rank) than @p rank. Batch routes do not count.
 */
bool hs_fleet_config_is_less_urgent(const hs_fleet_config *config, uint32_t rank,
                                    const char *service);

/** Returns the service with the name, or NULL. Borrowed from @p config. */
const hs_fleet_service *hs_fleet_config_find_service(const hs_fleet_config *config,
                                                     const char *name);

#endif
