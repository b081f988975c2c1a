/**
 * @file tenant_runs.h
 * How much of engines' slots this daemon's requests of each tenant ask for: each counts, as it
 * comes, with the time that the tenant's runs take of late. Pure.
 *
 * What is refused counts too: a tenant of which a part is let pass would else seem to use its share
 * alone, be let pass whole, and be refused whole again. And a run counts when it is asked for, not
 * as it goes on: a run's length later is too late to find who asks for more than there is.
 */
#ifndef HS_TENANTS_TENANT_RUNS_H
#define HS_TENANTS_TENANT_RUNS_H

#include <stddef.h>
#include <stdint.h>

typedef struct hs_tenant_runs hs_tenant_runs;

hs_tenant_runs *hs_tenant_runs_new(void);
void hs_tenant_runs_free(hs_tenant_runs *runs);

/**
 * A request of the tenant for the service came; @p usual_ms: a run's time there where none of the
 * tenant has ended. Answers which part of what the tenant asks for here of late is of the service.
 */
double hs_tenant_runs_note_ask(hs_tenant_runs *runs, const char *tenant, const char *service,
                               double usual_ms);

/** A run of the tenant at the service ended well after so long. */
void hs_tenant_runs_note_run(hs_tenant_runs *runs, const char *tenant, const char *service,
                             double run_ms);

/** Time in ms of slots asked for so far; never falls. */
uint64_t hs_tenant_runs_asked_ms(const hs_tenant_runs *runs, const char *tenant);

#endif
