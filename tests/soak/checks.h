/** @file checks.h  The soak's checks, each of one fact; what is wrong becomes a violation. */
#ifndef TESTS_SOAK_CHECKS_H
#define TESTS_SOAK_CHECKS_H

#include "tools/surface/fleet_bench.h"

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

/** Statuses that promise that nothing ran. */
bool soak_is_promise(uint32_t status);

/** An answer to an online request; the request's id is remembered as its answer asks for it. */
void soak_check_answer(const char *id, const char *target, const bench_answer *answer);

/** A result keeps its place, and a completed one has a text that is rightly made. */
void soak_check_result(const char *job, guint position, const json_t *result);

/** What a daemon answers to a read of an accepted job; how many results it lists. */
uint32_t soak_check_page(int daemon, const char *job, const bench_answer *answer);

/** A job that was not ended has all its results. */
void soak_check_listed(int daemon, const char *job, uint32_t wanted, uint32_t listed);

/** The configuration that was written last is in force. @p metrics: a daemon's, may be NULL. */
void soak_check_config(int daemon, const char *metrics);

/** A daemon ends in order on SIGTERM, and within its time. */
void soak_check_stop(int daemon, int status, uint64_t took_ms);

/** A daemon without any fault is ready. */
void soak_check_ready(int daemon, bool is_ready);

/** Requests that may run once did; what was refused never ran. */
void soak_check_runs(void);

/** Remember that nothing of @p id may run from now on: acknowledged, or its caller has left. */
void soak_note_end(const char *id);

/** Only what crashes engines may be held back. */
void soak_check_hold(const char *id, bool is_fatal, bool is_held);

/**
 * What crashes engines is sent to none once it is known, at @p known_ms (wall time; 0: it is not).
 * @p begun_ms: when engines began it, of uint64_t. Judged only where no fault was near.
 */
void soak_check_sends(const char *content, uint64_t known_ms, const GArray *begun_ms);

/** The same for all contents that crashed engines. */
void soak_check_crashes(void);

/** Nothing ran on after its end. */
void soak_check_ends(void);

#endif
