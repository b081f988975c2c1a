/**
 * @file platform.h
 * Stand-in for the platform: append-only log, lagging machine list, rate-limited weight store.
 * Kept in memory; faults are switched over HTTP under /control.
 */
#ifndef STANDIN_PLATFORM_H
#define STANDIN_PLATFORM_H

#include "http/http_server.h"

#include <glib.h>

#define PLATFORM_ANY_RECORD (-1)

/** A fault that hits the next @c count appends whose stream and first record byte match. */
typedef struct {
    uint32_t count;
    int first_byte; /**< First byte of the first record, or PLATFORM_ANY_RECORD. */
    char *stream_prefix;
} platform_append_fault;

typedef struct {
    bool down;        /**< Connections break; nothing takes effect. */
    bool refuse;      /**< Every call is answered 503. */
    uint32_t slow_ms; /**< Added before each answer. */
    uint32_t list_lag_ms;
    platform_append_fault lose_answer; /**< Takes effect, then the connection breaks. */
    platform_append_fault duplicate;   /**< Stored twice. */
} platform_faults;

typedef struct platform {
    GMutex lock;
    GCond appended;
    GHashTable *streams;     /**< name -> GPtrArray of GBytes */
    GHashTable *machines;    /**< id -> json_t* */
    GArray *machine_history; /**< of platform_machine_version */
    guint shown_version;     /**< The list never goes back when its lag is raised. */
    platform_faults faults;
    uint32_t weight_loads_per_minute;
    double weight_tokens;
    gint64 weight_refilled_us;
    bool stopping; /**< Waiting reads end. */
    uint64_t append_count;
    uint64_t failed_calls; /**< Calls broken or refused by a fault. */
} platform;

platform *platform_new(uint32_t list_lag_ms, uint32_t weight_loads_per_minute);
void platform_routes(platform *self, hs_http_server *server);

/** End waiting reads, so that the listener can be stopped. */
void platform_stop(platform *self);

/** Adds the routes under /control that switch faults and edit the machine list. */
void platform_control_routes(platform *self, hs_http_server *server);

/** Adds the machine list and weight store routes. */
void platform_machine_routes(platform *self, hs_http_server *server);

/** True when the call must stop here; sets the broken or refused answer and delays slow calls. */
bool platform_fault_hits(platform *self, struct _u_response *response);

/** Makes the connection break without an answer. */
int standin_break_connection(struct _u_response *response);

#endif
