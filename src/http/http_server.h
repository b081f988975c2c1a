/**
 * @file http_server.h
 * An HTTP listener based on ulfius. Each connection has a thread, which runs the handlers of its
 * requests.
 */
#ifndef HS_HTTP_HTTP_SERVER_H
#define HS_HTTP_HTTP_SERVER_H

#include "heathsail/error.h"

#include "http/caller_connections.h"

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>
#include <ulfius.h>

typedef struct hs_http_server hs_http_server;

/** Handles a request and sets the response. Returns U_CALLBACK_COMPLETE. */
typedef int (*hs_http_handler)(const struct _u_request *request, struct _u_response *response,
                               void *user_data);

/**
 * Prepares a listener on an IPv4 address and a port. Requests with a body over @p max_body_bytes
 * (0: no limit) are answered 413 and reach no handler. Returns NULL on failure.
 */
hs_http_server *hs_http_server_new(const char *address, uint16_t port, size_t max_body_bytes);

/**
 * Routes @p method and @p path (":name" binds a parameter) to @p handler. Only allowed before the
 * start.
 */
void hs_http_server_route(hs_http_server *server, const char *method, const char *path,
                          hs_http_handler handler, void *user_data);

/**
 * Sets the header limit; a request over it is answered 431. 0: no limit. Only allowed before routes
 * are added.
 */
void hs_http_server_limit_headers(hs_http_server *server, size_t max_header_bytes);

/** Sets the connection limit; 0, the default: the library's. Only allowed before the start. */
void hs_http_server_limit_connections(hs_http_server *server, uint32_t max_open);

/** Returns the table of open connections. Borrowed; NULL before the start. */
hs_caller_connections *hs_http_server_connections(hs_http_server *server);

/** Opens the port and starts to serve. Returns 0, or an error code with @p error. */
int hs_http_server_start(hs_http_server *server, hs_error *error);

/** From now on each answer says that its connection closes, so that no request follows it. */
void hs_http_server_close_after_answers(hs_http_server *server);

/**
 * Stops accepting connections and ends idle ones. Requests that have arrived are still served; a
 * further call ends the connections that are idle since.
 */
void hs_http_server_quiesce(hs_http_server *server);

/** Closes all connections and frees the listener. NULL is allowed. */
void hs_http_server_free(hs_http_server *server);

/** Sets a JSON document as the response and takes over the reference to @p body. */
int hs_http_reply_json(struct _u_response *response, unsigned int status, json_t *body);

/** Returns a parameter of the path or query, or NULL. Borrowed from the request. */
const char *hs_http_parameter(const struct _u_request *request, const char *name);

/**
 * Whether the caller of the request that this thread handles has closed its connection (see
 * base/peer_watch.h). Valid only on the thread of a handler.
 */
bool hs_http_caller_has_left(void);

/** Returns the socket of that caller, for watching only, or -1. */
int hs_http_caller_descriptor(void);

/** Returns an unsigned integer parameter, or @p fallback if it is missing or malformed. */
uint64_t hs_http_parameter_number(const struct _u_request *request, const char *name,
                                  uint64_t fallback);

#endif
