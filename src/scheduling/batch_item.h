/** @file batch_item.h  Granted batch items as the scheduler holds them. */
#ifndef HS_SCHEDULING_BATCH_ITEM_H
#define HS_SCHEDULING_BATCH_ITEM_H

#include "batch/item_runner.h"
#include "gen/peer.pb-c.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** A grant, shared by its items by reference count. */
typedef struct {
    uint32_t partition;
    uint32_t epoch;
    uint64_t grant_id;
    uint64_t incarnation; /**< Ours when the grant was taken. */
    char *job_id;
    char *model;
    char *endpoint;
    uint64_t chunk_offset;
    uint32_t chunk_first_item;
    bool run_once;
    gint revoked;
    char *owner_id;
} hs_held_grant;

/** QUEUED -> RUNNING by the scheduler; RUNNING -> QUEUED when it must run again. */
typedef enum { HS_ITEM_QUEUED, HS_ITEM_RUNNING } hs_batch_item_state;

typedef struct {
    hs_held_grant *grant;
    uint32_t item;
    uint32_t tries;
    uint32_t failures; /**< Runs that came back without a result, stepping aside left out. */
    char attempt_id[96];
    char engine_id[64];
    char engine_url[64];
    hs_item_progress progress; /**< Tokens of a run that stepped aside. */
    hs_batch_item_state state;
    bool on_engine;      /**< Counts against the engine's batch. */
    bool stepping_aside; /**< A cancel was sent to the engine. */
    uint64_t started_ms;
    uint64_t not_before_ms;
} hs_batch_item;

hs_held_grant *hs_held_grant_new(const Hs__Grant *message, const char *owner_id,
                                 uint64_t incarnation);
hs_held_grant *hs_held_grant_acquire(hs_held_grant *grant);
void hs_held_grant_release(hs_held_grant *grant);

/** An item of @p grant; takes a reference. Free with hs_batch_item_free. */
hs_batch_item *hs_batch_item_new(hs_held_grant *grant, uint32_t item);
void hs_batch_item_free(hs_batch_item *item);

/**
 * Give the item an identity for its next attempt on @p engine_url. A run-once item keeps its first,
 * and one that goes on where it stopped keeps the one its engine knows.
 */
void hs_batch_item_name_attempt(hs_batch_item *item, const char *daemon_id, const char *engine_url);

#endif
