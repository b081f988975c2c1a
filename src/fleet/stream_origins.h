/**
 * @file stream_origins.h
 * Remembers which software began each stream, so that a stream goes on only at engines with the
 * same software. Streams are named by a hash of the request id of the attempt that received the
 * first event. Thread-safe.
 *
 * A daemon announces the origin to some other daemons before it forwards the first event. A daemon
 * at which a caller takes up a stream that it does not know asks them.
 */
#ifndef HS_FLEET_STREAM_ORIGINS_H
#define HS_FLEET_STREAM_ORIGINS_H

#include <stdbool.h>
#include <stdint.h>

typedef struct hs_stream_origins hs_stream_origins;

/** Tells other daemons the software (see hs_software_id) that began a stream. */
typedef void (*hs_origin_announcer)(uint64_t stream, uint64_t software, void *user_data);

/** Result of a query to other daemons. */
typedef struct {
    uint64_t software; /**< 0: no daemon that answered in time knows the stream. */
    bool is_final; /**< Another query won't help: the other daemons were known and were asked. */
} hs_origin_answer;

/** Asks other daemons and waits for the first answer, for a tenth of a second. */
typedef hs_origin_answer (*hs_origin_query)(uint64_t stream, void *user_data);

/** How to reach other daemons. */
typedef struct {
    hs_origin_announcer announce; /**< NULL: no other daemon is told. */
    hs_origin_query query;        /**< NULL: no other daemon is asked. */
    void *user_data;
} hs_origin_calls;

hs_stream_origins *hs_stream_origins_new(void);

/** Frees the table. NULL is allowed. */
void hs_stream_origins_free(hs_stream_origins *origins);

/** Sets how to reach other daemons, before the first request. */
void hs_stream_origins_set_calls(hs_stream_origins *origins, const hs_origin_calls *calls);

/** Returns the name of the stream that an attempt with this request id began. */
uint64_t hs_stream_origins_name(const char *request_id);

/** Stores an origin. The last one counts, as callers may use a request id again. */
void hs_stream_origins_put(hs_stream_origins *origins, uint64_t stream, uint64_t software);

/** Returns a known origin, or 0. Does not ask other daemons. */
uint64_t hs_stream_origins_find(hs_stream_origins *origins, uint64_t stream);

/** Stores an origin and tells other daemons. */
void hs_stream_origins_announce(hs_stream_origins *origins, uint64_t stream, uint64_t software);

/** Returns an origin, and asks other daemons if it is not known. */
hs_origin_answer hs_stream_origins_look_up(hs_stream_origins *origins, uint64_t stream);

#endif
