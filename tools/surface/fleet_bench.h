/**
 * @file fleet_bench.h
 * Runs daemons of the fleet surface over a stand-in store and engines in this process, for tests
 * and the demo. Not thread-safe, except for bench_send, bench_answer_clear and the functions that
 * only read the bench.
 */
#ifndef TOOLS_SURFACE_FLEET_BENCH_H
#define TOOLS_SURFACE_FLEET_BENCH_H

#include "http/client_connection.h"
#include "standin/token_engine/token_engine.h"

#include <glib.h>
#include <stdbool.h>
#include <sys/types.h>

/** Default and maximum number of daemons. */
#define BENCH_DEFAULT_DAEMONS 3
#define BENCH_MAX_DAEMONS 400
#define BENCH_ENGINES 2
/** Default of the setting for the number of job partitions. */
#define BENCH_PARTITIONS 12
#define BENCH_HOST "a.example"
/** Events of an engine's stream; also the default for an item's text. */
#define BENCH_EVENTS 12

/** Settings, read from bench_prepare on; 0 or NULL selects the default. */
typedef struct {
    int daemons;
    token_engine_pace item_pace;   /**< Pace of the streams for items and of /once/long and
                                        /again/long. */
    token_engine_pace medium_pace; /**< Pace of the streams of /once/medium and /again/medium. */
    uint32_t slots;                /**< Slots of each engine. */
    uint32_t connections;          /**< Maximum per engine, of all daemons together. */
    uint32_t retention_s;          /**< Retention of items. */
    const char *const *zones;      /**< Of the daemons and engines by index; NULL: "zone-a". */
    const char *const *weights;    /**< Of the engines by index, see token_engine_settings; only the
                                        first engine states its id. NULL: none. */
    const char *zone_regions;      /**< Setting fleet.zone_regions; NULL: none. */
    const char *home_region;       /**< The only allowed region of a route "home", of the paths
                                        /home/; NULL: no such route. */
    uint32_t warmup_s;             /**< Of service "llm"; its engines then report cold phases and
                                        their start times. 0: none. */
    uint32_t warmup_per_s;         /**< Requests per second that a cold engine can handle. */
    uint32_t grace_s;              /**< Setting fleet.grace_s; 0: 6. */
    uint32_t evacuate_ms;          /**< Setting fleet.evacuate_ms; 0: not set. */
    const char *route_members; /**< JSON members of routes "plain" and "jobs", each followed by a
                                    comma; NULL: none. Read by bench_configure. */
    const char *again_service; /**< Service of the route "again", read by bench_configure; NULL:
                                    "llm". */
    const char *log_directory; /**< For the daemons' output, "daemon-N.log"; NULL: inherited. */
} bench_settings;

/** State of the bench; a process has one. */
typedef struct {
    bench_settings settings;
    log_store *store;
    token_engine *engines[BENCH_ENGINES];
    pid_t pids[BENCH_MAX_DAEMONS]; /**< 0: not running. */
    uint16_t store_port; /**< Store port for daemons, such as a proxy's; 0: the store's. */
    uint16_t
        store_ports[BENCH_MAX_DAEMONS]; /**< Overrides store_port for one daemon; 0: does not. */
    const char *previous_program;       /**< Daemon of an earlier build; NULL: none. */
    bool runs_previous_program[BENCH_MAX_DAEMONS]; /**< Whether the next start uses that build. */
} fleet_bench;

extern fleet_bench bench;

int bench_daemon_count(void);

/** Returns the number of events in an item's text. */
uint32_t bench_item_events(void);

/** Starts the store with a configuration, and the engines without announcing them. */
void bench_prepare(void);

/** Announces the engines and starts the daemons. Returns 0, or -1 if a daemon is not ready. */
int bench_start(void);

/** Set-up of a suite: bench_prepare and bench_start. Returns 0, or -1 as bench_start. */
int bench_set_up(void);

/** Tear-down of a suite: kills the daemons, stops the engines and the store. Returns 0. */
int bench_tear_down(void);

/** Starts a daemon; @p has_unread_output: the standard output is a pipe that is never read. */
bool bench_start_daemon(int index, bool has_unread_output);

/** Starts a daemon with a settings file; the bench's own settings override the file. */
bool bench_start_daemon_with_settings(int index, const char *settings_path);

/** Starts a daemon with a hard limit of @p descriptors open descriptors. */
bool bench_start_daemon_with_descriptor_limit(int index, unsigned descriptors);

/** Sets the mode of all engines. */
void bench_set_engine_modes(token_engine_mode mode);

/** Returns how often engines started a request. */
uint32_t bench_run_count(const char *request_id);

/** Returns how often engines started a request after an event. */
uint32_t bench_resume_count(const char *request_id);

/** Waits until a daemon is ready. Returns false on time-out. */
bool bench_wait_ready(int index);

/**
 * Sends a signal to a daemon; for SIGKILL and SIGTERM, waits until the daemon ends. Returns the
 * exit status (0 for other signals), or -1: not running or ended by a signal.
 */
int bench_signal_daemon(int index, int signal_number);

/** Sends SIGTERM to a daemon without waiting for its end. */
void bench_begin_stop(int index);

/** Waits until a daemon ends. Returns the same as bench_signal_daemon. */
int bench_wait_end(int index);

/** Writes a configuration of the given version. Service "far", of /far/, never has engines. */
void bench_configure(int version);

/**
 * As bench_configure, with tenants as a JSON list; NULL: none. With tenants, /plain/open/ is public
 * and all other paths require a key.
 */
void bench_configure_tenants(int version, const char *tenants);

/** A daemon's response. Clear with bench_answer_clear. */
typedef struct {
    uint32_t status; /**< 0: no response. */
    bool whole;      /**< The response is complete. */
    bool left;       /**< The call disconnected before the response was complete. */
    char *body;
    GArray *fields;
} bench_answer;

/** A request to a daemon. */
typedef struct {
    int daemon;
    const char *method;
    const char *target;
    const char *request_id;    /**< NULL: none. */
    const char *body;          /**< NULL: none. */
    const char *const *fields; /**< Further headers, "Name: value", NULL-terminated; NULL: none. */
    uint32_t timeout_ms;       /**< Sent as the request's timeout; 0: not sent. */
    uint32_t wait_ms;          /**< Sent as the maximum time held; 0: not sent. */
    uint16_t port;             /**< 0: the front listener's. */
    uint32_t last_event;       /**< Sent as the last received event; 0: not sent. */
    uint32_t disconnect_after_ms; /**< Time until the call disconnects; 0: 12 s. */
    hs_client_connection **kept; /**< Idle connection to reuse, replaced by the one to reuse next or
                                    NULL; the caller closes it. NULL: closed after the call. */
} bench_call;

/** Sends the call and waits for the response. */
bench_answer bench_send(const bench_call *call);
void bench_answer_clear(bench_answer *answer);

uint16_t bench_front_port(int index);
uint16_t bench_ready_port(int index);
uint16_t bench_directory_port(int index);
uint16_t bench_control_port(int index);
uint16_t bench_metrics_port(int index);

/** Returns the submission body of a job of @p count items "ID-n". Free with g_free. */
char *bench_job_body(const char *id, int count);

/** The same for items of another path. */
char *bench_job_body_for(const char *id, int count, const char *path);

/**
 * Polls a job until @p count results are listed.
 * @return the page (free with g_free); NULL on time-out.
 */
char *bench_wait_job(int daemon, const char *id, int count, unsigned timeout_ms);

#endif
