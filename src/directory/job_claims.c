/** @file job_claims.c  See job_claims.h. */
#include "directory/job_claims.h"

/** A member that leaves still serves callers and ends its items. */
static bool is_serving(const hs_member *member) {
    return hs_member_is_running(member) || member->state == HS_MEMBER_LEAVING;
}

bool hs_job_claims_is_claimant(const hs_member *member, uint32_t partition) {
    bool is_claimed = false;
    for (guint index = 0; index < member->owned->len && !is_claimed; index++)
        is_claimed = g_array_index(member->owned, hs_owned_partition, index).partition == partition;
    return is_claimed && !member->is_self && is_serving(member);
}

bool hs_job_claims_are_ends_reported(const GPtrArray *members) {
    uint32_t running = 0;
    uint32_t absent = 0;
    bool do_all_report = true;
    bool is_leaving = false;
    for (guint index = 0; index < members->len; index++) {
        const hs_member *member = members->pdata[index];
        if (member->is_self) {
            is_leaving = member->state == HS_MEMBER_LEAVING;
            continue;
        }
        running += hs_member_is_running(member);
        absent += !is_serving(member);
        do_all_report = do_all_report && (member->reports_ends || !is_serving(member));
    }
    return do_all_report && !is_leaving && running > 0 && running >= absent;
}
