/**
 * @file fleet.h
 * Starts a fleet of processes on loopback: platform, engines and daemons. A fleet belongs to one
 * thread.
 */
#ifndef TOOLS_FLEET_FLEET_H
#define TOOLS_FLEET_FLEET_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <sys/types.h>

#define FLEET_MAX_DAEMONS 16
#define FLEET_MAX_ENGINES 32
/** Maximum number of daemons, and of engines, in a fleet with leased ports. */
#define FLEET_LEASED_PORTS_PER_KIND 8

/** First ports of a fleet; daemon or engine number n uses the port plus n. */
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
    int drafting_engines;      /**< Engines labelled service=quote-desk. */
    int order_engines;         /**< Engines labelled service=order-book. */
    int list_lag_ms;           /**< Delay of the platform's machine list. */
    const char *log_directory; /**< For the standard error of each process; NULL: inherited. */
    const char *const *daemon_settings; /**< Extra "group.key=value", NULL-terminated; or NULL. */
} fleet_options;

extern const fleet_ports fleet_default_ports;

/**
 * Returns ports that no other test program uses, the same at each call, for at most
 * FLEET_LEASED_PORTS_PER_KIND daemons and as many engines. Not thread-safe.
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
    /** Descriptor limit of daemons started later; 0: as this process. */
    unsigned max_daemon_descriptors;
} fleet;

/**
 * Starts all processes, publishes the default configuration and waits until every daemon routes.
 * After a failure, fleet_stop ends the started processes.
 */
bool fleet_start(fleet *self, const fleet_options *options);

/** Stops the running processes, daemons first. Returns false if a daemon did not exit with 0. */
bool fleet_stop(fleet *self);

/** Starts or restarts a daemon; @p fault: value of HS_FAULT for a test build, or NULL. */
bool fleet_start_daemon(fleet *self, int index, const char *fault);

/** Starts or restarts an engine and waits until it responds. */
bool fleet_start_engine(fleet *self, int index);

/**
 * Sends a signal to a process. Except for SIGSTOP and SIGCONT, waits until the process ends and
 * clears @p pid. @return exit status (0 for SIGSTOP and SIGCONT); -1: not running or killed.
 */
int fleet_signal(pid_t *pid, int signal_number);

/** Waits until the daemon is ready. Returns false on time-out. */
bool fleet_wait_ready(const fleet *self, int index, unsigned timeout_ms);

/** Sends a JSON document to the /control/faults of the platform or an engine. */
bool fleet_set_faults(const char *base_url, const char *json_text);

/** Adds or updates an engine in the platform's machine list; @p state: "live" or "leaving". */
bool fleet_list_engine(const fleet *self, int index, const char *state);

/** Returns all requests that the engines started as a JSON array; the caller releases it. */
json_t *fleet_engine_records(const fleet *self);

#endif
