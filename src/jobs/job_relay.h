/**
 * @file job_relay.h
 * Appends to partitions of jobs through another daemon while the store rejects this one.
 *
 * Records are idempotent and do not depend on their writer, so any daemon may append them. Without
 * the relay, results would stay at an owner that the store rejects, and the next owner of the
 * partition would run the items again. Thread-safe.
 */
#ifndef HS_JOBS_JOB_RELAY_H
#define HS_JOBS_JOB_RELAY_H

#include "base/drain.h"
#include "directory/daemon_directory.h"
#include "http/listener.h"
#include "store/store_client.h"

typedef struct hs_job_relay hs_job_relay;

/**
 * Creates a relay. @p daemons: directory of the daemons to query; @p drain: calls end by its
 * deadline, NULL: the process never stops. The pointers are borrowed for the lifetime of the relay.
 */
hs_job_relay *hs_job_relay_new(hs_daemon_directory *daemons, hs_store_client *store,
                               hs_drain *drain, uint32_t part_count);
void hs_job_relay_free(hs_job_relay *relay);

/**
 * Finds another daemon that reports to reach the store, starting with the owner of @p partition,
 * among those that @p regions allow. Returns false if none is found or a recent search found none.
 */
bool hs_job_relay_find_peer(hs_job_relay *relay, uint32_t partition, const hs_body_regions *regions,
                            hs_daemon_address *peer);

/**
 * Appends framed @p records through another daemon if this daemon's calls to the store fail.
 * HS_STORE_REFUSED: nothing was appended, because the calls do not fail or no other daemon that
 * @p regions allow reaches the store. Sets @p offset to that of the first record. May end slightly
 * after @p deadline.
 */
hs_store_outcome hs_job_relay_append(hs_job_relay *relay, hs_topic topic, uint32_t partition,
                                     const GByteArray *records, const hs_body_regions *regions,
                                     hs_deadline deadline, uint64_t *offset);

/** Returns whether a request's target is that of an append for another daemon. */
bool hs_job_relay_is_append_call(const char *target);

/** Appends the records of another daemon's request and replies. */
void hs_job_relay_serve(hs_store_client *store, hs_inbound *inbound);

#endif
