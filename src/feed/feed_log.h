/**
 * @file feed_log.h
 * The newest record of each key of a topic, ordered by the offsets of the topic's log.
 *
 * The offset is a position that is the same at all daemons: whoever holds all records below an
 * offset asks any other daemon for the changes from there on. Changes from offset 0 on are all
 * records, so that a whole copy is sent in parts and resumed like any other change.
 *
 * Performs no I/O and reads no clock. Not thread-safe: state_feed.h adds a lock.
 */
#ifndef HS_FEED_FEED_LOG_H
#define HS_FEED_FEED_LOG_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** One record. Immutable; shared by references. */
typedef struct {
    gint references;
    char *key;
    GBytes *value; /**< Of length 0: the key was removed. */
    uint64_t offset;
    uint64_t read_ms; /**< Monotonic time at which a daemon read the record from the store. */
} hs_feed_record;

/** Creates a record with one reference; @p value is referenced. */
hs_feed_record *hs_feed_record_new(const char *key, GBytes *value, uint64_t offset,
                                   uint64_t read_ms);
hs_feed_record *hs_feed_record_ref(hs_feed_record *record);
/** Releases a reference; a GDestroyNotify. */
void hs_feed_record_unref(gpointer record);
/** Whether the record removes its key. */
bool hs_feed_record_is_removal(const hs_feed_record *record);

typedef struct hs_feed_log hs_feed_log;

/** Creates an empty log at position 0 that is not complete. Free with hs_feed_log_free. */
hs_feed_log *hs_feed_log_new(void);
void hs_feed_log_free(hs_feed_log *log);

/** Drops all records: the offsets were those of another log. */
void hs_feed_log_reset(hs_feed_log *log);

/**
 * Adds a record unless the log holds one of the key with the same or a higher offset, or is
 * complete up to a higher position without the key, which was removed then. Takes a reference.
 * Returns whether the record was added. During a listing a held key counts as listed in any case.
 */
bool hs_feed_log_put(hs_feed_log *log, hs_feed_record *record);

/** Whether the log holds a record of the key, a removal included. */
bool hs_feed_log_has(const hs_feed_log *log, const char *key);

/** Begins a listing of all keys; the keys that are not put until its end are dropped then. */
void hs_feed_log_begin_listing(hs_feed_log *log);

/**
 * Ends the listing, after which the log is complete up to @p next. @p floor: offset below which the
 * source of the listing does not tell removals.
 */
void hs_feed_log_end_listing(hs_feed_log *log, uint64_t next, uint64_t floor);

/** Raises the position: all records below @p next were put. A lower value changes nothing. */
void hs_feed_log_advance(hs_feed_log *log, uint64_t next);

/** Whether a listing has ended, so that the log holds all records below its position. */
bool hs_feed_log_is_complete(const hs_feed_log *log);

/** Returns the position: the offset from which on changes are missing. */
uint64_t hs_feed_log_next(const hs_feed_log *log);

/** Returns the offset below which removals are no longer kept. */
uint64_t hs_feed_log_floor(const hs_feed_log *log);

/** Returns the number of keys that are not removed. */
uint32_t hs_feed_log_key_count(const hs_feed_log *log);

/**
 * Returns the records with offsets from @p from to below @p end, in ascending order, removals
 * included (of hs_feed_record*); at least one if there is one, up to about @p max_bytes. @p
 * has_more is set if records were left out. Free with g_ptr_array_unref.
 */
GPtrArray *hs_feed_log_changes(const hs_feed_log *log, uint64_t from, uint64_t end,
                               size_t max_bytes, bool *has_more);

#endif
