/**
 * @file run_lengths.h
 * How long the requests of each route took recently, from the first time they were sent to an
 * engine to the end of their answer. Thread-safe.
 */
#ifndef HS_ONLINE_RUN_LENGTHS_H
#define HS_ONLINE_RUN_LENGTHS_H

#include <stdbool.h>
#include <stdint.h>

typedef struct hs_run_lengths hs_run_lengths;
/** A request that an engine runs. */
typedef struct hs_open_run hs_open_run;

/** What is known of a route. */
typedef struct {
    uint32_t count;      /**< Observed requests; 0: nothing is known. */
    double longer_share; /**< Share of these that took longer than the time in question. */
} hs_run_length_view;

hs_run_lengths *hs_run_lengths_new(void);
/** NULL is allowed. */
void hs_run_lengths_free(hs_run_lengths *lengths);

/**
 * Records that a request of the route was sent at @p started_ms (monotonic) and runs. @p lengths
 * may be NULL.
 * @return the run, which hs_run_lengths_end frees; NULL if @p lengths is.
 */
hs_open_run *hs_run_lengths_begin(hs_run_lengths *lengths, const char *route, uint64_t started_ms);

/** Ends a run, which may be NULL; @p is_whole: with its answer, otherwise it was broken off. */
void hs_run_lengths_end(hs_open_run *run, bool is_whole);

/**
 * Compares the requests of the last one to two minutes with @p time_ms, and those that run, or were
 * broken off, for longer. A request that took up to a tenth less may count as longer.
 */
hs_run_length_view hs_run_lengths_compare(hs_run_lengths *lengths, const char *route,
                                          uint64_t time_ms);

#endif
