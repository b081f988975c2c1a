/** @file evacuation_exchange.c  See evacuation_exchange.h. */
#include "directory/evacuation_exchange.h"

#include "base/log.h"
#include "fleet/engine_evacuation.h"

struct hs_evacuation_exchange {
    hs_fleet_engines *engines;
    hs_membership_service *membership;
    gint rejected; /**< Invalid sets received; atomic. Only the first is logged. */
};

/** A message with all evacuated zones, in one block of memory that borrows from @c set. */
typedef struct {
    hs_evacuation_set set;
    Hs__PeerMessage message;
    Hs__Evacuations body;
    Hs__EvacuatedZone zones[HS_MAX_EVACUATED_ZONES];
    Hs__EvacuatedZone *zone_list[HS_MAX_EVACUATED_ZONES];
} outgoing_set;

hs_evacuation_exchange *hs_evacuation_exchange_new(hs_fleet_engines *engines,
                                                   hs_membership_service *membership) {
    hs_evacuation_exchange *exchange = g_new0(hs_evacuation_exchange, 1);
    exchange->engines = engines;
    exchange->membership = membership;
    return exchange;
}

void hs_evacuation_exchange_free(hs_evacuation_exchange *exchange) {
    g_free(exchange);
}

/**
 * Creates the message with this daemon's set; free with free_outgoing. NULL if there are too many
 * zones: a set without some of them would withdraw their evacuations.
 */
static outgoing_set *write_set(hs_fleet_engines *engines) {
    outgoing_set *out = g_new0(outgoing_set, 1);
    hs_evacuation_set_init(&out->set, 0);
    hs_fleet_engines_list_evacuations(engines, &out->set);
    if (out->set.records->len > HS_MAX_EVACUATED_ZONES) {
        hs_log_warning("evacuations_not_sent", "zones=%u limit=%d", out->set.records->len,
                       HS_MAX_EVACUATED_ZONES);
        hs_evacuation_set_clear(&out->set);
        g_free(out);
        return NULL;
    }
    hs__peer_message__init(&out->message);
    hs__evacuations__init(&out->body);
    out->body.as_of_offset = out->set.as_of_offset;
    out->body.n_zones = out->set.records->len;
    out->body.zones = out->zone_list;
    for (guint index = 0; index < out->set.records->len; index++) {
        const hs_evacuation_record *record =
            &g_array_index(out->set.records, hs_evacuation_record, index);
        hs__evacuated_zone__init(&out->zones[index]);
        out->zones[index].zone = record->zone;
        out->zones[index].offset = record->offset;
        out->zone_list[index] = &out->zones[index];
    }
    out->message.kind_case = HS__PEER_MESSAGE__KIND_EVACUATIONS;
    out->message.evacuations = &out->body;
    return out;
}

static void free_outgoing(outgoing_set *out) {
    hs_evacuation_set_clear(&out->set);
    g_free(out);
}

static void read_set(const Hs__Evacuations *body, hs_evacuation_set *set) {
    hs_evacuation_set_init(set, body->as_of_offset);
    for (size_t index = 0; index < body->n_zones; index++)
        hs_evacuation_set_add(set, body->zones[index]->zone, body->zones[index]->offset, true);
}

/** Counts an invalid set, which changes nothing. */
static void reject(hs_evacuation_exchange *exchange, const char *sender, const char *fault) {
    if (g_atomic_int_add(&exchange->rejected, 1) == 0)
        hs_log_warning("evacuations_rejected", "daemon=%s cause=%s", sender, fault);
}

bool hs_evacuation_exchange_handle(hs_evacuation_exchange *exchange, const Hs__PeerMessage *message,
                                   const struct sockaddr_in *from) {
    if (message->kind_case != HS__PEER_MESSAGE__KIND_EVACUATIONS)
        return false;
    hs_evacuation_set set;
    read_set(message->evacuations, &set);
    const char *fault = hs_evacuation_set_fault(&set);
    if (fault != NULL) {
        reject(exchange, message->sender_id, fault);
    } else if (hs_fleet_engines_has_newer_evacuations(exchange->engines, &set)) {
        outgoing_set *out = write_set(exchange->engines);
        if (out != NULL) {
            hs_membership_service_reply(exchange->membership, from, &out->message);
            free_outgoing(out);
        }
    } else {
        hs_fleet_engines_put_peer_evacuations(exchange->engines, message->sender_id, &set);
    }
    hs_evacuation_set_clear(&set);
    return true;
}

void hs_evacuation_exchange_tick(hs_evacuation_exchange *exchange, uint64_t now_ms) {
    uint32_t max_recipients = hs_fleet_engines_tick_evacuations(exchange->engines, now_ms);
    if (max_recipients == 0)
        return;
    outgoing_set *out = write_set(exchange->engines);
    if (out == NULL)
        return;
    hs_membership_service_send_to_random(exchange->membership, max_recipients, &out->message);
    free_outgoing(out);
}

GBytes *hs_evacuation_exchange_encode(hs_fleet_engines *engines) {
    outgoing_set *out = write_set(engines);
    if (out == NULL)
        return NULL;
    GBytes *encoded = NULL;
    if (out->body.as_of_offset > 0) {
        size_t length = hs__evacuations__get_packed_size(&out->body);
        uint8_t *bytes = g_malloc(length);
        hs__evacuations__pack(&out->body, bytes);
        encoded = g_bytes_new_take(bytes, length);
    }
    free_outgoing(out);
    return encoded;
}

void hs_evacuation_exchange_apply_encoded(hs_fleet_engines *engines, GBytes *encoded) {
    size_t length = 0;
    const uint8_t *bytes = g_bytes_get_data(encoded, &length);
    Hs__Evacuations *body = hs__evacuations__unpack(NULL, length, bytes);
    if (body == NULL) {
        hs_log_warning("evacuations_rejected", "daemon=- cause=unreadable");
        return;
    }
    hs_evacuation_set set;
    read_set(body, &set);
    const char *fault = hs_evacuation_set_fault(&set);
    if (fault != NULL)
        hs_log_warning("evacuations_rejected", "daemon=- cause=%s", fault);
    else
        hs_fleet_engines_put_peer_evacuations(engines, "-", &set);
    hs_evacuation_set_clear(&set);
    hs__evacuations__free_unpacked(body, NULL);
}
