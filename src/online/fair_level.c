/** @file fair_level.c  See fair_level.h. */
#include "online/fair_level.h"

#include "base/hash.h"
#include "tenants/tenant_use.h"

#include <math.h>
#include <string.h>

/** Begins at this part of the service's places: where two groups want all, it is each one's. */
#define BEGIN_PARTS 2
/** A level below this part of the places is raised faster than it was lowered, one above it slower,
 * so that daemons whose levels differ come together. */
#define MIDDLE_PARTS 8
/** At most so many times. */
#define PULL_MOST 2
/** Part of the places that is to stand free while requests are refused for their share: with fewer,
 * chance alone makes those within their share wait. */
#define FREE_SHARE 0.02
/** Halves in so many ms where none stands free, and doubles where twice FREE_SHARE does: a run's
 * length passes until a change is felt. */
#define CHANGES_MS 6000
/** Faster by each so many ms of expected wait, */
#define WAIT_STEP_MS 10
/** up to so many times. */
#define FASTER_MOST 12
/** Where so much stands free nobody is refused. */
#define FREE_SHARE_MOST 0.1
/** Doubles in so many ms while nobody is refused by it: the next shortage is like the last one. */
#define FORGETS_MS 8000
/** Requests of a daemon are farther apart than this now and then, in ms: what happened in between
 * is not known. */
#define GAP_MOST_MS 300
/** The lowest level in slots: to hold one place is nobody's offence. */
#define LEVEL_LEAST 1

/** So much stands free that nobody is refused by the level. */
static bool has_room(const hs_service_pressure *pressure) {
    return !pressure->is_short || pressure->free_share >= FREE_SHARE_MOST;
}

/** Not a place is left over: a service that is short may have some. */
static bool is_full(const hs_service_pressure *pressure) {
    return pressure->is_short && pressure->wait_ms > 0;
}

/** By how much it changes in a ms, as a power of two. */
static double speed_of(const hs_fair_level *level, const hs_service_pressure *pressure,
                       double slots) {
    if (has_room(pressure))
        return 1.0 / FORGETS_MS;
    if (is_full(pressure))
        return -fmin(fmax(pressure->wait_ms / WAIT_STEP_MS, 1), FASTER_MOST) / CHANGES_MS;
    double speed = (pressure->free_share - FREE_SHARE) / FREE_SHARE / CHANGES_MS;
    double pull = sqrt(slots / MIDDLE_PARTS / level->slots);
    return speed > 0 ? speed * fmin(fmax(pull, 1.0 / PULL_MOST), PULL_MOST) : speed;
}

void hs_fair_level_adapt(hs_fair_level *level, const hs_service_pressure *pressure, uint32_t slots,
                         uint64_t now_ms) {
    double begin = (double)slots / BEGIN_PARTS;
    double passed_ms = now_ms > level->adapted_ms ? (double)(now_ms - level->adapted_ms) : 0;
    if (!has_room(pressure))
        passed_ms = fmin(passed_ms, GAP_MOST_MS);
    level->adapted_ms = now_ms;
    if (level->slots == 0 && is_full(pressure))
        level->slots = begin;
    else if (level->slots > 0)
        level->slots *= exp2(speed_of(level, pressure, slots) * passed_ms);
    if (!is_full(pressure) && level->slots >= begin)
        level->slots = 0;
    else if (level->slots > 0)
        level->slots = fmax(level->slots, LEVEL_LEAST);
}

bool hs_fair_level_is_over(const hs_fair_level *level, double used_slots, double draw,
                           const hs_service_pressure *pressure) {
    return level->slots > 0 && !has_room(pressure) && draw * used_slots > level->slots;
}

double hs_fair_level_draw(const char *request_id, uint64_t otherwise) {
    bool has_id = request_id != NULL && *request_id != '\0';
    uint64_t hash = has_id ? hs_hash_bytes(request_id, strlen(request_id))
                           : hs_hash_bytes(&otherwise, sizeof otherwise);
    return (double)hash / (double)UINT64_MAX;
}

uint64_t hs_fair_level_return_ms(const hs_fair_level *level, double used_slots) {
    if (level->slots == 0 || used_slots <= level->slots)
        return 0;
    return (uint64_t)(HS_TENANT_USE_FADES_MS * log(used_slots / level->slots));
}
