/**
 * @file surplus_engine.h
 * A model engine that sends surplus answers, as a raw TCP server of whole items.
 *
 * Every connection begins with a refusal. A request that begins anew on it later is answered with
 * the same refusal once more, a surplus answer, while the engine runs it all the same; what that
 * run makes is sent in the place of the next answer. A request that goes on after an event, on a
 * connection without such a run, is served as it asks.
 */
#ifndef TESTS_SUPPORT_SURPLUS_ENGINE_H
#define TESTS_SUPPORT_SURPLUS_ENGINE_H

#include <stdbool.h>
#include <stdint.h>

typedef struct surplus_engine surplus_engine;

/** @p events: of each stream. */
surplus_engine *surplus_engine_start(const char *id, uint32_t events);
void surplus_engine_stop(surplus_engine *engine);

uint16_t surplus_engine_port(const surplus_engine *engine);

/** Requests that it has read so far. */
uint32_t surplus_engine_requests(surplus_engine *engine);

/** After which event a run was asked to go on (0: to begin). False: there is no such run. */
bool surplus_engine_asked_after(surplus_engine *engine, uint32_t run, uint32_t *event);

#endif
