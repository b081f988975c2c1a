/**
 * @file engine_client.h
 * Client of the model engines: runs, resumes and cancels requests, and reads the load. Thread-safe.
 *
 * Every run requests a stream, so an interrupted response can be resumed at the next token, and a
 * truncated one is never taken for complete: a response is complete only if all token indices
 * arrive in order, the last token carries a finish reason and the stream ends with the terminator.
 */
#ifndef HS_ENGINE_ENGINE_CLIENT_H
#define HS_ENGINE_ENGINE_CLIENT_H

#include "heathsail/error.h"

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct {
    const char *engine_url; /**< http://address:port */
    const char *path;       /**< /v1/chat/completions or /v1/completions */
    const char *request_id; /**< Identifies the attempt at the engine. */
    const char *body;       /**< JSON text; includes stream, request_id and priority. */
    uint32_t timeout_s;     /**< Limit of each exchange; 0: no limit. */
} hs_engine_call;

/** How a run ended. */
typedef enum {
    HS_RUN_COMPLETED,   /**< All tokens were received. */
    HS_RUN_CANCELLED,   /**< The run was cancelled at the engine. */
    HS_RUN_REFUSED,     /**< The engine refused the request without running it. */
    HS_RUN_INVALID,     /**< The engine rejected the request as invalid without running it. */
    HS_RUN_INTERRUPTED, /**< The stream broke or no response came; the request may have run. */
    HS_RUN_ABORTED,     /**< The token callback returned false. */
} hs_run_end;

typedef struct {
    hs_run_end end;
    uint32_t next_token; /**< Index after the last token received in order. */
    long status;         /**< HTTP status; 0: no response. */
    char code[48];       /**< The engine's error code; "": none. */
} hs_run_result;

/** Receives one token's event. Returns false to abort the run. @p event is borrowed. */
typedef bool (*hs_token_callback)(uint32_t token_index, json_t *event, void *user_data);

/** Runs the call at the engine and passes each token to @p on_token. Blocks until the end. */
hs_run_result hs_engine_run(const hs_engine_call *call, hs_token_callback on_token,
                            void *user_data);

/** Resumes the stream of a request that the engine has, from token @p first_token on. Blocks. */
hs_run_result hs_engine_resume(const hs_engine_call *call, uint32_t first_token,
                               hs_token_callback on_token, void *user_data);

/**
 * Continues a cancelled request and streams its tokens from @p first_token on. Ends with
 * HS_RUN_REFUSED if the engine no longer has the request or accepts no work. Blocks.
 */
hs_run_result hs_engine_continue(const hs_engine_call *call, uint32_t first_token,
                                 hs_token_callback on_token, void *user_data);

/** Cancels a request, over a separate connection. True if the engine had the request. */
bool hs_engine_cancel(const char *engine_url, const char *request_id);

/** Cancels several requests in one exchange. @p request_ids: of char*. True on success. */
bool hs_engine_cancel_many(const char *engine_url, const GPtrArray *request_ids);

/** Returns whether a TCP connection to the engine opens within @p timeout_ms; sends no data. */
bool hs_engine_is_reachable(const char *engine_url, uint32_t timeout_ms);

typedef struct {
    uint32_t online;
    uint32_t batch;
    uint32_t max_sequences;
    bool leaving;
} hs_engine_report;

/** Reads the engine's load report, which may lag behind its load. False on failure. */
bool hs_engine_read_load(const char *engine_url, hs_engine_report *report);

/** Returns a JSON array of the engine's model names, owned by the caller; NULL on failure. */
json_t *hs_engine_read_models(const char *engine_url);

/**
 * An order to load or unload a model, fenced by epoch within its scope: the engine refuses orders
 * of older epochs with status 409.
 */
typedef struct {
    const char *scope; /**< The engine group. */
    uint32_t epoch;
    const char *action; /**< "load" or "unload". */
    const char *model;
} hs_engine_order;

/** Sends an order. Returns the HTTP status; 0: no response. */
long hs_engine_send_order(const char *engine_url, const hs_engine_order *order);

#endif
