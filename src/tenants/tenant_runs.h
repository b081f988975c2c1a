/**
 * @file tenant_runs.h
 * How long this daemon's requests of each tenant have held engines' slots, or would have. Pure.
 *
 * Refused ones count too: a tenant of which a part is let pass would else seem to use its share
 * alone, be let pass whole, and be refused whole again.
 */
#ifndef HS_TENANTS_TENANT_RUNS_H
#define HS_TENANTS_TENANT_RUNS_H

#include <stddef.h>
#include <stdint.h>

typedef struct hs_tenant_runs hs_tenant_runs;

hs_tenant_runs *hs_tenant_runs_new(void);
void hs_tenant_runs_free(hs_tenant_runs *runs);

/** A request of the tenant took a slot. */
void hs_tenant_runs_begin(hs_tenant_runs *runs, const char *tenant, uint64_t now_ms);

/** One that took its slot at @p begun_ms gave it back. */
void hs_tenant_runs_end(hs_tenant_runs *runs, const char *tenant, uint64_t begun_ms,
                        uint64_t now_ms);

/** One that was refused for lack of room would have held its slot for @p run_ms: it counts as if.
 */
void hs_tenant_runs_refuse(hs_tenant_runs *runs, const char *tenant, uint64_t run_ms);

/** Time in ms of slots so far, what runs now included. Never falls while the tenant has runs. */
uint64_t hs_tenant_runs_used_ms(const hs_tenant_runs *runs, const char *tenant, uint64_t now_ms);

#endif
