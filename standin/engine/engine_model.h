/**
 * @file engine_model.h
 * Model of one engine: continuous batching, prefix cache, KV limit, priorities with preemption.
 *
 * Pure: it knows no clock and no thread. A driver begins a step, waits its duration (in real or
 * virtual time) and ends it; ending delivers a token to every decoding sequence. The step's
 * duration grows with the number of sequences, their context and the prompt tokens prefilled.
 */
#ifndef STANDIN_ENGINE_MODEL_H
#define STANDIN_ENGINE_MODEL_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** Cost of a step and limits; times in milliseconds. */
typedef struct {
    double step_base_ms;
    double step_per_sequence_ms;
    double step_per_kilotoken_context_ms;
    double step_per_prefill_token_ms;
    uint32_t max_sequences;
    uint32_t prefill_tokens_per_step;
    uint32_t kv_tokens;            /**< Tokens of KV cache in all. */
    uint32_t prefix_cache_entries; /**< Cached prefixes, least recently used goes first. */
} engine_model_settings;

extern const engine_model_settings engine_model_default_settings;

/** WAITING -> RUNNING by admission; RUNNING -> WAITING by preemption; both end in one of the rest.
 */
typedef enum {
    ENGINE_SEQUENCE_WAITING,
    ENGINE_SEQUENCE_RUNNING,
    ENGINE_SEQUENCE_DONE,
    ENGINE_SEQUENCE_CANCELLED,
} engine_sequence_state;

typedef struct {
    uint64_t arrival; /**< Order of arrival; set by the model. */
    int priority;     /**< Lower goes first. */
    uint32_t prompt_tokens;
    uint32_t max_tokens;
    uint64_t prefix_hash; /**< 0: no shared prefix. */
    uint32_t prefix_tokens;
    uint32_t prefilled; /**< Prompt tokens whose KV stands, cached ones included. */
    uint32_t produced;
    engine_sequence_state state;
    void *owner; /**< The driver's. */
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

/** Hand in a sequence; the driver keeps ownership and frees it once it has ended. */
void engine_model_submit(engine_model *model, engine_sequence *sequence);

/** Take a sequence out, wherever it is. */
void engine_model_cancel(engine_model *model, engine_sequence *sequence);

/** Admit and preempt, then start a step. @return its duration in ms; 0 when there is no work. */
double engine_model_step_begin(engine_model *model);

typedef void (*engine_token_callback)(engine_sequence *sequence, void *user_data);

/** End the step: @p on_token runs for each sequence that got a token; ended ones are DONE. */
void engine_model_step_end(engine_model *model, engine_token_callback on_token, void *user_data);

/** KV tokens in use by running sequences. */
uint32_t engine_model_kv_used(const engine_model *model);

/** Sequences, waiting or running, with a priority below (before) @p limit. */
uint32_t engine_model_count_before(const engine_model *model, int limit);

#endif
