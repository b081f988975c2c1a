/**
 * @file soak.h
 * The soak's parts: callers that remember what they saw, faults from outside, and the check of the
 * promises. Stand-ins run in this process, daemons are real programs.
 */
#ifndef TESTS_SOAK_SOAK_H
#define TESTS_SOAK_SOAK_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** What callers saw; shared by all of them. */
typedef struct {
    GMutex lock;
    GHashTable *once;      /**< Ids of requests that may run once, as a set. */
    GHashTable *refused;   /**< Ids of requests and items that were refused, as a set. */
    GHashTable *jobs;      /**< Accepted jobs: id -> count of items. */
    GHashTable *ended;     /**< Jobs whose end was asked for, as a set; maybe it was stored. */
    GHashTable *results;   /**< id of a job -> GPtrArray of char*: results as first read. */
    GHashTable *fatal;     /**< Contents that crash engines, as a set. */
    GPtrArray *violations; /**< of char* */
    uint32_t sent, served, refusals, cut, kept, jobs_sent, reads;
    uint32_t texts;         /**< Results that were traced to their runs. */
    uint32_t text_joints;   /**< Places in them at which another run goes on, */
    uint32_t stream_joints; /**< and in streams. */
    uint32_t ends;          /**< Ends that were acknowledged, and callers that left, */
    uint32_t ends_judged;   /**< and those of them that no fault was near to. */
    uint32_t late_runs; /**< Runs that went on too long after an end that a fault was near to. */
    uint32_t fatal_sent, fatal_held;     /**< Requests that crash engines. */
    uint32_t beside_sent, beside_served; /**< Others at the same engines. */
    uint32_t crashes;
    uint64_t began_ms; /**< Monotonic. */
    gint faults;
    int config_version; /**< The last that was written. */
    bool is_quiet;      /**< Say nothing: a violation is planted. */
    gint stopping;
} soak_record;

extern soak_record record;

/** Begin an empty record, and free what one holds. */
void soak_open_record(void);
void soak_close_record(void);

/** Note a broken promise. */
void soak_violation(const char *format, ...) G_GNUC_PRINTF(1, 2);

/** Print one line with the wall time before it, as the daemons' logs have it. */
void soak_say(const char *format, ...) G_GNUC_PRINTF(1, 2);

/** Add to a set of the record. */
void soak_remember(GHashTable *set, const char *id);

/** Callers' duties; @p data: a seed as a pointer's number. They end when record.stopping is set. */
gpointer soak_run_online(gpointer data);
gpointer soak_run_jobs(gpointer data);
gpointer soak_run_leavers(gpointer data);
gpointer soak_run_crashers(gpointer data);

/** Engines that crash, for callers whose requests do that; after bench_prepare. */
void soak_start_crashes(unsigned seed);
void soak_stop_crashes(void);

/** Read all results of a job at a daemon and compare with what was read before; how many. */
uint32_t soak_read_job(int daemon, const char *job);

/** Proxies before the store, one for each daemon, and before the engines; after bench_prepare. */
void soak_start_proxies(void);
void soak_stop_proxies(void);

/**
 * Series of faults with calm times between them until @p until_ms (monotonic); @p chance decides.
 * For several threads.
 */
void soak_run_faults(GRand *chance, uint64_t until_ms);

/** Whether no fault lasted at any time between two wall times in ms. */
bool soak_was_calm(uint64_t from_ms, uint64_t to_ms);

/** Once all faults have ended: the promises about what is there in the end. */
void soak_check_end(void);

/** Plant a fault for each check; each must be found, and none without it. 0, or -1. */
int soak_test_self(void);

#endif
