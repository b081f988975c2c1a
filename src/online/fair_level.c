/** @file fair_level.c  See fair_share.h. */
#include "online/fair_level.h"

#include "base/hash.h"
#include "tenants/tenant_use.h"

#include <math.h>
#include <string.h>

/** The initial share is the service's slots divided by this: the share of each of two tenants. */
#define INITIAL_DIVISOR 2
/** Shares below the slots divided by this rise faster, others slower, so that daemons converge. */
#define CONVERGENCE_DIVISOR 8
/** Largest factor by which a share rises faster or slower to converge. */
#define MAX_CONVERGENCE_FACTOR 2
/**
 * Part of the slots to keep free while the share is applied: with fewer free slots, tenants within
 * their share have to wait because of random variation.
 */
#define TARGET_FREE_RATIO 0.02
/**
 * The share halves in this time if no slot is free, and doubles if twice TARGET_FREE_RATIO are.
 * This time must be longer than a run, since a change takes that long to show.
 */
#define ADJUST_TIME_MS 6000
/** While the service is full, the share falls faster in proportion to the expected wait. */
#define WAIT_STEP_MS 10
/** Largest factor by which the share falls faster. */
#define MAX_DECREASE_FACTOR 12
/** With at least this part of the slots free, no request is refused for its tenant's share. */
#define MIN_UNLIMITED_FREE_RATIO 0.1
/** Doubling time while the share is not applied; a new shortage starts near the last share. */
#define RECOVERY_TIME_MS 8000
/** Longer gaps between two updates count as this long: the load in between is unknown. */
#define MAX_UPDATE_GAP_MS 300
/** Every tenant may use at least this many slots. */
#define MIN_SHARE_SLOTS 1

/** Whether enough slots are free not to apply the share. */
static bool has_free_slots(const hs_service_pressure *pressure) {
    return !pressure->is_short || pressure->free_share >= MIN_UNLIMITED_FREE_RATIO;
}

/** Whether no slot is free; a service that is short may still have some. */
static bool is_full(const hs_service_pressure *pressure) {
    return pressure->is_short && pressure->wait_ms > 0;
}

/** Returns the change of the share per ms, as an exponent of two. */
static double growth_rate(const hs_fair_share *share, const hs_service_pressure *pressure,
                          double slots) {
    if (has_free_slots(pressure))
        return 1.0 / RECOVERY_TIME_MS;
    if (is_full(pressure))
        return -fmin(fmax(pressure->wait_ms / WAIT_STEP_MS, 1), MAX_DECREASE_FACTOR) /
               ADJUST_TIME_MS;
    double rate = (pressure->free_share - TARGET_FREE_RATIO) / TARGET_FREE_RATIO / ADJUST_TIME_MS;
    double convergence = sqrt(slots / CONVERGENCE_DIVISOR / share->slots);
    return rate > 0 ? rate * fmin(fmax(convergence, 1.0 / MAX_CONVERGENCE_FACTOR),
                                  MAX_CONVERGENCE_FACTOR)
                    : rate;
}

void hs_fair_share_update(hs_fair_share *share, const hs_service_pressure *pressure, uint32_t slots,
                          uint64_t now_ms) {
    double initial = (double)slots / INITIAL_DIVISOR;
    double elapsed_ms = now_ms > share->updated_ms ? (double)(now_ms - share->updated_ms) : 0;
    if (!has_free_slots(pressure))
        elapsed_ms = fmin(elapsed_ms, MAX_UPDATE_GAP_MS);
    share->updated_ms = now_ms;
    if (share->slots == 0 && is_full(pressure))
        share->slots = initial;
    else if (share->slots > 0)
        share->slots *= exp2(growth_rate(share, pressure, slots) * elapsed_ms);
    if (!is_full(pressure) && share->slots >= initial)
        share->slots = 0;
    else if (share->slots > 0)
        share->slots = fmax(share->slots, MIN_SHARE_SLOTS);
}

bool hs_fair_share_is_exceeded(const hs_fair_share *share, double used_slots, double sample,
                               const hs_service_pressure *pressure) {
    return share->slots > 0 && !has_free_slots(pressure) && sample * used_slots > share->slots;
}

double hs_fair_share_sample(const char *request_id, uint64_t fallback) {
    bool has_id = request_id != NULL && *request_id != '\0';
    uint64_t hash = has_id ? hs_hash_bytes(request_id, strlen(request_id))
                           : hs_hash_bytes(&fallback, sizeof fallback);
    return (double)hash / (double)UINT64_MAX;
}

uint64_t hs_fair_share_retry_after_ms(const hs_fair_share *share, double used_slots) {
    if (share->slots == 0 || used_slots <= share->slots)
        return 0;
    return (uint64_t)(HS_TENANT_USE_DECAY_MS * log(used_slots / share->slots));
}
