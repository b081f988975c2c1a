/** @file fleet_metrics.h  Writes the metrics of the fleet surface in the Prometheus text format. */
#ifndef HS_SURFACE_FLEET_METRICS_H
#define HS_SURFACE_FLEET_METRICS_H

#include "directory/daemon_directory.h"
#include "fleet/engine_source.h"
#include "jobs/job_owner.h"
#include "jobs/job_service.h"
#include "online/online_request.h"

/** Counts of settings reloads; accessed atomically. */
typedef struct {
    gint applied; /**< Valid reloads, put in use. */
    gint refused; /**< Missing or invalid file; the previous settings stay in effect. */
} hs_reload_counts;

/** Sources of the metrics. All pointers are borrowed. */
typedef struct {
    hs_online *online;
    hs_job_service *jobs;
    hs_job_owner *owner;
    hs_store_client *store;
    hs_daemon_directory *members;
    hs_engine_source *engine_source;
    hs_reload_counts *reloads;
    hs_stall_detector *stall_detector;
    uint32_t open_requests;
} hs_fleet_metrics_sources;

/** Returns all metrics as text. Free with g_free. */
char *hs_fleet_metrics_write(const hs_fleet_metrics_sources *sources);

#endif
