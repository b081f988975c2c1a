/** @file engine_spread.c  See engine_spread.h. */
#include "fleet/engine_spread.h"

#include <glib.h>
#include <math.h>

/** Bound of the requests that one choice assigns; more would hardly change the weights. */
#define MAX_ASSIGNED_REQUESTS 512

/**
 * Ratio of the rate at which loads converge to the rate at which runs end. Above 1, as the other
 * daemons' choices fill the emptier engines at the same time.
 */
#define CONVERGENCE_FACTOR 2

/** Expected present state of an engine. */
typedef struct {
    hs_engine_candidate candidate; /**< With the load projected to the present. */
    double deviation;              /**< Standard deviation of the running requests. */
    double cost_ms;                /**< Mean cost over the distribution of the load. */
    double assigned;               /**< Requests assigned to the engine. */
    bool is_preferred;             /**< Connected, and almost certain to have a free slot. */
} engine_projection;

/** Aggregate load of all candidates that are not suspected. */
typedef struct {
    double running; /**< Running requests per slot. */
    double rate;    /**< Requests per ms that end, and about as many that arrive. */
} load_mean;

/** Returns the mean duration in ms of a run on the candidate. */
static double run_ms_at(const hs_engine_candidate *candidate, const hs_engine_speed *speed) {
    return fmax(hs_engine_speed_at(speed, candidate->pace).run_ms, 1);
}

static load_mean mean_load(const hs_engine_candidate *candidates, size_t count,
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
    return (load_mean){.running = running / fmax(slots, 1), .rate = rate};
}

/** Returns the candidate's cost if @p change is added to its running requests. */
static double cost_with_change(const hs_engine_candidate *candidate, double change,
                               const hs_engine_speed *speed) {
    hs_engine_candidate changed = *candidate;
    changed.running = fmax(candidate->running + change, 0);
    return hs_engine_choice_cost(&changed, speed);
}

static void set_cost(engine_projection *projection, const hs_engine_speed *speed) {
    projection->cost_ms = cost_with_change(&projection->candidate, 0, speed);
    if (projection->deviation > 0)
        projection->cost_ms =
            projection->cost_ms / 2 +
            (cost_with_change(&projection->candidate, -projection->deviation, speed) +
             cost_with_change(&projection->candidate, projection->deviation, speed)) /
                4;
}

/**
 * Projects a load report to the present. Within its age, a share of the reported runs has ended and
 * other requests have arrived as on the mean engine, both at random.
 */
static engine_projection project_to_now(const hs_engine_candidate *candidate, const load_mean *mean,
                                        const hs_engine_speed *speed) {
    engine_projection projection = {.candidate = *candidate};
    double mean_running = mean->running * candidate->slots;
    double replaced_share =
        fmin(CONVERGENCE_FACTOR * candidate->load_report_age_ms / run_ms_at(candidate, speed), 1);
    projection.candidate.running += (mean_running - candidate->running) * replaced_share;
    projection.deviation = sqrt((candidate->running + mean_running) * replaced_share);
    projection.is_preferred =
        candidate->is_connected &&
        projection.candidate.running + 2 * projection.deviation + 1 <= candidate->slots;
    set_cost(&projection, speed);
    return projection;
}

/** Returns the projection with the lowest cost; of equal ones, the next from @p first on. */
static engine_projection *cheapest(engine_projection *projections, size_t count, size_t first) {
    engine_projection *best = &projections[first];
    double lowest_ms = best->cost_ms;
    for (size_t step = 1, index = first + 1; step < count; step++, index++) {
        if (index == count)
            index = 0;
        if (projections[index].cost_ms >= lowest_ms)
            continue;
        best = &projections[index];
        lowest_ms = best->cost_ms;
    }
    return best;
}

/**
 * Assigns the requests that arrive within the mean age of the reports used, each to the engine that
 * is the cheapest given the requests assigned before.
 */
static void assign_requests(engine_projection *projections, size_t count, const load_mean *mean,
                            size_t first, const hs_engine_speed *speed) {
    double assigned = 0;
    double ages_ms = 0;
    do {
        engine_projection *projection = cheapest(projections, count, first++ % count);
        assigned++;
        ages_ms += projection->candidate.load_report_age_ms;
        projection->assigned++;
        projection->candidate.running++;
        set_cost(projection, speed);
    } while (assigned < mean->rate * ages_ms / assigned && assigned < MAX_ASSIGNED_REQUESTS);
}

/**
 * Restricts the choice to the preferred engines if requests are assigned to any of them. Returns
 * the sum of the assigned requests that remain.
 */
static double prefer_connected(engine_projection *projections, size_t count) {
    double preferred = 0;
    double all = 0;
    for (size_t index = 0; index < count; index++) {
        all += projections[index].assigned;
        preferred += projections[index].is_preferred ? projections[index].assigned : 0;
    }
    for (size_t index = 0; index < count && preferred > 0; index++)
        if (!projections[index].is_preferred)
            projections[index].assigned = 0;
    return preferred > 0 ? preferred : all;
}

/** Returns the index at which the cumulative sum of assigned requests exceeds @p remaining. */
static int index_at(const engine_projection *projections, size_t count, double remaining) {
    int last = HS_ENGINE_NONE;
    for (size_t index = 0; index < count; index++) {
        if (projections[index].assigned <= 0)
            continue;
        last = (int)index;
        remaining -= projections[index].assigned;
        if (remaining < 0)
            break;
    }
    return last;
}

static bool are_loads_exact(const hs_engine_candidate *candidates, size_t count) {
    bool is_exact = true;
    for (size_t index = 0; index < count; index++)
        is_exact = is_exact && candidates[index].load_report_age_ms <= 0;
    return is_exact;
}

int hs_engine_spread_pick(const hs_engine_candidate *candidates, size_t count,
                          const hs_engine_tie_break *tie_break, const hs_engine_speed *speed) {
    if (are_loads_exact(candidates, count))
        return hs_engine_choice_pick(candidates, count, tie_break->first, speed);
    load_mean mean = mean_load(candidates, count, speed);
    g_autofree engine_projection *projections = g_new(engine_projection, count);
    for (size_t index = 0; index < count; index++)
        projections[index] = project_to_now(&candidates[index], &mean, speed);
    assign_requests(projections, count, &mean, tie_break->first, speed);
    double assigned = prefer_connected(projections, count);
    return index_at(projections, count, assigned * tie_break->draw);
}
