/**
 * @file platform.h
 * Stand-in for the platform: an append-only log, a machine list that is shown with a lag, and a
 * rate-limited weight store. All state is kept in memory. Clients set faults over HTTP under
 * /control. @c lock guards all fields that change.
 */
#ifndef STANDIN_PLATFORM_H
#define STANDIN_PLATFORM_H

#include "http/http_server.h"

#include <glib.h>

#define PLATFORM_ANY_RECORD (-1)

/**
 * A fault of the next @c count appends whose stream begins with @c stream_prefix and that hold a
 * record whose first byte is @c first_byte.
 */
typedef struct {
    uint32_t count;
    int first_byte;      /**< Or PLATFORM_ANY_RECORD. */
    char *stream_prefix; /**< NULL: all streams. */
} platform_append_fault;

typedef struct {
    bool down;        /**< Connections break, and calls have no effect. */
    bool refuse;      /**< Each call gets status 503. */
    uint32_t slow_ms; /**< Added before each response. */
    uint32_t list_lag_ms;
    platform_append_fault lose_response; /**< Takes effect; the connection breaks. */
    platform_append_fault duplicate;     /**< The records are stored twice. */
} platform_faults;

typedef struct platform {
    GMutex lock;
    GCond appended;
    GHashTable *streams;     /**< name -> GPtrArray of GBytes */
    GHashTable *machines;    /**< id -> json_t* */
    GArray *machine_history; /**< of platform_machine_version */
    guint listed_version;    /**< Minimum of the next version, if the lag is raised. */
    platform_faults faults;
    uint32_t weight_loads_per_minute;
    double weight_tokens;
    gint64 weight_refilled_us;
    bool stopping; /**< Ends reads that wait for records. */
    uint64_t append_count;
    uint64_t failed_calls; /**< Calls broken or refused by a fault. */
} platform;

/** The platform lives until the process exits. */
platform *platform_new(uint32_t list_lag_ms, uint32_t weight_loads_per_minute);

/** Adds all routes, those of the functions below included. */
void platform_add_routes(platform *self, hs_http_server *server);

/** Ends the reads that wait for records, so that the listener can be stopped. */
void platform_stop(platform *self);

/** Adds the route /control/faults, which sets faults and returns their state. */
void platform_add_control_routes(platform *self, hs_http_server *server);

/** Adds the routes of the machine list and of the weight store. */
void platform_add_machine_routes(platform *self, hs_http_server *server);

/**
 * Delays the call if the fault @c slow_ms is set. Returns true if the call must fail, and then
 * has set up the broken connection or the refusal in @p response.
 */
bool platform_apply_fault(platform *self, struct _u_response *response);

/** Breaks the connection without a response. Returns the value for the route's callback. */
int standin_break_connection(struct _u_response *response);

#endif
