/**
 * @file memory_budget.h
 * Accounting of memory that the process buffers for callers and engines, by kind, against one
 * budget of the process. Thread-safe. The module that charges memory also releases it.
 */
#ifndef HS_BASE_MEMORY_BUDGET_H
#define HS_BASE_MEMORY_BUDGET_H

#include "base/memory_mark.h"

#include <stdbool.h>
#include <stdint.h>

/** The use of buffered memory. */
typedef enum {
    HS_MEMORY_BODIES,  /**< Request bodies of callers. */
    HS_MEMORY_ANSWERS, /**< Complete answers of engines. */
    HS_MEMORY_REPLIES, /**< Complete answers that callers have not read yet. */
    HS_MEMORY_STREAMS, /**< Stream data that callers have not read yet. */
    HS_MEMORY_JOBS,    /**< Submissions that are decoded or stored, and pages that are built. */
    HS_MEMORY_KIND_COUNT,
} hs_memory_kind;

/** Returns the name of a kind for metrics; a static string. */
const char *hs_memory_kind_name(hs_memory_kind kind);

/** Returns @p limit, or less if the budget is small: no single answer is to use it up. */
uint64_t hs_memory_bound_answer(uint64_t limit);

/** Sets the budget in bytes; 0: no limit. */
void hs_memory_budget_set(uint64_t budget);

/** Returns the budget in bytes; 0: no limit. */
uint64_t hs_memory_budget_get(void);

/** Charges @p bytes if @p requester may use them. Returns false, without a charge, if not. */
bool hs_memory_try_charge(hs_memory_kind kind, uint64_t bytes, hs_memory_requester requester);

/** Charges @p bytes unconditionally; the total may exceed the budget. */
void hs_memory_charge(hs_memory_kind kind, uint64_t bytes);

/** Releases @p bytes that were charged under the same kind. */
void hs_memory_release(hs_memory_kind kind, uint64_t bytes);

/** The memory that one request holds. Zero-initialise, and set the kind. One thread at a time. */
typedef struct {
    hs_memory_kind kind;
    uint64_t bytes; /**< Charged for the request. */
} hs_memory_hold;

/**
 * Changes the charge of a request to @p bytes. Returns false, without a change, if that is more and
 * @p requester may not use as much. 0 releases all.
 */
bool hs_memory_hold_resize(hs_memory_hold *hold, uint64_t bytes, hs_memory_requester requester);

/** Returns the bytes that are charged for @p kind. */
uint64_t hs_memory_charged(hs_memory_kind kind);

/** Returns the bytes that are charged for all kinds. */
uint64_t hs_memory_total_charged(void);

/** Returns the current level; see hs_memory_level_at. */
hs_memory_level hs_memory_get_level(void);

/** Returns the current use by hs_memory_used_percent_at. */
uint32_t hs_memory_used_percent(void);

#endif
