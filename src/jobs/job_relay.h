/**
 * @file job_relay.h
 * Appends to the jobs' partitions through another daemon, while the store turns this one away.
 *
 * Records count by what they say, not by who wrote them, and one that stands in the log twice
 * changes nothing the second time, so that any daemon may append them. Without it results that an
 * owner has made lie at that owner until the store takes its calls again, and the next owner of the
 * partition runs the items once more.
 */
#ifndef HS_JOBS_JOB_RELAY_H
#define HS_JOBS_JOB_RELAY_H

#include "directory/daemon_directory.h"
#include "http/listener.h"
#include "store/store_client.h"

typedef struct hs_job_relay hs_job_relay;

/** @p daemons: whom to ask; both borrowed for the relay's life. */
hs_job_relay *hs_job_relay_new(hs_daemon_directory *daemons, hs_store_client *store,
                               uint32_t part_count);
void hs_job_relay_free(hs_job_relay *relay);

/**
 * Another daemon that says it reaches the store: the owner of the partition, or of one of the next.
 * False: none was found, now or a moment ago.
 */
bool hs_job_relay_find(hs_job_relay *relay, uint32_t part, hs_daemon_address *peer);

/**
 * Append framed @p records through another daemon where this one's calls to the store fail.
 * HS_STORE_REFUSED: not needed, or nobody was found who reaches the store; nothing was done. The
 * first record's offset goes to @p offset. May take a little longer than until @p deadline.
 */
hs_store_outcome hs_job_relay_append(hs_job_relay *relay, hs_topic topic, uint32_t part,
                                     const GByteArray *records, hs_deadline deadline,
                                     uint64_t *offset);

/** Whether another daemon's call asks for an append, by its target. */
bool hs_job_relay_is_call(const char *target);

/** Append for another daemon and answer it. */
void hs_job_relay_serve(hs_store_client *store, hs_inbound *inbound);

#endif
