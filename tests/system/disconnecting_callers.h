/**
 * @file disconnecting_callers.h
 * Callers that send a request, or a part of a request, and close the connection after a given time;
 * and statistics of the engines' work for them after the close.
 */
#ifndef TESTS_SYSTEM_DISCONNECTING_CALLERS_H
#define TESTS_SYSTEM_DISCONNECTING_CALLERS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** Bound for engine work after a caller's close. */
#define MAX_WORK_AFTER_DISCONNECT_MS 500

/** One caller. */
typedef struct {
    uint16_t port;
    char *bytes;             /**< Bytes to send; owned by the test. */
    char id[32];             /**< The request's id in the engines' records. */
    uint32_t close_delay_ms; /**< Delay between the last byte sent and the close. */
    uint64_t connect_at_ms;  /**< Monotonic time to connect at; 0: now. */
    uint64_t closed_at_ms;   /**< Monotonic time of the close, set by the run; 0: not connected. */
} disconnecting_caller;

/** Runs all callers in parallel, a thread each; returns after the last close. */
void disconnecting_callers_run(disconnecting_caller *callers, guint count);

/** Statistics of the engines' work for callers. */
typedef struct {
    GHashTable *callers;         /**< Of disconnecting_caller*, by id; the callers are borrowed. */
    GArray *work_after_close_ms; /**< Of uint64_t: one for each request that ran at the close. */
    uint32_t
        late_requests; /**< Requests that reached an engine after MAX_WORK_AFTER_DISCONNECT_MS. */
    uint32_t engine_requests; /**< All requests that reached an engine. */
} disconnect_stats;

/** Returns empty statistics of @p callers, which have closed their connections. */
disconnect_stats disconnect_stats_new(const disconnecting_caller *callers, guint count);

/** Adds a request at an engine. Monotonic times in ms; @p ended_ms 0: the request still runs. */
void disconnect_stats_add(disconnect_stats *figures, const char *id, uint64_t started_ms,
                          uint64_t ended_ms);

/** Prints the figures under @p title, checks them against the limit, and frees them. */
void disconnect_stats_check(disconnect_stats *figures, const char *title);

#endif
