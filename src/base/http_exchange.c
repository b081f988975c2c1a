/** @file http_exchange.c  See http_exchange.h. */
#include "base/http_exchange.h"

#include <curl/curl.h>
#include <glib.h>
#include <string.h>

#define STATUS_LINE_PREFIX "HTTP/"
#define FIRST_FINAL_STATUS 200

/**
 * State of a transfer. libcurl reports success if the connection is closed within the head of an
 * answer, so only the empty line shows that the head is complete.
 */
typedef struct {
    CURL *handle;
    hs_http_body_callback on_body;
    void *user_data;
    long status; /**< Of the latest head, which may be incomplete. */
    bool is_head_complete;
    char *etag;
    char *retry_after;
} transfer;

/** Stores a copy of the field's value if the line is of the field @p name. */
static void copy_field(const char *line, const char *name, char **value) {
    size_t length = strlen(name);
    if (g_ascii_strncasecmp(line, name, length) != 0 || line[length] != ':')
        return;
    g_free(*value);
    *value = g_strstrip(g_strdup(line + length + 1));
}

static void begin_head(transfer *running) {
    running->status = 0;
    curl_easy_getinfo(running->handle, CURLINFO_RESPONSE_CODE, &running->status);
    g_clear_pointer(&running->etag, g_free);
    g_clear_pointer(&running->retry_after, g_free);
}

/** Called by libcurl with each whole line of a head, the empty one included, and of a trailer. */
static size_t read_head_line(char *bytes, size_t size, size_t count, void *user_data) {
    transfer *running = user_data;
    size_t length = size * count;
    if (running->is_head_complete)
        return length;
    g_autofree char *line = g_strchomp(g_strndup(bytes, length));
    if (g_str_has_prefix(line, STATUS_LINE_PREFIX))
        begin_head(running);
    else if (line[0] == '\0')
        running->is_head_complete = running->status >= FIRST_FINAL_STATUS;
    copy_field(line, "ETag", &running->etag);
    copy_field(line, "Retry-After", &running->retry_after);
    return length;
}

/** Called by libcurl with body bytes. A result other than their number aborts the transfer. */
static size_t read_body(char *bytes, size_t size, size_t count, void *user_data) {
    transfer *running = user_data;
    size_t length = size * count;
    return running->on_body(bytes, length, running->user_data) ? length : CURL_WRITEFUNC_ERROR;
}

static struct curl_slist *make_header_list(const hs_http_request *request) {
    struct curl_slist *lines = NULL;
    if (request->content_type != NULL) {
        g_autofree char *line = g_strconcat("Content-Type: ", request->content_type, NULL);
        lines = curl_slist_append(lines, line);
    }
    const char *const *header = request->header_list;
    for (; header != NULL && header[0] != NULL; header += 2) {
        g_autofree char *line = g_strconcat(header[0], ": ", header[1], NULL);
        lines = curl_slist_append(lines, line);
    }
    return lines;
}

static void set_request(CURL *handle, const hs_http_request *request, struct curl_slist *headers) {
    curl_easy_setopt(handle, CURLOPT_URL, request->url);
    curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(handle, CURLOPT_TIMEOUT, (long)request->timeout_s);
    curl_easy_setopt(handle, CURLOPT_HTTPHEADER, headers);
    if (request->content_type != NULL) {
        curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE_LARGE, (curl_off_t)request->body_length);
        curl_easy_setopt(handle, CURLOPT_POSTFIELDS,
                         request->body_length > 0 ? (const char *)request->body : "");
    }
    if (strcmp(request->method, "HEAD") == 0)
        curl_easy_setopt(handle, CURLOPT_NOBODY, 1L);
    curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, request->method);
}

/** Makes the transfer. Returns whether the whole answer was received. */
static bool run_transfer(transfer *running, const hs_http_request *request) {
    running->handle = curl_easy_init();
    if (running->handle == NULL)
        return false;
    struct curl_slist *headers = make_header_list(request);
    set_request(running->handle, request, headers);
    curl_easy_setopt(running->handle, CURLOPT_HEADERFUNCTION, read_head_line);
    curl_easy_setopt(running->handle, CURLOPT_HEADERDATA, running);
    curl_easy_setopt(running->handle, CURLOPT_WRITEFUNCTION, read_body);
    curl_easy_setopt(running->handle, CURLOPT_WRITEDATA, running);
    bool ended = curl_easy_perform(running->handle) == CURLE_OK;
    curl_easy_cleanup(running->handle);
    curl_slist_free_all(headers);
    return ended && running->is_head_complete;
}

static void clear_transfer(transfer *running) {
    g_free(running->etag);
    g_free(running->retry_after);
}

bool hs_http_stream(const hs_http_request *request, hs_http_body_callback on_body, void *user_data,
                    long *status) {
    transfer running = {.on_body = on_body, .user_data = user_data};
    bool answered = run_transfer(&running, request);
    *status = running.is_head_complete ? running.status : 0;
    clear_transfer(&running);
    return answered;
}

static bool append_body(const void *bytes, size_t length, void *user_data) {
    g_string_append_len(user_data, bytes, (gssize)length);
    return true;
}

bool hs_http_exchange(const hs_http_request *request, hs_http_answer *answer) {
    memset(answer, 0, sizeof *answer);
    GString *body = g_string_new(NULL);
    transfer running = {.on_body = append_body, .user_data = body};
    bool answered = run_transfer(&running, request);
    if (answered) {
        answer->status = running.status;
        answer->body_length = body->len;
        answer->etag = g_steal_pointer(&running.etag);
        if (running.retry_after != NULL)
            answer->retry_after_s = (uint32_t)g_ascii_strtoull(running.retry_after, NULL, 10);
    }
    answer->body = g_string_free(body, !answered);
    clear_transfer(&running);
    return answered;
}

void hs_http_answer_clear(hs_http_answer *answer) {
    g_free(answer->body);
    g_free(answer->etag);
    memset(answer, 0, sizeof *answer);
}
