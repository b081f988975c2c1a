/** @file config_sync.c  See config_sync.h. */
#include "daemon/config_sync.h"

#include "base/clock.h"
#include "base/http_exchange.h"
#include "base/log.h"
#include "config/config_state.h"

#define FETCH_INTERVAL_MS 200
#define FETCH_TIMEOUT_S 2
#define MAX_UNCONFIRMED_MS 5000
#define HTTP_OK 200
#define MIN_PROBE_ROUNDS 3

struct hs_config_sync {
    hs_node *node;
    uint64_t started_ms;
    uint64_t next_fetch_ms;
};

hs_config_sync *hs_config_sync_new(hs_node *node) {
    hs_config_sync *sync = g_new0(hs_config_sync, 1);
    sync->node = node;
    sync->started_ms = hs_clock_monotonic_ms();
    return sync;
}

void hs_config_sync_free(hs_config_sync *sync) {
    g_free(sync);
}

/** Configuration offsets announced by members that are not dead. */
typedef struct {
    uint64_t best_offset;
    uint32_t best_address;
    uint16_t best_port;
    uint32_t responding_count; /**< Members that have responded at least once. */
    uint32_t known_count;      /**< All members, those that have not responded included. */
} peer_offsets;

static peer_offsets read_peer_offsets(hs_node *node) {
    peer_offsets offsets = {0};
    g_autoptr(GPtrArray) members = g_ptr_array_new();
    hs_membership *membership = hs_membership_service_lock(node->membership);
    hs_membership_list(membership, members);
    for (guint index = 0; index < members->len; index++) {
        const hs_member *member = members->pdata[index];
        if (member == hs_membership_self(membership) || member->state == HS_MEMBER_DEAD)
            continue;
        offsets.known_count++;
        offsets.responding_count += member->state != HS_MEMBER_PROPOSED;
        if (member->config_offset <= offsets.best_offset)
            continue;
        offsets.best_offset = member->config_offset;
        offsets.best_address = member->address;
        offsets.best_port = member->admin_port;
    }
    hs_membership_service_unlock(node->membership);
    return offsets;
}

static void fetch_config(hs_node *node, const peer_offsets *offsets) {
    g_autofree char *url =
        hs_member_admin_url(offsets->best_address, offsets->best_port, "/internal/v1/config-state");
    hs_http_request request = {.method = "GET", .url = url, .timeout_s = FETCH_TIMEOUT_S};
    hs_http_answer answer;
    if (hs_http_exchange(&request, &answer) && answer.status == HTTP_OK) {
        hs_config_fold *fold =
            hs_config_state_decode((const uint8_t *)answer.body, answer.body_length);
        if (fold != NULL && hs_config_store_adopt(node->config, fold))
            hs_log_info("config_fetched_from_peer", "offset=%" G_GUINT64_FORMAT,
                        offsets->best_offset);
    }
    hs_http_answer_clear(&answer);
}

/** Moves to READY once the offset is confirmed or the time limit for confirmation has passed. */
static void set_ready_if_confirmed(hs_config_sync *sync, const peer_offsets *offsets,
                                   uint64_t now_ms) {
    hs_node *node = sync->node;
    if (hs_node_get_state(node) != HS_NODE_STARTING)
        return;
    bool caught_up = hs_config_store_offset(node->config) >= offsets->best_offset;
    /* Gossip from before the start or a suspension may be as outdated as the local offset. */
    uint64_t rounds_ms = MIN_PROBE_ROUNDS * (uint64_t)node->settings->probe_interval_ms;
    bool enough_rounds = now_ms > sync->started_ms + rounds_ms;
    bool majority = enough_rounds && offsets->responding_count > 0 &&
                    (offsets->responding_count + 1) * 2 > offsets->known_count + 1;
    if (!hs_config_store_is_confirmed(node->config) && caught_up && majority)
        hs_config_store_confirm(node->config);
    bool timed_out = now_ms > sync->started_ms + MAX_UNCONFIRMED_MS;
    if (!hs_config_store_is_confirmed(node->config) && !timed_out)
        return;
    if (!hs_membership_service_has_probed(node->membership))
        return;
    g_atomic_int_compare_and_exchange(&node->state, HS_NODE_STARTING, HS_NODE_READY);
    hs_log_info("ready", "config_offset=%" G_GUINT64_FORMAT " confirmed=%d",
                hs_config_store_offset(node->config), hs_config_store_is_confirmed(node->config));
}

void hs_config_sync_restart(hs_config_sync *sync, uint64_t now_ms) {
    sync->started_ms = now_ms;
    g_atomic_int_compare_and_exchange(&sync->node->state, HS_NODE_READY, HS_NODE_STARTING);
}

void hs_config_sync_step(hs_config_sync *sync, uint64_t now_ms) {
    peer_offsets offsets = read_peer_offsets(sync->node);
    bool behind = offsets.best_offset > hs_config_store_offset(sync->node->config);
    if (behind && offsets.best_port != 0 && now_ms >= sync->next_fetch_ms) {
        sync->next_fetch_ms = now_ms + FETCH_INTERVAL_MS;
        fetch_config(sync->node, &offsets);
    }
    set_ready_if_confirmed(sync, &offsets, now_ms);
}
