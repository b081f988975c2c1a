/**
 * @file job_peer.h
 * Sends requests to other daemons over HTTP: forwarded callers' requests about jobs, and requests
 * between daemons. Each request uses its own connection. Thread-safe.
 */
#ifndef HS_JOBS_JOB_PEER_H
#define HS_JOBS_JOB_PEER_H

#include "directory/daemon_directory.h"
#include "http/listener.h"

/** How a request to another daemon ended. */
typedef enum {
    HS_PEER_ANSWERED,
    HS_PEER_NOT_SENT,  /**< No byte of the request was sent. */
    HS_PEER_NO_ANSWER, /**< A part was sent, but no complete answer was received. */
} hs_peer_outcome;

/** A complete answer; see hs_peer_answer_clear. */
typedef struct {
    uint32_t status;
    char *type; /**< Value of Content-Type. */
    GByteArray *body;
    bool states_fold_age; /**< Has the field HS_PEER_FOLD_AGE_FIELD. */
} hs_peer_answer;

/**
 * Field of an owner's answers to forwarded requests about jobs: the age in ms of the fold that made
 * the answer, -1 if it was never complete. Its presence shows that a page without results comes
 * from a recent fold (see result_page.h); earlier builds do not send it.
 */
#define HS_PEER_FOLD_AGE_FIELD "Fold-Age-Ms"

/**
 * Forwards a caller's request and waits for the answer until @p deadline or until the caller
 * disconnects. @p tenant: tenant of the caller as identified by this daemon; "": none.
 * HS_PEER_ANSWERED: @p answer is set; cleared with hs_peer_answer_clear.
 */
hs_peer_outcome hs_job_peer_forward(const hs_daemon_address *peer, const hs_inbound *inbound,
                                    const char *tenant, hs_deadline deadline,
                                    hs_peer_answer *answer);

/** Target that reports whether a daemon reaches the store: 200 if it does, otherwise 503. */
#define HS_PEER_STORE_TARGET "/store"

/**
 * Returns whether a daemon reports before @p deadline that it reaches the store. Checked before
 * large submissions are forwarded.
 */
bool hs_job_peer_can_reach_store(const hs_daemon_address *peer, hs_deadline deadline);

/**
 * Posts a request between daemons. @p target includes the query. Otherwise like
 * hs_job_peer_forward.
 */
hs_peer_outcome hs_job_peer_post(const hs_daemon_address *peer, const char *target,
                                 const GByteArray *body, hs_deadline deadline,
                                 hs_peer_answer *answer);

/** Whether @p daemons, of hs_daemon_address, has one with the address and port of @p daemon. */
bool hs_job_peer_is_listed(const GArray *daemons, const hs_daemon_address *daemon);

void hs_peer_answer_clear(hs_peer_answer *answer);

#endif
