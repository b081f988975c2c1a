/** @file engine_choice.c  Cost of an engine and the choice of the cheapest; see engine_choice.h. */
#include "fleet/engine_choice.h"

#include <math.h>

#define SUSPECTED_COST_MS 60000.0
/** Cost of each concurrent run, as a share of a run's duration: spreads load over equal engines. */
#define CONCURRENT_RUN_SHARE 0.02
/** Network round trip to another zone. */
#define OTHER_ZONE_MS 2.0
/** Network round trip and the time an engine takes to accept a connection. */
#define NEW_CONNECTION_MS 2.5
/** Time until a preempted batch item leaves its slot, and the cost of reading its prompt again. */
#define PREEMPTION_COST_MS 15.0
#define WARMUP_SHARE 0.1
/**
 * Cost of a request for a permit, beside that of a full set of concurrent runs: warm engines with a
 * free slot are preferred, and cold ones are used when the others have none.
 */
#define PERMIT_COST_MS 10.0
/** Cost of a failure in run durations: about the cost of a late answer. */
#define FAILURE_COST_RUNS 0.6
/** Share of an engine's memory above which the engine starts to preempt runs. */
#define HIGH_MEMORY_SHARE 0.9

hs_engine_speed hs_engine_speed_at(const hs_engine_speed *service, double pace) {
    hs_engine_speed speed = *service;
    if (pace <= 0)
        return speed;
    speed.tokens_per_ms /= pace;
    speed.run_ms *= pace;
    speed.online_run_ms *= pace;
    speed.first_byte_ms *= pace;
    speed.event_ms *= pace;
    return speed;
}

bool hs_engine_choice_is_far(const hs_engine_candidate *candidate) {
    return candidate->distance == HS_DISTANCE_OTHER_REGION;
}

double hs_engine_choice_network_ms(const hs_engine_candidate *candidate) {
    if (!hs_engine_choice_is_far(candidate))
        return candidate->distance == HS_DISTANCE_SAME_ZONE ? 0 : OTHER_ZONE_MS;
    return candidate->is_connected ? HS_MIN_REGION_DELAY_MS : 2 * HS_MIN_REGION_DELAY_MS;
}

/** Returns the expected wait for a free slot. @p own: speeds at the engine's pace. */
static double slot_wait_ms(const hs_engine_candidate *candidate, const hs_engine_speed *own) {
    double slots = candidate->slots > 0 ? candidate->slots : 1;
    double excess = fmax(candidate->running + 1 - slots, 0);
    double preempted = fmin(excess, candidate->batch);
    return preempted * PREEMPTION_COST_MS + (excess - preempted) / slots * own->run_ms;
}

double hs_engine_choice_queue_ms(const hs_engine_candidate *candidate,
                                 const hs_engine_speed *speed) {
    hs_engine_speed own = hs_engine_speed_at(speed, candidate->pace);
    double wait_ms =
        candidate->queued_tokens / fmax(own.tokens_per_ms, 1e-3) + slot_wait_ms(candidate, &own);
    return candidate->suspected ? wait_ms + SUSPECTED_COST_MS : wait_ms;
}

double hs_engine_choice_cost(const hs_engine_candidate *candidate, const hs_engine_speed *speed) {
    hs_engine_speed own = hs_engine_speed_at(speed, candidate->pace);
    double slots = candidate->slots > 0 ? candidate->slots : 1;
    double cost = candidate->queued_tokens / fmax(own.tokens_per_ms, 1e-3) +
                  candidate->uncached_tokens / fmax(speed->tokens_per_ms, 1e-3);
    cost += candidate->running / slots * own.run_ms * CONCURRENT_RUN_SHARE;
    cost += slot_wait_ms(candidate, &own);
    if (candidate->memory_share > HIGH_MEMORY_SHARE)
        cost += (candidate->memory_share - HIGH_MEMORY_SHARE) * own.run_ms;
    cost += candidate->failure_rate * speed->run_ms * FAILURE_COST_RUNS;
    cost += hs_engine_choice_network_ms(candidate);
    if (!candidate->is_connected)
        cost += NEW_CONNECTION_MS;
    if (candidate->suspected)
        cost += SUSPECTED_COST_MS;
    if (candidate->needs_permit)
        cost += own.run_ms * CONCURRENT_RUN_SHARE + PERMIT_COST_MS;
    return cost + candidate->warmup_ms * WARMUP_SHARE;
}

double hs_engine_speed_online_run_ms(const hs_engine_speed *speed) {
    return speed->online_run_ms > 0 ? speed->online_run_ms : speed->run_ms;
}

double hs_engine_choice_wait_ms(double online, uint32_t slots, double queued_tokens,
                                const hs_engine_speed *speed) {
    double excess = fmax(online - slots, 0);
    return excess / fmax(slots, 1) * hs_engine_speed_online_run_ms(speed) +
           queued_tokens / fmax(speed->tokens_per_ms, 1e-3);
}

bool hs_engine_choice_can_start_in_time(double wait_ms, const hs_engine_speed *speed,
                                        uint64_t limit_ms) {
    return wait_ms <= HS_MAX_HELD_RETRY_PAUSE_MS ||
           wait_ms + speed->first_byte_ms <= (double)limit_ms;
}

uint64_t hs_engine_choice_start_limit_ms(uint64_t target_ms, uint64_t waited_ms,
                                         bool is_less_urgent) {
    return is_less_urgent || waited_ms >= target_ms ? 0 : target_ms - waited_ms;
}

bool hs_engine_choice_will_miss_deadline(double wait_ms, const hs_engine_speed *speed,
                                         uint64_t left_ms) {
    return wait_ms + speed->first_byte_ms > (double)left_ms;
}

typedef bool (*candidate_filter)(const hs_engine_candidate *candidate);

static bool is_any(const hs_engine_candidate *candidate) {
    (void)candidate;
    return true;
}

static bool is_free_for_batch(const hs_engine_candidate *candidate) {
    return !candidate->suspected && candidate->running + 1 <= candidate->slots;
}

/** Returns whether a wait in this daemon's region is no longer than one in another region. */
static bool stays_in_region(const hs_engine_candidate *candidates, size_t count,
                            const hs_engine_speed *speed, candidate_filter is_eligible) {
    double near_ms = INFINITY;
    double far_ms = INFINITY;
    for (size_t index = 0; index < count; index++) {
        const hs_engine_candidate *candidate = &candidates[index];
        if (!is_eligible(candidate))
            continue;
        double wait_ms = hs_engine_choice_queue_ms(candidate, speed);
        if (hs_engine_choice_is_far(candidate))
            far_ms = fmin(far_ms, wait_ms + hs_engine_choice_network_ms(candidate));
        else
            near_ms = fmin(near_ms, wait_ms);
    }
    return near_ms <= far_ms;
}

static int pick_cheapest(const hs_engine_candidate *candidates, size_t count, size_t first,
                         const hs_engine_speed *speed, candidate_filter is_eligible) {
    int best = HS_ENGINE_NONE;
    double best_cost = 0;
    bool stays = stays_in_region(candidates, count, speed, is_eligible);
    for (size_t step = 0; step < count; step++) {
        size_t index = (first + step) % count;
        const hs_engine_candidate *candidate = &candidates[index];
        if (!is_eligible(candidate) || (stays && hs_engine_choice_is_far(candidate)))
            continue;
        double cost = hs_engine_choice_cost(candidate, speed);
        if (best == HS_ENGINE_NONE || cost < best_cost) {
            best = (int)index;
            best_cost = cost;
        }
    }
    return best;
}

int hs_engine_choice_pick(const hs_engine_candidate *candidates, size_t count, size_t first,
                          const hs_engine_speed *speed) {
    return pick_cheapest(candidates, count, first, speed, is_any);
}

int hs_engine_choice_pick_for_batch(const hs_engine_candidate *candidates, size_t count,
                                    size_t first, const hs_engine_speed *speed) {
    return pick_cheapest(candidates, count, first, speed, is_free_for_batch);
}
