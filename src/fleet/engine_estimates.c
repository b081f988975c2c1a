/** @file engine_estimates.c  Estimates of engines' load and health; see fleet_engine.h. */
#include "fleet/fleet_engine.h"

#include "base/clock.h"
#include "fleet/engine_words.h"

#include <math.h>
#include <string.h>

/** Time over which the load sent with an answer decays to no weight. */
#define LOAD_VALID_MS 1000.0
/** Recent reports on a service's engines from which their mean is used for its other engines. */
#define MIN_MEAN_REPORTS 3
/** Time for which an arbiter's report that an engine fails is valid. */
#define FAILING_VALID_MS 1000
/** Half-life of the counts of ended and failed requests, so that a failed engine is tried again. */
#define FAILURE_HALF_MS 3000.0
/** Assumed earlier requests without a failure, so that one failure weighs little. */
#define FAILURE_PRIOR 8.0

bool hs_fleet_engine_is_silent(const hs_fleet_engine *engine, uint64_t now_ms) {
    return engine->online + engine->batch > 0 &&
           now_ms > engine->last_received_ms + engine->silence_limit_ms;
}

double hs_fleet_engine_decayed_count(const hs_fleet_engine *engine, double count, uint64_t now_ms) {
    double age_ms = (double)(now_ms - engine->decayed_at_ms);
    return count * exp2(-age_ms / FAILURE_HALF_MS);
}

double hs_fleet_engine_failure_rate(const hs_fleet_engine *engine, uint64_t now_ms) {
    double failed = hs_fleet_engine_decayed_count(engine, engine->decayed_failed, now_ms) +
                    engine->peers_failed;
    double ended =
        hs_fleet_engine_decayed_count(engine, engine->decayed_ended, now_ms) + engine->peers_ended;
    return failed / (ended + FAILURE_PRIOR);
}

static bool is_in_zone_outage(const hs_fleet_engine *engine, uint64_t now_ms) {
    return engine->zone_outage != NULL && hs_zone_outage_is_out(engine->zone_outage, now_ms);
}

/** Whether this daemon's own observations or the arbiter's report advise against the engine. */
static bool is_avoided(const hs_fleet_engine *engine, uint64_t now_ms) {
    return now_ms < engine->suspected_until_ms || hs_fleet_engine_is_silent(engine, now_ms) ||
           is_in_zone_outage(engine, now_ms) ||
           (engine->reported_failing_at_ms != 0 &&
            now_ms < engine->reported_failing_at_ms + FAILING_VALID_MS);
}

bool hs_fleet_engine_is_suspected(const hs_fleet_engine *engine, uint64_t now_ms) {
    return is_avoided(engine, now_ms) || engine->is_probing || engine->peers_suspecting > 0;
}

bool hs_fleet_engine_is_probe_due(const hs_fleet_engine *engine, uint64_t now_ms) {
    bool has_reason = engine->suspected_until_ms != 0 || engine->peers_suspecting > 0;
    return has_reason && !engine->is_probing && !is_avoided(engine, now_ms);
}

uint64_t hs_fleet_engine_report_age_ms(const hs_fleet_engine *engine, uint64_t now_ms) {
    uint64_t age_ms = now_ms > engine->reported_at_ms ? now_ms - engine->reported_at_ms : 0;
    return engine->reported_at_ms == 0 || age_ms >= HS_ENGINE_REPORT_VALID_MS ? UINT64_MAX : age_ms;
}

/**
 * Load of other daemons. A recent report is used as it is. An older one is replaced by the sum of
 * what peers announced or, if there is a mean of the service's reports, blended with the mean by
 * age.
 */
static double estimate_load(const hs_fleet_engine *engine, double reported, double mean,
                            double peers, uint64_t now_ms) {
    uint64_t age_ms = hs_fleet_engine_report_age_ms(engine, now_ms);
    if (age_ms < HS_ENGINE_REPORT_RECENT_MS)
        return reported;
    if (!engine->has_mean)
        return peers;
    double weight = hs_engine_report_weight(age_ms);
    return reported * weight + mean * (1 - weight);
}

double hs_fleet_engine_others_online(const hs_fleet_engine *engine, uint64_t now_ms) {
    return estimate_load(engine, engine->reported_online, engine->mean_online, engine->peers_online,
                         now_ms);
}

double hs_fleet_engine_others_batch(const hs_fleet_engine *engine, uint64_t now_ms) {
    return estimate_load(engine, engine->reported_batch, engine->mean_batch, engine->peers_batch,
                         now_ms);
}

double hs_fleet_engine_others_queued(const hs_fleet_engine *engine, uint64_t now_ms) {
    return estimate_load(engine, engine->reported_queued, engine->mean_queued, engine->peers_queued,
                         now_ms);
}

/** Sums over the recent reports on the engines of one service that are not suspected. */
typedef struct {
    double online;
    double batch;
    double queued;
    double slots;
    uint32_t reports;
} report_sum;

/** Sums by service: name -> report_sum*, names borrowed. Free with g_hash_table_destroy. */
static GHashTable *sum_reports(hs_fleet_engines *engines, uint64_t now_ms) {
    GHashTable *sums = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, engines->by_id);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const hs_fleet_engine *engine = value;
        if (hs_fleet_engine_report_age_ms(engine, now_ms) >= HS_ENGINE_REPORT_RECENT_MS ||
            hs_fleet_engine_is_suspected(engine, now_ms) ||
            hs_fleet_engine_zone_use(engines, engine, now_ms) != HS_ZONE_OPEN)
            continue;
        report_sum *sum = g_hash_table_lookup(sums, engine->entry.service);
        if (sum == NULL) {
            sum = g_new0(report_sum, 1);
            g_hash_table_insert(sums, engine->entry.service, sum);
        }
        sum->online += engine->reported_online;
        sum->batch += engine->reported_batch;
        sum->queued += engine->reported_queued;
        sum->slots += engine->entry.slots;
        sum->reports++;
    }
    return sums;
}

bool hs_fleet_engines_has_relayed_reports(const hs_fleet_engines *engines, uint64_t now_ms) {
    return engines->relayed_at_ms != 0 &&
           now_ms < engines->relayed_at_ms + HS_ENGINE_REPORT_VALID_MS;
}

void hs_fleet_engines_update_mean_loads(hs_fleet_engines *engines, uint64_t now_ms) {
    bool is_needed = hs_fleet_engines_has_relayed_reports(engines, now_ms) &&
                     g_hash_table_size(engines->peers) == 0;
    g_autoptr(GHashTable) sums = sum_reports(engines, now_ms);
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, engines->by_id);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        hs_fleet_engine *engine = value;
        const report_sum *sum = g_hash_table_lookup(sums, engine->entry.service);
        engine->has_mean = is_needed && sum != NULL && sum->reports >= MIN_MEAN_REPORTS;
        if (!engine->has_mean)
            continue;
        double share = engine->entry.slots / fmax(sum->slots, 1);
        engine->mean_online = sum->online * share;
        engine->mean_batch = sum->batch * share;
        engine->mean_queued = sum->queued * share;
    }
}

/** Own requests plus the larger of two estimates of the others': reports, and answers' load. */
double hs_fleet_engine_running(const hs_fleet_engine *engine, uint64_t now_ms) {
    double own = (double)engine->online + engine->batch;
    double others = hs_fleet_engine_others_online(engine, now_ms) +
                    hs_fleet_engine_others_batch(engine, now_ms);
    double age_ms = (double)(now_ms - engine->load_ms);
    if (engine->load.present && age_ms < LOAD_VALID_MS) {
        double loaded =
            (double)engine->load.running + engine->load.waiting - engine->load_own_requests;
        double weight = 1.0 - age_ms / LOAD_VALID_MS;
        others = fmax(others, others * (1.0 - weight) + fmax(loaded, 0.0) * weight);
    }
    double running = own + others;
    if (now_ms < engine->full_until_ms)
        running = fmax(running, engine->entry.slots);
    return running;
}

double hs_fleet_engine_pace(const hs_fleet_engines *engines, const hs_fleet_engine *engine,
                            uint64_t now_ms) {
    const hs_engine_speed *speed = g_hash_table_lookup(engines->speeds, engine->entry.service);
    return hs_engine_pace_factor(&engine->pace, speed != NULL ? speed->event_ms : 0, now_ms);
}

hs_engine_speed hs_fleet_engine_speed(hs_fleet_engines *engines, const hs_fleet_engine *engine,
                                      uint64_t now_ms) {
    const hs_engine_speed *speed = hs_fleet_engines_speed(engines, engine->entry.service);
    return hs_engine_speed_at(speed, hs_fleet_engine_pace(engines, engine, now_ms));
}

hs_engine_candidate hs_fleet_engine_candidate(const hs_fleet_engines *engines,
                                              const hs_fleet_engine *engine,
                                              const hs_engine_query *query, uint64_t now_ms) {
    uint64_t since_listed = now_ms - engine->listed_ms;
    hs_engine_candidate candidate = {
        .slots = engine->entry.slots,
        .running = hs_fleet_engine_running(engine, now_ms),
        .batch = engine->batch + hs_fleet_engine_others_batch(engine, now_ms),
        .queued_tokens =
            (double)engine->queued_tokens + hs_fleet_engine_others_queued(engine, now_ms),
        .suspected = hs_fleet_engine_is_suspected(engine, now_ms),
        .failure_rate = hs_fleet_engine_failure_rate(engine, now_ms),
        .is_connected = !g_queue_is_empty((GQueue *)&engine->idle),
        .distance = hs_topology_distance(engines->topology, engine->entry.zone, engines->zone),
        .pace = hs_fleet_engine_pace(engines, engine, now_ms),
    };
    if (engine->entry.warmup_left_ms > since_listed)
        candidate.warmup_ms = (double)(engine->entry.warmup_left_ms - since_listed);
    hs_engine_warmup_apply_cost(engines, engine, &candidate, now_ms);
    if (hs_fleet_engines_has_relayed_reports(engines, now_ms))
        candidate.load_report_age_ms =
            (double)MIN(hs_fleet_engine_report_age_ms(engine, now_ms), HS_ENGINE_REPORT_VALID_MS);
    if (query->size != NULL) {
        uint32_t cached = hs_prefix_index_match(engine->prefixes, query->size);
        candidate.uncached_tokens =
            query->size->prompt_tokens > cached ? query->size->prompt_tokens - cached : 0;
    }
    if (query->memory_tokens > 0)
        candidate.memory_share = (double)engine->memory_tokens_used / (double)query->memory_tokens;
    return candidate;
}

char *hs_fleet_engines_describe(hs_fleet_engines *engines) {
    GString *text = g_string_new(NULL);
    uint64_t now_ms = hs_clock_monotonic_ms();
    GHashTableIter iterator;
    gpointer value = NULL;
    g_mutex_lock(&engines->lock);
    g_hash_table_iter_init(&iterator, engines->by_id);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        hs_fleet_engine *engine = value;
        g_string_append_printf(text,
                               "heathsail_engine_in_flight{engine=\"%s\",work=\"online\"} %u\n"
                               "heathsail_engine_in_flight{engine=\"%s\",work=\"batch\"} %u\n"
                               "heathsail_engine_connections{engine=\"%s\"} %u\n"
                               "heathsail_engine_believed_running{engine=\"%s\"} %.1f\n"
                               "heathsail_engine_suspected{engine=\"%s\"} %d\n"
                               "heathsail_engine_pace{engine=\"%s\"} %.2f\n",
                               engine->entry.id, engine->online, engine->entry.id, engine->batch,
                               engine->entry.id,
                               engine->online + engine->batch + g_queue_get_length(&engine->idle),
                               engine->entry.id, hs_fleet_engine_running(engine, now_ms),
                               engine->entry.id, hs_fleet_engine_is_suspected(engine, now_ms),
                               engine->entry.id, hs_fleet_engine_pace(engines, engine, now_ms));
    }
    const hs_report_counters *counters = &engines->reports;
    g_string_append_printf(text,
                           "heathsail_engine_words{kind=\"answered\"} %" G_GUINT64_FORMAT "\n"
                           "heathsail_engine_words{kind=\"taken\"} %" G_GUINT64_FORMAT "\n"
                           "heathsail_engine_words{kind=\"stale\"} %" G_GUINT64_FORMAT "\n"
                           "heathsail_engine_words{kind=\"passed_on\"} %" G_GUINT64_FORMAT "\n"
                           "heathsail_engine_words_sent_bytes %" G_GUINT64_FORMAT "\n",
                           (guint64)counters->received, (guint64)counters->accepted,
                           (guint64)counters->stale, (guint64)counters->relayed,
                           (guint64)counters->relayed_bytes);
    g_string_append_printf(text, "heathsail_engine_slowdowns_rejected %" G_GUINT64_FORMAT "\n",
                           (guint64)engines->slowdowns_rejected);
    g_mutex_unlock(&engines->lock);
    return g_string_free(text, FALSE);
}
