/**
 * @file caller_choice.h
 * Which daemons one caller is told to use, by what their machines bear. Pure.
 *
 * Answers the load of a fleet whose machines differ: each daemon is named to as many callers as its
 * spare capacity is of the largest one's. A caller is named the same daemons each time, as long as
 * these stay the same, since it leaves connections to those that are named no longer.
 */
#ifndef HS_DIRECTORY_CALLER_CHOICE_H
#define HS_DIRECTORY_CALLER_CHOICE_H

#include "membership/membership.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** A daemon that may be named. */
typedef struct {
    uint64_t daemon; /**< Hash of its id. */
    double capacity; /**< See hs_caller_capacity. */
    bool is_chosen;  /**< Set by the choice. */
} hs_caller_choice;

/**
 * Requests a second that a machine can still take, by what it is shortest of; 0: not told. What is
 * taken of it leaves a rest, however much it is: a machine without callers could not show that it
 * has recovered.
 */
double hs_caller_capacity(const hs_member_size *size);

/** Whether all of them bear alike, or nobody told: then nothing speaks for one before another. */
bool hs_caller_choice_is_even(const hs_caller_choice *choices, size_t count);

/**
 * Choose among @p choices for the caller of hash @p caller, @p most of them at most. Daemons whose
 * capacity is not told count as the mean of the others.
 */
void hs_caller_choice_make(hs_caller_choice *choices, size_t count, uint64_t caller, size_t most);

#endif
