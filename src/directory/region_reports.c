/** @file region_reports.c  See region_reports.h. */
#include "directory/region_reports.h"

#include "directory/slot_arbiter.h"
#include "fleet/engine_words.h"

#include <string.h>

/** Key by which the daemon that sends a region's reports is chosen. */
#define SENDER_KEY "region-reports"

typedef struct {
    uint32_t address;
    uint16_t port;
} receiver;

/** Lists the other live members by region: region -> GArray of receiver. */
static GHashTable *list_receivers(hs_membership_service *service) {
    GHashTable *regions =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, (GDestroyNotify)g_array_unref);
    g_autoptr(GPtrArray) members = g_ptr_array_new();
    hs_membership *membership = hs_membership_service_lock(service);
    hs_membership_list(membership, members);
    for (guint index = 0; index < members->len; index++) {
        const hs_member *member = members->pdata[index];
        if (member == hs_membership_self(membership) || !hs_member_is_alive(member) ||
            *member->region == '\0')
            continue;
        GArray *receivers = g_hash_table_lookup(regions, member->region);
        if (receivers == NULL) {
            receivers = g_array_new(FALSE, FALSE, sizeof(receiver));
            g_hash_table_insert(regions, g_strdup(member->region), receivers);
        }
        receiver entry = {.address = member->address, .port = member->peer_port};
        g_array_append_val(receivers, entry);
    }
    hs_membership_service_unlock(service);
    return regions;
}

/** Returns this daemon's region if the daemon sends the region's reports, else NULL. */
static char *region_to_send(hs_membership_service *service) {
    const hs_membership *membership = hs_membership_service_lock(service);
    const hs_member *self = hs_membership_self(membership);
    bool is_sender = *self->region != '\0' &&
                     hs_membership_rank_in_region(membership, SENDER_KEY, self->region) == self;
    char *region = is_sender ? g_strdup(self->region) : NULL;
    hs_membership_service_unlock(service);
    return region;
}

/** Selects the most recent reports on the region's engines; the index replaces the hash. */
static GArray *select_reports(hs_fleet_engines *engines, const char *region, const GArray *known) {
    GArray *selected = g_array_new(FALSE, FALSE, sizeof(hs_relay_candidate));
    for (guint index = 0; index < known->len; index++) {
        const hs_engine_load_report *load = &g_array_index(known, hs_engine_load_report, index);
        hs_relay_candidate candidate = {.engine_hash = index, .age_ms = load->age_ms};
        if (g_strcmp0(hs_fleet_engines_region(engines, load->engine_hash), region) == 0)
            g_array_append_val(selected, candidate);
    }
    size_t count = hs_engine_reports_pick((hs_relay_candidate *)selected->data, selected->len);
    g_array_set_size(selected, (guint)count);
    return selected;
}

/** Sends @p reports to one random daemon of each other region. */
static void send_to_regions(hs_membership_service *service, const char *own_region,
                            Hs__EngineTotals *reports) {
    Hs__PeerMessage message = HS__PEER_MESSAGE__INIT;
    message.kind_case = HS__PEER_MESSAGE__KIND_ENGINE_TOTALS;
    message.engine_totals = reports;
    g_autoptr(GHashTable) regions = list_receivers(service);
    GHashTableIter iterator;
    gpointer region = NULL;
    gpointer value = NULL;
    g_hash_table_iter_init(&iterator, regions);
    while (g_hash_table_iter_next(&iterator, &region, &value)) {
        const GArray *receivers = value;
        if (strcmp(region, own_region) == 0)
            continue;
        guint chosen = (guint)g_random_int_range(0, (gint32)receivers->len);
        const receiver *to = &g_array_index(receivers, receiver, chosen);
        hs_membership_service_send(service, to->address, to->port, &message);
    }
}

void hs_region_reports_send(hs_fleet_engines *engines, hs_membership_service *membership) {
    g_autofree char *region = region_to_send(membership);
    if (region == NULL || !hs_fleet_engines_is_relaying_reports(engines))
        return;
    g_autoptr(GArray) known = hs_fleet_engines_list_reports(engines);
    g_autoptr(GArray) selected = select_reports(engines, region, known);
    g_autofree Hs__EngineTotal *encoded = g_new(Hs__EngineTotal, selected->len + 1);
    g_autofree Hs__EngineTotal **list = g_new(Hs__EngineTotal *, selected->len + 1);
    for (guint index = 0; index < selected->len; index++) {
        const hs_relay_candidate *candidate = &g_array_index(selected, hs_relay_candidate, index);
        hs_slot_arbiter_encode_report(
            &g_array_index(known, hs_engine_load_report, candidate->engine_hash), &encoded[index]);
        list[index] = &encoded[index];
    }
    Hs__EngineTotals reports = HS__ENGINE_TOTALS__INIT;
    reports.n_passed_on = selected->len;
    reports.passed_on = list;
    if (selected->len > 0)
        send_to_regions(membership, region, &reports);
}

/** Returns this daemon's region if @p sender is a member of another one, else NULL. */
static char *region_to_relay_in(hs_membership_service *service, const char *sender) {
    const hs_membership *membership = hs_membership_service_lock(service);
    const hs_member *member = hs_membership_find(membership, sender);
    bool is_far = member != NULL && hs_membership_is_far(membership, member);
    char *region = is_far ? g_strdup(hs_membership_self(membership)->region) : NULL;
    hs_membership_service_unlock(service);
    return region;
}

void hs_region_reports_relay(hs_membership_service *membership, const Hs__PeerMessage *message) {
    if (message->kind_case != HS__PEER_MESSAGE__KIND_ENGINE_TOTALS ||
        message->engine_totals->n_totals > 0 || message->engine_totals->n_passed_on == 0)
        return;
    g_autofree char *region = region_to_relay_in(membership, message->sender_id);
    if (region == NULL)
        return;
    Hs__PeerMessage relayed = HS__PEER_MESSAGE__INIT;
    relayed.kind_case = HS__PEER_MESSAGE__KIND_ENGINE_TOTALS;
    relayed.engine_totals = message->engine_totals;
    g_autoptr(GHashTable) regions = list_receivers(membership);
    const GArray *receivers = g_hash_table_lookup(regions, region);
    for (guint index = 0; receivers != NULL && index < receivers->len; index++) {
        const receiver *to = &g_array_index(receivers, receiver, index);
        hs_membership_service_send(membership, to->address, to->port, &relayed);
    }
}
