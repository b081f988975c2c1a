/**
 * @file engine_client.h
 * Port to the model engines: run a request as a stream, resume it, cancel it, read the load.
 *
 * Every run asks the engine for a stream, so that a cut can be resumed at the token reached and a
 * short answer never looks whole: an answer is whole only when every token index came in order,
 * the last one carried a finish reason and the stream's terminator was seen.
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
    const char *request_id; /**< The attempt's identity at the engine. */
    const char *body;       /**< JSON text that already carries stream, request_id and priority. */
    uint32_t timeout_s; /**< Limit of each exchange, so that a silent engine lets go; 0: none. */
} hs_engine_call;

/** How a run ended. */
typedef enum {
    HS_RUN_WHOLE,     /**< Every token came. */
    HS_RUN_CANCELLED, /**< Somebody cancelled it at the engine. */
    HS_RUN_REFUSED,   /**< The engine refused it: it did not run. */
    HS_RUN_INVALID,   /**< The engine calls it invalid: it did not run. */
    HS_RUN_CUT,       /**< The stream broke, or no answer came: it may have run. */
    HS_RUN_ABORTED,   /**< The token callback asked to stop. */
} hs_run_end;

typedef struct {
    hs_run_end end;
    uint32_t next_token; /**< Tokens that came in order. */
    long status;         /**< HTTP status; 0: no answer. */
    char code[48];       /**< The engine's error code, if it gave one. */
} hs_run_result;

/** One token's event, parsed. Return false to abort the run. @p event is borrowed. */
typedef bool (*hs_token_callback)(uint32_t token_index, json_t *event, void *user_data);

/** Start the call at the engine and pass on its tokens until it ends. Blocks. */
hs_run_result hs_engine_run(const hs_engine_call *call, hs_token_callback on_token,
                            void *user_data);

/** Take up the stream of a request the engine already has, from token @p first_token on. Blocks. */
hs_run_result hs_engine_resume(const hs_engine_call *call, uint32_t first_token,
                               hs_token_callback on_token, void *user_data);

/**
 * Put a request that was cancelled back to work and take its tokens from @p first_token on. REFUSED
 * when the engine does not know it any more or takes no work. Blocks.
 */
hs_run_result hs_engine_continue(const hs_engine_call *call, uint32_t first_token,
                                 hs_token_callback on_token, void *user_data);

/** Cancel at the engine, over a connection of its own. True when the engine knew the request. */
bool hs_engine_cancel(const char *engine_url, const char *request_id);

/** Cancel several requests in one exchange. @p request_ids: of char*. True when it was answered. */
bool hs_engine_cancel_many(const char *engine_url, const GPtrArray *request_ids);

/** Whether a TCP connection to the engine opens within @p timeout_ms; sends no byte. */
bool hs_engine_is_reachable(const char *engine_url, uint32_t timeout_ms);

typedef struct {
    uint32_t online;
    uint32_t batch;
    uint32_t max_sequences;
    bool leaving;
} hs_engine_report;

/** The engine's own, lagging load report. */
bool hs_engine_read_load(const char *engine_url, hs_engine_report *report);

/** Models the engine holds, as a JSON array of names. The caller owns it; NULL on failure. */
json_t *hs_engine_read_models(const char *engine_url);

/** An order, fenced by epoch within its scope: the engine refuses (409) one of an older epoch. */
typedef struct {
    const char *scope; /**< The engine group. */
    uint32_t epoch;
    const char *action; /**< "load" or "unload". */
    const char *model;
} hs_engine_order;

/** @return HTTP status, 0: no answer. */
long hs_engine_give_order(const char *engine_url, const hs_engine_order *order);

#endif
