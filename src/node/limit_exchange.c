/** @file limit_exchange.c  See limit_exchange.h. */
#include "node/limit_exchange.h"

#include "base/clock.h"

#include <arpa/inet.h>

#define REQUEST_INTERVAL_MS 10

struct hs_limit_exchange {
    hs_node *node;
    GMutex lock;
    hs_limit_owner *owner; /**< State of the limits that this daemon owns. */
    gint stopping;
    GThread *thread;
};

/** Sends the request to the limit owner: the first daemon by rendezvous hashing. */
static void send_request(const hs_allowance_request *request, void *user_data) {
    hs_node *node = user_data;
    Hs__LimitAsk body = HS__LIMIT_ASK__INIT;
    body.tenant = (char *)request->tenant;
    body.wanted = request->wanted;
    body.advanced = request->advanced;
    body.in_flight = request->in_flight;
    Hs__PeerMessage message = HS__PEER_MESSAGE__INIT;
    message.kind_case = HS__PEER_MESSAGE__KIND_LIMIT_ASK;
    message.limit_ask = &body;
    hs_membership_service_send_to_first(node->membership, request->tenant, &message);
}

static gpointer run_requests(gpointer data) {
    hs_limit_exchange *exchange = data;
    hs_node *node = exchange->node;
    while (g_atomic_int_get(&exchange->stopping) == 0) {
        hs_config_view *view = hs_config_store_acquire_view(node->config);
        hs_tenant_limits_send_requests(node->limits, view, hs_clock_monotonic_ms(), send_request,
                                       node);
        hs_config_view_release(view);
        hs_clock_sleep_ms(REQUEST_INTERVAL_MS);
    }
    return NULL;
}

hs_limit_exchange *hs_limit_exchange_start(hs_node *node) {
    hs_limit_exchange *exchange = g_new0(hs_limit_exchange, 1);
    exchange->node = node;
    exchange->owner = hs_limit_owner_new();
    g_mutex_init(&exchange->lock);
    exchange->thread = g_thread_new("tenant-limits", run_requests, exchange);
    return exchange;
}

void hs_limit_exchange_stop(hs_limit_exchange *exchange) {
    g_atomic_int_set(&exchange->stopping, 1);
    g_thread_join(exchange->thread);
}

static void send_grant(hs_limit_exchange *exchange, const Hs__PeerMessage *message,
                       const struct sockaddr_in *from) {
    hs_node *node = exchange->node;
    const Hs__LimitAsk *body = message->limit_ask;
    hs_config_view *view = hs_config_store_acquire_view(node->config);
    const hs_tenant_limit *limit = hs_config_view_find_limit(view, body->tenant);
    hs_allowance_request request = {.edge_id = message->sender_id,
                                    .tenant = body->tenant,
                                    .wanted = body->wanted,
                                    .advanced = body->advanced,
                                    .in_flight = body->in_flight};
    g_mutex_lock(&exchange->lock);
    uint32_t allowance = limit == NULL ? body->wanted
                                       : hs_limit_owner_grant(exchange->owner, limit, &request,
                                                              hs_clock_monotonic_ms());
    g_mutex_unlock(&exchange->lock);
    hs_config_view_release(view);
    Hs__LimitGrant grant = HS__LIMIT_GRANT__INIT;
    grant.tenant = body->tenant;
    grant.allowance = allowance;
    Hs__PeerMessage reply = HS__PEER_MESSAGE__INIT;
    reply.kind_case = HS__PEER_MESSAGE__KIND_LIMIT_GRANT;
    reply.limit_grant = &grant;
    hs_membership_service_reply(node->membership, from, &reply);
}

bool hs_limit_exchange_handle(hs_limit_exchange *exchange, const Hs__PeerMessage *message,
                              const struct sockaddr_in *from) {
    switch (message->kind_case) {
    case HS__PEER_MESSAGE__KIND_LIMIT_ASK:
        send_grant(exchange, message, from);
        return true;
    case HS__PEER_MESSAGE__KIND_LIMIT_GRANT:
        hs_tenant_limits_add_allowance(exchange->node->limits, message->limit_grant->tenant,
                                       message->limit_grant->allowance);
        return true;
    default:
        return false;
    }
}
