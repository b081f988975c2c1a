/**
 * @file feed_codec.h
 * The request for changes of a topic that one daemon sends to another, and the answer (proto/feed).
 * Pure functions.
 */
#ifndef HS_FEED_FEED_CODEC_H
#define HS_FEED_FEED_CODEC_H

#include "feed/feed_log.h"

/** Targets of requests for changes on the control listener of a daemon. */
#define HS_FEED_TARGET_PREFIX "/feed/"

/** A request for the changes of a topic. */
typedef struct {
    uint64_t from;    /**< Offset of the first change. */
    uint32_t wait_ms; /**< Time for which the request is held while there is no change. */
    bool is_listing;  /**< All records are asked for, in parts. */
} hs_feed_request;

/** Returns the target of a request for the topic @p name. Free with g_free. */
char *hs_feed_request_write(const char *name, const hs_feed_request *request);

/** Reads a target. Returns false if it is not one of the topic @p name, or malformed. */
bool hs_feed_request_read(const char *target, const char *name, hs_feed_request *request);

/** Decoded answer; ages are turned into monotonic times of this machine. */
typedef struct {
    uint64_t next;      /**< The sender's position. */
    uint64_t floor;     /**< Removals below it are not listed. */
    uint64_t as_of_ms;  /**< When the store confirmed the sender's records; 0: unknown. */
    uint32_t hops;      /**< Daemons between the sender and the store. */
    bool has_more;      /**< Records were left out. */
    bool is_cut_off;    /**< Nothing confirms the sender's records; false from older builds. */
    uint64_t source;    /**< Daemon that read them from the store, see hs_feed_node; 0: unknown. */
    GPtrArray *records; /**< Of hs_feed_record*, in ascending order of offsets. */
} hs_feed_answer;

/** What an answer says beside the records. Times are monotonic, in ms. */
typedef struct {
    uint64_t now_ms;
    uint64_t as_of_ms; /**< When the store confirmed the log; 0: unknown. */
    uint64_t held_ms;  /**< For how long the request was held. */
    uint32_t hops;     /**< Daemons between this one and the store. */
    uint64_t next;     /**< Position up to which records are passed on. */
    uint64_t floor;    /**< Removals below it are not told. */
    bool is_partial;   /**< More records follow, which this daemon does not have yet. */
    bool is_cut_off;   /**< Nothing confirms the records of this daemon. */
    uint64_t source;   /**< Daemon that read the records from the store; 0: unknown. */
} hs_feed_answer_terms;

/**
 * Encodes the records of @p log from @p from on, of at most about @p max_bytes. Free with
 * g_byte_array_unref.
 */
GByteArray *hs_feed_answer_encode(const hs_feed_log *log, uint64_t from, size_t max_bytes,
                                  const hs_feed_answer_terms *terms);

/**
 * Decodes the answer to a request for the changes from @p from on, sent at @p asked_ms and answered
 * at @p received_ms. Returns false if it is malformed: it cannot be parsed, its records are out of
 * order, or one of them lies at or beyond the sender's position. Clear with hs_feed_answer_clear.
 */
bool hs_feed_answer_decode(const GByteArray *bytes, uint64_t from, uint64_t asked_ms,
                           uint64_t received_ms, hs_feed_answer *answer);

/** Frees the records. */
void hs_feed_answer_clear(hs_feed_answer *answer);

#endif
