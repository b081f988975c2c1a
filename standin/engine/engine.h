/**
 * @file engine.h
 * Stand-in engine: an HTTP server over the engine model, which runs in real time.
 *
 * The engine accepts OpenAI-compatible requests with two extensions in the body ("priority",
 * "request_id"), and has paths that cancel and resume requests, load models and report the load.
 * The engine keeps a record of each started request, against which tests verify results. @c lock
 * guards all fields that change.
 */
#ifndef STANDIN_ENGINE_H
#define STANDIN_ENGINE_H

#include "http/http_server.h"
#include "standin/engine/engine_model.h"

#define ENGINE_DEFAULT_MODEL "drafting-7b"
/** Requests with a lower priority number count as online. */
#define ENGINE_BATCH_PRIORITY 10

typedef struct {
    bool refuse;               /**< New requests are refused with code "overloaded". */
    bool leaving;              /**< New requests are refused with code "leaving". */
    uint32_t cut_count;        /**< Number of next streams to cut. */
    uint32_t cut_after_tokens; /**< Tokens that a stream sends before the cut. */
    uint32_t slow_step_ms;     /**< Added to each step. */
    uint32_t cache_gap_every;  /**< Every n-th cache event is omitted; 0: none. */
    uint32_t load_lag_ms;
} engine_faults;

/** A request and the record of its run. Freed with the engine. */
typedef struct {
    char *request_id;
    char *prompt;
    char *model;
    bool chat;
    engine_sequence sequence;
    uint32_t start_count;  /**< Number of start calls with this id. */
    uint32_t reader_count; /**< Open streams of the request. */
    gint64 received_us;
    gint64 ended_us; /**< 0: still running. */
} engine_request;

typedef struct {
    gint64 sampled_us;
    uint32_t online;
    uint32_t batch;
    uint32_t kv_free;
} engine_load_sample;

typedef struct engine {
    char *id;
    GMutex lock;
    GCond progressed;
    engine_model *model;
    GHashTable *requests;     /**< request id -> engine_request* */
    GPtrArray *request_list;  /**< of engine_request*, in order of arrival */
    GPtrArray *loaded_models; /**< of char* */
    GArray *load_samples;     /**< of engine_load_sample, oldest first */
    GArray *cache_events;     /**< of uint64_t (prefix hash), by event number */
    engine_faults faults;
    uint32_t leaving_refusals; /**< Requests refused with code "leaving". */
    uint32_t refusals;         /**< Requests refused with code "overloaded". */
    GHashTable *order_epochs;  /**< scope -> highest epoch of the executed orders */
    bool stopping;
    GThread *step_thread;
} engine;

/** Starts the engine and its step thread. Free with engine_free. */
engine *engine_new(const char *id, const engine_model_settings *settings);
void engine_free(engine *self);

/** Adds all routes, those of engine_add_control_routes included. */
void engine_add_routes(engine *self, hs_http_server *server);

/** Adds the routes for orders, models, load, cache events, faults and the record of requests. */
void engine_add_control_routes(engine *self, hs_http_server *server);

#endif
