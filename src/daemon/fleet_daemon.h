/**
 * @file fleet_daemon.h
 * One daemon of the fleet surface: wires the duties, serves, stops without cutting a request.
 */
#ifndef HS_DAEMON_FLEET_DAEMON_H
#define HS_DAEMON_FLEET_DAEMON_H

#include "heathsail/error.h"
#include "heathsail/settings.h"

typedef struct hs_fleet_daemon hs_fleet_daemon;

/** Start all duties; NULL with @p error. @p settings is borrowed for the daemon's life. */
hs_fleet_daemon *hs_fleet_daemon_start(const hs_settings *settings, hs_error *error);

/**
 * Take changed settings: seeds, the resolve time, the grace time. Others need a restart, which the
 * log says. Takes ownership of @p settings.
 */
void hs_fleet_daemon_reload(hs_fleet_daemon *daemon, hs_settings *settings, const char *cause);

/** Note that changed settings were not taken; those before them stay. */
void hs_fleet_daemon_refuse_reload(hs_fleet_daemon *daemon, const char *cause, const char *reason);

/** Leave, finish what is open within the grace time, free. */
void hs_fleet_daemon_stop(hs_fleet_daemon *daemon);

#endif
