/**
 * @file engine_attempt.h
 * One request sent to one engine: from the choice to the head of its answer. Used by online
 * requests and batch items alike; what may follow a failure is the caller's to decide.
 */
#ifndef HS_FLEET_ENGINE_ATTEMPT_H
#define HS_FLEET_ENGINE_ATTEMPT_H

#include "fleet/fleet_engines.h"
#include "platform/engine_codec.h"

/**
 * What is known of a request's run at engines. Only grows while a request's attempts go on:
 * DID_NOT -> MAY_HAVE when a byte went out and no promise came back; -> DID on an answer.
 */
typedef enum {
    HS_RUN_DID_NOT, /**< No byte went out, or every engine that got it promised so. */
    HS_RUN_MAY_HAVE,
    HS_RUN_DID,
} hs_run_state;

/** What to send where. All borrowed. */
typedef struct {
    hs_engine_query query;
    uint64_t content;          /**< See hs_request_content_hash. */
    hs_engine_request request; /**< engine_id and timeout_ms are filled in here. */
    const void *body;
    hs_wait wait;
    uint32_t silence_ms; /**< Longest wait for the head; 0: up to the deadline. */
    bool may_be_refused; /**< Do not send it where it is known not to be servable. */
    bool fresh;          /**< Do not use a kept connection: one was lost. */
    bool may_repeat;     /**< The request may run again. */
    /** Repeatable: longest wait for the head on a kept connection, unless heads there usually take
     * longer; 0: no such limit. */
    uint32_t kept_silence_ms;
} hs_attempt_order;

/** An attempt whose head was read, or that failed before. */
typedef struct {
    hs_engine_lease *lease; /**< NULL: no engine fitted. */
    hs_client_connection *connection;
    uint64_t content; /**< As ordered. */
    hs_run_state run;
    hs_step step;     /**< PROGRESS or COMPLETE: the head is there. */
    uint64_t sent_ms; /**< Monotonic time at which the request was sent. */
    uint32_t status;
    hs_engine_answer answer;
    char engine_id[64];        /**< For logs, also after the end. */
    hs_engine_reasons reasons; /**< Why that engine; likewise. */
    hs_lease_estimate
        prospect; /**< will_miss_deadline: why it was not sent there, without a lease. */
} hs_attempt;

/** Choose, connect, send, read the head. True when there is a head. */
bool hs_attempt_start(hs_fleet_engines *engines, const hs_attempt_order *order,
                      hs_attempt *attempt);

/** End the attempt: the engine is given back and the connection kept or closed. */
void hs_attempt_finish(hs_attempt *attempt, hs_attempt_end end);

/**
 * An answer's stream does not follow the event @p last_event (0: none) that the request has: its
 * next event is @p event. Logged and counted; what came before stays, and the
 * connection, on which the right answer may still be due, is not used again.
 */
void hs_attempt_note_misplaced(const hs_attempt *attempt, const char *request_id,
                               uint64_t last_event, uint64_t event);

/** How a failed start reflects on the engine. */
hs_attempt_end hs_attempt_failure(const hs_attempt *attempt);

/** Text of a run's state, for logs. */
const char *hs_run_state_name(hs_run_state run);

#endif
