/**
 * @file memory_mark.h
 * Rules for memory that a daemon buffers for callers and engines: levels of use, and what is
 * refused or dropped at each level, so that slow readers cannot exhaust the machine's memory. Pure
 * functions: thread-safe, without state.
 */
#ifndef HS_BASE_MEMORY_MARK_H
#define HS_BASE_MEMORY_MARK_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Levels of use of the budget. */
typedef enum {
    HS_MEMORY_NORMAL,   /**< No restrictions. */
    HS_MEMORY_LOW,      /**< From 75 %: new work is refused. */
    HS_MEMORY_CRITICAL, /**< From 90 %: streams are dropped, that of the slowest reader first. */
} hs_memory_level;

/** The kind of work that requests memory. */
typedef enum {
    HS_MEMORY_FOR_NEW_WORK,     /**< May use the budget up to HS_MEMORY_LOW. */
    HS_MEMORY_FOR_STARTED_WORK, /**< May use the whole budget. */
} hs_memory_requester;

/** A caller that reads a stream. */
typedef struct {
    uint64_t buffered_bytes; /**< Bytes that the caller has not read yet. */
    uint64_t consumed_bytes; /**< Bytes that the caller has read. */
    uint64_t open_ms;        /**< Time since the stream started. */
} hs_memory_reader;

/**
 * Returns the budget in bytes on a machine with @p memory_mb. The rest of the memory is left to the
 * program, its threads and the buffers that are not charged. Returns 0, no limit, if @p memory_mb
 * is 0 (unknown).
 */
uint64_t hs_memory_budget_for_machine(uint32_t memory_mb);

/** Returns the name of a level for logs; a static string. */
const char *hs_memory_level_name(hs_memory_level level);

/** Returns the level of @p charged bytes of @p budget; HS_MEMORY_NORMAL if @p budget is 0. */
hs_memory_level hs_memory_level_at(uint64_t budget, uint64_t charged);

/** Returns whether @p more bytes may be charged on top of @p charged; true if @p budget is 0. */
bool hs_memory_can_charge(uint64_t budget, uint64_t charged, uint64_t more,
                          hs_memory_requester requester);

/** Returns the used percentage (0 to 100) of what new work may use; 0 if @p budget is 0. */
uint32_t hs_memory_used_percent_at(uint64_t budget, uint64_t charged);

/** Returns the allocation size of a growing array of @p length bytes: the next power of two. */
size_t hs_memory_block_bytes(size_t length);

/**
 * Returns the index of the reader that needs the longest for the bytes it has not read yet, at its
 * mean speed so far. Returns @p count if there is nothing to read for any reader.
 */
size_t hs_memory_find_slowest_reader(const hs_memory_reader *readers, size_t count);

#endif
