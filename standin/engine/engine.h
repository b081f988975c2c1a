/**
 * @file engine.h
 * Stand-in engine: an HTTP front over the engine model, driven in real time.
 *
 * It speaks the OpenAI-compatible forms with two common extensions in the body ("priority",
 * "request_id") and paths to cancel, resume, order and read the load. It keeps its own record of
 * every request it started: the tests' oracle.
 */
#ifndef STANDIN_ENGINE_H
#define STANDIN_ENGINE_H

#include "http/http_server.h"
#include "standin/engine/engine_model.h"

#define ENGINE_DEFAULT_MODEL "drafting-7b"
#define ENGINE_BATCH_PRIORITY 10

typedef struct {
    bool refuse;               /**< New work is refused as not run. */
    bool leaving;              /**< New work is refused with code "leaving". */
    uint32_t cut_count;        /**< Streams still to be cut. */
    uint32_t cut_after_tokens; /**< Where a cut falls. */
    uint32_t slow_step_ms;     /**< Added to each step. */
    uint32_t cache_gap_every;  /**< Every n-th cache event is lost; 0: none. */
    uint32_t load_lag_ms;
} engine_faults;

/** One request as the engine knows it. Lives as long as the engine: it is the record of what ran.
 */
typedef struct {
    char *request_id;
    char *prompt;
    char *model;
    bool chat;
    engine_sequence sequence;
    uint32_t start_count; /**< Times it was handed to the model under this id. */
    uint32_t readers;
    gint64 received_us;
    gint64 ended_us;
} engine_request;

typedef struct {
    gint64 taken_us;
    uint32_t online;
    uint32_t batch;
    uint32_t kv_free;
} engine_load_sample;

typedef struct engine {
    char *id;
    GMutex lock;
    GCond progressed;
    engine_model *model;
    GHashTable *requests;    /**< request id -> engine_request */
    GPtrArray *request_list; /**< the same, in order of arrival */
    GPtrArray *loaded_models;
    GArray *load_samples;
    GArray *cache_events; /**< of uint64_t prefix hash; the index is the event's number */
    engine_faults faults;
    uint32_t leaving_refusals; /**< New work that came while leaving. */
    uint32_t refusals;         /**< New work refused by the fault "refuse". */
    GHashTable *order_epochs;  /**< scope -> highest epoch of an order obeyed in it */
    bool stopping;
    GThread *step_thread;
} engine;

engine *engine_new(const char *id, const engine_model_settings *settings);
void engine_free(engine *self);

/** Routes for callers of the engine. */
void engine_routes(engine *self, hs_http_server *server);

/** Routes for orders, load, cache events, fault switches and the record of what ran. */
void engine_control_routes(engine *self, hs_http_server *server);

#endif
