/** @file memory_mark.c  See memory_mark.h. */
#include "base/memory_mark.h"

/** Memory of a daemon without requests. */
#define PROGRAM_MEMORY_MB 24
#define BYTES_PER_MB (1024ULL * 1024)
/**
 * Divisor of the rest of the machine's memory that gives the budget. The other part is left to
 * memory that is not charged and to freed memory that the allocator retains.
 */
#define BUDGET_DIVISOR 2
/** Lower bound of the budget, by which a daemon on a too small machine can still serve requests. */
#define MIN_BUDGET_BYTES BYTES_PER_MB
/**
 * Percentages of the budget at which HS_MEMORY_LOW and HS_MEMORY_CRITICAL begin. Between them only
 * new work is refused, which costs less than a stream that is lost.
 */
#define LOW_PERCENT 75
#define CRITICAL_PERCENT 90

static uint64_t percent_of(uint64_t budget, uint32_t percent) {
    return budget / 100 * percent + budget % 100 * percent / 100;
}

uint64_t hs_memory_budget_for_machine(uint32_t memory_mb) {
    if (memory_mb == 0)
        return 0;
    uint64_t available_mb = memory_mb > PROGRAM_MEMORY_MB ? memory_mb - PROGRAM_MEMORY_MB : 0;
    uint64_t budget = available_mb * BYTES_PER_MB / BUDGET_DIVISOR;
    return budget > MIN_BUDGET_BYTES ? budget : MIN_BUDGET_BYTES;
}

const char *hs_memory_level_name(hs_memory_level level) {
    static const char *const names[] = {
        [HS_MEMORY_NORMAL] = "normal", [HS_MEMORY_LOW] = "low", [HS_MEMORY_CRITICAL] = "critical"};
    return names[level];
}

hs_memory_level hs_memory_level_at(uint64_t budget, uint64_t charged) {
    if (budget == 0 || charged < percent_of(budget, LOW_PERCENT))
        return HS_MEMORY_NORMAL;
    return charged < percent_of(budget, CRITICAL_PERCENT) ? HS_MEMORY_LOW : HS_MEMORY_CRITICAL;
}

bool hs_memory_can_charge(uint64_t budget, uint64_t charged, uint64_t more,
                          hs_memory_requester requester) {
    uint64_t max_bytes =
        requester == HS_MEMORY_FOR_NEW_WORK ? percent_of(budget, LOW_PERCENT) : budget;
    return budget == 0 || (charged <= max_bytes && more <= max_bytes - charged);
}

uint32_t hs_memory_used_percent_at(uint64_t budget, uint64_t charged) {
    uint64_t max_bytes = percent_of(budget, LOW_PERCENT);
    if (budget == 0)
        return 0;
    return charged >= max_bytes ? 100 : (uint32_t)(100 * charged / max_bytes);
}

size_t hs_memory_block_bytes(size_t length) {
    size_t block = length > 0 ? 1 : 0;
    while (block < length)
        block *= 2;
    return block;
}

/** Returns the time that the reader needs for the unread bytes at its mean speed so far. */
static double estimate_drain_ms(const hs_memory_reader *reader) {
    double bytes_per_ms = (double)(reader->consumed_bytes + 1) / (double)(reader->open_ms + 1);
    return (double)reader->buffered_bytes / bytes_per_ms;
}

size_t hs_memory_find_slowest_reader(const hs_memory_reader *readers, size_t count) {
    size_t slowest = count;
    for (size_t index = 0; index < count; index++) {
        if (readers[index].buffered_bytes == 0)
            continue;
        if (slowest == count ||
            estimate_drain_ms(&readers[index]) > estimate_drain_ms(&readers[slowest]))
            slowest = index;
    }
    return slowest;
}
