/**
 * @file matrix.h
 * The fault matrix: every fault at every step, over real processes.
 *
 * A cell stops one daemon (the victim) at a named point of its code, strikes, lets it go on, heals
 * the fleet and asks an oracle that stands outside the daemons: what the engines say they ran,
 * what callers were answered, what the results hold. Waiting is on conditions only.
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

/** What the cell does so that the victim comes to the step. */
typedef enum {
    OPERATION_JOB,     /**< A job runs; the victim takes part. */
    OPERATION_SUBMIT,  /**< A job is submitted through the victim. */
    OPERATION_CANCEL,  /**< A running job is cancelled through the victim. */
    OPERATION_READ,    /**< Results are read through the victim. */
    OPERATION_CLAIM,   /**< The helper stops, so that the victim claims its partitions. */
    OPERATION_RELEASE, /**< The victim is told to stop. */
    OPERATION_PUBLISH, /**< A configuration change is sent to the victim. */
    OPERATION_ONLINE,  /**< An online run-once request is sent to the victim. */
} operation_kind;

typedef struct {
    const char *name;
    const char *point; /**< Fault point in the daemon's code. */
    operation_kind operation;
    bool victim_owns; /**< The job's partition must be the victim's. */
} matrix_step;

/** One cell as it runs. */
typedef struct {
    fleet *fleet;
    const matrix_step *step;
    char name[32];        /**< Begins every prompt of the cell. */
    char *lines;          /**< The job's JSONL. */
    int next_nonce;       /**< Part of the lines' text, so that each job is another one. */
    char *job_id;         /**< NULL until known. */
    GThread *thread;      /**< Of the call to the victim, or NULL. */
    long call_status;     /**< Answer of that call; 0: none. */
    client_stream stream; /**< Of OPERATION_ONLINE. */
    bool planned_stop_failed;
    json_t *killed_engine_records; /**< Records of engines that were killed. Borrowed from main. */
    int race_winners;     /**< Of FAULT_RACING_OPERATORS. */
    int race_losers;
    char reason[128]; /**< Why the cell failed. */
} matrix_cell;

extern const char *const fault_names[FAULT_KINDS];

/** Why this fault makes no sense at this step; NULL when it does. */
const char *get_inapplicable_reason(const matrix_step *step, fault_kind fault);

/** Bring all processes up and switch all faults off. */
bool heal_fleet(fleet *fleet);

/** Begin the operation; the victim is armed already. False when it could not begin. */
bool prepare_operation(matrix_cell *cell);
bool start_operation(matrix_cell *cell);

/** Wait for the call to the victim, if any. */
void join_operation(matrix_cell *cell);

/** What the client does when it had no good answer: the same call through another daemon. */
bool repeat_operation(matrix_cell *cell);

/** Strike while the victim stands still, and let it go on. */
void inject_fault(matrix_cell *cell, fault_kind fault);

/** True when the promises hold; otherwise @c reason is set. */
bool check_cell(matrix_cell *cell);

/** Ask the victim to stop at @p point. */
bool arm_victim(fleet *fleet, const char *point);
bool is_victim_stopped(void *fleet);

/** Poll until @p condition says true. */
bool wait_for_condition(bool (*condition)(void *user_data), void *user_data, unsigned timeout_ms);

/** A number of the platform's /control/faults. */
json_int_t get_platform_counter(const fleet *fleet, const char *name);

#endif
