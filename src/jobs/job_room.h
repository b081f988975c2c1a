/**
 * @file job_room.h
 * How many batch items may start now: as many as there are free slots. Online requests that come
 * later find their slots by making items step aside (directory/slot_arbiter.h). Pure.
 */
#ifndef HS_JOBS_JOB_ROOM_H
#define HS_JOBS_JOB_ROOM_H

#include "fleet/fleet_engines.h"

/**
 * Items that this daemon, one of @p daemons, may start now: its part of the free slots among those
 * daemons that have items to start, which are no more than there are @p partitions; at least one
 * where a slot is free.
 */
uint32_t hs_job_room(const hs_service_room *room, uint32_t daemons, uint32_t partitions);

#endif
