/**
 * @file result_page.h
 * Pages of a job's results, and which of them may be given as an answer. Pure.
 *
 * A fold that is behind lacks results, also those of a job that it shows as ended: an end may be
 * applied ahead of other records (see hs_job_state_end_early). What such a fold has is right, but
 * it does not show that there is nothing more.
 */
#ifndef HS_JOBS_RESULT_PAGE_H
#define HS_JOBS_RESULT_PAGE_H

#include "jobs/job_state.h"

/** How complete a fold is known to be. */
typedef enum {
    HS_FOLD_STALE,    /**< Records may be missing. */
    HS_FOLD_RECENT,   /**< Only records of the last HS_JOB_MAX_FOLD_AGE_MS may be missing. */
    HS_FOLD_COMPLETE, /**< The log was read to its end for this request. */
} hs_fold_knowledge;

/** A page of results. */
typedef struct {
    char *text; /**< NULL: the job is unknown, or the first result unreadable. Freed with g_free. */
    size_t count;
    bool is_unreadable; /**< The result at the requested position can't be written. */
    bool is_final;      /**< All items have a result, so that no later record changes the page. */
    bool is_ended;      /**< The job has ended; further results may follow. */
    bool is_beyond;     /**< The requested position is past the last result. */
} hs_result_page;

/**
 * Returns the highest memory in bytes that the page of @p job from @p position on takes while it is
 * built and sent; 0: it has no results. @p job: NULL if unknown.
 */
uint64_t hs_result_page_measure(const hs_job *job, uint64_t position);

/**
 * Builds the page of @p job from @p position on; it ends before a stored result that can't be
 * written. @p job: NULL if unknown.
 */
hs_result_page hs_result_page_build(const hs_job *job, uint64_t position);

/** Returns whether the page holds, whatever records a fold of this kind lacks. */
bool hs_result_page_is_definite(const hs_result_page *page, hs_fold_knowledge fold);

/** Returns whether a caller that waits for a result gets the page at once. */
bool hs_result_page_is_ready(const hs_result_page *page);

/** A page that a partition's owner returned to another daemon. */
typedef struct {
    const void *bytes; /**< As sent to callers; borrowed. */
    size_t length;
    uint64_t position;      /**< The requested position. */
    uint64_t known_results; /**< Of the job in the fold of the daemon that asked. */
    bool states_fold_age;   /**< See HS_PEER_FOLD_AGE_FIELD. */
    bool was_held; /**< It came after the whole wait that the caller allows, which is not 0. */
} hs_owner_page;

/**
 * Returns whether the owner's page may be passed on. A page without results may not if the daemon
 * that asked knows one, nor if an earlier build may have given it from a stale fold: such a build
 * does so for ended jobs, at once.
 */
bool hs_owner_page_is_definite(const hs_owner_page *page);

#endif
