/**
 * @file soak.h
 * Common declarations of the soak test: callers that record what they observe, fault injection from
 * outside the daemons, and checks of the guarantees. Stand-ins for the store and the engines run in
 * this process; the daemons are separate processes.
 */
#ifndef TESTS_SOAK_SOAK_H
#define TESTS_SOAK_SOAK_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** Setting fleet.evacuate_ms of the daemons. Daemons use half of it; the rest covers busy machines.
 */
#define SOAK_EVACUATE_MS 3000
/** Each zone is a region of its own. */
#define SOAK_ZONE_REGIONS "zone-a:region-a,zone-b:region-b,zone-c:region-c"
/** The only allowed region of the paths /home/, and the engine in it. */
#define SOAK_HOME_REGION "region-b"
#define SOAK_HOME_ENGINE 0
/** End of the ids of requests to these paths. */
#define SOAK_HOME_ID_SUFFIX "-home"
/** Members warmup-s and warmup-per-s of the engines' service. */
#define SOAK_WARMUP_S 6
#define SOAK_WARMUP_PER_S 2
/** Zones of the daemons and engines, by index; the crash fleet is in zone-a. */
extern const char *const soak_zones[];

/**
 * Observations of one run, shared by all threads. @c lock guards the members that are written while
 * callers run.
 */
typedef struct {
    GMutex lock;
    GHashTable *run_once_ids;   /**< Set of ids of requests that may run only once. */
    GHashTable *refused_ids;    /**< Set of ids of refused requests and items. */
    GHashTable *accepted_jobs;  /**< Job id -> number of items. */
    GHashTable *deleted_jobs;   /**< Set of ids of jobs for which a DELETE was sent; the store may
                                   hold the end of the job or not. */
    GHashTable *results;        /**< Job id -> GPtrArray of char*: results as first read. */
    GHashTable *crash_contents; /**< Set of request contents that crash engines. */
    GPtrArray *violations;      /**< of char* */
    uint32_t known_red;         /**< Violations that the list names. */
    const char *known_red_path; /**< The list; NULL: none. */
    uint32_t requests_sent, requests_served, requests_refused, streams_cut, connections_reused,
        jobs_sent, job_reads;
    uint32_t texts;         /**< Results that were traced to the engine runs that made them. */
    uint32_t text_joints;   /**< Positions in texts at which another run resumes. */
    uint32_t stream_joints; /**< The same in streams. */
    uint32_t end_count;     /**< Acknowledged ends of items and disconnects of callers. */
    uint32_t ends_checked;  /**< Ends that are not near an injected fault. */
    uint32_t late_runs;     /**< Runs that went on too long after an end near an injected fault. */
    uint32_t jobs_ended;    /**< Acknowledged ends of jobs. */
    uint32_t late_sends;    /**< Items that reached engines too late after the end of their job. */
    uint32_t late_sends_of_stopped; /**< Others whose daemon was stopped by SIGSTOP. */
    uint32_t late_sends_on_links;   /**< Others whose link delayed requests. */
    uint32_t late_sends_in_transit; /**< Others whose tries had all ended in time. */
    uint32_t last_send_ms;          /**< The longest time from an end to a send that counts. */
    gint end_acknowledgements;      /**< Atomic; acknowledged ends, repeated ones included. */
    gint is_collecting_jobs;        /**< Atomic; callers that end jobs hold their ends back. */
    bool has_earlier_builds;        /**< Daemons of earlier builds take part. */
    uint32_t crash_requests_sent, crash_requests_quarantined;
    uint32_t other_requests_sent, other_requests_served; /**< At the engines of the crash fleet. */
    uint32_t engine_crashes;
    uint32_t
        sharing_requests; /**< Harmless, with a part that fatal requests have, no fault near. */
    uint32_t sharing_requests_held; /**< Of these, refused as quarantined. */
    uint32_t streams_taken_up;      /**< Tries after the first event at the crash fleet. */
    uint32_t streams_continued;     /**< Of these, tries that received events. */
    uint32_t evacuations;
    uint32_t evacuations_checked; /**< Some daemon was in touch until after the time limit. */
    uint32_t returns_checked; /**< Withdrawals without a fault of the zone's engine after them. */
    uint32_t cold_starts;     /**< Restarts of engines that are cold then. */
    uint32_t cold_requests;   /**< Requests that cold engines received. */
    uint32_t most_cold_requests; /**< In any one second, at one engine. */
    uint32_t zone_losses;
    uint32_t losses_checked; /**< The other zones had no other fault for long enough. */
    uint32_t region_cuts;
    uint32_t home_requests;         /**< Sent to paths with an allowed region. */
    uint32_t home_requests_in_cuts; /**< Of these, during a cut. */
    gint is_region_cut;             /**< Atomic. */
    uint32_t stops;                 /**< SIGTERM of daemons. */
    uint32_t stop_requests;         /**< Requests of stop callers during a stop of their daemon. */
    uint32_t stop_requests_judged;  /**< Of these, without another fault near. */
    uint32_t stop_requests_unread;  /**< Judged; their connection ended before they were read. */
    uint32_t stop_cuts_excused;     /**< Judged and cut, as is allowed late in a stop. */
    uint32_t stop_cuts;             /**< Judged and cut otherwise. */
    uint32_t stop_cuts_near_faults; /**< Cut, and not judged. */
    uint64_t callers_ended_ms; /**< Monotonic time at which callers stopped sending; 0: not yet. */
    uint64_t started_ms;       /**< Monotonic time. */
    gint fault_count;
    int config_version; /**< Version that was written last. */
    bool is_quiet;      /**< Violations are not printed, because a fault is planted. */
    gint stopping;      /**< Atomic; callers return once it is 1. */
} soak_record;

extern soak_record record;

/** Makes the record empty. Call soak_record_clear before a second call. */
void soak_record_init(void);
/** Frees what the record holds. */
void soak_record_clear(void);

/** Records and prints a violated guarantee. */
void soak_report_violation(const char *format, ...) G_GNUC_PRINTF(1, 2);

/** Name of a violation: a cold engine got too many requests before its new entry was read. */
#define SOAK_UNREAD_COLD_START "soak.new_engines_get_their_limit_before_their_entry_is_read"
/** Another: a daemon that cannot reach the store exits on SIGTERM after its grace period. */
#define SOAK_SLOW_STOP_WITHOUT_STORE "soak.a_stop_without_the_store_ends_in_time"
/** Another: the engine of a lost zone gets no request although the zone is back. */
#define SOAK_UNUSED_AFTER_LOSS "soak.an_engine_gets_requests_after_its_zone_was_lost"
/** Another: the engine of a zone serves no request of its zone after all faults. */
#define SOAK_UNUSED_AFTER_FAULTS "soak.zones_serve_after_the_faults"

/**
 * As soak_report_violation, but only prints and counts a violation whose name is the first field of
 * a line of the list of known violations, KNOWN-RED.txt in the current directory.
 */
void soak_report_known_red(const char *name, const char *format, ...) G_GNUC_PRINTF(2, 3);

/** Prints one line after the wall time in seconds, in the format of the daemons' logs. */
void soak_log(const char *format, ...) G_GNUC_PRINTF(1, 2);

/** Adds a copy of @p id to a set of the record. */
void soak_add_id(GHashTable *set, const char *id);

/**
 * Thread functions of the callers. @p data is a seed from GUINT_TO_POINTER. They return once
 * record.stopping is set.
 */
gpointer soak_run_online_caller(gpointer data);
gpointer soak_run_job_caller(gpointer data);
gpointer soak_run_job_ending_caller(gpointer data);
gpointer soak_run_disconnecting_caller(gpointer data);
gpointer soak_run_crash_caller(gpointer data);
gpointer soak_run_version_caller(gpointer data);
gpointer soak_run_stop_caller(gpointer data);

/** Starts the engines that crash on certain requests. Call it after bench_prepare. */
void soak_start_crash_fleet(unsigned seed);
void soak_stop_crash_fleet(void);

/**
 * Reads all results of a job at a daemon and compares them with earlier reads. Returns how many
 * results the daemon listed.
 */
uint32_t soak_read_job(int daemon, const char *job);

/**
 * Starts a fault proxy before the store for each daemon, and one before each engine. Call it after
 * bench_prepare.
 */
void soak_start_proxies(void);
void soak_stop_proxies(void);

/**
 * Injects series of random faults with fault-free periods between them until @p until_ms
 * (monotonic). Several threads may run it at once, each with its own @p rng.
 */
void soak_run_faults(GRand *rng, uint64_t until_ms);

/** The same with faults of the store right after ends of jobs. For one thread. */
void soak_run_end_faults(GRand *rng, uint64_t until_ms);

/** The same with stops of one to three daemons in each series. For one thread. */
void soak_run_stops(GRand *rng, uint64_t until_ms);

/**
 * Until @p until_ms (monotonic), in turn: evacuates the zone of an engine for some seconds and
 * withdraws that; restarts an engine, which is cold then; lets a zone's engine and daemons fail at
 * once and return; cuts off the home region.
 */
void soak_run_operator(GRand *rng, uint64_t until_ms);

/** Frees what is recorded of operations and online answers. */
void soak_clear_operations(void);

/** Frees what is recorded of stops and requests during them. */
void soak_clear_stops(void);

/** Forgets past faults. No fault may be active. */
void soak_clear_faults(void);

/** Returns whether no fault was active at any time between two wall times in ms. */
bool soak_was_fault_free(uint64_t from_ms, uint64_t to_ms);

/** Runs the checks of the final state, after all faults have ended. */
void soak_check_end(void);

/**
 * Plants a fault for each check: the check must report it, and must report nothing without it.
 * Returns 0, or -1 if a check failed to do so.
 */
int soak_run_self_test(void);

#endif
