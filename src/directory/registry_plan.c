/** @file registry_plan.c  See registry_plan.h. */
#include "directory/registry_plan.h"

/** Time in which a new daemon asks for missing members with each probe; see membership_service.c.
 */
#define JOINING_MS 1500

bool hs_registry_is_read_due(uint32_t running, double draw) {
    return running <= HS_REGISTRY_READERS || draw * running < HS_REGISTRY_READERS;
}

bool hs_registry_is_known_from_members(uint32_t running, uint64_t joined_ms) {
    return running > HS_REGISTRY_READERS && joined_ms >= JOINING_MS;
}
