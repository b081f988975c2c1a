/** @file status_routes.h  Registers the routes of status_queries.c. */
#ifndef HS_QUERIES_STATUS_ROUTES_H
#define HS_QUERIES_STATUS_ROUTES_H

#include "http/http_server.h"
#include "node/node.h"

void hs_status_register_caller_routes(hs_node *node, hs_http_server *server);
void hs_status_register_admin_routes(hs_node *node, hs_http_server *server);

#endif
