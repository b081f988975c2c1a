/**
 * @file job_contents.h
 * The contents of a job's items, packed and framed as the bodies of the calls that store them. A
 * content exists in this form only, so that a job that waits for the store takes little memory. Not
 * thread-safe.
 */
#ifndef HS_JOBS_JOB_CONTENTS_H
#define HS_JOBS_JOB_CONTENTS_H

#include "gen/job.pb-c.h"

#include <glib.h>
#include <stddef.h>
#include <stdint.h>

/** Where an item's content is stored. */
typedef struct {
    guint call;        /**< Index of the call with all records of the content. */
    uint64_t position; /**< Of its first record among those of the call. */
    uint32_t bytes;    /**< Length of the packed content. */
} hs_content_place;

typedef struct {
    GPtrArray *calls;    /**< Framed records of each call, of GByteArray*. */
    GArray *places;      /**< Of the items in their order, of hs_content_place. */
    uint64_t records;    /**< In the last call. */
    size_t record_bytes; /**< Maximum of a record. */
    size_t call_bytes;   /**< Maximum of a call, unless one content is larger. */
} hs_job_contents;

hs_job_contents *hs_job_contents_new(size_t record_bytes, size_t call_bytes);

/** NULL is allowed. */
void hs_job_contents_free(hs_job_contents *contents);

/** Adds the content of the next item, of which no reference is kept. */
void hs_job_contents_add(hs_job_contents *contents, const Hs__JobItemContent *content);

/** Returns the bytes that the contents occupy. */
size_t hs_job_contents_size(const hs_job_contents *contents);

#endif
