/** @file fair_claim.c  See fair_claim.h. */
#include "online/fair_claim.h"

int hs_fair_claim_compare(const hs_fair_claim *one, const hs_fair_claim *other) {
    if (one->arrived_ms != other->arrived_ms)
        return one->arrived_ms < other->arrived_ms ? -1 : 1;
    return 0;
}
