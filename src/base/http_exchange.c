/** @file http_exchange.c  See http_exchange.h. */
#include "base/http_exchange.h"

#include <glib.h>
#include <string.h>
#include <ulfius.h>

static void fill_request(struct _u_request *wire, const hs_http_request *request) {
    ulfius_set_request_properties(wire, U_OPT_HTTP_VERB, request->method, U_OPT_HTTP_URL,
                                  request->url, U_OPT_TIMEOUT, (unsigned long)request->timeout_s,
                                  U_OPT_NONE);
    if (request->content_type != NULL) {
        ulfius_set_request_properties(wire, U_OPT_HEADER_PARAMETER, "Content-Type",
                                      request->content_type, U_OPT_BINARY_BODY, request->body,
                                      request->body_length, U_OPT_NONE);
    }
    const char *const *header = request->header_list;
    while (header != NULL && header[0] != NULL) {
        u_map_put(wire->map_header, header[0], header[1]);
        header += 2;
    }
}

bool hs_http_exchange(const hs_http_request *request, hs_http_answer *answer) {
    memset(answer, 0, sizeof *answer);
    struct _u_request wire_request;
    struct _u_response wire_response;
    ulfius_init_request(&wire_request);
    ulfius_init_response(&wire_response);
    fill_request(&wire_request, request);
    bool answered = ulfius_send_http_request(&wire_request, &wire_response) == U_OK;
    if (answered) {
        answer->status = wire_response.status;
        answer->body_length = wire_response.binary_body_length;
        answer->body = g_malloc(answer->body_length + 1);
        if (answer->body_length > 0)
            memcpy(answer->body, wire_response.binary_body, answer->body_length);
        answer->body[answer->body_length] = '\0';
        answer->etag = g_strdup(u_map_get_case(wire_response.map_header, "ETag"));
        const char *retry_after = u_map_get_case(wire_response.map_header, "Retry-After");
        answer->retry_after_s =
            retry_after != NULL ? (uint32_t)g_ascii_strtoull(retry_after, NULL, 10) : 0;
    }
    ulfius_clean_request(&wire_request);
    ulfius_clean_response(&wire_response);
    return answered;
}

void hs_http_answer_clear(hs_http_answer *answer) {
    g_free(answer->body);
    g_free(answer->etag);
    memset(answer, 0, sizeof *answer);
}
