/**
 * @file job_room.h
 * How many batch items may start now: as many as there are free slots. Online requests that come
 * later find their slots by making items step aside (directory/slot_arbiter.h). Pure.
 */
#ifndef HS_JOBS_JOB_ROOM_H
#define HS_JOBS_JOB_ROOM_H

#include "fleet/fleet_engines.h"

/**
 * A run of an item (a piece of it, as it may be cut and go on later) is worth its start from this
 * length on, in ms: a shorter one pays a connection and the reading of its prompt for little.
 */
#define HS_ITEM_PIECE_MS 1000

/**
 * Items that this daemon, one of @p daemons, may start now: its part of the free slots among those
 * daemons that have items to start, which are no more than there are @p partitions; at least one
 * where a slot is free.
 */
uint32_t hs_job_room(const hs_service_room *room, uint32_t daemons, uint32_t partitions);

/**
 * The same where online requests are expected to hold @p expected_online slots soon, which may be
 * more than they hold now. Items that are pressing start by hs_job_room all the same.
 */
uint32_t hs_job_room_left(const hs_service_room *room, double expected_online, uint32_t daemons,
                          uint32_t partitions);

#endif
