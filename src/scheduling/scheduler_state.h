/**
 * @file scheduler_state.h
 * The scheduler's state and its parts; included by the scheduler's own files alone.
 *
 * All functions here run on the scheduler's thread unless they say otherwise.
 */
#ifndef HS_SCHEDULING_SCHEDULER_STATE_H
#define HS_SCHEDULING_SCHEDULER_STATE_H

#include "base/ring.h"
#include "scheduling/engine_slot.h"
#include "scheduling/scheduler.h"

#include <netinet/in.h>

typedef enum {
    EVENT_NOTICE,      /**< An edge counts its online requests on an engine. */
    EVENT_GRANTS,      /**< An owner handed out items. */
    EVENT_REVOKE,      /**< An owner took grants back. */
    EVENT_ENGINE_FREE, /**< An item no longer occupies its engine. */
    EVENT_ITEM_END,    /**< An item's run is over. */
} event_kind;

typedef struct {
    event_kind kind;
    Hs__PeerMessage *message; /**< Copy; freed with the event. NULL for item events. */
    struct sockaddr_in from;
    hs_batch_item *item;
    hs_item_end end;
} scheduler_event;

/** Versions of all that an assignment of engines depends on. */
typedef struct {
    uint64_t live_version;
    uint64_t engines_version;
    uint64_t config_offset;
} assignment_basis;

struct hs_scheduler {
    hs_scheduler_context context;
    hs_pacing_settings pacing;
    hs_ring *events;
    GThreadPool *runners;
    GThread *thread;
    gint draining;
    gint stopping;

    /* Of the scheduler's thread alone. */
    GHashTable *slots;   /**< engine id -> hs_engine_slot */
    GPtrArray *queued;   /**< of hs_batch_item*, owned */
    uint32_t item_count; /**< Items queued or running. */
    assignment_basis basis;
    uint64_t next_assign_ms;
    uint64_t next_pull_ms;
    uint64_t next_renew_ms;
    uint64_t pull_sequence;
    GPtrArray *items; /**< of hs_batch_item*: all, queued and running; borrowed */

    GMutex counter_lock;
    GArray *scheduled; /**< of hs_scheduled_engine; for other threads */
    hs_scheduler_counters counters;
};

/** Add to a counter that other threads read. */
#define COUNT(scheduler, field, amount)                                                            \
    do {                                                                                           \
        g_mutex_lock(&(scheduler)->counter_lock);                                                  \
        (scheduler)->counters.field += (amount);                                                   \
        g_mutex_unlock(&(scheduler)->counter_lock);                                                \
    } while (0)

/** Which engines are ours, from membership, list and configuration (scheduler_engines.c). */
void hs_scheduler_assign_engines(hs_scheduler *scheduler, uint64_t now_ms);

/** Cancel the newest items above the engine's limit (scheduler_items.c). */
void hs_scheduler_step_aside(hs_scheduler *scheduler, hs_engine_slot *slot, uint64_t now_ms);

/** Start queued items where there is room. */
void hs_scheduler_start_items(hs_scheduler *scheduler, uint64_t now_ms);

/** Take an item out of the scheduler for good. */
void hs_scheduler_forget_item(hs_scheduler *scheduler, hs_batch_item *item);

/** Runs an item on a worker thread; given to the thread pool. */
void hs_scheduler_run_item(gpointer item, gpointer scheduler);

/** Ask an owner for items when there is room (scheduler_pull.c). */
void hs_scheduler_pull_items(hs_scheduler *scheduler, uint64_t now_ms);

/** Keep the grants of all our items alive. */
void hs_scheduler_renew_grants(hs_scheduler *scheduler, uint64_t now_ms);

#endif
