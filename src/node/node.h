/**
 * @file node.h
 * The parts of one daemon that commands and queries work with. Made by src/daemon, borrowed here.
 */
#ifndef HS_NODE_NODE_H
#define HS_NODE_NODE_H

#include "batch/coordinator.h"
#include "config/config_store.h"
#include "heathsail/settings.h"
#include "http/front_watch.h"
#include "membership/membership_service.h"
#include "node/metrics.h"
#include "node/trace_log.h"
#include "placement/demand.h"
#include "routing/engine_table.h"
#include "routing/retry_budget.h"
#include "routing/tenant_limits.h"
#include "scheduling/scheduler.h"
#include "store/appender.h"

/**
 * STARTING -> READY when configuration is known; READY -> STARTING after a sleep;
 * any -> DRAINING by a signal; DRAINING -> STOPPING after the notice time.
 */
typedef enum {
    HS_NODE_STARTING,
    HS_NODE_READY,
    HS_NODE_DRAINING, /**< Not ready any more, but still takes what comes. */
    HS_NODE_STOPPING, /**< Refuses new requests; finishes open ones. */
} hs_node_state;

typedef struct {
    const hs_settings *settings;
    hs_log_client log;
    hs_appender *appender;
    hs_config_store *config;
    hs_engine_table *engines;
    hs_peer_socket *socket;
    hs_membership_service *membership;
    hs_replica_set *replicas;
    hs_chunk_reader *chunks;
    hs_item_runner runner;
    hs_coordinator *coordinator;
    hs_scheduler *scheduler;
    hs_tenant_limits *limits;
    hs_demand *demand; /**< Requests that came in here, by group and model. */
    GMutex retry_lock;
    hs_retry_budget retry_budget;
    hs_metrics metrics;
    hs_trace_log *traces;
    GThreadPool *online_workers; /**< Runs online attempts; see commands/online_request.c. */
    gint notice_sequence;
    gint online_count;           /**< Online requests now open. */
    gint call_count;             /**< Callers' handlers now running. */
    gint state;                  /**< hs_node_state */
    hs_front_watch *front_watch; /**< NULL: callers are not served here. */
} hs_node;

hs_node_state hs_node_state_of(hs_node *node);

/** Whether new requests are taken. */
bool hs_node_takes_requests(hs_node *node);

/** Whether callers' connections are taken; true where they are not served here. */
bool hs_node_takes_connections(const hs_node *node);

const char *hs_node_state_name(hs_node_state state);

/** Live daemons, self included. */
uint32_t hs_node_live_daemons(hs_node *node);

/** Tell the engine's scheduler how many online requests we have on the engine. */
void hs_node_notice_online(hs_node *node, const char *engine_id);

#endif
