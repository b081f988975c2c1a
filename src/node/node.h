/**
 * @file node.h
 * The components of one daemon that commands and queries use. src/daemon creates and owns them.
 */
#ifndef HS_NODE_NODE_H
#define HS_NODE_NODE_H

#include "base/drain.h"
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
 * STARTING -> READY when the configuration is known; READY -> STARTING after a system suspend;
 * any state -> DRAINING on a signal; DRAINING -> STOPPING after the notice time.
 */
typedef enum {
    HS_NODE_STARTING,
    HS_NODE_READY,
    HS_NODE_DRAINING, /**< Reports not ready, but still accepts requests. */
    HS_NODE_STOPPING, /**< Refuses new requests; completes those in progress. */
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
    hs_demand *demand; /**< Requests received by this daemon, by group and model. */
    GMutex retry_lock;
    hs_retry_budget retry_budget;
    hs_metrics metrics;
    hs_trace_log *traces;
    GThreadPool *online_workers; /**< Runs attempts of online requests. */
    gint notice_sequence;
    gint online_count; /**< Online requests in progress. */
    gint call_count;   /**< Callers' handlers in progress. */
    gint state;        /**< hs_node_state */
    hs_drain *drain;
    hs_front_watch *front_watch; /**< NULL: this daemon does not serve callers. */
} hs_node;

hs_node_state hs_node_get_state(hs_node *node);

/** Returns whether the daemon accepts new requests. */
bool hs_node_is_accepting_requests(hs_node *node);

/** Returns whether callers' connections are accepted; true if callers are not served. */
bool hs_node_is_accepting_connections(const hs_node *node);

const char *hs_node_state_name(hs_node_state state);

/** Returns the number of live daemons, including this one. */
uint32_t hs_node_live_daemon_count(hs_node *node);

/** Reports this daemon's number of online requests on the engine to the engine's scheduler. */
void hs_node_send_online_notice(hs_node *node, const char *engine_id);

#endif
