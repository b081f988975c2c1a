/**
 * @file engine_peers.c
 * Loads that daemons announce to each other, and the free capacity and preemptions that follow from
 * them; see fleet_engines.h.
 */
#include "fleet/fleet_engine.h"

#include "fleet/engine_words.h"

#include "base/clock.h"
#include "fleet/engine_selection.h"

#include <math.h>

/** Time for which another daemon's announced load is valid. */
#define PEER_REPORT_VALID_MS 2000
/** Shortest time between two sums over daemons. */
#define SUM_INTERVAL_MS 50
/**
 * Time for which requests exceed an engine's slots before a daemon preempts items without a
 * request of the engine's arbiter. An arbiter that responds preempts items within a few ms.
 */
#define MIN_EXCESS_MS 300
/** Time until all daemons know of preempted items. */
#define PREEMPTION_SETTLE_MS 450
#define PERMILLE 1000.0

typedef struct {
    uint64_t reported_at_ms;
    uint64_t batch_work_ms;
    bool runs_batch; /**< The daemon owns partitions of jobs; others have no batch items. */
    GArray *shares;  /**< of hs_engine_share */
} peer_load;

/** Load that peers announced on all engines of one service. */
typedef struct {
    double online;
    double batch;
    double queued;
    uint32_t engines;
} service_sum;

/** Daemons without a valid load per daemon with one: of all, and of those that run batch items. */
typedef struct {
    double any;
    double batch;
} missing_peer_ratios;

void hs_fleet_engines_free_peer(gpointer data) {
    peer_load *peer = data;
    g_array_free(peer->shares, TRUE);
    g_free(peer);
}

hs_service_capacity hs_fleet_engines_capacity(hs_fleet_engines *engines, const char *service) {
    return hs_fleet_engines_capacity_in(engines, service, &(hs_region_policy){0});
}

hs_service_capacity hs_fleet_engines_capacity_in(hs_fleet_engines *engines, const char *service,
                                                 const hs_region_policy *regions) {
    uint64_t now_ms = hs_clock_monotonic_ms();
    hs_engine_query query = {.service = service, .regions = *regions, .work = HS_WORK_BATCH};
    hs_service_capacity capacity = {0};
    g_mutex_lock(&engines->lock);
    hs_fleet_engines_sum_peers(engines, now_ms);
    g_autoptr(GPtrArray) found = hs_engine_selection_collect(engines, &query);
    for (guint index = 0; index < found->len; index++) {
        const hs_fleet_engine *engine = found->pdata[index];
        if (hs_fleet_engine_is_suspected(engine, now_ms))
            continue;
        /* The load that came with an answer is not used: it includes batch items, and the larger of
         * two estimates on each of many engines adds up to an overestimate. */
        capacity.ready++;
        double batch = engine->batch + hs_fleet_engine_others_batch(engine, now_ms);
        double online = engine->online + hs_fleet_engine_others_online(engine, now_ms);
        capacity.slots += hs_engine_warmup_room(engines, engine, batch + online, now_ms);
        capacity.batch += batch;
        capacity.online += online;
    }
    capacity.online += hs_fleet_engines_evacuated_online(engines, service, now_ms);
    g_mutex_unlock(&engines->lock);
    return capacity;
}

/** Whether requests have exceeded the engine's slots for a while. Updates excess_since_ms. */
static bool is_excess_sustained(hs_fleet_engine *engine, double excess, uint64_t now_ms) {
    if (excess <= 0)
        engine->excess_since_ms = 0;
    else if (engine->excess_since_ms == 0)
        engine->excess_since_ms = now_ms;
    return excess > 0 && now_ms >= engine->excess_since_ms + MIN_EXCESS_MS;
}

uint32_t hs_fleet_engines_preempt_excess(hs_fleet_engines *engines) {
    uint64_t now_ms = hs_clock_monotonic_ms();
    uint32_t preempted = 0;
    GHashTableIter iterator;
    gpointer value = NULL;
    g_mutex_lock(&engines->lock);
    hs_fleet_engines_sum_peers(engines, now_ms);
    g_hash_table_iter_init(&iterator, engines->by_id);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        hs_fleet_engine *engine = value;
        double batch = engine->batch + hs_fleet_engine_others_batch(engine, now_ms);
        double excess = hs_fleet_engine_running(engine, now_ms) - engine->entry.slots;
        bool is_sustained = is_excess_sustained(engine, excess, now_ms);
        if (engine->batch == 0 || !is_sustained || now_ms < engine->no_preemption_until_ms ||
            engine->online + hs_fleet_engine_others_online(engine, now_ms) <= 0)
            continue;
        preempted += hs_fleet_engine_preempt(
            engine, (uint32_t)ceil(fmin(excess, batch) * engine->batch / batch));
        engine->no_preemption_until_ms = now_ms + PREEMPTION_SETTLE_MS;
    }
    g_mutex_unlock(&engines->lock);
    return preempted;
}

static uint32_t permille(const hs_fleet_engine *engine, double count, uint64_t now_ms) {
    return (uint32_t)(hs_fleet_engine_decayed_count(engine, count, now_ms) * PERMILLE);
}

GArray *hs_fleet_engines_own_shares(hs_fleet_engines *engines) {
    GArray *shares = g_array_new(FALSE, FALSE, sizeof(hs_engine_share));
    uint64_t now_ms = hs_clock_monotonic_ms();
    GHashTableIter iterator;
    gpointer value = NULL;
    g_mutex_lock(&engines->lock);
    g_hash_table_iter_init(&iterator, engines->used);
    while (g_hash_table_iter_next(&iterator, &value, NULL)) {
        const hs_fleet_engine *engine = value;
        bool suspected =
            now_ms < engine->suspected_until_ms || hs_fleet_engine_is_silent(engine, now_ms);
        if (engine->online + engine->batch == 0 && !suspected && engine->decayed_failed <= 0)
            continue;
        hs_engine_share share = {.engine_hash = engine->hash,
                                 .online = engine->online,
                                 .batch = engine->batch,
                                 .queued_tokens = (uint32_t)engine->queued_tokens,
                                 .ended_permille = permille(engine, engine->decayed_ended, now_ms),
                                 .failed_permille =
                                     permille(engine, engine->decayed_failed, now_ms),
                                 .suspected = suspected};
        if (share.online + share.batch > 0 || suspected || share.failed_permille > 0)
            g_array_append_val(shares, share);
    }
    g_mutex_unlock(&engines->lock);
    return shares;
}

static void clear_sums(hs_fleet_engines *engines) {
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, engines->by_id);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        hs_fleet_engine *engine = value;
        engine->peers_online = 0;
        engine->peers_batch = 0;
        engine->peers_queued = 0;
        engine->peers_suspecting = 0;
        engine->peers_ended = 0;
        engine->peers_failed = 0;
    }
}

static void add_shares(hs_fleet_engines *engines, const peer_load *peer) {
    for (guint index = 0; index < peer->shares->len; index++) {
        const hs_engine_share *share = &g_array_index(peer->shares, hs_engine_share, index);
        hs_fleet_engine *engine = hs_fleet_engines_find(engines, share->engine_hash);
        if (engine == NULL)
            continue;
        engine->peers_online += share->online;
        engine->peers_batch += share->batch;
        engine->peers_queued += share->queued_tokens;
        engine->peers_suspecting += share->suspected;
        engine->peers_ended += share->ended_permille / PERMILLE;
        engine->peers_failed += share->failed_permille / PERMILLE;
    }
}

/** Sums by service: name -> service_sum*, names borrowed. Free with g_hash_table_destroy. */
static GHashTable *sum_services(hs_fleet_engines *engines) {
    GHashTable *sums = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, engines->by_id);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        hs_fleet_engine *engine = value;
        service_sum *sum = g_hash_table_lookup(sums, engine->entry.service);
        if (sum == NULL) {
            sum = g_new0(service_sum, 1);
            g_hash_table_insert(sums, engine->entry.service, sum);
        }
        sum->online += engine->peers_online;
        sum->batch += engine->peers_batch;
        sum->queued += engine->peers_queued;
        sum->engines++;
    }
    return sums;
}

/**
 * Adds the load of daemons without a valid load. They are assumed to have the mean load of the
 * others, spread evenly over the service's engines: scaling up the load of each engine would turn
 * one announced request into many on the same engine.
 */
static void add_missing_peers(hs_fleet_engines *engines, const missing_peer_ratios *missing) {
    g_autoptr(GHashTable) sums = sum_services(engines);
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, engines->by_id);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        hs_fleet_engine *engine = value;
        const service_sum *sum = g_hash_table_lookup(sums, engine->entry.service);
        engine->peers_online += sum->online * missing->any / sum->engines;
        engine->peers_batch += sum->batch * missing->batch / sum->engines;
        engine->peers_queued += sum->queued * missing->any / sum->engines;
    }
}

static double missing_ratio(uint32_t all, uint32_t known) {
    return known > 0 && all > known ? (double)(all - known) / known : 0;
}

/** Counts daemons without a valid load, and drops loads that have expired. */
static missing_peer_ratios count_missing_peers(hs_fleet_engines *engines, uint64_t now_ms) {
    uint32_t known = 0;
    uint32_t known_batch = 0;
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, engines->peers);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const peer_load *peer = value;
        if (now_ms > peer->reported_at_ms + PEER_REPORT_VALID_MS) {
            g_hash_table_iter_remove(&iterator);
            continue;
        }
        known++;
        known_batch += peer->runs_batch;
    }
    return (missing_peer_ratios){.any = missing_ratio(engines->peer_count, known),
                                 .batch = missing_ratio(engines->batch_peer_count, known_batch)};
}

void hs_fleet_engines_sum_peers(hs_fleet_engines *engines, uint64_t now_ms) {
    if (now_ms < engines->summed_ms + SUM_INTERVAL_MS)
        return;
    engines->summed_ms = now_ms;
    clear_sums(engines);
    missing_peer_ratios missing = count_missing_peers(engines, now_ms);
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, engines->peers);
    while (g_hash_table_iter_next(&iterator, NULL, &value))
        add_shares(engines, value);
    if (missing.any > 0 || missing.batch > 0)
        add_missing_peers(engines, &missing);
    hs_fleet_engines_update_mean_loads(engines, now_ms);
}

void hs_fleet_engines_set_peers(hs_fleet_engines *engines, uint32_t peers, uint32_t batch_peers) {
    g_mutex_lock(&engines->lock);
    engines->peer_count = peers;
    g_atomic_int_set(&engines->is_large_fleet, peers > HS_LARGE_FLEET_PEERS);
    engines->batch_peer_count = batch_peers;
    g_mutex_unlock(&engines->lock);
}

void hs_fleet_engines_put_peer_report(hs_fleet_engines *engines, const char *peer,
                                      const hs_peer_report *report, uint64_t now_ms) {
    peer_load *load = g_new0(peer_load, 1);
    load->reported_at_ms = now_ms;
    load->batch_work_ms = report->batch_work_ms;
    load->runs_batch = report->runs_batch;
    load->shares = g_array_copy((GArray *)report->shares);
    g_mutex_lock(&engines->lock);
    g_hash_table_replace(engines->peers, g_strdup(peer), load);
    engines->summed_ms = 0;
    g_mutex_unlock(&engines->lock);
}

void hs_fleet_engines_set_batch_work(hs_fleet_engines *engines, uint64_t work_ms) {
    g_mutex_lock(&engines->lock);
    engines->batch_work_ms = work_ms;
    g_mutex_unlock(&engines->lock);
}

uint64_t hs_fleet_engines_batch_work(hs_fleet_engines *engines) {
    g_mutex_lock(&engines->lock);
    uint64_t work_ms = engines->batch_work_ms;
    g_mutex_unlock(&engines->lock);
    return work_ms;
}

double hs_fleet_engines_peers_batch_work(hs_fleet_engines *engines) {
    double work_ms = 0;
    GHashTableIter iterator;
    gpointer value = NULL;
    g_mutex_lock(&engines->lock);
    hs_fleet_engines_sum_peers(engines, hs_clock_monotonic_ms());
    g_hash_table_iter_init(&iterator, engines->peers);
    while (g_hash_table_iter_next(&iterator, NULL, &value))
        work_ms += (double)((const peer_load *)value)->batch_work_ms;
    double missing = count_missing_peers(engines, hs_clock_monotonic_ms()).batch;
    g_mutex_unlock(&engines->lock);
    return work_ms * (1 + missing);
}
