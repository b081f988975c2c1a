/** @file tenant_limits.c  See tenant_limits.h. */
#include "routing/tenant_limits.h"

#define MS_PER_S 1000.0
#define BUSY_RETRY_MS 1000U

typedef struct {
    double tokens;
    uint64_t refilled_ms;
    uint32_t in_flight;
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

static tenant_use *use_of(hs_tenant_limits *limits, const char *tenant, double burst,
                          uint64_t now_ms) {
    tenant_use *use = g_hash_table_lookup(limits->tenants, tenant);
    if (use != NULL)
        return use;
    use = g_new0(tenant_use, 1);
    use->tokens = burst;
    use->refilled_ms = now_ms;
    g_hash_table_insert(limits->tenants, g_strdup(tenant), use);
    return use;
}

/** Take a token of the rate; 0 or the wait in ms. */
static uint32_t take_token(tenant_use *use, double rate, double burst, uint64_t now_ms) {
    use->tokens += (double)(now_ms - use->refilled_ms) / MS_PER_S * rate;
    use->tokens = MIN(use->tokens, burst);
    use->refilled_ms = now_ms;
    if (use->tokens < 1.0)
        return (uint32_t)((1.0 - use->tokens) / rate * MS_PER_S) + 1;
    use->tokens -= 1.0;
    return 0;
}

uint32_t hs_tenant_limits_enter(hs_tenant_limits *limits, const hs_config_view *view,
                                const char *tenant, uint32_t daemon_count, uint64_t now_ms) {
    const hs_tenant_limit *limit = hs_config_view_limit(view, tenant);
    double share = 1.0 / MAX(daemon_count, 1U);
    double rate = limit != NULL ? limit->requests_per_second * share : 0;
    double burst = MAX(rate, 1.0);
    uint32_t allowed = limit != NULL && limit->max_in_flight > 0
                           ? MAX((uint32_t)(limit->max_in_flight * share), 1U)
                           : UINT32_MAX;
    uint32_t wait_ms = 0;
    g_mutex_lock(&limits->lock);
    tenant_use *use = use_of(limits, tenant, burst, now_ms);
    if (use->in_flight >= allowed)
        wait_ms = BUSY_RETRY_MS;
    else if (rate > 0)
        wait_ms = take_token(use, rate, burst, now_ms);
    if (wait_ms == 0)
        use->in_flight++;
    g_mutex_unlock(&limits->lock);
    return wait_ms;
}

void hs_tenant_limits_leave(hs_tenant_limits *limits, const char *tenant) {
    g_mutex_lock(&limits->lock);
    tenant_use *use = g_hash_table_lookup(limits->tenants, tenant);
    if (use != NULL)
        use->in_flight--;
    g_mutex_unlock(&limits->lock);
}
