/**
 * @file client.h
 * A caller of the public API, for the demo, the command line and the tests.
 */
#ifndef TOOLS_FLEET_CLIENT_H
#define TOOLS_FLEET_CLIENT_H

#include "base/http_exchange.h"

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>

/** Extra headers of a call: name, value, ..., NULL. */
typedef const char *const *client_headers;

/** A call with a JSON body (NULL: none). @return HTTP status, 0: no answer. @p body: parsed; owned.
 */
long client_call(const char *method, const char *base_url, const char *path, const char *tenant,
                 const char *json_body, client_headers headers, json_t **body);

/** The same with the raw answer. Clear it with hs_http_answer_clear. */
bool client_exchange(const char *method, const char *base_url, const char *path, const char *tenant,
                     const char *json_body, client_headers headers, hs_http_answer *answer);

/** Upload a JSONL text. @return HTTP status; @p file_id: owned, NULL on failure. */
long client_upload(const char *base_url, const char *tenant, const char *jsonl, char **file_id);

/** A streamed completion as its caller saw it. Clear with client_stream_clear. */
typedef struct {
    long status;
    GString *text; /**< Tokens joined. */
    uint32_t token_count;
    bool done_seen; /**< The terminator came. */
    bool transfer_broken;
    char *error_code; /**< Of an error event or body, or NULL. */
    char *executed;
    GArray *token_times_us; /**< of gint64, of the monotonic clock, one a token */
} client_stream;

/** Send a completion with "stream": true and read it to its end, or until @p stop_after tokens. */
void client_stream_run(const char *base_url, const char *path, const char *tenant,
                       const char *json_body, client_headers headers, uint32_t stop_after,
                       client_stream *stream);
void client_stream_clear(client_stream *stream);

/** Poll until @p base_url answers 200 on @p path, at most @p timeout_ms. */
bool client_wait_ok(const char *base_url, const char *path, uint32_t timeout_ms);

/** Poll a batch until its status is one that ends it. @return the job; owned. NULL on time-out. */
json_t *client_wait_batch(const char *base_url, const char *tenant, const char *job_id,
                          uint32_t timeout_ms);

/** Path of a batch's results. Free with g_free. */
char *client_results_path(const char *job_id);

/** A batch's result lines as a JSON array; empty when they cannot be read. Owned. */
json_t *client_read_results(const char *base_url, const char *tenant, const char *job_id);

#endif
