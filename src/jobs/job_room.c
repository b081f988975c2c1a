/** @file job_room.c  See job_room.h. */
#include "jobs/job_room.h"

/**
 * Share of the daemons assumed to have items to start at a time. If they start more items than
 * there are free slots, the engines' arbiters reject the excess before it reaches an engine.
 */
#define STARTING_DAEMONS_SHARE (1.0 / 3.0)

uint32_t hs_job_capacity_now(const hs_service_capacity *capacity, uint32_t daemons,
                             uint32_t partitions) {
    double free_slots = capacity->slots - capacity->batch - capacity->online;
    if (free_slots < 1)
        return 0;
    double starting_daemons = MAX(MIN(daemons * STARTING_DAEMONS_SHARE, (double)partitions), 1.0);
    return MAX((uint32_t)(free_slots / starting_daemons), 1);
}

uint32_t hs_job_capacity_expected(const hs_service_capacity *capacity, double expected_online,
                                  uint32_t daemons, uint32_t partitions) {
    hs_service_capacity expected = *capacity;
    expected.online = MAX(capacity->online, expected_online);
    return hs_job_capacity_now(&expected, daemons, partitions);
}
