/**
 * @file engine.h
 * A small engine for the review's scripts, by the users' pages: slots and a queue, streams of
 * numbered events, resumption after an event, the version of its weights, refusals that say that
 * the request did not run, and its entry in the store.
 */
#ifndef REVIEW_LIB_ENGINE_H
#define REVIEW_LIB_ENGINE_H

#include "standin/log_store/log_store.h"

#include <stdbool.h>
#include <stdint.h>

typedef struct {
    const char *id;
    uint32_t slots;
    uint32_t queue;           /**< Requests that may wait for a slot. */
    uint32_t events;          /**< Of a stream. */
    uint32_t long_events;     /**< Of a stream at /jobs/long. */
    uint32_t event_ms;        /**< Interval of events. */
    uint32_t weights_version; /**< See Heathsail-Expected-Version. */
} engine_settings;

typedef struct engine engine;

/** Starts an engine of service "llm" and writes its entry to the store. */
engine *engine_start(const engine_settings *settings, log_store *store);

/** Runs of a request so far. */
uint32_t engine_runs(engine *of, const char *request_id);

/** Runs of all requests so far. */
uint32_t engine_all_runs(engine *of);

/** Requests that run or wait now. */
uint32_t engine_open(engine *of);

/** Answers with 421 so far. */
uint32_t engine_misdirected(engine *of);

#endif
