/** @file route.c  The choice of an engine; see route.h. */
#include "routing/route.h"

#define AFFINE_COUNT 2
#define RANDOM_COUNT 2
#define OTHER_ZONE_COST 0.6 /* In requests in flight: a network trip against a queue's step. */
#define COLD_MODEL_COST 100.0
#define AFFINITY_GAIN 1.5

const char *hs_route_reason_name(hs_route_reason reason) {
    static const char *const names[] = {"none", "only_one", "prefix", "least_loaded"};
    return names[reason];
}

static double score_of(const hs_route_candidate *candidate, bool affine) {
    double score = candidate->online_in_flight;
    if (!candidate->same_zone)
        score += OTHER_ZONE_COST;
    if (!candidate->holds_model)
        score += COLD_MODEL_COST;
    if (affine)
        score -= AFFINITY_GAIN;
    return score;
}

/** Index of the available candidate with the highest prefix weight below @p below; -1: none. */
static int next_affine(const hs_route_candidate *candidates, uint32_t count, uint64_t below) {
    int best = -1;
    for (uint32_t index = 0; index < count; index++) {
        if (!candidates[index].available || candidates[index].prefix_weight >= below)
            continue;
        if (best < 0 || candidates[index].prefix_weight > candidates[best].prefix_weight)
            best = (int)index;
    }
    return best;
}

static int random_available(const hs_route_candidate *candidates, uint32_t count,
                            uint32_t available_count, GRand *random) {
    gint32 steps = g_rand_int_range(random, 0, (gint32)available_count);
    for (uint32_t index = 0; index < count; index++)
        if (candidates[index].available && steps-- == 0)
            return (int)index;
    return -1;
}

static void consider(hs_route_choice *choice, const hs_route_candidate *candidates, int index,
                     bool affine) {
    if (index < 0)
        return;
    double score = score_of(&candidates[index], affine);
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
    uint64_t below = UINT64_MAX;
    for (int round = 0; round < AFFINE_COUNT; round++) {
        int index = next_affine(candidates, count, below);
        consider(&choice, candidates, index, true);
        if (index >= 0)
            below = candidates[index].prefix_weight;
    }
    for (int round = 0; round < RANDOM_COUNT; round++)
        consider(&choice, candidates,
                 random_available(candidates, count, choice.available_count, random), false);
    if (choice.available_count == 1)
        choice.reason = HS_ROUTE_ONLY_ONE;
    return choice;
}
