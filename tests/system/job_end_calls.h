/** @file job_end_calls.h  Jobs that are ended while a fault lasts, for several suites. */
#ifndef TESTS_SYSTEM_JOB_END_CALLS_H
#define TESTS_SYSTEM_JOB_END_CALLS_H

#include <stdbool.h>
#include <stdint.h>

/** Time in ms after an acknowledged end from which no item of the job may start. */
#define CANCEL_MS 3000
/** Time in ms after the ends for which the fault lasts. */
#define FAULT_MS 6000
/** Time in ms for the engines to refuse each item once, so that its body has been read. */
#define REFUSALS_MS 1000
/** Time in ms for reads that the store holds to return. */
#define HELD_READS_MS 1500

/** Time in ms within which items of a few jobs are open at the engines. */
#define RUNNING_MS 5000
/** Time in ms after an acknowledged end for its running items to leave the engines. */
#define STOP_MS 500

/** Jobs "PREFIX-n" with the items "PREFIX-n-m". */
typedef struct {
    const char *prefix;
    int jobs;
    int items; /**< Of each job. */
} job_group;

/** Waits until all partitions have owners that may start items, and keep them for a while. */
bool wait_for_settled_owners(void);

/** Submits the jobs at all daemons in turn. */
void submit_jobs(const job_group *group);

/** Submits the jobs; all engines refuse their items from here on. */
void submit_refused_jobs(const job_group *group);

/** Sends the end of a job to a daemon; returns the answer's HTTP status. */
uint32_t end_job(int daemon, const char *id);

/** Whether the end of the job @p number is acknowledged by a daemon. */
bool end_job_of(const job_group *group, int number, int daemon);

/**
 * Ends the jobs at the daemons from @p first on, @p count of them in turn; an end without an
 * acknowledgement is repeated at the next one.
 */
void end_jobs(const job_group *group, int first, int count);

/** Returns how many runs of the jobs' items engines started. */
uint32_t count_runs(const job_group *group);

/** Lets engines accept items from CANCEL_MS after the ends on, and returns how many runs start. */
uint32_t count_late_runs(const job_group *group);

/** Waits until @p count runs are open at the engines; returns false after @p limit_ms. */
bool wait_for_open_runs(uint32_t count, uint64_t limit_ms);

/**
 * Moves all partitions to other owners, and waits until their @p count items run there. The owners
 * of before know the jobs, so that they store the ends themselves.
 */
bool move_open_runs(uint32_t count);

/** Makes the store answer no reads, and waits until no daemon has a read under way. */
void silence_reads(void);

/** Makes the store answer no call. */
void silence_store(void);
void heal_store(void);

#endif
