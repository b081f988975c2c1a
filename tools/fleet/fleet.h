/**
 * @file fleet.h
 * Starts a fleet of real processes on loopback: platform, engines, daemons. Used by
 * heathsail-fleet, the system tests and the fault matrix.
 */
#ifndef TOOLS_FLEET_FLEET_H
#define TOOLS_FLEET_FLEET_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <sys/types.h>

#define FLEET_MAX_DAEMONS 16
#define FLEET_MAX_ENGINES 32
/** Daemons, and engines, that leased ports are enough for. */
#define FLEET_LEASED_MAX 8

/** Ports of a fleet; the n-th daemon or engine has the port plus n. */
typedef struct {
    int platform;
    int caller;
    int admin;
    int peer;
    int engine;
} fleet_ports;

typedef struct {
    const char *programs; /**< Directory of the binaries. */
    fleet_ports ports;
    int daemon_count;
    int drafting_engines; /**< Engines labelled service=quote-desk. */
    int order_engines;    /**< Engines labelled service=order-book. */
    int list_lag_ms;
    const char *log_directory; /**< Standard error of each process goes there; NULL: inherited. */
    const char *const *daemon_settings; /**< Extra "group.key=value", NULL-terminated; or NULL. */
} fleet_options;

extern const fleet_ports fleet_default_ports;

/**
 * Ports that no other test program uses, the same at each call, for a fleet of at most
 * FLEET_LEASED_MAX daemons and as many engines.
 */
fleet_ports fleet_leased_ports(void);

typedef struct {
    fleet_options options;
    pid_t platform_pid;
    pid_t engine_pids[FLEET_MAX_ENGINES];
    pid_t daemon_pids[FLEET_MAX_DAEMONS];
    char platform_url[64];
    char caller_urls[FLEET_MAX_DAEMONS][64];
    char admin_urls[FLEET_MAX_DAEMONS][64];
    char engine_urls[FLEET_MAX_ENGINES][64];
    int engine_count;
    /** Most descriptors that daemons started from now on may have open; 0: as this process. */
    unsigned daemon_descriptors;
} fleet;

/** Start all, publish the default configuration, wait until every daemon is ready. */
bool fleet_start(fleet *self, const fleet_options *options);

/** Stop what is left, daemons first. @return false when a daemon's planned stop failed. */
bool fleet_stop(fleet *self);

/** Start one daemon; @p fault: value of HS_FAULT for a test build, or NULL. */
bool fleet_start_daemon(fleet *self, int index, const char *fault);

/** Start one engine (again). */
bool fleet_start_engine(fleet *self, int index);

/** Send @p signal_number to a process and, when it ends it, wait. @return its exit status or -1. */
int fleet_signal(pid_t *pid, int signal_number);

/** Wait until the daemon is ready. */
bool fleet_wait_ready(const fleet *self, int index, unsigned timeout_ms);

/** PUT a JSON text of faults to the platform's or an engine's /control/faults. */
bool fleet_set_faults(const char *base_url, const char *json_text);

/** Enter (or change) an engine in the platform's machine list; @p state "live" or "leaving". */
bool fleet_list_engine(const fleet *self, int index, const char *state);

/** Every request the engines started, as one JSON array. Owned. */
json_t *fleet_engine_records(const fleet *self);

#endif
