/** @file group_choice.c  See group_choice.h. */
#include "jobs/group_choice.h"

/** Members of a partition's share of the group, so that losses leave owners for all. */
#define MEMBERS_PER_PARTITION 2
/** A member stays up to this multiple of the rank up to which others join. */
#define STAY_FACTOR 2

bool hs_job_group_should_join(uint32_t rank, uint32_t part_count, bool is_member) {
    if (rank == UINT32_MAX)
        return true;
    uint64_t limit = (uint64_t)part_count * MEMBERS_PER_PARTITION * (is_member ? STAY_FACTOR : 1);
    return rank < limit;
}
