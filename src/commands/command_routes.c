/** @file command_routes.c  See command_routes.h. */
#include "commands/command_routes.h"

#include "commands/completion_check.h"

void hs_command_register_caller_routes(hs_node *node, hs_http_server *server) {
    hs_http_server_route(server, "POST", HS_PATH_CHAT, hs_command_chat, node);
    hs_http_server_route(server, "POST", HS_PATH_TEXT, hs_command_text, node);
    hs_http_server_route(server, "POST", "/v1/files", hs_command_upload, node);
    hs_http_server_route(server, "POST", "/v1/batches", hs_command_submit, node);
    hs_http_server_route(server, "POST", "/v1/batches/:id/cancel", hs_command_cancel, node);
}

void hs_command_register_admin_routes(hs_node *node, hs_http_server *server) {
    hs_fault_register_routes(server);
    hs_http_server_route(server, "POST", "/admin/v1/drain", hs_command_drain, node);
    hs_http_server_route(server, "POST", "/internal/v1/cancelled-jobs/:id",
                         hs_command_note_cancelled, node);
    hs_http_server_route(server, "PUT", "/admin/v1/:kind/:name", hs_command_publish, node);
    hs_http_server_route(server, "DELETE", "/admin/v1/:kind/:name", hs_command_delete, node);
}
