/**
 * @file token_engine.h
 * Stand-in for a model engine of the fleet surface, with streams of numbered events, resumption
 * after an event, refusals and injected faults. The engine records each call and each run. Each
 * event names the engine and the run that produced it, so that a test can trace a response to runs.
 *
 * Counts, queries of runs and calls, and changes of the mode are thread-safe. The other functions
 * take no lock.
 */
#ifndef STANDIN_TOKEN_ENGINE_TOKEN_ENGINE_H
#define STANDIN_TOKEN_ENGINE_TOKEN_ENGINE_H

#include "standin/log_store/log_store.h"

#include <stdbool.h>
#include <stdint.h>

typedef struct token_engine token_engine;

/** How the engine handles requests. */
typedef enum {
    TOKEN_ENGINE_HEALTHY,
    TOKEN_ENGINE_FULL,           /**< Refuses with status 503, not executed. */
    TOKEN_ENGINE_FAILS,          /**< Fails with status 500. */
    TOKEN_ENGINE_UNPROCESSABLE,  /**< Fails with status 422. */
    TOKEN_ENGINE_SLOW,           /**< Delays responses. */
    TOKEN_ENGINE_BREAKS_STREAMS, /**< Cuts streams within an event, after break_after events. */
    TOKEN_ENGINE_ENDLESS,        /**< Delays streams, which then never end. */
    TOKEN_ENGINE_UNRESPONSIVE,   /**< Accepts requests and sends no response. */
    TOKEN_ENGINE_IGNORES_RESUME, /**< Starts each stream at the first event. */
    /** Sends a byte that is no UTF-8 in the event after break_after events; the rest is well. */
    TOKEN_ENGINE_SPOILS_EVENTS,
} token_engine_mode;

/** Length and speed of streams. */
typedef struct {
    uint32_t events;   /**< Per stream. */
    uint32_t event_ms; /**< Interval between events. */
} token_engine_pace;

/** Length and speed of the streams of some paths. */
typedef struct {
    const char *prefix; /**< Of the path. */
    token_engine_pace pace;
} token_engine_path_pace;

/** Settings of an engine. The engine copies @c id and @c service; other pointers must outlive it.
 */
typedef struct {
    const char *id;
    const char *service;
    token_engine_pace pace;
    const token_engine_path_pace *path_paces; /**< Instead of @c pace, by path; the last prefix is
                                                   NULL. NULL: none. */
    uint32_t break_after;   /**< Events before a cut or a spoiled event; see the modes. */
    bool announces_start;   /**< The entry contains the start time. */
    const char *zone;       /**< Zone in the entry; NULL: "zone-a". */
    uint32_t slots;         /**< Slots in the entry; 0: the default of 8. */
    const char *fatal;      /**< Prefix of bodies that request a crash of the engine after
                                 fatal_after_ms; NULL: none. */
    const char *fatal_part; /**< Prefix of ids of prompt parts that request a crash in the same way,
                                 each unless it is the last part; NULL: none. */
    uint32_t fatal_after_ms;
    const char *version; /**< Software version in the entry; NULL: "v1". */
    const char *weights; /**< Requests that name other weights get 421; NULL: none do. */
    bool states_id;      /**< Answers of 421 contain the engine's id. */
    uint32_t warmup_ms;  /**< Cold phase after each restart, which the entry and all answers report;
                              0: neither. */
} token_engine_settings;

/** Starts an engine on a leased port. Free with token_engine_stop. */
token_engine *token_engine_start(const token_engine_settings *settings);
void token_engine_stop(token_engine *engine);

void token_engine_set_mode(token_engine *engine, token_engine_mode mode);

/**
 * Simulates a crash: closes all connections and refuses new ones until token_engine_restart. The
 * engine's entry stays in the store. Must not be called from a thread that serves requests.
 */
void token_engine_crash(token_engine *engine);

/** Starts a crashed engine again under the id @p id; it is cold if the settings say so. */
void token_engine_restart(token_engine *engine, const char *id);

/** Returns true if a fatal request has run and the engine is to be crashed. */
bool token_engine_is_crash_requested(token_engine *engine);

/** Returns the port of the listener. */
uint16_t token_engine_port(const token_engine *engine);

/** Sets the software version of later entries and runs; @p version must outlive the engine. */
void token_engine_set_version(token_engine *engine, const char *version);

/** Sets the port of the entry, for an engine behind a proxy. */
void token_engine_set_announced_port(token_engine *engine, uint16_t port);

/** Writes the engine's entry to the store. */
void token_engine_announce(token_engine *engine, log_store *store, bool draining);

/** Size of a recorded id, with the NUL; longer ids are truncated. */
#define TOKEN_ENGINE_ID_BYTES 64

/** A run of a request. Wall times. */
typedef struct {
    char request_id[TOKEN_ENGINE_ID_BYTES];
    const char *version;  /**< Software that runs it. */
    bool resumes;         /**< The request asked to resume a stream. */
    uint64_t asked_after; /**< Event to resume after; 0 unless @c resumes. */
    uint64_t begun_ms;    /**< Start of the run. */
    uint64_t ended_ms;    /**< End of the response; 0: still running. */
    uint64_t late_ms;     /**< Maximum delay of an event by the engine itself. */
} token_engine_run;

/**
 * Formats the data of an event: the number of the event, the engine and the run. Free with g_free.
 */
char *token_engine_format_event(uint32_t event, const char *engine_id, uint32_t run);

/**
 * Parses the data of an event. @p engine_id has a size of TOKEN_ENGINE_ID_BYTES. Returns false if
 * the data is malformed.
 */
bool token_engine_parse_event(const char *data, uint32_t *event, char *engine_id, uint32_t *run);

/** Copies the run @p number, from 0, as named in events. Returns false if there is none. */
bool token_engine_find_run(token_engine *engine, uint32_t number, token_engine_run *run);

/** A received request, run or refused. Monotonic times. */
typedef struct {
    char request_id[TOKEN_ENGINE_ID_BYTES];
    char tenant[TOKEN_ENGINE_ID_BYTES]; /**< Values of the tenant header, joined by commas. */
    bool has_key;                       /**< The request has an API key header. */
    bool is_misdirected;                /**< Refused with status 421: meant for another engine. */
    uint64_t begun_ms;
    uint64_t ended_ms; /**< 0: still in progress. */
} token_engine_call;

/** Copies the call @p number, from 0 in order of arrival. Returns false if there is none. */
bool token_engine_find_call(token_engine *engine, uint32_t number, token_engine_call *call);

/** Returns the current id. Owned by the engine and freed at the next restart. */
const char *token_engine_id(const token_engine *engine);

/** Returns the number of runs of a request. */
uint32_t token_engine_run_count(token_engine *engine, const char *request_id);

/** Returns the number of runs that resumed a stream of the request. */
uint32_t token_engine_resume_count(token_engine *engine, const char *request_id);

/** Returns the number of all runs. */
uint32_t token_engine_total_run_count(token_engine *engine);

/** Returns the number of requests in progress. */
uint32_t token_engine_open_request_count(token_engine *engine);

#endif
