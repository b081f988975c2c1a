/**
 * @file engine_model.h
 * Model of an engine with continuous batching, a prefix cache, a KV limit and preemption by
 * priority.
 *
 * The model uses no clock and no thread, and is not thread-safe. A driver begins a step, waits for
 * its duration in real or virtual time, and ends the step, which gives a token to each decoding
 * sequence. The duration grows with the number of decoding sequences, their context and the
 * prefilled tokens.
 */
#ifndef STANDIN_ENGINE_MODEL_H
#define STANDIN_ENGINE_MODEL_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** Costs of a step, and limits. */
typedef struct {
    double step_base_ms;
    double step_per_sequence_ms;
    double step_per_kilotoken_context_ms;
    double step_per_prefill_token_ms;
    uint32_t max_sequences;
    uint32_t prefill_tokens_per_step;
    uint32_t kv_tokens;            /**< Capacity of the KV cache. */
    uint32_t prefix_cache_entries; /**< Least recently used prefixes are evicted. */
} engine_model_settings;

extern const engine_model_settings engine_model_default_settings;

/** Admission leads from WAITING to RUNNING, preemption back to WAITING. */
typedef enum {
    ENGINE_SEQUENCE_WAITING,
    ENGINE_SEQUENCE_RUNNING,
    ENGINE_SEQUENCE_DONE,
    ENGINE_SEQUENCE_CANCELLED,
} engine_sequence_state;

typedef struct {
    uint64_t arrival; /**< Order of arrival; set by the model. */
    int priority;     /**< Lower numbers run first. */
    uint32_t prompt_tokens;
    uint32_t max_tokens;
    uint64_t prefix_hash; /**< 0: no shared prefix. */
    uint32_t prefix_tokens;
    uint32_t prefilled; /**< Tokens in the KV cache, those of a cached prefix included. */
    uint32_t produced;
    engine_sequence_state state;
    void *owner; /**< Not used by the model. */
} engine_sequence;

typedef struct {
    engine_model_settings settings;
    GPtrArray *waiting; /**< of engine_sequence*, in order of (priority, arrival) */
    GPtrArray *running;
    GArray *prefix_cache; /**< of uint64_t, most recently used last */
    uint64_t next_arrival;
    uint32_t prefill_this_step;
    uint64_t preemption_count;
    uint64_t step_count;
    uint64_t cache_hit_count;
} engine_model;

engine_model *engine_model_new(const engine_model_settings *settings);
void engine_model_free(engine_model *model);

/** Queues a sequence. The driver owns the sequence and may free it when DONE or CANCELLED. */
void engine_model_submit(engine_model *model, engine_sequence *sequence);

/** Removes a waiting or running sequence and marks it CANCELLED. */
void engine_model_cancel(engine_model *model, engine_sequence *sequence);

/**
 * Admits and preempts sequences and starts a step. Returns the duration of the step in ms, or 0 if
 * no sequence runs.
 */
double engine_model_step_begin(engine_model *model);

typedef void (*engine_token_callback)(engine_sequence *sequence, void *user_data);

/** Ends the step. Calls @p on_token for each sequence that got a token, after setting its state. */
void engine_model_step_end(engine_model *model, engine_token_callback on_token, void *user_data);

/** Returns the KV tokens that are reserved by running sequences. */
uint32_t engine_model_kv_used(const engine_model *model);

/** Returns the count of waiting and running sequences with a priority number below @p limit. */
uint32_t engine_model_count_more_urgent(const engine_model *model, int limit);

#endif
