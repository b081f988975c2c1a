/**
 * @file state_feed.h
 * The newest records of a keyed topic of the store, followed in the store or at another daemon, and
 * passed on to the daemons that follow this one. Knows nothing of what the records mean.
 *
 * One thread calls hs_state_feed_read in a loop; it chooses the source of each read by feed_tree.h.
 * All other functions may be called by any thread between creation and free.
 */
#ifndef HS_FEED_STATE_FEED_H
#define HS_FEED_STATE_FEED_H

#include "feed/feed_log.h"
#include "feed/feed_tree.h"
#include "http/listener.h"
#include "store/store_client.h"

typedef struct hs_state_feed hs_state_feed;

/** The other daemons. */
typedef struct {
    /** Returns the current view, which the feed unrefs. */
    hs_feed_tree *(*get_tree)(void *user_data);
    /** Whether any member or seed other than this daemon is known, be it running or not. */
    bool (*knows_others)(void *user_data);
    void *user_data;
} hs_feed_members;

/** Hold time of a read of the store by the few daemons of a large fleet that read it. */
#define HS_FEED_AWAIT_MS 500

/** Limits of one read. */
typedef struct {
    uint32_t store_wait_ms;    /**< Hold time of a read of the store; 0: it returns at once. */
    uint32_t store_timeout_ms; /**< Time limit of a read of a fast store beyond the hold time. */
} hs_feed_limits;

/** Result of one read. */
typedef struct {
    hs_feed_source source;    /**< HS_FEED_WAIT: nothing was read. */
    hs_store_outcome outcome; /**< HS_STORE_DONE: the records were merged. */
    GPtrArray *changes;       /**< Of hs_feed_record*, in order; those the feed did not have. */
    /** The feed has become complete, or complete again: keys that it lacks were removed. */
    bool is_listed;
    bool has_unseen; /**< A change removes a key that was never read: it came and went between. */
    /** The next read continues a listing or has more changes: it should follow without a pause. */
    bool has_more;
    bool is_cut_off;   /**< Nothing confirms the records: as for has_more. */
    uint64_t next;     /**< Position after the read. */
    uint64_t as_of_ms; /**< The store confirmed the records then, or later; 0: unknown. */
} hs_feed_batch;

/**
 * Creates the feed of a topic; free with hs_state_feed_free. @p name identifies the topic in
 * requests between daemons, logs and metrics. The pointers are borrowed.
 */
hs_state_feed *hs_state_feed_new(hs_store_client *store, hs_topic topic, const char *name);

/**
 * Sets the other daemons. Without them, the store is always read. To be called before the first
 * read.
 */
void hs_state_feed_set_members(hs_state_feed *feed, const hs_feed_members *members);

/** Performs one read. Clear @p batch with hs_feed_batch_clear. */
void hs_state_feed_read(hs_state_feed *feed, const hs_feed_limits *limits, hs_feed_batch *batch);
void hs_feed_batch_clear(hs_feed_batch *batch);

/** Whether the last chosen source is one in which changes are awaited rather than polled. */
bool hs_state_feed_is_awaiting(hs_state_feed *feed);

/** Returns all records, removals included (of hs_feed_record*). Free with g_ptr_array_unref. */
GPtrArray *hs_state_feed_list(hs_state_feed *feed);

/** Whether all records up to a position are known. */
bool hs_state_feed_is_complete(hs_state_feed *feed);

/** Returns the monotonic time of the last response from the store; 0: none yet. */
uint64_t hs_state_feed_store_received_ms(hs_state_feed *feed);

/** Returns the monotonic time as of which the records are known to be current; 0: unknown. */
uint64_t hs_state_feed_as_of_ms(hs_state_feed *feed);

/** Whether the last read of the store failed, and no daemon has given more recent records. */
bool hs_state_feed_is_disconnected(hs_state_feed *feed);

/**
 * Answers another daemon's request for changes. Returns false without an answer if the request is
 * not one for this topic. The request is held while there is no change.
 */
bool hs_state_feed_serve(hs_state_feed *feed, hs_inbound *inbound);

/** Ends held requests, and refuses later ones, so that the followers turn to other daemons. */
void hs_state_feed_close(hs_state_feed *feed);

/** As hs_state_feed_close, and ends the read in progress. */
void hs_state_feed_stop(hs_state_feed *feed);

/** Metrics of the feed. Free with g_free. */
char *hs_state_feed_describe(hs_state_feed *feed);

/** Frees a feed that no thread uses. NULL is allowed. */
void hs_state_feed_free(hs_state_feed *feed);

#endif
