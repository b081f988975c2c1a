/**
 * @file daemon_directory.h
 * Which daemons callers should use, and how daemons find each other.
 *
 * Liveness comes from the product's own probes (src/membership). The store holds one keyed record
 * a daemon, written once, so that a daemon whose seeds are all down still finds others.
 */
#ifndef HS_DIRECTORY_DAEMON_DIRECTORY_H
#define HS_DIRECTORY_DAEMON_DIRECTORY_H

#include "base/wake_watch.h"
#include "directory/tenant_limiter.h"
#include "fleet/fleet_engines.h"
#include "membership/membership_service.h"
#include "store/store_client.h"

typedef struct hs_daemon_directory hs_daemon_directory;

/** Who this daemon is and whom it may ask first. All borrowed for its life. */
typedef struct {
    const char *id;
    const char *zone;
    const char *address; /**< IPv4 number of all listeners. */
    uint16_t front_port;
    uint16_t peer_port; /**< Of other daemons, UDP and TCP. */
    const char *seeds;  /**< "IPv4:port,..." */
    uint32_t probe_interval_ms;
    uint32_t resolve_ttl_s;
    hs_store_client *store;
    hs_fleet_engines *engines;         /**< Loads of other daemons go here. */
    hs_wake_watch *wakes;              /**< Looks with each round of the ticker. */
    hs_crash_watch *crash_watch;       /**< What they know of crashes goes here. */
    double limit_tolerance;            /**< See hs_tenant_limiter_new. */
    hs_member_size size;               /**< Of its machine. */
    bool (*may_join)(void *user_data); /**< Whether this daemon could serve; it joins then. */
    void *user_data;
} hs_daemon_directory_settings;

/** Bind the peers' socket; NULL with @p error. */
hs_daemon_directory *hs_daemon_directory_new(const hs_daemon_directory_settings *settings,
                                             hs_error *error);

/** Take changed seeds and time of answers. */
void hs_daemon_directory_update(hs_daemon_directory *directory, const char *seeds,
                                uint32_t resolve_ttl_s);

/** Start its threads. */
void hs_daemon_directory_start(hs_daemon_directory *directory);

/** Say to peers and the store that this daemon leaves; it stays in no answer from now on. */
void hs_daemon_directory_leave(hs_daemon_directory *directory);

/** Stop the threads (the store client was abandoned before) and free. NULL is allowed. */
void hs_daemon_directory_free(hs_daemon_directory *directory);

/**
 * Daemons that a caller should use, at the IPv4 number @p caller (host order) in @p zone (NULL: not
 * told): "IPv4:port" texts, NULL-terminated; NULL: not known.
 */
char **hs_daemon_directory_resolve(hs_daemon_directory *directory, const char *zone,
                                   uint32_t caller);

/** Part of this daemon's machine that is taken, in percent, as it tells the others. */
uint32_t hs_daemon_directory_taken_percent(hs_daemon_directory *directory);

/** Where a daemon hears others: TCP and UDP at one port. */
typedef struct {
    uint32_t address; /**< IPv4 number in host order. */
    uint16_t port;
} hs_daemon_address;

/**
 * Tell the other daemons which partitions of jobs this one owns. @p parts: of uint32_t. @p
 * generation: of the deal; of two daemons that claim a partition the later deal counts.
 */
void hs_daemon_directory_tell_owned(hs_daemon_directory *directory, const GArray *parts,
                                    uint64_t generation);

/** The other daemon that owns a partition; false: none is known to live, or it is this one. */
bool hs_daemon_directory_owner(hs_daemon_directory *directory, uint32_t part,
                               hs_daemon_address *owner);

/** Who owns the partitions of jobs, as far as this daemon knows. */
typedef struct {
    uint32_t own;     /**< Owned by this daemon. */
    uint32_t located; /**< With a live owner, this daemon included. */
} hs_owner_counts;

/** Count the owners of the partitions from 0 to @p part_count. */
hs_owner_counts hs_daemon_directory_count_owners(hs_daemon_directory *directory,
                                                 uint32_t part_count);

/** Live daemons, this one included; at least 1. */
uint32_t hs_daemon_directory_live_count(hs_daemon_directory *directory);

/** Whether a member's id stands for the address of a seed that has not answered yet. */
bool hs_daemon_is_seed(const char *id);

/** What keeps tenants within their limits; borrowed. */
hs_tenant_limiter *hs_daemon_directory_limiter(hs_daemon_directory *directory);

/** Time in s for which an answer holds. */
uint32_t hs_daemon_directory_ttl_s(const hs_daemon_directory *directory);

#endif
