/** @file fleet_engines.c  Entries of the engine table and the choice of an engine. */
#include "fleet/fleet_engine.h"

#include "base/clock.h"
#include "base/hash.h"
#include "base/log.h"
#include "fleet/engine_selection.h"
#include "fleet/engine_spread.h"

#include <math.h>
#include <string.h>

#define INITIAL_TOKENS_PER_MS 40.0
#define INITIAL_RUN_MS 300.0
/** Assumed memory of an engine until a query names the configured one. */
#define DEFAULT_CACHE_TOKENS 100000
/** Longest silence of an engine that has requests of this daemon, in mean run times. */
#define SILENCE_LIMIT_RUNS 3.0
#define MIN_SILENCE_LIMIT_MS 700

void hs_idle_connection_free(gpointer data) {
    hs_idle_connection *idle = data;
    hs_client_connection_close(idle->connection);
    g_free(idle);
}

void hs_fleet_engine_unref(hs_fleet_engine *engine) {
    if (--engine->references > 0)
        return;
    g_queue_clear_full(&engine->idle, hs_idle_connection_free);
    hs_prefix_index_free(engine->prefixes);
    g_ptr_array_free(engine->batch_leases, TRUE);
    hs_engine_entry_clear(&engine->entry);
    g_free(engine);
}

static void unref_listed(gpointer data) {
    hs_fleet_engine_unref(data);
}

hs_fleet_engines *hs_fleet_engines_new(const char *zone) {
    hs_fleet_engines *engines = g_new0(hs_fleet_engines, 1);
    g_mutex_init(&engines->lock);
    g_cond_init(&engines->reports_changed);
    engines->by_id = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, unref_listed);
    engines->rings = hs_engine_rings_new();
    engines->used = g_hash_table_new(g_direct_hash, g_direct_equal);
    engines->home_position = (uint64_t)g_random_int() << 32 | g_random_int();
    engines->peers =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, hs_fleet_engines_free_peer);
    engines->speeds = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    engines->absences = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    engines->pressures = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    engines->tenant_runs = hs_tenant_runs_new();
    engines->evacuation = hs_evacuation_new(0);
    engines->restricted_services = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    engines->warmup_limits = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    engines->software = hs_software_history_new();
    engines->zone = g_strdup(zone);
    engines->round_robin = hs_clock_monotonic_us();
    return engines;
}

void hs_fleet_engines_set_crash_watch(hs_fleet_engines *engines, hs_crash_watch *watch) {
    engines->crash_watch = watch;
}

hs_crash_watch *hs_fleet_engines_crash_watch(hs_fleet_engines *engines) {
    return engines->crash_watch;
}

const hs_topology *hs_fleet_engines_topology(const hs_fleet_engines *engines) {
    return engines->topology;
}

/** Drops by_hash, since the set of engines changes. The caller holds the lock. */
static void clear_hash_index(hs_fleet_engines *engines) {
    if (engines->by_hash != NULL)
        g_hash_table_destroy(engines->by_hash);
    engines->by_hash = NULL;
}

hs_fleet_engine *hs_fleet_engines_find(hs_fleet_engines *engines, uint64_t engine_hash) {
    GHashTableIter iterator;
    gpointer value = NULL;
    if (engines->by_hash == NULL) {
        engines->by_hash = g_hash_table_new(g_int64_hash, g_int64_equal);
        g_hash_table_iter_init(&iterator, engines->by_id);
        while (g_hash_table_iter_next(&iterator, NULL, &value))
            g_hash_table_insert(engines->by_hash, &((hs_fleet_engine *)value)->hash, value);
    }
    return g_hash_table_lookup(engines->by_hash, &engine_hash);
}

void hs_fleet_engines_set_topology(hs_fleet_engines *engines, const hs_topology *topology) {
    engines->topology = topology;
}

const char *hs_fleet_engines_region(hs_fleet_engines *engines, uint64_t engine_hash) {
    if (!hs_topology_has_regions(engines->topology))
        return NULL;
    g_mutex_lock(&engines->lock);
    const hs_fleet_engine *engine = hs_fleet_engines_find(engines, engine_hash);
    const char *region =
        engine != NULL ? hs_topology_region(engines->topology, engine->entry.zone) : NULL;
    g_mutex_unlock(&engines->lock);
    return region;
}

void hs_fleet_engines_free(hs_fleet_engines *engines) {
    if (engines == NULL)
        return;
    clear_hash_index(engines);
    g_hash_table_destroy(engines->by_id);
    hs_engine_rings_free(engines->rings);
    g_hash_table_destroy(engines->used);
    g_hash_table_destroy(engines->peers);
    g_hash_table_destroy(engines->speeds);
    g_hash_table_destroy(engines->absences);
    if (engines->zone_outages != NULL)
        g_hash_table_destroy(engines->zone_outages);
    g_hash_table_destroy(engines->pressures);
    g_hash_table_destroy(engines->warmup_limits);
    hs_tenant_runs_free(engines->tenant_runs);
    hs_evacuation_free(engines->evacuation);
    g_hash_table_destroy(engines->restricted_services);
    hs_software_history_free(engines->software);
    g_mutex_clear(&engines->lock);
    g_cond_clear(&engines->reports_changed);
    g_free(engines->zone);
    g_free(engines);
}

static void log_entry(const char *event, const hs_engine_entry *entry) {
    hs_log_info(event, "engine=%s service=%s version=%s zone=%s state=%s slots=%u", entry->id,
                entry->service, entry->version != NULL ? entry->version : "-", entry->zone,
                entry->draining ? "draining" : "ready", entry->slots);
}

/**
 * Hash that identifies one start of an engine. Two starts under one id are separate engines: load
 * and health of one are no evidence about the other.
 */
static uint64_t start_identity(const hs_engine_entry *entry) {
    uint64_t id = hs_hash_bytes(entry->id, strlen(entry->id));
    uint64_t start[2] = {id, entry->started_at_ms};
    return entry->started_at_ms == 0 ? id : hs_hash_bytes(start, sizeof start);
}

static hs_fleet_engine *add_engine(hs_fleet_engines *engines, const hs_engine_entry *entry) {
    hs_fleet_engine *engine = g_new0(hs_fleet_engine, 1);
    engine->references = 1;
    engine->hash = start_identity(entry);
    engine->prefixes = hs_prefix_index_new(DEFAULT_CACHE_TOKENS);
    engine->batch_leases = g_ptr_array_new();
    g_queue_init(&engine->idle);
    clear_hash_index(engines);
    g_hash_table_insert(engines->by_id, g_strdup(entry->id), engine);
    if (engines->is_list_known) /* The first list is logged as a whole. */
        log_entry("engine_listed", entry);
    return engine;
}

/** Removes an engine from the indices of its table. */
static void remove_from_indices(hs_fleet_engine *engine) {
    if (engine->table == NULL)
        return;
    hs_engine_rings_remove(engine->table->rings, engine->entry.service, engine->entry.zone,
                           engine->hash);
    hs_software_history_note_removed(engine->table->software, engine->entry.service,
                                     engine->software, hs_clock_monotonic_ms());
    g_hash_table_remove(engine->table->used, engine);
    engine->table = NULL;
}

void hs_fleet_engine_note_used(hs_fleet_engine *engine) {
    if (engine->table != NULL)
        g_hash_table_add(engine->table->used, engine);
}

/** Removes an engine whose id another start has taken over. Leases keep it alive. */
static void retire_engine(hs_fleet_engines *engines, hs_fleet_engine *engine,
                          const hs_engine_entry *entry) {
    hs_log_info("engine_reborn",
                "engine=%s born_ms=%" G_GUINT64_FORMAT " before_ms=%" G_GUINT64_FORMAT
                " online=%u batch=%u",
                entry->id, (guint64)entry->started_at_ms, (guint64)engine->entry.started_at_ms,
                engine->online, engine->batch);
    engine->listed = false;
    engine->has_restarted = true;
    remove_from_indices(engine);
    g_queue_clear_full(&engine->idle, hs_idle_connection_free);
    clear_hash_index(engines);
    g_hash_table_remove(engines->by_id, entry->id);
}

/** Whether an entry belongs to another start than the known engine of the same id. */
static bool is_another_start(const hs_fleet_engine *engine, const hs_engine_entry *entry) {
    return entry->started_at_ms != 0 && entry->started_at_ms != engine->entry.started_at_ms;
}

bool hs_fleet_engines_is_another_start(hs_fleet_engines *engines, const hs_engine_entry *entry) {
    g_mutex_lock(&engines->lock);
    const hs_fleet_engine *engine = g_hash_table_lookup(engines->by_id, entry->id);
    bool is_another = engine != NULL && is_another_start(engine, entry);
    g_mutex_unlock(&engines->lock);
    return is_another;
}

/** Whether the loss of the engine is expected, and no evidence of a crash. */
static bool is_loss_expected(const hs_fleet_engines *engines, const hs_fleet_engine *engine) {
    return engine->entry.draining ||
           hs_fleet_engine_zone_use(engines, engine, hs_clock_monotonic_ms()) != HS_ZONE_OPEN;
}

void hs_fleet_engines_put(hs_fleet_engines *engines, hs_engine_entry *entry, uint64_t now_ms) {
    uint64_t crashed = 0;
    g_autofree char *service = g_strdup(entry->service);
    g_mutex_lock(&engines->lock);
    hs_fleet_engine *engine = g_hash_table_lookup(engines->by_id, entry->id);
    bool is_new = engine == NULL;
    if (engine != NULL && is_another_start(engine, entry)) {
        crashed = is_loss_expected(engines, engine) ? 0 : engine->hash;
        retire_engine(engines, engine, entry);
        engine = NULL;
    }
    if (engine == NULL)
        engine = add_engine(engines, entry);
    else if (engine->entry.draining != entry->draining)
        log_entry("engine_changed", entry);
    if (engine->entry.address != entry->address || engine->entry.port != entry->port) {
        g_queue_clear_full(&engine->idle, hs_idle_connection_free);
        engine->has_address_mismatch = false;
    }
    if (entry->started_at_ms == 0)
        entry->started_at_ms = engine->entry.started_at_ms;
    if (engine->table != NULL)
        hs_engine_rings_remove(engines->rings, engine->entry.service, engine->entry.zone,
                               engine->hash);
    uint64_t software = hs_software_id(entry->service, entry->version);
    if (!is_new && engine->table != NULL && engine->software != software)
        hs_software_history_note_removed(engines->software, engine->entry.service, engine->software,
                                         now_ms);
    hs_engine_entry_clear(&engine->entry);
    engine->entry = *entry;
    engine->software = software;
    engine->table = engines;
    hs_engine_rings_add(engines->rings, entry->service, entry->zone, engine->hash, engine);
    hs_fleet_engine_set_zone_outage(engines, engine);
    engine->listed = true;
    engine->removal_at_ms = 0;
    engine->listed_ms = now_ms;
    if (now_ms > engine->connection_lost_ms + HS_ENTRY_DELAY_MS)
        engine->is_start_unknown = false;
    hs_engine_warmup_note_entry(engines, engine);
    g_mutex_unlock(&engines->lock);
    memset(entry, 0, sizeof *entry);
    if (is_new || crashed != 0)
        hs_fleet_engines_notify_free_slot(engines, service);
    if (crashed != 0 && engines->crash_watch != NULL)
        hs_crash_watch_note_crashed(engines->crash_watch, crashed);
}

static gboolean remove_unless_listed(gpointer key, gpointer value, gpointer listed) {
    hs_fleet_engine *engine = value;
    if (listed != NULL && g_hash_table_contains(listed, key))
        return FALSE;
    engine->listed = false;
    remove_from_indices(engine);
    log_entry("engine_gone", &engine->entry);
    return TRUE;
}

void hs_fleet_engines_expire(hs_fleet_engines *engines, const char *id) {
    uint64_t crashed = 0;
    g_mutex_lock(&engines->lock);
    const hs_fleet_engine *engine = g_hash_table_lookup(engines->by_id, id);
    if (engine != NULL && !is_loss_expected(engines, engine))
        crashed = engine->hash;
    g_mutex_unlock(&engines->lock);
    hs_fleet_engines_drop(engines, id);
    if (crashed != 0 && engines->crash_watch != NULL)
        hs_crash_watch_note_crashed(engines->crash_watch, crashed);
}

void hs_fleet_engines_drop(hs_fleet_engines *engines, const char *id) {
    g_mutex_lock(&engines->lock);
    hs_fleet_engine *engine = g_hash_table_lookup(engines->by_id, id);
    if (engine != NULL) {
        remove_unless_listed(engine->entry.id, engine, NULL);
        clear_hash_index(engines);
        g_hash_table_remove(engines->by_id, id);
    }
    g_mutex_unlock(&engines->lock);
}

static void mark_unlisted(hs_fleet_engine *engine, uint64_t until_ms) {
    if (engine->removal_at_ms != 0)
        return;
    engine->removal_at_ms = until_ms;
    log_entry("engine_doubted", &engine->entry);
}

void hs_fleet_engines_unlist(hs_fleet_engines *engines, const char *id, uint64_t until_ms) {
    g_mutex_lock(&engines->lock);
    hs_fleet_engine *engine = g_hash_table_lookup(engines->by_id, id);
    if (engine != NULL)
        mark_unlisted(engine, until_ms);
    g_mutex_unlock(&engines->lock);
}

void hs_fleet_engines_keep_only(hs_fleet_engines *engines, GHashTable *listed, uint64_t until_ms) {
    GHashTableIter iterator;
    gpointer key = NULL;
    gpointer value = NULL;
    g_mutex_lock(&engines->lock);
    if (!engines->is_list_known)
        hs_log_info("engines_known", "engines=%u", g_hash_table_size(engines->by_id));
    engines->is_list_known = true;
    if (until_ms <= hs_clock_monotonic_ms() &&
        g_hash_table_foreach_remove(engines->by_id, remove_unless_listed, listed) > 0)
        clear_hash_index(engines);
    g_hash_table_iter_init(&iterator, engines->by_id);
    while (g_hash_table_iter_next(&iterator, &key, &value))
        if (!g_hash_table_contains(listed, key))
            mark_unlisted(value, until_ms);
    g_mutex_unlock(&engines->lock);
}

bool hs_fleet_engine_is_removal_due(const hs_fleet_engine *engine, uint64_t now_ms) {
    return engine->removal_at_ms != 0 && engine->removal_at_ms <= now_ms;
}

static gboolean remove_if_due(gpointer key, gpointer value, gpointer now_ms) {
    if (!hs_fleet_engine_is_removal_due(value, *(const uint64_t *)now_ms))
        return FALSE;
    return remove_unless_listed(key, value, NULL);
}

void hs_fleet_engines_remove_unlisted(hs_fleet_engines *engines, uint64_t now_ms) {
    if (g_hash_table_foreach_remove(engines->by_id, remove_if_due, &now_ms) > 0)
        clear_hash_index(engines);
}

hs_engine_speed *hs_fleet_engines_speed(hs_fleet_engines *engines, const char *service) {
    hs_engine_speed *speed = g_hash_table_lookup(engines->speeds, service);
    if (speed != NULL)
        return speed;
    speed = g_new0(hs_engine_speed, 1);
    speed->tokens_per_ms = INITIAL_TOKENS_PER_MS;
    speed->run_ms = INITIAL_RUN_MS;
    g_hash_table_insert(engines->speeds, g_strdup(service), speed);
    return speed;
}

double hs_fleet_engines_connection_share(const hs_fleet_engines *engines,
                                         uint32_t max_connections) {
    if (max_connections == 0)
        return INFINITY;
    return max_connections / (engines->peer_count + 1.0);
}

static hs_engine_lease *lease_engine(hs_fleet_engines *engines, hs_fleet_engine *engine,
                                     const hs_engine_query *query, double uncached,
                                     uint64_t now_ms) {
    hs_engine_lease *lease = g_new0(hs_engine_lease, 1);
    lease->engines = engines;
    lease->engine = engine;
    lease->work = query->work;
    lease->responses_before = engine->response_count;
    lease->acquired_ms = now_ms;
    lease->had_empty_queue = engine->queued_tokens == 0;
    lease->is_probe = hs_fleet_engine_is_probe_due(engine, now_ms);
    engine->is_probing |= lease->is_probe;
    lease->is_last_resort = hs_fleet_engine_zone_use(engines, engine, now_ms) != HS_ZONE_OPEN;
    lease->connection_share = hs_fleet_engines_connection_share(engines, query->max_connections);
    if (query->size != NULL) {
        lease->unread_tokens = (uint32_t)uncached;
        lease->memory_tokens = query->size->prompt_tokens + query->size->output_tokens;
        if (query->memory_tokens > 0)
            hs_prefix_index_set_capacity(engine->prefixes, query->memory_tokens);
        hs_prefix_index_note(engine->prefixes, query->size, now_ms);
    }
    if (engine->online + engine->batch == 0)
        engine->last_received_ms = now_ms;
    double run_ms = hs_fleet_engines_speed(engines, query->service)->run_ms;
    double pace = hs_fleet_engine_pace(engines, engine, now_ms);
    engine->silence_limit_ms =
        (uint32_t)fmax(MIN_SILENCE_LIMIT_MS, run_ms * SILENCE_LIMIT_RUNS * fmax(pace, 1));
    engine->references++;
    hs_fleet_engine_note_used(engine);
    engine->queued_tokens += lease->unread_tokens;
    engine->memory_tokens_used += lease->memory_tokens;
    if (query->work == HS_WORK_ONLINE) {
        engine->online++;
        engine->recent_starts_ms[engine->start_count++ % HS_MAX_RECENT_STARTS] = now_ms;
        lease->tenant = g_strdup(query->tenant);
    } else {
        engine->batch++;
        lease->preemption_flag = query->preemption_flag;
        lease->rank_ms = query->rank_ms;
        g_ptr_array_add(engine->batch_leases, lease);
    }
    return lease;
}

static bool is_any_free(const hs_engine_candidate *candidates, size_t count) {
    bool is_free = false;
    for (size_t index = 0; index < count; index++)
        is_free = is_free || hs_engine_candidate_has_free_slot(&candidates[index]);
    return is_free;
}

/** Engines for a request, and their estimated states. */
typedef struct {
    GPtrArray *engines; /**< Of hs_fleet_engine*. */
    hs_engine_candidate *candidates;
} candidate_list;

static void clear_candidates(candidate_list *list) {
    g_ptr_array_unref(list->engines);
    g_free(list->candidates);
}

/** Estimates the states of the engines in @p found, without those that the request may not use. */
static candidate_list list_candidates(hs_fleet_engines *engines, GPtrArray *found,
                                      const hs_engine_query *query, uint64_t now_ms) {
    if (!hs_evacuation_is_current(engines->evacuation, now_ms))
        g_ptr_array_set_size(found, 0);
    hs_engine_selection_drop_suspected(engines, found, query, now_ms);
    if (query->prefers_known_start)
        hs_engine_selection_drop_unknown_starts(found);
    hs_engine_warmup_drop_unpermitted(engines, found, query, now_ms);
    hs_engine_candidate *candidates = g_new0(hs_engine_candidate, found->len + 1);
    for (guint index = 0; index < found->len; index++)
        candidates[index] = hs_fleet_engine_candidate(engines, found->pdata[index], query, now_ms);
    hs_engine_selection_drop_evacuated(engines, found, candidates, now_ms);
    return (candidate_list){.engines = found, .candidates = candidates};
}

/**
 * Lists the candidates: a sample of a large service's engines if one of them has a free slot, else
 * all of its engines.
 */
static candidate_list find_candidates(hs_fleet_engines *engines, const hs_engine_query *query,
                                      uint64_t now_ms) {
    GPtrArray *sample = hs_engine_selection_sample(engines, query);
    if (sample != NULL) {
        candidate_list list = list_candidates(engines, sample, query, now_ms);
        if (is_any_free(list.candidates, list.engines->len))
            return list;
        clear_candidates(&list);
    }
    return list_candidates(engines, hs_engine_selection_collect(engines, query), query, now_ms);
}

hs_engine_lease *hs_fleet_engines_acquire(hs_fleet_engines *engines, const hs_engine_query *query) {
    uint64_t now_ms = hs_clock_monotonic_ms();
    hs_engine_lease *lease = NULL;
    hs_engine_use use = {0};
    g_mutex_lock(&engines->lock);
    hs_fleet_engines_sum_peers(engines, now_ms);
    hs_engine_warmup_set_limit(engines, query->service, &query->warmup);
    candidate_list list = find_candidates(engines, query, now_ms);
    GPtrArray *found = list.engines;
    hs_engine_candidate *candidates = list.candidates;
    hs_engine_selection_credit_shared_prefix(engines, found, query, candidates);
    const hs_engine_speed *speed = hs_fleet_engines_speed(engines, query->service);
    hs_engine_selection_keep_within_wait_limit(found, query, candidates, speed);
    size_t first = found->len > 0 ? engines->round_robin++ % found->len : 0;
    hs_engine_tie_break tie_break = {.draw = g_random_double(), .first = first};
    int picked = query->work == HS_WORK_ONLINE
                     ? hs_engine_spread_pick(candidates, found->len, &tie_break, speed)
                     : hs_engine_choice_pick_for_batch(candidates, found->len, first, speed);
    if (picked != HS_ENGINE_NONE) {
        const hs_engine_candidate *chosen = &candidates[picked];
        hs_fleet_engine *engine = found->pdata[picked];
        lease = lease_engine(engines, engine, query, chosen->uncached_tokens, now_ms);
        lease->reasons = (hs_engine_reasons){.candidates = found->len,
                                             .slots = chosen->slots,
                                             .running = chosen->running,
                                             .uncached_tokens = chosen->uncached_tokens,
                                             .failure_rate = chosen->failure_rate,
                                             .pace = chosen->pace,
                                             .suspected = chosen->suspected,
                                             .listed_age_ms = now_ms - engine->listed_ms,
                                             .load_report_age_ms = chosen->load_report_age_ms,
                                             .is_any_free = is_any_free(candidates, found->len)};
        lease->reasons.software = engine->software;
        if (engine->entry.version != NULL)
            g_strlcpy(lease->reasons.version, engine->entry.version, sizeof lease->reasons.version);
        use = hs_fleet_engine_use(engines, engine);
        hs_engine_warmup_begin(lease, &use, now_ms);
        hs_fleet_engines_note_presence(engines, query->service, true, now_ms);
    }
    g_mutex_unlock(&engines->lock);
    clear_candidates(&list);
    if (lease != NULL)
        hs_fleet_engines_notify_use(engines, &use, true);
    return lease;
}

uint64_t hs_fleet_engines_resume_mismatch_count(hs_fleet_engines *engines) {
    g_mutex_lock(&engines->lock);
    uint64_t count = engines->resume_mismatches;
    g_mutex_unlock(&engines->lock);
    return count;
}

uint64_t hs_fleet_engines_invalid_answer_count(hs_fleet_engines *engines) {
    g_mutex_lock(&engines->lock);
    uint64_t count = engines->invalid_answers;
    g_mutex_unlock(&engines->lock);
    return count;
}

uint64_t hs_fleet_engines_failed_connect_count(hs_fleet_engines *engines) {
    g_mutex_lock(&engines->lock);
    uint64_t count = engines->failed_connects;
    g_mutex_unlock(&engines->lock);
    return count;
}

uint64_t hs_fleet_engines_opened_connection_count(hs_fleet_engines *engines) {
    g_mutex_lock(&engines->lock);
    uint64_t count = engines->connects;
    g_mutex_unlock(&engines->lock);
    return count;
}
