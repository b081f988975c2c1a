/** @file job_room.c  See job_room.h. */
#include "jobs/job_capacity.h"

/**
 * Not all daemons have items to start at one time. What they start too much together, engines'
 * arbiters send back before it reaches an engine.
 */
#define STARTERS_SHARE (1.0 / 3.0)

uint32_t hs_job_room(const hs_service_room *room, uint32_t daemons, uint32_t partitions) {
    double spare = room->slots - room->batch - room->online;
    if (spare < 1)
        return 0;
    double starters = MAX(MIN(daemons * STARTERS_SHARE, (double)partitions), 1.0);
    return MAX((uint32_t)(spare / starters), 1);
}

uint32_t hs_job_room_left(const hs_service_room *room, double expected_online, uint32_t daemons,
                          uint32_t partitions) {
    hs_service_room expected = *room;
    expected.online = MAX(room->online, expected_online);
    return hs_job_room(&expected, daemons, partitions);
}
