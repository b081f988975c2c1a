/**
 * @file peer_config.h
 * Configuration, engines' entries and evacuations from another daemon, for a daemon that starts
 * while the store does not answer; and the answer to such a query.
 *
 * A thread asks the seeds and the known members, one at a time, until the state is known from one
 * of them or from the store. It asks nobody if the store answers shortly after the start. The state
 * goes to the config source and the engine source, which ignore it once the store has answered. The
 * functions are thread-safe, except for creation, start and free.
 */
#ifndef HS_DIRECTORY_PEER_CONFIG_H
#define HS_DIRECTORY_PEER_CONFIG_H

#include "directory/daemon_directory.h"
#include "fleet/config_source.h"
#include "fleet/engine_source.h"
#include "fleet/peer_state.h"
#include "http/listener.h"

/** Target of the query on the control listener of a daemon. */
#define HS_PEER_STATE_TARGET "/state"

/** What a daemon that starts does next. */
typedef enum {
    HS_PEER_QUERY_WAIT,
    HS_PEER_QUERY_ASK, /**< Ask one daemon. */
    HS_PEER_QUERY_END, /**< The state is known, from the store or from another daemon. */
} hs_peer_query_step;

/** Progress of the queries; zero-initialise but for started_ms. All times are monotonic. */
typedef struct {
    uint64_t started_ms; /**< When the daemon began to read the store. */
    uint64_t resumes_ms; /**< No daemon is asked before; set after each round over all daemons. */
    uint32_t asked;      /**< Daemons asked in this round. */
} hs_peer_query;

/**
 * Decides the next step. Pure. @p is_known: configuration and engines are known or answered by the
 * store. @p peer_count: daemons that can be asked.
 */
hs_peer_query_step hs_peer_query_decide(const hs_peer_query *query, bool is_known,
                                        uint32_t peer_count, uint64_t now_ms);

/** Notes that one of @p peer_count daemons was asked. Pure. */
void hs_peer_query_note_asked(hs_peer_query *query, uint32_t peer_count, uint64_t now_ms);

/** Gives and receives the set of evacuated zones, encoded as the message Evacuations. */
typedef struct {
    /** Returns the set, or NULL if it is not known. The receiver unrefs it. NULL: none is given. */
    GBytes *(*collect)(void *user_data);
    /** Applies a received set, as of @p asked_ms at the other daemon. NULL: it is ignored. */
    void (*apply)(GBytes *evacuations, uint64_t asked_ms, void *user_data);
    void *user_data;
} hs_peer_evacuations;

typedef struct {
    hs_config_source *config;
    hs_engine_source *engine_source;
    hs_daemon_directory *members;
    hs_peer_evacuations evacuations;
} hs_peer_config_settings;

typedef struct hs_peer_config hs_peer_config;

/** Creates the service. The pointers in @p settings are borrowed until it is freed. */
hs_peer_config *hs_peer_config_new(const hs_peer_config_settings *settings);

/** Starts the thread. */
void hs_peer_config_start(hs_peer_config *peers);

/** Ends a query in progress, joins the thread and frees the service. NULL is allowed. */
void hs_peer_config_free(hs_peer_config *peers);

/**
 * Answers another daemon's query with the state that this daemon has: 200 with an encoded
 * hs_peer_state, or 503 if neither a configuration nor a list of engines is known.
 */
void hs_peer_config_serve(hs_peer_config *peers, hs_inbound *inbound);

/**
 * Applies an answer, received for a query sent at @p asked_ms. Evacuations come first, so that they
 * are known before the engines. Returns false if the answer can't be read or nothing was applied;
 * the reason is logged.
 */
bool hs_peer_config_apply(hs_peer_config *peers, const char *peer, const GByteArray *answer,
                          uint64_t asked_ms);

#endif
