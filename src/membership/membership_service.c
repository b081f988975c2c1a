/** @file membership_service.c  Probes over the peer socket; see membership_service.h. */
#include "membership/membership_service.h"

#include "base/clock.h"
#include "base/log.h"
#include "membership/member_record.h"

#include <arpa/inet.h>
#include <string.h>

/** Accounts in one datagram: some 1,000 bytes. */
#define GOSSIP_LIMIT 12
/**
 * Most accounts that go with one probe or acknowledgement, in further datagrams, while so much is
 * news: when hundreds of daemons die or start together, their accounts would else wait in line for
 * seconds, and callers be sent to the dead meanwhile.
 */
#define GOSSIP_BURST 60
/** Between looks at what is due, in ms: a fifth of the shortest probe interval in use (100 ms). */
#define TICK_MS 20
/** Indirect probes that are remembered: far more than are under way at once at 360 daemons. */
#define RELAYS_KEPT 256
/** Members told directly that we leave; the others hear it from them. Chosen, not measured. */
#define LEAVE_MESSAGES 32
/**
 * A new daemon asks for all accounts with each probe at first, for about as long as all daemons of
 * a fleet need to start (in ms), then each SETTLING_EVERY_MS until accounts of a start together
 * have gone round, then now and then, so that nothing stays unheard for good. Chosen, not measured.
 */
#define JOINING_MS 1500
#define SETTLING_MS 10000
#define SETTLING_EVERY_MS 2000
#define COMPARE_EVERY_MS 60000

/** An indirect probe that we run for somebody else. */
typedef struct {
    uint32_t own_sequence;
    uint32_t origin_sequence;
    uint32_t origin_address;
    uint16_t origin_port;
    char subject_id[64];
} relay;

struct hs_membership_service {
    hs_membership_service_settings settings;
    hs_peer_socket *socket;
    GMutex lock;
    hs_membership *membership;
    GArray *relays;
    uint32_t next_relay_sequence;
    uint64_t next_probe_ms;
    uint32_t rounds;
    uint64_t started_ms;      /**< When the first probe went out; 0: none yet. */
    uint64_t next_compare_ms; /**< When all accounts are asked for again. */
    char *self_id;
    gint stopping;
    GThread *thread;
};

#define RELAY_SEQUENCE_BASE 0x80000000U

hs_membership_service *hs_membership_service_new(const hs_member *self,
                                                 const hs_membership_service_settings *settings,
                                                 hs_peer_socket *socket) {
    hs_membership_service *service = g_new0(hs_membership_service, 1);
    service->settings = *settings;
    service->socket = socket;
    g_mutex_init(&service->lock);
    service->membership = hs_membership_new(self, &settings->membership, g_str_hash(self->id));
    service->relays = g_array_new(FALSE, FALSE, sizeof(relay));
    service->next_relay_sequence = RELAY_SEQUENCE_BASE;
    service->self_id = g_strdup(self->id);
    return service;
}

void hs_membership_service_free(hs_membership_service *service) {
    hs_membership_free(service->membership);
    g_array_free(service->relays, TRUE);
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

/** Accounts that go with a message. */
typedef struct {
    GPtrArray *records; /**< of Hs__MemberRecord*, owned. */
} gossip;

static gossip take_gossip(hs_membership_service *service, const char *receiver_id) {
    g_autoptr(GPtrArray) members = g_ptr_array_new();
    gossip taken = {.records = g_ptr_array_new_with_free_func(hs_member_record_free)};
    g_mutex_lock(&service->lock);
    hs_membership_gossip(service->membership, receiver_id, GOSSIP_BURST, members);
    for (guint index = 0; index < members->len; index++)
        g_ptr_array_add(taken.records, hs_member_record_new(members->pdata[index]));
    g_mutex_unlock(&service->lock);
    return taken;
}

uint64_t hs_membership_service_incarnation(hs_membership_service *service) {
    g_mutex_lock(&service->lock);
    uint64_t incarnation = hs_membership_self(service->membership)->incarnation;
    g_mutex_unlock(&service->lock);
    return incarnation;
}

void hs_membership_service_sign(hs_membership_service *service, Hs__PeerMessage *message) {
    g_mutex_lock(&service->lock);
    message->sender_id = service->self_id;
    message->sender_incarnation = hs_membership_self(service->membership)->incarnation;
    g_mutex_unlock(&service->lock);
}

/** Where a member's datagrams go. */
typedef struct {
    uint32_t address;
    uint16_t port; /**< 0: nowhere. */
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
    hs_membership_service_sign(service, message);
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
    member_address to = address_of(hs_membership_owner(service->membership, partition, &epoch));
    g_mutex_unlock(&service->lock);
    hs_membership_service_send(service, to.address, to.port, message);
}

void hs_membership_service_send_to_first(hs_membership_service *service, const char *key,
                                         Hs__PeerMessage *message) {
    g_mutex_lock(&service->lock);
    member_address to = address_of(hs_membership_rank_first(service->membership, key, NULL));
    g_mutex_unlock(&service->lock);
    hs_membership_service_send(service, to.address, to.port, message);
}

/** Send accounts, a datagram's worth at a time. */
static void send_accounts(hs_membership_service *service, uint32_t address, uint16_t port,
                          Hs__MemberRecord **records, size_t count, bool is_answer) {
    for (size_t first = 0; first < count; first += GOSSIP_LIMIT) {
        Hs__MemberList list = HS__MEMBER_LIST__INIT;
        list.n_records = MIN(GOSSIP_LIMIT, count - first);
        list.records = records + first;
        list.is_answer = is_answer;
        Hs__PeerMessage message = HS__PEER_MESSAGE__INIT;
        message.kind_case = HS__PEER_MESSAGE__KIND_MEMBER_LIST;
        message.member_list = &list;
        hs_membership_service_send(service, address, port, &message);
    }
}

/** What of @p taken did not fit into the message that went before. */
static void send_rest(hs_membership_service *service, uint32_t address, uint16_t port,
                      const gossip *taken) {
    if (taken->records->len > GOSSIP_LIMIT)
        send_accounts(service, address, port,
                      (Hs__MemberRecord **)taken->records->pdata + GOSSIP_LIMIT,
                      taken->records->len - GOSSIP_LIMIT, false);
}

/** Hashes of the accounts held here: of uint32_t. Free with g_array_unref. */
static GArray *take_known(hs_membership_service *service) {
    GArray *known = g_array_new(FALSE, FALSE, sizeof(uint32_t));
    g_mutex_lock(&service->lock);
    hs_membership_known(service->membership, known);
    g_mutex_unlock(&service->lock);
    return known;
}

static void send_probe(hs_membership_service *service, const hs_probe_order *order, bool want_all) {
    gossip taken = take_gossip(service, order->receiver_id);
    g_autoptr(GArray) known = want_all ? take_known(service) : NULL;
    Hs__Probe probe = HS__PROBE__INIT;
    probe.sequence = order->sequence;
    probe.target_id = (char *)order->target_id;
    probe.want_all = want_all;
    probe.n_known = known != NULL ? known->len : 0;
    probe.known = known != NULL ? (uint32_t *)(void *)known->data : NULL;
    probe.n_gossip = MIN(taken.records->len, GOSSIP_LIMIT);
    probe.gossip = (Hs__MemberRecord **)taken.records->pdata;
    Hs__PeerMessage message = HS__PEER_MESSAGE__INIT;
    message.kind_case = HS__PEER_MESSAGE__KIND_PROBE;
    message.probe = &probe;
    hs_membership_service_send(service, order->address, order->port, &message);
    send_rest(service, order->address, order->port, &taken);
    g_ptr_array_free(taken.records, TRUE);
}

/** Whom an acknowledgement goes to. */
typedef struct {
    const char *id; /**< Empty when unknown. */
    uint32_t address;
    uint16_t port;
} ack_receiver;

static void send_ack(hs_membership_service *service, const ack_receiver *receiver,
                     uint32_t sequence, const char *subject_id) {
    gossip taken = take_gossip(service, receiver->id);
    Hs__ProbeAck ack = HS__PROBE_ACK__INIT;
    ack.sequence = sequence;
    ack.subject_id = (char *)subject_id;
    ack.n_gossip = MIN(taken.records->len, GOSSIP_LIMIT);
    ack.gossip = (Hs__MemberRecord **)taken.records->pdata;
    Hs__PeerMessage message = HS__PEER_MESSAGE__INIT;
    message.kind_case = HS__PEER_MESSAGE__KIND_PROBE_ACK;
    message.probe_ack = &ack;
    hs_membership_service_send(service, receiver->address, receiver->port, &message);
    send_rest(service, receiver->address, receiver->port, &taken);
    g_ptr_array_free(taken.records, TRUE);
}

/** One line a message: hundreds of members join within a second of a start of all. */
static void log_changes(Hs__MemberRecord *const *changed, guint count) {
    g_autoptr(GString) members = g_string_new(NULL);
    for (guint index = 0; index < count; index++)
        g_string_append_printf(members, "%s%s:%d", index > 0 ? "," : "", changed[index]->id,
                               (int)changed[index]->state);
    hs_log_info("membership_change", "count=%u members=%s", count, members->str);
}

static void learn_all(hs_membership_service *service, Hs__MemberRecord **records, size_t count,
                      hs_account_source source) {
    uint64_t now_ms = hs_clock_monotonic_ms();
    g_autoptr(GPtrArray) changed = g_ptr_array_new();
    g_mutex_lock(&service->lock);
    for (size_t index = 0; index < count; index++)
        if (hs_membership_learn(service->membership, records[index], source, now_ms))
            g_ptr_array_add(changed, records[index]);
    g_mutex_unlock(&service->lock);
    if (changed->len > 0)
        log_changes((Hs__MemberRecord *const *)changed->pdata, changed->len);
}

/** Probe @p target_id for the sender and remember whom to tell. */
static void relay_probe(hs_membership_service *service, const Hs__Probe *probe,
                        const struct sockaddr_in *from) {
    relay entry = {.origin_sequence = probe->sequence,
                   .origin_address = ntohl(from->sin_addr.s_addr),
                   .origin_port = ntohs(from->sin_port)};
    g_strlcpy(entry.subject_id, probe->target_id, sizeof entry.subject_id);
    g_mutex_lock(&service->lock);
    const hs_member *target = hs_membership_find(service->membership, probe->target_id);
    entry.own_sequence = service->next_relay_sequence++ | RELAY_SEQUENCE_BASE;
    hs_probe_order order = {.sequence = entry.own_sequence};
    if (target != NULL) {
        order.address = target->address;
        order.port = target->peer_port;
        g_strlcpy(order.receiver_id, target->id, sizeof order.receiver_id);
        g_array_append_val(service->relays, entry);
    }
    if (service->relays->len > RELAYS_KEPT)
        g_array_remove_index(service->relays, 0);
    g_mutex_unlock(&service->lock);
    if (order.port != 0)
        send_probe(service, &order, false);
}

static bool take_relay(hs_membership_service *service, uint32_t sequence, relay *found) {
    bool matches = false;
    g_mutex_lock(&service->lock);
    for (guint index = 0; index < service->relays->len && !matches; index++) {
        *found = g_array_index(service->relays, relay, index);
        matches = found->own_sequence == sequence;
        if (matches)
            g_array_remove_index(service->relays, index);
    }
    g_mutex_unlock(&service->lock);
    return matches;
}

static void handle_ack(hs_membership_service *service, const Hs__ProbeAck *ack) {
    relay found;
    if (take_relay(service, ack->sequence, &found)) {
        ack_receiver origin = {
            .id = "", .address = found.origin_address, .port = found.origin_port};
        send_ack(service, &origin, found.origin_sequence, found.subject_id);
        return;
    }
    g_mutex_lock(&service->lock);
    hs_membership_acknowledge(service->membership, ack->sequence, ack->subject_id);
    g_mutex_unlock(&service->lock);
}

/** Answer a probe that asked for the accounts its sender lacks. */
static void send_missing(hs_membership_service *service, const ack_receiver *receiver,
                         const Hs__Probe *probe) {
    g_autoptr(GPtrArray) members = g_ptr_array_new();
    g_autoptr(GPtrArray) records = g_ptr_array_new_with_free_func(hs_member_record_free);
    g_mutex_lock(&service->lock);
    hs_membership_missing(service->membership, probe->known, probe->n_known, members);
    for (guint index = 0; index < members->len; index++)
        g_ptr_array_add(records, hs_member_record_new(members->pdata[index]));
    g_mutex_unlock(&service->lock);
    send_accounts(service, receiver->address, receiver->port, (Hs__MemberRecord **)records->pdata,
                  records->len, true);
}

bool hs_membership_service_handle(hs_membership_service *service, const Hs__PeerMessage *message,
                                  const struct sockaddr_in *from) {
    if (message->kind_case == HS__PEER_MESSAGE__KIND_PROBE) {
        const Hs__Probe *probe = message->probe;
        ack_receiver sender = {.id = message->sender_id,
                               .address = ntohl(from->sin_addr.s_addr),
                               .port = ntohs(from->sin_port)};
        learn_all(service, probe->gossip, probe->n_gossip, HS_ACCOUNT_NEWS);
        if (*probe->target_id != '\0')
            relay_probe(service, probe, from);
        else
            send_ack(service, &sender, probe->sequence, service->self_id);
        if (probe->want_all)
            send_missing(service, &sender, probe);
        return true;
    }
    if (message->kind_case == HS__PEER_MESSAGE__KIND_MEMBER_LIST) {
        const Hs__MemberList *list = message->member_list;
        learn_all(service, list->records, list->n_records,
                  list->is_answer ? HS_ACCOUNT_ANSWER : HS_ACCOUNT_NEWS);
        return true;
    }
    if (message->kind_case == HS__PEER_MESSAGE__KIND_PROBE_ACK) {
        learn_all(service, message->probe_ack->gossip, message->probe_ack->n_gossip,
                  HS_ACCOUNT_NEWS);
        handle_ack(service, message->probe_ack);
        return true;
    }
    return false;
}

/** Whether this round's probe asks for all accounts. The caller holds the lock. */
static bool must_compare(hs_membership_service *service, uint64_t now_ms) {
    if (service->started_ms == 0)
        service->started_ms = now_ms;
    if (now_ms < service->started_ms + JOINING_MS)
        return true;
    if (now_ms < service->next_compare_ms)
        return false;
    bool settles = now_ms < service->started_ms + SETTLING_MS;
    service->next_compare_ms = now_ms + (settles ? SETTLING_EVERY_MS : COMPARE_EVERY_MS);
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
        want_all = must_compare(service, now_ms);
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
    for (guint index = 0; index < members->len && orders->len < LEAVE_MESSAGES; index++) {
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

bool hs_membership_service_address(hs_membership_service *service, const char *id,
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
