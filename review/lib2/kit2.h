/**
 * @file kit2.h
 * Support for the scripts of the second review: a small engine, raw callers, and daemons that are
 * started with the deploy file's command and a settings file. The store is the project's own
 * stand-in (standin/log_store). All sockets are on 127.0.0.1.
 */
#ifndef REVIEW_KIT2_H
#define REVIEW_KIT2_H

#include "standin/log_store/log_store.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

#define KIT_HOST "a.example"
#define KIT_MAX_DAEMONS 6
/** Results of a script, which are its exit status. */
#define KIT_HELD 0
#define KIT_BROKEN 1
#define KIT_CANNOT_RUN 2

/** Whether the disruption is to happen: false if the environment has TROUBLE=0. */
bool kit_has_trouble(void);

/** Opens the record; @p path is given to the program as its first argument. */
void kit_record_open(const char *path);
/** Writes one line with the time in ms since the start. Thread-safe. */
void kit_record(const char *format, ...) G_GNUC_PRINTF(1, 2);
/** Monotonic time in ms. */
uint64_t kit_now_ms(void);
void kit_sleep_ms(uint64_t ms);

/** A request as an engine or another server received it. */
typedef struct {
    int descriptor;
    char *method;
    char *target;
    char *head;        /**< All header lines, as received. */
    char *id;          /**< Heathsail-Request-Id; "" if none. */
    char *last_event;  /**< Last-Event-Id; NULL if none. */
    char *instance;    /**< Heathsail-Target-Instance; NULL if none. */
    GByteArray *body;
    uint32_t number_on_connection; /**< From 0. */
} kit_request;

/** Answers the request on its descriptor. Returns whether the connection is to be kept. */
typedef bool (*kit_handler)(const kit_request *request, void *data);

typedef struct kit_server kit_server;
/** Starts a server with one thread a connection, on a free port. */
kit_server *kit_server_start(kit_handler handler, void *data);
uint16_t kit_server_port(const kit_server *server);
/** Returns a header's value, or NULL; free with g_free. */
char *kit_header(const char *head, const char *name);
/** Sends all bytes. Returns false if the peer is gone. */
bool kit_send(int descriptor, const char *bytes, size_t length);
bool kit_sendf(int descriptor, const char *format, ...) G_GNUC_PRINTF(2, 3);
/** Waits; returns false early if the peer has closed the connection. */
bool kit_wait_open(int descriptor, uint64_t ms);

/** limits.memory-mb of the daemons that are started next; 512 by default. */
extern int kit_memory_mb;
/**
 * Whether the bounds are those of a deployment of 60 machines: drain and config-apply 3 s, contact 4 s (the
 * default); else 2, 2 and 3 s. */
extern bool kit_is_large;
/** Number of zones, which the daemons are in by turns: 1 (the default) to 3. */
extern int kit_zones;
/** limits.link-mbps of the daemons that are started next; 1000 by default. */
extern int kit_link_mbps;

/** Daemons, with settings like those of deploy/settings.template. */
typedef struct {
    pid_t pid;
    uint16_t front, ready, directory, control, metrics;
    char *settings_path;
    char *log_path;
} kit_daemon;

/**
 * Starts daemon @p index. @p store_port: where it finds the store. @p more: further lines of the
 * section [fleet], or "".
 */
bool kit_daemon_start(kit_daemon *daemons, int index, uint16_t store_port, const char *more);
/** Waits until /ready answers 200. */
bool kit_daemon_wait_ready(const kit_daemon *daemon, uint64_t limit_ms);
/** Kills and reaps a daemon that still runs. */
void kit_daemon_kill(kit_daemon *daemon);

/** Writes an engine's entry to the store. */
void kit_announce(log_store *store, const char *id, const char *service, uint16_t port,
                  uint32_t slots, const char *version, const char *state, uint32_t sequence);

/** A caller's answer. */
typedef struct {
    bool connected;
    bool has_head;
    uint32_t status;
    char *head;
    GByteArray *body;     /**< Decoded. */
    bool is_whole;        /**< The whole body arrived. */
    bool is_closed;       /**< The daemon closed or reset the connection. */
    uint64_t took_ms;
} kit_answer;

/** Opens a connection, or returns -1. */
int kit_connect(uint16_t port);
/** Sends one request on an open connection and reads its answer, for @p limit_ms at most. */
kit_answer kit_exchange(int descriptor, const char *method, const char *target, const char *id,
                        const char *more_fields, const char *body, size_t body_length,
                        uint64_t limit_ms);
/** The same on a new connection, which is closed then. */
kit_answer kit_call(uint16_t port, const char *method, const char *target, const char *id,
                    const char *more_fields, const char *body, size_t body_length,
                    uint64_t limit_ms);
void kit_answer_clear(kit_answer *answer);

/** A temporary folder of this run. */
const char *kit_folder(void);
/** Ends all daemons and removes the temporary folder. */
void kit_clean_up(kit_daemon *daemons, int count);

#endif
