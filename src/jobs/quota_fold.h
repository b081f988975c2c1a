/**
 * @file quota_fold.h
 * The fold of the admission log: which jobs have reserved room under their route's limit. Pure.
 *
 * A reservation counts until its job is found in its partition (then the partition's own fold
 * counts it), until its submission was released, or until it is known that its job was never
 * stored. Two daemons that read one prefix hold the same reservations.
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

/** Whether records were gone before they could be applied. */
bool hs_quota_fold_has_gap(const hs_quota_fold *fold);

/** Tells whether a reservation counts no longer. */
typedef bool (*hs_quota_is_settled)(const hs_quota_reservation *reservation, void *user_data);

/** Forget the reservations that @p is_settled names. */
void hs_quota_fold_settle(hs_quota_fold *fold, hs_quota_is_settled is_settled, void *user_data);

/**
 * Tokens reserved on @p route before @p offset by jobs other than @p job_id; each job counts once,
 * however often it was submitted.
 */
uint64_t hs_quota_fold_reserved(const hs_quota_fold *fold, const char *route, const char *job_id,
                                uint64_t offset);

/** Reservations that count, for logs. */
uint32_t hs_quota_fold_count(const hs_quota_fold *fold);

#endif
