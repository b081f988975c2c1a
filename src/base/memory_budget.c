/** @file memory_budget.c  See memory_budget.h. */
#include "base/memory_budget.h"

#include <glib.h>

/** Part of the budget that one answer of an engine may take: one in so many. */
#define ANSWERS_AT_ONCE 16

/** The counters of the process in bytes. The lock protects the other fields. */
static struct {
    GMutex lock;
    uint64_t budget;
    uint64_t total_charged;
    uint64_t charged[HS_MEMORY_KIND_COUNT];
} memory;

const char *hs_memory_kind_name(hs_memory_kind kind) {
    static const char *const names[] = {[HS_MEMORY_BODIES] = "bodies",
                                        [HS_MEMORY_ANSWERS] = "answers",
                                        [HS_MEMORY_REPLIES] = "replies",
                                        [HS_MEMORY_STREAMS] = "streams",
                                        [HS_MEMORY_JOBS] = "jobs"};
    return names[kind];
}

void hs_memory_budget_set(uint64_t budget) {
    g_mutex_lock(&memory.lock);
    memory.budget = budget;
    g_mutex_unlock(&memory.lock);
}

uint64_t hs_memory_bound_answer(uint64_t limit) {
    uint64_t budget = hs_memory_budget_get();
    return budget > 0 ? MIN(limit, budget / ANSWERS_AT_ONCE) : limit;
}

uint64_t hs_memory_budget_get(void) {
    g_mutex_lock(&memory.lock);
    uint64_t budget = memory.budget;
    g_mutex_unlock(&memory.lock);
    return budget;
}

/** Adds a charge. The caller holds the lock. */
static void add_charge(hs_memory_kind kind, uint64_t bytes) {
    memory.charged[kind] += bytes;
    memory.total_charged += bytes;
}

bool hs_memory_try_charge(hs_memory_kind kind, uint64_t bytes, hs_memory_requester requester) {
    g_mutex_lock(&memory.lock);
    bool can_charge = hs_memory_can_charge(memory.budget, memory.total_charged, bytes, requester);
    if (can_charge)
        add_charge(kind, bytes);
    g_mutex_unlock(&memory.lock);
    return can_charge;
}

void hs_memory_charge(hs_memory_kind kind, uint64_t bytes) {
    g_mutex_lock(&memory.lock);
    add_charge(kind, bytes);
    g_mutex_unlock(&memory.lock);
}

void hs_memory_release(hs_memory_kind kind, uint64_t bytes) {
    g_mutex_lock(&memory.lock);
    g_assert(memory.charged[kind] >= bytes);
    memory.charged[kind] -= bytes;
    memory.total_charged -= bytes;
    g_mutex_unlock(&memory.lock);
}

bool hs_memory_hold_resize(hs_memory_hold *hold, uint64_t bytes, hs_memory_requester requester) {
    if (bytes > hold->bytes && !hs_memory_try_charge(hold->kind, bytes - hold->bytes, requester))
        return false;
    if (bytes < hold->bytes)
        hs_memory_release(hold->kind, hold->bytes - bytes);
    hold->bytes = bytes;
    return true;
}

uint64_t hs_memory_charged(hs_memory_kind kind) {
    g_mutex_lock(&memory.lock);
    uint64_t charged = memory.charged[kind];
    g_mutex_unlock(&memory.lock);
    return charged;
}

uint64_t hs_memory_total_charged(void) {
    g_mutex_lock(&memory.lock);
    uint64_t charged = memory.total_charged;
    g_mutex_unlock(&memory.lock);
    return charged;
}

hs_memory_level hs_memory_get_level(void) {
    g_mutex_lock(&memory.lock);
    hs_memory_level level = hs_memory_level_at(memory.budget, memory.total_charged);
    g_mutex_unlock(&memory.lock);
    return level;
}

uint32_t hs_memory_used_percent(void) {
    g_mutex_lock(&memory.lock);
    uint32_t percent = hs_memory_used_percent_at(memory.budget, memory.total_charged);
    g_mutex_unlock(&memory.lock);
    return percent;
}
