/**
 * @file matrix.h
 * The fault matrix: injects every fault at every step of an operation, on real processes.
 *
 * A cell suspends one daemon (the victim) at a fault point of its code, injects a fault, resumes
 * the daemon, restores the fleet and checks the outcome from outside the daemons: engine records,
 * answers to callers, job results. All waits are for conditions with a timeout.
 */
#ifndef TESTS_MATRIX_MATRIX_H
#define TESTS_MATRIX_MATRIX_H

#include "tools/fleet/client.h"
#include "tools/fleet/fleet.h"

#define VICTIM 1
#define HELPER 0
#define WITNESS 2
#define MATRIX_TENANT "matrix"
#define MATRIX_PARTITIONS 16
#define JOB_ITEMS 48
#define JOB_TOKENS 24
#define RUN_ONCE_EVERY 4

typedef enum {
    FAULT_KILL,
    FAULT_FREEZE,
    FAULT_CUT,
    FAULT_PLATFORM_DOWN,
    FAULT_PLATFORM_SLOW,
    FAULT_ANSWER_LOST,
    FAULT_REPEATED,
    FAULT_ENGINE_KILLED,
    FAULT_ENGINE_LEAVING,
    FAULT_STALE_LIST,
    FAULT_RACING_OPERATORS,
    FAULT_PLANNED_STOP,
    FAULT_KINDS
} fault_kind;

/** Operation with which a cell brings the victim to the step. */
typedef enum {
    OPERATION_JOB,     /**< A job runs, and the victim runs some of its items. */
    OPERATION_SUBMIT,  /**< A job is submitted through the victim. */
    OPERATION_CANCEL,  /**< A running job is cancelled through the victim. */
    OPERATION_READ,    /**< Results are read through the victim. */
    OPERATION_CLAIM,   /**< The helper stops, and the victim claims some of its partitions. */
    OPERATION_RELEASE, /**< The victim stops on SIGTERM. */
    OPERATION_PUBLISH, /**< A configuration change is sent to the victim. */
    OPERATION_ONLINE,  /**< An online run-once request is sent to the victim. */
} operation_kind;

typedef struct {
    const char *name;
    const char *point; /**< Fault point in the daemon's code. */
    operation_kind operation;
    bool victim_owns; /**< The job's partition must be the victim's. */
} matrix_step;

/** State of a running cell. */
typedef struct {
    fleet *fleet;
    const matrix_step *step;
    char name[32];        /**< Prefix of every prompt of the cell. */
    char *lines;          /**< Input lines (JSONL) of the job. */
    int next_nonce;       /**< Makes the lines of each job differ. */
    char *job_id;         /**< NULL until a submission was accepted. */
    GThread *thread;      /**< Thread that calls the victim, or NULL. */
    long call_status;     /**< Status of that call; 0: no complete answer. */
    client_stream stream; /**< Of OPERATION_ONLINE. */
    bool planned_stop_failed;
    json_t *killed_engine_records; /**< Owned by main. */
    int race_winners;              /**< Of FAULT_RACING_OPERATORS. */
    int race_losers;
    char reason[128]; /**< Reason of the failure. */
} matrix_cell;

extern const char *const fault_names[FAULT_KINDS];

/** Returns why a fault does not apply to a step, or NULL if it applies. */
const char *get_inapplicable_reason(const matrix_step *step, fault_kind fault);

/** Removes all faults and starts all processes. Returns false if one does not become ready. */
bool restore_fleet(fleet *fleet);

/** Establishes the preconditions of the operation. Returns false if that failed. */
bool prepare_operation(matrix_cell *cell);

/** Starts the operation, after arm_victim. Returns false if that failed. */
bool start_operation(matrix_cell *cell);

/** Waits for the call to the victim to return, if there is one. */
void join_operation(matrix_cell *cell);

/** Repeats the call through another daemon, as a client does, if it had no answer of 200. */
bool repeat_operation(matrix_cell *cell);

/** Injects a fault while the victim is suspended, then resumes the victim. */
void inject_fault(matrix_cell *cell, fault_kind fault);

/** Checks the guarantees after the cell. Returns false and sets @c reason if one is violated. */
bool check_cell(matrix_cell *cell);

/** Makes the victim suspend itself at fault point @p point. */
bool arm_victim(fleet *fleet, const char *point);
/** Returns whether the victim is suspended. @p fleet is a fleet *. */
bool is_victim_stopped(void *fleet);

/** Polls until @p condition returns true. Returns false on timeout. */
bool wait_for_condition(bool (*condition)(void *user_data), void *user_data, unsigned timeout_ms);

/** Returns a number from /control/faults of the platform. */
json_int_t get_platform_counter(const fleet *fleet, const char *name);

#endif
