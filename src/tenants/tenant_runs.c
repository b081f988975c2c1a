/** @file tenant_runs.c  See tenant_runs.h. */
#include "tenants/tenant_runs.h"

#include <glib.h>

/** A tenant's requests for one service. */
typedef struct {
    double run_ms;    /**< Mean of late; 0: none has ended. */
    double recent_ms; /**< Of slots asked for of late. */
} service_count;

typedef struct {
    double asked_ms;      /**< Of slots, so far. */
    double recent_ms;     /**< Of all services. */
    GHashTable *services; /**< name -> service_count* */
} tenant_count;

/** After this many runs' time was asked for, what was asked before counts half. */
#define RECENT_RUNS 64
/** Weight of the latest run in the mean. */
#define RUN_WEIGHT 0.1
/** Tenants beyond this are not counted. */
#define TENANTS_MOST 16384

struct hs_tenant_runs {
    GHashTable *tenants; /**< name -> tenant_count* */
};

static void free_count(gpointer data) {
    tenant_count *count = data;
    g_hash_table_destroy(count->services);
    g_free(count);
}

hs_tenant_runs *hs_tenant_runs_new(void) {
    hs_tenant_runs *runs = g_new0(hs_tenant_runs, 1);
    runs->tenants = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_count);
    return runs;
}

void hs_tenant_runs_free(hs_tenant_runs *runs) {
    if (runs == NULL)
        return;
    g_hash_table_destroy(runs->tenants);
    g_free(runs);
}

/** NULL: there are too many. */
static tenant_count *count_of(hs_tenant_runs *runs, const char *tenant) {
    tenant_count *count = g_hash_table_lookup(runs->tenants, tenant);
    if (count != NULL || g_hash_table_size(runs->tenants) >= TENANTS_MOST)
        return count;
    count = g_new0(tenant_count, 1);
    count->services = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    g_hash_table_insert(runs->tenants, g_strdup(tenant), count);
    return count;
}

static service_count *service_of(tenant_count *count, const char *service) {
    service_count *found = g_hash_table_lookup(count->services, service);
    if (found != NULL)
        return found;
    found = g_new0(service_count, 1);
    g_hash_table_insert(count->services, g_strdup(service), found);
    return found;
}

static void halve_recent(tenant_count *count) {
    GHashTableIter iterator;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, count->services);
    while (g_hash_table_iter_next(&iterator, NULL, &value))
        ((service_count *)value)->recent_ms /= 2;
    count->recent_ms /= 2;
}

double hs_tenant_runs_note_ask(hs_tenant_runs *runs, const char *tenant, const char *service,
                               double usual_ms) {
    tenant_count *count = count_of(runs, tenant);
    if (count == NULL)
        return 1;
    service_count *asked = service_of(count, service);
    double run_ms = asked->run_ms > 0 ? asked->run_ms : usual_ms;
    if (count->recent_ms > RECENT_RUNS * run_ms)
        halve_recent(count);
    count->asked_ms += run_ms;
    count->recent_ms += run_ms;
    asked->recent_ms += run_ms;
    return count->recent_ms > 0 ? asked->recent_ms / count->recent_ms : 1;
}

void hs_tenant_runs_note_run(hs_tenant_runs *runs, const char *tenant, const char *service,
                             double run_ms) {
    tenant_count *count = count_of(runs, tenant);
    if (count == NULL)
        return;
    service_count *ran = service_of(count, service);
    if (ran->run_ms == 0)
        ran->run_ms = run_ms;
    ran->run_ms += (run_ms - ran->run_ms) * RUN_WEIGHT;
}

uint64_t hs_tenant_runs_asked_ms(const hs_tenant_runs *runs, const char *tenant) {
    const tenant_count *count = g_hash_table_lookup(runs->tenants, tenant);
    return count != NULL ? (uint64_t)count->asked_ms : 0;
}
