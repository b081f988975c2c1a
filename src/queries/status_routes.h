/** @file status_routes.h  Routes of status_queries.c. */
#ifndef HS_QUERIES_STATUS_ROUTES_H
#define HS_QUERIES_STATUS_ROUTES_H

#include "http/http_server.h"
#include "node/node.h"

void hs_status_routes_caller(hs_node *node, hs_http_server *server);
void hs_status_routes_admin(hs_node *node, hs_http_server *server);

#endif
