/**
 * @file memory_mark.h
 * What a daemon does with the memory that it keeps for others, by how much of it is taken. Pure.
 *
 * Answers the load of callers and engines that read slowly: what is kept for them grows with their
 * number, and a process that outgrows its machine is killed with all its requests.
 */
#ifndef HS_BASE_MEMORY_MARK_H
#define HS_BASE_MEMORY_MARK_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** How much of the budget is taken. */
typedef enum {
    HS_MEMORY_AMPLE,    /**< All is served. */
    HS_MEMORY_SHORT,    /**< From three quarters: no new work that may be refused. */
    HS_MEMORY_CRITICAL, /**< From nine tenths: the slowest reader loses its stream. */
} hs_memory_mark;

/** Who asks for memory. */
typedef enum {
    HS_MEMORY_OF_NEW_WORK,  /**< May be refused: it gets none that would take the rest short. */
    HS_MEMORY_OF_OPEN_WORK, /**< Is under way: it gets all of the budget. */
} hs_memory_claim;

/** A caller that has bytes to read. */
typedef struct {
    uint64_t held_bytes;  /**< Kept for it. */
    uint64_t taken_bytes; /**< It has taken so far, */
    uint64_t open_ms;     /**< in this time. */
} hs_memory_reader;

/**
 * Bytes that may be kept for others on a machine of @p memory_mb; 0: not told, no budget. The rest
 * is the program's own: itself, and threads and buffers of requests that nobody holds up.
 */
uint64_t hs_memory_budget_of_machine(uint32_t memory_mb);

/** Name of a mark, for logs. */
const char *hs_memory_mark_name(hs_memory_mark mark);

/** The mark at which @p charged bytes of @p budget stand; ample without a budget. */
hs_memory_mark hs_memory_mark_at(uint64_t budget, uint64_t charged);

/** Whether @p more bytes may be taken beside @p charged of @p budget (0: always). */
bool hs_memory_may_take(uint64_t budget, uint64_t charged, uint64_t more, hs_memory_claim claim);

/** Part in percent of what new work may take that is taken; 0 without a budget. */
uint32_t hs_memory_taken_percent_at(uint64_t budget, uint64_t charged);

/** Bytes that a growing array of @p length holds: the next power of two. */
size_t hs_memory_block_bytes(size_t length);

/**
 * The reader that is slowest for what is held for it: the one that would need the longest to take
 * it. @p count where nothing is held for any.
 */
size_t hs_memory_slowest_reader(const hs_memory_reader *readers, size_t count);

#endif
