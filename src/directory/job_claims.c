/** @file job_claims.c  See job_claims.h. */
#include "directory/job_claims.h"

bool hs_job_claims_is_claimant(const hs_member *member, uint32_t partition) {
    bool is_claimed = false;
    for (guint index = 0; index < member->owned->len && !is_claimed; index++)
        is_claimed = g_array_index(member->owned, hs_owned_partition, index).partition == partition;
    return is_claimed && !member->is_self && hs_member_is_running(member);
}

bool hs_job_claims_are_ends_reported(const GPtrArray *members) {
    uint32_t running = 0;
    uint32_t dead = 0;
    bool do_all_report = true;
    for (guint index = 0; index < members->len; index++) {
        const hs_member *member = members->pdata[index];
        if (member->is_self)
            continue;
        bool is_running = hs_member_is_running(member);
        running += is_running;
        dead += member->state == HS_MEMBER_DEAD;
        do_all_report = do_all_report && (member->reports_ends || !is_running);
    }
    return do_all_report && running >= dead;
}
