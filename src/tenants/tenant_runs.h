/**
 * @file tenant_runs.h
 * Counts the engine slot time that this daemon's requests of each tenant need: each request counts
 * on arrival with the mean run time of the tenant's recent runs. Pure; not thread-safe.
 *
 * Refused requests count too; otherwise a tenant that is partly refused would appear to be within
 * its share and alternate between full admission and full refusal. Requests count on arrival
 * because counting at the end of a run would detect overuse one run time too late.
 */
#ifndef HS_TENANTS_TENANT_RUNS_H
#define HS_TENANTS_TENANT_RUNS_H

#include <stddef.h>
#include <stdint.h>

typedef struct hs_tenant_runs hs_tenant_runs;

hs_tenant_runs *hs_tenant_runs_new(void);
void hs_tenant_runs_free(hs_tenant_runs *runs);

/**
 * Records a request of the tenant for the service. @p usual_ms is the run time to assume if no run
 * of the tenant at the service has ended. Returns the service's fraction of the slot time that the
 * tenant recently requested at this daemon.
 */
double hs_tenant_runs_note_request(hs_tenant_runs *runs, const char *tenant, const char *service,
                                   double usual_ms);

/** Records the duration of a successful run of the tenant at the service. */
void hs_tenant_runs_note_run(hs_tenant_runs *runs, const char *tenant, const char *service,
                             double run_ms);

/** Returns the total slot time in ms that the tenant has requested; never decreases. */
uint64_t hs_tenant_runs_requested_ms(const hs_tenant_runs *runs, const char *tenant);

#endif
