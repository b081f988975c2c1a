/**
 * @file engine_attempt.h
 * One attempt of an online request or a batch item at one engine: chooses the engine, sends the
 * request and reads the response head. The caller decides what follows a failure.
 *
 * An attempt belongs to one thread at a time. A started attempt, also one that failed, must be
 * finished with hs_attempt_finish.
 */
#ifndef HS_FLEET_ENGINE_ATTEMPT_H
#define HS_FLEET_ENGINE_ATTEMPT_H

#include "fleet/fleet_engines.h"
#include "platform/engine_codec.h"

/**
 * Whether a request was executed by an engine, as far as this daemon knows. Over the attempts of a
 * request the state only increases.
 */
typedef enum {
    /** No byte was sent, or the engine stated in its response that it did not execute the request.
     */
    HS_RUN_NOT_EXECUTED,
    HS_RUN_MAYBE_EXECUTED, /**< Bytes were sent, but no response head to the request was received.
                            */
    HS_RUN_EXECUTED,
} hs_run_state;

/** Parameters of an attempt. All pointers are borrowed. */
typedef struct {
    hs_engine_query query;
    hs_request_contents contents;
    hs_engine_request request; /**< engine_id and timeout_ms are set by hs_attempt_start. */
    const void *body;
    hs_wait wait;
    hs_deadline send_until_ms; /**< The request is not sent later; 0: at any time. */
    /** Asked right before the request is sent, whether it still may be; NULL: it may. */
    bool (*may_send)(const void *user_data);
    const void *user_data;    /**< Of may_send. */
    uint32_t head_timeout_ms; /**< Longest wait for the response head; 0: up to the deadline. */
    bool refuse_if_late; /**< Do not send the request if it is expected to be served too late. */
    bool needs_new_connection; /**< Open a new connection, because an idle one was lost before. */
    bool may_repeat;           /**< The request may be executed again after this attempt. */
    bool runs_once;            /**< The request must not run twice, whoever sends it again. */
    bool may_continue; /**< Another run may continue the output, at the same software only. */
    /**
     * Longest wait for the response head on a reused connection, if may_repeat is set; raised to
     * hs_engine_lease_head_limit_ms. If either is 0, head_timeout_ms applies.
     */
    uint32_t reused_head_timeout_ms;
} hs_attempt_parameters;

/** A started attempt. */
typedef struct {
    hs_engine_lease *lease; /**< NULL: there was no engine to send the request to. */
    hs_client_connection *connection;
    hs_request_contents contents; /**< Copied from the parameters. */
    hs_run_state run;
    hs_step step;     /**< PROGRESS or COMPLETE: the response head was read. */
    uint64_t sent_ms; /**< Monotonic time at which the request was sent; 0: no connection. */
    uint32_t status;
    hs_engine_answer answer;
    hs_attempt_end
        refusal;        /**< With answer.not_executed: REFUSED, WRONG_ENGINE or OTHER_WEIGHTS. */
    char engine_id[64]; /**< For logs; stays valid after hs_attempt_finish. */
    hs_engine_reasons reasons; /**< Why the engine was chosen; stays valid likewise. */
    /** The engine may have other software than its entry says: its output can't be continued. */
    bool is_software_unknown;
    hs_lease_estimate
        lease_estimate; /**< With refuse_if_late: the estimate that decided on sending. */
} hs_attempt;

/**
 * Chooses an engine, connects, sends the request and reads the response head. Returns true if a
 * head was read; otherwise @p attempt shows how far the attempt got.
 */
bool hs_attempt_start(hs_fleet_engines *engines, const hs_attempt_parameters *parameters,
                      hs_attempt *attempt);

/** Discards the body of a refusal; if that is long or slow, the connection is not reused. */
void hs_attempt_discard_refusal(hs_attempt *attempt, const hs_wait *wait);

/** Releases the lease; a reusable connection becomes idle, any other is closed. */
void hs_attempt_finish(hs_attempt *attempt, hs_attempt_end end);

/**
 * Logs and counts a response stream that resumes with the event @p event, which does not follow
 * @p last_event (0: none), the last event received for the request. Events received before are
 * kept. The connection is not reused, since the right response may still arrive on it.
 */
void hs_attempt_note_resume_mismatch(const hs_attempt *attempt, const char *request_id,
                                     uint64_t last_event, uint64_t event);

/**
 * Logs and counts an answer that was rejected for @p reason ("encoding", "length", ...), a static
 * string, after the event @p last_event (0: none). The connection is not reused.
 */
void hs_attempt_note_invalid_answer(const hs_attempt *attempt, const char *request_id,
                                    uint64_t last_event, const char *reason);

/** Returns the end with which an attempt that failed to start counts for the engine's health. */
hs_attempt_end hs_attempt_classify_failure(const hs_attempt *attempt);

/** Returns the name of a run state, for logs. */
const char *hs_run_state_name(hs_run_state run);

#endif
