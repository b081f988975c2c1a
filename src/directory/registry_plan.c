/** @file registry_plan.c  See registry_plan.h. */
#include "directory/registry_plan.h"

#include "membership/membership_service.h"

bool hs_registry_is_read_due(uint32_t running, double draw) {
    return running <= HS_REGISTRY_READERS || draw * running < HS_REGISTRY_READERS;
}

bool hs_registry_is_known_from_members(uint32_t running, uint64_t joined_ms) {
    return running > HS_REGISTRY_READERS && joined_ms >= HS_MEMBERSHIP_JOINING_MS;
}
