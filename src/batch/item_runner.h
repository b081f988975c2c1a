/**
 * @file item_runner.h
 * Runs one batch item on one engine and records its result. Blocks; runs on a worker thread.
 *
 * An ordinary item may run again after a failure: only its result is single. A run-once item is
 * dispatched only after its intent was read back from the log as the valid one, and never again
 * once a byte may have reached an engine; its outcome is then recovered by resuming the attempt,
 * or recorded as indeterminate.
 */
#ifndef HS_BATCH_ITEM_RUNNER_H
#define HS_BATCH_ITEM_RUNNER_H

#include "batch/chunk_reader.h"
#include "batch/replica_set.h"
#include "engine/whole_answer.h"
#include "store/appender.h"

#define HS_BATCH_PRIORITY 10

/** What the runner works with; borrowed for its lifetime. */
typedef struct {
    hs_appender *appender;
    hs_replica_set *replicas;
    hs_chunk_reader *chunks;
    uint32_t run_once_recovery_ms;
    uint32_t item_timeout_s; /**< Limit of one exchange with an engine. */
    gint stopping;           /**< Not 0: give up waiting, the process ends. */
} hs_item_runner;

/** Tokens of an item that stepped aside, so that its engine can go on where it stopped. */
typedef struct {
    bool started; /**< The answer is initialised. */
    bool resumable;
    char engine_url[64];
    uint32_t next_token;
    hs_whole_answer answer;
} hs_item_progress;

/** Free what the progress holds. */
void hs_item_progress_clear(hs_item_progress *progress);

/** One item to run, and where. */
typedef struct {
    uint32_t partition;
    uint32_t epoch;
    const char *job_id;
    const char *endpoint;
    uint64_t chunk_offset;
    uint32_t index_in_chunk;
    uint32_t item;
    bool run_once;
    const char *attempt_id;
    const char *engine_url;
    const gint *revoked;        /**< Not 0: the grant no longer stands. */
    hs_item_progress *progress; /**< In and out; kept by the caller between runs. */
} hs_item_work;

typedef enum {
    HS_ITEM_RECORDED, /**< Its result is in the log (or somebody else's was first). */
    HS_ITEM_AGAIN,    /**< To be run again, under a new attempt. */
    HS_ITEM_MOVE,     /**< Run-once, refused as not run: the same attempt goes elsewhere. */
    HS_ITEM_DROPPED,  /**< Not ours to run. */
} hs_item_end;

/**
 * Run the item. @p on_engine_free runs once the engine no longer works on it, before the result
 * is recorded.
 */
hs_item_end hs_item_run(hs_item_runner *runner, const hs_item_work *work,
                        void (*on_engine_free)(void *user_data), void *user_data);

/**
 * Find out how a run-once attempt ended, by resuming it at its engine, and record it. Used by a
 * partition's owner for attempts whose scheduler is gone. @p may_be_lost: its engine was silent
 * for too long, so that an unknown outcome is recorded as indeterminate.
 * @return true when a result was recorded.
 */
bool hs_item_recover(hs_item_runner *runner, const hs_item_work *work, bool may_be_lost);

#endif
