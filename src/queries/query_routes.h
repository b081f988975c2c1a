/**
 * @file query_routes.h
 * Routes of read-only requests: models, files, batches, status, metrics, explain, configuration.
 */
#ifndef HS_QUERIES_QUERY_ROUTES_H
#define HS_QUERIES_QUERY_ROUTES_H

#include "http/http_server.h"
#include "node/node.h"

/** Registers the callers' routes. */
void hs_query_register_caller_routes(hs_node *node, hs_http_server *server);

/** Registers the routes of operators and of other daemons. */
void hs_query_register_admin_routes(hs_node *node, hs_http_server *server);

/* Handlers of batch_queries.c and file_content.c. user_data is the hs_node. */
int hs_query_batch(const struct _u_request *request, struct _u_response *response, void *node);
int hs_query_batch_list(const struct _u_request *request, struct _u_response *response, void *node);
int hs_query_file(const struct _u_request *request, struct _u_response *response, void *node);
int hs_query_file_content(const struct _u_request *request, struct _u_response *response,
                          void *node);

#endif
