/** @file online_request_state.h  State of one online request; for src/online/online_*.c only. */
#ifndef HS_ONLINE_ONLINE_REQUEST_STATE_H
#define HS_ONLINE_ONLINE_REQUEST_STATE_H

#include "online/admission.h"
#include "online/event_stream.h"
#include "online/online_request.h"
#include "online/read_ahead.h"
#include "online/refusal_choice.h"

/** A whole answer above this is not read to its end. */
#define HS_ONLINE_ANSWER_LIMIT_BYTES (16U * 1024 * 1024)

/** Silence of an engine for less than this says nothing of it. */
#define HS_ONLINE_SILENCE_LEAST_MS 1000

/** One request from its taking to its answer's end. */
typedef struct {
    hs_online *online;
    hs_inbound *inbound;
    hs_fleet_config *config;
    const hs_fleet_route *route;
    const char *service;
    char *tenant;             /**< Whose it is; NULL: nobody's. */
    double used_slots;        /**< Engines' slots that the tenant asks for of late; 0: not known. */
    uint64_t checked_version; /**< Of the configuration by which its key was looked at last. */
    hs_caller_terms terms;
    char *request_id;
    uint64_t content; /**< See hs_request_content_hash. */
    uint64_t memory_tokens;
    uint32_t max_connections;
    uint64_t age_ms;        /**< Since the caller first asked, until it came; see caller_age.h. */
    bool is_on_trial;       /**< Its content is held back, but it may be sent once. */
    hs_held_request *held;  /**< While it is held; else NULL. */
    uint64_t held_since_ms; /**< When it began to be held; 0: it never was. */
    uint64_t held_ms;       /**< How long it was held; 0: it was not, or still is. */
    uint32_t woken;         /**< How often a place woke it. */
    uint32_t tries;         /**< How often engines were asked for a place. */
    hs_admission_choice admission; /**< The latest, */
    hs_admission_view admitted_by; /**< and what it was made from. */
    bool is_less_urgent;           /**< See hs_fleet_config_is_less_urgent. */
    hs_deadline deadline;
    uint64_t first_byte_ms; /**< Time from taking it to the first body byte; 0: none yet. */
    hs_run_state run;
    uint32_t runs; /**< Engines at which it may have run. */
    uint32_t sends;
    bool lost_connection; /**< A connection went silent: the next try takes a new one. */
    GPtrArray *excluded;  /**< of char*: engines that refused or failed. */
    hs_attempt attempt;
    hs_event_stream events;
    GByteArray *ready;       /**< Bytes for the caller not yet handed on. */
    uint64_t retry_after_ms; /**< Expected time in ms until an engine can take it; 0: not known. */
    bool stream_ended;
    hs_stream_hold hold; /**< Of a stream that may be read ahead. */
    bool counted;
} hs_online_request;

/** What to do after a failed attempt. */
typedef enum { HS_NEXT_TRY, HS_NEXT_END } hs_next_move;

/** Whether the request may run more than once. */
bool hs_online_may_repeat(const hs_online_request *request);

/** After an attempt without a usable answer. @p reason is set for HS_NEXT_END. */
hs_next_move hs_online_after_failure(hs_online_request *request, hs_attempt_end end,
                                     hs_end_reason *reason);

/**
 * Whether the caller's key still opens the route by the version now in force: what is sent after a
 * key was taken away, or given to another tenant, goes by that. Noted with the end where it does
 * not.
 */
bool hs_online_is_still_allowed(hs_online_request *request, hs_end_reason *reason);

/** Try engines until one answers with a head; false with @p reason when none will. */
bool hs_online_find_answer(hs_online_request *request, hs_end_reason *reason);

/** The request is held from now on, or no longer; @p is_placed: since an engine took it. */
void hs_online_set_held(hs_online_request *request, bool is_held, bool is_placed);

/** Whether a request that no engine took is held; logged when it is not. */
hs_refusal_choice hs_online_choose_refusal(hs_online_request *request);

/** Whether engines are asked for a place, and what follows where none has one; see admission.h. */
void hs_online_admit(hs_online_request *request);

/** The claim by which a request that waits for a place is put in order. */
hs_queue_priority hs_online_queue_priority(const hs_online_request *request);

/** Whether the request is over its tenant's share while the service is short; noted with the end.
 */
bool hs_online_is_over_share(hs_online_request *request, hs_end_reason *reason);

/** The attempt at hand was not sent since no engine can serve in time: note why, and the end. */
void hs_online_refuse_unsent(hs_online_request *request, hs_end_reason *reason);

/** The end that a verdict other than HS_REFUSAL_HOLD means. */
hs_end_reason hs_online_refusal_reason(hs_refusal_verdict verdict);

/** Fields of an engine's answer that callers get. Free with hs_http_fields_free. */
GArray *hs_online_passed_fields(const GArray *fields);

/** A first byte of a body came. */
void hs_online_note_first_byte(hs_online_request *request);

bool hs_online_is_success(uint32_t status);

/** Whether the answer at hand is a stream that is passed on event by event. */
bool hs_online_is_stream(const hs_online_request *request);

/** Pass the stream on; the request then lives until the answer's end. */
void hs_online_serve_stream(hs_online_request *request);

/**
 * Read a stream on whose caller takes no bytes, without a wait, as far as the memory for it goes.
 * Its lock is held.
 */
void hs_online_stream_read_on(hs_online_request *request);

/**
 * End a stream whose reader is slowest while memory is critical: its caller's connection is reset.
 * False where that cannot be. Its lock is held.
 */
bool hs_online_stream_drop(hs_online_request *request);

/** A stream ends: it is read ahead no more, and what it held is given back. */
void hs_online_stream_release(hs_online_request *request);

/** Note the end once, in the log. */
void hs_online_request_end(hs_online_request *request, hs_end_reason reason);

/** A GDestroyNotify for a request. */
void hs_online_request_free(gpointer data);

#endif
