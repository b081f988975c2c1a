/** @file membership_service.c  See membership_service.h. */
#include "membership/membership_service.h"

#include "base/clock.h"
#include "base/log.h"
#include "membership/member_record.h"

#include <arpa/inet.h>
#include <string.h>

/** Member records per datagram; about 1,000 bytes. */
#define MAX_DATAGRAM_RECORDS 12
/**
 * Member records sent with one probe or acknowledgement, in additional datagrams. One datagram per
 * probe would delay the records for seconds if hundreds of daemons fail or start at once, and
 * callers would be directed to failed daemons meanwhile.
 */
#define MAX_GOSSIP_RECORDS 60
/** Interval of the checks for what is due: a fifth of the shortest probe interval (100 ms). */
#define TICK_MS 20
/** Indirect probes awaiting an acknowledgement; the oldest are dropped beyond this. */
#define MAX_INDIRECT_PROBES 256
/** Members notified directly when this daemon leaves; the others are notified by gossip. */
#define MAX_LEAVE_MESSAGES 32
/**
 * A new daemon requests missing records with each probe for HS_MEMBERSHIP_JOINING_MS, then every
 * SETTLING_COMPARE_INTERVAL_MS until SETTLING_MS after its start, then every COMPARE_INTERVAL_MS to
 * repair records lost in gossip.
 */
#define SETTLING_MS 10000
#define SETTLING_COMPARE_INTERVAL_MS 2000
#define COMPARE_INTERVAL_MS 60000

/** An indirect probe sent on behalf of another member, the origin. */
typedef struct {
    uint32_t own_sequence;
    uint32_t origin_sequence;
    uint32_t origin_address;
    uint16_t origin_port;
    char subject_id[64];
} indirect_probe;

struct hs_membership_service {
    hs_membership_service_settings settings;
    hs_peer_socket *socket;
    GMutex lock;
    hs_membership *membership;
    GArray *indirect_probes; /**< Of indirect_probe. */
    uint32_t next_indirect_sequence;
    uint64_t next_probe_ms;
    uint32_t rounds;          /**< Probe intervals begun. */
    uint64_t started_ms;      /**< Time of the first probe; 0: none yet. */
    uint64_t next_compare_ms; /**< Time of the next request for missing records. */
    char *self_id;
    gint stopping;
    GThread *thread;
};

/** Distinguishes sequences of indirect probes from those of the state machine. */
#define INDIRECT_SEQUENCE_BASE 0x80000000U

hs_membership_service *hs_membership_service_new(const hs_member *self,
                                                 const hs_membership_service_settings *settings,
                                                 hs_peer_socket *socket) {
    hs_membership_service *service = g_new0(hs_membership_service, 1);
    service->settings = *settings;
    service->socket = socket;
    g_mutex_init(&service->lock);
    service->membership = hs_membership_new(self, &settings->membership, g_str_hash(self->id));
    service->indirect_probes = g_array_new(FALSE, FALSE, sizeof(indirect_probe));
    service->next_indirect_sequence = INDIRECT_SEQUENCE_BASE;
    service->self_id = g_strdup(self->id);
    return service;
}

void hs_membership_service_free(hs_membership_service *service) {
    hs_membership_free(service->membership);
    g_array_free(service->indirect_probes, TRUE);
    g_free(service->self_id);
    g_mutex_clear(&service->lock);
    g_free(service);
}

hs_membership *hs_membership_service_lock(hs_membership_service *service) {
    g_mutex_lock(&service->lock);
    return service->membership;
}

void hs_membership_service_unlock(hs_membership_service *service) {
    g_mutex_unlock(&service->lock);
}

/** Member records to send with a message. */
typedef struct {
    GPtrArray *records; /**< Of Hs__MemberRecord*, owned. */
} gossip;

static gossip collect_gossip(hs_membership_service *service, const char *receiver_id) {
    g_autoptr(GPtrArray) members = g_ptr_array_new();
    gossip selected = {.records = g_ptr_array_new_with_free_func(hs_member_record_free)};
    g_mutex_lock(&service->lock);
    hs_membership_collect_gossip(service->membership, receiver_id, MAX_GOSSIP_RECORDS, members);
    for (guint index = 0; index < members->len; index++)
        g_ptr_array_add(selected.records, hs_member_record_new(members->pdata[index]));
    g_mutex_unlock(&service->lock);
    return selected;
}

uint64_t hs_membership_service_incarnation(hs_membership_service *service) {
    g_mutex_lock(&service->lock);
    uint64_t incarnation = hs_membership_self(service->membership)->incarnation;
    g_mutex_unlock(&service->lock);
    return incarnation;
}

void hs_membership_service_set_sender(hs_membership_service *service, Hs__PeerMessage *message) {
    g_mutex_lock(&service->lock);
    message->sender_id = service->self_id;
    message->sender_incarnation = hs_membership_self(service->membership)->incarnation;
    g_mutex_unlock(&service->lock);
}

typedef struct {
    uint32_t address;
    uint16_t port; /**< 0: unknown. */
} member_address;

static member_address address_of(const hs_member *member) {
    if (member == NULL)
        return (member_address){0};
    return (member_address){.address = member->address, .port = member->peer_port};
}

void hs_membership_service_send(hs_membership_service *service, uint32_t address, uint16_t port,
                                Hs__PeerMessage *message) {
    if (port == 0)
        return;
    hs_membership_service_set_sender(service, message);
    hs_peer_socket_send(service->socket, address, port, message);
}

void hs_membership_service_reply(hs_membership_service *service, const struct sockaddr_in *to,
                                 Hs__PeerMessage *message) {
    hs_membership_service_send(service, ntohl(to->sin_addr.s_addr), ntohs(to->sin_port), message);
}

void hs_membership_service_send_to_owner(hs_membership_service *service, uint32_t partition,
                                         Hs__PeerMessage *message) {
    uint32_t epoch = 0;
    g_mutex_lock(&service->lock);
    member_address to =
        address_of(hs_membership_find_owner(service->membership, partition, &epoch));
    g_mutex_unlock(&service->lock);
    hs_membership_service_send(service, to.address, to.port, message);
}

uint32_t hs_membership_service_rank(hs_membership_service *service, const char *key,
                                    uint32_t max_rank) {
    uint32_t rank = 0;
    const hs_membership *membership = hs_membership_service_lock(service);
    const hs_member *self = hs_membership_self(membership);
    const hs_member *member = hs_membership_rank_next(membership, key, NULL);
    for (; member != NULL && member != self && rank < max_rank;
         member = hs_membership_rank_next(membership, key, member))
        rank++;
    hs_membership_service_unlock(service);
    return rank;
}

bool hs_membership_service_is_first(hs_membership_service *service, const char *key) {
    const hs_membership *membership = hs_membership_service_lock(service);
    bool is_first =
        hs_membership_rank_first(membership, key, NULL) == hs_membership_self(membership);
    hs_membership_service_unlock(service);
    return is_first;
}

void hs_membership_service_send_to_first(hs_membership_service *service, const char *key,
                                         Hs__PeerMessage *message) {
    g_mutex_lock(&service->lock);
    member_address to = address_of(hs_membership_rank_first(service->membership, key, NULL));
    g_mutex_unlock(&service->lock);
    hs_membership_service_send(service, to.address, to.port, message);
}

void hs_membership_service_send_to_random(hs_membership_service *service, uint32_t max_count,
                                          Hs__PeerMessage *message) {
    g_autoptr(GPtrArray) members = g_ptr_array_new();
    g_autoptr(GArray) addresses = g_array_new(FALSE, FALSE, sizeof(member_address));
    g_mutex_lock(&service->lock);
    hs_membership_list(service->membership, members);
    for (guint index = 0; index < members->len; index++) {
        const hs_member *member = members->pdata[index];
        member_address address = address_of(member);
        if (!member->is_self && hs_member_is_alive(member))
            g_array_append_val(addresses, address);
    }
    g_mutex_unlock(&service->lock);
    for (guint sent = 0; sent < MIN(addresses->len, max_count); sent++) {
        guint other = (guint)g_random_int_range((gint32)sent, (gint32)addresses->len);
        member_address chosen = g_array_index(addresses, member_address, other);
        g_array_index(addresses, member_address, other) =
            g_array_index(addresses, member_address, sent);
        hs_membership_service_send(service, chosen.address, chosen.port, message);
    }
}

/** Sends records, at most MAX_DATAGRAM_RECORDS per datagram. */
static void send_records(hs_membership_service *service, uint32_t address, uint16_t port,
                         Hs__MemberRecord **records, size_t count, bool is_answer) {
    for (size_t first = 0; first < count; first += MAX_DATAGRAM_RECORDS) {
        Hs__MemberList list = HS__MEMBER_LIST__INIT;
        list.n_records = MIN(MAX_DATAGRAM_RECORDS, count - first);
        list.records = records + first;
        list.is_answer = is_answer;
        Hs__PeerMessage message = HS__PEER_MESSAGE__INIT;
        message.kind_case = HS__PEER_MESSAGE__KIND_MEMBER_LIST;
        message.member_list = &list;
        hs_membership_service_send(service, address, port, &message);
    }
}

/** Sends the records that exceed the limit of the message sent before. */
static void send_remaining(hs_membership_service *service, uint32_t address, uint16_t port,
                           const gossip *selected) {
    if (selected->records->len > MAX_DATAGRAM_RECORDS)
        send_records(service, address, port,
                     (Hs__MemberRecord **)selected->records->pdata + MAX_DATAGRAM_RECORDS,
                     selected->records->len - MAX_DATAGRAM_RECORDS, false);
}

/** Returns the hashes (uint32_t) of all member records. Free with g_array_unref. */
static GArray *copy_hashes(hs_membership_service *service) {
    GArray *known = g_array_new(FALSE, FALSE, sizeof(uint32_t));
    g_mutex_lock(&service->lock);
    hs_membership_list_hashes(service->membership, known);
    g_mutex_unlock(&service->lock);
    return known;
}

static void send_probe(hs_membership_service *service, const hs_probe_order *order, bool want_all) {
    gossip selected = collect_gossip(service, order->receiver_id);
    g_autoptr(GArray) known = want_all ? copy_hashes(service) : NULL;
    Hs__Probe probe = HS__PROBE__INIT;
    probe.sequence = order->sequence;
    probe.target_id = (char *)order->target_id;
    probe.want_all = want_all;
    probe.n_known = known != NULL ? known->len : 0;
    probe.known = known != NULL ? (uint32_t *)(void *)known->data : NULL;
    probe.n_gossip = MIN(selected.records->len, MAX_DATAGRAM_RECORDS);
    probe.gossip = (Hs__MemberRecord **)selected.records->pdata;
    Hs__PeerMessage message = HS__PEER_MESSAGE__INIT;
    message.kind_case = HS__PEER_MESSAGE__KIND_PROBE;
    message.probe = &probe;
    hs_membership_service_send(service, order->address, order->port, &message);
    send_remaining(service, order->address, order->port, &selected);
    g_ptr_array_free(selected.records, TRUE);
}

typedef struct {
    const char *id; /**< Empty if unknown. */
    uint32_t address;
    uint16_t port;
} ack_receiver;

static void send_ack(hs_membership_service *service, const ack_receiver *receiver,
                     uint32_t sequence, const char *subject_id) {
    gossip selected = collect_gossip(service, receiver->id);
    Hs__ProbeAck ack = HS__PROBE_ACK__INIT;
    ack.sequence = sequence;
    ack.subject_id = (char *)subject_id;
    ack.n_gossip = MIN(selected.records->len, MAX_DATAGRAM_RECORDS);
    ack.gossip = (Hs__MemberRecord **)selected.records->pdata;
    Hs__PeerMessage message = HS__PEER_MESSAGE__INIT;
    message.kind_case = HS__PEER_MESSAGE__KIND_PROBE_ACK;
    message.probe_ack = &ack;
    hs_membership_service_send(service, receiver->address, receiver->port, &message);
    send_remaining(service, receiver->address, receiver->port, &selected);
    g_ptr_array_free(selected.records, TRUE);
}

/** Logs one line per message, as hundreds of members may join within a second. */
static void log_changes(Hs__MemberRecord *const *changed, guint count) {
    g_autoptr(GString) members = g_string_new(NULL);
    for (guint index = 0; index < count; index++)
        g_string_append_printf(members, "%s%s:%d", index > 0 ? "," : "", changed[index]->id,
                               (int)changed[index]->state);
    hs_log_info("membership_change", "count=%u members=%s", count, members->str);
}

static void apply_member_records(hs_membership_service *service, Hs__MemberRecord **records,
                                 size_t count, hs_record_source source) {
    uint64_t now_ms = hs_clock_monotonic_ms();
    g_autoptr(GPtrArray) changed = g_ptr_array_new();
    g_mutex_lock(&service->lock);
    for (size_t index = 0; index < count; index++)
        if (hs_membership_apply_record(service->membership, records[index], source, now_ms))
            g_ptr_array_add(changed, records[index]);
    g_mutex_unlock(&service->lock);
    if (changed->len > 0)
        log_changes((Hs__MemberRecord *const *)changed->pdata, changed->len);
}

/** Probes the target on behalf of the sender and stores the sender for the acknowledgement. */
static void send_indirect_probe(hs_membership_service *service, const Hs__Probe *probe,
                                const struct sockaddr_in *from) {
    indirect_probe entry = {.origin_sequence = probe->sequence,
                            .origin_address = ntohl(from->sin_addr.s_addr),
                            .origin_port = ntohs(from->sin_port)};
    g_strlcpy(entry.subject_id, probe->target_id, sizeof entry.subject_id);
    g_mutex_lock(&service->lock);
    const hs_member *target = hs_membership_find(service->membership, probe->target_id);
    entry.own_sequence = service->next_indirect_sequence++ | INDIRECT_SEQUENCE_BASE;
    hs_probe_order order = {.sequence = entry.own_sequence};
    if (target != NULL) {
        order.address = target->address;
        order.port = target->peer_port;
        g_strlcpy(order.receiver_id, target->id, sizeof order.receiver_id);
        g_array_append_val(service->indirect_probes, entry);
    }
    if (service->indirect_probes->len > MAX_INDIRECT_PROBES)
        g_array_remove_index(service->indirect_probes, 0);
    g_mutex_unlock(&service->lock);
    if (order.port != 0)
        send_probe(service, &order, false);
}

static bool remove_indirect_probe(hs_membership_service *service, uint32_t sequence,
                                  indirect_probe *found) {
    bool matches = false;
    g_mutex_lock(&service->lock);
    for (guint index = 0; index < service->indirect_probes->len && !matches; index++) {
        *found = g_array_index(service->indirect_probes, indirect_probe, index);
        matches = found->own_sequence == sequence;
        if (matches)
            g_array_remove_index(service->indirect_probes, index);
    }
    g_mutex_unlock(&service->lock);
    return matches;
}

static void handle_ack(hs_membership_service *service, const Hs__ProbeAck *ack) {
    indirect_probe found;
    if (remove_indirect_probe(service, ack->sequence, &found)) {
        ack_receiver origin = {
            .id = "", .address = found.origin_address, .port = found.origin_port};
        send_ack(service, &origin, found.origin_sequence, found.subject_id);
        return;
    }
    g_mutex_lock(&service->lock);
    hs_membership_acknowledge(service->membership, ack->sequence, ack->subject_id);
    g_mutex_unlock(&service->lock);
}

/** Sends the records that the sender of the probe lacks. */
static void send_missing(hs_membership_service *service, const ack_receiver *receiver,
                         const Hs__Probe *probe) {
    g_autoptr(GPtrArray) members = g_ptr_array_new();
    g_autoptr(GPtrArray) records = g_ptr_array_new_with_free_func(hs_member_record_free);
    g_mutex_lock(&service->lock);
    hs_membership_list_missing(service->membership, probe->known, probe->n_known, members);
    for (guint index = 0; index < members->len; index++)
        g_ptr_array_add(records, hs_member_record_new(members->pdata[index]));
    g_mutex_unlock(&service->lock);
    send_records(service, receiver->address, receiver->port, (Hs__MemberRecord **)records->pdata,
                 records->len, true);
}

bool hs_membership_service_handle(hs_membership_service *service, const Hs__PeerMessage *message,
                                  const struct sockaddr_in *from) {
    if (message->kind_case == HS__PEER_MESSAGE__KIND_PROBE) {
        const Hs__Probe *probe = message->probe;
        ack_receiver sender = {.id = message->sender_id,
                               .address = ntohl(from->sin_addr.s_addr),
                               .port = ntohs(from->sin_port)};
        apply_member_records(service, probe->gossip, probe->n_gossip, HS_RECORD_FROM_GOSSIP);
        if (*probe->target_id != '\0')
            send_indirect_probe(service, probe, from);
        else
            send_ack(service, &sender, probe->sequence, service->self_id);
        if (probe->want_all)
            send_missing(service, &sender, probe);
        return true;
    }
    if (message->kind_case == HS__PEER_MESSAGE__KIND_MEMBER_LIST) {
        const Hs__MemberList *list = message->member_list;
        apply_member_records(service, list->records, list->n_records,
                             list->is_answer ? HS_RECORD_FROM_COMPARISON : HS_RECORD_FROM_GOSSIP);
        return true;
    }
    if (message->kind_case == HS__PEER_MESSAGE__KIND_PROBE_ACK) {
        apply_member_records(service, message->probe_ack->gossip, message->probe_ack->n_gossip,
                             HS_RECORD_FROM_GOSSIP);
        handle_ack(service, message->probe_ack);
        return true;
    }
    return false;
}

/**
 * Returns whether this round's probe requests missing records. A loss or start of hundreds of
 * members would take tens of seconds by gossip alone. The caller holds the lock.
 */
static bool is_comparison_due(hs_membership_service *service, uint64_t now_ms) {
    if (service->started_ms == 0)
        service->started_ms = now_ms;
    if (now_ms < service->started_ms + HS_MEMBERSHIP_JOINING_MS ||
        hs_membership_has_backlog(service->membership, MAX_GOSSIP_RECORDS))
        return true;
    if (now_ms < service->next_compare_ms)
        return false;
    bool is_settling = now_ms < service->started_ms + SETTLING_MS;
    service->next_compare_ms =
        now_ms + (is_settling ? SETTLING_COMPARE_INTERVAL_MS : COMPARE_INTERVAL_MS);
    return true;
}

void hs_membership_service_tick(hs_membership_service *service, uint64_t now_ms) {
    g_autoptr(GArray) orders = g_array_new(FALSE, FALSE, sizeof(hs_probe_order));
    bool want_all = false;
    g_mutex_lock(&service->lock);
    hs_membership_check_probes(service->membership, now_ms, orders);
    if (now_ms >= service->next_probe_ms) {
        service->next_probe_ms = now_ms + service->settings.probe_interval_ms;
        hs_membership_probe_next(service->membership, now_ms, orders);
        want_all = is_comparison_due(service, now_ms);
        service->rounds++;
    }
    g_mutex_unlock(&service->lock);
    for (guint index = 0; index < orders->len; index++) {
        const hs_probe_order *order = &g_array_index(orders, hs_probe_order, index);
        send_probe(service, order, want_all && *order->target_id == '\0');
    }
}

static gpointer run_ticker(gpointer data) {
    hs_membership_service *service = data;
    while (!g_atomic_int_get(&service->stopping)) {
        hs_membership_service_tick(service, hs_clock_monotonic_ms());
        hs_clock_sleep_ms(TICK_MS);
    }
    return NULL;
}

void hs_membership_service_start(hs_membership_service *service) {
    service->thread = g_thread_new("membership", run_ticker, service);
}

void hs_membership_service_stop(hs_membership_service *service) {
    g_atomic_int_set(&service->stopping, 1);
    g_thread_join(service->thread);
}

void hs_membership_service_leave(hs_membership_service *service) {
    g_autoptr(GPtrArray) members = g_ptr_array_new();
    g_autoptr(GArray) orders = g_array_new(FALSE, FALSE, sizeof(hs_probe_order));
    g_mutex_lock(&service->lock);
    hs_membership_leave(service->membership);
    hs_membership_list(service->membership, members);
    for (guint index = 0; index < members->len && orders->len < MAX_LEAVE_MESSAGES; index++) {
        const hs_member *member = members->pdata[index];
        if (member == hs_membership_self(service->membership) || !hs_member_is_live(member))
            continue;
        hs_probe_order order = {.address = member->address, .port = member->peer_port};
        g_strlcpy(order.receiver_id, member->id, sizeof order.receiver_id);
        g_array_append_val(orders, order);
    }
    g_mutex_unlock(&service->lock);
    for (guint index = 0; index < orders->len; index++) {
        const hs_probe_order *order = &g_array_index(orders, hs_probe_order, index);
        send_probe(service, order, false);
    }
}

bool hs_membership_service_find_address(hs_membership_service *service, const char *id,
                                        uint32_t *address, uint16_t *peer_port) {
    g_mutex_lock(&service->lock);
    const hs_member *member = hs_membership_find(service->membership, id);
    if (member != NULL) {
        *address = member->address;
        *peer_port = member->peer_port;
    }
    g_mutex_unlock(&service->lock);
    return member != NULL;
}

bool hs_membership_service_has_probed(hs_membership_service *service) {
    g_mutex_lock(&service->lock);
    bool probed = service->rounds > 1;
    g_mutex_unlock(&service->lock);
    return probed;
}
