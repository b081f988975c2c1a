/** @file engine_selection.c  Candidates for a request; see engine_selection.h. */
#include "fleet/engine_selection.h"

#include "base/clock.h"
#include "base/hash.h"

#include <math.h>
#include <string.h>

/** Engines of a service up to which a request considers all of them. */
#define MAX_WALKED_ENGINES 512
/** Engines of a sample: home engines in this daemon's zone and in each other one, and random ones.
 */
#define HOME_ENGINES 64
#define FAR_ENGINES 4
#define RANDOM_ENGINES 16

static bool is_excluded(const hs_engine_query *query, const char *id) {
    for (guint index = 0; query->excluded != NULL && index < query->excluded->len; index++)
        if (strcmp(query->excluded->pdata[index], id) == 0)
            return true;
    return false;
}

/** Whether the zones' evacuations leave the engine to requests of this class. */
static bool is_zone_usable(const hs_fleet_engines *engines, const hs_fleet_engine *engine,
                           hs_work_class work, uint64_t now_ms) {
    hs_zone_use use = hs_fleet_engine_zone_use(engines, engine, now_ms);
    return use == HS_ZONE_OPEN || (use == HS_ZONE_LAST_RESORT && work == HS_WORK_ONLINE);
}

/** Whether the engine may get requests of this class that are allowed in the regions. */
static bool is_open(const hs_fleet_engines *engines, const hs_fleet_engine *engine,
                    hs_work_class work, const hs_region_policy *regions, uint64_t now_ms) {
    return !engine->entry.draining && !engine->has_address_mismatch &&
           !hs_fleet_engine_is_removal_due(engine, now_ms) &&
           is_zone_usable(engines, engine, work, now_ms) &&
           hs_region_policy_allows_zone(regions, engine->entry.zone);
}

/**
 * Whether an attempt may connect to the engine now. One that could not be reached gets a single
 * probe at a time, even if no other engine is left: attempts without a pause would reach it no
 * sooner.
 */
static bool may_connect(const hs_fleet_engine *engine, uint64_t now_ms) {
    return !engine->is_unreachable || hs_fleet_engine_is_probe_due(engine, now_ms);
}

/** Whether the engine, which is one of the query's service, may take the request at all. */
static bool is_eligible(const hs_fleet_engines *engines, const hs_fleet_engine *engine,
                        const hs_engine_query *query, uint64_t now_ms) {
    double max_requests =
        fmax(hs_fleet_engines_connection_share(engines, query->max_connections), 1.0);
    return is_open(engines, engine, query->work, &query->regions, now_ms) &&
           engine->online + engine->batch + 1.0 <= max_requests && may_connect(engine, now_ms) &&
           hs_fleet_engine_has_software(engine, query->software) &&
           !is_excluded(query, engine->entry.id);
}

GPtrArray *hs_engine_selection_collect(hs_fleet_engines *engines, const hs_engine_query *query) {
    GPtrArray *found = g_ptr_array_new();
    uint64_t now_ms = hs_clock_monotonic_ms();
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, engines->by_id);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        hs_fleet_engine *engine = value;
        if (strcmp(engine->entry.service, query->service) == 0 &&
            is_eligible(engines, engine, query, now_ms))
            g_ptr_array_add(found, engine);
    }
    return found;
}

static bool is_large(const hs_fleet_engines *engines, const char *service) {
    return hs_engine_rings_count(engines->rings, service) > MAX_WALKED_ENGINES;
}

/** Returns the engine of this zone that all daemons of the zone prefer for the prompt, or NULL. */
static hs_fleet_engine *find_preferred(const hs_fleet_engines *engines,
                                       const hs_engine_query *query) {
    uint64_t shared = query->size != NULL ? hs_prompt_shared_hash(query->size) : 0;
    return shared != 0
               ? hs_engine_rings_first(engines->rings, query->service, engines->zone, shared)
               : NULL;
}

GPtrArray *hs_engine_selection_sample(hs_fleet_engines *engines, const hs_engine_query *query) {
    if (!is_large(engines, query->service))
        return NULL;
    g_autoptr(GHashTable) taken = g_hash_table_new(g_direct_hash, g_direct_equal);
    hs_engine_ring_part home = {.position = engines->home_position,
                                .zone = engines->zone,
                                .zone_count = HOME_ENGINES,
                                .far_count = FAR_ENGINES};
    hs_engine_rings_take(engines->rings, query->service, &home, taken);
    for (uint32_t count = 0; count < RANDOM_ENGINES; count++) {
        hs_engine_ring_part random = {.position = (uint64_t)g_random_int() << 32 | g_random_int(),
                                      .zone = engines->zone,
                                      .zone_count = 1};
        hs_engine_rings_take(engines->rings, query->service, &random, taken);
    }
    hs_fleet_engine *preferred = find_preferred(engines, query);
    if (preferred != NULL)
        g_hash_table_add(taken, preferred);
    GPtrArray *found = g_ptr_array_new();
    uint64_t now_ms = hs_clock_monotonic_ms();
    GHashTableIter iterator;
    gpointer engine = NULL;
    g_hash_table_iter_init(&iterator, taken);
    while (g_hash_table_iter_next(&iterator, &engine, NULL))
        if (is_eligible(engines, engine, query, now_ms))
            g_ptr_array_add(found, engine);
    return found;
}

bool hs_engine_selection_has_healthy(const hs_fleet_engines *engines, const char *service,
                                     const hs_region_policy *regions, uint64_t software,
                                     uint64_t now_ms) {
    GHashTableIter iterator;
    gpointer value = NULL;
    bool is_found = false;
    g_hash_table_iter_init(&iterator, engines->by_id);
    while (!is_found && g_hash_table_iter_next(&iterator, NULL, &value)) {
        const hs_fleet_engine *engine = value;
        is_found = strcmp(engine->entry.service, service) == 0 &&
                   hs_fleet_engine_has_software(engine, software) &&
                   is_open(engines, engine, HS_WORK_ONLINE, regions, now_ms) &&
                   !hs_fleet_engine_is_suspected(engine, now_ms);
    }
    return is_found;
}

void hs_engine_selection_drop_suspected(const hs_fleet_engines *engines, GPtrArray *found,
                                        const hs_engine_query *query, uint64_t now_ms) {
    bool can_wait = query->work == HS_WORK_ONLINE && query->has_wait_limit;
    if (!can_wait || !hs_engine_selection_has_healthy(engines, query->service, &query->regions,
                                                      query->software, now_ms))
        return;
    for (guint index = found->len; index > 0; index--) {
        const hs_fleet_engine *engine = found->pdata[index - 1];
        if (hs_fleet_engine_is_suspected(engine, now_ms) &&
            !hs_fleet_engine_is_probe_due(engine, now_ms))
            g_ptr_array_remove_index(found, index - 1);
    }
}

void hs_engine_selection_drop_unknown_starts(GPtrArray *found) {
    guint known = 0;
    for (guint index = 0; index < found->len; index++)
        known += !((const hs_fleet_engine *)found->pdata[index])->is_start_unknown;
    for (guint index = found->len; index > 0 && known > 0; index--)
        if (((const hs_fleet_engine *)found->pdata[index - 1])->is_start_unknown)
            g_ptr_array_remove_index(found, index - 1);
}

/** Whether a candidate is in this daemon's region. */
static bool has_own_region(const hs_engine_candidate *candidates, size_t count) {
    bool is_found = false;
    for (size_t index = 0; index < count && !is_found; index++)
        is_found = !hs_engine_choice_is_far(&candidates[index]);
    return is_found;
}

/** Returns the index of the candidate that ranks first for a shared prefix. */
static guint find_first_ranked(const GPtrArray *found, const hs_engine_candidate *candidates,
                               uint64_t shared) {
    uint64_t best_rank = 0;
    guint preferred = 0;
    bool is_own_region = has_own_region(candidates, found->len);
    for (guint index = 0; index < found->len; index++) {
        const hs_fleet_engine *engine = found->pdata[index];
        if (is_own_region && hs_engine_choice_is_far(&candidates[index]))
            continue;
        uint64_t pair[2] = {shared, engine->hash};
        uint64_t rank = hs_hash_bytes(pair, sizeof pair);
        if (rank >= best_rank) {
            best_rank = rank;
            preferred = index;
        }
    }
    return preferred;
}

void hs_engine_selection_credit_shared_prefix(hs_fleet_engines *engines, const GPtrArray *found,
                                              const hs_engine_query *query,
                                              hs_engine_candidate *candidates) {
    uint64_t shared = query->size != NULL ? hs_prompt_shared_hash(query->size) : 0;
    if (shared == 0 || found->len == 0)
        return;
    guint preferred = 0;
    if (!is_large(engines, query->service))
        preferred = find_first_ranked(found, candidates, shared);
    else if (!g_ptr_array_find((GPtrArray *)found, find_preferred(engines, query), &preferred))
        return;
    double unshared = (double)query->size->prompt_tokens - hs_prompt_shared_tokens(query->size);
    candidates[preferred].uncached_tokens =
        fmin(candidates[preferred].uncached_tokens, fmax(unshared, 0.0));
}

void hs_engine_selection_keep_within_wait_limit(GPtrArray *found, const hs_engine_query *query,
                                                hs_engine_candidate *candidates,
                                                const hs_engine_speed *speed) {
    guint kept = 0;
    for (guint index = 0; index < found->len; index++) {
        const hs_engine_candidate *candidate = &candidates[index];
        double online = fmax(candidate->running - candidate->batch, 0) + 1;
        hs_engine_speed engine_speed = hs_engine_speed_at(speed, candidate->pace);
        double wait_ms = hs_engine_choice_wait_ms(online, candidate->slots,
                                                  candidate->queued_tokens, &engine_speed);
        if (hs_engine_choice_is_far(candidate))
            wait_ms += hs_engine_choice_network_ms(candidate);
        if (query->has_wait_limit &&
            !hs_engine_choice_can_start_in_time(wait_ms, &engine_speed, query->max_start_wait_ms))
            continue;
        found->pdata[kept] = found->pdata[index];
        candidates[kept++] = *candidate;
    }
    g_ptr_array_set_size(found, (gint)kept);
}

bool hs_engine_candidate_has_free_slot(const hs_engine_candidate *candidate) {
    return !candidate->suspected && candidate->running - candidate->batch + 1 <= candidate->slots;
}

/** Whether an engine outside of the evacuated zones has a slot that is free or used by an item. */
static bool has_free_slot_elsewhere(const hs_fleet_engines *engines, const GPtrArray *found,
                                    const hs_engine_candidate *candidates, uint64_t now_ms) {
    bool is_free = false;
    for (guint index = 0; index < found->len && !is_free; index++)
        is_free = hs_engine_candidate_has_free_slot(&candidates[index]) &&
                  hs_fleet_engine_zone_use(engines, found->pdata[index], now_ms) == HS_ZONE_OPEN;
    return is_free;
}

void hs_engine_selection_drop_evacuated(const hs_fleet_engines *engines, GPtrArray *found,
                                        hs_engine_candidate *candidates, uint64_t now_ms) {
    if (!hs_evacuation_has_zones(engines->evacuation) ||
        !has_free_slot_elsewhere(engines, found, candidates, now_ms))
        return;
    guint kept = 0;
    for (guint index = 0; index < found->len; index++) {
        if (hs_fleet_engine_zone_use(engines, found->pdata[index], now_ms) != HS_ZONE_OPEN)
            continue;
        found->pdata[kept] = found->pdata[index];
        candidates[kept++] = candidates[index];
    }
    g_ptr_array_set_size(found, (gint)kept);
}
