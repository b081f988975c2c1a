/**
 * @file daemon.h
 * One daemon: makes its parts, joins them, starts and stops them in order.
 */
#ifndef HS_DAEMON_DAEMON_H
#define HS_DAEMON_DAEMON_H

#include "heathsail/error.h"
#include "heathsail/settings.h"

typedef struct hs_daemon hs_daemon;

/** Make and start all duties. @p settings is borrowed. NULL with @p error on failure. */
hs_daemon *hs_daemon_start(const hs_settings *settings, hs_error *error);

/**
 * Planned stop: not ready first, hand partitions over, finish open requests and running items
 * within the grace time, then end. @return 0 when nothing was cut off.
 */
int hs_daemon_stop(hs_daemon *daemon);

#endif
