/**
 * @file engine_uses.c  What this daemon has on engines, told at each change to the engine's
 * arbiter, and the arbiter's words; see fleet_engines.h.
 */
#include "fleet/fleet_engine.h"

#include "base/clock.h"

/** An engine stays among the uses for this long after its last request, so that lost words mend. */
#define LEFT_LATELY_MS 1500

static int32_t most_slack(const hs_fleet_engine *engine) {
    int32_t most = G_MININT32;
    for (guint index = 0; index < engine->batch_leases->len; index++)
        most = MAX(most, ((hs_engine_lease *)engine->batch_leases->pdata[index])->slack_ms);
    return most;
}

hs_engine_use hs_fleet_engine_use(hs_fleet_engines *engines, const hs_fleet_engine *engine) {
    return (hs_engine_use){.engine_hash = engine->hash,
                           .sequence = ++engines->use_sequence,
                           .slots = engine->entry.slots,
                           .online = engine->online,
                           .batch = engine->batch,
                           .slack_ms = most_slack(engine)};
}

void hs_fleet_engines_set_teller(hs_fleet_engines *engines, hs_engine_use_teller teller,
                                 void *user_data) {
    g_mutex_lock(&engines->lock);
    engines->teller = teller;
    engines->teller_data = user_data;
    g_mutex_unlock(&engines->lock);
}

void hs_fleet_engines_tell(hs_fleet_engines *engines, const hs_engine_use *use, bool started) {
    if (engines->teller != NULL)
        engines->teller(use, started, engines->teller_data);
}

GArray *hs_fleet_engines_own_uses(hs_fleet_engines *engines) {
    GArray *uses = g_array_new(FALSE, FALSE, sizeof(hs_engine_use));
    uint64_t now_ms = hs_clock_monotonic_ms();
    GHashTableIter iterator;
    gpointer value = NULL;
    g_mutex_lock(&engines->lock);
    g_hash_table_iter_init(&iterator, engines->by_id);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const hs_fleet_engine *engine = value;
        bool is_used = engine->online + engine->batch > 0 ||
                       (engine->left_ms != 0 && now_ms < engine->left_ms + LEFT_LATELY_MS);
        if (!is_used)
            continue;
        hs_engine_use use = hs_fleet_engine_use(engines, engine);
        g_array_append_val(uses, use);
    }
    g_mutex_unlock(&engines->lock);
    return uses;
}

/** NULL when it is not known here. The caller holds the lock. */
static hs_fleet_engine *find_by_hash(hs_fleet_engines *engines, uint64_t engine_hash) {
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, engines->by_id);
    while (g_hash_table_iter_next(&iterator, NULL, &value))
        if (((hs_fleet_engine *)value)->hash == engine_hash)
            return value;
    return NULL;
}

void hs_fleet_engines_put_total(hs_fleet_engines *engines, uint64_t engine_hash, uint32_t online,
                                uint32_t batch) {
    g_mutex_lock(&engines->lock);
    hs_fleet_engine *engine = find_by_hash(engines, engine_hash);
    if (engine != NULL) {
        engine->told_online = online > engine->online ? online - engine->online : 0;
        engine->told_batch = batch > engine->batch ? batch - engine->batch : 0;
        engine->told_ms = hs_clock_monotonic_ms();
        engine->told_count++;
        g_cond_broadcast(&engines->totals_told);
    }
    g_mutex_unlock(&engines->lock);
}

/** The item that can wait longest and was not asked yet; of equal ones the newest. NULL: none. */
static hs_engine_lease *next_to_yield(const hs_fleet_engine *engine) {
    hs_engine_lease *next = NULL;
    for (guint index = 0; index < engine->batch_leases->len; index++) {
        hs_engine_lease *lease = engine->batch_leases->pdata[index];
        if (lease->yield != NULL && hs_interrupt_get(lease->yield) == HS_INTERRUPT_NONE &&
            (next == NULL || lease->slack_ms >= next->slack_ms))
            next = lease;
    }
    return next;
}

uint32_t hs_fleet_engine_yield(hs_fleet_engine *engine, uint32_t wanted) {
    uint32_t asked = 0;
    while (asked < wanted) {
        hs_engine_lease *lease = next_to_yield(engine);
        if (lease == NULL || !hs_interrupt_raise(lease->yield, HS_INTERRUPT_YIELD))
            break;
        asked++;
    }
    return asked;
}

uint32_t hs_fleet_engines_step_aside(hs_fleet_engines *engines, uint64_t engine_hash,
                                     uint32_t count) {
    g_mutex_lock(&engines->lock);
    hs_fleet_engine *engine = find_by_hash(engines, engine_hash);
    uint32_t asked = engine != NULL ? hs_fleet_engine_yield(engine, count) : 0;
    g_cond_broadcast(&engines->totals_told);
    g_mutex_unlock(&engines->lock);
    return asked;
}

bool hs_engine_lease_confirm(hs_engine_lease *lease, uint32_t limit_ms) {
    hs_fleet_engines *engines = lease->engines;
    gint64 until = g_get_monotonic_time() + (gint64)limit_ms * G_TIME_SPAN_MILLISECOND;
    g_mutex_lock(&engines->lock);
    bool is_waiting = engines->teller != NULL;
    while (is_waiting && lease->engine->told_count == lease->told_before &&
           hs_interrupt_get(lease->yield) == HS_INTERRUPT_NONE)
        is_waiting = g_cond_wait_until(&engines->totals_told, &engines->lock, until);
    g_mutex_unlock(&engines->lock);
    return hs_interrupt_get(lease->yield) == HS_INTERRUPT_NONE;
}
