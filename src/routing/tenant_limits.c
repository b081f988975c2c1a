/** @file tenant_limits.c  See tenant_limits.h. */
#include "routing/tenant_limits.h"

#define MS_PER_S 1000.0
#define BUSY_RETRY_MS 1000U
#define ACTIVE_MS 1000U /* A tenant whose requests came within such a time is asked for. */
#define RENEW_MS 1000U  /* Requests in flight are told of again after such a time. */
#define SILENT_MS 400U  /* A home that answered nothing for such a time is silent. */
#define ADVANCE_S 0.1   /* What may come in before the first answer, as time at the full rate. */
#define ADVANCE_PART 8U /* The same, as a part of the requests allowed in flight. */
#define SPARE 1U        /* Asked for above the last interval's demand. */

typedef struct {
    uint32_t in_flight;
    uint32_t allowance;  /**< Requests the home lets us admit. */
    uint32_t advanced;   /**< Admitted without one since the last ask. */
    uint32_t demand;     /**< Requests that came since the last ask. */
    uint64_t came_ms;    /**< When the last request came. */
    uint64_t asked_ms;   /**< When the home was last asked; 0: never. */
    uint64_t waiting_ms; /**< First ask that is not answered yet; 0: none. */
    double share_tokens; /**< Of our equal share, while the home is silent. */
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

static tenant_use *use_of(hs_tenant_limits *limits, const char *tenant, uint64_t now_ms) {
    tenant_use *use = g_hash_table_lookup(limits->tenants, tenant);
    if (use != NULL)
        return use;
    use = g_new0(tenant_use, 1);
    use->share_tokens = 1.0;
    use->share_refilled_ms = now_ms;
    g_hash_table_insert(limits->tenants, g_strdup(tenant), use);
    return use;
}

static bool home_is_silent(const tenant_use *use, uint64_t now_ms) {
    return use->waiting_ms != 0 && now_ms > use->waiting_ms + SILENT_MS;
}

/** Our equal share of the limit. */
static bool enter_by_share(tenant_use *use, const hs_tenant_limit *limit, uint32_t daemon_count,
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

/** Requests admitted before the home first answers; the home takes them off what it allows. */
static uint32_t advance_of(const hs_tenant_limit *limit) {
    if (limit->requests_per_second > 0)
        return (uint32_t)(limit->requests_per_second * ADVANCE_S) + 1;
    return limit->max_in_flight / ADVANCE_PART + 1;
}

/** What the home allowed, or some in advance. */
static bool enter_by_allowance(tenant_use *use, const hs_tenant_limit *limit) {
    if (use->allowance > 0) {
        use->allowance--;
        return true;
    }
    bool fresh = use->asked_ms == 0 && use->advanced < advance_of(limit);
    use->advanced += fresh;
    return fresh;
}

/** Whether the limit, NULL for none, bounds anything. */
static bool is_limited(const hs_tenant_limit *limit) {
    return limit != NULL && (limit->requests_per_second > 0 || limit->max_in_flight > 0);
}

uint32_t hs_tenant_limits_enter(hs_tenant_limits *limits, const hs_config_view *view,
                                const char *tenant, uint32_t daemon_count, uint64_t now_ms) {
    const hs_tenant_limit *limit = hs_config_view_limit(view, tenant);
    bool limited = is_limited(limit);
    bool admitted = true;
    g_mutex_lock(&limits->lock);
    tenant_use *use = use_of(limits, tenant, now_ms);
    if (now_ms > use->came_ms + ACTIVE_MS)
        use->asked_ms = 0;
    use->came_ms = now_ms;
    use->demand++;
    if (limited && home_is_silent(use, now_ms))
        admitted = enter_by_share(use, limit, daemon_count, now_ms);
    else if (limited)
        admitted = enter_by_allowance(use, limit);
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

/** After demand, soon; else only so often that the home still counts what is in flight here. */
static bool must_ask(const tenant_use *use, uint64_t now_ms) {
    if (use->demand > 0)
        return now_ms >= use->asked_ms + HS_LIMIT_INTERVAL_MS;
    return use->in_flight > 0 && now_ms >= use->asked_ms + RENEW_MS;
}

/** What is left of the last allowance goes back with the ask: it is taken off what is wanted. */
static hs_limit_ask make_ask(tenant_use *use, const char *tenant, uint64_t now_ms) {
    uint32_t wanted = use->demand + SPARE;
    hs_limit_ask ask = {.edge_id = "",
                        .tenant = tenant,
                        .wanted = wanted > use->allowance ? wanted - use->allowance : 0,
                        .advanced = use->advanced,
                        .in_flight = use->in_flight};
    use->demand = 0;
    use->advanced = 0;
    use->asked_ms = now_ms;
    if (use->waiting_ms == 0)
        use->waiting_ms = now_ms;
    return ask;
}

void hs_tenant_limits_ask(hs_tenant_limits *limits, const hs_config_view *view, uint64_t now_ms,
                          void (*send)(const hs_limit_ask *ask, void *user_data), void *user_data) {
    g_mutex_lock(&limits->lock);
    GHashTableIter iterator;
    gpointer tenant;
    gpointer use;
    g_hash_table_iter_init(&iterator, limits->tenants);
    while (g_hash_table_iter_next(&iterator, &tenant, &use)) {
        if (!is_limited(hs_config_view_limit(view, tenant)) || !must_ask(use, now_ms))
            continue;
        hs_limit_ask ask = make_ask(use, tenant, now_ms);
        send(&ask, user_data);
    }
    g_mutex_unlock(&limits->lock);
}

void hs_tenant_limits_allow(hs_tenant_limits *limits, const char *tenant, uint32_t allowance) {
    g_mutex_lock(&limits->lock);
    tenant_use *use = g_hash_table_lookup(limits->tenants, tenant);
    if (use != NULL) {
        use->allowance += allowance;
        use->waiting_ms = 0;
    }
    g_mutex_unlock(&limits->lock);
}
