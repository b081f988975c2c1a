/** @file tenant_runs.c  See tenant_runs.h. */
#include "tenants/tenant_runs.h"

#include <glib.h>

typedef struct {
    double asked_ms; /**< Of slots, so far. */
    double run_ms;   /**< Mean of late; 0: none has ended. */
} tenant_count;

/** Of a run in the mean. */
#define RUN_WEIGHT 0.1
/** Tenants beyond this are not counted. */
#define TENANTS_MOST 16384

struct hs_tenant_runs {
    GHashTable *tenants; /**< name -> tenant_count* */
};

hs_tenant_runs *hs_tenant_runs_new(void) {
    hs_tenant_runs *runs = g_new0(hs_tenant_runs, 1);
    runs->tenants = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
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
    g_hash_table_insert(runs->tenants, g_strdup(tenant), count);
    return count;
}

void hs_tenant_runs_note_ask(hs_tenant_runs *runs, const char *tenant, double usual_ms) {
    tenant_count *count = count_of(runs, tenant);
    if (count != NULL)
        count->asked_ms += count->run_ms > 0 ? count->run_ms : usual_ms;
}

void hs_tenant_runs_note_run(hs_tenant_runs *runs, const char *tenant, double run_ms) {
    tenant_count *count = count_of(runs, tenant);
    if (count == NULL)
        return;
    if (count->run_ms == 0)
        count->run_ms = run_ms;
    count->run_ms += (run_ms - count->run_ms) * RUN_WEIGHT;
}

uint64_t hs_tenant_runs_asked_ms(const hs_tenant_runs *runs, const char *tenant) {
    const tenant_count *count = g_hash_table_lookup(runs->tenants, tenant);
    return count != NULL ? (uint64_t)count->asked_ms : 0;
}
