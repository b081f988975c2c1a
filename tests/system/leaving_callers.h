/**
 * @file leaving_callers.h
 * Callers that send a request, or a part of a request, and close the connection after a given time;
 * and statistics of the engines' work for them after the close.
 */
#ifndef TESTS_SYSTEM_LEAVING_CALLERS_H
#define TESTS_SYSTEM_LEAVING_CALLERS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** Bound for engine work after a caller's close. */
#define LEAVING_LIMIT_MS 500

/** One caller. */
typedef struct {
    uint16_t port;
    char *bytes;           /**< Bytes to send; owned by the test. */
    char id[32];           /**< The request's id in the engines' records. */
    uint32_t stays_ms;     /**< Delay between the last byte sent and the close. */
    uint64_t arrives_ms;   /**< Monotonic time to connect at; 0: now. */
    uint64_t closed_at_ms; /**< Monotonic time of the close, set by the run; 0: not connected. */
} leaving_caller;

/** Runs all callers in parallel, a thread each; returns after the last close. */
void leaving_callers_run(leaving_caller *callers, guint count);

/** Statistics of the engines' work for callers. */
typedef struct {
    GHashTable *callers;         /**< Of leaving_caller*, by id; the callers are borrowed. */
    GArray *work_after_close_ms; /**< Of uint64_t: one for each request that ran at the close. */
    uint32_t late_requests;      /**< Requests that reached an engine after LEAVING_LIMIT_MS. */
    uint32_t engine_requests;    /**< All requests that reached an engine. */
} leaving_figures;

/** Returns empty statistics of @p callers, which have closed their connections. */
leaving_figures leaving_figures_new(const leaving_caller *callers, guint count);

/** Adds a request at an engine. Monotonic times in ms; @p ended_ms 0: the request still runs. */
void leaving_figures_add(leaving_figures *figures, const char *id, uint64_t started_ms,
                         uint64_t ended_ms);

/** Prints the figures under @p title, checks them against the limit, and frees them. */
void leaving_figures_check(leaving_figures *figures, const char *title);

#endif
