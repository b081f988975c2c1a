/** @file job_room.c  See job_room.h. */
#include "jobs/job_room.h"

uint32_t hs_job_room(const hs_service_room *room, uint32_t daemons) {
    double spare = room->slots - room->batch - room->online;
    if (spare < 1)
        return 0;
    return MAX((uint32_t)(spare / MAX(daemons, 1)), 1);
}
