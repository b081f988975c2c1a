/**
 * @file fleet.h
 * A small deployment for the review's scripts: the project's store stand-in behind a gate that can
 * hold or lose calls, and daemons started with the deploy file's command and settings template.
 * The record of what was sent, answered and run goes to record.txt.
 */
#ifndef REVIEW_LIB_FLEET_H
#define REVIEW_LIB_FLEET_H

#include "http/listener.h"
#include "standin/log_store/log_store.h"
#include "standin/token_engine/token_engine.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define FLEET_MAX_DAEMONS 6
#define FLEET_PARTITIONS 12
#define FLEET_HOST "ficu95.example"

/** Exit codes of a script. */
enum { FLEET_HELD = 0, FLEET_BROKEN = 1, FLEET_CANNOT_RUN = 2 };

/** What the gate does with a call to the store. */
typedef enum {
    GATE_PASS,         /**< The store answers. */
    GATE_LOSE,         /**< Not done and not answered. */
    GATE_DO_LATE,      /**< Done after gate_verdict.late_ms, and not answered. */
    GATE_DO_NO_ANSWER, /**< Done at once, and not answered. */
    GATE_DELAY,        /**< Answered after gate_verdict.late_ms. */
    GATE_REFUSE,       /**< 503, not done. */
} gate_action;

typedef struct {
    gate_action action;
    uint32_t late_ms;
} gate_verdict;

/** Decides about a call of daemon @p daemon. Called by several threads at once. */
typedef gate_verdict (*gate_rule)(int daemon, const hs_inbound *call, void *user_data);

/** Starts the record, the store and one gate a daemon. @p name: of the folder under review/. */
void fleet_begin(const char *name, int daemons, gate_rule rule, void *user_data);

/** Whether the disruption is to be made: false if TROUBLE=0. */
bool fleet_has_trouble(void);

log_store *fleet_store(void);

/** Writes a line with the time since fleet_begin to record.txt. */
void fleet_record(const char *format, ...) __attribute__((format(printf, 1, 2)));

/** Time since fleet_begin in ms. */
uint64_t fleet_now_ms(void);
void fleet_sleep_until(uint64_t at_ms);

/** Writes the configuration: streaming, idempotent and batch routes to service "llm". */
void fleet_configure(int version, unsigned retention_s);

/** Starts a daemon with its settings file. */
bool fleet_start_daemon(int index);

/** Sends a signal; for SIGKILL and SIGTERM waits for the end. */
void fleet_signal(int index, int number);

/** Whether the daemon's process runs; if it ended by itself, says so in the record. */
bool fleet_is_running(int index);

uint16_t fleet_front_port(int index);
bool fleet_wait_ready(int index, unsigned limit_ms);

/** Waits until all partitions have had owners for a while. */
bool fleet_wait_owners(unsigned limit_ms);

/** Returns the daemon to which the store has given a partition of jobs, or -1. */
int fleet_owner(uint32_t partition);

/** Returns when the store last answered a daemon's join of the group. */
uint64_t fleet_joined_ms(int index);

/** Returns a metric of a daemon, or -1. */
int fleet_metric(int index, const char *name);

/** Returns an id that begins with @p prefix and belongs to the partition. Free with g_free. */
char *fleet_id_in_partition(const char *prefix, uint32_t partition);

/** An answer; clear with fleet_answer_clear. */
typedef struct {
    uint32_t status; /**< 0: none. */
    bool whole;
    bool is_closed; /**< The daemon closed the connection before the answer was whole. */
    uint32_t retry_after_ms;
    char *body;
    gsize length;
} fleet_answer;

/** Sends a request on a new connection. @p body may be NULL. @p timeout_ms: 0 sends none. */
fleet_answer fleet_call(int index, const char *method, const char *target, const char *id,
                        const char *body, unsigned timeout_ms, unsigned wait_ms,
                        unsigned give_up_ms);
/** As fleet_call, with further header lines, each ended by CR LF. */
fleet_answer fleet_call_with(int index, const char *method, const char *target, const char *id,
                             const char *body, unsigned timeout_ms, unsigned wait_ms,
                             unsigned give_up_ms, const char *lines);
void fleet_answer_clear(fleet_answer *answer);

/** Submits a job of @p items items; each body is "body of ID-N". Returns the status. */
uint32_t fleet_submit(int index, const char *job, int items, unsigned timeout_ms);

/** Ends all processes and removes the temporary folder; returns @p code. */
int fleet_end(int code);

#endif
