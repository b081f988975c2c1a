/** @file fleet_daemon_state.h  State of a daemon of the fleet surface; internal to src/daemon. */
#ifndef HS_DAEMON_FLEET_DAEMON_STATE_H
#define HS_DAEMON_FLEET_DAEMON_STATE_H

#include "daemon/fleet_daemon.h"

#include "base/drain.h"
#include "base/stall_detector.h"
#include "base/topology.h"
#include "directory/peer_config.h"
#include "fleet/engine_source.h"
#include "jobs/job_owner.h"
#include "surface/fleet_surface.h"

struct hs_fleet_daemon {
    const hs_settings *settings; /**< Settings at the start. Borrowed. */
    hs_settings *reloaded;       /**< Settings of the last reload; NULL: none. Owned. */
    hs_topology *topology;
    hs_store_client *store;
    hs_config_source *config;
    hs_fleet_engines *engines;
    hs_crash_watch *crash_watch;
    hs_stream_origins *origins;
    hs_engine_source *engine_source;
    hs_daemon_directory *directory;
    hs_peer_config *peer_config;
    hs_job_service *jobs;
    hs_job_owner *owner;
    hs_online online;
    hs_fleet_surface *surface;
    hs_drain *drain;
    hs_reload_counts reloads;
    hs_stall_detector stall_detector;
};

/** Frees a daemon whose threads may run, or one that failed to start; in fleet_stop.c. */
void hs_fleet_daemon_free(hs_fleet_daemon *daemon);

#endif
