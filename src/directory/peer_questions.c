/** @file peer_questions.c  See peer_questions.h. */
#include "directory/peer_questions.h"

#include "base/clock.h"

#include <glib.h>
#include <string.h>

/**
 * Time-out of each send. Some twenty times a datagram's round trip, as a daemon that is throttled
 * by its processor quota answers a tenth of a second late.
 */
#define ANSWER_TIMEOUT_MS 60
/** Sends of a query before it fails, as datagrams may be lost. */
#define MAX_SENDS 2

/** Query whose answer is awaited; on the stack of the sending thread. */
typedef struct {
    uint64_t sequence;
    bool is_answered;
    void *answer;
} pending_query;

struct hs_peer_queries {
    size_t answer_bytes;
    GMutex lock; /**< Guards the members below. */
    GCond answered;
    GHashTable *pending; /**< sequence -> pending_query* */
    uint64_t sequence;
};

hs_peer_queries *hs_peer_queries_new(size_t answer_bytes) {
    hs_peer_queries *queries = g_new0(hs_peer_queries, 1);
    queries->answer_bytes = answer_bytes;
    g_mutex_init(&queries->lock);
    g_cond_init(&queries->answered);
    queries->pending = g_hash_table_new(g_int64_hash, g_int64_equal);
    return queries;
}

void hs_peer_queries_free(hs_peer_queries *queries) {
    if (queries == NULL)
        return;
    g_hash_table_destroy(queries->pending);
    g_cond_clear(&queries->answered);
    g_mutex_clear(&queries->lock);
    g_free(queries);
}

/** Waits for the answer after one send. */
static bool await_answer(hs_peer_queries *queries, const pending_query *query) {
    hs_pause pause = hs_clock_pause_begin(ANSWER_TIMEOUT_MS);
    bool is_waiting = true;
    g_mutex_lock(&queries->lock);
    while (is_waiting && !query->is_answered)
        is_waiting = hs_clock_pause_wait(&pause, &queries->answered, &queries->lock);
    bool is_answered = query->is_answered;
    g_mutex_unlock(&queries->lock);
    return is_answered;
}

bool hs_peer_queries_run(hs_peer_queries *queries, hs_peer_query_sender send, void *user_data,
                         void *answer) {
    pending_query query = {.answer = answer};
    g_mutex_lock(&queries->lock);
    query.sequence = ++queries->sequence;
    g_hash_table_insert(queries->pending, &query.sequence, &query);
    g_mutex_unlock(&queries->lock);
    bool is_answered = false;
    for (int attempt = 0; attempt < MAX_SENDS && !is_answered; attempt++) {
        send(query.sequence, user_data);
        is_answered = await_answer(queries, &query);
    }
    g_mutex_lock(&queries->lock);
    g_hash_table_remove(queries->pending, &query.sequence);
    is_answered = query.is_answered;
    g_mutex_unlock(&queries->lock);
    return is_answered;
}

void hs_peer_queries_complete(hs_peer_queries *queries, uint64_t sequence, const void *answer) {
    g_mutex_lock(&queries->lock);
    pending_query *query = g_hash_table_lookup(queries->pending, &sequence);
    if (query != NULL && !query->is_answered) {
        memcpy(query->answer, answer, queries->answer_bytes);
        query->is_answered = true;
        g_cond_broadcast(&queries->answered);
    }
    g_mutex_unlock(&queries->lock);
}
