/** @file job_room.c  See job_room.h. */
#include "jobs/job_room.h"

/** Room kept for online requests, in times of their peak of late: with time left, and without. */
#define PEAK_ROOM_CALM 0.9
#define PEAK_ROOM_URGENT 0.4
/** Share of slots that batch items may take at most, with time left and without, and at least. */
#define BATCH_SHARE_CALM 0.6
#define BATCH_SHARE_MOST 0.9
#define BATCH_SHARE_LEAST 0.1

double hs_job_time_left(uint64_t submitted_ms, uint64_t due_ms, uint64_t now_ms) {
    if (due_ms <= submitted_ms || now_ms >= due_ms)
        return 0;
    double left = (double)(due_ms - now_ms) / (double)(due_ms - submitted_ms);
    return MIN(left, 1.0);
}

double hs_job_batch_share(const hs_service_room *room, double time_left) {
    double times = PEAK_ROOM_URGENT + (PEAK_ROOM_CALM - PEAK_ROOM_URGENT) * time_left;
    double most = BATCH_SHARE_MOST + (BATCH_SHARE_CALM - BATCH_SHARE_MOST) * time_left;
    double free_slots = room->slots - times * room->online_peak;
    double share = room->slots > 0 ? free_slots / room->slots : 0;
    return CLAMP(share, BATCH_SHARE_LEAST, most);
}

uint32_t hs_job_room(const hs_service_room *room, double batch_share, uint32_t daemons) {
    double spare = MIN(room->slots * batch_share - room->batch,
                       room->slots * BATCH_SHARE_MOST - room->batch - room->online);
    if (spare <= 0)
        return 0;
    return MAX((uint32_t)(spare / MAX(daemons, 1)), 1);
}
