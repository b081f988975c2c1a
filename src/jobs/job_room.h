/**
 * @file job_room.h
 * How much of the engines batch items may take: what online requests at their peak leave, more of
 * it the less time an item has. Pure.
 */
#ifndef HS_JOBS_JOB_ROOM_H
#define HS_JOBS_JOB_ROOM_H

#include "fleet/fleet_engines.h"

/** Share of its time that a job still has, 0 to 1; all times in ms of one wall clock. */
double hs_job_time_left(uint64_t submitted_ms, uint64_t due_ms, uint64_t now_ms);

/** Share of the slots that batch items may take, for an item with @p time_left. */
double hs_job_batch_share(const hs_service_room *room, double time_left);

/** Items that this daemon, one of @p daemons, may start now, so that all together do not overfill.
 */
uint32_t hs_job_room(const hs_service_room *room, double batch_share, uint32_t daemons);

#endif
