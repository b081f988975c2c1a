/**
 * @file command_routes.h
 * The requests that change something: complete, upload, submit, cancel, publish.
 */
#ifndef HS_COMMANDS_COMMAND_ROUTES_H
#define HS_COMMANDS_COMMAND_ROUTES_H

#include "http/http_server.h"
#include "node/node.h"

/** Routes of callers. Call before the listener starts. */
void hs_command_routes_caller(hs_node *node, hs_http_server *server);

/** Routes of operators. */
void hs_command_routes_admin(hs_node *node, hs_http_server *server);

/** Routes of a test build; none in a product build. */
void hs_fault_routes(hs_http_server *server);

/* The handlers, one a file. user_data is the hs_node. */
int hs_command_chat(const struct _u_request *request, struct _u_response *response, void *node);
int hs_command_text(const struct _u_request *request, struct _u_response *response, void *node);
int hs_command_upload(const struct _u_request *request, struct _u_response *response, void *node);
int hs_command_submit(const struct _u_request *request, struct _u_response *response, void *node);
int hs_command_cancel(const struct _u_request *request, struct _u_response *response, void *node);
int hs_command_publish(const struct _u_request *request, struct _u_response *response, void *node);
int hs_command_drain(const struct _u_request *request, struct _u_response *response, void *node);
int hs_command_delete(const struct _u_request *request, struct _u_response *response, void *node);

#endif
