/** @file tenant_runs.c  See tenant_runs.h. */
#include "tenants/tenant_runs.h"

#include <glib.h>

typedef struct {
    double mean_run_ms; /**< Of recent runs; 0: no run has ended. */
    double recent_ms;   /**< Recently requested slot time. */
} service_requests;

typedef struct {
    double requested_ms;  /**< Total requested slot time. */
    double recent_ms;     /**< Recently requested slot time, all services. */
    GHashTable *services; /**< name -> service_requests* */
} tenant_requests;

/** Recent slot time is halved when it exceeds the time of this number of runs. */
#define RECENT_WINDOW_RUNS 64
/** Weight of the latest run in the mean run time. */
#define LATEST_RUN_WEIGHT 0.1
/** Further tenants are not counted. */
#define MAX_TENANTS 16384

struct hs_tenant_runs {
    GHashTable *tenants; /**< name -> tenant_requests* */
};

static void free_tenant(gpointer data) {
    tenant_requests *count = data;
    g_hash_table_destroy(count->services);
    g_free(count);
}

hs_tenant_runs *hs_tenant_runs_new(void) {
    hs_tenant_runs *runs = g_new0(hs_tenant_runs, 1);
    runs->tenants = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_tenant);
    return runs;
}

void hs_tenant_runs_free(hs_tenant_runs *runs) {
    if (runs == NULL)
        return;
    g_hash_table_destroy(runs->tenants);
    g_free(runs);
}

/** Returns NULL if there are too many tenants. */
static tenant_requests *find_or_add_tenant(hs_tenant_runs *runs, const char *tenant) {
    tenant_requests *count = g_hash_table_lookup(runs->tenants, tenant);
    if (count != NULL || g_hash_table_size(runs->tenants) >= MAX_TENANTS)
        return count;
    count = g_new0(tenant_requests, 1);
    count->services = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    g_hash_table_insert(runs->tenants, g_strdup(tenant), count);
    return count;
}

static service_requests *find_or_add_service(tenant_requests *count, const char *service) {
    service_requests *found = g_hash_table_lookup(count->services, service);
    if (found != NULL)
        return found;
    found = g_new0(service_requests, 1);
    g_hash_table_insert(count->services, g_strdup(service), found);
    return found;
}

static void halve_recent(tenant_requests *count) {
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, count->services);
    while (g_hash_table_iter_next(&iterator, NULL, &value))
        ((service_requests *)value)->recent_ms /= 2;
    count->recent_ms /= 2;
}

double hs_tenant_runs_note_request(hs_tenant_runs *runs, const char *tenant, const char *service,
                                   double usual_ms) {
    tenant_requests *count = find_or_add_tenant(runs, tenant);
    if (count == NULL)
        return 1;
    service_requests *service_entry = find_or_add_service(count, service);
    double run_ms = service_entry->mean_run_ms > 0 ? service_entry->mean_run_ms : usual_ms;
    if (count->recent_ms > RECENT_WINDOW_RUNS * run_ms)
        halve_recent(count);
    count->requested_ms += run_ms;
    count->recent_ms += run_ms;
    service_entry->recent_ms += run_ms;
    return count->recent_ms > 0 ? service_entry->recent_ms / count->recent_ms : 1;
}

void hs_tenant_runs_note_run(hs_tenant_runs *runs, const char *tenant, const char *service,
                             double run_ms) {
    tenant_requests *count = find_or_add_tenant(runs, tenant);
    if (count == NULL)
        return;
    service_requests *service_entry = find_or_add_service(count, service);
    if (service_entry->mean_run_ms == 0)
        service_entry->mean_run_ms = run_ms;
    service_entry->mean_run_ms += (run_ms - service_entry->mean_run_ms) * LATEST_RUN_WEIGHT;
}

uint64_t hs_tenant_runs_requested_ms(const hs_tenant_runs *runs, const char *tenant) {
    const tenant_requests *count = g_hash_table_lookup(runs->tenants, tenant);
    return count != NULL ? (uint64_t)count->requested_ms : 0;
}
