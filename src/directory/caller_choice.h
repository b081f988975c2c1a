/**
 * @file caller_choice.h
 * Selects the daemons that a caller should use by the capacity of their machines. Pure functions.
 *
 * In a fleet of unequal machines, the share of callers that get a daemon is the daemon's spare
 * capacity divided by the largest one. The selection is a function of the caller and the daemons,
 * so a caller keeps its connections while the daemons' capacities don't change.
 */
#ifndef HS_DIRECTORY_CALLER_CHOICE_H
#define HS_DIRECTORY_CALLER_CHOICE_H

#include "membership/membership.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** A daemon that can be selected. */
typedef struct {
    uint64_t daemon; /**< Hash of the daemon's id. */
    double capacity; /**< See hs_caller_capacity; 0: unknown. */
    bool is_chosen;  /**< Set by hs_caller_choice_select. */
} hs_caller_candidate;

/**
 * Returns the spare capacity of a machine, in requests per second, as limited by its scarcest
 * resource; 0: unknown. A part of the capacity remains at any utilisation, as a machine that gets
 * no callers could not show that it has recovered.
 */
double hs_caller_capacity(const hs_machine_size *size);

/** Reports whether all candidates have the same capacity, or none is known. */
bool hs_caller_choice_is_uniform(const hs_caller_candidate *candidates, size_t count);

/**
 * Selects up to @p max_count of @p candidates for the caller with hash @p caller. A candidate of
 * unknown capacity counts with the mean of the others.
 */
void hs_caller_choice_select(hs_caller_candidate *candidates, size_t count, uint64_t caller,
                             size_t max_count);

#endif
