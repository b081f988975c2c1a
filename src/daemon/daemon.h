/**
 * @file daemon.h
 * A daemon of the OpenAI surface: creates, connects, starts and stops its modules in order. Start
 * and stop are called by one thread.
 */
#ifndef HS_DAEMON_DAEMON_H
#define HS_DAEMON_DAEMON_H

#include "heathsail/error.h"
#include "heathsail/settings.h"

typedef struct hs_daemon hs_daemon;

/**
 * Starts a daemon. @p settings is borrowed and must outlive the daemon. Returns NULL and sets
 * @p error on failure; the process must then exit, as started modules are not stopped.
 */
hs_daemon *hs_daemon_start(const hs_settings *settings, hs_error *error);

/**
 * Planned stop: reports not ready, hands partitions over, waits up to the grace time for open
 * requests and running items, answers the requests that are still open, then stops all threads.
 * Threads that have not ended soon after the grace time are abandoned: the process then exits with
 * EXIT_FAILURE. @return 0 if everything finished in time.
 */
int hs_daemon_stop(hs_daemon *daemon);

#endif
