/**
 * @file state_feed_internal.h
 * State of a feed, shared by the files that implement state_feed.h.
 */
#ifndef HS_FEED_STATE_FEED_INTERNAL_H
#define HS_FEED_STATE_FEED_INTERNAL_H

#include "base/interrupt.h"
#include "feed/feed_duty.h"
#include "feed/feed_parent.h"
#include "feed/state_feed.h"
#include "store/store_contact.h"

/** Counters of a feed; guarded by its lock. */
typedef struct {
    uint64_t store_reads;
    uint64_t store_bytes;
    uint64_t parent_reads;
    uint64_t parent_bytes;
    uint64_t parent_changes;   /**< Changes to another parent after a failure. */
    uint64_t rejected_answers; /**< Malformed ones. */
    uint64_t served_reads;
    uint64_t served_bytes;
    uint64_t refused_followers; /**< Requests refused, since too many were held. */
} hs_feed_counters;

struct hs_state_feed {
    hs_store_client *store;
    hs_topic topic;
    const char *name;
    hs_feed_members members;
    hs_store_contact contact; /**< With the store. */
    GMutex lock;              /**< Guards the following fields. */
    GCond changed;            /**< The log has changed, or the feed is closed. */
    hs_feed_log *log;
    uint64_t peer_as_of_ms; /**< As of when another daemon confirmed the records; 0: none did. */
    uint32_t hops;          /**< Daemons between this one and the store. */
    bool is_peer_listing;   /**< A listing from another daemon is in progress. */
    uint64_t listed_below;  /**< In it: all records below this offset were put. */
    uint64_t listing_floor; /**< In it: removals below this offset are not told. */
    GHashTable *listings;   /**< Address of a follower -> time in ms of its listing's last part. */
    uint32_t followers;     /**< Held requests. */
    bool is_closed;         /**< No request of followers is held. */
    bool is_cut_off;        /**< See feed_duty.h. */
    uint64_t source;        /**< Daemon that read the records from the store; 0: unknown. */
    bool is_awaiting;
    hs_feed_counters counters;
    hs_interrupt stop;
    /* Used by the reading thread only: */
    uint64_t started_ms;
    uint64_t store_allowed_ms;
    uint32_t store_failures;
    GByteArray *response;
    GBytes *page_after; /**< Last key of the listing's previous page; NULL: it begins. */
    uint64_t page_end;  /**< End of the topic's log as of the listing's first page. */
    bool must_list;     /**< The position is not known, or not valid any more. */
    hs_feed_parent parent;
    hs_feed_duty duty;
    hs_feed_source last_source;
    uint64_t progress_ms; /**< Time of the last part of a listing; 0: none yet. */
};

/** Reads one page of a listing, or follows the topic's log; see hs_state_feed_read. */
void hs_state_feed_read_store(hs_state_feed *feed, const hs_feed_limits *limits,
                              hs_feed_batch *batch);

/** Asks the daemon that is followed for changes; see hs_state_feed_read. */
void hs_state_feed_read_parent(hs_state_feed *feed, const hs_feed_tree *tree, hs_feed_batch *batch);

/** As hs_state_feed_as_of_ms; the caller holds the lock. */
uint64_t hs_state_feed_as_of_locked_ms(hs_state_feed *feed);

/** Puts a record and appends it to the batch if it is new. The caller holds the lock. */
void hs_state_feed_put(hs_state_feed *feed, hs_feed_record *record, hs_feed_batch *batch);

#endif
