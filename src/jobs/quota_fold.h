/**
 * @file quota_fold.h
 * The fold of the quota log: unfinished tokens of limited routes, and reservations of jobs. Not
 * thread-safe.
 *
 * Partition owners report their open jobs from time to time (a level). A reservation counts until a
 * level of its partition includes the job, until its submission is released, or until a level of
 * its partition is read so much later that the job cannot have been stored. Daemons that read the
 * same prefix of the log have the same fold, except for reservations that expired by this time.
 */
#ifndef HS_JOBS_QUOTA_FOLD_H
#define HS_JOBS_QUOTA_FOLD_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** Tokens reserved by a submission. */
typedef struct {
    char *job_id;
    char *route;
    uint64_t submission;
    uint64_t tokens;
    uint32_t partition;
    uint64_t offset;  /**< Offset in the log. */
    uint64_t read_ms; /**< Monotonic time at which this daemon read it. */
} hs_quota_reservation;

typedef struct hs_quota_fold hs_quota_fold;

/** Records of partitions from @p partition_count on count as malformed. */
hs_quota_fold *hs_quota_fold_new(uint32_t partition_count);
void hs_quota_fold_free(hs_quota_fold *fold);

/**
 * Applies the record at @p offset, read at @p now_ms. False: the record is malformed or of unknown
 * kind, and only the next offset has changed.
 */
bool hs_quota_fold_apply(hs_quota_fold *fold, uint64_t offset, const uint8_t *bytes, size_t length,
                         uint64_t now_ms);

/** Returns the offset of the next record to apply. */
uint64_t hs_quota_fold_next(const hs_quota_fold *fold);

/** Continues at @p offset after the log has dropped the records before it. */
void hs_quota_fold_skip_to(hs_quota_fold *fold, uint64_t offset);

/** Returns the unfinished tokens of @p route by the latest levels of all partitions. */
uint64_t hs_quota_fold_unfinished(const hs_quota_fold *fold, const char *route);

/**
 * Returns the tokens reserved on @p route before @p offset by jobs other than @p job_id. A job
 * submitted several times counts once.
 */
uint64_t hs_quota_fold_reserved(const hs_quota_fold *fold, const char *route, const char *job_id,
                                uint64_t offset);

/** Recently finished tokens. */
typedef struct {
    uint64_t tokens;
    uint64_t observed_ms; /**< Time in which they were finished; 0: nothing was observed. */
} hs_quota_drain;

/**
 * Returns the tokens of @p route that levels show as finished, with exponential decay. As tokens
 * added between two levels hide finished ones, this is a lower bound.
 */
hs_quota_drain hs_quota_fold_drain(const hs_quota_fold *fold, const char *route, uint64_t now_ms);

#endif
