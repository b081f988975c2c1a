/** @file node.c  See node.h. */
#include "node/node.h"

#include "base/clock.h"

hs_node_state hs_node_get_state(hs_node *node) {
    return (hs_node_state)g_atomic_int_get(&node->state);
}

bool hs_node_is_accepting_connections(const hs_node *node) {
    return node->front_watch == NULL || hs_front_watch_is_accepting(node->front_watch);
}

bool hs_node_is_accepting_requests(hs_node *node) {
    hs_node_state state = hs_node_get_state(node);
    return state == HS_NODE_READY || state == HS_NODE_DRAINING;
}

const char *hs_node_state_name(hs_node_state state) {
    static const char *const names[] = {"starting", "ready", "draining", "stopping"};
    return names[state];
}

uint32_t hs_node_live_daemon_count(hs_node *node) {
    hs_membership *membership = hs_membership_service_lock(node->membership);
    uint32_t count = hs_membership_live_count(membership);
    hs_membership_service_unlock(node->membership);
    return count;
}

void hs_node_send_online_notice(hs_node *node, const char *engine_id) {
    uint32_t in_flight = 0;
    char zone[64];
    if (!hs_engine_table_get_in_flight(node->engines, engine_id, &in_flight, zone))
        return;
    hs_membership *membership = hs_membership_service_lock(node->membership);
    const hs_member *scheduler = hs_membership_rank_first(membership, engine_id, zone);
    uint32_t address = scheduler != NULL ? scheduler->address : 0;
    uint16_t port = scheduler != NULL ? scheduler->peer_port : 0;
    hs_membership_service_unlock(node->membership);
    Hs__OnlineNotice notice = HS__ONLINE_NOTICE__INIT;
    notice.engine_id = (char *)engine_id;
    notice.in_flight = in_flight;
    notice.sequence = (uint64_t)g_atomic_int_add(&node->notice_sequence, 1) + 1;
    Hs__PeerMessage message = HS__PEER_MESSAGE__INIT;
    message.kind_case = HS__PEER_MESSAGE__KIND_ONLINE_NOTICE;
    message.online_notice = &notice;
    hs_membership_service_send(node->membership, address, port, &message);
}
