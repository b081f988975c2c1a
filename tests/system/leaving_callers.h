/**
 * @file leaving_callers.h
 * Callers that send a request, or a part of one, and close their connection at a random moment;
 * and what engines did after that.
 */
#ifndef TESTS_SYSTEM_LEAVING_CALLERS_H
#define TESTS_SYSTEM_LEAVING_CALLERS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** Time in ms after a close within which engines are to be left alone. */
#define LEAVING_LIMIT_MS 500

/** One caller. */
typedef struct {
    uint16_t port;
    char *bytes;         /**< What it sends. */
    char id[32];         /**< By which engines know its request. */
    uint32_t stays_ms;   /**< Between its last byte and the close. */
    uint64_t arrives_ms; /**< Monotonic time of its connection; 0: at once. */
    uint64_t left_ms;    /**< Monotonic time of its close, set by the run; 0: not connected. */
} leaving_caller;

/** Run all callers at once, a thread each; returns when all have left. */
void leaving_callers_run(leaving_caller *callers, guint count);

/** What engines did for callers that had left. */
typedef struct {
    GHashTable *left;  /**< of leaving_caller*, by id; borrowed callers. */
    GArray *worked_ms; /**< of uint64_t: work after the close, one for each request under way. */
    uint32_t later;    /**< Requests that came to an engine later than the limit. */
    uint32_t calls;    /**< Requests that came to an engine, at any time. */
} leaving_figures;

leaving_figures leaving_figures_new(const leaving_caller *callers, guint count);

/** Count one request at an engine: monotonic times in ms; @p ended_ms 0: it still runs. */
void leaving_figures_add(leaving_figures *figures, const char *id, uint64_t begun_ms,
                         uint64_t ended_ms);

/** Print the figures under @p title, and check them against the limit; frees. */
void leaving_figures_check(leaving_figures *figures, const char *title);

#endif
