/** @file fleet_metrics.h  Metrics of the fleet surface in Prometheus' text form. */
#ifndef HS_SURFACE_FLEET_METRICS_H
#define HS_SURFACE_FLEET_METRICS_H

#include "directory/daemon_directory.h"
#include "fleet/engine_source.h"
#include "jobs/job_owner.h"
#include "jobs/job_service.h"
#include "online/online_request.h"

/** How often the settings were read anew; atomic. */
typedef struct {
    gint taken;
    gint refused; /**< Broken, or no file: the ones before stayed. */
} hs_reload_counts;

/** Where the figures come from. All borrowed. */
typedef struct {
    hs_online *online;
    hs_job_service *jobs;
    hs_job_owner *owner;
    hs_store_client *store;
    hs_daemon_directory *members;
    hs_engine_source *engine_source;
    hs_reload_counts *reloads;
    hs_stall_detector *wakes;
    uint32_t open_requests;
} hs_fleet_metrics_sources;

/** All metrics as text. Free with g_free. */
char *hs_fleet_metrics_write(const hs_fleet_metrics_sources *sources);

#endif
