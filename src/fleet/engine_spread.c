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

/**
 * Share of the engines that requests are assigned to between two computations of the shortest
 * waits, which take time in proportion to the engines.
 */
#define WAIT_UPDATE_SHARE (1.0 / 16)

/** Expected present state of an engine. */
typedef struct {
    hs_engine_candidate candidate; /**< With the load projected to the present. */
    double deviation;              /**< Standard deviation of the running requests. */
    double cost_ms;                /**< Mean cost over the distribution of the load. */
    double assigned;               /**< Requests assigned to the engine. */
    bool is_preferred;             /**< Connected, and almost certain to have a free slot. */
    bool is_far;                   /**< In another region, while this daemon's has engines. */
} engine_projection;

/** Aggregate load of all candidates of a group that are not suspected. */
typedef struct {
    double running; /**< Running requests per slot. */
    double rate;    /**< Requests per ms that end, and about as many that arrive. */
} load_mean;

/** Returns the mean duration in ms of a run on the candidate. */
static double run_ms_at(const hs_engine_candidate *candidate, const hs_engine_speed *speed) {
    return fmax(hs_engine_speed_at(speed, candidate->pace).run_ms, 1);
}

/** Returns how many candidates are in other regions; 0 if all are, so that they form one group. */
static size_t count_far(const hs_engine_candidate *candidates, size_t count) {
    size_t far = 0;
    for (size_t index = 0; index < count; index++)
        far += hs_engine_choice_is_far(&candidates[index]);
    return far < count ? far : 0;
}

/** Aggregates the candidates of other regions if @p is_far, else those of this daemon's region. */
static load_mean mean_load(const engine_projection *projections, size_t count, bool is_far,
                           const hs_engine_speed *speed) {
    double running = 0;
    double slots = 0;
    double rate = 0;
    for (size_t index = 0; index < count; index++) {
        const hs_engine_candidate *candidate = &projections[index].candidate;
        if (candidate->suspected || projections[index].is_far != is_far)
            continue;
        running += candidate->running;
        rate += fmin(candidate->running, candidate->slots) / run_ms_at(candidate, speed);
        slots += candidate->slots;
    }
    return (load_mean){.running = running / fmax(slots, 1), .rate = rate};
}

typedef double (*cost_function)(const hs_engine_candidate *candidate, const hs_engine_speed *speed);

/** Returns the candidate's cost if @p change is added to its running requests. */
static double cost_with_change(const hs_engine_candidate *candidate, double change,
                               cost_function get_cost, const hs_engine_speed *speed) {
    hs_engine_candidate changed = *candidate;
    changed.running = fmax(candidate->running + change, 0);
    return get_cost(&changed, speed);
}

/** Returns the mean cost over the distribution of the load. */
static double mean_cost(const engine_projection *projection, cost_function get_cost,
                        const hs_engine_speed *speed) {
    const hs_engine_candidate *candidate = &projection->candidate;
    double cost = cost_with_change(candidate, 0, get_cost, speed);
    if (projection->deviation > 0)
        cost = cost / 2 + (cost_with_change(candidate, -projection->deviation, get_cost, speed) +
                           cost_with_change(candidate, projection->deviation, get_cost, speed)) /
                              4;
    return cost;
}

static void set_cost(engine_projection *projection, const hs_engine_speed *speed) {
    projection->cost_ms = mean_cost(projection, hs_engine_choice_cost, speed);
}

/**
 * Projects a load report to the present. Within its age, a share of the reported runs has ended and
 * other requests have arrived as on the mean engine of the group, both at random.
 */
static void project_to_now(engine_projection *projection, const load_mean *mean,
                           const hs_engine_speed *speed) {
    const hs_engine_candidate *candidate = &projection->candidate;
    double mean_running = mean->running * candidate->slots;
    double replaced_share =
        fmin(CONVERGENCE_FACTOR * candidate->load_report_age_ms / run_ms_at(candidate, speed), 1);
    double reported = candidate->running;
    projection->candidate.running += (mean_running - reported) * replaced_share;
    projection->deviation = sqrt((reported + mean_running) * replaced_share);
    projection->is_preferred =
        !projection->is_far && candidate->is_connected &&
        candidate->running + 2 * projection->deviation + 1 <= candidate->slots;
    set_cost(projection, speed);
}

/** Engines of this daemon's region or of the others. */
typedef struct {
    load_mean mean;
    size_t engines;
    double assigned;         /**< Requests assigned to them. */
    double shortest_wait_ms; /**< See update_waits. */
} engine_group;

/** Engines among which the requests of this daemon's region are assigned. */
typedef struct {
    engine_projection *projections;
    size_t count;
    engine_group own;   /**< Of this daemon's region, or all without two groups. */
    engine_group other; /**< Of the other regions. */
    double next_update; /**< Requests of this region before the waits are computed again. */
    const hs_engine_speed *speed;
} spread;

/**
 * Returns the projection with the lowest cost in a group (of all projections without two groups);
 * of equal ones, the next from @p first on.
 */
static engine_projection *cheapest(const spread *state, size_t first, bool is_far) {
    engine_projection *best = NULL;
    double lowest_ms = 0;
    for (size_t step = 0, index = first; step < state->count; step++, index++) {
        if (index == state->count)
            index = 0;
        engine_projection *projection = &state->projections[index];
        if (projection->is_far != is_far || (best != NULL && projection->cost_ms >= lowest_ms))
            continue;
        best = projection;
        lowest_ms = best->cost_ms;
    }
    return best;
}

/**
 * Returns the expected wait at an engine. As many runs of the group have ended as requests were
 * assigned to it; without them the wait would be too long.
 */
static double wait_ms_at(const spread *state, const engine_projection *projection) {
    const engine_group *group = projection->is_far ? &state->other : &state->own;
    engine_projection net = *projection;
    net.candidate.running =
        fmax(net.candidate.running - group->assigned / (double)group->engines, 0);
    return mean_cost(&net, hs_engine_choice_queue_ms, state->speed);
}

/** Returns the shortest wait in a group, for another region with the network delay to it. */
static double shortest_wait_ms(const spread *state, bool is_far) {
    double shortest_ms = INFINITY;
    for (size_t index = 0; index < state->count; index++) {
        const engine_projection *projection = &state->projections[index];
        if (projection->is_far != is_far)
            continue;
        double delay_ms = is_far ? hs_engine_choice_network_ms(&projection->candidate) : 0;
        shortest_ms = fmin(shortest_ms, wait_ms_at(state, projection) + delay_ms);
    }
    return shortest_ms;
}

static void assign_one(engine_projection *projection, const hs_engine_speed *speed) {
    projection->assigned++;
    projection->candidate.running++;
    set_cost(projection, speed);
}

/** Adds the requests that the other regions' daemons send to their own engines meanwhile. */
static void fill_other_regions(spread *state, size_t first) {
    engine_group *other = &state->other;
    double ages_ms = 0;
    do {
        engine_projection *projection = cheapest(state, first++ % state->count, true);
        other->assigned++;
        ages_ms += projection->candidate.load_report_age_ms;
        assign_one(projection, state->speed);
    } while (other->assigned < other->mean.rate * ages_ms / other->assigned &&
             other->assigned < MAX_ASSIGNED_REQUESTS);
    for (size_t index = 0; index < state->count; index++)
        if (state->projections[index].is_far)
            state->projections[index].assigned = 0;
}

/** Computes the shortest waits of both groups if enough requests were assigned meanwhile. */
static void update_waits(spread *state) {
    if (state->own.assigned < state->next_update)
        return;
    state->next_update = state->own.assigned + (double)state->count * WAIT_UPDATE_SHARE;
    state->own.shortest_wait_ms = shortest_wait_ms(state, false);
    state->other.shortest_wait_ms = shortest_wait_ms(state, true);
}

/** Returns the engine for the next request of this daemon's region. */
static engine_projection *next_engine(spread *state, size_t first) {
    engine_projection *own = cheapest(state, first, false);
    if (state->other.engines == 0)
        return own;
    double own_ms = wait_ms_at(state, own);
    if (own_ms <= HS_MIN_REGION_DELAY_MS)
        return own;
    if (state->other.assigned == 0)
        fill_other_regions(state, first);
    update_waits(state);
    if (fmin(own_ms, state->own.shortest_wait_ms) <= state->other.shortest_wait_ms)
        return own;
    return cheapest(state, first, true);
}

/**
 * Assigns the requests that arrive in this daemon's region within the mean age of the reports used,
 * each to the engine that is the cheapest given the requests assigned before.
 */
static void assign_requests(spread *state, size_t first) {
    engine_group *own = &state->own;
    double ages_ms = 0;
    do {
        engine_projection *projection = next_engine(state, first++ % state->count);
        own->assigned++;
        ages_ms += projection->candidate.load_report_age_ms;
        assign_one(projection, state->speed);
    } while (own->assigned < own->mean.rate * ages_ms / own->assigned &&
             own->assigned < MAX_ASSIGNED_REQUESTS);
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
    g_autofree engine_projection *projections = g_new0(engine_projection, count);
    size_t far = count_far(candidates, count);
    spread state = {.projections = projections,
                    .count = count,
                    .own.engines = count - far,
                    .other.engines = far,
                    .speed = speed};
    for (size_t index = 0; index < count; index++) {
        projections[index].candidate = candidates[index];
        projections[index].is_far = far > 0 && hs_engine_choice_is_far(&candidates[index]);
    }
    state.own.mean = mean_load(projections, count, false, speed);
    state.other.mean = mean_load(projections, count, true, speed);
    for (size_t index = 0; index < count; index++) {
        const engine_group *group = projections[index].is_far ? &state.other : &state.own;
        project_to_now(&projections[index], &group->mean, speed);
    }
    assign_requests(&state, tie_break->first);
    double assigned = prefer_connected(projections, count);
    return index_at(projections, count, assigned * tie_break->draw);
}
