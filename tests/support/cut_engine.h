/**
 * @file cut_engine.h
 * A stand-in engine that ends its answers at a given byte, as a raw TCP server. It closes each
 * connection after one request.
 */
#ifndef TESTS_SUPPORT_CUT_ENGINE_H
#define TESTS_SUPPORT_CUT_ENGINE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef struct cut_engine cut_engine;

/** What the engine answers to each request, also to those for its report. */
typedef struct {
    const char *answer; /**< "{id}" stands for the id of the request; borrowed. */
    size_t length;      /**< Bytes that are sent; SIZE_MAX: all. */
    bool resets;        /**< Resets the connection instead of closing it. */
} cut_engine_script;

cut_engine *cut_engine_start(void);
void cut_engine_stop(cut_engine *engine);
uint16_t cut_engine_port(const cut_engine *engine);

/** Sets the script of later answers. */
void cut_engine_set(cut_engine *engine, const cut_engine_script *script);

/** Returns how often a request with this id was read. */
uint32_t cut_engine_request_count(cut_engine *engine, const char *request_id);

#endif
