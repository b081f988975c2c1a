/**
 * @file scheduler_state.h
 * State and internal functions of the scheduler; included by the scheduler's files only. The
 * functions run on the scheduler's thread unless stated otherwise.
 */
#ifndef HS_SCHEDULING_SCHEDULER_STATE_H
#define HS_SCHEDULING_SCHEDULER_STATE_H

#include "base/ring.h"
#include "scheduling/engine_slot.h"
#include "scheduling/scheduler.h"

#include <netinet/in.h>

typedef enum {
    EVENT_NOTICE,      /**< An edge reported its online requests on an engine. */
    EVENT_GRANTS,      /**< A partition owner granted items. */
    EVENT_REVOKE,      /**< A partition owner revoked grants. */
    EVENT_CONFIRM,     /**< A partition owner allowed items of grants to start. */
    EVENT_ENGINE_FREE, /**< An item no longer occupies a slot of its engine. */
    EVENT_ITEM_END,    /**< An item's run ended. */
} event_kind;

typedef struct {
    event_kind kind;
    Hs__PeerMessage *message; /**< Copy; freed with the event. NULL for item events. */
    struct sockaddr_in from;
    hs_batch_item *item;
    hs_item_end end;
} scheduler_event;

/** Versions of the inputs of the assignment of engines to schedulers. */
typedef struct {
    uint64_t live_version;
    uint64_t engines_version;
    uint64_t config_offset;
} assignment_versions;

struct hs_scheduler {
    hs_scheduler_context context;
    hs_pacing_settings pacing;
    hs_ring *events;
    GThreadPool *runners;
    GThread *thread;
    gint draining;
    gint stopping;

    /* Owned by the scheduler's thread. */
    GHashTable *engines; /**< engine id -> hs_batch_engine */
    GPtrArray *queued;   /**< of hs_batch_item*: a subset of items, borrowed */
    uint32_t item_count; /**< Queued and running items; atomic, read by other threads. */
    assignment_versions assigned_versions; /**< Inputs of the current assignment. */
    uint64_t next_assign_ms;
    uint64_t next_pull_ms;
    uint64_t next_renew_ms;
    uint64_t pull_sequence;
    GPtrArray *items; /**< of hs_batch_item*: queued and running; owned */

    GMutex counter_lock;
    GArray *scheduled; /**< of hs_scheduled_engine; guarded by counter_lock */
    hs_scheduler_counters counters;
};

/** Adds to a counter that other threads read. */
#define COUNT(scheduler, field, amount)                                                            \
    do {                                                                                           \
        g_mutex_lock(&(scheduler)->counter_lock);                                                  \
        (scheduler)->counters.field += (amount);                                                   \
        g_mutex_unlock(&(scheduler)->counter_lock);                                                \
    } while (0)

/**
 * Updates the engines scheduled by this daemon from the membership, the engine table and the
 * configuration (scheduler_engines.c).
 */
void hs_scheduler_assign_engines(hs_scheduler *scheduler, uint64_t now_ms);

/**
 * Cancels the newest items above the engine's limit; run-once items are never cancelled
 * (scheduler_items.c).
 */
void hs_scheduler_preempt_excess(hs_scheduler *scheduler, hs_batch_engine *engine, uint64_t now_ms);

/** Starts queued items on engines with free slots, and drops items of revoked grants. */
void hs_scheduler_start_items(hs_scheduler *scheduler, uint64_t now_ms);

/** Removes an item that is not queued from the scheduler and frees the item. */
void hs_scheduler_remove_item(hs_scheduler *scheduler, hs_batch_item *item);

/** Runs an item; called on a worker thread by the thread pool. */
void hs_scheduler_run_item(gpointer item, gpointer scheduler);

/** Requests items from one partition owner if slots are free (scheduler_pull.c). */
void hs_scheduler_pull_items(hs_scheduler *scheduler, uint64_t now_ms);

/** Renews the grants of all items, three times per lease. */
void hs_scheduler_renew_grants(hs_scheduler *scheduler, uint64_t now_ms);

#endif
