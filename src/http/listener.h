/**
 * @file listener.h
 * An HTTP/1.1 listener on libmicrohttpd, the engine below ulfius, one thread a connection.
 *
 * ulfius itself decodes paths, keeps one of two equal headers and hides the connection; requests
 * that are passed on need the raw target, every field and the caller's socket to watch.
 */
#ifndef HS_HTTP_LISTENER_H
#define HS_HTTP_LISTENER_H

#include "heathsail/error.h"
#include "http/connection_guard.h"

#include "http/caller_connections.h"

#include <glib.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct hs_listener hs_listener;

/** One request as it came; owned by the listener, valid until the answer has ended. */
typedef struct {
    char *method;
    char *target;            /**< Path and query, undecoded. */
    GArray *fields;          /**< of hs_http_field, in their order. */
    GByteArray *body;        /**< Whole. */
    uint32_t caller_address; /**< IPv4 number in host order; 0: not known. */
    int descriptor; /**< The caller's socket, to be watched only (base/peer_watch.h); -1: none. */
    bool is_too_large;
    bool lacks_chunks; /**< HTTP/1.0: a body of unknown length ends with the connection. */
    bool answered;
    uint64_t received_ms; /**< Monotonic time at which its head was read. */
    void *connection;     /**< The library's connection. */
    hs_listener *listener;
} hs_inbound;

/** Handle a whole request: exactly one of the reply functions must be called. */
typedef void (*hs_inbound_handler)(hs_inbound *inbound, void *user_data);

/** What a stream's reader returns besides a count of bytes. */
#define HS_READER_END (-1)
#define HS_READER_ABORT (-2)

/** Fill @p buffer; blocks until bytes are there. Bytes, HS_READER_END or HS_READER_ABORT. */
typedef ssize_t (*hs_body_reader)(void *reader_data, char *buffer, size_t size);

/** What a listener takes. */
typedef struct {
    size_t max_body_bytes;     /**< Larger bodies are marked too large; 0: no limit. */
    uint32_t connections_most; /**< Open at one time; 0: the library's own limit, about 1,000. */
} hs_listener_limits;

/** Listen on an IPv4 number and port. NULL with @p error (may be NULL). */
hs_listener *hs_listener_start(const char *address, uint16_t port, const hs_listener_limits *limits,
                               hs_inbound_handler handler, void *user_data, hs_error *error);

/** Who calls here, callers where it is not set; for connections from now on. */
void hs_listener_set_kind(hs_listener *listener, hs_connection_kind kind);

/** Idle time in seconds after which connections are closed; for connections from now on. */
void hs_listener_set_idle_timeout(hs_listener *listener, uint32_t seconds);

/** From now on every answer closes its connection. */
void hs_listener_close_after_answers(hs_listener *listener);

/**
 * Take no new connections and let idle ones end. A request that has already arrived on one is
 * still served. Ends of callers' connections are no longer noticed on those.
 */
void hs_listener_quiesce(hs_listener *listener);

/** Its open connections. Borrowed. */
hs_caller_connections *hs_listener_connections(hs_listener *listener);

/** Status of the answer to a request of the own process. */
#define HS_OWN_STATUS 204

/**
 * Answer requests from this address with HS_OWN_STATUS, without the handler: they only ask whether
 * the listener takes connections (see connection_probe.h). NULL: no longer.
 */
void hs_listener_expect_own(hs_listener *listener, const struct sockaddr_in *caller);

/** Requests now being handled or answered. */
uint32_t hs_listener_open_requests(hs_listener *listener);

/** Stop, cut what is left, free. NULL is allowed. */
void hs_listener_stop(hs_listener *listener);

/** Answer with a whole body. @p fields: of hs_http_field, may be NULL. */
void hs_inbound_reply(hs_inbound *inbound, uint32_t status, const GArray *fields, const void *body,
                      size_t body_length);

/** Answer with a body that comes from @p reader; @p release frees @p reader_data at the end. */
void hs_inbound_reply_stream(hs_inbound *inbound, uint32_t status, const GArray *fields,
                             hs_body_reader reader, void *reader_data, GDestroyNotify release);

/** Close the connection without an answer. */
void hs_inbound_drop(hs_inbound *inbound);

#endif
