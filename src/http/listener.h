/**
 * @file listener.h
 * An HTTP/1.1 listener based on libmicrohttpd, with one thread per connection.
 *
 * Forwarded requests need the raw target, all header fields and the caller's socket. ulfius decodes
 * paths, drops repeated fields and hides the connection.
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

/** A received request. Owned by the listener; valid until the end of its response. */
typedef struct {
    char *method;
    char *target;   /**< Path and query, undecoded. */
    GArray *fields; /**< of hs_http_field, in order of arrival. */
    GByteArray *body;
    uint32_t caller_address; /**< IPv4 address in host order; 0: unknown. */
    int socket;              /**< The caller's socket, to reset the connection; -1: unknown. */
    int descriptor; /**< The same, for watching only (base/peer_watch.h); -1: can't be watched. */
    bool is_too_large;          /**< The body is over the limit and incomplete. */
    bool lacks_memory;          /**< The memory budget is exhausted; the body was discarded. */
    uint64_t charged;           /**< Bytes charged to the memory budget for the body. */
    bool is_on_kept_connection; /**< Not the first request on its connection. */
    bool is_http_1_0;           /**< A response body of unknown length ends with the connection. */
    bool answered;              /**< A response was queued. */
    uint64_t received_ms;       /**< Monotonic time at which the head was read. */
    void *connection;           /**< The struct MHD_Connection. */
    hs_listener *listener;
    gint references; /**< Of the library, and of a streamed response. */
} hs_inbound;

/** Handles a complete request. Must call exactly one of the reply functions or hs_inbound_drop. */
typedef void (*hs_inbound_handler)(hs_inbound *inbound, void *user_data);

/** Results of a stream's reader other than a number of bytes. */
#define HS_READER_END (-1)
#define HS_READER_ABORT (-2)

/**
 * Reads body bytes into @p buffer, and blocks until there are some. Returns the number of bytes,
 * HS_READER_END or HS_READER_ABORT.
 */
typedef ssize_t (*hs_body_reader)(void *reader_data, char *buffer, size_t size);

/** Limits of a listener. */
typedef struct {
    size_t max_body_bytes;         /**< A request over it has is_too_large set; 0: no limit. */
    uint32_t max_open_connections; /**< 0: the limit of libmicrohttpd. */
} hs_listener_limits;

/**
 * Starts to listen on an IPv4 address and a port. Returns NULL with @p error (may be NULL) on
 * failure.
 */
hs_listener *hs_listener_start(const char *address, uint16_t port, const hs_listener_limits *limits,
                               hs_inbound_handler handler, void *user_data, hs_error *error);

/** Sets the kind of connections accepted later. The default is HS_CONNECTION_CALLER. */
void hs_listener_set_kind(hs_listener *listener, hs_connection_kind kind);

/** Sets the idle time after which a connection is closed. Applied at the start of each request. */
void hs_listener_set_idle_timeout(hs_listener *listener, uint32_t seconds);

/** Adds "Connection: close" to all further responses. */
void hs_listener_close_after_answers(hs_listener *listener);

/**
 * Stops accepting connections and ends idle ones. Requests that have already arrived on these are
 * still served, but a close by their callers is no longer detected.
 */
void hs_listener_quiesce(hs_listener *listener);

/** Returns the table of open connections. Borrowed. */
hs_caller_connections *hs_listener_connections(hs_listener *listener);

/** Response status of a connection probe from this process. */
#define HS_PROBE_STATUS 204

/**
 * Sets the address of a connection probe (see connection_probe.h). Requests from it are answered
 * with HS_PROBE_STATUS without the handler. NULL: no probe.
 */
void hs_listener_set_probe_address(hs_listener *listener, const struct sockaddr_in *caller);

/** Returns the number of requests that are being received, handled or answered. */
uint32_t hs_listener_open_request_count(hs_listener *listener);

/** Stops the listener, closes all connections and frees the listener. NULL is allowed. */
void hs_listener_stop(hs_listener *listener);

/** Responds with a complete body. @p fields: of hs_http_field, may be NULL. */
void hs_inbound_reply(hs_inbound *inbound, uint32_t status, const GArray *fields, const void *body,
                      size_t body_length);

/** Responds with the body that @p reader returns. @p release frees @p reader_data at the end. */
void hs_inbound_reply_stream(hs_inbound *inbound, uint32_t status, const GArray *fields,
                             hs_body_reader reader, void *reader_data, GDestroyNotify release);

/**
 * Resets the caller's connection while its response is being sent; the library then releases the
 * response. Callable from any thread. Returns false if the socket is unknown.
 */
bool hs_inbound_reset(const hs_inbound *inbound);

/** Discards the body, which was used, before the response; releases its memory. */
void hs_inbound_drop_body(hs_inbound *inbound);

/** Closes the connection without a response. */
void hs_inbound_drop(hs_inbound *inbound);

#endif
