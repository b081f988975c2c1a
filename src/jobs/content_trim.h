/**
 * @file content_trim.h
 * Decides up to which offset the contents of a partition's items may be trimmed. Pure and not
 * thread-safe.
 *
 * Contents are stored before the manifest that refers to them, and the manifests of two jobs may
 * reach the log in the other order than their contents. The first content that an open job needs is
 * therefore noted, and trimmed to only after a time that covers the appends that were under way,
 * and never past what open jobs need at the moment of the trim.
 */
#ifndef HS_JOBS_CONTENT_TRIM_H
#define HS_JOBS_CONTENT_TRIM_H

#include <stdbool.h>
#include <stdint.h>

/**
 * Time in ms between a note and a trim up to it: a submission's limit, and the time for which the
 * store may still carry out an append that it has not answered.
 */
#define HS_CONTENT_TRIM_AGE_MS 30000

/** Trims of one partition by one daemon; zero-initialise. */
typedef struct {
    bool is_noted;
    uint64_t noted;      /**< First needed content when it was noted. */
    uint64_t read_ms;    /**< Time since then for which the fold was kept complete. */
    uint64_t trimmed_to; /**< The store has confirmed a trim up to this offset. */
} hs_content_trim;

/**
 * Adds the time from @p from_ms to @p to_ms, both times at which the fold was complete. A longer
 * gap counts only in part, since the store may have been away and hold appends back.
 */
void hs_content_trim_add_read_time(hs_content_trim *trim, uint64_t from_ms, uint64_t to_ms);

/** Returns whether the next call of hs_content_trim_next notes the first needed content. */
bool hs_content_trim_is_note_due(const hs_content_trim *trim);

/**
 * Returns the offset before which contents may be trimmed now, or 0 for none, and notes the first
 * needed one if a note is due. @p first_needed: of open jobs; UINT64_MAX: none.
 */
uint64_t hs_content_trim_next(hs_content_trim *trim, uint64_t first_needed);

/** Records a trim that the store has confirmed. */
void hs_content_trim_confirm(hs_content_trim *trim, uint64_t target);

#endif
