/** @file error_body.c  See error_body.h. */
#include "http/error_body.h"

#include <glib.h>
#include <jansson.h>
#include <stdlib.h>

static json_t *error_document(const hs_error_body *body) {
    return json_pack("{s:{s:s,s:s,s:s,s:s}}", "error", "message", body->message, "type", body->type,
                     "code", body->code, "executed", body->may_have_run ? "unknown" : "no");
}

int hs_http_reply_error(struct _u_response *response, const hs_error_body *body) {
    json_t *document = error_document(body);
    ulfius_set_json_body_response(response, body->status, document);
    json_decref(document);
    if (body->retry_after_s > 0) {
        char seconds[16];
        g_snprintf(seconds, sizeof seconds, "%u", body->retry_after_s);
        u_map_put(response->map_header, "Retry-After", seconds);
    }
    return U_CALLBACK_COMPLETE;
}

char *hs_error_body_text(const hs_error_body *body) {
    json_t *document = error_document(body);
    char *encoded = json_dumps(document, JSON_COMPACT);
    json_decref(document);
    char *text = g_strdup(encoded);
    free(encoded);
    return text;
}
