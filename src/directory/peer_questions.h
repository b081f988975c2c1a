/**
 * @file peer_questions.h
 * Questions to other daemons by datagram, whose answers their askers wait for. Shared by threads.
 */
#ifndef HS_DIRECTORY_PEER_QUESTIONS_H
#define HS_DIRECTORY_PEER_QUESTIONS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef struct hs_peer_questions hs_peer_questions;

/** @p answer_bytes: of each answer. */
hs_peer_questions *hs_peer_questions_new(size_t answer_bytes);
void hs_peer_questions_free(hs_peer_questions *questions);

/** Sends a question under its number; may be called again, since datagrams are lost now and then.
 */
typedef void (*hs_question_sender)(uint64_t sequence, void *user_data);

/**
 * Ask and wait, while a request of a caller does; false: no answer came, after 120 ms. @p answer is
 * filled where one did.
 */
bool hs_peer_questions_ask(hs_peer_questions *questions, hs_question_sender send, void *user_data,
                           void *answer);

/** The answer to a question came; one that nobody waits for any more is dropped. */
void hs_peer_questions_answer(hs_peer_questions *questions, uint64_t sequence, const void *answer);

#endif
