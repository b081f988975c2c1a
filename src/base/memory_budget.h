/**
 * @file memory_budget.h
 * Memory that this process keeps for others, counted by kind against one budget. Thread-safe.
 *
 * What is charged is given back by whoever charged it. Marks and claims: memory_mark.h.
 */
#ifndef HS_BASE_MEMORY_BUDGET_H
#define HS_BASE_MEMORY_BUDGET_H

#include "base/memory_mark.h"

#include <stdbool.h>
#include <stdint.h>

/** What memory is kept for. */
typedef enum {
    HS_MEMORY_BODIES,  /**< Callers' requests. */
    HS_MEMORY_ANSWERS, /**< Engines' whole answers. */
    HS_MEMORY_REPLIES, /**< Whole answers that callers have not read. */
    HS_MEMORY_STREAMS, /**< Streams read ahead of their callers. */
    HS_MEMORY_KINDS,
} hs_memory_kind;

/** Name of a kind, for metrics. */
const char *hs_memory_kind_name(hs_memory_kind kind);

/** Set the budget in bytes; 0: none, and nothing is refused. */
void hs_memory_budget_set(uint64_t budget);
uint64_t hs_memory_budget_get(void);

/** Charge @p bytes if the claim has room for them; false: it has none, and nothing is charged. */
bool hs_memory_try_charge(hs_memory_kind kind, uint64_t bytes, hs_memory_claim claim);

/** Charge what cannot be refused any more; the budget may be exceeded. */
void hs_memory_charge(hs_memory_kind kind, uint64_t bytes);

/** Give back what was charged. */
void hs_memory_release(hs_memory_kind kind, uint64_t bytes);

/** Bytes charged now. */
uint64_t hs_memory_charged(hs_memory_kind kind);
uint64_t hs_memory_charged_in_all(void);

/** See memory_mark.h; at this moment. */
hs_memory_mark hs_memory_mark_now(void);
uint32_t hs_memory_taken_percent(void);

#endif
