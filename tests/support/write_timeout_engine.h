/**
 * @file write_timeout_engine.h
 * A stand-in engine that sends long streams and closes the connection if the reader stalls for too
 * long. A small socket send buffer makes the engine notice a stalled reader early.
 */
#ifndef TESTS_SUPPORT_WRITE_TIMEOUT_ENGINE_H
#define TESTS_SUPPORT_WRITE_TIMEOUT_ENGINE_H

#include "standin/log_store/log_store.h"

#include <stdbool.h>
#include <stdint.h>

typedef struct write_timeout_engine write_timeout_engine;

/** Settings of the engine; the strings are borrowed. */
typedef struct {
    const char *id;
    const char *service;
    uint32_t events;      /**< Count of events of each stream. */
    uint32_t event_bytes; /**< Size of an event's data. */
    uint32_t patience_ms; /**< Stall of the reader after which the connection is closed. */
} write_timeout_engine_settings;

write_timeout_engine *write_timeout_engine_start(const write_timeout_engine_settings *settings);
void write_timeout_engine_stop(write_timeout_engine *engine);

/** Writes the engine's entry to the store. */
void write_timeout_engine_announce(write_timeout_engine *engine, log_store *store);

/** Return counts of streams: started, sent completely, and ended by a stalled reader. */
uint32_t write_timeout_engine_start_count(write_timeout_engine *engine);
uint32_t write_timeout_engine_completed_count(write_timeout_engine *engine);
uint32_t write_timeout_engine_timeout_count(write_timeout_engine *engine);

#endif
