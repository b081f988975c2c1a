/**
 * @file job_peer.h
 * Callers' calls about jobs passed on to another daemon, over HTTP at its address for daemons.
 */
#ifndef HS_JOBS_JOB_PEER_H
#define HS_JOBS_JOB_PEER_H

#include "directory/daemon_directory.h"
#include "http/listener.h"

/** How a daemon that was asked behaved. */
typedef enum {
    HS_PEER_ANSWERED,
    HS_PEER_NOT_ASKED, /**< No byte of the call went out. */
    HS_PEER_SILENT,    /**< The call was sent, in part or whole, and no whole answer came. */
} hs_peer_outcome;

/** A whole answer. */
typedef struct {
    uint32_t status;
    char *type; /**< Content-Type. */
    GByteArray *body;
} hs_peer_answer;

/**
 * Pass a call on as it came and wait for the answer until @p deadline, or until the caller is gone.
 * @p tenant: whose call it is, as this daemon found by its key; "": nobody's.
 * HS_PEER_ANSWERED fills @p answer; clear it with hs_peer_answer_clear.
 */
hs_peer_outcome hs_job_peer_ask(const hs_daemon_address *peer, const hs_inbound *inbound,
                                const char *tenant, hs_deadline deadline, hs_peer_answer *answer);

/** Target of the question whether a daemon reaches the store; 200: it does, 503: it does not. */
#define HS_PEER_STORE_TARGET "/store"

/**
 * Ask a daemon whether it reaches the store. False too where it does not answer before @p deadline.
 * A submission may hold a megabyte: it goes only to daemons that can store it.
 */
bool hs_job_peer_reaches_store(const hs_daemon_address *peer, hs_deadline deadline);

/** Send a call of this project's own with a body; @p target with its query. Else as above. */
hs_peer_outcome hs_job_peer_post(const hs_daemon_address *peer, const char *target,
                                 const GByteArray *body, hs_deadline deadline,
                                 hs_peer_answer *answer);

void hs_peer_answer_clear(hs_peer_answer *answer);

#endif
