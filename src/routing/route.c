/** @file route.c  See route.h. */
#include "routing/route.h"

#define MAX_AFFINE_CANDIDATES 2
#define MAX_RANDOM_CANDIDATES 2

/* Costs and bonuses, in requests in flight. */
#define OTHER_ZONE_COST 0.6
#define MISSING_MODEL_COST 100.0
#define PREFIX_AFFINITY_BONUS 1.5

const char *hs_route_reason_name(hs_route_reason reason) {
    static const char *const names[] = {"none", "only_one", "prefix", "least_loaded"};
    return names[reason];
}

static double compute_score(const hs_route_candidate *candidate, bool affine) {
    double score = candidate->online_in_flight;
    if (!candidate->same_zone)
        score += OTHER_ZONE_COST;
    if (!candidate->holds_model)
        score += MISSING_MODEL_COST;
    if (affine)
        score -= PREFIX_AFFINITY_BONUS;
    return score;
}

/** Returns the available candidate with the highest prefix weight below @p weight_limit, or -1. */
static int find_next_affine(const hs_route_candidate *candidates, uint32_t count,
                            uint64_t weight_limit) {
    int best = -1;
    for (uint32_t index = 0; index < count; index++) {
        if (!candidates[index].available || candidates[index].prefix_weight >= weight_limit)
            continue;
        if (best < 0 || candidates[index].prefix_weight > candidates[best].prefix_weight)
            best = (int)index;
    }
    return best;
}

static int pick_random_available(const hs_route_candidate *candidates, uint32_t count,
                                 uint32_t available_count, GRand *random) {
    gint32 remaining = g_rand_int_range(random, 0, (gint32)available_count);
    for (uint32_t index = 0; index < count; index++)
        if (candidates[index].available && remaining-- == 0)
            return (int)index;
    return -1;
}

/** Replaces the choice if the candidate's score is lower; @p index may be -1. */
static void consider_candidate(hs_route_choice *choice, const hs_route_candidate *candidates,
                               int index, bool affine) {
    if (index < 0)
        return;
    double score = compute_score(&candidates[index], affine);
    if (choice->index >= 0 && score >= choice->score)
        return;
    choice->index = index;
    choice->score = score;
    choice->reason = affine ? HS_ROUTE_PREFIX : HS_ROUTE_LEAST_LOADED;
}

hs_route_choice hs_route_pick(const hs_route_candidate *candidates, uint32_t count, GRand *random) {
    hs_route_choice choice = {.index = -1, .reason = HS_ROUTE_NONE};
    for (uint32_t index = 0; index < count; index++)
        choice.available_count += candidates[index].available;
    if (choice.available_count == 0)
        return choice;
    uint64_t weight_limit = UINT64_MAX;
    for (int round = 0; round < MAX_AFFINE_CANDIDATES; round++) {
        int index = find_next_affine(candidates, count, weight_limit);
        consider_candidate(&choice, candidates, index, true);
        if (index >= 0)
            weight_limit = candidates[index].prefix_weight;
    }
    for (int round = 0; round < MAX_RANDOM_CANDIDATES; round++)
        consider_candidate(&choice, candidates,
                           pick_random_available(candidates, count, choice.available_count, random),
                           false);
    if (choice.available_count == 1)
        choice.reason = HS_ROUTE_ONLY_ONE;
    return choice;
}
