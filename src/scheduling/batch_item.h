/**
 * @file batch_item.h
 * Batch items that partition owners granted to this daemon's scheduler. The functions take no
 * locks; only the reference count of a grant, its `revoked` flag and `start_until_ms` are atomic.
 */
#ifndef HS_SCHEDULING_BATCH_ITEM_H
#define HS_SCHEDULING_BATCH_ITEM_H

#include "batch/item_runner.h"
#include "gen/peer.pb-c.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** A grant of consecutive items of one job; its items share the grant by reference count. */
typedef struct {
    uint32_t partition;
    uint32_t epoch;
    uint64_t grant_id;
    uint64_t incarnation; /**< This daemon's incarnation when the grant arrived. */
    char *job_id;
    char *model;
    char *endpoint;
    uint64_t chunk_offset;
    uint32_t chunk_first_item;
    bool run_once;
    gint revoked;                    /**< Atomic; not 0 after the owner has revoked the grant. */
    _Atomic uint64_t start_until_ms; /**< Monotonic time from which its items must not start. */
    char *owner_id;
} hs_held_grant;

/** A running item returns to QUEUED if it must run again. */
typedef enum { HS_ITEM_QUEUED, HS_ITEM_RUNNING } hs_batch_item_state;

typedef struct {
    hs_held_grant *grant;
    uint32_t item;          /**< Index of the item in its job. */
    uint32_t attempt_count; /**< Attempt ids assigned so far. */
    uint32_t failures;      /**< Runs without a result, except preempted ones. */
    char attempt_id[96];
    char engine_id[64];
    char engine_url[64];
    hs_item_progress progress; /**< Tokens of a preempted run. */
    hs_batch_item_state state;
    bool on_engine; /**< Occupies a slot of its engine. */
    bool preempted; /**< The scheduler cancelled the current run for online requests. */
    uint64_t started_ms;
    uint64_t not_before_ms; /**< Earliest time of the next start. */
} hs_batch_item;

/**
 * Returns a grant with one reference, for the caller; copies the strings of @p message, which
 * answers a request sent at @p sent_ms.
 */
hs_held_grant *hs_held_grant_new(const Hs__Grant *message, const char *owner_id,
                                 uint64_t incarnation, uint64_t sent_ms);
/** Allows starts until @p start_until_ms, unless the owner allowed them for longer before. */
void hs_held_grant_confirm(hs_held_grant *grant, uint64_t start_until_ms);
/** Whether the grant's items may start as far as the owner's confirmations go. */
bool hs_held_grant_may_start(const hs_held_grant *grant, uint64_t now_ms);
hs_held_grant *hs_held_grant_acquire(hs_held_grant *grant);
void hs_held_grant_release(hs_held_grant *grant);

/** Returns a queued item that holds a reference to @p grant. Free with hs_batch_item_free. */
hs_batch_item *hs_batch_item_new(hs_held_grant *grant, uint32_t item);
void hs_batch_item_free(hs_batch_item *item);

/**
 * Assigns the attempt id of the item's next run on @p engine_url. A run-once item keeps its first
 * id; an item that resumes a run on the same engine keeps the id of that run.
 */
void hs_batch_item_assign_attempt_id(hs_batch_item *item, const char *daemon_id,
                                     const char *engine_url);

#endif
