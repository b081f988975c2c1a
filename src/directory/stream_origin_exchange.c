/** @file stream_origin_exchange.c  See stream_origin_exchange.h. */
#include "directory/stream_origin_exchange.h"

#include "directory/daemon_directory.h"
#include "directory/peer_questions.h"

/** Number of other daemons that are told a stream's origin. */
#define MAX_KEEPERS 4
/** Number of other daemons that are asked for it. */
#define MAX_ASKED 8
/** Maximum number of origins that are announced again once the other daemons are known. */
#define MAX_PENDING 4096

struct hs_stream_origin_exchange {
    hs_stream_origins *origins;
    hs_membership_service *membership;
    hs_peer_queries *queries; /**< Answers: uint64_t software. */
    hs_member_knowledge knows_members;
    void *user_data;
    GMutex lock;     /**< Guards pending. */
    GArray *pending; /**< Of announced_origin. */
};

/** An origin that was announced while not all other daemons may have been known. */
typedef struct {
    uint64_t stream;
    uint64_t software;
} announced_origin;

/** Daemons in descending order of rank for a stream. */
typedef struct {
    hs_daemon_address addresses[MAX_ASKED];
    uint32_t count;
} ranked_daemons;

/**
 * Lists up to @p max_count other daemons. The last of them is in another zone than this daemon, if
 * there is one, as a zone's daemons may be lost together.
 */
static ranked_daemons rank_daemons(hs_stream_origin_exchange *exchange, uint64_t stream,
                                   uint32_t max_count) {
    ranked_daemons ranked = {0};
    g_autofree char *key = g_strdup_printf("stream-%" G_GINT64_MODIFIER "x", (guint64)stream);
    const hs_membership *membership = hs_membership_service_lock(exchange->membership);
    const hs_member *self = hs_membership_self(membership);
    bool has_other_zone = false;
    const hs_member *member = hs_membership_rank_next(membership, key, NULL);
    for (; member != NULL && ranked.count < max_count;
         member = hs_membership_rank_next(membership, key, member)) {
        bool is_other_zone = g_strcmp0(member->zone, self->zone) != 0;
        bool is_last = ranked.count + 1 == max_count;
        if (member == self || (is_last && !is_other_zone && !has_other_zone))
            continue;
        has_other_zone |= is_other_zone;
        ranked.addresses[ranked.count++] =
            (hs_daemon_address){.address = member->address, .port = member->peer_port};
    }
    hs_membership_service_unlock(exchange->membership);
    return ranked;
}

static void send_to_ranked(hs_stream_origin_exchange *exchange, const ranked_daemons *ranked,
                           Hs__PeerMessage *message) {
    for (uint32_t index = 0; index < ranked->count; index++)
        hs_membership_service_send(exchange->membership, ranked->addresses[index].address,
                                   ranked->addresses[index].port, message);
}

static void send_origin(hs_stream_origin_exchange *exchange, uint64_t stream, uint64_t software) {
    Hs__StreamOrigin body = HS__STREAM_ORIGIN__INIT;
    body.stream = stream;
    body.software = software;
    Hs__PeerMessage message = HS__PEER_MESSAGE__INIT;
    message.kind_case = HS__PEER_MESSAGE__KIND_STREAM_ORIGIN;
    message.stream_origin = &body;
    ranked_daemons keepers = rank_daemons(exchange, stream, MAX_KEEPERS);
    send_to_ranked(exchange, &keepers, &message);
}

static void announce(uint64_t stream, uint64_t software, void *user_data) {
    hs_stream_origin_exchange *exchange = user_data;
    send_origin(exchange, stream, software);
    if (exchange->knows_members(exchange->user_data))
        return;
    announced_origin origin = {.stream = stream, .software = software};
    g_mutex_lock(&exchange->lock);
    if (exchange->pending->len < MAX_PENDING)
        g_array_append_val(exchange->pending, origin);
    g_mutex_unlock(&exchange->lock);
}

void hs_stream_origin_exchange_tick(hs_stream_origin_exchange *exchange) {
    bool is_last = exchange->knows_members(exchange->user_data);
    g_mutex_lock(&exchange->lock);
    g_autoptr(GArray) pending = g_array_copy(exchange->pending);
    if (is_last)
        g_array_set_size(exchange->pending, 0);
    g_mutex_unlock(&exchange->lock);
    for (guint index = 0; index < pending->len; index++) {
        const announced_origin *origin = &g_array_index(pending, announced_origin, index);
        send_origin(exchange, origin->stream, origin->software);
    }
}

typedef struct {
    hs_stream_origin_exchange *exchange;
    uint64_t stream;
} origin_query;

static void send_query(uint64_t sequence, void *user_data) {
    const origin_query *query = user_data;
    Hs__StreamOriginAsk body = HS__STREAM_ORIGIN_ASK__INIT;
    body.sequence = sequence;
    body.stream = query->stream;
    Hs__PeerMessage message = HS__PEER_MESSAGE__INIT;
    message.kind_case = HS__PEER_MESSAGE__KIND_STREAM_ORIGIN_ASK;
    message.stream_origin_ask = &body;
    ranked_daemons asked = rank_daemons(query->exchange, query->stream, MAX_ASKED);
    send_to_ranked(query->exchange, &asked, &message);
}

static hs_origin_answer query_origin(uint64_t stream, void *user_data) {
    hs_stream_origin_exchange *exchange = user_data;
    origin_query query = {.exchange = exchange, .stream = stream};
    hs_origin_answer answer = {.is_final = exchange->knows_members(exchange->user_data)};
    hs_peer_queries_run(exchange->queries, send_query, &query, &answer.software);
    return answer;
}

hs_stream_origin_exchange *hs_stream_origin_exchange_new(hs_stream_origins *origins,
                                                         hs_membership_service *membership,
                                                         hs_member_knowledge knows_members,
                                                         void *user_data) {
    hs_stream_origin_exchange *exchange = g_new0(hs_stream_origin_exchange, 1);
    exchange->origins = origins;
    exchange->membership = membership;
    exchange->knows_members = knows_members;
    exchange->user_data = user_data;
    g_mutex_init(&exchange->lock);
    exchange->pending = g_array_new(FALSE, FALSE, sizeof(announced_origin));
    exchange->queries = hs_peer_queries_new(sizeof(uint64_t));
    hs_stream_origins_set_calls(
        origins,
        &(hs_origin_calls){.announce = announce, .query = query_origin, .user_data = exchange});
    return exchange;
}

void hs_stream_origin_exchange_free(hs_stream_origin_exchange *exchange) {
    if (exchange == NULL)
        return;
    hs_stream_origins_set_calls(exchange->origins, &(hs_origin_calls){0});
    hs_peer_queries_free(exchange->queries);
    g_array_unref(exchange->pending);
    g_mutex_clear(&exchange->lock);
    g_free(exchange);
}

/** Answers only if the origin is known, so that a query ends with the first answer. */
static void answer_query(hs_stream_origin_exchange *exchange, const Hs__StreamOriginAsk *ask,
                         const struct sockaddr_in *from) {
    uint64_t software = hs_stream_origins_find(exchange->origins, ask->stream);
    if (software == 0)
        return;
    Hs__StreamOriginAnswer body = HS__STREAM_ORIGIN_ANSWER__INIT;
    body.sequence = ask->sequence;
    body.software = software;
    Hs__PeerMessage message = HS__PEER_MESSAGE__INIT;
    message.kind_case = HS__PEER_MESSAGE__KIND_STREAM_ORIGIN_ANSWER;
    message.stream_origin_answer = &body;
    hs_membership_service_reply(exchange->membership, from, &message);
}

bool hs_stream_origin_exchange_handle(hs_stream_origin_exchange *exchange,
                                      const Hs__PeerMessage *message,
                                      const struct sockaddr_in *from) {
    switch (message->kind_case) {
    case HS__PEER_MESSAGE__KIND_STREAM_ORIGIN:
        if (message->stream_origin->software != 0)
            hs_stream_origins_put(exchange->origins, message->stream_origin->stream,
                                  message->stream_origin->software);
        return true;
    case HS__PEER_MESSAGE__KIND_STREAM_ORIGIN_ASK:
        answer_query(exchange, message->stream_origin_ask, from);
        return true;
    case HS__PEER_MESSAGE__KIND_STREAM_ORIGIN_ANSWER:
        hs_peer_queries_complete(exchange->queries, message->stream_origin_answer->sequence,
                                 &message->stream_origin_answer->software);
        return true;
    default:
        return false;
    }
}
