/**
 * @file quota_fold.h
 * The fold of the admission log: what is unfinished under routes with a limit, and which jobs have
 * reserved room. Pure.
 *
 * Owners of partitions tell their open jobs now and then (a level). A reservation counts until a
 * level of its partition has its job, until its submission was released, or until its partition
 * told a level so much later that the job was never stored. Two daemons that read one prefix hold
 * the same fold but for that time.
 */
#ifndef HS_JOBS_QUOTA_FOLD_H
#define HS_JOBS_QUOTA_FOLD_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** Room that a submission has reserved. */
typedef struct {
    char *job_id;
    char *route;
    uint64_t submission;
    uint64_t tokens;
    uint32_t partition;
    uint64_t offset;  /**< Its place in the log. */
    uint64_t seen_ms; /**< Monotonic time at which this daemon read it. */
} hs_quota_reservation;

typedef struct hs_quota_fold hs_quota_fold;

hs_quota_fold *hs_quota_fold_new(void);
void hs_quota_fold_free(hs_quota_fold *fold);

/** Apply the record at @p offset, read at @p now_ms. False: malformed; it changes nothing. */
bool hs_quota_fold_apply(hs_quota_fold *fold, uint64_t offset, const uint8_t *bytes, size_t length,
                         uint64_t now_ms);

/** Offset of the next record to apply. */
uint64_t hs_quota_fold_next(const hs_quota_fold *fold);

/** Records before @p offset are gone: go on there. */
void hs_quota_fold_skip_to(hs_quota_fold *fold, uint64_t offset);

/** Tokens of @p route that are unfinished by the levels told last. */
uint64_t hs_quota_fold_unfinished(const hs_quota_fold *fold, const char *route);

/**
 * Tokens reserved on @p route before @p offset by jobs other than @p job_id; each job counts once,
 * however often it was submitted.
 */
uint64_t hs_quota_fold_reserved(const hs_quota_fold *fold, const char *route, const char *job_id,
                                uint64_t offset);

/** Tokens that were finished of late. */
typedef struct {
    uint64_t tokens;
    uint64_t observed_ms; /**< In how long; 0: nothing was seen. */
} hs_quota_drain;

/**
 * What levels showed to be finished on @p route; older ends fade. A level that grew shows nothing,
 * so it is rather less than what was finished.
 */
hs_quota_drain hs_quota_fold_drain(const hs_quota_fold *fold, const char *route, uint64_t now_ms);

#endif
