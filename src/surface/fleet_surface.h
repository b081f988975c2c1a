/**
 * @file fleet_surface.h
 * The listeners of the fleet surface: callers' requests, readiness, resolving, metrics. Each call
 * is sorted and handed to what serves it.
 */
#ifndef HS_SURFACE_FLEET_SURFACE_H
#define HS_SURFACE_FLEET_SURFACE_H

#include "directory/daemon_directory.h"
#include "jobs/job_service.h"
#include "online/online_request.h"
#include "surface/fleet_metrics.h"

/** All borrowed. Empty addresses: no such listener. */
typedef struct {
    const char *front; /**< "IPv4:port" */
    const char *ready;
    const char *directory;
    const char *metrics;
    const char *control;  /**< For other daemons. */
    uint32_t descriptors; /**< That the process may have open. */
    uint32_t contact_ms;  /**< Time within which a ready daemon takes a connection. */
    hs_online *online;
    hs_job_service *jobs;
    hs_job_owner *owner; /**< For its metrics. */
    hs_daemon_directory *members;
    hs_engine_source *engine_source; /**< For its metrics. */
    hs_store_client *store;
    hs_reload_counts *reloads;
    hs_stall_detector *wakes;
    bool (*may_serve)(void *user_data); /**< Whether requests could be served. */
    void *user_data;
} hs_fleet_surface_settings;

typedef struct hs_fleet_surface hs_fleet_surface;

/** Open the listeners; NULL with @p error. */
hs_fleet_surface *hs_fleet_surface_start(const hs_fleet_surface_settings *settings,
                                         hs_error *error);

/** From now on not ready; answers close their connections; requests are still served. */
void hs_fleet_surface_leave(hs_fleet_surface *surface);

/** Take no new connections of callers and let idle ones end. May be called again and again. */
void hs_fleet_surface_quiesce(hs_fleet_surface *surface);

/** Requests of callers now open. */
uint32_t hs_fleet_surface_open_requests(hs_fleet_surface *surface);

/** Stop the listeners and free. NULL is allowed. */
void hs_fleet_surface_stop(hs_fleet_surface *surface);

#endif
