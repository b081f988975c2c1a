/**
 * @file hollow.h
 * Hollow daemons: many in one process over real sockets, with the product's own membership,
 * configuration, scheduling and coordinator code, and no traffic of callers.
 *
 * Each has its UDP port, its reader of the configuration stream, its coordinator (with a thread
 * for each partition it owns) and its scheduler. What a real daemon has besides are its HTTP
 * listeners and the reading of the machine list, which is done once here and handed to all.
 */
#ifndef TOOLS_HOLLOW_HOLLOW_H
#define TOOLS_HOLLOW_HOLLOW_H

#include "batch/coordinator.h"
#include "config/config_store.h"
#include "heathsail/settings.h"
#include "membership/membership_service.h"
#include "routing/engine_table.h"
#include "scheduling/scheduler.h"
#include "store/appender.h"

typedef struct {
    int daemons;
    int engines;
    int partitions;
    int zones;
    int first_port;
    const char *platform_url;
    int changes;  /**< Configuration changes published and timed. */
    int failures; /**< Daemons that stop without a word. */
    int seconds;  /**< Time over which idle cost is measured. */
} hollow_options;

typedef struct {
    hs_settings settings;
    char id[32];
    char zone[16];
    hs_log_client log;
    hs_peer_socket *socket;
    hs_membership_service *membership;
    hs_config_store *config;
    hs_appender *appender;
    hs_replica_set *replicas;
    hs_chunk_reader *chunks;
    hs_item_runner runner;
    hs_coordinator *coordinator;
    hs_engine_table *engines;
    hs_scheduler *scheduler;
    bool failed; /**< Stopped without a word. */
} hollow_daemon;

typedef struct {
    hollow_options options;
    hollow_daemon *daemons;
} hollow_fleet;

bool hollow_fleet_start(hollow_fleet *fleet, const hollow_options *options);

/** True when every daemon that runs counts @p expected live members. */
bool hollow_fleet_is_level(const hollow_fleet *fleet, uint32_t expected);

/** Partitions owned by daemons that run. */
int hollow_fleet_owned(const hollow_fleet *fleet);

/** Stop one daemon without a word: its socket falls silent, its threads end. */
void hollow_daemon_fail(hollow_daemon *daemon);

#endif
