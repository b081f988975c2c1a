/** @file fleet_engines.c  The table of engines: entries, beliefs, the choice; see fleet_engines.h.
 */
#include "fleet/fleet_engine.h"

#include "base/clock.h"
#include "base/hash.h"
#include "base/log.h"

#include <math.h>
#include <string.h>

#define FIRST_TOKENS_PER_MS 40.0
#define FIRST_RUN_MS 300.0
#define UNKNOWN_CACHE_TOKENS 100000
/** A load told with an answer counts for this long, fading. */
#define LOAD_VALID_MS 1000.0
/** What other daemons told counts for this long. */
#define PEER_VALID_MS 2000
/** Silence on an engine with requests of ours, in mean run times, before it is suspected. */
#define SILENT_RUNS 3.0
#define SILENT_LEAST_MS 700
/** Failures fade to half in this time, so that an engine is tried again. */
#define FAILURE_HALF_MS 3000.0
#define PEER_FAILURE_WEIGHT 0.7
#define PERMILLE 1000.0
/** Time until what stepped aside on an engine is known to all daemons. */
#define YIELD_SETTLE_MS 450
/** A peak of online requests fades to half in this time. */
#define PEAK_HALF_MS 12000.0

typedef struct {
    uint64_t told_ms;
    GArray *shares; /**< of hs_engine_share */
} peer_load;

static void free_peer(gpointer data) {
    peer_load *peer = data;
    g_array_free(peer->shares, TRUE);
    g_free(peer);
}

static void free_idle(gpointer data) {
    hs_idle_connection *idle = data;
    hs_client_connection_close(idle->connection);
    g_free(idle);
}

void hs_fleet_engine_unref(hs_fleet_engine *engine) {
    if (--engine->references > 0)
        return;
    g_queue_clear_full(&engine->idle, free_idle);
    hs_prefix_index_free(engine->prefixes);
    g_ptr_array_free(engine->batch_leases, TRUE);
    hs_engine_entry_clear(&engine->entry);
    g_free(engine);
}

static void release_listed(gpointer data) {
    hs_fleet_engine_unref(data);
}

/** Online requests on a service at their highest of late. */
typedef struct {
    double requests;
    uint64_t noted_ms;
} online_peak;

hs_fleet_engines *hs_fleet_engines_new(const char *zone) {
    hs_fleet_engines *engines = g_new0(hs_fleet_engines, 1);
    g_mutex_init(&engines->lock);
    engines->by_id = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, release_listed);
    engines->peers = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_peer);
    engines->speeds = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    engines->peaks = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    engines->zone = g_strdup(zone);
    engines->turn = hs_clock_monotonic_us();
    return engines;
}

void hs_fleet_engines_free(hs_fleet_engines *engines) {
    if (engines == NULL)
        return;
    g_hash_table_destroy(engines->by_id);
    g_hash_table_destroy(engines->peers);
    g_hash_table_destroy(engines->speeds);
    g_hash_table_destroy(engines->peaks);
    g_mutex_clear(&engines->lock);
    g_free(engines->zone);
    g_free(engines);
}

static void log_entry(const char *event, const hs_engine_entry *entry) {
    hs_log_info(event, "engine=%s service=%s zone=%s state=%s slots=%u", entry->id, entry->service,
                entry->zone, entry->draining ? "draining" : "ready", entry->slots);
}

void hs_fleet_engines_put(hs_fleet_engines *engines, hs_engine_entry *entry, uint64_t now_ms) {
    g_mutex_lock(&engines->lock);
    hs_fleet_engine *engine = g_hash_table_lookup(engines->by_id, entry->id);
    if (engine == NULL) {
        engine = g_new0(hs_fleet_engine, 1);
        engine->references = 1;
        engine->hash = hs_hash_bytes(entry->id, strlen(entry->id));
        engine->prefixes = hs_prefix_index_new(UNKNOWN_CACHE_TOKENS);
        engine->batch_leases = g_ptr_array_new();
        g_queue_init(&engine->idle);
        g_hash_table_insert(engines->by_id, g_strdup(entry->id), engine);
        log_entry("engine_listed", entry);
    } else if (engine->entry.draining != entry->draining) {
        log_entry("engine_changed", entry);
    }
    if (engine->entry.address != entry->address || engine->entry.port != entry->port) {
        g_queue_clear_full(&engine->idle, free_idle);
        engine->misplaced = false;
    }
    hs_engine_entry_clear(&engine->entry);
    engine->entry = *entry;
    engine->listed = true;
    engine->listed_ms = now_ms;
    g_mutex_unlock(&engines->lock);
    memset(entry, 0, sizeof *entry);
}

static gboolean unlist(gpointer key, gpointer value, gpointer listed) {
    hs_fleet_engine *engine = value;
    if (listed != NULL && g_hash_table_contains(listed, key))
        return FALSE;
    engine->listed = false;
    log_entry("engine_gone", &engine->entry);
    return TRUE;
}

void hs_fleet_engines_drop(hs_fleet_engines *engines, const char *id) {
    g_mutex_lock(&engines->lock);
    hs_fleet_engine *engine = g_hash_table_lookup(engines->by_id, id);
    if (engine != NULL) {
        unlist(engine->entry.id, engine, NULL);
        g_hash_table_remove(engines->by_id, id);
    }
    g_mutex_unlock(&engines->lock);
}

void hs_fleet_engines_keep_only(hs_fleet_engines *engines, GHashTable *listed) {
    g_mutex_lock(&engines->lock);
    g_hash_table_foreach_remove(engines->by_id, unlist, listed);
    g_mutex_unlock(&engines->lock);
}

hs_engine_speed *hs_fleet_engines_speed(hs_fleet_engines *engines, const char *service) {
    hs_engine_speed *speed = g_hash_table_lookup(engines->speeds, service);
    if (speed != NULL)
        return speed;
    speed = g_new0(hs_engine_speed, 1);
    speed->tokens_per_ms = FIRST_TOKENS_PER_MS;
    speed->run_ms = FIRST_RUN_MS;
    g_hash_table_insert(engines->speeds, g_strdup(service), speed);
    return speed;
}

static bool is_silent(const hs_fleet_engine *engine, uint64_t now_ms) {
    return engine->online + engine->batch > 0 &&
           now_ms > engine->heard_ms + engine->silent_limit_ms;
}

double hs_fleet_engine_failure_rate(const hs_fleet_engine *engine, uint64_t now_ms) {
    double age_ms = (double)(now_ms - engine->failure_ms);
    double own = engine->failure_rate * exp2(-age_ms / FAILURE_HALF_MS);
    return fmax(own, engine->peers_failure * PEER_FAILURE_WEIGHT);
}

bool hs_fleet_engine_is_suspected(const hs_fleet_engine *engine, uint64_t now_ms) {
    return now_ms < engine->suspect_until_ms || is_silent(engine, now_ms) ||
           engine->peers_suspecting > 0;
}

/** Requests there of all daemons: own, told by peers, or seen in an answer's load. */
static double running_now(const hs_fleet_engine *engine, uint64_t now_ms) {
    double own = (double)engine->online + engine->batch;
    double others = engine->peers_online + engine->peers_batch;
    double age_ms = (double)(now_ms - engine->load_ms);
    if (engine->load.present && age_ms < LOAD_VALID_MS) {
        double told = (double)engine->load.running + engine->load.waiting - engine->load_own;
        double fresh = 1.0 - age_ms / LOAD_VALID_MS;
        others = fmax(others, others * (1.0 - fresh) + fmax(told, 0.0) * fresh);
    }
    double running = own + others;
    if (now_ms < engine->full_until_ms)
        running = fmax(running, engine->entry.slots);
    return running;
}

hs_engine_candidate hs_fleet_engine_candidate(const hs_fleet_engines *engines,
                                              const hs_fleet_engine *engine,
                                              const hs_engine_query *query, uint64_t now_ms) {
    uint64_t since_listed = now_ms - engine->listed_ms;
    hs_engine_candidate candidate = {
        .slots = engine->entry.slots,
        .running = running_now(engine, now_ms),
        .batch = engine->batch + engine->peers_batch,
        .queued_tokens = (double)engine->queued_tokens + engine->peers_queued,
        .suspected = hs_fleet_engine_is_suspected(engine, now_ms),
        .failure_rate = hs_fleet_engine_failure_rate(engine, now_ms),
        .same_zone = strcmp(engine->entry.zone, engines->zone) == 0,
    };
    if (engine->entry.warmup_left_ms > since_listed)
        candidate.warmup_ms = (double)(engine->entry.warmup_left_ms - since_listed);
    if (query->size != NULL) {
        uint32_t cached = hs_prefix_index_match(engine->prefixes, query->size);
        candidate.uncached_tokens =
            query->size->prompt_tokens > cached ? query->size->prompt_tokens - cached : 0;
    }
    if (query->memory_tokens > 0)
        candidate.memory_share = (double)engine->memory_tokens_used / (double)query->memory_tokens;
    return candidate;
}

static bool is_excluded(const hs_engine_query *query, const char *id) {
    for (guint index = 0; query->excluded != NULL && index < query->excluded->len; index++)
        if (strcmp(query->excluded->pdata[index], id) == 0)
            return true;
    return false;
}

/** Engines of the query's service that may be sent to: of hs_fleet_engine*. */
static GPtrArray *collect(hs_fleet_engines *engines, const hs_engine_query *query) {
    GPtrArray *found = g_ptr_array_new();
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, engines->by_id);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        hs_fleet_engine *engine = value;
        if (strcmp(engine->entry.service, query->service) == 0 && !engine->entry.draining &&
            !engine->misplaced && !is_excluded(query, engine->entry.id))
            g_ptr_array_add(found, engine);
    }
    return found;
}

/**
 * The shared beginning of a prompt has a home, the same at all daemons without a message: the
 * engine that ranks first by rendezvous. It is taken to have the beginning cached.
 */
static void credit_home(const GPtrArray *found, const hs_engine_query *query,
                        hs_engine_candidate *candidates) {
    uint64_t shared = query->size != NULL ? hs_prompt_shared_hash(query->size) : 0;
    if (shared == 0)
        return;
    uint64_t best_rank = 0;
    guint home = 0;
    for (guint index = 0; index < found->len; index++) {
        const hs_fleet_engine *engine = found->pdata[index];
        uint64_t pair[2] = {shared, engine->hash};
        uint64_t rank = hs_hash_bytes(pair, sizeof pair);
        if (rank >= best_rank) {
            best_rank = rank;
            home = index;
        }
    }
    double rest = (double)query->size->prompt_tokens - hs_prompt_shared_tokens(query->size);
    candidates[home].uncached_tokens = fmin(candidates[home].uncached_tokens, fmax(rest, 0.0));
}

static hs_engine_lease *lease_engine(hs_fleet_engines *engines, hs_fleet_engine *engine,
                                     const hs_engine_query *query, double uncached,
                                     uint64_t now_ms) {
    hs_engine_lease *lease = g_new0(hs_engine_lease, 1);
    lease->engines = engines;
    lease->engine = engine;
    lease->work = query->work;
    lease->taken_ms = now_ms;
    lease->was_alone = engine->queued_tokens == 0;
    if (query->size != NULL) {
        lease->unread_tokens = (uint32_t)uncached;
        lease->memory_tokens = query->size->prompt_tokens + query->size->output_tokens;
        hs_prefix_index_note(engine->prefixes, query->size, now_ms);
    }
    if (engine->online + engine->batch == 0)
        engine->heard_ms = now_ms;
    double run_ms = hs_fleet_engines_speed(engines, query->service)->run_ms;
    engine->silent_limit_ms = (uint32_t)fmax(SILENT_LEAST_MS, run_ms * SILENT_RUNS);
    engine->references++;
    engine->queued_tokens += lease->unread_tokens;
    engine->memory_tokens_used += lease->memory_tokens;
    if (query->work == HS_WORK_ONLINE) {
        engine->online++;
    } else {
        engine->batch++;
        lease->yield = query->yield;
        g_ptr_array_add(engine->batch_leases, lease);
    }
    return lease;
}

hs_engine_lease *hs_fleet_engines_take(hs_fleet_engines *engines, const hs_engine_query *query) {
    uint64_t now_ms = hs_clock_monotonic_ms();
    hs_engine_lease *lease = NULL;
    g_mutex_lock(&engines->lock);
    g_autoptr(GPtrArray) found = collect(engines, query);
    g_autofree hs_engine_candidate *candidates = g_new0(hs_engine_candidate, found->len + 1);
    for (guint index = 0; index < found->len; index++)
        candidates[index] = hs_fleet_engine_candidate(engines, found->pdata[index], query, now_ms);
    credit_home(found, query, candidates);
    const hs_engine_speed *speed = hs_fleet_engines_speed(engines, query->service);
    size_t first = found->len > 0 ? engines->turn++ % found->len : 0;
    int picked =
        query->work == HS_WORK_ONLINE
            ? hs_engine_choice_pick(candidates, found->len, first, speed)
            : hs_engine_choice_pick_spare(candidates, found->len, first, query->batch_share, speed);
    if (picked != HS_ENGINE_NONE)
        lease = lease_engine(engines, found->pdata[picked], query,
                             candidates[picked].uncached_tokens, now_ms);
    g_mutex_unlock(&engines->lock);
    return lease;
}

/** The peak after a look at @p online requests now. The caller holds the lock. */
static double note_peak(hs_fleet_engines *engines, const char *service, double online,
                        uint64_t now_ms) {
    online_peak *peak = g_hash_table_lookup(engines->peaks, service);
    if (peak == NULL) {
        peak = g_new0(online_peak, 1);
        g_hash_table_insert(engines->peaks, g_strdup(service), peak);
    }
    double age_ms = (double)(now_ms - peak->noted_ms);
    peak->requests = fmax(online, peak->requests * exp2(-age_ms / PEAK_HALF_MS));
    peak->noted_ms = now_ms;
    return peak->requests;
}

hs_service_room hs_fleet_engines_room(hs_fleet_engines *engines, const char *service) {
    uint64_t now_ms = hs_clock_monotonic_ms();
    hs_engine_query query = {.service = service};
    hs_service_room room = {0};
    g_mutex_lock(&engines->lock);
    g_autoptr(GPtrArray) found = collect(engines, &query);
    for (guint index = 0; index < found->len; index++) {
        const hs_fleet_engine *engine = found->pdata[index];
        if (hs_fleet_engine_is_suspected(engine, now_ms))
            continue;
        double batch = engine->batch + engine->peers_batch;
        room.ready++;
        room.slots += engine->entry.slots;
        room.batch += batch;
        room.online += fmax(running_now(engine, now_ms) - batch, 0);
    }
    room.online_peak = note_peak(engines, service, room.online, now_ms);
    g_mutex_unlock(&engines->lock);
    return room;
}

/** Ask the newest batch items on @p engine to step aside; they lose the least. */
static uint32_t yield_on(hs_fleet_engine *engine, uint32_t wanted) {
    uint32_t asked = 0;
    for (guint index = engine->batch_leases->len; index > 0 && asked < wanted; index--) {
        const hs_engine_lease *lease = engine->batch_leases->pdata[index - 1];
        if (lease->yield != NULL &&
            g_atomic_int_compare_and_exchange(lease->yield, 0, HS_YIELD_ASKED))
            asked++;
    }
    return asked;
}

uint32_t hs_fleet_engines_yield(hs_fleet_engines *engines) {
    uint64_t now_ms = hs_clock_monotonic_ms();
    uint32_t asked = 0;
    GHashTableIter iterator;
    gpointer value = NULL;
    g_mutex_lock(&engines->lock);
    g_hash_table_iter_init(&iterator, engines->by_id);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        hs_fleet_engine *engine = value;
        double batch = engine->batch + engine->peers_batch;
        double excess = running_now(engine, now_ms) - engine->entry.slots;
        if (engine->batch == 0 || excess <= 0 || now_ms < engine->no_yield_until_ms ||
            engine->online + engine->peers_online <= 0)
            continue;
        asked += yield_on(engine, (uint32_t)ceil(fmin(excess, batch) * engine->batch / batch));
        engine->no_yield_until_ms = now_ms + YIELD_SETTLE_MS;
    }
    g_mutex_unlock(&engines->lock);
    return asked;
}

static uint32_t own_failure_permille(const hs_fleet_engine *engine, uint64_t now_ms) {
    double age_ms = (double)(now_ms - engine->failure_ms);
    return (uint32_t)(engine->failure_rate * exp2(-age_ms / FAILURE_HALF_MS) * PERMILLE);
}

GArray *hs_fleet_engines_own_shares(hs_fleet_engines *engines) {
    GArray *shares = g_array_new(FALSE, FALSE, sizeof(hs_engine_share));
    uint64_t now_ms = hs_clock_monotonic_ms();
    GHashTableIter iterator;
    gpointer value = NULL;
    g_mutex_lock(&engines->lock);
    g_hash_table_iter_init(&iterator, engines->by_id);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const hs_fleet_engine *engine = value;
        bool suspected = now_ms < engine->suspect_until_ms || is_silent(engine, now_ms);
        hs_engine_share share = {.engine_hash = engine->hash,
                                 .online = engine->online,
                                 .batch = engine->batch,
                                 .queued_tokens = (uint32_t)engine->queued_tokens,
                                 .failure_permille = own_failure_permille(engine, now_ms),
                                 .suspected = suspected};
        if (share.online + share.batch > 0 || suspected || share.failure_permille > 0)
            g_array_append_val(shares, share);
    }
    g_mutex_unlock(&engines->lock);
    return shares;
}

static hs_fleet_engine *find_by_hash(hs_fleet_engines *engines, uint64_t hash) {
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, engines->by_id);
    while (g_hash_table_iter_next(&iterator, NULL, &value))
        if (((hs_fleet_engine *)value)->hash == hash)
            return value;
    return NULL;
}

/** Sum what peers told; what is too old no longer counts. */
static void sum_peers(hs_fleet_engines *engines, uint64_t now_ms) {
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, engines->by_id);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        hs_fleet_engine *engine = value;
        engine->peers_online = 0;
        engine->peers_batch = 0;
        engine->peers_queued = 0;
        engine->peers_suspecting = 0;
        engine->peers_failure = 0;
    }
    g_hash_table_iter_init(&iterator, engines->peers);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const peer_load *peer = value;
        if (now_ms > peer->told_ms + PEER_VALID_MS) {
            g_hash_table_iter_remove(&iterator);
            continue;
        }
        for (guint index = 0; index < peer->shares->len; index++) {
            const hs_engine_share *share = &g_array_index(peer->shares, hs_engine_share, index);
            hs_fleet_engine *engine = find_by_hash(engines, share->engine_hash);
            if (engine == NULL)
                continue;
            engine->peers_online += share->online;
            engine->peers_batch += share->batch;
            engine->peers_queued += share->queued_tokens;
            engine->peers_suspecting += share->suspected;
            engine->peers_failure = fmax(engine->peers_failure, share->failure_permille / PERMILLE);
        }
    }
}

void hs_fleet_engines_put_peer(hs_fleet_engines *engines, const char *peer, const GArray *shares,
                               uint64_t now_ms) {
    peer_load *load = g_new0(peer_load, 1);
    load->told_ms = now_ms;
    load->shares = g_array_copy((GArray *)shares);
    g_mutex_lock(&engines->lock);
    g_hash_table_replace(engines->peers, g_strdup(peer), load);
    sum_peers(engines, now_ms);
    g_mutex_unlock(&engines->lock);
}

char *hs_fleet_engines_describe(hs_fleet_engines *engines) {
    GString *text = g_string_new(NULL);
    uint64_t now_ms = hs_clock_monotonic_ms();
    GHashTableIter iterator;
    gpointer value = NULL;
    g_mutex_lock(&engines->lock);
    g_hash_table_iter_init(&iterator, engines->by_id);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const hs_fleet_engine *engine = value;
        g_string_append_printf(text,
                               "heathsail_engine_in_flight{engine=\"%s\",work=\"online\"} %u\n"
                               "heathsail_engine_in_flight{engine=\"%s\",work=\"batch\"} %u\n"
                               "heathsail_engine_believed_running{engine=\"%s\"} %.1f\n"
                               "heathsail_engine_suspected{engine=\"%s\"} %d\n",
                               engine->entry.id, engine->online, engine->entry.id, engine->batch,
                               engine->entry.id, running_now(engine, now_ms), engine->entry.id,
                               hs_fleet_engine_is_suspected(engine, now_ms));
    }
    g_mutex_unlock(&engines->lock);
    return g_string_free(text, FALSE);
}

uint64_t hs_fleet_engines_connects(hs_fleet_engines *engines) {
    g_mutex_lock(&engines->lock);
    uint64_t connects = engines->connects;
    g_mutex_unlock(&engines->lock);
    return connects;
}
