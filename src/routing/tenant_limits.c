/** @file tenant_limits.c  See tenant_limits.h. */
#include "routing/tenant_limits.h"

#define MS_PER_S 1000.0
#define BUSY_RETRY_MS 1000U
#define ACTIVE_PERIOD_MS 1000U  /* Requests after a longer pause may be admitted in advance. */
#define RENEW_INTERVAL_MS 1000U /* Requests in flight are reported again. */
#define OWNER_TIMEOUT_MS 400U   /* Time without a response before equal shares apply. */
#define ADVANCE_DURATION_S 0.1  /* Requests admitted in advance, as time at the full rate. */
#define ADVANCE_DIVISOR 8U      /* Part of max_in_flight admitted in advance without a rate. */
#define SPARE_REQUESTS 1U       /* Requested above the demand of the last interval. */

typedef struct {
    uint32_t in_flight;
    uint32_t allowance;      /**< Requests that may be admitted. */
    uint32_t advanced;       /**< Admitted in advance since the last allowance request. */
    uint32_t demand;         /**< Requests received since the last allowance request. */
    uint64_t last_demand_ms; /**< Time of the tenant's last request. */
    uint64_t last_sent_ms;   /**< Time of the last allowance request; 0: none, or before a pause. */
    uint64_t unanswered_since_ms; /**< Time of the first unanswered allowance request; 0: none. */
    double share_tokens;          /**< Token bucket of the equal share. */
    uint64_t share_refilled_ms;
} tenant_use;

struct hs_tenant_limits {
    GMutex lock;
    GHashTable *tenants; /**< tenant -> tenant_use */
};

hs_tenant_limits *hs_tenant_limits_new(void) {
    hs_tenant_limits *limits = g_new0(hs_tenant_limits, 1);
    limits->tenants = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    g_mutex_init(&limits->lock);
    return limits;
}

void hs_tenant_limits_free(hs_tenant_limits *limits) {
    g_hash_table_destroy(limits->tenants);
    g_mutex_clear(&limits->lock);
    g_free(limits);
}

static tenant_use *find_or_add_use(hs_tenant_limits *limits, const char *tenant, uint64_t now_ms) {
    tenant_use *use = g_hash_table_lookup(limits->tenants, tenant);
    if (use != NULL)
        return use;
    use = g_new0(tenant_use, 1);
    use->share_tokens = 1.0;
    use->share_refilled_ms = now_ms;
    g_hash_table_insert(limits->tenants, g_strdup(tenant), use);
    return use;
}

static bool is_owner_silent(const tenant_use *use, uint64_t now_ms) {
    return use->unanswered_since_ms != 0 && now_ms > use->unanswered_since_ms + OWNER_TIMEOUT_MS;
}

/** Admits by this daemon's equal share of the limit. */
static bool admit_by_share(tenant_use *use, const hs_tenant_limit *limit, uint32_t daemon_count,
                           uint64_t now_ms) {
    double share = 1.0 / MAX(daemon_count, 1U);
    double rate = limit->requests_per_second * share;
    if (limit->max_in_flight > 0 &&
        use->in_flight >= MAX((uint32_t)(limit->max_in_flight * share), 1U))
        return false;
    if (rate <= 0)
        return true;
    use->share_tokens += (double)(now_ms - use->share_refilled_ms) / MS_PER_S * rate;
    use->share_tokens = MIN(use->share_tokens, MAX(rate, 1.0));
    use->share_refilled_ms = now_ms;
    if (use->share_tokens < 1.0)
        return false;
    use->share_tokens -= 1.0;
    return true;
}

/** Maximum requests admitted in advance; the owner deducts them from later allowances. */
static uint32_t compute_max_advanced(const hs_tenant_limit *limit) {
    if (limit->requests_per_second > 0)
        return (uint32_t)(limit->requests_per_second * ADVANCE_DURATION_S) + 1;
    return limit->max_in_flight / ADVANCE_DIVISOR + 1;
}

/** Admits by the allowance, or in advance. */
static bool admit_by_allowance(tenant_use *use, const hs_tenant_limit *limit) {
    if (use->allowance > 0) {
        use->allowance--;
        return true;
    }
    bool is_advance = use->last_sent_ms == 0 && use->advanced < compute_max_advanced(limit);
    use->advanced += is_advance;
    return is_advance;
}

/** Returns true if @p limit, which may be NULL, sets a rate or a concurrency limit. */
static bool is_limited(const hs_tenant_limit *limit) {
    return limit != NULL && (limit->requests_per_second > 0 || limit->max_in_flight > 0);
}

uint32_t hs_tenant_limits_enter(hs_tenant_limits *limits, const hs_config_view *view,
                                const char *tenant, uint32_t daemon_count, uint64_t now_ms) {
    const hs_tenant_limit *limit = hs_config_view_find_limit(view, tenant);
    bool limited = is_limited(limit);
    bool admitted = true;
    g_mutex_lock(&limits->lock);
    tenant_use *use = find_or_add_use(limits, tenant, now_ms);
    if (now_ms > use->last_demand_ms + ACTIVE_PERIOD_MS)
        use->last_sent_ms = 0;
    use->last_demand_ms = now_ms;
    use->demand++;
    if (limited && is_owner_silent(use, now_ms))
        admitted = admit_by_share(use, limit, daemon_count, now_ms);
    else if (limited)
        admitted = admit_by_allowance(use, limit);
    use->in_flight += admitted;
    g_mutex_unlock(&limits->lock);
    return admitted ? 0 : BUSY_RETRY_MS;
}

void hs_tenant_limits_leave(hs_tenant_limits *limits, const char *tenant) {
    g_mutex_lock(&limits->lock);
    tenant_use *use = g_hash_table_lookup(limits->tenants, tenant);
    if (use != NULL)
        use->in_flight--;
    g_mutex_unlock(&limits->lock);
}

/** Without demand, requests in flight are reported often enough not to expire at the owner. */
static bool is_request_due(const tenant_use *use, uint64_t now_ms) {
    if (use->demand > 0)
        return now_ms >= use->last_sent_ms + HS_LIMIT_REQUEST_INTERVAL_MS;
    return use->in_flight > 0 && now_ms >= use->last_sent_ms + RENEW_INTERVAL_MS;
}

/** Makes an allowance request for the demand minus the unused allowance; resets the counts. */
static hs_allowance_request make_request(tenant_use *use, const char *tenant, uint64_t now_ms) {
    uint32_t wanted = use->demand + SPARE_REQUESTS;
    hs_allowance_request request = {.edge_id = "",
                                    .tenant = tenant,
                                    .wanted = wanted > use->allowance ? wanted - use->allowance : 0,
                                    .advanced = use->advanced,
                                    .in_flight = use->in_flight};
    use->demand = 0;
    use->advanced = 0;
    use->last_sent_ms = now_ms;
    if (use->unanswered_since_ms == 0)
        use->unanswered_since_ms = now_ms;
    return request;
}

void hs_tenant_limits_send_requests(
    hs_tenant_limits *limits, const hs_config_view *view, uint64_t now_ms,
    void (*send)(const hs_allowance_request *request, void *user_data), void *user_data) {
    g_mutex_lock(&limits->lock);
    GHashTableIter iterator;
    gpointer tenant;
    gpointer use;
    g_hash_table_iter_init(&iterator, limits->tenants);
    while (g_hash_table_iter_next(&iterator, &tenant, &use)) {
        if (!is_limited(hs_config_view_find_limit(view, tenant)) || !is_request_due(use, now_ms))
            continue;
        hs_allowance_request request = make_request(use, tenant, now_ms);
        send(&request, user_data);
    }
    g_mutex_unlock(&limits->lock);
}

void hs_tenant_limits_add_allowance(hs_tenant_limits *limits, const char *tenant,
                                    uint32_t allowance) {
    g_mutex_lock(&limits->lock);
    tenant_use *use = g_hash_table_lookup(limits->tenants, tenant);
    if (use != NULL) {
        use->allowance += allowance;
        use->unanswered_since_ms = 0;
    }
    g_mutex_unlock(&limits->lock);
}
