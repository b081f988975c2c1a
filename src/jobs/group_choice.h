/**
 * @file group_choice.h
 * Which daemons take part in the group that owns the partitions of jobs. Pure function.
 *
 * In a large fleet only the largest machines do, twice as many as there are partitions: an owner
 * reads its partition's log and runs its items, and each change of the group deals all partitions
 * anew. In a small fleet all do.
 */
#ifndef HS_JOBS_GROUP_CHOICE_H
#define HS_JOBS_GROUP_CHOICE_H

#include <stdbool.h>
#include <stdint.h>

/**
 * Returns whether a daemon takes part. @p rank: among the daemons of its region, by the size of
 * their machines, from 0; UINT32_MAX: unknown. @p is_member: it takes part now; it then stays until
 * its rank is well beyond, so that restarts of others do not move partitions to and fro.
 */
bool hs_job_group_should_join(uint32_t rank, uint32_t part_count, bool is_member);

#endif
