/**
 * @file impatient_engine.h
 * An engine of long streams that cuts an answer off when it stays unread for too long. Its kernel
 * keeps little of what is unread.
 */
#ifndef TESTS_SUPPORT_IMPATIENT_ENGINE_H
#define TESTS_SUPPORT_IMPATIENT_ENGINE_H

#include "standin/log_store/log_store.h"

#include <stdbool.h>
#include <stdint.h>

typedef struct impatient_engine impatient_engine;

/** What it does. */
typedef struct {
    const char *id;
    const char *service;
    uint32_t events;      /**< Of each stream. */
    uint32_t event_bytes; /**< Data of an event. */
    uint32_t patience_ms; /**< Unread for this long an answer is cut off. */
} impatient_engine_settings;

impatient_engine *impatient_engine_start(const impatient_engine_settings *settings);
void impatient_engine_stop(impatient_engine *engine);

/** Write its entry into the store. */
void impatient_engine_announce(impatient_engine *engine, log_store *store);

/** Streams begun, whole as far as the engine knows, and cut since nobody read them. */
uint32_t impatient_engine_begun(impatient_engine *engine);
uint32_t impatient_engine_whole(impatient_engine *engine);
uint32_t impatient_engine_cut(impatient_engine *engine);

#endif
