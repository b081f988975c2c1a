/** @file fair_level.c  See fair_level.h. */
#include "online/fair_level.h"

#include "tenants/tenant_use.h"

#include <math.h>

/** Begins at this part of the service's places: where two groups want all, it is each one's. */
#define BEGIN_PARTS 2
/** A level below this part of the places is raised faster than it was lowered, one above it slower,
 * so that daemons whose levels differ come together. */
#define MIDDLE_PARTS 8
/** At most so many times. */
#define PULL_MOST 2
/** Halves in so many ms of shortage until places stand free for the first time, */
#define HALVES_FIRST_MS 500
/** and then in so many: a run's length passes until a change is felt. */
#define HALVES_MS 3000
/** Doubles in so many ms while FREE_SHARE stands free, faster where more does. */
#define DOUBLES_MS 6000
/** Part of the places that may stand free while requests are refused for their share. */
#define FREE_SHARE 0.02
/** Where so much stands free nobody is refused. */
#define FREE_SHARE_MOST 0.06
/** Requests of a daemon are farther apart than this now and then, in ms: what happened in between
 * is not known. */
#define GAP_MOST_MS 300
/** The most that a group was seen to ask for is forgotten, by e, in ms. */
#define HIGHEST_FADES_MS 3000
/** A level so many times the most that any group asks for refuses nobody. */
#define ABOVE_ALL 1.5
/** The lowest level in slots: to hold one place is nobody's offence. */
#define LEVEL_LEAST 1

static double highest_at(const hs_fair_level *level, uint64_t now_ms) {
    double age_ms = now_ms > level->noted_ms ? (double)(now_ms - level->noted_ms) : 0;
    return level->highest * exp(-age_ms / HIGHEST_FADES_MS);
}

void hs_fair_level_note(hs_fair_level *level, double used_slots, uint64_t now_ms) {
    level->highest = fmax(highest_at(level, now_ms), used_slots);
    level->noted_ms = now_ms;
}

/** The level is lowered by the pressure. */
static void lower(hs_fair_level *level, double slots, double passed_ms) {
    double halves_ms = level->is_settled ? HALVES_MS : HALVES_FIRST_MS;
    double lowered =
        level->slots == 0 ? slots / BEGIN_PARTS : level->slots * exp2(-passed_ms / halves_ms);
    level->slots = fmax(lowered, LEVEL_LEAST);
}

/** Places stand free: it is raised, and given up where it is above all. */
static void raise(hs_fair_level *level, double free_share, double slots, double passed_ms) {
    double speed = fmin(free_share, FREE_SHARE_MOST) / FREE_SHARE;
    double pull = sqrt(slots / MIDDLE_PARTS / level->slots);
    pull = fmin(fmax(pull, 1.0 / PULL_MOST), PULL_MOST);
    level->slots *= exp2(speed * pull * passed_ms / DOUBLES_MS);
    level->is_settled = true;
}

/** Not a place is left over: a service that is short may have some. */
static bool is_full(const hs_service_pressure *pressure) {
    return pressure->is_short && pressure->wait_ms > 0;
}

void hs_fair_level_adapt(hs_fair_level *level, const hs_service_pressure *pressure, uint32_t slots,
                         uint64_t now_ms) {
    double passed_ms = now_ms > level->adapted_ms ? (double)(now_ms - level->adapted_ms) : 0;
    passed_ms = fmin(passed_ms, GAP_MOST_MS);
    level->adapted_ms = now_ms;
    if (is_full(pressure))
        lower(level, slots, passed_ms);
    else if (level->slots > 0)
        raise(level, pressure->free_share, slots, passed_ms);
    bool is_above_all = level->slots > ABOVE_ALL * highest_at(level, now_ms);
    if (is_full(pressure) || !is_above_all)
        return;
    level->slots = 0;
    level->is_settled = false;
}

bool hs_fair_level_is_over(const hs_fair_level *level, double used_slots, double draw,
                           const hs_service_pressure *pressure) {
    bool has_room = !pressure->is_short || pressure->free_share >= FREE_SHARE_MOST;
    return level->slots > 0 && !has_room && draw * used_slots > level->slots;
}

uint64_t hs_fair_level_return_ms(const hs_fair_level *level, double used_slots) {
    if (level->slots == 0 || used_slots <= level->slots)
        return 0;
    return (uint64_t)(HS_TENANT_USE_FADES_MS * log(used_slots / level->slots));
}
