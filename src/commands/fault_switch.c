/**
 * @file fault_switch.c
 * PUT /internal/v1/fault: sets a fault at a named fault point. Only in builds with
 * HS_FAULT_POINTS.
 */
#include "base/fault_point.h"
#include "commands/command_routes.h"

#ifdef HS_FAULT_POINTS

static int handle_fault(const struct _u_request *request, struct _u_response *response,
                        void *node) {
    (void)node;
    g_autofree char *text = g_strndup(request->binary_body, request->binary_body_length);
    hs_fault_point_set(text);
    return hs_http_reply_json(response, 200, json_object());
}

void hs_fault_register_routes(hs_http_server *server) {
    hs_http_server_route(server, "PUT", "/internal/v1/fault", handle_fault, NULL);
}

#else

void hs_fault_register_routes(hs_http_server *server) {
    (void)server;
}

#endif
