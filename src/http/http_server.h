/**
 * @file http_server.h
 * A listener on ulfius: start, stop accepting, stop. Handlers run one thread a connection.
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

typedef int (*hs_http_handler)(const struct _u_request *request, struct _u_response *response,
                               void *user_data);

/**
 * Prepare a listener on an IPv4 number and a port. Bodies above @p max_body_bytes (0: no limit)
 * are answered 413 and reach no handler.
 */
hs_http_server *hs_http_server_new(const char *address, uint16_t port, size_t max_body_bytes);

/** Route @p method and @p path (":name" binds a parameter) to @p handler. Before start only. */
void hs_http_server_route(hs_http_server *server, const char *method, const char *path,
                          hs_http_handler handler, void *user_data);

/** Requests whose head is larger than @p max_header_bytes are answered 431. Before routes. */
void hs_http_server_limit_headers(hs_http_server *server, size_t max_header_bytes);

/** Connections open at one time; 0 (also without a call): the library's own limit. Before start. */
void hs_http_server_limit_connections(hs_http_server *server, uint32_t most);

/** Its open connections. Borrowed; after start. */
hs_caller_connections *hs_http_server_connections(hs_http_server *server);

/** Open the port and serve. */
int hs_http_server_start(hs_http_server *server, hs_error *error);

/** Stop accepting connections; those open are served to their end. */
void hs_http_server_quiesce(hs_http_server *server);

/** Cut what is left and free the listener. NULL is allowed. */
void hs_http_server_free(hs_http_server *server);

/** Answer with a JSON document; takes the reference of @p body. */
int hs_http_reply_json(struct _u_response *response, unsigned int status, json_t *body);

/** The request's parameter of the path or query, or NULL. Borrowed from the request. */
const char *hs_http_parameter(const struct _u_request *request, const char *name);

/**
 * Whether the caller whose request the calling thread handles has left; see base/peer_watch.h.
 * Only in a handler and in what it calls.
 */
bool hs_http_caller_has_left(void);

/** The socket of that caller, to be watched only; -1: none. */
int hs_http_caller_descriptor(void);

/** A whole number of the query, or @p fallback where it is missing or malformed. */
uint64_t hs_http_parameter_number(const struct _u_request *request, const char *name,
                                  uint64_t fallback);

#endif
