/**
 * @file daemon_directory_state.h
 * State of the directory, shared by the files that implement daemon_directory.h.
 */
#ifndef HS_DIRECTORY_DAEMON_DIRECTORY_STATE_H
#define HS_DIRECTORY_DAEMON_DIRECTORY_STATE_H

#include "base/stop_wait.h"
#include "directory/crash_exchange.h"
#include "directory/crash_store.h"
#include "directory/daemon_directory.h"
#include "directory/evacuation_exchange.h"
#include "directory/machine_load.h"
#include "directory/peer_distances.h"
#include "directory/slot_arbiter.h"
#include "directory/software_store.h"
#include "directory/stream_origin_exchange.h"
#include "feed/feed_tree.h"

struct hs_daemon_directory {
    hs_daemon_directory_settings settings;
    hs_peer_socket *socket;
    hs_peer_distances *distances;
    hs_membership_service *membership;
    hs_slot_arbiter *slots;
    hs_crash_exchange *crashes;
    hs_evacuation_exchange *evacuations;
    hs_stream_origin_exchange *origins;
    hs_software_store *software_records;
    hs_tenant_limiter *limiter;
    hs_crash_store *crash_records;
    char *seeds; /**< Guarded by lock. */
    gint resolve_ttl_s;
    hs_feed_tree *feed_tree;    /**< View of the members; guarded by the membership's lock. */
    uint64_t feed_tree_version; /**< Version of the members that feed_tree shows. */
    uint64_t started_ms;        /**< Time of joining. */
    uint64_t probing_ms;        /**< Time of the start; set before the threads run. */
    uint64_t next_shares_ms;
    guint next_peer;          /**< Index of the peer at which the next announcement starts. */
    guint shares_rounds;      /**< Announcements so far; wraps. */
    hs_machine_load load;     /**< Used by the ticker's thread only. */
    gint utilisation_percent; /**< As last announced; atomic. */
    GMutex lock;
    hs_stop_wait pause;
    uint32_t reports_rejoin_count; /**< See hs_daemon_directory_are_ends_reported. */
    gint leaving;
    gint joined; /**< This daemon was ready to serve and takes part in the membership. */
    GThread *ticker;
    GThread *registry_thread;
};

#endif
