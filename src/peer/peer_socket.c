/** @file peer_socket.c  See peer_socket.h. */
#include "peer/peer_socket.h"

#include <arpa/inet.h>
#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

/** Interval at which the receiving thread checks for a stop if no datagram arrives. */
#define RECEIVE_TIMEOUT_US (400 * 1000)
/** Greater than any kind of a message. */
#define KINDS 32

struct hs_peer_socket {
    int descriptor;
    hs_peer_handler handler;
    void *user_data;
    gint stopping;
    GThread *thread;
    GMutex lock;
    hs_peer_counters counters;
    uint64_t sent_bytes[KINDS][HS_DISTANCE_COUNT];
    hs_peer_distance_lookup lookup; /**< May be NULL. */
    void *lookup_data;
};

hs_peer_socket *hs_peer_socket_new(const char *address, uint16_t port, hs_error *error) {
    struct sockaddr_in local = {.sin_family = AF_INET, .sin_port = htons(port)};
    int descriptor = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    struct timeval wait = {.tv_usec = RECEIVE_TIMEOUT_US};
    if (descriptor < 0 || inet_pton(AF_INET, address, &local.sin_addr) != 1 ||
        setsockopt(descriptor, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof wait) != 0 ||
        bind(descriptor, (struct sockaddr *)&local, sizeof local) != 0) {
        hs_error_set(error, HS_LAYER_BASE, HS_UNAVAILABLE, "cannot bind UDP port %u: %s", port,
                     g_strerror(errno));
        if (descriptor >= 0)
            close(descriptor);
        return NULL;
    }
    hs_peer_socket *result = g_new0(hs_peer_socket, 1);
    result->descriptor = descriptor;
    g_mutex_init(&result->lock);
    return result;
}

static gpointer receive_datagrams(gpointer data) {
    hs_peer_socket *self = data;
    g_autofree uint8_t *buffer = g_malloc(HS_MAX_DATAGRAM_BYTES);
    while (!g_atomic_int_get(&self->stopping)) {
        struct sockaddr_in from;
        socklen_t from_length = sizeof from;
        ssize_t length = recvfrom(self->descriptor, buffer, HS_MAX_DATAGRAM_BYTES, 0,
                                  (struct sockaddr *)&from, &from_length);
        if (length <= 0)
            continue;
        Hs__PeerMessage *message = hs__peer_message__unpack(NULL, (size_t)length, buffer);
        g_mutex_lock(&self->lock);
        self->counters.received_messages++;
        self->counters.received_bytes += (uint64_t)length;
        self->counters.malformed += message == NULL;
        g_mutex_unlock(&self->lock);
        if (message == NULL)
            continue;
        self->handler(message, &from, self->user_data);
        hs__peer_message__free_unpacked(message, NULL);
    }
    return NULL;
}

void hs_peer_socket_set_distance_lookup(hs_peer_socket *socket, hs_peer_distance_lookup lookup,
                                        void *user_data) {
    socket->lookup = lookup;
    socket->lookup_data = user_data;
}

void hs_peer_socket_start(hs_peer_socket *socket, hs_peer_handler handler, void *user_data) {
    socket->handler = handler;
    socket->user_data = user_data;
    socket->thread = g_thread_new("peer-receiver", receive_datagrams, socket);
}

void hs_peer_socket_stop(hs_peer_socket *socket) {
    g_atomic_int_set(&socket->stopping, 1);
    g_thread_join(socket->thread);
}

void hs_peer_socket_free(hs_peer_socket *socket) {
    if (socket == NULL)
        return;
    close(socket->descriptor);
    g_mutex_clear(&socket->lock);
    g_free(socket);
}

void hs_peer_socket_send(hs_peer_socket *socket, uint32_t address, uint16_t port,
                         const Hs__PeerMessage *message) {
    size_t length = hs__peer_message__get_packed_size(message);
    if (length > HS_MAX_DATAGRAM_BYTES)
        return;
    g_autofree uint8_t *buffer = g_malloc(length);
    hs__peer_message__pack(message, buffer);
    struct sockaddr_in to = {
        .sin_family = AF_INET, .sin_port = htons(port), .sin_addr.s_addr = htonl(address)};
    ssize_t sent = sendto(socket->descriptor, buffer, length, 0, (struct sockaddr *)&to, sizeof to);
    if (sent < 0)
        return;
    hs_distance way = socket->lookup != NULL ? socket->lookup(address, port, socket->lookup_data)
                                             : HS_DISTANCE_OTHER_ZONE;
    g_mutex_lock(&socket->lock);
    socket->sent_bytes[message->kind_case % KINDS][way] += length;
    socket->counters.sent_messages++;
    socket->counters.sent_bytes += length;
    g_mutex_unlock(&socket->lock);
}

char *hs_peer_socket_describe(hs_peer_socket *socket) {
    GString *text = g_string_new(NULL);
    g_mutex_lock(&socket->lock);
    for (unsigned kind = 0; kind < KINDS; kind++) {
        const ProtobufCFieldDescriptor *field =
            protobuf_c_message_descriptor_get_field(&hs__peer_message__descriptor, kind);
        for (int way = 0; field != NULL && way < HS_DISTANCE_COUNT; way++)
            if (socket->sent_bytes[kind][way] > 0)
                g_string_append_printf(text,
                                       "heathsail_peer_bytes_total{kind=\"%s\",way=\"%s\"} "
                                       "%" G_GUINT64_FORMAT "\n",
                                       field->name, hs_distance_name((hs_distance)way),
                                       (guint64)socket->sent_bytes[kind][way]);
    }
    g_mutex_unlock(&socket->lock);
    return g_string_free(text, FALSE);
}

hs_peer_counters hs_peer_socket_counters(hs_peer_socket *socket) {
    g_mutex_lock(&socket->lock);
    hs_peer_counters counters = socket->counters;
    g_mutex_unlock(&socket->lock);
    return counters;
}
