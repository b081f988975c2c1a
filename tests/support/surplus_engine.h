/**
 * @file surplus_engine.h
 * A stand-in engine that sends more answers than requests, as a raw TCP server.
 *
 * The first request on a connection is refused. A later request from the start of a stream is
 * refused again although the engine runs it; the run's stream is sent ahead of the answer to the
 * next request. A request that resumes after an event, on a connection without such a run, is
 * served correctly.
 */
#ifndef TESTS_SUPPORT_SURPLUS_ENGINE_H
#define TESTS_SUPPORT_SURPLUS_ENGINE_H

#include <stdbool.h>
#include <stdint.h>

typedef struct surplus_engine surplus_engine;

/** Starts an engine whose streams have @p events events. */
surplus_engine *surplus_engine_start(const char *id, uint32_t events);
void surplus_engine_stop(surplus_engine *engine);

uint16_t surplus_engine_port(const surplus_engine *engine);

/** Returns the count of requests read so far. */
uint32_t surplus_engine_request_count(surplus_engine *engine);

/** Writes the event after which a run resumed, 0 for none; returns false if the run is unknown. */
bool surplus_engine_find_resume_event(surplus_engine *engine, uint32_t run, uint32_t *event);

#endif
