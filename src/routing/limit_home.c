/** @file limit_home.c  See limit_home.h. */
#include "routing/limit_home.h"

#define MS_PER_S 1000.0
#define BURST_DURATION_S 0.2 /* Size of a token bucket, as time at the full rate. */
#define EDGE_EXPIRY_MS 2000U /* The in-flight count of an edge without requests expires. */

typedef struct {
    uint32_t in_flight; /**< Last reported count plus last grant. */
    uint64_t last_request_ms;
} edge_share;

typedef struct {
    double tokens; /**< Negative after requests admitted in advance. */
    uint64_t refilled_ms;
    GHashTable *edges; /**< edge id -> edge_share */
} tenant_bucket;

struct hs_limit_owner {
    GHashTable *tenants; /**< tenant -> tenant_bucket */
};

static void free_bucket(gpointer data) {
    g_hash_table_destroy(((tenant_bucket *)data)->edges);
    g_free(data);
}

hs_limit_owner *hs_limit_owner_new(void) {
    hs_limit_owner *owner = g_new0(hs_limit_owner, 1);
    owner->tenants = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_bucket);
    return owner;
}

void hs_limit_owner_free(hs_limit_owner *owner) {
    g_hash_table_destroy(owner->tenants);
    g_free(owner);
}

static double get_max_tokens(const hs_tenant_limit *limit) {
    return MAX(limit->requests_per_second * BURST_DURATION_S, 1.0);
}

static tenant_bucket *find_or_add_bucket(hs_limit_owner *owner, const char *tenant,
                                         const hs_tenant_limit *limit, uint64_t now_ms) {
    tenant_bucket *bucket = g_hash_table_lookup(owner->tenants, tenant);
    if (bucket != NULL)
        return bucket;
    bucket = g_new0(tenant_bucket, 1);
    bucket->tokens = get_max_tokens(limit);
    bucket->refilled_ms = now_ms;
    bucket->edges = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    g_hash_table_insert(owner->tenants, g_strdup(tenant), bucket);
    return bucket;
}

static void refill(tenant_bucket *bucket, const hs_tenant_limit *limit, uint64_t now_ms) {
    bucket->tokens +=
        (double)(now_ms - bucket->refilled_ms) / MS_PER_S * limit->requests_per_second;
    bucket->tokens = MIN(bucket->tokens, get_max_tokens(limit));
    bucket->refilled_ms = now_ms;
}

/** Counts requests in flight on other edges; removes expired edges. */
static uint32_t count_in_flight_on_other_edges(tenant_bucket *bucket, const char *edge_id,
                                               uint64_t now_ms) {
    uint32_t count = 0;
    GHashTableIter iterator;
    gpointer key;
    gpointer value;
    g_hash_table_iter_init(&iterator, bucket->edges);
    while (g_hash_table_iter_next(&iterator, &key, &value)) {
        const edge_share *share = value;
        if (share->last_request_ms + EDGE_EXPIRY_MS < now_ms)
            g_hash_table_iter_remove(&iterator);
        else if (g_strcmp0(key, edge_id) != 0)
            count += share->in_flight;
    }
    return count;
}

static void update_edge(tenant_bucket *bucket, const hs_allowance_request *request,
                        uint32_t granted, uint64_t now_ms) {
    edge_share *share = g_new0(edge_share, 1);
    share->in_flight = request->in_flight + granted;
    share->last_request_ms = now_ms;
    g_hash_table_replace(bucket->edges, g_strdup(request->edge_id), share);
}

uint32_t hs_limit_owner_grant(hs_limit_owner *owner, const hs_tenant_limit *limit,
                              const hs_allowance_request *request, uint64_t now_ms) {
    tenant_bucket *bucket = find_or_add_bucket(owner, request->tenant, limit, now_ms);
    uint32_t granted = request->wanted;
    if (limit->requests_per_second > 0) {
        refill(bucket, limit, now_ms);
        bucket->tokens -= request->advanced;
        granted = MIN(granted, bucket->tokens >= 1.0 ? (uint32_t)bucket->tokens : 0);
        bucket->tokens -= granted;
    }
    if (limit->max_in_flight > 0) {
        uint32_t used =
            count_in_flight_on_other_edges(bucket, request->edge_id, now_ms) + request->in_flight;
        granted = MIN(granted, limit->max_in_flight > used ? limit->max_in_flight - used : 0);
    }
    update_edge(bucket, request, granted, now_ms);
    return granted;
}
