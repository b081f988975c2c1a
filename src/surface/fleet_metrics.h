/** @file fleet_metrics.h  Metrics of the fleet surface in Prometheus' text form. */
#ifndef HS_SURFACE_FLEET_METRICS_H
#define HS_SURFACE_FLEET_METRICS_H

#include "directory/daemon_directory.h"
#include "online/online_request.h"

/** All metrics as text. Free with g_free. */
char *hs_fleet_metrics_write(hs_online *online, hs_store_client *store,
                             hs_daemon_directory *members, uint32_t open_requests);

#endif
