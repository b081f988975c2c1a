/**
 * @file item_runner.h
 * Runs a batch item on an engine and records the result in the log. The functions block and may be
 * called by several threads at once.
 *
 * An ordinary item may run several times, but only one result counts. A run-once item is sent only
 * after its intent has been read back from the log as the valid one, and is not sent again once an
 * engine may have received the request. The outcome is then recovered by resuming the attempt, or
 * recorded as indeterminate.
 */
#ifndef HS_BATCH_ITEM_RUNNER_H
#define HS_BATCH_ITEM_RUNNER_H

#include "batch/chunk_reader.h"
#include "batch/replica_set.h"
#include "engine/whole_answer.h"
#include "store/appender.h"

/** Priority of batch items in requests to engines. */
#define HS_BATCH_PRIORITY 10

/** Context of the runner. All pointers are borrowed and must outlive it. */
typedef struct {
    hs_appender *appender;
    hs_replica_set *replicas;
    hs_chunk_reader *chunks;
    uint32_t run_once_recovery_ms;
    uint32_t item_timeout_s; /**< Limit of one exchange with an engine. */
    gint stopping; /**< Atomic. Not 0 if the process stops: waiting ends without a result. */
} hs_item_runner;

/** Tokens received of a preempted item, so that the run can be resumed on the same engine. */
typedef struct {
    bool started;   /**< @c answer is initialised. */
    bool resumable; /**< The item was preempted at @c next_token on @c engine_url. */
    char engine_url[64];
    uint32_t next_token;
    hs_response_builder answer;
} hs_item_progress;

/** Frees the content and resets the progress. */
void hs_item_progress_clear(hs_item_progress *progress);

/** An attempt to run an item on an engine. Strings are borrowed. */
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
    const gint *revoked; /**< Atomic. Not 0 if the grant was revoked. */
    /** Monotonic time from which an ordinary item is not sent; NULL: none. */
    const _Atomic uint64_t *start_until_ms;
    hs_item_progress *progress; /**< In and out; owned by the caller, passed to the next run. */
} hs_item_work;

typedef enum {
    HS_ITEM_RECORDED,     /**< The item has a result in the log. */
    HS_ITEM_RETRY,        /**< Run the item again, with a new attempt. */
    HS_ITEM_OTHER_ENGINE, /**< Run-once item not sent or refused: retry the attempt elsewhere. */
    HS_ITEM_HELD,         /**< Not sent: the owner has not confirmed the grant in time. */
    HS_ITEM_DROPPED, /**< Grant revoked, another intent valid or process stopping: do not retry. */
} hs_item_end;

/**
 * Runs the item. Calls @p on_engine_free exactly once, before the result is recorded, when the
 * engine's slot can be reused.
 */
hs_item_end hs_item_run(hs_item_runner *runner, const hs_item_work *work,
                        void (*on_engine_free)(void *user_data), void *user_data);

/**
 * Resumes a run-once attempt at its engine and records the outcome. A partition's owner calls this
 * function for attempts without a live scheduler. Records an unknown outcome as indeterminate if
 * @p may_be_lost is set or the run was cancelled, else leaves the attempt open. Returns whether an
 * outcome was recorded.
 */
bool hs_item_recover(hs_item_runner *runner, const hs_item_work *work, bool may_be_lost);

#endif
