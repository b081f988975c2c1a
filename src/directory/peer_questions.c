/** @file peer_questions.c  See peer_questions.h. */
#include "directory/peer_questions.h"

#include "base/clock.h"

#include <glib.h>
#include <string.h>

/**
 * Wait in ms for an answer before it is asked for once more: some twenty times what a datagram
 * takes there and back, as a daemon that has used up its share of a processor answers a tenth of a
 * second late.
 */
#define ANSWER_MS 60
/** Sends of a question. Datagrams are lost now and then: the second of two lost in a row is one in
 * ten thousand. */
#define TRIES 2

/** A question that waits; on its asker's stack. */
typedef struct {
    uint64_t sequence;
    bool is_answered;
    void *answer;
} waiting_question;

struct hs_peer_questions {
    size_t answer_bytes;
    GMutex lock; /**< Guards what follows. */
    GCond answered;
    GHashTable *waiting; /**< sequence -> waiting_question* */
    uint64_t sequence;
};

hs_peer_questions *hs_peer_questions_new(size_t answer_bytes) {
    hs_peer_questions *questions = g_new0(hs_peer_questions, 1);
    questions->answer_bytes = answer_bytes;
    g_mutex_init(&questions->lock);
    g_cond_init(&questions->answered);
    questions->waiting = g_hash_table_new(g_int64_hash, g_int64_equal);
    return questions;
}

void hs_peer_questions_free(hs_peer_questions *questions) {
    if (questions == NULL)
        return;
    g_hash_table_destroy(questions->waiting);
    g_cond_clear(&questions->answered);
    g_mutex_clear(&questions->lock);
    g_free(questions);
}

/** Wait for the answer after one send. */
static bool await_answer(hs_peer_questions *questions, const waiting_question *question) {
    hs_pause pause = hs_clock_pause_begin(ANSWER_MS);
    bool is_waiting = true;
    g_mutex_lock(&questions->lock);
    while (is_waiting && !question->is_answered)
        is_waiting = hs_clock_pause_wait(&pause, &questions->answered, &questions->lock);
    bool is_answered = question->is_answered;
    g_mutex_unlock(&questions->lock);
    return is_answered;
}

bool hs_peer_questions_ask(hs_peer_questions *questions, hs_question_sender send, void *user_data,
                           void *answer) {
    waiting_question question = {.answer = answer};
    g_mutex_lock(&questions->lock);
    question.sequence = ++questions->sequence;
    g_hash_table_insert(questions->waiting, &question.sequence, &question);
    g_mutex_unlock(&questions->lock);
    bool is_answered = false;
    for (int attempt = 0; attempt < TRIES && !is_answered; attempt++) {
        send(question.sequence, user_data);
        is_answered = await_answer(questions, &question);
    }
    g_mutex_lock(&questions->lock);
    g_hash_table_remove(questions->waiting, &question.sequence);
    is_answered = question.is_answered;
    g_mutex_unlock(&questions->lock);
    return is_answered;
}

void hs_peer_questions_answer(hs_peer_questions *questions, uint64_t sequence, const void *answer) {
    g_mutex_lock(&questions->lock);
    waiting_question *question = g_hash_table_lookup(questions->waiting, &sequence);
    if (question != NULL && !question->is_answered) {
        memcpy(question->answer, answer, questions->answer_bytes);
        question->is_answered = true;
        g_cond_broadcast(&questions->answered);
    }
    g_mutex_unlock(&questions->lock);
}
