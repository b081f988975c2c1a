/** @file engine_spread.c  See engine_spread.h. */
#include "fleet/engine_spread.h"

#include <glib.h>
#include <math.h>

/** Most requests that one choice shares out; more of them would change the parts little. */
#define STEPS_MOST 512

/**
 * Differences between engines disappear so many times faster than runs end: runs end, and the other
 * daemons' choices fill the emptier engines.
 */
#define CONVERGENCE_FACTOR 2

/** An engine as it is expected to be now. */
typedef struct {
    hs_engine_candidate now;
    double deviation;  /**< Of the requests there. */
    double cost_ms;    /**< Mean over what may be there. */
    double taken;      /**< Of the requests that others send meanwhile. */
    bool is_preferred; /**< A connection is kept, and there is room for sure. */
} spread_part;

/** What all candidates together have. */
typedef struct {
    double running; /**< A slot. */
    double rate;    /**< Requests a ms that end, and so about as many that come. */
} spread_mean;

/** Mean time in ms of a run there. */
static double run_ms_at(const hs_engine_candidate *candidate, const hs_engine_speed *speed) {
    return fmax(hs_engine_speed_at(speed, candidate->pace).run_ms, 1);
}

static spread_mean mean_of(const hs_engine_candidate *candidates, size_t count,
                           const hs_engine_speed *speed) {
    double running = 0;
    double slots = 0;
    double rate = 0;
    for (size_t index = 0; index < count; index++) {
        if (candidates[index].suspected)
            continue;
        running += candidates[index].running;
        rate += fmin(candidates[index].running, candidates[index].slots) /
                run_ms_at(&candidates[index], speed);
        slots += candidates[index].slots;
    }
    return (spread_mean){.running = running / fmax(slots, 1), .rate = rate};
}

static double cost_with(const hs_engine_candidate *candidate, double more,
                        const hs_engine_speed *speed) {
    hs_engine_candidate changed = *candidate;
    changed.running = fmax(candidate->running + more, 0);
    return hs_engine_choice_cost(&changed, speed);
}

static void set_cost(spread_part *part, const hs_engine_speed *speed) {
    part->cost_ms = cost_with(&part->now, 0, speed);
    if (part->deviation > 0)
        part->cost_ms = part->cost_ms / 2 + (cost_with(&part->now, -part->deviation, speed) +
                                             cost_with(&part->now, part->deviation, speed)) /
                                                4;
}

/**
 * Project a word to now: by its age a part of what ran has ended, and others came as to the mean
 * engine, both by chance.
 */
static spread_part project_to_now(const hs_engine_candidate *candidate, const spread_mean *mean,
                                  const hs_engine_speed *speed) {
    spread_part part = {.now = *candidate};
    double usual = mean->running * candidate->slots;
    double gone =
        fmin(CONVERGENCE_FACTOR * candidate->word_age_ms / run_ms_at(candidate, speed), 1);
    part.now.running += (usual - candidate->running) * gone;
    part.deviation = sqrt((candidate->running + usual) * gone);
    part.is_preferred =
        candidate->is_connected && part.now.running + 2 * part.deviation + 1 <= candidate->slots;
    set_cost(&part, speed);
    return part;
}

/** The cheapest, of equal ones the next from @p first on. */
static spread_part *cheapest(spread_part *parts, size_t count, size_t first) {
    spread_part *best = &parts[first];
    double lowest_ms = best->cost_ms;
    for (size_t step = 1, index = first + 1; step < count; step++, index++) {
        if (index == count)
            index = 0;
        if (parts[index].cost_ms >= lowest_ms)
            continue;
        best = &parts[index];
        lowest_ms = best->cost_ms;
    }
    return best;
}

/**
 * Share out the requests that come within the age of the words on the engines that take them, each
 * to the engine that is the best with those before it.
 */
static void share_out(spread_part *parts, size_t count, const spread_mean *mean, size_t first,
                      const hs_engine_speed *speed) {
    double shared = 0;
    double ages_ms = 0;
    do {
        spread_part *part = cheapest(parts, count, first++ % count);
        shared++;
        ages_ms += part->now.word_age_ms;
        part->taken++;
        part->now.running++;
        set_cost(part, speed);
    } while (shared < mean->rate * ages_ms / shared && shared < STEPS_MOST);
}

/**
 * Of equally good engines, prefer those with a kept connection that have room whatever came there
 * meanwhile; where there is none, any will do. Returns the sum of the parts that are left.
 */
static double prefer_connected(spread_part *parts, size_t count) {
    double kept = 0;
    double all = 0;
    for (size_t index = 0; index < count; index++) {
        all += parts[index].taken;
        kept += parts[index].is_preferred ? parts[index].taken : 0;
    }
    for (size_t index = 0; index < count && kept > 0; index++)
        if (!parts[index].is_preferred)
            parts[index].taken = 0;
    return kept > 0 ? kept : all;
}

/** The engine at which the sum of the parts, in their order, exceeds @p left. */
static int part_at(const spread_part *parts, size_t count, double left) {
    int last = HS_ENGINE_NONE;
    for (size_t index = 0; index < count; index++) {
        if (parts[index].taken <= 0)
            continue;
        last = (int)index;
        left -= parts[index].taken;
        if (left < 0)
            break;
    }
    return last;
}

static bool are_exact(const hs_engine_candidate *candidates, size_t count) {
    bool is_exact = true;
    for (size_t index = 0; index < count; index++)
        is_exact = is_exact && candidates[index].word_age_ms <= 0;
    return is_exact;
}

int hs_engine_spread_pick(const hs_engine_candidate *candidates, size_t count,
                          const hs_engine_turn *turn, const hs_engine_speed *speed) {
    if (are_exact(candidates, count))
        return hs_engine_choice_pick(candidates, count, turn->first, speed);
    spread_mean mean = mean_of(candidates, count, speed);
    g_autofree spread_part *parts = g_new(spread_part, count);
    for (size_t index = 0; index < count; index++)
        parts[index] = project_to_now(&candidates[index], &mean, speed);
    share_out(parts, count, &mean, turn->first, speed);
    double left = prefer_connected(parts, count);
    return part_at(parts, count, left * turn->draw);
}
