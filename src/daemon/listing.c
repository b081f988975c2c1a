/** @file listing.c  See listing.h. */
#include "daemon/listing.h"

#include "base/clock.h"
#include "base/endpoint.h"
#include "base/log.h"
#include "daemon/config_sync.h"
#include "daemon/peer_engines.h"
#include "store/machine_list.h"

#include <string.h>

#define ROUND_INTERVAL_MS 50
#define RENEW_INTERVAL_MS 2000
#define MIN_SLEEP_MS 1500
#define EVICT_INTERVAL_MS 1000

struct hs_listing {
    hs_node *node;
    uint64_t next_list_ms;
    uint64_t next_renew_ms;
    uint64_t next_evict_ms;
    uint64_t last_round_ms; /**< End of the last round; 0: none yet. */
    hs_config_sync *sync;
    char *etag; /**< ETag of the last list read; NULL: none yet. */
    gint stopping;
    GThread *thread;
};

static bool has_any_engine(const GPtrArray *machines) {
    for (guint index = 0; index < machines->len; index++)
        if (((hs_machine *)machines->pdata[index])->kind == HS_MACHINE_ENGINE)
            return true;
    return false;
}

static void apply_machine_list(hs_node *node, GPtrArray *machines) {
    uint64_t now_ms = hs_clock_monotonic_ms();
    /* A list without engines is taken for faulty, as applying it would stop all service. */
    if (!has_any_engine(machines)) {
        hs_log_warning("list_without_engines", "machines=%u", machines->len);
        return;
    }
    hs_engine_table_begin_listing(node->engines);
    for (guint index = 0; index < machines->len; index++) {
        const hs_machine *machine = machines->pdata[index];
        if (machine->kind == HS_MACHINE_ENGINE)
            hs_engine_table_put_listed(node->engines, machine->id, machine->url, machine->zone,
                                       machine->labels, machine->leaving);
    }
    hs_engine_table_end_listing(node->engines);
    hs_membership *membership = hs_membership_service_lock(node->membership);
    for (guint index = 0; index < machines->len; index++) {
        const hs_machine *machine = machines->pdata[index];
        if (machine->kind == HS_MACHINE_DAEMON && !machine->leaving && machine->peer_port != 0)
            hs_membership_propose(membership, machine->id, machine->address, machine->peer_port,
                                  now_ms);
    }
    hs_membership_service_unlock(node->membership);
}

/** Proposes the seed peers of the settings, so that a daemon can start without the machine list. */
static void propose_seeds(hs_node *node) {
    g_auto(GStrv) seeds = g_strsplit(node->settings->peer_seeds, ",", -1);
    for (int index = 0; seeds[index] != NULL; index++) {
        hs_endpoint seed;
        if (!hs_endpoint_parse(g_strstrip(seeds[index]), &seed))
            continue;
        /* The member is listed under its address until its first answer gives its name. */
        g_autofree char *name = g_strdup_printf("seed-%s:%u", seed.host, seed.port);
        hs_membership *membership = hs_membership_service_lock(node->membership);
        hs_membership_propose(membership, name, seed.address, seed.port, hs_clock_monotonic_ms());
        hs_membership_service_unlock(node->membership);
    }
}

/** Marks engines as leaving that live peers report as leaving. */
static void learn_leaving_engines(hs_node *node) {
    g_autoptr(GPtrArray) members = g_ptr_array_new();
    g_autoptr(GPtrArray) names = g_ptr_array_new_with_free_func(g_free);
    hs_membership *membership = hs_membership_service_lock(node->membership);
    hs_membership_list(membership, members);
    for (guint index = 0; index < members->len; index++) {
        const hs_member *member = members->pdata[index];
        if (member == hs_membership_self(membership) || !hs_member_is_live(member))
            continue;
        for (guint position = 0; position < member->leaving_engines->len; position++)
            g_ptr_array_add(names, g_strdup(member->leaving_engines->pdata[position]));
    }
    hs_membership_service_unlock(node->membership);
    for (guint index = 0; index < names->len; index++)
        hs_engine_table_note_leaving(node->engines, names->pdata[index], false,
                                     hs_clock_monotonic_ms());
}

/**
 * Detects by the time between two rounds that the process was suspended. Its state may be outdated,
 * so that it accepts no new work until the configuration offset is confirmed again.
 */
static void detect_sleep(hs_listing *listing, uint64_t now_ms) {
    bool slept = listing->last_round_ms != 0 && now_ms > listing->last_round_ms + MIN_SLEEP_MS;
    if (slept && hs_node_get_state(listing->node) == HS_NODE_READY) {
        hs_log_warning("slept", "ms=%" G_GUINT64_FORMAT, now_ms - listing->last_round_ms);
        hs_config_store_mark_unconfirmed(listing->node->config);
        hs_config_sync_restart(listing->sync, now_ms);
        hs_config_store_catch_up(listing->node->config);
    }
    listing->last_round_ms = hs_clock_monotonic_ms();
}

/** Sends the counts of open online requests again, in case a notice was lost. */
static void renew_notices(hs_node *node) {
    GArray *infos = hs_engine_table_infos(node->engines, hs_clock_monotonic_ms());
    for (guint index = 0; index < infos->len; index++) {
        const hs_engine_info *info = &g_array_index(infos, hs_engine_info, index);
        if (info->in_flight > 0)
            hs_node_send_online_notice(node, info->id);
    }
    hs_engine_infos_free(infos);
}

/** Reads the machine list; until the first success, a failure falls back to a peer's engines. */
static void read_list(hs_listing *listing) {
    hs_node *node = listing->node;
    GPtrArray *machines = NULL;
    hs_error error = {0};
    int result = hs_machine_list_read(node->settings->platform_url,
                                      (uint32_t)node->settings->platform_timeout_s, &listing->etag,
                                      &machines, &error);
    if (machines != NULL) {
        apply_machine_list(node, machines);
        g_ptr_array_unref(machines);
    }
    if (result != 0 && listing->etag == NULL)
        hs_peer_engines_fetch(node);
}

static gpointer run_listing(gpointer data) {
    hs_listing *listing = data;
    hs_node *node = listing->node;
    propose_seeds(node);
    while (g_atomic_int_get(&listing->stopping) == 0) {
        uint64_t now_ms = hs_clock_monotonic_ms();
        detect_sleep(listing, now_ms);
        if (now_ms >= listing->next_list_ms) {
            listing->next_list_ms = now_ms + (uint64_t)node->settings->machine_list_interval_ms;
            read_list(listing);
        }
        if (now_ms >= listing->next_evict_ms) {
            listing->next_evict_ms = now_ms + EVICT_INTERVAL_MS;
            hs_replica_set_evict_idle(node->replicas, now_ms,
                                      (uint64_t)node->settings->replica_idle_s * 1000);
        }
        if (now_ms >= listing->next_renew_ms) {
            listing->next_renew_ms = now_ms + RENEW_INTERVAL_MS;
            renew_notices(node);
        }
        learn_leaving_engines(node);
        hs_config_sync_step(listing->sync, now_ms);
        listing->last_round_ms = hs_clock_monotonic_ms();
        hs_clock_sleep_ms(ROUND_INTERVAL_MS);
    }
    return NULL;
}

hs_listing *hs_listing_start(hs_node *node) {
    hs_listing *listing = g_new0(hs_listing, 1);
    listing->node = node;
    listing->sync = hs_config_sync_new(node);
    listing->thread = g_thread_new("machine-list", run_listing, listing);
    return listing;
}

void hs_listing_stop(hs_listing *listing) {
    g_atomic_int_set(&listing->stopping, 1);
    g_thread_join(listing->thread);
    hs_config_sync_free(listing->sync);
    g_free(listing->etag);
    g_free(listing);
}
