/** @file fair_level.c  See fair_level.h. */
#include "online/fair_level.h"

#include "base/hash.h"
#include "tenants/tenant_use.h"

#include <math.h>
#include <string.h>

/** The level begins at one part in this many of the places: the share of each of two groups. */
#define BEGIN_PARTS 2
/** A level below one part in this many of the places rises faster, one above it slower, so that the
 * levels of daemons converge. */
#define MIDDLE_PARTS 8
/** The most by which it rises faster or slower for that. */
#define PULL_MOST 2
/** Part of the places that is to stand free while requests are refused for their share: with fewer,
 * chance alone makes those within their share wait. */
#define FREE_SHARE 0.02
/** It halves in this time, in ms, where none stands free, and doubles where twice FREE_SHARE does:
 * a change takes a run's length to show. */
#define CHANGES_MS 6000
/** It falls as many times faster as the expected wait has steps of this many ms, */
#define WAIT_STEP_MS 10
/** up to this factor. */
#define FASTER_MOST 12
/** Share of the places from which on nobody is refused. */
#define FREE_SHARE_MOST 0.1
/** It doubles in this time, in ms, while nobody is refused: the next shortage is like the last. */
#define FORGETS_MS 8000
/** Of a longer time between two requests, in ms, only this much counts: what happened in between is
 * not known. */
#define GAP_MOST_MS 300
/** The lowest level in slots: every group may hold one. */
#define LEVEL_LEAST 1

/** So much stands free that nobody is refused by the level. */
static bool has_room(const hs_service_pressure *pressure) {
    return !pressure->is_short || pressure->free_share >= FREE_SHARE_MOST;
}

/** No place is left; a service that is short may still have some. */
static bool is_full(const hs_service_pressure *pressure) {
    return pressure->is_short && pressure->wait_ms > 0;
}

/** Exponent of two by which the level changes in a ms. */
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
