/**
 * @file drain.c
 * POST /admin/v1/drain: sends this process SIGTERM, so that draining takes the same path as a
 * planned stop.
 */
#include "base/log.h"
#include "commands/command_routes.h"

#include <signal.h>
#include <unistd.h>

int hs_command_drain(const struct _u_request *request, struct _u_response *response, void *node) {
    (void)request;
    (void)node;
    hs_log_info("drain_requested", "source=operator");
    kill(getpid(), SIGTERM);
    return hs_http_reply_json(response, 202, json_pack("{s:s}", "status", "draining"));
}
