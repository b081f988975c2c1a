/** @file client.c  See client.h. */
#include "tools/fleet/client.h"

#include "base/clock.h"

#include <string.h>

#define REQUEST_TIMEOUT_S 60
#define POLL_MS 20
#define HTTP_OK 200
#define MAX_HEADERS 16
#define UPLOAD_BOUNDARY "heathsail-upload-boundary"

/** Fills @p list with the bearer header and @p headers. @p bearer must outlive @p list. */
static void fill_headers(const char **list, const char *bearer, client_headers headers) {
    int count = 0;
    if (bearer != NULL) {
        list[count++] = "Authorization";
        list[count++] = bearer;
    }
    for (; headers != NULL && *headers != NULL && count < MAX_HEADERS; headers++)
        list[count++] = *headers;
    list[count] = NULL;
}

bool client_exchange(const char *method, const char *base_url, const char *path, const char *tenant,
                     const char *json_body, client_headers headers, hs_http_answer *answer) {
    g_autofree char *url = g_strconcat(base_url, path, NULL);
    g_autofree char *bearer = tenant != NULL ? g_strconcat("Bearer ", tenant, NULL) : NULL;
    const char *list[MAX_HEADERS + 2];
    fill_headers(list, bearer, headers);
    hs_http_request request = {.method = method,
                               .url = url,
                               .content_type = json_body != NULL ? "application/json" : NULL,
                               .body = json_body,
                               .body_length = json_body != NULL ? strlen(json_body) : 0,
                               .timeout_s = REQUEST_TIMEOUT_S,
                               .header_list = list};
    return hs_http_exchange(&request, answer);
}

long client_call(const char *method, const char *base_url, const char *path, const char *tenant,
                 const char *json_body, client_headers headers, json_t **body) {
    hs_http_answer answer;
    long status = client_exchange(method, base_url, path, tenant, json_body, headers, &answer)
                      ? answer.status
                      : 0;
    if (body != NULL)
        *body = status != 0 ? json_loadb(answer.body, answer.body_length, 0, NULL) : NULL;
    hs_http_answer_clear(&answer);
    return status;
}

long client_upload(const char *base_url, const char *tenant, const char *jsonl, char **file_id) {
    g_autofree char *url = g_strconcat(base_url, "/v1/files", NULL);
    g_autofree char *bearer = g_strconcat("Bearer ", tenant, NULL);
    g_autofree char *body = g_strdup_printf(
        "--" UPLOAD_BOUNDARY "\r\nContent-Disposition: form-data; name=\"purpose\"\r\n\r\nbatch\r\n"
        "--" UPLOAD_BOUNDARY "\r\nContent-Disposition: form-data; name=\"file\"; "
        "filename=\"items.jsonl\"\r\nContent-Type: application/jsonl\r\n\r\n%s\r\n"
        "--" UPLOAD_BOUNDARY "--\r\n",
        jsonl);
    const char *headers[] = {"Authorization", bearer, NULL};
    hs_http_request request = {.method = "POST",
                               .url = url,
                               .content_type = "multipart/form-data; boundary=" UPLOAD_BOUNDARY,
                               .body = body,
                               .body_length = strlen(body),
                               .timeout_s = REQUEST_TIMEOUT_S,
                               .header_list = headers};
    hs_http_answer answer;
    long status = hs_http_exchange(&request, &answer) ? answer.status : 0;
    json_t *document = status != 0 ? json_loads(answer.body, 0, NULL) : NULL;
    *file_id = g_strdup(json_string_value(json_object_get(document, "id")));
    json_decref(document);
    hs_http_answer_clear(&answer);
    return status;
}

/** State of reading a stream's events. */
typedef struct {
    client_stream *stream;
    GString *line;
    uint32_t disconnect_after_tokens;
} stream_reader;

static void record_error(client_stream *stream, const json_t *document) {
    const json_t *error = json_object_get(document, "error");
    if (error == NULL)
        return;
    stream->error_code = g_strdup(json_string_value(json_object_get(error, "code")));
    stream->executed = g_strdup(json_string_value(json_object_get(error, "executed")));
}

static void record_event(client_stream *stream, const char *text) {
    if (strcmp(text, "[DONE]") == 0) {
        stream->done_seen = true;
        return;
    }
    json_t *event = json_loads(text, 0, NULL);
    const json_t *choice = json_array_get(json_object_get(event, "choices"), 0);
    const json_t *content = json_object_get(json_object_get(choice, "delta"), "content");
    if (content == NULL)
        content = json_object_get(choice, "text");
    if (json_is_string(content)) {
        gint64 now_us = g_get_monotonic_time();
        g_array_append_val(stream->token_times_us, now_us);
        g_string_append(stream->text, json_string_value(content));
        stream->token_count++;
    }
    record_error(stream, event);
    json_decref(event);
}

static bool read_stream(const void *contents, size_t length, void *user_data) {
    stream_reader *reader = user_data;
    const char *bytes = contents;
    for (size_t index = 0; index < length; index++) {
        if (bytes[index] != '\n') {
            g_string_append_c(reader->line, bytes[index]);
            continue;
        }
        if (g_str_has_prefix(reader->line->str, "data: "))
            record_event(reader->stream, reader->line->str + strlen("data: "));
        g_string_truncate(reader->line, 0);
    }
    bool is_limit_reached = reader->disconnect_after_tokens > 0 &&
                            reader->stream->token_count >= reader->disconnect_after_tokens;
    return !is_limit_reached;
}

void client_stream_run(const char *base_url, const char *path, const char *tenant,
                       const char *json_body, client_headers headers,
                       uint32_t disconnect_after_tokens, client_stream *stream) {
    *stream = (client_stream){.text = g_string_new(NULL),
                              .token_times_us = g_array_new(FALSE, FALSE, sizeof(gint64))};
    stream_reader reader = {.stream = stream,
                            .line = g_string_new(NULL),
                            .disconnect_after_tokens = disconnect_after_tokens};
    g_autofree char *url = g_strconcat(base_url, path, NULL);
    g_autofree char *bearer = g_strconcat("Bearer ", tenant, NULL);
    const char *list[MAX_HEADERS + 2];
    fill_headers(list, bearer, headers);
    hs_http_request request = {.method = "POST",
                               .url = url,
                               .content_type = "application/json",
                               .body = json_body,
                               .body_length = strlen(json_body),
                               .header_list = list};
    stream->has_transfer_error = !hs_http_stream(&request, read_stream, &reader, &stream->status);
    json_t *document = json_loads(reader.line->str, 0, NULL);
    record_error(stream, document);
    json_decref(document);
    g_string_free(reader.line, TRUE);
}

void client_stream_clear(client_stream *stream) {
    g_string_free(stream->text, TRUE);
    g_array_free(stream->token_times_us, TRUE);
    g_free(stream->error_code);
    g_free(stream->executed);
}

bool client_wait_ok(const char *base_url, const char *path, uint32_t timeout_ms) {
    uint64_t deadline_ms = hs_clock_monotonic_ms() + timeout_ms;
    while (hs_clock_monotonic_ms() < deadline_ms) {
        if (client_call("GET", base_url, path, NULL, NULL, NULL, NULL) == HTTP_OK)
            return true;
        hs_clock_sleep_ms(POLL_MS);
    }
    return false;
}

json_t *client_wait_batch(const char *base_url, const char *tenant, const char *job_id,
                          uint32_t timeout_ms) {
    g_autofree char *path = g_strconcat("/v1/batches/", job_id, NULL);
    uint64_t deadline_ms = hs_clock_monotonic_ms() + timeout_ms;
    while (hs_clock_monotonic_ms() < deadline_ms) {
        json_t *job = NULL;
        client_call("GET", base_url, path, tenant, NULL, NULL, &job);
        const char *status = json_string_value(json_object_get(job, "status"));
        if (status != NULL &&
            (strcmp(status, "completed") == 0 || strcmp(status, "cancelled") == 0))
            return job;
        json_decref(job);
        hs_clock_sleep_ms(POLL_MS);
    }
    return NULL;
}

char *client_results_path(const char *job_id) {
    return g_strdup_printf("/v1/files/output_%s/content", job_id + strlen("batch_"));
}

json_t *client_read_results(const char *base_url, const char *tenant, const char *job_id) {
    g_autofree char *path = client_results_path(job_id);
    hs_http_answer answer;
    json_t *results = json_array();
    if (client_exchange("GET", base_url, path, tenant, NULL, NULL, &answer) &&
        answer.status == 200) {
        g_auto(GStrv) lines = g_strsplit(answer.body, "\n", -1);
        for (int index = 0; lines[index] != NULL && *lines[index] != '\0'; index++)
            json_array_append_new(results, json_loads(lines[index], 0, NULL));
    }
    hs_http_answer_clear(&answer);
    return results;
}
