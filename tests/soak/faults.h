/**
 * @file faults.h
 * Faults of the soak. Several threads inject faults at once. A fault acquires its target, so that
 * only one fault affects a target at a time and ends only itself. Functions whose target is in use
 * return without a fault.
 */
#ifndef TESTS_SOAK_FAULTS_H
#define TESTS_SOAK_FAULTS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef enum {
    FAULT_PROCESS,           /**< Process of a daemon. */
    FAULT_PAUSE,             /**< Held with FAULT_PROCESS while the daemon is stopped by SIGSTOP. */
    FAULT_STORE_LINK,        /**< Link of a daemon to the store. */
    FAULT_ENGINE_LINK,       /**< Links of all daemons to an engine. */
    FAULT_ENGINE_LINK_DELAY, /**< Held with FAULT_ENGINE_LINK while its proxy delays requests. */
    FAULT_ENGINE,
    FAULT_STORE,
    FAULT_STORE_DELAY,
    FAULT_CONFIG,
} fault_target;

/** State of one thread that injects faults. */
typedef struct {
    GRand *rng;
    uint64_t until_ms; /**< Monotonic time at which all faults of the series must have ended. */
} fault_injector;

/** Acquires a target for a fault. Returns false if another fault holds it. */
bool soak_acquire_target(fault_target target, int index);
/**
 * Returns whether no fault held a target between two monotonic times in ms. The times of a fault
 * are those at which it acquired and released the target.
 */
bool soak_was_target_free(fault_target target, int index, uint64_t from_ms, uint64_t to_ms);
/** Releases a target. */
void soak_release_target(fault_target target, int index);

/** Sleeps for a random time between two bounds in ms, but not beyond the end of the series. */
void soak_wait_random(const fault_injector *injector, int min_ms, int max_ms);

/** Sleeps until the end of the series. */
void soak_wait_for_end(const fault_injector *injector);

int soak_pick_daemon(const fault_injector *injector);

/** Mark the start and the end of a fault; see soak_was_fault_free. */
void soak_begin_fault(void);
void soak_end_fault(void);

/** Starts a stopped daemon, as a random one of the two builds if there is an earlier build. */
void soak_start_daemon(const fault_injector *injector, int daemon);

/**
 * The series of soak_run_faults, with store faults of some seconds that begin right after an end of
 * a job was acknowledged, and other faults at the same time.
 */
void soak_run_end_series(const fault_injector *injector);

/** Kill a daemon, or several in turn, and start them again. */
void soak_kill_daemon(const fault_injector *injector, int daemon);
void soak_kill_daemons(const fault_injector *injector);
/** Ends a daemon with SIGTERM, checks the exit and starts the daemon again. */
void soak_stop_daemon(const fault_injector *injector);
/**
 * The same with one to three daemons, at once or in turn, of which some get a second SIGTERM or a
 * SIGHUP during the stop.
 */
void soak_stop_daemons(const fault_injector *injector);
/** A series of soak_run_faults in which daemons are stopped once at a random time. */
void soak_run_stop_series(const fault_injector *injector);
/** Suspends a daemon with SIGSTOP for some time. */
void soak_pause_daemon(const fault_injector *injector);

void soak_degrade_store_link(const fault_injector *injector);
/** Rebalances partitions while a daemon is cut off from the store. */
void soak_rebalance_while_cut(const fault_injector *injector);
/** Kills daemons in turn, after two of them have run the items of the same partitions. */
void soak_kill_owners_in_turn(const fault_injector *injector);
void soak_degrade_engine_link(const fault_injector *injector);
/** Silences the open connections of a link for good; new connections work. */
void soak_silence_open_links(const fault_injector *injector);
/** The same for a link to the store only. */
void soak_silence_open_store_links(const fault_injector *injector);

/** A fault of the links to the store of some daemons. */
typedef enum {
    STORE_LINK_SILENT,
    STORE_LINK_LOSES_ANSWERS,
    STORE_LINK_REFUSES,
    STORE_LINK_LATE, /**< Answers arrive after a random delay of up to 1.5 s. */
    STORE_LINK_KINDS,
} store_link_fault;

/** Degrades the links to the store of about half of the daemons, at least one if it is free. */
void soak_degrade_store_links(const fault_injector *injector, store_link_fault kind);
void soak_reset_engine_links(const fault_injector *injector);

/**
 * Cuts the links to the home region's engine for some seconds, and those to the store of the home
 * region's daemons or of all others.
 */
void soak_cut_home_region(GRand *rng);

void soak_fail_store_calls(const fault_injector *injector);
void soak_delay_store(const fault_injector *injector);
/** Makes the store drop the records of a topic, or rebalance the partitions. */
void soak_trigger_store_change(const fault_injector *injector);
void soak_fail_engine(const fault_injector *injector);
/** Resets engine links while an engine delays the start of its answers. */
void soak_reset_slow_engine_links(const fault_injector *injector);
void soak_drain_engine(const fault_injector *injector);

/** Operators' actions. */
void soak_change_config(const fault_injector *injector);
void soak_reload_daemon(const fault_injector *injector);

#endif
