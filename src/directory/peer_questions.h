/**
 * @file peer_questions.h
 * Queries to other daemons by datagram, for which the sending thread waits. Thread-safe.
 */
#ifndef HS_DIRECTORY_PEER_QUESTIONS_H
#define HS_DIRECTORY_PEER_QUESTIONS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef struct hs_peer_queries hs_peer_queries;

/** @p answer_bytes: size of each answer. */
hs_peer_queries *hs_peer_queries_new(size_t answer_bytes);

/** Frees the queries; none may be pending. NULL is allowed. */
void hs_peer_queries_free(hs_peer_queries *queries);

/** Sends the query with @p sequence. Called again if no answer arrives in time. */
typedef void (*hs_peer_query_sender)(uint64_t sequence, void *user_data);

/**
 * Sends a query and waits for the answer. Returns false if none arrives within 120 ms; otherwise
 * copies the answer to @p answer, which has the size of an answer.
 */
bool hs_peer_queries_run(hs_peer_queries *queries, hs_peer_query_sender send, void *user_data,
                         void *answer);

/** Completes the query @p sequence with @p answer. Ignored if the query is no longer pending. */
void hs_peer_queries_complete(hs_peer_queries *queries, uint64_t sequence, const void *answer);

#endif
