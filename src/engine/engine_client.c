/** @file engine_client.c  See engine_client.h. */
#include "engine/engine_client.h"

#include "base/endpoint.h"
#include "base/http_exchange.h"
#include "base/json_reader.h"

#include <errno.h>
#include <jansson.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define DATA_PREFIX "data: "
#define STREAM_TERMINATOR "[DONE]"
#define CONTROL_TIMEOUT_S 2
#define MAX_EVENT_BYTES (1U << 20)
#define HTTP_OK 200
#define HTTP_BAD_REQUEST 400
#define HTTP_NOT_FOUND 404
#define HTTP_TOO_MANY 429
#define HTTP_UNAVAILABLE 503

/** Parses server-sent events incrementally from the response's body. */
typedef struct {
    GString *line;
    uint32_t next_token;
    bool finish_seen;
    bool done_seen;
    bool cancelled;
    bool out_of_order;
    bool aborted;
    hs_token_callback on_token;
    void *user_data;
} event_reader;

static bool has_finish_reason(const json_t *event) {
    const json_t *choice = json_array_get(json_object_get(event, "choices"), 0);
    return json_is_string(json_object_get(choice, "finish_reason"));
}

/** Processes one event's data. False if reading must stop. */
static bool process_event(event_reader *reader, const char *text) {
    if (strcmp(text, STREAM_TERMINATOR) == 0) {
        reader->done_seen = true;
        return true;
    }
    json_t *event = hs_json_parse(text, strlen(text), NULL);
    if (json_is_true(json_object_get(event, "cancelled"))) {
        reader->cancelled = true;
        json_decref(event);
        return true;
    }
    const json_t *index = json_object_get(event, "token_index");
    if (!json_is_integer(index) || json_integer_value(index) != (json_int_t)reader->next_token) {
        reader->out_of_order = true;
        json_decref(event);
        return false;
    }
    reader->finish_seen = has_finish_reason(event);
    reader->aborted = !reader->on_token(reader->next_token, event, reader->user_data);
    if (!reader->aborted)
        reader->next_token++;
    json_decref(event);
    return !reader->aborted;
}

static bool read_events(const void *contents, size_t length, void *user_data) {
    event_reader *reader = user_data;
    const char *bytes = contents;
    for (size_t index = 0; index < length; index++) {
        if (bytes[index] != '\n') {
            g_string_append_c(reader->line, bytes[index]);
            if (reader->line->len > MAX_EVENT_BYTES)
                return false;
            continue;
        }
        bool is_data = g_str_has_prefix(reader->line->str, DATA_PREFIX);
        if (is_data && !process_event(reader, reader->line->str + strlen(DATA_PREFIX)))
            return false;
        g_string_truncate(reader->line, 0);
    }
    return true;
}

/** Copies the error code of a JSON error body, which the reader has collected in its line. */
static void copy_error_code(const event_reader *reader, hs_run_result *result) {
    json_t *body = hs_json_parse(reader->line->str, reader->line->len, NULL);
    const char *code = json_string_value(json_object_get(json_object_get(body, "error"), "code"));
    g_strlcpy(result->code, code != NULL ? code : "", sizeof result->code);
    json_decref(body);
}

static hs_run_end classify_end(const event_reader *reader, bool answered, long status) {
    if (reader->aborted)
        return HS_RUN_ABORTED;
    if (answered &&
        (status == HTTP_UNAVAILABLE || status == HTTP_TOO_MANY || status == HTTP_NOT_FOUND))
        return HS_RUN_REFUSED;
    if (answered && status == HTTP_BAD_REQUEST)
        return HS_RUN_INVALID;
    if (!answered || status != HTTP_OK || reader->out_of_order)
        return HS_RUN_INTERRUPTED;
    if (reader->cancelled)
        return HS_RUN_CANCELLED;
    return reader->done_seen && reader->finish_seen ? HS_RUN_COMPLETED : HS_RUN_INTERRUPTED;
}

/** One streamed exchange. */
typedef struct {
    const char *method;
    const char *url;
    const char *body; /**< JSON text; NULL: none. */
    uint32_t first_token;
} stream_exchange;

static hs_run_result run_exchange(const hs_engine_call *call, const stream_exchange *exchange,
                                  hs_token_callback on_token, void *user_data) {
    event_reader reader = {.line = g_string_new(NULL),
                           .next_token = exchange->first_token,
                           .on_token = on_token,
                           .user_data = user_data};
    hs_http_request request = {
        .method = exchange->method, .url = exchange->url, .timeout_s = call->timeout_s};
    if (exchange->body != NULL) {
        request.content_type = "application/json";
        request.body = exchange->body;
        request.body_length = strlen(exchange->body);
    }
    long status = 0;
    bool answered = hs_http_stream(&request, read_events, &reader, &status);
    hs_run_result result = {.end = classify_end(&reader, answered, status),
                            .next_token = reader.next_token,
                            .status = answered ? status : 0};
    copy_error_code(&reader, &result);
    g_string_free(reader.line, TRUE);
    return result;
}

hs_run_result hs_engine_run(const hs_engine_call *call, hs_token_callback on_token,
                            void *user_data) {
    g_autofree char *url = g_strconcat(call->engine_url, call->path, NULL);
    stream_exchange exchange = {.method = "POST", .url = url, .body = call->body};
    return run_exchange(call, &exchange, on_token, user_data);
}

hs_run_result hs_engine_resume(const hs_engine_call *call, uint32_t first_token,
                               hs_token_callback on_token, void *user_data) {
    g_autofree char *url = g_strdup_printf("%s/v1/requests/%s/stream?offset=%u", call->engine_url,
                                           call->request_id, first_token);
    stream_exchange exchange = {.method = "GET", .url = url, .first_token = first_token};
    return run_exchange(call, &exchange, on_token, user_data);
}

hs_run_result hs_engine_continue(const hs_engine_call *call, uint32_t first_token,
                                 hs_token_callback on_token, void *user_data) {
    g_autofree char *url = g_strdup_printf("%s/v1/requests/%s/continue?offset=%u", call->engine_url,
                                           call->request_id, first_token);
    stream_exchange exchange = {
        .method = "POST", .url = url, .body = "{}", .first_token = first_token};
    return run_exchange(call, &exchange, on_token, user_data);
}

/** Sends @p body, whose reference is consumed. Returns the HTTP status; 0: no response. */
static long post_json(const char *url, json_t *body) {
    char *text = json_dumps(body, JSON_COMPACT);
    json_decref(body);
    hs_http_request request = {.method = "POST",
                               .url = url,
                               .content_type = "application/json",
                               .body = text,
                               .body_length = strlen(text),
                               .timeout_s = CONTROL_TIMEOUT_S};
    hs_http_answer answer;
    long status = hs_http_exchange(&request, &answer) ? answer.status : 0;
    hs_http_answer_clear(&answer);
    free(text);
    return status;
}

bool hs_engine_cancel(const char *engine_url, const char *request_id) {
    g_autofree char *url = g_strdup_printf("%s/v1/requests/%s/cancel", engine_url, request_id);
    return post_json(url, json_object()) == HTTP_OK;
}

bool hs_engine_cancel_many(const char *engine_url, const GPtrArray *request_ids) {
    g_autofree char *url = g_strconcat(engine_url, "/v1/cancellations", NULL);
    json_t *ids = json_array();
    for (guint index = 0; index < request_ids->len; index++)
        json_array_append_new(ids, json_string(request_ids->pdata[index]));
    return post_json(url, json_pack("{s:o}", "ids", ids)) == HTTP_OK;
}

static bool parse_engine_address(const char *engine_url, struct sockaddr_in *address) {
    hs_endpoint endpoint;
    if (!hs_endpoint_parse(engine_url + strlen("http://"), &endpoint))
        return false;
    address->sin_family = AF_INET;
    address->sin_port = htons(endpoint.port);
    address->sin_addr.s_addr = htonl(endpoint.address);
    return true;
}

bool hs_engine_is_reachable(const char *engine_url, uint32_t timeout_ms) {
    struct sockaddr_in address = {0};
    if (!parse_engine_address(engine_url, &address))
        return false;
    int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (descriptor < 0)
        return false;
    bool open = connect(descriptor, (struct sockaddr *)&address, sizeof address) == 0;
    if (!open && errno == EINPROGRESS) {
        struct pollfd poll_entry = {.fd = descriptor, .events = POLLOUT};
        int socket_error = 0;
        socklen_t socket_error_size = sizeof socket_error;
        open =
            poll(&poll_entry, 1, (int)timeout_ms) == 1 &&
            getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &socket_error, &socket_error_size) == 0 &&
            socket_error == 0;
    }
    close(descriptor);
    return open;
}

/** Reads a JSON document from the engine; NULL on failure. Owned by the caller. */
static json_t *read_document(const char *engine_url, const char *path) {
    g_autofree char *url = g_strconcat(engine_url, path, NULL);
    hs_http_request request = {.method = "GET", .url = url, .timeout_s = CONTROL_TIMEOUT_S};
    hs_http_answer answer;
    json_t *document = NULL;
    if (hs_http_exchange(&request, &answer) && answer.status == HTTP_OK)
        document = hs_json_parse(answer.body, answer.body_length, NULL);
    hs_http_answer_clear(&answer);
    return document;
}

bool hs_engine_read_load(const char *engine_url, hs_engine_report *report) {
    json_t *document = read_document(engine_url, "/load");
    if (document == NULL)
        return false;
    report->online = (uint32_t)json_integer_value(json_object_get(document, "online"));
    report->batch = (uint32_t)json_integer_value(json_object_get(document, "batch"));
    report->max_sequences =
        (uint32_t)json_integer_value(json_object_get(document, "max_sequences"));
    report->leaving = json_is_true(json_object_get(document, "leaving"));
    json_decref(document);
    return true;
}

json_t *hs_engine_read_models(const char *engine_url) {
    json_t *document = read_document(engine_url, "/v1/models");
    if (document == NULL)
        return NULL;
    json_t *names = json_array();
    size_t index;
    json_t *model;
    json_array_foreach(json_object_get(document, "data"), index, model)
        json_array_append(names, json_object_get(model, "id"));
    json_decref(document);
    return names;
}

long hs_engine_send_order(const char *engine_url, const hs_engine_order *order) {
    g_autofree char *url = g_strconcat(engine_url, "/orders", NULL);
    return post_json(url, json_pack("{s:s,s:I,s:s,s:s}", "scope", order->scope, "epoch",
                                    (json_int_t)order->epoch, "action", order->action, "model",
                                    order->model));
}
