/** @file memory_mark.c  See memory_mark.h. */
#include "base/memory_mark.h"

/** Memory of a daemon without requests, in MB. */
#define PROGRAM_MB 24
#define BYTES_PER_MB (1024ULL * 1024)
/** One part in this many of the rest is the budget: requests that nobody holds up take as much
 * again, and freed memory does not all go back to the machine. */
#define REST_PARTS 2
/** A machine that is too small for its program still passes requests on, in bytes. */
#define BUDGET_LEAST BYTES_PER_MB
/** Parts of the budget in percent from which memory is short, and critical: between the two only
 * new work is refused, which costs less than a stream that is lost. */
#define SHORT_PERCENT 75
#define CRITICAL_PERCENT 90

static uint64_t part_of(uint64_t budget, uint32_t percent) {
    return budget / 100 * percent + budget % 100 * percent / 100;
}

uint64_t hs_memory_budget_of_machine(uint32_t memory_mb) {
    if (memory_mb == 0)
        return 0;
    uint64_t rest_mb = memory_mb > PROGRAM_MB ? memory_mb - PROGRAM_MB : 0;
    uint64_t budget = rest_mb * BYTES_PER_MB / REST_PARTS;
    return budget > BUDGET_LEAST ? budget : BUDGET_LEAST;
}

const char *hs_memory_mark_name(hs_memory_mark mark) {
    static const char *const names[] = {[HS_MEMORY_AMPLE] = "ample",
                                        [HS_MEMORY_SHORT] = "short",
                                        [HS_MEMORY_CRITICAL] = "critical"};
    return names[mark];
}

hs_memory_mark hs_memory_mark_at(uint64_t budget, uint64_t charged) {
    if (budget == 0 || charged < part_of(budget, SHORT_PERCENT))
        return HS_MEMORY_AMPLE;
    return charged < part_of(budget, CRITICAL_PERCENT) ? HS_MEMORY_SHORT : HS_MEMORY_CRITICAL;
}

bool hs_memory_may_take(uint64_t budget, uint64_t charged, uint64_t more, hs_memory_claim claim) {
    uint64_t most = claim == HS_MEMORY_OF_NEW_WORK ? part_of(budget, SHORT_PERCENT) : budget;
    return budget == 0 || (charged <= most && more <= most - charged);
}

uint32_t hs_memory_taken_percent_at(uint64_t budget, uint64_t charged) {
    uint64_t most = part_of(budget, SHORT_PERCENT);
    if (budget == 0)
        return 0;
    return charged >= most ? 100 : (uint32_t)(100 * charged / most);
}

size_t hs_memory_block_bytes(size_t length) {
    size_t block = length > 0 ? 1 : 0;
    while (block < length)
        block *= 2;
    return block;
}

/** Time in ms that a reader needs for what is held for it, at its speed so far. */
static double left_ms(const hs_memory_reader *reader) {
    double taken_a_ms = (double)(reader->taken_bytes + 1) / (double)(reader->open_ms + 1);
    return (double)reader->held_bytes / taken_a_ms;
}

size_t hs_memory_slowest_reader(const hs_memory_reader *readers, size_t count) {
    size_t slowest = count;
    for (size_t index = 0; index < count; index++) {
        if (readers[index].held_bytes == 0)
            continue;
        if (slowest == count || left_ms(&readers[index]) > left_ms(&readers[slowest]))
            slowest = index;
    }
    return slowest;
}
