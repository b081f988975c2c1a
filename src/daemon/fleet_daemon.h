/**
 * @file fleet_daemon.h
 * A daemon of the fleet surface: creates, connects, starts and stops its modules, and reloads
 * settings. All functions are called by one thread.
 */
#ifndef HS_DAEMON_FLEET_DAEMON_H
#define HS_DAEMON_FLEET_DAEMON_H

#include "heathsail/error.h"
#include "heathsail/settings.h"

typedef struct hs_fleet_daemon hs_fleet_daemon;

/**
 * Starts a daemon. @p settings is borrowed and must outlive the daemon. Returns NULL and sets
 * @p error on failure.
 */
hs_fleet_daemon *hs_fleet_daemon_start(const hs_settings *settings, hs_error *error);

/**
 * Applies changed settings: seeds, the TTL of resolve answers and the grace time. Other changes
 * need a restart, which the log line reports. Takes ownership of @p settings; @p cause is logged.
 */
void hs_fleet_daemon_reload(hs_fleet_daemon *daemon, hs_settings *settings, const char *cause);

/** Logs and counts a failed reload; the previous settings stay in force. */
void hs_fleet_daemon_report_failed_reload(hs_fleet_daemon *daemon, const char *cause,
                                          const char *reason);

/** Leaves the fleet, waits up to the grace time for requests and items, and frees the daemon. */
void hs_fleet_daemon_stop(hs_fleet_daemon *daemon);

#endif
