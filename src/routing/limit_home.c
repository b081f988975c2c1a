/** @file limit_home.c  See limit_home.h. */
#include "routing/limit_home.h"

#define MS_PER_S 1000.0
#define BURST_S 0.2          /* A bucket holds what comes in in such a time. */
#define EDGE_SILENT_MS 2000U /* An edge that asks no more has nothing in flight. */

typedef struct {
    uint32_t in_flight; /**< Reported, and granted since. */
    uint64_t asked_ms;
} edge_share;

typedef struct {
    double tokens; /**< May fall below 0 by what edges admitted in advance. */
    uint64_t refilled_ms;
    GHashTable *edges; /**< edge id -> edge_share */
} tenant_bucket;

struct hs_limit_home {
    GHashTable *tenants; /**< tenant -> tenant_bucket */
};

static void free_bucket(gpointer data) {
    g_hash_table_destroy(((tenant_bucket *)data)->edges);
    g_free(data);
}

hs_limit_home *hs_limit_home_new(void) {
    hs_limit_home *home = g_new0(hs_limit_home, 1);
    home->tenants = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_bucket);
    return home;
}

void hs_limit_home_free(hs_limit_home *home) {
    g_hash_table_destroy(home->tenants);
    g_free(home);
}

static double burst_of(const hs_tenant_limit *limit) {
    return MAX(limit->requests_per_second * BURST_S, 1.0);
}

static tenant_bucket *bucket_of(hs_limit_home *home, const char *tenant,
                                const hs_tenant_limit *limit, uint64_t now_ms) {
    tenant_bucket *bucket = g_hash_table_lookup(home->tenants, tenant);
    if (bucket != NULL)
        return bucket;
    bucket = g_new0(tenant_bucket, 1);
    bucket->tokens = burst_of(limit);
    bucket->refilled_ms = now_ms;
    bucket->edges = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    g_hash_table_insert(home->tenants, g_strdup(tenant), bucket);
    return bucket;
}

static void refill(tenant_bucket *bucket, const hs_tenant_limit *limit, uint64_t now_ms) {
    bucket->tokens +=
        (double)(now_ms - bucket->refilled_ms) / MS_PER_S * limit->requests_per_second;
    bucket->tokens = MIN(bucket->tokens, burst_of(limit));
    bucket->refilled_ms = now_ms;
}

/** Requests in flight on other edges that still ask. */
static uint32_t in_flight_elsewhere(tenant_bucket *bucket, const char *edge_id, uint64_t now_ms) {
    uint32_t count = 0;
    GHashTableIter iterator;
    gpointer key;
    gpointer value;
    g_hash_table_iter_init(&iterator, bucket->edges);
    while (g_hash_table_iter_next(&iterator, &key, &value)) {
        const edge_share *share = value;
        if (share->asked_ms + EDGE_SILENT_MS < now_ms)
            g_hash_table_iter_remove(&iterator);
        else if (g_strcmp0(key, edge_id) != 0)
            count += share->in_flight;
    }
    return count;
}

static void note_edge(tenant_bucket *bucket, const hs_limit_ask *ask, uint32_t granted,
                      uint64_t now_ms) {
    edge_share *share = g_new0(edge_share, 1);
    share->in_flight = ask->in_flight + granted;
    share->asked_ms = now_ms;
    g_hash_table_replace(bucket->edges, g_strdup(ask->edge_id), share);
}

uint32_t hs_limit_home_grant(hs_limit_home *home, const hs_tenant_limit *limit,
                             const hs_limit_ask *ask, uint64_t now_ms) {
    tenant_bucket *bucket = bucket_of(home, ask->tenant, limit, now_ms);
    uint32_t granted = ask->wanted;
    if (limit->requests_per_second > 0) {
        refill(bucket, limit, now_ms);
        bucket->tokens -= ask->advanced;
        granted = MIN(granted, bucket->tokens >= 1.0 ? (uint32_t)bucket->tokens : 0);
        bucket->tokens -= granted;
    }
    if (limit->max_in_flight > 0) {
        uint32_t used = in_flight_elsewhere(bucket, ask->edge_id, now_ms) + ask->in_flight;
        granted = MIN(granted, limit->max_in_flight > used ? limit->max_in_flight - used : 0);
    }
    note_edge(bucket, ask, granted, now_ms);
    return granted;
}
