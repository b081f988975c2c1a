/**
 * @file daemon_directory.h
 * Discovery: resolves the daemons that callers should use, and finds the other daemons.
 *
 * Liveness is determined by probes among the daemons (src/membership). The store holds one keyed
 * record per daemon, written once, through which a daemon finds others if all of its seeds are
 * down. The functions are thread-safe, except for creation, start and free.
 */
#ifndef HS_DIRECTORY_DAEMON_DIRECTORY_H
#define HS_DIRECTORY_DAEMON_DIRECTORY_H

#include "base/stall_detector.h"
#include "base/topology.h"
#include "directory/resolve_addresses.h"
#include "directory/tenant_limiter.h"
#include "fleet/config_source.h"
#include "fleet/fleet_engines.h"
#include "fleet/stream_origins.h"
#include "membership/membership_service.h"
#include "store/store_client.h"

typedef struct hs_daemon_directory hs_daemon_directory;

/** Settings of a directory. Pointers are borrowed until the directory is freed. */
typedef struct {
    const char *id;
    const char *zone;
    const hs_topology *topology; /**< Zones and regions of the deployment. */
    const char *address;         /**< IPv4 address of all listeners. */
    uint16_t front_port;
    uint16_t peer_port; /**< For other daemons, UDP and TCP. */
    const char *seeds;  /**< "IPv4:port,..." */
    uint32_t probe_interval_ms;
    uint32_t resolve_ttl_s;
    hs_store_client *store;
    hs_fleet_engines *engines;         /**< Receives the loads of other daemons. */
    hs_config_source *config;          /**< Warm-up limits of the services; NULL: none. */
    hs_stall_detector *stall_detector; /**< Updated at each round of the ticker. */
    hs_crash_watch *crash_watch;       /**< Receives the crash evidence of other daemons. */
    hs_stream_origins *origins;        /**< Receives the origins of other daemons' streams. */
    double limit_tolerance;            /**< See hs_tenant_limiter_new. */
    hs_machine_size size;              /**< Of this daemon's machine. */
    bool observes_zones; /**< The loss of a zone's daemons is evidence on its engines. */
    bool (*may_join)(void *user_data); /**< Reports whether this daemon is ready to join. */
    void *user_data;
} hs_daemon_directory_settings;

/** Creates a directory and binds the socket for peers. Returns NULL with @p error on failure. */
hs_daemon_directory *hs_daemon_directory_new(const hs_daemon_directory_settings *settings,
                                             hs_error *error);

/** Applies changed settings. */
void hs_daemon_directory_update(hs_daemon_directory *directory, const char *seeds,
                                uint32_t resolve_ttl_s);

/** Starts the directory's threads. */
void hs_daemon_directory_start(hs_daemon_directory *directory);

/**
 * Announces to peers that this daemon leaves. From then on this daemon is left out of the addresses
 * returned to callers. Does not wait for answers.
 */
void hs_daemon_directory_leave(hs_daemon_directory *directory);

/** Deletes this daemon's record at the store, by @p deadline. Call after the leave. */
void hs_daemon_directory_delete_record(hs_daemon_directory *directory, hs_deadline deadline);

/** Stops the threads and frees the directory. Abandon the store client first. NULL is allowed. */
void hs_daemon_directory_free(hs_daemon_directory *directory);

/**
 * Returns "IPv4:port" texts of the daemons that a caller should use, NULL-terminated; free with
 * g_strfreev. NULL: not known yet, or there are none. @p query: of the caller; its IPv4 address in
 * host order identifies it. The directory sets the topology and whether to leave itself out.
 */
char **hs_daemon_directory_resolve(hs_daemon_directory *directory, const hs_resolve_query *query);

/** Utilisation of this daemon's machine in percent, as announced to the other daemons. */
uint32_t hs_daemon_directory_utilisation_percent(hs_daemon_directory *directory);

/** Address at which a daemon listens for others, with one port for TCP and UDP. */
typedef struct {
    uint32_t address; /**< IPv4, in host order. */
    uint16_t port;
    bool reports_ends;  /**< Only of claimants: relies on reports of ends of jobs. */
    bool is_far;        /**< In another region than this daemon, as both announced. */
    const char *region; /**< By the topology, from which it is borrowed; NULL: unknown. */
} hs_daemon_address;

/**
 * Returns the addresses (of hs_daemon_address) of the seeds and of the members that are not known
 * to be dead, without this daemon. Free with g_array_free.
 */
GArray *hs_daemon_directory_list_peers(hs_daemon_directory *directory);

/**
 * Announces to the other daemons which partitions of jobs this daemon owns. @p partitions: of
 * uint32_t. @p generation: of the assignment of partitions; if two daemons claim a partition, the
 * later generation prevails.
 */
void hs_daemon_directory_announce_owned(hs_daemon_directory *directory, const GArray *partitions,
                                        uint64_t generation);

/**
 * Finds the other daemon that owns a partition. Returns false if this daemon is the owner, or if no
 * live owner is known.
 */
bool hs_daemon_directory_find_owner(hs_daemon_directory *directory, uint32_t partition,
                                    hs_daemon_address *owner);

/**
 * Finds another live daemon by the hash of its id, as in hs_daemon_region. Returns false if it is
 * this daemon or not known to be alive.
 */
bool hs_daemon_directory_find_daemon(hs_daemon_directory *directory, uint64_t daemon,
                                     hs_daemon_address *address);

/**
 * Lists the other daemons that claim a partition, former owners that have not released it
 * included: of hs_daemon_address. Free with g_array_unref.
 */
GArray *hs_daemon_directory_list_claimants(hs_daemon_directory *directory, uint32_t partition);

/**
 * Whether the other daemons report ends of jobs to this one; see job_claims.h. False as well if
 * others held this daemon for dead since the last call; to be called by one thread.
 */
bool hs_daemon_directory_are_ends_reported(hs_daemon_directory *directory);

/**
 * Whether this daemon knows the other members: it joined, and was not suspended, for long enough to
 * learn of them.
 */
bool hs_daemon_directory_is_settled(hs_daemon_directory *directory);

/** Reports whether the deployment has several regions and this daemon's region is known. */
bool hs_daemon_directory_has_regions(const hs_daemon_directory *directory);

/** The topology by which regions of daemons are known; may be NULL. */
const hs_topology *hs_daemon_directory_topology(const hs_daemon_directory *directory);

/** The region of this daemon's zone, borrowed from the topology; NULL: unknown. */
const char *hs_daemon_directory_own_region(const hs_daemon_directory *directory);

/** A live daemon and its region. */
typedef struct {
    uint64_t daemon;    /**< Hash of its id. */
    const char *region; /**< Borrowed from the topology; NULL: unknown. */
} hs_daemon_region;

/**
 * Lists the live daemons, this one included: of hs_daemon_region. Free with g_array_unref. With
 * several regions, daemons that announce none are left out: they run an older build, which does not
 * know allowed regions.
 */
GArray *hs_daemon_directory_list_regions(hs_daemon_directory *directory);

/** Numbers of partitions of jobs by owner, as far as this daemon knows. */
typedef struct {
    uint32_t own;     /**< Owned by this daemon. */
    uint32_t located; /**< With a live owner, this daemon included. */
} hs_owner_counts;

/** Counts the owned partitions among the first @p partition_count. */
hs_owner_counts hs_daemon_directory_count_owners(hs_daemon_directory *directory,
                                                 uint32_t partition_count);

/** Metrics of the bytes sent to other daemons. Free with g_free. */
char *hs_daemon_directory_describe_traffic(hs_daemon_directory *directory);

/** Number of live daemons, this one included; at least 1. */
uint32_t hs_daemon_directory_live_count(hs_daemon_directory *directory);

/** Reports whether a member's id is a placeholder for a seed that has not responded yet. */
bool hs_daemon_is_seed(const char *id);

/** The limiter of tenants; owned by the directory. */
hs_tenant_limiter *hs_daemon_directory_limiter(hs_daemon_directory *directory);

/** Time in s for which callers may use the resolved addresses. */
uint32_t hs_daemon_directory_ttl_s(const hs_daemon_directory *directory);

#endif
