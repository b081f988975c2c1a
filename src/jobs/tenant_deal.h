/**
 * @file tenant_deal.h
 * Allocates slot time among tenant groups: max-min fair exclusion of items if not all of them can
 * meet their deadlines.
 *
 * Each time the selected work does not fit, the longest item of the group with most selected work
 * is excluded. A group with less than an equal share therefore loses nothing, and a burst of one
 * tenant still receives the capacity that the others leave. With a single group this is the
 * Moore-Hodgson algorithm; see item_choice.h. Not thread-safe.
 */
#ifndef HS_JOBS_TENANT_DEAL_H
#define HS_JOBS_TENANT_DEAL_H

#include <stddef.h>
#include <stdint.h>

/** Selected items by tenant group: one group for each tenant, and one for jobs without a tenant. */
typedef struct hs_tenant_allocation hs_tenant_allocation;

hs_tenant_allocation *hs_tenant_allocation_new(void);
void hs_tenant_allocation_free(hs_tenant_allocation *allocation);

/** Adds an item that needs a slot for @p work_ms to @p group, a small index. */
void hs_tenant_allocation_add(hs_tenant_allocation *allocation, uint32_t group, size_t item,
                              uint64_t work_ms);

/**
 * Removes the longest item of the group with most work and returns its number. At least one item
 * must be selected.
 */
size_t hs_tenant_allocation_exclude_item(hs_tenant_allocation *allocation);

/** Returns the work of all selected items in slot milliseconds. */
uint64_t hs_tenant_allocation_work_ms(const hs_tenant_allocation *allocation);

#endif
