/** @file listing.c  See listing.h. */
#include "daemon/listing.h"

#include "base/clock.h"
#include "daemon/config_sync.h"
#include "platform/machine_list.h"

#include <string.h>

#define TICK_MS 50
#define RENEW_NOTICES_MS 2000

struct hs_listing {
    hs_node *node;
    uint64_t next_list_ms;
    uint64_t next_renew_ms;
    hs_config_sync *sync;
    gint stopping;
    GThread *thread;
};

static void take_machines(hs_node *node, GPtrArray *machines) {
    uint64_t now_ms = hs_clock_monotonic_ms();
    hs_engine_table_listing_begin(node->engines);
    for (guint index = 0; index < machines->len; index++) {
        const hs_machine *machine = machines->pdata[index];
        if (machine->kind == HS_MACHINE_ENGINE)
            hs_engine_table_list(node->engines, machine->id, machine->url, machine->zone,
                                 machine->labels, machine->leaving);
    }
    hs_engine_table_listing_end(node->engines);
    hs_membership *membership = hs_membership_service_lock(node->membership);
    for (guint index = 0; index < machines->len; index++) {
        const hs_machine *machine = machines->pdata[index];
        if (machine->kind == HS_MACHINE_DAEMON && !machine->leaving && machine->peer_port != 0)
            hs_membership_propose(membership, machine->id, machine->address, machine->peer_port,
                                  now_ms);
    }
    hs_membership_service_unlock(node->membership);
}

/** Counts go out again from time to time, so that a lost notice does not linger. */
static void renew_notices(hs_node *node) {
    GArray *infos = hs_engine_table_infos(node->engines, hs_clock_monotonic_ms());
    for (guint index = 0; index < infos->len; index++) {
        const hs_engine_info *info = &g_array_index(infos, hs_engine_info, index);
        if (info->in_flight > 0)
            hs_node_notice_online(node, info->id);
    }
    hs_engine_infos_free(infos);
}

static gpointer run_listing(gpointer data) {
    hs_listing *listing = data;
    hs_node *node = listing->node;
    while (g_atomic_int_get(&listing->stopping) == 0) {
        uint64_t now_ms = hs_clock_monotonic_ms();
        GPtrArray *machines = NULL;
        hs_error error = {0};
        if (now_ms >= listing->next_list_ms) {
            listing->next_list_ms = now_ms + (uint64_t)node->settings->machine_list_interval_ms;
            if (hs_machine_list_read(node->settings->platform_url,
                                     (uint32_t)node->settings->platform_timeout_s, &machines,
                                     &error) == 0) {
                take_machines(node, machines);
                g_ptr_array_unref(machines);
            }
        }
        if (now_ms >= listing->next_renew_ms) {
            listing->next_renew_ms = now_ms + RENEW_NOTICES_MS;
            renew_notices(node);
        }
        hs_config_sync_step(listing->sync, now_ms);
        hs_clock_sleep_ms(TICK_MS);
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
    g_free(listing);
}
