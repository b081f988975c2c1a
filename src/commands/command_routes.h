/**
 * @file command_routes.h
 * Routes and handlers of the requests that change state: completions, uploads, job submission and
 * cancellation, configuration changes and draining.
 */
#ifndef HS_COMMANDS_COMMAND_ROUTES_H
#define HS_COMMANDS_COMMAND_ROUTES_H

#include "http/http_server.h"
#include "node/node.h"

/** Registers the callers' routes. Call before the listener starts. */
void hs_command_register_caller_routes(hs_node *node, hs_http_server *server);

/** Registers the operators' routes. Call before the listener starts. */
void hs_command_register_admin_routes(hs_node *node, hs_http_server *server);

/** Registers the route that sets faults; does nothing unless built with HS_FAULT_POINTS. */
void hs_fault_register_routes(hs_http_server *server);

/* The handlers. @p node is the hs_node. */
int hs_command_chat(const struct _u_request *request, struct _u_response *response, void *node);
int hs_command_text(const struct _u_request *request, struct _u_response *response, void *node);
int hs_command_upload(const struct _u_request *request, struct _u_response *response, void *node);
int hs_command_submit(const struct _u_request *request, struct _u_response *response, void *node);
int hs_command_cancel(const struct _u_request *request, struct _u_response *response, void *node);
/** Takes another daemon's report of a cancelled job in a partition that this daemon owns. */
int hs_command_note_cancelled(const struct _u_request *request, struct _u_response *response,
                              void *node);
int hs_command_publish(const struct _u_request *request, struct _u_response *response, void *node);
int hs_command_drain(const struct _u_request *request, struct _u_response *response, void *node);
int hs_command_delete(const struct _u_request *request, struct _u_response *response, void *node);

#endif
