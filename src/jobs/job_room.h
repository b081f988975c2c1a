/**
 * @file job_room.h
 * Computes how many batch items may start now from the free slots. Online requests that arrive
 * later obtain slots by preempting items (directory/slot_arbiter.h). Pure functions.
 */
#ifndef HS_JOBS_JOB_ROOM_H
#define HS_JOBS_JOB_ROOM_H

#include "fleet/fleet_engines.h"

/**
 * Minimum length of a run, in ms, that is worth its start. If an item is preempted earlier, the
 * cost of connecting and processing the prompt exceeds the progress.
 */
#define HS_MIN_USEFUL_RUN_MS 1000

/**
 * Returns how many items this daemon, one of @p daemons, may start now: its share of the free slots
 * among the daemons assumed to have items to start, of which there are at most @p partitions. At
 * least 1 if a slot is free.
 */
uint32_t hs_job_capacity_now(const hs_service_capacity *capacity, uint32_t daemons,
                             uint32_t partitions);

/**
 * Like hs_job_capacity_now, but keeps slots free for online requests that are expected to need
 * @p expected_online slots soon. Items that are not urgent are limited by this number.
 */
uint32_t hs_job_capacity_expected(const hs_service_capacity *capacity, double expected_online,
                                  uint32_t daemons, uint32_t partitions);

#endif
