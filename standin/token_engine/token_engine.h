/**
 * @file token_engine.h
 * Stand-in for a model engine of the fleet surface: streams of numbered events, resumption after
 * an event, refusals, and switches for its faults. It counts what it ran, by request id, and
 * remembers each run: every event names the run that made it, so that a text can be traced to the
 * runs that it was put together from.
 */
#ifndef STANDIN_TOKEN_ENGINE_TOKEN_ENGINE_H
#define STANDIN_TOKEN_ENGINE_TOKEN_ENGINE_H

#include "standin/log_store/log_store.h"

#include <stdbool.h>
#include <stdint.h>

typedef struct token_engine token_engine;

/** What the engine does with requests. */
typedef enum {
    TOKEN_ENGINE_SOUND,
    TOKEN_ENGINE_FULL,       /**< 503, not executed. */
    TOKEN_ENGINE_FAILS,      /**< 500. */
    TOKEN_ENGINE_IMPOSSIBLE, /**< 422. */
    TOKEN_ENGINE_SLOW,       /**< Waits before it answers at all. */
    TOKEN_ENGINE_BREAKS,     /**< Ends the connection after some events. */
    TOKEN_ENGINE_ENDLESS,    /**< Waits before a stream that does not end by itself. */
    TOKEN_ENGINE_SILENT,     /**< Takes requests and answers none. */
    TOKEN_ENGINE_OVERLOOKS,  /**< Begins each stream anew, whatever it was asked. */
} token_engine_mode;

/** The streams that an engine makes. */
typedef struct {
    uint32_t events;   /**< Of each stream. */
    uint32_t event_ms; /**< Between events. */
} token_engine_pace;

/** What one engine does. */
typedef struct {
    const char *id;
    const char *service;
    token_engine_pace pace;
    const char *const *long_paths; /**< Prefixes, the last NULL; NULL: all have the one pace. */
    token_engine_pace long_pace;   /**< Of streams for paths that begin so. */
    uint32_t break_after;          /**< TOKEN_ENGINE_BREAKS: events before the end. */
    bool tells_start;              /**< Its entry tells when it started. */
    uint32_t slots;                /**< That its entry tells; 0: the default of 8. */
    const char *fatal;             /**< Begun with a body that begins so, it asks for its own crash
                                        after fatal_after_ms; NULL: no such body. */
    uint32_t fatal_after_ms;
} token_engine_settings;

token_engine *token_engine_start(const token_engine_settings *settings);
void token_engine_stop(token_engine *engine);

void token_engine_set_mode(token_engine *engine, token_engine_mode mode);

/**
 * A crash, by a thread other than its own: all its connections end at once, and new ones are
 * refused. Its entry stays in the store. It stays down until it is restarted under another id.
 */
void token_engine_crash(token_engine *engine);
void token_engine_restart(token_engine *engine, const char *id);

/** It ran what it cannot run, and is to be crashed. */
bool token_engine_wants_crash(token_engine *engine);

/** Port of its listener, and the port that its entry tells, for an engine behind a proxy. */
uint16_t token_engine_port(const token_engine *engine);
void token_engine_show_port(token_engine *engine, uint16_t port);

/** Write the engine's entry into the store. */
void token_engine_announce(token_engine *engine, log_store *store, bool draining);

/** Longest id of a request that is remembered with its run, with the closing NUL. */
#define TOKEN_ENGINE_ID_BYTES 64

/** One run of a request, as its engine was asked for it. */
typedef struct {
    char request_id[TOKEN_ENGINE_ID_BYTES];
    bool resumes;         /**< It was asked to go on, */
    uint64_t asked_after; /**< after this event. */
    uint64_t begun_ms;    /**< Wall time at which it was asked for, */
    uint64_t ended_ms;    /**< and at which its answer ended; 0: it has not. */
    uint64_t late_ms;     /**< Most by which the engine itself was late with an event of it. */
} token_engine_run;

/**
 * Data of an event: its number, the engine and the run that made it. Free with g_free.
 * token_engine_read_event takes it apart again.
 */
char *token_engine_write_event(uint32_t event, const char *engine_id, uint32_t run);

/** What the data of an event says; @p engine_id: TOKEN_ENGINE_ID_BYTES. False: it is none. */
bool token_engine_read_event(const char *data, uint32_t *event, char *engine_id, uint32_t *run);

/** The run of a number, counted from 0, as events name it. False: this engine made no such run. */
bool token_engine_find_run(token_engine *engine, uint32_t number, token_engine_run *run);

/** One request as it came to an engine, run or refused. Times in ms of the monotonic clock. */
typedef struct {
    char request_id[TOKEN_ENGINE_ID_BYTES];
    char
        tenant[TOKEN_ENGINE_ID_BYTES]; /**< Whose it was told to be; several with commas between. */
    bool has_key;                      /**< It carried a caller's key. */
    uint64_t begun_ms;
    uint64_t ended_ms; /**< 0: the engine still works on it. */
} token_engine_call;

/** The call of a number, counted from 0 in the order in which they came. False: there is none. */
bool token_engine_find_call(token_engine *engine, uint32_t number, token_engine_call *call);

const char *token_engine_id(const token_engine *engine);

/** How often a request was begun. */
uint32_t token_engine_runs(token_engine *engine, const char *request_id);

/** How often it was begun after an event it had before. */
uint32_t token_engine_resumes(token_engine *engine, const char *request_id);

/** Requests begun in all. */
uint32_t token_engine_total(token_engine *engine);

/** Requests now being answered. */
uint32_t token_engine_open(token_engine *engine);

#endif
