/** @file job_runners.c  See job_runners.h. */
#include "jobs/job_runners.h"

#include "base/clock.h"
#include "base/hash.h"
#include "base/log.h"
#include "jobs/region_runner.h"

#include <string.h>

/** Interval between two updates; a daemon takes longer to be known as live or dead. */
#define UPDATE_INTERVAL_MS 500

static const char *own_region(const hs_job_owner *owner) {
    return owner->settings.daemons != NULL ? hs_daemon_directory_own_region(owner->settings.daemons)
                                           : NULL;
}

static uint64_t own_hash(const hs_job_owner *owner) {
    return hs_hash_bytes(owner->settings.member, strlen(owner->settings.member));
}

/** Returns the region of the partition's owner; NULL: unknown, or there is no live owner. */
static const char *region_of_owner(const hs_owned_job_partition *owned) {
    hs_daemon_address address;
    uint32_t number = hs_job_partition_number(owned->partition);
    if (owned->is_owned)
        return own_region(owned->owner);
    return hs_daemon_directory_find_owner(owned->owner->settings.daemons, number, &address)
               ? address.region
               : NULL;
}

/** Whether this daemon, which does not own the partition, runs its items that have the policy. */
static bool is_chosen(const hs_owned_job_partition *owned, const hs_region_policy *policy) {
    const hs_job_owner *owner = owned->owner;
    return owner->runners != NULL && !hs_region_policy_allows_region(policy, owned->owner_region) &&
           hs_region_runner_choose(owner->runners, hs_job_partition_number(owned->partition),
                                   policy) == own_hash(owner);
}

bool hs_job_runners_is_here(const hs_owned_job_partition *owned, const hs_region_policy *policy) {
    if (!hs_region_policy_is_restricted(policy))
        return owned->is_owned;
    if (owned->is_owned)
        return hs_region_policy_allows_region(policy, own_region(owned->owner));
    return owned->is_runner && is_chosen(owned, policy);
}

bool hs_job_runners_is_nowhere(const hs_job_owner *owner, const hs_region_policy *policy) {
    return owner->runners == NULL ||
           hs_region_runner_choose(owner->runners, 0, policy) == HS_NO_RUNNER;
}

/** Whether the partition may have restricted items that this daemon runs for the owner. */
static bool is_needed(const hs_owned_job_partition *owned, const GArray *policies) {
    bool is_any = false;
    for (guint index = 0; index < policies->len && !is_any && !owned->is_owned; index++)
        is_any = is_chosen(owned, &g_array_index(policies, hs_region_policy, index));
    return is_any;
}

void hs_job_runners_update(hs_job_owner *owner, const hs_fleet_config *config) {
    hs_daemon_directory *daemons = owner->settings.daemons;
    uint64_t now_ms = hs_clock_monotonic_ms();
    if (daemons == NULL || owner->phase >= HS_OWNER_DRAINING || now_ms < owner->next_runners_ms)
        return;
    owner->next_runners_ms = now_ms + UPDATE_INTERVAL_MS;
    g_autoptr(GArray) policies =
        hs_region_runner_list_policies(hs_daemon_directory_topology(daemons), config);
    if (owner->runners != NULL)
        g_array_unref(owner->runners);
    owner->runners = policies->len > 0 ? hs_daemon_directory_list_regions(daemons) : NULL;
    for (guint number = 0; number < owner->partitions->len; number++) {
        hs_owned_job_partition *owned = owner->partitions->pdata[number];
        owned->owner_region = policies->len > 0 ? region_of_owner(owned) : NULL;
        bool is_runner = is_needed(owned, policies);
        if (is_runner == owned->is_runner)
            continue;
        hs_log_info(is_runner ? "partition_run_for_regions" : "partition_not_run_for_regions",
                    "part=%u owner_region=%s", number,
                    owned->owner_region != NULL ? owned->owner_region : "-");
        hs_job_owner_set_runner(owned, is_runner);
    }
}
