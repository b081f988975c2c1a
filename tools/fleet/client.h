/**
 * @file client.h
 * HTTP client of the public and admin APIs for tools and tests. Functions block; a request times
 * out after 60 s, a stream has no time-out. @p tenant is the bearer token; NULL: none.
 */
#ifndef TOOLS_FLEET_CLIENT_H
#define TOOLS_FLEET_CLIENT_H

#include "base/http_exchange.h"

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>

/** Extra headers: name, value, ..., NULL; or NULL. */
typedef const char *const *client_headers;

/**
 * Sends a request with a JSON body (NULL: none). @p body (may be NULL) receives the parsed
 * response, or NULL; the caller releases it. @return HTTP status; 0: no response.
 */
long client_call(const char *method, const char *base_url, const char *path, const char *tenant,
                 const char *json_body, client_headers headers, json_t **body);

/** As client_call, with the unparsed response. Clear @p answer with hs_http_answer_clear. */
bool client_exchange(const char *method, const char *base_url, const char *path, const char *tenant,
                     const char *json_body, client_headers headers, hs_http_answer *answer);

/**
 * Uploads a JSONL file. @p file_id receives its id (free with g_free), or NULL on failure.
 * @return HTTP status; 0: no response.
 */
long client_upload(const char *base_url, const char *tenant, const char *jsonl, char **file_id);

/** A streamed completion as the caller received it. Clear with client_stream_clear. */
typedef struct {
    long status;
    GString *text; /**< Concatenated tokens. */
    uint32_t token_count;
    bool done_seen; /**< The terminator was received. */
    bool has_transfer_error;
    char *error_code;       /**< Of an error event or body, or NULL. */
    char *executed;         /**< The same error's "executed", or NULL. */
    GArray *token_times_us; /**< gint64: monotonic time of each token. */
} client_stream;

/**
 * Sends a completion with "stream": true and reads the response to its end, or disconnects after
 * @p disconnect_after_tokens tokens (0: never).
 */
void client_stream_run(const char *base_url, const char *path, const char *tenant,
                       const char *json_body, client_headers headers,
                       uint32_t disconnect_after_tokens, client_stream *stream);
void client_stream_clear(client_stream *stream);

/** Polls @p path until the status is 200. Returns false on time-out. */
bool client_wait_ok(const char *base_url, const char *path, uint32_t timeout_ms);

/**
 * Polls a batch until it is completed or cancelled.
 * @return the job, which the caller releases; NULL on time-out.
 */
json_t *client_wait_batch(const char *base_url, const char *tenant, const char *job_id,
                          uint32_t timeout_ms);

/** Returns the path of a batch's results. Free with g_free. */
char *client_results_path(const char *job_id);

/** Returns a batch's results as a JSON array, empty on failure; the caller releases it. */
json_t *client_read_results(const char *base_url, const char *tenant, const char *job_id);

#endif
