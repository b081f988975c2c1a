/**
 * @file tenant_deal.h
 * Whose item is left out when not all can end in time: max-min fair by slot time. Pure.
 *
 * For the case that one tenant submits a heap of jobs, several times all others' together. Each
 * item that does not fit costs the claimant that has most work taken its biggest one, so that
 * whoever has less than an equal part loses nothing, and the heap keeps all that the others leave.
 * With one claimant it is the rule of Moore and Hodgson as it stands; see item_choice.h.
 */
#ifndef HS_JOBS_TENANT_DEAL_H
#define HS_JOBS_TENANT_DEAL_H

#include <stddef.h>
#include <stdint.h>

/** Items taken so far, by claimant: a tenant, or all jobs without one. */
typedef struct hs_tenant_deal hs_tenant_deal;

hs_tenant_deal *hs_tenant_deal_new(void);
void hs_tenant_deal_free(hs_tenant_deal *deal);

/** Take an item of @p claimant, a small number, that needs a slot for @p work_ms. */
void hs_tenant_deal_take(hs_tenant_deal *deal, uint32_t claimant, size_t item, uint64_t work_ms);

/** Leave one item out: returns it. Some item must be taken. */
size_t hs_tenant_deal_leave_out(hs_tenant_deal *deal);

/** Work of all items that are taken, in ms of a slot. */
uint64_t hs_tenant_deal_work_ms(const hs_tenant_deal *deal);

#endif
