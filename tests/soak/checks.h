/** @file checks.h  The checks of the soak. Each reports what it finds wrong as a violation. */
#ifndef TESTS_SOAK_CHECKS_H
#define TESTS_SOAK_CHECKS_H

#include "tests/support/crash_fleet.h"
#include "tests/support/stop_request.h"
#include "tools/surface/fleet_bench.h"

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

/** Returns whether a status guarantees that no engine ran the request. */
bool soak_is_refusal(uint32_t status);

/** Checks the answer to an online request, and records the id if the request was refused. */
void soak_check_answer(const char *id, const char *target, const bench_answer *answer);

/**
 * Checks that a result equals the one read earlier at its position, and that the text of a
 * completed item is complete and traceable to engine runs.
 */
void soak_check_result(const char *job, guint position, const json_t *result);

/** Checks a daemon's answer to a read of an accepted job. Returns how many results it lists. */
uint32_t soak_check_page(int daemon, const char *job, const bench_answer *answer);

/** Checks that a job for which no DELETE was sent has all its results. */
void soak_check_listed(int daemon, const char *job, uint32_t expected, uint32_t listed);

/**
 * Checks that the version of the configuration written last is in force. @p metrics: metrics page
 * of the daemon, or NULL.
 */
void soak_check_config(int daemon, const char *metrics);

/** Checks that a daemon exited on SIGTERM with status 0 and within its grace period. */
void soak_check_stop(int daemon, int status, uint64_t took_ms);

/** A stop of a daemon. Monotonic times. */
typedef struct {
    int daemon;
    uint64_t acquiring_ms; /**< Before the daemon's process was acquired as a target. */
    uint64_t signal_ms;    /**< The first SIGTERM was sent. */
    uint64_t exit_ms;
} soak_stop;

void soak_record_stop(const soak_stop *stop);

/** Records a request of a caller that goes on while daemons stop. @p text: the answer. */
void soak_record_stop_request(const stop_request *request, const char *text);

/**
 * Checks that no recorded stream ended in order without its last event, unless its daemon was
 * killed, and that no recorded request that a daemon read or passed on was cut by the stop of the
 * daemon, unless it was sent within 3 s and at work in the last sixth of the grace time, or its
 * deadline passed. Requests near another fault of the daemon, their engine or its link are counted.
 */
void soak_check_stop_requests(void);

/** Checks that a daemon is ready after all faults have ended. */
void soak_check_ready(int daemon, bool is_ready);

/** Checks that run-once requests ran at most once and refused requests never ran. */
void soak_check_runs(void);

/**
 * Records that no run of @p id may continue from now on, because its end was acknowledged or its
 * caller disconnected.
 */
void soak_record_end(const char *id);

/** Records that the end of a job was acknowledged at @p acknowledged_ms (monotonic). */
void soak_record_job_end(const char *job, int items, uint64_t acknowledged_ms);

/**
 * Checks that no item reaches an engine more than 3 s after the end of its job was acknowledged,
 * during all faults, unless the daemon that sent it was stopped by SIGSTOP or the link to the
 * engine delayed requests. Daemons that may have sent it are known from their logs; without logs,
 * every daemon may have. An item is also excused if all tries had ended in time by the logs.
 */
void soak_check_sends_after_ends(void);

/** Checks that only contents that crash engines are quarantined. */
void soak_check_hold(const char *id, bool is_crash_content, bool is_quarantined);

/**
 * Checks that a content is not sent to engines once daemons know that it crashes them.
 * @p quarantined_ms: wall time at which they know, or 0 if they do not. @p started_ms: wall times
 * (uint64_t) at which engines started it. Starts near an injected fault are not counted.
 */
void soak_check_sends(const char *content, uint64_t quarantined_ms, const GArray *started_ms);

/** Checks that at most half of the sound requests that share a part with fatal ones were held. */
void soak_check_sharing(void);

/** A stream over all tries of its caller. Zero-initialise. */
typedef struct {
    uint32_t events;
    const char *version;                  /**< Of the events; NULL: none has arrived. */
    char first_id[TOKEN_ENGINE_ID_BYTES]; /**< Of the try that received the first event. */
} soak_stream;

/** Software versions of the crash fleet's engines. */
extern const char *const soak_versions[CRASH_FLEET_ENGINES];

/** Checks that the events of a try follow those before, and are of the same software version. */
void soak_check_stream_version(soak_stream *stream, const char *id, const char *body);

/** Runs soak_check_sends for all contents that crashed engines. */
void soak_check_crashes(void);

/**
 * Makes the id of an online request, which names the daemon that gets it and so sends it to
 * engines. Free with g_free.
 */
char *soak_make_request_id(unsigned caller, uint32_t number, int daemon);

/** The evacuation of an engine's zone. Monotonic times. */
typedef struct {
    int engine;
    uint64_t acknowledged_ms; /**< The store acknowledged the evacuation. */
    uint64_t withdrawing_ms;  /**< The withdrawal was sent. */
    uint64_t withdrawn_ms;    /**< The store acknowledged the withdrawal. */
} soak_evacuation;

/**
 * Checks that no daemon that was in touch sent a request to the engine from the time limit until
 * the withdrawal. A request whose daemon is unknown, such as an item, counts if all were in touch.
 */
void soak_check_evacuated(const soak_evacuation *evacuation);

/** Checks that the engine gets requests again within some seconds after the withdrawal. */
void soak_check_return(const soak_evacuation *evacuation);

/**
 * Checks that requests sent to a port are served at an engine again within a time, after all faults
 * have ended.
 */
void soak_check_zone_serves(int engine, uint16_t port, uint32_t timeout_ms);

/** The loss of all daemons and the engine of a zone at once. Monotonic times. */
typedef struct {
    int engine;
    uint64_t lost_ms;
    uint64_t returned_ms; /**< The engine runs again, and the daemons start. */
} soak_loss;

/** Records how a daemon answered an online request that was sent at @p sent_ms (monotonic). */
void soak_record_online_answer(int daemon, uint64_t sent_ms, const bench_answer *answer);

/**
 * Checks that the other zones' daemons that were in touch served their requests during the loss,
 * except for its first second and single requests, and that the engine gets requests after it.
 */
void soak_check_loss(const soak_loss *loss);

/** A cold phase of an engine. Monotonic times. */
typedef struct {
    int engine;
    uint64_t from_ms;
    uint64_t until_ms;
} soak_cold_phase;

/**
 * Checks that a cold engine received no more requests in any one second than its limit with
 * overage and slack, over all daemons, whether in touch or not.
 */
void soak_check_cold_phase(const soak_cold_phase *phase);

/** Checks that no request with an allowed region reached an engine in another region. */
void soak_check_home_requests(void);

/** Runs these checks for all evacuations, losses and cold phases. */
void soak_check_operations(void);

/** Checks that no run continued after its recorded end. */
void soak_check_ends(void);

#endif
